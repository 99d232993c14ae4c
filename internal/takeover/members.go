package takeover

import (
	"maps"
	"slices"
	"time"
)

// Membership is what a proxy knows of the members of its tier.
type Membership struct {
	Self      Member // 0 = this proxy is not a member
	Version   uint64 // of Members; 0 = nothing is known
	Members   []Member
	Past      []PastMembers // earlier lists that others may still use
	Until     time.Duration // by this proxy's clock: Members may be used until then
	Retention time.Duration // how long others may use a list after its replacement
}

// PastMembers is an earlier list of members.
type PastMembers struct {
	Members []Member
	Left    time.Duration // how long others may still use it, at most
}

// SetMembership sets what is known of the members. It may be called repeatedly with the same value. The replicas of an earlier list are asked for
// Config.Retention longer than others may use the list, since its users may own records that end only then.
func (r *Registry) SetMembership(now time.Duration, m Membership) {
	if m.Self != r.self || m.Version != r.version {
		r.version = m.Version
		r.SetMembers(now, m.Self, m.Members, now+m.Retention+r.config.Retention)
		for _, past := range m.Past {
			r.AddPastMembers(past.Members, now+past.Left+r.config.Retention)
		}
	}
	if m.Self != 0 && m.Version > 0 {
		r.ExtendMembership(m.Until)
	}
}

// AddPastMembers adds an earlier list, which others may use until then. Call it after SetMembers.
func (r *Registry) AddPastMembers(members []Member, until time.Duration) {
	sorted := sortedCopy(members)
	for i := range r.past {
		if slices.Equal(r.past[i].members, sorted) {
			r.past[i].until = max(r.past[i].until, until)
			return
		}
	}
	r.past = slices.Insert(r.past, 0, memberList{members: sorted, until: until}) // the last one stays the direct predecessor of members
}

// SetReachable tells whether the connection to another member is up. A write whose replicas can't be reached is not begun.
func (r *Registry) SetReachable(member Member, up bool) {
	if up {
		delete(r.unreachable, member)
	} else {
		r.unreachable[member] = true
	}
}

// SetMembers replaces the list of members and this proxy's own number, 0 if it is not a member. until is how long others may still use the
// list before, and own records by it.
func (r *Registry) SetMembers(now time.Duration, self Member, members []Member, until time.Duration) {
	if self != r.self {
		r.changeSelf(now, self)
	}
	sorted := sortedCopy(members)
	if slices.Equal(sorted, r.members) {
		return
	}
	if r.members != nil {
		r.past = append(r.past, memberList{members: r.members, until: until})
	}
	r.past = slices.DeleteFunc(r.past, func(list memberList) bool { return now >= list.until })
	r.members = sorted
	r.transferRecords(now)
	maps.DeleteFunc(r.clocks, func(member Member, _ time.Duration) bool { return !r.isListed(member) })
}

// changeSelf begins a new membership. What was owned under the former one belongs to a member that has left; nothing is stored yet.
func (r *Registry) changeSelf(now time.Duration, self Member) {
	r.self = self
	clear(r.records)
	for _, key := range slices.Sorted(maps.Keys(r.tasks)) {
		if t := r.tasks[key]; t.stage == owning {
			r.loseOwnership(now, t)
		}
	}
}

// isListed reports whether a member is in the present list or in an earlier one that may be in use.
func (r *Registry) isListed(member Member) bool {
	if _, ok := slices.BinarySearch(r.members, member); ok {
		return true
	}
	return slices.ContainsFunc(r.past, func(list memberList) bool { return slices.Contains(list.members, member) })
}

// ExtendMembership sets how long this proxy's membership lasts without further news. After that it sends, stores and takes over nothing: its
// list of members may be of any age.
func (r *Registry) ExtendMembership(until time.Duration) { r.memberUntil = max(r.memberUntil, until) }

func (r *Registry) isMember(now time.Duration) bool { return r.self != 0 && now < r.memberUntil }

func sortedCopy(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	return sorted
}
