package state

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"havenproxy/internal/membership"
	"havenproxy/logic"
)

// What other catalogues than the platform's say goes through a membership, which decides what becomes of each member; its view is
// the list that the router gets.

// DiscoveryCatalogue is the platform's discovery among the sources.
const DiscoveryCatalogue = "discovery"

// mergeEvery is how often the membership looks at what moves by time alone.
const mergeEvery = 100 * time.Millisecond

// ConfigureMerging puts other settings for merging into force; nil ends it: the platform's list stands alone again. alone tells that the
// platform's own list has no word beside the other catalogues.
func (f *Engine) ConfigureMerging(cfg *membership.Config, alone bool) {
	switch {
	case cfg == nil:
		if f.merged != nil {
			f.merged = nil
			f.Deadlines.Clear(&f.merging)
			f.FetchList()
		}
		return
	case f.merged == nil:
		f.merged, f.failing = membership.New(*cfg), map[string]bool{}
		f.merged.AddCatalogue(DiscoveryCatalogue, membership.Trust{Authoritative: true})
		f.mergeTick()
		// What is in use stays in use until others know better, also where the platform's list has no word from now on.
		known := membership.Update{Complete: true}
		for _, m := range f.names {
			if m.state != logic.Gone {
				known.Listings = append(known.Listings, membership.Listing{ID: m.name, Address: m.address, Zone: m.zone, Group: m.group, Health: healthOf(m.state),
					Weight: m.size, Started: m.started})
			}
		}
		slices.SortFunc(known.Listings, func(a, b membership.Listing) int { return cmp.Compare(a.ID, b.ID) })
		f.merged.Update(f.clock.Now(), DiscoveryCatalogue, known)
	default:
		f.merged.Configure(*cfg)
	}
	if alone {
		f.merged.DropCatalogue(f.clock.Now(), DiscoveryCatalogue)
	} else {
		f.merged.AddCatalogue(DiscoveryCatalogue, membership.Trust{Authoritative: true})
	}
	f.mergedNews()
}

func (f *Engine) mergeTick() {
	f.Deadlines.Set(&f.merging, f.clock.Now()+mergeEvery, func() {
		f.merged.Tick(f.clock.Now())
		f.mergedNews()
		f.mergeTick()
	})
}

// AddCatalogue names a catalogue whose word counts from now on.
func (f *Engine) AddCatalogue(name string) {
	f.merged.AddCatalogue(name, membership.Trust{})
}

// DropCatalogue ends it.
func (f *Engine) DropCatalogue(name string) {
	if f.merged != nil {
		f.merged.DropCatalogue(f.clock.Now(), name)
		f.mergedNews()
	}
}

// UpdateCatalogue takes in a catalogue's answer.
func (f *Engine) UpdateCatalogue(source string, n membership.Update) {
	if f.merged == nil {
		return
	}
	if f.failing[source] {
		delete(f.failing, source)
		slog.Info("catalogue answers again", "source", source)
	}
	f.merged.Update(f.clock.Now(), source, n)
	f.mergedNews()
}

// CatalogueFailed notes that a catalogue could not be asked.
func (f *Engine) CatalogueFailed(source string, why error) {
	if f.merged == nil {
		return
	}
	f.Counters.ListFailures++
	if !f.failing[source] {
		f.failing[source] = true
		slog.Warn("catalogue fails", "source", source, "error", why)
	}
	f.merged.CatalogueFailed(f.clock.Now(), source, why.Error())
	f.mergedNews()
}

func healthOf(s logic.MemberState) membership.Health {
	return [...]membership.Health{logic.Gone: membership.Terminated, logic.Ready: membership.Passing, logic.Draining: membership.Draining}[s]
}

// ownList lets the platform's list be one source among others.
func (f *Engine) ownList(l List) {
	n := membership.Update{Complete: l.Kind != logic.ListDelta}
	for _, e := range l.Entries {
		n.Listings = append(n.Listings, membership.Listing{ID: e.Name, Address: e.Address, Zone: e.Zone, Group: e.Group, Health: healthOf(e.State),
			Weight: e.Size, Started: e.Started})
	}
	f.merged.Update(f.clock.Now(), DiscoveryCatalogue, n)
	if !f.mergedNews() { // the router waits for the end of its call
		f.take(List{Kind: logic.ListDelta})
	}
}

// mergedNews hands on what has changed in the view, and tells whether anything has.
func (f *Engine) mergedNews() bool {
	changes := f.merged.TakeChanges()
	if len(changes) == 0 {
		return false
	}
	l := List{Kind: logic.ListDelta}
	for _, e := range changes {
		x := Entry{Name: e.ID, Address: e.Address, Zone: e.Zone, Group: e.Group, Size: e.Weight, Started: e.Started, ObservedStart: e.RestartedAt}
		x.State = [...]logic.MemberState{membership.StateRemoved: logic.Gone, membership.StateReady: logic.Ready, membership.StateDraining: logic.Draining}[e.State]
		m := f.names[e.ID]
		if m == nil || m.state != x.State {
			slog.Info("member", "name", e.ID, "address", e.Address, "state", e.State.String(), "why", e.Reason)
		}
		if m == nil && x.State == logic.Gone {
			continue
		}
		l.Entries = append(l.Entries, x)
	}
	f.take(l)
	return true
}

// seen hands evidence to the membership.
func (f *Engine) seen(m *member, r Reply, silent bool) {
	if f.merged == nil {
		return
	}
	switch {
	case r.Result == logic.OK || r.Result == logic.Misdirected || r.Result == logic.Failed || r.Result == logic.Rejected:
		f.merged.MarkAlive(f.clock.Now(), m.name, r.opened)
	case silent:
		f.merged.MarkSilent(f.clock.Now(), m.name)
	default:
		return
	}
	f.mergedNews()
}

// MergesCatalogues tells whether there are several catalogues.
func (f *Engine) MergesCatalogues() bool { return f.merged != nil }

// MergedMembers gives all that is known of each member, to be shown.
func (f *Engine) MergedMembers() []membership.Entry {
	if f.merged == nil {
		return nil
	}
	return f.merged.Explain(f.clock.Now())
}

// Catalogues gives the sources.
func (f *Engine) Catalogues() []membership.Catalogue {
	if f.merged == nil {
		return nil
	}
	return f.merged.Catalogues(f.clock.Now())
}
