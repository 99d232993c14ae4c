package net

import (
	"log/slog"
	"reflect"
	"runtime"
	"time"

	"havenproxy/internal/state"
)

const (
	// slowTurn is the time that one function may hold the loop before it counts as slow. Whatever holds the loop holds up all requests.
	slowTurn = 50 * time.Millisecond
	// slowTurnLogEvery is the time between two log lines of slow turns, at least.
	slowTurnLogEvery = time.Second
)

// turns measures how long the functions that the loop runs hold it, and how far behind its time a deadline is run.
type turns struct {
	counters *state.Counters // nil = nothing is counted
	delays   *state.Delays
	loggedAt time.Duration
}

// ended notes a function that held the loop from one time to another.
func (t *turns) ended(f any, from, to time.Duration) {
	if t.counters == nil || to-from < slowTurn {
		return
	}
	t.counters.SlowTurns++
	t.delays.LongestTurn = max(t.delays.LongestTurn, to-from)
	if t.loggedAt > 0 && to-t.loggedAt < slowTurnLogEvery {
		return
	}
	t.loggedAt = to
	slog.Warn("loop held up", "by", functionName(f), "took", to-from, "slow_turns", t.counters.SlowTurns)
}

// late notes how far behind its time the first due deadline is run.
func (t *turns) late(due, now time.Duration) {
	if t.counters != nil {
		t.delays.LongestDeadlineDelay = max(t.delays.LongestDeadlineDelay, now-due)
	}
}

// functionName gives the name that the compiler has for a function.
func functionName(f any) string {
	v := reflect.ValueOf(f)
	if v.Kind() != reflect.Func || v.IsNil() {
		return "unknown"
	}
	return runtime.FuncForPC(v.Pointer()).Name()
}
