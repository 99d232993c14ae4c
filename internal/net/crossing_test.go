package net

import (
	"errors"
	"io"
	stdnet "net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
)

// A query that has arrived when its connection is about to be closed, and of which only the kernel knows, is still answered.
func TestQueryReadDuringCloseIsAnswered(t *testing.T) {
	s, _, loop := startProxy(t, databaseStub(t, echoQuery), 8, 1)
	p := dial(t, s)
	p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")))
	p.readTypes(len(welcome) + 3)
	ready := make(chan bool)
	loop.Post(func() {
		ready <- true
		for c := range s.clients {
			for c.socket.unread() == 0 { // it arrives while the loop is here
				time.Sleep(50 * time.Microsecond)
			}
			c.closeIdle()
		}
	})
	<-ready
	p.conn.Write(pg.AppendQuery(nil, query("2b")))
	if types, _ := p.readTypes(3); types != "DCZ" {
		t.Fatalf("the query sent during the close got %q", types)
	}
	p.conn.Write(pg.AppendQuery(nil, query("3c"))) // the connection continues normally
	if types, _ := p.readTypes(3); types != "DCZ" {
		t.Fatalf("a further query got %q", types)
	}
	loop.Post(func() { s.Drain(); s.Drained() })
	if types, _ := p.readTypes(1); types != "!" {
		t.Errorf("got %q, want the end of the connection", types)
	}
}

// Queries arrive at all moments during the close of their connections: each is either answered or was not read before
// its connection was shut down, in which case the client sees the end without an answer: no more bytes are acknowledged
// without an answer than are read after shutdowns.
func TestNoQueryIsReadWithoutAnswer(t *testing.T) {
	s, engine, loop := startProxy(t, databaseStub(t, echoQuery), 8, 1)
	s.maxLinger = testTimeout // the client closes first, even on a machine that stalls
	first, second := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")), pg.AppendQuery(nil, query("2b"))
	answered, unanswered := 0, 0
	for i := range 2000 {
		p := dial(t, s)
		p.conn.Write(first)
		p.readTypes(len(welcome) + 3)
		done := make(chan bool)
		go func() {
			for began := time.Now(); time.Since(began) < time.Duration(i%40)*time.Microsecond; {
			}
			loop.Post(func() {
				for c := range s.clients {
					c.closeIdle()
				}
				close(done)
			})
		}()
		p.conn.Write(second)
		var b [1]byte
		_, err := io.ReadFull(p.conn, b[:])
		<-done
		switch {
		case err == nil:
			answered++
		case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		case acked(t, p.conn) >= len(first)+len(second):
			unanswered++
		}
		p.conn.Close()
	}
	waitUntil(loop, func() bool { return len(s.clients)+s.lingering == 0 })
	counters := onLoop(loop, func() state.Counters { return engine.Counters })
	n, all := int(counters.DiscardedBytes), counters.Received
	if n%len(second) != 0 || n < unanswered*len(second) || answered == 0 || all != uint64(2000+answered) {
		t.Errorf("%d answered, %d without an answer of %d bytes; %d bytes read after shutdowns; %d requests received", answered, unanswered, len(second), n, all)
	}
}

// A connection is closed in two steps: what its client writes after the shutdown does not reset it and is discarded.
// It ends when the client closes, or by itself after a timeout.
func TestShutDownConnectionIsReadUntilClientCloses(t *testing.T) {
	s, engine, loop := startProxy(t, databaseStub(t, echoQuery), 8, 1)
	s.maxLinger = testTimeout
	for _, leaves := range []bool{true, false} {
		p := dial(t, s)
		p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")))
		p.readTypes(len(welcome) + 3)
		shut := make(chan bool)
		loop.Post(func() {
			for c := range s.clients {
				c.closeIdle()
			}
			shut <- true
		})
		<-shut
		p.conn.Write(pg.AppendQuery(nil, query("2b")))
		if types, _ := p.readTypes(1); types != "!" { // an end of file, not a reset, which readTypes also returns as "!"
			t.Fatalf("after the shutdown the client got %q", types)
		}
		waitUntil(loop, func() bool { return engine.Counters.DiscardedBytes > 0 }) // the query is read and discarded
		if _, err := p.conn.Write([]byte{0}); err != nil {
			t.Errorf("the connection was reset: %v", err)
		}
		if leaves {
			p.conn.Close()
		} else {
			advance(s, testTimeout)
		}
		waitUntil(loop, func() bool { return s.lingering == 0 })
		loop.Post(func() { engine.Counters.DiscardedBytes = 0 })
	}
	if n := onLoop(loop, func() uint64 { return engine.Counters.Received }); n != 2 {
		t.Errorf("%d requests received, 2 were sent before their connections were shut down", n)
	}
}

// acked returns how many bytes the peer's kernel has acknowledged.
func acked(t *testing.T, c stdnet.Conn) (n int) {
	raw, err := c.(*stdnet.TCPConn).SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) {
			var info *unix.TCPInfo
			if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				n = int(info.Bytes_acked)
			}
		})
	}
	if err != nil {
		t.Fatal(err)
	}
	return n
}
