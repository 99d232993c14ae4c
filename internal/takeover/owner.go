package takeover

import (
	"slices"
	"time"
)

type stage uint8

const (
	replicating  stage = iota // keepers are asked to hold the record
	owning                    // it is held: the write may be sent
	querying                  // somebody else has it
	takingOver                // nobody has it any more: this proxy wants to
	unreplicated              // it goes without a record
	completing                // it has ended, and the keepers are told
)

// task is a piece of work that this proxy has a part in.
type task struct {
	key          string
	work         Work
	requests     []uint64 // of the requests that wait for it here
	durability   Durability
	stage        stage
	epoch        Epoch
	deadline     time.Duration
	stageBegan   time.Duration // the stage
	lastRequest  time.Duration // when the keepers were last asked
	seq          uint64        // of that ask
	firstSeq     uint64        // and of the stage's first
	requestTimes [8]time.Duration
	answers      map[Member]Message // what each has said last in this stage
	grants       map[Member]time.Duration
	storedAt     map[Member]time.Duration // when each that has it of its first owner first held it
	resentSeq    map[Member]uint64        // the ask that was sent once more to each, as it could not tell how old it was
	result       *Result
	answered     bool // what waits here has been answered

	lastMessage Message // of the last ask

	takenOver    *TakenOverWork // it was taken over; how is known once it is owned
	unreplicated bool
	sent         bool
}

// Begin takes a keyed write of a client, named by id. What is to be done with it comes as an order, soon and once.
func (b *Registry) Begin(now time.Duration, id uint64, w Work, s Durability) {
	if t := b.tasks[w.Key]; t != nil && !b.config.DisabledGuards.Has(NoDeduplication) {
		switch {
		case t.work.Digest != w.Digest:
			b.Counters.Conflicts++
			b.act(Action{Kind: Conflict, ID: id, Key: w.Key})
		case t.result != nil:
			b.Counters.Deduplicated++
			b.answer(id, t)
		default:
			b.Counters.Deduplicated++
			t.requests = append(t.requests, id)
			t.deadline = max(t.deadline, now+w.TimeLeft)
		}
		return
	}
	t := &task{key: w.Key, work: w, requests: []uint64{id}, durability: s, deadline: now + w.TimeLeft, epoch: 1, unreplicated: s == Preferred}
	b.tasks[w.Key] = t
	if !hasQuorum(b.replicaSets(now, w.Key), func(m Member) bool { return m == b.self || !b.unreachable[m] }) || !b.isMember(now) || len(b.members) < b.config.Quorum {
		b.proceedUnreplicated(now, t)
		return
	}
	if r := b.records[w.Key]; r != nil { // it is known here how that goes
		b.enterStage(now, t, querying)
		return
	}
	b.enterStage(now, t, replicating)
}

// enter begins a stage.
func (b *Registry) enterStage(now time.Duration, t *task, s stage) {
	t.stage, t.stageBegan, t.answers, t.grants = s, now, map[Member]Message{}, map[Member]time.Duration{}
	t.storedAt, t.resentSeq = map[Member]time.Duration{}, map[Member]uint64{}
	t.firstSeq = b.seq + 1
	b.requestReplicas(now, t)
}

// ask asks the keepers what the stage wants to know.
func (b *Registry) requestReplicas(now time.Duration, t *task) {
	b.seq++
	t.lastRequest, t.seq = now, b.seq
	t.requestTimes[b.seq%uint64(len(t.requestTimes))] = now
	m := Message{Key: t.key, Seq: b.seq, Epoch: t.epoch}
	switch t.stage {
	case replicating, takingOver:
		if m.Kind = Store; t.stage == takingOver {
			m.Kind = TakeOver
		}
		work := t.work
		work.TimeLeft = max(t.deadline-now, 0)
		m.Work, m.Unreplicated = &work, t.unreplicated
	case owning:
		m.Kind = Renew
	case completing:
		m.Kind, m.Result, m.Digest = Complete, t.result, t.work.Digest
	case querying:
		m.Kind = Query
	default:
		return
	}
	t.lastMessage = m
	for _, k := range allReplicas(b.replicaSets(now, t.key)) {
		if t.stage == b.stageOf(t.key) { // an answer of this proxy's own may have moved it on
			b.send(now, k, m)
		}
	}
}

func (b *Registry) stageOf(key string) stage {
	if t := b.tasks[key]; t != nil {
		return t.stage
	}
	return unreplicated
}

// MaySend tells whether this proxy may send a write now: a majority of its keepers has promised to let nobody else have it. The clock is read
// right before the send.
func (b *Registry) MaySend(now time.Duration, key string) bool {
	t := b.tasks[key]
	if t == nil || t.stage == unreplicated {
		return t != nil
	}
	return t.stage == owning && (b.config.DisabledGuards.Has(NoLeaseCheck) || b.isMember(now) && b.hasLease(now, t))
}

// Epoch gives the epoch in which this proxy owns a key's record; 0 = it doesn't.
func (b *Registry) Epoch(key string) Epoch {
	if t := b.tasks[key]; t != nil && t.stage == owning {
		return t.epoch
	}
	return 0
}

func (b *Registry) hasLease(now time.Duration, t *task) bool {
	return hasQuorum(b.replicaSets(now, t.key), func(k Member) bool { return now < t.grants[k] })
}

// Judge looks once more behind a write that MaySend allowed: false = the promise had ended by then, so that somebody else may have sent it as
// well. It is counted, and the keepers' word counts from here on.
func (b *Registry) CheckSent(now time.Duration, key string) bool {
	if t := b.tasks[key]; t != nil && t.stage == owning && !b.hasLease(now, t) {
		b.Counters.SentAfterLease++
		return false
	}
	return true
}

// Ended tells how work that this proxy sent has ended. Those who wait for it are answered once most keepers know, or can't.
func (b *Registry) Complete(now time.Duration, key string, r Result) {
	t := b.tasks[key]
	if t == nil || t.result != nil {
		return
	}
	if len(r.Value) > b.config.MaxAnswerBytes {
		r.Value, r.TooLong = nil, true
	}
	if r.Outcome == Unknown {
		b.Counters.Unknown++
	}
	switch {
	case t.stage == unreplicated:
		t.result = &r
		b.finish(t)
		delete(b.tasks, key)
	case t.stage == owning || r.Outcome == Served: // what was applied stays applied, whoever has it by now
		t.result = &r
		b.enterStage(now, t, completing)
	}
}

// give answers a request with what is known.
func (b *Registry) answer(id uint64, t *task) {
	o := Action{ID: id, Key: t.key, Result: t.result}
	switch t.result.Outcome {
	case Served:
		o.Kind = Answer
	case NeverRan:
		o.Kind = Reject
	default:
		o.Kind = FailUnknown
	}
	b.act(o)
}

// finish answers all that wait here.
func (b *Registry) finish(t *task) {
	if !t.answered {
		t.answered = true
		for _, id := range t.requests {
			b.answer(id, t)
		}
		if len(t.requests) == 0 {
			b.act(Action{Kind: Stop, Key: t.key, Result: t.result})
		}
	}
}

// lose tells that work isn't this proxy's any more. It asks on behalf of those who wait.
func (b *Registry) loseOwnership(now time.Duration, t *task) {
	b.Counters.Lost++
	b.act(Action{Kind: Stop, Key: t.key})
	b.enterStage(now, t, querying)
}

// claim takes over a record that nobody owns any more.
func (b *Registry) takeOver(now time.Duration, key string, w Work, epoch Epoch, deadline time.Duration, loose, sent bool) {
	t := b.tasks[key]
	if t == nil {
		t = &task{key: key, deadline: deadline}
		b.tasks[key] = t
	}
	t.work, t.epoch, t.unreplicated, t.sent = w, epoch+1, loose, sent
	t.takenOver = &TakenOverWork{}
	b.enterStage(now, t, takingOver)
}

// answered takes a keeper's word.
func (b *Registry) receiveAnswer(now time.Duration, from Member, m Message) {
	t := b.tasks[m.Key]
	if r := b.records[m.Key]; m.Kind == ClockUnknown && m.Seq == 0 && r != nil { // a copy
		b.transfer(now, from, r)
		return
	}
	if t == nil || m.Seq < t.firstSeq || m.Seq > b.seq { // it was for an earlier stage, or another's
		return
	}
	if m.Kind == NotOwner && m.Digest != 0 && m.Digest != t.work.Digest && t.stage != completing {
		b.Counters.Conflicts++
		for _, id := range t.requests {
			b.act(Action{Kind: Conflict, ID: id, Key: t.key})
		}
		delete(b.tasks, t.key)
		return
	}
	if m.Result != nil && t.stage != completing { // the first outcome there was
		t.result = m.Result
		b.Counters.Deduplicated++
		b.enterStage(now, t, completing) // so that most keepers know, whoever told this proxy
		return
	}
	if m.Kind == Stored {
		if t.seq-m.Seq < uint64(len(t.requestTimes)) {
			t.grants[from] = max(t.grants[from], t.requestTimes[m.Seq%uint64(len(t.requestTimes))]+b.config.Lease)
		}
		t.unreplicated, t.sent = t.unreplicated || m.Unreplicated, t.sent || m.Sent
	}
	if m.Kind == ClockUnknown {
		if (t.stage == replicating || t.stage == takingOver) && m.Seq == t.seq && m.Seq != t.resentSeq[from] { // once an ask: with its clock as it has just told
			t.resentSeq[from] = m.Seq
			b.send(now, from, t.lastMessage)
		}
		return
	}
	if m.Kind == Stored && !m.SecondHand {
		t.storedAt[from] = now - m.Age
	}
	t.answers[from] = m
	b.advance(now, t)
}

// settle looks whether what the keepers have said is enough for the stage.
func (b *Registry) advance(now time.Duration, t *task) {
	sets := b.replicaSets(now, t.key)
	said := func(k Kind) func(Member) bool {
		return func(m Member) bool { x, ok := t.answers[m]; return ok && x.Kind == k }
	}
	switch t.stage {
	case replicating:
		switch {
		case b.hasLease(now, t):
			b.Counters.Replicated++
			t.stage = owning
			b.markSent(now, t)
			b.act(Action{Kind: Send, ID: t.requests[0], Key: t.key})
		case slices.ContainsFunc(allReplicas(sets), said(NotOwner)):
			b.yield(now, t, sets)
		}
	case takingOver:
		if b.hasLease(now, t) {
			b.completeTakeover(now, t, sets)
		} else if b.lostQuorum(t, sets) { // somebody else has it
			b.enterStage(now, t, querying)
		}
	case owning:
		if b.lostQuorum(t, sets) {
			b.loseOwnership(now, t)
		}
	case querying:
		lapsed := func(m Member) bool {
			x, ok := t.answers[m]
			return ok && (x.Kind == NotFound || x.Kind == NotOwner && x.Expired)
		}
		switch {
		case hasQuorum(sets, said(NotFound)) && t.epoch == 1 && t.takenOver == nil && len(t.requests) > 0: // what there was is gone, and it was never sure
			b.enterStage(now, t, replicating)
		case hasQuorum(sets, lapsed) && slices.ContainsFunc(allReplicas(sets), said(NotOwner)):
			for _, k := range allReplicas(sets) {
				if x, ok := t.answers[k]; ok && x.Kind == NotOwner {
					t.epoch = max(t.epoch, x.Epoch)
				}
			}
			b.takeOver(now, t.key, t.work, t.epoch, t.deadline, t.unreplicated, t.sent)
		}
	case completing:
		if hasQuorum(sets, said(NotOwner)) {
			b.finish(t)
			delete(b.tasks, t.key)
		}
	}
}

// over tells whether so many keepers have another owner that this proxy can't be it.
func (b *Registry) lostQuorum(t *task, sets []replicaSet) bool {
	for _, s := range sets {
		n := 0
		for _, m := range s.members {
			if x, ok := t.answers[m]; ok && x.Kind == NotOwner {
				n++
			}
		}
		if n > len(s.members)-s.quorum {
			return true
		}
	}
	return false
}

// yield gives way to another that asked for the same key at the same time, or before. Of two that each hold a part, the one of the lower
// number goes on.
func (b *Registry) yield(now time.Duration, t *task, sets []replicaSet) {
	owner := Member(0)
	for _, k := range allReplicas(sets) {
		if x, ok := t.answers[k]; ok && x.Kind == NotOwner {
			owner = max(owner, x.Owner)
			t.epoch = max(t.epoch, x.Epoch)
		}
	}
	if owner > b.self && !b.lostQuorum(t, sets) && t.epoch == 1 {
		return
	}
	for _, k := range allReplicas(sets) {
		if x, ok := t.answers[k]; !ok || x.Kind != NotOwner { // it never had enough of them, and never will
			b.seq++
			b.send(now, k, Message{Kind: Discard, Key: t.key, Epoch: 1, Seq: b.seq})
		}
	}
	b.Counters.Deduplicated++
	b.enterStage(now, t, querying)
}

// sure tells the keepers that the write may have been sent from now on. Only of one that may also go out without them it is not known.
func (b *Registry) markSent(now time.Duration, t *task) {
	if !t.unreplicated {
		return
	}
	b.seq++
	for _, k := range allReplicas(b.replicaSets(now, t.key)) {
		b.send(now, k, Message{Kind: MarkSent, Key: t.key, Epoch: t.epoch, Seq: b.seq})
	}
}

// taken decides what to do with work that has been taken over.
func (b *Registry) completeTakeover(now time.Duration, t *task, sets []replicaSet) {
	b.Counters.TakenOver++
	t.stage = owning
	// An earlier owner may have sent it if most of its keepers may have let it: those that held it for one, and those that haven't been heard. It
	// may have gone by any one of the lists of members.
	may := t.sent
	for _, s := range sets {
		may = may || hasQuorum([]replicaSet{s}, func(k Member) bool { x, ok := t.answers[k]; return !ok || x.Kind != Stored || x.OwnerCount > 0 })
	}
	// Nothing was sent before a keeper had it of the first owner. Of most keepers that held it for that one this proxy has heard one; where it
	// has not, all it knows came by others, and may be as old as the way took. And of a record older than Keep those that don't have it may have
	// forgotten it.
	first, known := now, len(t.storedAt) > 0 || b.config.DisabledGuards.Has(NoFirstOwnerCheck)
	for _, at := range t.storedAt {
		first = min(first, at)
	}
	known = known && now-first < b.config.Retention-b.config.Lease
	switch {
	case t.unreplicated && !t.sent, !known: // it may have gone out at any time: nothing can be said
		b.Complete(now, t.key, Result{Outcome: Unknown})
	case now >= t.deadline && may:
		b.Complete(now, t.key, Result{Outcome: Unknown})
	case now >= t.deadline:
		b.Complete(now, t.key, Result{Outcome: NeverRan})
	default:
		if may {
			b.Counters.Resent++
		}
		t.takenOver = &TakenOverWork{Work: t.work, MayHaveBeenSent: may, SinceFirstSend: now - first}
		t.takenOver.TimeLeft = t.deadline - now
		b.markSent(now, t)
		b.act(Action{Kind: Send, Key: t.key, TakenOver: t.takenOver})
	}
}

// tend does what is due for a task by the clock.
func (b *Registry) tickTask(now time.Duration, t *task) {
	if now >= t.deadline && t.stage != owning && t.stage != completing && len(t.requests) > 0 && !t.answered {
		// Its clients give up: what can't be known by now isn't. The keepers go on.
		t.answered = true
		for _, id := range t.requests {
			b.act(Action{Kind: FailUnknown, ID: id, Key: t.key})
		}
		delete(b.tasks, t.key)
		return
	}
	switch t.stage {
	case replicating:
		if now-t.stageBegan >= b.config.QuorumTimeout {
			b.proceedUnreplicated(now, t)
			return
		}
	case takingOver:
		if now-t.stageBegan >= b.config.Lease {
			if t.epoch += Epoch(1 + b.self%7); len(t.requests) == 0 { // the keepers' own turns come again
				delete(b.tasks, t.key)
				return
			}
			b.enterStage(now, t, querying)
			return
		}
	case completing:
		if !t.answered && now-t.stageBegan >= b.config.QuorumTimeout { // the client isn't held for keepers that can't be reached
			b.finish(t)
		}
		if now-t.stageBegan >= b.config.Retention {
			b.finish(t)
			delete(b.tasks, t.key)
			return
		}
	}
	every := b.config.RetryInterval
	if t.stage == owning {
		every = b.config.RenewInterval
	}
	if now-t.lastRequest >= every {
		b.requestReplicas(now, t)
	}
}

// without decides about a write whose keepers can't be had.
func (b *Registry) proceedUnreplicated(now time.Duration, t *task) {
	id := t.requests[0]
	if t.durability == Preferred {
		b.Counters.Unreplicated++
		t.stage = unreplicated
		b.act(Action{Kind: SendUnreplicated, ID: id, Key: t.key})
		return
	}
	// Once a keeper was asked, it may hold the record, and take its write for one that may have been sent. And behind a client's earlier ask
	// nothing is known of the key here. Only what nobody has heard of is refused.
	do := Reject
	if t.lastRequest > 0 || t.work.IsRetry {
		do = FailUnknown
	}
	for _, k := range allReplicas(b.replicaSets(now, t.key)) {
		if t.lastRequest > 0 {
			b.seq++
			b.send(now, k, Message{Kind: Discard, Key: t.key, Epoch: 1, Seq: b.seq})
		}
	}
	b.Counters.Rejected += uint64(len(t.requests))
	for _, id := range t.requests {
		b.act(Action{Kind: do, ID: id, Key: t.key})
	}
	delete(b.tasks, t.key)
}
