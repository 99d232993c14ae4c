package state

import (
	"time"

	"havenproxy/internal/handover"
	"havenproxy/logic"
)

// Probes, their connections, and the connections that are kept after a probe timed out.

// probeTimeout is the maximum duration of a probe, including the time to open a connection.
const probeTimeout = 250 * time.Millisecond

// overdueKeptFor is how long a connection is kept after its probe timed out. A later answer on it distinguishes a
// network partition or a hang from a restart, which would have ended the connection. This is only done for probes: a
// request left on such a connection might run at any later time.
const overdueKeptFor = 20 * time.Second

// secondProbeTimeout is how long an overdue connection may take to answer its second probe, which is sent once an
// answer on another connection shows that the network path works.
const secondProbeTimeout = 300 * time.Millisecond

// fewConns reports whether the connection limit is too low for separate connections for probes, or whether few
// connections are to be open as health checks are shared. One connection then serves probes and requests in turn:
// otherwise those for probes would take up most of the limit, and requests would open and close the rest all the
// time.
func (e *Engine) fewConns() bool { return 2*len(e.members) > e.cfg.MaxConnections || e.SharesChecks() }

// Probe implements logic.Actions. Each member has a separate connection for probes unless connections are scarce, and
// a connection is never used for both at a time: a ping must measure the round trip, not a handshake or a request
// before it.
func (e *Engine) Probe(to logic.MemberID) {
	m := e.members[to]
	if m == nil || m.probeConn != nil && m.probeConn.state != connIdle && (m.probeConn.state != connSyncing || m.probeConn.probeQueued) {
		e.probeUnsent(to)
		return
	}
	e.Counters.Probes++
	if m.probeConn != nil && m.probeConn.state == connSyncing {
		m.probeConn.probeQueued = true
		return
	}
	if m.probeConn != nil && !m.probeConn.conn.Reusable() {
		e.closeConn(m.probeConn)
	}
	if m.probeConn == nil && e.fewConns() {
		if c := e.takeIdleConn(m); c != nil {
			delete(m.conns, c)
			c.forProbes, m.probeConn = true, c
		} else if c := e.takeSyncingConn(m); c != nil {
			delete(m.conns, c)
			c.forProbes, c.probeQueued, m.probeConn = true, true, c
			return
		}
	}
	if m.probeConn != nil {
		e.sendProbe(m.probeConn)
		return
	}
	c := e.openConn(m)
	if c == nil {
		e.probeUnsent(to)
		return
	}
	c.forProbes, m.probeConn = true, c
}

// probeUnsent tells the router that a probe was not sent, which says nothing about its member.
func (e *Engine) probeUnsent(to logic.MemberID) {
	e.dispatch(func() { e.events.Probed(e.clock.Now(), logic.ProbeEnd{Member: to, Result: logic.NotSent}) })
}

func (e *Engine) sendProbe(c *pooledConn) {
	c.state, c.probeSentAt = connBusy, e.clock.Now()
	e.Deadlines.Set(&c.Deadline, c.probeSentAt+probeTimeout, c.probeTimedOut)
	if err := c.conn.Probe(); err != nil {
		c.fail(Reply{Result: logic.ConnectFailed})
	}
}

// probeTimedOut ends the wait for a probe. The connection is kept as the member's overdueConn if there is none yet.
func (c *pooledConn) probeTimedOut() {
	e, m := c.engine, c.member
	if m.overdueConn != nil || m.state != logic.Ready {
		c.fail(Reply{Result: logic.TimedOut})
		return
	}
	c.state, m.probeConn, m.overdueConn = connOverdue, nil, c
	e.overdueConns.add(c)
	e.Deadlines.Set(&c.Deadline, e.clock.Now()+overdueKeptFor, func() { e.closeConn(c) })
	e.finishProbe(m, Reply{Result: logic.TimedOut}, 0)
}

func (e *Engine) finishProbe(m *member, r Reply, took time.Duration) {
	if r.Result == logic.OK {
		e.Counters.ProbesOK++
	}
	m.logReply(e.clock.Now(), r, true)
	e.reportEvidence(m, r, m.silent)
	if overdue := m.overdueConn; overdue != nil && r.Result == logic.OK && !overdue.probedAgain {
		defer overdue.probeAgain()
	}
	e.checks.recordCheck(e, m, r)
	p := logic.ProbeEnd{Member: m.id, Result: r.Result, Elapsed: took, Report: e.loadReport(r),
		ConnOpenedAt: r.connOpenedAt, DialRefused: r.dialRefused}
	e.dispatch(func() { e.events.Probed(e.clock.Now(), p) })
}

// endOverdue closes an overdue connection and reports to the router how it ended.
func (c *pooledConn) endOverdue(what handover.ConnectionEvidence) {
	e, m, opened := c.engine, c.member, c.openedAt
	e.closeConn(c)
	e.dispatch(func() { e.events.ConnectionEvidence(e.clock.Now(), m.id, what, opened) })
}

// probeAgain sends a second probe on an overdue connection once the network path works, as data sent during a
// partition may be lost or arrive many seconds later. If the database process has ended, its machine resets the
// connection; if the machine was partitioned, the connection stays open.
func (c *pooledConn) probeAgain() {
	if c.state != connOverdue {
		return
	}
	c.probedAgain = true
	if err := c.conn.Probe(); err != nil {
		c.Down()
		return
	}
	c.engine.Deadlines.Set(&c.Deadline, c.engine.clock.Now()+secondProbeTimeout, func() { c.endOverdue(handover.ConnectionUnresponsive) })
}

func (e *Engine) loadReport(r Reply) logic.Report {
	if !r.Load.Known {
		return logic.Report{Queue: -1}
	}
	return logic.Report{Role: r.Load.Role, Position: positionFromUnix(e.clock, r.Load.Position), Queue: r.Load.Queue}
}
