package logic

import (
	"cmp"
	"slices"
	"time"

	"havenproxy/internal/limit"
	"havenproxy/internal/ping"
)

// Choice of a request's member by read mode, role, known log position, ping time and pin.

// primaryOnly reports whether only the primary may serve the class. All other classes prefer replicas.
func (c *Class) primaryOnly() bool { return c.Read == Write || c.Read == Fresh }

// qualifies reports whether the member's log position suffices. The known position is a lower bound, so the age
// computed from it is an upper bound.
func (q *request) qualifies(m *member, now time.Duration) bool {
	switch q.class.Read {
	case Any:
		return true
	case Bounded:
		return m.position > 0 && m.position >= now-q.class.MaxAge
	case Session:
		return m.position >= q.token
	}
	return false
}

// usable reports whether anything may be sent to the member: it is ready, not silent, and not set aside for
// failing.
func (r *Router) usable(m *member, now time.Duration) bool {
	if m.State != Ready || m.handover.Silent {
		return false
	}
	if r.failures.IsOutlier(&m.breaker) { // one trial at a time; a primary that fails often cannot be replaced
		trial := m.breaker.AllowsTrial(now) && len(m.inFlight) == 0
		return trial && !m.breaker.Paused(now) || m.role() == RolePrimary && (trial || !m.unresponsive)
	}
	return true
}

// overloaded reports whether the member has no room for a read: its limit is reached, or its last report shows
// waiting requests, the only evidence of what other proxies send. Later answers in time take precedence over a
// report.
func (r *Router) overloaded(now time.Duration, m *member, share float64) bool {
	queued := m.queueLength >= longQueue && now-m.queueReportedAt < reportMaxAge
	return queued && (m.LastAnswer <= m.queueReportedAt || m.LatencyRatio >= limit.HighLatencyRatio) || m.Reached(now, len(m.inFlight), share, r.requestDraw)
}

// limitShare returns the fraction of a member's limit that the request may fill.
func (r *Router) limitShare(q *request) float64 {
	merits := make([]float64, len(r.cfg.Classes))
	for i := range merits {
		merits[i] = r.cfg.Classes[i].Worth / max(r.serviceTime[i].Seconds(), 1e-6)
	}
	merit := merits[q.Class]
	if q.overQuota {
		merit *= r.cfg.OverShareWorth
	}
	return limit.LimitShare(merit, merits)
}

// selectMember returns the member for the request's next attempt, or nil and the retry-after hint of a refusal.
func (r *Router) selectMember(now time.Duration, q *request) (*member, time.Duration) {
	primary, share := q.group.primary, r.limitShare(q)
	r.requestDraw = r.rng.Float64() // one draw for all members: if each is half full, half of all requests are shed
	if q.class.primaryOnly() {
		if primary == nil || !r.usable(primary, now) {
			r.pingAndHold(now, q, len(q.group.members), func(*member) bool { return true })
			return nil, retryAfterNoPrimary
		}
		if primary.Reached(now, len(primary.inFlight), share, r.requestDraw) || !r.warmUpAllows(now, primary, 1) {
			return nil, retryAfterOverload
		}
		return primary, 0
	}
	if pinned, ok := r.pins.get(q.pinKey()); ok && q.Session != 0 && pinned.term == q.group.handover.Term() &&
		r.eligible(now, q, pinned.member) && q.qualifies(pinned.member, now) && !r.overloaded(now, pinned.member, share) {
		return pinned.member, 0
	}
	if r.isLongRead(q) {
		if list := r.longReadReplicas(now, q); len(list) > 0 {
			if i := slices.IndexFunc(list, func(m *member) bool { return !r.overloaded(now, m, share) }); i >= 0 {
				return list[i], 0
			}
			return nil, retryAfterOverload
		}
	}
	if m := r.pickReplica(now, q, share, func(m *member) bool { return q.qualifies(m, now) }); m != nil {
		return m, 0
	}
	if r.trustsMembers() {
		if m := r.pickReplica(now, q, share, q.mayQualify); m != nil {
			return m, 0
		}
	}
	// A ping frees no capacity: where peers or checkers report positions, it only helps for a member that lacks one.
	if r.pingAndHold(now, q, 1, func(m *member) bool {
		if !r.pingsAreRare() {
			return r.eligible(now, q, m) || m == primary && q.pingRounds > 0
		}
		return r.eligible(now, q, m) && !q.qualifies(m, now) && !r.overloaded(now, m, share)
	}) {
		return nil, retryAfterOverload
	}
	if primary != nil && r.usable(primary, now) && !q.tried(primary) && !r.overloaded(now, primary, primaryReadShare*share) &&
		r.warmUpAllows(now, primary, share) {
		return primary, 0
	}
	// Where members check their lag, a read cannot return stale data: a member too far behind rejects it.
	if r.cfg.LagCheck != LagCheckNone {
		if m := r.pickReplica(now, q, share, func(*member) bool { return true }); m != nil {
			return m, 0
		}
	}
	return nil, retryAfterOverload
}

// eligible reports whether a replica may get the request, regardless of its position and load.
func (r *Router) eligible(now time.Duration, q *request, m *member) bool {
	return m.role() != RolePrimary && r.usable(m, now) && !q.tried(m)
}

// pickReplica picks a random replica among those that pass the filter and are within the ping window.
func (r *Router) pickReplica(now time.Duration, q *request, share float64, filter func(*member) bool) *member {
	var candidates []*member
	for _, m := range q.group.members {
		if r.eligible(now, q, m) && filter(m) && !r.overloaded(now, m, share) {
			candidates = append(candidates, m)
		}
	}
	candidates = r.nearest(candidates)
	for len(candidates) > 0 {
		m := r.pickRandom(candidates)
		if r.warmUpAllows(now, m, share) {
			return m
		}
		candidates = slices.DeleteFunc(candidates, func(x *member) bool { return x == m })
	}
	return nil
}

// pingAndHold holds a request that cannot be placed by the known positions and roles, and pings up to count members,
// more in later rounds, drawn at random. It only does so where traffic is too low for periodic pings. It reports
// whether the request is held.
func (r *Router) pingAndHold(now time.Duration, q *request, count int, filter func(*member) bool) bool {
	if !r.cfg.EnableProbes || !r.pingOnDemand(now, q.group) || now+pingWait+r.serviceTime[q.Class] >= q.Deadline {
		return false
	}
	pinged := func(m *member) bool { return m.probing && filter(m) }
	if q.pingRounds > 0 && now-q.pingedAt < pingWait && slices.ContainsFunc(q.group.members, pinged) {
		r.holdForPing(q)
		return true
	}
	anotherRound := q.pingRounds == 0 || q.pingRounds < maxPingRounds && q.group.primary != nil // without a primary no log advances
	var candidates []*member
	for _, m := range q.group.members {
		if anotherRound && m.State == Ready && !m.probing && now-m.probedAt >= pingRepeatInterval &&
			(!m.handover.Silent || q.pingRounds == 0 && count > 1) && filter(m) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return false
	}
	r.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	if pinned, ok := r.pins.get(q.pinKey()); ok && slices.Contains(candidates, pinned.member) {
		candidates[0] = pinned.member
	} else if i := slices.Index(candidates, q.group.primary); i > 0 { // otherwise the primary is pinged first
		candidates[0], candidates[i] = candidates[i], candidates[0]
	}
	for _, m := range candidates[:min(count+q.pingRounds, len(candidates))] {
		r.probe(now, m)
	}
	q.pingRounds, q.pingedAt = q.pingRounds+1, now
	r.holdForPing(q)
	return true
}

// nearest returns the members within the ping window of the lowest ping time.
func (r *Router) nearest(list []*member) []*member {
	pingTime := func(m *member) time.Duration { return m.pingTime }
	return ping.Nearest(list, r.cfg.Tuning.PingWindow, r.pingsAreRare(), pingTime)
}

// isLongRead reports whether the request is a read that may stall replication at its replica. Spread at random,
// such reads would make every replica too old for bounded reads.
func (r *Router) isLongRead(q *request) bool {
	return q.class.Read == Any && r.pingSchedule.TightestMaxAge > 0 && r.serviceTime[q.Class] > r.pingSchedule.TightestMaxAge/longReadDivisor
}

// longReadReplicas returns the replicas for long reads: those furthest behind, in proportion to the long reads'
// part of the work. If these are overloaded, long reads are refused, because one more stalled replica costs more
// than they are worth.
func (r *Router) longReadReplicas(now time.Duration, q *request) []*member {
	var candidates []*member
	for _, m := range q.group.members {
		if r.eligible(now, q, m) && q.qualifies(m, now) && r.warmCapacity(now, m) == 1 {
			candidates = append(candidates, m)
		}
	}
	candidates = r.nearest(candidates)
	slices.SortStableFunc(candidates, func(a, b *member) int { return cmp.Compare(a.position, b.position) })
	count := int(q.group.meanLongWork/max(q.group.meanWork, 1e-9)*float64(len(candidates)) + 0.5)
	return candidates[:min(max(count, 1), len(candidates))]
}
