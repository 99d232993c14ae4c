// Package handover follows who is primary of each group, and what to do with requests that need one while there is none:
// hold them, or refuse them at once with a time to come back. It knows members by numbers and requests by what holding them
// costs and earns; who sends what to whom is package logic's to decide, which asks it. It is pure: events and a clock are
// handed in, and the same events give the same answers.
package handover

import (
	"fmt"
	"time"
)

// Role is what a member was when it last spoke.
type Role uint8

// The roles of a member.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// DiscoveryState is what the list says of a member.
type DiscoveryState uint8

// The kinds of presence.
const (
	Unlisted DiscoveryState = iota
	Ready
	Draining
)

// Phase is where a group stands with its primary.
type Phase uint8

// The phases. A switch begins with PhaseDraining or PhaseLost and ends with PhaseFound; what was held leaves while it is PhaseSettling.
const (
	PhaseUndiscovered Phase = iota // no primary has been known yet
	PhaseSteady                    // there is one
	PhaseDraining                  // it drains, or has stepped down, and another is awaited
	PhaseLost                      // it is silent or gone
	PhaseElecting                  // it has been for longer than a blip takes
	PhaseFound                     // another was named, or the same is back; no write has been served by it yet
	PhaseSettling                  // one has
)

// String names a phase.
func (p Phase) String() string {
	return [...]string{"unheard", "steady", "drains", "lost", "electing", "found", "settling"}[p]
}

// Cause is why a group came to be without a primary. How long that lasts depends on it.
type Cause uint8

// The causeCount.
const (
	CausePlanned  Cause = iota // a drain was told, or the primary itself says that it is a replica now
	CauseSilent                // it owes answers and gives none, or its connections end
	CauseUnlisted              // the list has it no more
	causeCount
)

// String names a cause.
func (c Cause) String() string { return [...]string{"planned", "silence", "absence"}[c] }

// Prior is what is taken to be known of the length of a switch before any was seen.
type Prior struct{ From, To time.Duration }

// Config is the operator's settings. The zero value of a field takes the default that its comment names.
type Config struct {
	Hold bool // otherwise all is refused at once that needs a primary while there is none

	Likely   float64 // a request is held if it is served in its time with this probability; 0.6
	Keep     float64 // and let go once that has fallen below this; 0.45
	LateCost float64 // of a request's worth, where it is refused after half of its time; 0.3

	MostHeld  int           // requests of a group; 512
	MostBytes int           // of them; 1 MiB
	MostTime  time.Duration // of one; 3 s

	Drain  Prior         // of a planned switch; 0.45 to 0.8 s
	Death  Prior         // of any other; 2 to 7 s
	Fade   time.Duration // half of an observation's weight is gone after it; 10 min
	Blip   time.Duration // a primary silent for longer is being replaced; 1 s
	Settle time.Duration // after its first write a new primary is no news any more; 2 s
	Search time.Duration // between pings to a member while another primary is looked for; 50 ms

	Margin time.Duration // of a repeat against the window in which a group drops it: ways, and clocks; 100 ms
}

// WithDefaults fills in what is not set.
func (c Config) WithDefaults() Config {
	or(&c.Likely, 0.6)
	or(&c.Keep, min(0.45, c.Likely))
	or(&c.LateCost, 0.3)
	or(&c.MostHeld, 512)
	or(&c.MostBytes, 1<<20)
	or(&c.MostTime, 3*time.Second)
	or(&c.Drain, Prior{450 * time.Millisecond, 800 * time.Millisecond})
	or(&c.Death, Prior{2 * time.Second, 7 * time.Second})
	or(&c.Fade, 10*time.Minute)
	or(&c.Blip, time.Second)
	or(&c.Settle, 2*time.Second)
	or(&c.Search, 50*time.Millisecond)
	or(&c.Margin, 100*time.Millisecond)
	return c
}

func or[T comparable](v *T, otherwise T) {
	var zero T
	if *v == zero {
		*v = otherwise
	}
}

// Validate tells which setting makes no sense, after WithDefaults.
func (c *Config) Validate() error {
	for name, p := range map[string]Prior{"drain": c.Drain, "death": c.Death} {
		if p.From < 0 || p.To <= p.From {
			return fmt.Errorf("handover: %s is %v to %v, the second must be above the first", name, p.From, p.To)
		}
	}
	switch {
	case c.Likely <= 0 || c.Likely > 1:
		return fmt.Errorf("handover: likely is %v, must be above 0 and at most 1", c.Likely)
	case c.Keep < 0 || c.Keep > c.Likely:
		return fmt.Errorf("handover: keep is %v, must be at least 0 and at most likely, which is %v", c.Keep, c.Likely)
	}
	return nil
}

// Status is where a group stands, to be shown.
type Status struct {
	Phase          Phase
	Since          time.Duration // of the phase
	Primary        uint64        // 0 = none
	RivalPrimaries int           // members beside it that claim to be primary
	Held           int
	HeldBytes      int
	ExpectedWait   time.Duration // until a primary is back, the middle of what is thought likely; 0 where there is one
	Cause          Cause         // of the switch under way
}

// Failover is one that has ended.
type Failover struct {
	Group                  int
	Cause                  Cause
	OldPrimary, NewPrimary uint64
	StartedAt              time.Duration // on the clock that was handed in
	Duration               time.Duration // until a primary was known again
	MaxHeld                int           // requests that were held for it, at most at once
	Refused                int           // and those refused for want of a primary
}
