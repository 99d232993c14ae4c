package takeover

import (
	"maps"
	"slices"
	"time"
)

// Book is one proxy's: what it owns, what it asks about, and what it keeps for others. Its methods are called one at a time.
type Book struct {
	cfg     Config
	self    Member
	version uint64   // of members, where Tier is used
	members []Member // sorted
	past    []view   // that others may still go by
	seq     uint64

	kept   map[string]*record
	clocks map[Member]time.Duration // of others, as last heard
	until  time.Duration            // this proxy is a member until then
	tasks  map[string]*task
	down   map[Member]bool // whom there is no link to

	out    []Say
	orders []Order

	// Counters tell what has been done; they only grow.
	Counters Counters
}

// Counters count pieces of work, but where they say else.
type Counters struct {
	Recorded uint64 // sent with their records held
	Without  uint64 // sent without, as no keepers were to be had
	Refused  uint64 // refused for want of keepers
	Joined   uint64 // asked again while they were under way, or had ended
	Clashed  uint64 // asked again with another statement
	Claimed  uint64 // taken over
	Again    uint64 // of those, that may have been sent before
	Unknown  uint64 // whose end can't be known
	Lost     uint64 // taken over by others while this proxy lived
	Beyond   uint64 // written behind a promise that had ended meanwhile: see Judge
	Full     uint64 // records for others that were not taken for want of room
}

// New makes one for a proxy that is no member of its tier yet.
func New(cfg Config) *Book {
	return &Book{cfg: cfg.WithDefaults(), kept: map[string]*record{}, clocks: map[Member]time.Duration{}, tasks: map[string]*task{}, down: map[Member]bool{}}
}

// Tier is what a proxy knows of its tier's members, by its own clock.
type Tier struct {
	Self    Member // 0 = none now
	Version uint64 // of Members; 0 = nothing is known
	Members []Member
	Past    []Past        // earlier lists that others may still go by
	Until   time.Duration // Members may be gone by until then
	Life    time.Duration // for so long behind its end others may go by a list
}

// Past is an earlier list of members.
type Past struct {
	Members []Member
	Left    time.Duration // for so long others may still go by it
}

// Tier takes it; it may be called with the same again. Who goes by an earlier list may own a record by that, which is kept for Keep behind its end.
func (b *Book) Tier(now time.Duration, t Tier) {
	if t.Self != b.self || t.Version != b.version {
		b.version = t.Version
		b.View(now, t.Self, t.Members, now+t.Life+b.cfg.Keep)
		for _, v := range t.Past {
			b.Before(v.Members, now+v.Left+b.cfg.Keep)
		}
	}
	if t.Self != 0 && t.Version > 0 {
		b.Belongs(t.Until)
	}
}

// Before tells who joins which list of members there was, until others may no longer go by it. It is called behind View.
func (b *Book) Before(members []Member, until time.Duration) {
	list := slices.Clone(members)
	slices.Sort(list)
	for i := range b.past {
		if slices.Equal(b.past[i].members, list) {
			b.past[i].until = max(b.past[i].until, until)
			return
		}
	}
	b.past = slices.Insert(b.past, 0, view{list, until}) // the last stays that which held before the present one
}

// Link tells whether another member can be reached, as far as the link to it shows. A write whose keepers can't be is not begun.
func (b *Book) Link(m Member, up bool) {
	if up {
		delete(b.down, m)
	} else {
		b.down[m] = true
	}
}

// View takes the tier's members, by their numbers, and which of them this proxy is; 0 = none now. until says how long others may still go by
// the list before: as long as their membership lasts without news, and what they own then.
func (b *Book) View(now time.Duration, self Member, members []Member, until time.Duration) {
	if self != b.self { // a new membership: what was owned under the earlier one belongs to somebody who is none any more, and is kept by nobody
		b.self = self
		clear(b.kept)
		for _, key := range slices.Sorted(maps.Keys(b.tasks)) {
			if t := b.tasks[key]; t.stage == owning {
				b.lose(now, t)
			}
		}
	}
	next := slices.Clone(members)
	slices.Sort(next)
	if slices.Equal(next, b.members) {
		return
	}
	if b.members != nil {
		b.past = append(b.past, view{b.members, until})
	}
	b.past = slices.DeleteFunc(b.past, func(v view) bool { return now >= v.until })
	b.members = next
	b.repair(now)
	for m := range b.clocks {
		if _, ok := slices.BinarySearch(next, m); !ok && !slices.ContainsFunc(b.past, func(v view) bool { return slices.Contains(v.members, m) }) {
			delete(b.clocks, m)
		}
	}
}

// Belongs says until when this proxy's membership lasts, by its own clock, without further news. Behind it, it sends, keeps and claims nothing:
// it may have been followed by others, and its list of members may be any age.
func (b *Book) Belongs(until time.Duration) { b.until = max(b.until, until) }

// member tells whether it is one.
func (b *Book) member(now time.Duration) bool { return b.self != 0 && now < b.until }

// Out gives the messages for others and the orders for this proxy; they are given once.
func (b *Book) Out() (say []Say, orders []Order) {
	say, orders, b.out, b.orders = b.out, b.orders, nil, nil
	return say, orders
}

func (b *Book) say(now time.Duration, to Member, m Message) {
	m.Clock, m.Echo = now, b.clocks[to]
	if to == b.self {
		b.Heard(now, to, m)
		return
	}
	b.out = append(b.out, Say{to, m})
}

func (b *Book) order(o Order) { b.orders = append(b.orders, o) }

// Heard takes another proxy's message, and this one's own where it keeps what it owns.
func (b *Book) Heard(now time.Duration, from Member, m Message) {
	b.clocks[from] = max(b.clocks[from], m.Clock)
	switch m.Kind {
	case Held, Other, Unheard, Full, Stale:
		b.answered(now, from, m)
	default:
		if b.member(now) { // the fence against a keeper that stood still for longer than its membership
			b.hear(now, from, m)
		}
	}
}

// Tick does what is due by the clock. It is called a few times in each of Again.
func (b *Book) Tick(now time.Duration) {
	if b.member(now) {
		b.watch(now)
	}
	for _, key := range slices.Sorted(maps.Keys(b.tasks)) {
		if t := b.tasks[key]; t != nil {
			b.tend(now, t)
		}
	}
}

// sorted gives the keys of records that may have something due, in an order that doesn't hang on a map's.
func (b *Book) sorted(now time.Duration) (keys []string) {
	for key, r := range b.kept {
		if r.result != nil && (now-r.ended >= b.cfg.Keep || b.cfg.Without.Has(NoKeep)) || r.result == nil && now >= min(r.promised, r.deadline+b.cfg.Keep) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Facts is what an operator is shown.
type Facts struct {
	Own, Kept, Claimed, Asking int
	Oldest                     time.Duration // of what is kept and has not ended
}

// Facts tells how things stand.
func (b *Book) Facts(now time.Duration) (f Facts) {
	for _, t := range b.tasks {
		switch {
		case t.stage == owning && t.run != nil:
			f.Claimed++
		case t.stage == owning:
			f.Own++
		case t.stage != ending:
			f.Asking++
		}
	}
	for _, r := range b.kept {
		if f.Kept++; r.result == nil {
			f.Oldest = max(f.Oldest, now-r.from)
		}
	}
	return f
}
