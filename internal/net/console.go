package net

import (
	stdnet "net"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"havenproxy/internal/console"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
)

const (
	// A table is no longer than this, and the next one is not made before the socket has all but the last of it: that
	// much is what a reader who doesn't read can hold.
	tableMost = 64 << 10
	// An answer waits for a socket that still holds the last one; looked at so often,
	roomStep = 20 * time.Millisecond
	// and given up with its connection after this.
	roomPatience = 3 * time.Second
)

// EnableConsole lets clients on loopback use the console, or no more. Those that are at it stay.
func (s *Server) EnableConsole(on bool) { s.console = on }

// Front implements console.Source.
func (s *Server) Front() *state.Engine { return s.front }

// Tier implements console.Source.
func (s *Server) Tier() (console.Tier, bool) {
	if s.tier == nil {
		return console.Tier{}, false
	}
	return s.tier.Status(), true
}

// SetTier lets the console tell of the tier.
func (s *Server) SetTier(t *PlannerLink) { s.tier = t }

// Clients implements console.Source.
func (s *Server) Clients(most int) (list []console.Client, all int) {
	now := s.clock.Now()
	for c := range s.clients {
		if len(list) == most {
			break
		}
		v := console.Client{Address: c.from, State: "busy", Pending: len(c.slots), PartialBytes: len(c.in.bytes)}
		switch {
		case c.phase == phaseLeaving:
			v.State = "leaving"
		case c.admin:
			v.State = "console"
		case c.list == &s.silent:
			v.State, v.InState = "silent", now-c.since
		case c.list == &s.idle:
			v.State, v.InState = "idle", now-c.since
		}
		list = append(list, v)
	}
	return list, len(s.clients)
}

// local tells whether the client's machine is this one.
func (c *client) local() bool {
	host, _, err := stdnet.SplitHostPort(c.from)
	if err != nil {
		return false
	}
	ip := stdnet.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// show answers a statement at the console, once the socket has room: a write must never make the loop wait.
func (c *client) show(sl *slot, text string) {
	if c.queued() > 0 {
		until := c.s.clock.Now() + roomPatience
		var look func()
		look = func() {
			switch {
			case c.phase == phaseClosed:
			case c.queued() == 0:
				c.answer(sl, text)
			case c.s.clock.Now() >= until:
				c.hangUp()
			default:
				c.s.deadlines.Set(&c.room, c.s.clock.Now()+roomStep, look)
			}
		}
		look()
		return
	}
	c.answer(sl, text)
}

func (c *client) answer(sl *slot, text string) {
	t, err := console.Execute(text, c.s)
	if err != nil {
		sl.give(pg.AppendError(nil, "42601", err.Error()))
		return
	}
	sl.give(pg.AppendTable(nil, t.Columns, t.Rows, "SHOW", tableMost))
}

// queued tells how much the kernel holds that the client's machine has not taken yet.
func (c *client) queued() int {
	conn, ok := c.conn.(netpoll.Conn)
	if !ok {
		return 0
	}
	n, err := unix.IoctlGetInt(conn.Fd(), syscall.TIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}
