package state

import (
	"errors"
	"testing"
	"time"

	"havenproxy/internal/membership"
	"havenproxy/logic"
)

// newMergingHarness returns a harness with a further catalogue "c" and a function that sends its full list.
func newMergingHarness(t *testing.T, alone bool) (*harness, func(facts ...membership.Listing)) {
	h := newHarness(t, 9)
	h.e.ConfigureMerging(&membership.Config{}, alone)
	h.e.AddCatalogue("c")
	return h, func(f ...membership.Listing) {
		h.e.UpdateCatalogue("c", membership.Update{Complete: true, Listings: f})
	}
}

func (h *harness) listed(name string) (logic.Member, bool) {
	for _, e := range h.lastList.Entries {
		if e.ID == h.id(name) {
			return e, true
		}
	}
	return logic.Member{}, false
}

// A catalogue that replaces the discovery service lists the same databases under other names. They keep their
// identity and their attributes, and none is listed twice.
func TestSameDatabasesUnderOtherNames(t *testing.T) {
	h, tell := newMergingHarness(t, true)
	tell(membership.Listing{ID: "other-1", Address: "127.0.0.1:1"}, membership.Listing{ID: "other-2", Address: "127.0.0.1:2", Health: membership.Draining})
	if len(h.e.membersByName) != 4 { // the addresses a:1 and a:2 are not theirs
		t.Fatalf("%d members", len(h.e.membersByName))
	}
	h = newHarness(t, 9)
	h.e.UpdateList(List{Kind: logic.ListFull, Entries: []Entry{{Name: "one", Address: "127.0.0.1:1", Zone: "y", Size: 2, Started: 5 * time.Second, State: logic.Ready},
		{Name: "two", Address: "127.0.0.1:2", State: logic.Ready}}})
	h.e.ConfigureMerging(&membership.Config{}, true)
	h.e.AddCatalogue("c")
	h.e.UpdateCatalogue("c", membership.Update{Complete: true, Listings: []membership.Listing{{ID: "other-1", Address: "127.0.0.1:1", Zone: "x"}, {ID: "other-2", Address: "127.0.0.1:2", Health: membership.Draining}}})
	if len(h.e.membersByName) != 2 || h.e.membersByName["two"].state != logic.Draining || h.e.membersByName["one"].zone != "x" || h.e.membersByName["one"].started != 5*time.Second {
		t.Errorf("%d members, %+v", len(h.e.membersByName), h.e.membersByName["one"])
	}
}

// A start that is inferred is converted to the router's clock once: later changes of the member must not count as
// another restart, after which the member would be cold again.
func TestInferredStartConvertedOnce(t *testing.T) {
	h, tell := newMergingHarness(t, false)
	f := membership.Listing{ID: "m", Address: "127.0.0.1:9"}
	tell(f)
	if e, ok := h.listed("m"); !ok || e.StartedAt != 0 {
		t.Fatalf("%+v", e)
	}
	f.Address = "127.0.0.1:10" // another process
	h.advance(3 * time.Second)
	tell(f)
	first, _ := h.listed("m")
	if first.StartedAt != h.now {
		t.Errorf("started at %v, want %v", first.StartedAt, h.now)
	}
	h.advance(3 * time.Second)
	for i, step := range []time.Duration{2 * time.Millisecond, -2 * time.Millisecond} { // wall clocks are adjusted
		f.Zone, h.wallClockStep = [...]string{"x", "y"}[i], step
		tell(f)
		if again, _ := h.listed("m"); again.StartedAt != first.StartedAt || again.Zone != i {
			t.Errorf("%+v, before %+v", again, first)
		}
	}
}

// The same holds for a start that the discovery service lists, however often the list is sent and by whatever clock.
func TestListedStartConvertedOnce(t *testing.T) {
	h := newHarness(t, 9)
	tell := func(started time.Duration) logic.Member {
		h.e.UpdateList(List{Kind: logic.ListFull, Entries: []Entry{{Name: "one", Address: "a:1", State: logic.Ready, Started: started}}})
		e, _ := h.listed("one")
		return e
	}
	at := h.Unix() - time.Second
	first := tell(at)
	if first.StartedAt != h.now-time.Second {
		t.Errorf("%+v", first)
	}
	for _, step := range []time.Duration{time.Microsecond, -time.Microsecond, -time.Second} {
		if h.wallClockStep = step; tell(at).StartedAt != first.StartedAt {
			t.Errorf("a clock adjustment of %v counts as a restart", step)
		}
	}
	if tell(at+500*time.Millisecond).StartedAt <= first.StartedAt {
		t.Error("a later start does not count as a restart")
	}
}

// Evidence is passed to the membership: a database that answers stays in use whatever the catalogue's checks say.
// When merging ends, the discovery service's list is used by itself again.
func TestEvidencePassedToMembership(t *testing.T) {
	h, tell := newMergingHarness(t, false)
	f := membership.Listing{ID: "m", Address: "127.0.0.1:9"}
	tell(f)
	f.Health = membership.Critical
	tell(f)
	answer := func() {
		h.e.Probe(h.id("m"))
		c := h.conns[len(h.conns)-1]
		if c.probes == 0 {
			c.listener.Up()
		}
		c.listener.Reply(Reply{Result: logic.OK})
	}
	for range 30 {
		answer()
		h.advance(2 * time.Second)
	}
	if h.e.membersByName["m"].state != logic.Ready {
		t.Errorf("the member answers, but is %v", h.e.membersByName["m"].state)
	}
	h.advance(40 * time.Second)
	for range 5 {
		h.advance(mergeInterval)
	}
	if m := h.e.membersByName["m"]; m != nil && m.state != logic.Gone {
		t.Errorf("the member is critical and silent, but is %v", m.state)
	}
	h.e.CatalogueFailed("c", errors.New("no leader"))
	if c := h.e.Catalogues(); len(c) != 2 || c[1].Failures != 1 || c[1].LastError != "no leader" {
		t.Errorf("%+v", c)
	}
	h.e.ConfigureMerging(nil, false)
	h.e.UpdateCatalogue("c", membership.Update{Complete: true, Listings: []membership.Listing{f}}) // late
	if h.e.MergesCatalogues() || h.e.MergedMembers() != nil {
		t.Error("still merging")
	}
}
