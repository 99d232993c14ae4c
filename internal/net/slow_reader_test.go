package net

import (
	"bytes"
	"fmt"
	"io"
	stdnet "net"
	"strings"
	"syscall"
	"testing"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
)

const (
	smallReceiveBuffer = 32 << 10
	largeAnswerBytes   = 60 << 10
)

// largeAnswer is a database's answer to a query, with the query's name at the start of its value.
func largeAnswer(text string) []byte {
	text, _, _ = strings.Cut(text, "/*") // the time in the comment changes on the way
	return rowAnswer(text + strings.Repeat("x", largeAnswerBytes-len(text)))
}

func answerLarge(conn stdnet.Conn, text string) bool {
	_, err := conn.Write(largeAnswer(text))
	return err == nil
}

// dialSmall connects a client whose kernel takes few bytes ahead of it, and sends a startup message and queries.
func dialSmall(t *testing.T, s *Server, queries int) (*testConn, []byte) {
	t.Helper()
	p := dial(t, s)
	p.conn.(*stdnet.TCPConn).SetReadBuffer(smallReceiveBuffer)
	p.conn.Write(pg.AppendStartup(nil, "client", "core"))
	p.readTypes(len(welcome))
	var in, want []byte
	for i := range queries {
		text := query(fmt.Sprintf("%02d", i))
		in = pg.AppendQuery(in, text)
		want = pg.AppendResult(want, answerBody(text))
	}
	p.conn.Write(in)
	return p, want
}

// answerBody returns the part of a large answer that is passed on.
func answerBody(text string) []byte {
	var reply pg.Reply
	answer := largeAnswer(text)
	for len(answer) > 0 {
		m, n, err := pg.Next(answer)
		if n == 0 || err != nil || reply.Add(m) != nil {
			panic("the stub's answer is malformed")
		}
		answer = answer[n:]
	}
	return reply.Body
}

// Guards against answers lost by a client that reads slowly (issue 49): it sends fifteen queries at once, and their
// answers, more than its socket holds, are all there before it reads the first byte. It gets each, in order, and other
// clients are served meanwhile.
func TestSlowReaderGetsAllPipelinedAnswers(t *testing.T) {
	const queries = 15
	s, engine, loop := startProxy(t, databaseStub(t, answerLarge), 8, 1)
	p, want := dialSmall(t, s, queries)
	waitUntil(loop, func() bool { return engine.Counters.Served+engine.Counters.Abandoned == queries })
	other := dial(t, s)
	other.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), ""))
	if types, _ := other.readTypes(len(welcome) + 2); types != welcome+"IZ" {
		t.Errorf("another client got %q meanwhile", types)
	}
	got := make([]byte, len(want))
	if n, err := io.ReadFull(p.conn, got); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("%d of %d bytes of answers arrived: %v", n, len(want), err)
	}
	p.conn.Write(pg.AppendQuery(nil, ""))
	if types, _ := p.readTypes(2); types != "IZ" {
		t.Errorf("the connection got %q behind the answers", types)
	}
}

// Slow is not gone: a client that takes some bytes within limit.StallTimeout keeps its connection, although its socket has no
// room for more meanwhile; one that takes none for that long is closed, and its answers count as dropped.
func TestOnlyStalledReaderIsClosed(t *testing.T) {
	const queries = 15
	s, engine, loop := startProxy(t, databaseStub(t, answerLarge), 8, 1)
	p, _ := dialSmall(t, s, queries)
	waitUntil(loop, func() bool { return engine.Counters.Served == queries && s.answers.Unsent > 0 })
	if metrics := onLoop(loop, func() string { return string(s.AppendMetrics(nil)) }); !strings.Contains(metrics, "proxy.clients_to_write_to:1|g") {
		t.Errorf("the metrics don't show the client: %s", metrics)
	}
	output := onLoop(loop, func() *writeQueue {
		for c := range s.clients {
			return c.output
		}
		return nil
	})
	for range 3 { // half as long again as a stalled client may stay, in all
		advance(s, limit.StallTimeout/2)
		before := onLoop(loop, func() int { return s.answers.Unsent })
		io.ReadFull(p.conn, make([]byte, largeAnswerBytes))
		waitUntil(loop, func() bool { return s.answers.Unsent < before || output.closed })
	}
	if onLoop(loop, func() bool { return output.closed }) {
		t.Fatal("the connection was closed while the client was reading")
	}
	advance(s, limit.StallTimeout)
	waitUntil(loop, func() bool { return len(s.clients) == 0 })
	if dropped, held := engine.Counters.AnswersDropped, s.answers.Unsent; dropped == 0 || held != 0 {
		t.Errorf("%d answers count as dropped, %d bytes as held", dropped, held)
	}
}

// canTakeQuery reports whether a query waits and may be taken. It must be called on the loop.
func canTakeQuery(s *Server) bool {
	for c := range s.clients {
		if c.hasInput() && c.mayRead() {
			return true
		}
	}
	return false
}

// What waits is bounded by what is taken on: while a client does not read its answers, no more of its queries are
// taken, and while all answers take much memory, each client gets one at a time. Nothing is thrown away.
func TestUnreadAnswersStopFurtherQueries(t *testing.T) {
	const queries = 40
	for name, total := range map[string]int{"of the client": 32 << 20, "of all clients": 1} {
		s, engine, loop := startProxy(t, databaseStub(t, answerLarge), 8, 1)
		onLoop(loop, func() int { s.answers.Total = total; return 0 })
		p, want := dialSmall(t, s, queries)
		var taken int
		waitUntil(loop, func() bool { // until an answer waits, no request is under way, and no query can be taken
			taken = int(engine.Counters.Received)
			return s.answers.Unsent > 0 && taken == int(engine.Counters.Served) && !canTakeQuery(s)
		})
		if held := onLoop(loop, func() int { return s.answers.Unsent }); taken == queries || held > maxUnsent+maxPipelined*(largeAnswerBytes+1<<10) {
			t.Errorf("limit %s: %d of %d queries were taken, %d bytes are held", name, taken, queries, held)
		}
		got := make([]byte, len(want))
		if n, err := io.ReadFull(p.conn, got); err != nil || !bytes.Equal(got, want) {
			t.Errorf("limit %s: %d of %d bytes of answers arrived: %v", name, n, len(want), err)
		}
		if held := onLoop(loop, func() int { return s.answers.Unsent }); held != 0 {
			t.Errorf("limit %s: %d bytes count as held at the end", name, held)
		}
	}
}

// Queries that have been taken count towards the limit before their answers come, by the size of earlier answers: a crowd
// that asks for many large values at once, and may not read them, gets them one at a time.
func TestExpectedAnswersStopFurtherQueries(t *testing.T) {
	const clients, queries = 3, 10
	answer := make(chan struct{})
	s, engine, loop := startProxy(t, databaseStub(t, func(conn stdnet.Conn, text string) bool {
		if !strings.Contains(text, "'first'") {
			<-answer
		}
		return answerLarge(conn, text)
	}), 8, 1)
	first := dial(t, s)
	first.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("first")))
	first.readTypes(len(welcome) + 3)
	onLoop(loop, func() int { s.answers.Total = 4 * largeAnswerBytes; return 0 })
	var conns []*testConn
	var wants [][]byte
	for i := range clients {
		p := dial(t, s)
		in := pg.AppendStartup(nil, "client", "core")
		var want []byte
		for k := range queries {
			text := query(fmt.Sprintf("%d-%d", i, k))
			in, want = pg.AppendQuery(in, text), pg.AppendResult(want, answerBody(text))
		}
		p.conn.Write(in)
		p.readTypes(len(welcome))
		conns, wants = append(conns, p), append(wants, want)
	}
	waitUntil(loop, func() bool { return engine.Counters.Received >= 1+clients })
	if taken := onLoop(loop, func() int { return s.answers.Pending }); taken > 4+clients {
		t.Errorf("%d queries were taken, with room for the answers of 4 and one for each client", taken)
	}
	close(answer)
	for i, p := range conns {
		got := make([]byte, len(wants[i]))
		if n, err := io.ReadFull(p.conn, got); err != nil || !bytes.Equal(got, wants[i]) {
			t.Errorf("client %d: %d of %d bytes of answers arrived: %v", i, n, len(got), err)
		}
	}
	if left := onLoop(loop, func() int { return s.answers.Pending }); left != 0 {
		t.Errorf("%d queries count as pending at the end", left)
	}
}

// Whatever ends a connection, what the client is owed before goes out first: behind answers that wait, a protocol
// violation is answered, the end of the server waits, and a client that says that it goes gets what is complete.
func TestCloseWaitsForUnsentAnswers(t *testing.T) {
	const queries = 15
	ends := map[string]struct {
		end  func(p *testConn, s *Server)
		last string // types of the messages behind the answers
	}{
		"violation":   {func(p *testConn, _ *Server) { p.conn.Write([]byte("?\x00\x00\x00\x04")) }, "E"},
		"termination": {func(p *testConn, _ *Server) { p.conn.Write([]byte("X\x00\x00\x00\x04")) }, ""},
		"drain": {func(_ *testConn, s *Server) {
			if onLoop(s.loop, func() bool { s.Drain(); return s.Drained() }) {
				t.Error("the server is drained, and answers are due")
			}
		}, ""},
		"eviction": {func(_ *testConn, s *Server) {
			onLoop(s.loop, func() bool {
				s.idleCloseThreshold = 0
				s.closeIdleClients()
				return true
			})
		}, ""},
	}
	for name, c := range ends {
		s, engine, loop := startProxy(t, databaseStub(t, answerLarge), 8, 1)
		p, want := dialSmall(t, s, queries)
		waitUntil(loop, func() bool { return engine.Counters.Served == queries && s.answers.Unsent > 0 })
		c.end(p, s)
		got := make([]byte, len(want))
		if n, err := io.ReadFull(p.conn, got); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: %d of %d bytes of answers arrived: %v", name, n, len(want), err)
			continue
		}
		if name == "eviction" {
			continue
		}
		if types, _ := p.readTypes(len(c.last) + 1); types != c.last+"!" {
			t.Errorf("%s: %q behind the answers, want %q and the end", name, types, c.last)
		}
	}
}

// A client whose connection is closed as idle while its machine still takes the last answers gets them whole, also if
// it sends something meanwhile: its connection is read until it has them.
func TestIdleCloseWaitsForAnswersInTransit(t *testing.T) {
	const queries = 6 // all in the kernel's buffers
	s, engine, loop := startProxy(t, databaseStub(t, answerLarge), 8, 1)
	p, want := dialSmall(t, s, queries)
	waitUntil(loop, func() bool { return engine.Counters.Served == queries && s.answers.Unsent == 0 })
	onLoop(loop, func() bool { s.Drain(); return s.Drained() })
	waitUntil(loop, func() bool { return s.lingering == 1 })
	advance(s, 2*maxLinger)
	waitUntil(loop, func() bool { s.loop.deadlines.Run(s.clock.Now()); return true })
	if onLoop(loop, func() int { return s.lingering }) != 1 {
		t.Error("the connection was closed while its client was reading")
	}
	p.conn.Write(pg.AppendQuery(nil, ""))
	got := make([]byte, len(want))
	if n, err := io.ReadFull(p.conn, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d of %d bytes of answers arrived: %v", n, len(want), err)
	}
}

// databaseThatNeverReads accepts logins, takes few bytes behind them, and closes its connections when end is closed.
func databaseThatNeverReads(t *testing.T, end <-chan struct{}) (address string) {
	t.Helper()
	return listen(t, func(conn stdnet.Conn) {
		conn.(*stdnet.TCPConn).SetReadBuffer(smallReceiveBuffer)
		peer := &testConn{conn: conn}
		peer.next(func(b []byte) (int, error) { _, n, err := pg.NextStartup(b); return n, err })
		conn.Write(pg.AppendStartupResponse(nil))
		<-end
	})
}

// A database that does not read does not hold up the loop, and a command whose last byte it has not taken when its
// connection ends has not run.
func TestDatabaseThatDoesNotReadBlocksNobody(t *testing.T) {
	end := make(chan struct{})
	address := databaseThatNeverReads(t, end)
	_, engine, loop := startProxy(t, "127.0.0.1:1", 4, 4)
	events := &listenerStub{make(chan string, 4)}
	var db *database
	loop.Post(func() { db = engine.Opener().Open(address, 0, events).(*database) })
	if got := <-events.events; got != "up" {
		t.Fatalf("the connection is %s", got)
	}
	written := onLoop(loop, func() bool {
		db.awaitingAnswer = true
		if err := db.write(make([]byte, 8<<20)); err != nil {
			t.Error(err)
		}
		return db.CommandWritten()
	})
	if written {
		t.Error("the command counts as written")
	}
	close(end)
	if got := <-events.events; got != "reply" {
		t.Errorf("the connection's end is reported as %q, want the reply that nothing has run", got)
	}
}

// TestAnswersAreDeliveredUntilTheyAreTaken guards against a stop that cuts off answers which a slow client is still reading.
func TestAnswersAreDeliveredUntilTheyAreTaken(t *testing.T) {
	const queries = 12 // more than the kernel's buffers take
	s, engine, loop := startProxy(t, databaseStub(t, answerLarge), 8, 1)
	p, want := dialSmall(t, s, queries)
	waitUntil(loop, func() bool { return s.answers.Unsent > 0 && engine.OutstandingAnswers() == 0 })
	if !onLoop(loop, s.Delivering) {
		t.Error("answers that are not taken count as delivered")
	}
	got := make([]byte, len(want))
	if n, err := io.ReadFull(p.conn, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d of %d bytes of answers arrived: %v", n, len(want), err)
	}
	waitUntil(loop, func() bool { return !s.Delivering() })
}

// failingSocket is a connection without a descriptor whose writes fail as they are told.
type failingSocket struct {
	netpoll.Connection
	results []error
	taken   int
}

func (f *failingSocket) AddCloseCallback(netpoll.CloseCallback) error { return nil }

func (f *failingSocket) IsActive() bool { return true }

func (f *failingSocket) Write(b []byte) (int, error) {
	if len(f.results) > 0 {
		err := f.results[0]
		f.results = f.results[1:]
		return 0, err
	}
	f.taken += len(b)
	return len(b), nil
}

// The kernel lacks memory for a moment: the bytes are kept, written after a pause, and the connection stays.
func TestWriteShortageIsWaitedOut(t *testing.T) {
	clock := &offsetClock{SystemClock: state.NewClock()}
	loop := NewLoop(clock, new(state.Deadlines))
	defer loop.writePoller.close()
	socket := &failingSocket{results: []error{syscall.ENOBUFS, syscall.EINTR, syscall.ENOMEM, syscall.EAGAIN}}
	q := newWriteQueue(loop, socket, nil, func(err error) { t.Errorf("the write failed: %v", err) })
	if err := q.write([]byte("answer")); err != nil || q.len() == 0 {
		t.Fatalf("%d bytes are kept, error %v", q.len(), err)
	}
	for range 4 {
		clock.offset.Add(int64(writeCheckInterval))
		loop.deadlines.Run(clock.Now())
	}
	if socket.taken != len("answer") || q.len() != 0 {
		t.Errorf("%d bytes were written, %d are kept", socket.taken, q.len())
	}
}

// A connection whose end the kernel knows and the loop does not yet takes no command: nothing of it can run.
func TestEndedConnectionTakesNoCommand(t *testing.T) {
	end := make(chan struct{})
	address := databaseThatNeverReads(t, end)
	_, engine, loop := startProxy(t, "127.0.0.1:1", 4, 4)
	events := &listenerStub{make(chan string, 4)}
	var db *database
	loop.Post(func() { db = engine.Opener().Open(address, 0, events).(*database) })
	if got := <-events.events; got != "up" {
		t.Fatalf("the connection is %s", got)
	}
	err := onLoop(loop, func() error {
		close(end)
		for !db.socket.gone() { // until the end has arrived; the loop is held meanwhile
		}
		if !db.socket.active() {
			t.Error("the loop knows of the end")
		}
		return db.write([]byte("command"))
	})
	if err == nil {
		t.Error("the command was written")
	}
}
