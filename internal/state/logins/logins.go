// Package logins decides who may try to log in, and when: a check of a password costs milliseconds, and whoever guesses
// tries by the hundreds. It is pure; the clock is handed in.
package logins

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Config bounds what logins may cost.
type Config struct {
	FreeFailures     int           // failures of one peer and user before there is a wait; default 5
	FirstWait        time.Duration // after the next one, doubled with each further one; default 500 ms
	MaxWait          time.Duration // the longest wait; default 30 s
	ForgetAfter      time.Duration // behind so long without a failure it is forgotten; default 60 s
	MaxPeers         int           // peers that are remembered; default 1,024
	MaxChecks        int           // costly checks that may be waiting or at work; default 16
	MaxChecksPerPeer int           // of them, of one peer; default 4
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
	set(&c.FreeFailures, 5)
	span(&c.FirstWait, 500*time.Millisecond)
	span(&c.MaxWait, 30*time.Second)
	span(&c.ForgetAfter, time.Minute)
	set(&c.MaxPeers, 1024)
	set(&c.MaxChecks, 16)
	set(&c.MaxChecksPerPeer, 4)
	return c
}

// Login is a peer, by its address without the port, and the user that it names. One application's host must not lock out
// another's, nor one user the others of a host.
type Login struct{ Peer, User string }

type record struct {
	failures     int
	lastFailure  time.Duration // of the last failure
	blockedUntil time.Duration // no try before
}

// Guard is the state. It is not safe for concurrent use.
type Guard struct {
	cfg           Config
	records       *simplelru.LRU[Login, *record] // those that failed, the least recently seen of which is forgotten
	checksByPeer  map[string]int
	runningChecks int
}

// New makes a guard.
func New(cfg Config) *Guard {
	g := &Guard{cfg: cfg.WithDefaults(), checksByPeer: map[string]int{}}
	g.records, _ = simplelru.NewLRU[Login, *record](g.cfg.MaxPeers, nil)
	return g
}

// Allow tells whether a login may be looked at now; otherwise how long its peer has to wait. A try that comes too early
// doesn't lengthen the wait: a program that only retries gets in once its password has been mended.
func (g *Guard) Allow(now time.Duration, who Login) (wait time.Duration, ok bool) {
	r, ok := g.records.Peek(who)
	if !ok {
		return 0, true
	}
	if now-r.lastFailure >= g.cfg.ForgetAfter && now >= r.blockedUntil {
		g.records.Remove(who)
		return 0, true
	}
	if now < r.blockedUntil {
		return r.blockedUntil - now, false
	}
	return 0, true
}

// Failed notes a wrong password, or a user that there isn't: nobody is to tell one from the other by the waits.
func (g *Guard) Failed(now time.Duration, who Login) {
	r, ok := g.records.Get(who)
	if !ok {
		r = &record{}
		g.records.Add(who, r)
	}
	if r.lastFailure > 0 && now-r.lastFailure >= g.cfg.ForgetAfter {
		r.failures = 0
	}
	r.failures, r.lastFailure = r.failures+1, now
	if over := r.failures - g.cfg.FreeFailures; over > 0 {
		wait := g.cfg.MaxWait
		if over < 32 {
			wait = min(g.cfg.FirstWait<<(over-1), g.cfg.MaxWait)
			if wait <= 0 {
				wait = g.cfg.MaxWait
			}
		}
		r.blockedUntil = now + wait
	}
}

// Succeeded notes a right password.
func (g *Guard) Succeeded(who Login) { g.records.Remove(who) }

// Len counts the peers that are remembered.
func (g *Guard) Len() int { return g.records.Len() }

// StartCheck asks for a costly check on behalf of a peer. One that is let in is to be ended by Checked; others are turned away
// at once, for they would wait behind all of those.
func (g *Guard) StartCheck(peer string) bool {
	if g.runningChecks >= g.cfg.MaxChecks || g.checksByPeer[peer] >= g.cfg.MaxChecksPerPeer {
		return false
	}
	g.runningChecks++
	g.checksByPeer[peer]++
	return true
}

// EndCheck ends a costly check.
func (g *Guard) EndCheck(peer string) {
	g.runningChecks--
	if g.checksByPeer[peer]--; g.checksByPeer[peer] <= 0 {
		delete(g.checksByPeer, peer)
	}
}
