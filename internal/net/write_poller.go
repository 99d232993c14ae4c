package net

import (
	"log/slog"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxWriteEvents is the number of sockets that one call of the kernel reports as writable.
const maxWriteEvents = 128

// writePoller tells the loop which sockets can take bytes again. netpoll's poller does so only for a write that blocks
// its caller. Each wait is for one event. Its methods run on the loop; a goroutine waits for the kernel.
type writePoller struct {
	loop   *Loop
	epoll  *os.File // lets the Go runtime wait for it; nil = not opened yet
	fd     int      // of epoll
	queues map[uint64]*writeQueue
	lastID uint64
}

// arm makes the loop flush q once its socket is writable. Without it, the queue's own timer does.
func (p *writePoller) arm(q *writeQueue) {
	if p.epoll == nil {
		if err := p.open(); err != nil {
			slog.Warn("waiting for writable sockets is not possible, they are polled", "error", err)
			return
		}
	}
	if q.armed == 0 {
		p.lastID++
		q.armed = p.lastID
		p.queues[q.armed] = q
	}
	event := unix.EpollEvent{Events: unix.EPOLLOUT | unix.EPOLLONESHOT, Fd: int32(q.armed), Pad: int32(q.armed >> 32)}
	err := q.descriptor.use(func(fd int) error {
		err := unix.EpollCtl(p.fd, unix.EPOLL_CTL_MOD, fd, &event)
		if err == syscall.ENOENT {
			err = unix.EpollCtl(p.fd, unix.EPOLL_CTL_ADD, fd, &event)
		}
		return err
	})
	if err != nil {
		slog.Debug("waiting for a writable socket failed, it is polled", "error", err)
	}
}

// disarm forgets a queue; an event that is on its way has no effect.
func (p *writePoller) disarm(q *writeQueue) {
	if q.armed == 0 {
		return
	}
	delete(p.queues, q.armed)
	q.armed = 0
	if p.epoll == nil {
		return
	}
	q.descriptor.use(func(fd int) error { return unix.EpollCtl(p.fd, unix.EPOLL_CTL_DEL, fd, nil) })
}

func (p *writePoller) open() error {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return err
	}
	if err := unix.SetNonblock(fd, true); err != nil { // makes os.NewFile hand it to the runtime's poller
		unix.Close(fd)
		return err
	}
	p.fd, p.epoll, p.queues = fd, os.NewFile(uintptr(fd), "epoll"), map[uint64]*writeQueue{}
	raw, err := p.epoll.SyscallConn()
	if err != nil {
		p.close()
		return err
	}
	go p.poll(raw, fd)
	return nil
}

// close ends the goroutine.
func (p *writePoller) close() {
	if p.epoll != nil {
		p.epoll.Close()
		p.epoll = nil
	}
}

// poll waits for writable sockets and posts them to the loop, until the poller is closed.
func (p *writePoller) poll(raw syscall.RawConn, fd int) {
	var events [maxWriteEvents]unix.EpollEvent
	for {
		var n int
		var waitErr error
		err := raw.Read(func(uintptr) bool {
			n, waitErr = unix.EpollWait(fd, events[:], 0)
			return n > 0 || waitErr != nil
		})
		if err != nil || waitErr != nil && waitErr != syscall.EINTR {
			return
		}
		if n <= 0 {
			continue
		}
		writable := make([]uint64, n)
		for i, event := range events[:n] {
			writable[i] = uint64(uint32(event.Fd)) | uint64(uint32(event.Pad))<<32
		}
		p.loop.Post(func() { p.flush(writable) })
	}
}

// flush lets queues go on whose sockets are writable.
func (p *writePoller) flush(writable []uint64) {
	for _, id := range writable {
		if q := p.queues[id]; q != nil {
			q.flush()
		}
	}
}
