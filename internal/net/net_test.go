package net

import (
	"bytes"
	"fmt"
	"io"
	stdnet "net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/discovery"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

// testTimeout only ends tests that hang; no result depends on it.
const testTimeout = 20 * time.Second

var settings = logic.Config{Tick: time.Millisecond, Classes: []logic.Class{
	{Name: "any", Read: logic.Any, Aim: 10 * time.Second, Limit: 20 * time.Second}}}

type nopWatcher struct{}

func (nopWatcher) Watch(bool) {}
func (nopWatcher) Fetch()     {}

// offsetClock is the system clock with an offset that tests advance.
type offsetClock struct {
	*state.SystemClock
	offset atomic.Int64
}

func (c *offsetClock) Now() time.Duration {
	return c.SystemClock.Now() + time.Duration(c.offset.Load())
}

// advance moves the clock forward and wakes the loop.
func advance(s *Server, d time.Duration) {
	s.clock.(*offsetClock).offset.Add(int64(d))
	s.loop.Post(func() {})
}

// startProxy runs a server on a free port, with one group whose only member is at the given address.
func startProxy(t *testing.T, member string, clients, excess int) (*Server, *state.Engine, *Loop) {
	t.Helper()
	return startProxyWith(t, settings, member, clients, excess)
}

// startProxyWith is startProxy with other settings.
func startProxyWith(t *testing.T, settings logic.Config, member string, clients, excess int) (*Server, *state.Engine, *Loop) {
	t.Helper()
	clock := &offsetClock{SystemClock: state.NewClock()}
	databases := &Databases{ConnectTimeout: testTimeout}
	engine, err := state.New(state.Config{Logic: settings, MaxConnections: 16, ConnectTimeout: testTimeout}, clock, databases)
	if err != nil {
		t.Fatal(err)
	}
	loop := NewLoop(clock, &engine.Deadlines)
	databases.Loop, databases.Counters = loop, &engine.Counters
	s := NewServer(loop, clock, engine, clients, excess, 32<<20)
	s.idleCloseThreshold = clients // each test closes clients for one reason
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	loop.Post(func() {
		engine.Start(nopWatcher{}, state.List{Entries: []state.Entry{{Name: "m", Address: member, State: logic.Ready}}})
	})
	done := make(chan struct{})
	go func() { loop.Run(); close(done) }()
	t.Cleanup(func() {
		loop.Post(func() { s.Drain(); loop.Stop() })
		<-done
	})
	return s, engine, loop
}

// listen accepts connections on a free port and passes each to serve.
func listen(t *testing.T, serve func(conn stdnet.Conn)) (address string) {
	t.Helper()
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return ln.Addr().String()
}

// databaseStub runs a minimal PostgreSQL database that answers queries as the test says.
func databaseStub(t *testing.T, answer func(conn stdnet.Conn, text string) bool) string {
	t.Helper()
	return databaseStubWithStart(t, func() {}, answer)
}

// databaseStubWithStart is a databaseStub that calls up before it accepts a login.
func databaseStubWithStart(t *testing.T, up func(), answer func(conn stdnet.Conn, text string) bool) string {
	t.Helper()
	return listen(t, func(conn stdnet.Conn) {
		peer := &testConn{conn: conn}
		if _, err := peer.next(func(b []byte) (int, error) { _, n, err := pg.NextStartup(b); return n, err }); err != nil {
			return
		}
		up()
		conn.Write(pg.AppendStartupResponse(nil))
		for {
			m, err := peer.message()
			if err != nil {
				return
			}
			text, _ := pg.QueryText(m)
			if len(text) == 0 { // as every database, at once
				if _, err := conn.Write(pg.AppendEmptyQueryResponse(nil)); err != nil {
					return
				}
				continue
			}
			if !answer(conn, string(text)) {
				return
			}
		}
	})
}

func rowAnswer(text string) []byte {
	value := append([]byte{0, 1, 0, 0, byte(len(text) >> 8), byte(len(text))}, text...)
	out := append([]byte{'D', 0, 0, byte((len(value) + 4) >> 8), byte(len(value) + 4)}, value...)
	return pg.AppendReadyForQuery(append(out, "C\x00\x00\x00\x0dSELECT 1\x00"...))
}

func echoQuery(conn stdnet.Conn, text string) bool {
	_, err := conn.Write(rowAnswer(text))
	return err == nil
}

// testConn reads messages from a connection.
type testConn struct {
	conn stdnet.Conn
	buf  []byte
}

func (p *testConn) next(parse func([]byte) (int, error)) ([]byte, error) {
	for {
		n, err := parse(p.buf)
		if err != nil {
			return nil, err
		}
		if n > 0 {
			raw := p.buf[:n]
			p.buf = p.buf[n:]
			return raw, nil
		}
		in := make([]byte, 4096)
		if n, err = p.conn.Read(in); n == 0 {
			return nil, err
		}
		p.buf = append(p.buf, in[:n]...)
	}
}

func (p *testConn) message() (m pg.Message, err error) {
	_, err = p.next(func(b []byte) (n int, err error) { m, n, err = pg.Next(b); return n, err })
	return m, err
}

func dial(t *testing.T, s *Server) *testConn {
	t.Helper()
	conn, err := stdnet.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { conn.Close() })
	return &testConn{conn: conn}
}

// readTypes returns the types of the first n messages, and "!" if the connection ends before.
func (p *testConn) readTypes(n int) (types string, bodies []string) {
	for len(types) < n {
		m, err := p.message()
		if err != nil {
			return types + "!", bodies
		}
		types, bodies = types+string(m.Type), append(bodies, string(m.Body))
	}
	return types, bodies
}

func query(key string) string {
	return fmt.Sprintf("SELECT val FROM state WHERE uid = '%s' /* id=%[1]s,c=any,d=15000,cluster=0 */", key)
}

const welcome = "RSSSSZ"

func TestPipelinedQueriesAreAnsweredInOrder(t *testing.T) {
	s, _, _ := startProxy(t, databaseStub(t, echoQuery), 8, 1)
	in := pg.AppendStartup(nil, "client", "core")
	const queries = 200 // more than may be pending; some are refused, in their order
	for i := range queries {
		if in = pg.AppendQuery(in, query(fmt.Sprint(i))); i%7 == 0 {
			in = pg.AppendQuery(in, "")
		}
	}
	p := dial(t, s)
	go func() {
		for size := 1; len(in) > 0; size = size*5%1021 + 1 {
			n := min(size, len(in))
			p.conn.Write(in[:n])
			in = in[n:]
		}
	}()
	if types, _ := p.readTypes(len(welcome)); types != welcome {
		t.Fatalf("the startup message got %q", types)
	}
	for i := range queries {
		types, bodies := p.readTypes(1)
		if types == "D" {
			if types, _ = p.readTypes(1); types != "C" || !strings.Contains(bodies[0], fmt.Sprintf("'%d'", i)) {
				t.Fatalf("answer %d is %q %q", i, bodies[0], types)
			}
		} else if types != "E" {
			t.Fatalf("answer %d is %q", i, types)
		}
		if i%7 == 0 {
			if types, _ = p.readTypes(3); types != "ZIZ" {
				t.Fatalf("after answer %d: %q", i, types)
			}
		} else if types, _ = p.readTypes(1); types != "Z" {
			t.Fatalf("after answer %d: %q", i, types)
		}
	}
}

// A request with no time left is answered like any other, and its connection stays open.
func TestExpiredRequestIsAnswered(t *testing.T) {
	s, _, _ := startProxy(t, databaseStub(t, echoQuery), 8, 1)
	p := dial(t, s)
	in := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), strings.Replace(query("a"), "d=15000", "d=0", 1))
	p.conn.Write(pg.AppendQuery(in, query("b")))
	if types, bodies := p.readTypes(len(welcome) + 5); types != welcome+"EZDCZ" || !strings.Contains(bodies[6], "C"+pg.CodeTooManyConnections) {
		t.Errorf("%q, %q", types, bodies)
	}
}

// Queries sent before a protocol violation have been accepted: they are answered first, and the final error is
// complete.
func TestDueAnswersPrecedeFinalError(t *testing.T) {
	s, _, _ := startProxy(t, databaseStub(t, echoQuery), 8, 1)
	for _, junk := range [][]byte{{'Q', 0xff, 0xff, 0xff, 0xff}, pg.AppendQuery(nil, "SELECT 1"), {'P', 0, 0, 0, 4},
		pg.AppendQuery(nil, strings.Replace(query("a"), "c=any", "c=unheard", 1))} {
		p := dial(t, s)
		in := append(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("a")), junk...)
		p.conn.Write(append(in, bytes.Repeat([]byte("x"), 1000)...))
		types, bodies := p.readTypes(99)
		if types != welcome+"DCZE!" || !strings.Contains(bodies[len(bodies)-1], "C"+pg.CodeProtocolViolation) {
			t.Errorf("after %q: %q, %q", junk, types, bodies)
		}
	}
	p := dial(t, s)
	p.conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	if types, _ := p.readTypes(99); types != "E!" {
		t.Errorf("garbage instead of a startup message got %q", types)
	}
}

// Clients that asked once and kept their connections took all of them for good: new clients were rejected all day.
func TestIdleAndSilentClientsAreEvicted(t *testing.T) {
	s, _, _ := startProxy(t, databaseStub(t, echoQuery), 4, 1)
	start := pg.AppendStartup(nil, "client", "core")
	ask := pg.AppendQuery(start, "")
	connect := func(in []byte, want string) *testConn {
		t.Helper()
		p := dial(t, s)
		p.conn.Write(in)
		if types, _ := p.readTypes(len(want)); types != want {
			t.Errorf("a client that sent %d bytes got %q, want %q", len(in), types, want)
		}
		return p
	}
	silent := connect(start, welcome) // and sends nothing more
	oldest := connect(ask, welcome+"IZ")
	second := connect(ask, welcome+"IZ")
	third := connect(ask, welcome+"IZ")
	connect(ask, "E!") // nobody has been idle or silent for long enough
	advance(s, limit.MinSilentTime)
	connect(ask, welcome+"IZ")
	advance(s, limit.MinIdleTime)
	second.conn.Write(pg.AppendQuery(nil, "")) // it is no longer idle
	second.readTypes(2)
	connect(ask, welcome+"IZ")
	for name, p := range map[string]*testConn{"silent": silent, "oldest": oldest} {
		if types, _ := p.readTypes(1); types != "!" {
			t.Errorf("the %s client got %q, want the end of its connection", name, types)
		}
	}
	for _, p := range []*testConn{second, third} {
		p.conn.Write(pg.AppendQuery(nil, ""))
		if types, _ := p.readTypes(2); types != "IZ" {
			t.Errorf("a client that may stay got %q", types)
		}
	}
	advance(s, limit.MinIdleTime)
	first := connect(start, welcome)
	connect(start, welcome)
	connect(start, welcome) // hundreds of silent clients leave room for others
	if types, _ := first.readTypes(1); types != "!" {
		t.Errorf("one of too many silent clients got %q", types)
	}
}

// Clients that asked once and stayed were closed only when new ones were over the limit. The load balancer in front
// of the proxies opens only a share of the descriptors, so no new clients came, and requests found no connection.
func TestIdleClientsAreClosedEarly(t *testing.T) {
	s, _, loop := startProxy(t, databaseStub(t, echoQuery), 6, 1)
	loop.Post(func() { s.idleCloseThreshold = 2 })
	ask := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), "")
	var came []*testConn
	for range 3 {
		p := dial(t, s)
		p.conn.Write(ask)
		p.readTypes(len(welcome) + 2)
		came = append(came, p)
	}
	advance(s, limit.MinIdleTime)
	if types, _ := came[0].readTypes(1); types != "!" {
		t.Errorf("one of three, where two may stay, got %q", types)
	}
	for _, p := range came[1:] {
		p.conn.Write(pg.AppendQuery(nil, ""))
		if types, _ := p.readTypes(2); types != "IZ" {
			t.Errorf("one that may stay got %q", types)
		}
	}
}

// A client that sends nothing or an incomplete query is closed after a timeout; one whose request is pending is not.
func TestSilentAndPartialQueriesTimeOut(t *testing.T) {
	asked, answer := make(chan struct{}, 9), make(chan struct{})
	s, _, _ := startProxy(t, databaseStub(t, func(c stdnet.Conn, text string) bool {
		asked <- struct{}{}
		<-answer
		return echoQuery(c, text)
	}), 40, 1)
	start := slices.Clip(pg.AppendStartup(nil, "client", "core"))
	complete := pg.AppendQuery(start, "")
	waits := dial(t, s)
	waits.conn.Write(pg.AppendQuery(start, query("a")))
	waits.readTypes(len(welcome))
	<-asked
	var ends []*testConn
	for _, in := range [][]byte{{}, start[:9], start, complete[:len(complete)-1], append(slices.Clip(complete), 'Q', 0)} {
		p := dial(t, s)
		p.conn.Write(in)
		ends = append(ends, p)
	}
	for seen := 0; seen < 9+5+2; { // until the partial queries have arrived
		got := make(chan int)
		s.loop.Post(func() { got <- bufferedBytes(s) })
		seen = <-got
	}
	advance(s, queryTimeout)
	for i, p := range ends {
		if types, bodies := p.readTypes(99); !strings.HasSuffix(types, "E!") || !strings.Contains(bodies[len(bodies)-1], "C"+pg.CodeProtocolViolation) {
			t.Errorf("client %d got %q", i, types)
		}
	}
	close(answer)
	if types, _ := waits.readTypes(3); types != "DCZ" {
		t.Errorf("the client whose request was pending got %q", types)
	}
}

func TestExcessClientIsRejectedWithAnswer(t *testing.T) {
	s, engine, loop := startProxy(t, databaseStub(t, echoQuery), 1, 4)
	first := dial(t, s)
	start := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), "")
	first.conn.Write(start)
	if types, _ := first.readTypes(len(welcome) + 2); types != welcome+"IZ" {
		t.Fatalf("the first client got %q", types)
	}
	second := dial(t, s)
	second.conn.Write(start)
	if types, bodies := second.readTypes(99); types != "E!" || !strings.Contains(bodies[0], "C"+pg.CodeTooManyConnections) {
		t.Errorf("the second client got %q", types)
	}
	// Its query is counted in its class, even if it arrives a little later: the operators' metrics did not include
	// requests of rejected clients.
	third := dial(t, s)
	third.conn.Write(pg.AppendStartup(nil, "client", "core"))
	third.conn.Write(pg.AppendQuery(nil, query("a")))
	if types, _ := third.readTypes(99); types != "E!" {
		t.Errorf("the third client got %q", types)
	}
	metrics := make(chan string)
	loop.Post(func() { metrics <- string(engine.AppendMetrics(nil)) })
	if got := <-metrics; !strings.Contains(got, "proxy.handled.any.dropped:1|c") {
		t.Errorf("%s", got)
	}
	first.conn.Close() // its connection is freed once the proxy has seen the end
	for {
		p := dial(t, s)
		p.conn.Write(start)
		if types, _ := p.readTypes(len(welcome)); types == welcome {
			break
		}
	}
}

// When connections run out, clients that have stopped half way are closed before those that are still writing: at
// high load 177 of 278 slow queries were cut off in favour of connections that never sent a complete one.
func TestSlowWriterIsNotEvicted(t *testing.T) {
	s, _, loop := startProxy(t, databaseStub(t, echoQuery), 3, 4) // all places are taken by the three that write
	query := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("a"))
	slow := dial(t, s)
	slow.conn.Write(query[:9])
	waitForInput := func(n int, bytes int) { // waits until the proxy has seen n clients and that many bytes of theirs
		for {
			got := make(chan bool)
			loop.Post(func() {
				sum := 0
				for c := range s.clients {
					sum += len(c.input.bytes)
				}
				got <- len(s.clients) == n && sum == bytes
			})
			if <-got {
				return
			}
		}
	}
	waitForInput(1, 9)
	advance(s, 10*time.Millisecond)
	stopped := dial(t, s)
	stopped.conn.Write(query[:9])
	waitForInput(2, 18)
	dial(t, s).conn.Write(query[:9])
	waitForInput(3, 27)
	slow.conn.Write(query[9:12])
	waitForInput(3, 30)
	dial(t, s)
	if _, err := stopped.conn.Read(make([]byte, 1)); err == nil {
		t.Error("the client that stopped half way was not closed")
	}
	slow.conn.Write(query[12:])
	if types, _ := slow.readTypes(len(welcome) + 3); types != welcome+"DCZ" {
		t.Errorf("the slow client got %q", types)
	}
}

// Malformed bytes and a connection that ends without an answer may both follow a request that has run.
func TestBrokenDatabaseFailsTheRequest(t *testing.T) {
	for name, answer := range map[string]func(stdnet.Conn, string) bool{
		"garbage": func(c stdnet.Conn, _ string) bool { c.Write([]byte("\x00\xff\xff\xff\xff nonsense")); return true },
		"closes":  func(stdnet.Conn, string) bool { return false },
		"no row": func(c stdnet.Conn, _ string) bool {
			c.Write(pg.AppendReadyForQuery([]byte("C\x00\x00\x00\x0dSELECT 1\x00")))
			return true
		},
	} {
		s, engine, loop := startProxy(t, databaseStub(t, answer), 8, 1)
		p := dial(t, s)
		p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("a")))
		if types, _ := p.readTypes(len(welcome) + 2); types != welcome+"EZ" {
			t.Errorf("%s: the client got %q", name, types)
		}
		got := make(chan uint64)
		loop.Post(func() { got <- engine.Counters.Reset })
		if n := <-got; n == 0 {
			t.Errorf("%s: no reset was counted", name)
		}
	}
}

// A second copy or garbage after an answer was taken for the answer to the next request on that connection. The first
// answer is valid.
func TestBytesAfterAnswerAreIgnored(t *testing.T) {
	for name, extra := range map[string]func(answer []byte) []byte{
		"a copy":      func(a []byte) []byte { return a },
		"half a copy": func(a []byte) []byte { return a[:len(a)/2] },
		"a byte":      func([]byte) []byte { return []byte("D") },
		"noise":       func([]byte) []byte { return []byte("\x00\xff\xff\xff\xff nonsense") },
	} {
		s, _, _ := startProxy(t, databaseStub(t, func(c stdnet.Conn, text string) bool {
			_, err := c.Write(append(rowAnswer(text), extra(rowAnswer(text))...))
			return err == nil
		}), 8, 1)
		p := dial(t, s)
		p.conn.Write(pg.AppendStartup(nil, "client", "core"))
		p.readTypes(len(welcome))
		for i := range 9 {
			p.conn.Write(pg.AppendQuery(nil, query(fmt.Sprint(i))))
			if types, bodies := p.readTypes(3); types != "DCZ" || !strings.Contains(bodies[0], fmt.Sprintf("'%d'", i)) {
				t.Fatalf("%s: request %d got %q %q", name, i, types, bodies)
			}
		}
	}
}

// A request with the id of another client's open request is an error, which leaves the client's next command alone. Connections beyond the descriptor limit are closed
// at once, unless a silent client can make room.
func TestDuplicateRequestIDAndConnectionBurst(t *testing.T) {
	asked, answer := make(chan struct{}, 2), make(chan struct{})
	s, engine, loop := startProxy(t, databaseStub(t, func(c stdnet.Conn, text string) bool {
		asked <- struct{}{}
		<-answer
		return echoQuery(c, text)
	}), 2, 0)
	start := slices.Clip(pg.AppendStartup(nil, "client", "core"))
	first := dial(t, s)
	first.conn.Write(pg.AppendQuery(start, query("a")))
	<-asked // before that it is silent, and gives way to the second
	second := dial(t, s)
	second.conn.Write(pg.AppendQuery(start, query("b")))
	<-asked
	if types, _ := dial(t, s).readTypes(1); types != "!" {
		t.Errorf("the client over the limit got %q", types)
	}
	second.conn.Close()
	waitUntil(loop, func() bool { return len(s.clients) == 1 })
	third := dial(t, s)
	third.conn.Write(pg.AppendQuery(pg.AppendQuery(start, query("a")), ""))
	if types, bodies := third.readTypes(len(welcome) + 4); types != welcome+"EZIZ" || !strings.Contains(bodies[len(welcome)], "C"+pg.CodeDuplicateObject) {
		t.Errorf("the third client got %q", types)
	}
	third.conn.Close()
	waitUntil(loop, func() bool { return len(s.clients)+s.lingering == 1 })
	silent := dial(t, s)
	silent.conn.Write(start)
	silent.readTypes(len(welcome))
	advance(s, limit.MinSilentTime)
	last := dial(t, s)
	last.conn.Write(start)
	if types, _ := last.readTypes(len(welcome)); types != welcome {
		t.Errorf("the client that came when one was silent got %q", types)
	}
	if types, _ := silent.readTypes(1); types != "!" {
		t.Errorf("the silent client got %q", types)
	}
	close(answer)
	if types, _ := first.readTypes(len(welcome) + 3); types != welcome+"DCZ" {
		t.Errorf("the first client got %q", types)
	}
	if n := onLoop(loop, func() uint64 { return engine.Counters.Clients }); n != 5 {
		t.Errorf("the loop has seen %d clients; one of six was closed for want of a descriptor", n)
	}
}

// An incomplete answer fails the attempt long before the client's deadline.
func TestIncompleteAnswerFailsTheAttempt(t *testing.T) {
	begun := make(chan struct{})
	s, engine, loop := startProxy(t, databaseStub(t, func(c stdnet.Conn, text string) bool {
		c.Write(rowAnswer(text)[:9])
		close(begun)
		return true
	}), 8, 1)
	p := dial(t, s)
	p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("a")))
	<-begun
	if types, _ := p.readTypes(len(welcome) + 2); types != welcome+"EZ" {
		t.Errorf("the client got %q", types)
	}
	got := make(chan uint64)
	loop.Post(func() { got <- engine.Counters.Reset })
	if n := <-got; n != 1 {
		t.Errorf("%d resets", n)
	}
}

// Refused connections, and ones that fail during login, must not remain counted.
func TestFailedConnectionsAreNotCounted(t *testing.T) {
	s, _, loop := startProxy(t, "127.0.0.1:1", 8, 1)
	p := dial(t, s)
	p.conn.Write(pg.AppendStartup(nil, "client", "core"))
	p.readTypes(len(welcome))
	for i := range 40 { // more than the connection limit
		p.conn.Write(pg.AppendQuery(nil, query(fmt.Sprint(i))))
		p.readTypes(2)
	}
	got := make(chan int)
	loop.Post(func() { got <- s.engine.Connections() })
	if n := <-got; n != 0 {
		t.Errorf("%d connections are still counted", n)
	}
}

// A draining proxy must not drop input that was read but not parsed.
func TestDrainWaitsForUnparsedInput(t *testing.T) {
	s, _, loop := startProxy(t, databaseStub(t, echoQuery), 8, 1)
	p := dial(t, s)
	start := pg.AppendStartup(nil, "client", "core")
	p.conn.Write(start)
	p.readTypes(len(welcome))
	half := pg.AppendQuery(nil, "")[:3]
	ask := func() bool {
		got := make(chan bool)
		loop.Post(func() { got <- s.Drained() })
		return <-got
	}
	p.conn.Write(half)
	for seen := false; !seen; { // until the proxy has the partial query
		got := make(chan bool)
		loop.Post(func() {
			for c := range s.clients {
				seen = len(c.input.bytes) == len(half)
			}
			got <- seen
		})
		<-got
	}
	if ask() {
		t.Error("a client with a partial query was closed")
	}
	p.conn.Write(pg.AppendQuery(nil, "")[3:])
	if types, _ := p.readTypes(2); types != "IZ" {
		t.Errorf("its query got %q", types)
	}
	for !ask() {
	}
	if types, _ := p.readTypes(1); types != "!" {
		t.Errorf("the idle client got %q", types)
	}
}

// Many clients, each with half a large query, must not fill the memory: the one that has held its half longest is rejected
// and may retry, and the others go on.
func TestPartialQueriesShareALimit(t *testing.T) {
	s, _, loop := startProxy(t, databaseStub(t, echoQuery), 8, 1)
	set := make(chan struct{})
	loop.Post(func() { s.inputBudget.Total = 30 << 10; close(set) })
	<-set
	start, message := slices.Clip(pg.AppendStartup(nil, "client", "core")), pg.AppendQuery(nil, query(strings.Repeat("x", 11<<10)))
	half := message[:20<<10]
	first, second := dial(t, s), dial(t, s)
	first.conn.Write(append(start, half...))
	waitUntil(loop, func() bool { return bufferedBytes(s) == len(half) })
	second.conn.Write(append(start, half...))
	waitUntil(loop, func() bool { return len(s.memoryWaiters) == 1 })
	advance(s, limit.BufferGrace)
	if types, bodies := first.readTypes(99); types != welcome+"E!" || !strings.Contains(bodies[len(bodies)-1], "C"+pg.CodeTooManyConnections) {
		t.Errorf("the first client got %q", types)
	}
	second.conn.Write(message[len(half):])
	if types, _ := second.readTypes(len(welcome) + 3); types != welcome+"DCZ" {
		t.Errorf("the second client got %q", types)
	}
	second.conn.Close()
	waitUntil(loop, func() bool { return len(s.clients) == 0 })
	if held := onLoop(loop, s.inputBudget.Held); held != 0 {
		t.Errorf("%d bytes count as held at the end", held)
	}
}

// Queries in the buffer of a disconnected client are not submitted.
func TestClosedClientSubmitsNothing(t *testing.T) {
	s, engine, _ := startProxy(t, "127.0.0.1:1", 8, 1)
	c := &client{server: s, phase: phaseClosed, input: buffer{pg.AppendQuery(nil, query("a"))}}
	if c.serveInput(); engine.Counters.Received != 0 || len(c.input.bytes) != 0 {
		t.Errorf("%d requests received, %d bytes left", engine.Counters.Received, len(c.input.bytes))
	}
}

func TestDisconnectAbandonsRequest(t *testing.T) {
	asked := make(chan struct{})
	s, engine, loop := startProxy(t, databaseStub(t, func(c stdnet.Conn, _ string) bool {
		close(asked)
		c.Read(make([]byte, 1)) // until the proxy gives up the attempt
		return false
	}), 8, 1)
	p := dial(t, s)
	p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("a")))
	<-asked
	p.conn.Close()
	for { // the proxy notices when its poller does
		got := make(chan uint64)
		loop.Post(func() { got <- engine.Counters.Abandoned })
		if <-got == 1 {
			break
		}
	}
}

// Responses of the service arrive in pieces, fail, and the list changes; the watch continues after each response.
func TestDiscoveryWatchContinuesAndReportsFailure(t *testing.T) {
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	calls := make(chan string, 9)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		p := &testConn{conn: conn}
		for _, body := range []string{`{"generation":0,"reset":true,"instances":[{"instanceId":"a","lifecycle":"in_service"}]}`,
			`{"generation":5,"reset":false,"instances":[]}`, ""} {
			call, err := p.next(func(b []byte) (int, error) {
				head, _, complete := bytes.Cut(b, []byte("\r\n\r\n"))
				if !complete {
					return 0, nil
				}
				return len(head) + 4, nil
			})
			if err != nil {
				return
			}
			calls <- strings.SplitN(string(call), " ", 3)[1]
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			if body == "" {
				answer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
			}
			for i := range answer {
				conn.Write([]byte(answer[i : i+1]))
			}
		}
		io.Copy(io.Discard, conn)
	}()
	_, engine, loop := startProxy(t, "127.0.0.1:1", 8, 1)
	d := NewDiscovery(loop, state.NewClock(), engine, ln.Addr().String(), discovery.NoGeneration, 0)
	loop.Post(func() { d.Watch(true) })
	for i, want := range []string{"/v1/endpoints", "/v1/endpoints?after=0&wait_ms=3000", "/v1/endpoints?after=5&wait_ms=3000"} {
		if got := <-calls; got != want {
			t.Errorf("call %d is %s, want %s", i, got, want)
		}
	}
	for {
		got := make(chan uint64)
		loop.Post(func() { got <- engine.Counters.ListFailures })
		if <-got == 1 {
			break
		}
	}
}

// A listener that has ended accepts nothing more, also when the next one gets the number of its descriptor: in earlier
// versions its clients were accepted by the server that had ended.
func TestEndedListenerAcceptsNothing(t *testing.T) {
	_, _, loop := startProxy(t, "127.0.0.1:1", 1, 1)
	reused := 0
	for range 50 {
		accepted := make(chan string, 2)
		listenAs := func(name string) *acceptor {
			return onLoop(loop, func() *acceptor {
				a, err := listenOn(loop, "tcp", "127.0.0.1:0", func(conn *socket) { conn.close(); accepted <- name })
				if err != nil {
					t.Error(err)
				}
				return a
			})
		}
		first := listenAs("first")
		onLoop(loop, func() bool { first.close(); return true })
		if _, err := stdnet.Dial("tcp", first.address.String()); err == nil {
			t.Fatal("an ended listener accepts connections")
		}
		second := listenAs("second")
		if second.fd == first.fd {
			reused++
		}
		conn, err := stdnet.Dial("tcp", second.address.String())
		if err != nil {
			t.Fatal(err)
		}
		if name := <-accepted; name != "second" {
			t.Errorf("the connection was accepted by the %s listener", name)
		}
		conn.Close()
		onLoop(loop, func() bool { second.close(); return true })
	}
	if reused == 0 {
		t.Error("no descriptor's number was used again")
	}
}

// bufferedBytes returns the bytes of incomplete messages. It must be called on the loop.
func bufferedBytes(s *Server) (n int) {
	for c := range s.clients {
		n += len(c.input.bytes)
	}
	return n
}
