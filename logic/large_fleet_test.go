package logic

import (
	"testing"
	"time"

	"havenproxy/internal/peers"
)

// newLargeProxy returns a proxy of a tier of 400 in front of many groups of four, none of which has been heard
// from. Member 4g+1 is the primary of group g.
func newLargeProxy(t *testing.T, groups int) *testProxy {
	t.Helper()
	cfg := testConfig()
	cfg.Proxies, cfg.MaxPeerReports, cfg.MaxConnections = 400, 17, 122
	p := newTestProxy(t, cfg)
	l := MemberList{Kind: ListCached}
	for id := range 4 * groups {
		l.Entries = append(l.Entries, Member{ID: MemberID(id + 1), Group: GroupID(id / 4), State: Ready})
	}
	p.router.Members(p.now, l)
	return p
}

// advanceLarge advances the clock and answers checks, with the first member of each group as its primary. It
// returns the number of checks.
func (p *testProxy) advanceLarge(d time.Duration) (checks int) {
	for end := p.now + d; p.now < end; {
		p.now += 10 * ms
		p.router.Timer(p.now, tickTimer)
		checks += p.answerLargePings()
	}
	return checks
}

func (p *testProxy) answerLargePings() int {
	probed := p.probes
	p.probes = nil
	for _, m := range probed {
		report := Report{Role: RoleReplica, Position: p.now - 10*ms}
		if (m-1)%4 == 0 {
			report = Report{Role: RolePrimary, Position: p.now}
		}
		p.router.Probed(p.now, ProbeEnd{Member: m, Elapsed: ms, Report: report})
	}
	return len(probed)
}

// Guards against incident 38: a check that was never sent, for lack of a connection, made its member silent, was
// reported to all peers as silence, and later had the member treated as cold.
func TestACheckThatWasNeverSentSaysNothingOfItsMember(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 3)
	p.advance(2 * time.Second)
	p.now += 10 * ms
	m := p.router.members[1]
	p.router.probe(p.now, m)
	p.router.Probed(p.now, ProbeEnd{Member: 1, Result: NotSent})
	if m.handover.Silent || m.probing || p.router.groups[0].primary != m {
		t.Errorf("silent %v, check in flight %v, primary %v", m.handover.Silent, m.probing, p.router.groups[0].primary == m)
	}
	if p.now += 10 * ms; p.router.warmCapacity(p.now, m) != 1 {
		t.Error("the member counts as cold")
	}
}

// Guards against incident 38: a new proxy checked every database of the list in its first 0.3 s, regardless of
// their number and of whether any request needed them.
func TestANewRouterChecksNoGroupThatNobodyAsksFor(t *testing.T) {
	p := newLargeProxy(t, 800)
	if n := p.advanceLarge(5 * time.Second); n != 0 {
		t.Errorf("%d checks without a request", n)
	}
	p.nextID++
	p.router.Request(p.now, Request{ID: p.nextID, Class: classUnsafe, Group: 7, Deadline: p.now + time.Second})
	n := p.answerLargePings() + p.advanceLarge(100*ms)
	if n == 0 || n > 4 {
		t.Errorf("%d checks for the first request to a group of four", n)
	}
	if s := p.mustSend(p.nextID); s.to != 4*7+1 {
		t.Errorf("a write went to member %d, want %d", s.to, 4*7+1)
	}
}

// Guards against incident 38: at each tick the router checked all members of groups without a known primary, most
// of a large list. It must only check what is in use.
func TestWhatTheRouterLooksAtDoesNotGrowWithTheList(t *testing.T) {
	looked := func(groups int) uint64 {
		p := newLargeProxy(t, groups)
		p.advanceLarge(2 * time.Second)
		before := p.router.memberChecks
		for range 50 {
			p.nextID++
			p.router.Request(p.now, Request{ID: p.nextID, Class: classAny, Group: GroupID(int(p.nextID) % 50), Deadline: p.now + 8*time.Second})
			p.answerLargePings()
			p.advanceLarge(20 * ms)
		}
		return p.router.memberChecks - before
	}
	small, large := looked(50), looked(800)
	if large > small*14/10 {
		t.Errorf("%d member checks with 3,200 members, %d with 200; want at most 1.4 times as many", large, small)
	}
}

// Guards against the same fault as in incident 38 in the handling of peer reports: if a thousand databases fell
// silent, a proxy checked each of them on its peers' reports, whether or not any request needed it.
func TestAPeersWordOfSilenceHasOnlyGroupsInUseChecked(t *testing.T) {
	p := newLargeProxy(t, 800)
	p.advanceLarge(time.Second)
	p.nextID++
	p.router.Request(p.now, Request{ID: p.nextID, Class: classUnsafe, Group: 7, Deadline: p.now + time.Second})
	p.answerLargePings()
	p.advanceLarge(3 * time.Second)
	for id := range MemberID(1000) {
		report := peers.Report{Database: peers.ShortID(uint64(id + 1)), Status: peers.Silent, At: p.now}
		p.router.PeerReports(p.now, []peers.Report{report})
	}
	for _, m := range p.probes {
		if p.router.members[m].Group != 7 {
			t.Fatalf("%d checks, one of member %d, which no request needs", len(p.probes), m)
		}
	}
	if len(p.probes) == 0 {
		t.Error("no member of the group in use was checked")
	}
}
