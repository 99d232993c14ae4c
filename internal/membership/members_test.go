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

// script drives a view by events, and keeps what came of it.
type script struct {
	t     *testing.T
	m     *Members
	now   time.Duration
	facts map[string]Listing
	state map[string]State
	moves int // changes of any state
}

func begin(t *testing.T, n int) *script {
	x := &script{t: t, m: New(Config{}), now: 100 * s, facts: map[string]Listing{}, state: map[string]State{}}
	x.m.AddCatalogue("c", Trust{})
	for i := range n {
		id := fmt.Sprintf("db-%d", i)
		x.facts[id] = Listing{ID: id, Address: fmt.Sprintf("10.0.0.%d:5432", i+1), Group: i % 3, Weight: 1}
	}
	x.news()
	x.all(StateReady)
	return x
}

// news tells all facts, but for those that are left out.
func (x *script) news(but ...string) {
	n := Update{Complete: true}
	for _, f := range x.facts {
		if !slices.Contains(but, f.ID) {
			n.Listings = append(n.Listings, f)
		}
	}
	slices.SortFunc(n.Listings, func(a, b Listing) int {
		return len(a.ID)*1000 + int(a.ID[len(a.ID)-1]) - len(b.ID)*1000 - int(b.ID[len(b.ID)-1])
	})
	x.m.Update(x.now, "c", n)
	x.look()
}

func (x *script) look() {
	for _, e := range x.m.TakeChanges() {
		if x.state[e.ID] != e.State {
			x.moves++
		}
		x.state[e.ID] = e.State
	}
}

// pass lets time go by, while some members answer.
func (x *script) pass(d time.Duration, answering ...string) {
	for end := x.now + d; x.now < end; {
		x.now += 100 * ms
		for _, id := range answering {
			x.m.MarkAlive(x.now, id, 50*s)
		}
		x.m.Tick(x.now)
		x.look()
	}
}

func (x *script) health(id string, h Health) {
	f := x.facts[id]
	f.Health = h
	x.facts[id] = f
	x.news()
}

func (x *script) is(id string, want State, why string) {
	x.t.Helper()
	if x.state[id] != want {
		x.t.Errorf("%s: %s is %v, want %v; %+v", why, id, x.state[id], want, x.m.Explain(x.now))
	}
}

func (x *script) all(want State) {
	x.t.Helper()
	for id := range x.facts {
		x.is(id, want, "all")
	}
}

func TestSeenBeatsTold(t *testing.T) {
	x := begin(t, 3)
	x.health("db-1", Critical)
	x.pass(60*s, "db-1")
	x.is("db-1", StateReady, "critical, and answers")
	x.pass(40 * s)
	x.is("db-1", StateRemoved, "critical, and silent for longer than `failing`")
	x.health("db-1", Passing)
	x.is("db-1", StateReady, "passing again")

	x.health("db-2", Critical)
	x.m.MarkSilent(x.now, "db-2")
	x.pass(20 * s)
	x.is("db-2", StateReady, "a check may err; whoever sends there sees for himself")

	x.facts["db-9"] = Listing{ID: "db-9", Address: "10.0.0.99:5432", Health: Critical}
	x.news()
	x.is("db-9", StateRemoved, "new, and critical: it has not begun yet")
	x.health("db-9", Passing)
	x.is("db-9", StateReady, "now it has")
}

// A drain is obeyed with the answer that tells it, whatever else is said, seen, damped or doubted.
func TestADrainIsAlwaysObeyed(t *testing.T) {
	for _, h := range []Health{Draining, Maintenance} {
		x := begin(t, 8)
		for range 20 { // flapping, and damped
			x.health("db-1", Critical)
			x.health("db-1", Passing)
		}
		x.news("db-2", "db-3", "db-4", "db-5", "db-6") // and the catalogue is doubted
		if c := x.m.Catalogues(x.now)[0]; !c.Doubted || c.Suppressed != 1 {
			t.Fatalf("%+v", c)
		}
		f := x.facts["db-1"]
		f.Health = h
		x.facts["db-1"] = f
		x.news("db-2", "db-3", "db-4", "db-5", "db-6")
		x.is("db-1", StateDraining, h.String())
		x.pass(30*s, "db-1")
		x.is("db-1", StateDraining, "though it answers")
		x.health("db-1", Passing)
		x.is("db-1", StateReady, "the drain is over")
	}
}

// A check that flaps each 200 ms moves a member a few times, and then no more while it flaps; its state follows again some time
// behind the last flap.
func TestFlapsAreDamped(t *testing.T) {
	x := begin(t, 3)
	x.moves = 0
	for range 300 { // a minute
		x.health("db-1", Critical)
		x.pass(100 * ms)
		x.health("db-1", Passing)
		x.pass(100 * ms)
	}
	if x.moves > 4 {
		t.Errorf("%d changes in a minute of flaps", x.moves)
	}
	x.is("db-1", StateReady, "while it flaps")
	x.health("db-1", Critical)
	x.m.MarkSilent(x.now, "db-1")
	x.pass(200 * s)
	x.is("db-1", StateRemoved, "and is critical for good")
	if c := x.m.Catalogues(x.now)[0]; c.Suppressed != 0 {
		t.Errorf("still damped: %+v", c)
	}
}

// Half of the instances vanish in one answer and come back 5 s later: nobody is dropped, whether they answer or not.
func TestHalfVanish(t *testing.T) {
	x := begin(t, 10)
	x.moves = 0
	lost := []string{"db-1", "db-2", "db-3", "db-4", "db-5", "db-6"}
	x.news(lost...)
	x.pass(5 * s)
	x.news()
	x.pass(60 * s)
	x.all(StateReady)
	if x.moves > 0 {
		t.Errorf("%d changes", x.moves)
	}
	if c := x.m.Catalogues(x.now)[0]; c.Doubted || c.DoubtCount != 1 {
		t.Errorf("%+v", c)
	}
}

func TestAllVanish(t *testing.T) {
	x := begin(t, 6)
	x.news("db-0", "db-1", "db-2", "db-3", "db-4", "db-5")
	x.pass(30 * s)
	x.all(StateReady)
	x.pass(60*s, "db-0", "db-1") // the doubt ends after a minute; who answers is kept
	x.is("db-0", StateReady, "it answers")
	x.is("db-5", StateRemoved, "it doesn't, and nobody lists it")
	x.pass(11*time.Minute, "db-0")
	x.is("db-0", StateRemoved, "kept for ten minutes and no longer")
	x.news()
	x.pass(s)
	x.all(StateReady)
}

// One or two that vanish are no reason to doubt: they are kept as long as they answer, and dropped soon where they don't.
func TestALostMember(t *testing.T) {
	x := begin(t, 6)
	x.news("db-1", "db-2")
	x.pass(9*s, "db-2")
	x.is("db-1", StateReady, "a moment ago")
	x.pass(2*s, "db-2")
	x.is("db-1", StateRemoved, "lost, and silent")
	x.is("db-2", StateReady, "lost, and answers")
	if v, _ := x.m.View(); v.Len() != 5 {
		t.Errorf("%d members", v.Len())
	}
}

// Who is who. A new id at an old address is a new database, unless a connection from before answers.
func TestIdentity(t *testing.T) {
	for _, same := range []bool{true, false} {
		x := begin(t, 6)
		f := x.facts["db-1"]
		delete(x.facts, "db-1")
		f.ID = "new-1"
		x.facts["new-1"] = f
		x.news()
		x.is("db-1", StateReady, "a new name for it, so far")
		if same {
			x.pass(500*ms, "new-1") // on connections that were up at 50 s
		}
		x.pass(2 * s)
		if same {
			x.is("db-1", StateReady, "its connections go on")
			if _, ok := x.state["new-1"]; ok {
				t.Error("the new name is a member beside it")
			}
			x.health("new-1", Draining)
			x.is("db-1", StateDraining, "told under its new name")
			continue
		}
		x.is("db-1", StateRemoved, "nothing answers on its connections")
		x.is("new-1", StateReady, "a new database")
		if v, _ := x.m.View(); v.Len() != 6 {
			t.Errorf("%d members", v.Len())
		} else if e, _ := v.Get("new-1"); e.RestartedAt != 100*s {
			t.Errorf("it is not known to be cold: %+v", e)
		}
	}
	x := begin(t, 3)
	f := x.facts["db-1"]
	f.Address = "10.0.9.9:5432"
	x.facts["db-1"] = f
	x.news()
	if v, _ := x.m.View(); v.Len() != 3 {
		t.Errorf("%d members", v.Len())
	} else if e, _ := v.Get("db-1"); e.Address != "10.0.9.9:5432" || e.RestartedAt != x.now {
		t.Errorf("a process doesn't move: %+v", e)
	}
	x.pass(5 * s)
	f.Zone = "north"
	x.facts["db-1"] = f
	x.news()
	v, _ := x.m.View()
	if e, _ := v.Get("db-1"); e.Zone != "north" || e.RestartedAt != 100*s {
		t.Errorf("it has begun once, not with each change: %+v", e)
	}
}

// Who knows of no leader is believed in a drain, and in nothing else.
func TestWithoutALeader(t *testing.T) {
	x := begin(t, 4)
	x.m.Update(x.now, "c", Update{Complete: true, NoLeader: true, Listings: []Listing{{ID: "db-0", Address: "10.0.0.1:5432", Health: Maintenance},
		{ID: "db-1", Address: "10.0.0.2:5432", Health: Critical}}})
	x.look()
	x.is("db-0", StateDraining, "a drain")
	x.pass(60 * s)
	for _, id := range []string{"db-1", "db-2", "db-3"} {
		x.is(id, StateReady, "the rest is nobody's word")
	}
	if c := x.m.Catalogues(x.now)[0]; c.LastError == "" || c.Failures != 1 {
		t.Errorf("%+v", c)
	}
}

// Ids given twice, two nodes with one address, names for addresses: the first counts, the others are told.
func TestWhatCanNotBe(t *testing.T) {
	x := begin(t, 3)
	x.m.Update(x.now, "c", Update{Complete: true, Listings: []Listing{x.facts["db-0"], x.facts["db-1"], x.facts["db-2"],
		{ID: "db-1", Address: "10.0.0.77:1"}, {ID: "db-7", Address: "10.0.0.1:5432"}, {ID: "db-8", Address: "db8.example:5432"}}, Skipped: 2})
	x.look()
	x.all(StateReady)
	c := x.m.Catalogues(x.now)[0]
	if v, _ := x.m.View(); v.Len() != 3 || c.Skipped != 5 {
		t.Errorf("%d members, %+v", v.Len(), c)
	}
}

// A platform's own list binds, in both directions and at once.
func TestAListThatBinds(t *testing.T) {
	x := begin(t, 3)
	x.m.AddCatalogue("platform", Trust{Authoritative: true})
	own := []Listing{{ID: "p0", Address: "10.1.0.1:1"}, {ID: "p1", Address: "10.1.0.2:1"}, {ID: "p2", Address: "10.1.0.3:1"}, {ID: "p3", Address: "10.1.0.4:1"}}
	x.m.Update(x.now, "platform", Update{Complete: true, Listings: own})
	x.look()
	x.is("p0", StateReady, "listed")
	x.m.Update(x.now, "platform", Update{Listings: []Listing{{ID: "p0", Health: Terminated}}})
	x.look()
	x.is("p0", StateRemoved, "terminated")
	x.m.MarkAlive(x.now, "p1", s)
	x.m.Update(x.now, "platform", Update{Complete: true})
	x.look()
	for _, id := range []string{"p1", "p2", "p3"} {
		x.is(id, StateRemoved, "all left out, at once, though it answers")
	}
	x.all(StateReady) // the other catalogue's
	x.m.DropCatalogue(x.now, "c")
	x.look()
	x.all(StateReady)
	x.pass(11 * s)
	x.all(StateRemoved)
}

// Two catalogues under other names: one member, and the drain of either counts. A catalogue that falls silent loses its weight.
func TestTwoCatalogues(t *testing.T) {
	x := begin(t, 3)
	x.m.AddCatalogue("d", Trust{Weight: 0.9})
	x.m.Update(x.now, "d", Update{Complete: true, Listings: []Listing{{ID: "other-name", Address: "10.0.0.1:5432", Zone: "north", Role: Primary}}})
	x.look()
	v, _ := x.m.View()
	if e, ok := v.Get("db-0"); v.Len() != 3 || !ok || e.Zone != "north" || e.Role != Primary {
		t.Errorf("%d members, %+v", v.Len(), e)
	}
	for range 20 { // d falls silent for 100 s
		x.pass(5 * s)
		x.news()
	}
	v, _ = x.m.View()
	if e, _ := v.Get("db-0"); e.Zone != "" {
		t.Errorf("the word of the silent one still counts: %+v", e)
	}
	x.m.Update(x.now, "d", Update{Complete: true, Listings: []Listing{{ID: "other-name", Address: "10.0.0.1:5432", Health: Draining}}})
	x.look()
	x.is("db-0", StateDraining, "by its other name")
	for _, e := range x.m.Explain(x.now) {
		if e.ID == "db-0" && (len(e.Evidence) != 2 || e.Evidence[0].Source != "d" || e.Evidence[0].Confidence < 0.8) {
			t.Errorf("%+v", e.Evidence)
		}
	}
}

// Views share their structure, and an old one never changes.
func TestViewsAreVersions(t *testing.T) {
	x := begin(t, 4)
	old, n := x.m.View()
	x.health("db-1", Draining)
	now, k := x.m.View()
	a, _ := old.Get("db-1")
	b, _ := now.Get("db-1")
	if a.State != StateReady || b.State != StateDraining || n == k {
		t.Errorf("%v and %v, versions %d and %d", a.State, b.State, n, k)
	}
}

// An hour of churn with ever new ids and addresses leaves nothing behind.
func TestChurnLeavesNothing(t *testing.T) {
	x := begin(t, 0)
	for i := range 3600 {
		n := Update{Complete: true}
		for k := range 8 {
			id := i/4 + k
			n.Listings = append(n.Listings, Listing{ID: fmt.Sprintf("i-%d", id), Address: fmt.Sprintf("10.%d.%d.%d:1", id>>16&255, id>>8&255, id&255)})
		}
		x.m.Update(x.now, "c", n)
		x.pass(s)
	}
	if len(x.m.order) > 14 || len(x.m.byID) > 14 || len(x.m.byAddress) > 14 || x.m.view.Len() > 12 {
		t.Errorf("%d members, %d ids, %d addresses, %d in the view", len(x.m.order), len(x.m.byID), len(x.m.byAddress), x.m.view.Len())
	}
}

// Whatever is told and seen: the view holds what the changes say, a drain that is told is a drain, and who is passing and listed
// without flaps is in.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := begin(t, 0)
		x.m.AddCatalogue("d", Trust{})
		seen := map[string]State{}
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			x.now += time.Duration(rapid.IntRange(0, 3000).Draw(rt, "gap")) * ms
			id := fmt.Sprintf("m-%d", rapid.IntRange(0, 5).Draw(rt, "id"))
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0, 1:
				n := Update{Complete: rapid.Bool().Draw(rt, "whole")}
				for range rapid.IntRange(0, 6).Draw(rt, "facts") {
					n.Listings = append(n.Listings, Listing{ID: fmt.Sprintf("m-%d", rapid.IntRange(0, 5).Draw(rt, "id")), Address: fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(0, 5).Draw(rt, "at")),
						Health: Health(rapid.IntRange(0, 5).Draw(rt, "health"))})
				}
				x.m.Update(x.now, rapid.SampledFrom([]string{"c", "d"}).Draw(rt, "source"), n)
			case 2:
				x.m.MarkAlive(x.now, id, x.now-time.Duration(rapid.IntRange(0, 9).Draw(rt, "up"))*s)
			case 3:
				x.m.MarkSilent(x.now, id)
			default:
				x.m.Tick(x.now)
			}
			for _, e := range x.m.TakeChanges() {
				seen[e.ID] = e.State
			}
		}
		v, _ := x.m.View()
		for id, st := range seen {
			if e, in := v.Get(id); in != (st != StateRemoved) || in && e.State != st {
				rt.Fatalf("%s: changes say %v, the view %+v, %v", id, st, e, in)
			}
		}
		for _, e := range x.m.Explain(x.now) {
			for _, k := range e.Evidence {
				if (k.Claim == "draining" || k.Claim == "maintenance") && e.State != StateDraining {
					rt.Fatalf("%s is %v, though %s says %s", e.ID, e.State, k.Source, k.Claim)
				}
			}
		}
	})
}

// BenchmarkDelta is what one change among 5,000 instances costs.
func BenchmarkDelta(b *testing.B) {
	m := New(Config{})
	m.AddCatalogue("c", Trust{})
	n := Update{Complete: true}
	for i := range 5000 {
		n.Listings = append(n.Listings, Listing{ID: fmt.Sprintf("i-%d", i), Address: fmt.Sprintf("10.0.%d.%d:1", i>>8, i&255)})
	}
	m.Update(s, "c", n)
	m.TakeChanges()
	b.ReportAllocs()
	for i := range b.N {
		f := &n.Listings[i%5000]
		f.Zone = fmt.Sprint(i)
		m.Update(s+time.Duration(i)*ms, "c", n)
		if got := len(m.TakeChanges()); got != 1 {
			b.Fatal(got)
		}
	}
}
