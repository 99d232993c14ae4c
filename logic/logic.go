// Package logic decides where a gateway sends each read and write of replicated database groups.
//
// It follows "Driver Read Preferences": a request's class gives its read mode, the group's members are
// filtered by role and known log position, one of those at most 15 ms slower than the quickest ping is picked
// at random, and a session's reads stay pinned. Guards around that path act only when something fails;
// docs/design.md lists when each does. The interface is in api.go, what a router keeps is in state.go, how a member is chosen in
// selection.go, and what depends on time alone in housekeeping.go and rounds.go.
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
	longPart     = 3   // a read of over bound/longPart may push a replica out of the filter
	pingWeight   = 0.2 // moving average: about the last ten pings
	readTries    = 3   // a read's members in all: the first and up to two more
	stoodStill   = 100 * time.Millisecond
	housekeeping = 10 * time.Millisecond  // how finely silence, pings and held requests are looked at
	freshHold    = 300 * time.Millisecond // a new router waits so long for pings, which take milliseconds

	thinSpan  = 10 * time.Second      // over which traffic is counted
	askWait   = 25 * time.Millisecond // a ping takes a few milliseconds; then others are asked
	askAgain  = 100 * time.Millisecond
	askRounds = 2

	silentAfter = 80 * time.Millisecond // pings pass beside the queue: so long tells of the machine or the way

	queueLong  = 1.0 // requests waiting: all that the member works on at once is taken
	reportLife = time.Second
	spillPart  = 0.7 // of the primary's limit that reads may fill; the rest is for writes

	retryPart    = 0.2  // further attempts, of all traffic
	retryReserve = 30.0 // for a short spell of failures

	hintNoPrimary = 500 * time.Millisecond // a hand-over takes seconds
	hintCrowded   = 150 * time.Millisecond // a crowd eases in a few service times

	listRoleAge  = 5 * time.Second  // a list's role is seconds old
	forgetSilent = 30 * time.Second // that a silent member is kept where a list doesn't bind

	fallPart    = 0.5     // of the multiple of its capacity that a cold member may be sent,
	fallDoubt   = 0.7     // and one that hardly is cold: what it would bear if it were
	workWeight  = 0.005   // the mix of work, over the last hundreds of requests
	aimOverCost = 4       // before any answer: aims leave room for a few times the bare work
	costPart    = 0.3     // the quantile of a class's answer times that stands for its bare work
	slowPart    = 0.95    // the one past which an answer is overdue
	missWeight  = 0.02    // of one attempt in the share of answers that don't come
	missLimit   = 0.05    // an ordinary day stays far below
	keepEntries = 1 << 15 // pins, and commits
	tickTimer   = TimerID(1)
)

// New makes a router for one front. It sends nothing before its first event.
func New(cfg Config, actions Actions) (*Router, error) {
	if err := check(&cfg, actions); err != nil {
		return nil, err
	}
	r := &Router{cfg: cfg, act: actions, rng: rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		members: map[MemberID]*member{}, groups: map[GroupID]*group{}, requests: map[RequestID]*request{},
		cost: make([]time.Duration, len(cfg.Classes)), slow: make([]time.Duration, len(cfg.Classes)),
		retries: retryReserve, lead: handover.New(cfg.Handover),
		pings: ping.Schedule{Proxies: cfg.Proxies, ClockResolution: cfg.Tick, MaxConnections: cfg.MaxConnections}, calls: limit.CallSchedule{PropagationBound: cfg.ListMaxDelay}}
	r.nobody = r.newGroup(-1)
	r.pins.init(keepEntries)
	r.commits.init(keepEntries)
	for i, c := range cfg.Classes {
		r.cost[i], r.slow[i] = c.Aim/aimOverCost, c.Aim
	}
	r.pings.TightestMaxAge = tightest(cfg.Classes)
	quotas := make([]float64, len(cfg.Tenants))
	for i, t := range cfg.Tenants {
		quotas[i] = r.share(t.Quota)
	}
	r.quotas, r.peers = limit.NewQuotas(quotas), r.newPeers()
	return r, nil
}

// ---- Views: what is known of members and groups ----

// Members takes in news of the list.
func (r *Router) Members(now time.Duration, l MemberList) {
	r.begin(now)
	if r.cfg.ListOnRequest && l.Kind != ListCached {
		r.calls.NoteEnd(now, l.Kind == ListFailed, r.rng.Float64())
	}
	if l.Kind == ListFailed {
		return
	}
	if l.Kind != ListDelta {
		for _, m := range r.order {
			m.listed = false
		}
	}
	for _, e := range l.Entries {
		r.entry(now, e)
	}
	r.order = slices.DeleteFunc(r.order, func(m *member) bool { return !m.listed && r.leftOut(now, m) })
	r.pings.ListedDatabases = len(r.order)
	r.retryHeld(now)
}

func (r *Router) entry(now time.Duration, e Member) {
	m := r.members[e.ID]
	known := m != nil
	if !known {
		g := r.groupOf(e.Group)
		m = &member{group: g, Limit: limit.New(r.cfg.Proxies, r.cfg.Tuning.FirstLimit), account: limit.NewColdBudget(),
			firstAt: r.firstPing(now)}
		m.seat = g.lead.AddMember(uint64(e.ID))
		r.members[e.ID] = m
		r.order = append(r.order, m)
		r.peers.Add(uint64(e.ID))
		g.members = append(g.members, m) // a Born above zero makes it cold, below
	}
	if e.StartedAt > m.StartedAt { // restarted: its role is open again, its log goes on from where it stood
		m.group.lead.NoteStart(now, m.seat, e.StartedAt, known)
		m.reborn()
	}
	m.listed = e.State != Gone
	if r.cfg.IgnoreGone && !m.listed { // the list is no proof of what runs: its pings and answers tell
		e.State = m.State
	}
	m.Member = e
	m.group.lead.SetDiscoveryState(now, m.seat, handover.DiscoveryState(e.State))
	if e.Primary && r.cfg.ListRole != ListRoleNone {
		m.group.lead.NoteListedPrimary(now, m.seat, max(now-listRoleAge, e.StartedAt), r.cfg.ListRole == ListRoleLate)
	}
	r.follow(now, m.group)
}

// leftOut treats a member that the list leaves out as gone, if lists bind, and tells whether to forget it.
func (r *Router) leftOut(now time.Duration, m *member) bool {
	if m.State != Gone && !r.cfg.IgnoreGone {
		m.State = Gone
		m.group.lead.SetDiscoveryState(now, m.seat, handover.Unlisted)
		r.follow(now, m.group)
	}
	if len(m.out) > 0 || m.probing || m.State == Ready && (!m.seat.Silent || now-m.seat.SilentSince <= forgetSilent) {
		return false
	}
	delete(r.members, m.ID)
	r.peers.Remove(uint64(m.ID))
	m.group.members = slices.DeleteFunc(m.group.members, func(x *member) bool { return x == m })
	m.group.lead.RemoveMember(now, m.seat)
	r.follow(now, m.group) // the one that left may have stood before another
	if len(m.group.members) == 0 {
		for _, id := range m.group.lead.ReleaseOrder(now) { // nobody would look at them any more
			r.finish(now, r.requests[RequestID(id)], hintNoPrimary)
		}
		delete(r.groups, m.Group)
		r.listed = slices.DeleteFunc(r.listed, func(g GroupID) bool { return g == m.Group })
		r.stirring = slices.DeleteFunc(r.stirring, func(g *group) bool { return g == m.group })
		r.leaveRounds(m.group)
	}
	return true
}

// follow takes over who is primary. What a silent one still owes is called off where another can take it.
func (r *Router) follow(now time.Duration, g *group) {
	was := g.primary
	if g.primary = nil; g.lead.Primary() != nil {
		g.primary = r.members[MemberID(g.lead.Primary().ID)]
	}
	r.stir(now, g)
	if was != nil && g.primary == nil {
		r.enterRounds(now, g)
	}
	if p := g.primary; p == nil || p == was || !r.cfg.EnableCancel || !r.lead.Config().Hold {
		return
	}
	for _, m := range g.members {
		for _, a := range m.out {
			q := a.req
			if m.seat.Silent && !a.calledOff && q.class.primaryMode() && r.mayRepeat(now, q) && now < r.until(q, a) {
				a.calledOff = true
				r.act.Cancel(q.ID, a.n)
			}
		}
	}
}

// learn takes a role and a position that were true at the time at, as this front has seen.
func (r *Router) learn(m *member, role Role, position, at, now time.Duration) {
	r.peers.Observe(now, uint64(m.ID), peers.Role(role), at, position)
	r.believe(m, role, position, at, now)
	if position > 0 {
		m.lag = now - m.position
	}
}

// believe takes them, whoever has seen them.
func (r *Router) believe(m *member, role Role, position, at, now time.Duration) {
	if position > 0 {
		m.placedAt = max(m.placedAt, at)
		m.position = max(m.position, min(position, now))
	}
	m.group.lead.NoteRole(now, m.seat, handover.Role(role), at)
	m.seat.NotePosition(now, position)
	r.follow(now, m.group)
}

// heard notes a sign of life. A member back from a long silence may have restarted: it counts as cold.
func (r *Router) heard(m *member, now time.Duration) {
	m.heardAt = now
	back, doubted := m.group.lead.NoteResponse(now, m.seat)
	if doubted {
		m.Reset()
	}
	if back {
		r.follow(now, m.group)
	}
}

// lost marks a member that owes answers and gives none; reads that are safe to repeat are sent elsewhere.
func (r *Router) lost(m *member, now time.Duration) {
	if m.seat.Silent {
		return
	}
	m.group.lead.NoteSilence(now, m.seat)
	r.peers.ObserveFailure(now, uint64(m.ID), peers.Silent)
	r.follow(now, m.group)
	r.hedge(now, m)
}

// hedge sends a copy of what a silent member owes, and of what is overdue where answers get lost: missing in
// number though those that come are in time. Elsewhere overdue means crowded, and copies would feed it. An
// attempt past its aim counts as a failure, so that a member that answers pings only is benched.
func (r *Router) hedge(now time.Duration, m *member) {
	for _, a := range m.out { // a copy may be added at its end meanwhile, nothing is removed
		q, age := a.req, now-a.sentAt
		if !a.overdue && age > max(2*r.slow[q.Class], q.class.Aim) {
			a.overdue, m.stuck = true, true
			r.failures.Record(now, &m.bench, 1)
			if m.Strain < limit.HighStrain && !m.seat.Silent {
				r.missing += missWeight * (1 - r.missing)
			}
		}
		lost := r.loses(m) && age > r.slow[q.Class] && !r.long(q)
		if (m.seat.Silent || lost) && a == q.tries[len(q.tries)-1] && !q.held && r.mayRepeat(now, q) {
			r.route(now, q)
		}
	}
}

func (r *Router) loses(m *member) bool { return r.missing > missLimit && m.Strain < limit.HighStrain }

// ---- Requests, attempts and outcomes ----

// Request takes a client's request: it is sent, held by a fresh router, or answered at once.
func (r *Router) Request(now time.Duration, in Request) {
	r.begin(now)
	if in.Class < 0 || in.Class >= len(r.cfg.Classes) || r.requests[in.ID] != nil {
		r.act.Fail(in.ID)
		return
	}
	g := r.askedOf(in.Group)
	if !r.admits(now, &in, g) {
		r.shed(&in, g)
		return
	}
	q := &request{Request: in, class: &r.cfg.Classes[in.Class], group: g, at: now,
		most: r.cfg.MaxAttempts}
	r.requests[in.ID] = q
	q.group.rate.add(now, thinSpan)
	r.enterRounds(now, g)
	q.over = r.quotas.Exceeded(now, in.Tenant)
	r.retries = min(r.retries+retryPart, retryReserve)
	q.group.mixed(r.cost[q.Class].Seconds(), q.class.Worth, r.long(q))
	if q.class.Read == Bounded {
		r.pings.NoteBoundedRead(now)
	}
	q.token = r.tokenOf(now, &in)
	if r.opening(now, q.group) {
		r.hold(q)
	} else {
		r.start(now, q)
	}
}

func (r *Router) start(now time.Duration, q *request) {
	if ok, hint := r.route(now, q); !ok && !q.held && !q.open() {
		r.giveUp(now, q, hint, q.group.lead.HeldCount())
	}
}

// giveUp holds a request for a primary that is likely to come in time, and otherwise answers it at once.
func (r *Router) giveUp(now time.Duration, q *request, hint time.Duration, ahead int) {
	if !q.class.primaryMode() {
		r.finish(now, q, hint)
		return
	}
	h := q.asHeld(r.cost[q.Class], r.usual(q), ahead)
	for _, a := range q.tries {
		h.Deadline = min(h.Deadline, r.until(q, a))
	}
	ok, better, pushed := q.group.lead.Hold(now, h)
	better = min(better, r.cfg.MaxRetryAfter*2/3) // behind that all would come back in one moment
	for _, id := range pushed {
		r.finish(now, r.requests[RequestID(id)], better)
	}
	r.stir(now, q.group)
	if q.waits = ok; !ok {
		r.finish(now, q, cmp.Or(better, hint))
	}
}

// release lets go what waits for a primary, as far as that bears it, and looks anew at what has to wait on.
func (r *Router) release(now time.Duration, g *group) {
	g.lead.Tick(now)
	for i, id := range g.lead.ReleaseOrder(now) {
		q := r.requests[RequestID(id)]
		if q == nil || q.done || q.held || q.open() {
			continue
		}
		if now+r.usual(q) < q.Deadline { // what would only just come in time may run, and fail
			r.route(now, q)
		}
		if q.waits && !q.held {
			r.giveUp(now, q, hintCrowded, i)
		}
	}
}

// until is when a repeat is too late, given an earlier attempt.
func (r *Router) until(q *request, a *attempt) time.Duration {
	if q.class.Effect != Guarded || !a.open && !a.ran {
		return q.Deadline
	}
	return min(q.Deadline, r.lead.Config().ResendDeadline(a.sentAt, q.class.DedupWindow, r.slow[q.Class]))
}

func (r *Router) hold(q *request) {
	if !q.held {
		q.held = true
		r.held = append(r.held, q)
	}
}

// route makes the request's next attempt where a member can be chosen.
func (r *Router) route(now time.Duration, q *request) (bool, time.Duration) {
	m, hint := r.choose(now, q)
	return m != nil && r.send(now, q, m), hint
}

// send is the only place that sends a request; each rule is checked here last.
func (r *Router) send(now time.Duration, q *request, m *member) bool {
	if q.Deadline-now <= r.cost[q.Class] { // it can't be served; sinking, the estimate is tried again
		limit.UpdateQuantile(&r.cost[q.Class], 0, costPart)
		return false
	}
	if q.done || m.group != q.group || m.State != Ready || !r.effectAllows(now, q, m) ||
		q.most > 0 && len(q.tries) >= q.most {
		return false
	}
	until := q.Deadline
	for _, a := range q.tries { // a repeat isn't to be under way any more when the group takes it for a new one
		until = min(until, r.until(q, a))
	}
	if q.waits { // however it came to be sent
		q.waits = false
		q.group.lead.Release(uint64(q.ID))
	}
	if len(q.tries) > 0 {
		r.retries--
	}
	a := &attempt{req: q, n: len(q.tries), to: m, sentAt: now, open: true}
	q.tries = append(q.tries, a)
	m.out = append(m.out, a)
	r.wake(m)
	m.account.Spend(r.cost[q.Class].Seconds()) // of no matter unless it is cold
	r.act.Send(q.ID, m.ID, until-now)
	return true
}

// effectAllows keeps effects from happening twice: attempts that are out count as may have run.
func (r *Router) effectAllows(now time.Duration, q *request, m *member) bool {
	if !r.cfg.ParallelAttempts && q.open() {
		return false
	}
	for _, a := range q.tries {
		switch {
		case q.class.Effect == Idempotent || !a.open && !a.ran:
		case q.class.Effect == SingleShot, now+r.cost[q.Class] >= r.until(q, a),
			q.class.Scope == ScopeZone && a.to.Zone != m.Zone:
			return false
		}
	}
	return true
}

// finish is the only place that gives a final answer: a refusal where a repeat can do no harm, or a failure.
func (r *Router) finish(now time.Duration, q *request, hint time.Duration) {
	if q == nil || q.done {
		return
	}
	q.done = true
	q.group.lead.Release(uint64(q.ID))
	if !q.ran && !q.open() || q.class.Effect == Idempotent || q.class.Effect == Guarded && q.class.Scope == ScopeAll {
		// Jitter, so that the refused don't come back together.
		hint = min(hint/2+time.Duration(r.rng.Int64N(int64(hint)+1)), r.cfg.MaxRetryAfter)
		if !r.cfg.EnableRetryAfter {
			hint = 0
		}
		if !q.over {
			r.quotas.Refund(q.Tenant)
		}
		r.refusals[r.refusalReason(now, q)]++
		if t := q.tallyOf(); q.class.primaryMode() && q.group.primary == nil {
			t.NoPrimary++
		} else {
			t.Refused++
			q.group.draws.refuse(now, q.drawKey())
		}
		r.act.Refuse(q.ID, hint)
	} else {
		q.tallyOf().Failed++
		r.act.Fail(q.ID)
	}
	r.drop(q)
}

// drop forgets a request that is done, calling off what is still out.
func (r *Router) drop(q *request) {
	if !q.open() {
		delete(r.requests, q.ID)
		return
	}
	for _, a := range q.tries {
		if a.open && r.cfg.EnableCancel && !a.calledOff {
			a.calledOff = true
			r.act.Cancel(q.ID, a.n)
		}
	}
}

// ResponseStarted notes that a streamed answer has begun: the client has it now, and no further copy may go out.
func (r *Router) ResponseStarted(now time.Duration, id RequestID, _ int) {
	r.begin(now)
	if q := r.requests[id]; q != nil {
		q.done = true
	}
}

// Abandoned notes that nothing more is owed. Who had it counts as late: early leavers would hide crowds.
func (r *Router) Abandoned(now time.Duration, id RequestID) {
	r.begin(now)
	if q := r.requests[id]; q != nil && !q.done {
		q.done = true
		q.group.lead.Release(uint64(id))
		q.tallyOf().Late++
		for _, a := range q.tries {
			if a.open {
				r.strain(now, a.to, q.class.Aim, limit.LateStrain)
			}
		}
		r.drop(q)
	}
}

// Outcome takes the end of an attempt.
func (r *Router) Outcome(now time.Duration, o Outcome) {
	r.begin(now)
	q := r.requests[o.Request]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.tries) || !q.tries[o.Attempt].open {
		return
	}
	a := q.tries[o.Attempt]
	a.open = false
	a.to.out = slices.DeleteFunc(a.to.out, func(x *attempt) bool { return x == a })
	a.ran, q.result = !o.Result.NeverRan(), o.Result
	q.ran = q.ran || a.ran
	r.note(now, a, o)
	if o.Finished && !q.done {
		q.done = true
		q.countEnd(now, o)
	}
	if q.group.lead.HeldCount() > 0 && a.to == q.group.primary {
		defer r.release(now, q.group) // there is room
	}
	if q.done {
		r.drop(q)
		return
	}
	ok, hint := false, hintCrowded
	if r.mayRepeat(now, q) {
		ok, hint = r.route(now, q)
	}
	if !ok && !q.open() && !q.held {
		r.giveUp(now, q, hint, q.group.lead.HeldCount())
	}
}

// mayRepeat bounds further attempts: few a request, few of all traffic (not to feed an overload), in time.
func (r *Router) mayRepeat(now time.Duration, q *request) bool {
	most := readTries
	if q.class.primaryMode() && q.result == Failed { // there is no other; one that fails often serves some
		most = cmp.Or(q.most, readTries)
	}
	return !q.done && len(q.tries) < most && q.repeats() && r.retries >= 1 &&
		now+r.cost[q.Class] < q.Deadline
}

// note learns from an outcome: signs of life, role, position, time, failures, commits and pins.
func (r *Router) note(now time.Duration, a *attempt, o Outcome) {
	q, m := a.req, a.to
	switch o.Result {
	case OK, Misdirected, Failed, Rejected:
		r.heard(m, now)
		m.stuck = false
		role, position := o.Role, o.Position
		if q.class.Read == Write && o.Result == Misdirected && role == RoleUnknown {
			role = RoleReplica
		}
		if q.class.Read == Write && o.Result == OK { // the position is the commit's, not the member's
			if !r.cfg.SessionTokens && q.Session != 0 {
				r.commits.add(q.Session, cmp.Or(position, now))
			}
			position = 0
			q.group.lead.NoteWriteServed(now)
		}
		r.evidence(now, m, o.ConnOpenedAt)
		r.learn(m, role, position, now, now)
		if o.Load.Queue >= 0 {
			m.queue, m.queueAt = o.Load.Queue, now
		}
		r.learn(m, o.Load.Role, o.Load.Position, cmp.Or(o.Load.Position, now), now)
	}
	switch o.Result {
	case Misdirected:
		m.missed(q)
	case OK:
		took := now - a.sentAt
		limit.UpdateQuantile(&r.cost[q.Class], took, costPart)
		limit.UpdateQuantile(&r.slow[q.Class], took, slowPart)
		r.strain(now, m, q.class.Aim, min(float64(took)/float64(q.class.Aim), limit.LateStrain))
		r.failures.Record(now, &m.bench, 0)
		r.missing -= missWeight * r.missing
		if q.class.Read != Write && q.Session != 0 && m.role() == RoleReplica {
			r.pins.put(q.pinKey(), pin{m, q.group.lead.Term()})
		}
	case TimedOut:
		if !r.loses(m) {
			r.strain(now, m, q.class.Aim, limit.LateStrain)
		}
	case Failed, Rejected, ConnectFailed, Reset:
		if r.failed(now, m); o.Result == Rejected {
			r.strain(now, m, q.class.Aim, limit.LateStrain)
		}
		if o.Result == ConnectFailed {
			r.probe(now, m)
		}
		if o.DialRefused {
			m.seat.NoteRefusedDial()
		}
	}
}

// ---- Guards: crowding, cold members ----

// strain holds an answer against its aim, unless it may be this front that is late.
func (r *Router) strain(now time.Duration, m *member, aim time.Duration, x float64) {
	if !r.stood(now) {
		m.RecordAnswer(now, aim, x, len(m.out))
	}
}

// share is this front's part of what all fronts may do together.
func (r *Router) share(total float64) float64 { return total / float64(max(r.cfg.Proxies, 1)) }

// bears keeps a started member from being pushed over: its account of work fills with its warmth's part of
// what this front has for each member of the group, times half the multiple that the rule allows. It starts
// in a random debt and is never above zero, so that the sum of all fronts is bounded.
func (r *Router) bears(now time.Duration, m *member, merit float64) bool {
	from, sure := m.seat.ColdSince(now, r.cfg.ColdPeriod)
	if sure == 0 {
		return true
	} else if r.peers.Enabled() && !r.priority.Admits(merit, r.luck) {
		return false
	}
	most := fallPart + (fallDoubt-fallPart)*(1-sure)
	part := r.warmthSince(now, from) * max(r.cfg.OverloadMultiple*most, 1) / r.bearers(m.group)
	debt := func() float64 { return r.rng.Float64() * m.group.work }
	ok := m.account.Allows(now, from, debt, part*r.rateOf(now, m.group)*m.group.work)
	if merit >= 1 && m.role() != RolePrimary {
		r.priority.Record(ok)
	}
	return ok
}
