// Package membership merges what catalogues say of the databases (discovery, Consul, a static list) with what the databases
// themselves show, into one view. What is seen outranks what is told: a database that answers is in use whatever a catalogue
// says of its health, and one that vanished from a catalogue is kept as long as it answers. The one thing that is always
// believed is a drain: nobody gains by obeying it in vain for long, and everybody loses by not obeying.
//
// Catalogues flap and break. A member's news is damped as route flaps are in BGP (C. Villamizar, R. Chandra and R. Govindan, "BGP
// Route Flap Damping", RFC 2439, 1998), and a catalogue that loses a large part of its members at once is itself doubted (Envoy's
// "panic threshold"). The package is pure: events and a clock are handed in.
package membership

import (
	"fmt"
	"time"
)

// Health is what a catalogue says of a member.
type Health uint8

// The kinds of health.
const (
	Passing     Health = iota
	Warning            // in use all the same
	Critical           // its checks fail; whether it answers is seen here
	Draining           // it wants nothing new: always believed
	Maintenance        // an operator has taken it out: as a drain
	Terminated         // it is gone, by the word of a catalogue that binds
)

// String names a health.
func (h Health) String() string {
	return [...]string{"passing", "warning", "critical", "draining", "maintenance", "terminated"}[h]
}

// Role is a catalogue's hint.
type Role uint8

// The roles.
const (
	NoRole Role = iota
	Primary
	Replica
)

// String names a role.
func (r Role) String() string { return [...]string{"", "primary", "replica"}[r] }

// Listing is what a catalogue says of one member.
type Listing struct {
	ID      string
	Address string // IP:port; names are not looked up
	Zone    string
	Group   int
	Health  Health
	Role    Role
	Weight  float64
	Started time.Duration // Unix time; 0 = long ago, or not told
}

// Update is one answer of a catalogue.
type Update struct {
	Complete bool // all its members; otherwise only those that have changed, or are terminated
	Listings []Listing
	Index    uint64        // of the answer, for show
	Lag      time.Duration // how long the answering server has not heard of its leader; 0 = it leads, or doesn't tell
	NoLeader bool          // it knows of no leader
	Skipped  int           // entries that could not be read
}

// Trust says how far a catalogue goes.
type Trust struct {
	// Authoritative: its word is the platform's order, in both directions; nothing is damped, doubted or kept.
	Authoritative bool
	// Weight of its word against other catalogues' where they differ, from 0 to 1; 0 = 0.8.
	Weight float64
}

// State is what becomes of a member.
type State uint8

// The states.
const (
	StateRemoved State = iota
	StateReady
	StateDraining
)

// String names a state.
func (s State) String() string { return [...]string{"gone", "ready", "draining"}[s] }

// Config is the operator's settings. The zero value of a field takes the default that its comment names.
type Config struct {
	AliveTimeout         time.Duration // so long behind an answer a member counts as answering; 3 s
	UnlistedTimeout      time.Duration // a member that no catalogue lists and that doesn't answer is dropped after it; 10 s
	AliveUnlistedTimeout time.Duration // one that does answer is kept for so long; 10 min
	CriticalTimeout      time.Duration // one that all call critical, and that doesn't answer, is dropped after it; 30 s
	RenameTimeout        time.Duration // a new id at an old address is the same process if an old connection answers within it; 1 s

	PanicFraction   float64       // a catalogue that loses more than this part of its members at once is doubted; 0.5
	PanicDuration   time.Duration // for so long at most; 1 min
	PanicMinMembers int           // with so many members or more; 4

	FlapPenalty       float64       // penalty of one change for the worse or the better; 1000
	SuppressThreshold float64       // above it a member's news is not followed; 3000
	ReuseThreshold    float64       // below it it is again; 750
	MaxPenalty        float64       // no penalty is higher; 12000
	PenaltyHalfLife   time.Duration // in which a penalty halves; 15 s

	WeightHalfLife time.Duration // a catalogue's word loses half of its weight for each such time without contact; 30 s
}

func or[T comparable](v *T, otherwise T) {
	var zero T
	if *v == zero {
		*v = otherwise
	}
}

// WithDefaults fills in what is not set.
func (c Config) WithDefaults() Config {
	or(&c.AliveTimeout, 3*time.Second)
	or(&c.UnlistedTimeout, 10*time.Second)
	or(&c.AliveUnlistedTimeout, 10*time.Minute)
	or(&c.CriticalTimeout, 30*time.Second)
	or(&c.RenameTimeout, time.Second)
	or(&c.PanicFraction, 0.5)
	or(&c.PanicDuration, time.Minute)
	or(&c.PanicMinMembers, 4)
	or(&c.FlapPenalty, 1000)
	or(&c.SuppressThreshold, 3000)
	or(&c.ReuseThreshold, 750)
	or(&c.MaxPenalty, 12000)
	or(&c.PenaltyHalfLife, 15*time.Second)
	or(&c.WeightHalfLife, 30*time.Second)
	return c
}

// Check tells what makes no sense, after WithDefaults.
func (c *Config) Check() error {
	switch {
	case c.PanicFraction <= 0 || c.PanicFraction > 1:
		return fmt.Errorf("membership: panic is %v, above 0 and at most 1 was expected", c.PanicFraction)
	case c.ReuseThreshold >= c.SuppressThreshold || c.SuppressThreshold > c.MaxPenalty:
		return fmt.Errorf("membership: reuse %v, suppress %v, most %v: each must be below the next", c.ReuseThreshold, c.SuppressThreshold, c.MaxPenalty)
	case c.AliveUnlistedTimeout < c.UnlistedTimeout:
		return fmt.Errorf("membership: keep is %v, it must not be below lost, which is %v", c.AliveUnlistedTimeout, c.UnlistedTimeout)
	}
	return nil
}

// Entry is a member as the view has it.
type Entry struct {
	ID          string // the first one that it was known by
	Address     string
	Zone        string
	Group       int
	State       State
	Role        Role // a hint, of the weightiest catalogue that gives one
	Weight      float64
	Started     time.Duration // Unix time, as told; 0 = long ago, or not told
	RestartedAt time.Duration // on the clock that is handed in: since when it is taken for a new process, by what is seen; 0 = it is not
	Reason      string        // what decided the state
	Evidence    []Evidence    // all that is known, the weightiest first; of Snapshot only
}

// Evidence is one thing that somebody says, or that was seen.
type Evidence struct {
	Source     string
	Claim      string
	Age        time.Duration // since it was first said so
	Confidence float64       // from 0 to 1
}

// Catalogue is a source, to be shown.
type Catalogue struct {
	Name         string
	Members      int
	Index        uint64
	SinceContact time.Duration // since the last answer; negative = never
	Lag          time.Duration // that answer's own lag
	Failures     int           // since the last answer
	Doubted      bool
	DoubtCount   int // how often it was
	Skipped      int // entries that could not be used: names for addresses, ids or addresses given twice
	Suppressed   int // members whose news is not followed now
	LastError    string
}
