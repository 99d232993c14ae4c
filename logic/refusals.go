package logic

import "time"

// RefusalReason says why a request was refused.
type RefusalReason uint8

// The reasons for refusals.
const (
	RefusedNoPrimary      RefusalReason = iota // its group has no primary that is known
	RefusedNoTime                              // less time is left than its class's answers take
	RefusedAttemptsFailed                      // attempts of it ended without an effect
	RefusedNoAnswerYet                         // no member of its group has answered anything yet
	RefusedOverloaded                          // no member has room for it
	NumRefusalReasons                          // how many there are
)

// String gives the reason as logs and metrics name it.
func (r RefusalReason) String() string {
	return [...]string{RefusedNoPrimary: "no_primary", RefusedNoTime: "no_time", RefusedAttemptsFailed: "tried", RefusedNoAnswerYet: "unknown",
		RefusedOverloaded: "crowded"}[r]
}

// Refusals gives how many requests were refused for each reason, since the start.
func (r *Router) Refusals() [NumRefusalReasons]uint64 { return r.refusals }

// refusalReason tells why a request is refused now.
func (r *Router) refusalReason(now time.Duration, q *request) RefusalReason {
	switch {
	case q.class.primaryMode() && q.group.primary == nil:
		return RefusedNoPrimary
	case q.Deadline-now <= r.cost[q.Class]:
		return RefusedNoTime
	case len(q.tries) > 0:
		return RefusedAttemptsFailed
	case !q.group.known():
		return RefusedNoAnswerYet
	}
	return RefusedOverloaded
}

// known tells whether any member of a group is known to have answered, this proxy or a peer.
func (g *group) known() bool {
	for _, m := range g.members {
		if m.heardAt > 0 || m.toldAt > 0 {
			return true
		}
	}
	return false
}
