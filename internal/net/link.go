package net

import (
	"errors"
	"log/slog"
	stdnet "net"
	"syscall"
	"time"

	"havenproxy/internal/state"
	"havenproxy/logic"
)

// answerTimeout is how long an answer may take from its first bytes to its end, which a database writes at once.
// After it the answer counts as broken: waiting for it until the client's deadline would leave no time for another
// attempt.
const answerTimeout = 100 * time.Millisecond

// maxPiecesPerTurn is the number of pieces, of readSize bytes at most, that are read from a connection to a database
// before the loop turns to other work.
const maxPiecesPerTurn = 8

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

// databaseProtocol is the wire protocol of a connection to a database. Reading, leftover bytes, the end of the
// connection and incomplete answers are handled by databaseLink.
type databaseProtocol interface {
	start() error // the connection is up: sends the first message, if this side speaks first
	// parseNext handles the first message of buf. It returns its length, 0 if it is incomplete, and whether an answer
	// ends with it.
	parseNext(buf []byte) (n int, whole bool, err error)
	answerComplete() // called when an answer is complete
	ready() bool
	streaming() bool // the rest of the answer is passed on in pieces, by a reader of its own
	beginStream()    // called once, when streaming has become true; the buffer holds the first bytes
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
	socket         *socket // nil until it is connected
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
	rest           continuation // of reading
}

func (l *databaseLink) open(databases *Databases, address string, listener state.Listener, protocol databaseProtocol) {
	l.databases, l.address, l.listener, l.protocol = databases, address, listener, protocol
	dialSocket(databases.Loop, address, databases.ConnectTimeout, l.connected)
}

func (l *databaseLink) connected(conn *socket, err error) {
	l.dialDone = true
	switch {
	case l.closed:
		l.databases.abandonedDials--
		if err == nil {
			conn.close()
		}
		return
	case err != nil:
		l.connectionLost(err)
		return
	}
	l.socket = conn
	l.output = newSocketQueue(conn, nil, l.connectionLost)
	l.output.active = func() bool { return !conn.gone() } // a command that reaches the kernel may run
	if err := conn.start(l); err != nil {
		l.connectionLost(err)
		return
	}
	l.awaitingAnswer = true
	l.protocol.start()
}

// write sends bytes, or keeps them until the socket takes them. After an error the last byte was not written; the
// connection is ending.
func (l *databaseLink) write(b []byte) error {
	if l.closed || l.socket == nil {
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
	return !l.closed && l.socket != nil && len(l.input.bytes) == 0 && l.socket.noInput()
}

// Close implements state.Conn.
func (l *databaseLink) Close() {
	if l.closed {
		return
	}
	l.closed = true
	l.stopAnswerTimer()
	if l.socket != nil {
		l.output.close()
		l.socket.close()
	} else if !l.dialDone {
		l.databases.abandonedDials++
	}
}

// connectionLost reports to the listener that the connection has ended, unless this side closed it.
func (l *databaseLink) connectionLost(err error) {
	if l.closed || l.protocol.streaming() {
		return
	}
	if reply, known := l.replyAtEnd(err); known {
		l.listener.Reply(reply)
	}
	if l.closed {
		return
	}
	connected := l.socket != nil
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

// inputArrived implements socketHandler.
func (l *databaseLink) inputArrived(time.Duration) {
	if !l.rest.posted {
		l.handleInput()
	}
}

// peerClosed implements socketHandler. What arrived before the end is an answer like any other.
func (l *databaseLink) peerClosed() { l.handleInput() }

// handleInput reads what has arrived and handles it, as far as one turn allows; the rest follows behind other work.
func (l *databaseLink) handleInput() {
	for range maxPiecesPerTurn {
		if l.closed || l.protocol.streaming() {
			return
		}
		buf := l.databases.Loop.readBuffer[:]
		n, err := l.socket.read(buf)
		if err != nil { // an end of file or a reset, behind everything that arrived before
			l.connectionLost(nil)
			return
		}
		l.input.bytes = append(l.input.bytes, buf[:n]...)
		if n == 0 {
			return
		}
		l.handleMessages()
		if n < len(buf) && l.socket.active() { // the kernel has no more, and reports what comes
			return
		}
	}
	l.rest.post(l.databases.Loop, l.handleInput)
}

// handleMessages handles the messages in the buffer, to the end of an answer.
func (l *databaseLink) handleMessages() {
	for used := 0; !l.closed; {
		n, complete, err := l.protocol.parseNext(l.input.bytes[used:])
		if err != nil { // bytes after malformed ones cannot be trusted either
			l.protocolError(err)
			return
		}
		if used += n; n > 0 && !complete {
			continue
		}
		// Bytes after an answer are left in the buffer: they make the connection unfit for another command, but the
		// answer is valid.
		l.input.discard(used)
		switch {
		case complete:
			l.stopAnswerTimer()
			l.protocol.answerComplete()
		case l.protocol.streaming():
			l.stopAnswerTimer()
			l.protocol.beginStream()
		case l.awaitingAnswer && l.protocol.ready(): // each piece restarts the timer for the next one
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
	if l.answerStarted = false; l.socket.unread() == 0 {
		l.protocolError(errIncompleteAnswer)
	}
}

// protocolError ends a connection whose input can no longer be split into valid answers.
func (l *databaseLink) protocolError(err error) {
	l.databases.logProtocolError(l.address, err)
	reply, known := l.replyAtEnd(err)
	l.Close()
	// not directly: the listener may be in the middle of its own call
	l.databases.Loop.Post(func() {
		if known {
			l.listener.Reply(reply)
			return
		}
		l.listener.ProtocolError()
	})
}
