package healthcheck

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// outbox determines which reports a proxy sends to whom: its own reports to its planner, and, in the other modes, its own and other
// proxies' reports to a few peers at a time, like SWIM's broadcast queue.
type outbox struct {
	config          Config
	rng             *rand.Rand
	budget          byteBudget
	toPlanner       []Report
	toPeers         []broadcast
	lastPeerSend    time.Duration
	lastPlannerSend time.Duration // of any message to a planner
	overBudget      uint64
}

// broadcast is a report that is disseminated from peer to peer.
type broadcast struct {
	report        Report
	transmissions int
}

const (
	// retransmitFactor times the decimal logarithm of the tier's size is how often each proxy forwards a report. hashicorp/memberlist uses 4;
	// with half of the messages lost, 4 left some proxies without a correction.
	retransmitFactor = 6
	// maxPeerQueue limits the queue for peers. The oldest reports are dropped, since they are refreshed.
	maxPeerQueue = 4096
)

func newOutbox(config Config, rng *rand.Rand) *outbox {
	return &outbox{config: config, rng: rng, budget: newByteBudget(config.Plan.BytesPerSecond)}
}

// addPlannerReport queues one of this proxy's own reports for a planner, replacing an older one about the same database.
func (o *outbox) addPlannerReport(report Report) {
	o.toPlanner = slices.DeleteFunc(o.toPlanner, func(x Report) bool { return x.Database == report.Database })
	o.toPlanner = append(o.toPlanner, report)
}

// addBroadcast queues a report for peers, replacing an older one of the same origin about the same database.
func (o *outbox) addBroadcast(report Report) {
	o.toPeers = slices.DeleteFunc(o.toPeers, func(x broadcast) bool {
		return x.report.Origin == report.Origin && x.report.Database == report.Database
	})
	o.toPeers = append(o.toPeers, broadcast{report: report})
	o.toPeers = o.toPeers[max(0, len(o.toPeers)-maxPeerQueue):]
}

// take returns the messages to send now.
func (o *outbox) take(now time.Duration, mode Mode, peers []subset.Proxy) (messages []Message) {
	o.budget.refill(now)
	messages = o.plannerMessages(now)
	if mode == ModePlanner {
		o.toPeers = nil
		return messages
	}
	if now-o.lastPeerSend >= peerInterval {
		o.lastPeerSend = now
		messages = append(messages, o.peerMessages(peers)...)
	}
	return messages
}

// plannerMessages returns a message with the queued reports for the planner, a heartbeat if one is due, or nothing. Without a connection the
// message is lost; a new connection is sent all reports again.
func (o *outbox) plannerMessages(now time.Duration) []Message {
	if len(o.toPlanner) == 0 && now-o.lastPlannerSend < HeartbeatInterval {
		return nil
	}
	n := o.reserve(len(o.toPlanner), now-o.lastPlannerSend >= HeartbeatInterval)
	if n < 0 {
		return nil
	}
	reports := slices.Clone(o.toPlanner[:n])
	o.toPlanner = slices.Delete(o.toPlanner, 0, n)
	o.lastPlannerSend = now
	return []Message{{From: o.config.Self.ID, Epoch: o.config.Epoch, ToPlanner: true, Reports: reports}}
}

// peerMessages returns one message for each of a few randomly chosen peers. An empty message serves as a heartbeat.
func (o *outbox) peerMessages(peers []subset.Proxy) (messages []Message) {
	limit := retransmitFactor * int(math.Ceil(math.Log10(float64(len(peers)+1))))
	for range min(PeerFanout, len(peers)-1) {
		to := peers[o.rng.IntN(len(peers))]
		if to.ID == o.config.Self.ID {
			continue
		}
		n := o.reserve(min(len(o.toPeers), MaxReports), false)
		if n < 0 {
			return messages
		}
		messages = append(messages, Message{From: o.config.Self.ID, Epoch: o.config.Epoch, To: to.ID, Reports: o.takeLeastSent(n, limit)})
	}
	return messages
}

// takeLeastSent returns the n reports with the fewest transmissions, and drops those that have reached the limit.
func (o *outbox) takeLeastSent(n, limit int) (reports []Report) {
	slices.SortStableFunc(o.toPeers, func(x, y broadcast) int { return x.transmissions - y.transmissions })
	for i := range o.toPeers[:n] {
		reports = append(reports, o.toPeers[i].report)
		o.toPeers[i].transmissions++
	}
	o.toPeers = slices.DeleteFunc(o.toPeers, func(x broadcast) bool { return x.transmissions >= limit })
	return reports
}

// reserve returns how many of n reports the byte budget allows now, and charges them to it; -1 = no message may be sent. A message without
// any of its reports is sent only if a heartbeat is due.
func (o *outbox) reserve(n int, heartbeatDue bool) int {
	if !o.config.enabled(guardBytes) {
		return n
	}
	allowed := o.budget.maxEntries(ReportBytes, n)
	if allowed < 0 || allowed == 0 && n > 0 && !heartbeatDue {
		o.overBudget++
		return -1
	}
	o.budget.consume(ReportBytes, allowed)
	return allowed
}
