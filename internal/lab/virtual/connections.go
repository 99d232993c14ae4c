package virtual

import (
	"slices"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/state"
	"havenproxy/logic"
)

type conn struct {
	w      *world
	n      *node
	m      int
	to     state.Listener
	up     bool
	closed bool
	ticket fleet.Ticket
	out    bool
	opened bool // its handshake has been counted
}

// Open implements state.Opener. The address is the member's number.
func (n *node) Open(address string, _ int, to state.Listener) state.Conn {
	w, m := n.w, 0
	for _, d := range address {
		m = m*10 + int(d-'0')
	}
	c := &conn{w: w, n: n, m: m, to: to}
	w.conns[m] = append(w.conns[m], c)
	n.conns[c] = struct{}{}
	w.at(w.clock.now+3*w.cfg.Way, func() {
		switch {
		case c.closed || w.cutUntil(n, m, w.clock.now) > 0:
		case w.fleet.Liveness(m) == fleet.Down:
			n.proxy(c.refused)
		case w.fleet.Liveness(m) == fleet.Up:
			c.up = true
			n.proxy(func() {
				if !c.closed {
					c.to.Up()
				}
			})
		}
	})
	return c
}

// AbandonedDials implements state.Opener.
func (n *node) AbandonedDials() int { return 0 }

func (c *conn) down() {
	if !c.closed {
		c.Close()
		c.to.Down()
	}
}

func (c *conn) refused() {
	if !c.closed {
		c.Close()
		c.to.DialRefused()
	}
}

// turned ends connections to a database that died.
func (w *world) turned(m int, l fleet.Liveness) {
	if l != fleet.Down {
		return
	}
	for _, c := range w.conns[m] {
		w.carry(c.n, m, func() { c.n.proxy(c.down) })
	}
}

// Send implements state.Conn.
func (c *conn) Send(cmd state.Command, wait time.Duration) error {
	r := cmd.(command).r
	w := c.w
	until := w.clock.now + wait
	c.countOpening(RequestMessage)
	if w.cfg.Observer != nil {
		c.n.count(c.m, RequestMessage, Sent, w.codec.statement(r, &w.cfg.Fleet.Classes[r.class], w.after[r.session], wait))
	}
	w.carry(c.n, c.m, func() {
		if c.closed {
			return
		}
		if e := w.election(c.m); e != nil && w.clock.now-base-e.At < pushed {
			e.Push += w.fleet.MeanWork(r.class) / (w.fleet.Capacity(c.m) * pushed.Seconds())
		}
		c.ticket = w.fleet.Submit(w.clock.now, c.m, fleet.Query{Class: r.class, Key: r.key, After: w.after[r.session], Deadline: until, Luck: r.luck}, func(p fleet.Reply) {
			w.carry(c.n, c.m, func() {
				c.n.act(RequestWork, func() {
					if !c.closed {
						c.n.countAnswer(c.m, r, p)
						r.served = c.m
						c.to.Reply(w.reply(p))
					}
				})
			})
		})
		c.out = true
	})
	return nil
}

func (w *world) reply(p fleet.Reply) state.Reply {
	out := state.Reply{Role: p.Role, Position: int64((w.clock.Unix() - w.clock.now + p.Position) / time.Millisecond)}
	out.Result = [...]logic.Result{fleet.Served: logic.OK, fleet.NotPrimary: logic.Misdirected, fleet.TooFarBack: logic.Misdirected,
		fleet.TurnedAway: logic.Rejected, fleet.Broken: logic.Failed}[p.Result]
	return out
}

// Probe implements state.Conn.
func (c *conn) Probe() error {
	w := c.w
	c.countOpening(ProbeMessage)
	c.n.count(c.m, ProbeMessage, Sent, loadQueryBytes)
	w.carry(c.n, c.m, func() {
		if c.closed {
			return
		}
		w.fleet.Probe(w.clock.now, c.m, func(r fleet.Report) {
			w.carry(c.n, c.m, func() {
				c.n.proxy(func() {
					if !c.closed {
						c.n.countReport(c.m, r)
						c.to.Reply(state.Reply{Result: logic.OK, Load: state.Load{Known: true, Role: r.Role, Queue: -1,
							Position: (w.clock.Unix() - w.clock.now + r.Position).Seconds()}})
					}
				})
			})
		})
	})
	return nil
}

// Sync implements state.Conn. Its answer takes a round trip; like a dial's, it has no jitter.
func (c *conn) Sync() error {
	w := c.w
	w.at(w.clock.now+2*w.cfg.Way, func() {
		if c.closed || w.cutUntil(c.n, c.m, w.clock.now) > 0 || w.fleet.Liveness(c.m) != fleet.Up {
			return
		}
		c.n.proxy(func() {
			if !c.closed {
				c.to.Synced()
			}
		})
	})
	return nil
}

// Reusable implements state.Conn.
func (c *conn) Reusable() bool { return !c.closed }

// Close implements state.Conn.
func (c *conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.n.conns, c)
	c.w.conns[c.m] = slices.DeleteFunc(c.w.conns[c.m], func(x *conn) bool { return x == c })
	if c.out {
		c.w.carry(c.n, c.m, func() { c.w.fleet.Withdraw(c.w.clock.now, c.ticket) })
	}
}
