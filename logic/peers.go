package logic

import (
	"time"

	"havenproxy/internal/peers"
	"havenproxy/internal/ping"
)

// What passes between a router and its peers. What is told, and what is believed, is internal/peers' to decide.

// worthTelling is how many proxies a position may be told to at the pace of pings. Each receiver has its price: at 300 a fact of 13 bytes with
// its share of the head costs as much as ten pings and spares eleven in the 75 ms until the next, at 80 it costs as much as three. Beyond,
// it is told less often, down to half as often: a position older than half of the tightest bound serves few.
const worthTelling = 150

// newPeers makes the room in which that is decided. Peers talk where that is allowed and where pings at the design's periods, from all
// proxies, would be too many: a position is worth telling once it has grown older than those would let it.
func (r *Router) newPeers() *peers.Gossip {
	cfg := peers.Config{Proxies: r.cfg.Proxies, MaxBatch: r.cfg.MaxPeerFacts, Phase: float64(mix(r.cfg.Seed)>>11) / (1 << 53)}
	if r.pings.ExcessiveProxies() {
		cfg.Interval = time.Duration(min(max(float64(r.cfg.Proxies)/worthTelling, 1), 2) * float64(r.pings.ShortestPeriod()))
	}
	return peers.New(cfg)
}

// PeerFacts takes what a peer tells. It is evidence of roles and of positions, and no sign of life to this front.
func (r *Router) PeerFacts(now time.Duration, facts []peers.Report) {
	r.begin(now)
	for _, f := range facts {
		if id, f, ok := r.peers.Accept(now, f); ok {
			r.heardOf(now, r.members[MemberID(id)], f)
		}
	}
	if len(r.held) > 0 {
		r.retryHeld(now)
	}
}

// heardOf takes one fact. A silence is a reason to ping, and a failure counts as one of this front's own; neither is a verdict.
func (r *Router) heardOf(now time.Duration, m *member, f peers.Report) {
	if f.Status != peers.Healthy { // a role from before, told with the time of a failure, would outlive a change of primary
		f.Role = peers.Unknown
	}
	r.believe(m, Role(f.Role), f.Position, f.At, now)
	switch {
	case f.Status == peers.Silent:
		inUse := !r.pings.OnDemand() || m.group.inRounds
		if inUse && m.heardAt < f.At && !m.seat.Silent && now-m.probedAt >= wordEvery {
			r.probe(now, m)
		}
		return
	case f.Status == peers.Failing:
		r.failures.Record(now, &m.bench, 1)
		r.failures.ExtendPause(now, &m.bench, r.cfg.Proxies, r.rng.Float64())
	default:
		r.failures.Record(now, &m.bench, 0)
	}
	m.toldAt = max(m.toldAt, f.At)
}

// failed counts a quick failure that this front has seen, and lets its peers know.
func (r *Router) failed(now time.Duration, m *member) {
	r.failures.Record(now, &m.bench, 1)
	if r.peers.Enabled() {
		r.failures.ExtendPause(now, &m.bench, r.cfg.Proxies, r.rng.Float64())
		r.peers.ObserveFailure(now, uint64(m.ID), peers.Failing)
	}
}

// firstPing gives when a member just listed is pinged first: at once, or, where peers talk, spread over the time that a fresh front may
// wait, for what the first of them learn spares the others theirs.
func (r *Router) firstPing(now time.Duration) time.Duration {
	if !r.peers.Enabled() {
		return now
	}
	return now + time.Duration(r.rng.Float64()*float64(freshHold))
}

// patience gives how long an attempt may go without a sign of life before its member is pinged. Where most answers take long anyway, a
// ping for each that is owed would cost more than it saves; where a peer has had an answer since, it is this front's way that is
// doubted, which is rare.
func (r *Router) patience(m *member, a *attempt) time.Duration {
	wait := max(ping.OverdueAfter, r.slow[a.req.Class]/2)
	if m.toldAt > a.sentAt {
		wait *= 3
	}
	return wait
}

// wordEvery is how often a member is pinged on a peer's word that it is silent, at most: one that is cut off says so of all.
const wordEvery = 2 * time.Second

// tell hands out what the others are to hear by now.
func (r *Router) tell(now time.Duration) {
	if facts := r.peers.NextMessage(now); len(facts) > 0 {
		r.act.SendToPeers(facts)
	}
}
