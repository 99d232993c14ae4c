package takeover

import "time"

// Begin accepts a keyed write of a client. id identifies the request; one action with this ID follows and tells what to do with it.
func (r *Registry) Begin(now time.Duration, id uint64, work Work, durability Durability) {
	if t := r.tasks[work.Key]; t != nil && !r.config.DisabledGuards.Has(NoDeduplication) {
		r.join(now, id, work, t)
		return
	}
	t := &task{key: work.Key, work: work, requests: []uint64{id}, durability: durability, deadline: now + work.TimeLeft,
		epoch: firstEpoch, unreplicated: durability == Preferred}
	r.tasks[work.Key] = t
	switch {
	case !r.canReplicate(now, work.Key):
		r.proceedUnreplicated(now, t)
	case r.records[work.Key] != nil: // this proxy is a replica: the write is in progress, or has ended
		r.enterStage(now, t, querying)
	default:
		r.enterStage(now, t, replicating)
	}
}

// join handles a retry of a write that this proxy is working on.
func (r *Registry) join(now time.Duration, id uint64, work Work, t *task) {
	if t.work.Digest != work.Digest {
		r.Counters.Conflicts++
		r.act(Action{Kind: Conflict, ID: id, Key: work.Key})
		return
	}
	r.Counters.Deduplicated++
	if t.result != nil {
		r.answer(id, t)
		return
	}
	t.requests = append(t.requests, id)
	t.deadline = max(t.deadline, now+work.TimeLeft)
}

// canReplicate reports whether a quorum can be reached, as far as the connections show.
func (r *Registry) canReplicate(now time.Duration, key string) bool {
	reachable := func(member Member) bool { return member == r.self || !r.unreachable[member] }
	return r.isMember(now) && len(r.members) >= r.config.Quorum && hasQuorum(r.replicaSets(now, key), reachable)
}

// proceedUnreplicated handles a write whose record gets no quorum: it is sent unreplicated or not at all.
func (r *Registry) proceedUnreplicated(now time.Duration, t *task) {
	if t.durability == Preferred {
		r.Counters.Unreplicated++
		t.stage = unreplicated
		r.act(Action{Kind: SendUnreplicated, ID: t.requests[0], Key: t.key})
		return
	}
	// Only a write that no other proxy knows of may be rejected. A replica that was asked may store the record and regard the write as
	// possibly sent, and nothing is known of a client's earlier attempt.
	asked := t.lastRequest > 0
	kind := Reject
	if asked || t.work.IsRetry {
		kind = FailUnknown
	}
	if asked {
		for _, member := range allReplicas(r.replicaSets(now, t.key)) {
			r.sendDiscard(now, member, t)
		}
	}
	r.Counters.Rejected += uint64(len(t.requests))
	r.actForRequests(t, kind)
	delete(r.tasks, t.key)
}

func (r *Registry) sendDiscard(now time.Duration, to Member, t *task) {
	r.seq++
	r.send(now, to, Message{Kind: Discard, Key: t.key, Epoch: firstEpoch, Seq: r.seq})
}

// MaySend reports whether this proxy may send a write now: a majority of the replicas has granted it a lease. now must be read directly
// before the send.
func (r *Registry) MaySend(now time.Duration, key string) bool {
	t := r.tasks[key]
	switch {
	case t == nil:
		return false
	case t.stage == unreplicated:
		return true
	case t.stage != owning:
		return false
	}
	return r.config.DisabledGuards.Has(NoLeaseCheck) || r.isMember(now) && r.hasLease(now, t)
}

// Epoch returns the epoch in which this proxy owns a record; 0 if it doesn't.
func (r *Registry) Epoch(key string) Epoch {
	if t := r.tasks[key]; t != nil && t.stage == owning {
		return t.epoch
	}
	return 0
}

func (r *Registry) hasLease(now time.Duration, t *task) bool {
	return hasQuorum(r.replicaSets(now, t.key), func(member Member) bool { return now < t.grants[member] })
}

// CheckSent is called after a write that MaySend allowed. It returns false, and counts it, if the lease had expired meanwhile, so that another
// proxy may have sent the write too. From then on the replicas decide.
func (r *Registry) CheckSent(now time.Duration, key string) bool {
	if t := r.tasks[key]; t != nil && t.stage == owning && !r.hasLease(now, t) {
		r.Counters.SentAfterLease++
		return false
	}
	return true
}

// Complete records how a write that this proxy sent has ended. The requests that wait for it are answered once a quorum of the replicas knows,
// or after QuorumTimeout.
func (r *Registry) Complete(now time.Duration, key string, result Result) {
	t := r.tasks[key]
	if t == nil || t.result != nil {
		return
	}
	if len(result.Value) > r.config.MaxAnswerBytes {
		result.Value, result.TooLong = nil, true
	}
	if result.Outcome == Unknown {
		r.Counters.Unknown++
	}
	switch {
	case t.stage == unreplicated:
		t.result = &result
		r.finish(t)
		delete(r.tasks, key)
	case t.stage == owning || result.Outcome == Served: // a write that was applied stays applied, whoever owns it now
		t.result = &result
		r.enterStage(now, t, completing)
	}
}

// markSent announces to the replicas that the write may be sent from now on. Only writes that may also be sent unreplicated need it.
func (r *Registry) markSent(now time.Duration, t *task) {
	if !t.unreplicated {
		return
	}
	r.seq++
	for _, member := range allReplicas(r.replicaSets(now, t.key)) {
		r.send(now, member, Message{Kind: MarkSent, Key: t.key, Epoch: t.epoch, Seq: r.seq})
	}
}

// loseOwnership stops a write that another proxy owns by now. This proxy then queries its outcome for the requests that wait here.
func (r *Registry) loseOwnership(now time.Duration, t *task) {
	r.Counters.Lost++
	r.act(Action{Kind: Stop, Key: t.key})
	r.enterStage(now, t, querying)
}
