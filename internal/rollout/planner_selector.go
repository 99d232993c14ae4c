package rollout

import (
	"math/rand/v2"
	"time"
)

const (
	retryPause        = 100 * time.Millisecond // before the next planner is tried; doubled after each pass over all of them, with jitter
	maxRetryPause     = 3 * time.Second
	maxRetryDoublings = 8
	renewalsPerLease  = 5           // renewals within the length of a lease
	heartbeatInterval = time.Second // where there are no leases
	silenceTimeout    = 10 * heartbeatInterval
)

// PlannerSelector decides which planner a proxy connects to, when it gives one up, and when it tries the next.
type PlannerSelector struct {
	config   Config
	planners int
	rng      *rand.Rand

	current   int // index of the planner
	attempts  int // since the last message of a planner that leads
	lastHeard time.Duration
}

// NewPlannerSelector returns a selector over that many planners. It starts with a random one, so that proxies spread over them.
func NewPlannerSelector(config Config, planners int, rng *rand.Rand) *PlannerSelector {
	return &PlannerSelector{config: config, planners: planners, rng: rng, current: rng.IntN(planners)}
}

// Current returns the index of the planner to connect to.
func (s *PlannerSelector) Current() int { return s.current }

// Connected tells that the connection to the current planner is up.
func (s *PlannerSelector) Connected(now time.Duration) { s.lastHeard = now }

// Receive tells of a message of the current planner. It returns true if another planner is to be tried, since this one doesn't lead.
func (s *PlannerSelector) Receive(now time.Duration, kind Kind) (leave bool) {
	s.lastHeard = now
	switch kind {
	case NotLeader:
		return true
	case JoinDelayed: // it leads, but the retries go on
	default:
		s.attempts = 0
	}
	return false
}

// TimedOut reports whether the current planner has been silent for so long that the next is to be tried. With leases that is half of a
// lease, so that the next planner can still renew it. A planner whose process is stopped keeps its connections open.
func (s *PlannerSelector) TimedOut(now time.Duration) bool {
	timeout := silenceTimeout
	if s.config.Lease > 0 {
		timeout = s.config.Lease / 2
	}
	return now-s.lastHeard > timeout
}

// Next selects the next planner and returns the pause before it is to be tried: exponential backoff with jitter, so that hundreds of
// proxies that lose their planner at one moment don't reconnect at one moment.
func (s *PlannerSelector) Next() (pause time.Duration) {
	s.current = (s.current + 1) % s.planners
	s.attempts++
	doublings := min(s.attempts/s.planners, maxRetryDoublings)
	pause = min(retryPause<<doublings, maxRetryPause)
	jitter := 0.5 + s.rng.Float64()
	return time.Duration(jitter * float64(pause))
}

// RenewInterval returns how often a proxy renews a lease of that length, or sends a heartbeat where there are no leases.
func (s *PlannerSelector) RenewInterval(lease time.Duration) time.Duration {
	if s.config.Lease > 0 {
		return lease / renewalsPerLease
	}
	return heartbeatInterval
}
