package logic

import (
	"slices"
	"testing"
	"time"

	"havenproxy/internal/handover"
)

// holding is a deployment that holds writes through a switch, one attempt at a time.
func holding() Config {
	cfg := testConfig()
	cfg.ParallelAttempts, cfg.Handover = false, handover.Config{Hold: true}
	w := &cfg.Classes[clsGuarded]
	w.Aim, w.Limit, w.DedupWindow, w.Late = 600*ms, 3*time.Second, 3*time.Second, 0.3
	return cfg
}

// drain lists a member as draining.
func (f *front) drain(m MemberID) {
	f.r.Members(f.now, MemberList{Kind: ListDelta, Entries: []Member{{ID: m, State: Draining}}})
}

// passAs lets time go by with another primary, or none; members in mute say nothing.
func (f *front) passAs(primary MemberID, d time.Duration, mute ...MemberID) {
	for end := f.now + d; f.now < end; {
		f.now += 10 * ms
		f.r.Timer(f.now, tickTimer)
		ask := f.probes
		f.probes = nil
		for _, m := range ask {
			if slices.Contains(mute, m) {
				continue
			}
			rep := Report{Role: RoleReplica, Position: f.now - 10*ms}
			if m == primary {
				rep = Report{Role: RolePrimary, Position: f.now}
			}
			f.r.ProbeDone(f.now, ProbeResult{Member: m, Elapsed: ms, Report: rep})
		}
	}
}

func TestAWriteIsHeldThroughADrain(t *testing.T) {
	f := settled(t, holding(), 3)
	f.drain(1)
	id := f.request(clsGuarded, 1)
	f.passAs(0, 500*ms)
	if f.count(id) > 0 || f.finals[id] != "" {
		t.Fatalf("%d sends, %q", f.count(id), f.finals[id])
	}
	before := f.now
	for f.count(id) == 0 && f.now < before+time.Second {
		f.passAs(2, 10*ms)
	}
	if s := f.mustSend(id); s.to != 2 || f.now-before > 60*ms {
		t.Errorf("sent to %d, %v after the election: a ping's period and a way were wanted", s.to, f.now-before)
	}
	f.serve(id, 80*ms)
	if n := f.r.groups[0].lead.HeldCount(); n != 0 {
		t.Errorf("%d are held", n)
	}
}

func TestNothingIsHeldWithoutTheSetting(t *testing.T) {
	cfg := holding()
	cfg.Handover.Hold = false
	f := settled(t, cfg, 3)
	f.drain(1)
	f.wantFinal(f.request(clsGuarded, 1), "refused")
}

// A death takes longer than a write's client waits: it hears so at once, and when to come back.
func TestADeathRefusesAtOnceUntilItsEndIsNear(t *testing.T) {
	f := settled(t, holding(), 3)
	f.request(clsGuarded, 1) // it makes the member owe something
	f.passAs(0, 600*ms, 1)
	id := f.request(clsGuarded, 2)
	f.wantFinal(id, "refused")
	if f.hints[id] < 200*ms {
		t.Errorf("come back after %v", f.hints[id])
	}
	f.passAs(0, 4500*ms, 1)
	late := f.request(clsGuarded, 3)
	if f.finals[late] != "" {
		t.Fatalf("%q though the election is due", f.finals[late])
	}
	f.passAs(2, 100*ms, 1)
	if s := f.mustSend(late); s.to != 2 {
		t.Errorf("sent to %d", s.to)
	}
}

// What is held and can't be served in time any more is answered at once, before its client gives up.
func TestAHeldWriteHasItsAnswerInTime(t *testing.T) {
	f := settled(t, holding(), 3)
	f.drain(1)
	id, at := f.request(clsGuarded, 1), f.now
	f.passAs(0, 4*time.Second)
	f.wantFinal(id, "refused")
	if f.count(id) > 0 || f.r.groups[0].lead.HeldCount() > 0 {
		t.Errorf("%d sends, %d held", f.count(id), f.r.groups[0].lead.HeldCount())
	}
	_ = at
}

func TestAClientThatLeavesWhileHeld(t *testing.T) {
	f := settled(t, holding(), 3)
	f.drain(1)
	id := f.request(clsGuarded, 1)
	f.passAs(0, 200*ms)
	f.r.Abandoned(f.now, id)
	f.passAs(2, 500*ms)
	if f.count(id) > 0 || f.finals[id] != "" || f.r.groups[0].lead.HeldCount() > 0 || len(f.r.requests) > 0 {
		t.Errorf("%d sends, %q, %d requests kept", f.count(id), f.finals[id], len(f.r.requests))
	}
}

// A list that drops the whole group: what is held for it has its answer at once, also where the group comes back.
func TestAGroupThatTheListDropsAnswersWhatItHolds(t *testing.T) {
	f := settled(t, holding(), 3)
	f.drain(1)
	id := f.request(clsGuarded, 1)
	f.passAs(0, 50*ms)
	f.r.Members(f.now, MemberList{Kind: ListFull})
	f.list(ListFull, 3)
	f.wantFinal(id, "refused")
	if len(f.r.requests) > 0 {
		t.Errorf("%d requests are kept", len(f.r.requests))
	}
}

// The price of a group's work: nothing while its members are at ease, what its requests earn once they are full.
func TestTheGroupsPrice(t *testing.T) {
	f := settled(t, holding(), 3)
	for range 400 {
		f.serve(f.request(clsAny, 0), ms)
		f.now += 5 * ms
	}
	g := f.r.groups[0]
	if p := g.price(); p != 0 {
		t.Errorf("%v at ease", p)
	}
	for _, m := range g.members {
		m.Strain = 1
	}
	if p, want := g.price(), g.worth/g.work; p != want || p <= 0 {
		t.Errorf("%v when all are full, want %v", p, want)
	}
}

// Those refused in a death are told different times, none beyond what clients heed: they must not return in one moment.
func TestTheRefusedDoNotReturnTogether(t *testing.T) {
	f := settled(t, holding(), 3)
	f.request(clsGuarded, 1)
	f.passAs(0, 600*ms, 1)
	seen := map[time.Duration]int{}
	for i := range 60 {
		id := f.request(clsGuarded, SessionID(i+2))
		f.wantFinal(id, "refused")
		if f.hints[id] > f.r.cfg.MaxRetryAfter || f.hints[id] < 100*ms {
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
func TestSwitchingTheHoldOff(t *testing.T) {
	f := settled(t, holding(), 3)
	f.drain(1)
	id := f.request(clsGuarded, 1)
	f.passAs(0, 100*ms)
	f.r.SetHandoverConfig(handover.Config{})
	f.passAs(0, 10*ms)
	f.wantFinal(id, "refused")
	if f.r.groups[0].lead.HeldCount() > 0 {
		t.Error("it is held still")
	}
}

// A request may wait for pings and for a primary at once, where traffic is thin. Once it is sent, however it came to that, it
// waits for neither: a place in the room that stayed taken was a request's that no longer was.
func TestWhatWaitsForBothWaitsForNeitherOnceSent(t *testing.T) {
	f := settled(t, holding(), 3)
	f.drain(1)
	id := f.request(clsGuarded, 1)
	f.passAs(0, 200*ms)
	if f.r.groups[0].lead.HeldCount() != 1 {
		t.Fatal("it doesn't wait for a primary")
	}
	f.r.hold(f.r.requests[id]) // as inquire does
	for end := f.now + time.Second; f.count(id) == 0 && f.now < end; {
		f.passAs(2, 10*ms)
	}
	f.serve(id, 20*ms)
	if n := f.r.groups[0].lead.HeldCount(); n > 0 || len(f.r.requests) > 0 {
		t.Errorf("%d are held, %d requests kept", n, len(f.r.requests))
	}
	f.r.Members(f.now, MemberList{Kind: ListFull}) // what is held is answered now
}

// A hundred held at once leave as the new primary's limit allows, and none of them is forgotten.
func TestHeldWritesLeaveAtAPace(t *testing.T) {
	f := settled(t, holding(), 3)
	f.drain(1)
	var ids []RequestID
	for i := range 100 {
		ids = append(ids, f.request(clsGuarded, SessionID(i+1)))
	}
	f.passAs(0, 400*ms)
	if n := f.r.groups[0].lead.HeldCount(); n != 100 {
		t.Fatalf("%d held", n)
	}
	most, served := 0, 0
	for end := f.now + 3*time.Second; f.now < end; {
		f.passAs(2, 10*ms)
		m := f.r.members[2]
		most = max(most, len(m.out))
		for _, a := range slices.Clone(m.out) {
			if f.now-a.sentAt >= 40*ms {
				served++
				f.finals[a.req.ID] = "served"
				f.r.Outcome(f.now, Outcome{Request: a.req.ID, Attempt: a.n, Member: 2, Result: OK, Elapsed: f.now - a.sentAt,
					Finished: true, Role: RolePrimary, Position: f.now})
				if f.r.groups[0].lead.HeldCount() > 0 && m.out[len(m.out)-1].sentAt != f.now {
					t.Fatalf("a place was freed, %d wait, and none goes", f.r.groups[0].lead.HeldCount())
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
func TestAWriteThatMayHaveRunFollowsItsGroup(t *testing.T) {
	for _, c := range []struct {
		back  time.Duration
		sends int
	}{{1500 * ms, 2}, {2900 * ms, 1}} {
		cfg := holding()
		cfg.Classes[clsGuarded].Limit = 6 * time.Second // its client outlasts the window
		f := settled(t, cfg, 3)
		id := f.request(clsGuarded, 1)
		if f.mustSend(id).to != 1 {
			t.Fatal("not sent to the primary")
		}
		f.passAs(0, c.back, 1)
		f.passAs(2, 200*ms, 1)
		if f.cancels > 0 {
			s, _ := f.last(id)
			if s.n == 0 {
				f.r.Outcome(f.now, Outcome{Request: id, Member: 1, Result: Cancelled, Elapsed: f.now - s.at})
			}
		}
		f.passAs(2, 200*ms, 1)
		if f.count(id) != c.sends {
			t.Errorf("back after %v: %d sends, %d called off, want %d sends", c.back, f.count(id), f.cancels, c.sends)
			continue
		}
		if c.sends == 2 {
			if s := f.serve(id, 80*ms); s.to != 2 {
				t.Errorf("the repeat went to %d", s.to)
			}
			continue
		}
		f.end(f.mustSend(id), TimedOut)
		f.wantFinal(id, "failed")
	}
}

// One millisecond either side of the last moment for a repeat.
func TestALateResendByAMillisecond(t *testing.T) {
	for _, after := range []time.Duration{-ms, 0, ms} {
		cfg := holding()
		cfg.Classes[clsGuarded].Limit = 6 * time.Second
		f := settled(t, cfg, 3)
		id := f.request(clsGuarded, 1)
		s := f.mustSend(id)
		q := f.r.requests[id]
		a := q.tries[0]
		a.ran = true // its end will be a failure
		until := f.r.until(q, a)
		if until >= s.at+3*time.Second-f.r.slow[clsGuarded]+ms {
			t.Fatalf("%v after the first attempt a repeat is still let out", until-s.at)
		}
		a.ran = false
		f.passAs(1, until-f.r.cost[clsGuarded]-f.now-20*ms)
		f.now = until - f.r.cost[clsGuarded] + after
		f.end(s, Failed)
		if want := 1; after < 0 {
			want = 2
			if f.count(id) != want {
				t.Errorf("%v: %d sends", after, f.count(id))
			}
		} else if f.count(id) != want || f.finals[id] != "failed" {
			t.Errorf("%v: %d sends, %q", after, f.count(id), f.finals[id])
		}
	}
}

// Two requests with the same key, the first held: a client's own retry. Both have their answers, each goes out once.
func TestAClientsOwnRetryWhileTheFirstIsHeld(t *testing.T) {
	f := settled(t, holding(), 3)
	f.drain(1)
	first := f.request(clsGuarded, 7)
	f.passAs(0, 300*ms)
	f.nextID++
	again := f.nextID
	f.r.Request(f.now, Request{ID: again, Class: clsGuarded, Session: 7, Deadline: f.now + 2*time.Second, Retry: true})
	f.passAs(2, 300*ms)
	for _, id := range []RequestID{first, again} {
		if f.count(id) != 1 {
			t.Errorf("request %d went out %d times", id, f.count(id))
		}
		f.serve(id, 20*ms)
	}
}

// While another primary is awaited, pings look for it, spread over the fronts.
func TestThePrimaryIsLookedFor(t *testing.T) {
	for fronts, least := range map[int]int{2: 15, 40: 3} {
		cfg := holding()
		cfg.Proxies = fronts
		f := settled(t, cfg, 3)
		f.request(clsBounded, 0)
		f.drain(1)
		f.request(clsGuarded, 1)
		n := 0
		for range 100 {
			f.now += 10 * ms
			f.probes = nil
			f.r.Timer(f.now, tickTimer)
			for _, m := range f.probes {
				n++
				f.r.ProbeDone(f.now, ProbeResult{Member: m, Elapsed: ms, Report: Report{Role: RoleReplica, Position: f.now - 10*ms}})
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
		f := settled(t, holding(), 4)
		before := f.now
		f.request(clsBounded, 0)
		f.passAs(1, 3*time.Second, 3)
		f.r.ProbeDone(f.now, ProbeResult{Member: 3, Result: TimedOut})
		f.passAs(1, 2*time.Second)
		m := f.r.members[3]
		if m.seat.Silent || f.r.warmth(f.now, m) == 1 {
			t.Fatalf("silent %v, cold %v", m.seat.Silent, f.r.warmth(f.now, m))
		}
		opened := f.now
		if kept {
			opened = before
		}
		f.r.probe(f.now, m)
		f.r.ProbeDone(f.now, ProbeResult{Member: 3, Elapsed: ms, ConnOpenedAt: opened, Report: Report{Role: RoleReplica, Position: f.now - 10*ms}})
		if (f.r.warmth(f.now, m) < 1) == kept {
			t.Errorf("answered on a connection from before: %v, cold: %v", kept, f.r.warmth(f.now, m))
		}
	}
}

// A refused dial is evidence: such a member counts as started anew even where the list names no start for long, and what goes
// there stays within what it bears if it has.
func TestARefusedDialOutweighsAListThatStandsStill(t *testing.T) {
	for _, refused := range []bool{false, true} {
		f := settled(t, holding(), 4)
		f.passAs(1, 3*time.Second, 3)
		f.r.ProbeDone(f.now, ProbeResult{Member: 3, Result: ConnectFailed, DialRefused: refused})
		f.passAs(1, 8*time.Second)
		if m := f.r.members[3]; m.seat.Silent || (f.r.warmth(f.now, m) < 1) != refused {
			t.Errorf("refused %v: silent %v, warmth %v, doubt %v", refused, m.seat.Silent, f.r.warmth(f.now, m), m.seat.RestartProbability())
		}
	}
}

// A group that loses its primary is looked at as time goes by, also while nobody asks for anything: it moves on from lost to
// electing, and its members are pinged for a new primary.
func TestAGroupWithoutAPrimaryIsLookedAt(t *testing.T) {
	f := settled(t, holding(), 3)
	f.passAs(1, 200*ms)
	f.passAs(0, 3*time.Second, 1, 2, 3) // all fall silent: no event comes but the clock's
	if p := f.r.groups[0].lead.Status(f.now).Phase; p != handover.PhaseElecting {
		t.Errorf("%v, 3 s behind the primary's silence", p)
	}
}
