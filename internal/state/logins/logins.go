// Package logins limits login attempts: a password check costs milliseconds, and an attacker guesses passwords by the
// hundreds. It does no I/O; the time is passed in by the caller.
package logins

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Config limits the cost of logins.
type Config struct {
	FreeFailures     int           // failures of a peer and user before a wait is imposed; default 5
	FirstWait        time.Duration // wait after the next failure, doubled with each further one; default 500 ms
	MaxWait          time.Duration // longest wait; default 30 s
	ForgetAfter      time.Duration // time without a failure after which the failures are forgotten; default 60 s
	MaxPeers         int           // peers and users that are remembered; default 1,024
	MaxChecks        int           // password checks that may be waiting or running; default 16
	MaxChecksPerPeer int           // password checks of one peer; default 4
}

// WithDefaults returns c with defaults for the fields that are not set.
func (c Config) WithDefaults() Config {
	setInt := func(n *int, to int) {
		if *n <= 0 {
			*n = to
		}
	}
	setDuration := func(d *time.Duration, to time.Duration) {
		if *d <= 0 {
			*d = to
		}
	}
	setInt(&c.FreeFailures, 5)
	setDuration(&c.FirstWait, 500*time.Millisecond)
	setDuration(&c.MaxWait, 30*time.Second)
	setDuration(&c.ForgetAfter, time.Minute)
	setInt(&c.MaxPeers, 1024)
	setInt(&c.MaxChecks, 16)
	setInt(&c.MaxChecksPerPeer, 4)
	return c
}

// Login is a peer, by its address without the port, and the user name that it sent. Both count together, so that an
// application's host does not lock out another host, nor a user the other users of the same host.
type Login struct{ Peer, User string }

type record struct {
	failures     int
	lastFailure  time.Duration // time of the last failure
	blockedUntil time.Duration // no attempt is allowed before
}

// Guard holds the state of login attempts. It is not safe for concurrent use.
type Guard struct {
	cfg           Config
	records       *simplelru.LRU[Login, *record] // logins that failed; the least recently used one is forgotten
	checksByPeer  map[string]int
	runningChecks int
}

// New returns a guard with defaults for the settings that are not set.
func New(cfg Config) *Guard {
	g := &Guard{cfg: cfg.WithDefaults(), checksByPeer: map[string]int{}}
	g.records, _ = simplelru.NewLRU[Login, *record](g.cfg.MaxPeers, nil)
	return g
}

// Allow reports whether a login may be attempted now, or else how long its peer has to wait. An early attempt does
// not extend the wait, so a program that keeps retrying gets in once its password has been corrected.
func (g *Guard) Allow(now time.Duration, login Login) (wait time.Duration, ok bool) {
	r, ok := g.records.Peek(login)
	if !ok {
		return 0, true
	}
	if now-r.lastFailure >= g.cfg.ForgetAfter && now >= r.blockedUntil {
		g.records.Remove(login)
		return 0, true
	}
	if now < r.blockedUntil {
		return r.blockedUntil - now, false
	}
	return 0, true
}

// Failed records a wrong password or an unknown user. Both are treated alike, so that the waits do not reveal which
// users exist.
func (g *Guard) Failed(now time.Duration, login Login) {
	r, ok := g.records.Get(login)
	if !ok {
		r = &record{}
		g.records.Add(login, r)
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

// Succeeded records a correct password, which clears the login's failures.
func (g *Guard) Succeeded(login Login) { g.records.Remove(login) }

// Len returns the number of logins with recorded failures.
func (g *Guard) Len() int { return g.records.Len() }

// StartCheck reports whether a password check for a peer may start. One that is allowed must be ended by EndCheck;
// others are refused at once, as they would have to wait for all running ones.
func (g *Guard) StartCheck(peer string) bool {
	if g.runningChecks >= g.cfg.MaxChecks || g.checksByPeer[peer] >= g.cfg.MaxChecksPerPeer {
		return false
	}
	g.runningChecks++
	g.checksByPeer[peer]++
	return true
}

// EndCheck ends a password check.
func (g *Guard) EndCheck(peer string) {
	g.runningChecks--
	if g.checksByPeer[peer]--; g.checksByPeer[peer] <= 0 {
		delete(g.checksByPeer, peer)
	}
}
