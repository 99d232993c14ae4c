package healthcheck

import (
	"time"

	"havenproxy/internal/subset"
)

// Settings is what the plan is calculated from.
type Settings struct {
	Proxies         int
	Databases       int
	MessagesAllowed bool    // the platform lets proxies and planners send one another messages
	ChecksPerSecond float64 // of one proxy at most; 0 = no budget is set, and sharing is not needed
	BytesPerSecond  float64 // that one proxy may send for reports, and receive from a planner, each
	Checkers        int     // for each database; 0 = 3
}

// Plan says whether checks are shared, and how often databases are checked.
type Plan struct {
	Shared           bool
	Checkers         int
	ChecksPerSecond  float64
	BytesPerSecond   float64
	AssignedInterval time.Duration // between checks of a database by one of its checkers, with a mean number of duties
}

const (
	defaultCheckers = 3
	// dutyPart is the part of the budget that steady checks may take; the rest is for rechecks and for what the proxy needs itself.
	dutyPart = 0.7
	// leastGain is how many times fewer checks sharing must lead to.
	leastGain = 2
)

// NewPlan calculates the plan. Checks are shared where checking everything at the shortest interval goes beyond a proxy's budget, where
// messages are allowed, and where the checkers are few enough among the proxies that sharing saves at least half of the checks.
func NewPlan(s Settings) Plan {
	p := Plan{Checkers: s.Checkers, ChecksPerSecond: s.ChecksPerSecond, BytesPerSecond: s.BytesPerSecond}
	if p.Checkers == 0 {
		p.Checkers = defaultCheckers
	}
	overBudget := s.ChecksPerSecond > 0 && float64(s.Databases)/MinCheckInterval.Seconds() > s.ChecksPerSecond
	p.Shared = s.MessagesAllowed && overBudget && s.Proxies >= leastGain*p.Checkers
	duties := s.Databases
	if p.Shared {
		duties = (s.Databases*p.Checkers + s.Proxies - 1) / s.Proxies
	}
	p.AssignedInterval = p.intervalFor(duties)
	return p
}

// intervalFor gives how often each of n databases may be checked within the steady part of the budget.
func (p Plan) intervalFor(n int) time.Duration {
	if p.ChecksPerSecond <= 0 {
		return MinCheckInterval
	}
	return max(MinCheckInterval, time.Duration(float64(n)/(p.ChecksPerSecond*dutyPart)*float64(time.Second)))
}

// DetectionTime bounds the time from a death until a checker with that many duties has found it out and its report counts, without
// the time that messages take.
func (p Plan) DetectionTime(duties int) time.Duration {
	return p.intervalFor(duties) + FailureThreshold*CheckTimeout + SettleTime
}

// Config is one proxy's.
type Config struct {
	Self  subset.Proxy
	Epoch uint32 // of its process: when it started, Unix time in seconds
	Seed  uint64 // of the tier: the assignment follows from it
	Plan  Plan

	disabled guard // by tests only
}
