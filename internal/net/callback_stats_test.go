package net

import (
	"bytes"
	"log/slog"
	stdnet "net"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
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

// The time that a request waits while the loop is busy counts towards the time that its client waits: the poller notes when
// its bytes arrived.
func TestArrivalTimeIsThePollers(t *testing.T) {
	const held = 3 * time.Second
	told := make(chan time.Duration, 1)
	s, _, loop := startProxy(t, databaseStub(t, func(conn stdnet.Conn, text string) bool {
		if st, err := pg.ParseStatement(text); err == nil {
			told <- st.Timeout
		}
		return echoQuery(conn, text)
	}), 8, 1)
	p := dial(t, s)
	p.conn.Write(pg.AppendStartup(nil, "client", "core"))
	p.readTypes(len(welcome))
	release := holdLoop(loop)
	p.conn.Write(pg.AppendQuery(nil, query("1a")))
	for pendingEvents(loop) == 0 {
	}
	advance(s, held)
	release()
	if types, _ := p.readTypes(3); types != "DCZ" {
		t.Fatalf("got %q", types)
	}
	if left := <-told; left > 15*time.Second-held { // the d of query
		t.Errorf("the database was given %v, the query had waited for %v of 15s", left, held)
	}
}

// pendingEvents returns the number of descriptors with events that the loop has not taken.
func pendingEvents(l *Loop) int {
	l.readPoller.mu.Lock()
	defer l.readPoller.mu.Unlock()
	return len(l.readPoller.pending)
}
