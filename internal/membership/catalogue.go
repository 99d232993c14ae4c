package membership

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// catalogueState is the state of a catalogue.
type catalogueState struct {
	name              string
	trust             Trust
	hasAnswered       bool
	lastContact       time.Duration
	index             uint64
	lag               time.Duration
	failures          int
	lastError         string
	skipped           int
	listed            int
	doubtedSince      time.Duration // 0 = it is not doubted
	listedBeforeDoubt int           // members that it listed before the doubt
	doubtCount        int
	dropped           bool
}

// AddCatalogue registers a catalogue before its first Update, or changes its Trust.
func (m *Members) AddCatalogue(name string, trust Trust) {
	if trust.Weight == 0 {
		trust.Weight = 0.8
	}
	if i := m.catalogueIndex(name); i >= 0 {
		m.catalogues[i].trust, m.catalogues[i].dropped = trust, false
		return
	}
	m.catalogues = append(m.catalogues, &catalogueState{name: name, trust: trust})
}

func (m *Members) catalogueIndex(name string) int {
	return slices.IndexFunc(m.catalogues, func(catalogue *catalogueState) bool { return catalogue.name == name })
}

// DropCatalogue removes a catalogue that has been replaced by another. Its members are treated as no longer listed.
func (m *Members) DropCatalogue(now time.Duration, name string) {
	index := m.catalogueIndex(name)
	if index < 0 || m.catalogues[index].dropped {
		return
	}
	m.catalogues[index].dropped, m.catalogues[index].listed, m.catalogues[index].hasAnswered = true, 0, false
	for _, member := range m.ordered {
		if report := member.report(index); report.listed {
			report.listed, report.delistedAt = false, now
			member.enqueue()
		}
	}
	m.processQueue(now)
}

// CatalogueFailed records that a query of a catalogue failed. Its last listings remain valid and lose weight with time.
func (m *Members) CatalogueFailed(now time.Duration, name string, reason string) {
	if index := m.catalogueIndex(name); index >= 0 {
		m.catalogues[index].failures++
		m.catalogues[index].lastError = reason
	}
	m.processQueue(now)
}

// memberSet is a set of members.
type memberSet map[*Member]struct{}

func (set memberSet) has(member *Member) bool {
	_, ok := set[member]
	return ok
}

// Update handles a catalogue's answer.
func (m *Members) Update(now time.Duration, name string, update Update) {
	index := m.catalogueIndex(name)
	if index < 0 || m.catalogues[index].dropped {
		return
	}
	catalogue := m.catalogues[index]
	if update.NoLeader && !catalogue.trust.Authoritative {
		m.updateWithoutLeader(now, index, update)
		m.processQueue(now)
		return
	}
	catalogue.hasAnswered, catalogue.lastContact, catalogue.index, catalogue.lag, catalogue.failures = true, now, update.Index, update.Lag, 0
	catalogue.skipped += update.Skipped
	listed := m.receiveListings(now, index, update.Listings)
	if update.Complete {
		m.delistMissing(now, index, listed)
	}
	catalogue.listed = 0
	for _, member := range m.ordered {
		if member.report(index).listed {
			catalogue.listed++
		}
	}
	if catalogue.doubtedSince > 0 && float64(catalogue.listed) >= (1-m.config.PanicFraction/2)*float64(catalogue.listedBeforeDoubt) {
		m.endDoubt(now, index)
	}
	m.processQueue(now)
}

// updateWithoutLeader handles an answer of a catalogue that has no leader. It may be out of date, so only drains and maintenance of known
// members are accepted.
func (m *Members) updateWithoutLeader(now time.Duration, index int, update Update) {
	catalogue := m.catalogues[index]
	catalogue.failures++
	catalogue.lastError = "it knows of no leader"
	for _, listing := range update.Listings {
		if listing.Health < Draining || listing.Health == Terminated {
			continue
		}
		if member := m.byID[listing.ID]; member != nil && member.Address == listing.Address {
			member.receive(now, index, listing)
		}
	}
}

// receiveListings applies a catalogue's listings and returns the members that it lists.
func (m *Members) receiveListings(now time.Duration, index int, listings []Listing) memberSet {
	catalogue := m.catalogues[index]
	listed := memberSet{}
	for _, listing := range listings {
		if listing.Health == Terminated {
			if member := m.byID[listing.ID]; member != nil {
				member.delist(now, index)
				member.report(index).Health = Terminated
			}
			continue
		}
		if _, err := netip.ParseAddrPort(listing.Address); err != nil && !catalogue.trust.Authoritative {
			catalogue.skipped++ // a host name, which is not resolved
			continue
		}
		member := m.findOrAdd(now, index, listing)
		if member == nil || listed.has(member) { // a duplicate address or ID: the first listing is used
			catalogue.skipped++
			continue
		}
		listed[member] = struct{}{}
		member.receive(now, index, listing)
	}
	return listed
}

// delistMissing delists the members that a complete list lacks. If too many are missing at once, the catalogue is doubted; that is decided
// before any of them is delisted, so that none is removed on account of a doubted list.
func (m *Members) delistMissing(now time.Duration, index int, listed memberSet) {
	catalogue := m.catalogues[index]
	var missing []*Member
	for _, member := range m.ordered {
		if member.report(index).listed && !listed.has(member) {
			missing = append(missing, member)
		}
	}
	tooMany := catalogue.listed >= m.config.PanicMinMembers && float64(len(missing)) > m.config.PanicFraction*float64(catalogue.listed)
	if tooMany && !catalogue.trust.Authoritative && catalogue.doubtedSince == 0 {
		catalogue.doubtedSince, catalogue.listedBeforeDoubt = now, catalogue.listed
		catalogue.doubtCount++
	}
	for _, member := range missing {
		member.delist(now, index)
	}
}

// endDoubt ends the doubt in a catalogue. The members that it doesn't list count as delisted from now on.
func (m *Members) endDoubt(now time.Duration, index int) {
	m.catalogues[index].doubtedSince = 0
	for _, member := range m.ordered {
		if report := member.report(index); !report.listed && report.delistedAt > 0 {
			report.delistedAt = now
			member.enqueue()
		}
	}
}

// weight returns the weight of the catalogue's listings. It decays exponentially with the time since the last contact, with the given
// half-life.
func (c *catalogueState) weight(now, half time.Duration) float64 {
	if !c.hasAnswered || c.dropped {
		return 0
	}
	return c.trust.Weight * math.Exp2(-float64(now-c.lastContact+c.lag)/float64(half))
}
