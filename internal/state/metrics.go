package state

import (
	"log/slog"

	"havenproxy/internal/wire/admin"
	"havenproxy/logic"
)

// AppendMetrics appends the metrics served on the admin address: the results of requests by class and the current
// state. A class that was removed keeps its counts; the counts of classes with the same name are summed.
func (e *Engine) AppendMetrics(dst []byte) []byte {
	sums, order := map[string]ClassCounters{}, []string{}
	for i, c := range e.cfg.Logic.Classes {
		sum, known := sums[c.Name]
		if !known {
			order = append(order, c.Name)
		}
		counts := e.classCounters[i]
		sum.Served, sum.Refused, sum.Failed = sum.Served+counts.Served, sum.Refused+counts.Refused, sum.Failed+counts.Failed
		sums[c.Name] = sum
	}
	for _, name := range order {
		dst = admin.AppendCounter(dst, sums[name].Served, "handled", name, "passed")
		dst = admin.AppendCounter(dst, sums[name].Refused, "handled", name, "dropped")
		dst = admin.AppendCounter(dst, sums[name].Failed, "handled", name, "bad_gateway")
	}
	open, listed, excluded := uint64(len(e.openStreams)), uint64(0), uint64(0)
	for _, req := range e.requests {
		if req.caller != nil {
			open++
		}
	}
	now := e.clock.Now()
	for _, m := range e.membersByName {
		if m.state == logic.Gone {
			continue
		}
		listed++
		if m.state != logic.Ready || e.router != nil && e.router.Excluded(now, m.id) {
			excluded++
		}
	}
	dst = admin.AppendCounter(dst, e.Counters.Written, "upstream_tries")
	dst = admin.AppendGauge(dst, open, "in_progress")
	dst = admin.AppendGauge(dst, listed, "known_databases")
	dst = admin.AppendGauge(dst, excluded, "skipped_databases")
	for reason, n := range e.router.Refusals() {
		dst = admin.AppendCounter(dst, n, "refused", logic.RefusalReason(reason).String())
	}
	dst = admin.AppendCounter(dst, e.Counters.AnsweredLate, "answered_late")
	dst = admin.AppendCounter(dst, e.Counters.AnswersDropped, "answers_dropped")
	dst = admin.AppendCounter(dst, e.Counters.SlowTurns, "slow_turns")
	dst = admin.AppendCounter(dst, e.Counters.ConnectionsNotOpened, "no_room_for_connection")
	dst = admin.AppendCounter(dst, e.Counters.SyncsFailed, "syncs_failed")
	dst = admin.AppendCounter(dst, e.Counters.ConfigLoads, "loads")
	return admin.AppendCounter(dst, e.Counters.ConfigLoadErrors, "load_errors")
}

// CountRejected counts a request as refused whose client was rejected because of a limit. The request was not
// submitted, and its client gets the same answer as for any other refusal.
func (e *Engine) CountRejected(class string) {
	if i, ok := e.classes[class]; ok {
		e.classCounters[i].Refused++
	}
}

// ListReceived reports whether the discovery service has sent a list since the start of the process. Before that, the
// list cached by this proxy is in use.
func (e *Engine) ListReceived() bool { return e.listReceived }

// Refusals returns the numbers of refused requests by reason, for the log.
func (e *Engine) Refusals() slog.Value {
	var reasons []slog.Attr
	for reason, n := range e.router.Refusals() {
		reasons = append(reasons, slog.Uint64(logic.RefusalReason(reason).String(), n))
	}
	return slog.GroupValue(reasons...)
}
