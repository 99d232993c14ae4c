package logic

import (
	"time"

	"havenproxy/internal/handover"
)

// Statistics of groups and members for planners and displays. Nothing here makes a decision.

// ClassCounts counts how the requests of one class in one group ended.
type ClassCounts struct {
	Offered     int           // new requests; those that follow a recent refusal count as Retries
	Retries     int           // requests of a client that was refused the same class a moment ago
	Shed        int           // of Offered: refused by the admission plan
	InTime      int           // answered within Class.Aim
	Late        int           // answered later, or abandoned by the client
	Refused     int           // refused by limits
	NoPrimary   int           // refused because there is no primary, which does not indicate load
	Failed      int           // answered with a failure
	ServiceTime time.Duration // estimated answer time without queueing
}

// GroupStats is the router's view of a group.
type GroupStats struct {
	ReadyMembers  int           // members in state Ready
	UsableMembers int           // ready members that are not silent
	WarmCapacity  float64       // sum of the usable members' capacities, each as a fraction of its usual one
	HasPrimary    bool          // a primary is known
	Strain        float64       // mean of the usable members' answer times over their aims
	Classes       []ClassCounts // counts since the last call
}

// Groups returns the groups that a list has named, in order of their first listing. The caller must not change the
// slice.
func (r *Router) Groups() []GroupID { return r.groupOrder }

// GroupStats writes the statistics of a group to stats, whose slice it reuses, and resets the group's counts. It
// returns false if the group is unknown.
func (r *Router) GroupStats(now time.Duration, id GroupID, stats *GroupStats) bool {
	g := r.groups[id]
	if g == nil {
		return false
	}
	*stats = GroupStats{HasPrimary: g.primary != nil, Classes: append(stats.Classes[:0], g.counts...)}
	for i := range stats.Classes {
		stats.Classes[i].ServiceTime = r.serviceTime[i]
		g.counts[i] = ClassCounts{}
	}
	for _, m := range g.members {
		if m.State != Ready {
			continue
		}
		stats.ReadyMembers++
		if m.handover.Silent {
			continue
		}
		stats.UsableMembers++
		stats.Strain += m.LatencyRatio
		stats.WarmCapacity += r.warmCapacity(now, m)
	}
	stats.Strain /= float64(max(stats.UsableMembers, 1))
	return true
}

// warmCapacity returns the capacity to expect of a member as a fraction of its usual one. It is below 1 while the
// member is cold, weighted by how certain that is.
func (r *Router) warmCapacity(now time.Duration, m *member) float64 {
	startedAt, certainty := m.handover.ColdSince(now, r.cfg.ColdPeriod)
	if certainty == 0 {
		return 1
	}
	return 1 - certainty*(1-r.warmCapacitySince(now, startedAt))
}

// warmCapacitySince returns the capacity of a member that started at startedAt.
func (r *Router) warmCapacitySince(now, startedAt time.Duration) float64 {
	return r.cfg.ColdShare + (1-r.cfg.ColdShare)*max(0, float64(now-startedAt))/float64(r.cfg.ColdPeriod)
}

// Excluded reports whether a member gets no new requests at the moment: it drains, is gone, is silent, or fails
// more often than others.
func (r *Router) Excluded(now time.Duration, id MemberID) bool {
	m := r.members[id]
	return m != nil && !r.usable(m, now)
}

// Failovers returns the state of each group's primary and the latest completed failovers, newest first.
func (r *Router) Failovers(now time.Duration) (groups map[GroupID]handover.Status, completed []handover.Failover) {
	groups = map[GroupID]handover.Status{}
	for _, id := range r.groupOrder {
		groups[id] = r.groups[id].handover.Status(now)
	}
	return groups, r.handover.RecentFailovers()
}

// SetHandoverConfig replaces the failover settings.
func (r *Router) SetHandoverConfig(cfg handover.Config) { r.handover.Configure(cfg) }

// SetTuning replaces the tuning. Existing limits continue from their present values.
func (r *Router) SetTuning(t Tuning) { r.cfg.Tuning = t.WithDefaults() }

// classCounts returns the counts to which the request belongs.
func (q *request) classCounts() *ClassCounts { return &q.group.counts[q.Class] }

// demandKey returns the hash of the request's client and class.
func (q *request) demandKey() uint64 { return demandKey(&q.Request) }

// countOutcome counts a request by the outcome that ended it.
func (q *request) countOutcome(now time.Duration, o Outcome) {
	switch counts := q.classCounts(); {
	case o.Result != OK: // already counted as abandoned, or unsuitable, which does not indicate load
	case now-q.arrivedAt <= q.class.Aim:
		counts.InTime++
	default:
		counts.Late++
	}
}

// MemberStats is the router's view of a member.
type MemberStats struct {
	Group        GroupID
	Role         Role
	Silent       bool
	Failing      bool // it fails more often than others and only gets occasional trial requests
	Cold         bool
	RestartDoubt float64       // probability that it restarted during a silence, where that is unknown
	InFlight     int           // this proxy's attempts in flight
	Limit        float64       // how many may be in flight
	Strain       float64       // answer time over aim, moving average
	Ping         time.Duration // moving average; 0 = never answered
	Position     time.Duration // it has applied all commits up to this time; 0 = unknown
}

// MemberStats returns the statistics of a member and whether it is known.
func (r *Router) MemberStats(now time.Duration, id MemberID) (MemberStats, bool) {
	m := r.members[id]
	if m == nil {
		return MemberStats{}, false
	}
	return MemberStats{Group: m.Group, Role: m.role(), Silent: m.handover.Silent, Failing: r.failures.IsOutlier(&m.breaker), Cold: r.warmCapacity(now, m) < 1,
		RestartDoubt: m.handover.RestartProbability(),
		InFlight:     len(m.inFlight), Limit: m.MaxInFlight, Strain: m.LatencyRatio, Ping: m.pingTime, Position: m.position}, true
}
