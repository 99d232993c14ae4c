package net

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/state"
)

// steppedClock is a clock that stands still until it is set.
type steppedClock struct{ now time.Duration }

func (c *steppedClock) Now() time.Duration  { return c.now }
func (c *steppedClock) Unix() time.Duration { return c.now }

// Guards against incident 38 going unseen: what holds the loop is counted and named, and so is a deadline that is run late.
func TestAHeldUpLoopIsCountedAndNamed(t *testing.T) {
	var log bytes.Buffer
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	clock, deadlines, counters, delays := &steppedClock{now: time.Hour}, &state.Deadlines{}, &state.Counters{}, &state.Delays{}
	loop := NewLoop(clock, deadlines)
	loop.Measure(counters, delays)
	var due state.Deadline
	deadlines.Set(&due, clock.now+10*time.Millisecond, loop.Stop)
	loop.Post(func() { clock.now += slowTurn - 1 })
	loop.Post(func() { clock.now += 2 * slowTurn })
	loop.Run()
	if counters.SlowTurns != 1 || delays.LongestTurn != 2*slowTurn {
		t.Errorf("%d slow turns, the longest %v; want 1 of %v", counters.SlowTurns, delays.LongestTurn, 2*slowTurn)
	}
	if want := 3*slowTurn - 1 - 10*time.Millisecond; delays.LatestDeadline != want {
		t.Errorf("the latest deadline was run %v behind its time, want %v", delays.LatestDeadline, want)
	}
	if n := strings.Count(log.String(), "by=havenproxy/internal/net.TestAHeldUpLoopIsCountedAndNamed"); n != 1 {
		t.Errorf("%d log lines name the function:\n%s", n, log.String())
	}
}
