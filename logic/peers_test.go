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

// word is a peer's fact of a member.
func (f *testProxy) peerReport(id MemberID, role peers.Role, status peers.Status, lag time.Duration) {
	f.router.PeerReports(f.now, []peers.Report{{Database: peers.ShortID(uint64(id)), Role: role, Status: status, At: f.now, Position: f.now - lag}})
}

// Each of 80 proxies held nearly every bounded read for a ping of its own, 1.3 pings a request.
func TestAPeersWordSparesThePing(t *testing.T) {
	f := newReadyProxy(t, gossipConfig(), 4)
	f.advance(400 * ms)
	f.now += 5 * time.Second
	f.probes = nil
	for id := MemberID(2); id <= 4; id++ {
		f.peerReport(id, peers.Replica, peers.Healthy, 60*ms)
	}
	if s := f.mustSend(f.request(classBounded, 1)); s.to == 1 || len(f.probes) > 0 {
		t.Fatalf("sent to %d, %d pings, though a peer has told of recent replicas", s.to, len(f.probes))
	}
}

// A member that a peer finds silent is pinged at once, and used until its own ping says so: the peer may be the one that is cut off.
func TestReportedSilenceTriggersAPing(t *testing.T) {
	f := newReadyProxy(t, gossipConfig(), 4)
	f.advance(400 * ms)
	f.now += 5 * time.Second
	f.probes = nil
	f.peerReport(2, peers.Unknown, peers.Silent, 0)
	f.peerReport(2, peers.Unknown, peers.Silent, 0)
	if len(f.probes) != 1 || f.probes[0] != 2 || f.router.members[2].handover.Silent {
		t.Fatalf("pings %v, silent %v", f.probes, f.router.members[2].handover.Silent)
	}
	f.peerReport(1, peers.Replica, peers.Silent, 0) // a role from before that failure
	if f.router.members[1].role() != RolePrimary {
		t.Error("a word of silence has changed a role")
	}
}

// Failures are counted with those that peers tell, and a replica that fails is tried by few of them: each by itself takes two or three
// failures to see it, and tries it once a second, which with thin traffic is always.
func TestReportedFailuresCount(t *testing.T) {
	f := newReadyProxy(t, gossipConfig(), 4)
	f.advance(400 * ms)
	for range 6 {
		f.peerReport(2, peers.Replica, peers.Failing, 60*ms)
	}
	m := f.router.members[2]
	if f.router.usable(m, f.now) {
		t.Fatal("a replica that fails at every peer is used")
	}
	f.now += 1100 * ms
	if f.router.usable(m, f.now) != (f.now >= f.router.members[2].outlier.PausedUntil()) {
		t.Error("it is tried once a second by each")
	}
}

// A primary that fails often is used all the same, between its trials too: nobody else can take its place.
func TestAFailingPrimaryIsUsed(t *testing.T) {
	f := newReadyProxy(t, gossipConfig(), 4)
	f.advance(400 * ms)
	for range 8 {
		f.peerReport(1, peers.Primary, peers.Failing, 0)
	}
	m := f.router.members[1]
	if !f.router.failures.IsOutlier(&m.outlier) || m.outlier.AllowsTrial(f.now) {
		t.Fatal("it doesn't count as failing, or is at its trial")
	}
	if !f.router.usable(m, f.now) {
		t.Error("a primary that fails often is all there is, and is not used")
	}
	if s := f.mustSend(f.request(classGuarded, 0)); s.to != 1 {
		t.Errorf("a write went to %d", s.to)
	}
}

// A member that has not been heard of is pinged within the time that a fresh front waits, one that a peer knows is not.
func TestFirstPingsAreSpread(t *testing.T) {
	cfg := gossipConfig()
	f := newTestProxy(t, cfg)
	f.listMembers(ListFull, 6)
	f.router.Timer(f.now, tickTimer)
	if len(f.probes) == 6 {
		t.Fatal("all are pinged at once")
	}
	f.peerReport(6, peers.Replica, peers.Healthy, 60*ms)
	spared := f.router.members[6].probedAt == 0
	f.advance(400 * ms)
	for id := MemberID(1); id <= 6; id++ {
		if m := f.router.members[id]; (m.probedAt > 0) == (id == 6 && spared) {
			t.Errorf("member %d: pinged at %v", id, m.probedAt)
		}
	}
}

// Six in ten databases are replaced at once: the new ones are listed beside the old, which drain. Counted among those that share a group's
// work, the old ones halved what each new one was given, and it was refused instead.
func TestDrainingMembersDoNotShareWork(t *testing.T) {
	f := newReadyProxy(t, gossipConfig(), 4)
	g := f.router.groups[f.router.groupOrder[0]]
	if n := f.router.sharingMembers(g); n != 4 {
		t.Fatal(n)
	}
	for id := MemberID(2); id <= 4; id++ {
		f.drain(id)
	}
	if n := f.router.sharingMembers(g); n != 1 {
		t.Errorf("%v share the work of a group of which one is ready", n)
	}
}

// The price of a fact grows with those that it is told to: 300 proxies tell a position half as often as 80 do.
func TestManyProxiesSendPositionsLessOften(t *testing.T) {
	for _, x := range []struct{ proxies, told int }{{80, 4}, {300, 2}, {3000, 2}} {
		cfg := gossipConfig()
		cfg.Proxies = x.proxies
		f := newReadyProxy(t, cfg, 4)
		sent := 0
		for range 4 { // a position each period of pings
			f.now += f.router.pingSchedule.ShortestPeriod()
			f.router.gossip.Observe(f.now, 2, peers.Replica, f.now, f.now)
			f.now += f.router.pingSchedule.ShortestPeriod() / 2 // its turn
			for _, report := range f.router.gossip.NextMessage(f.now) {
				if report.Database == peers.ShortID(2) {
					sent++
				}
			}
			f.now -= f.router.pingSchedule.ShortestPeriod() / 2
		}
		if sent != x.told {
			t.Errorf("%d proxies: told %d times in four periods, %d expected", x.proxies, sent, x.told)
		}
	}
}
