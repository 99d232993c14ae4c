package run

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/internal/wire/settings"
)

// skipClock is the system's clock, which a test may put forward.
type skipClock struct {
	*state.SystemClock
	skipped atomic.Int64
}

func (c *skipClock) Now() time.Duration {
	return c.SystemClock.Now() + time.Duration(c.skipped.Load())
}

// skip lets time pass, and the loop see what that brings about.
func (p *proxy) skip(d time.Duration) {
	p.clock.(*skipClock).skipped.Add(int64(d))
	p.loop.Post(func() {})
}

// begin starts a proxy on a clock of the test's; ended tells that its loop has stopped.
func begin(t *testing.T, text string) (p *proxy, ended chan struct{}) {
	t.Helper()
	cfg, err := settings.ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if p, err = startOn(cfg, &skipClock{SystemClock: state.NewClock()}); err != nil {
		t.Fatal(err)
	}
	ended = make(chan struct{})
	go func() { p.loop.Run(); close(ended) }()
	t.Cleanup(func() {
		p.loop.Post(p.loop.Stop) // of no matter where the test has ended it
		<-ended
	})
	return p, ended
}

// beginSlow starts one whose requests have an aim of 1 s and a limit of 20 s.
func beginSlow(t *testing.T, database string) (p *proxy, ended chan struct{}) {
	t.Helper()
	return begin(t, strings.Replace(fmt.Sprintf(config, 1024, database), `"aim": 10000000`, `"aim": 1000000`, 1))
}

// onLoop runs a function on the loop, and waits for its end.
func (p *proxy) onLoop(f func()) {
	done := make(chan struct{})
	p.loop.Post(func() { f(); close(done) })
	<-done
}

// connect makes a client that begins with some queries.
func (p *proxy) connect(t *testing.T, queries ...[]byte) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	conn.Write(append(pg.AppendStartup(nil, "client", "core"), bytes.Join(queries, nil)...))
	return conn
}

// patience is only there to end a test that hangs; no verdict depends on it.
const patience = 20 * time.Second

// hung is a database that takes queries and never answers; of each it tells how long it may take.
func hung(t *testing.T) (address string, asked chan time.Duration) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	asked = make(chan time.Duration, 99)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				conn.Write(pg.AppendWelcome(nil))
				in, seen := make([]byte, 4096), []byte(nil)
				for {
					n, err := conn.Read(in)
					if err != nil {
						return
					}
					seen = append(seen, in[:n]...)
					if at := bytes.Index(seen, []byte("SELECT val")); at >= 0 && bytes.HasSuffix(seen, []byte{0}) {
						st, err := pg.ParseStatement(string(seen[at : len(seen)-1]))
						if err != nil {
							t.Error(err)
						}
						seen = nil
						asked <- st.Wait
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), asked
}

// wait waits for what a stand-in tells.
func wait[T any](t *testing.T, told chan T) (what T) {
	t.Helper()
	select {
	case what = <-told:
	case <-time.After(patience):
		t.Fatal("nobody was asked")
	}
	return what
}

func ask(id string) []byte {
	return pg.AppendQuery(nil, "SELECT val FROM state WHERE uid = 'a' /* id="+id+",c=any,d=20000,cluster=0 */")
}

// Requests that come late in a stop, on a connection kept open by an earlier one, to a database that hangs, have deadlines behind the moment
// at which the process has to end. They are answered before it, not taken along.
func TestTheEndAnswersWhatWouldOutlastIt(t *testing.T) {
	address, asked := hung(t)
	p, ended := beginSlow(t, address)
	conn := p.connect(t, ask("1"))
	wait(t, asked)
	p.onLoop(p.stop)
	p.skip(lastClients + time.Second) // clients are told no more of it; this one has a request open
	conn.Write(ask("2"))
	wait(t, asked)
	p.skip(p.patience + answerMargin)
	got, err := io.ReadAll(conn)
	if err != nil || bytes.Count(got, []byte("SERROR\x00")) != 2 {
		t.Errorf("before its connection ended the client got %q, error %v", got, err)
	}
	<-ended
	if p.front.OutstandingAnswers() != 0 || p.front.Counters.Failed+p.front.Counters.Refused != 2 {
		t.Errorf("%d answers owed; counters %+v", p.front.OutstandingAnswers(), p.front.Counters)
	}
}

// Many commands of one client stand in its buffer at the end, more than may be under way, to a database that hangs: each has its answer.
func TestTheEndAnswersCommandsSentAtOnce(t *testing.T) {
	const commands = 100
	address, asked := hung(t)
	p, ended := beginSlow(t, address)
	var all [][]byte
	for i := range commands {
		all = append(all, ask(fmt.Sprint(i)))
	}
	conn := p.connect(t, all...)
	wait(t, asked)
	p.onLoop(p.stop)
	p.skip(lastClients)
	p.skip(p.patience + answerMargin)
	got, err := io.ReadAll(conn)
	if n := bytes.Count(got, []byte("SERROR\x00")); err != nil || n != commands {
		t.Errorf("%d of %d commands were answered, error %v", n, commands, err)
	}
	<-ended
}

// What is taken behind the signal has no more time than the process has, so that no attempt waits past its end.
func TestNoRequestOutlastsTheEnd(t *testing.T) {
	address, asked := hung(t)
	p, ended := beginSlow(t, address)
	p.onLoop(p.stop)
	conn := p.connect(t, ask("1"))
	told := wait(t, asked)
	if most := p.patience + answerMargin; told > most {
		t.Errorf("a database may take %v, all is to be answered within %v", told, most)
	}
	p.skip(p.patience + answerMargin)
	io.Copy(io.Discard, conn)
	<-ended
}

// At the end of a stop, where no client is left as far as the loop knows, the poller has just accepted a connection that the loop has yet to
// hear of, and its client has asked. The process does not end over it: the request is answered.
func TestTheEndWaitsForWhatThePollerHasAccepted(t *testing.T) {
	asked, answer := make(chan struct{}), make(chan struct{})
	close(answer)
	p, ended := begin(t, fmt.Sprintf(config, 1024, slowDatabase(t, asked, answer)))
	there, on := make(chan struct{}), make(chan struct{})
	first := true
	held := func(_ context.Context, f func()) { // the poller calls it
		if first {
			first = false
			close(there)
			<-on
		}
		p.loop.Post(f)
	}
	if err := netpoll.Configure(netpoll.Config{Runner: held}); err != nil {
		t.Fatal(err)
	}
	conn := p.connect(t, ask("1"))
	<-there
	atEnd := make(chan struct{})
	p.loop.Post(func() {
		p.stop()
		p.server.Drain()
		close(atEnd) // what the poller posts from here on stands behind this in the loop's queue
		p.drained()
	})
	<-atEnd
	close(on)
	got, err := io.ReadAll(conn)
	if err != nil || !bytes.Contains(got, []byte("\x00\x00\x00\x01vC")) {
		t.Errorf("the client got %q, error %v", got, err)
	}
	<-ended
	if c := p.front.Counters; c.Clients != 1 || c.Served != 1 {
		t.Errorf("%d clients, %d requests served", c.Clients, c.Served)
	}
}

// Lists that are pushed come as far as the agent on the own machine: it is asked, and watched, like any other service.
func TestAPushedListIsWatched(t *testing.T) {
	address, calls := discovery(t)
	text := strings.Replace(fmt.Sprintf(config, 1024, "127.0.0.1:1"), `"tick"`, `"discovery": "pushed", "safety": {"stop_sending_within": 1000000}, "tick"`, 1)
	begin(t, strings.Replace(text, `"discovery": "127.0.0.1:1"`, fmt.Sprintf(`"discovery": %q`, address), 1))
	if got, want := wait(t, calls), "/v1/endpoints?after=1&wait_ms=50"; got != want { // the stand-in keeps it waiting
		t.Errorf("a call is %s, want %s", got, want)
	}
}

// A restarted process is ready within its few seconds, and serves what it can from the list that it was started with, however discovery fails.
func TestReadyHoweverDiscoveryFails(t *testing.T) {
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close() // connections come up, and nobody reads
	busy := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) })}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go busy.Serve(ln)
	defer busy.Close()
	for how, address := range map[string]string{"refuses": "127.0.0.1:1", "is mute": mute.Addr().String(), "is busy": ln.Addr().String()} {
		t.Run(how, func(t *testing.T) {
			asked, answer := make(chan struct{}), make(chan struct{})
			close(answer)
			text := fmt.Sprintf(config, 1024, slowDatabase(t, asked, answer))
			p, _ := begin(t, strings.Replace(text, `"discovery": "127.0.0.1:1"`, fmt.Sprintf(`"discovery": %q`, address), 1))
			conn := p.connect(t, pg.AppendQuery(nil, ""))
			if _, err := io.ReadFull(conn, make([]byte, len(pg.AppendEmpty(pg.AppendWelcome(nil))))); err != nil {
				t.Fatalf("the empty query, by which the platform asks, is not answered: %v", err)
			}
			conn.Write(ask("1"))
			wait(t, asked) // the list in hand is used
			p.skip(settleAnyway)
			for ready := false; !ready; {
				p.onLoop(func() { ready = p.Ready() })
			}
		})
	}
}

// Idle clients fill all the places that there are while discovery is down. What is kept for databases is not theirs: one that asks is served by the
// list in hand, once the idle may be let go for it, and no more descriptors are held than the limit allows.
func TestIdleClientsFillTheDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	const limit = 128
	asked, answer := make(chan struct{}), make(chan struct{})
	close(answer)
	before := descriptors(t)
	p, _ := begin(t, fmt.Sprintf(config, limit, slowDatabase(t, asked, answer)))
	own := 0
	for range 2 * limit {
		p.connect(t, pg.AppendQuery(nil, ""))
		own++
	}
	if n := descriptors(t) - before - own - 2; n > limit { // the stand-in has two
		t.Errorf("%d descriptors are held, %d are allowed", n, limit)
	}
	p.skip(3 * time.Second)         // idle ones may be closed for others behind two
	for served := false; !served; { // a place may have to be made first: who finds none is told so, or closed, and comes again
		conn := p.connect(t, ask("1"))
		got, in := []byte(nil), make([]byte, 4096)
		for {
			n, err := conn.Read(in)
			if got = append(got, in[:n]...); err != nil || bytes.Contains(got, []byte("\x00\x00\x00\x01vC")) || bytes.Contains(got, []byte("SERROR")) {
				break
			}
		}
		served = bytes.Contains(got, []byte("\x00\x00\x00\x01vC"))
		conn.Close()
	}
}

// descriptors counts those of this process.
func descriptors(t *testing.T) int {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip(err)
	}
	return len(all)
}
