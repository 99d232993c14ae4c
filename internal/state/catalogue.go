package state

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"havenproxy/internal/membership"
	"havenproxy/logic"
)

// With several catalogues, their lists are merged by a membership.Members, which decides the state of each member;
// the router is given the merged list.

// DiscoveryCatalogue is the name of the platform's discovery service among the catalogues.
const DiscoveryCatalogue = "discovery"

// mergeInterval is the interval at which the membership reevaluates states that depend on time.
const mergeInterval = 100 * time.Millisecond

// ConfigureMerging applies the settings for merging catalogues. With nil it ends merging and the list of the
// platform's discovery service is used by itself again. If withoutDiscovery is set, the discovery service is not
// among the catalogues that are merged.
func (e *Engine) ConfigureMerging(cfg *membership.Config, withoutDiscovery bool) {
	switch {
	case cfg == nil:
		if e.membership != nil {
			e.membership = nil
			e.Deadlines.Clear(&e.mergeTimer)
			e.FetchList()
		}
		return
	case e.membership == nil:
		e.membership, e.failingCatalogues = membership.New(*cfg), map[string]bool{}
		e.membership.AddCatalogue(DiscoveryCatalogue, membership.Trust{Authoritative: true})
		e.mergeTick()
		// The current members stay in use until a catalogue says otherwise, even where the discovery service is not among
		// the catalogues from now on.
		known := membership.Update{Complete: true}
		for _, m := range e.membersByName {
			if m.state != logic.Gone {
				known.Listings = append(known.Listings, membership.Listing{ID: m.name, Address: m.address, Zone: m.zone, Group: m.group, Health: healthOf(m.state),
					Weight: m.size, Started: m.started})
			}
		}
		slices.SortFunc(known.Listings, func(a, b membership.Listing) int { return cmp.Compare(a.ID, b.ID) })
		e.membership.Update(e.clock.Now(), DiscoveryCatalogue, known)
	default:
		e.membership.Configure(*cfg)
	}
	if withoutDiscovery {
		e.membership.DropCatalogue(e.clock.Now(), DiscoveryCatalogue)
	} else {
		e.membership.AddCatalogue(DiscoveryCatalogue, membership.Trust{Authoritative: true})
	}
	e.applyMergedChanges()
}

func (e *Engine) mergeTick() {
	e.Deadlines.Set(&e.mergeTimer, e.clock.Now()+mergeInterval, func() {
		e.membership.Tick(e.clock.Now())
		e.applyMergedChanges()
		e.mergeTick()
	})
}

// AddCatalogue adds a catalogue to those that are merged.
func (e *Engine) AddCatalogue(name string) {
	e.membership.AddCatalogue(name, membership.Trust{})
}

// DropCatalogue removes a catalogue and what it reported.
func (e *Engine) DropCatalogue(name string) {
	if e.membership != nil {
		e.membership.DropCatalogue(e.clock.Now(), name)
		e.applyMergedChanges()
	}
}

// UpdateCatalogue applies a catalogue's answer.
func (e *Engine) UpdateCatalogue(source string, n membership.Update) {
	if e.membership == nil {
		return
	}
	if e.failingCatalogues[source] {
		delete(e.failingCatalogues, source)
		slog.Info("catalogue answers again", "source", source)
	}
	e.membership.Update(e.clock.Now(), source, n)
	e.applyMergedChanges()
}

// CatalogueFailed records that a catalogue could not be queried.
func (e *Engine) CatalogueFailed(source string, err error) {
	if e.membership == nil {
		return
	}
	e.Counters.ListFailures++
	if !e.failingCatalogues[source] {
		e.failingCatalogues[source] = true
		slog.Warn("catalogue fails", "source", source, "error", err)
	}
	e.membership.CatalogueFailed(e.clock.Now(), source, err.Error())
	e.applyMergedChanges()
}

func healthOf(s logic.MemberState) membership.Health {
	return [...]membership.Health{logic.Gone: membership.Terminated, logic.Ready: membership.Passing, logic.Draining: membership.Draining}[s]
}

// updateFromDiscovery applies the discovery service's list as one catalogue among others.
func (e *Engine) updateFromDiscovery(l List) {
	n := membership.Update{Complete: l.Kind != logic.ListDelta}
	for _, entry := range l.Entries {
		n.Listings = append(n.Listings, membership.Listing{ID: entry.Name, Address: entry.Address, Zone: entry.Zone, Group: entry.Group, Health: healthOf(entry.State),
			Weight: entry.Size, Started: entry.Started})
	}
	e.membership.Update(e.clock.Now(), DiscoveryCatalogue, n)
	if !e.applyMergedChanges() { // the router expects an answer to each call, even without changes
		e.applyList(List{Kind: logic.ListDelta})
	}
}

// applyMergedChanges passes the changes of the merged list to the router. It reports whether there were any.
func (e *Engine) applyMergedChanges() bool {
	changes := e.membership.TakeChanges()
	if len(changes) == 0 {
		return false
	}
	l := List{Kind: logic.ListDelta}
	for _, change := range changes {
		entry := Entry{Name: change.ID, Address: change.Address, Zone: change.Zone, Group: change.Group, Size: change.Weight, Started: change.Started, ObservedStart: change.RestartedAt}
		entry.State = [...]logic.MemberState{membership.StateRemoved: logic.Gone, membership.StateReady: logic.Ready, membership.StateDraining: logic.Draining}[change.State]
		m := e.membersByName[change.ID]
		if m == nil || m.state != entry.State {
			slog.Info("member", "name", change.ID, "address", change.Address, "state", change.State.String(), "why", change.Reason)
		}
		if m == nil && entry.State == logic.Gone {
			continue
		}
		l.Entries = append(l.Entries, entry)
	}
	e.applyList(l)
	return true
}

// reportEvidence tells the membership whether a member answered or, with silent set, is silent.
func (e *Engine) reportEvidence(m *member, r Reply, silent bool) {
	if e.membership == nil {
		return
	}
	switch {
	case r.Result == logic.OK || r.Result == logic.Misdirected || r.Result == logic.Failed || r.Result == logic.Rejected:
		e.membership.MarkAlive(e.clock.Now(), m.name, r.connOpenedAt)
	case silent:
		e.membership.MarkSilent(e.clock.Now(), m.name)
	default:
		return
	}
	e.applyMergedChanges()
}

// MergesCatalogues reports whether the lists of several catalogues are merged.
func (e *Engine) MergesCatalogues() bool { return e.membership != nil }

// MergedMembers returns what the catalogues report of each member; nil if catalogues are not merged.
func (e *Engine) MergedMembers() []membership.Entry {
	if e.membership == nil {
		return nil
	}
	return e.membership.Explain(e.clock.Now())
}

// Catalogues returns the state of each catalogue; nil if catalogues are not merged.
func (e *Engine) Catalogues() []membership.Catalogue {
	if e.membership == nil {
		return nil
	}
	return e.membership.Catalogues(e.clock.Now())
}
