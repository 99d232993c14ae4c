package net

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/state"
)

// Guards against incident 38 going unnoticed: a callback that holds the loop up is counted and named in the log, and
// so is the delay of a deadline.
func TestSlowCallbackIsCountedAndNamed(t *testing.T) {
	var log bytes.Buffer
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	clock, deadlines, counters, delays := &manualClock{now: time.Hour}, &state.Deadlines{}, &state.Counters{}, &state.Delays{}
	loop := NewLoop(clock, deadlines)
	loop.Measure(counters, delays)
	var due state.Deadline
	deadlines.Set(&due, clock.now+10*time.Millisecond, loop.Stop)
	loop.Post(func() { clock.now += slowCallback - 1 })
	loop.Post(func() { clock.now += 2 * slowCallback })
	loop.Run()
	if counters.SlowTurns != 1 || delays.LongestTurn != 2*slowCallback {
		t.Errorf("%d slow turns, the longest %v; want 1 of %v", counters.SlowTurns, delays.LongestTurn, 2*slowCallback)
	}
	if want := slowCallback - 1 - 10*time.Millisecond; delays.LongestDeadlineDelay != want {
		t.Errorf("the latest deadline was run %v late, want %v", delays.LongestDeadlineDelay, want)
	}
	if n := strings.Count(log.String(), "by=havenproxy/internal/net.TestSlowCallbackIsCountedAndNamed"); n != 1 {
		t.Errorf("%d log lines name the function:\n%s", n, log.String())
	}
}

// Guards against incident 38: a deadline, and with it a request's answer, waited for all callbacks in the loop's
// queue. A late deadline is run before the callbacks queued after it.
func TestLateDeadlineRunsBeforeQueuedCallbacks(t *testing.T) {
	clock, deadlines := &manualClock{now: time.Hour}, &state.Deadlines{}
	loop := NewLoop(clock, deadlines)
	var due state.Deadline
	var order []string
	deadlines.Set(&due, clock.now+time.Millisecond, func() { order = append(order, "deadline") })
	loop.Post(func() { clock.now += maxDeadlineDelay; order = append(order, "early") })
	loop.Post(func() { clock.now += maxDeadlineDelay; order = append(order, "slow") })
	loop.Post(func() { order = append(order, "behind"); loop.Stop() })
	loop.Run()
	if got := strings.Join(order, " "); got != "early slow deadline behind" {
		t.Errorf("run in the order %s", got)
	}
}

// The time that a request waits in the loop's queue counts towards the time that its client waits.
func TestReceivedAtIsTheReadTime(t *testing.T) {
	clock, deadlines := &manualClock{now: time.Hour}, &state.Deadlines{}
	loop := NewLoop(clock, deadlines)
	var received, within time.Duration
	loop.Post(func() { clock.now += time.Second })
	loop.receive(func() { received = loop.ReceivedAt() })
	loop.Post(func() { within = loop.ReceivedAt(); loop.Stop() })
	loop.Run()
	if received != time.Hour || within != 0 {
		t.Errorf("received at %v, want %v; elsewhere %v, want 0", received, time.Hour, within)
	}
}
