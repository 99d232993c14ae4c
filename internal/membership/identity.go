package membership

import (
	"slices"
	"time"
)

// find gives the member that a fact is about, or makes it. A known id is that member, wherever it is now. A new id at an old address
// is the same process if its connections say so; until they have had the time to, it is in use as it was.
func (m *Members) find(now time.Duration, i int, f Listing) *Member {
	if x := m.byID[f.ID]; x != nil {
		if x.Address != f.Address {
			if other := m.byAddress[f.Address]; other != nil && other != x && other.Entry.State != StateRemoved {
				return nil // another has that place
			}
			delete(m.byAddress, x.Address)
			m.byAddress[f.Address] = x
			if s := x.report(i); s.listed && (f.Started == 0 || f.Started != s.Started) { // a process doesn't move: this is another, and cold
				x.markStarted(now)
			}
		}
		return x
	}
	if x := m.byAddress[f.Address]; x != nil {
		listed := false // by this source, under another id, in an answer of today
		for k := range x.reports {
			listed = listed || k == i && x.reports[k].listed && x.reports[k].ID != f.ID && !m.sources[i].trust.Authoritative
		}
		switch {
		case x.Entry.State == StateRemoved && !x.inUse():
			m.forget(x)
		case m.sources[i].trust.Authoritative: // its ids are what they are
			break
		case listed && x.renamedAt > 0 && x.newID != f.ID:
			return nil
		case i != x.firstSource(): // another catalogue has its own names for it
			m.byID[f.ID] = x
			x.ids = append(x.ids, f.ID)
			return x
		case x.renamedAt == 0:
			x.renamedAt, x.newID = now, f.ID
			m.byID[f.ID] = x
			x.ids = append(x.ids, f.ID)
			return x
		default:
			return x
		}
	}
	x := &Member{members: m, ids: []string{f.ID}}
	x.Entry = Entry{ID: f.ID, Address: f.Address}
	m.byID[f.ID], m.byAddress[f.Address] = x, x
	m.order = append(m.order, x)
	return x
}

// first is the source that named the member first.
func (x *Member) firstSource() int {
	for i := range x.reports {
		if x.reports[i].listed || x.reports[i].delistedAt > 0 {
			return i
		}
	}
	return -1
}

func (m *Members) forget(x *Member) {
	for _, id := range x.ids {
		if m.byID[id] == x {
			delete(m.byID, id)
		}
	}
	if m.byAddress[x.Address] == x {
		delete(m.byAddress, x.Address)
	}
	m.order = slices.DeleteFunc(m.order, func(y *Member) bool { return y == x })
}

// begin notes that a member's process is taken to have started just now: what was seen of an earlier one is void.
func (x *Member) markStarted(now time.Duration) {
	x.RestartedAt, x.lastAlive, x.silent = now, 0, false
}

// replace lets a new id at an old address be a new database: no connection from before has answered.
func (m *Members) replace(now time.Duration, x *Member) {
	id, began, said := x.newID, x.renamedAt, x.reports
	x.renamedAt = 0
	x.Entry.State, x.Entry.Reason = StateRemoved, "another id has its address"
	m.publish(x)
	m.forget(x)
	for i := range said {
		if !said[i].listed || said[i].ID != id {
			continue
		}
		y := m.find(now, i, said[i].Listing)
		if y == nil { // another has taken the address meanwhile
			continue
		}
		y.receive(now, i, said[i].Listing)
		y.RestartedAt = began
		m.reevaluate(now, y)
	}
}
