package takeover

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// view is a list of the tier's members, as it held until some time.
type memberList struct {
	members []Member // sorted
	until   time.Duration
}

// weight ranks a member for a key: rendezvous hashing.
func weight(key string, m Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(m))
	d.Write(b[:])
	d.WriteString(key)
	return d.Sum64()
}

// keepers gives the n members that rank highest for a key, the first one first.
func selectReplicas(key string, members []Member, n int) []Member {
	type ranked struct {
		m Member
		w uint64
	}
	best := make([]ranked, 0, n+1)
	for _, m := range members {
		r := ranked{m, weight(key, m)}
		i, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int {
			if a.w != b.w {
				if a.w > b.w {
					return -1
				}
				return 1
			}
			return int(a.m) - int(b.m)
		})
		if i < n {
			if best = slices.Insert(best, i, r); len(best) > n {
				best = best[:n]
			}
		}
	}
	out := make([]Member, len(best))
	for i, r := range best {
		out[i] = r.m
	}
	return out
}

// sets gives the sets of keepers that a key has now and may have had for whoever still acts on an earlier list of members. What is agreed has
// to be agreed by most of each: two owners that go by different lists ask one set at least in common.
func (b *Registry) replicaSets(now time.Duration, key string) (out []replicaSet) {
	add := func(members []Member) {
		s := replicaSet{members: selectReplicas(key, members, 2*b.config.Quorum-1)}
		for _, o := range out {
			if slices.Equal(o.members, s.members) {
				return
			}
		}
		// A member that has left is gone for good, and what it knew with it: of the rest all have to agree where most can't any more.
		living := 0
		for _, m := range s.members {
			if _, ok := slices.BinarySearch(b.members, m); ok {
				living++
			}
		}
		if s.quorum = min(len(s.members)/2+1, living); b.config.DisabledGuards.Has(NoMajority) {
			s.quorum = min(1, living)
		}
		out = append(out, s)
	}
	add(b.members)
	for _, v := range b.past {
		if now < v.until {
			add(v.members)
		}
	}
	return out
}

// set is one of keepers.
type replicaSet struct {
	members []Member
	quorum  int // of them have to agree
}

// enough tells whether most of each set are among those that something holds for.
func hasQuorum(sets []replicaSet, holds func(Member) bool) bool {
	for _, s := range sets {
		n := 0
		for _, m := range s.members {
			if holds(m) {
				n++
			}
		}
		if n < s.quorum {
			return false
		}
	}
	return true
}

// all gives the members of all sets, each once.
func allReplicas(sets []replicaSet) (out []Member) {
	for _, s := range sets {
		for _, m := range s.members {
			if !slices.Contains(out, m) {
				out = append(out, m)
			}
		}
	}
	return out
}
