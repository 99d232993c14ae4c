package run

import (
	"bytes"
	"encoding/binary"
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

// skipClock is the system's clock, which a test can advance.
type skipClock struct {
	*state.SystemClock
	skipped atomic.Int64
}

func (c *skipClock) Now() time.Duration {
	return c.SystemClock.Now() + time.Duration(c.skipped.Load())
}

// advance advances the clock and lets the loop process the timers that are due.
func (p *proxy) advance(d time.Duration) {
	p.clock.(*skipClock).skipped.Add(int64(d))
	p.loop.Post(func() {})
}

// begin starts a proxy on a skipClock. ended is closed when its loop has stopped.
func begin(t *testing.T, text string) (p *proxy, ended chan struct{}) {
	t.Helper()
	cfg, err := settings.ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if p, err = startWithClock(cfg, &skipClock{SystemClock: state.NewClock()}); err != nil {
		t.Fatal(err)
	}
	ended = make(chan struct{})
	go func() { p.loop.Run(); close(ended) }()
	t.Cleanup(func() {
		p.loop.Post(p.loop.Stop) // has no effect if the test has already stopped it
		<-ended
	})
	return p, ended
}

// beginSlow starts a proxy whose requests have an aim of 1 s and a limit of 20 s.
func beginSlow(t *testing.T, database string) (p *proxy, ended chan struct{}) {
	t.Helper()
	return begin(t, strings.Replace(fmt.Sprintf(config, 1024, database), `"aim": 10000000`, `"aim": 1000000`, 1))
}

// onLoop runs a function on the loop and waits for it to return.
func (p *proxy) onLoop(f func()) {
	done := make(chan struct{})
	p.loop.Post(func() { f(); close(done) })
	<-done
}

// connect opens a client connection and sends the startup message and some queries.
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

// patience only ends a test that hangs; no result depends on it.
const patience = 20 * time.Second

// serveDatabase starts a database. It passes the connection and each query's text to answer, until that returns false.
func serveDatabase(t *testing.T, answer func(conn net.Conn, text string) bool) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	t.Cleanup(func() { ln.Close(); close(ended) })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				<-ended
				conn.Close()
			}()
			go func() {
				defer conn.Close()
				conn.Write(pg.AppendStartupResponse(nil))
				in, seen := make([]byte, 4096), []byte(nil)
				for {
					n, err := conn.Read(in)
					if err != nil {
						return
					}
					seen = append(seen, in[:n]...)
					at := bytes.Index(seen, []byte("SELECT val"))
					if at < 0 || !bytes.HasSuffix(seen, []byte{0}) {
						continue
					}
					text := string(seen[at : len(seen)-1])
					if seen = nil; !answer(conn, text) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// hung starts a database that accepts queries and never answers. It sends the time limit of each query on asked.
func hung(t *testing.T) (address string, asked chan time.Duration) {
	asked = make(chan time.Duration, 99)
	address = serveDatabase(t, func(_ net.Conn, text string) bool {
		st, err := pg.ParseStatement(text)
		if err != nil {
			t.Error(err)
		}
		asked <- st.Timeout
		return true
	})
	return address, asked
}

// wait waits for the next value that a test server reports.
func wait[T any](t *testing.T, reports chan T) (value T) {
	t.Helper()
	select {
	case value = <-reports:
	case <-time.After(patience):
		t.Fatal("no request arrived")
	}
	return value
}

// ask returns a query with the given request ID.
func ask(id string) []byte {
	return pg.AppendQuery(nil, "SELECT val FROM state WHERE uid = 'a' /* id="+id+",c=any,d=20000,cluster=0 */")
}

// Requests that arrive late during a stop, on a connection with an open request to a database that hangs, have deadlines after the time at
// which the process must exit. They must be answered before the exit instead of being lost.
func TestStopAnswersRequestsBeforeTheirDeadlines(t *testing.T) {
	address, asked := hung(t)
	p, ended := beginSlow(t, address)
	conn := p.connect(t, ask("1"))
	wait(t, asked)
	p.onLoop(p.stop)
	p.advance(acceptGrace + time.Second) // no new clients arrive any more; this one has a request open
	conn.Write(ask("2"))
	wait(t, asked)
	p.advance(p.maxRequestTime + answerMargin)
	got, err := io.ReadAll(conn)
	if err != nil || bytes.Count(got, []byte("SERROR\x00")) != 2 {
		t.Errorf("before its connection ended the client got %q, error %v", got, err)
	}
	<-ended
	if p.engine.OutstandingAnswers() != 0 || p.engine.Counters.Failed+p.engine.Counters.Refused != 2 {
		t.Errorf("%d answers owed; counters %+v", p.engine.OutstandingAnswers(), p.engine.Counters)
	}
}

// At the stop, a client's buffer holds more commands than may be in flight, to a database that hangs. Each command must be answered.
func TestStopAnswersAllBufferedCommands(t *testing.T) {
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
	p.advance(acceptGrace)
	p.advance(p.maxRequestTime + answerMargin)
	got, err := io.ReadAll(conn)
	if n := bytes.Count(got, []byte("SERROR\x00")); err != nil || n != commands {
		t.Errorf("%d of %d commands were answered, error %v", n, commands, err)
	}
	<-ended
}

// givesInPieces starts a database that answers a query with the pieces that it is given.
func givesInPieces(t *testing.T, pieces chan []byte) (address string) {
	return serveDatabase(t, func(conn net.Conn, _ string) bool {
		for piece := range pieces {
			conn.Write(piece)
		}
		return false
	})
}

// TestStopLetsValuesEnd guards against a planned restart that cuts off a long value which its database is still giving, or answers that their
// client is still reading: the process ended by itself at its deadline. One that goes on for too long ends with it.
func TestStopLetsValuesEnd(t *testing.T) {
	const value, step = 1 << 20, 5 * time.Second // less than a stream may stand still
	const description = "T\x00\x00\x00\x1c\x00\x01val\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"
	row := binary.BigEndian.AppendUint32([]byte(description+"D"), value+10)
	row = binary.BigEndian.AppendUint32(append(row, 0, 1), value)
	answer := pg.AppendReadyForQuery(append(append(row, make([]byte, value)...), "C\x00\x00\x00\x0dSELECT 1\x00"...))
	for name, whole := range map[string]bool{"to its end": true, "for too long": false} {
		t.Run(name, func(t *testing.T) {
			pieces := make(chan []byte)
			p, ended := beginSlow(t, givesInPieces(t, pieces))
			conn := p.connect(t, ask("1"))
			io.ReadFull(conn, make([]byte, len(pg.AppendStartupResponse(nil))))
			sent := 200 << 10
			pieces <- answer[:sent]
			got := make([]byte, len(answer))
			received, err := io.ReadFull(conn, got[:100<<10])
			if err != nil {
				t.Fatalf("the answer begins with %.60q", got)
			}
			p.onLoop(p.stop)
			stay := p.maxRequestTime + exitMargin + step
			if !whole {
				stay += maxDeliveryTime
			}
			for passed := time.Duration(0); passed < stay && err == nil; passed += step {
				pieces <- answer[sent : sent+1000]
				sent += 1000
				var n int
				n, err = io.ReadFull(conn, got[received:received+1000])
				received += n
				p.advance(step)
			}
			if !whole {
				close(pieces)
				<-ended
				return
			}
			p.onLoop(func() {})
			select {
			case <-ended:
				t.Fatal("the process ended in the middle of a value")
			default:
			}
			pieces <- answer[sent:]
			if n, err := io.ReadFull(conn, got[received:]); err != nil || !bytes.Equal(got, answer) {
				t.Errorf("%d of %d bytes were received, error %v", received+n, len(answer), err)
			}
			close(pieces)
			io.Copy(io.Discard, conn)
			<-ended
		})
	}
}

// A request accepted after the signal must not get more time than the process has left, so that no attempt runs past the exit.
func TestStopLimitsDeadlinesOfNewRequests(t *testing.T) {
	address, asked := hung(t)
	p, ended := beginSlow(t, address)
	p.onLoop(p.stop)
	conn := p.connect(t, ask("1"))
	limit := wait(t, asked)
	if most := p.maxRequestTime + answerMargin; limit > most {
		t.Errorf("a database may take %v, but all requests must be answered within %v", limit, most)
	}
	p.advance(p.maxRequestTime + answerMargin)
	io.Copy(io.Discard, conn)
	<-ended
}

// At the end of a stop no client is left as far as the loop knows, but the kernel has just accepted a connection that the loop has not seen
// yet, and its client has sent a request. The process must answer the request before it exits.
func TestStopWaitsForConnectionsAcceptedByKernel(t *testing.T) {
	asked, answer := make(chan struct{}), make(chan struct{})
	close(answer)
	p, ended := begin(t, fmt.Sprintf(config, 1024, slowDatabase(t, asked, answer)))
	held, proceed := make(chan struct{}), make(chan struct{})
	p.loop.Post(func() {
		close(held)
		<-proceed
		p.stop()
		p.server.Drain()
		p.pollDrained()
	})
	<-held
	conn := p.connect(t, ask("1"))
	close(proceed)
	got, err := io.ReadAll(conn)
	if err != nil || !bytes.Contains(got, []byte("\x00\x00\x00\x01vC")) {
		t.Errorf("the client got %q, error %v", got, err)
	}
	<-ended
	if c := p.engine.Counters; c.Clients != 1 || c.Served != 1 {
		t.Errorf("%d clients, %d requests served", c.Clients, c.Served)
	}
}

// A pushed list only reaches the agent on this machine, so the proxy must poll and watch the agent like any other discovery service.
func TestPushedListIsPolledFromAgent(t *testing.T) {
	address, calls := discovery(t)
	text := strings.Replace(fmt.Sprintf(config, 1024, "127.0.0.1:1"), `"tick"`, `"discovery": "pushed", "safety": {"stop_sending_within": 1000000}, "tick"`, 1)
	begin(t, strings.Replace(text, `"discovery": "127.0.0.1:1"`, fmt.Sprintf(`"discovery": %q`, address), 1))
	if got, want := wait(t, calls), "/v1/endpoints?after=1&wait_ms=50"; got != want { // the test server leaves the call unanswered
		t.Errorf("a call is %s, want %s", got, want)
	}
}

// A restarted process must become ready within a few seconds and serve from its configured list, no matter how discovery fails.
func TestReadyDespiteDiscoveryFailure(t *testing.T) {
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close() // connections are established, but nobody reads from them
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
			if _, err := io.ReadFull(conn, make([]byte, len(pg.AppendEmptyQueryResponse(pg.AppendStartupResponse(nil))))); err != nil {
				t.Fatalf("the empty query, which the platform uses as a probe, is not answered: %v", err)
			}
			conn.Write(ask("1"))
			wait(t, asked) // the request is routed by the configured list
			p.advance(readyTimeout)
			for ready := false; !ready; {
				p.onLoop(func() { ready = p.Ready() })
			}
		})
	}
}

// While discovery is down, idle clients take all descriptors reserved for clients. They must not take those reserved for databases: a client
// that sends a request is served from the configured list once idle connections may be closed for it, and no more descriptors are open
// than the limit allows.
func TestIdleClientsLeaveDescriptorsForDatabases(t *testing.T) {
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
	if n := descriptors(t) - before - own - 2; n > limit { // the test database has two
		t.Errorf("%d descriptors are open, %d are allowed", n, limit)
	}
	p.advance(3 * time.Second)      // idle connections may be closed for others after two seconds
	for served := false; !served; { // idle connections may have to be closed first: until then a client is refused or disconnected, and retries
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

// descriptors returns the number of open file descriptors of this process.
func descriptors(t *testing.T) int {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip(err)
	}
	return len(all)
}
