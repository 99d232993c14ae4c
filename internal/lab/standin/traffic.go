package standin

import (
	"net"
	"sync/atomic"
)

// TrafficKind says what messages are for.
type TrafficKind uint8

// The kinds of traffic.
const (
	ProbeTraffic   TrafficKind = iota // health checks
	RequestTraffic                    // statements
	ListTraffic                       // calls for the list
	TrafficKinds                      // how many there are
)

// Count is what came or went of one kind.
type Count struct{ Messages, Bytes uint64 }

// Traffic is what a world's databases that speak PostgreSQL and its first list have read and written since the start, as payload of TCP. The
// handshake of a connection counts as bytes of what the connection is first used for.
type Traffic [TrafficKinds]struct{ Read, Written Count }

// counter counts from any goroutine.
type counter struct{ messages, bytes atomic.Uint64 }

func (c *counter) add(messages, bytes int) {
	c.messages.Add(uint64(messages))
	c.bytes.Add(uint64(bytes))
}

func (c *counter) count() Count { return Count{c.messages.Load(), c.bytes.Load()} }

// traffic is the counters behind Traffic.
type traffic [TrafficKinds]struct{ read, written counter }

// Traffic gives what was counted so far.
func (w *World) Traffic() (out Traffic) {
	for kind := range w.traffic {
		out[kind].Read, out[kind].Written = w.traffic[kind].read.count(), w.traffic[kind].written.count()
	}
	return out
}

// countQuery counts a query, and its connection's handshake where it is the first.
func (s *session) countQuery(kind TrafficKind, bytes int) {
	t := &s.db.w.traffic[kind]
	t.read.add(1, bytes+s.openingRead)
	t.written.add(0, s.openingWritten)
	s.openingRead, s.openingWritten = 0, 0
}

// answer writes the answer to a query, and counts it.
func (s *session) answer(kind TrafficKind, bytes []byte) {
	s.db.w.traffic[kind].written.add(1, len(bytes))
	s.write(bytes)
}

// countedListener counts what passes its connections as traffic of the list.
type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic[ListTraffic].read.add(0, n)
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic[ListTraffic].written.add(0, n)
	return n, err
}
