package membership

import (
	"slices"
	"time"
)

// findOrAdd returns the member that a listing is about, and adds it if there is none; nil if the listing conflicts with another. A known
// ID identifies the member even if its address has changed. A new ID at a known address is taken for the same process if one of its
// connections goes on answering; for RenameTimeout the member stays in use as before.
func (m *Members) findOrAdd(now time.Duration, index int, listing Listing) *Member {
	if member := m.byID[listing.ID]; member != nil {
		if member.Address != listing.Address {
			if other := m.byAddress[listing.Address]; other != nil && other != member && other.Entry.State != StateRemoved {
				return nil // another member has that address
			}
			delete(m.byAddress, member.Address)
			m.byAddress[listing.Address] = member
			if report := member.report(index); report.listed && (listing.Started == 0 || listing.Started != report.Started) { // a process can't move: this is a new one with a cold cache
				member.markStarted(now)
			}
		}
		return member
	}
	if member := m.byAddress[listing.Address]; member != nil {
		listed := false // by this catalogue, under another ID
		for j := range member.reports {
			listed = listed || j == index && member.reports[j].listed && member.reports[j].ID != listing.ID && !m.catalogues[index].trust.Authoritative
		}
		switch {
		case member.Entry.State == StateRemoved && !member.isInView():
			m.forget(member)
		case m.catalogues[index].trust.Authoritative: // its IDs are never taken for renamed ones
			break
		case listed && member.renamedAt > 0 && member.newID != listing.ID:
			return nil
		case index != member.firstCatalogue(): // another catalogue may use another ID for the member
			m.byID[listing.ID] = member
			member.ids = append(member.ids, listing.ID)
			return member
		case member.renamedAt == 0:
			member.renamedAt, member.newID = now, listing.ID
			m.byID[listing.ID] = member
			member.ids = append(member.ids, listing.ID)
			return member
		default:
			return member
		}
	}
	member := &Member{members: m, ids: []string{listing.ID}}
	member.Entry = Entry{ID: listing.ID, Address: listing.Address}
	m.byID[listing.ID], m.byAddress[listing.Address] = member, member
	m.ordered = append(m.ordered, member)
	return member
}

// firstCatalogue returns the index of the first catalogue that lists or has listed the member; -1 if there is none.
func (member *Member) firstCatalogue() int {
	for i := range member.reports {
		if member.reports[i].listed || member.reports[i].delistedAt > 0 {
			return i
		}
	}
	return -1
}

// forget removes a member with all its IDs.
func (m *Members) forget(member *Member) {
	for _, id := range member.ids {
		if m.byID[id] == member {
			delete(m.byID, id)
		}
	}
	if m.byAddress[member.Address] == member {
		delete(m.byAddress, member.Address)
	}
	m.ordered = slices.DeleteFunc(m.ordered, func(other *Member) bool { return other == member })
}

// markStarted records that the member is a new process as of now. Observations of the earlier process no longer apply.
func (member *Member) markStarted(now time.Duration) {
	member.RestartedAt, member.lastAlive, member.silent = now, 0, false
}

// replaceRenamed replaces a member by a new one with the new ID at its address, because no connection from before has answered.
func (m *Members) replaceRenamed(now time.Duration, member *Member) {
	id, renamedAt, reports := member.newID, member.renamedAt, member.reports
	member.renamedAt = 0
	member.Entry.State, member.Entry.Reason = StateRemoved, "another id has its address"
	m.publish(member)
	m.forget(member)
	for i := range reports {
		if !reports[i].listed || reports[i].ID != id {
			continue
		}
		replacement := m.findOrAdd(now, i, reports[i].Listing)
		if replacement == nil { // another member has the address now
			continue
		}
		replacement.receive(now, i, reports[i].Listing)
		replacement.RestartedAt = renamedAt
		m.reevaluate(now, replacement)
	}
}
