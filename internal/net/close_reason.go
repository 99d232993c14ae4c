package net

import (
	"log/slog"

	"havenproxy/internal/wire/admin"
)

// closeReason is why a client's connection has ended.
type closeReason uint8

const (
	reasonClientClosed   closeReason = iota // the client closed or reset it
	reasonLeftEarly                         // the same, before it had sent a complete query
	reasonTerminated                        // the client said that it goes
	reasonMalformed                         // it violated the protocol
	reasonQueryTimeout                      // it sent no whole query in time
	reasonTooManyClients                    // it was rejected with an error
	reasonNotTaken                          // it was closed unread: there was no descriptor even for an error
	reasonNoMemory                          // there was no memory for its message
	reasonTooManyLogins                     // too many failed or concurrent logins
	reasonEvictedSilent                     // it had sent no complete query and gave way to others
	reasonEvictedIdle                       // it was idle and gave way to others
	reasonDrained                           // the proxy stops, or its operators send clients away
	reasonBrokenAnswer                      // a database broke off the value that was being passed on
	reasonStalled                           // it took none of the bytes that waited for it
	reasonWriteFailed                       // writing to it failed
	reasonNotWatched                        // the kernel refused to watch its socket
	closeReasons
)

// String returns the reason's name in logs and metrics.
func (r closeReason) String() string {
	return [closeReasons]string{"client_closed", "left_early", "terminated", "malformed", "query_timeout", "too_many_clients", "not_taken",
		"no_memory", "too_many_logins", "evicted_silent", "evicted_idle", "drained", "broken_answer", "stalled", "write_failed", "not_watched"}[r]
}

// closeCounts counts the ends of clients' connections by reason, since the start of the process.
type closeCounts [closeReasons]uint64

// LogValue implements slog.LogValuer. Reasons that have not occurred are left out.
func (c *closeCounts) LogValue() slog.Value {
	var counts []slog.Attr
	for reason, n := range c {
		if n > 0 {
			counts = append(counts, slog.Uint64(closeReason(reason).String(), n))
		}
	}
	return slog.GroupValue(counts...)
}

func (c *closeCounts) appendMetrics(dst []byte) []byte {
	for reason, n := range c {
		dst = admin.AppendCounter(dst, n, "clients_closed", closeReason(reason).String())
	}
	return dst
}

// endsFor records why the connection is ending. The first reason stays: what follows is its consequence.
func (c *client) endsFor(reason closeReason) {
	if c.endReason == reasonClientClosed {
		c.endReason = reason
	}
}

// countClose counts the end of the connection.
func (c *client) countClose() {
	if c.endReason == reasonClientClosed && !c.hasQueried {
		c.endReason = reasonLeftEarly
	}
	c.server.closes[c.endReason]++
}
