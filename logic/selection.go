package logic

import (
	"cmp"
	"slices"
	"time"

	"havenproxy/internal/limit"
	"havenproxy/internal/ping"
)

// How a request's member is chosen: by mode, role, known log position, ping window and pin.

// primaryMode tells whether the class goes to the primary alone; all others are secondary-preferred.
func (c *Class) primaryMode() bool { return c.Read == Write || c.Read == Fresh }

// qualifies is the filter on log positions. The known position is a lower bound, so its age is an upper one.
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

// usable tells whether anything may be sent to the member at all: ready, not silent, not benched.
func (r *Router) usable(m *member, now time.Duration) bool {
	if m.State != Ready || m.seat.Silent {
		return false
	}
	if r.failures.IsOutlier(&m.bench) { // one trial at a time; a primary that fails often is all there is
		trial := m.bench.AllowsTrial(now) && len(m.out) == 0
		return trial && !m.bench.Paused(now) || m.role() == RolePrimary && (trial || !m.stuck)
	}
	return true
}

// crowded tells whether the member has no room for a read: it is filled, or its last report shows requests
// that wait, the one sign of what other fronts send. Answers in time since then outrank a report.
func (r *Router) crowded(now time.Duration, m *member, part float64) bool {
	waits := m.queue >= queueLong && now-m.queueAt < reportLife
	return waits && (m.LastAnswer <= m.queueAt || m.Strain >= limit.HighStrain) || m.Reached(now, len(m.out), part, r.luck)
}

// merit gives the part of a member's limit that the request may fill.
func (r *Router) merit(q *request) float64 {
	all := make([]float64, len(r.cfg.Classes))
	for i := range all {
		all[i] = r.cfg.Classes[i].Worth / max(r.cost[i].Seconds(), 1e-6)
	}
	own := all[q.Class]
	if q.over {
		own *= r.cfg.OverShareWorth
	}
	return limit.LimitShare(own, all)
}

// choose gives the member for the request's next attempt, or nil and the hint for a refusal.
func (r *Router) choose(now time.Duration, q *request) (*member, time.Duration) {
	p, part := q.group.primary, r.merit(q)
	r.luck = r.rng.Float64() // one draw for all members: where each is half full, half of all requests are shed
	if q.class.primaryMode() {
		if p == nil || !r.usable(p, now) {
			r.inquire(now, q, len(q.group.members), func(*member) bool { return true })
			return nil, hintNoPrimary
		}
		if p.Reached(now, len(p.out), part, r.luck) || !r.bears(now, p, 1) {
			return nil, hintCrowded
		}
		return p, 0
	}
	if at, ok := r.pins.get(q.pinKey()); ok && q.Session != 0 && at.term == q.group.lead.Term() &&
		r.eligible(now, q, at.to) && q.qualifies(at.to, now) && !r.crowded(now, at.to, part) {
		return at.to, 0
	}
	if r.long(q) {
		if list := r.stragglers(now, q); len(list) > 0 {
			if i := slices.IndexFunc(list, func(m *member) bool { return !r.crowded(now, m, part) }); i >= 0 {
				return list[i], 0
			}
			return nil, hintCrowded
		}
	}
	if m := r.pick(now, q, part, func(m *member) bool { return q.qualifies(m, now) }); m != nil {
		return m, 0
	}
	if r.trustsMembers() {
		if m := r.pick(now, q, part, q.mayQualify); m != nil {
			return m, 0
		}
	}
	if r.inquire(now, q, 1, func(m *member) bool { // a ping makes no room, where peers tell the rest
		if !r.informed() {
			return r.eligible(now, q, m) || m == p && q.asked > 0
		}
		return r.eligible(now, q, m) && !q.qualifies(m, now) && !r.crowded(now, m, part)
	}) {
		return nil, hintCrowded
	}
	if p != nil && r.usable(p, now) && !q.tried(p) && !r.crowded(now, p, spillPart*part) &&
		r.bears(now, p, part) {
		return p, 0
	}
	// Where members check for themselves, a send can't go stale: one that is too far behind turns it away.
	if r.cfg.LagCheck != LagCheckNone {
		if m := r.pick(now, q, part, func(*member) bool { return true }); m != nil {
			return m, 0
		}
	}
	return nil, hintCrowded
}

// eligible tells whether a replica may be sent the request at all, its position and crowding aside.
func (r *Router) eligible(now time.Duration, q *request, m *member) bool {
	return m.role() != RolePrimary && r.usable(m, now) && !q.tried(m)
}

// pick draws from the replicas that pass the filter, within the ping window of the quickest.
func (r *Router) pick(now time.Duration, q *request, part float64, filter func(*member) bool) *member {
	var near []*member
	for _, m := range q.group.members {
		if r.eligible(now, q, m) && filter(m) && !r.crowded(now, m, part) {
			near = append(near, m)
		}
	}
	near = r.nearest(near)
	for len(near) > 0 {
		m := r.draw(near)
		if r.bears(now, m, part) {
			return m
		}
		near = slices.DeleteFunc(near, func(x *member) bool { return x == m })
	}
	return nil
}

// inquire holds what known positions and roles don't serve while it pings members drawn at random, where
// traffic is too thin to ping all the time. It tells whether the request is to wait.
func (r *Router) inquire(now time.Duration, q *request, n int, filter func(*member) bool) bool {
	if !r.cfg.EnableProbes || !r.thin(now, q.group) || now+askWait+r.cost[q.Class] >= q.Deadline {
		return false
	}
	waits := func(m *member) bool { return m.probing && filter(m) }
	if q.asked > 0 && now-q.askedAt < askWait && slices.ContainsFunc(q.group.members, waits) {
		r.hold(q)
		return true
	}
	more := q.asked == 0 || q.asked < askRounds && q.group.primary != nil // without one all logs stand still
	var list []*member
	for _, m := range q.group.members {
		if more && m.State == Ready && !m.probing && now-m.probedAt >= askAgain &&
			(!m.seat.Silent || q.asked == 0 && n > 1) && filter(m) {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return false
	}
	r.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if at, ok := r.pins.get(q.pinKey()); ok && slices.Contains(list, at.to) {
		list[0] = at.to
	} else if i := slices.Index(list, q.group.primary); i > 0 { // next in line
		list[0], list[i] = list[i], list[0]
	}
	for _, m := range list[:min(n+q.asked, len(list))] {
		r.probe(now, m)
	}
	q.asked, q.askedAt = q.asked+1, now
	r.hold(q)
	return true
}

// nearest keeps those within the ping window of the quickest.
func (r *Router) nearest(list []*member) []*member {
	pingOf := func(m *member) time.Duration { return m.ping }
	return ping.Nearest(list, r.cfg.Tuning.PingWindow, r.informed(), pingOf)
}

// long tells of reads that may stall applying: spread at random they push each replica out of the filter.
func (r *Router) long(q *request) bool {
	return q.class.Read == Any && r.pings.TightestMaxAge > 0 && r.cost[q.Class] > r.pings.TightestMaxAge/longPart
}

// stragglers gives where long reads go: to the replicas furthest behind, as many as their part of the work
// asks for. When those are crowded, long reads are refused: one more stalled costs more than they are worth.
func (r *Router) stragglers(now time.Duration, q *request) []*member {
	var all []*member
	for _, m := range q.group.members {
		if r.eligible(now, q, m) && q.qualifies(m, now) && r.warmth(now, m) == 1 {
			all = append(all, m)
		}
	}
	all = r.nearest(all)
	slices.SortStableFunc(all, func(a, b *member) int { return cmp.Compare(a.position, b.position) })
	n := int(q.group.longWork/max(q.group.work, 1e-9)*float64(len(all)) + 0.5)
	return all[:min(max(n, 1), len(all))]
}
