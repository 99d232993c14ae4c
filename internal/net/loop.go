// Package net serves the proxy's sockets: listeners, clients, databases, discovery and the other members of the tier.
// Each connection is an object with callbacks that all run on one goroutine, the loop's. The package makes no routing
// decisions.
package net

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/state"
)

// readSize is the number of bytes that are read from a connection at a time.
const readSize = 32 << 10

// Loop is an event loop: one goroutine, in Run, that owns the engine and the state of all connections. It reads those of
// clients and to databases itself. Those to discovery, Consul, planners and other proxies are read by netpoll's poller,
// which posts its callbacks to the loop, so that they run one at a time.
type Loop struct {
	clock     state.Clock
	deadlines *state.Deadlines

	mu      sync.Mutex
	queue   []func()
	wake    chan struct{}
	stopped bool

	stats       callbackStats
	watchdog    *watchdog
	readPoller  *eventPoller
	writePoller *eventPoller // of the same sockets; separate, as each descriptor is in one of the kernel's sets once
	readBuffer  [readSize]byte
}

// NewLoop returns a loop that is not running yet, and makes netpoll post its callbacks to it. netpoll has one runner in a process, so
// the newest loop receives the callbacks.
func NewLoop(clock state.Clock, deadlines *state.Deadlines) *Loop {
	l := &Loop{clock: clock, deadlines: deadlines, wake: make(chan struct{}, 1), watchdog: newWatchdog()}
	l.readPoller, l.writePoller = &eventPoller{loop: l}, &eventPoller{loop: l}
	useRunner(func(_ context.Context, callback func()) { l.Post(callback) })
	return l
}

// Measure makes the loop count slow callbacks and record the longest delays. It must be called before Run.
func (l *Loop) Measure(counters *state.Counters, delays *state.Delays) {
	l.stats.counters, l.stats.delays = counters, delays
}

// pollers is the number of netpoll's pollers; its default grows with GOMAXPROCS.
const pollers = 1

// useRunner makes netpoll pass its callbacks to run, and limits it to one poller; other settings keep their defaults.
func useRunner(run func(context.Context, func())) {
	if err := netpoll.Configure(netpoll.Config{Runner: run, PollerNum: pollers}); err != nil {
		panic(err) // netpoll refuses only a number of pollers below one or an unknown load balancing method
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

// maxDeadlineDelay is how late a deadline may be run in favour of callbacks posted before it, so that answers that
// are already queued are handled before the timeouts that they prevent.
const maxDeadlineDelay = 20 * time.Millisecond

// Run runs posted functions and due deadlines until Stop is called.
func (l *Loop) Run() {
	go l.watchdog.watch(watchdogInterval, logStuckCallback)
	defer close(l.watchdog.stop)
	defer l.closePollers()
	timer := time.NewTimer(time.Hour)
	var work []func()
	for !l.stopped {
		l.mu.Lock()
		work, l.queue = l.queue, work[:0]
		l.mu.Unlock()
		before := l.clock.Now()
		for i, f := range work {
			l.watchdog.begin()
			f()
			l.watchdog.end()
			now := l.clock.Now()
			l.stats.recordCallback(f, before, now)
			work[i], before = nil, now
			if due, ok := l.deadlines.Next(); ok && now-due >= maxDeadlineDelay && !l.stopped {
				l.runDeadlines(now)
			}
		}
		l.runDeadlines(before)
		if l.stopped || len(work) > 0 {
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

// runDeadlines runs the deadlines that are due.
func (l *Loop) runDeadlines(now time.Duration) {
	due, ok := l.deadlines.Next()
	if !ok || due > now {
		return
	}
	l.stats.recordDeadlineDelay(due, now)
	l.watchdog.begin()
	l.deadlines.Run(now)
	l.watchdog.end()
	l.stats.recordCallback(l.deadlines.Run, now, l.clock.Now())
}

// closePollers ends the pollers' goroutines.
func (l *Loop) closePollers() {
	l.readPoller.close()
	l.writePoller.close()
}

// Stop makes Run return. It must be called on the loop.
func (l *Loop) Stop() { l.stopped = true }

// buffer is the input buffer of a connection. It grows as needed; bytes that remain after complete messages have been
// removed move to its front.
type buffer struct{ bytes []byte }

// maxIdleBuffer is the buffer capacity that a connection keeps between messages.
const maxIdleBuffer = 16 << 10

// fill appends all bytes that netpoll has read.
func (b *buffer) fill(r netpoll.Reader) error {
	n := r.Len()
	in, err := r.Next(n)
	if err != nil {
		return err
	}
	b.bytes = append(b.bytes, in...)
	return r.Release()
}

// discard drops the first n bytes.
func (b *buffer) discard(n int) {
	left := copy(b.bytes, b.bytes[n:])
	b.bytes = b.bytes[:left]
	if left == 0 && cap(b.bytes) > maxIdleBuffer {
		b.bytes = nil
	}
}
