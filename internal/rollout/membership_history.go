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
	// ValidUntil is the end of the last lease that was granted while the list was current. After it others may use another list.
	ValidUntil time.Duration
}

// PastMembers is an earlier list of members that some member may still use.
type PastMembers struct {
	Members   []Member      `cbor:"1,keyasint"`
	Remaining time.Duration `cbor:"2,keyasint"` // maximum time for which it may still be used
}

// maxPastMembers bounds the earlier lists that are kept. Lists can't be merged: the replicas that a longer list selects are not those that
// either of two shorter ones selects.
const maxPastMembers = 64

// MembershipHistory keeps earlier lists of members while a member may still use one: a lookup of a record's replicas has to query those
// that each list selects. A list holds the members that have an address. Each planner has a history, which is not part of the log.
type MembershipHistory struct {
	retention       time.Duration // of a list, from its replacement
	version         uint64
	members         []Member
	past            []formerMembers // the oldest first
	incompleteUntil time.Duration   // until then a list that is missing here may be in use

	entries []MemberEntry // as of version
	deltas  []membershipDelta
}

// maxMembershipDeltas bounds the deltas that are kept for members that know an earlier version: enough for some days, or for a restart of
// every proxy, at the planned size. A member that knows an older version is sent all entries.
const maxMembershipDeltas = 2048

// membershipDelta is the difference between one version and the next.
type membershipDelta struct {
	baseVersion uint64
	joined      []MemberEntry
	left        []Member
}

type formerMembers struct {
	members    []Member
	replacedAt time.Duration
}

// NewMembershipHistory returns an empty history. A member may use a list until the lease that was granted last before the list's
// replacement has ended.
func NewMembershipHistory(config Config) *MembershipHistory {
	config = config.WithDefaults()
	return &MembershipHistory{retention: config.Lease + config.ClockMargin}
}

// MarkIncomplete records that the state was received as a snapshot, so that lists between it and the state before may be missing.
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
		h.past = append(h.past, formerMembers{members: h.members, replacedAt: now})
	}
	h.past = slices.DeleteFunc(h.past, func(p formerMembers) bool { return now >= p.replacedAt+h.retention })
	if len(h.past) > maxPastMembers {
		h.incompleteUntil = max(h.incompleteUntil, h.past[0].replacedAt+h.retention)
		h.past = slices.Delete(h.past, 0, 1)
	}
	h.recordDelta(s)
	h.version, h.members = s.MembersVersion, members
}

// recordDelta records the difference between the previous version and the state's.
func (h *MembershipHistory) recordDelta(s *State) {
	if h.version > 0 {
		change := membershipDelta{baseVersion: h.version}
		for _, entry := range s.Members {
			if !containsMember(h.entries, entry.Member) {
				change.joined = append(change.joined, entry)
			}
		}
		for _, entry := range h.entries {
			if !containsMember(s.Members, entry.Member) {
				change.left = append(change.left, entry.Member)
			}
		}
		h.deltas = append(h.deltas, change)
		if len(h.deltas) > maxMembershipDeltas {
			h.deltas = slices.Delete(h.deltas, 0, len(h.deltas)-maxMembershipDeltas)
		}
	}
	h.entries = slices.Clone(s.Members)
}

// containsMember reports whether entries, sorted by Member, contain a member.
func containsMember(entries []MemberEntry, member Member) bool {
	_, found := slices.BinarySearchFunc(entries, member, func(entry MemberEntry, member Member) int { return cmp.Compare(entry.Member, member) })
	return found
}

// Since returns the difference to an earlier version: the members that have joined since and have not left, and those that have left. ok is
// false if the history does not hold that version.
func (h *MembershipHistory) Since(version uint64) (joined []MemberEntry, left []Member, ok bool) {
	first := slices.IndexFunc(h.deltas, func(c membershipDelta) bool { return c.baseVersion == version })
	if first < 0 {
		return nil, nil, false
	}
	for _, change := range h.deltas[first:] {
		joined = append(joined, change.joined...)
		for _, member := range change.left {
			before := len(joined)
			joined = slices.DeleteFunc(joined, func(entry MemberEntry) bool { return entry.Member == member })
			if len(joined) == before { // it joined before that version
				left = append(left, member)
			}
		}
	}
	return joined, left, true
}

// apply returns the membership after a Members message. ok is false if the message is a delta to another version than m.Version.
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
	after.Members = append(after.Members, message.Members...) // members that join later have higher numbers
	return after, true
}

// Past returns the earlier lists that members may still use, the oldest first. complete is false if there may be others; then a lease must
// not confirm any list as current.
func (h *MembershipHistory) Past(now time.Duration) (past []PastMembers, complete bool) {
	for _, p := range h.past {
		if left := p.replacedAt + h.retention - now; left > 0 {
			past = append(past, PastMembers{Members: p.members, Remaining: left})
		}
	}
	return past, now >= h.incompleteUntil
}
