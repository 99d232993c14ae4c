package takeover

import (
	"slices"
	"time"
)

type stage uint8

const (
	asking   stage = iota // keepers are asked to hold the record
	owning                // it is held: the write may be sent
	watching              // somebody else has it
	claiming              // nobody has it any more: this proxy wants to
	loose                 // it goes without a record
	ending                // it has ended, and the keepers are told
)

// task is a piece of work that this proxy has a part in.
type task struct {
	key      string
	work     Work
	ids      []uint64 // of the requests that wait for it here
	survive  Survive
	stage    stage
	epoch    Epoch
	deadline time.Duration
	began    time.Duration // the stage
	asked    time.Duration // when the keepers were last asked
	seq      uint64        // of that ask
	first    uint64        // and of the stage's first
	at       [8]time.Duration
	heard    map[Member]Message // what each has said last in this stage
	grants   map[Member]time.Duration
	from     map[Member]time.Duration // when each that has it of its first owner first held it
	renewed  map[Member]uint64        // the ask that was sent once more to each, as it could not tell how old it was
	result   *Result
	told     bool // what waits here has been answered

	last Message // of the last ask

	run   *Run // it was taken over; how is known once it is owned
	loose bool
	sent  bool
}

// Begin takes a keyed write of a client, named by id. What is to be done with it comes as an order, soon and once.
func (b *Book) Begin(now time.Duration, id uint64, w Work, s Survive) {
	if t := b.tasks[w.Key]; t != nil && !b.cfg.Without.Has(NoJoin) {
		switch {
		case t.work.Digest != w.Digest:
			b.Counters.Clashed++
			b.order(Order{Do: Clash, ID: id, Key: w.Key})
		case t.result != nil:
			b.Counters.Joined++
			b.give(id, t)
		default:
			b.Counters.Joined++
			t.ids = append(t.ids, id)
			t.deadline = max(t.deadline, now+w.Left)
		}
		return
	}
	t := &task{key: w.Key, work: w, ids: []uint64{id}, survive: s, deadline: now + w.Left, epoch: 1, loose: s == Preferred}
	b.tasks[w.Key] = t
	if !enough(b.sets(now, w.Key), func(m Member) bool { return m == b.self || !b.down[m] }) || !b.member(now) || len(b.members) < b.cfg.Copies {
		b.without(now, t)
		return
	}
	if r := b.kept[w.Key]; r != nil { // it is known here how that goes
		b.enter(now, t, watching)
		return
	}
	b.enter(now, t, asking)
}

// enter begins a stage.
func (b *Book) enter(now time.Duration, t *task, s stage) {
	t.stage, t.began, t.heard, t.grants = s, now, map[Member]Message{}, map[Member]time.Duration{}
	t.from, t.renewed = map[Member]time.Duration{}, map[Member]uint64{}
	t.first = b.seq + 1
	b.ask(now, t)
}

// ask asks the keepers what the stage wants to know.
func (b *Book) ask(now time.Duration, t *task) {
	b.seq++
	t.asked, t.seq = now, b.seq
	t.at[b.seq%uint64(len(t.at))] = now
	m := Message{Key: t.key, Seq: b.seq, Epoch: t.epoch}
	switch t.stage {
	case asking, claiming:
		if m.Kind = Take; t.stage == claiming {
			m.Kind = Claim
		}
		work := t.work
		work.Left = max(t.deadline-now, 0)
		m.Work, m.Loose = &work, t.loose
	case owning:
		m.Kind = Renew
	case ending:
		m.Kind, m.Result, m.Digest = End, t.result, t.work.Digest
	case watching:
		m.Kind = Look
	default:
		return
	}
	t.last = m
	for _, k := range all(b.sets(now, t.key)) {
		if t.stage == b.stageOf(t.key) { // an answer of this proxy's own may have moved it on
			b.say(now, k, m)
		}
	}
}

func (b *Book) stageOf(key string) stage {
	if t := b.tasks[key]; t != nil {
		return t.stage
	}
	return loose
}

// MaySend tells whether this proxy may send a write now: a majority of its keepers has promised to let nobody else have it. The clock is read
// right before the send.
func (b *Book) MaySend(now time.Duration, key string) bool {
	t := b.tasks[key]
	if t == nil || t.stage == loose {
		return t != nil
	}
	return t.stage == owning && (b.cfg.Without.Has(NoLeaseCheck) || b.member(now) && b.holds(now, t))
}

// Epoch gives the epoch in which this proxy owns a key's record; 0 = it doesn't.
func (b *Book) Epoch(key string) Epoch {
	if t := b.tasks[key]; t != nil && t.stage == owning {
		return t.epoch
	}
	return 0
}

func (b *Book) holds(now time.Duration, t *task) bool {
	return enough(b.sets(now, t.key), func(k Member) bool { return now < t.grants[k] })
}

// Judge looks once more behind a write that MaySend allowed: false = the promise had ended by then, so that somebody else may have sent it as
// well. It is counted, and the keepers' word counts from here on.
func (b *Book) Judge(now time.Duration, key string) bool {
	if t := b.tasks[key]; t != nil && t.stage == owning && !b.holds(now, t) {
		b.Counters.Beyond++
		return false
	}
	return true
}

// Ended tells how work that this proxy sent has ended. Those who wait for it are answered once most keepers know, or can't.
func (b *Book) Ended(now time.Duration, key string, r Result) {
	t := b.tasks[key]
	if t == nil || t.result != nil {
		return
	}
	if len(r.Value) > b.cfg.Value {
		r.Value, r.Long = nil, true
	}
	if r.Outcome == Unknown {
		b.Counters.Unknown++
	}
	switch {
	case t.stage == loose:
		t.result = &r
		b.finish(t)
		delete(b.tasks, key)
	case t.stage == owning || r.Outcome == Served: // what was applied stays applied, whoever has it by now
		t.result = &r
		b.enter(now, t, ending)
	}
}

// give answers a request with what is known.
func (b *Book) give(id uint64, t *task) {
	o := Order{ID: id, Key: t.key, Result: t.result}
	switch t.result.Outcome {
	case Served:
		o.Do = Answer
	case Never:
		o.Do = Refuse
	default:
		o.Do = Give
	}
	b.order(o)
}

// finish answers all that wait here.
func (b *Book) finish(t *task) {
	if !t.told {
		t.told = true
		for _, id := range t.ids {
			b.give(id, t)
		}
		if len(t.ids) == 0 {
			b.order(Order{Do: Stop, Key: t.key, Result: t.result})
		}
	}
}

// lose tells that work isn't this proxy's any more. It asks on behalf of those who wait.
func (b *Book) lose(now time.Duration, t *task) {
	b.Counters.Lost++
	b.order(Order{Do: Stop, Key: t.key})
	b.enter(now, t, watching)
}

// claim takes over a record that nobody owns any more.
func (b *Book) claim(now time.Duration, key string, w Work, epoch Epoch, deadline time.Duration, loose, sent bool) {
	t := b.tasks[key]
	if t == nil {
		t = &task{key: key, deadline: deadline}
		b.tasks[key] = t
	}
	t.work, t.epoch, t.loose, t.sent = w, epoch+1, loose, sent
	t.run = &Run{}
	b.enter(now, t, claiming)
}

// answered takes a keeper's word.
func (b *Book) answered(now time.Duration, from Member, m Message) {
	t := b.tasks[m.Key]
	if r := b.kept[m.Key]; m.Kind == Stale && m.Seq == 0 && r != nil { // a copy
		b.copy(now, from, r)
		return
	}
	if t == nil || m.Seq < t.first || m.Seq > b.seq { // it was for an earlier stage, or another's
		return
	}
	if m.Kind == Other && m.Digest != 0 && m.Digest != t.work.Digest && t.stage != ending {
		b.Counters.Clashed++
		for _, id := range t.ids {
			b.order(Order{Do: Clash, ID: id, Key: t.key})
		}
		delete(b.tasks, t.key)
		return
	}
	if m.Result != nil && t.stage != ending { // the first outcome there was
		t.result = m.Result
		b.Counters.Joined++
		b.enter(now, t, ending) // so that most keepers know, whoever told this proxy
		return
	}
	if m.Kind == Held {
		if t.seq-m.Seq < uint64(len(t.at)) {
			t.grants[from] = max(t.grants[from], t.at[m.Seq%uint64(len(t.at))]+b.cfg.Lease)
		}
		t.loose, t.sent = t.loose || m.Loose, t.sent || m.Sent
	}
	if m.Kind == Stale {
		if (t.stage == asking || t.stage == claiming) && m.Seq == t.seq && m.Seq != t.renewed[from] { // once an ask: with its clock as it has just told
			t.renewed[from] = m.Seq
			b.say(now, from, t.last)
		}
		return
	}
	if m.Kind == Held && !m.Second {
		t.from[from] = now - m.Age
	}
	t.heard[from] = m
	b.settle(now, t)
}

// settle looks whether what the keepers have said is enough for the stage.
func (b *Book) settle(now time.Duration, t *task) {
	sets := b.sets(now, t.key)
	said := func(k Kind) func(Member) bool {
		return func(m Member) bool { x, ok := t.heard[m]; return ok && x.Kind == k }
	}
	switch t.stage {
	case asking:
		switch {
		case b.holds(now, t):
			b.Counters.Recorded++
			t.stage = owning
			b.sure(now, t)
			b.order(Order{Do: Go, ID: t.ids[0], Key: t.key})
		case slices.ContainsFunc(all(sets), said(Other)):
			b.yield(now, t, sets)
		}
	case claiming:
		if b.holds(now, t) {
			b.taken(now, t, sets)
		} else if b.over(t, sets) { // somebody else has it
			b.enter(now, t, watching)
		}
	case owning:
		if b.over(t, sets) {
			b.lose(now, t)
		}
	case watching:
		lapsed := func(m Member) bool {
			x, ok := t.heard[m]
			return ok && (x.Kind == Unheard || x.Kind == Other && x.Lapsed)
		}
		switch {
		case enough(sets, said(Unheard)) && t.epoch == 1 && t.run == nil && len(t.ids) > 0: // what there was is gone, and it was never sure
			b.enter(now, t, asking)
		case enough(sets, lapsed) && slices.ContainsFunc(all(sets), said(Other)):
			for _, k := range all(sets) {
				if x, ok := t.heard[k]; ok && x.Kind == Other {
					t.epoch = max(t.epoch, x.Epoch)
				}
			}
			b.claim(now, t.key, t.work, t.epoch, t.deadline, t.loose, t.sent)
		}
	case ending:
		if enough(sets, said(Other)) {
			b.finish(t)
			delete(b.tasks, t.key)
		}
	}
}

// over tells whether so many keepers have another owner that this proxy can't be it.
func (b *Book) over(t *task, sets []set) bool {
	for _, s := range sets {
		n := 0
		for _, m := range s.members {
			if x, ok := t.heard[m]; ok && x.Kind == Other {
				n++
			}
		}
		if n > len(s.members)-s.need {
			return true
		}
	}
	return false
}

// yield gives way to another that asked for the same key at the same time, or before. Of two that each hold a part, the one of the lower
// number goes on.
func (b *Book) yield(now time.Duration, t *task, sets []set) {
	owner := Member(0)
	for _, k := range all(sets) {
		if x, ok := t.heard[k]; ok && x.Kind == Other {
			owner = max(owner, x.Owner)
			t.epoch = max(t.epoch, x.Epoch)
		}
	}
	if owner > b.self && !b.over(t, sets) && t.epoch == 1 {
		return
	}
	for _, k := range all(sets) {
		if x, ok := t.heard[k]; !ok || x.Kind != Other { // it never had enough of them, and never will
			b.seq++
			b.say(now, k, Message{Kind: Drop, Key: t.key, Epoch: 1, Seq: b.seq})
		}
	}
	b.Counters.Joined++
	b.enter(now, t, watching)
}

// sure tells the keepers that the write may have been sent from now on. Only of one that may also go out without them it is not known.
func (b *Book) sure(now time.Duration, t *task) {
	if !t.loose {
		return
	}
	b.seq++
	for _, k := range all(b.sets(now, t.key)) {
		b.say(now, k, Message{Kind: Sure, Key: t.key, Epoch: t.epoch, Seq: b.seq})
	}
}

// taken decides what to do with work that has been taken over.
func (b *Book) taken(now time.Duration, t *task, sets []set) {
	b.Counters.Claimed++
	t.stage = owning
	// An earlier owner may have sent it if most of its keepers may have let it: those that held it for one, and those that haven't been heard. It
	// may have gone by any one of the lists of members.
	may := t.sent
	for _, s := range sets {
		may = may || enough([]set{s}, func(k Member) bool { x, ok := t.heard[k]; return !ok || x.Kind != Held || x.Owners > 0 })
	}
	// Nothing was sent before a keeper had it of the first owner. Of most keepers that held it for that one this proxy has heard one; where it
	// has not, all it knows came by others, and may be as old as the way took. And of a record older than Keep those that don't have it may have
	// forgotten it.
	first, known := now, len(t.from) > 0 || b.cfg.Without.Has(NoFirstHand)
	for _, at := range t.from {
		first = min(first, at)
	}
	known = known && now-first < b.cfg.Keep-b.cfg.Lease
	switch {
	case t.loose && !t.sent, !known: // it may have gone out at any time: nothing can be said
		b.Ended(now, t.key, Result{Outcome: Unknown})
	case now >= t.deadline && may:
		b.Ended(now, t.key, Result{Outcome: Unknown})
	case now >= t.deadline:
		b.Ended(now, t.key, Result{Outcome: Never})
	default:
		if may {
			b.Counters.Again++
		}
		t.run = &Run{Work: t.work, May: may, First: now - first}
		t.run.Left = t.deadline - now
		b.sure(now, t)
		b.order(Order{Do: Go, Key: t.key, Run: t.run})
	}
}

// tend does what is due for a task by the clock.
func (b *Book) tend(now time.Duration, t *task) {
	if now >= t.deadline && t.stage != owning && t.stage != ending && len(t.ids) > 0 && !t.told {
		// Its clients give up: what can't be known by now isn't. The keepers go on.
		t.told = true
		for _, id := range t.ids {
			b.order(Order{Do: Give, ID: id, Key: t.key})
		}
		delete(b.tasks, t.key)
		return
	}
	switch t.stage {
	case asking:
		if now-t.began >= b.cfg.Wait {
			b.without(now, t)
			return
		}
	case claiming:
		if now-t.began >= b.cfg.Lease {
			if t.epoch += Epoch(1 + b.self%7); len(t.ids) == 0 { // the keepers' own turns come again
				delete(b.tasks, t.key)
				return
			}
			b.enter(now, t, watching)
			return
		}
	case ending:
		if !t.told && now-t.began >= b.cfg.Wait { // the client isn't held for keepers that can't be reached
			b.finish(t)
		}
		if now-t.began >= b.cfg.Keep {
			b.finish(t)
			delete(b.tasks, t.key)
			return
		}
	}
	every := b.cfg.Again
	if t.stage == owning {
		every = b.cfg.Renew
	}
	if now-t.asked >= every {
		b.ask(now, t)
	}
}

// without decides about a write whose keepers can't be had.
func (b *Book) without(now time.Duration, t *task) {
	id := t.ids[0]
	if t.survive == Preferred {
		b.Counters.Without++
		t.stage = loose
		b.order(Order{Do: Without, ID: id, Key: t.key})
		return
	}
	// Once a keeper was asked, it may hold the record, and take its write for one that may have been sent. And behind a client's earlier ask
	// nothing is known of the key here. Only what nobody has heard of is refused.
	do := Refuse
	if t.asked > 0 || t.work.Repeat {
		do = Give
	}
	for _, k := range all(b.sets(now, t.key)) {
		if t.asked > 0 {
			b.seq++
			b.say(now, k, Message{Kind: Drop, Key: t.key, Epoch: 1, Seq: b.seq})
		}
	}
	b.Counters.Refused += uint64(len(t.ids))
	for _, id := range t.ids {
		b.order(Order{Do: do, ID: id, Key: t.key})
	}
	delete(b.tasks, t.key)
}
