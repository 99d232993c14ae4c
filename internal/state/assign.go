package state

import (
	"slices"

	"havenproxy/logic"
)

// Assignment of attempts to connections, up to the writing of the request. See connections.go for what follows.

// assignConn assigns a connection to an attempt: an idle one, or one that will be idle after a round trip, or a new one,
// which takes longer and costs its database more.
func (e *Engine) assignConn(a *attempt) {
	m := a.member
	if c := e.takeIdleConn(m); c != nil {
		e.writeAttempt(c, a)
		return
	}
	if c := e.takeSyncingConn(m); c != nil {
		c.attempt, a.conn = a, c
		return
	}
	c := e.openConn(m)
	if c == nil {
		e.assignOpeningConn(a)
		return
	}
	c.attempt, a.conn = a, c
	m.conns[c] = struct{}{}
	m.openingConns = append(m.openingConns, c)
}

// assignOpeningConn assigns a connection that is being established to an attempt for which none may be opened, if no
// other attempt waits for it any more because it was sent over another connection. Without one, the attempt ends:
// nothing was sent, and the database is not at fault.
func (e *Engine) assignOpeningConn(a *attempt) {
	unclaimed := func(c *pooledConn) bool { return c.attempt == nil && c.address == a.member.address }
	i := slices.IndexFunc(a.member.openingConns, unclaimed)
	if i < 0 {
		e.abort(a, Reply{Result: logic.NotSent})
		return
	}
	c := a.member.openingConns[i]
	c.attempt, a.conn = a, c
}

// openConn opens a connection. At the limit it first evicts another one; it returns nil if there is none to evict.
func (e *Engine) openConn(m *member) *pooledConn {
	if len(e.openConns)+e.opener.AbandonedDials() >= e.cfg.MaxConnections && !e.evictConn() {
		e.Counters.ConnectionsNotOpened++
		return nil
	}
	e.Counters.Opened++
	c := &pooledConn{engine: e, member: m, address: m.address}
	e.openConns[c] = struct{}{}
	c.conn = e.opener.Open(m.address, m.group, c)
	e.Deadlines.Set(&c.Deadline, e.clock.Now()+e.cfg.ConnectTimeout, c.Down)
	return c
}

// writeAttempt writes an attempt's request to an established connection.
func (e *Engine) writeAttempt(c *pooledConn, a *attempt) {
	e.Deadlines.Clear(&c.Deadline)
	if e.stale(a) || c.address != a.member.address {
		c.attempt, a.conn = nil, nil
		e.makeAvailable(c)
		e.finish(a, Reply{Result: logic.NotSent})
		return
	}
	c.state, c.attempt, a.conn = connBusy, a, c
	if err := c.conn.Send(a.req.command, a.deadline-e.clock.Now()); err != nil {
		e.abort(a, Reply{Result: logic.ConnectFailed})
		return
	}
	a.written = true
	e.Counters.Written++
}
