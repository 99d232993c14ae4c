package state

import (
	"errors"
	"testing"
	"time"

	"havenproxy/internal/membership"
	"havenproxy/logic"
)

// merging is a bench before which a catalogue stands as well.
func newMergingHarness(t *testing.T, alone bool) (*harness, func(facts ...membership.Fact)) {
	b := newHarness(t, 9)
	b.e.ConfigureMerging(&membership.Config{}, alone)
	b.e.AddCatalogue("c")
	return b, func(f ...membership.Fact) { b.e.UpdateCatalogue("c", membership.News{Whole: true, Facts: f}) }
}

func (b *harness) listed(name string) (logic.Member, bool) {
	for _, e := range b.lastList.Entries {
		if e.ID == b.id(name) {
			return e, true
		}
	}
	return logic.Member{}, false
}

// A catalogue that takes the platform's place knows the same databases by other names: they stay who they are, with what was known
// of them, and nobody is there twice.
func TestTheSameDatabasesUnderOtherNames(t *testing.T) {
	b, tell := newMergingHarness(t, true)
	tell(membership.Fact{ID: "other-1", Address: "127.0.0.1:1"}, membership.Fact{ID: "other-2", Address: "127.0.0.1:2", Health: membership.Draining})
	if len(b.e.membersByName) != 4 { // a:1 and a:2 are no addresses of theirs
		t.Fatalf("%d members", len(b.e.membersByName))
	}
	b = newHarness(t, 9)
	b.e.UpdateList(List{Kind: logic.ListFull, Entries: []Entry{{Name: "one", Address: "127.0.0.1:1", Zone: "y", Size: 2, Started: 5 * time.Second, State: logic.Ready},
		{Name: "two", Address: "127.0.0.1:2", State: logic.Ready}}})
	b.e.ConfigureMerging(&membership.Config{}, true)
	b.e.AddCatalogue("c")
	b.e.UpdateCatalogue("c", membership.News{Whole: true, Facts: []membership.Fact{{ID: "other-1", Address: "127.0.0.1:1", Zone: "x"}, {ID: "other-2", Address: "127.0.0.1:2", Health: membership.Draining}}})
	if len(b.e.membersByName) != 2 || b.e.membersByName["two"].state != logic.Draining || b.e.membersByName["one"].zone != "x" || b.e.membersByName["one"].started != 5*time.Second {
		t.Errorf("%d members, %+v", len(b.e.membersByName), b.e.membersByName["one"])
	}
}

// A start that is taken from what is seen is placed once: each further change of the member must not make it a new one, cold again.
func TestAStartIsPlacedOnce(t *testing.T) {
	b, tell := newMergingHarness(t, false)
	f := membership.Fact{ID: "m", Address: "127.0.0.1:9"}
	tell(f)
	if e, ok := b.listed("m"); !ok || e.Born != 0 {
		t.Fatalf("%+v", e)
	}
	f.Address = "127.0.0.1:10" // another process
	b.advance(3 * time.Second)
	tell(f)
	first, _ := b.listed("m")
	if first.Born != b.now {
		t.Errorf("begun at %v, now is %v", first.Born, b.now)
	}
	b.advance(3 * time.Second)
	for i, step := range []time.Duration{2 * time.Millisecond, -2 * time.Millisecond} { // wall clocks are set
		f.Zone, b.wallClockStep = [...]string{"x", "y"}[i], step
		tell(f)
		if again, _ := b.listed("m"); again.Born != first.Born || again.Zone != i {
			t.Errorf("%+v, before %+v", again, first)
		}
	}
}

// So is one that the platform's list tells: the list may come again and again, by whatever clock.
func TestAListedStartIsPlacedOnce(t *testing.T) {
	b := newHarness(t, 9)
	tell := func(started time.Duration) logic.Member {
		b.e.UpdateList(List{Kind: logic.ListFull, Entries: []Entry{{Name: "one", Address: "a:1", State: logic.Ready, Started: started}}})
		e, _ := b.listed("one")
		return e
	}
	at := b.Unix() - time.Second
	first := tell(at)
	if first.Born != b.now-time.Second {
		t.Errorf("%+v", first)
	}
	for _, step := range []time.Duration{time.Microsecond, -time.Microsecond, -time.Second} {
		if b.wallClockStep = step; tell(at).Born != first.Born {
			t.Errorf("a clock that was set by %v makes a start of it", step)
		}
	}
	if tell(at+500*time.Millisecond).Born <= first.Born {
		t.Error("a later start is one")
	}
}

// Evidence goes to the membership: a database that answers stays, whatever the catalogue's checks say; nothing merged, nothing is
// asked of it. The end of merging leaves the platform's list alone again.
func TestWhatIsSeenGoesToTheMembership(t *testing.T) {
	b, tell := newMergingHarness(t, false)
	f := membership.Fact{ID: "m", Address: "127.0.0.1:9"}
	tell(f)
	f.Health = membership.Critical
	tell(f)
	answer := func() {
		b.e.Probe(b.id("m"))
		c := b.conns[len(b.conns)-1]
		if c.probes == 0 {
			c.listener.Up()
		}
		c.listener.Reply(Reply{Result: logic.OK})
	}
	for range 30 {
		answer()
		b.advance(2 * time.Second)
	}
	if b.e.membersByName["m"].state != logic.Ready {
		t.Errorf("it answers, and is %v", b.e.membersByName["m"].state)
	}
	b.advance(40 * time.Second)
	for range 5 {
		b.advance(mergeInterval)
	}
	if m := b.e.membersByName["m"]; m != nil && m.state != logic.Gone {
		t.Errorf("critical and silent, and is %v", m.state)
	}
	b.e.CatalogueFailed("c", errors.New("no leader"))
	if c := b.e.Catalogues(); len(c) != 2 || c[1].Failures != 1 || c[1].LastError != "no leader" {
		t.Errorf("%+v", c)
	}
	b.e.ConfigureMerging(nil, false)
	b.e.UpdateCatalogue("c", membership.News{Whole: true, Facts: []membership.Fact{f}}) // late
	if b.e.MergesCatalogues() || b.e.MergedMembers() != nil {
		t.Error("still merging")
	}
}
