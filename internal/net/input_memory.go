package net

import (
	"havenproxy/internal/limit"
)

// This file holds the memory that clients' input may take: what is counted of it, who waits for some, and who is closed so that others
// get some.

// admitsMessage reports whether there is memory to handle a complete message of that many bytes. Otherwise the client
// waits until there is.
func (c *client) admitsMessage(length int) bool {
	if c.server.inputBudget.Admits(length, len(c.pending)) {
		return true
	}
	c.noteQuery()
	c.waitForMemory(length, false)
	return false
}

// reserveBuffer makes room for a message of that many bytes. If there is no memory for it now, the client waits.
func (c *client) reserveBuffer(length int) bool {
	if cap(c.input.bytes) >= length {
		return true
	}
	if !c.server.inputBudget.AdmitsBuffer(length - cap(c.input.bytes)) {
		if length > c.server.inputBudget.Total {
			c.closeForMemory()
			return false
		}
		c.waitForMemory(length, true)
		c.server.relieveMemory()
		return false
	}
	c.input.bytes = append(make([]byte, 0, length), c.input.bytes...)
	c.accountInput()
	return true
}

// closeForMemory closes the connection of a client for whose message there is no memory. The message was not handled.
func (c *client) closeForMemory() {
	c.server.engine.Counters.ClientsRejected++
	c.closeWithError(reasonNoMemory, "no memory for a query of this size now")
	c.dropInput()
	c.accountInput()
	c.updatePartialList()
}

// waitForMemory makes the client wait until memory has been released for a message of that many bytes: to read it, or to
// handle it.
func (c *client) waitForMemory(message int, toRead bool) {
	c.waitingMessage, c.waitsToRead = message, toRead
	if !c.waitsForMemory {
		c.waitsForMemory = true
		c.server.memoryWaiters = append(c.server.memoryWaiters, c)
	}
}

// accountInput updates the sum of the bytes that are held for clients.
func (c *client) accountInput() {
	before := c.accountedBytes
	c.accountedBytes = cap(c.input.bytes) + c.arrivals.size() + c.statementBytes
	c.server.inputBudget.HoldBuffers(c.accountedBytes - before)
	if c.accountedBytes < before {
		c.server.memoryReleased()
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
