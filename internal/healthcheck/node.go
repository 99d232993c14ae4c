package healthcheck

import (
	"math/rand/v2"
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// Node is one proxy's side of shared health checking: events in, orders out.
type Node struct {
	config     Config
	assignment *subset.Assignment
	view       *View
	observer   *observer
	scheduler  *scheduler
	fallback   *fallback
	outbox     *outbox
	changes    *changes
	tier       []subset.Proxy
	databases  []subset.DatabaseID
	used       []subset.DatabaseID
	wantedAt   time.Duration
}

// wantInterval is how often it is looked up which databases need own checks.
const wantInterval = 500 * time.Millisecond

// NewNode makes one that knows neither tier nor databases.
func NewNode(now time.Duration, config Config) *Node {
	return NewNodeWithAssignment(now, config, subset.NewAssignment(subset.Config{Checkers: config.Plan.Checkers, Seed: config.Seed}))
}

// NewNodeWithAssignment makes one that goes by an assignment which others of the same process use as well: a simulation needs to compute it
// once only.
func NewNodeWithAssignment(now time.Duration, config Config, assignment *subset.Assignment) *Node {
	rng := rand.New(rand.NewPCG(config.Seed, uint64(config.Self.ID)))
	return &Node{config: config, assignment: assignment, view: NewView(config, assignment), observer: newObserver(config),
		scheduler: newScheduler(config, rng), fallback: newFallback(now, config, rng.Float64()), outbox: newOutbox(config, rng), changes: newChanges()}
}

// SetTier tells which proxies there are; this one is among them. It gives how many duties of the tier have moved.
func (n *Node) SetTier(now time.Duration, tier []subset.Proxy) (moved int) {
	n.tier = slices.Clone(tier)
	moved = n.assignment.SetProxies(tier)
	n.view.SetTier(tier)
	n.reschedule(now)
	return moved
}

// SetDatabases tells which databases the proxy's own list names. Reports on others are dropped.
func (n *Node) SetDatabases(now time.Duration, ids []subset.DatabaseID) {
	n.databases = slices.Clone(ids)
	n.assignment.SetDatabases(ids)
	n.view.SetDatabases(ids)
	n.changes.keep(ids)
	n.reschedule(now)
}

// SetUsed tells which databases this proxy sends requests to, or would.
func (n *Node) SetUsed(now time.Duration, ids []subset.DatabaseID) {
	n.used = slices.Clone(ids)
	n.reschedule(now)
}

func (n *Node) reschedule(now time.Duration) {
	duties := n.assignment.Duties(n.config.Self.ID)
	n.observer.setDuties(duties)
	n.scheduler.set(now, duties, n.used)
}

// RequestServed notes that a database has answered a request.
func (n *Node) RequestServed(now time.Duration, id subset.DatabaseID) {
	n.view.RecordLocal(now, id, true)
}

// CompleteCheck takes the outcome of a check that Tick has ordered.
func (n *Node) CompleteCheck(now time.Duration, id subset.DatabaseID, seen Observation) {
	n.scheduler.done(now, id, n.fallback.step, seen.Answered)
	n.view.RecordLocal(now, id, seen.Answered)
	n.changes.add(id)
	if r, ok := n.observer.observe(now, id, seen); ok {
		news := r.Status != Alive || n.view.ailing(id)
		n.view.Receive(now, r)
		n.outbox.addOwn(r)
		if news && n.fallback.step != ModePlanner {
			n.outbox.addBroadcast(r)
		}
	}
}

// PlannerConnected tells of a new link to a planner, which is sent all that this proxy has reported.
func (n *Node) PlannerConnected(now time.Duration) {
	n.view.PlannerConnected(now)
	for _, r := range n.observer.current() {
		n.outbox.addOwn(r)
	}
}

// ReceiveDigest takes what a planner sends.
func (n *Node) ReceiveDigest(now time.Duration, d Digest) {
	n.fallback.planner = now
	n.view.DigestReceived(now)
	for _, change := range d.Changes {
		switch change.Kind {
		case ReportChanged:
			if n.view.Receive(now, change.Report) {
				n.changes.add(change.Report.Database)
			}
		case CheckerSilent, CheckerResumed:
			n.view.SetSilent(change.Report.Origin, change.Kind == CheckerSilent)
			if change.Report.Origin == n.config.Self.ID { // what it reported has been dropped
				n.observer.reportAnew()
			}
		}
	}
}

// ReceivePeer takes a message of another proxy. What is news is passed on.
func (n *Node) ReceivePeer(now time.Duration, m Message) {
	n.fallback.peer = now
	for _, r := range m.Reports {
		if !n.view.Receive(now, r) {
			continue
		}
		n.changes.add(r.Database)
		if n.fallback.step != ModePlanner {
			n.outbox.addBroadcast(r)
		}
	}
}

// Tick gives the orders for now. It is to be called every 100 ms or so.
func (n *Node) Tick(now time.Duration) Actions {
	before := n.fallback.step
	step := n.fallback.update(now)
	if before == ModePlanner && step != ModePlanner {
		n.view.PlannerLost()
		for _, r := range n.observer.current() {
			if r.Status != Alive {
				n.outbox.addBroadcast(r)
			}
		}
	}
	if now-n.wantedAt >= wantInterval {
		n.wantedAt = now
		n.updateWanted(now)
	}
	return Actions{Checks: n.scheduler.take(now, step), Messages: n.outbox.take(now, step, n.tier)}
}

// updateWanted orders own checks of what is used, and what no report settles.
func (n *Node) updateWanted(now time.Duration) {
	for _, id := range n.used {
		state := n.Verdict(now, id).State
		n.scheduler.want(id, state == Suspect || state == Unknown)
	}
}

// Verdict concludes from all evidence on a database.
func (n *Node) Verdict(now time.Duration, id subset.DatabaseID) Verdict {
	return n.view.Verdict(now, id, n.fallback.step)
}

// Mode gives how far this proxy relies on others.
func (n *Node) Mode() Mode { return n.fallback.step }

// Counters gives what has been accepted, dropped and delayed.
func (n *Node) Counters() Counters {
	c := n.view.Counters()
	c.OverBudget = n.outbox.overBudget
	return c
}
