package net

import "time"

// This file holds the time that a client has for its first query, and for the rest of a query that it has begun to send.

const (
	// A query that has arrived at its timeout is looked at again after each lateInputPause, until maxLateInput is over.
	lateInputPause = time.Millisecond
	maxLateInput   = 300 * time.Millisecond
)

// updateQueryTimer starts the timer for the rest of a query that has been sent in part, once for each query.
func (c *client) updateQueryTimer(newQuery bool) {
	if !c.hasQueried {
		return // the timer for the first query is running
	}
	partial := c.incomplete
	switch {
	case partial && (newQuery || !c.partialQuery):
		c.startQueryTimer()
	case !partial && c.partialQuery:
		c.server.deadlines.Clear(&c.timer)
	}
	c.partialQuery = partial
}

// startQueryTimer gives the client queryTimeout to complete a query.
func (c *client) startQueryTimer() {
	c.timedOutAt = 0
	c.server.deadlines.Set(&c.timer, c.server.clock.Now()+queryTimeout, c.queryTimedOut)
}

// queryTimedOut closes the connection if the query is still incomplete once everything that has arrived was handled: only
// the loop may be late.
func (c *client) queryTimedOut() {
	if c.phase >= phaseClosing {
		return
	}
	if c.waitsForMemory {
		c.startQueryTimer()
		return
	}
	now := c.server.clock.Now()
	if c.timedOutAt == 0 {
		c.timedOutAt = now // the loop may be late by any time
	}
	if now < c.timedOutAt+maxLateInput && c.hasUnhandledInput() && c.mayRead() { // it is about to have its turn
		c.server.deadlines.Set(&c.timer, now+lateInputPause, c.queryTimedOut)
		return
	}
	if incomplete := !c.hasQueried || c.partialQuery; incomplete {
		c.endsFor(reasonQueryTimeout)
		c.closeMalformed(errQueryTimeout)
	}
}

// noteQuery records that the client has sent a complete query, so that it no longer counts as silent.
func (c *client) noteQuery() {
	if !c.hasQueried {
		c.hasQueried = true
		c.server.deadlines.Clear(&c.timer)
	}
}
