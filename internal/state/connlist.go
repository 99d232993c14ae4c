package state

import "container/list"

// Lists of connections that may be evicted: idle ones, and overdue ones that are kept only to detect a restart.
// Finding one takes constant time, however many databases there are.

// connList is a list of connections in the order in which they were added. The zero value is empty.
type connList struct{ conns list.List }

// add appends a connection.
func (l *connList) add(c *pooledConn) {
	c.list, c.element = l, l.conns.PushBack(c)
}

// oldest returns the connection that was added first; nil if the list is empty.
func (l *connList) oldest() *pooledConn {
	if first := l.conns.Front(); first != nil {
		return first.Value.(*pooledConn)
	}
	return nil
}

// unlist removes a connection from its list, if it is in one.
func (c *pooledConn) unlist() {
	if c.list != nil {
		c.list.conns.Remove(c.element)
		c.list, c.element = nil, nil
	}
}

// evictConn closes the connection that has been idle for the longest time or, if there is none, the oldest overdue
// one. It reports whether it closed one.
func (e *Engine) evictConn() bool {
	c := e.idleConns.oldest()
	if c == nil {
		c = e.overdueConns.oldest()
	}
	if c == nil {
		return false
	}
	e.closeConn(c)
	return true
}

// takeIdleConn removes and returns the most recently used idle connection to a member; nil if there is none. It
// closes connections on which unexpected data has arrived.
func (e *Engine) takeIdleConn(m *member) *pooledConn {
	for n := len(m.idleConns); n > 0; n = len(m.idleConns) {
		c := m.idleConns[n-1]
		if !c.conn.Reusable() { // a duplicate answer, or the end of the connection
			e.closeConn(c)
			continue
		}
		m.idleConns = m.idleConns[:n-1]
		c.unlist()
		return c
	}
	return nil
}
