package state

import (
	"container/list"
	"slices"
	"time"

	"havenproxy/internal/handover"
	"havenproxy/logic"
)

// idlePart of the time after which a database closes an idle connection is how long one is kept here: a request
// that crosses the close would end as a reset.
const idlePart = 0.9

// Opener opens connections to databases. It returns at once; the listener's methods are called later.
type Opener interface {
	Open(address string, group int, to Listener) Conn
	// AbandonedDials counts connections that were closed in the making and hold their descriptor still.
	AbandonedDials() int
}

// Conn is a connection to a database. Close may be called at any time, also before it is up.
type Conn interface {
	// Send writes a command. An error tells that its last byte was not written.
	Send(Command, time.Duration) error
	// Probe asks for the load report.
	Probe() error
	// Reusable tells whether the next command may go out: nothing has come that belongs to none.
	Reusable() bool
	Close()
}

// Listener is told what happens on a connection.
type Listener interface {
	Up()            // it may be sent the first command
	Reply(Reply)    // the answer to the last command
	Down()          // it is lost, or never came up
	Refused()       // it never came up: nothing listens at the address
	NotOpened()     // it never came up, for want of something on this machine: that says nothing of the database
	ProtocolError() // what came is no answer; it is closed
}

// Reply is what a database answered.
type Reply struct {
	Result     logic.Result
	BadRequest bool // an error that is the request's own fault
	Body       []byte
	Role       logic.Role
	Position   int64 // Unix milliseconds; 0 = not told
	Load       Load

	// Stream is a value that is passed on in pieces; its answer counts from its first bytes, and its connection is of no more use.
	Stream ValueStream

	opened  time.Duration // since when its connection was up
	refused bool          // it never came up, as nothing listens there
}

// Load is a load report; Told is false where there was none.
type Load struct {
	Known    bool
	Role     logic.Role
	Position float64 // Unix seconds; 0 = not told
	Queue    float64 // negative = not told
}

type linkState uint8

const (
	linkOpening linkState = iota
	linkIdle
	linkBusy
	linkWitness   // its probe is overdue: nothing goes out here any more, but an answer would prove that nobody restarted
	linkStreaming // its answer is on its way in pieces
	linkClosed
)

// link is a connection to a database with what it is used for.
type link struct {
	Deadline
	f       *Engine
	m       *member
	address string // that it was opened to: its member may be listed at another by now
	conn    Conn
	state   linkState
	probing bool          // it is the one for probes
	asked   time.Duration // when the probe was written
	upAt    time.Duration // when it came up

	askedAgain bool // a witness was, once the way was free
	attempt    *attempt

	spareIn *spareLinks // where it is among those that may make room; nil = nowhere
	spareAt *list.Element
}

// close ends a connection and takes it out of all that it is in.
func (f *Engine) close(l *link) {
	if l.state == linkClosed {
		return
	}
	l.state = linkClosed
	f.links--
	l.claim()
	f.Deadlines.Clear(&l.Deadline)
	l.conn.Close()
	m := l.m
	delete(m.links, l)
	same := func(x *link) bool { return x == l }
	m.idle, m.opening = slices.DeleteFunc(m.idle, same), slices.DeleteFunc(m.opening, same)
	if m.probe == l {
		m.probe = nil
	}
	if m.witness == l {
		m.witness = nil
	}
	f.forgetGone(m)
}

// rest makes a connection that is up free for the next attempt. One that waits for a connection of its own to
// come up takes it; the other is kept for the next.
func (f *Engine) rest(l *link) {
	m := l.m
	l.state = linkIdle
	if m.state != logic.Ready || l.address != m.address || !l.conn.Reusable() {
		f.close(l)
		return
	}
	if l.probing && f.scarce() {
		l.probing, m.probe = false, nil
		m.links[l] = struct{}{}
	}
	if !l.probing {
		if i := slices.IndexFunc(m.opening, func(x *link) bool { return x.attempt != nil }); i >= 0 {
			a := m.opening[i].attempt
			m.opening[i].attempt = nil
			f.write(l, a)
			return
		}
		m.idle = append(m.idle, l)
		f.idleLinks.add(l)
	}
	f.closeWhenIdle(l)
}

// closeWhenIdle closes an idle connection once it has been so for long, unless it is used before.
func (f *Engine) closeWhenIdle(l *link) {
	if f.cfg.IdleClose <= 0 {
		return
	}
	f.Deadlines.Set(&l.Deadline, f.clock.Now()+f.idleFor(l.m), func() {
		f.Counters.ClosedIdle++
		f.close(l)
	})
}

// idleFor gives how long an idle connection to a member is kept.
func (f *Engine) idleFor(m *member) time.Duration {
	idle := time.Duration(idlePart * float64(f.cfg.IdleClose))
	if m.outsideSubset {
		return min(idle, idleOutsideSubset)
	}
	return idle
}

// Up implements Listener.
func (l *link) Up() {
	f := l.f
	if l.state != linkOpening {
		return
	}
	f.Deadlines.Clear(&l.Deadline)
	l.upAt = f.clock.Now()
	if !l.conn.Reusable() { // more came than the welcome; nothing has been written
		l.fail(Reply{Result: logic.ConnectFailed})
		return
	}
	if l.probing {
		f.ask(l)
		return
	}
	l.m.opening = slices.DeleteFunc(l.m.opening, func(x *link) bool { return x == l })
	if a := l.attempt; a != nil {
		f.write(l, a)
		return
	}
	f.rest(l)
}

// Reply implements Listener.
func (l *link) Reply(r Reply) {
	f := l.f
	switch l.state {
	case linkOpening: // it did not come up, and nothing was written
		if r.Result != logic.Rejected {
			r.Result = logic.ConnectFailed
		}
		l.fail(r)
		return
	case linkWitness:
		l.testify(handover.ConnectionAnswered)
		return
	case linkIdle, linkStreaming, linkClosed: // what nobody asked for makes the next answer doubtful
		l.Down()
		return
	}
	if l.probing {
		took := f.clock.Now() - l.asked
		r.opened = l.upAt
		f.rest(l)
		f.probed(l.m, r, took)
		return
	}
	a := l.attempt
	l.attempt, a.link = nil, nil
	r.opened = l.upAt
	if r.Stream != nil {
		l.stream(a, r)
		return
	}
	f.rest(l)
	f.end(a, r)
}

// ValueStream is a value that comes in pieces.
type ValueStream interface {
	OnEnd(func()) // is called when it has ended, one way or the other
	Stop()        // ends it
}

// StreamingCaller is a Caller that can take a value in pieces. Stream stands for Served.
type StreamingCaller interface {
	AcceptsStream() bool
	Stream(ValueStream)
}

// stream lets a value pass in pieces. The attempt has ended well with its first bytes; the connection is counted until the last.
func (l *link) stream(a *attempt, r Reply) {
	f := l.f
	l.state = linkStreaming
	f.streams++
	r.Stream.OnEnd(func() {
		f.streams--
		f.close(l)
	})
	if s, ok := a.req.caller.(StreamingCaller); !ok || !s.AcceptsStream() {
		r.Stream.Stop()
		r.Result, r.Stream = logic.Failed, nil
	}
	f.end(a, r)
}

// Down implements Listener. Whether the last byte was written tells a request that never ran from one that may
// have.
func (l *link) Down() {
	if l.state == linkClosed || l.state == linkStreaming {
		return
	}
	if l.state == linkWitness {
		l.testify(handover.ConnectionEnded)
		return
	}
	r := Reply{Result: logic.Reset}
	if l.state == linkOpening {
		r.Result = logic.ConnectFailed
	}
	l.fail(r)
}

// Refused implements Listener.
func (l *link) Refused() {
	if l.state == linkOpening {
		l.fail(Reply{Result: logic.ConnectFailed, refused: true})
	}
}

// NotOpened implements Listener.
func (l *link) NotOpened() {
	if l.state == linkOpening {
		l.f.Counters.ConnectionsNotOpened++
		l.fail(Reply{Result: logic.NotSent})
	}
}

// ProtocolError implements Listener. The request may have run; a probe has told nothing, but its member lives.
func (l *link) ProtocolError() {
	r := Reply{Result: logic.Reset}
	switch {
	case l.state == linkClosed || l.state == linkStreaming:
		return
	case l.state == linkWitness:
		l.f.close(l)
		return
	case l.state == linkOpening:
		r.Result = logic.ConnectFailed
	case l.probing:
		r.Result = logic.Failed
	}
	l.fail(r)
}

// fail ends a connection and what is out on it.
func (l *link) fail(r Reply) {
	was, a := l.state, l.attempt
	l.f.close(l)
	switch {
	case a != nil:
		l.f.end(a, r)
	case l.probing && r.Result == logic.NotSent:
		l.f.probeUnsent(l.m.id)
	case l.probing && was != linkIdle:
		l.f.probed(l.m, r, 0)
	}
}
