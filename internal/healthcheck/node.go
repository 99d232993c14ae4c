package healthcheck

import (
	"math/rand/v2"
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// Node implements one proxy's part of shared health checking. It takes events and returns the actions to carry out.
type Node struct {
	config          Config
	assignment      *subset.Assignment
	view            *View
	observer        *observer
	scheduler       *scheduler
	fallback        *fallback
	outbox          *outbox
	changes         *changeTracker
	tier            []subset.Proxy
	databases       []subset.DatabaseID
	used            []subset.DatabaseID
	wantedUpdatedAt time.Duration
}

// wantedUpdateInterval is how often the node redetermines which used databases need local checks.
const wantedUpdateInterval = 500 * time.Millisecond

// NewNode returns a node that knows neither the tier nor any databases yet.
func NewNode(now time.Duration, config Config) *Node {
	return NewNodeWithAssignment(now, config, subset.NewAssignment(subset.Config{Checkers: config.Plan.Checkers, Seed: config.Seed}))
}

// NewNodeWithAssignment returns a node that uses the given assignment, which other nodes of the same process may share: a simulation then
// computes it only once.
func NewNodeWithAssignment(now time.Duration, config Config, assignment *subset.Assignment) *Node {
	rng := rand.New(rand.NewPCG(config.Seed, uint64(config.Self.ID)))
	return &Node{config: config, assignment: assignment, view: NewView(config, assignment), observer: newObserver(config),
		scheduler: newScheduler(config, rng), fallback: newFallback(now, config, rng.Float64()), outbox: newOutbox(config, rng), changes: newChangeTracker()}
}

// SetTier sets the proxies of the tier, including this one. It returns how many check assignments have moved to another proxy.
func (n *Node) SetTier(now time.Duration, tier []subset.Proxy) (moved int) {
	n.tier = slices.Clone(tier)
	moved = n.assignment.SetProxies(tier)
	n.view.SetTier(tier)
	n.reschedule(now)
	return moved
}

// SetDatabases sets the databases of this proxy's list. Reports about other databases are rejected.
func (n *Node) SetDatabases(now time.Duration, ids []subset.DatabaseID) {
	n.databases = slices.Clone(ids)
	n.assignment.SetDatabases(ids)
	n.view.SetDatabases(ids)
	n.changes.retain(ids)
	n.reschedule(now)
}

// SetUsed sets the databases that this proxy sends requests to, or would send them to.
func (n *Node) SetUsed(now time.Duration, ids []subset.DatabaseID) {
	n.used = slices.Clone(ids)
	n.reschedule(now)
}

// reschedule passes the databases that this proxy checks for the tier, and those that it uses, to the observer and the scheduler.
func (n *Node) reschedule(now time.Duration) {
	assigned := n.assignment.Duties(n.config.Self.ID)
	n.observer.setAssigned(assigned)
	n.scheduler.setDatabases(now, assigned, n.used)
}

// RequestServed records that a database has answered a request.
func (n *Node) RequestServed(now time.Duration, id subset.DatabaseID) { n.view.Observe(now, id, true) }

// CompleteCheck processes the outcome of a check that Tick has returned in Actions.Checks.
func (n *Node) CompleteCheck(now time.Duration, id subset.DatabaseID, observation Observation) {
	n.scheduler.complete(now, id, n.fallback.mode, observation.Answered)
	n.view.Observe(now, id, observation.Answered)
	n.changes.add(id)
	if report, ok := n.observer.observe(now, id, observation); ok {
		relevant := report.Status != Alive || n.view.reportedUnhealthy(id)
		n.view.Receive(now, report)
		n.outbox.addPlannerReport(report)
		if relevant && n.fallback.mode != ModePlanner {
			n.outbox.addBroadcast(report)
		}
	}
}

// PlannerConnected records a new connection to a planner, and queues all of this proxy's current reports for it.
func (n *Node) PlannerConnected(now time.Duration) {
	n.view.PlannerConnected(now)
	for _, report := range n.observer.lastReports() {
		n.outbox.addPlannerReport(report)
	}
}

// ReceiveDigest processes a digest of the planner.
func (n *Node) ReceiveDigest(now time.Duration, digest Digest) {
	n.fallback.lastDigest = now
	n.view.DigestReceived(now)
	for _, change := range digest.Changes {
		switch change.Kind {
		case ReportChanged:
			if n.view.Receive(now, change.Report) {
				n.changes.add(change.Report.Database)
			}
		case CheckerSilent, CheckerResumed:
			n.view.SetSilent(change.Report.Origin, change.Kind == CheckerSilent)
			if change.Report.Origin == n.config.Self.ID { // the planner has dropped its reports
				n.observer.forceReports()
			}
		}
	}
}

// ReceivePeer processes a message of another proxy. Accepted reports are forwarded to peers unless the node is in ModePlanner.
func (n *Node) ReceivePeer(now time.Duration, message Message) {
	n.fallback.lastPeerMessage = now
	for _, report := range message.Reports {
		if !n.view.Receive(now, report) {
			continue
		}
		n.changes.add(report.Database)
		if n.fallback.mode != ModePlanner {
			n.outbox.addBroadcast(report)
		}
	}
}

// Tick returns the actions that are due now. It must be called about every 100 ms.
func (n *Node) Tick(now time.Duration) Actions {
	previous := n.fallback.mode
	mode := n.fallback.update(now)
	if previous == ModePlanner && mode != ModePlanner {
		n.view.PlannerLost()
		for _, report := range n.observer.lastReports() {
			if report.Status != Alive {
				n.outbox.addBroadcast(report)
			}
		}
	}
	if now-n.wantedUpdatedAt >= wantedUpdateInterval {
		n.wantedUpdatedAt = now
		n.updateWanted(now)
	}
	return Actions{Checks: n.scheduler.take(now, mode), Messages: n.outbox.take(now, mode, n.tier)}
}

// updateWanted requests local checks of the used databases about which the reports of others give no definite verdict.
func (n *Node) updateWanted(now time.Duration) {
	for _, id := range n.used {
		state := n.Verdict(now, id).State
		n.scheduler.setWanted(id, state == Suspect || state == Unknown)
	}
}

// Verdict draws the conclusion about a database from all evidence.
func (n *Node) Verdict(now time.Duration, id subset.DatabaseID) Verdict {
	return n.view.Verdict(now, id, n.fallback.mode)
}

// Mode returns the mode that the node is in.
func (n *Node) Mode() Mode { return n.fallback.mode }

// Counters returns the counts of accepted and rejected reports and of delayed messages.
func (n *Node) Counters() Counters {
	counters := n.view.Counters()
	counters.OverBudget = n.outbox.overBudget
	return counters
}
