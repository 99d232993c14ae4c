package net

import (
	"time"

	"havenproxy/internal/limit"
)

// maxFinishTime is how long the end of the process may be put off by clients that keep sending.
const maxFinishTime = 50 * time.Millisecond

// This file holds the rounds in which clients get their turns, and the memory that their input may take.

// scheduleInput gives a client a turn in the next round.
func (s *Server) scheduleInput(c *client) {
	if c.scheduled || c.phase == phaseClosed {
		return
	}
	c.scheduled = true
	s.inputQueue = append(s.inputQueue, c)
	s.postRound()
}

func (s *Server) postRound() {
	if !s.roundPosted {
		s.roundPosted = true
		s.loop.Post(s.serveRound)
	}
}

// serveRound gives each waiting client a turn, for limit.RoundTime at most. Clients that have more to do get their next
// turn behind the others, and everything else that the loop has to do comes before the next round.
func (s *Server) serveRound() {
	s.roundPosted = false
	until := s.clock.Now() + limit.RoundTime
	waiting := len(s.inputQueue)
	served := 0
	for served < waiting && (served == 0 || s.clock.Now() < until) {
		c := s.inputQueue[served]
		s.inputQueue[served] = nil
		served++
		c.scheduled = false
		if c.serveInput() {
			s.scheduleInput(c)
		}
	}
	s.inputQueue = append(s.inputQueue[:0], s.inputQueue[served:]...)
	if len(s.inputQueue) > 0 {
		s.postRound()
	}
}

// FinishInput serves rounds until all input that has arrived is handled, for maxFinishTime at most. It is for the end of the
// process, when further requests are refused at once.
func (s *Server) FinishInput() {
	until := s.clock.Now() + maxFinishTime
	for len(s.inputQueue) > 0 && s.clock.Now() < until {
		s.serveRound()
	}
}

// memoryReleased gives the clients that wait for memory a turn.
func (s *Server) memoryReleased() {
	if len(s.memoryWaiters) > 0 && !s.waitersPosted {
		s.waitersPosted = true
		s.loop.Post(s.resumeWaiters)
	}
}

// resumeWaiters gives clients that wait for memory a turn, in their order and as far as there is some; the others go on
// waiting.
func (s *Server) resumeWaiters() {
	s.waitersPosted = false
	waiters, granted := s.memoryWaiters, 0
	s.memoryWaiters = s.memoryWaiters[:0]
	for _, c := range waiters {
		if c.phase < phaseClosing && !s.hasMemoryFor(c, granted) {
			s.memoryWaiters = append(s.memoryWaiters, c)
			continue
		}
		granted += c.waitingMessage
		c.waitsForMemory = false
		s.scheduleInput(c)
	}
	clear(waiters[len(s.memoryWaiters):])
}

// hasMemoryFor reports whether a client that waits for memory may go on, once as many bytes as granted are given to others.
func (s *Server) hasMemoryFor(c *client, granted int) bool {
	if c.waitsToRead {
		return s.inputBudget.AdmitsBuffer(granted + c.waitingMessage)
	}
	return s.inputBudget.Admits(granted+c.waitingMessage, len(c.pending))
}

// relieveMemory closes clients with incomplete messages while others wait to be read for want of memory, beginning with
// those that have held theirs longest; a client is given limit.BufferGrace for a message. Requests that were taken keep their
// answers.
func (s *Server) relieveMemory() {
	s.deadlines.Clear(&s.relieveTimer)
	now := s.clock.Now()
	for element := s.partial.Front(); element != nil && s.readersWait(); {
		c := element.Value.(*client)
		element = element.Next()
		if cap(c.input.bytes) <= limit.SmallMessage {
			continue
		}
		if due := c.incompleteSince + limit.BufferGrace; due > now {
			s.deadlines.Set(&s.relieveTimer, due, s.relieveMemory)
			return
		}
		c.closeForMemory()
	}
}

// readersWait reports whether the first client that waits to be read has no memory.
func (s *Server) readersWait() bool {
	for _, c := range s.memoryWaiters {
		if c.waitsToRead && c.phase < phaseClosing {
			return !s.hasMemoryFor(c, 0)
		}
	}
	return false
}
