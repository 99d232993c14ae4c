package logic

import (
	"time"

	"havenproxy/internal/peers"
)

// What passes between a router and its peers. What is told, and what is believed, is internal/peers' to decide.

// newPeers makes the room in which that is decided. Peers talk where that is allowed and where pings at the design's periods, from all
// proxies, would be too many: a position is worth telling once it has grown older than those would let it.
func (r *Router) newPeers() *peers.Gossip {
	cfg := peers.Config{Proxies: r.cfg.Fronts, Most: r.cfg.PeerFacts, Phase: float64(mix(r.cfg.Seed)>>11) / (1 << 53)}
	if r.pings.Many() {
		cfg.Fresh = r.pings.Shortest()
	}
	return peers.New(cfg)
}

// Heard takes what a peer tells. It is evidence of roles and of positions, and no sign of life to this front.
func (r *Router) Heard(now time.Duration, facts []peers.Fact) {
	r.begin(now)
	for _, f := range facts {
		if id, f, ok := r.peers.Believe(now, f); ok {
			r.believe(r.members[MemberID(id)], Role(f.Role), f.Position, f.At, now)
		}
	}
	if len(r.held) > 0 {
		r.retryHeld(now)
	}
}

// tell hands out what the others are to hear by now.
func (r *Router) tell(now time.Duration) {
	if facts := r.peers.Due(now); len(facts) > 0 {
		r.act.Tell(facts)
	}
}
