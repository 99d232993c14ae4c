package state

import (
	"errors"
	"testing"
	"time"

	"havenproxy/internal/membership"
	"havenproxy/logic"
)

// merging is a bench before which a catalogue stands as well.
func merging(t *testing.T, alone bool) (*bench, func(facts ...membership.Listing)) {
	b := newBench(t, 9)
	b.f.ConfigureMerging(&membership.Config{}, alone)
	b.f.AddCatalogue("c")
	return b, func(facts ...membership.Listing) {
		b.f.UpdateCatalogue("c", membership.Update{Complete: true, Listings: facts})
	}
}

func (b *bench) listed(name string) (logic.Member, bool) {
	for _, e := range b.list.Entries {
		if e.ID == b.id(name) {
			return e, true
		}
	}
	return logic.Member{}, false
}

// A catalogue that takes the platform's place knows the same databases by other names: they stay who they are, with what was known
// of them, and nobody is there twice.
func TestTheSameDatabasesUnderOtherNames(t *testing.T) {
	b, tell := merging(t, true)
	tell(membership.Listing{ID: "other-1", Address: "127.0.0.1:1"}, membership.Listing{ID: "other-2", Address: "127.0.0.1:2", Health: membership.Draining})
	if len(b.f.names) != 4 { // a:1 and a:2 are no addresses of theirs
		t.Fatalf("%d members", len(b.f.names))
	}
	b = newBench(t, 9)
	b.f.UpdateList(List{Kind: logic.ListFull, Entries: []Entry{{Name: "one", Address: "127.0.0.1:1", Zone: "y", Size: 2, Started: 5 * time.Second, State: logic.Ready},
		{Name: "two", Address: "127.0.0.1:2", State: logic.Ready}}})
	b.f.ConfigureMerging(&membership.Config{}, true)
	b.f.AddCatalogue("c")
	b.f.UpdateCatalogue("c", membership.Update{Complete: true, Listings: []membership.Listing{{ID: "other-1", Address: "127.0.0.1:1", Zone: "x"}, {ID: "other-2", Address: "127.0.0.1:2", Health: membership.Draining}}})
	if len(b.f.names) != 2 || b.f.names["two"].state != logic.Draining || b.f.names["one"].zone != "x" || b.f.names["one"].started != 5*time.Second {
		t.Errorf("%d members, %+v", len(b.f.names), b.f.names["one"])
	}
}

// A start that is taken from what is seen is placed once: each further change of the member must not make it a new one, cold again.
func TestAStartIsPlacedOnce(t *testing.T) {
	b, tell := merging(t, false)
	f := membership.Listing{ID: "m", Address: "127.0.0.1:9"}
	tell(f)
	if e, ok := b.listed("m"); !ok || e.StartedAt != 0 {
		t.Fatalf("%+v", e)
	}
	f.Address = "127.0.0.1:10" // another process
	b.pass(3 * time.Second)
	tell(f)
	first, _ := b.listed("m")
	if first.StartedAt != b.now {
		t.Errorf("begun at %v, now is %v", first.StartedAt, b.now)
	}
	b.pass(3 * time.Second)
	for i, step := range []time.Duration{2 * time.Millisecond, -2 * time.Millisecond} { // wall clocks are set
		f.Zone, b.step = [...]string{"x", "y"}[i], step
		tell(f)
		if again, _ := b.listed("m"); again.StartedAt != first.StartedAt || again.Zone != i {
			t.Errorf("%+v, before %+v", again, first)
		}
	}
}

// So is one that the platform's list tells: the list may come again and again, by whatever clock.
func TestAListedStartIsPlacedOnce(t *testing.T) {
	b := newBench(t, 9)
	tell := func(started time.Duration) logic.Member {
		b.f.UpdateList(List{Kind: logic.ListFull, Entries: []Entry{{Name: "one", Address: "a:1", State: logic.Ready, Started: started}}})
		e, _ := b.listed("one")
		return e
	}
	at := b.Unix() - time.Second
	first := tell(at)
	if first.StartedAt != b.now-time.Second {
		t.Errorf("%+v", first)
	}
	for _, step := range []time.Duration{time.Microsecond, -time.Microsecond, -time.Second} {
		if b.step = step; tell(at).StartedAt != first.StartedAt {
			t.Errorf("a clock that was set by %v makes a start of it", step)
		}
	}
	if tell(at+500*time.Millisecond).StartedAt <= first.StartedAt {
		t.Error("a later start is one")
	}
}

// Evidence goes to the membership: a database that answers stays, whatever the catalogue's checks say; nothing merged, nothing is
// asked of it. The end of merging leaves the platform's list alone again.
func TestWhatIsSeenGoesToTheMembership(t *testing.T) {
	b, tell := merging(t, false)
	f := membership.Listing{ID: "m", Address: "127.0.0.1:9"}
	tell(f)
	f.Health = membership.Critical
	tell(f)
	answer := func() {
		b.f.Probe(b.id("m"))
		c := b.conns[len(b.conns)-1]
		if c.probes == 0 {
			c.to.Up()
		}
		c.to.Reply(Reply{Result: logic.OK})
	}
	for range 30 {
		answer()
		b.pass(2 * time.Second)
	}
	if b.f.names["m"].state != logic.Ready {
		t.Errorf("it answers, and is %v", b.f.names["m"].state)
	}
	b.pass(40 * time.Second)
	for range 5 {
		b.pass(mergeEvery)
	}
	if m := b.f.names["m"]; m != nil && m.state != logic.Gone {
		t.Errorf("critical and silent, and is %v", m.state)
	}
	b.f.CatalogueFailed("c", errors.New("no leader"))
	if c := b.f.Catalogues(); len(c) != 2 || c[1].Failures != 1 || c[1].LastError != "no leader" {
		t.Errorf("%+v", c)
	}
	b.f.ConfigureMerging(nil, false)
	b.f.UpdateCatalogue("c", membership.Update{Complete: true, Listings: []membership.Listing{f}}) // late
	if b.f.MergesCatalogues() || b.f.MergedMembers() != nil {
		t.Error("still merging")
	}
}
