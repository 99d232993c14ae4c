package net

import (
	"io"
	stdnet "net"
	"strings"
	"syscall"
	"testing"
	"time"

	"havenproxy/internal/wire/pg"
)

// steward notes what it is asked.
type steward struct {
	ready bool
	told  chan string
}

func (s *steward) Ready() bool               { return s.ready }
func (s *steward) Metrics(dst []byte) []byte { return append(dst, "proxy.in_progress:0|g\n"...) }
func (s *steward) Drain()                    { s.told <- "drain" }
func (s *steward) Activate()                 { s.told <- "activate" }

// Operators' calls are answered, also while others send nothing or half a call; those are let go.
func TestAdminCalls(t *testing.T) {
	s, engine, loop := proxy(t, "127.0.0.1:1", 8, 4)
	st := &steward{told: make(chan string, 4)}
	a, err := ListenAdmin(loop, s.clock, &engine.Deadlines, "127.0.0.1:0", st)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	dial := func(text string) stdnet.Conn {
		c, err := stdnet.Dial("tcp", a.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(patience))
		io.WriteString(c, text)
		return c
	}
	ask := func(text, status string) string {
		t.Helper()
		got, err := io.ReadAll(dial(text))
		if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 "+status+" ") {
			t.Fatalf("%q: %q %v", text, got, err)
		}
		return string(got)
	}
	var silent []stdnet.Conn
	for range 3 * maxAdminConns { // more than are kept
		silent = append(silent, dial("GET /v1/me"))
	}
	const end = " HTTP/1.1\r\nHost: x\r\n\r\n"
	ask("GET /v1/readyz"+end, "503")
	done := make(chan bool)
	loop.Post(func() { st.ready = true; close(done) })
	<-done
	ask("GET /v1/readyz"+end, "200")
	ask("POST /v1/readyz"+end, "405")
	ask("GET /elsewhere"+end, "404")
	ask("nonsense\r\n", "400")
	if got := ask("GET /v1/metrics"+end, "200"); !strings.Contains(got, "proxy.in_progress:0|g\n") {
		t.Errorf("%q", got)
	}
	ask("PUT /v1/proxy/drain"+end, "200")
	ask("PUT /v1/proxy/activate"+end, "200")
	if x, y := <-st.told, <-st.told; x != "drain" || y != "activate" {
		t.Errorf("%s, then %s", x, y)
	}
	skip(s, adminCallTimeout+time.Second)
	if got, _ := io.ReadAll(silent[len(silent)-1]); !strings.HasPrefix(string(got), "HTTP/1.1 400 ") {
		t.Errorf("half a call is answered %q", got)
	}
}

// hello connects as a client does.
func hello(t *testing.T, address string) stdnet.Conn {
	t.Helper()
	c, err := stdnet.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	c.Write(pg.AppendStartup(nil, "client", "core"))
	io.ReadFull(c, make([]byte, len(pg.AppendWelcome(nil))))
	return c
}

func emptyQuery(c stdnet.Conn) string {
	c.Write(pg.AppendQuery(nil, ""))
	b := make([]byte, 256)
	n, _ := c.Read(b)
	return string(b[:max(n, 0)])
}

// A proxy that operators drain says no and lets go of its clients; taken back, it says yes again.
func TestClientsAreSentAwayAndTakenAgain(t *testing.T) {
	s, _, loop := proxy(t, "127.0.0.1:1", 8, 4)
	idle, asking := hello(t, s.Address()), hello(t, s.Address())
	yes := string(pg.AppendEmpty(nil))
	if emptyQuery(idle) != yes || emptyQuery(asking) != yes {
		t.Fatal("no before anything happened")
	}
	done := make(chan bool)
	loop.Post(func() { s.SetOperatorDrain(true); close(done) })
	<-done
	if got := emptyQuery(asking); got == yes || got == "" {
		t.Fatalf("a drained proxy says %q", got)
	}
	if _, err := asking.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("kept behind its answer: %v", err)
	}
	for range 12 { // each a turn of the sweep
		skip(s, drainInterval)
	}
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("an idle client is kept: %v", err)
	}
	done = make(chan bool)
	loop.Post(func() { s.SetOperatorDrain(false); close(done) })
	<-done
	if got := emptyQuery(hello(t, s.Address())); got != yes {
		t.Errorf("taken back it says %q", got)
	}
}

// Two processes accept on one socket. The one that leaves lets the other have what comes, and the socket listens on.
func TestAnInheritedSocketListensOn(t *testing.T) {
	ln, err := stdnet.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	file, err := ln.(*stdnet.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	inherit := func() *Server {
		s, _, loop := proxy(t, "127.0.0.1:1", 8, 4)
		fd, err := syscall.Dup(int(file.Fd())) // as if each were a process of its own
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error)
		loop.Post(func() { done <- s.Inherit(fd) })
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		s.listeners = s.listeners[len(s.listeners)-1:]
		return s
	}
	first := inherit()
	kept := hello(t, ln.Addr().String())
	second := inherit()
	done := make(chan bool)
	first.loop.Post(func() { done <- first.DrainShared() })
	if !<-done {
		t.Fatal("a shared socket counts as its own")
	}
	if got := emptyQuery(kept); got != string(pg.AppendEmpty(nil)) {
		t.Errorf("a client of the one that leaves has %q", got)
	}
	if _, err := kept.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("kept behind its answer: %v", err)
	}
	for range 6 {
		if got := emptyQuery(hello(t, ln.Addr().String())); got != string(pg.AppendEmpty(nil)) {
			t.Fatalf("%q", got)
		}
	}
	n := make(chan int)
	second.loop.Post(func() { n <- len(second.clients) })
	if <-n != 6 {
		t.Error("not all went to the process that stays")
	}
	if err := second.Inherit(1 << 20); err == nil {
		t.Error("a descriptor that is none is taken")
	}
}
