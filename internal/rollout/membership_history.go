package rollout

import (
	"slices"
	"time"
)

// Views remembers the tier's lists of members that have been followed by others, for as long as a member may still go by one: who finds keepers of
// something by the list has to ask those of each earlier one as well. Lists hold those that told an address, as members are told them. Each planner has
// one, beside the log.
type MembershipHistory struct {
	retention       time.Duration // of a list behind its end
	membersVersion  uint64
	members         []Member
	past            []pastMembers
	incompleteUntil time.Duration // until then, not all that members may go by are known here
}

type pastMembers struct {
	members []Member
	at      time.Duration
}

// mostViews bounds the lists that are remembered. Lists can't be merged: the keepers by a longer one are not those by either.
const maxPastMembers = 64

// NewViews begins to remember. cfg says how long a member may go by a list: for its lease, as it was granted last before the list ended.
func NewMembershipHistory(cfg Config) *MembershipHistory {
	cfg = cfg.WithDefaults()
	return &MembershipHistory{retention: cfg.Lease + cfg.ClockMargin}
}

// Skipped tells that the state came as a whole: lists may have come and gone that were not seen here.
func (v *MembershipHistory) MarkIncomplete(now time.Duration) { v.incompleteUntil = now + v.retention }

// Applied is called behind each command that has been applied to the state.
func (v *MembershipHistory) Applied(now time.Duration, s *State) {
	if s.MembersVersion == v.membersVersion {
		return
	}
	var next []Member
	for _, x := range s.Members {
		if x.Address != "" {
			next = append(next, x.Member)
		}
	}
	if v.membersVersion > 0 && !slices.Equal(next, v.members) {
		v.past = append(v.past, pastMembers{v.members, now})
	}
	v.past = slices.DeleteFunc(v.past, func(e pastMembers) bool { return now >= e.at+v.retention })
	if len(v.past) > maxPastMembers {
		v.incompleteUntil = max(v.incompleteUntil, v.past[0].at+v.retention)
		v.past = slices.Delete(v.past, 0, 1)
	}
	v.membersVersion, v.members = s.MembersVersion, next
}

// Past gives the earlier lists that members may still go by, the oldest first, and for how long. false = not all are known, and so nobody may be told that
// a list is whole.
func (v *MembershipHistory) Past(now time.Duration) (out []PastMembers, ok bool) {
	for _, e := range v.past {
		if left := e.at + v.retention - now; left > 0 {
			out = append(out, PastMembers{e.members, left})
		}
	}
	return out, now >= v.incompleteUntil
}

// View is an earlier list of members.
type PastMembers struct {
	Members []Member      `cbor:"1,keyasint"`
	Left    time.Duration `cbor:"2,keyasint"` // for so long others may still go by it
}

// Tier is what a proxy knows of its tier's members.
type Membership struct {
	Version uint64        // 0 = nothing
	Members []MemberEntry // by Member
	Past    []PastMembers // as of when Version was heard
	// Until is how long the list may be gone by: a lease that was granted while it was the list. Behind that, others may have been told another.
	Until time.Duration
}
