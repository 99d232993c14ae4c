package rollout

import (
	"slices"
	"time"
)

// Views remembers the tier's lists of members that have been followed by others, for as long as a member may still go by one: who finds keepers of
// something by the list has to ask those of each earlier one as well. Lists hold those that told an address, as members are told them. Each planner has
// one, beside the log.
type Views struct {
	life    time.Duration // of a list behind its end
	version uint64
	members []Member
	past    []ended
	unsure  time.Duration // until then, not all that members may go by are known here
}

type ended struct {
	members []Member
	at      time.Duration
}

// mostViews bounds the lists that are remembered. Lists can't be merged: the keepers by a longer one are not those by either.
const mostViews = 64

// NewViews begins to remember. cfg says how long a member may go by a list: for its lease, as it was granted last before the list ended.
func NewViews(cfg Config) *Views {
	cfg = cfg.WithDefaults()
	return &Views{life: cfg.Lease + cfg.Margin}
}

// Skipped tells that the state came as a whole: lists may have come and gone that were not seen here.
func (v *Views) Skipped(now time.Duration) { v.unsure = now + v.life }

// Applied is called behind each command that has been applied to the state.
func (v *Views) Applied(now time.Duration, s *State) {
	if s.Version == v.version {
		return
	}
	var next []Member
	for _, x := range s.Seats {
		if x.Address != "" {
			next = append(next, x.Member)
		}
	}
	if v.version > 0 && !slices.Equal(next, v.members) {
		v.past = append(v.past, ended{v.members, now})
	}
	v.past = slices.DeleteFunc(v.past, func(e ended) bool { return now >= e.at+v.life })
	if len(v.past) > mostViews {
		v.unsure = max(v.unsure, v.past[0].at+v.life)
		v.past = slices.Delete(v.past, 0, 1)
	}
	v.version, v.members = s.Version, next
}

// Past gives the earlier lists that members may still go by, the oldest first, and for how long. false = not all are known, and so nobody may be told that
// a list is whole.
func (v *Views) Past(now time.Duration) (out []View, ok bool) {
	for _, e := range v.past {
		if left := e.at + v.life - now; left > 0 {
			out = append(out, View{e.members, left})
		}
	}
	return out, now >= v.unsure
}

// View is an earlier list of members.
type View struct {
	Members []Member      `cbor:"1,keyasint"`
	Left    time.Duration `cbor:"2,keyasint"` // for so long others may still go by it
}

// Tier is what a proxy knows of its tier's members.
type Tier struct {
	Version uint64 // 0 = nothing
	Seats   []Seat // by Member
	Past    []View // as of when Version was heard
	// Until is how long the list may be gone by: a lease that was granted while it was the list. Behind that, others may have been told another.
	Until time.Duration
}
