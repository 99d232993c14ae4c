package healthcheck

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// world simulates a tier, its planner and its databases in virtual time.
type world struct {
	scenario  *scenario
	rng       *rand.Rand
	now       time.Duration
	events    eventQueue
	scheduled int
	nodes     []*simNode
	tier      []subset.Proxy
	databases []*simDatabase
	relay     *Relay
	planner   bool // whether the planner runs
	disabled  guard
	plan      Plan
	violation string
}

// simNode is a proxy of the simulation.
type simNode struct {
	node            *Node
	self            subset.Proxy
	zone            int
	up              bool
	since           time.Duration // when it last started or resumed
	paused          bool
	heldEvents      []func()      // arrived while it was paused
	clockAhead      time.Duration // by how much the times in its messages are ahead
	epoch           uint32
	reportsAllDead  bool
	laterVersion    bool // it runs a later version, whose reports include an unknown status
	muteUntil       time.Duration
	lastToPlanner   time.Duration // last arrival on its link to the planner
	lastFromPlanner time.Duration // last arrival on the link from the planner
	starts          []time.Duration
	sent            []sentBytes
}

type sentBytes struct {
	at    time.Duration
	bytes int
}

type simDatabase struct {
	id     subset.DatabaseID
	down   bool
	since  time.Duration                    // when it last went up or down
	failed map[subset.ProxyID]time.Duration // when each proxy last found it unresponsive
}

// event is a function that runs at a time; seq orders events of the same time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	simTick  = 100 * time.Millisecond
	simStart = 1000 * time.Second
	simDelay = 5 * time.Millisecond
)

func newWorld(s *scenario, seed uint64, disabled guard) *world {
	w := &world{scenario: s, rng: rand.New(rand.NewPCG(seed, 1)), now: simStart, planner: true, disabled: disabled}
	w.plan = NewPlan(Settings{Proxies: s.proxies, Databases: s.databases, MessagesAllowed: true, ChecksPerSecond: 10, BytesPerSecond: s.bytes})
	w.plan.Shared = true
	w.relay = NewRelay(Config{Plan: w.plan, disabled: disabled})
	for i := range s.databases {
		w.databases = append(w.databases, &simDatabase{id: subset.DatabaseID(i + 1), since: w.now, failed: map[subset.ProxyID]time.Duration{}})
	}
	for i := range s.proxies {
		p := subset.Proxy{ID: subset.ProxyID(i + 1), Zone: fmt.Sprint("zone-", i%s.zones)}
		w.tier = append(w.tier, p)
		w.nodes = append(w.nodes, &simNode{self: p, zone: i % s.zones})
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	s.setup(w)
	return w
}

// after schedules a function to run after a delay.
func (w *world) after(d time.Duration, run func()) {
	w.scheduled++
	heap.Push(&w.events, event{w.now + d, w.scheduled, run})
}

// between returns a random time in the given range.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Float64()*float64(high-low))
}

func (w *world) start(n *simNode) {
	n.up, n.since, n.epoch = true, w.now, n.epoch+1
	n.node = NewNode(w.now, Config{Self: n.self, Epoch: n.epoch, Seed: 1, Plan: w.plan, disabled: w.disabled})
	w.setTier(n)
	var ids, used []subset.DatabaseID
	for _, d := range w.databases {
		if ids = append(ids, d.id); w.rng.IntN(3) == 0 {
			used = append(used, d.id)
		}
	}
	n.node.SetDatabases(w.now, ids)
	n.node.SetUsed(w.now, used)
	w.relay.Attach(w.now, n.self.ID)
	n.node.PlannerConnected(w.now)
}

func (w *world) setTier(n *simNode) {
	before := n.node.tier
	changes := 0
	for _, p := range w.nodes {
		if slices.Contains(before, p.self) != slices.Contains(w.tier, p.self) {
			changes++
		}
	}
	if moved := n.node.SetTier(w.now, w.tier); len(before) > 0 && moved > changes*len(w.databases) {
		w.fail("%d changes in the tier moved %d duties", changes, moved)
	}
	for _, d := range w.databases {
		if got := len(n.node.assignment.Checkers(d.id)); len(before) > 0 && got != min(w.plan.Checkers, len(w.tier)) {
			w.fail("database %d has %d checkers", d.id, got)
		}
	}
}

// membersChange changes the tier; each running proxy learns of it at a random time within two seconds.
func (w *world) membersChange(tier []subset.Proxy) {
	w.tier = tier
	for _, n := range w.nodes {
		w.after(w.between(0, 2*time.Second), func() {
			if n.up {
				w.setTier(n)
			}
		})
	}
}

func (w *world) crash(n *simNode) {
	n.up = false
	w.relay.Detach(n.self.ID)
}

func (w *world) pause(n *simNode, d time.Duration) {
	n.paused = true
	w.after(d, func() {
		n.paused, n.since = false, w.now
		held := n.heldEvents
		n.heldEvents = nil
		for _, run := range held {
			run()
		}
	})
}

func (w *world) setDown(d *simDatabase, down bool) {
	if d.down != down {
		d.down, d.since = down, w.now
	}
}

// reachable reports whether a proxy's packets arrive at a database.
func (w *world) reachable(n *simNode, d *simDatabase) bool {
	return w.scenario.cut == nil || !w.scenario.cut(w, n, d)
}

// deliver runs a function at a proxy at the given time, unless the proxy has been stopped or replaced by then. A paused proxy runs it on resuming.
func (w *world) deliver(n *simNode, at time.Duration, run func()) {
	epoch := n.epoch
	w.after(at-w.now, func() {
		switch {
		case !n.up || n.epoch != epoch:
		case n.paused:
			n.heldEvents = append(n.heldEvents, run)
		default:
			run()
		}
	})
}

// streamDelay returns the delay of a message on a reliable connection, on which lost segments are retransmitted with exponential backoff.
func (w *world) streamDelay() time.Duration {
	delay, retransmit := simDelay, 200*time.Millisecond
	for w.rng.Float64() < w.scenario.loss && retransmit < 2*time.Second {
		delay, retransmit = delay+retransmit, retransmit*2
	}
	return delay
}

func (w *world) check(n *simNode, id subset.DatabaseID) {
	d := w.databases[id-1]
	n.starts = append(n.starts, w.now)
	reached := !d.down && w.reachable(n, d) && w.rng.Float64() >= w.scenario.checkLoss
	observation, took := Observation{Answered: reached, Role: subset.Replica}, CheckTimeout
	if reached || n.reportsAllDead {
		took = simDelay
	}
	if observation.Answered = reached && !n.reportsAllDead; !observation.Answered {
		d.failed[n.self.ID] = w.now
	}
	node := n.node
	w.deliver(n, w.now+took, func() { node.CompleteCheck(w.now, id, observation) })
}

func (w *world) send(n *simNode, m Message) {
	n.sent = append(n.sent, sentBytes{w.now, HeaderBytes + PacketBytes + ReportBytes*len(m.Reports)})
	for i := range m.Reports {
		if m.Reports[i].Origin == n.self.ID {
			m.Reports[i].ObservedAt += n.clockAhead
		}
	}
	if n.laterVersion && len(m.Reports) > 0 {
		strange := m.Reports[0]
		strange.Status, strange.ObservedAt = Dead+5, strange.ObservedAt+time.Millisecond
		m.Reports = append([]Report{strange}, m.Reports...)
	}
	switch {
	case w.now < n.muteUntil:
	case m.ToPlanner:
		n.lastToPlanner = max(n.lastToPlanner, w.now+w.streamDelay())
		w.after(n.lastToPlanner-w.now, func() {
			if w.planner {
				w.relay.Receive(w.now, m)
			}
		})
	case w.rng.Float64() >= w.scenario.loss:
		delay := w.between(simDelay, 50*time.Millisecond)
		if w.rng.IntN(5) == 0 { // some messages are delayed on another network path
			delay = w.between(0, 8*time.Second)
		}
		to := w.nodes[m.To-1]
		w.deliver(to, w.now+delay, func() { to.node.ReceivePeer(w.now, m) })
	}
}

func (w *world) run(duration time.Duration) {
	for end := w.now + duration; w.now < end && w.violation == ""; w.now += simTick {
		for len(w.events) > 0 && w.events[0].at <= w.now {
			heap.Pop(&w.events).(event).run()
		}
		w.step()
		if w.now%(500*time.Millisecond) == 0 {
			w.audit()
		}
	}
}

func (w *world) step() {
	if w.planner {
		w.relay.Tick(w.now)
	}
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		if digest, ok := w.relay.NextDigest(w.now, n.self.ID); ok && w.planner && w.now >= n.muteUntil {
			n.lastFromPlanner = max(n.lastFromPlanner, w.now+w.streamDelay())
			w.deliver(n, n.lastFromPlanner, func() { n.node.ReceiveDigest(w.now, digest) })
		}
		if n.paused {
			continue
		}
		orders := n.node.Tick(w.now)
		for _, id := range orders.Checks {
			w.check(n, id)
		}
		for _, m := range orders.Messages {
			w.send(n, m)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%s at %v: ", w.scenario.name, w.now-simStart) + fmt.Sprintf(format, args...)
	}
}

// audit compares the proxies' conclusions and resource use with the true state.
func (w *world) audit() {
	for _, n := range w.nodes {
		if !n.up || n.paused {
			continue
		}
		w.auditRates(n)
		if n.reportsAllDead {
			continue
		}
		for _, d := range w.databases {
			if w.reachable(n, d) {
				w.auditDatabase(n, d)
			}
		}
	}
}

func (w *world) auditDatabase(n *simNode, d *simDatabase) {
	if !d.down && w.scenario.served && w.reachable(n, d) {
		n.node.RequestServed(w.now, d.id)
	}
	verdict := n.node.Verdict(w.now, d.id)
	age := w.now - max(d.since, n.since)
	witnesses := 0
	for _, at := range d.failed {
		if w.now-at <= 2*ReportTTL {
			witnesses++
		}
	}
	switch {
	case verdict.State == Ejected && n.node.Mode() != ModeStandalone && witnesses < max(w.plan.Checkers/2+1, 2):
		w.fail("proxy %d ejects database %d, which %d proxies found dead: %+v", n.self.ID, d.id, witnesses, verdict)
	case !d.down && age > w.scenario.aliveWithin && verdict.State == Ejected:
		w.fail("proxy %d ejects database %d, up for %v: %+v", n.self.ID, d.id, w.now-d.since, verdict)
	case d.down && w.scenario.knownWithin > 0 && age > w.scenario.knownWithin && verdict.State != Ejected && w.concerns(n, d):
		w.fail("proxy %d does not know that database %d has been down for %v: %+v, step %d", n.self.ID, d.id, w.now-d.since, verdict, n.node.Mode())
	}
}

// concerns reports whether a proxy has to know the state of a database: in ModeStandalone, only if it uses the database.
func (w *world) concerns(n *simNode, d *simDatabase) bool {
	item := n.node.scheduler.entries[d.id]
	return n.node.Mode() != ModeStandalone || item != nil && item.used
}

func (w *world) auditRates(n *simNode) {
	from := w.now - time.Second
	for len(n.starts) > 0 && n.starts[0] <= from {
		n.starts = n.starts[1:]
	}
	for len(n.sent) > 0 && n.sent[0].at <= from {
		n.sent = n.sent[1:]
	}
	bytes := 0
	for _, s := range n.sent {
		bytes += s.bytes
	}
	if len(n.starts) > int(w.plan.ChecksPerSecond) {
		w.fail("proxy %d began %d checks in a second", n.self.ID, len(n.starts))
	}
	if float64(bytes) > 1.5*w.plan.BytesPerSecond {
		w.fail("proxy %d sent %d bytes in a second", n.self.ID, bytes)
	}
}
