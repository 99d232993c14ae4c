package logic

import "time"

// RefusalReason is the reason for which a request was refused.
type RefusalReason uint8

// Reasons for refusals.
const (
	RefusedNoPrimary      RefusalReason = iota // the group has no known primary
	RefusedNoTime                              // less time is left than the class's service time
	RefusedAttemptsFailed                      // its attempts ended without an effect
	RefusedNoAnswerYet                         // no member of the group has answered anything yet
	RefusedOverloaded                          // no member has room for it
	NumRefusalReasons                          // number of reasons
)

// String returns the name of the reason in logs and metrics.
func (r RefusalReason) String() string {
	return [...]string{RefusedNoPrimary: "no_primary", RefusedNoTime: "no_time", RefusedAttemptsFailed: "tried", RefusedNoAnswerYet: "unknown",
		RefusedOverloaded: "crowded"}[r]
}

// Refusals returns the number of refused requests since the start, by reason.
func (r *Router) Refusals() [NumRefusalReasons]uint64 { return r.refusalCounts }

// refusalReason returns the reason for refusing a request now.
func (r *Router) refusalReason(now time.Duration, q *request) RefusalReason {
	switch {
	case q.class.primaryOnly() && q.group.primary == nil:
		return RefusedNoPrimary
	case q.Deadline-now <= r.serviceTime[q.Class]:
		return RefusedNoTime
	case len(q.attempts) > 0:
		return RefusedAttemptsFailed
	case !q.group.hasAnswered():
		return RefusedNoAnswerYet
	}
	return RefusedOverloaded
}

// hasAnswered reports whether any member of the group is known to have answered this proxy or a peer.
func (g *group) hasAnswered() bool {
	for _, m := range g.members {
		if m.aliveAt > 0 || m.peerAliveAt > 0 {
			return true
		}
	}
	return false
}
