package net

import (
	"bytes"
	"io"
	stdnet "net"
	"testing"
	"time"

	"havenproxy/internal/limit"
	"havenproxy/internal/wire/pg"
)

// Guards against a hang for good (issue 49): a new client is accepted while the queries of all silent clients wait in
// the loop's queue behind it, so that none of them may be evicted to make room. All are answered.
func TestNewClientAmidUnhandledFirstQueries(t *testing.T) {
	const clients = 44
	s, _, loop := startProxy(t, databaseStub(t, echoQuery), clients, 1)
	var silent []*testConn
	for range clients/limit.MaxSilentFraction + 1 {
		p := dial(t, s)
		p.conn.Write(pg.AppendStartup(nil, "client", "core"))
		p.readTypes(len(welcome))
		silent = append(silent, p)
	}
	advance(s, limit.MinSilentTime)
	release := holdLoop(loop)
	newcomer, err := stdnet.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer newcomer.Close()
	for pendingEvents(loop) < 1 {
	}
	for _, p := range silent {
		p.conn.Write(pg.AppendQuery(nil, ""))
	}
	for pendingEvents(loop) < 1+len(silent) {
	}
	release()
	for i, p := range silent {
		if types, _ := p.readTypes(2); types != "IZ" {
			t.Errorf("client %d of %d got %q, want its answer", i, len(silent), types)
		}
	}
	newcomer.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), ""))
	if types, _ := (&testConn{conn: newcomer}).readTypes(len(welcome) + 2); types != welcome+"IZ" {
		t.Errorf("the new client got %q", types)
	}
}

// Guards against a protocol error instead of an answer after a hold-up: a client's query has been read in time, and
// the timer of its first query is run before the query is handled. Both the first query and the rest of a later one.
func TestQueryReadInTimeIsNotTimedOut(t *testing.T) {
	s, _, loop := startProxy(t, databaseStub(t, echoQuery), 8, 1)
	silent, partial := dial(t, s), dial(t, s)
	start, message := pg.AppendStartup(nil, "client", "core"), pg.AppendQuery(nil, query("1a"))
	silent.conn.Write(start)
	silent.readTypes(len(welcome))
	partial.conn.Write(append(pg.AppendQuery(start, ""), message[:9]...))
	partial.readTypes(len(welcome) + 2)
	waitUntil(loop, func() bool { // the timer for the rest of the query runs
		for c := range s.clients {
			if c.partialQuery {
				return true
			}
		}
		return false
	})
	release := holdLoop(loop)
	silent.conn.Write(pg.AppendQuery(nil, ""))
	partial.conn.Write(message[9:])
	for pendingEvents(loop) < 2 {
	}
	advance(s, queryTimeout+maxDeadlineDelay)
	release()
	if types, _ := silent.readTypes(2); types != "IZ" {
		t.Errorf("the silent client got %q for its first query", types)
	}
	if types, _ := partial.readTypes(2); types != "DC" {
		t.Errorf("the client with half a query got %q", types)
	}
}

// TestQueryReadAndNotHandledIsAnswered guards against a client that is closed without an answer because its turn ended between its startup message
// and its query: the query had been read and counted neither as arrived nor as handled, so the client was evicted as
// silent when another one connected, or called malformed when its timer ran out.
func TestQueryReadAndNotHandledIsAnswered(t *testing.T) {
	const clients = 44
	const encryptionRequests = 16 // as many messages as one turn handles
	for name, crossing := range map[string]func(s *Server, c *client){
		"another client connects": func(s *Server, _ *client) {
			s.clock.(*offsetClock).offset.Add(int64(limit.MinSilentTime))
			s.makeRoom()
		},
		"its timer runs out": func(_ *Server, c *client) { c.queryTimedOut() },
	} {
		t.Run(name, func(t *testing.T) {
			s, engine, loop := startProxy(t, "127.0.0.1:1", clients, 1)
			in := bytes.Repeat([]byte{0, 0, 0, 8, 4, 210, 22, 47}, encryptionRequests)
			in = pg.AppendQuery(pg.AppendStartup(in, "client", "core"), "")
			var conns []*testConn
			for range clients/limit.MaxSilentFraction + 1 {
				conns = append(conns, dial(t, s))
			}
			waitUntil(loop, func() bool { return len(s.clients) == len(conns) })
			release := holdLoop(loop)
			for _, p := range conns {
				p.conn.Write(in)
			}
			for pendingEvents(loop) < len(conns) {
			}
			loop.Post(func() { // behind the events, before the first round
				var waiting []*client
				for s.inputQueue.Len() > 0 {
					c, turns := s.inputQueue.Pop()
					s.inputQueue.EndTurn(turns, 0)
					waiting = append(waiting, c)
				}
				for _, c := range waiting { // one turn for each
					if c.serveInput() {
						s.scheduleInput(c)
					}
				}
				for _, c := range waiting {
					crossing(s, c)
				}
			})
			release()
			want := string(bytes.Repeat([]byte("N"), encryptionRequests))
			for i, p := range conns {
				refusals := make([]byte, encryptionRequests)
				if _, err := io.ReadFull(p.conn, refusals); err != nil || string(refusals) != want {
					t.Fatalf("client %d: %q, %v", i, refusals, err)
				}
				if types, _ := p.readTypes(len(welcome) + 2); types != welcome+"IZ" {
					t.Errorf("client %d got %q", i, types)
				}
			}
			if n := onLoop(loop, func() uint64 { return engine.Counters.ClientsEvicted + engine.Counters.Malformed }); n > 0 {
				t.Errorf("%d clients were evicted or called malformed", n)
			}
		})
	}
}

// TestClientAboutToAskIsNotEvicted guards against clients that write slowly, in many small pieces, at the cost of others: each piece put its client
// behind all others in the order of eviction, so that one that had only connected and not asked yet was closed first.
func TestClientAboutToAskIsNotEvicted(t *testing.T) {
	const clients = 11
	start, message := pg.AppendStartup(nil, "client", "core"), pg.AppendQuery(nil, query("1a"))
	for name, wantEvicted := range map[string]uint64{"pieces are read": 1, "pieces have just arrived": 0} {
		t.Run(name, func(t *testing.T) {
			s, engine, loop := startProxy(t, "127.0.0.1:1", clients, 1)
			connect := func() *testConn {
				p := dial(t, s)
				p.conn.Write(start)
				p.readTypes(len(welcome))
				return p
			}
			var slow []*testConn
			for range clients - 1 {
				p := connect()
				p.conn.Write(message[:9])
				slow = append(slow, p)
			}
			asking := connect()
			for _, p := range slow {
				p.conn.Write(message[9:12])
			}
			waitUntil(loop, func() bool { return bufferedBytes(s) == len(slow)*12 })
			release := func() {}
			if wantEvicted == 0 {
				release = holdLoop(loop)
			}
			newcomer := dial(t, s)
			if wantEvicted == 0 {
				for pendingEvents(loop) < 1 {
				}
				for _, p := range slow {
					p.conn.Write(message[12:15])
				}
				for pendingEvents(loop) < 1+len(slow) {
				}
			}
			release()
			wantNewcomer := welcome + "IZ"
			if wantEvicted == 0 { // nobody has made room for it
				wantNewcomer = "E!"
			}
			newcomer.conn.Write(pg.AppendQuery(start, ""))
			if types, _ := newcomer.readTypes(len(wantNewcomer)); types != wantNewcomer {
				t.Errorf("the new client got %q", types)
			}
			asking.conn.Write(pg.AppendQuery(nil, ""))
			if types, _ := asking.readTypes(2); types != "IZ" {
				t.Errorf("the client that was about to ask got %q", types)
			}
			if n := onLoop(loop, func() uint64 { return engine.Counters.ClientsEvicted }); n != wantEvicted {
				t.Errorf("%d clients were evicted, want %d", n, wantEvicted)
			}
		})
	}
}

// TestSlowFirstQueriesAreAnswered guards against clients that are closed half way through their first query although nobody needs their
// places: of 300 that wrote in pieces, with 1,024 descriptors, 127 got no answer, since a quarter of the places was kept from silent clients.
func TestSlowFirstQueriesAreAnswered(t *testing.T) {
	const clients = 12
	for name, pause := range map[string]time.Duration{"pieces in quick succession": limit.MinSilentTime / 5, "pauses between pieces": 2 * limit.MinSilentTime} {
		t.Run(name, func(t *testing.T) {
			s, engine, loop := startProxy(t, databaseStub(t, echoQuery), clients, 1)
			message := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), "")
			const first = 4 // bytes of the query that come behind the last but one piece
			var slow []*testConn
			for range clients - 1 {
				slow = append(slow, dial(t, s))
			}
			waitUntil(loop, func() bool { return len(s.clients) == len(slow) })
			sent := 0
			for _, end := range []int{7, len(message) - first, len(message) - 1} {
				for _, p := range slow {
					p.conn.Write(message[sent:end])
				}
				sent = end
				waitUntil(loop, func() bool { return s.silent.Len() == len(slow) && unreadBytes(s) == 0 })
				advance(s, pause)
				newcomer := dial(t, s) // makes the server look for clients that give way
				newcomer.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), ""))
				newcomer.readTypes(len(welcome) + 2)
				newcomer.conn.Close()
				waitUntil(loop, func() bool { return len(s.clients) <= len(slow) })
			}
			for i, p := range slow {
				p.conn.Write(message[sent:])
				if types, _ := p.readTypes(len(welcome) + 2); types != welcome+"IZ" {
					t.Errorf("slow client %d got %q", i, types)
				}
			}
			if n := onLoop(loop, func() uint64 { return engine.Counters.ClientsEvicted }); n > 0 {
				t.Errorf("%d clients were evicted", n)
			}
		})
	}
}

// TestEvictionLooksAreBounded guards against a new connection for which the kernel is asked about each silent client, all of which have sent
// something: beside a storm of connections that held the loop for over a second.
func TestEvictionLooksAreBounded(t *testing.T) {
	const clients = 5 * maxEvictionLooks
	s, _, loop := startProxy(t, "127.0.0.1:1", clients, 1)
	var conns []*testConn
	for range clients {
		conns = append(conns, dial(t, s))
	}
	waitUntil(loop, func() bool { return len(s.clients) == clients })
	release := holdLoop(loop)
	for _, p := range conns {
		p.conn.Write(pg.AppendStartup(nil, "client", "core"))
	}
	for pendingEvents(loop) < clients {
	}
	looked := make(chan int, 1)
	loop.Post(func() { // behind the events, before the first round
		s.clock.(*offsetClock).offset.Add(int64(limit.MinSilentTime))
		now := s.clock.Now()
		s.makeRoom()
		n := 0
		for c := range s.clients {
			if c.since >= now {
				n++
			}
		}
		looked <- n
	})
	release()
	if n := <-looked; n == 0 || n > maxEvictionLooks {
		t.Errorf("%d clients were looked at, want %d at most", n, maxEvictionLooks)
	}
}

// unreadBytes returns the number of bytes that clients have sent and the server has not read.
func unreadBytes(s *Server) (n int) {
	for c := range s.clients {
		n += c.socket.unread()
	}
	return n
}

// A client that is silent after its startup message may be evicted before its machine has acknowledged the welcome; one
// that is still reading an answer may not, however long ago it asked.
func TestReadingClientIsNotEvicted(t *testing.T) {
	const queries = 6 // their answers fit into the kernel's buffers
	s, engine, loop := startProxy(t, databaseStub(t, answerLarge), 8, 1)
	p, want := dialSmall(t, s, queries)
	waitUntil(loop, func() bool { return engine.Counters.Served == queries && s.answers.Unsent == 0 })
	advance(s, 2*limit.MinIdleTime)
	evicted := onLoop(loop, func() uint64 {
		s.idleCloseThreshold = 0
		s.closeIdleClients()
		return engine.Counters.ClientsEvicted
	})
	if evicted > 0 {
		t.Error("a client that reads its answers was evicted")
	}
	got := make([]byte, len(want))
	if n, err := io.ReadFull(p.conn, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d of %d bytes of answers arrived: %v", n, len(want), err)
	}
	advance(s, limit.MinIdleTime)
	if types, _ := p.readTypes(1); types != "!" {
		t.Errorf("the client that has read all got %q", types)
	}
}
