package net

import (
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/state"
)

// maxLinger is how long a connection that has been shut down is still read while it waits for the client to close.
const maxLinger = 200 * time.Millisecond

// closeGracefully closes a connection in two steps (RFC 9112, section 9.6): it shuts down the write side, then reads
// and discards what the client still sends until the client has closed too, or maxLinger is over and the client is no
// longer reading. Closing a connection with unread input resets it, and a reset discards the part of the last answer
// that is still on its way. The poller has released the connection, and no query that was read is unanswered; see finishClose. A client whose
// query crossed the close sees the end of its connection without an answer, and resends the query.
func (s *Server) closeGracefully(old netpoll.Connection) {
	c, ok := old.(netpoll.Conn)
	if !ok {
		return
	}
	fd, err := syscall.Dup(c.Fd())
	if err != nil {
		return // it is closed in one step, because there are no descriptors
	}
	syscall.CloseOnExec(fd)
	syscall.Shutdown(fd, syscall.SHUT_WR)
	conn, err := netpoll.NewFDConnection(fd)
	if err != nil {
		syscall.Close(fd)
		return
	}
	s.open.Add(1)
	s.lingering++
	l := &lingeringConn{server: s, conn: conn, output: newWriteQueue(s.loop, conn, nil, nil)}
	attachCallbacks(s.loop, conn, l.discardInput, l.closed)
	s.deadlines.Set(&l.timer, s.clock.Now()+s.maxLinger, l.expire)
}

// lingeringConn is a client's connection that has been shut down and waits for the client to close it.
type lingeringConn struct {
	server *Server
	conn   netpoll.Connection
	output *writeQueue // shows what the client has not taken yet; nothing is written
	timer  state.Deadline
}

func (l *lingeringConn) discardInput() {
	r := l.conn.Reader()
	l.server.engine.Counters.DiscardedBytes += uint64(r.Len())
	r.Skip(r.Len())
	r.Release()
}

// expire closes the connection, unless the client is still reading its last answers.
func (l *lingeringConn) expire() {
	if l.output.delivering() {
		l.server.deadlines.Set(&l.timer, l.server.clock.Now()+l.server.maxLinger, l.expire)
		return
	}
	l.conn.Close()
}

func (l *lingeringConn) closed() {
	l.server.lingering--
	l.server.open.Add(-1)
	l.server.deadlines.Clear(&l.timer)
}
