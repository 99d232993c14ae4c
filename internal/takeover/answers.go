package takeover

import (
	"slices"
	"time"
)

// receiveAnswer handles a replica's answer.
func (r *Registry) receiveAnswer(now time.Duration, from Member, m Message) {
	if rec := r.records[m.Key]; m.Kind == ClockUnknown && m.Seq == 0 && rec != nil { // the answer to a Transfer
		r.transfer(now, from, rec)
		return
	}
	t := r.tasks[m.Key]
	if t == nil || m.Seq < t.firstSeq || m.Seq > r.seq { // the answer to an earlier stage, or to an earlier membership
		return
	}
	if r.endedElsewhere(now, t, m) {
		return
	}
	switch m.Kind {
	case ClockUnknown:
		r.repeatRequest(now, from, t, m)
		return
	case Stored:
		t.recordGrant(now, from, m, r.config.Lease)
	}
	t.answers[from] = m
	r.advance(now, t)
}

// endedElsewhere handles an answer that decides the task: the key was used with another statement, or the write has ended. It reports whether
// the answer was such a one.
func (r *Registry) endedElsewhere(now time.Duration, t *task, m Message) bool {
	switch {
	case t.stage == completing:
		return false
	case m.Kind == NotOwner && m.Digest != 0 && m.Digest != t.work.Digest:
		r.Counters.Conflicts++
		r.actForRequests(t, Conflict)
		delete(r.tasks, t.key)
		return true
	case m.Result != nil:
		t.result = m.Result
		r.Counters.Deduplicated++
		r.enterStage(now, t, completing) // which makes the outcome known to a quorum
		return true
	}
	return false
}

// repeatRequest repeats a request once to a replica that could not tell its age: it now carries the replica's clock.
func (r *Registry) repeatRequest(now time.Duration, to Member, t *task, m Message) {
	creates := t.stage == replicating || t.stage == takingOver
	if creates && m.Seq == t.seq && m.Seq != t.resentSeq[to] {
		t.resentSeq[to] = m.Seq
		r.send(now, to, t.lastMessage)
	}
}

// recordGrant notes a lease, which runs from when its request was sent.
func (t *task) recordGrant(now time.Duration, from Member, m Message, lease time.Duration) {
	if t.seq-m.Seq < maxRequestsInFlight {
		t.grants[from] = max(t.grants[from], *t.requestTime(m.Seq)+lease)
	}
	t.unreplicated = t.unreplicated || m.Unreplicated
	t.sent = t.sent || m.Sent
	if !m.SecondHand {
		t.storedAt[from] = now - m.Age
	}
}

// advance moves a task on if the replicas' answers suffice.
func (r *Registry) advance(now time.Duration, t *task) {
	sets := r.replicaSets(now, t.key)
	switch t.stage {
	case replicating:
		r.advanceReplicating(now, t, sets)
	case takingOver:
		if r.hasLease(now, t) {
			r.completeTakeover(now, t, sets)
		} else if t.lostQuorum(sets) {
			r.enterStage(now, t, querying)
		}
	case owning:
		if t.lostQuorum(sets) {
			r.loseOwnership(now, t)
		}
	case querying:
		r.advanceQuerying(now, t, sets)
	case completing:
		if hasQuorum(sets, func(member Member) bool { return t.answeredWith(member, NotOwner) }) {
			r.finish(t)
			delete(r.tasks, t.key)
		}
	}
}

func (r *Registry) advanceReplicating(now time.Duration, t *task, sets []replicaSet) {
	if r.hasLease(now, t) {
		r.Counters.Replicated++
		t.stage = owning
		r.markSent(now, t)
		r.act(Action{Kind: Send, ID: t.requests[0], Key: t.key})
		return
	}
	if t.anyNotOwner(sets) {
		r.yield(now, t, sets)
	}
}

// advanceQuerying replicates a record anew that no replica has, or takes over one that has no owner any more.
func (r *Registry) advanceQuerying(now time.Duration, t *task, sets []replicaSet) {
	gone := hasQuorum(sets, func(member Member) bool { return t.answeredWith(member, NotFound) })
	if gone && t.epoch == firstEpoch && t.takenOver == nil && len(t.requests) > 0 { // the record never had its quorum
		r.enterStage(now, t, replicating)
		return
	}
	unowned := hasQuorum(sets, func(member Member) bool {
		answer, ok := t.answers[member]
		return ok && (answer.Kind == NotFound || answer.Kind == NotOwner && answer.Expired)
	})
	if unowned && t.anyNotOwner(sets) {
		t.raiseEpoch(sets)
		r.takeOver(now, t.key, takeoverStart{work: t.work, epoch: t.epoch, deadline: t.deadline, unreplicated: t.unreplicated, sent: t.sent})
	}
}

func (t *task) anyNotOwner(sets []replicaSet) bool {
	return slices.ContainsFunc(allReplicas(sets), func(member Member) bool { return t.answeredWith(member, NotOwner) })
}

// raiseEpoch raises the epoch to the greatest that a replica knows, and returns the greatest owner.
func (t *task) raiseEpoch(sets []replicaSet) (owner Member) {
	for _, member := range allReplicas(sets) {
		if t.answeredWith(member, NotOwner) {
			answer := t.answers[member]
			owner = max(owner, answer.Owner)
			t.epoch = max(t.epoch, answer.Epoch)
		}
	}
	return owner
}

// lostQuorum reports whether so many replicas have another owner that this proxy can't have a quorum.
func (t *task) lostQuorum(sets []replicaSet) bool {
	return slices.ContainsFunc(sets, func(set replicaSet) bool {
		others := set.count(func(member Member) bool { return t.answeredWith(member, NotOwner) })
		return others > len(set.members)-set.quorum
	})
}

// yield gives way to another proxy that began a write with the same key earlier or at the same time. If each has some of the replicas, the
// proxy with the lower number continues.
func (r *Registry) yield(now time.Duration, t *task, sets []replicaSet) {
	owner := t.raiseEpoch(sets)
	if owner > r.self && !t.lostQuorum(sets) && t.epoch == firstEpoch {
		return
	}
	for _, member := range allReplicas(sets) {
		if !t.answeredWith(member, NotOwner) {
			r.sendDiscard(now, member, t)
		}
	}
	r.Counters.Deduplicated++
	r.enterStage(now, t, querying)
}
