package rollout

import (
	"math/rand/v2"
	"time"
)

const (
	retryPause        = 100 * time.Millisecond // before the next planner is tried, doubled with each round of them, with jitter
	maxRetryPause     = 3 * time.Second
	renewalsPerLease  = 5           // for a lease, in its length
	heartbeatInterval = time.Second // between signs of life where there are no leases
	silenceTimeout    = 10 * heartbeatInterval
)

// Seeker decides which planner a proxy speaks to, when it leaves one, and when it tries the next.
type PlannerSelector struct {
	config   Config
	planners int
	rng      *rand.Rand

	current   int // of the planners
	attempts  int // since the last that led
	lastHeard time.Duration
}

// NewSeeker makes one for so many planners. Not all proxies begin with the same.
func NewPlannerSelector(cfg Config, planners int, rng *rand.Rand) *PlannerSelector {
	return &PlannerSelector{config: cfg, planners: planners, rng: rng, current: rng.IntN(planners)}
}

// At gives the planner that is spoken to, by its place in the list.
func (s *PlannerSelector) Current() int { return s.current }

// Up tells that the link to it is up.
func (s *PlannerSelector) Connected(now time.Duration) { s.lastHeard = now }

// Heard tells of a message of it. leave = another planner has to be found: this one doesn't lead.
func (s *PlannerSelector) Receive(now time.Duration, k Kind) (leave bool) {
	s.lastHeard = now
	switch k {
	case NotLeader:
		return true
	case JoinDelayed: // it leads, and lets this proxy wait
	default:
		s.attempts = 0
	}
	return false
}

// Silent tells that it has said nothing for so long that the next is to be tried: half of a lease, so that the next can prolong that. One that
// stands still keeps its links up.
func (s *PlannerSelector) TimedOut(now time.Duration) bool {
	if s.config.Lease > 0 {
		return now-s.lastHeard > s.config.Lease/2
	}
	return now-s.lastHeard > silenceTimeout
}

// Next goes on to the next planner and tells after how long: hundreds of proxies that lose theirs at one moment don't come back at one.
func (s *PlannerSelector) Next() (pause time.Duration) {
	s.current = (s.current + 1) % s.planners
	s.attempts++
	pause = min(retryPause<<min(s.attempts/s.planners, 8), maxRetryPause)
	return time.Duration((0.5 + s.rng.Float64()) * float64(pause))
}

// Every tells how often a proxy asks for its lease, given how long the last one was, or gives a sign of life.
func (s *PlannerSelector) RenewInterval(length time.Duration) time.Duration {
	if s.config.Lease > 0 {
		return length / renewalsPerLease
	}
	return heartbeatInterval
}
