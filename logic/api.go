package logic

import (
	"time"

	"havenproxy/internal/handover"
	"havenproxy/internal/limit"
	"havenproxy/internal/peers"
)

// All times are durations on the front's own clock, which starts anywhere and only moves forward.
// All ids are opaque: the router compares them and hands them back, nothing more.
type (
	// MemberID names one process of a group; a machine that replaces another has a new one.
	MemberID uint64
	// RequestID names one try of a client; it is never reused.
	RequestID uint64
	// SessionID ties a session's writes and reads together; 0 means none.
	SessionID uint64
	// GroupID names a set of members that hold the same data.
	GroupID int
	// TimerID is chosen by the router and handed back by Timer.
	TimerID uint64
)

// Role is what a member was when it last spoke.
type Role uint8

// The roles of a member.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Freshness says what data a request class needs.
type Freshness uint8

// The kinds of request class.
const (
	Any     Freshness = iota // any member's data will do
	Bounded                  // data at most Class.MaxAge old when sent
	Session                  // all that the session has written
	Fresh                    // all that was committed before the request arrived
	Write                    // only the primary takes it
)

// Effect says what a repeated attempt does.
type Effect uint8

// The kinds of effect.
const (
	Idempotent Effect = iota // safe to repeat
	Guarded                  // carries a key; repeats are dropped for Class.DedupWindow
	SingleShot               // must never run twice
)

// KeyScope says which members drop the repeats of a Guarded class.
type KeyScope uint8

// The scopes of a key.
const (
	ScopeAll  KeyScope = iota // all members
	ScopeZone                 // members of the same zone
	ScopeCell                 // members of the same group
)

// LagCheck says what a member does with a read for which it lags too far behind.
type LagCheck uint8

// The kinds of member-side checks.
const (
	LagCheckNone   LagCheck = iota // answers from what it has
	LagCheckRefuse                 // answers OutcomeMiss at once
	LagCheckWait                   // waits a little, then OutcomeMiss
)

// ListRole says how far the member list tells who is primary.
type ListRole uint8

// The kinds of role in lists.
const (
	ListRoleNone  ListRole = iota // never
	ListRoleStart                 // as it was at the start
	ListRoleLate                  // seconds late
)

// Class describes one class of request.
type Class struct {
	Name        string
	Read        Freshness
	MaxAge      time.Duration // for Bounded
	Aim         time.Duration // answers within it earn the full worth
	Limit       time.Duration // the client's patience over all its tries
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
	Quota float64 // requests a second over all fronts; 0 = no quota
}

// Config is all that a router is told at its start. Every field is a fact about the deployment; the zero
// value of an optional one means "not so" or "none".
type Config struct {
	Seed    uint64 // for the router's own random numbers
	Proxies int    // how many fronts share the traffic
	Zone    int    // the zone of this front

	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // worth of a request beyond its tenant's share, as a part of its class's

	Tick          time.Duration // the front hands over events no more often than this
	ListOnRequest bool          // the member list comes only when asked for (Watch, Fetch)
	// ListFromAgent tells that an agent on this machine has the list, and that what the agent has counts as told from the router's first event on:
	// a fresh router holds requests until the first call for it has ended. With Pull.
	ListFromAgent bool
	// ListMaxDelay is by when a change of the list has to be known here, counted from when the list's service had it and could be reached,
	// whatever call to it failed before; 0 = limit.DefaultBound.
	ListMaxDelay  time.Duration
	ListRole      ListRole
	SessionTokens bool // requests carry their session's token; otherwise the router remembers commits
	LagCheck      LagCheck

	EnableProbes     bool
	MaxConnections   int // to members that this front may have at once; 0 = any number
	EnableCancel     bool
	ParallelAttempts bool // two attempts of one request may be out together
	MaxPeerFacts     int  // how many facts a message to all peers holds; 0 = there is no talk
	EnableRetryAfter bool // clients are told when to come back
	MaxAttempts      int
	MaxRetryAfter    time.Duration // longest hint that clients heed

	ColdPeriod       time.Duration // a started member is warm after this at most
	ColdShare        float64       // a started member's capacity is at least this part of its usual one
	OverloadMultiple float64       // a cold member that is sent more than this times its capacity falls over
	IgnoreGone       bool          // only a listed drain binds, "gone" doesn't

	Handover handover.Config // what is held while a group has no primary; nothing by itself
	Tuning   Tuning
}

// Tuning is what an operator may set otherwise than the design and this project's measurements have it. The zero value of a
// field takes the default that its comment names.
type Tuning struct {
	PingWindow time.Duration // how much slower than the quickest ping a candidate may be; 15 ms
	FirstLimit float64       // attempts that all fronts together may have out at an unknown member; 36
}

// WithDefaults fills in what is not set.
func (t Tuning) WithDefaults() Tuning {
	if t.PingWindow == 0 {
		t.PingWindow = 15 * time.Millisecond
	}
	if t.FirstLimit == 0 {
		t.FirstLimit = limit.DefaultInitialLimit
	}
	return t
}

// Request is one try of a client.
type Request struct {
	ID        RequestID
	Class     int // index into Config.Classes
	Tenant    int // index into Config.Tenants
	Group     GroupID
	Session   SessionID
	ClientKey uint64        // the same with each try of one caller, for draws; 0 = each request by itself
	Deadline  time.Duration // when the client gives this try up
	TokenAge  time.Duration // Config.SessionTokens: how long ago the session's last write was committed; 0 = none
	Retry     bool          // the client says that it is a repeat
	Size      int           // in bytes; 0 = not told
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results. NeverRan tells which of them prove that the attempt had no effect.
const (
	OK            Result = iota
	Misdirected          // turned away untouched: not the primary, or too far behind
	Failed               // the member answered with an error; it may have run
	Rejected             // turned away unseen: queue full or draining
	TimedOut             // no answer in time; it may have run
	ConnectFailed        // no connection could be made
	Reset                // the connection broke; it may have run
	Cancelled            // withdrawn; it may have run
	NotSent              // never sent
)

// NeverRan tells whether the result proves that nothing ran.
func (r Result) NeverRan() bool {
	return r == Misdirected || r == Rejected || r == ConnectFailed || r == NotSent
}

// Outcome is the end of one attempt; every Send gets exactly one.
type Outcome struct {
	Request      RequestID
	Attempt      int // 0 for the request's first Send, then 1, 2 ...
	Member       MemberID
	Result       Result
	Elapsed      time.Duration
	Finished     bool          // the request has had its final answer; a first OK gives it by itself
	Role         Role          // what the answer told of the member's role
	Position     time.Duration // all commits up to then are applied (rounded down); of an OK write: its commit
	Load         Report        // where answers carry reports
	ConnOpenedAt time.Duration // since when the connection was up that brought the answer; 0 = not told
	DialRefused  bool          // of ConnectFailed: the dial was refused, so nothing listens there
}

// Report is what a member says of itself, somewhat old.
type Report struct {
	Role     Role
	Position time.Duration // 0 = not told; never later than the truth
	Queue    float64       // requests waiting; negative = not told
}

// ProbeResult is the result of one Probe.
type ProbeResult struct {
	Member       MemberID
	Result       Result
	Elapsed      time.Duration
	Report       Report
	ConnOpenedAt time.Duration // as in Outcome
	DialRefused  bool          // as in Outcome
}

// MemberState is what the list knows of a member's process.
type MemberState uint8

// The states of a listed member.
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
	StartedAt time.Duration // when its process last started; 0 = long ago
}

// ListKind says how a list event relates to what came before.
type ListKind uint8

// The kinds of list events.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the whole list
	ListCached                 // the whole list as last held, perhaps out of date
	ListFailed                 // a call failed or the watch broke; nothing is changed
)

// MemberList is news of the members.
type MemberList struct {
	Kind    ListKind
	Entries []Member // valid only during the call
}

// Events are what a front tells its router. Calls must come one at a time, with a clock that never goes back.
type Events interface {
	Members(now time.Duration, l MemberList)
	Request(now time.Duration, q Request)
	ResponseStarted(now time.Duration, id RequestID, attempt int) // a streamed answer has begun
	Outcome(now time.Duration, o Outcome)
	ProbeDone(now time.Duration, p ProbeResult)
	Timer(now time.Duration, id TimerID)
	// ConnectionEvidence tells what became of a connection from before a silence, up since opened.
	ConnectionEvidence(now time.Duration, id MemberID, what handover.ConnectionEvidence, opened time.Duration)
	PeerFacts(now time.Duration, facts []peers.Report) // what a peer tells; valid during the call only
	Abandoned(now time.Duration, id RequestID)         // the client left; nothing more is owed
}

// Actions are what a router asks of its front, at the time of the event that it is handling.
type Actions interface {
	Send(id RequestID, to MemberID, timeout time.Duration)
	Probe(to MemberID)
	Refuse(id RequestID, comeBack time.Duration) // final: it is safe to try again, best after comeBack
	Fail(id RequestID)                           // final: nothing is promised about the effect
	Cancel(id RequestID, attempt int)
	SetTimer(id TimerID, at time.Duration)
	WatchList(on bool)          // ask the list for changes from now on
	FetchList()                 // ask for the whole list once
	SendToPeers([]peers.Report) // to all peers, in one message; valid during the call only
	Log(text string)
}
