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

// adminStub records the calls of AdminHandler.
type adminStub struct {
	ready bool
	calls chan string
}

func (s *adminStub) Ready() bool               { return s.ready }
func (s *adminStub) Metrics(dst []byte) []byte { return append(dst, "proxy.in_progress:0|g\n"...) }
func (s *adminStub) Drain()                    { s.calls <- "drain" }
func (s *adminStub) Activate()                 { s.calls <- "activate" }

// Admin calls are answered while other connections send nothing or an incomplete call; those are closed.
func TestAdminCallsAreAnsweredBesideIncompleteOnes(t *testing.T) {
	s, engine, loop := startProxy(t, "127.0.0.1:1", 8, 4)
	st := &adminStub{calls: make(chan string, 4)}
	var err error
	a := onLoop(loop, func() (a *Admin) {
		a, err = ListenAdmin(loop, s.clock, &engine.Deadlines, "127.0.0.1:0", st)
		return a
	})
	if err != nil {
		t.Fatal(err)
	}
	defer onLoop(loop, func() bool { a.Close(); return true })
	dial := func(text string) stdnet.Conn {
		c, err := stdnet.Dial("tcp", a.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(testTimeout))
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
	if x, y := <-st.calls, <-st.calls; x != "drain" || y != "activate" {
		t.Errorf("%s, then %s", x, y)
	}
	advance(s, adminCallTimeout+time.Second)
	if got, _ := io.ReadAll(silent[len(silent)-1]); !strings.HasPrefix(string(got), "HTTP/1.1 400 ") {
		t.Errorf("an incomplete call got %q", got)
	}
}

// connectClient opens a client session.
func connectClient(t *testing.T, address string) stdnet.Conn {
	t.Helper()
	c, err := stdnet.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	c.Write(pg.AppendStartup(nil, "client", "core"))
	io.ReadFull(c, make([]byte, len(pg.AppendStartupResponse(nil))))
	return c
}

func sendEmptyQuery(c stdnet.Conn) string {
	c.Write(pg.AppendQuery(nil, ""))
	b := make([]byte, 256)
	n, _ := c.Read(b)
	return string(b[:max(n, 0)])
}

// A drained proxy refuses the health check query and closes its clients; when it is activated again, it accepts both.
func TestOperatorDrainDisconnectsClients(t *testing.T) {
	s, _, loop := startProxy(t, "127.0.0.1:1", 8, 4)
	idle, asking := connectClient(t, s.Address()), connectClient(t, s.Address())
	yes := string(pg.AppendEmptyQueryResponse(nil))
	if sendEmptyQuery(idle) != yes || sendEmptyQuery(asking) != yes {
		t.Fatal("the health check was refused before the drain")
	}
	done := make(chan bool)
	loop.Post(func() { s.SetOperatorDrain(true); close(done) })
	<-done
	if got := sendEmptyQuery(asking); got == yes || got == "" {
		t.Fatalf("a drained proxy answered %q", got)
	}
	if _, err := asking.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection was not closed after its answer: %v", err)
	}
	for range 12 { // each advances to the next run of closeDrainedClients
		advance(s, drainInterval)
	}
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("an idle client was not closed: %v", err)
	}
	done = make(chan bool)
	loop.Post(func() { s.SetOperatorDrain(false); close(done) })
	<-done
	if got := sendEmptyQuery(connectClient(t, s.Address())); got != yes {
		t.Errorf("after activation the proxy answered %q", got)
	}
}

// Two processes accept on one socket. After one of them drains, all new connections go to the other, and the socket
// keeps listening.
func TestInheritedSocketKeepsListening(t *testing.T) {
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
		s, _, loop := startProxy(t, "127.0.0.1:1", 8, 4)
		fd, err := syscall.Dup(int(file.Fd())) // as if each were a separate process
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
	kept := connectClient(t, ln.Addr().String())
	second := inherit()
	done := make(chan bool)
	first.loop.Post(func() { done <- first.DrainShared() })
	if !<-done {
		t.Fatal("a shared socket is reported as not shared")
	}
	if got := sendEmptyQuery(kept); got != string(pg.AppendEmptyQueryResponse(nil)) {
		t.Errorf("a client of the draining process got %q", got)
	}
	if _, err := kept.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection was not closed after its answer: %v", err)
	}
	for range 6 {
		if got := sendEmptyQuery(connectClient(t, ln.Addr().String())); got != string(pg.AppendEmptyQueryResponse(nil)) {
			t.Fatalf("%q", got)
		}
	}
	n := make(chan int)
	second.loop.Post(func() { n <- len(second.clients) })
	if <-n != 6 {
		t.Error("not all clients went to the remaining process")
	}
	if err := second.Inherit(1 << 20); err == nil {
		t.Error("an invalid descriptor was accepted")
	}
}

// slowMetrics is an AdminHandler that takes a while to gather metrics.
type slowMetrics struct {
	clock  *manualClock
	cost   time.Duration
	number int
}

func (m *slowMetrics) Ready() bool { return true }
func (m *slowMetrics) Drain()      {}
func (m *slowMetrics) Activate()   {}

func (m *slowMetrics) Metrics(dst []byte) []byte {
	m.number++
	m.clock.now += m.cost
	return append(dst, byte('0'+m.number))
}

// TestMetricsTakeAPartOfTheLoop guards against calls for metrics, which cost more with each database, that keep the loop busy.
func TestMetricsTakeAPartOfTheLoop(t *testing.T) {
	handler := &slowMetrics{clock: &manualClock{now: time.Hour}, cost: time.Millisecond}
	a := &Admin{clock: handler.clock, handler: handler}
	for range 100 {
		a.metrics()
	}
	if handler.number != 1 {
		t.Errorf("metrics were gathered %d times in a row", handler.number)
	}
	handler.clock.now += metricsPause * handler.cost
	if got := string(a.metrics()); got != "2" {
		t.Errorf("later the metrics are %q, want new ones", got)
	}
}
