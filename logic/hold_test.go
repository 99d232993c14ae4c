package logic

import (
	"slices"
	"testing"
	"time"

	"havenproxy/internal/handover"
)

// holdConfig returns a deployment that holds writes during a switch of primary, with one attempt at a time.
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

// advanceWithPrimary advances the clock while primary (0 = none) is the primary; silent members do not answer
// pings.
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
		t.Errorf("sent to %d, %v after the election: want at most a ping period and a network delay", s.to, f.now-before)
	}
	f.serve(id, 80*ms)
	if n := f.router.groups[0].handover.HeldCount(); n != 0 {
		t.Errorf("%d requests are held", n)
	}
}

func TestNothingIsHeldWithoutTheSetting(t *testing.T) {
	cfg := holdConfig()
	cfg.Handover.Hold = false
	f := newReadyProxy(t, cfg, 3)
	f.drain(1)
	f.wantFinal(f.request(classGuarded, 1), "refused")
}

// The failure of a primary lasts longer than a write's client waits, so the client is refused at once, with a
// hint.
func TestPrimaryFailureRefusesWritesUntilElectionIsDue(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.request(classGuarded, 1) // makes the primary owe an answer
	f.advanceWithPrimary(0, 600*ms, 1)
	id := f.request(classGuarded, 2)
	f.wantFinal(id, "refused")
	if f.hints[id] < 200*ms {
		t.Errorf("retry-after hint %v", f.hints[id])
	}
	f.advanceWithPrimary(0, 4500*ms, 1)
	late := f.request(classGuarded, 3)
	if f.finals[late] != "" {
		t.Fatalf("final answer %q although the election is due", f.finals[late])
	}
	f.advanceWithPrimary(2, 100*ms, 1)
	if s := f.mustSend(late); s.to != 2 {
		t.Errorf("sent to %d", s.to)
	}
}

// A held write that cannot be served in time any more is answered before its deadline.
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

// A list drops the whole group: requests held for it are answered at once, even if the group comes back.
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

// The price of work is zero while members are lightly loaded, and the worth of the work once they are full.
func TestWorkPrice(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	for range 400 {
		f.serve(f.request(classAny, 0), ms)
		f.now += 5 * ms
	}
	g := f.router.groups[0]
	if p := g.workPrice(); p != 0 {
		t.Errorf("price %v at light load", p)
	}
	for _, m := range g.members {
		m.Strain = 1
	}
	if p, want := g.workPrice(), g.meanWorth/g.meanWork; p != want || p <= 0 {
		t.Errorf("price %v when all members are full, want %v", p, want)
	}
}

// Writes refused after a failure of the primary get different hints within the limit that clients respect, so that
// they do not return at once.
func TestTheRefusedDoNotReturnTogether(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.request(classGuarded, 1)
	f.advanceWithPrimary(0, 600*ms, 1)
	seen := map[time.Duration]int{}
	for i := range 60 {
		id := f.request(classGuarded, SessionID(i+2))
		f.wantFinal(id, "refused")
		if f.hints[id] > f.router.cfg.MaxRetryAfter || f.hints[id] < 100*ms {
			t.Fatalf("retry-after hint %v", f.hints[id])
		}
		seen[f.hints[id].Truncate(50*ms)]++
	}
	for at, n := range seen {
		if n > 20 {
			t.Errorf("%d of 60 are told to return at %v", n, at)
		}
	}
}

// If holding is disabled during a switch, held requests are answered at once.
func TestDisablingHoldAnswersHeldRequests(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.drain(1)
	id := f.request(classGuarded, 1)
	f.advanceWithPrimary(0, 100*ms)
	f.router.SetHandoverConfig(handover.Config{})
	f.advanceWithPrimary(0, 10*ms)
	f.wantFinal(id, "refused")
	if f.router.groups[0].handover.HeldCount() > 0 {
		t.Error("the request is still held")
	}
}

// Under low traffic a request may wait for pings and for a primary at the same time. Once sent, for whichever
// reason, it must wait for neither: its place in the hold queue stayed taken after the request had ended.
func TestRequestAwaitingPingAndPrimaryIsReleasedOnce(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.drain(1)
	id := f.request(classGuarded, 1)
	f.advanceWithPrimary(0, 200*ms)
	if f.router.groups[0].handover.HeldCount() != 1 {
		t.Fatal("the request does not wait for a primary")
	}
	f.router.holdForPing(f.router.requests[id]) // as pingAndHold does
	for end := f.now + time.Second; f.sendCount(id) == 0 && f.now < end; {
		f.advanceWithPrimary(2, 10*ms)
	}
	f.serve(id, 20*ms)
	if n := f.router.groups[0].handover.HeldCount(); n > 0 || len(f.router.requests) > 0 {
		t.Errorf("%d requests held, %d kept", n, len(f.router.requests))
	}
	f.router.Members(f.now, MemberList{Kind: ListFull}) // held requests are answered now
}

// A hundred held writes are released as the new primary's limit allows, and none is lost.
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
					t.Fatalf("the primary has room and %d requests are held, but none was sent", f.router.groups[0].handover.HeldCount())
				}
			}
		}
	}
	if most > 40 || served < 90 {
		t.Errorf("%d in flight at once, %d served", most, served)
	}
	for _, id := range ids {
		if f.finals[id] == "" {
			t.Errorf("request %d has no answer", id)
		}
	}
}

// A write that was sent to a primary before it fell silent may have been executed. It is retried at the new
// primary while the key still identifies a repeat; after that it fails and must not be refused.
func TestPossiblyExecutedWriteIsRetriedWithinDedupWindow(t *testing.T) {
	for _, test := range []struct {
		back  time.Duration
		sends int
	}{{1500 * ms, 2}, {2900 * ms, 1}} {
		cfg := holdConfig()
		cfg.Classes[classGuarded].Limit = 6 * time.Second // its client waits longer than the deduplication window
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
			t.Errorf("primary back after %v: %d sends, %d cancelled, want %d sends", test.back, f.sendCount(id), f.cancels, test.sends)
			continue
		}
		if test.sends == 2 {
			if s := f.serve(id, 80*ms); s.to != 2 {
				t.Errorf("the retry went to %d", s.to)
			}
			continue
		}
		f.finishAttempt(f.mustSend(id), TimedOut)
		f.wantFinal(id, "failed")
	}
}

// Retries one millisecond before, at, and after the last allowed moment.
func TestALateResendByAMillisecond(t *testing.T) {
	for _, after := range []time.Duration{-ms, 0, ms} {
		cfg := holdConfig()
		cfg.Classes[classGuarded].Limit = 6 * time.Second
		f := newReadyProxy(t, cfg, 3)
		id := f.request(classGuarded, 1)
		s := f.mustSend(id)
		q := f.router.requests[id]
		a := q.attempts[0]
		a.mayHaveRun = true // makes its end count as possibly executed
		until := f.router.retryDeadline(q, a)
		if until >= s.at+3*time.Second-f.router.slowTime[classGuarded]+ms {
			t.Fatalf("a retry is still allowed %v after the first attempt", until-s.at)
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

// A client retries with the same key while its first try is held. Both are answered, and each is sent once.
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
			t.Errorf("request %d was sent %d times", id, f.sendCount(id))
		}
		f.serve(id, 20*ms)
	}
}

// While the group awaits a new primary, pings search for it, spread over the proxies.
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
			t.Errorf("%d proxies: %d pings in a second", fronts, n)
		}
	}
}

// A member that answers on a connection from before its silence has not restarted, so it is not cold.
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
			t.Fatalf("silent %v, warm capacity %v", m.handover.Silent, f.router.warmCapacity(f.now, m))
		}
		opened := f.now
		if kept {
			opened = before
		}
		f.router.probe(f.now, m)
		f.router.Probed(f.now, ProbeEnd{Member: 3, Elapsed: ms, ConnOpenedAt: opened, Report: Report{Role: RoleReplica, Position: f.now - 10*ms}})
		if (f.router.warmCapacity(f.now, m) < 1) == kept {
			t.Errorf("answered on a connection from before the silence: %v, warm capacity: %v", kept, f.router.warmCapacity(f.now, m))
		}
	}
}

// A refused dial is evidence of a restart: the member counts as started even if the list names no start for a long
// time, and what is sent to it stays within what a started member bears.
func TestRefusedDialOutweighsAnUnchangedList(t *testing.T) {
	for _, refused := range []bool{false, true} {
		f := newReadyProxy(t, holdConfig(), 4)
		f.advanceWithPrimary(1, 3*time.Second, 3)
		f.router.Probed(f.now, ProbeEnd{Member: 3, Result: ConnectFailed, DialRefused: refused})
		f.advanceWithPrimary(1, 8*time.Second)
		if m := f.router.members[3]; m.handover.Silent || (f.router.warmCapacity(f.now, m) < 1) != refused {
			t.Errorf("dial refused %v: silent %v, warm capacity %v, restart doubt %v", refused, m.handover.Silent, f.router.warmCapacity(f.now, m), m.handover.RestartProbability())
		}
	}
}

// A group without a primary is visited by time alone, even without requests: its phase moves from lost to
// electing, and its members are pinged to find a new primary.
func TestAGroupWithoutAPrimaryIsLookedAt(t *testing.T) {
	f := newReadyProxy(t, holdConfig(), 3)
	f.advanceWithPrimary(1, 200*ms)
	f.advanceWithPrimary(0, 3*time.Second, 1, 2, 3) // all members are silent: only the clock causes events
	if p := f.router.groups[0].handover.Status(f.now).Phase; p != handover.PhaseElecting {
		t.Errorf("phase %v 3 s after the primary fell silent", p)
	}
}
