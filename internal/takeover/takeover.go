package takeover

import "time"

// epochSteps spreads the epochs of competing takeovers, by the members' numbers.
const epochSteps = 7

// takeoverStart holds what a proxy knows of a record when it begins to take it over.
type takeoverStart struct {
	work         Work
	epoch        Epoch // of the last owner
	deadline     time.Duration
	unreplicated bool
	sent         bool
}

// takeOver begins to take over a record that has no owner any more.
func (r *Registry) takeOver(now time.Duration, key string, start takeoverStart) {
	t := r.tasks[key]
	if t == nil {
		t = &task{key: key, deadline: start.deadline}
		r.tasks[key] = t
	}
	t.work, t.epoch = start.work, start.epoch+1
	t.unreplicated, t.sent = start.unreplicated, start.sent
	t.takenOver = &TakenOverWork{}
	r.enterStage(now, t, takingOver)
}

// retryTakeover handles a takeover that got no quorum. If no request waits here, it is dropped, and a replica tries again later.
func (r *Registry) retryTakeover(now time.Duration, t *task) {
	t.epoch += Epoch(1 + r.self%epochSteps)
	if len(t.requests) == 0 {
		delete(r.tasks, t.key)
		return
	}
	r.enterStage(now, t, querying)
}

// completeTakeover decides what to do with a write that this proxy owns by now.
func (r *Registry) completeTakeover(now time.Duration, t *task, sets []replicaSet) {
	r.Counters.TakenOver++
	t.stage = owning
	maySent := t.mayHaveBeenSent(sets)
	first, known := r.firstPossibleSend(now, t)
	neverMarked := t.unreplicated && !t.sent // its first owner may have sent it without any replica knowing
	switch {
	case neverMarked || !known, now >= t.deadline && maySent:
		r.Complete(now, t.key, Result{Outcome: Unknown})
	case now >= t.deadline:
		r.Complete(now, t.key, Result{Outcome: NeverRan})
	default:
		r.sendTakenOver(now, t, maySent, now-first)
	}
}

func (r *Registry) sendTakenOver(now time.Duration, t *task, maySent bool, sinceFirst time.Duration) {
	if maySent {
		r.Counters.Resent++
	}
	t.takenOver = &TakenOverWork{Work: t.work, MayHaveBeenSent: maySent, SinceFirstSend: sinceFirst}
	t.takenOver.TimeLeft = t.deadline - now
	r.markSent(now, t)
	r.act(Action{Kind: Send, Key: t.key, TakenOver: t.takenOver})
}

// mayHaveBeenSent reports whether an earlier owner may have had a quorum, in any of the replica sets: of the replicas that stored the record
// for one, and those that have not answered.
func (t *task) mayHaveBeenSent(sets []replicaSet) bool {
	allowed := func(member Member) bool {
		answer, ok := t.answers[member]
		return !ok || answer.Kind != Stored || answer.OwnerCount > 0
	}
	maySent := t.sent
	for _, set := range sets {
		maySent = maySent || hasQuorum([]replicaSet{set}, allowed)
	}
	return maySent
}

// firstPossibleSend returns when the first owner can have sent the write at the earliest. Nothing was sent before a replica stored the record
// for it, and of any majority that did, one has answered here. known is false if none has: what this proxy knows then came by other replicas,
// with unknown delay. It is false too for a record that is so old that the replicas without it may have dropped it.
func (r *Registry) firstPossibleSend(now time.Duration, t *task) (first time.Duration, known bool) {
	first = now
	for _, at := range t.storedAt {
		first = min(first, at)
	}
	known = len(t.storedAt) > 0 || r.config.DisabledGuards.Has(NoFirstOwnerCheck)
	return first, known && now-first < r.config.Retention-r.config.Lease
}
