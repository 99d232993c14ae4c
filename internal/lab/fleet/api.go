// Package fleet models groups of replicated databases: cores and service times, the waiting room, cold starts, a
// primary with replicas that apply its log on one thread, the election of a new primary, drains, faults, and the
// list of databases that is told late.
//
// It is a deterministic state machine. Time is handed in, random numbers come from one seed, and what it has to say
// is said by callbacks during the call: the same calls give the same answers. It opens no socket; package standin
// puts it behind sockets on the real clock, and experiments drive it on a virtual one. It knows nothing of proxies.
//
// The figures are those of a small business's databases (three cores, tens of milliseconds a statement); a
// scenario may set all of them.
package fleet

import (
	"fmt"
	"time"

	"havenproxy/logic"
)

// Span is an interval from which times are drawn evenly.
type Span struct{ From, To time.Duration }

// Class is a class of request with the work that one costs a core of a warm database.
type Class struct {
	logic.Class
	Work        Span
	Exponential bool // work is exponential round the middle of the span, instead of even over it
}

// Config describes a fleet. The zero value of an optional field takes the default that its comment names.
type Config struct {
	Seed    uint64
	Groups  int // databases that hold the same data form a group
	Members int // a group's databases, the first of which starts as primary
	Zones   []string
	Classes []Class

	Cores        int           // of a database; 3
	WaitingRoom  int           // requests that may wait there before further ones are turned away; 64
	Cold         time.Duration // a started database is warm after it; 13 s
	ColdShare    float64       // its share of capacity at the start; 0.18
	FallMultiple float64       // pushed with more than this times its capacity for FallAfter, it falls over; 2.5
	FallAfter    time.Duration // 2 s
	LogDelay     Span          // of the log's way to a replica; 5.7 to 13 ms
	ApplyShare   float64       // work of applying a write against running it; 0.45
	ReadWait     time.Duration // so long a replica waits to catch up with a read before it is a miss; 20 ms
	Detection    Span          // until a lost primary is given up; 1.1 to 2.9 s
	Election     Span          // from there until a replica takes over; 1 to 4 s
	HandOver     Span          // of a primary that drains; 0.45 to 0.8 s
	DedupWindow  time.Duration // a group drops the repeat of a key for so long; 3 s
	ProbeWork    time.Duration // what a probe costs a core; 0.3 ms
	ReportEvery  time.Duration // a load report is refreshed so often; 100 ms
	ListDelay    Span          // until the list tells of a change, a drain aside; 0.7 to 4.7 s
	Audit        bool          // keep how often each key was applied, and all reads' ages (memory grows)
}

func orSpan(s *Span, from, to time.Duration) {
	if *s == (Span{}) {
		*s = Span{from, to}
	}
}

func or[T comparable](v *T, otherwise T) {
	var zero T
	if *v == zero {
		*v = otherwise
	}
}

// check fills in the defaults and tells what makes no sense.
func (c *Config) check() error {
	or(&c.Cores, 3)
	or(&c.WaitingRoom, 64)
	or(&c.Cold, 13*time.Second)
	or(&c.ColdShare, 0.18)
	or(&c.FallMultiple, 2.5)
	or(&c.FallAfter, 2*time.Second)
	or(&c.ApplyShare, 0.45)
	or(&c.ReadWait, 20*time.Millisecond)
	or(&c.DedupWindow, 3*time.Second)
	or(&c.ProbeWork, 300*time.Microsecond)
	or(&c.ReportEvery, 100*time.Millisecond)
	orSpan(&c.LogDelay, 5700*time.Microsecond, 13*time.Millisecond)
	orSpan(&c.Detection, 1100*time.Millisecond, 2900*time.Millisecond)
	orSpan(&c.Election, time.Second, 4*time.Second)
	orSpan(&c.HandOver, 450*time.Millisecond, 800*time.Millisecond)
	orSpan(&c.ListDelay, 700*time.Millisecond, 4700*time.Millisecond)
	switch {
	case c.Groups < 1 || c.Members < 1 || c.Groups*c.Members > 1<<16:
		return fmt.Errorf("fleet: %d groups of %d databases: at least one of each, 65536 in all", c.Groups, c.Members)
	case len(c.Classes) == 0:
		return fmt.Errorf("fleet: no classes")
	case c.Cores < 1 || c.WaitingRoom < 0:
		return fmt.Errorf("fleet: %d cores and a waiting room of %d", c.Cores, c.WaitingRoom)
	case c.ColdShare <= 0 || c.ColdShare > 1:
		return fmt.Errorf("fleet: a cold share of %v, must be above 0 and at most 1", c.ColdShare)
	}
	for _, cl := range c.Classes {
		if cl.Work.From <= 0 || cl.Work.To < cl.Work.From {
			return fmt.Errorf("fleet: class %s: work from %v to %v", cl.Name, cl.Work.From, cl.Work.To)
		}
	}
	if len(c.Zones) == 0 {
		c.Zones = []string{"a"}
	}
	return nil
}

// Query is a statement that has come to a database with its last byte.
type Query struct {
	Class    int
	Key      string        // of a guarded write; empty = none
	After    time.Duration // a session's read must see the commits up to then; 0 = none
	Deadline time.Duration // when its sender stops waiting
	Luck     float64       // above 0 and up to 1: its work, within its class's span, so that it is the same wherever it runs; 0 = it is drawn
}

// Result is how a database answers.
type Result uint8

// The results.
const (
	Served Result = iota
	NotPrimary
	TooFarBack
	TurnedAway // queue full, draining, or over
	Broken     // an error; it has had no effect, which the caller can't know
)

// Reply is an answer.
type Reply struct {
	Result   Result
	Role     logic.Role
	Position time.Duration // commits up to then are applied; of a write that was served, its commit
	Repeat   bool          // a write whose key had been applied before
}

// Report is what a database says of itself, somewhat old.
type Report struct {
	Role     logic.Role
	Position time.Duration
	Inflight int
}

// Liveness is how a database's process looks from outside.
type Liveness uint8

// The kinds of liveness.
const (
	Up   Liveness = iota
	Hung          // its connections stay open, it takes requests and answers none
	Down          // its connections are reset, new ones refused
)

// Entry is what the list tells of a database.
type Entry struct {
	Member  int
	State   logic.MemberState
	Started time.Duration // 0 = long ago
}

// Kind says what a fault does.
type Kind string

// The kinds of fault.
const (
	Crash     Kind = "crash"     // dies at once, comes back cold after For
	Hang      Kind = "hang"      // takes requests and answers none for For
	Slow      Kind = "slow"      // runs Factor times slower for For
	Drain     Kind = "drain"     // is told to drain, hands over, ends, comes back cold after For
	Lag       Kind = "lag"       // its log comes Delay late for For
	StaleList Kind = "stalelist" // the list stands still for For
	NoList    Kind = "nolist"    // the list's service answers with errors for For
	Errors    Kind = "errors"    // answers a part, Share, of its requests with an error for For
)

// Kinds are all of them.
var Kinds = []Kind{Crash, Hang, Slow, Drain, Lag, StaleList, NoList, Errors}

// Fault is something that happens to a database or to the list.
type Fault struct {
	Kind   Kind
	Group  int
	Member int // within the group; Primary = who is primary then
	For    time.Duration
	Factor float64
	Share  float64
	Delay  time.Duration
}

// Primary stands for the member of a group that is primary at the time of the fault.
const Primary = -1

// Observer is told what changes; nil functions are passed over. They are called within the fleet's calls and must not
// call back into it.
type Observer struct {
	Liveness func(member int, now Liveness)
	Role     func(member int, now logic.Role)
	Listed   func() // the list has news
	Log      func(at time.Duration, text string)
}
