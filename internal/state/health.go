package state

import (
	"slices"
	"time"

	"havenproxy/internal/healthcheck"
	"havenproxy/internal/subset"
	wire "havenproxy/internal/wire/healthcheck"
	"havenproxy/logic"
)

// ReportSender sends messages to the planner that this proxy is connected to. SendReports returns at once and may
// lose the message: everything is sent again over a new connection.
type ReportSender interface{ SendReports(message []byte) }

// SharedChecksConfig configures shared health checks.
type SharedChecksConfig struct {
	Self            subset.Proxy
	Epoch           uint32 // start time of this process, Unix time in seconds
	Seed            uint64 // the tier's seed for assigning databases to proxies
	ChecksPerSecond float64
	BytesPerSecond  float64
	Sender          ReportSender
	// Assignment is shared by several engines of one process in a simulation; nil = the engine calculates its own.
	Assignment *subset.Assignment
}

// sharedChecks is one proxy's part in the health checks that the proxies of its tier share. All methods without an
// Engine as receiver may be called on nil.
type sharedChecks struct {
	config    SharedChecksConfig
	node      *healthcheck.Node // nil = the fleet is so small that each proxy checks all databases
	tier      []subset.Proxy
	databases []subset.DatabaseID // as last passed to node, sorted
	used      []subset.DatabaseID
	choice    subsetChoice
	members   map[subset.DatabaseID]logic.MemberID
	usedAt    time.Duration // when usedDatabases was last updated
	timer     Deadline
	message   []byte
}

const (
	// nodeTick is the interval at which the node is asked which checks and messages are due.
	nodeTick = 100 * time.Millisecond
	// usedInterval is the interval at which the set of databases in use is updated.
	usedInterval = 2 * time.Second
)

// ShareChecks enables shared health checks, which are used if the plan for the fleet's size calls for them. A further
// call starts again as another member of the tier, without known proxies.
func (e *Engine) ShareChecks(config SharedChecksConfig) {
	if e.checks != nil {
		e.Deadlines.Clear(&e.checks.timer)
	}
	if e.SharesChecks() {
		e.checks.dropSubset(e)
		e.dispatch(func() { e.router.SetSharedChecks(e.clock.Now(), 0) })
	}
	e.checks = &sharedChecks{config: config, members: map[subset.DatabaseID]logic.MemberID{}}
	e.checks.updateDatabases(e)
}

// SharesChecks reports whether health checks are currently shared.
func (e *Engine) SharesChecks() bool { return e.checks != nil && e.checks.node != nil }

// SetTier sets the proxies of the tier, including this one.
func (e *Engine) SetTier(tier []subset.Proxy) {
	s := e.checks
	if s == nil {
		return
	}
	s.tier = slices.Clone(tier)
	if s.replan(e); s.node != nil {
		s.node.SetTier(e.clock.Now(), s.tier)
	}
}

// PlannerConnected reports a new connection to a planner.
func (e *Engine) PlannerConnected() {
	if e.SharesChecks() {
		e.checks.node.PlannerConnected(e.clock.Now())
	}
}

// ReceiveDigest applies a planner's digest. It counts digests that cannot be parsed and returns the error.
func (e *Engine) ReceiveDigest(message []byte) error {
	if !e.SharesChecks() {
		return nil
	}
	digest, err := wire.ParseDigest(message, e.wireClock())
	if err != nil {
		e.Counters.DigestsMalformed++
		return err
	}
	e.Counters.Digests++
	e.checks.node.ReceiveDigest(e.clock.Now(), digest)
	e.checks.forwardVerdicts(e)
	return nil
}

func (e *Engine) wireClock() wire.Clock { return wire.Clock{Unix: e.clock.Unix(), Now: e.clock.Now()} }

// plan calculates whether health checks are shared.
func (s *sharedChecks) plan() healthcheck.Plan {
	return healthcheck.NewPlan(healthcheck.Settings{Proxies: len(s.tier), Databases: len(s.databases),
		MessagesAllowed: len(s.tier) > 0, ChecksPerSecond: s.config.ChecksPerSecond, BytesPerSecond: s.config.BytesPerSecond})
}

// replan starts or stops sharing health checks as the plan requires.
func (s *sharedChecks) replan(e *Engine) {
	now, plan := e.clock.Now(), s.plan()
	if plan.Shared == (s.node != nil) {
		return
	}
	if !plan.Shared {
		s.node = nil
		e.Deadlines.Clear(&s.timer)
		s.dropSubset(e)
		e.dispatch(func() { e.router.SetSharedChecks(e.clock.Now(), 0) })
		return
	}
	config := healthcheck.Config{Self: s.config.Self, Epoch: s.config.Epoch, Seed: s.config.Seed, Plan: plan}
	if s.config.Assignment != nil {
		s.node = healthcheck.NewNodeWithAssignment(now, config, s.config.Assignment)
	} else {
		s.node = healthcheck.NewNode(now, config)
	}
	s.node.SetDatabases(now, s.databases)
	s.node.SetTier(now, s.tier)
	e.dispatch(func() { e.router.SetSharedChecks(e.clock.Now(), plan.ChecksPerSecond) })
	e.Deadlines.Set(&s.timer, now+nodeTick, func() { s.tick(e) })
}

// updateDatabases updates the databases to check from this proxy's list. Databases with the same short number are
// left to this proxy's own checks.
func (s *sharedChecks) updateDatabases(e *Engine) {
	if s == nil {
		return
	}
	clear(s.members)
	shared := map[subset.DatabaseID]bool{}
	for id, m := range e.members {
		if m.state != logic.Ready {
			continue
		}
		number := logic.ShortID(id)
		if _, taken := s.members[number]; taken {
			shared[number] = true
		}
		s.members[number] = id
	}
	var databases []subset.DatabaseID
	for number := range s.members {
		if shared[number] {
			delete(s.members, number)
			continue
		}
		databases = append(databases, number)
	}
	slices.Sort(databases)
	if slices.Equal(databases, s.databases) {
		return
	}
	s.databases = databases
	if s.replan(e); s.node != nil {
		s.node.SetDatabases(e.clock.Now(), databases)
	}
}

// tick carries out the checks and sends the messages that the node has scheduled.
func (s *sharedChecks) tick(e *Engine) {
	if s.node == nil {
		return
	}
	now := e.clock.Now()
	e.Deadlines.Set(&s.timer, now+nodeTick, func() { s.tick(e) })
	if now-s.usedAt >= usedInterval {
		s.usedAt = now
		s.setUsed(e, now)
		s.chooseSubset(e, now)
	}
	orders := s.node.Tick(now)
	for _, number := range orders.Checks {
		e.dispatch(func() { e.router.SendCheck(e.clock.Now(), s.members[number]) })
	}
	for _, m := range orders.Messages {
		if m.ToPlanner { // messages to single peers cannot be sent yet
			s.message = wire.AppendMessage(s.message[:0], e.wireClock(), m)
			s.config.Sender.SendReports(s.message)
		}
	}
	s.forwardVerdicts(e)
}

// setUsed tells the node which databases this proxy sends requests to.
func (s *sharedChecks) setUsed(e *Engine, now time.Duration) {
	var used []subset.DatabaseID
	for _, number := range s.databases {
		if m := e.members[s.members[number]]; m != nil && e.router.InUse(now, logic.GroupID(m.group)) {
			used = append(used, number)
		}
	}
	if !slices.Equal(used, s.used) {
		s.used = used
		s.node.SetUsed(now, used)
	}
}

// forwardVerdicts passes changed verdicts to the router.
func (s *sharedChecks) forwardVerdicts(e *Engine) {
	for _, x := range s.node.TakeChangedVerdicts(e.clock.Now()) {
		e.Counters.Verdicts++
		e.dispatch(func() { e.router.ApplyVerdict(e.clock.Now(), s.members[x.Database], x.Verdict) })
	}
}

// recordCheck passes the result of a health check to the node, whatever the reason for the check was.
func (s *sharedChecks) recordCheck(e *Engine, m *member, r Reply) {
	if s == nil || s.node == nil {
		return
	}
	now, seen := e.clock.Now(), observation(r)
	load := e.loadReport(r)
	seen.ColdStart = seen.Answered && m.startedAt > 0 && now-m.startedAt < e.cfg.Logic.ColdPeriod
	seen.Role, seen.Position = roleOf(load.Role), load.Position
	s.node.CompleteCheck(now, logic.ShortID(m.id), seen)
}

// recordAnswer passes an answer to a request to the node as evidence that the database is alive.
func (s *sharedChecks) recordAnswer(e *Engine, m *member, r Reply) {
	if s != nil && s.node != nil && observation(r).Answered {
		s.node.RequestServed(e.clock.Now(), logic.ShortID(m.id))
	}
}

// observation converts a reply to an observation of its database's health.
func observation(r Reply) healthcheck.Observation {
	switch r.Result {
	case logic.OK, logic.Misdirected, logic.Rejected:
		return healthcheck.Observation{Answered: true}
	case logic.Failed:
		return healthcheck.Observation{Answered: true, Failing: true}
	}
	return healthcheck.Observation{}
}

func roleOf(role logic.Role) subset.Role {
	return [...]subset.Role{logic.RoleUnknown: subset.RoleUnknown, logic.RolePrimary: subset.Primary, logic.RoleReplica: subset.Replica}[role]
}
