package state

import (
	"slices"

	"havenproxy/logic"
)

// How an attempt comes to its connection, up to its first byte; what becomes of the connection behind that is in links.go.

// place puts an attempt on a connection: an idle one, or a new one.
func (f *Engine) place(a *attempt) {
	m := a.to
	if l := f.takeIdle(m); l != nil {
		f.write(l, a)
		return
	}
	l := f.open(m)
	if l == nil {
		f.placeOnOpening(a)
		return
	}
	l.attempt, a.link = a, l
	m.links[l] = struct{}{}
	m.opening = append(m.opening, l)
}

// placeOnOpening puts an attempt for which no connection may be opened on one in the making that nobody waits for any more: its own attempt
// has gone out on another that fell free. Where there is none, nothing has been sent, and its database is not to blame.
func (f *Engine) placeOnOpening(a *attempt) {
	unclaimed := func(l *link) bool { return l.attempt == nil && l.address == a.to.address }
	i := slices.IndexFunc(a.to.opening, unclaimed)
	if i < 0 {
		f.drop(a, Reply{Result: logic.NotSent})
		return
	}
	l := a.to.opening[i]
	l.attempt, a.link = a, l
}

// open starts a connection, if need be in the place of one that is idle elsewhere.
func (f *Engine) open(m *member) *link {
	if f.links+f.opener.AbandonedDials() >= f.cfg.MaxConnections && !f.makeRoom() {
		f.Counters.ConnectionsNotOpened++
		return nil
	}
	f.links++
	f.Counters.Opened++
	l := &link{f: f, m: m, address: m.address}
	l.conn = f.opener.Open(m.address, m.group, l)
	f.Deadlines.Set(&l.Deadline, f.clock.Now()+f.cfg.ConnectTimeout, l.Down)
	return l
}

// write sends an attempt over a connection that is up.
func (f *Engine) write(l *link, a *attempt) {
	f.Deadlines.Clear(&l.Deadline)
	if f.stale(a) || l.address != a.to.address {
		l.attempt, a.link = nil, nil
		f.rest(l)
		f.end(a, Reply{Result: logic.NotSent})
		return
	}
	l.state, l.attempt, a.link = linkBusy, a, l
	if err := l.conn.Send(a.req.cmd, a.until-f.clock.Now()); err != nil {
		f.drop(a, Reply{Result: logic.ConnectFailed})
		return
	}
	a.sent = true
	f.Counters.Written++
}
