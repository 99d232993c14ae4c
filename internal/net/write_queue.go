package net

import (
	"errors"
	"io"
	"log/slog"
	stdnet "net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
)

const (
	// writeCheckInterval is how often the progress of a peer is looked at while bytes wait for it.
	writeCheckInterval = 250 * time.Millisecond
	// After a write that failed for lack of memory the next one follows after minShortagePause, and each further one
	// after twice the pause before.
	minShortagePause = 5 * time.Millisecond
)

var errStalled = errors.New("the peer takes no bytes")

// writeQueue writes to a connection without ever waiting for its peer. The kernel takes what it has room for; the rest
// is kept, in order, and written when the socket is writable again. A peer that takes some bytes now and then, however
// few, is waited for; one that takes none for limit.StallTimeout is given up.
//
// The methods and both callbacks run on the loop. Nothing else may write to the connection.
type writeQueue struct {
	loop       *Loop
	active     func() bool // reports whether the connection is open, as far as is known
	descriptor *descriptor
	unsent     buffer
	total      *int        // the sum of unsent bytes over all queues that share a limit; nil = there is none
	onProgress func()      // called when the socket has taken bytes that waited
	onFailure  func(error) // called when bytes that waited cannot be written; the queue is closed afterwards

	closed        bool
	pollID        uint64 // under which the write poller knows it; 0 = it does not
	timer         state.Deadline
	shortagePause time.Duration // 0 = the last write did not fail for lack of memory
	progress      limit.Progress
}

func newWriteQueue(loop *Loop, conn netpoll.Connection, onProgress func(), onFailure func(error)) *writeQueue {
	return &writeQueue{loop: loop, active: conn.IsActive, descriptor: guardDescriptor(conn), onProgress: onProgress, onFailure: onFailure}
}

// newSocketQueue returns the queue of an accepted connection.
func newSocketQueue(s *socket, onProgress func(), onFailure func(error)) *writeQueue {
	return &writeQueue{loop: s.loop, active: s.active, descriptor: s.descriptor, onProgress: onProgress, onFailure: onFailure}
}

// write sends b, or keeps a copy of what the kernel does not take now. After an error the last byte was not written,
// and the connection is to be closed.
func (q *writeQueue) write(b []byte) error {
	if q.closed || !q.active() { // the poller may know of its end before the loop does
		return stdnet.ErrClosed
	}
	if q.len() == 0 {
		n, shortage, err := q.descriptor.write(b)
		if err != nil {
			return err
		}
		if b = b[n:]; len(b) == 0 {
			q.progress.Forget()
			return nil
		}
		q.progress.Written(q.loop.clock.Now(), q.inTransit())
		q.keep(b)
		q.wait(shortage)
		return nil
	}
	q.keep(b)
	return nil
}

// len returns the number of bytes that the kernel has not taken yet.
func (q *writeQueue) len() int { return len(q.unsent.bytes) }

// inTransit returns the number of bytes that the kernel holds and that the peer's machine has not acknowledged.
func (q *writeQueue) inTransit() int { return q.descriptor.queued(unix.TIOCOUTQ) }

// delivering reports whether the peer is still taking bytes that the kernel holds.
func (q *writeQueue) delivering() bool { return q.inTransit() > 0 && !q.stalled() }

// stalled looks at the peer's progress and reports whether it has taken none of the bytes that the kernel holds for
// limit.StallTimeout.
func (q *writeQueue) stalled() bool { return q.progress.Stalled(q.loop.clock.Now(), q.inTransit()) }

// notSent returns the number of bytes that the kernel holds because the peer's machine has no room for them.
func (q *writeQueue) notSent() int { return q.descriptor.queued(unix.SIOCOUTQNSD) }

// close drops what has not been written. It may be called more than once.
func (q *writeQueue) close() {
	if q.closed {
		return
	}
	q.closed = true
	q.discard(q.len())
	q.loop.deadlines.Clear(&q.timer)
	q.disarm()
}

func (q *writeQueue) keep(b []byte) {
	q.unsent.bytes = append(q.unsent.bytes, b...)
	if q.total != nil {
		*q.total += len(b)
	}
}

func (q *writeQueue) discard(n int) {
	q.unsent.discard(n)
	if q.total != nil {
		*q.total -= n
	}
}

// wait makes the queue go on when the socket is writable, and look at the peer's progress meanwhile. After a shortage,
// which makes no socket unwritable, it only pauses.
func (q *writeQueue) wait(shortage bool) {
	interval := writeCheckInterval
	if shortage {
		q.shortagePause = min(max(2*q.shortagePause, minShortagePause), writeCheckInterval)
		interval = q.shortagePause
	} else {
		q.shortagePause = 0
		q.arm()
	}
	q.loop.deadlines.Set(&q.timer, q.loop.clock.Now()+interval, q.check)
}

// arm makes the loop flush the queue once its socket is writable. Without it, the queue's own timer does.
func (q *writeQueue) arm() {
	const writable = unix.EPOLLOUT | unix.EPOLLONESHOT
	poller := q.loop.writePoller
	err := q.descriptor.use(func(fd int) (err error) {
		if q.pollID != 0 {
			return poller.rearm(fd, q.pollID, writable)
		}
		q.pollID, err = poller.register(fd, writable, q)
		return err
	})
	if err != nil {
		slog.Debug("waiting for a writable socket failed, it is polled", "error", err)
	}
}

// disarm makes the poller forget the queue; an event that is on its way has no effect.
func (q *writeQueue) disarm() {
	if q.pollID == 0 {
		return
	}
	id, poller := q.pollID, q.loop.writePoller
	q.pollID = 0
	poller.forget(id)
	q.descriptor.use(func(fd int) error { poller.remove(fd, id); return nil })
}

// handleEvents implements eventHandler: the socket is writable.
func (q *writeQueue) handleEvents(uint32, time.Duration) { q.flush() }

// check goes on with the queue, and gives up a peer that has made no progress for too long.
func (q *writeQueue) check() {
	if q.stalled() {
		q.fail(errStalled)
		return
	}
	q.flush()
}

// flush writes as much as the kernel takes now.
func (q *writeQueue) flush() {
	if q.closed || q.len() == 0 {
		return
	}
	n, shortage, err := q.descriptor.write(q.unsent.bytes)
	if q.discard(n); err != nil {
		q.fail(err)
		return
	}
	if n > 0 {
		q.progress.Written(q.loop.clock.Now(), q.inTransit())
	}
	if q.len() > 0 {
		q.wait(shortage)
	} else {
		q.loop.deadlines.Clear(&q.timer)
	}
	if n > 0 && q.onProgress != nil {
		q.onProgress()
	}
}

// fail reports that the rest cannot be written. The owner still sees its length.
func (q *writeQueue) fail(err error) {
	q.onFailure(err)
	q.close()
}

// descriptor is the descriptor of a connection. netpoll closes its own on a goroutine of its own when the peer ends the
// connection, and the number may then be another connection's; so it is used under a lock that the close takes.
type descriptor struct {
	mu       sync.Mutex
	fd       int
	closed   bool
	fallback io.Writer // set if the connection has no descriptor
}

func guardDescriptor(conn netpoll.Connection) *descriptor {
	d := &descriptor{}
	if c, ok := conn.(netpoll.Conn); ok {
		d.fd = c.Fd()
	} else {
		d.closed, d.fallback = true, conn
	}
	conn.AddCloseCallback(func(netpoll.Connection) error { // netpoll closes the descriptor after all callbacks
		d.mu.Lock()
		d.closed = true
		d.mu.Unlock()
		return nil
	})
	return d
}

// close closes the descriptor of a connection that is not netpoll's.
func (d *descriptor) close() {
	d.use(func(fd int) error {
		d.closed = true
		return syscall.Close(fd)
	})
}

// use calls f with the descriptor, unless it has been closed.
func (d *descriptor) use(f func(fd int) error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return stdnet.ErrClosed
	}
	return f(d.fd)
}

// write writes what the kernel takes now and returns the number of bytes. shortage reports that it took no more for
// lack of memory, rather than of room in the socket's buffer.
func (d *descriptor) write(b []byte) (n int, shortage bool, err error) {
	for n < len(b) {
		written, err := d.writeOnce(b[n:])
		n += max(written, 0)
		switch err {
		case nil, syscall.EINTR:
		case syscall.EAGAIN:
			return n, false, nil
		case syscall.ENOBUFS, syscall.ENOMEM:
			return n, true, nil
		default:
			return n, false, err
		}
	}
	return n, false, nil
}

func (d *descriptor) writeOnce(b []byte) (n int, err error) {
	if d.fallback != nil {
		return d.fallback.Write(b)
	}
	err = d.use(func(fd int) error {
		n, err = syscall.Write(fd, b)
		return err
	})
	return n, err
}

// queued returns the length of one of the kernel's send queues, which request names.
func (d *descriptor) queued(request uint) (n int) {
	d.use(func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, request)
		return err
	})
	return n
}
