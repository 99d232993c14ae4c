package logic

import (
	"slices"
	"time"

	"havenproxy/internal/ping"
)

// Which members the router looks at by time alone, for silence and for checks that are due. Those with something under way are looked at at
// each tick, the others in rounds. Where the list is longer than what this proxy can be connected to, a round leaves out the groups that
// nobody asks for: what is due there is due by an event.

// rounds is what they are kept in.
type rounds struct {
	awake  []*member     // that have something under way
	spare  []*member     // room for the next such list
	inUse  []*group      // that were asked for lately, or have lost their primary
	nextAt time.Duration // of the rounds
}

// roundsFor is how long a group stays in the rounds behind the last request to it, or the loss of its primary.
const roundsFor = 10 * time.Second

// lookAround looks at the members whose turn it is.
func (r *Router) lookAround(now time.Duration) {
	inRound := now >= r.rounds.nextAt
	if inRound {
		r.rounds.nextAt = now + ping.MaxDueDelay
	}
	awake := r.rounds.awake
	r.rounds.awake, r.rounds.spare = r.rounds.spare[:0], awake
	for _, m := range awake {
		m.awake = false
	}
	if inRound && !r.pings.OnDemand() {
		r.visitAll(now, r.order)
		return
	}
	r.visitAll(now, awake)
	if inRound {
		r.visitInUse(now)
	}
}

func (r *Router) visitAll(now time.Duration, members []*member) {
	for _, m := range members {
		r.visit(now, m)
	}
}

// visitInUse visits the members of the groups that are in the rounds, and drops the groups whose time there is over.
func (r *Router) visitInUse(now time.Duration) {
	r.rounds.inUse = slices.DeleteFunc(r.rounds.inUse, func(g *group) bool {
		g.inRounds = now < g.roundsTill
		return !g.inRounds
	})
	for _, g := range r.rounds.inUse {
		r.visitAll(now, g.members)
	}
}

// visit looks at a member, once at a tick, if it is time, and keeps it awake if there is something under way.
func (r *Router) visit(now time.Duration, m *member) {
	if m.visitedAt == now {
		return
	}
	m.visitedAt = now
	if r.underWay(now, m) || now >= m.restsTill {
		r.look(now, m)
	}
	if r.underWay(now, m) || m.restsTill < r.rounds.nextAt {
		r.wake(m)
	}
}

// underWay tells of a member that owes something, or whose group looks for a primary.
func (r *Router) underWay(now time.Duration, m *member) bool {
	return len(m.out) > 0 || m.probing || r.seeksPrimary(now, m.group)
}

// seeksPrimary tells whether a group's members are looked at for want of a primary. Where checks go out on need, a request has them checked,
// or the wait for another primary does.
func (r *Router) seeksPrimary(now time.Duration, g *group) bool {
	return g.primary == nil && (!r.pings.OnDemand() || g.lead.SearchInterval(now, r.cfg.Proxies) > 0)
}

// wake lets a member be looked at each time.
func (r *Router) wake(m *member) {
	if !m.awake {
		m.awake = true
		r.rounds.awake = append(r.rounds.awake, m)
	}
}

// enterRounds has a group's members looked at now and then for a time.
func (r *Router) enterRounds(now time.Duration, g *group) {
	g.roundsTill = now + roundsFor
	if !g.inRounds {
		g.inRounds = true
		r.rounds.inUse = append(r.rounds.inUse, g)
	}
}

// leaveRounds takes a group out that is forgotten.
func (r *Router) leaveRounds(g *group) {
	r.rounds.inUse = slices.DeleteFunc(r.rounds.inUse, func(x *group) bool { return x == g })
}

// stir lets a group be looked at each time while something is to be done there by time alone, and its members while it looks for a primary.
func (r *Router) stir(now time.Duration, g *group) {
	if !g.stirs && g.lead.NeedsTick() {
		g.stirs = true
		r.stirring = append(r.stirring, g)
	}
	if r.seeksPrimary(now, g) {
		for _, m := range g.members {
			r.wake(m)
		}
	}
}
