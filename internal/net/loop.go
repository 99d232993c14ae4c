// Package net serves the proxy's sockets: the listener, clients, databases and discovery. Each connection is an
// object with callbacks, which all run on one goroutine, the loop's; nothing here decides anything.
package net

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/state"
)

// Loop is an event loop: one goroutine, in Run, that owns the router and the state of all connections. netpoll's poller
// reads the sockets and posts its callbacks to the loop, so that they run one at a time.
type Loop struct {
	clock     state.Clock
	deadlines *state.Deadlines

	mu     sync.Mutex
	queue  []func()
	wake   chan struct{}
	stop   bool
	fence  *fence // nil before the poller was first waited for
	waited uint64 // how often it was

	turns      turns
	receivedAt time.Duration
}

// NewLoop returns a loop that is not running yet, and makes netpoll post its callbacks to it. netpoll has one runner in a process, so
// the newest loop receives the callbacks.
func NewLoop(clock state.Clock, deadlines *state.Deadlines) *Loop {
	l := &Loop{clock: clock, deadlines: deadlines, wake: make(chan struct{}, 1)}
	useRunner(func(_ context.Context, callback func()) { l.receive(callback) })
	return l
}

// receive queues a callback for bytes that the poller has just read.
func (l *Loop) receive(callback func()) {
	at := l.clock.Now()
	l.Post(func() {
		l.receivedAt = at
		callback()
		l.receivedAt = 0
	})
}

// ReceivedAt tells when the poller read the bytes of the callback in hand; 0 = no such callback is running. What waited in the queue since then
// is late already.
func (l *Loop) ReceivedAt() time.Duration { return l.receivedAt }

// Measure lets the loop count how often it is held up, and note for how long at most. It must be called before Run.
func (l *Loop) Measure(counters *state.Counters, delays *state.Delays) {
	l.turns.counters, l.turns.delays = counters, delays
}

// pollers is the number of netpoll's pollers. Loop.behindPoller relies on a single one; netpoll's default grows with GOMAXPROCS.
const pollers = 1

// useRunner makes netpoll hand its callbacks to run, and keeps it to one poller; its other settings keep their defaults.
func useRunner(run func(context.Context, func())) {
	if err := netpoll.Configure(netpoll.Config{Runner: run, PollerNum: pollers}); err != nil {
		panic(err) // netpoll refuses a number of pollers below one only, or an unknown load balancing method
	}
}

// Post queues f to run on the loop. It may be called from any goroutine and does not wait for f.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// mostDelay is how late a deadline may be run for the sake of what was posted before it. Answers that are already in the queue go first up to then.
const mostDelay = 20 * time.Millisecond

// Run runs posted functions and due deadlines until Stop is called.
func (l *Loop) Run() {
	timer := time.NewTimer(time.Hour)
	var work []func()
	for !l.stop {
		l.mu.Lock()
		work, l.queue = l.queue, work[:0]
		l.mu.Unlock()
		before := l.clock.Now()
		for i, f := range work {
			f()
			now := l.clock.Now()
			l.turns.ended(f, before, now)
			work[i], before = nil, now
			if due, ok := l.deadlines.Next(); ok && now-due >= mostDelay && !l.stop {
				l.runDeadlines(now)
			}
		}
		l.runDeadlines(before)
		if l.stop || len(work) > 0 {
			continue
		}
		if at, ok := l.deadlines.Next(); ok {
			timer.Reset(max(at-l.clock.Now(), 0))
		}
		select {
		case <-l.wake:
		case <-timer.C:
		}
	}
}

// runDeadlines runs what is due.
func (l *Loop) runDeadlines(now time.Duration) {
	due, ok := l.deadlines.Next()
	if !ok || due > now {
		return
	}
	l.turns.late(due, now)
	l.deadlines.Run(now)
	l.turns.ended(l.deadlines.Run, now, l.clock.Now())
}

// Stop makes Run return. It must be called on the loop.
func (l *Loop) Stop() { l.stop = true }

// buffer is the one buffer of a connection for what comes in. It grows as it needs; what is left behind the
// messages taken out moves to its front.
type buffer struct{ bytes []byte }

// keepRoom is the room that a connection keeps between messages.
const keepRoom = 16 << 10

// fill takes all that netpoll has read.
func (b *buffer) fill(r netpoll.Reader) error {
	n := r.Len()
	in, err := r.Next(n)
	if err != nil {
		return err
	}
	b.bytes = append(b.bytes, in...)
	return r.Release()
}

// cut drops the first n bytes.
func (b *buffer) cut(n int) {
	left := copy(b.bytes, b.bytes[n:])
	b.bytes = b.bytes[:left]
	if left == 0 && cap(b.bytes) > keepRoom {
		b.bytes = nil
	}
}
