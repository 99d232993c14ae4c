package logic

import (
	"time"

	"havenproxy/internal/handover"
)

// What a router tells of its groups to those who plan; nothing here decides.

// ClassCounts counts what became of a class's requests in a group.
type ClassCounts struct {
	Offered     int           // anew: repeats of what was refused a moment ago are none
	Retries     int           // those
	Shed        int           // of Offered, turned away by the plan
	InTime      int           // answered in time,
	Late        int           // too late, or its client has left
	Refused     int           // turned away by limits
	NoPrimary   int           // refused for want of a primary: no sign of load
	Failed      int           // answered with a failure
	ServiceTime time.Duration // bare answer time, as learned
}

// GroupStats is what a router knows of a group's state.
type GroupStats struct {
	ReadyMembers  int           // that are ready
	UsableMembers int           // and not silent
	WarmCapacity  float64       // sum of the usable ones' parts of their capacity
	HasPrimary    bool          // a primary is known
	LatencyRatio  float64       // mean of the usable ones' answer times over aims
	Classes       []ClassCounts // since the last time
}

// Groups gives the groups that a list has named, in the order of their first listing.
func (r *Router) Groups() []GroupID { return r.listed }

// GroupStats gives what is known of a group, and begins its counts anew. The slice in out is used again.
func (r *Router) GroupStats(now time.Duration, id GroupID, out *GroupStats) bool {
	g := r.groups[id]
	if g == nil {
		return false
	}
	*out = GroupStats{HasPrimary: g.primary != nil, Classes: append(out.Classes[:0], g.tally...)}
	for i := range out.Classes {
		out.Classes[i].ServiceTime = r.cost[i]
		g.tally[i] = ClassCounts{}
	}
	for _, m := range g.members {
		if m.State != Ready {
			continue
		}
		out.ReadyMembers++
		if m.seat.Silent {
			continue
		}
		out.UsableMembers++
		out.LatencyRatio += m.Strain
		out.WarmCapacity += r.warmth(now, m)
	}
	out.LatencyRatio /= float64(max(out.UsableMembers, 1))
	return true
}

// warmth is the part of its usual work that a member can be taken to do: less while it is cold, or as far as it may be.
func (r *Router) warmth(now time.Duration, m *member) float64 {
	from, sure := m.seat.ColdSince(now, r.cfg.ColdPeriod)
	if sure == 0 {
		return 1
	}
	return 1 - sure*(1-r.warmthSince(now, from))
}

// warmthSince is that of a member that started then.
func (r *Router) warmthSince(now, from time.Duration) float64 {
	return r.cfg.ColdShare + (1-r.cfg.ColdShare)*max(0, float64(now-from))/float64(r.cfg.ColdPeriod)
}

// Excluded tells whether nothing new goes to a member by now: it drains or is gone, is silent, or fails more than others.
func (r *Router) Excluded(now time.Duration, id MemberID) bool {
	m := r.members[id]
	return m != nil && !r.usable(m, now)
}

// Handovers gives the groups' places with their primaries, and the last switches that have ended, the newest first.
func (r *Router) Handovers(now time.Duration) (groups map[GroupID]handover.Status, ended []handover.Failover) {
	groups = map[GroupID]handover.Status{}
	for _, id := range r.listed {
		groups[id] = r.groups[id].lead.Status(now)
	}
	return groups, r.lead.RecentFailovers()
}

// SetHandoverConfig puts other settings for switches into force.
func (r *Router) SetHandoverConfig(cfg handover.Config) { r.lead.Configure(cfg) }

// SetTuning puts another tuning into force; limits that stand already go on from where they are.
func (r *Router) SetTuning(t Tuning) { r.cfg.Tuning = t.WithDefaults() }

// tallyOf is where a request is counted.
func (q *request) tallyOf() *ClassCounts { return &q.group.tally[q.Class] }

// drawKey names the request's caller and class.
func (q *request) drawKey() uint64 { return callerKey(&q.Request) }

// countEnd counts how a request ended whose outcome finished it.
func (q *request) countEnd(now time.Duration, o Outcome) {
	switch t := q.tallyOf(); {
	case o.Result != OK: // abandoned, and counted then, or unfit, which is nobody's load
	case now-q.at <= q.class.Aim:
		t.InTime++
	default:
		t.Late++
	}
}

// MemberStats is what a router knows of a member.
type MemberStats struct {
	Group        GroupID
	Role         Role
	Silent       bool
	Failing      bool // it fails more than others, and is tried now and then only
	Cold         bool
	RestartDoubt float64       // the probability that it started anew in a silence, where that is not known
	InFlight     int           // attempts under way
	Limit        float64       // how many may be
	LatencyRatio float64       // answer time over aim
	Ping         time.Duration // 0 = never answered
	Position     time.Duration // it has applied all commits up to then; 0 = not known
}

// MemberStats gives what is known of a member.
func (r *Router) MemberStats(now time.Duration, id MemberID) (MemberStats, bool) {
	m := r.members[id]
	if m == nil {
		return MemberStats{}, false
	}
	return MemberStats{Group: m.Group, Role: m.role(), Silent: m.seat.Silent, Failing: r.failures.IsOutlier(&m.bench), Cold: r.warmth(now, m) < 1,
		RestartDoubt: m.seat.RestartProbability(),
		InFlight:     len(m.out), Limit: m.MaxInFlight, LatencyRatio: m.Strain, Ping: m.ping, Position: m.position}, true
}
