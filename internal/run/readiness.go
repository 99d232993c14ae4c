package run

import (
	"fmt"
	"log/slog"
	"time"
)

const (
	// The proxy is ready once discovery has answered and readyDelay has passed, in which a new router waits for the state of its
	// databases. If discovery does not answer within readyTimeout, it serves with the configured list.
	readyDelay        = 400 * time.Millisecond
	readyTimeout      = 3 * time.Second
	readyPollInterval = 10 * time.Millisecond
)

// pollReady waits until the proxy can serve. Only then does it accept clients from an inherited socket that another process also serves.
func (p *proxy) pollReady() {
	now := p.clock.Now()
	if since := now - p.startedAt; since < readyDelay || !p.engine.ListReceived() && since < readyTimeout {
		p.engine.Deadlines.Set(&p.readyTimer, now+readyPollInterval, p.pollReady)
		return
	}
	if p.acceptFD > 0 {
		if err := p.server.Inherit(p.acceptFD); err != nil {
			p.fatalErr = fmt.Errorf("EDGE_ACCEPT_FD: %w", err) // otherwise the process would exit with 0, as after a regular stop
			p.loop.Stop()
			return
		}
	}
	p.canServe = true
	slog.Info("can serve", "list_told", p.engine.ListReceived())
}

// Ready implements net.AdminHandler.
func (p *proxy) Ready() bool { return p.canServe && !p.stopping && (p.tier == nil || p.tier.Ready()) }

// Metrics implements net.AdminHandler.
func (p *proxy) Metrics(dst []byte) []byte {
	return p.server.AppendMetrics(p.engine.AppendMetrics(dst))
}

// Drain implements net.AdminHandler.
func (p *proxy) Drain() { p.server.SetOperatorDrain(true) }

// Activate implements net.AdminHandler.
func (p *proxy) Activate() { p.server.SetOperatorDrain(false) }
