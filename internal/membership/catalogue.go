package membership

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

type source struct {
	name         string
	trust        Trust
	hasAnswered  bool // it has answered
	lastContact  time.Duration
	index        uint64
	behind       time.Duration
	failures     int
	lastErr      string
	skipped      int
	listed       int
	doubtedSince time.Duration // since when; 0 = it is not
	listedBefore int           // how many it listed before the doubt
	doubts       int
	dropped      bool
}

// AddCatalogue registers a catalogue before its first Update, or changes how far it is trusted.
func (m *Members) AddCatalogue(name string, t Trust) {
	if t.Weight == 0 {
		t.Weight = 0.8
	}
	if s := m.sourceIndex(name); s >= 0 {
		m.sources[s].trust, m.sources[s].dropped = t, false
		return
	}
	m.sources = append(m.sources, &source{name: name, trust: t})
}

func (m *Members) sourceIndex(name string) int {
	return slices.IndexFunc(m.sources, func(s *source) bool { return s.name == name })
}

// DropCatalogue removes a catalogue that another replaces. Its members are treated as no longer listed.
func (m *Members) DropCatalogue(now time.Duration, name string) {
	i := m.sourceIndex(name)
	if i < 0 || m.sources[i].dropped {
		return
	}
	m.sources[i].dropped, m.sources[i].listed, m.sources[i].hasAnswered = true, 0, false
	for _, x := range m.order {
		if s := x.report(i); s.listed {
			s.listed, s.delistedAt = false, now
			x.enqueue()
		}
	}
	m.processQueue(now)
}

// CatalogueFailed records that a catalogue could not be queried. Its last reports stay in force and lose weight with time.
func (m *Members) CatalogueFailed(now time.Duration, name string, why string) {
	if i := m.sourceIndex(name); i >= 0 {
		m.sources[i].failures++
		m.sources[i].lastErr = why
	}
	m.processQueue(now)
}

// memberSet is a set of members.
type memberSet map[*Member]struct{}

func (s memberSet) has(x *Member) bool {
	_, ok := s[x]
	return ok
}

// Update handles a catalogue's answer.
func (m *Members) Update(now time.Duration, name string, n Update) {
	i := m.sourceIndex(name)
	if i < 0 || m.sources[i].dropped {
		return
	}
	src := m.sources[i]
	if n.NoLeader && !src.trust.Authoritative {
		m.updateWithoutLeader(now, i, n)
		m.processQueue(now)
		return
	}
	src.hasAnswered, src.lastContact, src.index, src.behind, src.failures = true, now, n.Index, n.Lag, 0
	src.skipped += n.Skipped
	seen := m.receiveFacts(now, i, n.Listings)
	if n.Complete {
		m.delistMissing(now, i, seen)
	}
	src.listed = 0
	for _, x := range m.order {
		if x.report(i).listed {
			src.listed++
		}
	}
	if src.doubtedSince > 0 && float64(src.listed) >= (1-m.config.PanicFraction/2)*float64(src.listedBefore) {
		m.endDoubt(now, i)
	}
	m.processQueue(now)
}

// updateWithoutLeader handles an answer of a catalogue that has no leader: it may be out of date, and only what takes a known member out of
// use for a while is believed.
func (m *Members) updateWithoutLeader(now time.Duration, i int, n Update) {
	src := m.sources[i]
	src.failures++
	src.lastErr = "it knows of no leader"
	for _, f := range n.Listings {
		if f.Health < Draining || f.Health == Terminated {
			continue
		}
		if x := m.byID[f.ID]; x != nil && x.Address == f.Address {
			x.receive(now, i, f)
		}
	}
}

// receiveFacts applies what a catalogue lists, and returns the members that it lists.
func (m *Members) receiveFacts(now time.Duration, i int, facts []Listing) memberSet {
	src := m.sources[i]
	seen := memberSet{}
	for _, f := range facts {
		if f.Health == Terminated {
			if x := m.byID[f.ID]; x != nil {
				x.delist(now, i)
				x.report(i).Health = Terminated
			}
			continue
		}
		if _, err := netip.ParseAddrPort(f.Address); err != nil && !src.trust.Authoritative {
			src.skipped++ // a host name; names are not resolved here
			continue
		}
		x := m.find(now, i, f)
		if x == nil || seen.has(x) { // two entries with one address, or an ID given twice: the first one counts
			src.skipped++
			continue
		}
		seen[x] = struct{}{}
		x.receive(now, i, f)
	}
	return seen
}

// delistMissing handles the members that a complete list lacks. If too many are missing at once, the catalogue is doubted; that is decided
// before any of them is delisted, so that none is dropped on a doubted list.
func (m *Members) delistMissing(now time.Duration, i int, seen memberSet) {
	src := m.sources[i]
	var missing []*Member
	for _, x := range m.order {
		if x.report(i).listed && !seen.has(x) {
			missing = append(missing, x)
		}
	}
	tooMany := src.listed >= m.config.PanicMinMembers && float64(len(missing)) > m.config.PanicFraction*float64(src.listed)
	if tooMany && !src.trust.Authoritative && src.doubtedSince == 0 {
		src.doubtedSince, src.listedBefore = now, src.listed
		src.doubts++
	}
	for _, x := range missing {
		x.delist(now, i)
	}
}

// endDoubt ends the doubt in a catalogue. The members that it doesn't list count as delisted from now on.
func (m *Members) endDoubt(now time.Duration, i int) {
	m.sources[i].doubtedSince = 0
	for _, x := range m.order {
		if s := x.report(i); !s.listed && s.delistedAt > 0 {
			s.delistedAt = now
			x.enqueue()
		}
	}
}

// weight is that of a source's word: less, the longer it has not been heard.
func (s *source) weight(now, half time.Duration) float64 {
	if !s.hasAnswered || s.dropped {
		return 0
	}
	return s.trust.Weight * math.Exp2(-float64(now-s.lastContact+s.behind)/float64(half))
}
