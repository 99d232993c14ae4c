package state

import (
	"log/slog"

	"havenproxy/internal/wire/admin"
	"havenproxy/logic"
)

// AppendMetrics appends the figures of the operators' second address: what became of requests by class, and how things stand now. A class
// that was dropped keeps its figures; one name that has stood for two classes has the sum of both.
func (f *Engine) AppendMetrics(dst []byte) []byte {
	sums, order := map[string]ClassCounters{}, []string{}
	for i, c := range f.cfg.Logic.Classes {
		sum, known := sums[c.Name]
		if !known {
			order = append(order, c.Name)
		}
		one := f.perClass[i]
		sum.Served, sum.Refused, sum.Failed = sum.Served+one.Served, sum.Refused+one.Refused, sum.Failed+one.Failed
		sums[c.Name] = sum
	}
	for _, name := range order {
		dst = admin.AppendCounter(dst, sums[name].Served, "handled", name, "passed")
		dst = admin.AppendCounter(dst, sums[name].Refused, "handled", name, "dropped")
		dst = admin.AppendCounter(dst, sums[name].Failed, "handled", name, "bad_gateway")
	}
	open, listed, avoided := uint64(f.streams), uint64(0), uint64(0)
	for _, q := range f.requests {
		if q.caller != nil {
			open++
		}
	}
	now := f.clock.Now()
	for _, m := range f.names {
		if m.state == logic.Gone {
			continue
		}
		listed++
		if m.state != logic.Ready || f.planned != nil && f.planned.Excluded(now, m.id) {
			avoided++
		}
	}
	dst = admin.AppendCounter(dst, f.Counters.Written, "upstream_tries")
	dst = admin.AppendGauge(dst, open, "in_progress")
	dst = admin.AppendGauge(dst, listed, "known_databases")
	dst = admin.AppendGauge(dst, avoided, "skipped_databases")
	for reason, n := range f.planned.Refusals() {
		dst = admin.AppendCounter(dst, n, "refused", logic.RefusalReason(reason).String())
	}
	dst = admin.AppendCounter(dst, f.Counters.AnsweredLate, "answered_late")
	dst = admin.AppendCounter(dst, f.Counters.SlowTurns, "slow_turns")
	dst = admin.AppendCounter(dst, f.Counters.ConnectionsNotOpened, "no_room_for_connection")
	dst = admin.AppendCounter(dst, f.Counters.ConfigLoads, "loads")
	return admin.AppendCounter(dst, f.Counters.ConfigLoadErrors, "load_errors")
}

// CountRejected counts a request of a class that was refused with its client, for want of room: it has not been taken, and its client has the
// same answer as from any other refusal.
func (f *Engine) CountRejected(class string) {
	if i, ok := f.classes[class]; ok {
		f.perClass[i].Refused++
	}
}

// ListReceived tells whether the list has come from its service since the start, rather than from what this proxy had before.
func (f *Engine) ListReceived() bool { return f.told }

// Refusals gives the refused requests by reason, for the log.
func (f *Engine) Refusals() slog.Value {
	var reasons []slog.Attr
	for reason, n := range f.planned.Refusals() {
		reasons = append(reasons, slog.Uint64(logic.RefusalReason(reason).String(), n))
	}
	return slog.GroupValue(reasons...)
}
