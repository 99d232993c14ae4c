package logic

import (
	"strings"
	"testing"
	"time"

	"havenproxy/internal/handover"
)

func TestNewReportsTheInvalidField(t *testing.T) {
	for want, corrupt := range map[string]func(*Config){
		"Config.Classes is empty": func(c *Config) { c.Classes = nil },
		"Config.Tick":             func(c *Config) { c.Tick = 0 },
		"Config.ColdShare":        func(c *Config) { c.ColdShare = 2 },
		"Classes[0] (bounded)":    func(c *Config) { c.Classes[0].MaxAge = 0 },
		"Classes[1] (session)":    func(c *Config) { c.Classes[1].Aim = 0 },
		"needs DedupWindow":       func(c *Config) { c.Classes[3].DedupWindow = 0 },
		"unknown Read or Effect":  func(c *Config) { c.Classes[2].Read = 99 },
	} {
		cfg := testConfig()
		corrupt(&cfg)
		if _, err := New(cfg, printingActions{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("New: %v, want an error with %q", err, want)
		}
	}
}

func TestModesByClass(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 4)
	for i := 0; i < 40; i++ {
		for _, c := range []int{classBounded, classSession, classAny} {
			if s := f.serve(f.request(c, 0), ms); s.to == 1 {
				t.Fatalf("class %d went to the primary though replicas qualify", c)
			}
		}
		for _, c := range []int{classGuarded, classUnsafe, classFresh} {
			if s := f.serve(f.request(c, 0), ms); s.to != 1 {
				t.Fatalf("class %d went to member %d, not the primary", c, s.to)
			}
		}
		f.advance(50 * ms)
	}
}

func TestPingWindow(t *testing.T) {
	f := newTestProxy(t, testConfig())
	f.listMembers(ListCached, 4)
	f.now += 10 * ms
	f.router.Timer(f.now, tickTimer)
	for m, ping := range map[MemberID]time.Duration{1: ms, 2: ms, 3: 15 * ms, 4: 40 * ms} {
		rep := Report{Role: RoleReplica, Position: f.now}
		if m == 1 {
			rep.Role = RolePrimary
		}
		f.router.Probed(f.now, ProbeEnd{Member: m, Elapsed: ping, Report: rep})
	}
	seen := map[MemberID]int{}
	for i := 0; i < 60; i++ {
		seen[f.serve(f.request(classSession, 0), 0).to]++
	}
	if seen[4] != 0 || seen[2] < 15 || seen[3] < 15 {
		t.Errorf("sends by member %v: want 2 and 3 alike, 4 outside the window", seen)
	}
}

func TestPinsHoldUntilThePrimaryChanges(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 6)
	first := f.serve(f.request(classSession, 5), 10*ms).to
	for i := 0; i < 20; i++ {
		if s := f.serve(f.request(classSession, 5), 10*ms); s.to != first {
			t.Fatalf("read %d went to %d, pinned to %d", i, s.to, first)
		}
	}
	// Another member tells that it is the primary now: the pin is void.
	other := MemberID(2)
	if first == other {
		other = 3
	}
	f.now += 10 * ms
	f.router.observe(f.router.members[other], RolePrimary, f.now, f.now, f.now)
	moved := false
	for i := SessionID(0); i < 12; i++ {
		moved = moved || f.serve(f.request(classSession, 5), ms).to != first
		f.router.groups[0].handover.NoteRole(f.now, f.router.members[first].handover, handover.Replica, f.now)
		f.router.groups[0].handover.NoteRole(f.now, f.router.members[other].handover, handover.Primary, f.now)
	}
	if !moved {
		t.Error("the session stayed with its old replica through twelve changes of primary")
	}
}

func TestSessionReadNeedsItsWrites(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 3)
	w := f.mustSend(f.request(classGuarded, 9))
	f.now += 20 * ms
	f.router.Outcome(f.now, Outcome{Request: w.id, Member: 1, Result: OK, Finished: true, Role: RolePrimary, Position: f.now})
	if s := f.mustSend(f.request(classSession, 9)); s.to != 1 {
		t.Errorf("the read went to replica %d, which is not known to hold the write", s.to)
	}
	f.advance(300 * ms)
	f.request(classBounded, 0) // bounded reads make pings frequent
	f.advance(1200 * ms)
	if s := f.mustSend(f.request(classSession, 9)); s.to == 1 {
		t.Error("the read still goes to the primary though replicas tell later positions")
	}
}

func TestEvictedCommitsBoundUnknownSessions(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 2)
	for i := 0; i <= maxSessionEntries; i++ {
		f.router.sessionCommits.add(SessionID(i+1), f.now+time.Duration(i))
	}
	if got := f.router.sessionToken(f.now, &Request{Session: 1}); got != f.now {
		t.Errorf("a dropped session's token is %v, want the newest dropped commit %v", got, f.now)
	}
	if n := len(f.router.sessionCommits.entries); n != maxSessionEntries {
		t.Errorf("%d commits kept, want %d", n, maxSessionEntries)
	}
}

func TestSessionTokenInRequest(t *testing.T) {
	cfg := testConfig()
	cfg.SessionTokens = true
	f := newReadyProxy(t, cfg, 3)
	send := func(age time.Duration) MemberID {
		f.nextID++
		f.router.Request(f.now, Request{ID: f.nextID, Class: classSession, Session: 4, TokenAge: age, Deadline: f.now + time.Second})
		return f.mustSend(f.nextID).to
	}
	if to := send(5 * ms); to != 1 {
		t.Errorf("a read 5 ms after its write went to %d; replicas are 10 ms behind", to)
	}
	if to := send(500 * ms); to == 1 {
		t.Error("a read 500 ms after its write went to the primary")
	}
}

func TestWriteWithoutPrimaryIsRefusedUnsent(t *testing.T) {
	f := newTestProxy(t, testConfig())
	f.listMembers(ListCached, 3)
	f.advance(20*ms, 1)
	f.now += 400 * ms
	f.router.Timer(f.now, tickTimer)
	id := f.request(classUnsafe, 3)
	f.wantFinal(id, "refused")
	if f.sendCount(id) != 0 || f.hints[id] == 0 {
		t.Errorf("%d sends and hint %v, want none and a hint", f.sendCount(id), f.hints[id])
	}
}

func TestNewRouterHoldsRequestsUntilFirstPings(t *testing.T) {
	f := newTestProxy(t, testConfig())
	f.listMembers(ListCached, 3)
	w, rd := f.request(classUnsafe, 1), f.request(classBounded, 0)
	if len(f.sends) != 0 || len(f.finals) != 0 {
		t.Fatalf("sends %v, finals %v before any ping was answered", f.sends, f.finals)
	}
	f.advance(20 * ms)
	if s := f.mustSend(w); s.to != 1 {
		t.Errorf("the held write went to %d", s.to)
	}
	f.mustSend(rd)
}

func TestMisdirectedWriteDemotesThePrimary(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 3)
	s := f.mustSend(f.request(classUnsafe, 1))
	f.now += 2 * ms
	f.router.Outcome(f.now, Outcome{Request: s.id, Member: s.to, Result: Misdirected, Role: RoleReplica, Position: f.now - 10*ms})
	f.wantFinal(s.id, "refused")
	id := f.request(classUnsafe, 1)
	f.wantFinal(id, "refused")
	if f.sendCount(id) != 0 {
		t.Error("a write was sent to a member that had just turned one away as a replica")
	}
}

func TestFinalAnswerDependsOnPossibleExecution(t *testing.T) {
	for _, c := range []struct {
		class int
		res   Result
		sends int
		final string
	}{
		{classUnsafe, TimedOut, 1, "failed"},
		{classUnsafe, Failed, 1, "failed"},
		{classUnsafe, Rejected, 3, "refused"},
		{classGuarded, Failed, 8, "failed"},
		{classBounded, Failed, 3, "refused"},
	} {
		f := newReadyProxy(t, testConfig(), 4)
		id := f.request(c.class, 1)
		for i := 0; i < 9 && f.finals[id] == ""; i++ {
			f.now += 5 * ms
			f.finishAttempt(f.mustSend(id), c.res)
		}
		if f.finals[id] != c.final || f.sendCount(id) != c.sends {
			t.Errorf("class %d after %d: %d sends and %q, want %d and %q", c.class, c.res, f.sendCount(id), f.finals[id],
				c.sends, c.final)
		}
	}
}

func TestGuardedRetryRespectsDedupWindow(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 3)
	id := f.request(classGuarded, 1)
	f.advance(1195 * ms)
	f.finishAttempt(f.mustSend(id), Failed)
	if f.sendCount(id) != 1 {
		t.Error("a keyed write was repeated after its window")
	}
	f.wantFinal(id, "failed")
}

// Silence: a member that owes answers and lets a ping pass is left, and its repeatable reads move.
func TestSilentMemberLosesItsReads(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 4)
	var stuck []RequestID
	for i := 0; i < 30; i++ {
		id := f.request(classBounded, 0)
		if f.mustSend(id).to == 2 {
			stuck = append(stuck, id)
		} else {
			f.serve(id, 0)
		}
	}
	if len(stuck) == 0 {
		t.Fatal("no read went to member 2")
	}
	f.advance(700*ms, 2)
	for _, id := range stuck {
		if f.sendCount(id) != 2 || f.mustSend(id).to == 2 {
			t.Errorf("read %d: %d sends, the last to %d; want a second one elsewhere", id, f.sendCount(id), f.mustSend(id).to)
		}
	}
	for i := 0; i < 30; i++ {
		if s := f.serve(f.request(classAny, 0), 0); s.to == 2 {
			t.Fatal("a read went to the silent member")
		}
	}
}

func TestSilentPrimaryRefusesWrites(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 3)
	f.advance(1500*ms, 1)
	id := f.request(classUnsafe, 1)
	f.wantFinal(id, "refused")
	if f.sendCount(id) != 0 {
		t.Error("a write was sent to a silent primary")
	}
}

// Fast failure: a member that fails quickly is benched, and gets one trial at a time.
func TestFailingMemberGetsFewRequests(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 4)
	hits := 0
	for i := 0; i < 200; i++ {
		id := f.request(classAny, 0)
		for f.finals[id] == "" {
			if s := f.mustSend(id); s.to == 3 {
				hits++
				f.finishAttempt(s, Failed)
			} else {
				f.finishAttempt(s, OK)
			}
		}
		f.advance(10 * ms)
	}
	if hits > 12 {
		t.Errorf("the failing member got %d of 200 reads", hits)
	}
}

// Slow though pings are quick: a member whose answers run late gets less; its peers get the rest.
func TestSlowMemberGetsLess(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 4)
	type flight struct {
		s   sentAttempt
		due time.Duration
	}
	var inFlight []flight
	got := map[MemberID]int{}
	for i := 0; i < 1500; i++ {
		id := f.request(classBounded, 0)
		if s, ok := f.lastSend(id); ok {
			took := 60 * ms
			if s.to == 3 {
				took = 600 * ms
			}
			inFlight = append(inFlight, flight{s, f.now + took})
			if i > 500 {
				got[s.to]++
			}
		}
		f.advance(10 * ms)
		var remaining []flight
		for _, a := range inFlight {
			if a.due <= f.now {
				f.finishAttempt(a.s, OK)
			} else {
				remaining = append(remaining, a)
			}
		}
		inFlight = remaining
	}
	if got[3]*4 > got[2] || got[3] == 0 {
		t.Errorf("sends by member %v: want member 3 at under a quarter of 2's, but not starved", got)
	}
}

// Long reads that stall applying go where bounded reads can't, from a router's first on.
func TestLongReadsGoToTheReplicaFurthestBehind(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 5)
	for i := 0; i < 300; i++ { // long reads are a small part of the work
		f.serve(f.request(classSession, 0), 100*ms)
	}
	first := f.mustSend(f.request(classAny, 0)).to
	if again := f.mustSend(f.request(classAny, 0)).to; again != first {
		t.Errorf("the first long reads went to %d and %d: two replicas stall", first, again)
	}
	f.router.members[4].position = f.now - 3*time.Second
	for i := 0; i < 2; i++ {
		if s := f.mustSend(f.request(classAny, 0)); s.to != 4 {
			t.Errorf("a long read went to %d, not to the straggler", s.to)
		}
	}
	f.router.members[4].MaxInFlight = 0 // crowded: its peers stay in the filter all the same
	id := f.request(classAny, 0)
	f.wantFinal(id, "refused")
}

func TestDrainStopsAtTheNews(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 3)
	for i, st := range []MemberState{Draining, Gone} {
		e := readyMember(2 + i)
		e.State = st
		f.router.Members(f.now, MemberList{Kind: ListDelta, Entries: []Member{e}})
		for j := 0; j < 20; j++ {
			if s := f.serve(f.request(classBounded, 0), 0); int(s.to) == 2+i {
				t.Fatalf("a read went to a member in state %d", st)
			}
		}
	}
}

// A member back from its start gets little at first, and no more than its peers' mean times its warmth.
func TestColdMemberGetsReducedTraffic(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 5)
	for i := 0; i < 100; i++ {
		f.serve(f.request(classBounded, 0), 10*ms)
		f.advance(10 * ms)
	}
	e := readyMember(3)
	e.StartedAt = f.now
	f.router.Members(f.now, MemberList{Kind: ListDelta, Entries: []Member{e}})
	got := map[MemberID]int{}
	for i := 0; i < 300; i++ {
		got[f.serve(f.request(classBounded, 0), 5*ms).to]++
		f.advance(10 * ms)
	}
	if got[3]*2 > got[2] || got[3] == 0 {
		t.Errorf("sends by member %v: want the cold one at under half of a warm one's", got)
	}
}

func TestUnexpectedEvents(t *testing.T) {
	cfg := testConfig()
	cfg.ListOnRequest = true
	f := newTestProxy(t, cfg)
	f.router.Outcome(f.now, Outcome{Request: 99, Result: OK})
	f.router.Abandoned(f.now, 99)
	f.router.ResponseStarted(f.now, 99, 0)
	f.router.Timer(f.now, 12345)
	f.router.Probed(f.now, ProbeEnd{Member: 77})
	f.router.Members(f.now, MemberList{Kind: ListFailed})
	f.listMembers(ListFull, 3)
	f.advance(400 * ms)
	f.nextID++
	f.router.Request(f.now, Request{ID: f.nextID, Class: classAny, Group: 8, Deadline: f.now + time.Second})
	f.wantFinal(f.nextID, "refused") // a group with no members
	f.nextID++
	f.router.Request(f.now, Request{ID: f.nextID, Class: 1000, Deadline: f.now + time.Second})
	f.wantFinal(f.nextID, "failed")
	s := f.mustSend(f.request(classBounded, 0))
	f.router.Members(f.now, MemberList{Kind: ListFull, Entries: []Member{readyMember(1)}}) // its member is gone
	f.finishAttempt(s, OK)
	f.finishAttempt(s, OK)
	f.router.Members(f.now, MemberList{Kind: ListFull, Entries: []Member{readyMember(1)}})
	if len(f.router.requests) != 0 || len(f.router.memberOrder) != 1 {
		t.Errorf("%d requests and %d members kept, want 0 and 1", len(f.router.requests), len(f.router.memberOrder))
	}
}

func TestFailedListCallsAreSpaced(t *testing.T) {
	cfg := testConfig()
	cfg.ListOnRequest = true
	f := newTestProxy(t, cfg)
	for i := 0; i < 1000; i++ {
		before := f.watches
		f.now += 10 * ms
		f.router.Timer(f.now, tickTimer)
		if f.watches > before || i == 0 {
			f.router.Members(f.now, MemberList{Kind: ListFailed})
		}
	}
	if f.watches < 3 || f.watches > 9 {
		t.Errorf("%d calls in 10 s of failures, want a few", f.watches)
	}
}

// Stuck: a member that answers pings but no requests gets no more than a trial, and its reads move.
func TestUnresponsiveMemberThatAnswersPings(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 3)
	var writes []RequestID
	for i := 0; i < 3; i++ {
		writes = append(writes, f.request(classUnsafe, 1))
		f.mustSend(writes[i])
	}
	f.advance(400 * ms)
	if id := f.request(classUnsafe, 1); f.sendCount(id) != 1 {
		t.Fatal("refused before the aim had passed")
	}
	f.advance(700 * ms)
	id := f.request(classUnsafe, 1)
	f.wantFinal(id, "refused")
	if f.sendCount(id) != 0 {
		t.Error("a write was sent to a primary that has answered none for longer than its aim")
	}
	for _, w := range writes {
		f.finishAttempt(f.mustSend(w), OK)
	}
	f.advance(2 * time.Second)
	if id := f.request(classUnsafe, 1); f.sendCount(id) != 1 {
		t.Error("still refused after the primary answered")
	}
}

// Overload: where a limit is reached, the class that earns less for its work is shed first; below it none is.
func TestLeastMeritIsShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[classBounded].Worth = 0.1 // the same work as a session read's, a tenth of the worth
	f := newReadyProxy(t, cfg, 4)
	for _, m := range f.router.memberOrder {
		m.MaxInFlight = 10
	}
	shed := func(class, n int) (refused int) {
		for i := 0; i < n; i++ {
			if f.finals[f.request(class, 0)] == "refused" {
				refused++
			}
		}
		return refused
	}
	if n := shed(classBounded, 6); n != 0 {
		t.Errorf("%d of 6 refused though members have room", n)
	}
	if n := shed(classBounded, 40); n < 20 {
		t.Errorf("%d of 40 cheap reads refused, want most", n)
	}
	if n := shed(classSession, 10); n != 0 {
		t.Errorf("%d of 10 dear reads refused while room was kept for them", n)
	}
}

// Clients that leave early: quick answers alone would show a crowded member as fine.
func TestAbandonedRequestsReduceTheLimit(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 2)
	m := f.router.members[2]
	before := m.MaxInFlight
	for i := 0; i < 40; i++ {
		id := f.request(classBounded, 0)
		if f.sendCount(id) == 0 {
			continue
		}
		f.advance(150 * ms)
		if i%3 == 0 {
			f.finishAttempt(f.mustSend(id), OK)
		} else {
			f.router.Abandoned(f.now, id)
			f.finals[id] = "abandoned"
			f.finishAttempt(f.mustSend(id), Cancelled)
		}
		f.answerPings()
	}
	if m.MaxInFlight > before/3 {
		t.Errorf("limit %.1f of %.1f after two thirds of the clients left", m.MaxInFlight, before)
	}
}

// Overload: what a tenant asks beyond its share is shed before what others ask within theirs.
func TestBeyondItsShareIsShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.OverShareWorth = []Tenant{{Name: "a", Quota: 20}, {Name: "b", Quota: 20}}, 0.1
	f := newReadyProxy(t, cfg, 4)
	refused := map[int]int{}
	ask := func(tenant, n int) {
		for i := 0; i < n; i++ {
			f.nextID++
			f.router.Request(f.now, Request{ID: f.nextID, Class: classSession, Tenant: tenant, Deadline: f.now + time.Second})
			if f.finals[f.nextID] == "refused" {
				refused[tenant]++
			}
		}
	}
	for _, m := range f.router.memberOrder {
		m.MaxInFlight = 10
	}
	ask(0, 40)
	ask(1, 8)
	if refused[0] < 15 || refused[1] > 0 {
		t.Errorf("refused by tenant %v, want most of 0's beyond its share and none of 1's", refused)
	}
}

// Failures that strike all members alike bench nobody: a fifth lost must not become all refused.
func TestFailuresEverywhereBenchNobody(t *testing.T) {
	f, benched := newReadyProxy(t, testConfig(), 6), 0
	for i := 0; i < 600; i++ {
		id := f.request(classSession, 0)
		for n := 0; f.finals[id] == ""; n++ {
			res := OK
			if (i+n)%5 < 2 && n == 0 { // two fifths of the first attempts are reset
				res = Reset
			}
			f.finishAttempt(f.mustSend(id), res)
		}
		f.advance(10 * ms)
		for _, m := range f.router.memberOrder[1:] {
			if i > 100 && !f.router.usable(m, f.now) {
				benched++
			}
		}
	}
	if benched > 60 {
		t.Errorf("replicas were benched %d times in 500 requests", benched)
	}
}

// Long reads leave room at their straggler by their merit: filled to its limit, most would time out there.
func TestLongReadsFillOnlyTheirShareOfAReplica(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 5)
	for i := 0; i < 300; i++ {
		f.serve(f.request(classSession, 0), 100*ms)
	}
	for _, m := range f.router.memberOrder {
		m.MaxInFlight = 4
	}
	sent := 0
	for i := 0; i < 5; i++ {
		sent += f.sendCount(f.request(classAny, 0))
	}
	if sent == 0 || sent >= 4 {
		t.Errorf("%d long reads sent at a limit of 4, want some and room left", sent)
	}
}

// A list named the new primary while the old one's own word was newer; then the new one speaks for itself.
func TestNewestWordOfTwoPrimariesCounts(t *testing.T) {
	cfg := testConfig()
	cfg.ListRole = ListRoleLate
	f := newReadyProxy(t, cfg, 3)
	named := readyMember(2)
	named.Primary = true
	f.router.members[2].handover.Role, f.router.members[2].handover.RoleTime = handover.RoleUnknown, 0
	f.router.Members(f.now, MemberList{Kind: ListDelta, Entries: []Member{named}})
	if s := f.serve(f.request(classFresh, 0), ms); s.to != 1 {
		t.Fatalf("a late list outranked member 1's own word: sent to %d", s.to)
	}
	f.now += 5 * ms
	f.router.observe(f.router.members[2], RolePrimary, f.now, f.now, f.now)
	if s := f.mustSend(f.request(classFresh, 0)); s.to != 2 {
		t.Errorf("sent to %d, though member 2's word is the newest", s.to)
	}
}

// Where lists are pushed, the agent's list counts as told from a process's first moment: what is known of it from the configuration may be
// older, and name a database that drains.
func TestAFreshRouterWaitsForTheAgentsList(t *testing.T) {
	for _, probes := range []bool{true, false} {
		cfg := testConfig()
		cfg.ListOnRequest, cfg.ListFromAgent, cfg.EnableProbes = true, true, probes
		f := newReadyProxy(t, cfg, 3) // by the configuration's list; all checks have been answered
		early := f.request(classAny, 0)
		if _, sent := f.lastSend(early); sent {
			t.Fatal("sent before the agent has been heard")
		}
		f.router.Members(f.now, MemberList{Kind: ListDelta, Entries: []Member{{ID: 2, State: Draining}, {ID: 1, State: Draining}}})
		f.advance(20 * ms)
		if s := f.mustSend(early); s.to != 3 {
			t.Errorf("probes %v: sent to %d, which drains", probes, s.to)
		}
	}
}

// An agent that fails, or says nothing, holds nobody up for long; and where lists are asked for there is nothing to wait for.
func TestNewRouterStopsWaitingForTheList(t *testing.T) {
	cfg := testConfig()
	cfg.ListOnRequest, cfg.ListFromAgent = true, true
	failing := newReadyProxy(t, cfg, 3)
	id := failing.request(classAny, 0)
	failing.router.Members(failing.now, MemberList{Kind: ListFailed})
	failing.advance(20 * ms)
	failing.mustSend(id)

	silent := newReadyProxy(t, cfg, 3)
	id = silent.request(classAny, 0)
	silent.advance(startupHold)
	silent.mustSend(id)

	cfg.ListFromAgent = false
	withoutAgent := newReadyProxy(t, cfg, 3)
	withoutAgent.mustSend(withoutAgent.request(classAny, 0))
}
