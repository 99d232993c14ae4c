package state

import (
	"log/slog"
	"time"

	"havenproxy/logic"
)

// Counters holds counts of events since the start of the process.
type Counters struct {
	Received, Served, Refused, Failed, Abandoned                 uint64 // requests
	Sent                                                         uint64 // attempts
	Written                                                      uint64 // attempts whose last byte was written to a database
	ConfigLoads, ConfigLoadErrors                                uint64 // configurations applied and rejected on SIGHUP
	OK, Misdirected, Failures, Rejected, TimedOut, ConnectFailed uint64 // results of attempts
	Reset, Cancelled                                             uint64
	Probes, ProbesOK                                             uint64
	Opened, ClosedIdle                                           uint64 // database connections
	SyncsFailed                                                  uint64 // connections closed because anything but the answer to Sync arrived, or none
	ListCalls, ListFailures                                      uint64
	Clients, ClientsEvicted, ClientsRejected, Malformed          uint64 // client connections
	// Bytes that clients sent after the shutdown of their connections began; they are read and discarded.
	DiscardedBytes uint64
	// Messages sent to peers, received from peers, and received messages that were invalid or not from a peer.
	PeerSent, PeerReceived, PeerInvalid uint64
	LevelChanges                        uint64
	PlannerFramesInvalid                uint64 // frames of planners that could not be parsed
	// Requests that waited for a change of the tier's policy, and requests refused because its policy was not
	// known.
	GateQueued, GateRefused uint64
	// MySQL: executions of prepared statements that were written to databases, and statements that had to be prepared on
	// a connection first.
	Executes, Prepares uint64
	// Shared health checks: digests of planners, digests that could not be parsed, and verdicts passed to the router.
	Digests, DigestsMalformed, Verdicts uint64

	ConnectionsNotOpened uint64 // connections to databases that were not opened because of a limit or a local error
	AnsweredLate         uint64 // requests answered after their client's wait had ended
	AnswersDropped       uint64 // answers that were due on clients' connections that the proxy closed
	SlowTurns            uint64 // functions that blocked the event loop for long
}

// Delays holds the longest delays, since the start of the process, of the event loop that owns the state.
type Delays struct {
	LongestTurn          time.Duration // longest time that one function blocked the loop
	LongestDeadlineDelay time.Duration // longest delay with which a deadline was run
}

// LogValue implements slog.LogValuer.
func (d *Delays) LogValue() slog.Value {
	return slog.GroupValue(slog.Duration("longest_turn", d.LongestTurn), slog.Duration("latest_deadline", d.LongestDeadlineDelay))
}

// LogValue implements slog.LogValuer.
func (c *Counters) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Uint64("taken", c.Received), slog.Uint64("served", c.Served), slog.Uint64("refused", c.Refused),
		slog.Uint64("failed", c.Failed), slog.Uint64("abandoned", c.Abandoned),
		slog.Uint64("sent", c.Sent), slog.Uint64("written", c.Written), slog.Uint64("ok", c.OK), slog.Uint64("miss", c.Misdirected),
		slog.Uint64("error", c.Failures), slog.Uint64("full", c.Rejected), slog.Uint64("timed_out", c.TimedOut),
		slog.Uint64("connect_failed", c.ConnectFailed), slog.Uint64("reset", c.Reset),
		slog.Uint64("cancelled", c.Cancelled),
		slog.Uint64("probes", c.Probes), slog.Uint64("probes_ok", c.ProbesOK),
		slog.Uint64("opened", c.Opened), slog.Uint64("closed_idle", c.ClosedIdle), slog.Uint64("syncs_failed", c.SyncsFailed),
		slog.Uint64("list_calls", c.ListCalls), slog.Uint64("list_failures", c.ListFailures),
		slog.Uint64("clients", c.Clients), slog.Uint64("made_room", c.ClientsEvicted),
		slog.Uint64("turned_away", c.ClientsRejected), slog.Uint64("malformed", c.Malformed),
		slog.Uint64("crossed_bytes", c.DiscardedBytes),
		slog.Uint64("level_changes", c.LevelChanges), slog.Uint64("kept", c.GateQueued), slog.Uint64("gate_shut", c.GateRefused),
		slog.Uint64("tier_strange", c.PlannerFramesInvalid),
		slog.Uint64("peers_told", c.PeerSent), slog.Uint64("peers_heard", c.PeerReceived),
		slog.Uint64("peers_strange", c.PeerInvalid),
		slog.Uint64("loads", c.ConfigLoads), slog.Uint64("load_errors", c.ConfigLoadErrors),
		slog.Uint64("executes", c.Executes), slog.Uint64("prepares", c.Prepares),
		slog.Uint64("no_room", c.ConnectionsNotOpened), slog.Uint64("answered_late", c.AnsweredLate), slog.Uint64("answers_dropped", c.AnswersDropped), slog.Uint64("slow_turns", c.SlowTurns),
		slog.Uint64("digests", c.Digests), slog.Uint64("digests_malformed", c.DigestsMalformed), slog.Uint64("verdicts", c.Verdicts))
}

// countResult counts an attempt's result.
func (c *Counters) countResult(r logic.Result) {
	switch r {
	case logic.OK:
		c.OK++
	case logic.Misdirected:
		c.Misdirected++
	case logic.Failed:
		c.Failures++
	case logic.Rejected:
		c.Rejected++
	case logic.TimedOut:
		c.TimedOut++
	case logic.ConnectFailed:
		c.ConnectFailed++
	case logic.Reset:
		c.Reset++
	case logic.Cancelled:
		c.Cancelled++
	}
}
