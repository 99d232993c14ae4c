package healthcheck

import (
	"fmt"
	"os"
	"testing"
	"time"

	"havenproxy/internal/subset"
)

// target is a tier at size on a network without loss: all proxies with their duties, a relay with all links, and the bytes of every
// message as internal/wire/healthcheck packs it.
type target struct {
	now       time.Duration
	relay     *Relay
	nodes     []*Node
	databases int
	downZone  int                         // of proxies and databases that are gone; -1 = none
	down      map[subset.DatabaseID]bool  // that are gone besides
	running   map[time.Duration][]outcome // by the time at which it is due
	second    targetSecond
	peak      targetSecond
	total     targetSecond
}

// outcome is that of a check.
type outcome struct {
	node     int
	database subset.DatabaseID
	answered bool
}

// targetSecond counts for all proxies, and the most of any proxy, within a second.
type targetSecond struct {
	checks, sent, received    []int
	allChecks, allSent, allIn int
}

const (
	targetZones = 5
	targetBytes = 1600
)

func newTarget(proxies, databases int) *target {
	plan := NewPlan(Settings{Proxies: proxies, Databases: databases, TalkAllowed: true, ChecksPerSecond: 10, BytesPerSecond: targetBytes})
	x := &target{now: simStart, relay: NewRelay(Config{Plan: plan}), databases: databases, downZone: -1,
		down: map[subset.DatabaseID]bool{}, running: map[time.Duration][]outcome{}}
	var tier []subset.Proxy
	for i := range proxies {
		tier = append(tier, subset.Proxy{ID: subset.ProxyID(i + 1), Zone: fmt.Sprint("zone-", i%targetZones)})
	}
	var ids []subset.DatabaseID
	for i := range databases {
		ids = append(ids, subset.DatabaseID(i+1))
	}
	shared := subset.NewAssignment(subset.Config{Checkers: plan.Checkers, Seed: 1})
	shared.SetDatabases(ids)
	shared.SetProxies(tier)
	for i, p := range tier {
		n := NewNode(x.now, Config{Self: p, Epoch: 1, Seed: 1, Plan: plan})
		n.assignment, n.view.assignment = shared, shared // computed once for all, since it is the same
		n.tier, n.databases = tier, ids
		n.view.SetTier(tier)
		n.view.SetDatabases(ids)
		n.used = ids[i%7 : min(i%7+10, len(ids))]
		n.reschedule(x.now)
		x.nodes = append(x.nodes, n)
		x.relay.Attach(x.now, p.ID)
	}
	x.closeSecond()
	return x
}

func (x *target) gone(node int) bool { return node%targetZones == x.downZone }

func (x *target) answers(id subset.DatabaseID) bool {
	return !x.down[id] && int(id-1)%targetZones != x.downZone
}

func (x *target) run(lasts time.Duration) {
	for end := x.now + lasts; x.now < end; x.now += simTick {
		if x.now%time.Second == 0 {
			x.closeSecond()
		}
		x.step()
	}
	x.closeSecond()
}

func (x *target) step() {
	for _, o := range x.running[x.now] {
		if !x.gone(o.node) {
			x.nodes[o.node].Checked(x.now, o.database, Observation{Answered: o.answered, Role: subset.Replica})
		}
	}
	delete(x.running, x.now)
	x.relay.Tick(x.now)
	for i, n := range x.nodes {
		if x.gone(i) {
			continue
		}
		if d, ok := x.relay.Next(x.now, n.config.Self.ID); ok {
			x.second.received[i] += HeaderBytes + PacketBytes + ChangeBytes*len(d.Changes)
			n.ReceiveDigest(x.now, d)
		}
		orders := n.Tick(x.now)
		x.second.checks[i] += len(orders.Checks)
		for _, id := range orders.Checks {
			at, ok := x.now+simTick, x.answers(id)
			if !ok {
				at = x.now + CheckTimeout
			}
			x.running[at] = append(x.running[at], outcome{i, id, ok})
		}
		for _, m := range orders.Messages {
			x.second.sent[i] += HeaderBytes + PacketBytes + ReportBytes*len(m.Reports)
			x.relay.Receive(x.now, m)
		}
	}
}

// closeSecond adds the second that ends to the total, and keeps the peaks.
func (x *target) closeSecond() {
	s := &x.second
	for i := range s.checks {
		x.total.allChecks += s.checks[i]
		x.total.allSent += s.sent[i]
		x.total.allIn += s.received[i]
		x.peak.allChecks = max(x.peak.allChecks, s.checks[i])
		x.peak.allSent = max(x.peak.allSent, s.sent[i])
		x.peak.allIn = max(x.peak.allIn, s.received[i])
	}
	n := len(x.nodes)
	x.second = targetSecond{checks: make([]int, n), sent: make([]int, n), received: make([]int, n)}
}

// log prints what has been counted, and begins to count anew.
func (x *target) log(t *testing.T, name string, lasts time.Duration) {
	per := float64(len(x.nodes)) * lasts.Seconds()
	t.Logf("%s: a second and proxy: checks %.2f (most %d), bytes sent %.0f (most %d), received %.0f (most %d)", name,
		float64(x.total.allChecks)/per, x.peak.allChecks, float64(x.total.allSent)/per, x.peak.allSent, float64(x.total.allIn)/per, x.peak.allIn)
	x.peak, x.total = targetSecond{}, targetSecond{}
}

// known runs until all living proxies looked at call all dead databases dead, or doubt them; it gives the time and the part in doubt.
func (x *target) known(most time.Duration) (took time.Duration, doubted float64) {
	from := x.now
	for x.now < from+most {
		x.run(time.Second)
		dead, doubts, missing := 0, 0, 0
		for i := 0; i < len(x.nodes); i += 41 {
			for id := subset.DatabaseID(1); int(id) <= x.databases && !x.gone(i); id++ {
				if x.answers(id) {
					continue
				}
				dead++
				switch x.nodes[i].Verdict(x.now, id).State {
				case Ejected:
				case Doubted:
					doubts++
				default:
					missing++
				}
			}
		}
		if missing == 0 {
			return x.now - from, float64(doubts) / float64(dead)
		}
	}
	return -1, 0
}

// TestCostAtTheTarget prints the costs of the design note: HEALTHCHECK_TARGET=1 for 820 x 1,300, otherwise a tenth of that.
func TestCostAtTheTarget(t *testing.T) {
	proxies, databases := 82, 130
	if os.Getenv("HEALTHCHECK_TARGET") != "" {
		proxies, databases = 820, 1300
	}
	x := newTarget(proxies, databases)
	x.run(10 * time.Second)
	x.log(t, "start", 10*time.Second)
	x.run(20 * time.Second)
	if x.peak.allChecks > 10 || float64(x.peak.allIn) > 1.5*targetBytes || float64(x.peak.allSent) > 1.5*targetBytes {
		t.Error("over the budget")
	}
	x.log(t, "calm", 20*time.Second)
	x.down[1] = true
	took, _ := x.known(20 * time.Second)
	t.Logf("one death is known to all after %v", took)
	if took < 0 || took > 6*time.Second {
		t.Errorf("one death is known after %v", took)
	}
	x.log(t, "until then", took)
	x.downZone = 2
	took, doubted := x.known(40 * time.Second)
	t.Logf("a zone's %d databases and %d proxies: known or in doubt at all after %v, %.1f%% in doubt", databases/5, proxies/5, took, 100*doubted)
	if took < 0 {
		t.Error("a zone's loss is not known")
	}
	x.log(t, "until then", took)
	x.run(20 * time.Second)
	x.log(t, "20 s with the zone gone", 20*time.Second)
}

func BenchmarkOneProxySecond820x1300(b *testing.B) {
	x := newTarget(820, 1300)
	n := x.nodes[0]
	n.SetUsed(x.now, n.databases)
	b.ResetTimer()
	for range b.N { // one second: ten ticks, a digest, and the outcomes of the checks
		for range 10 {
			x.now += simTick
			n.ReceiveDigest(x.now, Digest{})
			for _, id := range n.Tick(x.now).Checks {
				n.Checked(x.now, id, Observation{Answered: true, Role: subset.Replica})
			}
		}
	}
}
