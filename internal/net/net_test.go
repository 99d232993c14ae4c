package net

import (
	"bytes"
	"fmt"
	"io"
	stdnet "net"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/discovery"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

// patience is only there to end a test that hangs; no verdict depends on it.
const patience = 20 * time.Second

var settings = logic.Config{Tick: time.Millisecond, Classes: []logic.Class{
	{Name: "any", Read: logic.Any, Aim: 10 * time.Second, Limit: 20 * time.Second}}}

type noWatch struct{}

func (noWatch) Watch(bool) {}
func (noWatch) Fetch()     {}

// skipClock is the system's clock, which a test may put forward.
type skipClock struct {
	*state.SystemClock
	skipped atomic.Int64
}

func (c *skipClock) Now() time.Duration {
	return c.SystemClock.Now() + time.Duration(c.skipped.Load())
}

// skip lets time pass, and the loop see what that brings about.
func skip(s *Server, d time.Duration) {
	s.clock.(*skipClock).skipped.Add(int64(d))
	s.loop.Post(func() {})
}

// proxy runs a server on a port of its own, with one group whose only member is at the given address.
func proxy(t *testing.T, member string, clients, excess int) (*Server, *state.Engine, *Loop) {
	t.Helper()
	return proxyWith(t, settings, member, clients, excess)
}

// proxyWith does so under other settings.
func proxyWith(t *testing.T, settings logic.Config, member string, clients, excess int) (*Server, *state.Engine, *Loop) {
	t.Helper()
	clock := &skipClock{SystemClock: state.NewClock()}
	databases := &Databases{ConnectTimeout: patience}
	engine, err := state.New(state.Config{Logic: settings, MaxConnections: 16, ConnectTimeout: patience}, clock, databases)
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
		engine.Start(noWatch{}, state.List{Entries: []state.Entry{{Name: "m", Address: member, State: logic.Ready}}})
	})
	done := make(chan struct{})
	go func() { loop.Run(); close(done) }()
	t.Cleanup(func() {
		loop.Post(func() { s.Drain(); loop.Stop() })
		<-done
	})
	return s, engine, loop
}

// listen serves each connection to a port of its own.
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

// member is a database of a few lines: it answers each query with its own text, or as the test says.
func member(t *testing.T, answer func(conn stdnet.Conn, text string) bool) string {
	t.Helper()
	return memberUp(t, func() {}, answer)
}

// memberUp is a member that calls up before it lets the proxy in.
func memberUp(t *testing.T, up func(), answer func(conn stdnet.Conn, text string) bool) string {
	t.Helper()
	return listen(t, func(conn stdnet.Conn) {
		peer := &peer{conn: conn}
		if _, err := peer.next(func(b []byte) (int, error) { _, n, err := pg.NextOpening(b); return n, err }); err != nil {
			return
		}
		up()
		conn.Write(pg.AppendWelcome(nil))
		for {
			m, err := peer.message()
			if err != nil {
				return
			}
			text, _ := pg.QueryText(m)
			if !answer(conn, string(text)) {
				return
			}
		}
	})
}

func row(text string) []byte {
	value := append([]byte{0, 1, 0, 0, byte(len(text) >> 8), byte(len(text))}, text...)
	out := append([]byte{'D', 0, 0, byte((len(value) + 4) >> 8), byte(len(value) + 4)}, value...)
	return pg.AppendReady(append(out, "C\x00\x00\x00\x0dSELECT 1\x00"...))
}

func echo(conn stdnet.Conn, text string) bool {
	_, err := conn.Write(row(text))
	return err == nil
}

// peer reads messages from a connection.
type peer struct {
	conn stdnet.Conn
	buf  []byte
}

func (p *peer) next(parse func([]byte) (int, error)) ([]byte, error) {
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

func (p *peer) message() (m pg.Message, err error) {
	_, err = p.next(func(b []byte) (n int, err error) { m, n, err = pg.Next(b); return n, err })
	return m, err
}

func dial(t *testing.T, s *Server) *peer {
	t.Helper()
	conn, err := stdnet.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(patience))
	t.Cleanup(func() { conn.Close() })
	return &peer{conn: conn}
}

// said gives the types of the messages up to the end of the connection, or the first n.
func (p *peer) said(n int) (types string, bodies []string) {
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

func TestPipelinedQueriesAreAnsweredInOrderInAnyCuts(t *testing.T) {
	s, _, _ := proxy(t, member(t, echo), 8, 1)
	in := pg.AppendStartup(nil, "client", "core")
	const queries = 200 // more than may be under way; some are refused, in their place
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
	if types, _ := p.said(len(welcome)); types != welcome {
		t.Fatalf("the start was answered by %q", types)
	}
	for i := range queries {
		types, bodies := p.said(1)
		if types == "D" {
			if types, _ = p.said(1); types != "C" || !strings.Contains(bodies[0], fmt.Sprintf("'%d'", i)) {
				t.Fatalf("answer %d is %q %q", i, bodies[0], types)
			}
		} else if types != "E" {
			t.Fatalf("answer %d is %q", i, types)
		}
		if i%7 == 0 {
			if types, _ = p.said(3); types != "ZIZ" {
				t.Fatalf("behind answer %d: %q", i, types)
			}
		} else if types, _ = p.said(1); types != "Z" {
			t.Fatalf("behind answer %d: %q", i, types)
		}
	}
}

// A request with no time left is answered like any other, and its connection stays.
func TestNoTimeLeftIsAnsweredNotTakenForMalformed(t *testing.T) {
	s, _, _ := proxy(t, member(t, echo), 8, 1)
	p := dial(t, s)
	in := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), strings.Replace(query("a"), "d=15000", "d=0", 1))
	p.conn.Write(pg.AppendQuery(in, query("b")))
	if types, bodies := p.said(len(welcome) + 5); types != welcome+"EZDCZ" || !strings.Contains(bodies[6], "C"+pg.CodeTooMany) {
		t.Errorf("%q, %q", types, bodies)
	}
}

// What was asked before a client broke the protocol has been taken: it is answered first, and the last word
// is whole.
func TestAnswersDueComeBeforeTheLastWord(t *testing.T) {
	s, _, _ := proxy(t, member(t, echo), 8, 1)
	for _, junk := range [][]byte{{'Q', 0xff, 0xff, 0xff, 0xff}, pg.AppendQuery(nil, "SELECT 1"), {'P', 0, 0, 0, 4},
		pg.AppendQuery(nil, strings.Replace(query("a"), "c=any", "c=unheard", 1))} {
		p := dial(t, s)
		in := append(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("a")), junk...)
		p.conn.Write(append(in, bytes.Repeat([]byte("x"), 1000)...))
		types, bodies := p.said(99)
		if types != welcome+"DCZE!" || !strings.Contains(bodies[len(bodies)-1], "C"+pg.CodeProtocol) {
			t.Errorf("after %q: %q, %q", junk, types, bodies)
		}
	}
	p := dial(t, s)
	p.conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	if types, _ := p.said(99); types != "E!" {
		t.Errorf("garbage for a start was answered by %q", types)
	}
}

// Clients that ask once and keep their connection took all places for good: new ones were turned away all day.
func TestIdleAndSilentClientsMakeRoom(t *testing.T) {
	s, _, _ := proxy(t, member(t, echo), 4, 1)
	start := pg.AppendStartup(nil, "client", "core")
	ask := pg.AppendQuery(start, "")
	comes := func(in []byte, want string) *peer {
		t.Helper()
		p := dial(t, s)
		p.conn.Write(in)
		if types, _ := p.said(len(want)); types != want {
			t.Errorf("a client that sent %d bytes got %q, want %q", len(in), types, want)
		}
		return p
	}
	silent := comes(start, welcome) // and nothing behind it
	oldest := comes(ask, welcome+"IZ")
	second := comes(ask, welcome+"IZ")
	third := comes(ask, welcome+"IZ")
	comes(ask, "E!") // nobody has been idle or silent for long enough
	skip(s, minSilentTime)
	comes(ask, welcome+"IZ")
	skip(s, minIdleTime)
	second.conn.Write(pg.AppendQuery(nil, "")) // it isn't idle any more
	second.said(2)
	comes(ask, welcome+"IZ")
	for name, p := range map[string]*peer{"silent": silent, "oldest": oldest} {
		if types, _ := p.said(1); types != "!" {
			t.Errorf("the %s client got %q, want its end", name, types)
		}
	}
	for _, p := range []*peer{second, third} {
		p.conn.Write(pg.AppendQuery(nil, ""))
		if types, _ := p.said(2); types != "IZ" {
			t.Errorf("a client that had a place got %q", types)
		}
	}
	skip(s, minIdleTime)
	first := comes(start, welcome)
	comes(start, welcome)
	comes(start, welcome) // hundreds that stay silent leave room for those that don't
	if types, _ := first.said(1); types != "!" {
		t.Errorf("one of too many silent clients got %q", types)
	}
}

// Clients that ask once and stay were closed only when newcomers found no place. What stands before the proxies
// opens no more than a share of the descriptors: nobody came, and requests found no connection.
func TestIdleClientsAreClosedBeforeThereIsNeed(t *testing.T) {
	s, _, loop := proxy(t, member(t, echo), 6, 1)
	loop.Post(func() { s.idleCloseThreshold = 2 })
	ask := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), "")
	var came []*peer
	for range 3 {
		p := dial(t, s)
		p.conn.Write(ask)
		p.said(len(welcome) + 2)
		came = append(came, p)
	}
	skip(s, minIdleTime)
	if types, _ := came[0].said(1); types != "!" {
		t.Errorf("one of three, where two may stay, got %q", types)
	}
	for _, p := range came[1:] {
		p.conn.Write(pg.AppendQuery(nil, ""))
		if types, _ := p.said(2); types != "IZ" {
			t.Errorf("one that may stay got %q", types)
		}
	}
}

// A client that says nothing, or half of something, is not waited for; one whose request is under way is.
func TestSilentAndHalfSentClientsAreEndedInTime(t *testing.T) {
	asked, answer := make(chan struct{}, 9), make(chan struct{})
	s, _, _ := proxy(t, member(t, func(c stdnet.Conn, text string) bool {
		asked <- struct{}{}
		<-answer
		return echo(c, text)
	}), 40, 1)
	start := slices.Clip(pg.AppendStartup(nil, "client", "core"))
	whole := pg.AppendQuery(start, "")
	waits := dial(t, s)
	waits.conn.Write(pg.AppendQuery(start, query("a")))
	waits.said(len(welcome))
	<-asked
	var ends []*peer
	for _, in := range [][]byte{{}, start[:9], start, whole[:len(whole)-1], append(slices.Clip(whole), 'Q', 0)} {
		p := dial(t, s)
		p.conn.Write(in)
		ends = append(ends, p)
	}
	for seen := 0; seen < 9+5+2; { // until the halves have come
		got := make(chan int)
		s.loop.Post(func() { got <- s.buffered })
		seen = <-got
	}
	skip(s, queryTimeout)
	for i, p := range ends {
		if types, bodies := p.said(99); !strings.HasSuffix(types, "E!") || !strings.Contains(bodies[len(bodies)-1], "C"+pg.CodeProtocol) {
			t.Errorf("client %d got %q", i, types)
		}
	}
	close(answer)
	if types, _ := waits.said(3); types != "DCZ" {
		t.Errorf("the client whose request was under way got %q", types)
	}
}

func TestExcessClientIsTurnedAwayWithAWholeAnswer(t *testing.T) {
	s, engine, loop := proxy(t, member(t, echo), 1, 4)
	first := dial(t, s)
	start := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), "")
	first.conn.Write(start)
	if types, _ := first.said(len(welcome) + 2); types != welcome+"IZ" {
		t.Fatalf("the first client got %q", types)
	}
	second := dial(t, s)
	second.conn.Write(start)
	if types, bodies := second.said(99); types != "E!" || !strings.Contains(bodies[0], "C"+pg.CodeTooMany) {
		t.Errorf("the second client got %q", types)
	}
	// Its query is counted by its class, also where it comes a little behind: operators' figures told of none that were refused at the door.
	third := dial(t, s)
	third.conn.Write(pg.AppendStartup(nil, "client", "core"))
	third.conn.Write(pg.AppendQuery(nil, query("a")))
	if types, _ := third.said(99); types != "E!" {
		t.Errorf("the third client got %q", types)
	}
	figures := make(chan string)
	loop.Post(func() { figures <- string(engine.AppendMetrics(nil)) })
	if got := <-figures; !strings.Contains(got, "proxy.handled.any.dropped:1|c") {
		t.Errorf("%s", got)
	}
	first.conn.Close() // its place is free once the proxy has seen that
	for {
		p := dial(t, s)
		p.conn.Write(start)
		if types, _ := p.said(len(welcome)); types == welcome {
			break
		}
	}
}

// For want of room those are closed that have stopped half way, before those that go on writing: on a day of crowds 177 of 278 slow queries
// were cut off in favour of connections that never sent a whole one.
func TestWhoGoesOnWritingIsKept(t *testing.T) {
	s, _, loop := proxy(t, member(t, echo), 8, 4)
	query := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("a"))
	slow := dial(t, s)
	slow.conn.Write(query[:9])
	wait := func(n int, bytes int) { // until the proxy has seen so many clients and so many bytes of theirs
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
	wait(1, 9)
	skip(s, 10*time.Millisecond)
	stopped := dial(t, s)
	stopped.conn.Write(query[:9])
	wait(2, 18)
	dial(t, s).conn.Write(query[:9])
	wait(3, 27)
	slow.conn.Write(query[9:12])
	wait(3, 30)
	dial(t, s)
	if _, err := stopped.conn.Read(make([]byte, 1)); err == nil {
		t.Error("the one that has stopped is kept")
	}
	slow.conn.Write(query[12:])
	if types, _ := slow.said(len(welcome) + 3); types != welcome+"DCZ" {
		t.Errorf("the slow one got %q", types)
	}
}

// Broken bytes and a connection that ends without an answer may both follow a request that has run.
func TestBrokenDatabaseIsAFailedRequestNotACrash(t *testing.T) {
	for name, answer := range map[string]func(stdnet.Conn, string) bool{
		"garbage": func(c stdnet.Conn, _ string) bool { c.Write([]byte("\x00\xff\xff\xff\xff nonsense")); return true },
		"closes":  func(stdnet.Conn, string) bool { return false },
		"no row": func(c stdnet.Conn, _ string) bool {
			c.Write(pg.AppendReady([]byte("C\x00\x00\x00\x0dSELECT 1\x00")))
			return true
		},
	} {
		s, engine, loop := proxy(t, member(t, answer), 8, 1)
		p := dial(t, s)
		p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("a")))
		if types, _ := p.said(len(welcome) + 2); types != welcome+"EZ" {
			t.Errorf("%s: the client got %q", name, types)
		}
		got := make(chan uint64)
		loop.Post(func() { got <- engine.Counters.Reset })
		if n := <-got; n == 0 {
			t.Errorf("%s: no reset was counted", name)
		}
	}
}

// A second copy or noise behind an answer was taken for the answer to the next request on that connection. The
// answer in front counts.
func TestWhatStandsBehindAnAnswerIsNobodys(t *testing.T) {
	for name, behind := range map[string]func(answer []byte) []byte{
		"a copy":      func(a []byte) []byte { return a },
		"half a copy": func(a []byte) []byte { return a[:len(a)/2] },
		"a byte":      func([]byte) []byte { return []byte("D") },
		"noise":       func([]byte) []byte { return []byte("\x00\xff\xff\xff\xff nonsense") },
	} {
		s, _, _ := proxy(t, member(t, func(c stdnet.Conn, text string) bool {
			_, err := c.Write(append(row(text), behind(row(text))...))
			return err == nil
		}), 8, 1)
		p := dial(t, s)
		p.conn.Write(pg.AppendStartup(nil, "client", "core"))
		p.said(len(welcome))
		for i := range 9 {
			p.conn.Write(pg.AppendQuery(nil, query(fmt.Sprint(i))))
			if types, bodies := p.said(3); types != "DCZ" || !strings.Contains(bodies[0], fmt.Sprintf("'%d'", i)) {
				t.Fatalf("%s: request %d got %q %q", name, i, types, bodies)
			}
		}
	}
}

// The id of another client's open request is an error to who comes second. What there is no descriptor for is
// closed before the loop hears of it.
func TestOpenIDsAndBurstsOfClients(t *testing.T) {
	asked, answer := make(chan struct{}), make(chan struct{})
	s, engine, loop := proxy(t, member(t, func(c stdnet.Conn, text string) bool {
		close(asked)
		<-answer
		return echo(c, text)
	}), 2, 0)
	in := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("a"))
	first := dial(t, s)
	first.conn.Write(in)
	<-asked
	second := dial(t, s)
	second.conn.Write(pg.AppendStartup(nil, "client", "core"))
	second.said(len(welcome))
	if types, _ := dial(t, s).said(1); types != "!" {
		t.Errorf("one too many got %q", types)
	}
	skip(s, minSilentTime) // the one that is closed for want of a descriptor lets the loop close the silent one
	for {
		p := dial(t, s)
		p.conn.Write(pg.AppendStartup(nil, "client", "core"))
		if types, _ := p.said(len(welcome)); types == welcome {
			second = p
			break
		}
	}
	second.conn.Write(pg.AppendQuery(nil, query("a")))
	if types, bodies := second.said(1); types != "E" || !strings.Contains(bodies[len(bodies)-1], "C"+pg.CodeProtocol) {
		t.Errorf("the second got %q", types)
	}
	close(answer)
	if types, _ := first.said(len(welcome) + 3); types != welcome+"DCZ" {
		t.Errorf("the first got %q", types)
	}
	got := make(chan uint64)
	loop.Post(func() { got <- engine.Counters.Clients })
	if n := <-got; n != 3 {
		t.Errorf("the loop has seen %d clients, there were descriptors for 2 and then for another", n)
	}
}

// An answer that does not end is a failed attempt long before the client's time is up.
func TestAnswerWithoutItsEndIsSpoilt(t *testing.T) {
	begun := make(chan struct{})
	s, engine, loop := proxy(t, member(t, func(c stdnet.Conn, text string) bool {
		c.Write(row(text)[:9])
		close(begun)
		return true
	}), 8, 1)
	p := dial(t, s)
	p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("a")))
	<-begun
	if types, _ := p.said(len(welcome) + 2); types != welcome+"EZ" {
		t.Errorf("the client got %q", types)
	}
	got := make(chan uint64)
	loop.Post(func() { got <- engine.Counters.Reset })
	if n := <-got; n != 1 {
		t.Errorf("%d resets", n)
	}
}

// Refused connections and ones that are spoilt at their start must leave nothing counted behind.
func TestConnectionsThatNeverComeUpAreNotCounted(t *testing.T) {
	s, _, loop := proxy(t, "127.0.0.1:1", 8, 1)
	p := dial(t, s)
	p.conn.Write(pg.AppendStartup(nil, "client", "core"))
	p.said(len(welcome))
	for i := range 40 { // more than there is room for
		p.conn.Write(pg.AppendQuery(nil, query(fmt.Sprint(i))))
		p.said(2)
	}
	got := make(chan int)
	loop.Post(func() { got <- s.engine.Connections() })
	if n := <-got; n != 0 {
		t.Errorf("%d connections are counted", n)
	}
}

// A proxy that stops must not leave behind what it has read but not looked at.
func TestDrainWaitsForWhatHasBeenReadOnly(t *testing.T) {
	s, _, loop := proxy(t, member(t, echo), 8, 1)
	p := dial(t, s)
	start := pg.AppendStartup(nil, "client", "core")
	p.conn.Write(start)
	p.said(len(welcome))
	half := pg.AppendQuery(nil, "")[:3]
	ask := func() bool {
		got := make(chan bool)
		loop.Post(func() { got <- s.Drained() })
		return <-got
	}
	p.conn.Write(half)
	for seen := false; !seen; { // until the proxy has the half
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
		t.Error("a client whose query is under way was closed")
	}
	p.conn.Write(pg.AppendQuery(nil, "")[3:])
	if types, _ := p.said(2); types != "IZ" {
		t.Errorf("its query got %q", types)
	}
	for !ask() {
	}
	if types, _ := p.said(1); types != "!" {
		t.Errorf("the idle client got %q", types)
	}
}

// Many clients with half a large query each must not fill the memory.
func TestHalfQueriesAreBoundedTogether(t *testing.T) {
	s, _, loop := proxy(t, member(t, echo), 8, 1)
	set := make(chan struct{})
	loop.Post(func() { s.maxBuffered = 30 << 10; close(set) })
	<-set
	start, half := pg.AppendStartup(nil, "client", "core"), pg.AppendQuery(nil, strings.Repeat("x", 40<<10))[:20<<10]
	first, second := dial(t, s), dial(t, s)
	first.conn.Write(append(start, half...))
	for held := 0; held < len(half); { // until the proxy has the half
		got := make(chan int)
		loop.Post(func() { got <- s.buffered })
		held = <-got
	}
	second.conn.Write(append(start, half...))
	if types, bodies := second.said(99); types != welcome+"E!" || !strings.Contains(bodies[len(bodies)-1], "C"+pg.CodeTooMany) {
		t.Errorf("the second client got %q", types)
	}
	first.conn.Close()
	for held := 1; held > 0; {
		got := make(chan int)
		loop.Post(func() { got <- s.buffered })
		held = <-got
	}
}

// Queries that wait in the buffer of a client that has gone are not taken.
func TestNothingIsTakenFromAClosedClient(t *testing.T) {
	s, engine, _ := proxy(t, "127.0.0.1:1", 8, 1)
	c := &client{server: s, phase: phaseClosed, input: buffer{pg.AppendQuery(nil, query("a"))}}
	if c.parse(); engine.Counters.Received != 0 || len(c.input.bytes) != 0 {
		t.Errorf("%d requests taken, %d bytes left", engine.Counters.Received, len(c.input.bytes))
	}
}

func TestClientThatLeavesAbandonsItsRequest(t *testing.T) {
	asked := make(chan struct{})
	s, engine, loop := proxy(t, member(t, func(c stdnet.Conn, _ string) bool {
		close(asked)
		c.Read(make([]byte, 1)) // until the proxy gives the attempt up
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

// The service's answers arrive in pieces, fail, and list moves; a watch goes on behind each answer.
func TestDiscoveryGoesOnWatchingAndTellsOfFailure(t *testing.T) {
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
		p := &peer{conn: conn}
		for _, body := range []string{`{"generation":0,"reset":true,"instances":[{"instanceId":"a","lifecycle":"in_service"}]}`,
			`{"generation":5,"reset":false,"instances":[]}`, ""} {
			call, err := p.next(func(b []byte) (int, error) {
				head, _, whole := bytes.Cut(b, []byte("\r\n\r\n"))
				if !whole {
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
	_, engine, loop := proxy(t, "127.0.0.1:1", 8, 1)
	d := NewDiscovery(loop, state.NewClock(), engine, ln.Addr().String(), discovery.NoList, 0)
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

// A server that ends at once may be registered with the poller only afterwards. When its listener's descriptor was
// closed, the next server's had the same number, and clients of that were accepted for the one that had ended.
func TestServerThatEndsEarlyTakesNoClientsOfTheNext(t *testing.T) {
	for range 50 {
		first := NewServer(NewLoop(state.NewClock(), &state.Deadlines{}), nil, &state.Engine{}, 1, 1, 1)
		if err := first.Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		fd := first.listeners[0].Fd()
		first.Drain()
		if _, err := stdnet.Dial("tcp", first.Address()); err == nil {
			t.Fatal("a server that has ended accepts")
		}
		if _, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_TYPE); err != nil {
			t.Fatalf("the descriptor is free for others while the poller may still use it: %v", err)
		}
	}
}
