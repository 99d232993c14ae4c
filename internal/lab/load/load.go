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
	"math"
	"math/rand/v2"
	"sync"
	"time"

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
	Seed       uint64
	Classes    []Class
	Groups     int
	Rate       func(t time.Duration) float64 // requests a second, all groups together
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
	class  int
	group  int
	sess   *session
	key    string
	due    time.Time // when it was meant to go out
	sent   time.Time // when its first try went out
	tries  int
	resent bool
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
	if sum <= 0 || cfg.Groups < 1 || cfg.Rate == nil || cfg.For <= 0 {
		return nil, fmt.Errorf("load: classes with shares, groups, a rate and a length are needed")
	}
	g := &generator{cfg: cfg, rec: newRecorder(cfg), rng: rand.New(rand.NewPCG(cfg.Seed, 0x10ad))}
	g.ready = sync.NewCond(&g.mu)
	for i := range cfg.Groups * cfg.Sessions {
		g.sessions = append(g.sessions, &session{id: g.rng.Uint64() | 1<<63 | uint64(i&1)})
	}
	var workers sync.WaitGroup
	for range cfg.Sockets {
		workers.Add(1)
		go func() { defer workers.Done(); g.work() }()
	}
	g.schedule(ctx, sum)
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
	rng      *rand.Rand // the schedule's alone
	sessions []*session
	open     sync.WaitGroup

	mu     sync.Mutex
	ready  *sync.Cond
	queue  []*request
	closed bool
}

// schedule lets requests out at the times that the rate gives, whatever becomes of those before them: gaps are
// exponential, thinned by the rate's course.
func (g *generator) schedule(ctx context.Context, sum float64) {
	start := time.Now()
	g.rec.start = start
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	timer := time.NewTimer(0)
	<-timer.C
	for t := time.Duration(0); ; {
		rate := g.cfg.Rate(t)
		if rate <= 0 {
			t += 10 * time.Millisecond
		} else {
			// A step of the rate must not be slept over: gaps are cut at 20 ms and drawn anew, which exponentials allow.
			gap := time.Duration(math.Min(g.rng.ExpFloat64()/rate, 1) * 1e9)
			if gap > 20*time.Millisecond {
				t += 20 * time.Millisecond
				if t < g.cfg.For {
					continue
				}
			}
			t += gap
		}
		if t >= g.cfg.For || ctx.Err() != nil {
			return
		}
		if rate <= 0 {
			continue
		}
		r := g.draw(sum)
		r.due = start.Add(t)
		if wait := time.Until(r.due); wait > 0 {
			timer.Reset(wait)
		waiting:
			for {
				select {
				case <-timer.C:
					break waiting
				case <-tick.C:
					g.progress(t)
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

func (g *generator) draw(sum float64) *request {
	r := &request{group: g.rng.IntN(g.cfg.Groups)}
	x := g.rng.Float64() * sum
	for i, c := range g.cfg.Classes {
		if r.class = i; x < c.Share {
			break
		}
		x -= c.Share
	}
	n := g.rng.IntN(g.cfg.Sessions)
	if g.cfg.HotSession > 0 && g.rng.Float64() < g.cfg.HotSession {
		n = 0
	}
	r.sess = g.sessions[r.group*g.cfg.Sessions+n]
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
	at := socket{address: g.cfg.Address}
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
