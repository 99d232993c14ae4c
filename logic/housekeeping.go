package logic

import (
	"cmp"
	"slices"
	"time"

	"havenproxy/internal/handover"
	"havenproxy/internal/ping"
)

// What depends on time alone: silences, checks that are due, calls for the list, and requests that were held.

// evidence holds what is heard of a member back from a silence against the doubt that it has started anew.
func (r *Router) evidence(now time.Duration, m *member, opened time.Duration) {
	if m.seat.NoteAnswerOnConnection(opened); r.calls.Healthy() {
		m.seat.NoteNoListedStart(now)
	}
}

// ConnectionEvidence holds what became of a connection from before a silence against the doubt.
func (r *Router) ConnectionEvidence(now time.Duration, id MemberID, what handover.ConnectionEvidence, opened time.Duration) {
	if m := r.members[id]; m != nil && what == handover.ConnectionAnswered {
		r.heard(m, now)
		r.evidence(now, m, opened)
	} else if m != nil {
		m.seat.NoteConnectionEvidence(what)
	}
}

// begin starts the router's clockwork at its first event.
func (r *Router) begin(now time.Duration) {
	if r.started {
		return
	}
	r.started, r.startAt = true, now
	r.act.SetTimer(tickTimer, now+max(housekeeping, r.cfg.Tick))
	if r.cfg.ListOnRequest {
		r.ask(now)
	}
}

// Timer drives all that depends on time alone.
func (r *Router) Timer(now time.Duration, id TimerID) {
	r.begin(now)
	if id != tickTimer {
		return
	}
	r.act.SetTimer(tickTimer, now+max(housekeeping, r.cfg.Tick))
	if r.calls.TimedOut(now) {
		r.calls.NoteEnd(now, true, r.rng.Float64())
	}
	if r.calls.Due(now) {
		r.ask(now)
	}
	if r.stood(now) {
		r.stoodAt = now
	} else {
		r.lookAround(now)
	}
	r.tickAt = now
	r.retryHeld(now)
	r.tell(now)
}

// stood tells of a batch after this front stood still: its times and silences are no fault of the members.
func (r *Router) stood(now time.Duration) bool {
	return now == r.stoodAt || r.tickAt > 0 && now-r.tickAt >= stoodStill
}

// look notices silence and sends the pings that are due.
func (r *Router) look(now time.Duration, m *member) {
	r.looks++
	if m.probing && m.heardAt < m.probedAt && now-m.probedAt > silentAfter {
		r.lost(m, now)
	}
	r.hedge(now, m)
	owes := len(m.out) > 0 && !m.seat.Silent &&
		now-max(m.heardAt, m.out[0].sentAt, m.probedAt) > r.patience(m, m.out[0])
	g, due := m.group, false
	due, m.restsTill = r.pings.Due(now, &ping.Member{LastPing: m.probedAt, LastPosition: m.placedAt, AnswerOverdue: owes,
		FirstPingAt: m.firstAt, Known: m.toldAt > 0, Ejected: m.ejected,
		Silent: m.seat.Silent, Primary: m.role() == RolePrimary, NoPrimary: g.primary == nil, LastRequest: g.rate.last,
		SearchInterval: g.lead.SearchInterval(now, r.cfg.Proxies), GroupSize: len(g.members), RequestRate: r.rateOf(now, g)})
	if due {
		r.probe(now, m)
	}
}

// ProbeDone takes the result of a ping.
func (r *Router) ProbeDone(now time.Duration, p ProbeResult) {
	r.begin(now)
	m := r.members[p.Member]
	if m == nil || !m.probing {
		return
	}
	m.probing = false
	switch p.Result {
	case OK:
		m.ping = cmp.Or(m.ping, max(p.Elapsed, 1))
		m.ping += time.Duration(pingWeight * float64(p.Elapsed-m.ping))
		r.heard(m, now)
		r.evidence(now, m, p.ConnOpenedAt)
		// A primary stands at the present, so its position dates the report; a replica's is no later.
		m.queue, m.queueAt = p.Report.Queue, now
		r.learn(m, p.Report.Role, p.Report.Position, cmp.Or(p.Report.Position, now), now)
	case Rejected, Misdirected, Failed:
		r.heard(m, now)
	case NotSent: // it was never sent, which says nothing of the member
	default:
		if m.heardAt <= m.probedAt {
			r.lost(m, now)
		}
		if p.DialRefused {
			m.seat.NoteRefusedDial()
		}
	}
	if len(r.held) > 0 {
		r.retryHeld(now)
	} else if m.group.lead.NeedsTick() {
		r.release(now, m.group)
	}
}

// opening tells of a fresh router that the agent has yet to answer, or a member of the group a ping.
func (r *Router) opening(now time.Duration, g *group) bool {
	listOwed := r.cfg.ListFromAgent && !r.calls.HasEnded()
	if now-r.startAt >= freshHold || !r.cfg.EnableProbes && !listOwed {
		return false
	}
	if listOwed || len(g.members) == 0 {
		return true
	}
	if r.pings.OnDemand() && r.thin(now, g) { // its members are checked as the request needs them, and no others
		return false
	}
	return slices.ContainsFunc(g.members, func(m *member) bool {
		return m.State == Ready && m.heardAt == 0 && m.toldAt == 0 && !m.seat.Silent
	})
}

// retryHeld releases what was held, as soon as its group is known or waiting is of no more use.
func (r *Router) retryHeld(now time.Duration) {
	held := r.held
	r.held = nil
	for _, q := range held {
		q.held = false
		q.group = r.askedOf(q.Group) // a list may have named it meanwhile
		switch {
		case q.done:
		case r.opening(now, q.group) && now+r.cost[q.Class] < q.Deadline-2*housekeeping:
			r.hold(q)
		default:
			r.start(now, q)
		}
	}
	list := r.stirring
	r.stirring = nil
	for _, g := range list {
		if g.stirs = g.lead.NeedsTick(); g.stirs {
			r.stirring = append(r.stirring, g)
			r.release(now, g)
		}
	}
}

func (r *Router) ask(now time.Duration) {
	r.calls.NoteCall(now)
	r.act.WatchList(true)
}
