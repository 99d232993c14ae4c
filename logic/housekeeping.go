package logic

import (
	"cmp"
	"slices"
	"time"

	"havenproxy/internal/handover"
	"havenproxy/internal/ping"
)

// Work that depends on time alone: silence detection, due checks, calls for the member list, and waiting requests.

// applyConnectionAge uses an answer on a connection that was opened at connOpenedAt as evidence on whether the
// member restarted during a silence.
func (r *Router) applyConnectionAge(now time.Duration, m *member, connOpenedAt time.Duration) {
	if m.handover.NoteAnswerOnConnection(connOpenedAt); r.listCalls.Healthy() {
		m.handover.NoteNoListedStart(now)
	}
}

// ConnectionEvidence uses the fate of a connection from before a silence as evidence on whether the member
// restarted.
func (r *Router) ConnectionEvidence(now time.Duration, id MemberID, evidence handover.ConnectionEvidence, connOpenedAt time.Duration) {
	if m := r.members[id]; m != nil && evidence == handover.ConnectionAnswered {
		r.markAlive(m, now)
		r.applyConnectionAge(now, m, connOpenedAt)
	} else if m != nil {
		m.handover.NoteConnectionEvidence(evidence)
	}
}

// ensureStarted starts the router's timer and list watch at its first event.
func (r *Router) ensureStarted(now time.Duration) {
	if r.started {
		return
	}
	r.started, r.startedAt = true, now
	r.actions.SetTimer(tickTimer, now+max(housekeepingInterval, r.cfg.Tick))
	if r.cfg.ListOnRequest {
		r.watchList(now)
	}
}

// Timer does all work that depends on time alone.
func (r *Router) Timer(now time.Duration, id TimerID) {
	r.ensureStarted(now)
	if id != tickTimer {
		return
	}
	r.actions.SetTimer(tickTimer, now+max(housekeepingInterval, r.cfg.Tick))
	if r.listCalls.TimedOut(now) {
		r.listCalls.NoteEnd(now, true, r.rng.Float64())
	}
	if r.listCalls.Due(now) {
		r.watchList(now)
	}
	if r.stalled(now) {
		r.stalledAt = now
	} else {
		r.checkDueMembers(now)
	}
	r.lastTickAt = now
	r.retryAwaitingPing(now)
	r.sendPeerReports(now)
}

// stalled reports whether this proxy was not running for a while until now. Silences and answer times measured
// across such a stall are not the members' fault.
func (r *Router) stalled(now time.Duration) bool {
	return now == r.stalledAt || r.lastTickAt > 0 && now-r.lastTickAt >= stallThreshold
}

// checkMember detects silence and sends pings that are due.
func (r *Router) checkMember(now time.Duration, m *member) {
	r.memberChecks++
	if m.probing && m.aliveAt < m.probedAt && now-m.probedAt > silentAfter {
		r.markSilent(m, now)
	}
	r.hedgeOverdue(now, m)
	overdue := len(m.inFlight) > 0 && !m.handover.Silent &&
		now-max(m.aliveAt, m.inFlight[0].sentAt, m.probedAt) > r.silenceTimeout(m, m.inFlight[0])
	g, due := m.group, false
	due, m.nextCheckAt = r.pingSchedule.Due(now, &ping.Member{LastPing: m.probedAt, LastPosition: m.positionAt, AnswerOverdue: overdue,
		FirstPingAt: m.firstPingAt, Known: m.peerAliveAt > 0, Ejected: m.ejected,
		Silent: m.handover.Silent, Primary: m.role() == RolePrimary, NoPrimary: g.primary == nil, LastRequest: g.rate.updatedAt,
		SearchInterval: g.handover.SearchInterval(now, r.cfg.Proxies), GroupSize: len(g.members), RequestRate: r.requestRate(now, g)})
	if due {
		r.probe(now, m)
	}
}

// Probed handles the result of a probe.
func (r *Router) Probed(now time.Duration, p ProbeEnd) {
	r.ensureStarted(now)
	m := r.members[p.Member]
	if m == nil || !m.probing {
		return
	}
	m.probing = false
	switch p.Result {
	case OK:
		m.pingTime = cmp.Or(m.pingTime, max(p.Elapsed, 1))
		m.pingTime += time.Duration(pingWeight * float64(p.Elapsed-m.pingTime))
		r.markAlive(m, now)
		r.applyConnectionAge(now, m, p.ConnOpenedAt)
		// A primary is always current, so its position dates the report; a replica's position is no later than the
		// report.
		m.queueLength, m.queueReportedAt = p.Report.Queue, now
		r.observe(m, p.Report.Role, p.Report.Position, cmp.Or(p.Report.Position, now), now)
	case Rejected, Misdirected, Failed:
		r.markAlive(m, now)
	case NotSent: // it was never sent, so it says nothing about the member
	default:
		if m.aliveAt <= m.probedAt {
			r.markSilent(m, now)
		}
		if p.DialRefused {
			m.handover.NoteRefusedDial()
		}
	}
	if len(r.awaitingPing) > 0 {
		r.retryAwaitingPing(now)
	} else if m.group.handover.NeedsTick() {
		r.releaseHeld(now, m.group)
	}
}

// startingUp reports whether a new router still waits for the agent's list or for a first answer from a member of
// the group.
func (r *Router) startingUp(now time.Duration, g *group) bool {
	listPending := r.cfg.ListFromAgent && !r.listCalls.HasEnded()
	if now-r.startedAt >= startupHold || !r.cfg.EnableProbes && !listPending {
		return false
	}
	if listPending || len(g.members) == 0 {
		return true
	}
	if r.pingSchedule.OnDemand() && r.pingOnDemand(now, g) { // requests trigger the checks that they need
		return false
	}
	return slices.ContainsFunc(g.members, func(m *member) bool {
		return m.State == Ready && m.aliveAt == 0 && m.peerAliveAt == 0 && !m.handover.Silent
	})
}

// retryAwaitingPing retries the requests that wait for pings, once their group is known or further waiting is
// useless.
func (r *Router) retryAwaitingPing(now time.Duration) {
	waiting := r.awaitingPing
	r.awaitingPing = nil
	for _, q := range waiting {
		q.awaitingPing = false
		q.group = r.requestedGroup(q.Group) // a list may have named it in the meantime
		switch {
		case q.done:
		case r.startingUp(now, q.group) && now+r.serviceTime[q.Class] < q.Deadline-2*housekeepingInterval:
			r.holdForPing(q)
		default:
			r.tryStart(now, q)
		}
	}
	groups := r.activeGroups
	r.activeGroups = nil
	for _, g := range groups {
		if g.active = g.handover.NeedsTick(); g.active {
			r.activeGroups = append(r.activeGroups, g)
			r.releaseHeld(now, g)
		}
	}
}

func (r *Router) watchList(now time.Duration) {
	r.listCalls.NoteCall(now)
	r.actions.WatchList(true)
}
