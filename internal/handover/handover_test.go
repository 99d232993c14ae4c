package handover

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// newTestGroup returns a group of three ready members, the first of which is primary at 10 s.
func newTestGroup(t *testing.T, cfg Config) (*Tracker, *Group, []*Member) {
	t.Helper()
	cfg.Hold = true
	tracker := New(cfg)
	if err := tracker.cfg.Validate(); err != nil {
		t.Fatal(err)
	}
	g := tracker.NewGroup(0)
	var members []*Member
	for id := uint64(1); id <= 3; id++ {
		m := g.AddMember(id)
		g.SetDiscoveryState(9*sec, m, Ready)
		role := Replica
		if id == 1 {
			role = Primary
		}
		g.NoteRole(10*sec, m, role, 10*sec)
		members = append(members, m)
	}
	if g.Primary() != members[0] || g.phase != PhaseSteady {
		t.Fatalf("%v", g.Status(10*sec))
	}
	return tracker, g, members
}

func checkPhase(t *testing.T, g *Group, now time.Duration, phase Phase, primary uint64) {
	t.Helper()
	g.Tick(now)
	st := g.Status(now)
	if st.Phase != phase || st.Primary != primary {
		t.Fatalf("at %v: %v, primary %d; want %v, %d", now, st.Phase, st.Primary, phase, primary)
	}
}

func TestDrainIsPlannedFailover(t *testing.T) {
	tracker, g, members := newTestGroup(t, Config{})
	g.SetDiscoveryState(11*sec, members[0], Draining)
	checkPhase(t, g, 11*sec, PhaseDraining, 0)
	g.NoteRole(11*sec+200*ms, members[0], Primary, 11*sec+200*ms) // it finishes its requests and gets no new ones
	checkPhase(t, g, 11*sec+300*ms, PhaseDraining, 0)
	g.NoteRole(11*sec+600*ms, members[1], Primary, 11*sec+590*ms)
	checkPhase(t, g, 11*sec+600*ms, PhaseFound, 2)
	g.NoteWriteServed(11*sec + 700*ms)
	checkPhase(t, g, 11*sec+700*ms, PhaseSettling, 2)
	checkPhase(t, g, 14*sec, PhaseSteady, 2)
	e := tracker.RecentFailovers()
	if len(e) != 1 || e[0].Cause != CausePlanned || e[0].OldPrimary != 1 || e[0].NewPrimary != 2 || e[0].Duration != 600*ms {
		t.Errorf("%+v", e)
	}
}

func TestSilentPrimaryIsLostThenReplaced(t *testing.T) {
	tracker, g, members := newTestGroup(t, Config{})
	g.NoteSilence(12*sec, members[0])
	checkPhase(t, g, 12*sec, PhaseLost, 0)
	checkPhase(t, g, 13*sec+ms, PhaseElecting, 0)
	g.NoteRole(15*sec, members[2], Primary, 15*sec)
	checkPhase(t, g, 15*sec, PhaseFound, 3)
	if e := tracker.RecentFailovers(); len(e) != 1 || e[0].Cause != CauseSilent || e[0].Duration != 3*sec {
		t.Errorf("%+v", e)
	}
}

// A primary that fails while it drains: the failover continues with another cause, and is expected to take longer.
func TestPrimaryFailsWhileDraining(t *testing.T) {
	_, g, members := newTestGroup(t, Config{})
	g.SetDiscoveryState(11*sec, members[0], Draining)
	whileDraining := g.Status(11*sec + 300*ms).ExpectedWait
	g.NoteSilence(11*sec+300*ms, members[0])
	checkPhase(t, g, 11*sec+300*ms, PhaseLost, 0)
	if afterFailure := g.Status(11*sec + 300*ms).ExpectedWait; afterFailure < 2*whileDraining || g.cause != CauseSilent {
		t.Errorf("expected wait %v, while draining %v, cause %v", afterFailure, whileDraining, g.cause)
	}
}

// Two failovers within a second, as the new primary drains at once.
func TestNewPrimaryDrainsAtOnce(t *testing.T) {
	tracker, g, members := newTestGroup(t, Config{})
	g.SetDiscoveryState(11*sec, members[0], Draining)
	g.NoteRole(11*sec+500*ms, members[1], Primary, 11*sec+500*ms)
	g.SetDiscoveryState(11*sec+600*ms, members[1], Draining)
	checkPhase(t, g, 11*sec+600*ms, PhaseDraining, 0)
	g.NoteRole(11*sec+990*ms, members[2], Primary, 11*sec+990*ms)
	checkPhase(t, g, 11*sec+990*ms, PhaseFound, 3)
	if e := tracker.RecentFailovers(); len(e) != 2 || e[0].OldPrimary != 2 || e[1].OldPrimary != 1 {
		t.Errorf("%+v", e)
	}
	if g.Term() != 3 {
		t.Errorf("term %d", g.Term())
	}
}

// A ping answer that was sent before a failover and arrives after it must not change the primary.
func TestOutdatedRoleReportIsIgnored(t *testing.T) {
	_, g, members := newTestGroup(t, Config{})
	g.NoteSilence(12*sec, members[0])
	g.NoteRole(15*sec, members[1], Primary, 15*sec)
	g.NoteResponse(15*sec+10*ms, members[0])
	g.NoteRole(15*sec+10*ms, members[0], Primary, 11*sec+900*ms) // true at that time only
	checkPhase(t, g, 15*sec+10*ms, PhaseFound, 2)
	g.NoteRole(15*sec+20*ms, members[1], Replica, 14*sec) // true at that time only
	checkPhase(t, g, 15*sec+20*ms, PhaseFound, 2)
}

// A primary that hangs until after the election still reports that it is primary. Its reports are recent, but its claim is old.
func TestOldPrimaryClaimsRoleAfterHang(t *testing.T) {
	_, g, members := newTestGroup(t, Config{})
	g.NoteSilence(12*sec, members[0])
	g.NoteRole(15*sec, members[1], Primary, 15*sec)
	g.NoteResponse(16*sec, members[0])
	for at := 16 * sec; at < 18*sec; at += 100 * ms {
		g.NoteRole(at, members[0], Primary, at)
		if p := g.Primary(); p != members[1] {
			t.Fatalf("the old primary counts at %v", at)
		}
		g.NoteRole(at+50*ms, members[1], Primary, at+50*ms)
		if g.RivalPrimaries() != 1 {
			t.Fatalf("%d rivals", g.RivalPrimaries())
		}
	}
	if g.Term() != 2 {
		t.Errorf("term %d, want 2: the primary alternated between two claimants", g.Term())
	}
	g.NoteRole(18*sec, members[0], Replica, 18*sec)
	if g.RivalPrimaries() != 0 || g.Primary() != members[1] {
		t.Error("the old primary reports that it is a replica, and still counts as a rival or as the primary")
	}
}

// A second member is elected and falls silent, and the first is elected again unobserved: the silent member's later claim yields to one
// that continues well after the silence began.
func TestSilentClaimYieldsToLaterOne(t *testing.T) {
	_, g, members := newTestGroup(t, Config{})
	g.NoteSilence(12*sec, members[0])
	g.NoteRole(15*sec, members[1], Primary, 15*sec)
	g.NoteResponse(15*sec+500*ms, members[0])
	g.NoteSilence(20*sec, members[1])
	g.NoteRole(20*sec+100*ms, members[0], Primary, 20*sec+100*ms)
	checkPhase(t, g, 20*sec+100*ms, PhaseLost, 0) // as in the test above, its claim may be outdated
	g.NoteRole(21*sec+100*ms, members[0], Primary, 21*sec+100*ms)
	checkPhase(t, g, 21*sec+100*ms, PhaseFound, 1)
}

// Discovery that lists the old primary for ten more seconds must not override what a member reports itself.
func TestStaleDiscoveryDoesNotOverrideReports(t *testing.T) {
	_, g, members := newTestGroup(t, Config{})
	g.NoteSilence(12*sec, members[0])
	g.NoteRole(15*sec, members[1], Primary, 15*sec)
	for at := 15 * sec; at < 25*sec; at += sec {
		g.NoteResponse(at, members[0])
		g.NoteListedPrimary(at, members[0], at-5*sec, true)
		if g.Primary() != members[1] {
			t.Fatalf("discovery overrides the new primary's own report at %v", at)
		}
	}
	g.NoteStart(25*sec, members[2], 25*sec, true)
	g.NoteListedPrimary(26*sec, members[2], 26*sec, true)
	if g.Primary() != members[1] {
		t.Error("a role from discovery, of a member that has reported none, overrides the primary's own report")
	}
}

// A group that loses all members but one.
func TestGroupShrinksToOneMember(t *testing.T) {
	_, g, members := newTestGroup(t, Config{})
	g.NoteSilence(11*sec, members[0])
	g.NoteSilence(11*sec, members[1])
	g.SetDiscoveryState(11*sec, members[1], Unlisted)
	g.RemoveMember(12*sec, members[1])
	checkPhase(t, g, 13*sec, PhaseElecting, 0)
	g.NoteRole(17*sec, members[2], Primary, 17*sec)
	checkPhase(t, g, 17*sec, PhaseFound, 3)
	g.RemoveMember(18*sec, members[0])
	g.NoteSilence(19*sec, members[2])
	checkPhase(t, g, 19*sec, PhaseLost, 0)
	g.NoteResponse(19*sec+50*ms, members[2])
	checkPhase(t, g, 19*sec+50*ms, PhaseFound, 3)
	if g.Term() != 2 {
		t.Errorf("term %d, want 2: a primary that returns unchanged begins no term", g.Term())
	}
}

func writeRequest(id uint64, at, limit time.Duration) HeldRequest {
	return HeldRequest{ID: id, ReceivedAt: at, Deadline: at + limit, ServiceTime: 80 * ms, Aim: 600 * ms, LateFactor: 0.3, Worth: 3, Size: 100}
}

func TestHoldDependsOnExpectedWait(t *testing.T) {
	_, g, members := newTestGroup(t, Config{})
	if ok, _, _ := g.Hold(10*sec, writeRequest(1, 10*sec, 3*sec)); ok {
		t.Error("held although there is a primary")
	}
	g.SetDiscoveryState(11*sec, members[0], Draining)
	if ok, _, _ := g.Hold(11*sec, writeRequest(1, 11*sec, 3*sec)); !ok {
		t.Error("not held, although a planned failover takes 0.8 s and the request has 3 s")
	}
	urgent := writeRequest(2, 11*sec, 300*ms)
	if ok, retryAfter, _ := g.Hold(11*sec, urgent); ok || retryAfter < 400*ms || retryAfter > 800*ms {
		t.Errorf("with 300 ms left: held %v, retry after %v", ok, retryAfter)
	}
	_, g, members = newTestGroup(t, Config{})
	g.NoteSilence(12*sec, members[0])
	if ok, retryAfter, _ := g.Hold(12*sec, writeRequest(1, 12*sec, 3*sec)); ok || retryAfter < 3*sec {
		t.Errorf("held at the beginning of an unplanned failover, which takes 2 to 7 s, or retry after %v", retryAfter)
	}
	mayHaveRun := writeRequest(3, 12*sec, 3*sec) // refusing it is a failure at any time, but holding it does not help either
	mayHaveRun.MayHaveRun = true
	if ok, _, _ := g.Hold(12*sec, mayHaveRun); ok {
		t.Error("a request that may have run is held although no primary is expected in time")
	}
	if ok, _, _ := g.Hold(16*sec, writeRequest(2, 16*sec, 3*sec)); !ok {
		t.Error("refused although the election is due")
	}
}

// In a group without spare capacity, a write that will probably be late costs other requests more than it earns. The price does not apply to
// a request that may have run, nor where capacity is spare.
func TestHoldWeighsShadowPrice(t *testing.T) {
	_, g, members := newTestGroup(t, Config{})
	g.SetDiscoveryState(11*sec, members[0], Draining)
	req := writeRequest(1, 11*sec, 3*sec) // within its aim with probability 0.2, late otherwise: earns 3 * 0.45 for 0.08 s of work
	for _, c := range []struct {
		price      float64
		mayHaveRun bool
		held       bool
	}{{0, false, true}, {10, false, true}, {36, false, false}, {36, true, true}} {
		req.ShadowPrice, req.MayHaveRun = c.price, c.mayHaveRun
		if ok, _, _ := g.Hold(11*sec, req); ok != c.held {
			t.Errorf("shadow price %v, may have run %v: held %v", c.price, c.mayHaveRun, ok)
		}
	}
	late := writeRequest(2, 11*sec+500*ms, 3*sec) // arrives when the failover is nearly over, and will be served within its aim
	late.ShadowPrice = 30
	if ok, _, _ := g.Hold(11*sec+500*ms, late); !ok {
		t.Error("a request that will be served within its aim is refused")
	}
}

// A held request whose chances have fallen is refused at once rather than at its deadline.
func TestHeldRequestIsRefusedOnceUnlikely(t *testing.T) {
	tracker, g, members := newTestGroup(t, Config{})
	for i := range 30 { // planned failovers of this group take 0.5 s
		tracker.durations.add(CausePlanned, 0, 500*ms+time.Duration(i)*ms, 10*sec)
	}
	g.SetDiscoveryState(11*sec, members[0], Draining)
	req := writeRequest(1, 11*sec, 3*sec)
	if ok, _, _ := g.Hold(11*sec, req); !ok {
		t.Fatal("not held")
	}
	req.AlreadyHeld = true
	refusedAfter := time.Duration(0)
	for now := 11 * sec; now < 14*sec; now += 10 * ms {
		if ok, _, _ := g.Hold(now, req); !ok {
			refusedAfter = now - 11*sec
			break
		}
	}
	if refusedAfter == 0 || refusedAfter > 2900*ms || g.HeldCount() != 0 {
		t.Errorf("refused after %v, %d held", refusedAfter, g.HeldCount())
	}
	if refusedAfter < 800*ms {
		t.Errorf("refused after %v, want at least 800 ms", refusedAfter)
	}
}

// When the limits are reached, the held request of least worth is evicted; a new one that is worth less than all of them is refused.
func TestHeldRequestsAreEvictedByWorth(t *testing.T) {
	_, g, members := newTestGroup(t, Config{MostHeld: 3, MostBytes: 1000})
	g.SetDiscoveryState(11*sec, members[0], Draining)
	hold := func(id uint64, worth float64, size int) (bool, []uint64) {
		req := writeRequest(id, 11*sec, 3*sec)
		req.Worth, req.Size = worth, size
		ok, _, evicted := g.Hold(11*sec, req)
		return ok, evicted
	}
	for id := uint64(1); id <= 3; id++ {
		if ok, _ := hold(id, float64(id), 100); !ok {
			t.Fatal(id)
		}
	}
	if ok, _ := hold(4, 0.5, 100); ok {
		t.Error("the request of least worth is held")
	}
	if ok, evicted := hold(5, 2.5, 100); !ok || len(evicted) != 1 || evicted[0] != 1 {
		t.Errorf("held %v, evicted %v", ok, evicted)
	}
	if ok, evicted := hold(6, 9, 900); !ok || len(evicted) != 3-1 && len(evicted) != 3 {
		t.Errorf("900 of 1,000 bytes: held %v, evicted %v", ok, evicted)
	}
	if ok, _ := hold(7, 99, 1001); ok {
		t.Error("a request larger than MostBytes is held")
	}
	if st := g.Status(11 * sec); st.HeldBytes > 1000 || st.Held > 3 {
		t.Errorf("%+v", st)
	}
}

// Requests that can still be answered within their aims are released first, by urgency; one in four is one that is late anyway.
func TestReleaseOrder(t *testing.T) {
	_, g, members := newTestGroup(t, Config{})
	g.SetDiscoveryState(11*sec, members[0], Draining)
	for id := uint64(1); id <= 4; id++ { // late by then; the last has the earliest deadline
		g.Hold(11*sec, writeRequest(id, 11*sec, 3*sec-time.Duration(id)*ms))
	}
	for id := uint64(5); id <= 9; id++ {
		g.Hold(11*sec+500*ms, writeRequest(id, 11*sec+time.Duration(400+10*id)*ms, 2*sec))
	}
	got := g.ReleaseOrder(11*sec + 550*ms)
	want := []uint64{5, 6, 7, 4, 8, 9, 3, 2, 1}
	if !slices.Equal(got, want) {
		t.Fatalf("%v, want %v", got, want)
	}
	for now := 11 * sec; now < 14*sec; now += 100 * ms { // all are listed at any time
		if got := g.ReleaseOrder(now); len(got) != 9 {
			t.Fatalf("%v at %v", got, now)
		}
	}
}

// While a new primary is at its limit, requests are held if it can serve them before their deadlines.
func TestHoldBehindNewPrimary(t *testing.T) {
	_, g, members := newTestGroup(t, Config{})
	g.SetDiscoveryState(11*sec, members[0], Draining)
	g.NoteRole(11*sec+500*ms, members[1], Primary, 11*sec+500*ms)
	req := writeRequest(1, 11*sec, 3*sec)
	if ok, _, _ := g.Hold(11*sec+500*ms, req); !ok {
		t.Error("the first request in the queue is refused")
	}
	req.ID, req.QueuedAhead = 2, 200 // 200 * 80 ms / 3 = 5.3 s
	if ok, _, _ := g.Hold(11*sec+500*ms, req); ok {
		t.Error("the 200th request is held, although it has 2.5 s left")
	}
	g.NoteWriteServed(11*sec + 600*ms)
	g.Tick(14 * sec)
	if ok, _, _ := g.Hold(14*sec, writeRequest(3, 14*sec, 3*sec)); ok {
		t.Error("held after the primary has settled: from then on only the limits apply")
	}
}

// The expected values are calculated by hand from the prior's nine points of weight 1/3 each and the tail of weight 0.3.
func TestDurationEstimates(t *testing.T) {
	tracker := New(Config{})
	checkNear := func(got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%v, want %v", got, want)
		}
	}
	// Points at 2.277, 2.833, 3.388, ... 6.722 s. Two of them are within 3 s, and the tail counts with 3/3.
	checkNear(tracker.durations.endsWithin(CauseSilent, 0, 0, 0, 3*sec), (2.0/3+0.3)/3.3)
	// Two points are below 3 s, and three more are within another 2 s.
	checkNear(tracker.durations.endsWithin(CauseSilent, 0, 0, 3*sec, 2*sec), (3.0/3+0.3*2/5)/(7.0/3+0.3))
	// Beyond all points the failover lasts about as long again.
	checkNear(tracker.durations.endsWithin(CauseSilent, 0, 0, 8*sec, 8*sec), 0.5)
	if got := tracker.durations.remaining(CauseSilent, 0, 0, 0, 0.5); (got - 4500*ms).Abs() > ms {
		t.Errorf("median %v", got)
	}
	if got := tracker.durations.remaining(CauseSilent, 0, 0, 9*sec, 0.5); got != 9*sec {
		t.Errorf("beyond all points: %v", got)
	}
}

// A group's own failovers weigh most, those of other groups less, and old ones fade.
func TestDurationsAreLearned(t *testing.T) {
	tracker := New(Config{Fade: time.Minute})
	for i := range 20 {
		tracker.durations.add(CauseSilent, 1, 1500*ms, time.Duration(i)*sec)
	}
	own, other := tracker.durations.endsWithin(CauseSilent, 1, 20*sec, 0, 2*sec), tracker.durations.endsWithin(CauseSilent, 2, 20*sec, 0, 2*sec)
	if before := New(Config{}).durations.endsWithin(CauseSilent, 1, 20*sec, 0, 2*sec); own < 0.75 || other > own || other < before+0.1 {
		t.Errorf("own group %.2f, other group %.2f, prior %.2f", own, other, before)
	}
	if later := tracker.durations.endsWithin(CauseSilent, 1, 20*sec+10*time.Minute, 0, 2*sec); later > 0.2 {
		t.Errorf("ten half-lives later: %.2f", later)
	}
}

// For any observations, probabilities are between 0 and 1 and rise with the time, and the remaining time is not negative.
func TestDurationEstimatesAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(Config{})
		now := time.Minute
		for range rapid.IntRange(0, 100).Draw(t, "switches") {
			c := Cause(rapid.IntRange(0, int(causeCount)-1).Draw(t, "cause"))
			tracker.durations.add(c, rapid.IntRange(0, 3).Draw(t, "group"), time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms"))*ms, now)
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * sec
		}
		c, g := Cause(rapid.IntRange(0, int(causeCount)-1).Draw(t, "estimated cause")), rapid.IntRange(0, 4).Draw(t, "estimated group")
		elapsed := time.Duration(rapid.IntRange(0, 30000).Draw(t, "elapsed")) * ms
		last := 0.0
		for d := time.Duration(0); d < 40*sec; d += 500 * ms {
			p := tracker.durations.endsWithin(c, g, now, elapsed, d)
			if p < last-1e-9 || p > 1+1e-9 || math.IsNaN(p) {
				t.Fatalf("probability within %v: %v, before it %v", d, p, last)
			}
			last = p
		}
		if left := tracker.durations.remaining(c, g, now, elapsed, 0.5); left < 0 {
			t.Fatalf("%v remain", left)
		}
	})
}

// A repeat must have been applied, including its work and network delays, before the group drops the key of the first attempt.
func TestResendDeadline(t *testing.T) {
	c := Config{}.WithDefaults()
	until := c.ResendDeadline(10*sec, 3*sec, 200*ms)
	if until != 10*sec+3*sec-200*ms-100*ms {
		t.Errorf("%v", until)
	}
	if c.ResendDeadline(10*sec, 3*sec, 20*sec) != 12*sec-100*ms {
		t.Error("work counts as more than a third of the window")
	}
}

// checkCold checks since when a member counts as restarted, and with which probability.
func checkCold(t *testing.T, m *Member, now, from time.Duration, least, most float64, reason string) {
	t.Helper()
	if at, p := m.ColdSince(now, 13*sec); at != from && p > 0 || p < least || p > most {
		t.Errorf("%s: cold since %v with probability %.3f, want %v with %v to %v", reason, at, p, from, least, most)
	}
}

// returnedMember returns a member that was silent from 20 s on for a time. refused tells that a dial was refused meanwhile.
func returnedMember(t *testing.T, silence time.Duration, refused bool) (*Group, *Member) {
	t.Helper()
	_, g, members := newTestGroup(t, Config{})
	g.NoteSilence(20*sec, members[1])
	if refused {
		members[1].NoteRefusedDial()
	}
	if wasSilent, mayHaveRestarted := g.NoteResponse(20*sec+silence, members[1]); !wasSilent || mayHaveRestarted != (silence > sec || refused) {
		t.Fatalf("after %v: was silent %v, may have restarted %v", silence, wasSilent, mayHaveRestarted)
	}
	return g, members[1]
}

// A member that returns from a silence was unreachable or has restarted. Each kind of evidence changes the probability, and conclusive evidence
// decides it.
func TestRestartEvidence(t *testing.T) {
	_, m := returnedMember(t, 900*ms, false)
	checkCold(t, m, 21*sec, 0, 0, 0, "too short for a restart")
	_, m = returnedMember(t, 900*ms, true)
	checkCold(t, m, 21*sec, 20*sec+900*ms, 0.9, 1, "a refused dial shows a restart in a short silence too")
	_, m = returnedMember(t, 3*sec, false)
	checkCold(t, m, 24*sec, 23*sec, 0.5, 0.5, "prior only")
	checkCold(t, m, 37*sec, 0, 0, 0, "warmed up by now")

	_, m = returnedMember(t, 3*sec, true)
	m.NoteAnswerOnConnection(15 * sec)
	checkCold(t, m, 24*sec, 0, 0, 0, "a connection from before the silence answers: conclusive, despite the refused dial")
	_, m = returnedMember(t, 3*sec, false)
	m.NoteAnswerOnConnection(23 * sec)
	m.NoteAnswerOnConnection(0)
	checkCold(t, m, 24*sec, 23*sec, 0.5, 0.5, "a new connection, or an unknown one, is no evidence")

	m.NoteNoListedStart(24*sec + 500*ms)
	checkCold(t, m, 25*sec, 23*sec, 0.35, 0.45, "discovery has listed no start for 1.5 s")
	m.NoteNoListedStart(27 * sec)
	checkCold(t, m, 27*sec, 23*sec, 0.1, 0.25, "for 4 s")
	m.NoteNoListedStart(28 * sec)
	checkCold(t, m, 28*sec, 0, 0, 0, "for 5 s")

	_, m = returnedMember(t, 3*sec, false)
	m.NotePosition(23*sec, 22*sec+900*ms)
	checkCold(t, m, 23*sec, 23*sec, 0.15, 0.25, "its position is up to date")
	m.NotePosition(23*sec, 23*sec)
	checkCold(t, m, 23*sec, 23*sec, 0.15, 0.25, "a second position does not count")
	m.NoteNoListedStart(27*sec + 700*ms)
	checkCold(t, m, 28*sec, 0, 0, 0, "with an up-to-date position, discovery decides sooner")
	_, m = returnedMember(t, 3*sec, false)
	m.NotePosition(23*sec, 20*sec)
	checkCold(t, m, 23*sec, 23*sec, 0.5, 0.5, "a position that lags is no evidence: the member may have hung")

	_, m = returnedMember(t, 3*sec, false)
	m.NoteConnectionEvidence(ConnectionEnded)
	m.NoteConnectionEvidence(ConnectionUnresponsive)
	m.NoteConnectionEvidence(ConnectionEnded)
	checkCold(t, m, 23*sec, 23*sec, 0.94, 0.96, "an earlier connection ended; further ones don't count")
	_, m = returnedMember(t, 3*sec, false)
	m.NoteConnectionEvidence(ConnectionUnresponsive)
	m.NoteConnectionEvidence(ConnectionEnded)
	checkCold(t, m, 23*sec, 23*sec, 0.03, 0.04, "an earlier connection is open, but does not respond")
	m.NoteNoListedStart(23*sec + 600*ms)
	checkCold(t, m, 24*sec, 0, 0, 0, "discovery then decides soon")
	_, group, members := newTestGroup(t, Config{})
	group.NoteSilence(20*sec, members[1])
	members[1].NoteConnectionEvidence(ConnectionEnded) // during the silence
	group.NoteResponse(23*sec, members[1])
	members[1].NoteConnectionEvidence(ConnectionUnresponsive)
	checkCold(t, members[1], 23*sec, 23*sec, 0.94, 0.96, "the connection ended before the first response")

	_, m = returnedMember(t, 3*sec, true)
	m.NoteNoListedStart(29 * sec)
	checkCold(t, m, 29*sec, 23*sec, 0.4, 0.6, "discovery may be outdated: a refused dial outweighs it")

	g, m := returnedMember(t, 3*sec, false)
	g.NoteStart(25*sec, m, 22*sec, true)
	m.NoteNoListedStart(33 * sec)
	checkCold(t, m, 33*sec, 22*sec, 1, 1, "discovery lists the restart")
	g, m = returnedMember(t, 3*sec, false)
	g.NoteStart(25*sec, m, 19*sec, true)
	checkCold(t, m, 26*sec, 23*sec, 1, 1, "an earlier start is no evidence about this silence, but counts as a start")
}

// The lag of discovery, and how many silences were restarts, are learned.
func TestRestartPriorAndListLagsAreLearned(t *testing.T) {
	tracker, g, members := newTestGroup(t, Config{})
	if tracker.listLags.exceeds(sec) < 0.75 || tracker.listLags.exceeds(6*sec) != staleListProbability || tracker.silenceOutcomes.prior() != 0.5 {
		t.Error(tracker.listLags.exceeds(sec), tracker.listLags.exceeds(6*sec), tracker.silenceOutcomes.prior())
	}
	now := 20 * sec
	for range 20 { // each silence is a restart, listed 300 ms later
		g.NoteSilence(now, members[1])
		g.NoteResponse(now+3*sec, members[1])
		g.NoteStart(now+2*sec+300*ms, members[1], now+2*sec, true)
		now += 30 * sec
	}
	if tracker.listLags.exceeds(sec) > 0.2 || tracker.silenceOutcomes.prior() != 1-minRestartPrior {
		t.Error(tracker.listLags.exceeds(sec), tracker.silenceOutcomes.prior())
	}
	g.NoteSilence(now, members[2])
	g.NoteResponse(now+3*sec, members[2])
	checkCold(t, members[2], now+3*sec, now+3*sec, 0.85, 0.95, "earlier silences were restarts")
	members[2].NoteNoListedStart(now + 5*sec)
	checkCold(t, members[2], now+5*sec, now+3*sec, 0.3, 0.7, "discovery usually lists restarts quickly, and has listed none")
	for range maxLagSamples + 1 {
		tracker.listLags.add(-sec) // from a clock that is ahead
	}
	if len(tracker.listLags.samples) != maxLagSamples || tracker.listLags.samples[0] != 0 {
		t.Error(len(tracker.listLags.samples))
	}
}

// The probability of a restart is between 0 and 1, and never rises while discovery works and lists no restart.
func TestRestartProbabilityNeverRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New(Config{})
		g := tracker.NewGroup(0)
		m := g.AddMember(1)
		for range rapid.IntRange(0, 9).Draw(t, "lags") {
			tracker.listLags.add(time.Duration(rapid.IntRange(-1000, 20000).Draw(t, "lag")) * ms)
		}
		g.NoteSilence(20*sec, m)
		if rapid.Bool().Draw(t, "refused") {
			m.NoteRefusedDial()
		}
		g.NoteResponse(20*sec+time.Duration(rapid.IntRange(0, 9000).Draw(t, "silence"))*ms, m)
		now, last := 30*sec, m.RestartProbability()
		for range 30 {
			if now += 300 * ms; rapid.Bool().Draw(t, "position reported") {
				m.NotePosition(now, now-50*ms)
			}
			m.NoteNoListedStart(now)
			if p := m.RestartProbability(); p < 0 || p > last {
				t.Fatalf("probability %v after %v", p, last)
			} else {
				last = p
			}
		}
	})
}

// A start that discovery listed stays certain, whatever the evidence after a later silence.
func TestListedStartIsKeptAfterLaterSilence(t *testing.T) {
	for name, evidence := range map[string]func(*Member){"connection": func(m *Member) { m.NoteAnswerOnConnection(19*sec + 500*ms) }, "list": func(m *Member) { m.NoteNoListedStart(28 * sec) }} {
		_, g, members := newTestGroup(t, Config{})
		g.NoteStart(19*sec, members[1], 19*sec, true)
		g.NoteSilence(20*sec, members[1])
		g.NoteResponse(22*sec, members[1])
		evidence(members[1])
		checkCold(t, members[1], 28*sec, 19*sec, 1, 1, name)
	}
}

// A short silence after a long one: a connection that was opened between the two is no evidence about the first.
func TestShortSilenceKeepsEarlierUncertainty(t *testing.T) {
	_, g, members := newTestGroup(t, Config{})
	g.NoteSilence(20*sec, members[1])
	g.NoteResponse(23*sec, members[1])
	g.NoteSilence(25*sec, members[1])
	g.NoteResponse(25*sec+200*ms, members[1])
	members[1].NoteAnswerOnConnection(24 * sec)
	checkCold(t, members[1], 26*sec, 23*sec, 0.5, 0.5, "after a short silence")
	g.NoteSilence(26*sec, members[1])
	g.NoteResponse(28*sec, members[1])
	members[1].NoteAnswerOnConnection(24 * sec) // it may have restarted during the first silence
	checkCold(t, members[1], 29*sec, 28*sec, 0.5, 0.5, "after a second long silence")
	members[1].NoteAnswerOnConnection(15 * sec)
	checkCold(t, members[1], 29*sec, 0, 0, 0, "a connection from before all silences")
}

// Discovery drops a failed primary before another is elected: the failover continues, and its duration counts from the silence.
func TestDiscoveryDropsFailedPrimary(t *testing.T) {
	tracker, g, members := newTestGroup(t, Config{})
	g.NoteSilence(12*sec, members[0])
	before := g.Status(15 * sec).ExpectedWait
	g.SetDiscoveryState(15*sec, members[0], Unlisted)
	if after := g.Status(15 * sec).ExpectedWait; after != before {
		t.Errorf("expected wait %v, and once discovery has dropped the primary %v", before, after)
	}
	g.RemoveMember(15*sec, members[0])
	checkPhase(t, g, 15*sec+ms, PhaseElecting, 0)
	if ok, _, _ := g.Hold(16*sec, writeRequest(1, 16*sec, 3*sec)); !ok {
		t.Error("refused although the election is due")
	}
	g.NoteRole(16*sec+500*ms, members[2], Primary, 16*sec+500*ms)
	checkPhase(t, g, 16*sec+500*ms, PhaseFound, 3)
	if e := tracker.RecentFailovers(); len(e) != 1 || e[0].Duration != 4500*ms || e[0].OldPrimary != 1 || e[0].Cause != CauseSilent {
		t.Errorf("%+v", e)
	}
}

func TestValidate(t *testing.T) {
	for _, c := range []Config{{Likely: 2}, {Likely: 0.3, Keep: 0.5}, {Drain: Prior{2 * sec, sec}}, {Death: Prior{-sec, sec}}} {
		c = c.WithDefaults()
		if c.Validate() == nil {
			t.Errorf("%+v is accepted", c)
		}
	}
}
