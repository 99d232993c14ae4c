package rollout

import (
	"slices"
	"time"
)

// Views remembers the tier's lists of members that have been followed by others, for as long as a member may still go by one: who finds keepers of
// something by the list has to ask those of the earlier ones as well. Each planner has one, beside the log: one that starts anew takes all lists of
// the log for just ended, which is safe.
type Views struct {
	version uint64
	seats   []Seat
	past    []ended
}

type ended struct {
	members []Member
	at      time.Duration
}

// mostViews bounds the lists that are remembered. Beyond, neighbours are merged: who is in either is in both, so that nobody is left out.
const mostViews = 8

// Applied is called behind each command that has been applied to the state.
func (v *Views) Applied(now time.Duration, s *State) {
	if s.Version == v.version {
		return
	}
	if v.version > 0 {
		v.past = append(v.past, ended{members(v.seats), now})
	}
	if n := len(v.past); n > mostViews {
		first := ended{slices.Clone(v.past[0].members), v.past[1].at}
		for _, m := range v.past[1].members {
			if !slices.Contains(first.members, m) {
				first.members = append(first.members, m)
			}
		}
		slices.Sort(first.members)
		v.past = append([]ended{first}, v.past[2:]...)
	}
	v.version, v.seats = s.Version, slices.Clone(s.Seats)
}

// Past gives the earlier lists that members may still go by, the oldest first, and for how long: a member's list holds for its lease, as it was
// granted last before the list ended.
func (v *Views) Past(now time.Duration, cfg Config) (out []View) {
	for _, e := range v.past {
		if left := e.at + cfg.Lease + cfg.Margin - now; left > 0 {
			out = append(out, View{e.members, left})
		}
	}
	return out
}

func members(seats []Seat) (out []Member) {
	for _, s := range seats {
		out = append(out, s.Member)
	}
	return out
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
