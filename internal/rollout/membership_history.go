package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Membership is what a proxy knows of the members of its tier.
type Membership struct {
	Version uint64        // 0 = nothing is known
	Members []MemberEntry // sorted by Member
	Past    []PastMembers // as of when Version was received
	// ValidUntil is how long the list may be used: a lease that was granted while it was current. Later, others may have received another.
	ValidUntil time.Duration
}

// PastMembers is an earlier list of members that some member may still use.
type PastMembers struct {
	Members   []Member      `cbor:"1,keyasint"`
	Remaining time.Duration `cbor:"2,keyasint"` // for at most this long
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

	entries []MemberEntry // as of version
	changes []membershipChange
}

// maxMembershipChanges bounds the changes that are kept for those who know an earlier version: all of some days, or of a restart of every
// proxy, at the planned size. Who knows none of the versions is sent all entries.
const maxMembershipChanges = 2048

// membershipChange is what led from one version to the next.
type membershipChange struct {
	from   uint64
	joined []MemberEntry
	left   []Member
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
	h.recordChange(s)
	h.version, h.members = s.MembersVersion, members
}

// recordChange keeps what leads from the version before to the state's.
func (h *MembershipHistory) recordChange(s *State) {
	if h.version > 0 {
		change := membershipChange{from: h.version}
		for _, entry := range s.Members {
			if !hasMember(h.entries, entry.Member) {
				change.joined = append(change.joined, entry)
			}
		}
		for _, entry := range h.entries {
			if !hasMember(s.Members, entry.Member) {
				change.left = append(change.left, entry.Member)
			}
		}
		h.changes = append(h.changes, change)
		if len(h.changes) > maxMembershipChanges {
			h.changes = slices.Delete(h.changes, 0, len(h.changes)-maxMembershipChanges)
		}
	}
	h.entries = slices.Clone(s.Members)
}

// hasMember looks a member up in entries that are sorted by Member.
func hasMember(entries []MemberEntry, member Member) bool {
	_, found := slices.BinarySearchFunc(entries, member, func(entry MemberEntry, member Member) int { return cmp.Compare(entry.Member, member) })
	return found
}

// Since returns what has changed since a version: who has joined and is still there, and who has left. ok is false where that version is not
// known here any more, or never was.
func (h *MembershipHistory) Since(version uint64) (joined []MemberEntry, left []Member, ok bool) {
	first := slices.IndexFunc(h.changes, func(c membershipChange) bool { return c.from == version })
	if first < 0 {
		return nil, nil, false
	}
	for _, change := range h.changes[first:] {
		joined = append(joined, change.joined...)
		for _, member := range change.left {
			before := len(joined)
			joined = slices.DeleteFunc(joined, func(entry MemberEntry) bool { return entry.Member == member })
			if len(joined) == before { // it had joined before that version
				left = append(left, member)
			}
		}
	}
	return joined, left, true
}

// apply returns the membership after a message of Members. ok is false where the message's changes are those of another version than the one
// that is known here.
func (m *Membership) apply(message *Message) (after Membership, ok bool) {
	after = Membership{Version: message.MembersVersion, Members: message.Members, Past: message.PastMembers}
	if message.BaseVersion == 0 {
		return after, true
	}
	if message.BaseVersion != m.Version {
		return Membership{}, false
	}
	after.Members = slices.Clone(m.Members)
	after.Members = slices.DeleteFunc(after.Members, func(entry MemberEntry) bool { return slices.Contains(message.RemovedMembers, entry.Member) })
	after.Members = append(after.Members, message.Members...) // who joins later has a higher number
	return after, true
}

// Past returns the earlier lists that members may still use, the oldest first. complete is false if there may be others; then no member
// may be told that a list is complete.
func (h *MembershipHistory) Past(now time.Duration) (past []PastMembers, complete bool) {
	for _, p := range h.past {
		if left := p.replacedAt + h.retention - now; left > 0 {
			past = append(past, PastMembers{Members: p.members, Remaining: left})
		}
	}
	return past, now >= h.incompleteUntil
}
