// Package handover tracks the primary of each replication group and decides what happens to requests that need one while there is
// none: they are held until a new primary is found, or refused at once with a retry hint. It knows members by number, and requests by
// what holding them costs and is worth. Package logic, which calls it, decides which request goes to which member.
//
// The package does no I/O and reads no clock: callers pass in events and the time, and the same events give the same results.
package handover

import (
	"fmt"
	"time"
)

// Role is the role that a member was last known to have.
type Role uint8

// The roles of a member.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// DiscoveryState is a member's state in discovery.
type DiscoveryState uint8

// The discovery states.
const (
	Unlisted DiscoveryState = iota
	Ready
	Draining
)

// Phase is the stage of a group's failover.
type Phase uint8

// The phases. A failover begins with PhaseDraining or PhaseLost and ends with PhaseFound. Held requests are released from PhaseFound on.
const (
	PhaseUndiscovered Phase = iota // no primary has been known yet
	PhaseSteady                    // the group has a primary
	PhaseDraining                  // the primary drains or has stepped down, and another is awaited
	PhaseLost                      // the primary is silent or unlisted
	PhaseElecting                  // the primary has been lost for longer than Config.Blip
	PhaseFound                     // a primary was elected or has returned, but has served no write yet
	PhaseSettling                  // it has served a write
)

// String returns the phase as operators see it.
func (p Phase) String() string {
	return [...]string{"unheard", "steady", "drains", "lost", "electing", "found", "settling"}[p]
}

// Cause is the reason why a group lost its primary. The duration of a failover depends on it.
type Cause uint8

// The causes.
const (
	CausePlanned  Cause = iota // the primary drains, or reports that it is a replica
	CauseSilent                // it does not answer, or its connections were closed
	CauseUnlisted              // discovery does not list it any more
	causeCount
)

// String returns the cause as operators see it.
func (c Cause) String() string { return [...]string{"planned", "silence", "absence"}[c] }

// Prior is the range that failover durations are assumed to have before any was observed.
type Prior struct{ From, To time.Duration }

// Config holds the operator's settings. A zero field takes the default that its comment names.
type Config struct {
	Hold bool // hold requests while there is no primary; otherwise they are refused at once

	Likely   float64 // least probability of being served in time for a request to be held; default 0.6
	Keep     float64 // a held request is refused once the probability falls below this; default 0.45
	LateCost float64 // cost of refusing a request after half of its time, as a part of its worth; default 0.3

	MostHeld  int           // most requests held for a group; default 512
	MostBytes int           // most bytes held for a group; default 1 MiB
	MostTime  time.Duration // longest time that a request is held; default 3 s

	Drain  Prior         // prior duration of a planned failover; default 0.45 to 0.8 s
	Death  Prior         // prior duration of any other failover; default 2 to 7 s
	Fade   time.Duration // half-life of an observation's weight; default 10 min
	Blip   time.Duration // a primary that is silent for longer is assumed to be replaced; default 1 s
	Settle time.Duration // how long PhaseSettling lasts after the new primary's first write; default 2 s
	Search time.Duration // interval of pings to a member while a primary is awaited; default 50 ms

	Margin time.Duration // safety margin of a repeat against the group's deduplication window, for network and clocks; default 100 ms
}

// WithDefaults returns the configuration with a default for each field that is zero.
func (c Config) WithDefaults() Config {
	setDefault(&c.Likely, 0.6)
	setDefault(&c.Keep, min(0.45, c.Likely))
	setDefault(&c.LateCost, 0.3)
	setDefault(&c.MostHeld, 512)
	setDefault(&c.MostBytes, 1<<20)
	setDefault(&c.MostTime, 3*time.Second)
	setDefault(&c.Drain, Prior{450 * time.Millisecond, 800 * time.Millisecond})
	setDefault(&c.Death, Prior{2 * time.Second, 7 * time.Second})
	setDefault(&c.Fade, 10*time.Minute)
	setDefault(&c.Blip, time.Second)
	setDefault(&c.Settle, 2*time.Second)
	setDefault(&c.Search, 50*time.Millisecond)
	setDefault(&c.Margin, 100*time.Millisecond)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns an error for the first setting that is out of range. Call it after WithDefaults.
func (c *Config) Validate() error {
	for name, prior := range map[string]Prior{"drain": c.Drain, "death": c.Death} {
		if prior.From < 0 || prior.To <= prior.From {
			return fmt.Errorf("handover: %s is %v to %v, the second must be above the first", name, prior.From, prior.To)
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

// Status describes the present state of a group, for display.
type Status struct {
	Phase          Phase
	Since          time.Duration // when the phase began
	Primary        uint64        // 0 = none
	RivalPrimaries int           // other members that claim to be primary
	Held           int           // held requests
	HeldBytes      int
	ExpectedWait   time.Duration // median time until a primary is found; 0 if there is one
	Cause          Cause         // of the failover in progress
}

// Failover describes a failover that has ended.
type Failover struct {
	Group                  int
	Cause                  Cause
	OldPrimary, NewPrimary uint64
	StartedAt              time.Duration // on the clock of the caller
	Duration               time.Duration // until a primary was known again
	MaxHeld                int           // most requests that were held at once
	Refused                int           // requests refused because there was no primary
}
