package net

import (
	"context"
	"log/slog"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/state"
)

// pollerBarrier is a pipe from this process to itself through netpoll's poller. When a byte arrives on it, the poller
// has finished all work that it started before.
type pollerBarrier struct {
	conn    netpoll.Connection // the read end, served by netpoll
	writeFD int
}

// pollerBarrierTimeout limits the wait for the poller.
const pollerBarrierTimeout = time.Second

func newPollerBarrier() (*pollerBarrier, error) {
	var ends [2]int
	if err := syscall.Pipe2(ends[:], syscall.O_CLOEXEC|syscall.O_NONBLOCK); err != nil {
		return nil, err
	}
	conn, err := netpoll.NewFDConnection(ends[0])
	if err != nil {
		syscall.Close(ends[0])
		syscall.Close(ends[1])
		return nil, err
	}
	return &pollerBarrier{conn: conn, writeFD: ends[1]}, nil
}

// roundTrip sends a byte through the poller and waits for it. After timeout the wait ends by closing the connection:
// netpoll's own read timeout panics on a connection without a remote address, such as a pipe. After an error the
// barrier has to be closed.
func (f *pollerBarrier) roundTrip(timeout time.Duration) error {
	if _, err := syscall.Write(f.writeFD, []byte{1}); err != nil {
		return err
	}
	timer := time.AfterFunc(timeout, func() { f.conn.Close() })
	defer timer.Stop()
	if _, err := f.conn.Reader().Next(1); err != nil {
		return err
	}
	return f.conn.Reader().Release()
}

func (f *pollerBarrier) close() {
	f.conn.Close()
	syscall.Close(f.writeFD)
}

// waitForPoller returns when the poller has finished its current work: it may be in the middle of reading a
// connection that it has just been told to drop. Events that it fetches after a byte was written to the pipe no
// longer include that connection, and when the byte arrives, all earlier events have been handled. The wait takes one
// round of the poller, some microseconds. It needs a single poller, which useRunner configures. An error means that
// the wait failed or took longer than pollerBarrierTimeout.
func (l *Loop) waitForPoller() (err error) {
	if l.barrier == nil {
		if l.barrier, err = newPollerBarrier(); err != nil {
			return err
		}
	}
	if err := l.barrier.roundTrip(pollerBarrierTimeout); err != nil {
		l.barrier.close() // its byte may still be on its way
		l.barrier = nil
		return err
	}
	l.pollerWaits++
	return nil
}

// PostAfterPoller posts f to the loop behind everything that the poller has begun so far. It must be called on the
// loop.
func (l *Loop) PostAfterPoller(f func()) {
	if err := l.waitForPoller(); err != nil {
		slog.Warn("waiting for the poller failed", "error", err)
	}
	l.Post(f)
}

// attachCallbacks makes the loop handle the end of a connection. Close callbacks run on the loop if this side closes,
// and on the poller's goroutine if the peer does: only in the latter case is the disconnect callback called first.
func (c *client) attachCallbacks(conn netpoll.Connection) {
	var byPeer atomic.Bool
	if d, ok := conn.(interface {
		SetOnDisconnect(netpoll.OnDisconnect) error
	}); ok {
		d.SetOnDisconnect(func(context.Context, netpoll.Connection) { byPeer.Store(true) })
	}
	conn.AddCloseCallback(func(netpoll.Connection) error {
		if !byPeer.Load() && c.closing && c.phase != phaseClosed {
			c.finishClose()
		} else {
			c.server.loop.Post(c.release)
		}
		return nil
	})
}

// finishClose ends a connection to which no answer was due when this side began to close it. The poller reads ahead
// of the loop and may have read a query since then: a query that has been read has to be answered, because its client
// resends only one that has not been read. So the poller, which has been told to drop the connection, is waited for,
// and if there is a query, the connection is kept open on a second descriptor of the same socket. It is called on the
// loop, before the first descriptor and the poller's buffer are released.
func (c *client) finishClose() {
	c.closing = false
	err := c.server.loop.waitForPoller()
	if err == nil && len(c.input.bytes) == c.bytesBeforeClose && c.conn.Reader().Len() == 0 {
		if !c.closeAtOnce {
			c.server.closeGracefully(c.conn)
		}
		c.release()
		return
	}
	if err == nil {
		err = c.keepOpen()
	}
	if err != nil {
		slog.Warn("client connection closed, possibly with an unanswered query", "error", err)
		c.release()
	}
}

// keepOpen continues a connection that is being closed, on a new descriptor.
func (c *client) keepOpen() error {
	if r := c.conn.Reader(); r.Len() > 0 {
		if err := c.input.fill(r); err != nil {
			return err
		}
		c.arrivals.add(len(c.input.bytes), c.server.clock.Now())
	}
	fd, err := syscall.Dup(c.conn.(netpoll.Conn).Fd())
	if err != nil {
		return err
	}
	syscall.CloseOnExec(fd)
	conn, err := netpoll.NewFDConnection(fd)
	if err != nil {
		syscall.Close(fd)
		return err
	}
	c.conn = conn
	c.output.close()
	c.openOutput()
	open := &c.server.open
	open.Add(1)
	conn.AddCloseCallback(func(netpoll.Connection) error { open.Add(-1); return nil })
	c.attachCallbacks(conn)
	conn.SetOnRequest(func(context.Context, netpoll.Connection) error {
		c.handleInput()
		return nil
	})
	c.server.loop.Post(c.parse)
	return nil
}

// maxLinger is how long a connection that has been shut down is still read while it waits for the client to close.
const maxLinger = 200 * time.Millisecond

// closeGracefully closes a connection in two steps (RFC 9112, section 9.6): it shuts down the write side, then reads
// and discards what the client still sends until the client has closed too, or maxLinger is over and the client is no
// longer reading. Closing a
// connection with unread input resets it, and a reset discards the part of the last answer that is still on its way.
// The poller has released the connection, and no query that was read is unanswered; see finishClose. A client whose
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
