// Package load sends a proxy requests as its clients would: open loop, on a schedule that waits for no answer, from a
// bounded number of sockets. Latency counts from when a request was meant to go out, so that a proxy that stalls is
// charged for all whom it made wait (without coordinated omission; G. Tene, "How NOT to measure latency"). What could
// not be sent in time is counted, never left out.
//
// It is a client like any other and knows of the proxy only its address. The stand-ins' answers tell which request
// they are for and how far the log was applied: a wrong answer or data that is too old is found here.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"havenproxy/internal/lab/arrivals"
	"havenproxy/internal/lab/history"
	"havenproxy/logic"
)

// Class is a class of request as its clients see it.
type Class struct {
	logic.Class
	Share     float64 // of the requests
	LateWorth float64 // part of the worth that an answer past the aim still has
}

// Retry says what clients do with a refusal.
type Retry struct {
	Most   int           // further tries of one request; 0 = none
	Honour bool          // wait as long as the hint says
	Wait   time.Duration // and at least so long
}

// Config describes the load. A zero Sockets means 200, a zero Sessions 400 a group.
type Config struct {
	Address    string
	Dial       func(until time.Time) (net.Conn, error) // in place of TCP to the address; nil = that
	Seed       uint64
	Classes    []Class
	Groups     int
	Rate       func(t time.Duration) float64 // requests a second, all groups together
	Arrivals   arrivals.Source               // in place of those that Rate and Sessions would give; nil = those
	For        time.Duration
	Sockets    int
	Sessions   int
	HotSession float64 // part of each group's requests that one session sends
	Retry      Retry
	Protocol   string                           // "postgres", "mysql" or "mysql-prepared"; the first where empty
	Progress   func(at time.Duration, s Sample) // once a second
	Record     bool                             // the history of writes, for a checker
}

// Protocols are what clients can speak.
var Protocols = []string{"postgres", "mysql", "mysql-prepared"}

// Outcome is how a request ended for its client.
type Outcome uint8

// The outcomes.
const (
	InAim   Outcome = iota
	Late            // served past the aim
	Refused         // and every try after it, if any
	Failed
	Unsent // its time was over before a socket was free
	Silent // no answer before its time was over: the proxy owes one
	outcomes
)

// Names of the outcomes.
var Names = [outcomes]string{"in aim", "late", "refused", "failed", "unsent", "silent"}

type request struct {
	class int
	group int
	sess  *session
	key   string
	due   time.Time // when it was meant to go out
	sent  time.Time // when its first try went out
	tries int
}

type session struct {
	id    uint64
	mu    sync.Mutex
	after int64 // Unix milliseconds of its last commit
}

// Run sends the load and returns when the last request has ended.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if cfg.Sockets <= 0 {
		cfg.Sockets = 200
	}
	if cfg.Sessions <= 0 {
		cfg.Sessions = 400
	}
	sum := 0.0
	for _, c := range cfg.Classes {
		sum += c.Share
	}
	if sum <= 0 || cfg.Groups < 1 || cfg.Rate == nil && cfg.Arrivals == nil || cfg.For <= 0 {
		return nil, fmt.Errorf("load: classes with shares, groups, a rate and a length are needed")
	}
	g := &generator{cfg: cfg, rec: newRecorder(cfg), rng: rand.New(rand.NewPCG(cfg.Seed, 0x10ad)), sessions: map[[2]int]*session{}}
	g.ready = sync.NewCond(&g.mu)
	var workers sync.WaitGroup
	for range cfg.Sockets {
		workers.Add(1)
		go func() { defer workers.Done(); g.work() }()
	}
	g.schedule(ctx)
	g.open.Wait() // every request has ended
	g.mu.Lock()
	g.closed = true
	g.ready.Broadcast()
	g.mu.Unlock()
	workers.Wait()
	return g.rec.result(), nil
}

type generator struct {
	cfg      Config
	rec      *recorder
	rng      *rand.Rand          // of names
	sessions map[[2]int]*session // by group and number; the schedule's alone
	open     sync.WaitGroup

	mu     sync.Mutex
	ready  *sync.Cond
	queue  []*request
	closed bool
}

// schedule lets requests out at their times, whatever becomes of those before them.
func (g *generator) schedule(ctx context.Context) {
	start := time.Now()
	g.rec.start = start
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	timer := time.NewTimer(0)
	<-timer.C
	source := g.cfg.Arrivals
	if source == nil {
		shares := make([]float64, len(g.cfg.Classes))
		for i, c := range g.cfg.Classes {
			shares[i] = c.Share
		}
		source = arrivals.New(arrivals.Config{Seed: g.cfg.Seed, Rate: g.cfg.Rate, For: g.cfg.For, Shares: shares, Groups: g.cfg.Groups,
			Sessions: g.cfg.Sessions, HotSession: g.cfg.HotSession})
	}
	for {
		in, more := source.Next()
		if !more || in.At >= g.cfg.For || ctx.Err() != nil {
			return
		}
		r := g.draw(in)
		r.due = start.Add(in.At)
		if wait := time.Until(r.due); wait > 0 {
			timer.Reset(wait)
		waiting:
			for {
				select {
				case <-timer.C:
					break waiting
				case <-tick.C:
					g.progress(in.At)
				case <-ctx.Done():
					return
				}
			}
		}
		g.rec.lateness(time.Since(r.due))
		g.open.Add(1)
		g.push(r)
	}
}

func (g *generator) progress(t time.Duration) {
	if g.cfg.Progress != nil {
		g.cfg.Progress(t, g.rec.last())
	}
}

func (g *generator) draw(in arrivals.Request) *request {
	r := &request{class: in.Class, group: in.Group}
	name := [2]int{in.Group, in.Session}
	if r.sess = g.sessions[name]; r.sess == nil { // named by the run, so that two runs against one proxy don't meet
		r.sess = &session{id: g.rng.Uint64() | 1<<63}
		g.sessions[name] = r.sess
	}
	if g.cfg.Classes[r.class].Read == logic.Write {
		r.key = fmt.Sprintf("%016x", g.rng.Uint64())
	}
	return r
}

func (g *generator) push(r *request) {
	g.mu.Lock()
	g.queue = append(g.queue, r)
	g.mu.Unlock()
	g.ready.Signal()
}

func (g *generator) pop() *request {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.queue) == 0 {
		if g.closed {
			return nil
		}
		g.ready.Wait()
	}
	r := g.queue[0]
	g.queue[0] = nil
	g.queue = g.queue[1:]
	return r
}

// work is one socket: it sends one request at a time, on a connection that it keeps.
func (g *generator) work() {
	at := socket{address: g.cfg.Address, dialer: g.cfg.Dial}
	var c talker = &conn{at}
	if g.cfg.Protocol != "" && g.cfg.Protocol != Protocols[0] {
		c = &mysqlConn{socket: at, prepared: g.cfg.Protocol == Protocols[2]}
	}
	defer c.close()
	for r := g.pop(); r != nil; r = g.pop() {
		g.try(c, r)
	}
}

// slack is what an answer may be late against the client's own clock before it counts as missing.
const slack = 50 * time.Millisecond

func (g *generator) try(c talker, r *request) {
	class := &g.cfg.Classes[r.class]
	until := r.due.Add(class.Limit)
	now := time.Now()
	if !now.Before(until) {
		if r.tries > 0 {
			g.end(r, Refused, now)
		} else {
			g.end(r, Unsent, now)
		}
		return
	}
	if r.tries == 0 {
		r.sent = now
		g.rec.wait(now.Sub(r.due))
	}
	r.tries++
	var after int64
	if class.Read == logic.Session {
		r.sess.mu.Lock()
		after = r.sess.after
		r.sess.mu.Unlock()
	}
	a := ask(c, r, class, after, until)
	called := now
	now = time.Now()
	if g.cfg.Record && r.key != "" {
		g.rec.write(history.Write{Key: r.key, Group: r.group, Call: called.Sub(g.rec.start), Return: now.Sub(g.rec.start),
			End: map[kind]history.End{silent: history.Unanswered, served: history.Served, refused: history.Refused, failed: history.Failed}[a.kind]})
	}
	switch a.kind {
	case served:
		g.check(r, class, a, after)
		if class.Read == logic.Write {
			r.sess.mu.Lock()
			r.sess.after = max(r.sess.after, a.at)
			r.sess.mu.Unlock()
		}
		if now.Sub(r.due) <= class.Aim {
			g.end(r, InAim, now)
		} else {
			g.end(r, Late, now)
		}
	case refused:
		g.rec.refusal(r.class, now)
		wait := g.cfg.Retry.Wait
		if g.cfg.Retry.Honour {
			wait = max(wait, a.hint)
		}
		if r.tries > g.cfg.Retry.Most || !now.Add(wait).Before(until) {
			g.end(r, Refused, now)
			return
		}
		if wait <= 0 {
			g.push(r)
			return
		}
		time.AfterFunc(wait, func() { g.push(r) })
	case failed:
		g.end(r, Failed, now)
	default:
		g.end(r, Silent, now)
	}
}

// check holds an answer against what its class promises.
func (g *generator) check(r *request, class *Class, a answer, after int64) {
	switch {
	case !a.ours:
		g.rec.fault("an answer to another request")
	case class.Read == logic.Session && a.at < after:
		g.rec.fault("a session's read missed its write")
	case class.Read == logic.Bounded && a.at < a.asked.Add(-class.MaxAge).UnixMilli()-int64(slack/time.Millisecond):
		g.rec.fault("data older than its class allows")
	}
}

func (g *generator) end(r *request, o Outcome, now time.Time) {
	g.rec.end(r, o, now)
	g.open.Done()
}
