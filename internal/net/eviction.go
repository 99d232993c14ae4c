package net

import "time"

const (
	// When connections run out, clients that make no use of theirs are closed: first those that have sent nothing for
	// minSilentTime, in which others ask and are answered, and also those beyond one in maxSilentFraction of all
	// connections, of whom those that are about to ask come last; then those without an open request. The operators allow
	// the latter after two seconds.
	minSilentTime     = 250 * time.Millisecond
	maxSilentFraction = 4
	minIdleTime       = 2 * time.Second
	idleCloseFraction = 3 // above one in this many of the connections, idle clients are closed before connections run out
)

func (s *Server) atLimit() bool { return len(s.clients)-s.excess >= s.maxClients }

// makeRoom closes silent and idle clients as long as the limit is reached, or too many clients are silent. It looks at
// each of them a bounded number of times: evict may keep a client, and what it waits for happens only once makeRoom has
// returned.
func (s *Server) makeRoom() {
	now := s.clock.Now()
	if othersLeft := s.evictSilent(now, true); !othersLeft {
		s.evictSilent(now, false)
	}
	for range s.idle.Len() {
		c := s.idle.Front().Value.(*client)
		if !s.full() || now-c.since < minIdleTime {
			break
		}
		s.evict(c, now)
	}
}

// evictSilent closes silent clients as long as there is need, those that have sent nothing for the longest time first.
// spareAsking makes it pass over those that are about to ask. It reports whether there still is need while it kept others
// because input of theirs has arrived, which will be handled soon.
func (s *Server) evictSilent(now time.Duration, spareAsking bool) (othersLeft bool) {
	element := s.silent.Front()
	for left := s.silent.Len(); left > 0 && element != nil; left-- {
		c := element.Value.(*client)
		element = element.Next() // evict may remove the client, or move it to the back
		if !s.tooManySilent() && (!s.full() || now-c.since < minSilentTime) {
			return false
		}
		if !spareAsking || !c.aboutToAsk(now) {
			kept := !s.evict(c, now)
			othersLeft = othersLeft || kept
		}
	}
	return othersLeft
}

// aboutToAsk reports whether a silent client has connected, or completed a message of its login, a moment ago. One that
// writes slowly is always half way through a message.
func (c *client) aboutToAsk(now time.Duration) bool {
	return len(c.input.bytes) == 0 && now-c.since < minSilentTime
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

// evict closes a client to make room and reports whether it has. It keeps one of which input has arrived that the loop has
// not handled, and one that is still reading an answer.
func (s *Server) evict(c *client, now time.Duration) bool {
	if c.hasUnhandledInput() || c.hasQueried && c.output.delivering() {
		c.since = now
		c.list.MoveToBack(c.element)
		return false
	}
	c.closeNow()
	s.engine.Counters.ClientsEvicted++
	return true
}
