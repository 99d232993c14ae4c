package net

import (
	"errors"
	"io"
	stdnet "net"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
)

// unheard is a connection whose poller has fetched something that the loop hasn't heard of yet.
type unheard struct {
	netpoll.Connection
	first bool
}

func (u *unheard) Fd() int { return u.Connection.(netpoll.Conn).Fd() }

func (u *unheard) Reader() netpoll.Reader {
	r := u.Connection.Reader()
	if u.first {
		u.first = false
		return empty{r}
	}
	return r
}

type empty struct{ netpoll.Reader }

func (empty) Len() int { return 0 }

// A query that the poller has read crosses the close of its connection: it is answered all the same. Before, the connection ended over it;
// its client, whose query had been read, had no answer and no reason to send it once more.
func TestAQueryThatCrossesTheCloseIsAnswered(t *testing.T) {
	s, _, loop := proxy(t, member(t, echo), 8, 1)
	p := dial(t, s)
	p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")))
	p.said(len(welcome) + 3)
	ready := make(chan bool)
	loop.Post(func() {
		ready <- true
		for c := range s.clients {
			for c.conn.Reader().Len() == 0 { // the poller reads while the loop is here
				time.Sleep(50 * time.Microsecond)
			}
			c.conn = &unheard{c.conn, true}
			c.closeIdle()
		}
	})
	<-ready
	p.conn.Write(pg.AppendQuery(nil, query("2b")))
	if types, _ := p.said(3); types != "DCZ" {
		t.Fatalf("behind a query that crossed the close came %q", types)
	}
	p.conn.Write(pg.AppendQuery(nil, query("3c"))) // it goes on like any other
	if types, _ := p.said(3); types != "DCZ" {
		t.Fatalf("behind a further query came %q", types)
	}
	loop.Post(func() { s.Drain(); s.Drained() })
	if types, _ := p.said(1); types != "!" {
		t.Errorf("%q where the connection was to end", types)
	}
}

// Queries cross the close of their connections at all moments: each is answered, or was not read before its connection was shut, and then its
// client sees the end without an answer. Without the wait for the poller two in a hundred were read before and not answered: what was acknowledged
// and got no answer is then more than what was read behind shutdowns.
func TestNoQueryIsReadAndDropped(t *testing.T) {
	s, engine, loop := proxy(t, member(t, echo), 8, 1)
	s.maxLinger = patience // the client ends first, also on a machine that stands still
	first, second := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")), pg.AppendQuery(nil, query("2b"))
	answered, unanswered := 0, 0
	for i := range 2000 {
		p := dial(t, s)
		p.conn.Write(first)
		p.said(len(welcome) + 3)
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
	for s.open.Load() > 0 { // ends by the test's own time limit where one is never counted off
		time.Sleep(time.Millisecond)
	}
	counters := onLoop(loop, func() state.Counters { return engine.Counters })
	n, all := int(counters.DiscardedBytes), counters.Received
	if n%len(second) != 0 || n < unanswered*len(second) || answered == 0 || all != uint64(2000+answered) {
		t.Errorf("%d answered, %d without an answer of %d bytes; %d bytes read behind shutdowns; %d requests taken", answered, unanswered, len(second), n, all)
	}
}

// A connection is closed in two steps: what its client writes behind the shutdown does not reset it, and is not acted on. It ends with the
// client's end, or by itself where that does not come.
func TestAShutConnectionIsReadToItsEnd(t *testing.T) {
	s, engine, loop := proxy(t, member(t, echo), 8, 1)
	s.maxLinger = patience
	for _, leaves := range []bool{true, false} {
		p := dial(t, s)
		p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), query("1a")))
		p.said(len(welcome) + 3)
		shut := make(chan bool)
		loop.Post(func() {
			for c := range s.clients {
				c.closeIdle()
			}
			shut <- true
		})
		<-shut
		p.conn.Write(pg.AppendQuery(nil, query("2b")))
		if types, _ := p.said(1); types != "!" { // an end of file, and no reset: p.said tells that as "!" too
			t.Fatalf("behind the shutdown came %q", types)
		}
		until(loop, func() bool { return engine.Counters.DiscardedBytes > 0 }) // the query is read to nobody
		if _, err := p.conn.Write([]byte{0}); err != nil {
			t.Errorf("the connection was reset: %v", err)
		}
		if leaves {
			p.conn.Close()
		} else {
			skip(s, patience)
		}
		until(loop, func() bool { return s.lingering == 0 })
		loop.Post(func() { engine.Counters.DiscardedBytes = 0 })
	}
	if n := onLoop(loop, func() uint64 { return engine.Counters.Received }); n != 2 {
		t.Errorf("%d requests taken, 2 were sent before their connections were shut", n)
	}
}

// acked tells how many bytes the other side's kernel has taken in.
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
