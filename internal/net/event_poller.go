package net

import (
	"log/slog"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"havenproxy/internal/limit"
)

// maxEvents is the number of descriptors that one call of the kernel reports.
const maxEvents = 512

// eventHandler handles the events of a descriptor, on the loop.
type eventHandler interface {
	handleEvents(events uint32, at time.Duration) // at is when the kernel reported the first of them
}

// eventPoller tells the loop of events of descriptors. While the loop has work it asks the kernel itself, by poll; while it is idle, and
// while a callback holds it up, a goroutine waits for the kernel. Nothing is read, and one entry is kept for each descriptor that has
// events, however many there are. The methods run on the loop, except wait.
type eventPoller struct {
	loop     *Loop
	epoll    *os.File // lets the Go runtime wait for it; nil = not opened yet
	fd       int      // of epoll
	handlers map[uint64]eventHandler
	lastID   uint64
	events   [maxEvents]unix.EpollEvent // room for what poll is told

	ready []readiness // events that the loop has taken
	next  int         // the first of ready that has not been handled

	mu      sync.Mutex
	pending []readiness    // events that the loop has not taken yet
	index   map[uint64]int // of each descriptor's events in pending
	posted  bool           // dispatch is in the loop's queue, or running
}

// readiness is what the kernel has reported of one descriptor.
type readiness struct {
	id     uint64
	events uint32
	at     time.Duration
}

// register adds a descriptor. The identifier that it returns is never used again, so that an event that is on its way
// cannot reach another descriptor of the same number.
func (p *eventPoller) register(fd int, events uint32, handler eventHandler) (id uint64, err error) {
	if p.epoll == nil {
		if err := p.open(); err != nil {
			return 0, err
		}
	}
	p.lastID++
	if err := p.control(unix.EPOLL_CTL_ADD, fd, p.lastID, events); err != nil {
		return 0, err
	}
	p.handlers[p.lastID] = handler
	return p.lastID, nil
}

// rearm makes a descriptor report again after a one-shot event.
func (p *eventPoller) rearm(fd int, id uint64, events uint32) error {
	return p.control(unix.EPOLL_CTL_MOD, fd, id, events)
}

func (p *eventPoller) control(operation, fd int, id uint64, events uint32) error {
	event := unix.EpollEvent{Events: events, Fd: int32(id), Pad: int32(id >> 32)}
	return unix.EpollCtl(p.fd, operation, fd, &event)
}

// forget drops a descriptor's handler. The kernel drops the descriptor itself when it is closed.
func (p *eventPoller) forget(id uint64) { delete(p.handlers, id) }

// remove drops a descriptor that stays open, and its handler.
func (p *eventPoller) remove(fd int, id uint64) {
	p.forget(id)
	unix.EpollCtl(p.fd, unix.EPOLL_CTL_DEL, fd, nil)
}

func (p *eventPoller) open() error {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return err
	}
	if err := unix.SetNonblock(fd, true); err != nil { // makes os.NewFile hand it to the runtime's poller
		unix.Close(fd)
		return err
	}
	p.fd, p.epoll = fd, os.NewFile(uintptr(fd), "epoll")
	p.handlers, p.index = map[uint64]eventHandler{}, map[uint64]int{}
	raw, err := p.epoll.SyscallConn()
	if err != nil {
		p.close()
		return err
	}
	go p.wait(raw, fd)
	return nil
}

// close ends the goroutine.
func (p *eventPoller) close() {
	if p.epoll != nil {
		p.epoll.Close()
		p.epoll = nil
	}
}

// poll asks the kernel for events, without waiting, and passes them on.
func (p *eventPoller) poll() {
	if len(p.handlers) == 0 {
		return
	}
	n, err := unix.EpollWait(p.fd, p.events[:], 0)
	if err == nil && n > 0 {
		p.add(p.events[:n])
	}
}

// wait waits for events and passes them on, until the poller is closed.
func (p *eventPoller) wait(raw syscall.RawConn, fd int) {
	var events [maxEvents]unix.EpollEvent
	for {
		var n int
		var waitErr error
		err := raw.Read(func(uintptr) bool {
			n, waitErr = unix.EpollWait(fd, events[:], 0)
			return n > 0 || waitErr != nil
		})
		if err != nil {
			return // the poller is closed
		}
		if waitErr != nil && waitErr != syscall.EINTR {
			slog.Error("waiting for events of sockets failed", "error", waitErr)
			return
		}
		if n > 0 {
			p.add(events[:n])
		}
	}
}

// add passes events to the loop. Those of a descriptor that still has some waiting there are merged.
func (p *eventPoller) add(events []unix.EpollEvent) {
	at := p.loop.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, event := range events {
		id := uint64(uint32(event.Fd)) | uint64(uint32(event.Pad))<<32
		if i, waits := p.index[id]; waits {
			p.pending[i].events |= event.Events
			continue
		}
		p.index[id] = len(p.pending)
		p.pending = append(p.pending, readiness{id, event.Events, at})
	}
	if !p.posted {
		p.posted = true
		p.loop.Post(p.dispatch)
	}
}

// dispatch calls the handlers of the descriptors that have events, for limit.RoundTime at most; the others follow behind
// other work.
func (p *eventPoller) dispatch() {
	if p.next == len(p.ready) {
		p.take()
	}
	until := p.loop.clock.Now() + limit.RoundTime
	for p.next < len(p.ready) {
		r := p.ready[p.next]
		p.next++
		if handler := p.handlers[r.id]; handler != nil {
			handler.handleEvents(r.events, r.at)
		}
		if p.loop.clock.Now() >= until {
			break
		}
	}
	p.mu.Lock()
	p.posted = p.next < len(p.ready) || len(p.pending) > 0
	more := p.posted
	p.mu.Unlock()
	if more {
		p.loop.Post(p.dispatch)
	}
}

// take moves the events that the kernel has reported to those that are to be handled.
func (p *eventPoller) take() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready, p.pending = p.pending, p.ready[:0]
	p.next = 0
	clear(p.index)
}
