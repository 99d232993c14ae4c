package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms = time.Millisecond
	s  = time.Second
)

// harness drives Members by events and records the states of the view.
type harness struct {
	t            *testing.T
	members      *Members
	now          time.Duration
	listings     map[string]Listing
	states       map[string]State
	stateChanges int
}

func newHarness(t *testing.T, count int) *harness {
	h := &harness{t: t, members: New(Config{}), now: 100 * s, listings: map[string]Listing{}, states: map[string]State{}}
	h.members.AddCatalogue("c", Trust{})
	for i := range count {
		id := fmt.Sprintf("db-%d", i)
		h.listings[id] = Listing{ID: id, Address: fmt.Sprintf("10.0.0.%d:5432", i+1), Group: i % 3, Weight: 1}
	}
	h.update()
	h.expectAll(StateReady)
	return h
}

// update sends a complete list of all listings except those of the given IDs.
func (h *harness) update(except ...string) {
	update := Update{Complete: true}
	for _, listing := range h.listings {
		if !slices.Contains(except, listing.ID) {
			update.Listings = append(update.Listings, listing)
		}
	}
	slices.SortFunc(update.Listings, func(a, b Listing) int {
		return len(a.ID)*1000 + int(a.ID[len(a.ID)-1]) - len(b.ID)*1000 - int(b.ID[len(b.ID)-1])
	})
	h.members.Update(h.now, "c", update)
	h.collectChanges()
}

func (h *harness) collectChanges() {
	for _, e := range h.members.TakeChanges() {
		if h.states[e.ID] != e.State {
			h.stateChanges++
		}
		h.states[e.ID] = e.State
	}
}

// advance moves the clock, while the given members answer.
func (h *harness) advance(duration time.Duration, alive ...string) {
	for end := h.now + duration; h.now < end; {
		h.now += 100 * ms
		for _, id := range alive {
			h.members.MarkAlive(h.now, id, 50*s)
		}
		h.members.Tick(h.now)
		h.collectChanges()
	}
}

func (h *harness) setHealth(id string, health Health) {
	listing := h.listings[id]
	listing.Health = health
	h.listings[id] = listing
	h.update()
}

func (h *harness) expect(id string, want State, context string) {
	h.t.Helper()
	if h.states[id] != want {
		h.t.Errorf("%s: %s is %v, want %v; %+v", context, id, h.states[id], want, h.members.Explain(h.now))
	}
}

func (h *harness) expectAll(want State) {
	h.t.Helper()
	for id := range h.listings {
		h.expect(id, want, "all")
	}
}

func TestObservationOutranksCatalogue(t *testing.T) {
	h := newHarness(t, 3)
	h.setHealth("db-1", Critical)
	h.advance(60*s, "db-1")
	h.expect("db-1", StateReady, "critical, but answers")
	h.advance(40 * s)
	h.expect("db-1", StateRemoved, "critical, and silent for longer than `failing`")
	h.setHealth("db-1", Passing)
	h.expect("db-1", StateReady, "passing again")

	h.setHealth("db-2", Critical)
	h.members.MarkSilent(h.now, "db-2")
	h.advance(20 * s)
	h.expect("db-2", StateReady, "critical and silent for less than `failing`")

	h.listings["db-9"] = Listing{ID: "db-9", Address: "10.0.0.99:5432", Health: Critical}
	h.update()
	h.expect("db-9", StateRemoved, "new and critical: not started yet")
	h.setHealth("db-9", Passing)
	h.expect("db-9", StateReady, "new and passing")
}

// A drain takes effect with the answer that lists it, even if the member answers, is damped, or the catalogue is doubted.
func TestDrainIsAlwaysObeyed(t *testing.T) {
	for _, health := range []Health{Draining, Maintenance} {
		h := newHarness(t, 8)
		for range 20 { // flaps until it is damped
			h.setHealth("db-1", Critical)
			h.setHealth("db-1", Passing)
		}
		h.update("db-2", "db-3", "db-4", "db-5", "db-6") // the catalogue is doubted
		if c := h.members.Catalogues(h.now)[0]; !c.Doubted || c.Suppressed != 1 {
			t.Fatalf("%+v", c)
		}
		listing := h.listings["db-1"]
		listing.Health = health
		h.listings["db-1"] = listing
		h.update("db-2", "db-3", "db-4", "db-5", "db-6")
		h.expect("db-1", StateDraining, health.String())
		h.advance(30*s, "db-1")
		h.expect("db-1", StateDraining, "draining, though it answers")
		h.setHealth("db-1", Passing)
		h.expect("db-1", StateReady, "the drain has ended")
	}
}

// A check that flaps every 200 ms changes a member's state a few times and then no more while it flaps. The state follows the check again
// some time after the last flap.
func TestFlapsAreDamped(t *testing.T) {
	h := newHarness(t, 3)
	h.stateChanges = 0
	for range 300 { // for 1 min
		h.setHealth("db-1", Critical)
		h.advance(100 * ms)
		h.setHealth("db-1", Passing)
		h.advance(100 * ms)
	}
	if h.stateChanges > 4 {
		t.Errorf("%d state changes during one minute of flaps", h.stateChanges)
	}
	h.expect("db-1", StateReady, "flapping")
	h.setHealth("db-1", Critical)
	h.members.MarkSilent(h.now, "db-1")
	h.advance(200 * s)
	h.expect("db-1", StateRemoved, "critical for longer than the penalty lasts")
	if c := h.members.Catalogues(h.now)[0]; c.Suppressed != 0 {
		t.Errorf("still damped: %+v", c)
	}
}

// More than half of the instances vanish from one answer and are listed again 5 s later. None is removed, whether it answers or not.
func TestMostMembersVanishBriefly(t *testing.T) {
	h := newHarness(t, 10)
	h.stateChanges = 0
	missing := []string{"db-1", "db-2", "db-3", "db-4", "db-5", "db-6"}
	h.update(missing...)
	h.advance(5 * s)
	h.update()
	h.advance(60 * s)
	h.expectAll(StateReady)
	if h.stateChanges > 0 {
		t.Errorf("%d changes", h.stateChanges)
	}
	if c := h.members.Catalogues(h.now)[0]; c.Doubted || c.DoubtCount != 1 {
		t.Errorf("%+v", c)
	}
}

func TestAllMembersVanish(t *testing.T) {
	h := newHarness(t, 6)
	h.update("db-0", "db-1", "db-2", "db-3", "db-4", "db-5")
	h.advance(30 * s)
	h.expectAll(StateReady)
	h.advance(60*s, "db-0", "db-1") // the doubt ends after 1 min; members that answer are kept
	h.expect("db-0", StateReady, "unlisted, but answers")
	h.expect("db-5", StateRemoved, "unlisted and silent")
	h.advance(11*time.Minute, "db-0")
	h.expect("db-0", StateRemoved, "unlisted for longer than `keep`")
	h.update()
	h.advance(s)
	h.expectAll(StateReady)
}

// One or two members that vanish don't cause a doubt. They are kept while they answer, and removed after UnlistedTimeout otherwise.
func TestFewMembersVanish(t *testing.T) {
	h := newHarness(t, 6)
	h.update("db-1", "db-2")
	h.advance(9*s, "db-2")
	h.expect("db-1", StateReady, "unlisted for less than `lost`")
	h.advance(2*s, "db-2")
	h.expect("db-1", StateRemoved, "unlisted and silent for longer than `lost`")
	h.expect("db-2", StateReady, "unlisted, but answers")
	if view, _ := h.members.View(); view.Len() != 5 {
		t.Errorf("%d members", view.Len())
	}
}

// A new ID at a known address is a new database unless an earlier connection still answers. A known ID at a new address is a new process.
func TestRenamedAndMovedMembers(t *testing.T) {
	for _, sameProcess := range []bool{true, false} {
		h := newHarness(t, 6)
		listing := h.listings["db-1"]
		delete(h.listings, "db-1")
		listing.ID = "new-1"
		h.listings["new-1"] = listing
		h.update()
		h.expect("db-1", StateReady, "new ID, within RenameTimeout")
		if sameProcess {
			h.advance(500*ms, "new-1") // on connections that were opened at 50 s
		}
		h.advance(2 * s)
		if sameProcess {
			h.expect("db-1", StateReady, "an earlier connection answers")
			if _, ok := h.states["new-1"]; ok {
				t.Error("the new ID is a separate member")
			}
			h.setHealth("new-1", Draining)
			h.expect("db-1", StateDraining, "listed under its new ID")
			continue
		}
		h.expect("db-1", StateRemoved, "no earlier connection answers")
		h.expect("new-1", StateReady, "a new database")
		if view, _ := h.members.View(); view.Len() != 6 {
			t.Errorf("%d members", view.Len())
		} else if entry, _ := view.Get("new-1"); entry.RestartedAt != 100*s {
			t.Errorf("RestartedAt is not the time of the new ID: %+v", entry)
		}
	}
	h := newHarness(t, 3)
	listing := h.listings["db-1"]
	listing.Address = "10.0.9.9:5432"
	h.listings["db-1"] = listing
	h.update()
	if view, _ := h.members.View(); view.Len() != 3 {
		t.Errorf("%d members", view.Len())
	} else if entry, _ := view.Get("db-1"); entry.Address != "10.0.9.9:5432" || entry.RestartedAt != h.now {
		t.Errorf("a new address is not treated as a new process: %+v", entry)
	}
	h.advance(5 * s)
	listing.Zone = "north"
	h.listings["db-1"] = listing
	h.update()
	view, _ := h.members.View()
	if entry, _ := view.Get("db-1"); entry.Zone != "north" || entry.RestartedAt != 100*s {
		t.Errorf("RestartedAt changed with a later listing: %+v", entry)
	}
}

// Of a catalogue without a leader only drains and maintenance are accepted.
func TestCatalogueWithoutLeader(t *testing.T) {
	h := newHarness(t, 4)
	h.members.Update(h.now, "c", Update{Complete: true, NoLeader: true, Listings: []Listing{{ID: "db-0", Address: "10.0.0.1:5432", Health: Maintenance},
		{ID: "db-1", Address: "10.0.0.2:5432", Health: Critical}}})
	h.collectChanges()
	h.expect("db-0", StateDraining, "maintenance")
	h.advance(60 * s)
	for _, id := range []string{"db-1", "db-2", "db-3"} {
		h.expect(id, StateReady, "other listings are ignored")
	}
	if c := h.members.Catalogues(h.now)[0]; c.LastError == "" || c.Failures != 1 {
		t.Errorf("%+v", c)
	}
}

// Of listings with duplicate IDs or addresses the first is used. The others, and host names in place of addresses, are counted as skipped.
func TestInvalidListingsAreSkipped(t *testing.T) {
	h := newHarness(t, 3)
	h.members.Update(h.now, "c", Update{Complete: true, Listings: []Listing{h.listings["db-0"], h.listings["db-1"], h.listings["db-2"],
		{ID: "db-1", Address: "10.0.0.77:1"}, {ID: "db-7", Address: "10.0.0.1:5432"}, {ID: "db-8", Address: "db8.example:5432"}}, Skipped: 2})
	h.collectChanges()
	h.expectAll(StateReady)
	c := h.members.Catalogues(h.now)[0]
	if view, _ := h.members.View(); view.Len() != 3 || c.Skipped != 5 {
		t.Errorf("%d members, %+v", view.Len(), c)
	}
}

// The list of an authoritative catalogue takes effect at once, both for listed and for missing members.
func TestAuthoritativeCatalogue(t *testing.T) {
	h := newHarness(t, 3)
	h.members.AddCatalogue("platform", Trust{Authoritative: true})
	listings := []Listing{{ID: "p0", Address: "10.1.0.1:1"}, {ID: "p1", Address: "10.1.0.2:1"}, {ID: "p2", Address: "10.1.0.3:1"}, {ID: "p3", Address: "10.1.0.4:1"}}
	h.members.Update(h.now, "platform", Update{Complete: true, Listings: listings})
	h.collectChanges()
	h.expect("p0", StateReady, "listed")
	h.members.Update(h.now, "platform", Update{Listings: []Listing{{ID: "p0", Health: Terminated}}})
	h.collectChanges()
	h.expect("p0", StateRemoved, "terminated")
	h.members.MarkAlive(h.now, "p1", s)
	h.members.Update(h.now, "platform", Update{Complete: true})
	h.collectChanges()
	for _, id := range []string{"p1", "p2", "p3"} {
		h.expect(id, StateRemoved, "missing from a complete list")
	}
	h.expectAll(StateReady) // the members of the other catalogue
	h.members.DropCatalogue(h.now, "c")
	h.collectChanges()
	h.expectAll(StateReady)
	h.advance(11 * s)
	h.expectAll(StateRemoved)
}

// Two catalogues list one member under different IDs. A drain by either takes effect. A catalogue that doesn't answer loses its weight.
func TestTwoCatalogues(t *testing.T) {
	h := newHarness(t, 3)
	h.members.AddCatalogue("d", Trust{Weight: 0.9})
	h.members.Update(h.now, "d", Update{Complete: true, Listings: []Listing{{ID: "other-name", Address: "10.0.0.1:5432", Zone: "north", Role: Primary}}})
	h.collectChanges()
	view, _ := h.members.View()
	if entry, ok := view.Get("db-0"); view.Len() != 3 || !ok || entry.Zone != "north" || entry.Role != Primary {
		t.Errorf("%d members, %+v", view.Len(), entry)
	}
	for range 20 { // d doesn't answer for 100 s
		h.advance(5 * s)
		h.update()
	}
	view, _ = h.members.View()
	if entry, _ := view.Get("db-0"); entry.Zone != "" {
		t.Errorf("the silent catalogue has the higher weight: %+v", entry)
	}
	h.members.Update(h.now, "d", Update{Complete: true, Listings: []Listing{{ID: "other-name", Address: "10.0.0.1:5432", Health: Draining}}})
	h.collectChanges()
	h.expect("db-0", StateDraining, "drained under its other ID")
	for _, entry := range h.members.Explain(h.now) {
		if entry.ID == "db-0" && (len(entry.Evidence) != 2 || entry.Evidence[0].Source != "d" || entry.Evidence[0].Confidence < 0.8) {
			t.Errorf("%+v", entry.Evidence)
		}
	}
}

// A view doesn't change when later views are created.
func TestViewsAreImmutable(t *testing.T) {
	h := newHarness(t, 4)
	old, oldVersion := h.members.View()
	h.setHealth("db-1", Draining)
	current, newVersion := h.members.View()
	oldEntry, _ := old.Get("db-1")
	newEntry, _ := current.Get("db-1")
	if oldEntry.State != StateReady || newEntry.State != StateDraining || oldVersion == newVersion {
		t.Errorf("%v and %v, versions %d and %d", oldEntry.State, newEntry.State, oldVersion, newVersion)
	}
}

// An hour of churn with new IDs and addresses leaves no removed members in memory.
func TestChurnLeavesNothing(t *testing.T) {
	h := newHarness(t, 0)
	for i := range 3600 {
		update := Update{Complete: true}
		for k := range 8 {
			id := i/4 + k
			update.Listings = append(update.Listings, Listing{ID: fmt.Sprintf("i-%d", id), Address: fmt.Sprintf("10.%d.%d.%d:1", id>>16&255, id>>8&255, id&255)})
		}
		h.members.Update(h.now, "c", update)
		h.advance(s)
	}
	if len(h.members.ordered) > 14 || len(h.members.byID) > 14 || len(h.members.byAddress) > 14 || h.members.view.Len() > 12 {
		t.Errorf("%d members, %d ids, %d addresses, %d in the view", len(h.members.ordered), len(h.members.byID), len(h.members.byAddress), h.members.view.Len())
	}
}

// After any sequence of events the view agrees with the reported changes, and a member that a catalogue lists as draining drains.
func TestRandomEventOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t, 0)
		h.members.AddCatalogue("d", Trust{})
		seen := map[string]State{}
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			h.now += time.Duration(rapid.IntRange(0, 3000).Draw(rt, "gap")) * ms
			id := fmt.Sprintf("m-%d", rapid.IntRange(0, 5).Draw(rt, "id"))
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0, 1:
				update := Update{Complete: rapid.Bool().Draw(rt, "whole")}
				for range rapid.IntRange(0, 6).Draw(rt, "facts") {
					update.Listings = append(update.Listings, Listing{ID: fmt.Sprintf("m-%d", rapid.IntRange(0, 5).Draw(rt, "id")), Address: fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(0, 5).Draw(rt, "at")),
						Health: Health(rapid.IntRange(0, 5).Draw(rt, "health"))})
				}
				h.members.Update(h.now, rapid.SampledFrom([]string{"c", "d"}).Draw(rt, "source"), update)
			case 2:
				h.members.MarkAlive(h.now, id, h.now-time.Duration(rapid.IntRange(0, 9).Draw(rt, "up"))*s)
			case 3:
				h.members.MarkSilent(h.now, id)
			default:
				h.members.Tick(h.now)
			}
			for _, entry := range h.members.TakeChanges() {
				seen[entry.ID] = entry.State
			}
		}
		view, _ := h.members.View()
		for id, state := range seen {
			if entry, in := view.Get(id); in != (state != StateRemoved) || in && entry.State != state {
				rt.Fatalf("%s: state %v by the changes, entry %+v in the view (present: %v)", id, state, entry, in)
			}
		}
		for _, entry := range h.members.Explain(h.now) {
			for _, evidence := range entry.Evidence {
				if (evidence.Claim == "draining" || evidence.Claim == "maintenance") && entry.State != StateDraining {
					rt.Fatalf("%s is %v, though %s reports %s", entry.ID, entry.State, evidence.Source, evidence.Claim)
				}
			}
		}
	})
}

// BenchmarkSingleChange measures the cost of one change among 5,000 instances.
func BenchmarkSingleChange(b *testing.B) {
	members := New(Config{})
	members.AddCatalogue("c", Trust{})
	update := Update{Complete: true}
	for i := range 5000 {
		update.Listings = append(update.Listings, Listing{ID: fmt.Sprintf("i-%d", i), Address: fmt.Sprintf("10.0.%d.%d:1", i>>8, i&255)})
	}
	members.Update(s, "c", update)
	members.TakeChanges()
	b.ReportAllocs()
	for i := range b.N {
		listing := &update.Listings[i%5000]
		listing.Zone = fmt.Sprint(i)
		members.Update(s+time.Duration(i)*ms, "c", update)
		if got := len(members.TakeChanges()); got != 1 {
			b.Fatal(got)
		}
	}
}
