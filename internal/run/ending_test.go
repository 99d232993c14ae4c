package run

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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

// begin starts a proxy on a clock of the test's.
func begin(t *testing.T, text string) (*proxy, chan struct{}) {
	cfg, err := settings.ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	p, err := startOn(cfg, &skipClock{SystemClock: state.NewClock()})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { p.loop.Run(); close(ended) }()
	return p, ended
}

// hung is a database that takes queries and never answers; it tells of each.
func hung(t *testing.T) (address string, asked chan struct{}) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	asked = make(chan struct{}, 99)
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
					if bytes.Contains(seen, []byte("SELECT val")) {
						seen = nil
						asked <- struct{}{}
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), asked
}

func wait(t *testing.T, asked chan struct{}) {
	t.Helper()
	select {
	case <-asked:
	case <-time.After(20 * time.Second): // only there to end a test that hangs
		t.Fatal("the database was not asked")
	}
}

func ask(id string) []byte {
	return pg.AppendQuery(nil, "SELECT val FROM state WHERE uid = 'a' /* id="+id+",c=any,d=20000,cluster=0 */")
}

// Requests that come late in a stop, on a connection kept open by an earlier one, to a database that hangs, have deadlines behind the moment
// at which the process has to end. They are answered before it, not taken along.
func TestTheEndAnswersWhatWouldOutlastIt(t *testing.T) {
	address, asked := hung(t)
	p, ended := begin(t, strings.Replace(fmt.Sprintf(config, 1024, address), `"aim": 10000000`, `"aim": 1000000`, 1))
	conn, err := net.Dial("tcp", p.server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	conn.Write(append(pg.AppendStartup(nil, "client", "core"), ask("1")...))
	wait(t, asked)
	stopping := make(chan struct{})
	p.loop.Post(func() { p.stop(); close(stopping) })
	<-stopping
	p.skip(lastClients + time.Second) // clients are told no more of it; this one has a request open
	conn.Write(ask("2"))
	wait(t, asked)
	p.skip(p.patience + answerMargin)
	got, err := io.ReadAll(conn)
	if err != nil || bytes.Count(got, []byte("SERROR\x00")) != 2 {
		t.Errorf("before its connection ended the client got %q, error %v", got, err)
	}
	<-ended
	if p.front.Owed() != 0 || p.front.Counters.Failed+p.front.Counters.Refused != 2 {
		t.Errorf("%d answers owed; counters %+v", p.front.Owed(), p.front.Counters)
	}
}

// What is taken behind the signal has no more time than the process has, so that no attempt waits past its end.
func TestNoRequestOutlastsTheEnd(t *testing.T) {
	address, asked := hung(t)
	p, ended := begin(t, strings.Replace(fmt.Sprintf(config, 1024, address), `"aim": 10000000`, `"aim": 1000000`, 1))
	stopping := make(chan struct{})
	p.loop.Post(func() { p.stop(); close(stopping) })
	<-stopping
	conn, err := net.Dial("tcp", p.server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	conn.Write(append(pg.AppendStartup(nil, "client", "core"), ask("1")...))
	wait(t, asked)
	late := make(chan time.Duration, 1)
	p.loop.Post(func() { late <- p.front.LatestEnd() - p.answerBy })
	if d := <-late; d > 0 {
		t.Errorf("a request may run until %v behind the moment by which all is to be answered", d)
	}
	p.skip(p.patience + answerMargin)
	io.Copy(io.Discard, conn)
	<-ended
}

// Lists that are pushed come as far as the agent on the own machine: it is asked, and watched, like any other service.
func TestAPushedListIsWatched(t *testing.T) {
	address, calls := discovery(t)
	text := strings.Replace(fmt.Sprintf(config, 1024, "127.0.0.1:1"), `"tick"`, `"discovery": "pushed", "safety": {"stop_sending_within": 1000000}, "tick"`, 1)
	p, ended := begin(t, strings.Replace(text, `"discovery": "127.0.0.1:1"`, fmt.Sprintf(`"discovery": %q`, address), 1))
	for _, want := range []string{"/v1/endpoints?after=1&wait_ms=50"} { // the stand-in keeps it waiting: it is given up, and made anew
		select {
		case got := <-calls:
			if got != want {
				t.Errorf("a call is %s, want %s", got, want)
			}
		case <-time.After(20 * time.Second): // only there to end a test that hangs
			t.Fatal("nobody asks the agent")
		}
	}
	p.loop.Post(p.loop.Stop)
	<-ended
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
			p, ended := begin(t, strings.Replace(text, `"discovery": "127.0.0.1:1"`, fmt.Sprintf(`"discovery": %q`, address), 1))
			conn, err := net.Dial("tcp", p.server.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), ""))
			if _, err := io.ReadFull(conn, make([]byte, len(pg.AppendEmpty(pg.AppendWelcome(nil))))); err != nil {
				t.Fatalf("the empty query, by which the platform asks, is not answered: %v", err)
			}
			conn.Write(ask("1"))
			wait(t, asked) // the list in hand is used
			p.skip(settleAnyway)
			ready := make(chan bool)
			for done := false; !done; {
				p.loop.Post(func() { ready <- p.Ready() })
				done = <-ready
			}
			p.loop.Post(p.loop.Stop)
			<-ended
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
	p, ended := begin(t, fmt.Sprintf(config, limit, slowDatabase(t, asked, answer)))
	own := 0
	for range 2 * limit {
		conn, err := net.Dial("tcp", p.server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		own++
		conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), ""))
	}
	if n := descriptors(t) - before - own - 2; n > limit { // the stand-in has two
		t.Errorf("%d descriptors are held, %d are allowed", n, limit)
	}
	p.skip(3 * time.Second)         // idle ones may be closed for others behind two
	for served := false; !served; { // a place may have to be made first: who finds none is told so, or closed, and comes again
		conn, err := net.Dial("tcp", p.server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		conn.Write(append(pg.AppendStartup(nil, "client", "core"), ask("1")...))
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
	p.loop.Post(p.loop.Stop)
	<-ended
}

// descriptors counts those of this process.
func descriptors(t *testing.T) int {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip(err)
	}
	return len(all)
}
