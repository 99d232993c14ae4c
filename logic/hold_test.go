package logic

import (
	"slices"
	"testing"
	"time"

	"havenproxy/internal/handover"
)

// holding is a deployment that holds writes through a switch, one attempt at a time.
func holdConfig() Config {
	cfg := testConfig()
	cfg.ParallelAttempts, cfg.Handover = false, handover.Config{Hold: true}
	w := &cfg.Classes[classGuarded]
	w.Aim, w.Limit, w.DedupWindow, w.Late = 600*ms, 3*time.Second, 3*time.Second, 0.3
	return cfg
}

// drain lists a member as draining.
func (f *testProxy) drain(m MemberID) {
	f.router.Members(f.now, MemberList{Kind: ListDelta, Entries: []Member{{ID: m, State: Draining}}})
}

// passAs lets time go by with another primary, or none; members in mute say nothing.
func (f *testProxy) advanceWithPrimary(primary MemberID, d time.Duration, silent ...MemberID) {
	for end := f.now + d; f.now < end; {
		f.now += 10 * ms
		f.router.Timer(f.now, tickTimer)
		probed := f.probes
		f.probes = nil
		for _, m := range probed {
			if slices.Contains(silent, m) {
				continue
			}
			report := Report{Role: RoleReplica, Position: f.now - 10*ms}
			if m == primary {
				report = Report{Role: RolePrimary, Position: f.now}
			}
			f.router.Probed(f.now, ProbeEnd{Member: m, Elapsed: ms, Report: report})
		}
	}
}

func TestAWriteIsHeldThroughADrain(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.drain(1)
	id := f.request(classGuarded, 1)
	f.advanceWithPrimary(0, 500*ms)
	if f.sendCount(id) > 0 || f.finals[id] != "" {
		t.Fatalf("%d sends, %q", f.sendCount(id), f.finals[id])
	}
	before := f.now
	for f.sendCount(id) == 0 && f.now < before+time.Second {
		f.advanceWithPrimary(2, 10*ms)
	}
	if s := f.mustSend(id); s.to != 2 || f.now-before > 60*ms {
		t.Errorf("sent to %d, %v after the election: a ping's period and a way were wanted", s.to, f.now-before)
	}
	f.serve(id, 80*ms)
	if n := f.router.groups[0].handover.HeldCount(); n != 0 {
		t.Errorf("%d are held", n)
	}
}

func TestNothingIsHeldWithoutTheSetting(t *testing.T) {
	cfg := holdConfig()
	cfg.Handover.Hold = false
	f := newReadyProxy(t, cfg, 3)
	f.drain(1)
	f.wantFinal(f.request(classGuarded, 1), "refused")
}

// A death takes longer than a write's client waits: it hears so at once, and when to come back.
func TestPrimaryFailureRefusesWritesUntilElectionIsDue(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.request(classGuarded, 1) // it makes the member owe something
	f.advanceWithPrimary(0, 600*ms, 1)
	id := f.request(classGuarded, 2)
	f.wantFinal(id, "refused")
	if f.hints[id] < 200*ms {
		t.Errorf("come back after %v", f.hints[id])
	}
	f.advanceWithPrimary(0, 4500*ms, 1)
	late := f.request(classGuarded, 3)
	if f.finals[late] != "" {
		t.Fatalf("%q though the election is due", f.finals[late])
	}
	f.advanceWithPrimary(2, 100*ms, 1)
	if s := f.mustSend(late); s.to != 2 {
		t.Errorf("sent to %d", s.to)
	}
}

// What is held and can't be served in time any more is answered at once, before its client gives up.
func TestHeldWriteIsAnsweredBeforeItsDeadline(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.drain(1)
	id, at := f.request(classGuarded, 1), f.now
	f.advanceWithPrimary(0, 4*time.Second)
	f.wantFinal(id, "refused")
	if f.sendCount(id) > 0 || f.router.groups[0].handover.HeldCount() > 0 {
		t.Errorf("%d sends, %d held", f.sendCount(id), f.router.groups[0].handover.HeldCount())
	}
	_ = at
}

func TestAbandonedHeldRequest(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.drain(1)
	id := f.request(classGuarded, 1)
	f.advanceWithPrimary(0, 200*ms)
	f.router.Abandoned(f.now, id)
	f.advanceWithPrimary(2, 500*ms)
	if f.sendCount(id) > 0 || f.finals[id] != "" || f.router.groups[0].handover.HeldCount() > 0 || len(f.router.requests) > 0 {
		t.Errorf("%d sends, %q, %d requests kept", f.sendCount(id), f.finals[id], len(f.router.requests))
	}
}

// A list that drops the whole group: what is held for it has its answer at once, also where the group comes back.
func TestDroppedGroupAnswersHeldRequests(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.drain(1)
	id := f.request(classGuarded, 1)
	f.advanceWithPrimary(0, 50*ms)
	f.router.Members(f.now, MemberList{Kind: ListFull})
	f.listMembers(ListFull, 3)
	f.wantFinal(id, "refused")
	if len(f.router.requests) > 0 {
		t.Errorf("%d requests are kept", len(f.router.requests))
	}
}

// The price of a group's work: nothing while its members are at ease, what its requests earn once they are full.
func TestWorkPrice(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	for range 400 {
		f.serve(f.request(classAny, 0), ms)
		f.now += 5 * ms
	}
	g := f.router.groups[0]
	if p := g.workPrice(); p != 0 {
		t.Errorf("%v at ease", p)
	}
	for _, m := range g.members {
		m.Strain = 1
	}
	if p, want := g.workPrice(), g.meanWorth/g.meanWork; p != want || p <= 0 {
		t.Errorf("%v when all are full, want %v", p, want)
	}
}

// Those refused in a death are told different times, none beyond what clients heed: they must not return in one moment.
func TestTheRefusedDoNotReturnTogether(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.request(classGuarded, 1)
	f.advanceWithPrimary(0, 600*ms, 1)
	seen := map[time.Duration]int{}
	for i := range 60 {
		id := f.request(classGuarded, SessionID(i+2))
		f.wantFinal(id, "refused")
		if f.hints[id] > f.router.cfg.MaxRetryAfter || f.hints[id] < 100*ms {
			t.Fatalf("come back after %v", f.hints[id])
		}
		seen[f.hints[id].Truncate(50*ms)]++
	}
	for at, n := range seen {
		if n > 20 {
			t.Errorf("%d of 60 come back at %v", n, at)
		}
	}
}

// Switched off in the middle of a switch, what is held has its answer at once.
func TestDisablingHoldAnswersHeldRequests(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.drain(1)
	id := f.request(classGuarded, 1)
	f.advanceWithPrimary(0, 100*ms)
	f.router.SetHandoverConfig(handover.Config{})
	f.advanceWithPrimary(0, 10*ms)
	f.wantFinal(id, "refused")
	if f.router.groups[0].handover.HeldCount() > 0 {
		t.Error("it is held still")
	}
}

// A request may wait for pings and for a primary at once, where traffic is thin. Once it is sent, however it came to that, it
// waits for neither: a place in the room that stayed taken was a request's that no longer was.
func TestRequestAwaitingPingAndPrimaryIsReleasedOnce(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.drain(1)
	id := f.request(classGuarded, 1)
	f.advanceWithPrimary(0, 200*ms)
	if f.router.groups[0].handover.HeldCount() != 1 {
		t.Fatal("it doesn't wait for a primary")
	}
	f.router.holdForPing(f.router.requests[id]) // as inquire does
	for end := f.now + time.Second; f.sendCount(id) == 0 && f.now < end; {
		f.advanceWithPrimary(2, 10*ms)
	}
	f.serve(id, 20*ms)
	if n := f.router.groups[0].handover.HeldCount(); n > 0 || len(f.router.requests) > 0 {
		t.Errorf("%d are held, %d requests kept", n, len(f.router.requests))
	}
	f.router.Members(f.now, MemberList{Kind: ListFull}) // what is held is answered now
}

// A hundred held at once leave as the new primary's limit allows, and none of them is forgotten.
func TestHeldWritesAreReleasedGradually(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.drain(1)
	var ids []RequestID
	for i := range 100 {
		ids = append(ids, f.request(classGuarded, SessionID(i+1)))
	}
	f.advanceWithPrimary(0, 400*ms)
	if n := f.router.groups[0].handover.HeldCount(); n != 100 {
		t.Fatalf("%d held", n)
	}
	most, served := 0, 0
	for end := f.now + 3*time.Second; f.now < end; {
		f.advanceWithPrimary(2, 10*ms)
		m := f.router.members[2]
		most = max(most, len(m.inFlight))
		for _, a := range slices.Clone(m.inFlight) {
			if f.now-a.sentAt >= 40*ms {
				served++
				f.finals[a.request.ID] = "served"
				f.router.Outcome(f.now, Outcome{Request: a.request.ID, Attempt: a.index, Member: 2, Result: OK, Elapsed: f.now - a.sentAt,
					Finished: true, Role: RolePrimary, Position: f.now})
				if f.router.groups[0].handover.HeldCount() > 0 && m.inFlight[len(m.inFlight)-1].sentAt != f.now {
					t.Fatalf("a place was freed, %d wait, and none goes", f.router.groups[0].handover.HeldCount())
				}
			}
		}
	}
	if most > 40 || served < 90 {
		t.Errorf("%d out at once, %d served", most, served)
	}
	for _, id := range ids {
		if f.finals[id] == "" {
			t.Errorf("request %d has no answer", id)
		}
	}
}

// A write that a primary took before it fell silent may have run. It goes to the new one with its key while that drops a
// repeat, and fails, never 'refused', once that is no longer sure.
func TestPossiblyExecutedWriteIsRetriedWithinDedupWindow(t *testing.T) {
	for _, test := range []struct {
		back  time.Duration
		sends int
	}{{1500 * ms, 2}, {2900 * ms, 1}} {
		cfg := holdConfig()
		cfg.Classes[classGuarded].Limit = 6 * time.Second // its client outlasts the window
		f := newReadyProxy(t, cfg, 3)
		id := f.request(classGuarded, 1)
		if f.mustSend(id).to != 1 {
			t.Fatal("not sent to the primary")
		}
		f.advanceWithPrimary(0, test.back, 1)
		f.advanceWithPrimary(2, 200*ms, 1)
		if f.cancels > 0 {
			s, _ := f.lastSend(id)
			if s.index == 0 {
				f.router.Outcome(f.now, Outcome{Request: id, Member: 1, Result: Cancelled, Elapsed: f.now - s.at})
			}
		}
		f.advanceWithPrimary(2, 200*ms, 1)
		if f.sendCount(id) != test.sends {
			t.Errorf("back after %v: %d sends, %d called off, want %d sends", test.back, f.sendCount(id), f.cancels, test.sends)
			continue
		}
		if test.sends == 2 {
			if s := f.serve(id, 80*ms); s.to != 2 {
				t.Errorf("the repeat went to %d", s.to)
			}
			continue
		}
		f.finishAttempt(f.mustSend(id), TimedOut)
		f.wantFinal(id, "failed")
	}
}

// One millisecond either side of the last moment for a repeat.
func TestALateResendByAMillisecond(t *testing.T) {
	for _, after := range []time.Duration{-ms, 0, ms} {
		cfg := holdConfig()
		cfg.Classes[classGuarded].Limit = 6 * time.Second
		f := newReadyProxy(t, cfg, 3)
		id := f.request(classGuarded, 1)
		s := f.mustSend(id)
		q := f.router.requests[id]
		a := q.attempts[0]
		a.mayHaveRun = true // its end will be a failure
		until := f.router.retryDeadline(q, a)
		if until >= s.at+3*time.Second-f.router.slowTime[classGuarded]+ms {
			t.Fatalf("%v after the first attempt a repeat is still let out", until-s.at)
		}
		a.mayHaveRun = false
		f.advanceWithPrimary(1, until-f.router.serviceTime[classGuarded]-f.now-20*ms)
		f.now = until - f.router.serviceTime[classGuarded] + after
		f.finishAttempt(s, Failed)
		if want := 1; after < 0 {
			want = 2
			if f.sendCount(id) != want {
				t.Errorf("%v: %d sends", after, f.sendCount(id))
			}
		} else if f.sendCount(id) != want || f.finals[id] != "failed" {
			t.Errorf("%v: %d sends, %q", after, f.sendCount(id), f.finals[id])
		}
	}
}

// Two requests with the same key, the first held: a client's own retry. Both have their answers, each goes out once.
func TestClientRetryWhileTheFirstTryIsHeld(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.drain(1)
	first := f.request(classGuarded, 7)
	f.advanceWithPrimary(0, 300*ms)
	f.nextID++
	again := f.nextID
	f.router.Request(f.now, Request{ID: again, Class: classGuarded, Session: 7, Deadline: f.now + 2*time.Second, Retry: true})
	f.advanceWithPrimary(2, 300*ms)
	for _, id := range []RequestID{first, again} {
		if f.sendCount(id) != 1 {
			t.Errorf("request %d went out %d times", id, f.sendCount(id))
		}
		f.serve(id, 20*ms)
	}
}

// While another primary is awaited, pings look for it, spread over the fronts.
func TestThePrimaryIsLookedFor(t *testing.T) {
	for fronts, least := range map[int]int{2: 15, 40: 3} {
		cfg := holdConfig()
		cfg.Proxies = fronts
		f := newReadyProxy(t, cfg, 3)
		f.request(classBounded, 0)
		f.drain(1)
		f.request(classGuarded, 1)
		n := 0
		for range 100 {
			f.now += 10 * ms
			f.probes = nil
			f.router.Timer(f.now, tickTimer)
			for _, m := range f.probes {
				n++
				f.router.Probed(f.now, ProbeEnd{Member: m, Elapsed: ms, Report: Report{Role: RoleReplica, Position: f.now - 10*ms}})
			}
		}
		if n < least || n > 45 {
			t.Errorf("%d fronts: %d pings in a second", fronts, n)
		}
	}
}

// A member that answers on a connection from before its silence never stopped: it is not cold.
func TestACutMemberIsNotCold(t *testing.T) {
	for _, kept := range []bool{false, true} {
		f := newReadyProxy(t, holdConfig(), 4)
		before := f.now
		f.request(classBounded, 0)
		f.advanceWithPrimary(1, 3*time.Second, 3)
		f.router.Probed(f.now, ProbeEnd{Member: 3, Result: TimedOut})
		f.advanceWithPrimary(1, 2*time.Second)
		m := f.router.members[3]
		if m.handover.Silent || f.router.warmCapacity(f.now, m) == 1 {
			t.Fatalf("silent %v, cold %v", m.handover.Silent, f.router.warmCapacity(f.now, m))
		}
		opened := f.now
		if kept {
			opened = before
		}
		f.router.probe(f.now, m)
		f.router.Probed(f.now, ProbeEnd{Member: 3, Elapsed: ms, ConnOpenedAt: opened, Report: Report{Role: RoleReplica, Position: f.now - 10*ms}})
		if (f.router.warmCapacity(f.now, m) < 1) == kept {
			t.Errorf("answered on a connection from before: %v, cold: %v", kept, f.router.warmCapacity(f.now, m))
		}
	}
}

// A refused dial is evidence: such a member counts as started anew even where the list names no start for long, and what goes
// there stays within what it bears if it has.
func TestRefusedDialOutweighsAnUnchangedList(t *testing.T) {
	for _, refused := range []bool{false, true} {
		f := newReadyProxy(t, holdConfig(), 4)
		f.advanceWithPrimary(1, 3*time.Second, 3)
		f.router.Probed(f.now, ProbeEnd{Member: 3, Result: ConnectFailed, DialRefused: refused})
		f.advanceWithPrimary(1, 8*time.Second)
		if m := f.router.members[3]; m.handover.Silent || (f.router.warmCapacity(f.now, m) < 1) != refused {
			t.Errorf("refused %v: silent %v, warmth %v, doubt %v", refused, m.handover.Silent, f.router.warmCapacity(f.now, m), m.handover.RestartProbability())
		}
	}
}

// A group that loses its primary is looked at as time goes by, also while nobody asks for anything: it moves on from lost to
// electing, and its members are pinged for a new primary.
func TestAGroupWithoutAPrimaryIsLookedAt(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.advanceWithPrimary(1, 200*ms)
	f.advanceWithPrimary(0, 3*time.Second, 1, 2, 3) // all fall silent: no event comes but the clock's
	if p := f.router.groups[0].handover.Status(f.now).Phase; p != handover.PhaseElecting {
		t.Errorf("%v, 3 s behind the primary's silence", p)
	}
}
