package takeover

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// memberList is a list of the tier's members that some proxy may use until then.
type memberList struct {
	members []Member // sorted
	until   time.Duration
}

// replicaSet is the replicas of a key by one list of members.
type replicaSet struct {
	members []Member
	quorum  int // how many have to agree
}

// count returns how many replicas a condition holds for.
func (s replicaSet) count(holds func(Member) bool) int {
	n := 0
	for _, member := range s.members {
		if holds(member) {
			n++
		}
	}
	return n
}

// weight ranks a member for a key (rendezvous hashing).
func weight(key string, member Member) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(member))
	digest.Write(number[:])
	digest.WriteString(key)
	return digest.Sum64()
}

// selectReplicas returns the n members with the greatest weight for a key, the greatest first; among equals the lower number.
func selectReplicas(key string, members []Member, n int) []Member {
	type candidate struct {
		member Member
		weight uint64
	}
	byWeight := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member, b.member))
	}
	best := make([]candidate, 0, n+1)
	for _, member := range members {
		c := candidate{member: member, weight: weight(key, member)}
		i, _ := slices.BinarySearchFunc(best, c, byWeight)
		if i >= n {
			continue
		}
		best = slices.Insert(best, i, c)
		best = best[:min(len(best), n)]
	}
	replicas := make([]Member, len(best))
	for i, c := range best {
		replicas[i] = c.member
	}
	return replicas
}

// replicaSets returns the replicas of a key by the present list of members, and by each earlier one that others may still use. Agreement takes
// a quorum of each, so that two owners that use different lists have at least one set in common.
func (r *Registry) replicaSets(now time.Duration, key string) []replicaSet {
	sets := r.appendReplicaSet(nil, key, r.members)
	for _, list := range r.past {
		if now < list.until {
			sets = r.appendReplicaSet(sets, key, list.members)
		}
	}
	return sets
}

// appendReplicaSet appends the set of a list, unless it is there already.
func (r *Registry) appendReplicaSet(sets []replicaSet, key string, members []Member) []replicaSet {
	set := replicaSet{members: selectReplicas(key, members, r.config.replicas())}
	if slices.ContainsFunc(sets, func(other replicaSet) bool { return slices.Equal(other.members, set.members) }) {
		return sets
	}
	// A member that has left does not come back, and its records are lost: where the others are no majority, all of them have to agree.
	present := set.count(func(member Member) bool {
		_, ok := slices.BinarySearch(r.members, member)
		return ok
	})
	majority := len(set.members)/2 + 1
	if r.config.DisabledGuards.Has(NoMajority) {
		majority = 1
	}
	set.quorum = min(majority, present)
	return append(sets, set)
}

// hasQuorum reports whether a condition holds for a quorum of each set.
func hasQuorum(sets []replicaSet, holds func(Member) bool) bool {
	return !slices.ContainsFunc(sets, func(set replicaSet) bool { return set.count(holds) < set.quorum })
}

// allReplicas returns the members of all sets, each once.
func allReplicas(sets []replicaSet) []Member {
	var members []Member
	for _, set := range sets {
		for _, member := range set.members {
			if !slices.Contains(members, member) {
				members = append(members, member)
			}
		}
	}
	return members
}
