package healthcheck

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"havenproxy/internal/subset"
)

// scenario is a kind of fault to simulate; the seed determines when and where it strikes.
type scenario struct {
	name        string
	proxies     int
	zones       int
	databases   int
	bytes       float64
	loss        float64                                         // probability that a message is lost
	checkLoss   float64                                         // probability that a check is lost
	served      bool                                            // requests to databases that are up are answered throughout
	aliveWithin time.Duration                                   // no reachable proxy ejects a database that has been up for this long
	knownWithin time.Duration                                   // every reachable proxy ejects a database that has been down for this long; 0 = default, negative = not checked
	cut         func(w *world, n *simNode, d *simDatabase) bool // reports whether the proxy cannot reach the database; nil = always reachable
	setup       func(w *world)
}

const (
	simLength = 40 * time.Second
	second    = time.Second
)

// death makes a random database fail, and recover later.
func death(w *world, from, until time.Duration) {
	d := w.databases[w.rng.IntN(len(w.databases))]
	at := w.between(from, until)
	w.after(at, func() { w.setDown(d, true) })
	w.after(at+w.between(6*second, 18*second), func() { w.setDown(d, false) })
}

// some returns n random proxies.
func some(w *world, n int) (out []*simNode) {
	for _, i := range w.rng.Perm(len(w.nodes))[:n] {
		out = append(out, w.nodes[i])
	}
	return out
}

func inZone(n *simNode, zone int) bool { return n.zone == zone }

// scenarios returns all scenarios.
func scenarios() []*scenario {
	list := []*scenario{
		{name: "calm", setup: func(w *world) { death(w, 5*second, 20*second) }},
		{name: "members come and go", setup: setupChurn},
		{name: "half of the messages lost", loss: 0.5, knownWithin: 14 * second, aliveWithin: 12 * second, setup: func(w *world) {
			death(w, 5*second, 20*second)
		}},
		{name: "planners lost, half of the messages lost", loss: 0.5, knownWithin: 18 * second, aliveWithin: 14 * second, setup: setupPlannersLost},
		{name: "a planner replaced", setup: setupPlannerReplaced},
		{name: "nobody heard", knownWithin: 16 * second, setup: setupNobodyHeard},
		{name: "a zone's checkers gone", setup: setupZoneGone},
		{name: "two zones cut off", knownWithin: -1, setup: func(w *world) {}, cut: func(w *world, n *simNode, d *simDatabase) bool {
			return w.now > simStart+10*second && (inZone(n, 0) || inZone(n, 1))
		}},
		{name: "a zone of two cut off in part", zones: 2, knownWithin: -1, setup: func(w *world) {}, cut: func(w *world, n *simNode, d *simDatabase) bool {
			return w.now > simStart+10*second && inZone(n, 0) && d.id%4 == 0
		}},
		{name: "two zones cut off in part, requests answered", served: true, knownWithin: -1, setup: func(w *world) {}, cut: func(w *world, n *simNode, d *simDatabase) bool {
			return w.now > simStart+10*second && (inZone(n, 0) || inZone(n, 1)) && d.id%4 == 0
		}},
		{name: "two versions", setup: setupVersions},
		{name: "checkers paused, awake with old facts", knownWithin: -1, setup: setupPaused},
		{name: "planners lost, then checkers paused", knownWithin: -1, aliveWithin: ReportTTL + 2*second, setup: setupPausedAmongPeers},
		{name: "rolling restart", setup: setupRollingRestart},
		{name: "a checker calls all dead", setup: func(w *world) {
			some(w, 1)[0].reportsAllDead = true
			death(w, 5*second, 20*second)
		}},
		{name: "clocks ahead, then set", knownWithin: -1, setup: setupClocks},
		{name: "checks lost", checkLoss: 0.3, knownWithin: -1, aliveWithin: 8 * second, setup: func(w *world) {}},
		{name: "databases stall for a moment", knownWithin: -1, setup: func(w *world) {}, cut: func(w *world, n *simNode, d *simDatabase) bool {
			return w.now >= simStart+10*second && w.now < simStart+10*second+2200*time.Millisecond && d.id%4 == 0
		}},
		{name: "few bytes", bytes: 200, knownWithin: 16 * second, aliveWithin: 16 * second, setup: func(w *world) {
			for _, d := range w.databases[:3] {
				w.after(10*second, func() { w.setDown(d, true) })
			}
		}},
	}
	for _, s := range list {
		setDefaults(s)
	}
	return list
}

func setDefaults(s *scenario) {
	s.proxies, s.databases = 10, 12
	if s.zones == 0 {
		s.zones = 5
	}
	if s.bytes == 0 {
		s.bytes = 1000
	}
	if s.knownWithin == 0 {
		s.knownWithin = 8 * second
	}
	if s.aliveWithin == 0 {
		s.aliveWithin = 5 * second
	}
}

func setupChurn(w *world) {
	death(w, 10*second, 20*second)
	for range 3 {
		n := some(w, 1)[0]
		at := w.between(3*second, 15*second)
		w.after(at, func() {
			w.crash(n)
			w.membersChange(slices.DeleteFunc(slices.Clone(w.tier), func(p subset.Proxy) bool { return p == n.self }))
		})
		w.after(at+w.between(3*second, 10*second), func() {
			w.membersChange(append(slices.Clone(w.tier), n.self))
			w.start(n)
		})
	}
}

func setupPlannersLost(w *world) {
	w.after(w.between(2*second, 5*second), func() { w.planner = false })
	death(w, 12*second, 16*second)
	death(w, 12*second, 16*second)
}

// setupPlannerReplaced stops the planner and starts a new one without any state.
func setupPlannerReplaced(w *world) {
	death(w, 5*second, 12*second)
	death(w, 5*second, 12*second)
	at := w.between(8*second, 20*second)
	w.after(at, func() { w.planner = false })
	w.after(at+w.between(0, 3*second), func() {
		config := w.relay.config
		config.Epoch = 100 // later than all proxies' epochs, so that the planner expects reports from before its start
		w.planner, w.relay = true, NewRelay(config)
		for _, n := range w.nodes {
			w.relay.Attach(w.now, n.self.ID)
			n.node.PlannerConnected(w.now)
		}
	})
}

func setupNobodyHeard(w *world) {
	for _, n := range w.nodes {
		n.muteUntil = w.now + simLength
	}
	d := w.databases[w.rng.IntN(len(w.databases))]
	w.after(w.between(10*second, 16*second), func() { w.setDown(d, true) })
}

func setupZoneGone(w *world) {
	zone := w.rng.IntN(5)
	w.after(8*second, func() {
		for _, n := range w.nodes {
			if inZone(n, zone) {
				w.crash(n)
			}
		}
	})
	death(w, 8*second, 20*second)
}

func setupVersions(w *world) {
	for _, n := range some(w, 4) {
		n.laterVersion = true
	}
	death(w, 5*second, 20*second)
}

// setupPaused makes a database fail and recover while checkers that have observed the failure are paused.
func setupPaused(w *world) {
	d := w.databases[w.rng.IntN(len(w.databases))]
	at := 5 * second
	w.after(at, func() { w.setDown(d, true) })
	w.after(at+w.between(1*second, 4*second), func() {
		for _, n := range some(w, 5) {
			w.pause(n, w.between(8*second, 30*second))
		}
	})
	w.after(at+5*second, func() { w.setDown(d, false) })
}

// setupPausedAmongPeers does the same as setupPaused without a planner that would declare the paused checkers silent.
func setupPausedAmongPeers(w *world) {
	w.after(1*second, func() { w.planner = false })
	d := w.databases[w.rng.IntN(len(w.databases))]
	w.after(9*second, func() { w.setDown(d, true) })
	w.after(w.between(12500*time.Millisecond, 13500*time.Millisecond), func() {
		for _, n := range some(w, 5) {
			w.pause(n, simLength)
		}
	})
	w.after(14*second, func() { w.setDown(d, false) })
}

// setupRollingRestart replaces three proxies one by one. The old processes, which have already closed their connections for checks, keep
// reporting dead databases for a while.
func setupRollingRestart(w *world) {
	for i, n := range some(w, 3) {
		w.after(time.Duration(5+3*i)*second, func() {
			old, duties := n.epoch, n.node.assignment.Duties(n.self.ID)
			w.crash(n)
			w.start(n)
			for late := range 10 {
				w.after(time.Duration(late+1)*second, func() { sendAllDead(w, n.self.ID, old, duties) })
			}
		})
	}
	death(w, 14*second, 20*second)
}

func sendAllDead(w *world, id subset.ProxyID, epoch uint32, duties []subset.DatabaseID) {
	m := Message{From: id, Epoch: epoch, ToPlanner: true}
	for _, d := range duties[:(len(duties)+1)/2] { // few enough that the checker is not presumed partitioned
		m.Reports = append(m.Reports, Report{Origin: id, Epoch: epoch, Database: d, Status: Dead, ObservedAt: w.now})
	}
	w.relay.Receive(w.now, m)
}

func setupClocks(w *world) {
	for _, n := range some(w, 4) {
		n.clockAhead = 30 * second
		w.after(12*second, func() { n.clockAhead = 0 })
	}
	d := w.databases[w.rng.IntN(len(w.databases))]
	w.after(5*second, func() { w.setDown(d, true) })
	w.after(13*second, func() { w.setDown(d, false) })
}

// runSeed runs the scenario that the seed selects, and returns the violation found, if any.
func runSeed(seed int, disabled guard) string {
	list := scenarios()
	w := newWorld(list[seed%len(list)], uint64(seed), disabled)
	w.run(simLength)
	return w.violation
}

// seeds returns the number of seeds to run: HEALTHCHECK_SEEDS, or else the default.
func seeds(t *testing.T, defaultSeeds int) int {
	if text := os.Getenv("HEALTHCHECK_SEEDS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	return defaultSeeds
}

func TestInvariantsHold(t *testing.T) {
	const parts = 4
	n := seeds(t, 760)
	for part := range parts {
		t.Run(strconv.Itoa(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < n && !t.Failed(); seed += parts {
				if v := runSeed(seed, 0); v != "" {
					t.Errorf("seed %d: %s", seed, v)
				}
			}
		})
	}
}

// guardNames are the names in the table of docs/design/health-checks.md, in the order of the guards.
var guardNames = []string{"quorum", "zones", "mass loss", "settle time", "consecutive failures", "epoch", "order", "age", "skew", "silence",
	"own evidence", "pace", "bytes", "fallback", "snapshot"}

// Each guard, when disabled, leads to a violation with some seed.
func TestDisabledGuardsAreCaught(t *testing.T) {
	if 1<<len(guardNames) != guardEnd {
		t.Fatal("a guard has no name")
	}
	most := seeds(t, 760)
	for i, name := range guardNames {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range most {
				if caught := runSeed(seed, 1<<i); caught != "" {
					t.Logf("%s: caught by run %d: %s", name, seed+1, caught)
					return
				}
			}
			t.Errorf("not caught by %d runs", most)
		})
	}
}
