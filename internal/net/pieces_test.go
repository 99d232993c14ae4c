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

// A command of which a part has come is owed an answer: its connection is not closed for being idle, wherever the cut is, in the startup
// message too, and the rest is read and answered.
func TestACommandInPiecesOutlastsTheClose(t *testing.T) {
	s, _, loop := proxy(t, member(t, echo), 8, 1)
	closeIdle := func() int {
		return onLoop(loop, func() int {
			s.Drained()
			return len(s.clients)
		})
	}
	held := func() (n int) {
		for c := range s.clients {
			n += len(c.input.bytes)
		}
		return n
	}
	p := dial(t, s)
	for i, whole := range [][]byte{pg.AppendStartup(nil, "client", "core"), pg.AppendQuery(nil, query("1a"))} {
		want := []string{welcome, "DCZ"}[i]
		for cut := 1; cut < len(whole); cut++ {
			if i == 0 { // each cut of the startup message needs a connection of its own
				p = dial(t, s)
			}
			p.conn.Write(whole[:cut])
			until(loop, func() bool { return held() == cut })
			if n := closeIdle(); n != 1 {
				t.Fatalf("%d clients are left, with %d bytes of message %d read", n, cut, i)
			}
			p.conn.Write(whole[cut:])
			if types, _ := p.said(len(want)); types != want {
				t.Fatalf("cut behind %d bytes of message %d: %q came", cut, i, types)
			}
			if i == 0 && cut < len(whole)-1 { // the last one goes on
				p.conn.Close()
				until(loop, func() bool { return len(s.clients) == 0 })
			}
		}
	}
	closeIdle()
	if types, _ := p.said(1); types != "!" {
		t.Errorf("%q where the idle connection was to end", types)
	}
}

// A client sends many commands at once, more than may be under way, and the server ends in the middle of them: all are answered, in order,
// and the connection ends behind the last.
func TestCommandsSentAtOnceOutlastTheClose(t *testing.T) {
	const commands = 5 * maxPipelined
	answer := make(chan bool)
	s, _, loop := proxy(t, member(t, func(conn stdnet.Conn, text string) bool {
		<-answer
		return echo(conn, text)
	}), 8, 1)
	p := dial(t, s)
	in := pg.AppendStartup(nil, "client", "core")
	for i := range commands {
		in = pg.AppendQuery(in, query(fmt.Sprint(i)))
	}
	p.conn.Write(in)
	p.said(len(welcome))
	until(loop, func() bool { return s.engine.Counters.Received == maxPipelined })
	onLoop(loop, func() bool {
		s.Drain()
		return s.Drained()
	})
	close(answer)
	for i := range commands {
		types, bodies := p.said(3)
		if types != "DCZ" || !strings.Contains(bodies[0], fmt.Sprintf("'%d'", i)) {
			t.Fatalf("to command %d came %q, %q", i, types, bodies)
		}
	}
	until(loop, s.Drained)
	if types, _ := p.said(1); types != "!" {
		t.Errorf("%q where the connection was to end", types)
	}
}

// The time that an attempt tells its database is what is left to the client when it is written, for a further attempt too: what the attempt
// before it and the wait for a connection have taken is no more in it.
func TestTheTimeToldToADatabaseIsWhatIsLeft(t *testing.T) {
	const failsAfter, upAfter, asked = 300 * time.Millisecond, 200 * time.Millisecond, 15 * time.Second // of query's d
	told := make(chan time.Duration, 9)
	var s *Server
	answer := func(conn stdnet.Conn, text string) bool {
		st, err := pg.ParseStatement(text)
		if err != nil {
			return false
		}
		told <- st.Wait
		if len(told) == 2 {
			return echo(conn, text)
		}
		skip(s, failsAfter)
		return false // the connection ends under the request
	}
	up := func() { skip(s, upAfter) }
	s, engine, loop := proxy(t, memberUp(t, up, answer), 8, 1)
	second := memberUp(t, up, answer)
	onLoop(loop, func() bool {
		engine.UpdateList(state.List{Kind: logic.ListDelta, Entries: []state.Entry{{Name: "n", Address: second, State: logic.Ready}}})
		return true
	})
	p := dial(t, s)
	p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")))
	if types, _ := p.said(len(welcome) + 3); types != welcome+"DCZ" {
		t.Fatalf("%q came", types)
	}
	if first, further := <-told, <-told; first > asked-upAfter || further > asked-2*upAfter-failsAfter {
		t.Errorf("of %v the first attempt told %v, the further one %v", asked, first, further)
	}
}
