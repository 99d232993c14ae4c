// Package healthcheck implements shared health checking for the proxies of a tier: which databases each proxy checks and when, what it
// reports to the planner and to its peers, how it combines the reports of others with its own observations, and how it falls back to
// checking on its own when it receives no reports. The package performs no I/O: callers pass in events and the current time and carry out
// the returned actions; random numbers come from a seed.
//
// It makes no routing decisions. Drains, replication lag, slow start budgets and attempts remain each proxy's own concern; a verdict is one
// more input for the router. internal/subset assigns databases to the proxies that check them.
//
// All times are on the clock of the calling process; the code that decodes a message converts the times in it. The method follows failure
// detectors with a constant load per member (Das, Gupta and Motivala, SWIM, 2002), with quorums instead of a suspicion timeout.
package healthcheck

import (
	"time"

	"havenproxy/internal/subset"
)

// Status is the state of a database as a checker last observed it.
type Status uint8

// The values of Status.
const (
	Alive     Status = iota
	ColdStart        // answers, but was started only a short while ago
	Failing          // answers health checks with errors
	Dead             // has left FailureThreshold checks in a row unanswered
)

// Report is one checker's latest observation of one database.
type Report struct {
	Origin     subset.ProxyID
	Epoch      uint32 // start time of the origin's process, Unix time in seconds
	Database   subset.DatabaseID
	Status     Status
	Role       subset.Role
	ObservedAt time.Duration // when the observation was made
	Position   time.Duration // all commits up to this time are applied; 0 = unknown
}

// Observation is the outcome of one health check.
type Observation struct {
	Answered  bool
	Failing   bool
	ColdStart bool
	Role      subset.Role
	Position  time.Duration
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The values of ChangeKind.
const (
	ReportChanged  ChangeKind = iota
	CheckerSilent             // the planner no longer receives heartbeats of the origin
	CheckerResumed            // the planner receives heartbeats of the origin again
)

// Change is one entry of a digest. For kinds other than ReportChanged, only Report.Origin is set.
type Change struct {
	Kind   ChangeKind
	Report Report
}

// Digest is a message from a planner to a proxy. Without changes it is a heartbeat.
type Digest struct{ Changes []Change }

// Message is a message from a proxy to a planner or to another proxy. Without reports it is a heartbeat.
type Message struct {
	From      subset.ProxyID
	Epoch     uint32
	ToPlanner bool
	To        subset.ProxyID // the receiver, unless ToPlanner is set
	Reports   []Report
}

// Actions holds what a proxy has to do now.
type Actions struct {
	Checks   []subset.DatabaseID // checks to start; each must be followed by a call of CompleteCheck
	Messages []Message
}

// State is the conclusion drawn about a database.
type State uint8

// The values of State.
const (
	Serving State = iota
	Unknown       // no active checker: the proxy relies on its local evidence
	Suspect       // a quorum reports it dead, but its checkers may be partitioned: the proxy relies on its local evidence
	Ejected       // reported dead by a quorum, or found dead by local checks in ModeStandalone
)

// Verdict is the conclusion drawn about a database from all evidence.
type Verdict struct {
	State          State
	ColdStart      bool          // according to a quorum
	Failing        bool          // according to a quorum
	Role           subset.Role   // as last observed by a quorum; RoleUnknown = no quorum agrees
	RoleObservedAt time.Duration // latest time at or after which a quorum observed Role
	Position       time.Duration // a position that a quorum has observed as reached; 0 = unknown
	Votes          int           // checkers that report it dead and are not suspected of being partitioned
	Quorum         int           // votes needed to eject it
}

// Mode is the source of health information that a proxy relies on.
type Mode uint8

// The values of Mode.
const (
	ModePlanner    Mode = iota // planners' digests arrive: a database that they do not mention has not changed
	ModePeers                  // no digests arrive, but peers' reports do; the proxy additionally checks the databases that it uses
	ModeStandalone             // nothing arrives: the proxy checks the databases that it uses and relies on these checks
)

// Counters counts accepted reports, rejected ones by reason, and delayed messages.
type Counters struct {
	Accepted        uint64
	StaleEpoch      uint64 // from a process that has been replaced
	StaleReport     uint64 // not newer than the known report of the same origin
	ExpiredReport   uint64 // older than ReportTTL
	ClockAhead      uint64 // more than MaxSkew in the future
	UnknownDatabase uint64 // about a database that is not in this proxy's list
	ForeignOrigin   uint64 // received by a planner from a proxy other than the origin
	Malformed       uint64 // with a status or role that this version does not know
	OverBudget      uint64 // messages delayed by the byte budget
}

const (
	// MinCheckInterval is the shortest time between two checks of a database by one checker.
	MinCheckInterval = time.Second
	// CheckTimeout is the time limit of a check.
	CheckTimeout = 500 * time.Millisecond
	// FailureThreshold is the number of checks in a row that must go unanswered before a database is reported dead.
	FailureThreshold = 3
	// SettleTime is the delay before a report of a death counts. It gives a checker that has lost the network time to notice that most
	// of its databases are unreachable: one check interval and the time of one recheck.
	SettleTime = 1500 * time.Millisecond
	// RefreshInterval is the interval at which the report of a database that is not alive is repeated.
	RefreshInterval = 10 * time.Second
	// ReportTTL is how long a report counts without being renewed. Older reports are rejected.
	ReportTTL = 21 * time.Second
	// LocalFailureTTL is how long this proxy's own failed checks count in addition to the reports of others.
	LocalFailureTTL = 4 * time.Second
	// MaxSkew is the largest accepted lead of a report's time over the local clock.
	MaxSkew = 50 * time.Millisecond
	// HeartbeatInterval is the longest time that a proxy or a planner goes without sending a message.
	HeartbeatInterval = time.Second
	// CheckerTimeout is how long a planner waits for a heartbeat before it declares the checker silent.
	CheckerTimeout = 5 * time.Second
	// PlannerTimeout is how long a proxy waits for a digest, plus its own jitter, before it falls back to its peers.
	PlannerTimeout = 4 * time.Second
	// PeerTimeout is how long a proxy then waits for a message of any peer before it falls back to ModeStandalone.
	PeerTimeout = 6 * time.Second
	// FallbackJitter is the time over which the fallbacks of the proxies of a tier are spread.
	FallbackJitter = 2 * time.Second
	// MassLossShare is the share of its databases that a checker, or all checkers of a zone together, may report dead at once before
	// they are presumed partitioned. It is above one half because one region of two may fail.
	MassLossShare = 0.6
	// MassLossMinDatabases is the smallest number of dead databases that counts as a mass loss.
	MassLossMinDatabases = 3
)

// Message sizes on the wire in bytes, and limits on entries. internal/wire/healthcheck must produce exactly these sizes.
const (
	ReportBytes  = 20
	ChangeBytes  = 1 + ReportBytes
	HeaderBytes  = 13
	PacketBytes  = 40 // IP and TCP, or IP and UDP, headers of each message
	MaxReports   = 12 // per message between proxies, so that it fits into 256 bytes
	MaxChanges   = 60 // per digest
	PeerFanout   = 2  // peers that a proxy sends to in one round
	peerInterval = 500 * time.Millisecond
)
