// Package logins decides who may try to log in, and when: a check of a password costs milliseconds, and whoever guesses
// tries by the hundreds. It is pure; the clock is handed in.
package logins

import (
	"container/list"
	"time"
)

// Config bounds what logins may cost.
type Config struct {
	Free    int           // failures of one peer and user before there is a wait; default 5
	Wait    time.Duration // after the next one, doubled with each further one; default 500 ms
	MostOf  time.Duration // the longest wait; default 30 s
	Fade    time.Duration // behind so long without a failure it is forgotten; default 60 s
	Peers   int           // peers that are remembered; default 1,024
	Checks  int           // costly checks that may be waiting or at work; default 16
	PerPeer int           // of them, of one peer; default 4
}

// WithDefaults fills in what is not set.
func (c Config) WithDefaults() Config {
	set := func(n *int, to int) {
		if *n <= 0 {
			*n = to
		}
	}
	span := func(d *time.Duration, to time.Duration) {
		if *d <= 0 {
			*d = to
		}
	}
	set(&c.Free, 5)
	span(&c.Wait, 500*time.Millisecond)
	span(&c.MostOf, 30*time.Second)
	span(&c.Fade, time.Minute)
	set(&c.Peers, 1024)
	set(&c.Checks, 16)
	set(&c.PerPeer, 4)
	return c
}

// Who is a peer, by its address without the port, and the user that it names. One application's host must not lock out
// another's, nor one user the others of a host.
type Who struct{ Peer, User string }

type record struct {
	who      Who
	failures int
	last     time.Duration // of the last failure
	until    time.Duration // no try before
}

// Guard is the state. It is not safe for concurrent use.
type Guard struct {
	cfg    Config
	known  map[Who]*list.Element
	order  list.List // the one that failed last in front
	checks map[string]int
	busy   int
}

// New makes a guard.
func New(cfg Config) *Guard {
	return &Guard{cfg: cfg.WithDefaults(), known: map[Who]*list.Element{}, checks: map[string]int{}}
}

// Try tells whether a login may be looked at now; otherwise how long its peer has to wait. A try that comes too early
// doesn't lengthen the wait: a program that only retries gets in once its password has been mended.
func (g *Guard) Try(now time.Duration, who Who) (wait time.Duration, ok bool) {
	e := g.known[who]
	if e == nil {
		return 0, true
	}
	r := e.Value.(*record)
	if now-r.last >= g.cfg.Fade && now >= r.until {
		g.forget(e)
		return 0, true
	}
	if now < r.until {
		return r.until - now, false
	}
	return 0, true
}

// Failed notes a wrong password, or a user that there isn't: nobody is to tell one from the other by the waits.
func (g *Guard) Failed(now time.Duration, who Who) {
	e := g.known[who]
	if e == nil {
		if len(g.known) >= g.cfg.Peers {
			g.forget(g.order.Back())
		}
		e = g.order.PushFront(&record{who: who})
		g.known[who] = e
	}
	r := e.Value.(*record)
	if r.last > 0 && now-r.last >= g.cfg.Fade {
		r.failures = 0
	}
	g.order.MoveToFront(e)
	r.failures, r.last = r.failures+1, now
	if over := r.failures - g.cfg.Free; over > 0 {
		wait := g.cfg.MostOf
		if over < 32 {
			wait = min(g.cfg.Wait<<(over-1), g.cfg.MostOf)
			if wait <= 0 {
				wait = g.cfg.MostOf
			}
		}
		r.until = now + wait
	}
}

// Passed notes a right password.
func (g *Guard) Passed(who Who) {
	if e := g.known[who]; e != nil {
		g.forget(e)
	}
}

func (g *Guard) forget(e *list.Element) {
	delete(g.known, g.order.Remove(e).(*record).who)
}

// Known counts the peers that are remembered.
func (g *Guard) Known() int { return len(g.known) }

// Check asks for a costly check on behalf of a peer. One that is let in is to be ended by Checked; others are turned away
// at once, for they would wait behind all of those.
func (g *Guard) Check(peer string) bool {
	if g.busy >= g.cfg.Checks || g.checks[peer] >= g.cfg.PerPeer {
		return false
	}
	g.busy++
	g.checks[peer]++
	return true
}

// Checked ends a costly check.
func (g *Guard) Checked(peer string) {
	g.busy--
	if g.checks[peer]--; g.checks[peer] <= 0 {
		delete(g.checks, peer)
	}
}
