package net

import (
	"log/slog"
	"reflect"
	"runtime"
	"time"

	"havenproxy/internal/state"
)

const (
	// slowCallback is the time that one callback may hold the loop before it counts as slow. Whatever holds the loop
	// delays all requests.
	slowCallback = 50 * time.Millisecond
	// slowCallbackLogInterval is the minimum time between two log lines about slow callbacks.
	slowCallbackLogInterval = time.Second
)

// callbackStats measures how long the loop's callbacks run and how late deadlines are run.
type callbackStats struct {
	counters *state.Counters // nil = nothing is counted
	delays   *state.Delays
	loggedAt time.Duration

	description func() slog.Value // of who may be the cause; nil = it is not known
}

// recordCallback records a callback that held the loop between two points in time.
func (t *callbackStats) recordCallback(f any, from, to time.Duration) {
	if t.counters == nil || to-from < slowCallback {
		return
	}
	t.counters.SlowTurns++
	t.delays.LongestTurn = max(t.delays.LongestTurn, to-from)
	if t.loggedAt > 0 && to-t.loggedAt < slowCallbackLogInterval {
		return
	}
	t.loggedAt = to
	fields := []any{"by", functionName(f), "took", to - from, "slow_turns", t.counters.SlowTurns}
	if t.description != nil {
		fields = append(fields, "busiest", t.description())
	}
	slog.Warn("loop held up", fields...)
}

// recordDeadlineDelay records how late the first due deadline is run.
func (t *callbackStats) recordDeadlineDelay(due, now time.Duration) {
	if t.counters != nil {
		t.delays.LongestDeadlineDelay = max(t.delays.LongestDeadlineDelay, now-due)
	}
}

// functionName returns the compiler's name for a function.
func functionName(f any) string {
	v := reflect.ValueOf(f)
	if v.Kind() != reflect.Func || v.IsNil() {
		return "unknown"
	}
	return runtime.FuncForPC(v.Pointer()).Name()
}
