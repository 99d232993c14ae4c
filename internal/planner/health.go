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
	// relayInterval is the interval at which digests are sent to links.
	relayInterval = 100 * time.Millisecond
	// reportBytesPerSecond bounds the digests that are sent to one link.
	reportBytesPerSecond = 1600
)

// healthRelay relays the proxies' reports on databases while this planner leads. Its state is volatile and used by the planner's goroutine
// only.
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

// receiveHealth handles a proxy's report. A report is accepted only over the link of the member that it claims to come from, so that no
// proxy can report on behalf of another.
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

// detachHealthLink removes a link that has ended.
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
		if other == from { // the proxy has reconnected over another link
			return
		}
	}
	p.healthRelay.relay.Detach(from)
}

// relayHealth sends each link a digest of what has changed.
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
