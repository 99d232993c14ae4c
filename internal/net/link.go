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

// answerTimeout is how long an answer may take from its first bytes to its end, which a database writes at once.
// After it the answer counts as broken: waiting for it until the client's deadline would leave no time for another
// attempt.
const answerTimeout = 100 * time.Millisecond

var (
	errIncompleteAnswer = errors.New("an answer without its end")
	errUnexpectedAnswer = errors.New("an answer that nobody asked for")
)

// protocolErrorLogInterval is the minimum time between two log lines about protocol errors of databases.
const protocolErrorLogInterval = 10 * time.Second

func (d *Databases) logProtocolError(address string, err error) {
	if now := d.Loop.clock.Now(); d.protocolErrorLoggedAt == 0 || now-d.protocolErrorLoggedAt >= protocolErrorLogInterval {
		d.protocolErrorLoggedAt = now
		slog.Warn("database sends what is no answer", "address", address, "error", err)
	}
}

// databaseProtocol is the wire protocol of a connection to a database. Dialling, leftover bytes, the end of the
// connection and incomplete answers are handled by databaseLink.
type databaseProtocol interface {
	start() error // the connection is up: sends the first message, if this side speaks first
	// parseNext handles the first message of buf. It returns its length, 0 if it is incomplete, and whether an answer
	// ends with it.
	parseNext(buf []byte) (n int, whole bool, err error)
	answerComplete() // called when an answer is complete
	ready() bool
	detaching() bool // the connection is being handed over, with all input that has not been parsed yet
	detached()       // called when netpoll has closed its connection
	// replyAtEnd returns the reply to the current command, if it is known, when the connection has ended, with an
	// error or without, or a protocol error has occurred; false = the command may have run.
	replyAtEnd(err error) (state.Reply, bool)
}

// databaseLink is a connection to a database. Together with a databaseProtocol it implements state.Conn.
type databaseLink struct {
	databases      *Databases
	address        string
	listener       state.Listener
	protocol       databaseProtocol
	conn           netpoll.Connection // nil until it is connected
	input          buffer
	output         *writeQueue // nil until it is connected
	scratch        []byte      // where commands are built
	dialDone       bool        // the dial has succeeded or failed
	awaitingAnswer bool        // to the first message or to the last command
	probing        bool        // the last command was a query for the load report
	syncing        bool        // the last command was Sync
	closed         bool
	answerStarted  bool // a part of an answer has arrived, and answerTimer is set
	answerTimer    state.Deadline
}

func (l *databaseLink) open(databases *Databases, address string, listener state.Listener, protocol databaseProtocol) {
	l.databases, l.address, l.listener, l.protocol = databases, address, listener, protocol
	connect(databases.Loop, address, databases.ConnectTimeout, l.connected)
}

// connect dials outside the loop and passes the result to callback on the loop.
func connect(loop *Loop, address string, timeout time.Duration, callback func(netpoll.Connection, error)) {
	go func() {
		conn, err := netpoll.DialConnection("tcp", address, timeout)
		if errors.Is(err, netpoll.ErrConnClosed) {
			err = dialError(address, err)
		}
		if err == nil {
			// Room for the largest query.
			if c, ok := conn.(netpoll.Conn); ok {
				syscall.SetsockoptInt(c.Fd(), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
				// This also bounds how much of a long value is read ahead, apart from what netpoll reads meanwhile.
				syscall.SetsockoptInt(c.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			}
		}
		loop.Post(func() { callback(conn, err) })
	}()
}

// localShortages are the errors of socket and connect that are caused by a shortage on this machine, not by the peer
// or the network.
var localShortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// isLocalShortage reports whether a dial failed for lack of a resource on this machine.
func isLocalShortage(err error) bool {
	return slices.ContainsFunc(localShortages, func(shortage error) bool { return errors.Is(err, shortage) })
}

// dialError finds out why a dial failed at once: netpoll returns the same error for a refused connection, where no
// process listens, as for any other that the peer closed. A second dial with the standard library tells them apart;
// it runs outside the loop, and only after a failure.
func dialError(address string, err error) error {
	conn, retryErr := stdnet.DialTimeout("tcp", address, answerTimeout)
	if retryErr == nil {
		conn.Close()
		return err
	}
	if errors.Is(retryErr, syscall.ECONNREFUSED) {
		return retryErr
	}
	return err
}

// attachCallbacks makes the loop run onInput for input on a dialled connection, and onClose when it ends.
func attachCallbacks(loop *Loop, conn netpoll.Connection, onInput, onClose func()) {
	conn.AddCloseCallback(func(netpoll.Connection) error {
		loop.Post(onClose)
		return nil
	})
	conn.SetOnRequest(func(context.Context, netpoll.Connection) error {
		onInput()
		return nil
	})
	if !conn.IsActive() { // it ended before the callbacks were set
		conn.Close()
	}
}

func (l *databaseLink) connected(conn netpoll.Connection, err error) {
	l.dialDone = true
	switch {
	case l.closed:
		l.databases.abandonedDials--
		if err == nil {
			conn.Close()
		}
		return
	case err != nil:
		l.connectionLost(err)
		return
	}
	l.conn = conn
	l.output = newWriteQueue(l.databases.Loop, conn, nil, l.connectionLost)
	conn.AddCloseCallback(func(netpoll.Connection) error {
		if l.protocol.detaching() {
			l.protocol.detached()
		}
		return nil
	})
	attachCallbacks(l.databases.Loop, conn, l.handleInput, func() { l.connectionLost(nil) })
	if !l.closed {
		l.awaitingAnswer = true
		l.protocol.start()
	}
}

// write sends bytes, or keeps them until the socket takes them. After an error the last byte was not written; the
// connection is ending.
func (l *databaseLink) write(b []byte) error {
	if l.closed || l.conn == nil {
		return stdnet.ErrClosed
	}
	return l.output.write(b)
}

// writeBuffered writes b, which is built in the link's own buffer, and keeps the buffer for reuse unless it has
// become large.
func (l *databaseLink) writeBuffered(b []byte) error {
	err := l.write(b)
	if l.scratch = b; cap(b) > maxIdleBuffer {
		l.scratch = nil
	}
	return err
}

// rejectCommand answers a command of another protocol. It is a bad request, and nothing is sent.
func (l *databaseLink) rejectCommand() {
	l.awaitingAnswer = false
	l.databases.Loop.Post(func() { l.listener.Reply(state.Reply{Result: logic.Failed, BadRequest: true}) })
}

// CommandWritten reports whether the socket has taken the last command whole. Before that nothing of it can have run.
func (l *databaseLink) CommandWritten() bool { return l.output.len() == 0 }

// sync writes the command of state.Conn.Sync. Bytes behind the last answer, or a part of the last command that was never
// written, leave the connection unfit for it.
func (l *databaseLink) sync(command []byte) error {
	if l.awaitingAnswer || len(l.input.bytes) > 0 || !l.CommandWritten() {
		return errUnexpectedAnswer
	}
	l.awaitingAnswer, l.probing, l.syncing = true, false, true
	return l.write(command)
}

// synced handles the answer to Sync. It is the last one: bytes behind it belong to nothing.
func (l *databaseLink) synced() {
	l.awaitingAnswer, l.syncing = false, false
	if len(l.input.bytes) > 0 {
		l.protocolError(errUnexpectedAnswer)
		return
	}
	l.listener.Synced()
}

// Reusable implements state.Conn.
func (l *databaseLink) Reusable() bool {
	return !l.awaitingAnswer && l.hasNoInput() && l.CommandWritten()
}

// hasNoInput reports that no bytes have arrived that belong to no command. Answers carry no identifier: any leftover
// bytes, even those still in the kernel, would be taken for the answer to the next command.
func (l *databaseLink) hasNoInput() bool {
	if l.closed || l.conn == nil || !l.conn.IsActive() || len(l.input.bytes) > 0 || l.conn.Reader().Len() > 0 {
		return false
	}
	c, ok := l.conn.(netpoll.Conn)
	if !ok {
		return true
	}
	_, _, err := syscall.Recvfrom(c.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN // neither bytes nor end of file
}

// Close implements state.Conn.
func (l *databaseLink) Close() {
	if l.closed {
		return
	}
	l.closed = true
	l.stopAnswerTimer()
	if l.conn != nil {
		l.output.close()
		l.conn.Close()
	} else if !l.dialDone {
		l.databases.abandonedDials++
	}
}

// connectionLost reports to the listener that the connection has ended, unless this side closed it.
func (l *databaseLink) connectionLost(err error) {
	if l.closed || l.protocol.detaching() {
		return
	}
	if reply, known := l.replyAtEnd(err); known {
		l.listener.Reply(reply)
	}
	if l.closed {
		return
	}
	connected := l.conn != nil
	l.Close()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		l.listener.DialRefused()
	case !connected && isLocalShortage(err):
		l.listener.NotOpened()
	default:
		l.listener.Down()
	}
}

// replyAtEnd returns the reply to the current command, if it is known, when the connection has ended. A command whose
// last byte was not written has not run.
func (l *databaseLink) replyAtEnd(err error) (state.Reply, bool) {
	if l.output != nil && !l.CommandWritten() && l.awaitingAnswer && !l.probing && !l.syncing && l.protocol.ready() {
		return state.Reply{Result: logic.ConnectFailed}, true
	}
	return l.protocol.replyAtEnd(err)
}

func (l *databaseLink) handleInput() {
	if err := l.input.fill(l.conn.Reader()); err != nil {
		l.connectionLost(err)
		return
	}
	for used := 0; !l.closed; {
		n, complete, err := l.protocol.parseNext(l.input.bytes[used:])
		if err != nil { // bytes after malformed ones cannot be trusted either
			l.protocolError(err)
			return
		}
		if used += n; n > 0 && !complete {
			continue
		}
		if l.protocol.detaching() {
			l.input.discard(used)
			return
		}
		// Bytes after an answer are left in the buffer: they make the connection unfit for another command, but the
		// answer is valid.
		l.input.discard(used)
		if complete {
			l.stopAnswerTimer()
			l.protocol.answerComplete()
		} else if l.awaitingAnswer && l.protocol.ready() { // each piece restarts the timer for the next one
			l.answerStarted = true
			l.databases.Loop.deadlines.Set(&l.answerTimer, l.databases.Loop.clock.Now()+answerTimeout, l.answerTimedOut)
		}
		return
	}
}

// stopAnswerTimer stops the timer for the rest of an answer.
func (l *databaseLink) stopAnswerTimer() {
	l.answerStarted = false
	l.databases.Loop.deadlines.Clear(&l.answerTimer)
}

// answerTimedOut handles an answer that is still incomplete, unless the rest has arrived and only the loop was late.
func (l *databaseLink) answerTimedOut() {
	if l.answerStarted = false; l.conn.Reader().Len() == 0 {
		l.protocolError(errIncompleteAnswer)
	}
}

// protocolError ends a connection whose input can no longer be split into valid answers.
func (l *databaseLink) protocolError(err error) {
	l.databases.logProtocolError(l.address, err)
	reply, known := l.replyAtEnd(err)
	l.Close()
	// netpoll closes the connection when this callback has returned; no further attempt may be sent before that
	l.databases.Loop.Post(func() {
		if known {
			l.listener.Reply(reply)
			return
		}
		l.listener.ProtocolError()
	})
}
