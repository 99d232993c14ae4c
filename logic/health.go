package logic

import (
	"time"

	"havenproxy/internal/healthcheck"
	"havenproxy/internal/peers"
	"havenproxy/internal/ping"
	"havenproxy/internal/subset"
)

// The router's part in health checks that the tier shares. Package healthcheck decides who checks what and what a
// quorum concludes. The rules on drains, data age, slow start and attempts are in logic.go and apply whatever the
// verdict.

// checkBudget limits the health checks that one proxy sends, as a token bucket that holds one second's checks.
type checkBudget struct {
	perSecond  float64 // 0 = checks are not shared, and not limited here
	tokens     float64
	refilledAt time.Duration
}

// reservedShare is the fraction of the bucket that optional checks (for positions) leave to mandatory ones: the
// tier's checks and those of members that owe an answer.
const reservedShare = 0.5

func (b *checkBudget) refill(now time.Duration) {
	b.tokens = min(b.tokens+b.perSecond*(now-b.refilledAt).Seconds(), b.perSecond)
	b.refilledAt = now
}

// spend takes a token for a check of any kind. Mandatory checks may exceed the budget; the deficit is made up
// later.
func (b *checkBudget) spend(now time.Duration) {
	b.refill(now)
	b.tokens = max(b.tokens-1, -b.perSecond)
}

// hasSpare reports whether the budget allows an optional check.
func (b *checkBudget) hasSpare(now time.Duration) bool {
	b.refill(now)
	return b.tokens > reservedShare*b.perSecond
}

// SetSharedChecks sets the number of health checks a second that this proxy may send in a tier that shares them; 0
// = the tier does not share them.
func (r *Router) SetSharedChecks(now time.Duration, perSecond float64) {
	r.checkBudget = checkBudget{perSecond: perSecond, refilledAt: now}
	r.pingSchedule.SharedChecks = perSecond > 0
	for _, m := range r.memberOrder {
		m.nextCheckAt, m.ejected = 0, false
	}
}

// sharesChecks reports whether the tier shares health checks.
func (r *Router) sharesChecks() bool { return r.checkBudget.perSecond > 0 }

// pingsAreRare reports whether shared checks or peers replace most of this proxy's pings, so that a member may be
// used without a ping time of its own.
func (r *Router) pingsAreRare() bool { return r.sharesChecks() || r.gossip.Enabled() }

// pingOnDemand reports whether the group's traffic is too low for periodic pings, so that requests trigger them.
// Where checks are shared, these stay within the budget unless the group has no primary.
func (r *Router) pingOnDemand(now time.Duration, g *group) bool {
	if r.sharesChecks() {
		return g.primary == nil || r.checkBudget.hasSpare(now)
	}
	return r.pingSchedule.ThinTraffic(now, len(g.members), r.requestRate(now, g))
}

// probe sends a health check unless one is in flight.
func (r *Router) probe(now time.Duration, m *member) {
	if r.cfg.EnableProbes && !m.probing && m.State == Ready {
		m.probing, m.probedAt = true, now
		r.checkBudget.spend(now)
		r.activate(m)
		r.actions.Probe(m.ID)
	}
}

// trustsMembers reports whether a bounded read may go to a member whose position is not known to be recent enough.
// Where checks are shared, positions arrive with answers and are outdated in groups that get few requests. Members
// that check their lag themselves answer no read from data that is too old.
func (r *Router) trustsMembers() bool { return r.sharesChecks() && r.cfg.LagCheck != LagCheckNone }

// mayQualify reports whether a member is probably recent enough for a bounded read: its lag was within the bound
// when it last reported its position, or it has reported none yet.
func (q *request) mayQualify(m *member) bool {
	return q.class.Read == Bounded && m.lag <= q.class.MaxAge
}

// recordMisdirected records that a member rejected a bounded read, so that it gets no other before it reports a
// new position.
func (m *member) recordMisdirected(q *request) {
	if q.class.Read == Bounded {
		m.lag = max(m.lag, q.class.MaxAge+1)
	}
}

// SendCheck sends a health check that this proxy owes its tier. The result arrives by Probed.
func (r *Router) SendCheck(now time.Duration, id MemberID) {
	r.ensureStarted(now)
	if m := r.members[id]; m != nil {
		r.probe(now, m)
	}
}

// InUse reports whether the group has had requests recently.
func (r *Router) InUse(now time.Duration, id GroupID) bool {
	g := r.groups[id]
	return g != nil && ping.InUse(now, g.rate.updatedAt)
}

// ApplyVerdict applies the conclusion of a quorum of the tier's checkers on a member. An ejection counts as a
// failed health check of this proxy. The end of an ejection does not count as an answer: the member is checked
// first, at once if its group is in use, otherwise when it is needed.
func (r *Router) ApplyVerdict(now time.Duration, id MemberID, verdict healthcheck.Verdict) {
	r.ensureStarted(now)
	m := r.members[id]
	if m == nil || !r.sharesChecks() {
		return
	}
	previous := m.verdict
	m.verdict, m.ejected = verdict, verdict.State == healthcheck.Ejected
	if verdict.ColdStart && !previous.ColdStart {
		r.markColdStart(now, m, verdict.RoleObservedAt)
	}
	switch {
	case m.ejected:
		r.eject(now, m)
	case verdict.Role != subset.RoleUnknown:
		r.applyObservation(m, roleOf(verdict.Role), min(verdict.Position, now), min(verdict.RoleObservedAt, now), now)
		m.peerAliveAt = max(m.peerAliveAt, min(verdict.RoleObservedAt, now))
	}
	if verdict.Failing && !previous.Failing {
		r.failures.Record(now, &m.breaker, 1)
		r.failures.ExtendPause(now, &m.breaker, r.cfg.Proxies, r.rng.Float64())
	}
	if previous.State == healthcheck.Ejected && !m.ejected && m.handover.Silent && ping.InUse(now, m.group.rate.updatedAt) {
		r.probe(now, m)
	}
	if len(r.awaitingPing) > 0 {
		r.retryAwaitingPing(now)
	}
}

// eject marks a member as silent that a quorum has ejected, as a failed check would. Peers are not informed, since
// this proxy did not observe it.
func (r *Router) eject(now time.Duration, m *member) {
	if m.handover.Silent {
		return
	}
	m.group.handover.NoteSilence(now, m.handover)
	r.updatePrimary(now, m.group)
	r.hedgeOverdue(now, m)
}

// markColdStart applies a quorum's finding that a member has just started, if nothing is known of that here. It
// can only reduce what this proxy sends: a known start stays unchanged, and a cold member is never taken for a
// warm one.
func (r *Router) markColdStart(now time.Duration, m *member, startedAt time.Duration) {
	if _, certainty := m.handover.ColdSince(now, r.cfg.ColdPeriod); certainty == 0 && startedAt > 0 {
		m.group.handover.NoteStart(now, m.handover, min(startedAt, now), false)
		r.updatePrimary(now, m.group)
	}
}

func roleOf(role subset.Role) Role {
	return [...]Role{subset.RoleUnknown: RoleUnknown, subset.Replica: RoleReplica, subset.Primary: RolePrimary}[role]
}

// ShortID returns the number by which the tier's messages identify a member.
func ShortID(id MemberID) subset.DatabaseID { return subset.DatabaseID(peers.ShortID(uint64(id))) }
