package virtual

import (
	"time"

	"havenproxy/internal/healthcheck"
	"havenproxy/internal/state"
	"havenproxy/internal/subset"
	health "havenproxy/internal/wire/healthcheck"
	wire "havenproxy/internal/wire/tier"
)

// SharedChecks are health checks that the tier shares by its planners' links. The tier's list of members is the whole tier all the time.
type SharedChecks struct {
	ChecksPerSecond float64 // of one proxy
	BytesPerSecond  float64 // that one proxy sends, and is sent, for reports
}

// relayTick is how often a planner looks at what its links are to be sent.
const relayTick = 100 * time.Millisecond

// healthRelay is the planner's side of shared health checks, with the true decisions and codec.
type healthRelay struct {
	p          *planner
	relay      *healthcheck.Relay
	assignment *subset.Assignment // all proxies come to the same one, so it is computed once
	tier       []subset.Proxy
}

func newHealthRelay(p *planner, c *SharedChecks) *healthRelay {
	config := healthcheck.Config{Epoch: 1, Plan: healthcheck.Plan{BytesPerSecond: c.BytesPerSecond}}
	r := &healthRelay{p: p, relay: healthcheck.NewRelay(config), assignment: subset.NewAssignment(tierSubset(p.w.cfg.Seed))}
	for i := range max(p.w.cfg.Proxies, 1) {
		r.tier = append(r.tier, p.w.proxyOf(i))
	}
	p.w.at(p.w.clock.now+relayTick, r.tick)
	return r
}

// tierSubset is what all proxies of the tier have in common.
func tierSubset(seed uint64) subset.Config {
	return subset.Config{Checkers: healthcheck.NewPlan(healthcheck.Settings{}).Checkers, Seed: seed}
}

// proxyOf is a proxy as the tier's list of members has it.
func (w *world) proxyOf(i int) subset.Proxy {
	zone := ""
	if zones := w.cfg.Fleet.Zones; len(zones) > 0 {
		zone = zones[i%len(zones)]
	}
	return subset.Proxy{ID: subset.ProxyID(i + 1), Zone: zone}
}

// shareChecks lets a proxy's front share health checks, where the run's tier does.
func (w *world) shareChecks(n *node, f *state.Engine) {
	c := w.cfg.Tier.Checks
	if c == nil || w.planner == nil {
		return
	}
	f.ShareChecks(state.SharedChecksConfig{Self: w.proxyOf(n.i), Epoch: uint32(n.life + 1), Seed: tierSubset(w.cfg.Seed).Seed,
		ChecksPerSecond: c.ChecksPerSecond, BytesPerSecond: c.BytesPerSecond, Sender: n, Assignment: w.planner.health.assignment})
	f.SetTier(w.planner.health.tier)
}

func (w *world) healthClock() health.Clock {
	return health.Clock{Unix: w.clock.Unix(), Now: w.clock.now}
}

// SendReports implements state.ReportSender.
func (n *node) SendReports(message []byte) {
	l := n.link
	if l == nil || l.link == 0 {
		return
	}
	text, link := append([]byte(nil), message...), l.link
	l.p.carryHealth(l, Sent, text, func() {
		if l.p.links[link] == l {
			l.p.health.receive(text)
		}
	})
}

// carryHealth carries a message of shared health checks. Where the two are parted it is lost, and the link is sent everything anew behind
// the cut, as one that broke would be.
func (p *planner) carryHealth(l *plannerLink, d Direction, message []byte, arrive func()) {
	w := p.w
	if w.tier.parted(w.clock.now, l.n.zone, p.Zone) {
		l.missed = true
		return
	}
	if w.cfg.Observer != nil {
		var err error
		if p.buffer, err = wire.Append(p.buffer[:0], &wire.Frame{Health: message}); err == nil {
			l.n.count(noDatabase, HealthMessage, d, len(p.buffer))
		}
	}
	w.at(w.clock.now+plannerWay, arrive)
}

// receive takes a proxy's message.
func (r *healthRelay) receive(text []byte) {
	m, err := health.ParseMessage(text, r.p.w.healthClock())
	if err != nil {
		panic(err) // no message is damaged in the model
	}
	r.p.act(func() { r.relay.Receive(r.p.w.clock.now, m) })
}

// connected begins a proxy's link.
func (r *healthRelay) connected(l *plannerLink) {
	l.missed = false
	r.relay.Attach(r.p.w.clock.now, r.p.w.proxyOf(l.n.i).ID)
	l.n.proxy(l.n.front.PlannerConnected)
}

// tick sends each link what has changed.
func (r *healthRelay) tick() {
	w := r.p.w
	r.p.act(func() {
		r.relay.Tick(w.clock.now)
		for _, n := range w.nodes {
			if l := n.link; !n.dead && l != nil && l.link > 0 {
				r.send(l)
			}
		}
	})
	w.at(w.clock.now+relayTick, r.tick)
}

func (r *healthRelay) send(l *plannerLink) {
	w := r.p.w
	if l.missed && !w.tier.parted(w.clock.now, l.n.zone, r.p.Zone) {
		r.connected(l)
	}
	digest, ok := r.relay.NextDigest(w.clock.now, w.proxyOf(l.n.i).ID)
	if !ok {
		return
	}
	text, link, life := health.AppendDigest(nil, w.healthClock(), digest), l.link, l.life
	r.p.carryHealth(l, Received, text, func() {
		if l.link == link && l.n.life == life && !l.n.dead {
			l.n.proxy(func() {
				if err := l.n.front.ReceiveDigest(text); err != nil {
					panic(err) // no message is damaged in the model
				}
			})
		}
	})
}
