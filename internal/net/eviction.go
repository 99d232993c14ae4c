package net

import "time"

const (
	// When connections run out, clients that make no use of theirs are closed: first those that have sent nothing for
	// minSilentTime, in which others ask and are answered, and also those beyond one in maxSilentFraction of all
	// connections; then those without an open request. The operators allow the latter after two seconds.
	minSilentTime     = 250 * time.Millisecond
	maxSilentFraction = 4
	minIdleTime       = 2 * time.Second
	idleCloseFraction = 3 // above one in this many of the connections, idle clients are closed before connections run out
)

func (s *Server) atLimit() bool { return len(s.clients)-s.excess >= s.maxClients }

// makeRoom closes silent and idle clients as long as the limit is reached, or too many clients are silent. It looks at
// each of them once at most: evict may keep a client, and what it waits for happens only once makeRoom has returned.
func (s *Server) makeRoom() {
	now := s.clock.Now()
	for range s.silent.Len() {
		c := s.silent.Front().Value.(*client)
		if !s.tooManySilent() && (!s.full() || now-c.since < minSilentTime) {
			break
		}
		s.evict(c, now)
	}
	for range s.idle.Len() {
		c := s.idle.Front().Value.(*client)
		if !s.full() || now-c.since < minIdleTime {
			break
		}
		s.evict(c, now)
	}
}

func (s *Server) tooManySilent() bool { return s.silent.Len() > s.maxClients/maxSilentFraction }

// full reports whether no further client can be served, or even rejected with an answer.
func (s *Server) full() bool { return s.atLimit() || len(s.clients) >= s.maxClients+s.maxExcess }

// closeIdleClients closes clients that have long been idle when many are connected. Their connections may be needed
// elsewhere: a load balancer in front of the proxies opens only a share of its descriptors.
func (s *Server) closeIdleClients() {
	now := s.clock.Now()
	for element := s.idle.Front(); element != nil && len(s.clients) > s.idleCloseThreshold; element = s.idle.Front() {
		c := element.Value.(*client)
		if due := c.since + minIdleTime; due > now { // also ends the round at the first client that evict has kept
			s.deadlines.Set(&s.idleCloseTimer, due, s.closeIdleClients)
			return
		}
		s.evict(c, now)
	}
}

// evict closes a client to make room, unless input of it has arrived that the loop has not handled, or it is still
// reading an answer.
func (s *Server) evict(c *client, now time.Duration) {
	if c.hasUnhandledInput() || c.hasQueried && c.output.delivering() {
		c.since = now
		c.list.MoveToBack(c.element)
		return
	}
	c.closeNow()
	s.engine.Counters.ClientsEvicted++
}
