package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// network is the way between a proxy and a database: a mean time one way, and by which part of it each write's time may
// differ from the mean. Nothing overtakes what was written before.
type network struct {
	oneWay time.Duration
	jitter float64
}

func (n network) delay() time.Duration {
	return time.Duration(float64(n.oneWay) * (1 + n.jitter*(2*rand.Float64()-1)))
}

// chunk is what one write or read carries, and when it arrives.
type chunk struct {
	bytes []byte
	at    time.Time
	note  func(at time.Time) // called when it is passed on; may be nil
}

// networkConn is a database's end of a connection over a network.
type networkConn struct {
	net.Conn
	network network

	mu       sync.Mutex
	changed  *sync.Cond
	inbound  []chunk
	outbound []chunk
	lastIn   time.Time
	lastOut  time.Time
	err      error // with which the inbound side has ended
	closed   bool
}

func newNetworkConn(conn net.Conn, n network) *networkConn {
	c := &networkConn{Conn: conn, network: n}
	c.changed = sync.NewCond(&c.mu)
	go c.receive()
	go c.send()
	return c
}

// later returns when something arrives that starts now behind what started before.
func (c *networkConn) later(last *time.Time) time.Time {
	at := time.Now().Add(c.network.delay())
	if at.Before(*last) {
		at = *last
	}
	*last = at
	return at
}

func (c *networkConn) receive() {
	for {
		buffer := make([]byte, 4096)
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		at := c.later(&c.lastIn)
		if n > 0 {
			c.inbound = append(c.inbound, chunk{bytes: buffer[:n], at: at})
		}
		c.err = err
		c.changed.Broadcast()
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (c *networkConn) send() {
	for {
		c.mu.Lock()
		for len(c.outbound) == 0 && !c.closed {
			c.changed.Wait()
		}
		if c.closed {
			c.mu.Unlock()
			return
		}
		next := c.outbound[0]
		c.outbound = c.outbound[1:]
		c.mu.Unlock()
		time.Sleep(time.Until(next.at))
		if next.note != nil {
			next.note(time.Now())
		}
		c.Conn.Write(next.bytes)
	}
}

// Read returns what has arrived.
func (c *networkConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	for len(c.inbound) == 0 && c.err == nil && !c.closed {
		c.changed.Wait()
	}
	if len(c.inbound) == 0 {
		defer c.mu.Unlock()
		if c.err == nil {
			return 0, net.ErrClosed
		}
		return 0, c.err
	}
	at := c.inbound[0].at
	c.mu.Unlock()
	time.Sleep(time.Until(at))
	c.mu.Lock()
	defer c.mu.Unlock()
	first := &c.inbound[0]
	n := copy(b, first.bytes)
	if first.bytes = first.bytes[n:]; len(first.bytes) == 0 {
		c.inbound = c.inbound[1:]
	}
	return n, nil
}

// Write starts bytes on their way.
func (c *networkConn) Write(b []byte) (int, error) { return c.writeNoting(b, nil) }

// writeNoting is Write; note is called with the time at which the bytes arrive.
func (c *networkConn) writeNoting(b []byte, note func(at time.Time)) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.outbound = append(c.outbound, chunk{append([]byte(nil), b...), c.later(&c.lastOut), note})
	c.changed.Broadcast()
	return len(b), nil
}

// waits reports whether something has arrived that was not read yet.
func (c *networkConn) waits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inbound) > 0 && !c.inbound[0].at.After(time.Now())
}

// Close closes the connection.
func (c *networkConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
