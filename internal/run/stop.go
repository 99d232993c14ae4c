package run

import (
	"log/slog"
)

// The end: what is owed is answered, and the process ends.

// stop ends the proxy in good order: it goes on as before while clients still come, then closes what is idle
// and ends with its last answer.
func (p *proxy) stop() {
	if p.stopping {
		return
	}
	p.stopping = true
	slog.Info("stopping", "pending", p.front.Pending())
	now := p.clock.Now()
	p.answerBy, p.killAt = now+p.patience+answerMargin, now+p.patience+stopMargin
	p.front.SetFinalDeadline(p.answerBy)
	p.front.Deadlines.Clear(&p.settling)
	if p.accept > 0 && p.serving {
		p.server.DrainShared()
	}
	p.front.Deadlines.Set(&p.timer, now+lastClients, func() {
		p.server.Drain()
		p.front.Deadlines.Set(&p.timer, p.clock.Now()+drainStep, p.drained) // connections just accepted show up until then
	})
}

func (p *proxy) drained() {
	now := p.clock.Now()
	if now >= p.answerBy {
		p.front.EndAllRequests()
	}
	if p.nothingOwed() || now >= p.killAt {
		// A connection may have been accepted, and a query read, that the loop has yet to hear of: whatever the poller has begun by now
		// stands before this in the loop's queue.
		p.loop.PostAfterPoller(func() {
			if p.nothingOwed() || p.clock.Now() >= p.killAt {
				if p.tier != nil {
					p.tier.Leave()
				}
				p.loop.Stop()
				return
			}
			p.front.Deadlines.Set(&p.timer, p.clock.Now()+drainStep, p.drained)
		})
		return
	}
	p.front.Deadlines.Set(&p.timer, now+drainStep, p.drained)
}

// nothingOwed closes the clients that are owed nothing, and tells whether none is left.
func (p *proxy) nothingOwed() bool { return p.server.Drained() && p.front.OutstandingAnswers() == 0 }
