package logic

import (
	"slices"
	"time"

	"havenproxy/internal/ping"
)

// Selection of the members that are checked at a tick for silence and due pings. Members with pending work are
// checked at each tick, the others in periodic rounds. If the list is longer than the number of connections
// allowed, rounds skip the groups without requests, whose checks are triggered by events.

// rounds is the state of that selection.
type rounds struct {
	active      []*member     // members with pending work
	spareActive []*member     // buffer for the next list of active members
	inUse       []*group      // groups that had a request, or lost their primary, recently
	nextRoundAt time.Duration // time of the next round
}

// roundsRetention is how long a group stays in the rounds after its last request or the loss of its primary.
const roundsRetention = 10 * time.Second

// checkDueMembers checks the members that are due at this tick.
func (r *Router) checkDueMembers(now time.Duration) {
	inRound := now >= r.rounds.nextRoundAt
	if inRound {
		r.rounds.nextRoundAt = now + ping.RecheckInterval
	}
	active := r.rounds.active
	r.rounds.active, r.rounds.spareActive = r.rounds.spareActive[:0], active
	for _, m := range active {
		m.active = false
	}
	if inRound && !r.pingSchedule.OnDemand() {
		r.visitAll(now, r.memberOrder)
		return
	}
	r.visitAll(now, active)
	if inRound {
		r.visitGroupsInUse(now)
	}
}

func (r *Router) visitAll(now time.Duration, members []*member) {
	for _, m := range members {
		r.visit(now, m)
	}
}

// visitGroupsInUse visits the members of the groups in the rounds, and removes the groups whose retention has
// ended.
func (r *Router) visitGroupsInUse(now time.Duration) {
	r.rounds.inUse = slices.DeleteFunc(r.rounds.inUse, func(g *group) bool {
		g.inRounds = now < g.roundsUntil
		return !g.inRounds
	})
	for _, g := range r.rounds.inUse {
		r.visitAll(now, g.members)
	}
}

// visit checks a member if it is due, at most once per tick, and keeps it active if it has pending work.
func (r *Router) visit(now time.Duration, m *member) {
	if m.visitedAt == now {
		return
	}
	m.visitedAt = now
	if r.hasPendingWork(now, m) || now >= m.nextCheckAt {
		r.checkMember(now, m)
	}
	if r.hasPendingWork(now, m) || m.nextCheckAt < r.rounds.nextRoundAt {
		r.activate(m)
	}
}

// hasPendingWork reports whether a member owes something or its group seeks a primary.
func (r *Router) hasPendingWork(now time.Duration, m *member) bool {
	return len(m.inFlight) > 0 || m.probing || r.seeksPrimary(now, m.group)
}

// seeksPrimary reports whether a group's members are checked at each tick for lack of a primary. Where checks are
// only sent on demand, requests trigger them, or the search for the next primary does.
func (r *Router) seeksPrimary(now time.Duration, g *group) bool {
	return g.primary == nil && (!r.pingSchedule.OnDemand() || g.handover.SearchInterval(now, r.cfg.Proxies) > 0)
}

// activate has a member checked at each tick.
func (r *Router) activate(m *member) {
	if !m.active {
		m.active = true
		r.rounds.active = append(r.rounds.active, m)
	}
}

// enterRounds includes a group's members in the rounds for some time.
func (r *Router) enterRounds(now time.Duration, g *group) {
	g.roundsUntil = now + roundsRetention
	if !g.inRounds {
		g.inRounds = true
		r.rounds.inUse = append(r.rounds.inUse, g)
	}
}

// leaveRounds removes a group that is being forgotten.
func (r *Router) leaveRounds(g *group) {
	r.rounds.inUse = slices.DeleteFunc(r.rounds.inUse, func(x *group) bool { return x == g })
}

// activateGroup has a group visited at each tick while it has time-driven work, and its members while it seeks a
// primary.
func (r *Router) activateGroup(now time.Duration, g *group) {
	if !g.active && g.handover.NeedsTick() {
		g.active = true
		r.activeGroups = append(r.activeGroups, g)
	}
	if r.seeksPrimary(now, g) {
		for _, m := range g.members {
			r.activate(m)
		}
	}
}
