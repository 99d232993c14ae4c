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
	p := newReadyProxy(t, testConfig(), 4)
	for i := 0; i < 40; i++ {
		for _, c := range []int{classBounded, classSession, classAny} {
			if s := p.serve(p.request(c, 0), ms); s.to == 1 {
				t.Fatalf("class %d went to the primary although replicas qualify", c)
			}
		}
		for _, c := range []int{classGuarded, classUnsafe, classFresh} {
			if s := p.serve(p.request(c, 0), ms); s.to != 1 {
				t.Fatalf("class %d went to member %d, not the primary", c, s.to)
			}
		}
		p.advance(50 * ms)
	}
}

func TestPingWindow(t *testing.T) {
	p := newTestProxy(t, testConfig())
	p.listMembers(ListCached, 4)
	p.now += 10 * ms
	p.router.Timer(p.now, tickTimer)
	for m, ping := range map[MemberID]time.Duration{1: ms, 2: ms, 3: 15 * ms, 4: 40 * ms} {
		report := Report{Role: RoleReplica, Position: p.now}
		if m == 1 {
			report.Role = RolePrimary
		}
		p.router.Probed(p.now, ProbeEnd{Member: m, Elapsed: ping, Report: report})
	}
	seen := map[MemberID]int{}
	for i := 0; i < 60; i++ {
		seen[p.serve(p.request(classSession, 0), 0).to]++
	}
	if seen[4] != 0 || seen[2] < 15 || seen[3] < 15 {
		t.Errorf("sends by member %v: want 2 and 3 alike, and none to 4, which is outside the window", seen)
	}
}

func TestPinsHoldUntilThePrimaryChanges(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 6)
	first := p.serve(p.request(classSession, 5), 10*ms).to
	for i := 0; i < 20; i++ {
		if s := p.serve(p.request(classSession, 5), 10*ms); s.to != first {
			t.Fatalf("read %d went to %d, pinned to %d", i, s.to, first)
		}
	}
	// Another member now reports that it is the primary, which invalidates the pin.
	other := MemberID(2)
	if first == other {
		other = 3
	}
	p.now += 10 * ms
	p.router.observe(p.router.members[other], RolePrimary, p.now, p.now, p.now)
	moved := false
	for i := SessionID(0); i < 12; i++ {
		moved = moved || p.serve(p.request(classSession, 5), ms).to != first
		p.router.groups[0].handover.NoteRole(p.now, p.router.members[first].handover, handover.Replica, p.now)
		p.router.groups[0].handover.NoteRole(p.now, p.router.members[other].handover, handover.Primary, p.now)
	}
	if !moved {
		t.Error("the session kept its old replica during twelve changes of primary")
	}
}

func TestSessionReadNeedsItsWrites(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 3)
	w := p.mustSend(p.request(classGuarded, 9))
	p.now += 20 * ms
	p.router.Outcome(p.now, Outcome{Request: w.id, Member: 1, Result: OK, Finished: true, Role: RolePrimary, Position: p.now})
	if s := p.mustSend(p.request(classSession, 9)); s.to != 1 {
		t.Errorf("the read went to replica %d, which is not known to have the write", s.to)
	}
	p.advance(300 * ms)
	p.request(classBounded, 0) // bounded reads make pings more frequent
	p.advance(1200 * ms)
	if s := p.mustSend(p.request(classSession, 9)); s.to == 1 {
		t.Error("the read still goes to the primary although replicas report later positions")
	}
}

func TestEvictedCommitsBoundUnknownSessions(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 2)
	for i := 0; i <= maxSessionEntries; i++ {
		p.router.sessionCommits.add(SessionID(i+1), p.now+time.Duration(i))
	}
	if got := p.router.sessionToken(p.now, &Request{Session: 1}); got != p.now {
		t.Errorf("the token of an evicted session is %v, want the newest evicted commit %v", got, p.now)
	}
	if n := len(p.router.sessionCommits.entries); n != maxSessionEntries {
		t.Errorf("%d commits kept, want %d", n, maxSessionEntries)
	}
}

func TestSessionTokenInRequest(t *testing.T) {
	cfg := testConfig()
	cfg.SessionTokens = true
	p := newReadyProxy(t, cfg, 3)
	send := func(age time.Duration) MemberID {
		p.nextID++
		p.router.Request(p.now, Request{ID: p.nextID, Class: classSession, Session: 4, TokenAge: age, Deadline: p.now + time.Second})
		return p.mustSend(p.nextID).to
	}
	if to := send(5 * ms); to != 1 {
		t.Errorf("a read 5 ms after its write went to %d; replicas are 10 ms behind", to)
	}
	if to := send(500 * ms); to == 1 {
		t.Error("a read 500 ms after its write went to the primary")
	}
}

func TestWriteWithoutPrimaryIsRefusedUnsent(t *testing.T) {
	p := newTestProxy(t, testConfig())
	p.listMembers(ListCached, 3)
	p.advance(20*ms, 1)
	p.now += 400 * ms
	p.router.Timer(p.now, tickTimer)
	id := p.request(classUnsafe, 3)
	p.wantFinal(id, "refused")
	if p.sendCount(id) != 0 || p.hints[id] == 0 {
		t.Errorf("%d sends and hint %v, want none and a hint", p.sendCount(id), p.hints[id])
	}
}

func TestNewRouterHoldsRequestsUntilFirstPings(t *testing.T) {
	p := newTestProxy(t, testConfig())
	p.listMembers(ListCached, 3)
	w, rd := p.request(classUnsafe, 1), p.request(classBounded, 0)
	if len(p.sends) != 0 || len(p.finals) != 0 {
		t.Fatalf("sends %v, finals %v before any ping was answered", p.sends, p.finals)
	}
	p.advance(20 * ms)
	if s := p.mustSend(w); s.to != 1 {
		t.Errorf("the held write went to %d", s.to)
	}
	p.mustSend(rd)
}

func TestMisdirectedWriteDemotesThePrimary(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 3)
	s := p.mustSend(p.request(classUnsafe, 1))
	p.now += 2 * ms
	p.router.Outcome(p.now, Outcome{Request: s.id, Member: s.to, Result: Misdirected, Role: RoleReplica, Position: p.now - 10*ms})
	p.wantFinal(s.id, "refused")
	id := p.request(classUnsafe, 1)
	p.wantFinal(id, "refused")
	if p.sendCount(id) != 0 {
		t.Error("a write was sent to a member that had just rejected one as a replica")
	}
}

func TestFinalAnswerDependsOnPossibleExecution(t *testing.T) {
	for _, test := range []struct {
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
		p := newReadyProxy(t, testConfig(), 4)
		id := p.request(test.class, 1)
		for i := 0; i < 9 && p.finals[id] == ""; i++ {
			p.now += 5 * ms
			p.finishAttempt(p.mustSend(id), test.res)
		}
		if p.finals[id] != test.final || p.sendCount(id) != test.sends {
			t.Errorf("class %d after %d: %d sends and %q, want %d and %q", test.class, test.res, p.sendCount(id), p.finals[id],
				test.sends, test.final)
		}
	}
}

func TestGuardedRetryRespectsDedupWindow(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 3)
	id := p.request(classGuarded, 1)
	p.advance(1195 * ms)
	p.finishAttempt(p.mustSend(id), Failed)
	if p.sendCount(id) != 1 {
		t.Error("a guarded write was retried after its deduplication window")
	}
	p.wantFinal(id, "failed")
}

// A member that owes answers and misses a ping gets no more requests, and its repeatable reads are sent elsewhere.
func TestSilentMemberLosesItsReads(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 4)
	var stuck []RequestID
	for i := 0; i < 30; i++ {
		id := p.request(classBounded, 0)
		if p.mustSend(id).to == 2 {
			stuck = append(stuck, id)
		} else {
			p.serve(id, 0)
		}
	}
	if len(stuck) == 0 {
		t.Fatal("no read went to member 2")
	}
	p.advance(700*ms, 2)
	for _, id := range stuck {
		if p.sendCount(id) != 2 || p.mustSend(id).to == 2 {
			t.Errorf("read %d: %d sends, the last to %d; want a second one to another member", id, p.sendCount(id), p.mustSend(id).to)
		}
	}
	for i := 0; i < 30; i++ {
		if s := p.serve(p.request(classAny, 0), 0); s.to == 2 {
			t.Fatal("a read went to the silent member")
		}
	}
}

func TestSilentPrimaryRefusesWrites(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 3)
	p.advance(1500*ms, 1)
	id := p.request(classUnsafe, 1)
	p.wantFinal(id, "refused")
	if p.sendCount(id) != 0 {
		t.Error("a write was sent to a silent primary")
	}
}

// A member that fails quickly is set aside and gets one trial request at a time.
func TestFailingMemberGetsFewRequests(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 4)
	hits := 0
	for i := 0; i < 200; i++ {
		id := p.request(classAny, 0)
		for p.finals[id] == "" {
			if s := p.mustSend(id); s.to == 3 {
				hits++
				p.finishAttempt(s, Failed)
			} else {
				p.finishAttempt(s, OK)
			}
		}
		p.advance(10 * ms)
	}
	if hits > 12 {
		t.Errorf("the failing member got %d of 200 reads", hits)
	}
}

// A member that answers pings quickly but requests late gets fewer requests, and its peers get the rest.
func TestSlowMemberGetsLess(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 4)
	type flight struct {
		s   sentAttempt
		due time.Duration
	}
	var inFlight []flight
	got := map[MemberID]int{}
	for i := 0; i < 1500; i++ {
		id := p.request(classBounded, 0)
		if s, ok := p.lastSend(id); ok {
			took := 60 * ms
			if s.to == 3 {
				took = 600 * ms
			}
			inFlight = append(inFlight, flight{s, p.now + took})
			if i > 500 {
				got[s.to]++
			}
		}
		p.advance(10 * ms)
		var remaining []flight
		for _, a := range inFlight {
			if a.due <= p.now {
				p.finishAttempt(a.s, OK)
			} else {
				remaining = append(remaining, a)
			}
		}
		inFlight = remaining
	}
	if got[3]*4 > got[2] || got[3] == 0 {
		t.Errorf("sends by member %v: want member 3 at under a quarter of 2's, but not at zero", got)
	}
}

// Long reads that stall replication go to a replica that is too old for bounded reads, starting with a router's
// first.
func TestLongReadsGoToTheReplicaFurthestBehind(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 5)
	for i := 0; i < 300; i++ { // makes long reads a small part of the work
		p.serve(p.request(classSession, 0), 100*ms)
	}
	first := p.mustSend(p.request(classAny, 0)).to
	if again := p.mustSend(p.request(classAny, 0)).to; again != first {
		t.Errorf("the first long reads went to %d and %d: want the same replica", first, again)
	}
	p.router.members[4].position = p.now - 3*time.Second
	for i := 0; i < 2; i++ {
		if s := p.mustSend(p.request(classAny, 0)); s.to != 4 {
			t.Errorf("a long read went to %d, not to the replica furthest behind", s.to)
		}
	}
	p.router.members[4].MaxInFlight = 0 // its limit is reached: its peers stay available for bounded reads all the same
	id := p.request(classAny, 0)
	p.wantFinal(id, "refused")
}

func TestDrainStopsAtTheNews(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 3)
	for i, st := range []MemberState{Draining, Gone} {
		e := readyMember(2 + i)
		e.State = st
		p.router.Members(p.now, MemberList{Kind: ListDelta, Entries: []Member{e}})
		for j := 0; j < 20; j++ {
			if s := p.serve(p.request(classBounded, 0), 0); int(s.to) == 2+i {
				t.Fatalf("a read went to a member in state %d", st)
			}
		}
	}
}

// A restarted member gets little traffic at first, at most its peers' mean times its fraction of capacity.
func TestColdMemberGetsReducedTraffic(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 5)
	for i := 0; i < 100; i++ {
		p.serve(p.request(classBounded, 0), 10*ms)
		p.advance(10 * ms)
	}
	e := readyMember(3)
	e.StartedAt = p.now
	p.router.Members(p.now, MemberList{Kind: ListDelta, Entries: []Member{e}})
	got := map[MemberID]int{}
	for i := 0; i < 300; i++ {
		got[p.serve(p.request(classBounded, 0), 5*ms).to]++
		p.advance(10 * ms)
	}
	if got[3]*2 > got[2] || got[3] == 0 {
		t.Errorf("sends by member %v: want the cold member at under half of a warm one's", got)
	}
}

func TestUnexpectedEvents(t *testing.T) {
	cfg := testConfig()
	cfg.ListOnRequest = true
	p := newTestProxy(t, cfg)
	p.router.Outcome(p.now, Outcome{Request: 99, Result: OK})
	p.router.Abandoned(p.now, 99)
	p.router.ResponseStarted(p.now, 99, 0)
	p.router.Timer(p.now, 12345)
	p.router.Probed(p.now, ProbeEnd{Member: 77})
	p.router.Members(p.now, MemberList{Kind: ListFailed})
	p.listMembers(ListFull, 3)
	p.advance(400 * ms)
	p.nextID++
	p.router.Request(p.now, Request{ID: p.nextID, Class: classAny, Group: 8, Deadline: p.now + time.Second})
	p.wantFinal(p.nextID, "refused") // the group has no members
	p.nextID++
	p.router.Request(p.now, Request{ID: p.nextID, Class: 1000, Deadline: p.now + time.Second})
	p.wantFinal(p.nextID, "failed")
	s := p.mustSend(p.request(classBounded, 0))
	p.router.Members(p.now, MemberList{Kind: ListFull, Entries: []Member{readyMember(1)}}) // the list no longer names the request's member
	p.finishAttempt(s, OK)
	p.finishAttempt(s, OK)
	p.router.Members(p.now, MemberList{Kind: ListFull, Entries: []Member{readyMember(1)}})
	if len(p.router.requests) != 0 || len(p.router.memberOrder) != 1 {
		t.Errorf("%d requests and %d members kept, want 0 and 1", len(p.router.requests), len(p.router.memberOrder))
	}
}

func TestFailedListCallsAreSpaced(t *testing.T) {
	cfg := testConfig()
	cfg.ListOnRequest = true
	p := newTestProxy(t, cfg)
	for i := 0; i < 1000; i++ {
		before := p.watches
		p.now += 10 * ms
		p.router.Timer(p.now, tickTimer)
		if p.watches > before || i == 0 {
			p.router.Members(p.now, MemberList{Kind: ListFailed})
		}
	}
	if p.watches < 3 || p.watches > 9 {
		t.Errorf("%d calls in 10 s of failures, want a few", p.watches)
	}
}

// A member that answers pings but no requests gets at most trial requests, and its reads are sent elsewhere.
func TestUnresponsiveMemberThatAnswersPings(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 3)
	var writes []RequestID
	for i := 0; i < 3; i++ {
		writes = append(writes, p.request(classUnsafe, 1))
		p.mustSend(writes[i])
	}
	p.advance(400 * ms)
	if id := p.request(classUnsafe, 1); p.sendCount(id) != 1 {
		t.Fatal("refused before the aim had passed")
	}
	p.advance(700 * ms)
	id := p.request(classUnsafe, 1)
	p.wantFinal(id, "refused")
	if p.sendCount(id) != 0 {
		t.Error("a write was sent to a primary that has not answered any for longer than their aim")
	}
	for _, w := range writes {
		p.finishAttempt(p.mustSend(w), OK)
	}
	p.advance(2 * time.Second)
	if id := p.request(classUnsafe, 1); p.sendCount(id) != 1 {
		t.Error("still refused after the primary answered")
	}
}

// Overload: once a limit is reached, the class with the lower worth for its work is shed first; below the limit
// none is.
func TestLeastMeritIsShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[classBounded].Worth = 0.1 // the same work as a session read, for a tenth of the worth
	p := newReadyProxy(t, cfg, 4)
	for _, m := range p.router.memberOrder {
		m.MaxInFlight = 10
	}
	shed := func(class, n int) (refused int) {
		for i := 0; i < n; i++ {
			if p.finals[p.request(class, 0)] == "refused" {
				refused++
			}
		}
		return refused
	}
	if n := shed(classBounded, 6); n != 0 {
		t.Errorf("%d of 6 refused although members have room", n)
	}
	if n := shed(classBounded, 40); n < 20 {
		t.Errorf("%d of 40 low-worth reads refused, want most", n)
	}
	if n := shed(classSession, 10); n != 0 {
		t.Errorf("%d of 10 high-worth reads refused although room is kept for them", n)
	}
}

// If clients leave early, the remaining quick answers alone would hide that the member is overloaded.
func TestAbandonedRequestsReduceTheLimit(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 2)
	m := p.router.members[2]
	before := m.MaxInFlight
	for i := 0; i < 40; i++ {
		id := p.request(classBounded, 0)
		if p.sendCount(id) == 0 {
			continue
		}
		p.advance(150 * ms)
		if i%3 == 0 {
			p.finishAttempt(p.mustSend(id), OK)
		} else {
			p.router.Abandoned(p.now, id)
			p.finals[id] = "abandoned"
			p.finishAttempt(p.mustSend(id), Cancelled)
		}
		p.answerPings()
	}
	if m.MaxInFlight > before/3 {
		t.Errorf("limit %.1f, initially %.1f, after two thirds of the clients left", m.MaxInFlight, before)
	}
}

// Overload: a tenant's requests beyond its quota are shed before those of tenants within theirs.
func TestBeyondItsShareIsShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.OverShareWorth = []Tenant{{Name: "a", Quota: 20}, {Name: "b", Quota: 20}}, 0.1
	p := newReadyProxy(t, cfg, 4)
	refused := map[int]int{}
	ask := func(tenant, n int) {
		for i := 0; i < n; i++ {
			p.nextID++
			p.router.Request(p.now, Request{ID: p.nextID, Class: classSession, Tenant: tenant, Deadline: p.now + time.Second})
			if p.finals[p.nextID] == "refused" {
				refused[tenant]++
			}
		}
	}
	for _, m := range p.router.memberOrder {
		m.MaxInFlight = 10
	}
	ask(0, 40)
	ask(1, 8)
	if refused[0] < 15 || refused[1] > 0 {
		t.Errorf("refused by tenant %v, want most of 0's beyond its quota and none of 1's", refused)
	}
}

// Failures that affect all members alike set none aside: a loss of a fifth must not turn into refusing everything.
func TestFailuresEverywhereBenchNobody(t *testing.T) {
	p, benched := newReadyProxy(t, testConfig(), 6), 0
	for i := 0; i < 600; i++ {
		id := p.request(classSession, 0)
		for n := 0; p.finals[id] == ""; n++ {
			res := OK
			if (i+n)%5 < 2 && n == 0 { // two fifths of the first attempts are reset
				res = Reset
			}
			p.finishAttempt(p.mustSend(id), res)
		}
		p.advance(10 * ms)
		for _, m := range p.router.memberOrder[1:] {
			if i > 100 && !p.router.usable(m, p.now) {
				benched++
			}
		}
	}
	if benched > 60 {
		t.Errorf("replicas were set aside %d times in 500 requests", benched)
	}
}

// Long reads fill only their share of a replica's limit; if they filled all of it, most would time out there.
func TestLongReadsFillOnlyTheirShareOfAReplica(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 5)
	for i := 0; i < 300; i++ {
		p.serve(p.request(classSession, 0), 100*ms)
	}
	for _, m := range p.router.memberOrder {
		m.MaxInFlight = 4
	}
	sent := 0
	for i := 0; i < 5; i++ {
		sent += p.sendCount(p.request(classAny, 0))
	}
	if sent == 0 || sent >= 4 {
		t.Errorf("%d long reads sent at a limit of 4, want some, but not all", sent)
	}
}

// The list names a new primary while the old one's own report is newer; then the new one reports its role itself.
func TestNewestWordOfTwoPrimariesCounts(t *testing.T) {
	cfg := testConfig()
	cfg.ListRole = ListRoleLate
	p := newReadyProxy(t, cfg, 3)
	named := readyMember(2)
	named.Primary = true
	p.router.members[2].handover.Role, p.router.members[2].handover.RoleTime = handover.RoleUnknown, 0
	p.router.Members(p.now, MemberList{Kind: ListDelta, Entries: []Member{named}})
	if s := p.serve(p.request(classFresh, 0), ms); s.to != 1 {
		t.Fatalf("a delayed list took precedence over member 1's own report: sent to %d", s.to)
	}
	p.now += 5 * ms
	p.router.observe(p.router.members[2], RolePrimary, p.now, p.now, p.now)
	if s := p.mustSend(p.request(classFresh, 0)); s.to != 2 {
		t.Errorf("sent to %d, although member 2's report is the newest", s.to)
	}
}

// If an agent on the machine has the list, the router must know that list from the start of its process: the list
// known from the configuration may be older and name a database that drains.
func TestAFreshRouterWaitsForTheAgentsList(t *testing.T) {
	for _, probes := range []bool{true, false} {
		cfg := testConfig()
		cfg.ListOnRequest, cfg.ListFromAgent, cfg.EnableProbes = true, true, probes
		p := newReadyProxy(t, cfg, 3) // from the configuration's list; all checks have been answered
		early := p.request(classAny, 0)
		if _, sent := p.lastSend(early); sent {
			t.Fatal("sent before the agent's list arrived")
		}
		p.router.Members(p.now, MemberList{Kind: ListDelta, Entries: []Member{{ID: 2, State: Draining}, {ID: 1, State: Draining}}})
		p.advance(20 * ms)
		if s := p.mustSend(early); s.to != 3 {
			t.Errorf("probes %v: sent to %d, which is draining", probes, s.to)
		}
	}
}

// An agent whose call fails, or that does not answer, delays requests only briefly; without an agent there is no
// delay.
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
