package logic

import (
	"slices"
	"testing"
	"time"

	"havenproxy/internal/handover"
)

// holdConfig returns a deployment that holds writes during a failover, with one attempt at a time.
func holdConfig() Config {
	cfg := testConfig()
	cfg.ParallelAttempts, cfg.Handover = false, handover.Config{Hold: true}
	write := &cfg.Classes[classGuarded]
	write.Aim, write.Limit, write.DedupWindow, write.Late = 600*ms, 3*time.Second, 3*time.Second, 0.3
	return cfg
}

// drain lists a member as draining.
func (p *testProxy) drain(m MemberID) {
	p.router.Members(p.now, MemberList{Kind: ListDelta, Entries: []Member{{ID: m, State: Draining}}})
}

// advanceWithPrimary advances the clock while primary (0 = none) is the primary; silent members do not answer
// pings.
func (p *testProxy) advanceWithPrimary(primary MemberID, d time.Duration, silent ...MemberID) {
	for end := p.now + d; p.now < end; {
		p.now += 10 * ms
		p.router.Timer(p.now, tickTimer)
		probed := p.probes
		p.probes = nil
		for _, m := range probed {
			if slices.Contains(silent, m) {
				continue
			}
			report := Report{Role: RoleReplica, Position: p.now - 10*ms}
			if m == primary {
				report = Report{Role: RolePrimary, Position: p.now}
			}
			p.router.Probed(p.now, ProbeEnd{Member: m, Elapsed: ms, Report: report})
		}
	}
}

func TestAWriteIsHeldThroughADrain(t *testing.T) {
	p := newReadyProxy(t, holdConfig(), 3)
	p.drain(1)
	id := p.request(classGuarded, 1)
	p.advanceWithPrimary(0, 500*ms)
	if p.sendCount(id) > 0 || p.finals[id] != "" {
		t.Fatalf("%d sends, %q", p.sendCount(id), p.finals[id])
	}
	before := p.now
	for p.sendCount(id) == 0 && p.now < before+time.Second {
		p.advanceWithPrimary(2, 10*ms)
	}
	if s := p.mustSend(id); s.to != 2 || p.now-before > 60*ms {
		t.Errorf("sent to %d, %v after the election: want at most a ping period and a network delay", s.to, p.now-before)
	}
	p.serve(id, 80*ms)
	if n := p.router.groups[0].handover.HeldCount(); n != 0 {
		t.Errorf("%d requests are held", n)
	}
}

func TestNothingIsHeldWithoutTheSetting(t *testing.T) {
	cfg := holdConfig()
	cfg.Handover.Hold = false
	p := newReadyProxy(t, cfg, 3)
	p.drain(1)
	p.wantFinal(p.request(classGuarded, 1), "refused")
}

// The failure of a primary lasts longer than a write's client waits, so the client is refused at once, with a
// hint.
func TestPrimaryFailureRefusesWritesUntilElectionIsDue(t *testing.T) {
	p := newReadyProxy(t, holdConfig(), 3)
	p.request(classGuarded, 1) // makes the primary owe an answer
	p.advanceWithPrimary(0, 600*ms, 1)
	id := p.request(classGuarded, 2)
	p.wantFinal(id, "refused")
	if p.hints[id] < 200*ms {
		t.Errorf("retry-after hint %v", p.hints[id])
	}
	p.advanceWithPrimary(0, 4500*ms, 1)
	late := p.request(classGuarded, 3)
	if p.finals[late] != "" {
		t.Fatalf("final answer %q although the election is due", p.finals[late])
	}
	p.advanceWithPrimary(2, 100*ms, 1)
	if s := p.mustSend(late); s.to != 2 {
		t.Errorf("sent to %d", s.to)
	}
}

// A held write that cannot be served in time any more is answered before its deadline.
func TestHeldWriteIsAnsweredBeforeItsDeadline(t *testing.T) {
	p := newReadyProxy(t, holdConfig(), 3)
	p.drain(1)
	id, at := p.request(classGuarded, 1), p.now
	p.advanceWithPrimary(0, 4*time.Second)
	p.wantFinal(id, "refused")
	if p.sendCount(id) > 0 || p.router.groups[0].handover.HeldCount() > 0 {
		t.Errorf("%d sends, %d held", p.sendCount(id), p.router.groups[0].handover.HeldCount())
	}
	_ = at
}

func TestAbandonedHeldRequest(t *testing.T) {
	p := newReadyProxy(t, holdConfig(), 3)
	p.drain(1)
	id := p.request(classGuarded, 1)
	p.advanceWithPrimary(0, 200*ms)
	p.router.Abandoned(p.now, id)
	p.advanceWithPrimary(2, 500*ms)
	if p.sendCount(id) > 0 || p.finals[id] != "" || p.router.groups[0].handover.HeldCount() > 0 || len(p.router.requests) > 0 {
		t.Errorf("%d sends, %q, %d requests kept", p.sendCount(id), p.finals[id], len(p.router.requests))
	}
}

// A list drops the whole group: requests held for it are answered at once, even if the group comes back.
func TestDroppedGroupAnswersHeldRequests(t *testing.T) {
	p := newReadyProxy(t, holdConfig(), 3)
	p.drain(1)
	id := p.request(classGuarded, 1)
	p.advanceWithPrimary(0, 50*ms)
	p.router.Members(p.now, MemberList{Kind: ListFull})
	p.listMembers(ListFull, 3)
	p.wantFinal(id, "refused")
	if len(p.router.requests) > 0 {
		t.Errorf("%d requests are kept", len(p.router.requests))
	}
}

// The price of work is zero while members are lightly loaded, and the worth of the work once they are full.
func TestWorkPrice(t *testing.T) {
	p := newReadyProxy(t, holdConfig(), 3)
	for range 400 {
		p.serve(p.request(classAny, 0), ms)
		p.now += 5 * ms
	}
	g := p.router.groups[0]
	if price := g.workPrice(); price != 0 {
		t.Errorf("price %v at light load", price)
	}
	for _, m := range g.members {
		m.LatencyRatio = 1
	}
	if price, want := g.workPrice(), g.meanWorth/g.meanWork; price != want || price <= 0 {
		t.Errorf("price %v when all members are full, want %v", price, want)
	}
}

// Writes refused after a failure of the primary get different hints within the limit that clients respect, so that
// they do not return at once.
func TestTheRefusedDoNotReturnTogether(t *testing.T) {
	p := newReadyProxy(t, holdConfig(), 3)
	p.request(classGuarded, 1)
	p.advanceWithPrimary(0, 600*ms, 1)
	seen := map[time.Duration]int{}
	for i := range 60 {
		id := p.request(classGuarded, SessionID(i+2))
		p.wantFinal(id, "refused")
		if p.hints[id] > p.router.cfg.MaxRetryAfter || p.hints[id] < 100*ms {
			t.Fatalf("retry-after hint %v", p.hints[id])
		}
		seen[p.hints[id].Truncate(50*ms)]++
	}
	for at, n := range seen {
		if n > 20 {
			t.Errorf("%d of 60 are told to return at %v", n, at)
		}
	}
}

// If holding is disabled during a switch, held requests are answered at once.
func TestDisablingHoldAnswersHeldRequests(t *testing.T) {
	p := newReadyProxy(t, holdConfig(), 3)
	p.drain(1)
	id := p.request(classGuarded, 1)
	p.advanceWithPrimary(0, 100*ms)
	p.router.SetHandoverConfig(handover.Config{})
	p.advanceWithPrimary(0, 10*ms)
	p.wantFinal(id, "refused")
	if p.router.groups[0].handover.HeldCount() > 0 {
		t.Error("the request is still held")
	}
}

// Under low traffic a request may wait for pings and for a primary at the same time. Once sent, for whichever
// reason, it must wait for neither: its place in the hold queue stayed taken after the request had ended.
func TestRequestAwaitingPingAndPrimaryIsReleasedOnce(t *testing.T) {
	p := newReadyProxy(t, holdConfig(), 3)
	p.drain(1)
	id := p.request(classGuarded, 1)
	p.advanceWithPrimary(0, 200*ms)
	if p.router.groups[0].handover.HeldCount() != 1 {
		t.Fatal("the request does not wait for a primary")
	}
	p.router.holdForPing(p.router.requests[id]) // as pingAndHold does
	for end := p.now + time.Second; p.sendCount(id) == 0 && p.now < end; {
		p.advanceWithPrimary(2, 10*ms)
	}
	p.serve(id, 20*ms)
	if n := p.router.groups[0].handover.HeldCount(); n > 0 || len(p.router.requests) > 0 {
		t.Errorf("%d requests held, %d kept", n, len(p.router.requests))
	}
	p.router.Members(p.now, MemberList{Kind: ListFull}) // held requests are answered now
}

// A hundred held writes are released as the new primary's limit allows, and none is lost.
func TestHeldWritesAreReleasedGradually(t *testing.T) {
	p := newReadyProxy(t, holdConfig(), 3)
	p.drain(1)
	var ids []RequestID
	for i := range 100 {
		ids = append(ids, p.request(classGuarded, SessionID(i+1)))
	}
	p.advanceWithPrimary(0, 400*ms)
	if n := p.router.groups[0].handover.HeldCount(); n != 100 {
		t.Fatalf("%d held", n)
	}
	most, served := 0, 0
	for end := p.now + 3*time.Second; p.now < end; {
		p.advanceWithPrimary(2, 10*ms)
		m := p.router.members[2]
		most = max(most, len(m.inFlight))
		for _, a := range slices.Clone(m.inFlight) {
			if p.now-a.sentAt >= 40*ms {
				served++
				p.finals[a.request.ID] = "served"
				p.router.Outcome(p.now, Outcome{Request: a.request.ID, Attempt: a.index, Member: 2, Result: OK, Elapsed: p.now - a.sentAt,
					Finished: true, Role: RolePrimary, Position: p.now})
				if p.router.groups[0].handover.HeldCount() > 0 && m.inFlight[len(m.inFlight)-1].sentAt != p.now {
					t.Fatalf("the primary has room and %d requests are held, but none was sent", p.router.groups[0].handover.HeldCount())
				}
			}
		}
	}
	if most > 40 || served < 90 {
		t.Errorf("%d in flight at once, %d served", most, served)
	}
	for _, id := range ids {
		if p.finals[id] == "" {
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
		p := newReadyProxy(t, cfg, 3)
		id := p.request(classGuarded, 1)
		if p.mustSend(id).to != 1 {
			t.Fatal("not sent to the primary")
		}
		p.advanceWithPrimary(0, test.back, 1)
		p.advanceWithPrimary(2, 200*ms, 1)
		if p.cancels > 0 {
			s, _ := p.lastSend(id)
			if s.index == 0 {
				p.router.Outcome(p.now, Outcome{Request: id, Member: 1, Result: Cancelled, Elapsed: p.now - s.at})
			}
		}
		p.advanceWithPrimary(2, 200*ms, 1)
		if p.sendCount(id) != test.sends {
			t.Errorf("primary back after %v: %d sends, %d cancelled, want %d sends", test.back, p.sendCount(id), p.cancels, test.sends)
			continue
		}
		if test.sends == 2 {
			if s := p.serve(id, 80*ms); s.to != 2 {
				t.Errorf("the retry went to %d", s.to)
			}
			continue
		}
		p.finishAttempt(p.mustSend(id), TimedOut)
		p.wantFinal(id, "failed")
	}
}

// Retries one millisecond before, at, and after the last allowed moment.
func TestALateResendByAMillisecond(t *testing.T) {
	for _, after := range []time.Duration{-ms, 0, ms} {
		cfg := holdConfig()
		cfg.Classes[classGuarded].Limit = 6 * time.Second
		p := newReadyProxy(t, cfg, 3)
		id := p.request(classGuarded, 1)
		s := p.mustSend(id)
		q := p.router.requests[id]
		a := q.attempts[0]
		a.mayHaveRun = true // makes its end count as possibly executed
		until := p.router.retryDeadline(q, a)
		if until >= s.at+3*time.Second-p.router.slowTime[classGuarded]+ms {
			t.Fatalf("a retry is still allowed %v after the first attempt", until-s.at)
		}
		a.mayHaveRun = false
		p.advanceWithPrimary(1, until-p.router.serviceTime[classGuarded]-p.now-20*ms)
		p.now = until - p.router.serviceTime[classGuarded] + after
		p.finishAttempt(s, Failed)
		if want := 1; after < 0 {
			want = 2
			if p.sendCount(id) != want {
				t.Errorf("%v: %d sends", after, p.sendCount(id))
			}
		} else if p.sendCount(id) != want || p.finals[id] != "failed" {
			t.Errorf("%v: %d sends, %q", after, p.sendCount(id), p.finals[id])
		}
	}
}

// A client retries with the same key while its first try is held. Both are answered, and each is sent once.
func TestClientRetryWhileTheFirstTryIsHeld(t *testing.T) {
	p := newReadyProxy(t, holdConfig(), 3)
	p.drain(1)
	first := p.request(classGuarded, 7)
	p.advanceWithPrimary(0, 300*ms)
	p.nextID++
	again := p.nextID
	p.router.Request(p.now, Request{ID: again, Class: classGuarded, Session: 7, Deadline: p.now + 2*time.Second, Retry: true})
	p.advanceWithPrimary(2, 300*ms)
	for _, id := range []RequestID{first, again} {
		if p.sendCount(id) != 1 {
			t.Errorf("request %d was sent %d times", id, p.sendCount(id))
		}
		p.serve(id, 20*ms)
	}
}

// While the group awaits a new primary, pings search for it, spread over the proxies.
func TestThePrimaryIsLookedFor(t *testing.T) {
	for proxies, least := range map[int]int{2: 15, 40: 3} {
		cfg := holdConfig()
		cfg.Proxies = proxies
		p := newReadyProxy(t, cfg, 3)
		p.request(classBounded, 0)
		p.drain(1)
		p.request(classGuarded, 1)
		n := 0
		for range 100 {
			p.now += 10 * ms
			p.probes = nil
			p.router.Timer(p.now, tickTimer)
			for _, m := range p.probes {
				n++
				p.router.Probed(p.now, ProbeEnd{Member: m, Elapsed: ms, Report: Report{Role: RoleReplica, Position: p.now - 10*ms}})
			}
		}
		if n < least || n > 45 {
			t.Errorf("%d proxies: %d pings in a second", proxies, n)
		}
	}
}

// A member that answers on a connection from before its silence has not restarted, so it is not cold.
func TestACutMemberIsNotCold(t *testing.T) {
	for _, kept := range []bool{false, true} {
		p := newReadyProxy(t, holdConfig(), 4)
		before := p.now
		p.request(classBounded, 0)
		p.advanceWithPrimary(1, 3*time.Second, 3)
		p.router.Probed(p.now, ProbeEnd{Member: 3, Result: TimedOut})
		p.advanceWithPrimary(1, 2*time.Second)
		m := p.router.members[3]
		if m.handover.Silent || p.router.warmCapacity(p.now, m) == 1 {
			t.Fatalf("silent %v, warm capacity %v", m.handover.Silent, p.router.warmCapacity(p.now, m))
		}
		opened := p.now
		if kept {
			opened = before
		}
		p.router.probe(p.now, m)
		p.router.Probed(p.now, ProbeEnd{Member: 3, Elapsed: ms, ConnOpenedAt: opened, Report: Report{Role: RoleReplica, Position: p.now - 10*ms}})
		if (p.router.warmCapacity(p.now, m) < 1) == kept {
			t.Errorf("answered on a connection from before the silence: %v, warm capacity: %v", kept, p.router.warmCapacity(p.now, m))
		}
	}
}

// A refused dial is evidence of a restart: the member counts as started even if the list names no start for a long
// time, and what is sent to it stays within what a started member bears.
func TestRefusedDialOutweighsAnUnchangedList(t *testing.T) {
	for _, refused := range []bool{false, true} {
		p := newReadyProxy(t, holdConfig(), 4)
		p.advanceWithPrimary(1, 3*time.Second, 3)
		p.router.Probed(p.now, ProbeEnd{Member: 3, Result: ConnectFailed, DialRefused: refused})
		p.advanceWithPrimary(1, 8*time.Second)
		if m := p.router.members[3]; m.handover.Silent || (p.router.warmCapacity(p.now, m) < 1) != refused {
			t.Errorf("dial refused %v: silent %v, warm capacity %v, restart doubt %v", refused, m.handover.Silent, p.router.warmCapacity(p.now, m), m.handover.RestartProbability())
		}
	}
}

// A group without a primary is visited by time alone, even without requests: its phase moves from lost to
// electing, and its members are pinged to find a new primary.
func TestAGroupWithoutAPrimaryIsLookedAt(t *testing.T) {
	p := newReadyProxy(t, holdConfig(), 3)
	p.advanceWithPrimary(1, 200*ms)
	p.advanceWithPrimary(0, 3*time.Second, 1, 2, 3) // all members are silent: only the clock causes events
	if phase := p.router.groups[0].handover.Status(p.now).Phase; phase != handover.PhaseElecting {
		t.Errorf("phase %v 3 s after the primary fell silent", phase)
	}
}
