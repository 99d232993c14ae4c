package net

import (
	"time"

	"havenproxy/internal/limit"
)

// idleCloseFraction is the divisor of the limit of connections above whose quotient idle clients are closed early.
const idleCloseFraction = 3

// maxEvictionLooks is the number of clients of which the kernel is asked whether they have sent something, for one new connection.
const maxEvictionLooks = 16

// connections returns what decides which clients give way.
func (s *Server) connections() limit.Connections {
	return limit.Connections{Open: len(s.clients), Rejected: s.excess, Silent: s.silent.Len(), Max: s.maxClients, MaxExcess: s.maxExcess}
}

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
		if !s.connections().IdleGivesWay(now - c.since) {
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
	looks := maxEvictionLooks
	for left := s.silent.Len(); left > 0 && element != nil; left-- {
		c := element.Value.(*client)
		element = element.Next() // evict may remove the client, or move it to the back
		connections := s.connections()
		if !connections.SilentMayGiveWay() {
			return false
		}
		if !connections.SilentGivesWay(now-c.since, c.incomplete) {
			continue
		}
		if !spareAsking || !limit.AboutToAsk(now-c.since, len(c.input.bytes)) {
			kept := !s.evict(c, now)
			othersLeft = othersLeft || kept
			if looks--; looks == 0 {
				return true
			}
		}
	}
	return othersLeft
}

// closeIdleClients closes clients that have long been idle when many are connected. Their connections may be needed
// elsewhere: a load balancer in front of the proxies opens only a share of its descriptors.
func (s *Server) closeIdleClients() {
	now := s.clock.Now()
	for element := s.idle.Front(); element != nil && len(s.clients) > s.idleCloseThreshold; element = s.idle.Front() {
		c := element.Value.(*client)
		if due := c.since + limit.MinIdleTime; due > now { // also ends the round at the first client that evict has kept
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
	reason := reasonEvictedIdle
	if !c.hasQueried {
		reason = reasonEvictedSilent
	}
	c.endsFor(reason)
	c.closeNow()
	s.engine.Counters.ClientsEvicted++
	return true
}
