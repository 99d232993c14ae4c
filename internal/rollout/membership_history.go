package rollout

import (
	"slices"
	"time"
)

// Membership is what a proxy knows of the members of its tier.
type Membership struct {
	Version uint64        // 0 = nothing is known
	Members []MemberEntry // sorted by Member
	Past    []PastMembers // as of when Version was received
	// Until is how long the list may be used: a lease that was granted while it was current. Later, others may have received another.
	Until time.Duration
}

// PastMembers is an earlier list of members that some member may still use.
type PastMembers struct {
	Members []Member      `cbor:"1,keyasint"`
	Left    time.Duration `cbor:"2,keyasint"` // for at most this long
}

// maxPastMembers bounds the earlier lists that are kept. Lists can't be merged: the replicas that a longer list selects are not those that
// either of two shorter ones selects.
const maxPastMembers = 64

// MembershipHistory keeps earlier lists of members while a member may still use one: whoever looks for the replicas of a record has to ask
// those by each list. A list holds the members that have an address. Each planner has a history, besides the log.
type MembershipHistory struct {
	retention       time.Duration // of a list, from its replacement
	version         uint64
	members         []Member
	past            []replacedMembers // the oldest first
	incompleteUntil time.Duration     // a list that is unknown here may be in use until then
}

type replacedMembers struct {
	members    []Member
	replacedAt time.Duration
}

// NewMembershipHistory returns an empty history. A member may use a list for the lease that was granted last before its replacement.
func NewMembershipHistory(config Config) *MembershipHistory {
	config = config.WithDefaults()
	return &MembershipHistory{retention: config.Lease + config.ClockMargin}
}

// MarkIncomplete tells that the state was received as a whole, as a snapshot: lists may have come and gone unseen.
func (h *MembershipHistory) MarkIncomplete(now time.Duration) { h.incompleteUntil = now + h.retention }

// Applied must be called after each command that has been applied to the state.
func (h *MembershipHistory) Applied(now time.Duration, s *State) {
	if s.MembersVersion == h.version {
		return
	}
	var members []Member
	for _, entry := range s.Members {
		if entry.Address != "" {
			members = append(members, entry.Member)
		}
	}
	if h.version > 0 && !slices.Equal(members, h.members) {
		h.past = append(h.past, replacedMembers{members: h.members, replacedAt: now})
	}
	h.past = slices.DeleteFunc(h.past, func(p replacedMembers) bool { return now >= p.replacedAt+h.retention })
	if len(h.past) > maxPastMembers {
		h.incompleteUntil = max(h.incompleteUntil, h.past[0].replacedAt+h.retention)
		h.past = slices.Delete(h.past, 0, 1)
	}
	h.version, h.members = s.MembersVersion, members
}

// Past returns the earlier lists that members may still use, the oldest first. complete is false if there may be others; then no member
// may be told that a list is complete.
func (h *MembershipHistory) Past(now time.Duration) (past []PastMembers, complete bool) {
	for _, p := range h.past {
		if left := p.replacedAt + h.retention - now; left > 0 {
			past = append(past, PastMembers{Members: p.members, Left: left})
		}
	}
	return past, now >= h.incompleteUntil
}
