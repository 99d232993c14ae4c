// Package healthcheck decides how the proxies of a tier check databases on behalf of one another: what each checks and when, what it
// reports to whom, what it concludes from the reports of others, and how it falls back to checking alone when they are not received. It
// is pure: events and a clock are handed in, orders are handed out, random numbers come from a seed.
//
// It makes no routing decision. Drains, the age of data, slow start budgets and attempts stay each proxy's own; a verdict of this
// package is one more fact to whoever routes. Which proxies check a database is internal/subset's to say.
//
// All times are on the clock of the process that is called; whoever reads a message translates the times in it. The method is that of
// failure detectors with a constant load a member (Das, Gupta and Motivala, SWIM, 2002), with quorums in place of a suspicion time.
package healthcheck

import (
	"time"

	"havenproxy/internal/subset"
)

// Status is how a database fared when a checker last tried it.
type Status uint8

// The statuses.
const (
	Alive     Status = iota
	ColdStart        // it answers, and has been started a short while ago
	Failing          // it answers checks with errors
	Dead             // it has not answered several checks in a row
)

// Report is what one checker has found out about one database.
type Report struct {
	Origin     subset.ProxyID
	Epoch      uint32 // of the origin's process: when it started, Unix time in seconds
	Database   subset.DatabaseID
	Status     Status
	Role       subset.Role
	ObservedAt time.Duration // when it was so
	Position   time.Duration // all commits up to then are applied; 0 = not told
}

// Observation is the outcome of one check.
type Observation struct {
	Answered  bool
	Failing   bool
	ColdStart bool
	Role      subset.Role
	Position  time.Duration
}

// ChangeKind says what a Change tells.
type ChangeKind uint8

// The kinds of changes.
const (
	ReportChanged  ChangeKind = iota
	CheckerSilent             // the planner no longer receives heartbeats of the origin
	CheckerResumed            // it receives them again
)

// Change is one entry of a digest. Of a change that is not ReportChanged only the report's origin is set.
type Change struct {
	Kind   ChangeKind
	Report Report
}

// Digest is what a planner sends down a link.
type Digest struct{ Changes []Change }

// Message is what a proxy sends, to a planner or to another proxy. Without reports it is a heartbeat.
type Message struct {
	From      subset.ProxyID
	Epoch     uint32
	ToPlanner bool
	To        subset.ProxyID // where it is not to a planner
	Reports   []Report
}

// Actions is what a proxy is to do now.
type Actions struct {
	Checks   []subset.DatabaseID // to be begun; each is owed a call of Checked
	Messages []Message
}

// State is what is concluded about a database.
type State uint8

// The states.
const (
	Serving State = iota
	Unknown       // no checker of it is received: go by own evidence
	Suspect       // a quorum calls it dead, but its checkers may be cut off: go by own evidence
	Ejected       // dead by the word of a quorum, or by own checks where the proxy checks alone
)

// Verdict is what is concluded about a database from all evidence.
type Verdict struct {
	State          State
	ColdStart      bool          // by a quorum
	Failing        bool          // by a quorum
	Role           subset.Role   // that a quorum has last seen; RoleUnknown = there is no such
	RoleObservedAt time.Duration // when a quorum had seen that role, then or later
	Position       time.Duration // that a quorum has seen reached or passed; 0 = not known
	Votes          int           // checkers that call it dead and are believed
	Quorum         int           // how many are needed
}

// Mode is how far a proxy relies on others.
type Mode uint8

// The steps.
const (
	ModePlanner    Mode = iota // planners' digests are received: who is not mentioned has not changed
	ModePeers                  // they are not, but other proxies' reports are; the proxy checks what it uses besides
	ModeStandalone             // nobody is received: the proxy checks what it uses, and goes by that
)

// Counters counts what was dropped, and why.
type Counters struct {
	Accepted        uint64
	StaleEpoch      uint64 // from a process that has been replaced
	StaleReport     uint64 // older than, or the same as, what is known from that origin
	ExpiredReport   uint64 // older than ReportTTL
	ClockAhead      uint64 // from further in the future than MaxSkew
	UnknownDatabase uint64 // about a database that the own list has not named
	ForeignOrigin   uint64 // sent to a planner by another proxy than the one that it is said to come from
	Malformed       uint64 // with a status or role of a later version
	OverBudget      uint64 // messages that waited for bytes
}

const (
	// MinCheckInterval is the shortest time between two checks of a database by one checker.
	MinCheckInterval = time.Second
	// CheckTimeout is how long a check may take.
	CheckTimeout = 500 * time.Millisecond
	// FailureThreshold is how many checks in a row go unanswered before a database is called dead.
	FailureThreshold = 3
	// SettleTime is how long a report of a death waits until it counts. In that time a checker that has lost all databases finds
	// out about most of them: a checking interval and the time of one recheck.
	SettleTime = 1500 * time.Millisecond
	// RefreshInterval is how often a report of a database that is not alive is sent anew.
	RefreshInterval = 10 * time.Second
	// ReportTTL is how long a report counts. One that is older is not accepted.
	ReportTTL = 21 * time.Second
	// LocalFailureTTL is how long own failures count beside the reports of others.
	LocalFailureTTL = 4 * time.Second
	// MaxSkew is how far ahead a report's time may lie.
	MaxSkew = 50 * time.Millisecond
	// HeartbeatInterval is how often a proxy and a planner send something in any case.
	HeartbeatInterval = time.Second
	// CheckerTimeout is how long a planner waits for a heartbeat before it calls the checker silent.
	CheckerTimeout = 5 * time.Second
	// PlannerTimeout is how long a proxy waits for a digest before it falls back to its peers; its own spread comes on top.
	PlannerTimeout = 4 * time.Second
	// PeerTimeout is how long it then waits for any peer before it checks alone.
	PeerTimeout = 6 * time.Second
	// FallbackJitter is the time over which the proxies of a tier fall back, each at a moment of its own.
	FallbackJitter = 2 * time.Second
	// MassLossShare is the part of the databases of a checker, or of all checkers of its zone, that are called dead at once beyond which
	// the checkers are taken for cut off. It lies above one half, since a region of two may be lost.
	MassLossShare = 0.6
	// MassLossMinDatabases is how many databases must be called dead at least for that.
	MassLossMinDatabases = 3
)

// The sizes of messages on the wire, in bytes. internal/wire/healthcheck keeps to them.
const (
	ReportBytes  = 20
	ChangeBytes  = 1 + ReportBytes
	HeaderBytes  = 13
	PacketBytes  = 40 // of IP and TCP, or IP and UDP, for each message
	MaxReports   = 12 // in a message between proxies, so that it holds 256 bytes at most
	MaxChanges   = 60 // in a digest
	PeerFanout   = 2  // peers that a proxy sends to at a time
	peerInterval = 500 * time.Millisecond
)
