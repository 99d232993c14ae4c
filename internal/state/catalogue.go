package state

import (
	"log/slog"
	"time"

	"github.com/benbjohnson/immutable"

	"havenproxy/internal/membership"
	"havenproxy/logic"
)

// What other catalogues than the platform's say goes through a membership, which decides what becomes of each member; its view is
// the list that the router gets.

// OwnList is the platform's discovery among the sources.
const OwnList = "discovery"

// mergeEvery is how often the membership looks at what moves by time alone.
const mergeEvery = 100 * time.Millisecond

// Merge puts other settings for merging into force; nil ends it: the platform's list stands alone again. alone tells that the
// platform's own list has no word beside the other catalogues.
func (f *Front) Merge(cfg *membership.Config, alone bool) {
	switch {
	case cfg == nil:
		if f.merged != nil {
			f.merged = nil
			f.Deadlines.Clear(&f.merging)
			f.Fetch()
		}
		return
	case f.merged == nil:
		f.merged = membership.New(*cfg)
		f.merged.Source(OwnList, membership.Trust{Binding: true})
		f.mergeTick()
		var known membership.News
		known.Whole = true
		for _, m := range f.names {
			if m.state != logic.Gone && !alone {
				known.Facts = append(known.Facts, membership.Fact{ID: m.name, Address: m.address, Group: m.group, Health: healthOf(m.state), Weight: 1})
			}
		}
		f.merged.News(f.clock.Now(), OwnList, known)
	default:
		f.merged.Configure(*cfg)
	}
	if alone {
		f.merged.Drop(f.clock.Now(), OwnList)
	} else {
		f.merged.Source(OwnList, membership.Trust{Binding: true})
	}
	f.mergedNews()
}

func (f *Front) mergeTick() {
	f.Deadlines.Set(&f.merging, f.clock.Now()+mergeEvery, func() {
		f.merged.Tick(f.clock.Now())
		f.mergedNews()
		f.mergeTick()
	})
}

// Source names a catalogue whose word counts from now on.
func (f *Front) Source(name string) {
	f.merged.Source(name, membership.Trust{})
}

// DropSource ends it.
func (f *Front) DropSource(name string) {
	if f.merged != nil {
		f.merged.Drop(f.clock.Now(), name)
		f.mergedNews()
	}
}

// Told takes in a catalogue's answer.
func (f *Front) Told(source string, n membership.News) {
	if f.merged == nil {
		return
	}
	f.merged.News(f.clock.Now(), source, n)
	f.mergedNews()
}

// ToldFailed notes that a catalogue could not be asked.
func (f *Front) ToldFailed(source string, why error) {
	if f.merged == nil {
		return
	}
	f.Counters.ListFailures++
	slog.Warn("catalogue fails", "source", source, "error", why)
	f.merged.Failed(f.clock.Now(), source, why.Error())
	f.mergedNews()
}

func healthOf(s logic.MemberState) membership.Health {
	return [...]membership.Health{logic.Gone: membership.Terminated, logic.Ready: membership.Passing, logic.Draining: membership.Draining}[s]
}

// ownList lets the platform's list be one source among others.
func (f *Front) ownList(l List) {
	n := membership.News{Whole: l.Kind != logic.ListDelta}
	for _, e := range l.Entries {
		n.Facts = append(n.Facts, membership.Fact{ID: e.Name, Address: e.Address, Zone: e.Zone, Group: e.Group, Health: healthOf(e.State),
			Weight: e.Size, Started: e.Started})
	}
	f.merged.News(f.clock.Now(), OwnList, n)
	if !f.mergedNews() { // the router waits for the end of its call
		f.take(List{Kind: logic.ListDelta})
	}
}

// mergedNews hands on what has changed in the view, and tells whether anything has.
func (f *Front) mergedNews() bool {
	changes := f.merged.Changes()
	if len(changes) == 0 {
		return false
	}
	l := List{Kind: logic.ListDelta}
	for _, e := range changes {
		x := Entry{Name: e.ID, Address: e.Address, Zone: e.Zone, Group: e.Group, Size: e.Weight, Started: e.Started}
		x.State = [...]logic.MemberState{membership.Gone: logic.Gone, membership.Ready: logic.Ready, membership.Drains: logic.Draining}[e.State]
		if e.Started < 0 { // begun now, as far as is known
			x.Started = f.clock.Unix()
		}
		if m := f.names[e.ID]; m == nil || m.state != x.State {
			slog.Info("member", "name", e.ID, "address", e.Address, "state", e.State.String(), "why", e.Why)
		}
		if f.names[e.ID] == nil && x.State == logic.Gone {
			continue
		}
		l.Entries = append(l.Entries, x)
	}
	f.take(l)
	return true
}

// seen hands evidence to the membership.
func (f *Front) seen(m *member, r Reply, silent bool) {
	if f.merged == nil {
		return
	}
	switch {
	case r.Result == logic.OK || r.Result == logic.Miss || r.Result == logic.Failed || r.Result == logic.Full:
		f.merged.Heard(f.clock.Now(), m.name, r.opened)
	case silent:
		f.merged.Silent(f.clock.Now(), m.name)
	default:
		return
	}
	f.mergedNews()
}

// Merges tells whether there are several catalogues.
func (f *Front) Merges() bool { return f.merged != nil }

// Members gives the view as it is now, and its version; nil = nothing is merged.
func (f *Front) Members() (*immutable.SortedMap[string, membership.Entry], uint64) {
	if f.merged == nil {
		return nil, 0
	}
	return f.merged.View()
}

// MemberFacts gives all that is known of each member, and Catalogues the sources, to be shown.
func (f *Front) MemberFacts() []membership.Entry {
	if f.merged == nil {
		return nil
	}
	return f.merged.Explain(f.clock.Now())
}

// Catalogues gives the sources.
func (f *Front) Catalogues() []membership.Catalogue {
	if f.merged == nil {
		return nil
	}
	return f.merged.Catalogues(f.clock.Now())
}
