package run

import (
	"fmt"
	"log/slog"
	"time"
)

const (
	// A proxy can serve once discovery has answered and it has had the time to hear of its databases, as a fresh router waits for them.
	// Where discovery doesn't answer, it serves with the list that it had.
	settleTime   = 400 * time.Millisecond
	settleAnyway = 3 * time.Second
	settleStep   = 10 * time.Millisecond
)

// settle waits until the proxy can serve. Only then it takes clients off a socket that another process serves, too.
func (p *proxy) settle() {
	now := p.clock.Now()
	if since := now - p.startedAt; since < settleTime || !p.front.ListReceived() && since < settleAnyway {
		p.front.Deadlines.Set(&p.settling, now+settleStep, p.settle)
		return
	}
	if p.accept > 0 {
		if err := p.server.Inherit(p.accept); err != nil {
			p.failed = fmt.Errorf("EDGE_ACCEPT_FD: %w", err) // it would end with 0 otherwise, as if it had been told to
			p.loop.Stop()
			return
		}
	}
	p.serving = true
	slog.Info("can serve", "list_told", p.front.ListReceived())
}

// Ready implements net.AdminHandler.
func (p *proxy) Ready() bool { return p.serving && !p.stopping && (p.tier == nil || p.tier.Ready()) }

// Metrics implements net.AdminHandler.
func (p *proxy) Metrics(dst []byte) []byte { return p.front.AppendMetrics(dst) }

// Drain implements net.AdminHandler.
func (p *proxy) Drain() { p.server.SetOperatorDrain(true) }

// Activate implements net.AdminHandler.
func (p *proxy) Activate() { p.server.SetOperatorDrain(false) }
