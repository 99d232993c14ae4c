package state

import (
	"container/list"
	"slices"
	"time"

	"havenproxy/internal/handover"
	"havenproxy/logic"
)

// idleFraction is the part of IdleClose after which an idle connection is closed here. A request that is sent while
// the database closes the connection would end as a reset.
const idleFraction = 0.9

// Opener opens connections to databases. Open returns at once; the listener's methods are called later.
type Opener interface {
	Open(address string, group int, to Listener) Conn
	// AbandonedDials returns the number of connections that were closed while they were being established and still hold
	// their descriptor.
	AbandonedDials() int
}

// Conn is a connection to a database. Close may be called at any time, also before Listener.Up.
type Conn interface {
	// Send writes a command, or keeps what the socket does not take at once and writes it later; the duration is the time
	// that the database has to answer. An error means that the last byte was not and will not be written.
	Send(Command, time.Duration) error
	// Probe requests the load report.
	Probe() error
	// Sync sends a command without effect, whose answer is Listener.Synced. An error means that the connection cannot be
	// used any more.
	Sync() error
	// Reusable reports whether the next command may be sent: no unexpected data has been received.
	Reusable() bool
	Close()
}

// Listener receives the events of a connection.
type Listener interface {
	Up()            // the first command may be sent
	Reply(Reply)    // an answer to the last command has arrived
	Synced()        // the answer to Sync has arrived, and nothing before it
	Down()          // the connection is lost or could not be established
	DialRefused()   // it could not be established: nothing listens at the address
	NotOpened()     // it could not be established because of a local error, which says nothing about the database
	ProtocolError() // the data received is not a valid answer; the connection is closed
}

// Reply is a database's answer.
type Reply struct {
	Result     logic.Result
	BadRequest bool // the error is the request's fault
	Body       []byte
	Role       logic.Role
	Position   int64 // in Unix milliseconds; 0 = not reported
	Load       Load

	// Stream is a value that is streamed to the client. The request counts as answered with its first bytes, and the
	// connection cannot be used again.
	Stream ValueStream

	connOpenedAt time.Duration // when its connection was established
	dialRefused  bool          // the connection was refused: nothing listens at the address
}

// Load is a load report. Known is false if there was none.
type Load struct {
	Known    bool
	Role     logic.Role
	Position float64 // in Unix seconds; 0 = not reported
	Queue    float64 // negative = not reported
}

type connState uint8

const (
	connOpening connState = iota
	connSyncing           // its last command was Sync; an attempt or a probe may wait for it
	connIdle
	connBusy
	connOverdue   // its probe has timed out: no more requests are sent, but a late answer would prove that the database did not restart
	connStreaming // its answer is being streamed
	connClosed
)

// pooledConn is a connection to a database and its current use.
type pooledConn struct {
	Deadline
	engine      *Engine
	member      *member
	address     string // address that it was opened to; the member's address may have changed since
	conn        Conn
	state       connState
	forProbes   bool // the member's connection for probes
	probeSentAt time.Duration
	openedAt    time.Duration // when it was established

	probeQueued bool // a probe is sent once the connection is synchronized
	probedAgain bool // a second probe was sent after the first one timed out
	attempt     *attempt

	list    *connList // list of connections that may be evicted that contains it; nil = none
	element *list.Element
}

// closeConn closes a connection and removes it from all lists.
func (e *Engine) closeConn(c *pooledConn) {
	if c.state == connClosed {
		return
	}
	c.state = connClosed
	delete(e.openConns, c)
	c.unlist()
	e.Deadlines.Clear(&c.Deadline)
	c.conn.Close()
	m := c.member
	delete(m.conns, c)
	if c.probeQueued {
		c.probeQueued = false
		e.probeUnsent(m.id)
	}
	same := func(other *pooledConn) bool { return other == c }
	m.idleConns, m.openingConns = slices.DeleteFunc(m.idleConns, same), slices.DeleteFunc(m.openingConns, same)
	m.syncingConns = slices.DeleteFunc(m.syncingConns, same)
	if m.probeConn == c {
		m.probeConn = nil
	}
	if m.overdueConn == c {
		m.overdueConn = nil
	}
	e.forgetGone(m)
}

// makeAvailable makes an established connection available on which nothing is under way. An attempt that waits for its
// own connection to be established takes this one; the other connection is kept for a later attempt.
func (e *Engine) makeAvailable(c *pooledConn) {
	m := c.member
	c.state = connIdle
	if m.state != logic.Ready || c.address != m.address || !c.conn.Reusable() {
		e.closeConn(c)
		return
	}
	if !c.forProbes {
		if i := slices.IndexFunc(m.openingConns, func(x *pooledConn) bool { return x.attempt != nil }); i >= 0 {
			a := m.openingConns[i].attempt
			m.openingConns[i].attempt = nil
			e.writeAttempt(c, a)
			return
		}
		m.idleConns = append(m.idleConns, c)
		e.idleConns.add(c)
	}
	e.setIdleTimer(c)
}

// setIdleTimer closes an idle connection after idleTimeout unless it is used before.
func (e *Engine) setIdleTimer(c *pooledConn) {
	if e.cfg.IdleClose <= 0 {
		return
	}
	e.Deadlines.Set(&c.Deadline, e.clock.Now()+e.idleTimeout(c.member), func() {
		e.Counters.ClosedIdle++
		e.closeConn(c)
	})
}

// idleTimeout returns how long an idle connection to a member is kept.
func (e *Engine) idleTimeout(m *member) time.Duration {
	idle := time.Duration(idleFraction * float64(e.cfg.IdleClose))
	if m.outsideSubset {
		return min(idle, idleOutsideSubset)
	}
	return idle
}

// Up implements Listener.
func (c *pooledConn) Up() {
	e := c.engine
	if c.state != connOpening {
		return
	}
	e.Deadlines.Clear(&c.Deadline)
	c.openedAt = e.clock.Now()
	if !c.conn.Reusable() { // more than the greeting was received; nothing has been written
		c.fail(Reply{Result: logic.ConnectFailed})
		return
	}
	if c.forProbes {
		e.sendProbe(c)
		return
	}
	c.member.openingConns = slices.DeleteFunc(c.member.openingConns, func(x *pooledConn) bool { return x == c })
	if a := c.attempt; a != nil {
		e.writeAttempt(c, a)
		return
	}
	e.makeAvailable(c)
}

// Reply implements Listener.
func (c *pooledConn) Reply(r Reply) {
	e := c.engine
	switch c.state {
	case connOpening: // it was not established, and nothing was written
		if r.Result != logic.Rejected {
			r.Result = logic.ConnectFailed
		}
		c.fail(r)
		return
	case connOverdue:
		c.endOverdue(handover.ConnectionAnswered)
		return
	case connSyncing:
		c.syncFailed()
		return
	case connIdle, connStreaming, connClosed: // an unexpected answer could be mistaken for the next one
		c.Down()
		return
	}
	if c.forProbes {
		took := e.clock.Now() - c.probeSentAt
		r.connOpenedAt = c.openedAt
		e.synchronize(c)
		e.finishProbe(c.member, r, took)
		return
	}
	a := c.attempt
	c.attempt, a.conn = nil, nil
	r.connOpenedAt = c.openedAt
	if r.Stream != nil {
		c.startStream(a, r)
		return
	}
	e.synchronize(c)
	e.finish(a, r)
}

// ValueStream is a value that arrives in pieces.
type ValueStream interface {
	// OnEnd sets the function to call when the stream has ended or failed. It calls it at once if that was before.
	OnEnd(func())
	Stop() // ends the stream
}

// StreamingCaller is a Caller that can receive a value as a stream. Stream is then called in place of Served.
type StreamingCaller interface {
	AcceptsStream() bool
	Stream(ValueStream)
}

// startStream begins to stream a value. The attempt ends successfully with the first bytes; the connection counts as
// open until the last.
func (c *pooledConn) startStream(a *attempt, r Reply) {
	e := c.engine
	c.state = connStreaming
	e.openStreams[c] = struct{}{}
	r.Stream.OnEnd(func() {
		delete(e.openStreams, c)
		e.closeConn(c)
	})
	if s, ok := a.req.caller.(StreamingCaller); !ok || !s.AcceptsStream() {
		r.Stream.Stop()
		r.Result, r.Stream = logic.Failed, nil
	}
	e.finish(a, r)
}

// Down implements Listener. Whether the last byte was written distinguishes a request that cannot have run from one
// that may have.
func (c *pooledConn) Down() {
	if c.state == connClosed || c.state == connStreaming {
		return
	}
	switch c.state {
	case connOverdue:
		c.endOverdue(handover.ConnectionEnded)
		return
	case connSyncing:
		c.syncFailed()
		return
	}
	r := Reply{Result: logic.Reset}
	if c.state == connOpening {
		r.Result = logic.ConnectFailed
	}
	c.fail(r)
}

// DialRefused implements Listener.
func (c *pooledConn) DialRefused() {
	if c.state == connOpening {
		c.fail(Reply{Result: logic.ConnectFailed, dialRefused: true})
	}
}

// NotOpened implements Listener.
func (c *pooledConn) NotOpened() {
	if c.state == connOpening {
		c.engine.Counters.ConnectionsNotOpened++
		c.fail(Reply{Result: logic.NotSent})
	}
}

// ProtocolError implements Listener. A request may have run; a probe counts as failed, but shows that its member is
// alive.
func (c *pooledConn) ProtocolError() {
	r := Reply{Result: logic.Reset}
	switch {
	case c.state == connClosed || c.state == connStreaming:
		return
	case c.state == connOverdue:
		c.engine.closeConn(c)
		return
	case c.state == connSyncing:
		c.syncFailed()
		return
	case c.state == connOpening:
		r.Result = logic.ConnectFailed
	case c.forProbes:
		r.Result = logic.Failed
	}
	c.fail(r)
}

// fail closes a connection and ends the attempt or probe that is open on it.
func (c *pooledConn) fail(r Reply) {
	previous, a := c.state, c.attempt
	c.engine.closeConn(c)
	switch {
	case a != nil:
		c.engine.finish(a, r)
	case c.forProbes && r.Result == logic.NotSent:
		c.engine.probeUnsent(c.member.id)
	case c.forProbes && previous != connIdle:
		c.engine.finishProbe(c.member, r, 0)
	}
}
