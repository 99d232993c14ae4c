// Package net serves the proxy's sockets: listeners, clients, databases, discovery and the other members of the tier.
// Each connection is an object with callbacks that all run on one goroutine, the loop's. The package makes no routing
// decisions.
package net

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/limit"
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

	work []func() // posted functions that are being run
	next int      // the first of work that has not been run

	stats    callbackStats
	watchdog *watchdog
	// Each descriptor is in one of the kernel's sets once. Answers of databases have a set of their own: somebody waits for them, and they
	// don't queue behind the events of clients, which are many where clients come and go.
	databasePoller *eventPoller
	readPoller     *eventPoller // input of clients, and new connections
	writePoller    *eventPoller // sockets of both kinds that are to be writable
	readBuffer     [readSize]byte
}

// NewLoop returns a loop that is not running yet, and makes netpoll post its callbacks to it. netpoll has one runner in a process, so
// the newest loop receives the callbacks.
func NewLoop(clock state.Clock, deadlines *state.Deadlines) *Loop {
	l := &Loop{clock: clock, deadlines: deadlines, wake: make(chan struct{}, 1), watchdog: newWatchdog()}
	l.databasePoller, l.readPoller, l.writePoller = &eventPoller{loop: l}, &eventPoller{loop: l}, &eventPoller{loop: l}
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

const (
	// maxDeadlineDelay is how late a deadline may be run in favour of callbacks posted before it, so that answers that
	// are already queued are handled before the timeouts that they prevent.
	maxDeadlineDelay = 20 * time.Millisecond
	// yieldInterval is how long the loop works on before other goroutines may use its processor. Go's scheduler would take it
	// away only after 10 ms, and what they have to pass to the loop waits so long.
	yieldInterval = time.Millisecond
)

// Run runs posted functions, the handlers of sockets that have events, and due deadlines until Stop is called. While there is work it asks
// the kernel for events itself, between rounds and without waiting: a goroutine that waits for them would get the only processor too late.
func (l *Loop) Run() {
	go l.watchdog.watch(watchdogInterval, logStuckCallback)
	defer close(l.watchdog.stop)
	defer l.closePollers()
	timer := time.NewTimer(time.Hour)
	yielded := l.clock.Now()
	for !l.stopped {
		if !l.runRound() {
			l.wait(timer)
			yielded = l.clock.Now()
			continue
		}
		if now := l.clock.Now(); now-yielded >= yieldInterval {
			runtime.Gosched()
			yielded = now
		}
	}
	for now := l.clock.Now(); l.next < len(l.work); { // what was posted before Stop
		now = l.runCallback(now)
	}
}

// runRound asks the kernel for events, then runs what has been posted, for limit.RoundTime at most, and due deadlines. The rest of what has
// been posted is left for the next round. It returns whether there was anything to do.
func (l *Loop) runRound() (worked bool) {
	l.databasePoller.poll()
	l.readPoller.poll()
	l.writePoller.poll()
	l.takePosted()
	worked = l.next < len(l.work)
	now := l.clock.Now()
	for until := now + limit.RoundTime; l.next < len(l.work); {
		now = l.runCallback(now)
		if now >= until {
			break
		}
	}
	due, ok := l.deadlines.Next()
	if l.stopped || !ok || due > now || l.next < len(l.work) && now-due < maxDeadlineDelay {
		return worked
	}
	l.runDeadlines(due, now)
	return true
}

// takePosted takes what has been posted, once everything that was taken before has been run.
func (l *Loop) takePosted() {
	if l.next < len(l.work) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.work, l.queue, l.next = l.queue, l.work[:0], 0
}

// runCallback runs the next callback and returns the time behind it.
func (l *Loop) runCallback(before time.Duration) (now time.Duration) {
	f := l.work[l.next]
	l.work[l.next] = nil
	l.next++
	l.watchdog.begin()
	f()
	l.watchdog.end()
	now = l.clock.Now()
	l.stats.recordCallback(f, before, now)
	return now
}

// wait waits until something is posted or a deadline is due.
func (l *Loop) wait(timer *time.Timer) {
	if at, ok := l.deadlines.Next(); ok {
		timer.Reset(max(at-l.clock.Now(), 0))
	}
	select {
	case <-l.wake:
	case <-timer.C:
	}
}

// runDeadlines runs the deadlines that are due, for limit.RoundTime at most; the others follow in the next round.
func (l *Loop) runDeadlines(due, now time.Duration) {
	l.stats.recordDeadlineDelay(due, now)
	l.watchdog.begin()
	l.deadlines.RunFor(l.clock, limit.RoundTime)
	l.watchdog.end()
	l.stats.recordCallback(l.deadlines.RunFor, now, l.clock.Now())
}

// closePollers ends the pollers' goroutines.
func (l *Loop) closePollers() {
	l.databasePoller.close()
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
