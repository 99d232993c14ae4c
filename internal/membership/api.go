// Package membership merges the databases that catalogues list (discovery, Consul, a static list) with what the proxy observes of the
// databases into one view. Observation outranks the catalogues: a database that answers is in use whatever health a catalogue reports,
// and one that vanished from a catalogue is kept while it answers. A drain is the exception and is always obeyed: obeying a mistaken
// drain costs little, and ignoring a real one harms every request to that database.
//
// Catalogues flap and fail. Changes of a member are damped as route flaps are in BGP (C. Villamizar, R. Chandra and R. Govindan, "BGP
// Route Flap Damping", RFC 2439, 1998), and a catalogue that loses a large part of its members at once is itself doubted (Envoy's
// "panic threshold"). The package does no I/O and reads no clock: callers pass in events and the time.
package membership

import (
	"fmt"
	"time"
)

// Health is the health of a member as a catalogue reports it.
type Health uint8

// The kinds of health.
const (
	Passing     Health = iota
	Warning            // treated as Passing
	Critical           // the catalogue's checks fail; the member is still used if it answers
	Draining           // the member must get no new requests; always obeyed
	Maintenance        // an operator has taken the member out of service; treated as Draining
	Terminated         // an authoritative catalogue reports that the member no longer exists
)

// String returns the health in lower case.
func (h Health) String() string {
	return [...]string{"passing", "warning", "critical", "draining", "maintenance", "terminated"}[h]
}

// Role is the role of a database as a catalogue reports it. It is only a hint.
type Role uint8

// The roles.
const (
	NoRole Role = iota
	Primary
	Replica
)

// String returns the role in lower case; empty for NoRole.
func (r Role) String() string { return [...]string{"", "primary", "replica"}[r] }

// Listing is a catalogue's entry for one member.
type Listing struct {
	ID      string
	Address string // IP:port; host names are not resolved
	Zone    string
	Group   int
	Health  Health
	Role    Role
	Weight  float64
	Started time.Duration // Unix time; 0 = long ago, or unknown
}

// Update is one answer of a catalogue.
type Update struct {
	Complete bool // Listings holds all members; otherwise only those that have changed or are terminated
	Listings []Listing
	Index    uint64        // index of the answer, for display only
	Lag      time.Duration // time since the answering server's last contact with its leader; 0 = it leads, or the time is unknown
	NoLeader bool          // the answering server has no leader
	Skipped  int           // entries that could not be parsed
}

// Trust configures how far a catalogue is trusted.
type Trust struct {
	// Authoritative catalogues decide alone whether the members that they list are in use: nothing is damped, doubted, or kept after it
	// is delisted.
	Authoritative bool
	// Weight is compared with the weights of other catalogues where they contradict each other, from 0 to 1; 0 = 0.8.
	Weight float64
}

// State is the state of a member in the view.
type State uint8

// The states.
const (
	StateRemoved State = iota
	StateReady
	StateDraining
)

// String returns the state in lower case, as operators read it.
func (s State) String() string { return [...]string{"gone", "ready", "draining"}[s] }

// Config holds the operator's settings. A field that is 0 takes the default that its comment names.
type Config struct {
	AliveTimeout         time.Duration // a member counts as alive for this long after an answer; default 3 s
	UnlistedTimeout      time.Duration // a member that no catalogue lists and that doesn't answer is removed after it; default 10 s
	AliveUnlistedTimeout time.Duration // a member that no catalogue lists and that answers is removed after it; default 10 min
	CriticalTimeout      time.Duration // a member that all catalogues report as critical and that doesn't answer is removed after it; default 30 s
	RenameTimeout        time.Duration // a new ID at a known address is the same process if an old connection answers within it; default 1 s

	PanicFraction   float64       // a catalogue that loses more than this fraction of its members at once is doubted; default 0.5
	PanicDuration   time.Duration // maximum duration of a doubt; default 1 min
	PanicMinMembers int           // minimum number of members for a doubt; default 4

	FlapPenalty       float64       // penalty for each change of health; default 1000
	SuppressThreshold float64       // above this penalty a member's listings are ignored; default 3000
	ReuseThreshold    float64       // below this penalty they are used again; default 750
	MaxPenalty        float64       // default 12000
	PenaltyHalfLife   time.Duration // half-life of the penalty; default 15 s

	WeightHalfLife time.Duration // half-life of a catalogue's weight while it doesn't answer; default 30 s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// WithDefaults returns the configuration with the default for each field that is 0.
func (c Config) WithDefaults() Config {
	setDefault(&c.AliveTimeout, 3*time.Second)
	setDefault(&c.UnlistedTimeout, 10*time.Second)
	setDefault(&c.AliveUnlistedTimeout, 10*time.Minute)
	setDefault(&c.CriticalTimeout, 30*time.Second)
	setDefault(&c.RenameTimeout, time.Second)
	setDefault(&c.PanicFraction, 0.5)
	setDefault(&c.PanicDuration, time.Minute)
	setDefault(&c.PanicMinMembers, 4)
	setDefault(&c.FlapPenalty, 1000)
	setDefault(&c.SuppressThreshold, 3000)
	setDefault(&c.ReuseThreshold, 750)
	setDefault(&c.MaxPenalty, 12000)
	setDefault(&c.PenaltyHalfLife, 15*time.Second)
	setDefault(&c.WeightHalfLife, 30*time.Second)
	return c
}

// Check returns an error if values are out of range or contradict each other. It must be called on the result of WithDefaults.
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

// Entry is the view's entry for a member.
type Entry struct {
	ID          string // the first ID under which the member was listed
	Address     string
	Zone        string
	Group       int
	State       State
	Role        Role // a hint, from the catalogue with the highest weight that reports a role
	Weight      float64
	Started     time.Duration // Unix time, as listed; 0 = long ago, or unknown
	RestartedAt time.Duration // when a new process was detected, on the caller's clock; 0 = none was
	Reason      string        // of the state
	Evidence    []Evidence    // sorted by decreasing confidence; set by Explain only
}

// Evidence is a catalogue's statement on a member or an observation of it.
type Evidence struct {
	Source     string
	Claim      string
	Age        time.Duration // since the claim last changed
	Confidence float64       // from 0 to 1
}

// Catalogue is the state of a catalogue, for operators.
type Catalogue struct {
	Name         string
	Members      int
	Index        uint64
	SinceContact time.Duration // since the last answer; negative = never
	Lag          time.Duration // of that answer
	Failures     int           // since the last answer
	Doubted      bool
	DoubtCount   int // number of doubts so far
	Skipped      int // listings that could not be used: host names, and duplicate IDs or addresses
	Suppressed   int // members whose listings are damped now
	LastError    string
}
