package healthcheck

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// outbox says what a proxy sends to whom: its own reports to its planner, or, where no planner is received, its own and those of others
// to a few peers at a time, as in SWIM's broadcast queue.
type outbox struct {
	config     Config
	rng        *rand.Rand
	budget     byteBudget
	toPlanner  []Report
	toPeers    []broadcast
	lastPeers  time.Duration
	lastSent   time.Duration // anything to a planner
	overBudget uint64
}

// broadcast is a report that goes from peer to peer.
type broadcast struct {
	report Report
	sent   int
}

const (
	// transmitFactor times the decimal logarithm of the tier is how often each proxy passes a report on. hashicorp/memberlist takes
	// 4; with half of the messages lost that left some proxies without a correction.
	transmitFactor = 6
	// maxQueued bounds each queue. The oldest are dropped; they are refreshed.
	maxQueued = 4096
)

func newOutbox(config Config, rng *rand.Rand) *outbox {
	return &outbox{config: config, rng: rng, budget: newByteBudget(config.Plan.BytesPerSecond)}
}

// addOwn queues a report of this proxy for a planner.
func (o *outbox) addOwn(r Report) {
	o.toPlanner = slices.DeleteFunc(o.toPlanner, func(x Report) bool { return x.Database == r.Database })
	o.toPlanner = append(o.toPlanner, r)
}

// addBroadcast queues a report for peers, in place of an older one of the same origin on the same database.
func (o *outbox) addBroadcast(r Report) {
	o.toPeers = slices.DeleteFunc(o.toPeers, func(x broadcast) bool {
		return x.report.Origin == r.Origin && x.report.Database == r.Database
	})
	o.toPeers = append(o.toPeers, broadcast{report: r})
	o.toPeers = o.toPeers[max(0, len(o.toPeers)-maxQueued):]
}

// take gives the messages to be sent now.
func (o *outbox) take(now time.Duration, step Mode, peers []subset.Proxy) (messages []Message) {
	o.budget.fill(now)
	messages = o.forPlanner(now)
	if step == ModePlanner {
		o.toPeers = nil
		return messages
	}
	if now-o.lastPeers >= peerInterval {
		o.lastPeers = now
		messages = append(messages, o.forPeers(peers)...)
	}
	return messages
}

// forPlanner gives a message to the planner: what there is to report, or a heartbeat. Without a link it is lost; a new link is sent
// everything.
func (o *outbox) forPlanner(now time.Duration) []Message {
	if len(o.toPlanner) == 0 && now-o.lastSent < HeartbeatInterval {
		return nil
	}
	n := o.allowed(len(o.toPlanner), now-o.lastSent >= HeartbeatInterval)
	if n < 0 {
		return nil
	}
	reports := slices.Clone(o.toPlanner[:n])
	o.toPlanner = slices.Delete(o.toPlanner, 0, n)
	o.lastSent = now
	return []Message{{From: o.config.Self.ID, Epoch: o.config.Epoch, ToPlanner: true, Reports: reports}}
}

// forPeers gives one message each to a few peers drawn at random; an empty one tells that this proxy is there.
func (o *outbox) forPeers(peers []subset.Proxy) (messages []Message) {
	limit := transmitFactor * int(math.Ceil(math.Log10(float64(len(peers)+1))))
	for range min(PeerFanout, len(peers)-1) {
		to := peers[o.rng.IntN(len(peers))]
		if to.ID == o.config.Self.ID {
			continue
		}
		n := o.allowed(min(len(o.toPeers), MaxReports), false)
		if n < 0 {
			return messages
		}
		messages = append(messages, Message{From: o.config.Self.ID, Epoch: o.config.Epoch, To: to.ID, Reports: o.leastSent(n, limit)})
	}
	return messages
}

// leastSent takes the n reports that have been passed on least often, and drops those that have been often enough.
func (o *outbox) leastSent(n, limit int) (reports []Report) {
	slices.SortStableFunc(o.toPeers, func(x, y broadcast) int { return x.sent - y.sent })
	for i := range o.toPeers[:n] {
		reports = append(reports, o.toPeers[i].report)
		o.toPeers[i].sent++
	}
	o.toPeers = slices.DeleteFunc(o.toPeers, func(x broadcast) bool { return x.sent >= limit })
	return reports
}

// allowed gives how many of n reports the budget allows now, and spends them; -1 = nothing may be sent. A message that was to hold
// reports goes out without any only as a heartbeat that is due.
func (o *outbox) allowed(n int, heartbeat bool) int {
	if !o.config.has(guardBytes) {
		return n
	}
	fit := o.budget.entries(ReportBytes, n)
	if fit < 0 || fit == 0 && n > 0 && !heartbeat {
		o.overBudget++
		return -1
	}
	o.budget.spend(ReportBytes, fit)
	return fit
}
