package net

import (
	"bytes"
	"io"
	stdnet "net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

// holdLoop blocks the loop until release is called; it returns once the loop is blocked.
func holdLoop(loop *Loop) (release func()) {
	there, on := make(chan struct{}), make(chan struct{})
	loop.Post(func() { close(there); <-on })
	<-there
	return func() { close(on) }
}

// onLoop runs f on the loop and returns its result.
func onLoop[T any](loop *Loop, f func() T) T {
	got := make(chan T)
	loop.Post(func() { got <- f() })
	return <-got
}

// waitUntil waits until f returns true on the loop. If it never does, the panic's stack names the test and the line.
func waitUntil(loop *Loop, f func() bool) {
	for end := time.Now().Add(testTimeout); !onLoop(loop, f); {
		if time.Now().After(end) {
			panic("a condition on the loop has not become true")
		}
	}
}

// queryCounter counts the statements that a database receives.
type queryCounter struct{ queries atomic.Int64 }

func (c *queryCounter) serve(t *testing.T, answer func(conn stdnet.Conn, text string) bool) string {
	return databaseStub(t, func(conn stdnet.Conn, text string) bool {
		if strings.Contains(text, "/*") {
			c.queries.Add(1)
		}
		return answer(conn, text)
	})
}

// A query and its client's disconnect arrive while the loop is busy, so both are queued, the query first. The query
// is not sent to any database.
func TestQueryOfDisconnectedClientIsNotSent(t *testing.T) {
	var db queryCounter
	s, engine, loop := startProxy(t, db.serve(t, echoQuery), 8, 1)
	p := dial(t, s)
	p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")))
	p.readTypes(len(welcome) + 3)
	var c *client
	onLoop(loop, func() bool {
		for c = range s.clients {
		}
		return true
	})
	release := holdLoop(loop)
	p.conn.Write(pg.AppendQuery(nil, query("2b")))
	for c.socket.unread() == 0 { // the kernel has it
	}
	p.conn.Close()
	for !c.socket.gone() { // and has seen the disconnect
	}
	release()
	waitUntil(loop, func() bool { return len(s.clients) == 0 })
	if n := onLoop(loop, func() uint64 { return engine.Counters.Written }); n != 1 || db.queries.Load() != 1 {
		t.Errorf("%d attempts were written, %d arrived", n, db.queries.Load())
	}
	waitUntil(loop, func() bool { return engine.OutstandingAnswers() == 0 && engine.Pending() == 0 })
}

// Hundreds of clients whose requests wait for a connection disconnect at once: no request is sent when connections
// come up, and all resources are returned.
func TestMassDisconnectSendsNothing(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		ready := make(chan struct{})
		var queries atomic.Int64
		database := listen(t, func(conn stdnet.Conn) {
			<-ready
			conn.Write(pg.AppendStartupResponse(nil))
			in := make([]byte, 4096)
			for {
				n, err := conn.Read(in)
				if err != nil {
					return
				}
				queries.Add(int64(bytes.Count(in[:n], []byte("/*"))))
			}
		})
		cfg := settings
		cfg.EnableCancel = cancel
		s, engine, loop := startProxyWith(t, cfg, database, 400, 1)
		var clients []*testConn
		for range 300 {
			p := dial(t, s)
			p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query(string(rune('a'+len(clients)%26))+strings.Repeat("0", len(clients)/26))))
			clients = append(clients, p)
		}
		waitUntil(loop, func() bool { return engine.Counters.Received == 300 })
		release := holdLoop(loop)
		for _, p := range clients {
			p.conn.Close()
		}
		for c := range s.clients { // the loop is held; the poller sees each disconnect before connections come up
			for !c.socket.gone() {
			}
		}
		close(ready)
		release()
		waitUntil(loop, func() bool { return len(s.clients) == 0 && engine.OutstandingAnswers() == 0 && engine.Pending() == 0 })
		if n := onLoop(loop, func() uint64 { return engine.Counters.Written }); n != 0 || queries.Load() != 0 {
			t.Errorf("cancel %v: %d attempts were written, %d arrived", cancel, n, queries.Load())
		}
		if n := onLoop(loop, func() (out int) {
			for _, d := range engine.Databases() {
				out += d.InFlight
			}
			return out
		}); n != 0 {
			t.Errorf("cancel %v: %d slots were not returned", cancel, n)
		}
	}
}

// When a pooled connection is taken, half a line or the end of the connection has arrived on it that the loop has not
// handled: the request is sent on another connection and gets its own answer.
func TestPooledConnectionIsCheckedWhenTaken(t *testing.T) {
	for _, crossing := range []string{"half a line", "its end"} {
		conns := make(chan stdnet.Conn, 9)
		var db queryCounter
		s, engine, loop := startProxy(t, db.serve(t, func(conn stdnet.Conn, text string) bool {
			if _, err := conn.Write(rowAnswer(text)); err != nil {
				return false
			}
			conns <- conn
			return true
		}), 8, 1)
		p := dial(t, s)
		p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")))
		p.readTypes(len(welcome) + 3)
		idle := <-conns
		release := holdLoop(loop)
		p.conn.Write(pg.AppendQuery(nil, query("2b")))
		if crossing == "its end" {
			idle.Close()
		} else {
			idle.Write([]byte("D\x00\x00"))
		}
		var c *client
		for c = range s.clients { // the loop is held
		}
		for c.socket.unread() == 0 { // the query is queued before the other event
		}
		release()
		if types, _ := p.readTypes(3); types != "DCZ" {
			t.Errorf("%s: the query got %q", crossing, types)
		}
		if opened := onLoop(loop, func() uint64 { return engine.Counters.Opened }); opened != 2 || db.queries.Load() != 2 {
			t.Errorf("%s: %d connections were opened, %d queries arrived", crossing, opened, db.queries.Load())
		}
	}
}

// waitForFinAck waits until the peer's kernel has acknowledged the end of file that this side has sent.
func waitForFinAck(t *testing.T, conn stdnet.Conn) {
	t.Helper()
	const finWait2 = 5
	for state := uint8(0); state != finWait2; {
		raw, err := conn.(*stdnet.TCPConn).SyscallConn()
		if err == nil {
			raw.Control(func(fd uintptr) {
				var info *unix.TCPInfo
				if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
					state = info.State
				}
			})
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// A database has closed a pooled connection, but only the kernel knows: the loop is busy and has not been told. A
// request that takes the connection at this moment is not written to it, because a request that may not be repeated
// would be lost; it is sent on another connection.
func TestCloseKnownOnlyToKernelIsDetected(t *testing.T) {
	for _, effect := range []logic.Effect{logic.Idempotent, logic.SingleShot} {
		conns := make(chan stdnet.Conn, 9)
		var db queryCounter
		cfg := settings
		cfg.Classes = slices.Clone(cfg.Classes)
		cfg.Classes[0].Effect = effect
		s, engine, loop := startProxyWith(t, cfg, db.serve(t, func(conn stdnet.Conn, text string) bool {
			conns <- conn
			return echoQuery(conn, text)
		}), 8, 1)
		p := dial(t, s)
		p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")))
		p.readTypes(len(welcome) + 3)
		pooled := <-conns
		waitUntil(loop, func() bool { return engine.Counters.OK == 1 && engine.Pools()[0].Idle == 1 })
		var c *client
		held, closed := make(chan struct{}), make(chan struct{})
		loop.Post(func() {
			for c = range s.clients {
			}
			close(held)
			<-closed
			c.inputArrived(s.clock.Now()) // before the loop is told of any event
			s.serveRound()
		})
		<-held
		p.conn.Write(pg.AppendQuery(nil, query("2b")))
		for c.socket.unread() == 0 { // the query arrives
		}
		pooled.(*stdnet.TCPConn).CloseWrite()
		waitForFinAck(t, pooled)
		close(closed)
		waitUntil(loop, func() bool { return engine.Counters.Sent == 2 })
		if types, _ := p.readTypes(1); types != "D" { // an error has fewer messages
			t.Errorf("effect %d: the query got %q", effect, types)
		}
		if c := onLoop(loop, func() state.Counters { return engine.Counters }); c.Opened != 2 || c.Sent != 2 || db.queries.Load() != 2 {
			t.Errorf("effect %d: %d connections were opened, %d attempts made, %d queries arrived", effect, c.Opened, c.Sent, db.queries.Load())
		}
	}
}

// Large answers to a client that reads slowly are complete although the server drains meanwhile, and they are
// followed by an end of file.
func TestLargeAnswersAreCompleteThroughDrain(t *testing.T) {
	value := strings.Repeat("v", 60<<10)
	s, _, loop := startProxy(t, databaseStub(t, func(conn stdnet.Conn, _ string) bool {
		_, err := conn.Write(rowAnswer(value))
		return err == nil
	}), 8, 1)
	conn, err := stdnet.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*stdnet.TCPConn).SetReadBuffer(32 << 10)
	conn.SetDeadline(time.Now().Add(testTimeout))
	in := pg.AppendStartup(nil, "client", "core")
	for _, id := range []string{"a", "b", "c"} {
		in = pg.AppendQuery(in, query(id))
	}
	conn.Write(in)
	waitUntil(loop, func() bool { return s.engine.Counters.Served == 3 })
	waitUntil(loop, func() bool { s.Drain(); return s.Drained() || s.lingering > 0 })
	got, err := io.ReadAll(conn)
	if err != nil || bytes.Count(got, []byte(value)) != 3 {
		t.Errorf("%d bytes received, error %v", len(got), err)
	}
}

// TestFatalErrorBehindWhichTheConnectionEnds guards against a refusal that is taken for a request that may have run: the database sends a fatal
// error and ends or resets the connection at once, so that both have arrived when the loop reads.
func TestFatalErrorBehindWhichTheConnectionEnds(t *testing.T) {
	for _, ending := range []string{"end of file", "reset"} {
		loopOf := make(chan *Loop, 1)
		s, engine, loop := startProxy(t, databaseStub(t, func(conn stdnet.Conn, _ string) bool {
			release := holdLoop(<-loopOf)
			defer release()
			conn.Write(pg.AppendFatal(nil, pg.CodeTooManyConnections, "full"))
			if ending == "reset" {
				conn.(*stdnet.TCPConn).SetLinger(0)
			}
			conn.Close()
			return false
		}), 8, 1)
		loopOf <- loop
		p := dial(t, s)
		p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")))
		types, _ := p.readTypes(len(welcome) + 2)
		if c := onLoop(loop, func() state.Counters { return engine.Counters }); c.Rejected != 1 || c.Reset != 0 || types != welcome+"EZ" {
			t.Errorf("%s: %q, %d attempts count as rejected, %d as reset", ending, types, c.Rejected, c.Reset)
		}
	}
}
