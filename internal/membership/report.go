package membership

import (
	"math"
	"time"
)

// report is what a catalogue says of a member.
type report struct {
	Listing
	listed         bool
	unchangedSince time.Duration // it has said so
	delistedAt     time.Duration // it listed it until then; 0 = it never did
	penalty        float64
	penaltyAt      time.Duration // when the penalty was reckoned
	damped         bool
}

// say gives a source's place with a member.
func (x *Member) report(i int) *report {
	for len(x.reports) <= i {
		x.reports = append(x.reports, report{})
	}
	return &x.reports[i]
}

// better tells healths that let a member in from those that don't.
func (h Health) admits() bool { return h == Passing || h == Warning }

// take notes what a source says.
func (x *Member) receive(now time.Duration, i int, f Listing) {
	s := x.report(i)
	if !s.listed && s.delistedAt > 0 || s.listed && s.Health.admits() != f.Health.admits() && f.Health < Draining && s.Health < Draining {
		x.addPenalty(now, s)
	}
	if !s.listed || s.Health != f.Health || s.Role != f.Role {
		s.unchangedSince = now
	}
	if f.Started > 0 && f.Started > s.Started && s.Started > 0 {
		x.lastAlive, x.silent = 0, false // another process: what was seen of the old one is void
	}
	s.Listing, s.listed = f, true
	x.enqueue()
}

// lose notes that a source lists a member no more.
func (x *Member) delist(now time.Duration, i int) {
	s := x.report(i)
	if s.listed {
		s.listed, s.delistedAt, s.unchangedSince = false, now, now
		x.addPenalty(now, s)
		x.enqueue()
	}
}

// flap adds a penalty for a change, over what time has left of the earlier ones.
func (x *Member) addPenalty(now time.Duration, s *report) {
	c := &x.members.config
	s.penalty = min(s.decayedPenalty(now, c.PenaltyHalfLife)+c.FlapPenalty, c.MaxPenalty)
	s.penaltyAt = now
	if s.penalty > c.SuppressThreshold {
		s.damped = true
	}
}

func (s *report) decayedPenalty(now, half time.Duration) float64 {
	return s.penalty * math.Exp2(-float64(now-s.penaltyAt)/float64(half))
}
