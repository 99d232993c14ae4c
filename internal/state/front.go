// Package state keeps what the proxy knows between two events: requests, their attempts, the connections to
// the databases, the list of them, and counters. It puts package logic's decisions into effect and tells it how
// they ended, one call at a time; it decides nothing and knows no protocol.
package state

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"havenproxy/internal/membership"
	"havenproxy/internal/peers"
	"havenproxy/internal/trace"
	"havenproxy/logic"
)

// wayHome is kept back of the time that a client waits: it counts from the client's sending and ends with the
// last byte's arrival there, so the ways of request and answer are in it.
const wayHome = 5 * time.Millisecond

// Caller waits for the answer of one request. Exactly one of its methods is called, once, unless it abandons
// the request first.
type Caller interface {
	Served(body []byte) // as a database gave it; valid during the call only
	Refused(comeBack time.Duration)
	Failed()
	BadRequest(body []byte) // the request is at fault; body is what the database said, if it said more than that
}

// Command is a request as its client worded it.
type Command interface {
	AppendTo(dst []byte, wait time.Duration) []byte // for a database that has so long to answer
}

// ErrDuplicateName tells of a request whose name another open one bears.
var ErrDuplicateName = errors.New("a request of that id is open")

// Request is what a client asks.
type Request struct {
	Name       string // new with each request; empty = it has none
	Class      string
	Wait       time.Duration // how long the client waits, counted from its sending
	ReceivedAt time.Duration // when it came, on the front's clock; 0 = now
	Session    uint64
	Group      int
	LastCommit int64 // Unix milliseconds of the session's last commit; 0 = none
	Retry      bool
	Command    Command
	Caller     Caller
}

// Watcher asks the service that lists the databases. It answers a Watch by Listed or ListFailed, later.
type Watcher interface {
	Watch(on bool)
	Fetch()
}

// Config is what the front needs to know of the deployment.
type Config struct {
	Logic          logic.Config
	Zones          []string
	IdleClose      time.Duration // a database closes a connection that has been idle for so long
	ConnectTimeout time.Duration
	MaxConnections int // connections to databases that may be open
}

// Engine stands between callers, databases and the router. All calls must come from one goroutine.
type Engine struct {
	Counters  Counters
	Delays    Delays
	Deadlines Deadlines

	cfg     Config
	classes map[string]int
	clock   Clock
	opener  Opener
	watcher Watcher
	router  logic.Events
	planned *logic.Router // the same, as the levels see it

	queue []func() // events, for the router gets them one at a time
	busy  bool

	endBy    time.Duration // no request may outlast it; 0 = no end is in sight
	lastID   logic.RequestID
	requests map[logic.RequestID]*request
	named    map[string]struct{} // the names of open requests
	timers   map[logic.TimerID]*Deadline

	names         map[string]*member
	members       map[logic.MemberID]*member
	links         int
	idleLinks     spareLinks
	witnesses     spareLinks
	streams       int // answers on their way in pieces
	listFailing   bool
	changesLogged int // of the list in hand
	told          bool

	gated   gated
	teller  PeerSender // nil = there is no talk with peers
	message []byte
	facts   []peers.Report
	checks  *sharedChecks // nil = the tier doesn't share health checks

	late     lateAnswers
	trace    *trace.Writer       // nil = none is kept
	merged   *membership.Members // of several catalogues; nil = the platform's list stands alone
	merging  Deadline
	failing  map[string]bool // catalogues that could not be asked the last time
	reduced  reduced
	perClass []ClassCounters
}

type request struct {
	id     logic.RequestID
	name   string
	class  int
	cmd    Command
	group  int
	caller Caller        // nil once answered or abandoned
	since  time.Duration // when it was taken
	until  time.Duration // when its client stops waiting
	tries  int
	open   *attempt // never two at once
}

type attempt struct {
	Deadline
	req    *request
	n      int
	to     *member
	until  time.Duration
	sentAt time.Duration
	link   *link
	sent   bool // its last byte was written
}

// New makes a front. The watcher is set with Start.
func New(cfg Config, clock Clock, opener Opener) (*Engine, error) {
	f := &Engine{cfg: cfg, classes: map[string]int{}, clock: clock, opener: opener,
		requests: map[logic.RequestID]*request{}, named: map[string]struct{}{}, timers: map[logic.TimerID]*Deadline{},
		names: map[string]*member{}, members: map[logic.MemberID]*member{}}
	for i, c := range cfg.Logic.Classes {
		f.classes[c.Name] = i
	}
	f.perClass = make([]ClassCounters, len(cfg.Logic.Classes))
	if cfg.Logic.MaxConnections == 0 {
		cfg.Logic.MaxConnections = cfg.MaxConnections
	}
	var err error
	f.planned, err = logic.New(cfg.Logic, f)
	f.router = f.planned
	return f, err
}

// Start gives the router its first event, the list as this proxy last had it, from which it starts its clockwork.
func (f *Engine) Start(w Watcher, known List) {
	f.watcher = w
	known.Kind = logic.ListCached
	f.UpdateList(known)
}

// tell hands an event to the router, after the ones before it: what a router's action brings about at once is
// told when the router has returned, never from within.
func (f *Engine) tell(event func()) {
	f.queue = append(f.queue, event)
	if f.busy {
		return
	}
	f.busy = true
	for i := 0; i < len(f.queue); i++ {
		f.queue[i]()
		f.queue[i] = nil
	}
	f.queue, f.busy = f.queue[:0], false
}

// Pending tells how many requests wait for their answer.
func (f *Engine) Pending() int { return len(f.requests) + f.streams }

// Connections tells how many connections to databases are counted as open.
func (f *Engine) Connections() int { return f.links }

// Submit takes in a client's request. The error tells of a request that this deployment doesn't have; then there
// will be no answer.
func (f *Engine) Submit(in Request) (logic.RequestID, error) {
	class, ok := f.classes[in.Class]
	if !ok {
		return 0, fmt.Errorf("unknown class %q", in.Class)
	}
	// Databases and keys would take the two for one request, and one of them would have the other's answer.
	if in.Name != "" {
		if _, twice := f.named[in.Name]; twice {
			return 0, ErrDuplicateName
		}
		f.named[in.Name] = struct{}{}
	}
	f.lastID++
	f.Counters.Received++
	f.perClass[class].Received++
	q := &request{id: f.lastID, name: in.Name, class: class, group: in.Group, cmd: in.Command, caller: in.Caller, since: cmp.Or(in.ReceivedAt, f.clock.Now())}
	f.requests[q.id] = q
	q.until = q.since + max(in.Wait-wayHome, 0)
	if f.endBy > 0 {
		q.until = min(q.until, f.endBy)
	}
	if f.trace != nil {
		size := 0
		if c, ok := in.Command.(interface{ Size() int }); ok {
			size = c.Size()
		}
		f.trace.Add(trace.Record{At: f.clock.Unix(), Class: class, Group: in.Group, Session: in.Session, Retry: in.Retry,
			Write: f.cfg.Logic.Classes[class].Read == logic.Write, Wait: in.Wait, Size: size})
	}
	if f.gated.gate == nil || f.pass(q, in) {
		f.enter(q, in)
	}
	return q.id, nil
}

// SetTrace lets what clients ask be kept; nil ends that. It gives the writer before, which its owner closes.
func (f *Engine) SetTrace(w *trace.Writer) (before *trace.Writer) {
	before, f.trace = f.trace, w
	return before
}

// Abandon tells that a request's client has gone.
func (f *Engine) Abandon(id logic.RequestID) {
	q := f.requests[id]
	if q == nil || q.caller == nil {
		return
	}
	q.caller = nil
	f.Counters.Abandoned++
	f.perClass[q.class].Abandoned++
	f.tell(func() {
		f.router.Abandoned(f.clock.Now(), id)
		f.forget(q)
	})
}

// forget drops a request that is answered or abandoned, once no attempt of it is out.
func (f *Engine) forget(q *request) {
	if q.caller == nil && q.open == nil {
		delete(f.requests, q.id)
		delete(f.named, q.name)
	}
}

// answer ends a request; a second answer never comes through.
func (f *Engine) answer(id logic.RequestID, count *uint64, of func(*ClassCounters) *uint64, give func(Caller)) {
	q := f.requests[id]
	if q == nil || q.caller == nil {
		return
	}
	caller := q.caller
	q.caller = nil
	*count++
	*of(&f.perClass[q.class])++
	f.noteLate(q)
	give(caller)
	f.forget(q)
}

func servedOf(c *ClassCounters) *uint64  { return &c.Served }
func refusedOf(c *ClassCounters) *uint64 { return &c.Refused }
func failedOf(c *ClassCounters) *uint64  { return &c.Failed }

// Refuse implements logic.Actions.
func (f *Engine) Refuse(id logic.RequestID, comeBack time.Duration) {
	f.answer(id, &f.Counters.Refused, refusedOf, func(c Caller) { c.Refused(comeBack) })
}

// Fail implements logic.Actions.
func (f *Engine) Fail(id logic.RequestID) {
	f.answer(id, &f.Counters.Failed, failedOf, Caller.Failed)
}

// Send implements logic.Actions. The outcome is told later, also where nothing can be sent.
func (f *Engine) Send(id logic.RequestID, to logic.MemberID, timeout time.Duration) {
	now := f.clock.Now()
	q, m := f.requests[id], f.members[to]
	if q == nil {
		return
	}
	a := &attempt{req: q, n: q.tries, to: m, until: now + timeout, sentAt: now}
	q.tries++
	if m == nil || q.caller == nil || q.open != nil {
		f.tell(func() {
			f.router.Outcome(f.clock.Now(), logic.Outcome{Request: id, Attempt: a.n, Member: to,
				Result: logic.NotSent, Finished: q.caller == nil})
		})
		return
	}
	f.Counters.Sent++
	q.open = a
	f.Deadlines.Set(&a.Deadline, a.until, func() { f.expire(a) })
	f.place(a)
}

// Cancel implements logic.Actions: closing its connection calls an attempt off.
func (f *Engine) Cancel(id logic.RequestID, n int) {
	if q := f.requests[id]; q != nil && q.open != nil && q.open.n == n {
		f.drop(q.open, Reply{Result: logic.Cancelled})
	}
}

// expire ends an attempt whose time is up. One that was never written has found no connection.
func (f *Engine) expire(a *attempt) {
	if a.sent && !a.preparing() {
		f.drop(a, Reply{Result: logic.TimedOut})
	} else {
		f.drop(a, Reply{Result: logic.ConnectFailed})
	}
}

// preparing tells of an attempt whose connection has written something for its sake, but not the request itself.
func (a *attempt) preparing() bool {
	p, ok := a.link.conn.(interface{ Preparing() bool })
	return ok && p.Preparing()
}

// drop ends an attempt that got no answer: whatever still comes on its connection is nobody's.
func (f *Engine) drop(a *attempt, r Reply) {
	if l := a.link; l != nil {
		f.close(l)
	}
	f.end(a, r)
}

// end tells the router how an attempt ended; the first answer goes to the client before that.
func (f *Engine) end(a *attempt, r Reply) {
	q := a.req
	if q.open != a {
		return
	}
	f.Deadlines.Clear(&a.Deadline)
	q.open = nil
	if a.link != nil {
		a.link.attempt = nil
		a.link = nil
	}
	f.Counters.end(r.Result)
	a.to.heard(r, false)
	f.seen(a.to, r, false)
	f.checks.served(f, a.to, r)
	switch {
	case r.Result == logic.OK && r.Stream != nil:
		if q.caller == nil {
			r.Stream.Stop()
		}
		f.answer(q.id, &f.Counters.Served, servedOf, func(c Caller) { c.(StreamingCaller).Stream(r.Stream) })
	case r.Result == logic.OK:
		f.answer(q.id, &f.Counters.Served, servedOf, func(c Caller) { c.Served(r.Body) })
	case r.BadRequest: // no member can use it, and none is to blame: it has failed, and the router learns no more
		r.Result = logic.Cancelled
		f.answer(q.id, &f.Counters.Failed, failedOf, func(c Caller) { c.BadRequest(r.Body) })
	}
	now := f.clock.Now()
	o := logic.Outcome{Request: q.id, Attempt: a.n, Member: a.to.id, Result: r.Result, Elapsed: now - a.sentAt,
		Finished: q.caller == nil, Role: r.Role, Position: place(f.clock, time.Duration(r.Position)*time.Millisecond),
		Load: f.report(r), ConnOpenedAt: r.opened, DialRefused: r.refused}
	f.forget(q)
	f.tell(func() { f.router.Outcome(f.clock.Now(), o) })
}

// SetTimer implements logic.Actions.
func (f *Engine) SetTimer(id logic.TimerID, at time.Duration) {
	d := f.timers[id]
	if d == nil {
		d = &Deadline{}
		f.timers[id] = d
	}
	f.Deadlines.Set(d, at, func() { f.tell(func() { f.router.Timer(f.clock.Now(), id) }) })
}

// WatchList implements logic.Actions.
func (f *Engine) WatchList(on bool) {
	f.Counters.ListCalls++
	f.watcher.Watch(on)
}

// FetchList implements logic.Actions.
func (f *Engine) FetchList() {
	f.Counters.ListCalls++
	f.watcher.Fetch()
}

// Log implements logic.Actions.
func (f *Engine) Log(text string) { slog.Info("router", "says", text) }

// ClassLimit is how long clients of a class wait at most; 0 = there is no such class.
func (f *Engine) ClassLimit(class string) time.Duration {
	if i, ok := f.classes[class]; ok {
		return f.cfg.Logic.Classes[i].Limit
	}
	return 0
}

// Opener is what opens connections to databases.
func (f *Engine) Opener() Opener { return f.opener }
