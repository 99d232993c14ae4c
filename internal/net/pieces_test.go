package net

import (
	"fmt"
	stdnet "net"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

// A client that has sent a part of a command is not closed as idle, wherever the cut is, also in the startup message;
// the rest is read and answered.
func TestPartialCommandSurvivesClose(t *testing.T) {
	s, _, loop := startProxy(t, databaseStub(t, echoQuery), 8, 1)
	closeIdle := func() int {
		return onLoop(loop, func() int {
			s.Drained()
			return len(s.clients)
		})
	}
	p := dial(t, s)
	for i, message := range [][]byte{pg.AppendStartup(nil, "client", "core"), pg.AppendQuery(nil, query("1a"))} {
		want := []string{welcome, "DCZ"}[i]
		for cut := 1; cut < len(message); cut++ {
			if i == 0 { // each cut of the startup message needs its own connection
				p = dial(t, s)
			}
			p.conn.Write(message[:cut])
			waitUntil(loop, func() bool { return bufferedBytes(s) == cut })
			if n := closeIdle(); n != 1 {
				t.Fatalf("%d clients are left, with %d bytes of message %d read", n, cut, i)
			}
			p.conn.Write(message[cut:])
			if types, _ := p.readTypes(len(want)); types != want {
				t.Fatalf("cut after %d bytes of message %d: got %q", cut, i, types)
			}
			if i == 0 && cut < len(message)-1 { // the last connection is reused for the query
				p.conn.Close()
				waitUntil(loop, func() bool { return len(s.clients) == 0 })
			}
		}
	}
	closeIdle()
	if types, _ := p.readTypes(1); types != "!" {
		t.Errorf("got %q, want the end of the idle connection", types)
	}
}

// A client sends more commands at once than may be pending, and the server drains meanwhile: all are answered in
// order, and the connection ends after the last answer.
func TestPipelinedCommandsSurviveDrain(t *testing.T) {
	const commands = 5 * maxPipelined
	answer := make(chan bool)
	s, _, loop := startProxy(t, databaseStub(t, func(conn stdnet.Conn, text string) bool {
		<-answer
		return echoQuery(conn, text)
	}), 8, 1)
	p := dial(t, s)
	in := pg.AppendStartup(nil, "client", "core")
	for i := range commands {
		in = pg.AppendQuery(in, query(fmt.Sprint(i)))
	}
	p.conn.Write(in)
	p.readTypes(len(welcome))
	waitUntil(loop, func() bool { return s.engine.Counters.Received == maxPipelined })
	onLoop(loop, func() bool {
		s.Drain()
		return s.Drained()
	})
	close(answer)
	for i := range commands {
		types, bodies := p.readTypes(3)
		if types != "DCZ" || !strings.Contains(bodies[0], fmt.Sprintf("'%d'", i)) {
			t.Fatalf("command %d got %q, %q", i, types, bodies)
		}
	}
	waitUntil(loop, s.Drained)
	if types, _ := p.readTypes(1); types != "!" {
		t.Errorf("got %q, want the end of the connection", types)
	}
}

// The time limit that an attempt sends to its database is what is left to the client when the attempt is written,
// also for a further attempt: the time that the previous attempt and the wait for a connection took is subtracted.
func TestDatabaseIsToldTheRemainingTime(t *testing.T) {
	const failsAfter, upAfter, asked = 300 * time.Millisecond, 200 * time.Millisecond, 15 * time.Second // the d of query
	timeLimits := make(chan time.Duration, 9)
	var s *Server
	answer := func(conn stdnet.Conn, text string) bool {
		st, err := pg.ParseStatement(text)
		if err != nil {
			return false
		}
		timeLimits <- st.Timeout
		if len(timeLimits) == 2 {
			return echoQuery(conn, text)
		}
		advance(s, failsAfter)
		return false // the connection ends during the request
	}
	up := func() { advance(s, upAfter) }
	s, engine, loop := startProxy(t, databaseStubWithStart(t, up, answer), 8, 1)
	second := databaseStubWithStart(t, up, answer)
	onLoop(loop, func() bool {
		engine.UpdateList(state.List{Kind: logic.ListDelta, Entries: []state.Entry{{Name: "n", Address: second, State: logic.Ready}}})
		return true
	})
	p := dial(t, s)
	p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")))
	if types, _ := p.readTypes(len(welcome) + 3); types != welcome+"DCZ" {
		t.Fatalf("got %q", types)
	}
	if first, further := <-timeLimits, <-timeLimits; first > asked-upAfter || further > asked-2*upAfter-failsAfter {
		t.Errorf("of %v the first attempt sent %v, the further one %v", asked, first, further)
	}
}
