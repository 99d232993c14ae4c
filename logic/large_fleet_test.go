package logic

import (
	"testing"
	"time"

	"havenproxy/internal/peers"
)

// large is a router of a tier of 400 proxies before many groups of four, of which it has heard nothing yet. Member 4g+1 is the primary of
// group g.
func newLargeProxy(t *testing.T, groups int) *testProxy {
	t.Helper()
	cfg := testConfig()
	cfg.Proxies, cfg.MaxPeerReports, cfg.MaxConnections = 400, 17, 122
	f := newTestProxy(t, cfg)
	l := MemberList{Kind: ListCached}
	for id := range 4 * groups {
		l.Entries = append(l.Entries, Member{ID: MemberID(id + 1), Group: GroupID(id / 4), State: Ready})
	}
	f.router.Members(f.now, l)
	return f
}

// passLarge lets time go by; checks are answered, by the first member of each group as its primary. It gives how many there were.
func (f *testProxy) advanceLarge(d time.Duration) (checks int) {
	for end := f.now + d; f.now < end; {
		f.now += 10 * ms
		f.router.Timer(f.now, tickTimer)
		checks += f.answerLargePings()
	}
	return checks
}

func (f *testProxy) answerLargePings() int {
	probed := f.probes
	f.probes = nil
	for _, m := range probed {
		report := Report{Role: RoleReplica, Position: f.now - 10*ms}
		if (m-1)%4 == 0 {
			report = Report{Role: RolePrimary, Position: f.now}
		}
		f.router.Probed(f.now, ProbeEnd{Member: m, Elapsed: ms, Report: report})
	}
	return len(probed)
}

// Guards against incident 38: a check that was never sent, for want of a connection, made its member silent, told all peers so, and had
// the member taken for a cold one later.
func TestACheckThatWasNeverSentSaysNothingOfItsMember(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 3)
	f.advance(2 * time.Second)
	f.now += 10 * ms
	m := f.router.members[1]
	f.router.probe(f.now, m)
	f.router.Probed(f.now, ProbeEnd{Member: 1, Result: NotSent})
	if m.handover.Silent || m.probing || f.router.groups[0].primary != m {
		t.Errorf("silent %v, a check out %v, primary %v", m.handover.Silent, m.probing, f.router.groups[0].primary == m)
	}
	if f.now += 10 * ms; f.router.warmCapacity(f.now, m) != 1 {
		t.Error("the member is taken for a cold one")
	}
}

// Guards against incident 38: a new proxy checked each database of the list in its first 0.3 s, however many there were and whether or not
// anybody asked for them.
func TestANewRouterChecksNoGroupThatNobodyAsksFor(t *testing.T) {
	f := newLargeProxy(t, 800)
	if n := f.advanceLarge(5 * time.Second); n != 0 {
		t.Errorf("%d checks without a request", n)
	}
	f.nextID++
	f.router.Request(f.now, Request{ID: f.nextID, Class: classUnsafe, Group: 7, Deadline: f.now + time.Second})
	n := f.answerLargePings() + f.advanceLarge(100*ms)
	if n == 0 || n > 4 {
		t.Errorf("%d checks for the first request to a group of four", n)
	}
	if s := f.mustSend(f.nextID); s.to != 4*7+1 {
		t.Errorf("a write went to member %d, want %d", s.to, 4*7+1)
	}
}

// Guards against incident 38: at each tick the router looked at all members of groups without a known primary, most of a large list. What it
// looks at is what is in use.
func TestWhatTheRouterLooksAtDoesNotGrowWithTheList(t *testing.T) {
	looked := func(groups int) uint64 {
		f := newLargeProxy(t, groups)
		f.advanceLarge(2 * time.Second)
		before := f.router.memberChecks
		for range 50 {
			f.nextID++
			f.router.Request(f.now, Request{ID: f.nextID, Class: classAny, Group: GroupID(int(f.nextID) % 50), Deadline: f.now + 8*time.Second})
			f.answerLargePings()
			f.advanceLarge(20 * ms)
		}
		return f.router.memberChecks - before
	}
	small, large := looked(50), looked(800)
	if large > small*14/10 {
		t.Errorf("%d looks at members with 3,200 of them, %d with 200; at most 1.4 times as many may be needed", large, small)
	}
}

// Guards against incident 38's mistake in what peers tell: where a thousand databases fall silent, a proxy checked each of them on its peers' word,
// whether or not anybody asked for it.
func TestAPeersWordOfSilenceHasOnlyGroupsInUseChecked(t *testing.T) {
	f := newLargeProxy(t, 800)
	f.advanceLarge(time.Second)
	f.nextID++
	f.router.Request(f.now, Request{ID: f.nextID, Class: classUnsafe, Group: 7, Deadline: f.now + time.Second})
	f.answerLargePings()
	f.advanceLarge(3 * time.Second)
	for id := range MemberID(1000) {
		report := peers.Report{Database: peers.ShortID(uint64(id + 1)), Status: peers.Silent, At: f.now}
		f.router.PeerReports(f.now, []peers.Report{report})
	}
	for _, m := range f.probes {
		if f.router.members[m].Group != 7 {
			t.Fatalf("%d checks, one of member %d, which nobody asks for", len(f.probes), m)
		}
	}
	if len(f.probes) == 0 {
		t.Error("no member of the group in use was checked")
	}
}
