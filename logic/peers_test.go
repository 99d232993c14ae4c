package logic

import (
	"testing"
	"time"

	"havenproxy/internal/peers"
)

func talkers() Config {
	cfg := manyFronts()
	cfg.MaxPeerFacts = 31
	return cfg
}

// word is a peer's fact of a member.
func (f *front) word(id MemberID, role peers.Role, ails peers.Status, lag time.Duration) {
	f.r.PeerFacts(f.now, []peers.Report{{Database: peers.ShortID(uint64(id)), Role: role, Status: ails, At: f.now, Position: f.now - lag}})
}

// Each of 80 proxies held nearly every bounded read for a ping of its own, 1.3 pings a request.
func TestAPeersWordSparesThePing(t *testing.T) {
	f := settled(t, talkers(), 4)
	f.pass(400 * ms)
	f.now += 5 * time.Second
	f.probes = nil
	for id := MemberID(2); id <= 4; id++ {
		f.word(id, peers.Replica, peers.Healthy, 60*ms)
	}
	if s := f.mustSend(f.request(clsBounded, 1)); s.to == 1 || len(f.probes) > 0 {
		t.Fatalf("sent to %d, %d pings, though a peer has told of recent replicas", s.to, len(f.probes))
	}
}

// A member that a peer finds silent is pinged at once, and used until its own ping says so: the peer may be the one that is cut off.
func TestAPeersWordOfSilenceIsAReasonToPing(t *testing.T) {
	f := settled(t, talkers(), 4)
	f.pass(400 * ms)
	f.now += 5 * time.Second
	f.probes = nil
	f.word(2, peers.Unknown, peers.Silent, 0)
	f.word(2, peers.Unknown, peers.Silent, 0)
	if len(f.probes) != 1 || f.probes[0] != 2 || f.r.members[2].seat.Silent {
		t.Fatalf("pings %v, silent %v", f.probes, f.r.members[2].seat.Silent)
	}
	f.word(1, peers.Replica, peers.Silent, 0) // a role from before that failure
	if f.r.members[1].role() != RolePrimary {
		t.Error("a word of silence has changed a role")
	}
}

// Failures are counted with those that peers tell, and a replica that fails is tried by few of them: each by itself takes two or three
// failures to see it, and tries it once a second, which with thin traffic is always.
func TestFailuresThatPeersTellCount(t *testing.T) {
	f := settled(t, talkers(), 4)
	f.pass(400 * ms)
	for range 6 {
		f.word(2, peers.Replica, peers.Failing, 60*ms)
	}
	m := f.r.members[2]
	if f.r.usable(m, f.now) {
		t.Fatal("a replica that fails at every peer is used")
	}
	f.now += 1100 * ms
	if f.r.usable(m, f.now) != (f.now >= f.r.members[2].bench.PausedUntil()) {
		t.Error("it is tried once a second by each")
	}
}

// A primary that fails often is used all the same, between its trials too: nobody else can take its place.
func TestAFailingPrimaryIsUsed(t *testing.T) {
	f := settled(t, talkers(), 4)
	f.pass(400 * ms)
	for range 8 {
		f.word(1, peers.Primary, peers.Failing, 0)
	}
	m := f.r.members[1]
	if !f.r.failures.IsOutlier(&m.bench) || m.bench.AllowsTrial(f.now) {
		t.Fatal("it doesn't count as failing, or is at its trial")
	}
	if !f.r.usable(m, f.now) {
		t.Error("a primary that fails often is all there is, and is not used")
	}
	if s := f.mustSend(f.request(clsGuarded, 0)); s.to != 1 {
		t.Errorf("a write went to %d", s.to)
	}
}

// A member that has not been heard of is pinged within the time that a fresh front waits, one that a peer knows is not.
func TestFirstPingsAreSpread(t *testing.T) {
	cfg := talkers()
	f := newFront(t, cfg)
	f.list(ListFull, 6)
	f.r.Timer(f.now, tickTimer)
	if len(f.probes) == 6 {
		t.Fatal("all are pinged at once")
	}
	f.word(6, peers.Replica, peers.Healthy, 60*ms)
	spared := f.r.members[6].probedAt == 0
	f.pass(400 * ms)
	for id := MemberID(1); id <= 6; id++ {
		if m := f.r.members[id]; (m.probedAt > 0) == (id == 6 && spared) {
			t.Errorf("member %d: pinged at %v", id, m.probedAt)
		}
	}
}

// Six in ten databases are replaced at once: the new ones are listed beside the old, which drain. Counted among those that share a group's
// work, the old ones halved what each new one was given, and it was refused instead.
func TestThoseThatDrainTakeNoPartOfTheWork(t *testing.T) {
	f := settled(t, talkers(), 4)
	g := f.r.groups[f.r.listed[0]]
	if n := f.r.bearers(g); n != 4 {
		t.Fatal(n)
	}
	for id := MemberID(2); id <= 4; id++ {
		f.drain(id)
	}
	if n := f.r.bearers(g); n != 1 {
		t.Errorf("%v share the work of a group of which one is ready", n)
	}
}

// The price of a fact grows with those that it is told to: 300 proxies tell a position half as often as 80 do.
func TestManyProxiesTellLessOften(t *testing.T) {
	for _, x := range []struct{ proxies, told int }{{80, 4}, {300, 2}, {3000, 2}} {
		cfg := talkers()
		cfg.Proxies = x.proxies
		f := settled(t, cfg, 4)
		told := 0
		for range 4 { // a position each period of pings
			f.now += f.r.pings.ShortestPeriod()
			f.r.peers.Observe(f.now, 2, peers.Replica, f.now, f.now)
			f.now += f.r.pings.ShortestPeriod() / 2 // its turn
			for _, fact := range f.r.peers.NextMessage(f.now) {
				if fact.Database == peers.ShortID(2) {
					told++
				}
			}
			f.now -= f.r.pings.ShortestPeriod() / 2
		}
		if told != x.told {
			t.Errorf("%d proxies: told %d times in four periods, %d expected", x.proxies, told, x.told)
		}
	}
}
