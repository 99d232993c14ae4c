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

// fence is a pipe to oneself by way of netpoll's poller. A byte that arrives on it tells that the poller has done all that it began before.
type fence struct {
	conn    netpoll.Connection // the end that is read, by netpoll
	writeFD int
}

// fenceTimeout bounds the wait for the poller.
const fenceTimeout = time.Second

func newFence() (*fence, error) {
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
	return &fence{conn: conn, writeFD: ends[1]}, nil
}

// pass sends a byte through the poller and waits for it. A wait that takes longer than timeout ends by closing the connection: netpoll's own
// read timeout panics on a connection without a remote address, which a pipe is. After an error the fence has to be closed.
func (f *fence) pass(timeout time.Duration) error {
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

func (f *fence) close() {
	f.conn.Close()
	syscall.Close(f.writeFD)
}

// behindPoller returns when the poller has ended what it was about: it may be in the middle of reading a connection that it has just been
// told to leave alone. Whatever it fetches after a byte was written to a pipe, it fetches without that connection; the byte's arrival tells
// that all before it is done. That takes as long as the poller's turn, some microseconds. This needs
// a single poller, which useRunner sees to. An error tells that the poller could not be waited for, within fenceTimeout or at all.
func (l *Loop) behindPoller() (err error) {
	if l.fence == nil {
		if l.fence, err = newFence(); err != nil {
			return err
		}
	}
	if err := l.fence.pass(fenceTimeout); err != nil {
		l.fence.close() // its byte may still be on its way
		l.fence = nil
		return err
	}
	l.waited++
	return nil
}

// PostAfterPoller lets f run on the loop behind all that the poller has begun by now. It is called on the loop.
func (l *Loop) PostAfterPoller(f func()) {
	if err := l.behindPoller(); err != nil {
		slog.Warn("the poller can't be waited for", "error", err)
	}
	l.Post(f)
}

// watch lets the client know what comes on its connection, and its end. Close callbacks come on the loop where this side closes, and on
// the poller's goroutine where the other side has: only in the latter case the poller says so before.
func (c *client) watch(conn netpoll.Connection) {
	var byPeer atomic.Bool
	if d, ok := conn.(interface {
		SetOnDisconnect(netpoll.OnDisconnect) error
	}); ok {
		d.SetOnDisconnect(func(context.Context, netpoll.Connection) { byPeer.Store(true) })
	}
	conn.AddCloseCallback(func(netpoll.Connection) error {
		if !byPeer.Load() && c.quits && c.phase != phaseClosed {
			c.quit()
		} else {
			c.s.loop.Post(c.closed)
		}
		return nil
	})
}

// quit ends a connection that owed nothing when this side began to close it. The poller reads ahead of the loop, and may have fetched a
// query since that the loop had not heard of: a query that has been read is owed an answer, and only one that has not been is sent again
// by its client. So the poller, which has been told to leave the connection alone, is waited for, and who is owed something stays, on a
// second descriptor of the same socket. It is called on the loop, before the first descriptor and the poller's buffer end.
func (c *client) quit() {
	c.quits = false
	err := c.s.loop.behindPoller()
	if err == nil && len(c.in.bytes) == c.had && c.conn.Reader().Len() == 0 {
		if !c.hurry {
			c.s.linger(c.conn)
		}
		c.closed()
		return
	}
	if err == nil {
		err = c.stay()
	}
	if err != nil {
		slog.Warn("a client's connection was closed, perhaps over a query", "error", err)
		c.closed()
	}
}

// stay goes on with a connection that is being closed.
func (c *client) stay() error {
	if r := c.conn.Reader(); r.Len() > 0 {
		if err := c.in.fill(r); err != nil {
			return err
		}
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
	conn.SetWriteTimeout(writePatience)
	c.conn = conn
	open := &c.s.open
	open.Add(1)
	conn.AddCloseCallback(func(netpoll.Connection) error { open.Add(-1); return nil })
	c.watch(conn)
	conn.SetOnRequest(func(context.Context, netpoll.Connection) error {
		c.readable()
		return nil
	})
	c.s.loop.Post(c.parse)
	return nil
}

// lingerMost is how long a connection that has been shut is read on for its client's end.
const lingerMost = 200 * time.Millisecond

// linger closes a connection in two steps (RFC 9112, section 9.6): it is shut, and what its client still writes, which nobody will act on, is
// read until the client has closed too, or lingerMost is over. A close over unread bytes is a reset, and a reset takes the last answer with it,
// as far as that is still on its way. The poller has let go of the connection, and nothing that was read is owed an answer; see quit. A client whose
// query crossed sees its connection end with no answer to that, and sends it once more.
func (s *Server) linger(old netpoll.Connection) {
	c, ok := old.(netpoll.Conn)
	if !ok {
		return
	}
	fd, err := syscall.Dup(c.Fd())
	if err != nil {
		return // it is closed in one step, as there are no descriptors
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
	var timer state.Deadline
	attach(s.loop, conn, func() {
		r := conn.Reader()
		s.front.Counters.DiscardedBytes += uint64(r.Len())
		r.Skip(r.Len())
		r.Release()
	}, func() {
		s.lingering--
		s.open.Add(-1)
		s.deadlines.Clear(&timer)
	})
	s.deadlines.Set(&timer, s.clock.Now()+s.lingerMost, func() { conn.Close() })
}
