package net

import (
	stdnet "net"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/wire/pg"
)

// Guards against answers that come after their clients' deadlines: queries that waited in the buffer, because as many
// as may be were pending, got their whole time anew when they were submitted, and databases were told so.
func TestWaitingQueryKeepsItsDeadline(t *testing.T) {
	const wait, elapsed, waiting = 10 * time.Second, 3 * time.Second, 3
	answer, times := make(chan struct{}), make(chan time.Duration, maxPipelined+waiting)
	timeInQuery := regexp.MustCompile(`d=(\d+)`)
	s, engine, loop := startProxy(t, databaseStub(t, func(conn stdnet.Conn, text string) bool {
		if match := timeInQuery.FindStringSubmatch(text); match != nil {
			milliseconds, _ := strconv.Atoi(match[1])
			times <- time.Duration(milliseconds) * time.Millisecond
			<-answer
		}
		return echoQuery(conn, text)
	}), 8, 1)
	p := dial(t, s)
	in := pg.AppendStartup(nil, "client", "core")
	for i := range maxPipelined + waiting {
		in = pg.AppendQuery(in, strings.Replace(query(string(rune('a'+i))), "d=15000", "d=10000", 1))
	}
	p.conn.Write(in)
	p.readTypes(len(welcome))
	waitUntil(loop, func() bool { return engine.Counters.Received == maxPipelined && len(times) == maxPipelined })
	for range maxPipelined {
		<-times
	}
	advance(s, elapsed)
	close(answer)
	want := strings.Repeat("DCZ", maxPipelined+waiting)
	if types, _ := p.readTypes(len(want)); types != want {
		t.Fatalf("got %q", types)
	}
	for range waiting {
		if left := <-times; left > wait-elapsed {
			t.Errorf("a database was given %s for a query whose client waits for %s more", left, wait-elapsed)
		}
	}
}

// Each message's time counts from when its last byte was read, also if it shares the buffer with others.
func TestArrivalTimes(t *testing.T) {
	var a arrivals
	a.add(10, 1*time.Second)
	a.add(25, 2*time.Second)
	a.add(26, 2*time.Second+arrivalPrecision/2) // recorded with the one before
	a.add(40, 3*time.Second)
	for end, want := range map[int]time.Duration{1: 1 * time.Second, 10: 1 * time.Second, 11: 2 * time.Second, 26: 2 * time.Second, 40: 3 * time.Second} {
		if got := a.of(end); got != want {
			t.Errorf("the message that ends at byte %d arrived at %s, want %s", end, got, want)
		}
	}
	a.discard(11)
	for end, want := range map[int]time.Duration{1: 2 * time.Second, 15: 2 * time.Second, 16: 3 * time.Second, 30: 0} {
		if got := a.of(end); got != want {
			t.Errorf("after a discard, the message that ends at byte %d arrived at %s, want %s", end, got, want)
		}
	}
	a.discard(29)
	if len(a) != 0 {
		t.Errorf("%d arrivals are left of an empty buffer", len(a))
	}
}
