package logic

import (
	"time"

	"havenproxy/internal/peers"
	"havenproxy/internal/ping"
)

// Communication of a router with its peers. Package peers decides what is sent and what is believed.

// fullRateProxies is the number of proxies up to which a position is sent to peers once per ping period. The cost
// of a report grows with the number of its receivers: with 300 proxies, a report of 13 bytes with its share of the
// header costs as much as ten pings and saves eleven in the 75 ms until the next; with 80 it costs as much as
// three. With more proxies, positions are sent less often, down to half as often: a position older than half of
// the tightest bound serves few reads.
const fullRateProxies = 150

// newGossip returns the state of the exchange with peers. Proxies exchange reports if the configuration allows it
// and if periodic pings from all proxies would be too many. A position is sent once it is older than periodic
// pings would let it become.
func (r *Router) newGossip() *peers.Gossip {
	cfg := peers.Config{Proxies: r.cfg.Proxies, MaxBatch: r.cfg.MaxPeerReports, Phase: float64(splitmix64(r.cfg.Seed)>>11) / (1 << 53)}
	if r.pingSchedule.ExcessiveProxies() {
		cfg.Interval = time.Duration(min(max(float64(r.cfg.Proxies)/fullRateProxies, 1), 2) * float64(r.pingSchedule.ShortestPeriod()))
	}
	return peers.New(cfg)
}

// PeerReports handles reports from a peer. They are evidence of roles and positions, but not a sign of life to this
// proxy.
func (r *Router) PeerReports(now time.Duration, reports []peers.Report) {
	r.ensureStarted(now)
	for _, report := range reports {
		if id, report, ok := r.gossip.Accept(now, report); ok {
			r.applyPeerReport(now, r.members[MemberID(id)], report)
		}
	}
	if len(r.awaitingPing) > 0 {
		r.retryAwaitingPing(now)
	}
}

// applyPeerReport applies one report. Reported silence is a reason to ping and a reported failure counts like one of
// this proxy's own; neither excludes the member by itself.
func (r *Router) applyPeerReport(now time.Duration, m *member, report peers.Report) {
	if report.Status != peers.Healthy { // a role from before, dated with the time of the failure, would outlast a change of primary
		report.Role = peers.Unknown
	}
	r.applyObservation(m, Role(report.Role), report.Position, report.At, now)
	switch {
	case report.Status == peers.Silent:
		inUse := !r.pingSchedule.OnDemand() || m.group.inRounds
		if inUse && m.aliveAt < report.At && !m.handover.Silent && now-m.probedAt >= peerSilenceInterval {
			r.probe(now, m)
		}
		return
	case report.Status == peers.Failing:
		r.failures.Record(now, &m.breaker, 1)
		r.failures.ExtendPause(now, &m.breaker, r.cfg.Proxies, r.rng.Float64())
	default:
		r.failures.Record(now, &m.breaker, 0)
	}
	m.peerAliveAt = max(m.peerAliveAt, report.At)
}

// recordFailure counts a quick failure that this proxy has seen, and reports it to peers.
func (r *Router) recordFailure(now time.Duration, m *member) {
	r.failures.Record(now, &m.breaker, 1)
	if r.gossip.Enabled() {
		r.failures.ExtendPause(now, &m.breaker, r.cfg.Proxies, r.rng.Float64())
		r.gossip.ObserveFailure(now, uint64(m.ID), peers.Failing)
	}
}

// firstPingTime returns when a newly listed member is to be pinged first: at once, or, if peers exchange reports, at
// a random time within the startup hold, since the results of the first pings save the other proxies theirs.
func (r *Router) firstPingTime(now time.Duration) time.Duration {
	if !r.gossip.Enabled() {
		return now
	}
	return now + time.Duration(r.rng.Float64()*float64(startupHold))
}

// silenceTimeout returns how long an attempt may go without a sign of life before its member is pinged. Where most
// answers take long, a ping for each open attempt would cost more than it saves. If a peer has had an answer since
// the attempt was sent, the fault may only be in this proxy's network path, which is rare, so the wait is longer.
func (r *Router) silenceTimeout(m *member, a *attempt) time.Duration {
	timeout := max(ping.OverdueAfter, r.slowTime[a.request.Class]/2)
	if m.peerAliveAt > a.sentAt {
		timeout *= 3
	}
	return timeout
}

// peerSilenceInterval is the shortest interval between pings of a member because a peer reports it as silent: a
// peer that is cut off reports so of all members.
const peerSilenceInterval = 2 * time.Second

// sendPeerReports sends the reports that are due to the peers.
func (r *Router) sendPeerReports(now time.Duration) {
	if reports := r.gossip.NextMessage(now); len(reports) > 0 {
		r.actions.SendToPeers(reports)
	}
}
