package planner

import (
	"log/slog"
	"time"

	"havenproxy/internal/healthcheck"
	"havenproxy/internal/labclock"
	"havenproxy/internal/rollout"
	"havenproxy/internal/subset"
	wire "havenproxy/internal/wire/healthcheck"
	"havenproxy/internal/wire/tier"
)

const (
	// relayEvery is how often it is looked what links are to be sent.
	relayEvery = 100 * time.Millisecond
	// reportBytes bounds what one link is sent of others' reports, in bytes a second.
	reportBytes = 1600
)

// healthRelay passes on what proxies report of databases, while this planner leads. All of it is soft state, and the planner's
// goroutine's alone.
type healthRelay struct {
	relay *healthcheck.Relay
	links map[rollout.Link]subset.ProxyID
	next  time.Duration
	buf   []byte
}

func newHealthRelay() *healthRelay {
	config := healthcheck.Config{Epoch: uint32(labclock.Wall().Unix()), Plan: healthcheck.Plan{BytesPerSecond: reportBytes}}
	return &healthRelay{relay: healthcheck.NewRelay(config), links: map[rollout.Link]subset.ProxyID{}}
}

func (p *Planner) wireClock() wire.Clock {
	return wire.Clock{Unix: time.Duration(labclock.Wall().UnixNano()), Now: p.now()}
}

// health takes a proxy's message. The fence against one that speaks for another: a message counts on its member's own link only.
func (s *server) health(id rollout.Link, message []byte) {
	p := s.p
	if p.leader == nil {
		return
	}
	m, err := wire.ParseMessage(message, p.wireClock())
	if err != nil {
		slog.Debug("a report of health checks can't be read", "error", err)
		return
	}
	if !p.leader.IsLinkOf(rollout.Member(m.From), id) {
		return
	}
	if p.health.links[id] != m.From {
		p.health.links[id] = m.From
		p.health.relay.Attach(p.now(), m.From)
	}
	p.health.relay.Receive(p.now(), m)
}

// healthDown ends a link.
func (p *Planner) healthDown(id rollout.Link) {
	if p.health == nil {
		return
	}
	from, ok := p.health.links[id]
	if !ok {
		return
	}
	delete(p.health.links, id)
	for _, other := range p.health.links {
		if other == from { // it has come again by another link
			return
		}
	}
	p.health.relay.Detach(from)
}

// healthTick sends each link what has changed.
func (p *Planner) healthTick() {
	now, r := p.now(), p.health
	if r == nil || now < r.next {
		return
	}
	r.next = now + relayEvery
	r.relay.Tick(now)
	for id, proxy := range r.links {
		if !p.leader.IsLinkOf(rollout.Member(proxy), id) {
			continue
		}
		if digest, ok := r.relay.NextDigest(now, proxy); ok {
			r.buf = wire.AppendDigest(r.buf[:0], p.wireClock(), digest)
			p.server.send(id, &tier.Frame{Health: r.buf})
		}
	}
}
