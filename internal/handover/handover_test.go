package handover

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms = time.Millisecond
	s  = time.Second
)

// three makes a group of three whose first member is primary, at 10 s.
func three(t *testing.T, cfg Config) (*Tracker, *Group, []*Member) {
	t.Helper()
	cfg.Hold = true
	h := New(cfg)
	if err := h.cfg.Validate(); err != nil {
		t.Fatal(err)
	}
	g := h.NewGroup(0)
	var seats []*Member
	for id := uint64(1); id <= 3; id++ {
		x := g.AddMember(id)
		g.SetDiscoveryState(9*s, x, Ready)
		role := Replica
		if id == 1 {
			role = Primary
		}
		g.NoteRole(10*s, x, role, 10*s)
		seats = append(seats, x)
	}
	if g.Primary() != seats[0] || g.phase != PhaseSteady {
		t.Fatalf("%v", g.Status(10*s))
	}
	return h, g, seats
}

func wants(t *testing.T, g *Group, now time.Duration, phase Phase, primary uint64) {
	t.Helper()
	g.Tick(now)
	st := g.Status(now)
	if st.Phase != phase || st.Primary != primary {
		t.Fatalf("at %v: %v, primary %d; want %v, %d", now, st.Phase, st.Primary, phase, primary)
	}
}

func TestADrainHandsOver(t *testing.T) {
	h, g, m := three(t, Config{})
	g.SetDiscoveryState(11*s, m[0], Draining)
	wants(t, g, 11*s, PhaseDraining, 0)
	g.NoteRole(11*s+200*ms, m[0], Primary, 11*s+200*ms) // it finishes what it has; nothing new goes there
	wants(t, g, 11*s+300*ms, PhaseDraining, 0)
	g.NoteRole(11*s+600*ms, m[1], Primary, 11*s+590*ms)
	wants(t, g, 11*s+600*ms, PhaseFound, 2)
	g.NoteWriteServed(11*s + 700*ms)
	wants(t, g, 11*s+700*ms, PhaseSettling, 2)
	wants(t, g, 14*s, PhaseSteady, 2)
	e := h.RecentFailovers()
	if len(e) != 1 || e[0].Cause != CausePlanned || e[0].OldPrimary != 1 || e[0].NewPrimary != 2 || e[0].Duration != 600*ms {
		t.Errorf("%+v", e)
	}
}

func TestADeathIsLostAndThenAnElection(t *testing.T) {
	h, g, m := three(t, Config{})
	g.NoteSilence(12*s, m[0])
	wants(t, g, 12*s, PhaseLost, 0)
	wants(t, g, 13*s+ms, PhaseElecting, 0)
	g.NoteRole(15*s, m[2], Primary, 15*s)
	wants(t, g, 15*s, PhaseFound, 3)
	if e := h.RecentFailovers(); len(e) != 1 || e[0].Cause != CauseSilent || e[0].Duration != 3*s {
		t.Errorf("%+v", e)
	}
}

// A primary that dies while it hands over: the switch goes on, as a death, whose end is expected later.
func TestADrainThatDies(t *testing.T) {
	_, g, m := three(t, Config{})
	g.SetDiscoveryState(11*s, m[0], Draining)
	near := g.Status(11*s + 300*ms).ExpectedWait
	g.NoteSilence(11*s+300*ms, m[0])
	wants(t, g, 11*s+300*ms, PhaseLost, 0)
	if far := g.Status(11*s + 300*ms).ExpectedWait; far < 2*near || g.cause != CauseSilent {
		t.Errorf("expected in %v, while it drained in %v, cause %v", far, near, g.cause)
	}
}

// Two switches within a second, the newly elected draining at once.
func TestTheNewlyElectedDrains(t *testing.T) {
	h, g, m := three(t, Config{})
	g.SetDiscoveryState(11*s, m[0], Draining)
	g.NoteRole(11*s+500*ms, m[1], Primary, 11*s+500*ms)
	g.SetDiscoveryState(11*s+600*ms, m[1], Draining)
	wants(t, g, 11*s+600*ms, PhaseDraining, 0)
	g.NoteRole(11*s+990*ms, m[2], Primary, 11*s+990*ms)
	wants(t, g, 11*s+990*ms, PhaseFound, 3)
	if e := h.RecentFailovers(); len(e) != 2 || e[0].OldPrimary != 2 || e[1].OldPrimary != 1 {
		t.Errorf("%+v", e)
	}
	if g.Term() != 3 {
		t.Errorf("term %d", g.Term())
	}
}

// A ping's answer that left before the switch, and comes after it, names nobody.
func TestAnOldWordNamesNobody(t *testing.T) {
	_, g, m := three(t, Config{})
	g.NoteSilence(12*s, m[0])
	g.NoteRole(15*s, m[1], Primary, 15*s)
	g.NoteResponse(15*s+10*ms, m[0])
	g.NoteRole(15*s+10*ms, m[0], Primary, 11*s+900*ms) // it was true then
	wants(t, g, 15*s+10*ms, PhaseFound, 2)
	g.NoteRole(15*s+20*ms, m[1], Replica, 14*s) // it was, then
	wants(t, g, 15*s+20*ms, PhaseFound, 2)
}

// A hang that ends after the election: the old primary still believes, and answers late. Its words are new, its claim is old.
func TestTheOldPrimaryStillBelieves(t *testing.T) {
	_, g, m := three(t, Config{})
	g.NoteSilence(12*s, m[0])
	g.NoteRole(15*s, m[1], Primary, 15*s)
	g.NoteResponse(16*s, m[0])
	for at := 16 * s; at < 18*s; at += 100 * ms {
		g.NoteRole(at, m[0], Primary, at)
		if p := g.Primary(); p != m[1] {
			t.Fatalf("at %v the old primary is believed", at)
		}
		g.NoteRole(at+50*ms, m[1], Primary, at+50*ms)
		if g.RivalPrimaries() != 1 {
			t.Fatalf("%d rivals", g.RivalPrimaries())
		}
	}
	if g.Term() != 2 {
		t.Errorf("term %d: two claims flapped", g.Term())
	}
	g.NoteRole(18*s, m[0], Replica, 18*s)
	if g.RivalPrimaries() != 0 || g.Primary() != m[1] {
		t.Error("the truth changes nothing")
	}
}

// Elected, lost, and the first elected again while nobody could hear of it: the silent one's later claim gives way to a claim
// that goes on well behind its silence.
func TestASilentClaimGivesWay(t *testing.T) {
	_, g, m := three(t, Config{})
	g.NoteSilence(12*s, m[0])
	g.NoteRole(15*s, m[1], Primary, 15*s)
	g.NoteResponse(15*s+500*ms, m[0])
	g.NoteSilence(20*s, m[1])
	g.NoteRole(20*s+100*ms, m[0], Primary, 20*s+100*ms)
	wants(t, g, 20*s+100*ms, PhaseLost, 0) // as in the test above, it may only believe so
	g.NoteRole(21*s+100*ms, m[0], Primary, 21*s+100*ms)
	wants(t, g, 21*s+100*ms, PhaseFound, 1)
}

// A list that names the old primary for ten seconds more outweighs nobody's own word.
func TestAStaleListNamesNobody(t *testing.T) {
	_, g, m := three(t, Config{})
	g.NoteSilence(12*s, m[0])
	g.NoteRole(15*s, m[1], Primary, 15*s)
	for at := 15 * s; at < 25*s; at += s {
		g.NoteResponse(at, m[0])
		g.NoteListedPrimary(at, m[0], at-5*s, true)
		if g.Primary() != m[1] {
			t.Fatalf("at %v the list is believed", at)
		}
	}
	g.NoteStart(25*s, m[2], 25*s, true)
	g.NoteListedPrimary(26*s, m[2], 26*s, true)
	if g.Primary() != m[1] {
		t.Error("the list's word on one that has not spoken outweighs one that has")
	}
}

// A set that loses all but one member.
func TestAGroupThatIsLeftWithOne(t *testing.T) {
	_, g, m := three(t, Config{})
	g.NoteSilence(11*s, m[0])
	g.NoteSilence(11*s, m[1])
	g.SetDiscoveryState(11*s, m[1], Unlisted)
	g.RemoveMember(12*s, m[1])
	wants(t, g, 13*s, PhaseElecting, 0)
	g.NoteRole(17*s, m[2], Primary, 17*s)
	wants(t, g, 17*s, PhaseFound, 3)
	g.RemoveMember(18*s, m[0])
	g.NoteSilence(19*s, m[2])
	wants(t, g, 19*s, PhaseLost, 0)
	g.NoteResponse(19*s+50*ms, m[2])
	wants(t, g, 19*s+50*ms, PhaseFound, 3)
	if g.Term() != 2 {
		t.Errorf("term %d: one that returns unchanged begins none", g.Term())
	}
}

func write(id uint64, at, limit time.Duration) HeldRequest {
	return HeldRequest{ID: id, ReceivedAt: at, Deadline: at + limit, ServiceTime: 80 * ms, Aim: 600 * ms, LateFactor: 0.3, Worth: 3, Size: 100}
}

func TestHeldWhereItPays(t *testing.T) {
	_, g, m := three(t, Config{})
	if ok, _, _ := g.Hold(10*s, write(1, 10*s, 3*s)); ok {
		t.Error("held though there is a primary")
	}
	g.SetDiscoveryState(11*s, m[0], Draining)
	if ok, _, _ := g.Hold(11*s, write(1, 11*s, 3*s)); !ok {
		t.Error("a drain takes 0.8 s, a write has 3")
	}
	short := write(2, 11*s, 300*ms)
	if ok, hint, _ := g.Hold(11*s, short); ok || hint < 400*ms || hint > 800*ms {
		t.Errorf("held with 300 ms left: %v; come back after %v", ok, hint)
	}
	_, g, m = three(t, Config{})
	g.NoteSilence(12*s, m[0])
	if ok, hint, _ := g.Hold(12*s, write(1, 12*s, 3*s)); ok || hint < 3*s {
		t.Errorf("held at the beginning of a death, which takes 2 to 7 s; hint %v", hint)
	}
	ran := write(3, 12*s, 3*s) // it can only fail, early or late: that is no reason to keep it for nothing
	ran.MayHaveRun = true
	if ok, _, _ := g.Hold(12*s, ran); ok {
		t.Error("one that may have run is held though nobody will take it in time")
	}
	if ok, _, _ := g.Hold(16*s, write(2, 16*s, 3*s)); !ok {
		t.Error("refused when the election is due")
	}
}

// Where there is no work to spare, a write that would come late takes from others more than it earns; one that may have run
// is not weighed, and where there is some to spare nothing is.
func TestHoldingHasItsPrice(t *testing.T) {
	_, g, m := three(t, Config{})
	g.SetDiscoveryState(11*s, m[0], Draining)
	q := write(1, 11*s, 3*s) // in its aim with 0.2, late otherwise: it earns 3 * 0.45 for 0.08 s of work
	for _, c := range []struct {
		price float64
		ran   bool
		held  bool
	}{{0, false, true}, {10, false, true}, {36, false, false}, {36, true, true}} {
		q.ShadowPrice, q.MayHaveRun = c.price, c.ran
		if ok, _, _ := g.Hold(11*s, q); ok != c.held {
			t.Errorf("price %v, may have run %v: held %v", c.price, c.ran, ok)
		}
	}
	late := write(2, 11*s+500*ms, 3*s) // it comes when the switch is nearly over, and will be in its aim
	late.ShadowPrice = 30
	if ok, _, _ := g.Hold(11*s+500*ms, late); !ok {
		t.Error("one that will be in its aim is refused")
	}
}

// What was likely and isn't any more goes at once, before half of its time where that can be.
func TestWhatNoLongerPaysIsLetGo(t *testing.T) {
	h, g, m := three(t, Config{})
	for i := range 30 { // a group whose drains take 0.5 s
		h.lengths.add(CausePlanned, 0, 500*ms+time.Duration(i)*ms, 10*s)
	}
	g.SetDiscoveryState(11*s, m[0], Draining)
	q := write(1, 11*s, 3*s)
	if ok, _, _ := g.Hold(11*s, q); !ok {
		t.Fatal("not held")
	}
	q.AlreadyHeld = true
	gone := time.Duration(0)
	for now := 11 * s; now < 14*s; now += 10 * ms {
		if ok, _, _ := g.Hold(now, q); !ok {
			gone = now - 11*s
			break
		}
	}
	if gone == 0 || gone > 2900*ms || g.HeldCount() != 0 {
		t.Errorf("let go after %v, %d held", gone, g.HeldCount())
	}
	if gone < 800*ms {
		t.Errorf("let go after %v already", gone)
	}
}

// The room is kept by worth: what earns least is pushed out at once, and what earns less than all that is there stays out.
func TestTheRoomIsKeptByWorth(t *testing.T) {
	_, g, m := three(t, Config{MostHeld: 3, MostBytes: 1000})
	g.SetDiscoveryState(11*s, m[0], Draining)
	hold := func(id uint64, worth float64, size int) (bool, []uint64) {
		q := write(id, 11*s, 3*s)
		q.Worth, q.Size = worth, size
		ok, _, pushed := g.Hold(11*s, q)
		return ok, pushed
	}
	for id := uint64(1); id <= 3; id++ {
		if ok, _ := hold(id, float64(id), 100); !ok {
			t.Fatal(id)
		}
	}
	if ok, _ := hold(4, 0.5, 100); ok {
		t.Error("the least of all is let in")
	}
	if ok, pushed := hold(5, 2.5, 100); !ok || len(pushed) != 1 || pushed[0] != 1 {
		t.Errorf("%v, pushed %v", ok, pushed)
	}
	if ok, pushed := hold(6, 9, 900); !ok || len(pushed) != 3-1 && len(pushed) != 3 {
		t.Errorf("900 of 1,000 bytes: %v, pushed %v", ok, pushed)
	}
	if ok, _ := hold(7, 99, 1001); ok {
		t.Error("larger than the room")
	}
	if st := g.Status(11 * s); st.HeldBytes > 1000 || st.Held > 3 {
		t.Errorf("%+v", st)
	}
}

// Who can still be answered in aim goes first, the most pressing before the others; one in four is one who comes late anyway.
func TestTheOrderOfLeaving(t *testing.T) {
	_, g, m := three(t, Config{})
	g.SetDiscoveryState(11*s, m[0], Draining)
	for id := uint64(1); id <= 4; id++ { // late by then, the last of them with the least time left
		g.Hold(11*s, write(id, 11*s, 3*s-time.Duration(id)*ms))
	}
	for id := uint64(5); id <= 9; id++ {
		g.Hold(11*s+500*ms, write(id, 11*s+time.Duration(400+10*id)*ms, 2*s))
	}
	got := g.ReleaseOrder(11*s + 550*ms)
	want := []uint64{5, 6, 7, 4, 8, 9, 3, 2, 1}
	if !slices.Equal(got, want) {
		t.Fatalf("%v, want %v", got, want)
	}
	for now := 11 * s; now < 14*s; now += 100 * ms { // whenever, all of them
		if got := g.ReleaseOrder(now); len(got) != 9 {
			t.Fatalf("%v at %v", got, now)
		}
	}
}

// Behind a new primary that is full, those wait who can be served before their time is over.
func TestWaitingForRoomAtANewPrimary(t *testing.T) {
	_, g, m := three(t, Config{})
	g.SetDiscoveryState(11*s, m[0], Draining)
	g.NoteRole(11*s+500*ms, m[1], Primary, 11*s+500*ms)
	q := write(1, 11*s, 3*s)
	if ok, _, _ := g.Hold(11*s+500*ms, q); !ok {
		t.Error("the first in line is sent away")
	}
	q.ID, q.QueuedAhead = 2, 200 // 200 * 80 ms / 3 = 5.3 s
	if ok, _, _ := g.Hold(11*s+500*ms, q); ok {
		t.Error("the 200th is held for 2.5 s")
	}
	g.NoteWriteServed(11*s + 600*ms)
	g.Tick(14 * s)
	if ok, _, _ := g.Hold(14*s, write(3, 14*s, 3*s)); ok {
		t.Error("held behind a primary that is no news any more: limits decide there")
	}
}

// Against numbers worked out by hand: the prior's nine points of weight 1/3 each, and 0.3 beyond them.
func TestWhatIsLikely(t *testing.T) {
	h := New(Config{})
	close := func(got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%v, want %v", got, want)
		}
	}
	// Points at 2.277, 2.833, 3.388, ... 6.722 s. Within 3 s of the beginning there are two of them, and 0.3 beyond at 3/3.
	close(h.lengths.within(CauseSilent, 0, 0, 0, 3*s), (2.0/3+0.3)/3.3)
	// At 3 s two are over; three more lie within another 2 s.
	close(h.lengths.within(CauseSilent, 0, 0, 3*s, 2*s), (3.0/3+0.3*2/5)/(7.0/3+0.3))
	// Beyond all of them it lasts about as long again.
	close(h.lengths.within(CauseSilent, 0, 0, 8*s, 8*s), 0.5)
	if got := h.lengths.remaining(CauseSilent, 0, 0, 0, 0.5); (got - 4500*ms).Abs() > ms {
		t.Errorf("the middle is %v", got)
	}
	if got := h.lengths.remaining(CauseSilent, 0, 0, 9*s, 0.5); got != 9*s {
		t.Errorf("beyond all: %v", got)
	}
}

// A group learns its own lengths, another's count less, and old ones fade.
func TestLengthsAreLearned(t *testing.T) {
	h := New(Config{Fade: time.Minute})
	for i := range 20 {
		h.lengths.add(CauseSilent, 1, 1500*ms, time.Duration(i)*s)
	}
	own, other := h.lengths.within(CauseSilent, 1, 20*s, 0, 2*s), h.lengths.within(CauseSilent, 2, 20*s, 0, 2*s)
	if before := New(Config{}).lengths.within(CauseSilent, 1, 20*s, 0, 2*s); own < 0.75 || other > own || other < before+0.1 {
		t.Errorf("own %.2f, another's %.2f, before %.2f", own, other, before)
	}
	if later := h.lengths.within(CauseSilent, 1, 20*s+10*time.Minute, 0, 2*s); later > 0.2 {
		t.Errorf("ten half-lives later: %.2f", later)
	}
}

// Whatever was seen, probabilities are some, grow with time, and agree with what is left.
func TestProbabilitiesMakeSense(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(Config{})
		now := time.Minute
		for range rapid.IntRange(0, 100).Draw(t, "switches") {
			c := Cause(rapid.IntRange(0, int(causeCount)-1).Draw(t, "cause"))
			h.lengths.add(c, rapid.IntRange(0, 3).Draw(t, "group"), time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms"))*ms, now)
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * s
		}
		c, g := Cause(rapid.IntRange(0, int(causeCount)-1).Draw(t, "of")), rapid.IntRange(0, 4).Draw(t, "for")
		elapsed := time.Duration(rapid.IntRange(0, 30000).Draw(t, "elapsed")) * ms
		last := 0.0
		for d := time.Duration(0); d < 40*s; d += 500 * ms {
			p := h.lengths.within(c, g, now, elapsed, d)
			if p < last-1e-9 || p > 1+1e-9 || math.IsNaN(p) {
				t.Fatalf("within %v: %v after %v", d, p, last)
			}
			last = p
		}
		if left := h.lengths.remaining(c, g, now, elapsed, 0.5); left < 0 {
			t.Fatalf("%v are left", left)
		}
	})
}

// A repeat must not be under way any more when the group would take it for a new one, its work and the ways included.
func TestTheWindowForRepeats(t *testing.T) {
	c := Config{}.WithDefaults()
	until := c.ResendDeadline(10*s, 3*s, 200*ms)
	if until != 10*s+3*s-200*ms-100*ms {
		t.Errorf("%v", until)
	}
	if c.ResendDeadline(10*s, 3*s, 20*s) != 12*s-100*ms {
		t.Error("work beyond a third of the window leaves nothing")
	}
}

// sure is how certainly a member counts as started anew, and since when.
func sure(t *testing.T, x *Member, now, from time.Duration, least, most float64, why string) {
	t.Helper()
	if at, p := x.ColdSince(now, 13*s); at != from && p > 0 || p < least || p > most {
		t.Errorf("%s: cold since %v with %.3f, want %v with %v to %v", why, at, p, from, least, most)
	}
}

// away makes a member that was silent from 20 s on for so long; refused tells that a dial was refused meanwhile.
func away(t *testing.T, long time.Duration, refused bool) (*Group, *Member) {
	t.Helper()
	_, g, m := three(t, Config{})
	g.NoteSilence(20*s, m[1])
	if refused {
		m[1].NoteRefusedDial()
	}
	if back, doubted := g.NoteResponse(20*s+long, m[1]); !back || doubted != (long > s || refused) {
		t.Fatalf("after %v: back %v, doubted %v", long, back, doubted)
	}
	return g, m[1]
}

// Back from a silence: a cut or a restart? Each kind of evidence moves the doubt, and the two that prove end it.
func TestDoubtAboutARestart(t *testing.T) {
	_, x := away(t, 900*ms, false)
	sure(t, x, 21*s, 0, 0, 0, "nothing starts anew within a second")
	_, x = away(t, 900*ms, true)
	sure(t, x, 21*s, 20*s+900*ms, 0.9, 1, "unless nothing listened")
	_, x = away(t, 3*s, false)
	sure(t, x, 24*s, 23*s, 0.5, 0.5, "nothing is known")
	sure(t, x, 37*s, 0, 0, 0, "its time is over")

	_, x = away(t, 3*s, true)
	x.NoteAnswerOnConnection(15 * s)
	sure(t, x, 24*s, 0, 0, 0, "a connection from before the silence answers on, whoever refused a dial")
	_, x = away(t, 3*s, false)
	x.NoteAnswerOnConnection(23 * s)
	x.NoteAnswerOnConnection(0)
	sure(t, x, 24*s, 23*s, 0.5, 0.5, "a new connection, or nothing, proves nothing")

	x.NoteNoListedStart(24*s + 500*ms)
	sure(t, x, 25*s, 23*s, 0.35, 0.45, "the list has had some of its time")
	x.NoteNoListedStart(27 * s)
	sure(t, x, 27*s, 23*s, 0.1, 0.25, "most of it")
	x.NoteNoListedStart(28 * s)
	sure(t, x, 28*s, 0, 0, 0, "all")

	_, x = away(t, 3*s, false)
	x.NotePosition(23*s, 22*s+900*ms)
	sure(t, x, 23*s, 23*s, 0.15, 0.25, "its log went on")
	x.NotePosition(23*s, 23*s)
	sure(t, x, 23*s, 23*s, 0.15, 0.25, "which counts once")
	x.NoteNoListedStart(27*s + 700*ms)
	sure(t, x, 28*s, 0, 0, 0, "so the list needs less")
	_, x = away(t, 3*s, false)
	x.NotePosition(23*s, 20*s)
	sure(t, x, 23*s, 23*s, 0.5, 0.5, "its log stood still: a hang as well")

	_, x = away(t, 3*s, false)
	x.NoteConnectionEvidence(ConnectionEnded)
	x.NoteConnectionEvidence(ConnectionUnresponsive)
	x.NoteConnectionEvidence(ConnectionEnded)
	sure(t, x, 23*s, 23*s, 0.94, 0.96, "a connection from before ended, which counts once")
	_, x = away(t, 3*s, false)
	x.NoteConnectionEvidence(ConnectionUnresponsive)
	x.NoteConnectionEvidence(ConnectionEnded)
	sure(t, x, 23*s, 23*s, 0.03, 0.04, "or is there still, and mute")
	x.NoteNoListedStart(23*s + 600*ms)
	sure(t, x, 24*s, 0, 0, 0, "so that the list soon ends the doubt")
	_, in, seats := three(t, Config{})
	in.NoteSilence(20*s, seats[1])
	seats[1].NoteConnectionEvidence(ConnectionEnded) // while it was silent
	in.NoteResponse(23*s, seats[1])
	seats[1].NoteConnectionEvidence(ConnectionUnresponsive)
	sure(t, seats[1], 23*s, 23*s, 0.94, 0.96, "it ended before the first word")

	_, x = away(t, 3*s, true)
	x.NoteNoListedStart(29 * s)
	sure(t, x, 29*s, 23*s, 0.4, 0.6, "a list that stands still names nobody: a refused dial outweighs it")

	g, x := away(t, 3*s, false)
	g.NoteStart(25*s, x, 22*s, true)
	x.NoteNoListedStart(33 * s)
	sure(t, x, 33*s, 22*s, 1, 1, "the list names its start")
	g, x = away(t, 3*s, false)
	g.NoteStart(25*s, x, 19*s, true)
	sure(t, x, 26*s, 23*s, 1, 1, "an earlier start says nothing of this silence, but is one")
}

// How late the list is, and what silences were, is learned.
func TestDoubtsAreLearnedFrom(t *testing.T) {
	h, g, m := three(t, Config{})
	if h.lags.beyond(s) < 0.75 || h.lags.beyond(6*s) != lateTail || h.restarts.before() != 0.5 {
		t.Error(h.lags.beyond(s), h.lags.beyond(6*s), h.restarts.before())
	}
	now := 20 * s
	for range 20 { // each silence is a start, named 300 ms behind it
		g.NoteSilence(now, m[1])
		g.NoteResponse(now+3*s, m[1])
		g.NoteStart(now+2*s+300*ms, m[1], now+2*s, true)
		now += 30 * s
	}
	if h.lags.beyond(s) > 0.2 || h.restarts.before() != 1-leastOne {
		t.Error(h.lags.beyond(s), h.restarts.before())
	}
	g.NoteSilence(now, m[2])
	g.NoteResponse(now+3*s, m[2])
	sure(t, m[2], now+3*s, now+3*s, 0.85, 0.95, "silences were starts")
	m[2].NoteNoListedStart(now + 5*s)
	sure(t, m[2], now+5*s, now+3*s, 0.3, 0.7, "but a quick list has named none")
	for range keptLags + 1 {
		h.lags.add(-s) // a clock that is ahead
	}
	if len(h.lags.seen) != keptLags || h.lags.seen[0] != 0 {
		t.Error(len(h.lags.seen))
	}
}

// Doubt is a probability, and further time of a list that names nobody never raises it.
func TestDoubtOnlySinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(Config{})
		g := h.NewGroup(0)
		x := g.AddMember(1)
		for range rapid.IntRange(0, 9).Draw(t, "lags") {
			h.lags.add(time.Duration(rapid.IntRange(-1000, 20000).Draw(t, "lag")) * ms)
		}
		g.NoteSilence(20*s, x)
		if rapid.Bool().Draw(t, "refused") {
			x.NoteRefusedDial()
		}
		g.NoteResponse(20*s+time.Duration(rapid.IntRange(0, 9000).Draw(t, "long"))*ms, x)
		now, last := 30*s, x.RestartProbability()
		for range 30 {
			if now += 300 * ms; rapid.Bool().Draw(t, "placed") {
				x.NotePosition(now, now-50*ms)
			}
			x.NoteNoListedStart(now)
			if p := x.RestartProbability(); p < 0 || p > last {
				t.Fatalf("doubt %v behind %v", p, last)
			} else {
				last = p
			}
		}
	})
}

// A start that was told is certain, whatever is heard behind a later silence.
func TestAStartIsNotUndoneByALaterCut(t *testing.T) {
	for name, evidence := range map[string]func(*Member){"connection": func(x *Member) { x.NoteAnswerOnConnection(19*s + 500*ms) }, "list": func(x *Member) { x.NoteNoListedStart(28 * s) }} {
		_, g, m := three(t, Config{})
		g.NoteStart(19*s, m[1], 19*s, true)
		g.NoteSilence(20*s, m[1])
		g.NoteResponse(22*s, m[1])
		evidence(m[1])
		sure(t, m[1], 28*s, 19*s, 1, 1, name)
	}
}

// A short silence behind a long one: a connection from between the two says nothing of the first.
func TestABlipClearsNoDoubt(t *testing.T) {
	_, g, m := three(t, Config{})
	g.NoteSilence(20*s, m[1])
	g.NoteResponse(23*s, m[1])
	g.NoteSilence(25*s, m[1])
	g.NoteResponse(25*s+200*ms, m[1])
	m[1].NoteAnswerOnConnection(24 * s)
	sure(t, m[1], 26*s, 23*s, 0.5, 0.5, "behind a blip")
	g.NoteSilence(26*s, m[1])
	g.NoteResponse(28*s, m[1])
	m[1].NoteAnswerOnConnection(24 * s) // it may have started anew in the first
	sure(t, m[1], 29*s, 28*s, 0.5, 0.5, "behind a second")
	m[1].NoteAnswerOnConnection(15 * s)
	sure(t, m[1], 29*s, 0, 0, 0, "a connection from before all of them")
}

// The list drops a dead primary before another is elected: the switch goes on, by the clock that has run since the silence.
func TestTheListDropsADeadPrimary(t *testing.T) {
	h, g, m := three(t, Config{})
	g.NoteSilence(12*s, m[0])
	before := g.Status(15 * s).ExpectedWait
	g.SetDiscoveryState(15*s, m[0], Unlisted)
	if after := g.Status(15 * s).ExpectedWait; after != before {
		t.Errorf("expected in %v, and once the list says so in %v", before, after)
	}
	g.RemoveMember(15*s, m[0])
	wants(t, g, 15*s+ms, PhaseElecting, 0)
	if ok, _, _ := g.Hold(16*s, write(1, 16*s, 3*s)); !ok {
		t.Error("refused when the election is due")
	}
	g.NoteRole(16*s+500*ms, m[2], Primary, 16*s+500*ms)
	wants(t, g, 16*s+500*ms, PhaseFound, 3)
	if e := h.RecentFailovers(); len(e) != 1 || e[0].Duration != 4500*ms || e[0].OldPrimary != 1 || e[0].Cause != CauseSilent {
		t.Errorf("%+v", e)
	}
}

func TestSettingsAreChecked(t *testing.T) {
	for _, c := range []Config{{Likely: 2}, {Likely: 0.3, Keep: 0.5}, {Drain: Prior{2 * s, s}}, {Death: Prior{-s, s}}} {
		c = c.WithDefaults()
		if c.Validate() == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}
