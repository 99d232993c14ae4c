package logic

import (
	"time"

	"havenproxy/internal/handover"
	"havenproxy/internal/limit"
	"havenproxy/internal/peers"
)

// All times are durations on the proxy's own monotonic clock, whose origin is arbitrary. All IDs are opaque: the
// router only compares them and returns them.
type (
	// MemberID identifies one process of a group. A machine that replaces another has a new ID.
	MemberID uint64
	// RequestID identifies one request of a client, not counting the proxy's own retries. It is never reused.
	RequestID uint64
	// SessionID links the writes and reads of a session; 0 means that there is no session.
	SessionID uint64
	// GroupID identifies a set of members that hold the same data.
	GroupID int
	// TimerID is chosen by the router and passed back to Timer.
	TimerID uint64
)

// Role is the role that a member last reported.
type Role uint8

// Roles of a member.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Freshness is the consistency that a request class requires of the data.
type Freshness uint8

// Kinds of freshness.
const (
	Any     Freshness = iota // any member qualifies
	Bounded                  // data at most Class.MaxAge old at the time of sending
	Session                  // includes all earlier writes of the session
	Fresh                    // includes all commits before the request arrived; only the primary qualifies
	Write                    // only the primary accepts it
)

// Effect states whether an attempt may be repeated.
type Effect uint8

// Kinds of effect.
const (
	Idempotent Effect = iota // safe to repeat
	Guarded                  // carries a deduplication key; members drop repeats for Class.DedupWindow
	SingleShot               // must not be executed twice
)

// KeyScope states which members recognize a repeat of a Guarded request by its key.
type KeyScope uint8

// Scopes of a deduplication key.
const (
	ScopeAll  KeyScope = iota // all members
	ScopeZone                 // members of the same zone
	ScopeCell                 // members of the same group
)

// LagCheck states what a member does with a read for which it lags too far behind.
type LagCheck uint8

// Kinds of lag check.
const (
	LagCheckNone   LagCheck = iota // answers from the data that it has
	LagCheckRefuse                 // answers Misdirected at once
	LagCheckWait                   // waits briefly, then answers Misdirected
)

// ListRole states whether the member list names the primary, and how current that is.
type ListRole uint8

// Kinds of list role.
const (
	ListRoleNone  ListRole = iota // the list never names the primary
	ListRoleStart                 // the list names the primary as of its start
	ListRoleLate                  // the list names the primary with a delay of seconds
)

// Class describes one class of requests.
type Class struct {
	Name        string
	Read        Freshness
	MaxAge      time.Duration // staleness bound of Bounded reads
	Aim         time.Duration // target latency: answers within it earn the full worth
	Limit       time.Duration // how long the client waits, over all its tries
	Effect      Effect
	Scope       KeyScope
	DedupWindow time.Duration
	Worth       float64
	Late        float64 // part of the worth that an answer later than Aim earns
	Stream      bool
}

// Tenant describes one customer.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all proxies; 0 = no quota
}

// Config describes the deployment to a new router. The zero value of an optional field means "no" or "none".
type Config struct {
	Seed    uint64 // seed of the router's random number generator
	Proxies int    // number of proxies that share the traffic
	Zone    int    // zone of this proxy

	Classes []Class
	Tenants []Tenant
	// OverShareWorth is the worth of a request beyond its tenant's quota, as a fraction of its class's worth.
	OverShareWorth float64

	Tick          time.Duration // shortest interval between the proxy's calls of the router
	ListOnRequest bool          // the member list is only delivered on request (WatchList, FetchList)
	// ListFromAgent states that an agent on this machine has the list, so that the router is expected to know the
	// agent's list from its first event on: a new router holds requests until its first call for the list has
	// ended. Requires ListOnRequest.
	ListFromAgent bool
	// ListMaxDelay bounds the time until a change of the list is known here, counted from when the list's service
	// had the change and was reachable, whichever call failed before; 0 = limit.DefaultMaxDelay.
	ListMaxDelay time.Duration
	ListRole     ListRole
	// SessionTokens states that requests carry their session's token; otherwise the router remembers commits.
	SessionTokens bool
	LagCheck      LagCheck

	EnableProbes     bool
	MaxConnections   int // connections to members that this proxy may have open at once; 0 = unlimited
	EnableCancel     bool
	ParallelAttempts bool // two attempts of one request may be in flight at once
	MaxPeerReports   int  // number of reports in a message to all peers; 0 = proxies exchange no reports
	EnableRetryAfter bool // refusals carry a retry-after hint
	MaxAttempts      int
	MaxRetryAfter    time.Duration // longest hint that clients respect

	ColdPeriod       time.Duration // a started member has its full capacity after this time at the latest
	ColdShare        float64       // least capacity of a started member, as a fraction of its usual one
	OverloadMultiple float64       // a cold member that receives more than this multiple of its capacity fails
	IgnoreGone       bool          // a member listed as gone, or no longer listed, stays usable; only a listed drain excludes it

	Handover handover.Config // holding of requests while a group has no primary; the zero value holds none
	Tuning   Tuning
}

// Tuning holds the settings that an operator may change from their measured defaults. A zero field takes the
// default given in its comment.
type Tuning struct {
	PingWindow time.Duration // how much slower than the lowest ping time a candidate may be; 15 ms
	FirstLimit float64       // attempts that all proxies together may have in flight at an unknown member; 36
}

// WithDefaults returns t with the defaults for the fields that are zero.
func (t Tuning) WithDefaults() Tuning {
	if t.PingWindow == 0 {
		t.PingWindow = 15 * time.Millisecond
	}
	if t.FirstLimit == 0 {
		t.FirstLimit = limit.DefaultInitialLimit
	}
	return t
}

// Request is one request from a client. A retry by the client is another Request with a new ID.
type Request struct {
	ID        RequestID
	Class     int // index into Config.Classes
	Tenant    int // index into Config.Tenants
	Group     GroupID
	Session   SessionID
	ClientKey uint64        // the same for all tries of one client, for sampling by client; 0 = each request is its own client
	Deadline  time.Duration // when the client gives up
	TokenAge  time.Duration // with Config.SessionTokens: time since the session's last write was committed; 0 = none
	Retry     bool          // the client marked it as a retry
	Size      int           // in bytes; 0 = unknown
}

// Result is how an attempt or a probe ended.
type Result uint8

// Results. NeverRan reports which of them prove that the attempt was not executed.
const (
	OK            Result = iota
	Misdirected          // rejected without effect: the member is not the primary or is too far behind
	Failed               // the member answered with an error; it may have been executed
	Rejected             // rejected before being read: the member's queue is full or it drains
	TimedOut             // no answer in time; it may have been executed
	ConnectFailed        // no connection could be opened
	Reset                // the connection broke; it may have been executed
	Cancelled            // cancelled by the proxy; it may have been executed
	NotSent              // the proxy never sent it
)

// NeverRan reports whether the result proves that the attempt was not executed.
func (r Result) NeverRan() bool {
	return r == Misdirected || r == Rejected || r == ConnectFailed || r == NotSent
}

// Outcome is the end of one attempt. Every Send is followed by exactly one.
type Outcome struct {
	Request      RequestID
	Attempt      int // 0 for the request's first Send, then 1, 2, and so on
	Member       MemberID
	Result       Result
	Elapsed      time.Duration
	Finished     bool          // the request has its final answer; the first OK always is one
	Role         Role          // as the answer reported it
	Position     time.Duration // the member has applied all commits up to this time (rounded down); for a write that is OK, its commit
	Load         Report        // the member's report, where answers carry one
	ConnOpenedAt time.Duration // when the connection that brought the answer was opened; 0 = unknown
	DialRefused  bool          // with ConnectFailed: the dial was refused, so nothing listens at the address
}

// Report is a member's report on itself, which may be slightly outdated.
type Report struct {
	Role     Role
	Position time.Duration // 0 = unknown; never later than the true position
	Queue    float64       // number of waiting requests; negative = unknown
}

// ProbeEnd is the end of one Probe.
type ProbeEnd struct {
	Member       MemberID
	Result       Result
	Elapsed      time.Duration
	Report       Report
	ConnOpenedAt time.Duration // as in Outcome
	DialRefused  bool          // as in Outcome
}

// MemberState is the state of a member's process according to the list.
type MemberState uint8

// States of a listed member.
const (
	Gone MemberState = iota
	Ready
	Draining
)

// Member is one entry of the member list.
type Member struct {
	ID        MemberID
	Zone      int
	Group     GroupID
	State     MemberState
	Primary   bool
	Size      float64
	StartedAt time.Duration // when its process last started; 0 = long ago or unknown
}

// ListKind states how a list event relates to the earlier ones.
type ListKind uint8

// Kinds of list event.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the whole list
	ListCached                 // a stored copy of the whole list, possibly outdated
	ListFailed                 // a call failed or the watch broke; the list is unchanged
)

// MemberList is an event of the member list.
type MemberList struct {
	Kind    ListKind
	Entries []Member // only valid during the call
}

// Events are the calls that a proxy makes to its router. They must not be concurrent, and now must not decrease.
type Events interface {
	Members(now time.Duration, l MemberList)
	Request(now time.Duration, q Request)
	ResponseStarted(now time.Duration, id RequestID, attempt int) // the first part of a streamed answer has arrived
	Outcome(now time.Duration, o Outcome)
	Probed(now time.Duration, p ProbeEnd)
	Timer(now time.Duration, id TimerID)
	// ConnectionEvidence reports what became of a connection that was opened before the member fell silent.
	ConnectionEvidence(now time.Duration, id MemberID, evidence handover.ConnectionEvidence, connOpenedAt time.Duration)
	PeerReports(now time.Duration, reports []peers.Report) // reports received from a peer, only valid during the call
	Abandoned(now time.Duration, id RequestID)             // the client has left; it needs no answer
}

// Actions are the calls that a router makes to its proxy while it handles an event.
type Actions interface {
	Send(id RequestID, to MemberID, timeout time.Duration)
	Probe(to MemberID)
	Refuse(id RequestID, retryAfter time.Duration) // final answer: the client may safely retry, preferably after retryAfter
	Fail(id RequestID)                             // final answer: the request may have been executed
	Cancel(id RequestID, attempt int)
	SetTimer(id TimerID, at time.Duration)
	WatchList(on bool)          // request changes of the list from now on
	FetchList()                 // request the whole list once
	SendToPeers([]peers.Report) // send reports to all peers in one message; the slice is only valid during the call
	Log(text string)
}
