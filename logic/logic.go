// Package logic decides which member of a replicated database group receives each read and write of a proxy.
//
// It follows the "Driver Read Preferences" specification: a request's class determines its read mode, the group's
// members are filtered by role and known log position, one of those whose ping time is at most 15 ms above the
// lowest is picked at random, and a session's reads stay pinned to a replica. Safeguards around that path act only
// on failures; docs/design.md lists when each does. The interface is in api.go, the state in state.go, the choice
// of a member in selection.go, and time-driven work in housekeeping.go and rounds.go.
package logic

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"havenproxy/internal/handover"
	"havenproxy/internal/limit"
	"havenproxy/internal/peers"
	"havenproxy/internal/ping"
)

const (
	longReadDivisor      = 3   // a read longer than the tightest staleness bound / 3 may delay a replica beyond that bound
	pingWeight           = 0.2 // moving average over about the last ten pings
	maxReadAttempts      = 3   // members that a read may try: the first and up to two more
	stallThreshold       = 100 * time.Millisecond
	housekeepingInterval = 10 * time.Millisecond  // interval at which silence, due pings and waiting requests are checked
	startupHold          = 300 * time.Millisecond // how long a new router waits for first pings, which take milliseconds

	rateWindow         = 10 * time.Second      // time over which traffic is averaged
	pingWait           = 25 * time.Millisecond // a ping takes a few milliseconds; after this wait other members are pinged
	pingRepeatInterval = 100 * time.Millisecond
	maxPingRounds      = 2

	// Pings bypass the member's queue, so a longer wait indicates a fault of the machine or the network.
	silentAfter = 80 * time.Millisecond

	longQueue        = 1.0 // reported waiting requests at which the member is fully occupied
	reportMaxAge     = time.Second
	primaryReadShare = 0.7 // fraction of the primary's limit that reads may use; the rest is for writes

	retryShare   = 0.2  // retries as a fraction of all requests
	retryReserve = 30.0 // retries saved for a short burst of failures

	retryAfterNoPrimary = 500 * time.Millisecond // a failover takes seconds
	retryAfterOverload  = 150 * time.Millisecond // an overload eases within a few service times

	listRoleAge     = 5 * time.Second  // assumed age of a role that a list names
	silentRetention = 30 * time.Second // how long a silent member is kept after the list dropped it, with Config.IgnoreGone

	coldOverloadShare     = 0.5     // fraction of OverloadMultiple used for a member that is certainly cold,
	doubtfulOverloadShare = 0.7     // and for one that is almost certainly not: it would bear this even if it were cold
	workWeight            = 0.005   // averages the work per request over the last hundreds of requests
	aimPerServiceTime     = 4       // initial service time is aim / 4: aims allow a few times the service time
	serviceTimeQuantile   = 0.3     // quantile of a class's answer times that estimates its service time
	slowTimeQuantile      = 0.95    // quantile of a class's answer times beyond which an answer is overdue
	lossWeight            = 0.02    // weight of one attempt in the moving average of lost answers
	maxLoss               = 0.05    // in normal operation the share stays far below
	maxSessionEntries     = 1 << 15 // capacity for pins, and for session commits
	tickTimer             = TimerID(1)
)

// New returns a router for one proxy, or an error that names the invalid field of cfg. The router calls no action
// before its first event.
func New(cfg Config, actions Actions) (*Router, error) {
	if err := validate(&cfg, actions); err != nil {
		return nil, err
	}
	r := &Router{cfg: cfg, actions: actions, rng: rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		members: map[MemberID]*member{}, groups: map[GroupID]*group{}, requests: map[RequestID]*request{},
		serviceTime: make([]time.Duration, len(cfg.Classes)), slowTime: make([]time.Duration, len(cfg.Classes)),
		retryTokens: retryReserve, handover: handover.New(cfg.Handover),
		pingSchedule: ping.Schedule{Proxies: cfg.Proxies, ClockResolution: cfg.Tick, MaxConnections: cfg.MaxConnections}, listCalls: limit.CallSchedule{MaxDelay: cfg.ListMaxDelay}}
	r.unlistedGroup = r.newGroup(-1)
	r.pins.init(maxSessionEntries)
	r.sessionCommits.init(maxSessionEntries)
	for i, c := range cfg.Classes {
		r.serviceTime[i], r.slowTime[i] = c.Aim/aimPerServiceTime, c.Aim
	}
	r.pingSchedule.TightestMaxAge = tightestBound(cfg.Classes)
	quotas := make([]float64, len(cfg.Tenants))
	for i, t := range cfg.Tenants {
		quotas[i] = r.proxyShare(t.Quota)
	}
	r.quotas, r.gossip = limit.NewQuotas(quotas), r.newGossip()
	return r, nil
}

// ---- State of members and groups ----

// Members handles an event of the member list.
func (r *Router) Members(now time.Duration, list MemberList) {
	r.ensureStarted(now)
	if r.cfg.ListOnRequest && list.Kind != ListCached {
		r.listCalls.NoteEnd(now, list.Kind == ListFailed, r.rng.Float64())
	}
	if list.Kind == ListFailed {
		return
	}
	if list.Kind != ListDelta {
		for _, m := range r.memberOrder {
			m.listed = false
		}
	}
	for _, e := range list.Entries {
		r.updateMember(now, e)
	}
	r.memberOrder = slices.DeleteFunc(r.memberOrder, func(m *member) bool { return !m.listed && r.removeUnlisted(now, m) })
	r.pingSchedule.ListedDatabases = len(r.memberOrder)
	r.retryAwaitingPing(now)
}

// updateMember applies an entry of the list, which may name a new or a restarted member.
func (r *Router) updateMember(now time.Duration, entry Member) {
	m := r.members[entry.ID]
	known := m != nil
	if !known {
		g := r.listedGroup(entry.Group)
		m = &member{group: g, Limit: limit.New(r.cfg.Proxies, r.cfg.Tuning.FirstLimit), warmUpBudget: limit.NewColdBudget(),
			firstPingAt: r.firstPingTime(now)}
		m.handover = g.handover.AddMember(uint64(entry.ID))
		r.members[entry.ID] = m
		r.memberOrder = append(r.memberOrder, m)
		r.gossip.Add(uint64(entry.ID))
		g.members = append(g.members, m) // a positive StartedAt makes it cold, below
	}
	if entry.StartedAt > m.StartedAt { // restarted: its role is unknown again; its log continues from where it was
		m.group.handover.NoteStart(now, m.handover, entry.StartedAt, known)
		m.restarted()
	}
	m.listed = entry.State != Gone
	if r.cfg.IgnoreGone && !m.listed { // the list does not prove that the member is gone: pings and answers decide
		entry.State = m.State
	}
	m.Member = entry
	m.group.handover.SetDiscoveryState(now, m.handover, handover.DiscoveryState(entry.State))
	if entry.Primary && r.cfg.ListRole != ListRoleNone {
		m.group.handover.NoteListedPrimary(now, m.handover, max(now-listRoleAge, entry.StartedAt), r.cfg.ListRole == ListRoleLate)
	}
	r.updatePrimary(now, m.group)
}

// removeUnlisted treats a member that the list no longer names as gone, unless Config.IgnoreGone is set, and
// reports whether it has forgotten the member.
func (r *Router) removeUnlisted(now time.Duration, m *member) bool {
	if m.State != Gone && !r.cfg.IgnoreGone {
		m.State = Gone
		m.group.handover.SetDiscoveryState(now, m.handover, handover.Unlisted)
		r.updatePrimary(now, m.group)
	}
	if len(m.inFlight) > 0 || m.probing || m.State == Ready && (!m.handover.Silent || now-m.handover.SilentSince <= silentRetention) {
		return false
	}
	delete(r.members, m.ID)
	r.gossip.Remove(uint64(m.ID))
	m.group.members = slices.DeleteFunc(m.group.members, func(x *member) bool { return x == m })
	m.group.handover.RemoveMember(now, m.handover)
	r.updatePrimary(now, m.group) // the removed member may have taken precedence over another one
	if len(m.group.members) == 0 {
		for _, id := range m.group.handover.ReleaseOrder(now) { // the group is not visited any more
			r.finish(now, r.requests[RequestID(id)], retryAfterNoPrimary)
		}
		delete(r.groups, m.Group)
		r.groupOrder = slices.DeleteFunc(r.groupOrder, func(g GroupID) bool { return g == m.Group })
		r.activeGroups = slices.DeleteFunc(r.activeGroups, func(g *group) bool { return g == m.group })
		r.leaveRounds(m.group)
	}
	return true
}

// updatePrimary takes over the primary that the handover state names. If that is a new one, it cancels attempts of
// silent members that may be repeated at the new primary.
func (r *Router) updatePrimary(now time.Duration, g *group) {
	previous := g.primary
	if g.primary = nil; g.handover.Primary() != nil {
		g.primary = r.members[MemberID(g.handover.Primary().ID)]
	}
	r.activateGroup(now, g)
	if previous != nil && g.primary == nil {
		r.enterRounds(now, g)
	}
	if p := g.primary; p == nil || p == previous || !r.cfg.EnableCancel || !r.handover.Config().Hold {
		return
	}
	for _, m := range g.members {
		for _, a := range m.inFlight {
			q := a.request
			if m.handover.Silent && !a.cancelled && q.class.primaryOnly() && r.mayRetry(now, q) && now < r.retryDeadline(q, a) {
				a.cancelled = true
				r.actions.Cancel(q.ID, a.index)
			}
		}
	}
}

// observe records a role and a position that this proxy has seen and that were true at the time at.
func (r *Router) observe(m *member, role Role, position, at, now time.Duration) {
	r.gossip.Observe(now, uint64(m.ID), peers.Role(role), at, position)
	r.applyObservation(m, role, position, at, now)
	if position > 0 {
		m.lag = now - m.position
	}
}

// applyObservation applies a role and a position, whether seen by this proxy or reported by others.
func (r *Router) applyObservation(m *member, role Role, position, at, now time.Duration) {
	if position > 0 {
		m.positionAt = max(m.positionAt, at)
		m.position = max(m.position, min(position, now))
	}
	m.group.handover.NoteRole(now, m.handover, handover.Role(role), at)
	m.handover.NotePosition(now, position)
	r.updatePrimary(now, m.group)
}

// markAlive records a sign of life. A member that returns from a long silence may have restarted, so it counts as
// cold.
func (r *Router) markAlive(m *member, now time.Duration) {
	m.aliveAt = now
	returned, mayHaveRestarted := m.group.handover.NoteResponse(now, m.handover)
	if mayHaveRestarted {
		m.Reset()
	}
	if returned {
		r.updatePrimary(now, m.group)
	}
}

// markSilent marks a member as silent that owes answers and gives none. Reads that are safe to repeat are sent
// elsewhere.
func (r *Router) markSilent(m *member, now time.Duration) {
	if m.handover.Silent {
		return
	}
	m.group.handover.NoteSilence(now, m.handover)
	r.gossip.ObserveFailure(now, uint64(m.ID), peers.Silent)
	r.updatePrimary(now, m.group)
	r.hedgeOverdue(now, m)
}

// hedgeOverdue sends copies of the attempts that a silent member owes. It also sends copies of overdue attempts if
// answers are being lost, that is, if many are missing although those that arrive are in time; otherwise overdue
// attempts indicate overload, which copies would worsen. An overdue attempt counts as a failure, so that a member
// that only answers pings is found to be failing.
func (r *Router) hedgeOverdue(now time.Duration, m *member) {
	for _, a := range m.inFlight { // a copy may be appended during the loop; nothing is removed
		q, age := a.request, now-a.sentAt
		if !a.overdue && age > max(2*r.slowTime[q.Class], q.class.Aim) {
			a.overdue, m.unresponsive = true, true
			r.failures.Record(now, &m.breaker, 1)
			if m.LatencyRatio < limit.HighLatencyRatio && !m.handover.Silent {
				r.loss += lossWeight * (1 - r.loss)
			}
		}
		answersLost := r.lossy(m) && age > r.slowTime[q.Class] && !r.isLongRead(q)
		if (m.handover.Silent || answersLost) && a == q.attempts[len(q.attempts)-1] && !q.awaitingPing && r.mayRetry(now, q) {
			r.route(now, q)
		}
	}
}

// lossy reports whether answers are being lost although the member answers in time.
func (r *Router) lossy(m *member) bool {
	return r.loss > maxLoss && m.LatencyRatio < limit.HighLatencyRatio
}

// ---- Requests, attempts and outcomes ----

// Request handles a client's request: it is sent, held while a new router waits for pings, or answered at once.
func (r *Router) Request(now time.Duration, in Request) {
	r.ensureStarted(now)
	if in.Class < 0 || in.Class >= len(r.cfg.Classes) || r.requests[in.ID] != nil {
		r.actions.Fail(in.ID)
		return
	}
	g := r.requestedGroup(in.Group)
	if !r.admits(now, &in, g) {
		r.shed(&in, g)
		return
	}
	q := &request{Request: in, class: &r.cfg.Classes[in.Class], group: g, arrivedAt: now,
		maxAttempts: r.cfg.MaxAttempts}
	r.requests[in.ID] = q
	q.group.rate.add(now, rateWindow)
	r.enterRounds(now, g)
	q.overQuota = r.quotas.Exceeded(now, in.Tenant)
	r.retryTokens = min(r.retryTokens+retryShare, retryReserve)
	q.group.recordWork(r.serviceTime[q.Class].Seconds(), q.class.Worth, r.isLongRead(q))
	if q.class.Read == Bounded {
		r.pingSchedule.NoteBoundedRead(now)
	}
	q.token = r.sessionToken(now, &in)
	if r.startingUp(now, q.group) {
		r.holdForPing(q)
	} else {
		r.tryStart(now, q)
	}
}

// tryStart makes the first attempt of a request. If no member can be chosen, the request is held or answered.
func (r *Router) tryStart(now time.Duration, q *request) {
	if ok, retryAfter := r.route(now, q); !ok && !q.awaitingPing && !q.hasOpenAttempt() {
		r.holdOrFinish(now, q, retryAfter, q.group.handover.HeldCount())
	}
}

// holdOrFinish holds a request for a primary that will probably be available in time, and otherwise answers it at
// once. ahead is the number of held requests that precede it.
func (r *Router) holdOrFinish(now time.Duration, q *request, retryAfter time.Duration, ahead int) {
	if !q.class.primaryOnly() {
		r.finish(now, q, retryAfter)
		return
	}
	held := q.heldRequest(r.serviceTime[q.Class], r.usualTime(q), ahead)
	for _, a := range q.attempts {
		held.Deadline = min(held.Deadline, r.retryDeadline(q, a))
	}
	ok, holdHint, displaced := q.group.handover.Hold(now, held)
	// With jitter, a longer hint would be cut to MaxRetryAfter, and all clients would return at once.
	holdHint = min(holdHint, r.cfg.MaxRetryAfter*2/3)
	for _, id := range displaced {
		r.finish(now, r.requests[RequestID(id)], holdHint)
	}
	r.activateGroup(now, q.group)
	if q.awaitingPrimary = ok; !ok {
		r.finish(now, q, cmp.Or(holdHint, retryAfter))
	}
}

// releaseHeld sends the requests that wait for a primary, as far as the primary can take them, and decides again
// whether the others stay held.
func (r *Router) releaseHeld(now time.Duration, g *group) {
	g.handover.Tick(now)
	for i, id := range g.handover.ReleaseOrder(now) {
		q := r.requests[RequestID(id)]
		if q == nil || q.done || q.awaitingPing || q.hasOpenAttempt() {
			continue
		}
		if now+r.usualTime(q) < q.Deadline { // a request with barely enough time left might be executed and still fail
			r.route(now, q)
		}
		if q.awaitingPrimary && !q.awaitingPing {
			r.holdOrFinish(now, q, retryAfterOverload, i)
		}
	}
}

// retryDeadline returns when a retry of q is too late, given its earlier attempt a.
func (r *Router) retryDeadline(q *request, a *attempt) time.Duration {
	if q.class.Effect != Guarded || !a.open && !a.mayHaveRun {
		return q.Deadline
	}
	return min(q.Deadline, r.handover.Config().ResendDeadline(a.sentAt, q.class.DedupWindow, r.slowTime[q.Class]))
}

// holdForPing holds a request until retryAwaitingPing tries it again.
func (r *Router) holdForPing(q *request) {
	if !q.awaitingPing {
		q.awaitingPing = true
		r.awaitingPing = append(r.awaitingPing, q)
	}
}

// route makes the request's next attempt if a member can be chosen. Otherwise it returns false and the retry-after
// hint.
func (r *Router) route(now time.Duration, q *request) (bool, time.Duration) {
	m, retryAfter := r.selectMember(now, q)
	return m != nil && r.send(now, q, m), retryAfter
}

// send is the only method that sends a request. It checks every rule once more.
func (r *Router) send(now time.Duration, q *request, m *member) bool {
	if q.Deadline-now <= r.serviceTime[q.Class] { // too little time is left; lower the estimate so that the class is tried again
		limit.UpdateQuantile(&r.serviceTime[q.Class], 0, serviceTimeQuantile)
		return false
	}
	if q.done || m.group != q.group || m.State != Ready || !r.effectAllows(now, q, m) ||
		q.maxAttempts > 0 && len(q.attempts) >= q.maxAttempts {
		return false
	}
	deadline := q.Deadline
	for _, a := range q.attempts { // a retry must not be in flight when members no longer recognize it as a repeat
		deadline = min(deadline, r.retryDeadline(q, a))
	}
	if q.awaitingPrimary { // whatever caused the send
		q.awaitingPrimary = false
		q.group.handover.Release(uint64(q.ID))
	}
	if len(q.attempts) > 0 {
		r.retryTokens--
	}
	a := &attempt{request: q, index: len(q.attempts), member: m, sentAt: now, open: true}
	q.attempts = append(q.attempts, a)
	m.inFlight = append(m.inFlight, a)
	r.activate(m)
	m.warmUpBudget.Spend(r.serviceTime[q.Class].Seconds()) // only matters while the member is cold
	r.actions.Send(q.ID, m.ID, deadline-now)
	return true
}

// effectAllows prevents a request from being executed twice. An attempt in flight counts as possibly executed.
func (r *Router) effectAllows(now time.Duration, q *request, m *member) bool {
	if !r.cfg.ParallelAttempts && q.hasOpenAttempt() {
		return false
	}
	for _, a := range q.attempts {
		switch {
		case q.class.Effect == Idempotent || !a.open && !a.mayHaveRun:
		case q.class.Effect == SingleShot, now+r.serviceTime[q.Class] >= r.retryDeadline(q, a),
			q.class.Scope == ScopeZone && a.member.Zone != m.Zone:
			return false
		}
	}
	return true
}

// finish is the only method that gives a final answer: a refusal if a retry by the client can do no harm, a
// failure otherwise.
func (r *Router) finish(now time.Duration, q *request, retryAfter time.Duration) {
	if q == nil || q.done {
		return
	}
	q.done = true
	q.group.handover.Release(uint64(q.ID))
	if !q.mayHaveRun && !q.hasOpenAttempt() || q.class.Effect == Idempotent || q.class.Effect == Guarded && q.class.Scope == ScopeAll {
		// Jitter keeps refused clients from returning at the same time.
		retryAfter = min(retryAfter/2+time.Duration(r.rng.Int64N(int64(retryAfter)+1)), r.cfg.MaxRetryAfter)
		if !r.cfg.EnableRetryAfter {
			retryAfter = 0
		}
		if !q.overQuota {
			r.quotas.Refund(q.Tenant)
		}
		r.refusalCounts[r.refusalReason(now, q)]++
		if counts := q.classCounts(); q.class.primaryOnly() && q.group.primary == nil {
			counts.NoPrimary++
		} else {
			counts.Refused++
			q.group.demand.recordRefusal(now, q.demandKey())
		}
		r.actions.Refuse(q.ID, retryAfter)
	} else {
		q.classCounts().Failed++
		r.actions.Fail(q.ID)
	}
	r.forget(q)
}

// forget drops a finished request, and cancels its open attempts.
func (r *Router) forget(q *request) {
	if !q.hasOpenAttempt() {
		delete(r.requests, q.ID)
		return
	}
	for _, a := range q.attempts {
		if a.open && r.cfg.EnableCancel && !a.cancelled {
			a.cancelled = true
			r.actions.Cancel(q.ID, a.index)
		}
	}
}

// ResponseStarted records that a streamed answer has begun: the client has received a part of it, so no copy may
// be sent.
func (r *Router) ResponseStarted(now time.Duration, id RequestID, _ int) {
	r.ensureStarted(now)
	if q := r.requests[id]; q != nil {
		q.done = true
	}
}

// Abandoned records that the client has left. The attempt's member is charged with a late answer: clients that
// leave early would otherwise hide an overload.
func (r *Router) Abandoned(now time.Duration, id RequestID) {
	r.ensureStarted(now)
	if q := r.requests[id]; q != nil && !q.done {
		q.done = true
		q.group.handover.Release(uint64(id))
		q.classCounts().Late++
		for _, a := range q.attempts {
			if a.open {
				r.recordLatency(now, a.member, q.class.Aim, limit.TimeoutLatencyRatio)
			}
		}
		r.forget(q)
	}
}

// Outcome handles the end of an attempt.
func (r *Router) Outcome(now time.Duration, o Outcome) {
	r.ensureStarted(now)
	q := r.requests[o.Request]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || !q.attempts[o.Attempt].open {
		return
	}
	a := q.attempts[o.Attempt]
	a.open = false
	a.member.inFlight = slices.DeleteFunc(a.member.inFlight, func(x *attempt) bool { return x == a })
	a.mayHaveRun, q.lastResult = !o.Result.NeverRan(), o.Result
	q.mayHaveRun = q.mayHaveRun || a.mayHaveRun
	r.recordOutcome(now, a, o)
	if o.Finished && !q.done {
		q.done = true
		q.countOutcome(now, o)
	}
	if q.group.handover.HeldCount() > 0 && a.member == q.group.primary {
		defer r.releaseHeld(now, q.group) // the primary has room for a held request
	}
	if q.done {
		r.forget(q)
		return
	}
	ok, retryAfter := false, retryAfterOverload
	if r.mayRetry(now, q) {
		ok, retryAfter = r.route(now, q)
	}
	if !ok && !q.hasOpenAttempt() && !q.awaitingPing {
		r.holdOrFinish(now, q, retryAfter, q.group.handover.HeldCount())
	}
}

// mayRetry limits further attempts: per request, as a share of all traffic (so that they don't worsen an
// overload), and in time.
func (r *Router) mayRetry(now time.Duration, q *request) bool {
	maxAttempts := maxReadAttempts
	// There is no alternative to the primary, and one that fails often still serves some requests.
	if q.class.primaryOnly() && q.lastResult == Failed {
		maxAttempts = cmp.Or(q.maxAttempts, maxReadAttempts)
	}
	return !q.done && len(q.attempts) < maxAttempts && q.retriesAllowed() && r.retryTokens >= 1 &&
		now+r.serviceTime[q.Class] < q.Deadline
}

// recordOutcome updates the state from an outcome: signs of life, role, position, latency, failures, commits and
// pins.
func (r *Router) recordOutcome(now time.Duration, a *attempt, o Outcome) {
	q, m := a.request, a.member
	switch o.Result {
	case OK, Misdirected, Failed, Rejected:
		r.markAlive(m, now)
		m.unresponsive = false
		role, position := o.Role, o.Position
		if q.class.Read == Write && o.Result == Misdirected && role == RoleUnknown {
			role = RoleReplica
		}
		if q.class.Read == Write && o.Result == OK { // the position is the commit's, not the member's
			if !r.cfg.SessionTokens && q.Session != 0 {
				r.sessionCommits.add(q.Session, cmp.Or(position, now))
			}
			position = 0
			q.group.handover.NoteWriteServed(now)
		}
		r.applyConnectionAge(now, m, o.ConnOpenedAt)
		r.observe(m, role, position, now, now)
		if o.Load.Queue >= 0 {
			m.queueLength, m.queueReportedAt = o.Load.Queue, now
		}
		r.observe(m, o.Load.Role, o.Load.Position, cmp.Or(o.Load.Position, now), now)
	}
	switch o.Result {
	case Misdirected:
		m.recordMisdirected(q)
	case OK:
		elapsed := now - a.sentAt
		limit.UpdateQuantile(&r.serviceTime[q.Class], elapsed, serviceTimeQuantile)
		limit.UpdateQuantile(&r.slowTime[q.Class], elapsed, slowTimeQuantile)
		r.recordLatency(now, m, q.class.Aim, min(float64(elapsed)/float64(q.class.Aim), limit.TimeoutLatencyRatio))
		r.failures.Record(now, &m.breaker, 0)
		r.loss -= lossWeight * r.loss
		if q.class.Read != Write && q.Session != 0 && m.role() == RoleReplica {
			r.pins.put(q.pinKey(), pin{m, q.group.handover.Term()})
		}
	case TimedOut:
		if !r.lossy(m) {
			r.recordLatency(now, m, q.class.Aim, limit.TimeoutLatencyRatio)
		}
	case Failed, Rejected, ConnectFailed, Reset:
		if r.recordFailure(now, m); o.Result == Rejected {
			r.recordLatency(now, m, q.class.Aim, limit.TimeoutLatencyRatio)
		}
		if o.Result == ConnectFailed {
			r.probe(now, m)
		}
		if o.DialRefused {
			m.handover.NoteRefusedDial()
		}
	}
}

// ---- Safeguards against overload, and for cold members ----

// recordLatency updates the member's limit with an answer time over its aim, unless the delay may be due to a
// stall of this proxy.
func (r *Router) recordLatency(now time.Duration, m *member, aim time.Duration, strain float64) {
	if !r.stalled(now) {
		m.RecordAnswer(now, aim, strain, len(m.inFlight))
	}
}

// proxyShare returns this proxy's part of a total for all proxies.
func (r *Router) proxyShare(total float64) float64 { return total / float64(max(r.cfg.Proxies, 1)) }

// warmUpAllows keeps a recently started member from being overloaded. The member's work budget refills at this
// proxy's work per member of the group, times the member's present fraction of its capacity, times half of
// Config.OverloadMultiple. It starts with a random debt and is never positive, so that the sum over all proxies is
// bounded.
func (r *Router) warmUpAllows(now time.Duration, m *member, share float64) bool {
	startedAt, certainty := m.handover.ColdSince(now, r.cfg.ColdPeriod)
	if certainty == 0 {
		return true
	} else if r.gossip.Enabled() && !r.coldPriority.Admits(share, r.requestDraw) {
		return false
	}
	overloadShare := coldOverloadShare + (doubtfulOverloadShare-coldOverloadShare)*(1-certainty)
	budgetShare := r.warmCapacitySince(now, startedAt) * max(r.cfg.OverloadMultiple*overloadShare, 1) / r.sharingMembers(m.group)
	initialDebt := func() float64 { return r.rng.Float64() * m.group.meanWork }
	ok := m.warmUpBudget.Allows(now, startedAt, initialDebt, budgetShare*r.requestRate(now, m.group)*m.group.meanWork)
	if share >= 1 && m.role() != RolePrimary {
		r.coldPriority.Record(ok)
	}
	return ok
}
