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

// PlannerSelector decides which planner a proxy connects to, when it leaves that planner, and when it tries the next.
type PlannerSelector struct {
	config   Config
	planners int
	rng      *rand.Rand

	current     int // index of the planner
	attempts    int // since the last message of a leading planner
	lastMessage time.Duration
}

// NewPlannerSelector returns a selector over the given number of planners. It starts with a random one, so that proxies spread over
// them.
func NewPlannerSelector(config Config, planners int, rng *rand.Rand) *PlannerSelector {
	return &PlannerSelector{config: config, planners: planners, rng: rng, current: rng.IntN(planners)}
}

// Current returns the index of the planner to connect to.
func (s *PlannerSelector) Current() int { return s.current }

// Connected records that the connection to the current planner is up.
func (s *PlannerSelector) Connected(now time.Duration) { s.lastMessage = now }

// Receive records a message of the current planner. It returns true if another planner is to be tried because this one doesn't lead.
func (s *PlannerSelector) Receive(now time.Duration, kind Kind) (leave bool) {
	s.lastMessage = now
	switch kind {
	case NotLeader:
		return true
	case JoinDelayed: // it leads, but the proxy still has to retry
	default:
		s.attempts = 0
	}
	return false
}

// TimedOut reports whether the current planner has been silent for so long that the next one is to be tried. With leases the timeout is
// half a lease, so that the next planner can still renew it. A timeout is needed because a planner whose process is stopped keeps its
// connections open.
func (s *PlannerSelector) TimedOut(now time.Duration) bool {
	timeout := silenceTimeout
	if s.config.Lease > 0 {
		timeout = s.config.Lease / 2
	}
	return now-s.lastMessage > timeout
}

// Next selects the next planner and returns the pause before it is to be tried: exponential backoff with jitter, so that hundreds of
// proxies that lose their planner at the same time don't reconnect at the same time.
func (s *PlannerSelector) Next() (pause time.Duration) {
	s.current = (s.current + 1) % s.planners
	s.attempts++
	doublings := min(s.attempts/s.planners, maxRetryDoublings)
	pause = min(retryPause<<doublings, maxRetryPause)
	jitter := 0.5 + s.rng.Float64()
	return time.Duration(jitter * float64(pause))
}

// RenewInterval returns the interval at which a proxy renews a lease of the given length, or sends heartbeats where there are no leases.
func (s *PlannerSelector) RenewInterval(lease time.Duration) time.Duration {
	if s.config.Lease > 0 {
		return lease / renewalsPerLease
	}
	return heartbeatInterval
}
