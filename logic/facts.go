package logic

import (
	"time"

	"havenproxy/internal/handover"
)

// What a router tells of its groups to those who plan; nothing here decides.

// Tally counts what became of a class's requests in a group.
type Tally struct {
	Offered   int           // anew: repeats of what was refused a moment ago are none
	Repeats   int           // those
	Shed      int           // of Offered, turned away by the plan
	InAim     int           // answered in time,
	Late      int           // too late, or its client has left
	Refused   int           // turned away by limits
	NoPrimary int           // refused for want of a primary: no sign of load
	Failed    int           // answered with a failure
	Cost      time.Duration // bare answer time, as learned
}

// GroupFacts is what a router knows of a group's state.
type GroupFacts struct {
	Members int     // that are ready
	Usable  int     // and not silent
	Warmth  float64 // sum of the usable ones' parts of their capacity
	Primary bool    // a primary is known
	Strain  float64 // mean of the usable ones' answer times over aims
	Classes []Tally // since the last time
}

// Groups gives the groups that a list has named, in the order of their first listing.
func (r *Router) Groups() []GroupID { return r.listed }

// Facts gives what is known of a group, and begins its counts anew. The slice in out is used again.
func (r *Router) Facts(now time.Duration, id GroupID, out *GroupFacts) bool {
	g := r.groups[id]
	if g == nil {
		return false
	}
	*out = GroupFacts{Primary: g.primary != nil, Classes: append(out.Classes[:0], g.tally...)}
	for i := range out.Classes {
		out.Classes[i].Cost = r.cost[i]
		g.tally[i] = Tally{}
	}
	for _, m := range g.members {
		if m.State != Ready {
			continue
		}
		out.Members++
		if m.seat.Silent {
			continue
		}
		out.Usable++
		out.Strain += m.Strain
		out.Warmth += r.warmth(now, m)
	}
	out.Strain /= float64(max(out.Usable, 1))
	return true
}

// warmth is the part of its usual work that a member can be taken to do: less while it is cold, or as far as it may be.
func (r *Router) warmth(now time.Duration, m *member) float64 {
	from, sure := m.seat.ColdSince(now, r.cfg.Cold)
	if sure == 0 {
		return 1
	}
	return 1 - sure*(1-r.warmthSince(now, from))
}

// warmthSince is that of a member that started then.
func (r *Router) warmthSince(now, from time.Duration) float64 {
	return r.cfg.ColdShare + (1-r.cfg.ColdShare)*max(0, float64(now-from))/float64(r.cfg.Cold)
}

// Avoids tells whether nothing new goes to a member by now: it drains or is gone, is silent, or fails more than others.
func (r *Router) Avoids(now time.Duration, id MemberID) bool {
	m := r.members[id]
	return m != nil && !r.usable(m, now)
}

// Switches gives the groups' places with their primaries, and the last switches that have ended, the newest first.
func (r *Router) Switches(now time.Duration) (groups map[GroupID]handover.Status, ended []handover.Failover) {
	groups = map[GroupID]handover.Status{}
	for _, id := range r.listed {
		groups[id] = r.groups[id].lead.Status(now)
	}
	return groups, r.lead.RecentFailovers()
}

// Handover puts other settings for switches into force.
func (r *Router) Handover(cfg handover.Config) { r.lead.Configure(cfg) }

// Tune puts another tuning into force; limits that stand already go on from where they are.
func (r *Router) Tune(t Tuning) { r.cfg.Tuning = t.WithDefaults() }

// tallyOf is where a request is counted.
func (q *request) tallyOf() *Tally { return &q.group.tally[q.Class] }

// drawKey names the request's caller and class.
func (q *request) drawKey() uint64 { return callerKey(&q.Request) }

// countEnd counts how a request ended whose outcome finished it.
func (q *request) countEnd(now time.Duration, o Outcome) {
	switch t := q.tallyOf(); {
	case o.Result != OK: // abandoned, and counted then, or unfit, which is nobody's load
	case now-q.at <= q.class.Aim:
		t.InAim++
	default:
		t.Late++
	}
}

// MemberFacts is what a router knows of a member.
type MemberFacts struct {
	Group    GroupID
	Role     Role
	Silent   bool
	Benched  bool // it fails more than others, and is tried now and then only
	Cold     bool
	Doubt    float64       // the probability that it started anew in a silence, where that is not known
	Out      int           // attempts under way
	Limit    float64       // how many may be
	Strain   float64       // answer time over aim
	Ping     time.Duration // 0 = never answered
	Position time.Duration // it has applied all commits up to then; 0 = not known
}

// Member gives what is known of a member.
func (r *Router) Member(now time.Duration, id MemberID) (MemberFacts, bool) {
	m := r.members[id]
	if m == nil {
		return MemberFacts{}, false
	}
	return MemberFacts{Group: m.Group, Role: m.role(), Silent: m.seat.Silent, Benched: r.failures.IsOutlier(&m.bench), Cold: r.warmth(now, m) < 1,
		Doubt: m.seat.RestartProbability(),
		Out:   len(m.out), Limit: m.MaxInFlight, Strain: m.Strain, Ping: m.ping, Position: m.position}, true
}
