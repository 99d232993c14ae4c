package hostile

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"havenproxy/internal/lab/load"
	"havenproxy/internal/wire/pg"
)

const (
	clientPause = 5 * time.Millisecond // between an answer and a well-behaved client's next request
	clientWait  = 800 * time.Millisecond
	// answerGrace is how long past the client's time an answer still counts, by the protocol's rules.
	answerGrace  = 500 * time.Millisecond
	clientClass  = "katalog"
	redialPause  = 20 * time.Millisecond
	largestDelay = 10 * time.Second // that the histogram holds
)

// Answers counts how well-behaved clients' requests ended.
type Answers struct {
	Served, Refused, Failed int
	Closed                  int // the connection was closed before the request got an answer
	Unanswered              int // within the client's time and the grace behind it
	Crossed                 int // of a stopping process: the connection ended as the request was sent
	Excused                 int // the process was killed meanwhile
	Longest                 time.Duration
	Details                 []string // of requests that were closed or not answered

	latency *hdrhistogram.Histogram // microseconds
}

// quantile returns a quantile of the latencies of requests that were served, in milliseconds.
func (a *Answers) quantile(percent float64) float64 {
	if a.latency == nil {
		return 0
	}
	return float64(a.latency.ValueAtQuantile(percent)) / 1000
}

// P50 returns the median latency of requests that were served.
func (a *Answers) P50() time.Duration { return a.latencyAt(50) }

// P99 returns the 99th percentile of it.
func (a *Answers) P99() time.Duration { return a.latencyAt(99) }

func (a *Answers) latencyAt(percent float64) time.Duration {
	return time.Duration(a.quantile(percent) * float64(time.Millisecond))
}

// Lost returns the requests that were taken and got no answer in time.
func (a *Answers) Lost() int { return a.Closed + a.Unanswered }

// Clients are well-behaved: each has one request under way, on a connection that it keeps.
type Clients struct {
	target *Target
	seed   uint64
	begun  time.Time

	mu       sync.Mutex
	answers  Answers
	stopping bool
	killing  bool      // the process is being killed, and is not back
	back     time.Time // when it was back last
}

// crossingTime is how long after a request the end of its connection may arrive and still have been sent before the request was there.
const crossingTime = 50 * time.Millisecond

// Stopping tells whether the process has been told to stop: it may end connections on which a request is on its way.
func (c *Clients) Stopping(stopping bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = stopping
}

// Killing tells that the process is about to be killed, or that another one has been started: requests that were under way meanwhile get no
// answer.
func (c *Clients) Killing(killing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.killing && !killing {
		c.back = time.Now()
	}
	c.killing = killing
}

// lost records a request that was taken and got no answer.
func (c *Clients) lost(count *int, start time.Time, err error) {
	*count++
	c.answers.Details = append(c.answers.Details, fmt.Sprintf("sent at %.3f s, after %v: %v (the process is stopping: %v)", start.Sub(c.begun).Seconds(),
		time.Since(start).Round(time.Millisecond), err, c.stopping))
}

// NewClients returns clients of a proxy that have not asked yet.
func NewClients(target *Target, seed uint64) *Clients {
	return &Clients{target: target, seed: seed, begun: time.Now(), answers: Answers{latency: hdrhistogram.New(1, largestDelay.Microseconds(), 3)}}
}

// Answers returns what has come so far. It is called when all clients have stopped.
func (c *Clients) Answers() Answers {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers
}

// Run lets one client ask until the context ends.
func (c *Clients) Run(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(c.seed, uint64(number)+1))
	var conn net.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for ctx.Err() == nil {
		if conn == nil {
			if conn = c.connect(); conn == nil {
				sleep(ctx, redialPause)
				continue
			}
		}
		if !c.ask(ctx, conn, rng) {
			conn.Close()
			conn = nil
		}
		sleep(ctx, clientPause)
	}
}

func (c *Clients) connect() net.Conn {
	conn, err := net.DialTimeout("tcp", c.target.Postgres, time.Second)
	if err != nil {
		return nil
	}
	if _, err := conn.Write(pg.AppendStartup(nil, "client", "core")); err != nil {
		conn.Close()
		return nil
	}
	return conn
}

// ask sends a request and records how it ended. It returns whether the connection can be used again.
func (c *Clients) ask(ctx context.Context, conn net.Conn, rng *rand.Rand) bool {
	text := c.target.statement(fmt.Sprintf("%016x", rng.Uint64()), clientClass, rng.IntN(c.target.Model.Groups), rng.Uint64(), clientWait)
	start := time.Now()
	conn.SetDeadline(start.Add(clientWait + answerGrace))
	if _, err := conn.Write(pg.AppendQuery(nil, text)); err != nil {
		return false // it was not taken whole
	}
	reply, err := readReply(conn)
	took := time.Since(start)
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &c.answers
	switch {
	case err != nil && (c.killing || c.back.After(start)):
		a.Excused++
	case err != nil && c.stopping && took < crossingTime:
		a.Crossed++
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.lost(&a.Unanswered, start, err)
	case err != nil && ctx.Err() != nil: // the run, and with it perhaps the process, has ended
	case err != nil:
		c.lost(&a.Closed, start, err)
	case reply.ErrorCode == "":
		a.Served++
		a.Longest = max(a.Longest, took)
		a.latency.RecordValue(min(took, largestDelay).Microseconds())
	case reply.ErrorCode == pg.CodeTooManyConnections || reply.ErrorCode == pg.CodeCannotConnectNow:
		a.Refused++
	default:
		a.Failed++
	}
	return err == nil
}

// readReply reads the messages of an answer; those of the connection's start before it are passed over.
func readReply(conn net.Conn) (*pg.Reply, error) {
	var buf []byte
	reply := &pg.Reply{}
	for chunk := make([]byte, 4096); ; {
		m, n, err := pg.Next(buf)
		if err == nil && n > 0 {
			err = reply.Add(m)
		}
		switch {
		case err != nil:
			return nil, err
		case n == 0:
			got, err := conn.Read(chunk)
			if err != nil {
				if reply.ErrorCode != "" { // a fatal error is complete without more
					return reply, nil
				}
				return nil, err
			}
			buf = append(buf, chunk[:got]...)
			continue
		case reply.Ready() && (reply.Complete() || reply.ErrorCode != ""):
			return reply, nil
		case reply.Ready():
			reply.Reset()
		}
		buf = buf[n:]
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// statement words a request.
func (t *Target) statement(id, class string, group int, row uint64, wait time.Duration) string {
	for _, c := range t.Model.Classes {
		if c.Name == class {
			return load.StatementText(id, row, c.Class, "", group, 0, wait)
		}
	}
	return fmt.Sprintf("SELECT val FROM state WHERE uid = '%016x' /* id=%s,c=%s,d=%d,cluster=%d */", row, id, class, wait.Milliseconds(), group)
}
