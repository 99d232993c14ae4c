package rollout

import (
	"math/rand/v2"
	"time"
)

const (
	seekAgain    = 100 * time.Millisecond // before the next planner is tried, doubled with each round of them, with jitter
	seekAgainMax = 3 * time.Second
	seekAsks     = 5           // for a lease, in its length
	seekIdle     = time.Second // between signs of life where there are no leases
	seekSilence  = 10 * seekIdle
)

// Seeker decides which planner a proxy speaks to, when it leaves one, and when it tries the next.
type Seeker struct {
	cfg      Config
	planners int
	rng      *rand.Rand

	at    int // of the planners
	tries int // since the last that led
	heard time.Duration
}

// NewSeeker makes one for so many planners. Not all proxies begin with the same.
func NewSeeker(cfg Config, planners int, rng *rand.Rand) *Seeker {
	return &Seeker{cfg: cfg, planners: planners, rng: rng, at: rng.IntN(planners)}
}

// At gives the planner that is spoken to, by its place in the list.
func (s *Seeker) At() int { return s.at }

// Up tells that the link to it is up.
func (s *Seeker) Up(now time.Duration) { s.heard = now }

// Heard tells of a message of it. leave = another planner has to be found: this one doesn't lead.
func (s *Seeker) Heard(now time.Duration, k Kind) (leave bool) {
	s.heard = now
	switch k {
	case Elsewhere:
		return true
	case Wait: // it leads, and lets this proxy wait
	default:
		s.tries = 0
	}
	return false
}

// Silent tells that it has said nothing for so long that the next is to be tried: half of a lease, so that the next can prolong that. One that
// stands still keeps its links up.
func (s *Seeker) Silent(now time.Duration) bool {
	if s.cfg.Lease > 0 {
		return now-s.heard > s.cfg.Lease/2
	}
	return now-s.heard > seekSilence
}

// Next goes on to the next planner and tells after how long: hundreds of proxies that lose theirs at one moment don't come back at one.
func (s *Seeker) Next() (pause time.Duration) {
	s.at = (s.at + 1) % s.planners
	s.tries++
	pause = min(seekAgain<<min(s.tries/s.planners, 8), seekAgainMax)
	return time.Duration((0.5 + s.rng.Float64()) * float64(pause))
}

// Every tells how often a proxy asks for its lease, given how long the last one was, or gives a sign of life.
func (s *Seeker) Every(length time.Duration) time.Duration {
	if s.cfg.Lease > 0 {
		return length / seekAsks
	}
	return seekIdle
}
