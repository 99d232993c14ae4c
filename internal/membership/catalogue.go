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
	i := m.catalogueIndex(name)
	if i < 0 || m.catalogues[i].dropped {
		return
	}
	m.catalogues[i].dropped, m.catalogues[i].listed, m.catalogues[i].hasAnswered = true, 0, false
	for _, member := range m.ordered {
		if report := member.report(i); report.listed {
			report.listed, report.delistedAt = false, now
			member.enqueue()
		}
	}
	m.processQueue(now)
}

// CatalogueFailed records that a query of a catalogue failed. Its last listings remain valid and lose weight with time.
func (m *Members) CatalogueFailed(now time.Duration, name string, why string) {
	if i := m.catalogueIndex(name); i >= 0 {
		m.catalogues[i].failures++
		m.catalogues[i].lastError = why
	}
	m.processQueue(now)
}

// memberSet is a set of members.
type memberSet map[*Member]struct{}

func (s memberSet) has(h *Member) bool {
	_, ok := s[h]
	return ok
}

// Update handles a catalogue's answer.
func (m *Members) Update(now time.Duration, name string, update Update) {
	i := m.catalogueIndex(name)
	if i < 0 || m.catalogues[i].dropped {
		return
	}
	catalogue := m.catalogues[i]
	if update.NoLeader && !catalogue.trust.Authoritative {
		m.updateWithoutLeader(now, i, update)
		m.processQueue(now)
		return
	}
	catalogue.hasAnswered, catalogue.lastContact, catalogue.index, catalogue.lag, catalogue.failures = true, now, update.Index, update.Lag, 0
	catalogue.skipped += update.Skipped
	listed := m.receiveListings(now, i, update.Listings)
	if update.Complete {
		m.delistMissing(now, i, listed)
	}
	catalogue.listed = 0
	for _, member := range m.ordered {
		if member.report(i).listed {
			catalogue.listed++
		}
	}
	if catalogue.doubtedSince > 0 && float64(catalogue.listed) >= (1-m.config.PanicFraction/2)*float64(catalogue.listedBeforeDoubt) {
		m.endDoubt(now, i)
	}
	m.processQueue(now)
}

// updateWithoutLeader handles an answer of a catalogue that has no leader. It may be out of date, so only drains and maintenance of known
// members are accepted.
func (m *Members) updateWithoutLeader(now time.Duration, i int, update Update) {
	catalogue := m.catalogues[i]
	catalogue.failures++
	catalogue.lastError = "the catalogue has no leader"
	for _, listing := range update.Listings {
		if listing.Health < Draining || listing.Health == Terminated {
			continue
		}
		if member := m.byID[listing.ID]; member != nil && member.Address == listing.Address {
			member.receive(now, i, listing)
		}
	}
}

// receiveListings applies a catalogue's listings and returns the members that it lists.
func (m *Members) receiveListings(now time.Duration, i int, facts []Listing) memberSet {
	catalogue := m.catalogues[i]
	seen := memberSet{}
	for _, listing := range facts {
		if listing.Health == Terminated {
			if member := m.byID[listing.ID]; member != nil {
				member.delist(now, i)
				member.report(i).Health = Terminated
			}
			continue
		}
		if _, err := netip.ParseAddrPort(listing.Address); err != nil && !catalogue.trust.Authoritative {
			catalogue.skipped++ // a host name, which is not resolved
			continue
		}
		member := m.findOrAdd(now, i, listing)
		if member == nil || seen.has(member) { // a duplicate address or ID: the first listing is used
			catalogue.skipped++
			continue
		}
		seen[member] = struct{}{}
		member.receive(now, i, listing)
	}
	return seen
}

// delistMissing delists the members that a complete list lacks. If too many are missing at once, the catalogue is doubted; that is decided
// before any of them is delisted, so that none is removed on account of a doubted list.
func (m *Members) delistMissing(now time.Duration, i int, seen memberSet) {
	catalogue := m.catalogues[i]
	var missing []*Member
	for _, member := range m.ordered {
		if member.report(i).listed && !seen.has(member) {
			missing = append(missing, member)
		}
	}
	tooMany := catalogue.listed >= m.config.PanicMinMembers && float64(len(missing)) > m.config.PanicFraction*float64(catalogue.listed)
	if tooMany && !catalogue.trust.Authoritative && catalogue.doubtedSince == 0 {
		catalogue.doubtedSince, catalogue.listedBeforeDoubt = now, catalogue.listed
		catalogue.doubtCount++
	}
	for _, member := range missing {
		member.delist(now, i)
	}
}

// endDoubt ends the doubt in a catalogue. The members that it doesn't list count as delisted from now on.
func (m *Members) endDoubt(now time.Duration, i int) {
	m.catalogues[i].doubtedSince = 0
	for _, member := range m.ordered {
		if report := member.report(i); !report.listed && report.delistedAt > 0 {
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
