package net

import (
	"context"
	"errors"
	"log/slog"
	stdnet "net"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/state"
	"havenproxy/logic"
)

// answerPatience is how long an answer may take from its first bytes to its end, which a database writes at once. One
// that doesn't end is spoilt; waited for until the client's time is up, it leaves none for another attempt.
const answerPatience = 100 * time.Millisecond

var (
	errNoEnd   = errors.New("an answer without its end")
	errUnasked = errors.New("an answer that nobody asked for")
)

// tellSpoilt is how often it is logged that databases send what is no answer, at most.
const tellSpoilt = 10 * time.Second

func (d *Databases) noteSpoilt(address string, err error) {
	if now := d.Loop.clock.Now(); d.toldAt == 0 || now-d.toldAt >= tellSpoilt {
		d.toldAt = now
		slog.Warn("database sends what is no answer", "address", address, "error", err)
	}
}

// talker is the protocol on a connection to a database. All that isn't the protocol's, the dial, the bytes left over, the
// end of the connection, an answer that stops half way, is the link's.
type talker interface {
	start() error // the connection is there: the first words, if they are this side's
	// take handles the first message of buf: its length, 0 = it isn't there as a whole yet, and whether an answer ends
	// with it.
	take(buf []byte) (n int, whole bool, err error)
	answered() // an answer is whole
	ready() bool
	handing() bool // the connection is handed over, with all that has come and is not taken yet
	handed()       // it is
	// ended tells what is known of the command in hand once the connection has ended, by an error or without one, or has
	// brought nonsense; false = it may have run.
	ended(err error) (state.Reply, bool)
}

// link is a connection to a database. With a talker it implements state.Conn.
type link struct {
	d       *Databases
	address string
	to      state.Listener
	talks   talker
	conn    netpoll.Connection // nil until it is connected
	in      buffer
	out     []byte
	dialled bool // the dial has ended, one way or the other
	owes    bool // an answer: to the first words, or to the last command
	probing bool // the last command was one for the load report
	closed  bool
	begun   bool // a part of an answer has come, and rest is set
	rest    state.Deadline
}

func (l *link) open(d *Databases, address string, to state.Listener, talks talker) {
	l.d, l.address, l.to, l.talks = d, address, to, talks
	connect(d.Loop, address, d.ConnectTimeout, l.connected)
}

// connect dials beside the loop and tells the loop how it went.
func connect(loop *Loop, address string, timeout time.Duration, then func(netpoll.Connection, error)) {
	go func() {
		conn, err := netpoll.DialConnection("tcp", address, timeout)
		if errors.Is(err, netpoll.ErrConnClosed) {
			err = refusal(address, err)
		}
		if err == nil {
			conn.SetWriteTimeout(writePatience)
			// As much room as the largest query takes: a database that doesn't read must not stop the loop.
			if c, ok := conn.(netpoll.Conn); ok {
				syscall.SetsockoptInt(c.Fd(), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
				// And no more is read ahead of a long value than this, and what netpoll takes out of it meanwhile.
				syscall.SetsockoptInt(c.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			}
		}
		loop.Post(func() { then(conn, err) })
	}()
}

// localShortages are the errors of socket and connect that tell of a want on this machine, and not of the peer or the way to it.
var localShortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// isLocalShortage tells whether a dial failed for want of something on this machine.
func isLocalShortage(err error) bool {
	return slices.ContainsFunc(localShortages, func(shortage error) bool { return errors.Is(err, shortage) })
}

// refusal asks why a dial failed at once: netpoll tells a refused one, behind which no process listens, like any other that the
// peer ended. A second dial by the standard library tells them apart; it runs beside the loop, and only behind a failure.
func refusal(address string, err error) error {
	conn, again := stdnet.DialTimeout("tcp", address, answerPatience)
	if again == nil {
		conn.Close()
		return err
	}
	if errors.Is(again, syscall.ECONNREFUSED) {
		return again
	}
	return err
}

// attach lets the loop know what comes on a connection that was dialled, and its end.
func attach(loop *Loop, conn netpoll.Connection, readable, down func()) {
	conn.AddCloseCallback(func(netpoll.Connection) error {
		loop.Post(down)
		return nil
	})
	conn.SetOnRequest(func(context.Context, netpoll.Connection) error {
		readable()
		return nil
	})
	if !conn.IsActive() { // it ended before the callbacks were there
		conn.Close()
	}
}

func (l *link) connected(conn netpoll.Connection, err error) {
	l.dialled = true
	switch {
	case l.closed:
		l.d.givenUp--
		if err == nil {
			conn.Close()
		}
		return
	case err != nil:
		l.lost(err)
		return
	}
	l.conn = conn
	conn.AddCloseCallback(func(netpoll.Connection) error {
		if l.talks.handing() {
			l.talks.handed()
		}
		return nil
	})
	attach(l.d.Loop, conn, l.readable, func() { l.lost(nil) })
	if !l.closed {
		l.owes = true
		l.talks.start()
	}
}

// write sends bytes; an error tells that the last one was not written, and ends the connection.
func (l *link) write(b []byte) error {
	if l.closed || l.conn == nil {
		return stdnet.ErrClosed
	}
	_, err := l.conn.Write(b)
	return err
}

// writeOut writes what stands in the link's own buffer, and keeps that for the next unless it has become large.
func (l *link) writeOut(b []byte) error {
	err := l.write(b)
	if l.out = b; cap(b) > keepRoom {
		l.out = nil
	}
	return err
}

// misfit answers a command of another protocol: it is the request's own fault, and nothing goes out.
func (l *link) misfit() {
	l.owes = false
	l.d.Loop.Post(func() { l.to.Reply(state.Reply{Result: logic.Failed, BadRequest: true}) })
}

// Reusable implements state.Conn.
func (l *link) Reusable() bool { return !l.owes && l.clean() }

// clean tells that nothing has come which belongs to no command. Answers bear no name: whatever comes without one, even
// what the kernel still holds, would be taken for the answer to the next.
func (l *link) clean() bool {
	if l.closed || l.conn == nil || !l.conn.IsActive() || len(l.in.bytes) > 0 || l.conn.Reader().Len() > 0 {
		return false
	}
	c, ok := l.conn.(netpoll.Conn)
	if !ok {
		return true
	}
	_, _, err := syscall.Recvfrom(c.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN // neither bytes nor their end
}

// Close implements state.Conn.
func (l *link) Close() {
	if l.closed {
		return
	}
	l.closed = true
	l.whole()
	if l.conn != nil {
		l.conn.Close()
	} else if !l.dialled {
		l.d.givenUp++
	}
}

// lost tells the state that the connection has ended, unless it closed it itself.
func (l *link) lost(err error) {
	if l.closed || l.talks.handing() {
		return
	}
	if r, told := l.talks.ended(err); told {
		l.to.Reply(r)
	}
	if l.closed {
		return
	}
	up := l.conn != nil
	l.Close()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		l.to.DialRefused()
	case !up && isLocalShortage(err):
		l.to.NotOpened()
	default:
		l.to.Down()
	}
}

func (l *link) readable() {
	if err := l.in.fill(l.conn.Reader()); err != nil {
		l.lost(err)
		return
	}
	for used := 0; !l.closed; {
		n, whole, err := l.talks.take(l.in.bytes[used:])
		if err != nil { // what comes behind broken bytes can't be trusted either
			l.spoilt(err)
			return
		}
		if used += n; n > 0 && !whole {
			continue
		}
		if l.talks.handing() {
			l.in.cut(used)
			return
		}
		// What has come behind an answer is left where it is: it makes the connection unfit for another command, but
		// the answer counts.
		l.in.cut(used)
		if whole {
			l.whole()
			l.talks.answered()
		} else if l.owes && l.talks.ready() { // each piece gives the next one its time
			l.begun = true
			l.d.Loop.deadlines.Set(&l.rest, l.d.Loop.clock.Now()+answerPatience, l.stalled)
		}
		return
	}
}

// whole ends the wait for the rest of an answer.
func (l *link) whole() {
	l.begun = false
	l.d.Loop.deadlines.Clear(&l.rest)
}

// stalled finds an answer without its end, unless that has come and only the loop was late.
func (l *link) stalled() {
	if l.begun = false; l.conn.Reader().Len() == 0 {
		l.spoilt(errNoEnd)
	}
}

// spoilt ends a connection on which sense and nonsense can't be told apart any more.
func (l *link) spoilt(err error) {
	l.d.noteSpoilt(l.address, err)
	r, told := l.talks.ended(err)
	l.Close()
	// netpoll closes it when this callback has returned; no further attempt may go out before that.
	l.d.Loop.Post(func() {
		if told {
			l.to.Reply(r)
			return
		}
		l.to.ProtocolError()
	})
}
