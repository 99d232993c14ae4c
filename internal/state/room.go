package state

import "container/list"

// Connections that may make room for others, in the order in which they were put aside: those that are idle, and those that are kept only to
// see whether their database has restarted. Finding one does not take longer the more databases there are.

// spareLinks holds one such kind. The zero value is empty.
type spareLinks struct{ order list.List }

// add puts a connection aside.
func (s *spareLinks) add(l *link) {
	l.spareIn, l.spareAt = s, s.order.PushBack(l)
}

// oldest gives the connection that was put aside first; nil = there is none.
func (s *spareLinks) oldest() *link {
	if first := s.order.Front(); first != nil {
		return first.Value.(*link)
	}
	return nil
}

// claim takes a connection out of those that may make room, if it is among them.
func (l *link) claim() {
	if l.spareIn != nil {
		l.spareIn.order.Remove(l.spareAt)
		l.spareIn, l.spareAt = nil, nil
	}
}

// makeRoom closes the connection that has been idle for longest, or else the oldest of those that only prove something.
func (f *Engine) makeRoom() bool {
	l := f.idleLinks.oldest()
	if l == nil {
		l = f.witnesses.oldest()
	}
	if l == nil {
		return false
	}
	f.close(l)
	return true
}

// takeIdle takes the connection to a member that was used last out of the idle ones; nil = none is idle. Whatever has come on it belongs to
// no command, so one that is not quiet is closed.
func (f *Engine) takeIdle(m *member) *link {
	for n := len(m.idle); n > 0; n = len(m.idle) {
		l := m.idle[n-1]
		if !l.conn.Reusable() { // an answer's second copy, or its end
			f.close(l)
			continue
		}
		m.idle = m.idle[:n-1]
		l.claim()
		return l
	}
	return nil
}
