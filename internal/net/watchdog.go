package net

import (
	"bytes"
	"log/slog"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	watchdogInterval = time.Second // between two looks at the loop
	maxStackDump     = 1 << 20     // bytes of all goroutines' stacks that are searched for the loop's
)

// watchdog logs, from a goroutine of its own, that a callback of the loop has not returned for watchdogInterval or
// longer, and where it is. callbackStats can't: it measures a callback when it has returned.
type watchdog struct {
	callbacks atomic.Uint64 // callbacks begun
	running   atomic.Bool   // the last of them has not returned
	stop      chan struct{}
}

func newWatchdog() *watchdog { return &watchdog{stop: make(chan struct{})} }

func (w *watchdog) begin() {
	w.callbacks.Add(1)
	w.running.Store(true)
}

func (w *watchdog) end() { w.running.Store(false) }

// watch looks at the loop each interval until stop is closed. A callback that is found in two looks in a row is
// reported once.
func (w *watchdog) watch(interval time.Duration, report func(stack []byte)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var seen, reported uint64
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		current := w.callbacks.Load()
		if !w.running.Load() {
			seen = 0
			continue
		}
		if current == seen && current != reported {
			reported = current
			report(loopStack())
		}
		seen = current
	}
}

// logStuckCallback logs a callback that has not returned.
func logStuckCallback(stack []byte) {
	slog.Error("loop stuck: a callback has not returned", "for_at_least", watchdogInterval, "stack", string(stack))
}

// loopStack returns the stack of the goroutine that runs a loop.
func loopStack() []byte {
	dump := make([]byte, maxStackDump)
	dump = dump[:runtime.Stack(dump, true)]
	for stack := range bytes.SplitSeq(dump, []byte("\n\n")) {
		if bytes.Contains(stack, []byte("net.(*Loop).Run(")) {
			return stack
		}
	}
	return nil
}
