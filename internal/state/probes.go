package state

import (
	"time"

	"havenproxy/internal/handover"
	"havenproxy/logic"
)

// Probes, the connections that they go out on, and what an unanswered one is kept for.

// probeTimeout is how long a probe may take, a new connection included.
const probeTimeout = 250 * time.Millisecond

// witnessFor is how long a connection is kept whose probe had no answer. What comes on it later tells a cut, or a hang, from
// a restart, which would have ended it. Probes alone may be kept so: a request left behind might run any time.
const witnessFor = 20 * time.Second

// muteAfter is how long a witness may be silent that is asked once more behind an answer that shows the way to be free.
const muteAfter = 300 * time.Millisecond

// scarce tells that there is no room for a connection for probes beside each for requests, or that few are to be open as the tier shares
// health checks. Then one serves for both, one after the other: kept apart, those for probes would take most of what may be open, and
// requests open and close the rest in turn.
func (f *Engine) scarce() bool { return 2*len(f.members) > f.cfg.MaxConnections || f.SharesChecks() }

// Probe implements logic.Actions. Probes have a connection of their own to each member, unless connections are scarce, and none is
// shared at one time: a ping is to measure the way, not a handshake or a request before it.
func (f *Engine) Probe(to logic.MemberID) {
	m := f.members[to]
	if m == nil || m.probe != nil && m.probe.state != linkIdle {
		f.probeUnsent(to)
		return
	}
	f.Counters.Probes++
	if m.probe != nil && !m.probe.conn.Reusable() {
		f.close(m.probe)
	}
	if m.probe == nil && f.scarce() {
		if l := f.takeIdle(m); l != nil {
			delete(m.links, l)
			l.probing, m.probe = true, l
		}
	}
	if m.probe != nil {
		f.ask(m.probe)
		return
	}
	l := f.open(m)
	if l == nil {
		f.probeUnsent(to)
		return
	}
	l.probing, m.probe = true, l
}

// probeUnsent tells the router that a probe was never sent, which says nothing of its member.
func (f *Engine) probeUnsent(to logic.MemberID) {
	f.tell(func() { f.router.ProbeDone(f.clock.Now(), logic.ProbeResult{Member: to, Result: logic.NotSent}) })
}

func (f *Engine) ask(l *link) {
	l.state, l.asked = linkBusy, f.clock.Now()
	f.Deadlines.Set(&l.Deadline, l.asked+probeTimeout, l.overdue)
	if err := l.conn.Probe(); err != nil {
		l.fail(Reply{Result: logic.ConnectFailed})
	}
}

// overdue ends the wait for a probe. The first connection of a silence stays, as a witness.
func (l *link) overdue() {
	f, m := l.f, l.m
	if m.witness != nil || m.state != logic.Ready {
		l.fail(Reply{Result: logic.TimedOut})
		return
	}
	l.state, m.probe, m.witness = linkWitness, nil, l
	f.witnesses.add(l)
	f.Deadlines.Set(&l.Deadline, f.clock.Now()+witnessFor, func() { f.close(l) })
	f.probed(m, Reply{Result: logic.TimedOut}, 0)
}

func (f *Engine) probed(m *member, r Reply, took time.Duration) {
	if r.Result == logic.OK {
		f.Counters.ProbesOK++
	}
	m.heard(r, true)
	f.seen(m, r, m.silent)
	if w := m.witness; w != nil && r.Result == logic.OK && !w.askedAgain {
		defer w.askAgain()
	}
	f.checks.checked(f, m, r)
	p := logic.ProbeResult{Member: m.id, Result: r.Result, Elapsed: took, Report: f.report(r), ConnOpenedAt: r.opened, DialRefused: r.refused}
	f.tell(func() { f.router.ProbeDone(f.clock.Now(), p) })
}

// testify ends a witness, and tells the router what became of it.
func (l *link) testify(what handover.ConnectionEvidence) {
	f, m, opened := l.f, l.m, l.upAt
	f.close(l)
	f.tell(func() { f.router.ConnectionEvidence(f.clock.Now(), m.id, what, opened) })
}

// askAgain lets a witness speak, once the way is free: what was sent into a cut may be lost for good, or come many seconds
// later. Where its process has ended, its machine resets the connection; where that was cut off, it stays.
func (l *link) askAgain() {
	if l.state != linkWitness {
		return
	}
	l.askedAgain = true
	if err := l.conn.Probe(); err != nil {
		l.Down()
		return
	}
	l.f.Deadlines.Set(&l.Deadline, l.f.clock.Now()+muteAfter, func() { l.testify(handover.ConnectionUnresponsive) })
}

func (f *Engine) report(r Reply) logic.Report {
	if !r.Load.Known {
		return logic.Report{Queue: -1}
	}
	return logic.Report{Role: r.Load.Role, Position: positionOf(f.clock, r.Load.Position), Queue: r.Load.Queue}
}
