package logic

import (
	"time"

	"havenproxy/internal/healthcheck"
	"havenproxy/internal/peers"
	"havenproxy/internal/ping"
	"havenproxy/internal/subset"
)

// What a router takes over of health checks that its tier shares. Who checks what, and what a quorum concludes, is internal/healthcheck's
// to decide; the rules on drains, the age of data, slow start and attempts stay in logic.go, and hold whatever the verdict.

// checkBudget bounds the checks that one proxy sends, as a token bucket of one second.
type checkBudget struct {
	perSecond float64 // 0 = checks are not shared, and not bounded here
	saved     float64
	at        time.Duration
}

// reservedPart is the part of the bucket that checks for positions leave to the tier's checks and to answers that are owed.
const reservedPart = 0.5

func (b *checkBudget) fill(now time.Duration) {
	b.saved = min(b.saved+b.perSecond*(now-b.at).Seconds(), b.perSecond)
	b.at = now
}

// spend takes a check off, whatever it is for. Checks that are owed go out beyond the budget, and are made up for.
func (b *checkBudget) spend(now time.Duration) {
	b.fill(now)
	b.saved = max(b.saved-1, -b.perSecond)
}

// spare tells whether a check may be sent that merely helps.
func (b *checkBudget) spare(now time.Duration) bool {
	b.fill(now)
	return b.saved > reservedPart*b.perSecond
}

// SetSharedChecks tells that the tier shares health checks, and how many a second this proxy may send; 0 = they are not shared.
func (r *Router) SetSharedChecks(now time.Duration, perSecond float64) {
	r.checks = checkBudget{perSecond: perSecond, at: now}
	r.pings.SharedChecks = perSecond > 0
	for _, m := range r.order {
		m.restsTill, m.ejected = 0, false
	}
}

// sharesChecks tells whether the tier shares health checks.
func (r *Router) sharesChecks() bool { return r.checks.perSecond > 0 }

// informed tells whether others spare this proxy most pings, so that it does without one of a member's own.
func (r *Router) informed() bool { return r.sharesChecks() || r.peers.Enabled() }

// thin tells of traffic for which pings at their periods are too many, so that they go out at need. Where checks are shared these keep
// within the budget, save while a primary is looked for.
func (r *Router) thin(now time.Duration, g *group) bool {
	if r.sharesChecks() {
		return g.primary == nil || r.checks.spare(now)
	}
	return r.pings.ThinTraffic(now, len(g.members), r.rateOf(now, g))
}

// probe sends a health check, if none is out.
func (r *Router) probe(now time.Duration, m *member) {
	if r.cfg.EnableProbes && !m.probing && m.State == Ready {
		m.probing, m.probedAt = true, now
		r.checks.spend(now)
		r.wake(m)
		r.act.Probe(m.ID)
	}
}

// trustsMembers tells whether a bounded read may go to a member whose position is not known to be recent enough. Where checks are shared,
// positions come with answers and are old in groups that get few requests; members that check for themselves answer no read from data
// that is too old.
func (r *Router) trustsMembers() bool { return r.sharesChecks() && r.cfg.LagCheck != LagCheckNone }

// mayQualify tells whether a member is likely to be recent enough for a bounded read: its lag was within the bound when it last told its
// position, or it has told none yet.
func (q *request) mayQualify(m *member) bool {
	return q.class.Read == Bounded && m.lag <= q.class.MaxAge
}

// missed notes that a member turned a bounded read away, so that it gets no other before it has told its position anew.
func (m *member) missed(q *request) {
	if q.class.Read == Bounded {
		m.lag = max(m.lag, q.class.MaxAge+1)
	}
}

// SendCheck sends a health check that this proxy owes its tier. Its outcome comes as that of any other.
func (r *Router) SendCheck(now time.Duration, id MemberID) {
	r.begin(now)
	if m := r.members[id]; m != nil {
		r.probe(now, m)
	}
}

// InUse tells whether requests have come to a group lately.
func (r *Router) InUse(now time.Duration, id GroupID) bool {
	g := r.groups[id]
	return g != nil && ping.InUse(now, g.rate.last)
}

// ApplyVerdict takes what a quorum of the tier's checkers has found out about a member. A death counts as a failed health check of this
// proxy's own. Its end does not count as an answer: a member that is used is checked first, and one that is not when it is.
func (r *Router) ApplyVerdict(now time.Duration, id MemberID, v healthcheck.Verdict) {
	r.begin(now)
	m := r.members[id]
	if m == nil || !r.sharesChecks() {
		return
	}
	was := m.verdict
	m.verdict, m.ejected = v, v.State == healthcheck.Ejected
	if v.ColdStart && !was.ColdStart {
		r.startedCold(now, m, v.RoleObservedAt)
	}
	switch {
	case m.ejected:
		r.eject(now, m)
	case v.Role != subset.RoleUnknown:
		r.believe(m, roleOf(v.Role), min(v.Position, now), min(v.RoleObservedAt, now), now)
		m.toldAt = max(m.toldAt, min(v.RoleObservedAt, now))
	}
	if v.Failing && !was.Failing {
		r.failures.Record(now, &m.bench, 1)
		r.failures.ExtendPause(now, &m.bench, r.cfg.Proxies, r.rng.Float64())
	}
	if was.State == healthcheck.Ejected && !m.ejected && m.seat.Silent && ping.InUse(now, m.group.rate.last) {
		r.probe(now, m)
	}
	if len(r.held) > 0 {
		r.retryHeld(now)
	}
}

// eject marks a member silent that is dead by the word of a quorum, as a failed check would. Peers are not told: it was not seen here.
func (r *Router) eject(now time.Duration, m *member) {
	if m.seat.Silent {
		return
	}
	m.group.lead.NoteSilence(now, m.seat)
	r.follow(now, m.group)
	r.hedge(now, m)
}

// startedCold takes the word of a quorum that a member has just started, where nothing is known of it here. It only ever makes this proxy
// send less: a start that is known stays as it is, and a member that is cold is never taken for a warm one.
func (r *Router) startedCold(now time.Duration, m *member, at time.Duration) {
	if _, sure := m.seat.ColdSince(now, r.cfg.ColdPeriod); sure == 0 && at > 0 {
		m.group.lead.NoteStart(now, m.seat, min(at, now), false)
		r.follow(now, m.group)
	}
}

func roleOf(role subset.Role) Role {
	return [...]Role{subset.RoleUnknown: RoleUnknown, subset.Replica: RoleReplica, subset.Primary: RolePrimary}[role]
}

// ShortID gives the number of a member in the tier's messages.
func ShortID(id MemberID) subset.DatabaseID { return subset.DatabaseID(peers.ShortID(uint64(id))) }
