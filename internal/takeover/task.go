package takeover

import "time"

// stage is what a task waits for.
type stage uint8

const (
	replicating  stage = iota // the replicas are asked to store the record
	owning                    // a quorum has stored it: the write may be sent
	querying                  // another proxy owns it
	takingOver                // nobody owns it any more, and this proxy wants to
	unreplicated              // the write is sent without a record
	completing                // the write has ended, and the replicas are told
)

// maxRequestsInFlight bounds the requests whose answers still extend a lease.
const maxRequestsInFlight = 8

// task is a write that this proxy owns, wants to own or queries.
type task struct {
	key        string
	work       Work
	durability Durability
	deadline   time.Duration // of the client
	requests   []uint64      // IDs of the requests that wait for the outcome here
	answered   bool          // they have been answered

	stage      stage
	stageBegan time.Duration
	epoch      Epoch
	takenOver  *TakenOverWork // not nil = taken over, or to be; filled once it is owned

	lastRequest  time.Duration // when the replicas were last asked; 0 = never
	seq          uint64        // of the last request
	firstSeq     uint64        // of the first request of this stage
	requestTimes [maxRequestsInFlight]time.Duration
	lastMessage  Message // of the last request

	// What the replicas have answered in this stage.
	answers   map[Member]Message
	grants    map[Member]time.Duration // end of the lease that each has granted
	storedAt  map[Member]time.Duration // when each first stored it, for those that received it from its first owner
	resentSeq map[Member]uint64        // the request that was repeated to each after ClockUnknown

	unreplicated bool    // the first owner may have sent it without a quorum
	sent         bool    // a replica knows that an owner may have sent it
	result       *Result // nil = it has not ended
}

// requestTime returns where the time of a request is kept.
func (t *task) requestTime(seq uint64) *time.Duration {
	return &t.requestTimes[seq%maxRequestsInFlight]
}

// answeredWith reports whether a replica's latest answer in this stage is of a kind.
func (t *task) answeredWith(member Member, kind Kind) bool {
	answer, ok := t.answers[member]
	return ok && answer.Kind == kind
}

// enterStage begins a stage and asks the replicas what it needs to know.
func (r *Registry) enterStage(now time.Duration, t *task, s stage) {
	t.stage, t.stageBegan = s, now
	t.answers = map[Member]Message{}
	t.grants = map[Member]time.Duration{}
	t.storedAt = map[Member]time.Duration{}
	t.resentSeq = map[Member]uint64{}
	t.firstSeq = r.seq + 1
	r.requestReplicas(now, t)
}

// requestReplicas asks the replicas what the stage needs to know.
func (r *Registry) requestReplicas(now time.Duration, t *task) {
	r.seq++
	t.lastRequest, t.seq = now, r.seq
	*t.requestTime(r.seq) = now
	m, ok := t.request(now)
	if !ok {
		return
	}
	t.lastMessage = m
	for _, member := range allReplicas(r.replicaSets(now, t.key)) {
		if t.stage == r.stageOf(t.key) { // the answer of this proxy itself may have changed the stage
			r.send(now, member, m)
		}
	}
}

// request returns the request of the present stage; false if it has none.
func (t *task) request(now time.Duration) (m Message, ok bool) {
	m = Message{Key: t.key, Seq: t.seq, Epoch: t.epoch}
	switch t.stage {
	case replicating, takingOver:
		m.Kind = Store
		if t.stage == takingOver {
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
		return Message{}, false
	}
	return m, true
}

func (r *Registry) stageOf(key string) stage {
	if t := r.tasks[key]; t != nil {
		return t.stage
	}
	return unreplicated
}

// tickTask handles what is due for a task at the given time.
func (r *Registry) tickTask(now time.Duration, t *task) {
	if r.deadlinePassed(now, t) || r.stageTimedOut(now, t) {
		return
	}
	interval := r.config.RetryInterval
	if t.stage == owning {
		interval = r.config.RenewInterval
	}
	if now-t.lastRequest >= interval {
		r.requestReplicas(now, t)
	}
}

// deadlinePassed fails the requests of a task that this proxy doesn't own once their clients give up, and reports whether it did. The replicas
// continue with the write.
func (r *Registry) deadlinePassed(now time.Duration, t *task) bool {
	if now < t.deadline || t.stage == owning || t.stage == completing || len(t.requests) == 0 || t.answered {
		return false
	}
	t.answered = true
	r.actForRequests(t, FailUnknown)
	delete(r.tasks, t.key)
	return true
}

// stageTimedOut ends a stage that takes too long. It returns true if nothing is left to do now.
func (r *Registry) stageTimedOut(now time.Duration, t *task) bool {
	elapsed := now - t.stageBegan
	switch {
	case t.stage == replicating && elapsed >= r.config.QuorumTimeout:
		r.proceedUnreplicated(now, t)
		return true
	case t.stage == takingOver && elapsed >= r.config.Lease:
		r.retryTakeover(now, t)
		return true
	case t.stage == completing:
		if !t.answered && elapsed >= r.config.QuorumTimeout { // the client doesn't wait for replicas that can't be reached
			r.finish(t)
		}
		if elapsed >= r.config.Retention {
			r.finish(t)
			delete(r.tasks, t.key)
			return true
		}
	}
	return false
}

// actForRequests issues an action for each request that waits for a task.
func (r *Registry) actForRequests(t *task, kind ActionKind) {
	for _, id := range t.requests {
		r.act(Action{Kind: kind, ID: id, Key: t.key})
	}
}

// answer answers a request with the task's result.
func (r *Registry) answer(id uint64, t *task) {
	kind := FailUnknown
	switch t.result.Outcome {
	case Served:
		kind = Answer
	case NeverRan:
		kind = Reject
	}
	r.act(Action{Kind: kind, ID: id, Key: t.key, Result: t.result})
}

// finish answers all requests that wait for a task.
func (r *Registry) finish(t *task) {
	if t.answered {
		return
	}
	t.answered = true
	for _, id := range t.requests {
		r.answer(id, t)
	}
	if len(t.requests) == 0 {
		r.act(Action{Kind: Stop, Key: t.key, Result: t.result})
	}
}
