package healthcheck

import (
	"time"

	"havenproxy/internal/subset"
)

// Settings holds the inputs of NewPlan.
type Settings struct {
	Proxies         int
	Databases       int
	MessagesAllowed bool    // the platform allows messages between proxies and planners
	ChecksPerSecond float64 // limit for one proxy; 0 = no limit is set, and checks are not shared
	BytesPerSecond  float64 // limit for the reports that one proxy sends, and for the digests that it receives
	Checkers        int     // per database; 0 = 3
}

// Plan determines whether health checks are shared, and how often databases are checked.
type Plan struct {
	Shared           bool
	Checkers         int
	ChecksPerSecond  float64
	BytesPerSecond   float64
	AssignedInterval time.Duration // between checks of a database by one of its checkers, given an average number of assigned databases
}

const (
	defaultCheckers = 3
	// assignedShare is the share of the check rate that periodic checks of assigned databases may use; the rest is for rechecks and for
	// checks of the databases that the proxy itself uses.
	assignedShare = 0.7
	// minSavingFactor is the factor by which sharing must reduce the number of checks.
	minSavingFactor = 2
)

// NewPlan calculates the plan. Checks are shared if checking every database at the shortest interval exceeds a proxy's check rate, if
// messages are allowed, and if there are enough proxies per checker that sharing saves at least half of the checks.
func NewPlan(s Settings) Plan {
	p := Plan{Checkers: s.Checkers, ChecksPerSecond: s.ChecksPerSecond, BytesPerSecond: s.BytesPerSecond}
	if p.Checkers == 0 {
		p.Checkers = defaultCheckers
	}
	overBudget := s.ChecksPerSecond > 0 && float64(s.Databases)/MinCheckInterval.Seconds() > s.ChecksPerSecond
	p.Shared = s.MessagesAllowed && overBudget && s.Proxies >= minSavingFactor*p.Checkers
	assigned := s.Databases
	if p.Shared {
		assigned = (s.Databases*p.Checkers + s.Proxies - 1) / s.Proxies
	}
	p.AssignedInterval = p.checkInterval(assigned)
	return p
}

// checkInterval returns the interval at which each of n databases can be checked within assignedShare of the check rate.
func (p Plan) checkInterval(n int) time.Duration {
	if p.ChecksPerSecond <= 0 {
		return MinCheckInterval
	}
	return max(MinCheckInterval, time.Duration(float64(n)/(p.ChecksPerSecond*assignedShare)*float64(time.Second)))
}

// DetectionTime returns an upper bound of the time between the death of a database and the moment at which the report of a checker with that
// many assigned databases counts, without the time that messages take.
func (p Plan) DetectionTime(assigned int) time.Duration {
	return p.checkInterval(assigned) + FailureThreshold*CheckTimeout + SettleTime
}

// Config is the configuration of one proxy's Node, or of a planner's Relay.
type Config struct {
	Self  subset.Proxy
	Epoch uint32 // start time of the process, Unix time in seconds
	Seed  uint64 // of the tier: determines the assignment
	Plan  Plan

	disabled guard // set by tests only
}
