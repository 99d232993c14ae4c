package state

import (
	"slices"
	"time"

	"havenproxy/internal/healthcheck"
	"havenproxy/internal/subset"
	wire "havenproxy/internal/wire/healthcheck"
	"havenproxy/logic"
)

// ReportSender carries a message to the planner that this proxy is linked to. It returns at once, and may lose it: a new link is sent
// everything.
type ReportSender interface{ SendReports(message []byte) }

// SharedChecksConfig is what shared health checks need to know of the deployment.
type SharedChecksConfig struct {
	Self            subset.Proxy
	Epoch           uint32 // of this process: when it started, Unix time in seconds
	Seed            uint64 // of the tier
	ChecksPerSecond float64
	BytesPerSecond  float64
	Sender          ReportSender
	// Assignment is one that several fronts of one process share, in a simulation; nil = an own one.
	Assignment *subset.Assignment
}

// sharedChecks is one proxy's side of health checks that its tier shares. All methods but those of Front may be called on nil.
type sharedChecks struct {
	config    SharedChecksConfig
	node      *healthcheck.Node // nil = the fleet is small enough that each proxy checks all
	tier      []subset.Proxy
	databases []subset.DatabaseID // as the node was told, in order
	used      []subset.DatabaseID
	choice    subsetChoice
	members   map[subset.DatabaseID]logic.MemberID
	usedAt    time.Duration // when used was looked up
	timer     Deadline
	message   []byte
}

const (
	// nodeTick is how often the node is asked for orders.
	nodeTick = 100 * time.Millisecond
	// usedEvery is how often it is looked up which databases are used.
	usedEvery = 2 * time.Second
)

// ShareChecks lets the proxy share health checks with its tier, where the plan says that it pays. Called again, it begins anew as another
// member, with no tier.
func (f *Engine) ShareChecks(config SharedChecksConfig) {
	if f.checks != nil {
		f.Deadlines.Clear(&f.checks.timer)
	}
	if f.SharesChecks() {
		f.checks.dropSubset(f)
		f.tell(func() { f.planned.SetSharedChecks(f.clock.Now(), 0) })
	}
	f.checks = &sharedChecks{config: config, members: map[subset.DatabaseID]logic.MemberID{}}
	f.checks.listed(f)
}

// SharesChecks tells whether checks are shared now.
func (f *Engine) SharesChecks() bool { return f.checks != nil && f.checks.node != nil }

// SetTier tells which proxies there are; this one is among them.
func (f *Engine) SetTier(tier []subset.Proxy) {
	s := f.checks
	if s == nil {
		return
	}
	s.tier = slices.Clone(tier)
	if s.replan(f); s.node != nil {
		s.node.SetTier(f.clock.Now(), s.tier)
	}
}

// PlannerConnected tells of a new link to a planner.
func (f *Engine) PlannerConnected() {
	if f.SharesChecks() {
		f.checks.node.PlannerConnected(f.clock.Now())
	}
}

// ReceiveDigest takes a planner's digest. The error tells that it could not be read; it is counted.
func (f *Engine) ReceiveDigest(message []byte) error {
	if !f.SharesChecks() {
		return nil
	}
	digest, err := wire.ParseDigest(message, f.wireClock())
	if err != nil {
		f.Counters.DigestsMalformed++
		return err
	}
	f.Counters.Digests++
	f.checks.node.ReceiveDigest(f.clock.Now(), digest)
	f.checks.tellVerdicts(f)
	return nil
}

func (f *Engine) wireClock() wire.Clock { return wire.Clock{Unix: f.clock.Unix(), Now: f.clock.Now()} }

// plan calculates whether checks are shared.
func (s *sharedChecks) plan() healthcheck.Plan {
	return healthcheck.NewPlan(healthcheck.Settings{Proxies: len(s.tier), Databases: len(s.databases),
		MessagesAllowed: len(s.tier) > 0, ChecksPerSecond: s.config.ChecksPerSecond, BytesPerSecond: s.config.BytesPerSecond})
}

// replan begins or ends sharing, as the plan says.
func (s *sharedChecks) replan(f *Engine) {
	now, plan := f.clock.Now(), s.plan()
	if plan.Shared == (s.node != nil) {
		return
	}
	if !plan.Shared {
		s.node = nil
		f.Deadlines.Clear(&s.timer)
		s.dropSubset(f)
		f.tell(func() { f.planned.SetSharedChecks(f.clock.Now(), 0) })
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
	f.tell(func() { f.planned.SetSharedChecks(f.clock.Now(), plan.ChecksPerSecond) })
	f.Deadlines.Set(&s.timer, now+nodeTick, func() { s.tick(f) })
}

// listed takes over which databases the own list names. Two that share a number stay with own checks.
func (s *sharedChecks) listed(f *Engine) {
	if s == nil {
		return
	}
	clear(s.members)
	shared := map[subset.DatabaseID]bool{}
	for id, m := range f.members {
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
	if s.replan(f); s.node != nil {
		s.node.SetDatabases(f.clock.Now(), databases)
	}
}

// tick carries out the node's orders.
func (s *sharedChecks) tick(f *Engine) {
	if s.node == nil {
		return
	}
	now := f.clock.Now()
	f.Deadlines.Set(&s.timer, now+nodeTick, func() { s.tick(f) })
	if now-s.usedAt >= usedEvery {
		s.usedAt = now
		s.setUsed(f, now)
		s.chooseSubset(f, now)
	}
	orders := s.node.Tick(now)
	for _, number := range orders.Checks {
		f.tell(func() { f.planned.SendCheck(f.clock.Now(), s.members[number]) })
	}
	for _, m := range orders.Messages {
		if m.ToPlanner { // there is no way to single peers yet
			s.message = wire.AppendMessage(s.message[:0], f.wireClock(), m)
			s.config.Sender.SendReports(s.message)
		}
	}
	s.tellVerdicts(f)
}

// setUsed tells the node which databases this proxy sends requests to.
func (s *sharedChecks) setUsed(f *Engine, now time.Duration) {
	var used []subset.DatabaseID
	for _, number := range s.databases {
		if m := f.members[s.members[number]]; m != nil && f.planned.InUse(now, logic.GroupID(m.group)) {
			used = append(used, number)
		}
	}
	if !slices.Equal(used, s.used) {
		s.used = used
		s.node.SetUsed(now, used)
	}
}

// tellVerdicts hands the router what has changed.
func (s *sharedChecks) tellVerdicts(f *Engine) {
	for _, x := range s.node.TakeChangedVerdicts(f.clock.Now()) {
		f.Counters.Verdicts++
		f.tell(func() { f.planned.ApplyVerdict(f.clock.Now(), s.members[x.Database], x.Verdict) })
	}
}

// checked takes the outcome of a health check, whatever it was sent for.
func (s *sharedChecks) checked(f *Engine, m *member, r Reply) {
	if s == nil || s.node == nil {
		return
	}
	now, seen := f.clock.Now(), observation(r)
	load := f.report(r)
	seen.ColdStart = seen.Answered && m.born > 0 && now-m.born < f.cfg.Logic.ColdPeriod
	seen.Role, seen.Position = roleOf(load.Role), load.Position
	s.node.CompleteCheck(now, logic.ShortID(m.id), seen)
}

// served takes an answer to a request as evidence of life.
func (s *sharedChecks) served(f *Engine, m *member, r Reply) {
	if s != nil && s.node != nil && observation(r).Answered {
		s.node.RequestServed(f.clock.Now(), logic.ShortID(m.id))
	}
}

// observation says what a reply tells of its database's health.
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
