// Package state holds the proxy's state between two events: requests, their attempts, connections to databases, the
// list of databases, and counters. It carries out the decisions of package logic and reports the outcomes to it, one
// call at a time. It makes no routing decisions and does not depend on a protocol.
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

// networkAllowance is subtracted from the time that a client waits. That time runs from when the client sends the
// request until it receives the last byte of the answer, so it includes the network delay in both directions.
const networkAllowance = 5 * time.Millisecond

// Caller receives the answer to one request. Exactly one of its methods is called, once, unless the caller abandons
// the request first.
type Caller interface {
	Served(body []byte) // the database's answer; valid during the call only
	Refused(retryAfter time.Duration)
	Failed()
	BadRequest(body []byte) // the request itself is invalid; body is the database's error, if it sent one
}

// Command is the content of a request, as its client sent it.
type Command interface {
	AppendTo(dst []byte, wait time.Duration) []byte // wait is the time that the database has to answer
}

// ErrDuplicateName is returned for a request with the name of another one that is open or may still run at a database.
var ErrDuplicateName = errors.New("a request of that id is open or may still run")

// Request is a client's request.
type Request struct {
	Name       string // unique for each request; empty = none
	Class      string
	Wait       time.Duration // how long the client waits, from when it sent the request
	ReceivedAt time.Duration // on the engine's clock; 0 = now
	Session    uint64
	Group      int
	LastCommit int64 // in Unix milliseconds, of the session; 0 = none
	Retry      bool
	Command    Command
	Caller     Caller
}

// Watcher queries the discovery service. It answers Watch and Fetch later, with Engine.UpdateList or
// Engine.ListFailed.
type Watcher interface {
	Watch(on bool)
	Fetch()
}

// Config describes the deployment.
type Config struct {
	Logic          logic.Config
	Zones          []string
	IdleClose      time.Duration // time after which databases close idle connections; 0 = never
	ConnectTimeout time.Duration
	MaxConnections int // maximum number of open connections to databases
}

// Engine connects callers, databases and the router. All calls must come from one goroutine.
type Engine struct {
	Counters  Counters
	Delays    Delays
	Deadlines Deadlines

	cfg     Config
	classes map[string]int
	clock   Clock
	opener  Opener
	watcher Watcher
	events  logic.Events
	router  *logic.Router // the receiver of events, except in tests

	eventQueue  []func() // events that the router has not received yet
	dispatching bool

	finalDeadline time.Duration // no request's deadline is later; 0 = not set
	lastID        logic.RequestID
	requests      map[logic.RequestID]*request
	names         requestNames
	timers        map[logic.TimerID]*Deadline

	membersByName map[string]*member
	members       map[logic.MemberID]*member
	openConns     map[*pooledConn]struct{}
	idleConns     connList
	overdueConns  connList
	openStreams   map[*pooledConn]struct{} // connections whose answers are being streamed
	listFailing   bool
	changesLogged int // changes counted for the list that is being applied
	listReceived  bool

	gate        gateState
	peerSender  PeerSender // nil = no messages are sent to peers
	peerMessage []byte
	peerReports []peers.Report
	checks      *sharedChecks // nil = health checks are not shared

	lateLog           lateLog
	trace             *trace.Writer       // nil = no trace is written
	membership        *membership.Members // merges catalogues; nil = only the discovery service is used
	mergeTimer        Deadline
	failingCatalogues map[string]bool // catalogues whose last query failed
	levels            levelControl
	classCounters     []ClassCounters
}

type request struct {
	id         logic.RequestID
	name       string
	class      int
	command    Command
	group      int
	caller     Caller        // nil once answered or abandoned
	receivedAt time.Duration // when it was submitted
	deadline   time.Duration // when its client stops waiting
	attempts   int
	attempt    *attempt // the open attempt; there is at most one at a time
	// An attempt without an answer may run until then. The name stays known as long.
	runsUntil time.Duration
}

type attempt struct {
	Deadline
	req      *request
	number   int
	member   *member
	deadline time.Duration
	sentAt   time.Duration
	conn     *pooledConn
	written  bool // the last byte was written, or is kept until the socket takes it
	neverRan bool // the last byte was not written after all
}

// New returns an engine for a deployment. Start must be called before the engine is used. The error is that of
// logic.New.
func New(cfg Config, clock Clock, opener Opener) (*Engine, error) {
	e := &Engine{cfg: cfg, classes: map[string]int{}, clock: clock, opener: opener,
		requests: map[logic.RequestID]*request{}, names: newRequestNames(), timers: map[logic.TimerID]*Deadline{},
		membersByName: map[string]*member{}, members: map[logic.MemberID]*member{},
		openConns: map[*pooledConn]struct{}{}, openStreams: map[*pooledConn]struct{}{}}
	for i, c := range cfg.Logic.Classes {
		e.classes[c.Name] = i
	}
	e.classCounters = make([]ClassCounters, len(cfg.Logic.Classes))
	if cfg.Logic.MaxConnections == 0 {
		cfg.Logic.MaxConnections = cfg.MaxConnections
	}
	var err error
	e.router, err = logic.New(cfg.Logic, e)
	e.events = e.router
	return e, err
}

// Start passes the cached list to the router as its first event, which starts the router's timers.
func (e *Engine) Start(w Watcher, known List) {
	e.watcher = w
	known.Kind = logic.ListCached
	e.UpdateList(known)
}

// dispatch passes an event to the router after all earlier ones. Events caused by the router's own actions are queued
// until the router's current call has returned, so the router is never called recursively.
func (e *Engine) dispatch(event func()) {
	e.eventQueue = append(e.eventQueue, event)
	if e.dispatching {
		return
	}
	e.dispatching = true
	for i := 0; i < len(e.eventQueue); i++ {
		e.eventQueue[i]()
		e.eventQueue[i] = nil
	}
	e.eventQueue, e.dispatching = e.eventQueue[:0], false
}

// Pending returns the number of open requests and streamed answers.
func (e *Engine) Pending() int { return len(e.requests) + len(e.openStreams) }

// Connections returns the number of connections to databases that count as open.
func (e *Engine) Connections() int { return len(e.openConns) }

// Submit submits a client's request and returns its ID. It returns an error if the class is unknown or the name is
// that of a request that is open or may still run; the caller gets no answer in that case.
func (e *Engine) Submit(input Request) (logic.RequestID, error) {
	class, ok := e.classes[input.Class]
	if !ok {
		return 0, fmt.Errorf("unknown class %q", input.Class)
	}
	if input.Name != "" && !e.names.add(e.clock.Now(), input.Name) {
		return 0, ErrDuplicateName
	}
	e.lastID++
	e.Counters.Received++
	e.classCounters[class].Received++
	req := &request{id: e.lastID, name: input.Name, class: class, group: input.Group, command: input.Command,
		caller: input.Caller, receivedAt: cmp.Or(input.ReceivedAt, e.clock.Now())}
	e.requests[req.id] = req
	req.deadline = req.receivedAt + max(input.Wait-networkAllowance, 0)
	if e.finalDeadline > 0 {
		req.deadline = min(req.deadline, e.finalDeadline)
	}
	if e.trace != nil {
		size := 0
		if c, ok := input.Command.(interface{ Size() int }); ok {
			size = c.Size()
		}
		e.trace.Add(trace.Record{At: e.clock.Unix(), Class: class, Group: input.Group, Session: input.Session, Retry: input.Retry,
			Write: e.cfg.Logic.Classes[class].Read == logic.Write, Wait: input.Wait, Size: size})
	}
	if e.gate.gate == nil || e.admit(req, input) {
		e.forwardRequest(req, input)
	}
	return req.id, nil
}

// SetTrace sets the writer of the request trace; nil stops tracing. It returns the previous writer, which its owner
// must close.
func (e *Engine) SetTrace(w *trace.Writer) (previous *trace.Writer) {
	previous, e.trace = e.trace, w
	return previous
}

// Abandon reports that a request's client has disconnected.
func (e *Engine) Abandon(id logic.RequestID) {
	req := e.requests[id]
	if req == nil || req.caller == nil {
		return
	}
	req.caller = nil
	e.Counters.Abandoned++
	e.classCounters[req.class].Abandoned++
	e.dispatch(func() {
		e.events.Abandoned(e.clock.Now(), id)
		e.forgetIfDone(req)
	})
}

// forgetIfDone removes a request that is answered or abandoned and has no open attempt.
func (e *Engine) forgetIfDone(req *request) {
	if req.caller == nil && req.attempt == nil {
		delete(e.requests, req.id)
		if req.name != "" {
			e.names.remove(e.clock.Now(), req.name, req.runsUntil)
		}
	}
}

// answer passes the final answer to a request's caller. Later answers to the same request are dropped.
func (e *Engine) answer(id logic.RequestID, count *uint64, classCount func(*ClassCounters) *uint64, deliver func(Caller)) {
	req := e.requests[id]
	if req == nil || req.caller == nil {
		return
	}
	caller := req.caller
	req.caller = nil
	*count++
	*classCount(&e.classCounters[req.class])++
	e.checkLateness(req)
	deliver(caller)
	e.forgetIfDone(req)
}

func servedCount(c *ClassCounters) *uint64  { return &c.Served }
func refusedCount(c *ClassCounters) *uint64 { return &c.Refused }
func failedCount(c *ClassCounters) *uint64  { return &c.Failed }

// Refuse implements logic.Actions.
func (e *Engine) Refuse(id logic.RequestID, retryAfter time.Duration) {
	e.answer(id, &e.Counters.Refused, refusedCount, func(c Caller) { c.Refused(retryAfter) })
}

// Fail implements logic.Actions.
func (e *Engine) Fail(id logic.RequestID) {
	e.answer(id, &e.Counters.Failed, failedCount, Caller.Failed)
}

// Send implements logic.Actions. The outcome is reported later, even if nothing can be sent.
func (e *Engine) Send(id logic.RequestID, to logic.MemberID, timeout time.Duration) {
	now := e.clock.Now()
	req, m := e.requests[id], e.members[to]
	if req == nil {
		return
	}
	a := &attempt{req: req, number: req.attempts, member: m, deadline: now + timeout, sentAt: now}
	req.attempts++
	if m == nil || req.caller == nil || req.attempt != nil {
		e.dispatch(func() {
			e.events.Outcome(e.clock.Now(), logic.Outcome{Request: id, Attempt: a.number, Member: to,
				Result: logic.NotSent, Finished: req.caller == nil})
		})
		return
	}
	e.Counters.Sent++
	req.attempt = a
	e.Deadlines.Set(&a.Deadline, a.deadline, func() { e.expire(a) })
	e.assignConn(a)
}

// Cancel implements logic.Actions. It cancels an attempt by closing its connection.
func (e *Engine) Cancel(id logic.RequestID, n int) {
	if req := e.requests[id]; req != nil && req.attempt != nil && req.attempt.number == n {
		e.abort(req.attempt, Reply{Result: logic.Cancelled})
	}
}

// expire ends an attempt that has timed out. If its request was not written, no connection was available in time, so
// the result is ConnectFailed.
func (e *Engine) expire(a *attempt) {
	if a.written && a.commandWritten() {
		e.abort(a, Reply{Result: logic.TimedOut})
	} else {
		e.abort(a, Reply{Result: logic.ConnectFailed})
	}
}

// commandWritten reports whether the attempt's connection has written the whole request, not only a part of it or
// preparatory commands.
func (a *attempt) commandWritten() bool {
	c, ok := a.conn.conn.(interface{ CommandWritten() bool })
	return !ok || c.CommandWritten()
}

// abort ends an attempt without an answer. It closes the connection, as a late answer on it would be taken for the
// next one.
func (e *Engine) abort(a *attempt, r Reply) {
	if c := a.conn; c != nil {
		a.neverRan = a.written && !a.commandWritten()
		e.closeConn(c)
	}
	e.finish(a, r)
}

// mayStillRun reports whether a database may be running an attempt that has ended here with that result.
func (a *attempt) mayStillRun(result logic.Result) bool {
	switch result {
	case logic.TimedOut, logic.Cancelled, logic.Reset:
		return a.written && !a.neverRan
	}
	return false
}

// finish ends an attempt, passes a successful answer to the client and then reports the outcome to the router.
func (e *Engine) finish(a *attempt, r Reply) {
	req := a.req
	if req.attempt != a {
		return
	}
	e.Deadlines.Clear(&a.Deadline)
	req.attempt = nil
	if a.conn != nil {
		a.conn.attempt = nil
		a.conn = nil
	}
	e.Counters.countResult(r.Result)
	if a.mayStillRun(r.Result) {
		req.runsUntil = max(req.runsUntil, a.deadline)
	}
	a.member.logReply(e.clock.Now(), r, false)
	e.reportEvidence(a.member, r, false)
	e.checks.recordAnswer(e, a.member, r)
	switch {
	case r.Result == logic.OK && r.Stream != nil:
		if req.caller == nil {
			r.Stream.Stop()
		}
		e.answer(req.id, &e.Counters.Served, servedCount, func(c Caller) { c.(StreamingCaller).Stream(r.Stream) })
	case r.Result == logic.OK:
		e.answer(req.id, &e.Counters.Served, servedCount, func(c Caller) { c.Served(r.Body) })
	case r.BadRequest: // the request is at fault, not the member: the request fails and the router learns no more
		r.Result = logic.Cancelled
		e.answer(req.id, &e.Counters.Failed, failedCount, func(c Caller) { c.BadRequest(r.Body) })
	}
	now := e.clock.Now()
	o := logic.Outcome{Request: req.id, Attempt: a.number, Member: a.member.id, Result: r.Result, Elapsed: now - a.sentAt,
		Finished: req.caller == nil, Role: r.Role, Position: fromUnix(e.clock, time.Duration(r.Position)*time.Millisecond),
		Load: e.loadReport(r), ConnOpenedAt: r.connOpenedAt, DialRefused: r.dialRefused}
	e.forgetIfDone(req)
	e.dispatch(func() { e.events.Outcome(e.clock.Now(), o) })
}

// SetTimer implements logic.Actions.
func (e *Engine) SetTimer(id logic.TimerID, at time.Duration) {
	d := e.timers[id]
	if d == nil {
		d = &Deadline{}
		e.timers[id] = d
	}
	e.Deadlines.Set(d, at, func() { e.dispatch(func() { e.events.Timer(e.clock.Now(), id) }) })
}

// WatchList implements logic.Actions.
func (e *Engine) WatchList(on bool) {
	e.Counters.ListCalls++
	e.watcher.Watch(on)
}

// FetchList implements logic.Actions.
func (e *Engine) FetchList() {
	e.Counters.ListCalls++
	e.watcher.Fetch()
}

// Log implements logic.Actions.
func (e *Engine) Log(text string) { slog.Info("router", "says", text) }

// ClassLimit returns the maximum time that clients of a class wait; 0 if the class is unknown.
func (e *Engine) ClassLimit(class string) time.Duration {
	if i, ok := e.classes[class]; ok {
		return e.cfg.Logic.Classes[i].Limit
	}
	return 0
}

// Opener returns the opener of connections to databases.
func (e *Engine) Opener() Opener { return e.opener }
