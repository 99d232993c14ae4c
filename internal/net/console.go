package net

import (
	stdnet "net"
	"time"

	"havenproxy/internal/console"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
)

const (
	// An answer is at most this long, and the next one is not built before the client's machine has acknowledged the
	// last. This bounds what a client that does not read can make the proxy hold.
	maxTableBytes = 64 << 10
	// consolePollInterval is how often the socket is polled for that acknowledgement.
	consolePollInterval = 20 * time.Millisecond
)

// EnableConsole lets clients on loopback use the console, or no longer; existing console sessions stay.
func (s *Server) EnableConsole(enabled bool) { s.consoleEnabled = enabled }

// Engine implements console.Source.
func (s *Server) Engine() *state.Engine { return s.engine }

// Tier implements console.Source.
func (s *Server) Tier() (console.Tier, bool) {
	if s.tier == nil {
		return console.Tier{}, false
	}
	return s.tier.Status(), true
}

// SetTier sets the planner link whose state the console shows.
func (s *Server) SetTier(t *PlannerLink) { s.tier = t }

// Clients implements console.Source.
func (s *Server) Clients(limit int) (list []console.Client, all int) {
	now := s.clock.Now()
	for c := range s.clients {
		if len(list) == limit {
			break
		}
		v := console.Client{Address: c.remoteAddress, State: "busy", Pending: len(c.pending), PartialBytes: len(c.input.bytes)}
		switch {
		case c.phase == phaseClosing:
			v.State = "leaving"
		case c.usesConsole:
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

// isLocal reports whether the client connects over loopback.
func (c *client) isLocal() bool {
	host, _, err := stdnet.SplitHostPort(c.remoteAddress)
	if err != nil {
		return false
	}
	ip := stdnet.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// answerConsole answers a console statement once the client has taken the last answer. A client that stops taking it is
// closed.
func (c *client) answerConsole(query *pendingQuery, text string) {
	switch {
	case c.phase == phaseClosed:
	case c.output.len() == 0 && c.output.inTransit() == 0:
		c.executeConsole(query, text)
	case c.output.stalled():
		c.closeDroppingAnswers(errStalled)
	default:
		c.server.deadlines.Set(&c.consoleTimer, c.server.clock.Now()+consolePollInterval, func() { c.answerConsole(query, text) })
	}
}

func (c *client) executeConsole(query *pendingQuery, text string) {
	table, err := console.Execute(text, c.server)
	if err != nil {
		query.complete(pg.AppendError(nil, "42601", err.Error()))
		return
	}
	query.complete(pg.AppendResultSet(nil, table.Columns, table.Rows, "SHOW", maxTableBytes))
}
