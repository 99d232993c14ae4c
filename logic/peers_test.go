package logic

import (
	"testing"
	"time"

	"havenproxy/internal/peers"
)

func gossipConfig() Config {
	cfg := manyProxies()
	cfg.MaxPeerReports = 31
	return cfg
}

// peerReport delivers a peer's report on a member.
func (p *testProxy) peerReport(id MemberID, role peers.Role, status peers.Status, lag time.Duration) {
	p.router.PeerReports(p.now, []peers.Report{{Database: peers.ShortID(uint64(id)), Role: role, Status: status, At: p.now, Position: p.now - lag}})
}

// Guards against low traffic at many proxies: each of 80 held nearly every bounded read for a ping of its own, 1.3
// pings a request.
func TestAPeersWordSparesThePing(t *testing.T) {
	p := newReadyProxy(t, gossipConfig(), 4)
	p.advance(400 * ms)
	p.now += 5 * time.Second
	p.probes = nil
	for id := MemberID(2); id <= 4; id++ {
		p.peerReport(id, peers.Replica, peers.Healthy, 60*ms)
	}
	if s := p.mustSend(p.request(classBounded, 1)); s.to == 1 || len(p.probes) > 0 {
		t.Fatalf("sent to %d, %d pings, although a peer has reported recent replicas", s.to, len(p.probes))
	}
}

// A member that a peer reports as silent is pinged at once, but used until its own ping fails: the peer may be the
// one that is cut off.
func TestReportedSilenceTriggersAPing(t *testing.T) {
	p := newReadyProxy(t, gossipConfig(), 4)
	p.advance(400 * ms)
	p.now += 5 * time.Second
	p.probes = nil
	p.peerReport(2, peers.Unknown, peers.Silent, 0)
	p.peerReport(2, peers.Unknown, peers.Silent, 0)
	if len(p.probes) != 1 || p.probes[0] != 2 || p.router.members[2].handover.Silent {
		t.Fatalf("pings %v, silent %v", p.probes, p.router.members[2].handover.Silent)
	}
	p.peerReport(1, peers.Replica, peers.Silent, 0) // a role from before the failure
	if p.router.members[1].role() != RolePrimary {
		t.Error("a report of silence has changed a role")
	}
}

// Failures reported by peers count, and a failing replica is tried by few proxies. Each proxy alone takes two or
// three failures to notice it and tries it once a second, which under low traffic is always.
func TestReportedFailuresCount(t *testing.T) {
	p := newReadyProxy(t, gossipConfig(), 4)
	p.advance(400 * ms)
	for range 6 {
		p.peerReport(2, peers.Replica, peers.Failing, 60*ms)
	}
	m := p.router.members[2]
	if p.router.usable(m, p.now) {
		t.Fatal("a replica that fails at every peer is still used")
	}
	p.now += 1100 * ms
	if p.router.usable(m, p.now) != (p.now >= p.router.members[2].breaker.PausedUntil()) {
		t.Error("the replica is tried once a second by each proxy")
	}
}

// A primary that fails often stays in use, even between its trials: no other member can replace it.
func TestAFailingPrimaryIsUsed(t *testing.T) {
	p := newReadyProxy(t, gossipConfig(), 4)
	p.advance(400 * ms)
	for range 8 {
		p.peerReport(1, peers.Primary, peers.Failing, 0)
	}
	m := p.router.members[1]
	if !p.router.failures.IsOutlier(&m.breaker) || m.breaker.AllowsTrial(p.now) {
		t.Fatal("the primary does not count as failing, or is due for a trial")
	}
	if !p.router.usable(m, p.now) {
		t.Error("a primary that fails often is not used, although nothing can replace it")
	}
	if s := p.mustSend(p.request(classGuarded, 0)); s.to != 1 {
		t.Errorf("a write went to %d", s.to)
	}
}

// An unknown member is pinged within the startup hold of a new proxy, unless a peer reports on it first.
func TestFirstPingsAreSpread(t *testing.T) {
	cfg := gossipConfig()
	p := newTestProxy(t, cfg)
	p.listMembers(ListFull, 6)
	p.router.Timer(p.now, tickTimer)
	if len(p.probes) == 6 {
		t.Fatal("all members are pinged at once")
	}
	p.peerReport(6, peers.Replica, peers.Healthy, 60*ms)
	spared := p.router.members[6].probedAt == 0
	p.advance(400 * ms)
	for id := MemberID(1); id <= 6; id++ {
		if m := p.router.members[id]; (m.probedAt > 0) == (id == 6 && spared) {
			t.Errorf("member %d: pinged at %v", id, m.probedAt)
		}
	}
}

// Six in ten databases are replaced at once: the new ones are listed beside the old ones, which drain. When the
// old ones counted among the members that share a group's work, each new one was given half of its part and
// requests were refused.
func TestDrainingMembersDoNotShareWork(t *testing.T) {
	p := newReadyProxy(t, gossipConfig(), 4)
	g := p.router.groups[p.router.groupOrder[0]]
	if n := p.router.sharingMembers(g); n != 4 {
		t.Fatal(n)
	}
	for id := MemberID(2); id <= 4; id++ {
		p.drain(id)
	}
	if n := p.router.sharingMembers(g); n != 1 {
		t.Errorf("%v members share the work of a group with one ready member", n)
	}
}

// The cost of a report grows with the number of its receivers: 300 proxies send a position half as often as 80.
func TestManyProxiesSendPositionsLessOften(t *testing.T) {
	for _, x := range []struct{ proxies, told int }{{80, 4}, {300, 2}, {3000, 2}} {
		cfg := gossipConfig()
		cfg.Proxies = x.proxies
		p := newReadyProxy(t, cfg, 4)
		sent := 0
		for range 4 { // one position per ping period
			p.now += p.router.pingSchedule.ShortestPeriod()
			p.router.gossip.Observe(p.now, 2, peers.Replica, p.now, p.now)
			p.now += p.router.pingSchedule.ShortestPeriod() / 2 // when it is due
			for _, report := range p.router.gossip.NextMessage(p.now) {
				if report.Database == peers.ShortID(2) {
					sent++
				}
			}
			p.now -= p.router.pingSchedule.ShortestPeriod() / 2
		}
		if sent != x.told {
			t.Errorf("%d proxies: position sent %d times in four periods, want %d", x.proxies, sent, x.told)
		}
	}
}
