package net

import (
	"bytes"
	"context"
	"io"
	stdnet "net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

// hold keeps the loop at a point until the test lets it go; it returns once the loop is there.
func hold(loop *Loop) (letGo func()) {
	there, on := make(chan struct{}), make(chan struct{})
	loop.Post(func() { close(there); <-on })
	<-there
	return func() { close(on) }
}

// onLoop asks on the loop.
func onLoop[T any](loop *Loop, f func() T) T {
	got := make(chan T)
	loop.Post(func() { got <- f() })
	return <-got
}

// until waits for what will be, on the loop; the test's own time limit ends it where it never is.
func until(loop *Loop, f func() bool) {
	for !onLoop(loop, f) {
	}
}

// counted is a database that counts the statements it receives.
type counted struct{ queries atomic.Int64 }

func (c *counted) serve(t *testing.T, answer func(conn stdnet.Conn, text string) bool) string {
	return member(t, func(conn stdnet.Conn, text string) bool {
		if strings.Contains(text, "/*") {
			c.queries.Add(1)
		}
		return answer(conn, text)
	})
}

// A query and its client's end come while the loop is elsewhere: both stand in its queue, the query first. It is not sent to anybody.
func TestAQueryWhoseClientHasLeftIsNotSent(t *testing.T) {
	var db counted
	s, engine, loop := proxy(t, db.serve(t, echo), 8, 1)
	p := dial(t, s)
	p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")))
	p.said(len(welcome) + 3)
	var c *client
	onLoop(loop, func() bool {
		for c = range s.clients {
		}
		return true
	})
	letGo := hold(loop)
	p.conn.Write(pg.AppendQuery(nil, query("2b")))
	for c.conn.Reader().Len() == 0 { // the poller has read it
	}
	p.conn.Close()
	for c.conn.IsActive() { // and seen the end
	}
	letGo()
	until(loop, func() bool { return engine.Counters.Abandoned == 1 })
	if n := onLoop(loop, func() uint64 { return engine.Counters.Written }); n != 1 || db.queries.Load() != 1 {
		t.Errorf("%d attempts were written, %d came", n, db.queries.Load())
	}
	until(loop, func() bool { return engine.OutstandingAnswers() == 0 && engine.Pending() == 0 })
}

// Hundreds of clients whose requests wait for a connection leave at once: none of the requests goes out when connections come up, and all
// that was taken for them is given back.
func TestHundredsThatLeaveAtOnceStartNothing(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		come := make(chan struct{})
		var queries atomic.Int64
		database := listen(t, func(conn stdnet.Conn) {
			<-come
			conn.Write(pg.AppendWelcome(nil))
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
		s, engine, loop := proxyWith(t, cfg, database, 400, 1)
		var clients []*peer
		for range 300 {
			p := dial(t, s)
			p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query(string(rune('a'+len(clients)%26))+strings.Repeat("0", len(clients)/26))))
			clients = append(clients, p)
		}
		until(loop, func() bool { return engine.Counters.Received == 300 })
		letGo := hold(loop)
		for _, p := range clients {
			p.conn.Close()
		}
		for c := range s.clients { // the loop is held; the poller sees each end before connections come up
			for c.conn.IsActive() {
			}
		}
		close(come)
		letGo()
		until(loop, func() bool { return len(s.clients) == 0 && engine.OutstandingAnswers() == 0 && engine.Pending() == 0 })
		if n := onLoop(loop, func() uint64 { return engine.Counters.Written }); n != 0 || queries.Load() != 0 {
			t.Errorf("cancel %v: %d attempts were written, %d came", cancel, n, queries.Load())
		}
		if n := onLoop(loop, func() (out int) {
			for _, d := range engine.Databases() {
				out += d.InFlight
			}
			return out
		}); n != 0 {
			t.Errorf("cancel %v: %d slots are not returned", cancel, n)
		}
	}
}

// In the moment in which a pooled connection is taken, half a line, or the connection's end, has come on it and the loop has not heard of
// it: the request goes out on another, and has its own answer.
func TestAPooledConnectionIsAskedInTheMomentItIsTaken(t *testing.T) {
	for _, crossing := range []string{"half a line", "its end"} {
		conns := make(chan stdnet.Conn, 9)
		var db counted
		s, engine, loop := proxy(t, db.serve(t, func(conn stdnet.Conn, text string) bool {
			if _, err := conn.Write(row(text)); err != nil {
				return false
			}
			conns <- conn
			return true
		}), 8, 1)
		p := dial(t, s)
		p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")))
		p.said(len(welcome) + 3)
		idle := <-conns
		letGo := hold(loop)
		p.conn.Write(pg.AppendQuery(nil, query("2b")))
		if crossing == "its end" {
			idle.Close()
		} else {
			idle.Write([]byte("D\x00\x00"))
		}
		var c *client
		for c = range s.clients { // the loop is held
		}
		for c.conn.Reader().Len() == 0 { // the query stands before the loop's hearing of the other
		}
		letGo()
		if types, _ := p.said(3); types != "DCZ" {
			t.Errorf("%s: behind it came %q", crossing, types)
		}
		if opened := onLoop(loop, func() uint64 { return engine.Counters.Opened }); opened != 2 || db.queries.Load() != 2 {
			t.Errorf("%s: %d connections were opened, %d queries came", crossing, opened, db.queries.Load())
		}
	}
}

// holdPoller keeps netpoll's poller at a point until the test lets it go; it returns once the poller is there. What the kernel gets meanwhile,
// nobody has read. The poller itself calls the runner, which hands its callbacks to the loop: there it is held, at the first byte that comes
// on a connection made for this.
func holdPoller(t *testing.T, loop *Loop) (letGo func()) {
	t.Helper()
	armed, there, on := make(chan struct{}), make(chan struct{}), make(chan struct{})
	conn, err := netpoll.DialConnection("tcp", listen(t, func(conn stdnet.Conn) {
		<-armed
		conn.Write([]byte{0})
		<-on
	}), patience)
	if err != nil {
		t.Fatal(err)
	}
	post := func(_ context.Context, f func()) { loop.Post(f) }
	useRunner(func(context.Context, func()) {
		close(there)
		<-on
	})
	conn.SetOnRequest(func(context.Context, netpoll.Connection) error { return nil })
	close(armed)
	<-there
	useRunner(post)
	return func() { close(on) }
}

// finished waits until the other side's kernel has acknowledged the end of file that this side has sent.
func finished(t *testing.T, conn stdnet.Conn) {
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

// A database has closed a pooled connection, and the kernel alone knows: the poller, which is elsewhere, has not read it. A request that takes
// the connection in this moment is not written to it, for one that may not be repeated would be lost there; it goes out on another.
func TestACloseThatTheKernelAloneKnows(t *testing.T) {
	for _, effect := range []logic.Effect{logic.Idempotent, logic.SingleShot} {
		conns := make(chan stdnet.Conn, 9)
		var db counted
		cfg := settings
		cfg.Classes = slices.Clone(cfg.Classes)
		cfg.Classes[0].Effect = effect
		s, engine, loop := proxyWith(t, cfg, db.serve(t, func(conn stdnet.Conn, text string) bool {
			conns <- conn
			return echo(conn, text)
		}), 8, 1)
		p := dial(t, s)
		p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")))
		p.said(len(welcome) + 3)
		pooled := <-conns
		until(loop, func() bool { return engine.Counters.OK == 1 })
		letLoopGo := hold(loop)
		p.conn.Write(pg.AppendQuery(nil, query("2b")))
		for c := range s.clients { // the loop is held
			for c.conn.Reader().Len() == 0 { // the poller reads the query
			}
		}
		letPollerGo := holdPoller(t, loop)
		pooled.(*stdnet.TCPConn).CloseWrite()
		finished(t, pooled)
		letLoopGo()
		until(loop, func() bool { return engine.Counters.Sent == 2 })
		letPollerGo()
		if types, _ := p.said(1); types != "D" { // an error has fewer messages
			t.Errorf("effect %d: behind it came %q", effect, types)
		}
		if c := onLoop(loop, func() state.Counters { return engine.Counters }); c.Opened != 2 || c.Sent != 2 || db.queries.Load() != 2 {
			t.Errorf("effect %d: %d connections were opened, %d attempts made, %d queries came", effect, c.Opened, c.Sent, db.queries.Load())
		}
	}
}

// A large answer to a client that reads slowly is whole though the server ends meanwhile, and an end of file stands behind it.
func TestALargeAnswerIsWholeThroughAnEnd(t *testing.T) {
	value := strings.Repeat("v", 60<<10)
	s, _, loop := proxy(t, member(t, func(conn stdnet.Conn, _ string) bool {
		_, err := conn.Write(row(value))
		return err == nil
	}), 8, 1)
	conn, err := stdnet.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*stdnet.TCPConn).SetReadBuffer(32 << 10)
	conn.SetDeadline(time.Now().Add(patience))
	in := pg.AppendStartup(nil, "client", "core")
	for _, id := range []string{"a", "b", "c"} {
		in = pg.AppendQuery(in, query(id))
	}
	conn.Write(in)
	until(loop, func() bool { return s.engine.Counters.Served == 3 })
	until(loop, func() bool { s.Drain(); return s.Drained() || s.lingering > 0 })
	got, err := io.ReadAll(conn)
	if err != nil || bytes.Count(got, []byte(value)) != 3 {
		t.Errorf("%d bytes came, error %v", len(got), err)
	}
}
