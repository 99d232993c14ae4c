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
	relayInterval = 100 * time.Millisecond
	// reportBytes bounds what one link is sent of others' reports, in bytes a second.
	reportBytesPerSecond = 1600
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
	config := healthcheck.Config{Epoch: uint32(labclock.Wall().Unix()), Plan: healthcheck.Plan{BytesPerSecond: reportBytesPerSecond}}
	return &healthRelay{relay: healthcheck.NewRelay(config), links: map[rollout.Link]subset.ProxyID{}}
}

func (p *Planner) wireClock() wire.Clock {
	return wire.Clock{Unix: time.Duration(labclock.Wall().UnixNano()), Now: p.now()}
}

// health takes a proxy's message. The fence against one that speaks for another: a message counts on its member's own link only.
func (s *server) receiveHealth(id rollout.Link, message []byte) {
	p := s.planner
	if p.leader == nil {
		return
	}
	report, err := wire.ParseMessage(message, p.wireClock())
	if err != nil {
		slog.Debug("a report of health checks can't be read", "error", err)
		return
	}
	if !p.leader.IsLinkOf(rollout.Member(report.From), id) {
		return
	}
	if p.healthRelay.links[id] != report.From {
		p.healthRelay.links[id] = report.From
		p.healthRelay.relay.Attach(p.now(), report.From)
	}
	p.healthRelay.relay.Receive(p.now(), report)
}

// healthDown ends a link.
func (p *Planner) detachHealthLink(id rollout.Link) {
	if p.healthRelay == nil {
		return
	}
	from, ok := p.healthRelay.links[id]
	if !ok {
		return
	}
	delete(p.healthRelay.links, id)
	for _, other := range p.healthRelay.links {
		if other == from { // it has come again by another link
			return
		}
	}
	p.healthRelay.relay.Detach(from)
}

// healthTick sends each link what has changed.
func (p *Planner) relayHealth() {
	now, r := p.now(), p.healthRelay
	if r == nil || now < r.next {
		return
	}
	r.next = now + relayInterval
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
