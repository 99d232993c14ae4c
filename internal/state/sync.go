package state

import (
	"slices"

	"havenproxy/logic"
)

// Synchronization of a connection after each answer. An answer does not identify its command, and a database may send
// more than one answer to a command. So a command without effect, whose answer is of a kind of its own, follows each
// answer: when that answer arrives and nothing precedes it, no byte of an earlier answer is under way any more, and the
// connection may be used again.

// synchronize begins to make a connection whose answer is complete available again.
func (e *Engine) synchronize(c *pooledConn) {
	m := c.member
	if m.state != logic.Ready || c.address != m.address {
		e.closeConn(c)
		return
	}
	c.state = connSyncing
	if c.forProbes && e.fewConns() {
		c.forProbes, m.probeConn = false, nil
		m.conns[c] = struct{}{}
	}
	if !c.forProbes {
		m.syncingConns = append(m.syncingConns, c)
		e.idleConns.add(c)
	}
	e.Deadlines.Set(&c.Deadline, e.clock.Now()+e.cfg.ConnectTimeout, c.syncFailed)
	if err := c.conn.Sync(); err != nil {
		c.syncFailed()
	}
}

// Synced implements Listener.
func (c *pooledConn) Synced() {
	e, m := c.engine, c.member
	if c.state != connSyncing {
		return
	}
	e.Deadlines.Clear(&c.Deadline)
	c.unlist()
	m.syncingConns = slices.DeleteFunc(m.syncingConns, func(x *pooledConn) bool { return x == c })
	switch waited := c.attempt != nil || c.probeQueued; {
	case waited && !c.conn.Reusable(): // it has ended, or more has been received since
		c.syncFailed()
	case c.attempt != nil:
		e.writeAttempt(c, c.attempt)
	case c.probeQueued:
		c.probeQueued = false
		e.sendProbe(c)
	default:
		e.makeAvailable(c)
	}
}

// syncFailed closes a connection that has ended, has received anything but the answer expected, or none in time.
// Nothing was sent for the attempt that waits for it, which gets another connection.
func (c *pooledConn) syncFailed() {
	e, a := c.engine, c.attempt
	if c.state != connSyncing {
		return
	}
	c.attempt = nil
	e.Counters.SyncsFailed++
	e.closeConn(c)
	if a == nil {
		return
	}
	a.conn = nil
	if e.sendable(a.member) {
		e.assignConn(a)
	} else {
		e.finish(a, Reply{Result: logic.NotSent})
	}
}

// takeSyncingConn removes and returns the connection to a member that is likely to be available next; nil if there is
// none that nobody waits for yet.
func (e *Engine) takeSyncingConn(m *member) *pooledConn {
	if len(m.syncingConns) == 0 {
		return nil
	}
	c := m.syncingConns[0]
	m.syncingConns = slices.Delete(m.syncingConns, 0, 1)
	c.unlist()
	return c
}
