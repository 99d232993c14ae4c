package net

import (
	"time"

	"havenproxy/internal/state"
)

const (
	// maxLinger is how long a connection that has been shut down is still read while it waits for the client to close.
	maxLinger = 200 * time.Millisecond
	// lingerReadPause is how long such a connection is not read after readSize bytes have been, so that a client that goes on sending at
	// full speed does not use the loop for it.
	lingerReadPause = 10 * time.Millisecond
)

// linger closes a connection in two steps (RFC 9112, section 9.6): it shuts down the write side, then reads and discards
// what the client still sends until the client has closed too, or maxLinger is over and the client is no longer reading.
// Closing a connection with unread input resets it, and a reset discards the part of the last answer that is still on its
// way. A client whose query crossed the close sees the end of its connection without an answer, and resends the query.
func (s *Server) linger(conn *socket) {
	conn.shutdownWrite()
	s.lingering++
	l := &lingeringConn{server: s, socket: conn, output: newSocketQueue(conn, nil, nil)}
	conn.handler = l
	s.deadlines.Set(&l.timer, s.clock.Now()+s.maxLinger, l.expire)
	l.discardInput()
}

// lingeringConn is a client's connection that has been shut down and waits for the client to close it.
type lingeringConn struct {
	server *Server
	socket *socket
	output *writeQueue // shows what the client has not taken yet; nothing is written
	timer  state.Deadline
	paused state.Deadline // ends the pause in reading
}

// inputArrived implements socketHandler.
func (l *lingeringConn) inputArrived(time.Duration) { l.discardInput() }

func (l *lingeringConn) discardInput() {
	if l.socket.closed || l.paused.IsSet() {
		return
	}
	discarded, more := l.socket.discardUnread(readSize)
	l.server.engine.Counters.DiscardedBytes += uint64(discarded)
	if more {
		l.server.deadlines.Set(&l.paused, l.server.clock.Now()+lingerReadPause, l.discardInput)
	}
}

// expire closes the connection, unless the client is still reading its last answers.
func (l *lingeringConn) expire() {
	if l.output.delivering() {
		l.server.deadlines.Set(&l.timer, l.server.clock.Now()+l.server.maxLinger, l.expire)
		return
	}
	l.peerClosed()
}

// peerClosed implements socketHandler.
func (l *lingeringConn) peerClosed() {
	if l.socket.closed {
		return
	}
	l.server.lingering--
	l.server.deadlines.Clear(&l.timer)
	l.server.deadlines.Clear(&l.paused)
	l.socket.close()
}
