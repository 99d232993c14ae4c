package takeover

import (
	"maps"
	"slices"
	"time"
)

// Book is one proxy's: what it owns, what it asks about, and what it keeps for others. Its methods are called one at a time.
type Registry struct {
	config  Config
	self    Member
	version uint64       // of members, where Tier is used
	members []Member     // sorted
	past    []memberList // that others may still go by
	seq     uint64

	records     map[string]*record
	clocks      map[Member]time.Duration // of others, as last heard
	memberUntil time.Duration            // this proxy is a member until then
	tasks       map[string]*task
	unreachable map[Member]bool // whom there is no link to

	messages []Envelope
	actions  []Action

	// Counters tell what has been done; they only grow.
	Counters Counters
}

// Counters count pieces of work, but where they say else.
type Counters struct {
	Replicated     uint64 // sent with their records held
	Unreplicated   uint64 // sent without, as no keepers were to be had
	Rejected       uint64 // refused for want of keepers
	Deduplicated   uint64 // asked again while they were under way, or had ended
	Conflicts      uint64 // asked again with another statement
	TakenOver      uint64 // taken over
	Resent         uint64 // of those, that may have been sent before
	Unknown        uint64 // whose end can't be known
	Lost           uint64 // taken over by others while this proxy lived
	SentAfterLease uint64 // written behind a promise that had ended meanwhile: see Judge
	Full           uint64 // records for others that were not taken for want of room
}

// New makes one for a proxy that is no member of its tier yet.
func New(cfg Config) *Registry {
	return &Registry{config: cfg.WithDefaults(), records: map[string]*record{}, clocks: map[Member]time.Duration{}, tasks: map[string]*task{}, unreachable: map[Member]bool{}}
}

// Tier is what a proxy knows of its tier's members, by its own clock.
type Membership struct {
	Self      Member // 0 = none now
	Version   uint64 // of Members; 0 = nothing is known
	Members   []Member
	Past      []PastMembers // earlier lists that others may still go by
	Until     time.Duration // Members may be gone by until then
	Retention time.Duration // for so long behind its end others may go by a list
}

// Past is an earlier list of members.
type PastMembers struct {
	Members []Member
	Left    time.Duration // for so long others may still go by it
}

// Tier takes it; it may be called with the same again. Who goes by an earlier list may own a record by that, which is kept for Keep behind its end.
func (b *Registry) SetMembership(now time.Duration, t Membership) {
	if t.Self != b.self || t.Version != b.version {
		b.version = t.Version
		b.SetMembers(now, t.Self, t.Members, now+t.Retention+b.config.Retention)
		for _, v := range t.Past {
			b.AddPastMembers(v.Members, now+v.Left+b.config.Retention)
		}
	}
	if t.Self != 0 && t.Version > 0 {
		b.ExtendMembership(t.Until)
	}
}

// Before tells who joins which list of members there was, until others may no longer go by it. It is called behind View.
func (b *Registry) AddPastMembers(members []Member, until time.Duration) {
	list := slices.Clone(members)
	slices.Sort(list)
	for i := range b.past {
		if slices.Equal(b.past[i].members, list) {
			b.past[i].until = max(b.past[i].until, until)
			return
		}
	}
	b.past = slices.Insert(b.past, 0, memberList{list, until}) // the last stays that which held before the present one
}

// Link tells whether another member can be reached, as far as the link to it shows. A write whose keepers can't be is not begun.
func (b *Registry) SetReachable(m Member, up bool) {
	if up {
		delete(b.unreachable, m)
	} else {
		b.unreachable[m] = true
	}
}

// View takes the tier's members, by their numbers, and which of them this proxy is; 0 = none now. until says how long others may still go by
// the list before: as long as their membership lasts without news, and what they own then.
func (b *Registry) SetMembers(now time.Duration, self Member, members []Member, until time.Duration) {
	if self != b.self { // a new membership: what was owned under the earlier one belongs to somebody who is none any more, and is kept by nobody
		b.self = self
		clear(b.records)
		for _, key := range slices.Sorted(maps.Keys(b.tasks)) {
			if t := b.tasks[key]; t.stage == owning {
				b.loseOwnership(now, t)
			}
		}
	}
	next := slices.Clone(members)
	slices.Sort(next)
	if slices.Equal(next, b.members) {
		return
	}
	if b.members != nil {
		b.past = append(b.past, memberList{b.members, until})
	}
	b.past = slices.DeleteFunc(b.past, func(v memberList) bool { return now >= v.until })
	b.members = next
	b.transferRecords(now)
	for m := range b.clocks {
		if _, ok := slices.BinarySearch(next, m); !ok && !slices.ContainsFunc(b.past, func(v memberList) bool { return slices.Contains(v.members, m) }) {
			delete(b.clocks, m)
		}
	}
}

// Belongs says until when this proxy's membership lasts, by its own clock, without further news. Behind it, it sends, keeps and claims nothing:
// it may have been followed by others, and its list of members may be any age.
func (b *Registry) ExtendMembership(until time.Duration) { b.memberUntil = max(b.memberUntil, until) }

// member tells whether it is one.
func (b *Registry) isMember(now time.Duration) bool { return b.self != 0 && now < b.memberUntil }

// Out gives the messages for others and the orders for this proxy; they are given once.
func (b *Registry) TakeReady() (say []Envelope, orders []Action) {
	say, orders, b.messages, b.actions = b.messages, b.actions, nil, nil
	return say, orders
}

func (b *Registry) send(now time.Duration, to Member, m Message) {
	m.Clock, m.Echo = now, b.clocks[to]
	if to == b.self {
		b.Receive(now, to, m)
		return
	}
	b.messages = append(b.messages, Envelope{to, m})
}

func (b *Registry) act(o Action) { b.actions = append(b.actions, o) }

// Heard takes another proxy's message, and this one's own where it keeps what it owns.
func (b *Registry) Receive(now time.Duration, from Member, m Message) {
	b.clocks[from] = max(b.clocks[from], m.Clock)
	switch m.Kind {
	case Stored, NotOwner, NotFound, Full, ClockUnknown:
		b.receiveAnswer(now, from, m)
	default:
		if b.isMember(now) { // the fence against a keeper that stood still for longer than its membership
			b.receiveAsReplica(now, from, m)
		}
	}
}

// Tick does what is due by the clock. It is called a few times in each of Again.
func (b *Registry) Tick(now time.Duration) {
	if b.isMember(now) {
		b.checkRecords(now)
	}
	for _, key := range slices.Sorted(maps.Keys(b.tasks)) {
		if t := b.tasks[key]; t != nil {
			b.tickTask(now, t)
		}
	}
}

// sorted gives the keys of records that may have something due, in an order that doesn't hang on a map's.
func (b *Registry) dueRecords(now time.Duration) (keys []string) {
	for key, r := range b.records {
		if r.result != nil && (now-r.endedAt >= b.config.Retention || b.config.DisabledGuards.Has(NoRetention)) || r.result == nil && now >= min(r.leaseEnd, r.deadline+b.config.Retention) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Facts is what an operator is shown.
type Status struct {
	Owned, Stored, TakenOver, Pending int
	OldestAge                         time.Duration // of what is kept and has not ended
}

// Facts tells how things stand.
func (b *Registry) Status(now time.Duration) (f Status) {
	for _, t := range b.tasks {
		switch {
		case t.stage == owning && t.takenOver != nil:
			f.TakenOver++
		case t.stage == owning:
			f.Owned++
		case t.stage != completing:
			f.Pending++
		}
	}
	for _, r := range b.records {
		if f.Stored++; r.result == nil {
			f.OldestAge = max(f.OldestAge, now-r.storedAt)
		}
	}
	return f
}
