package run

import (
	"log/slog"
	"time"
)

// stop shuts the proxy down gracefully: it serves as before while new clients may still arrive, then closes idle connections, and ends once
// all requests have been answered.
func (p *proxy) stop() {
	if p.stopping {
		return
	}
	p.stopping = true
	slog.Info("stopping", "pending", p.engine.Pending())
	now := p.clock.Now()
	p.answerDeadline, p.exitDeadline = now+p.maxRequestTime+answerMargin, now+p.maxRequestTime+exitMargin
	p.engine.SetFinalDeadline(p.answerDeadline)
	p.engine.Deadlines.Clear(&p.readyTimer)
	if p.acceptFD > 0 && p.canServe {
		p.server.DrainShared()
	}
	p.engine.Deadlines.Set(&p.stopTimer, now+acceptGrace, func() {
		p.server.Drain()
		p.engine.Deadlines.Set(&p.stopTimer, p.clock.Now()+drainPollInterval, p.pollDrained) // lets the loop see connections that were just accepted
	})
}

// pollDrained ends the process once no answers are outstanding, or at exitDeadline if no answer is on its way to a client. Otherwise it
// calls itself again after drainPollInterval.
func (p *proxy) pollDrained() {
	now := p.clock.Now()
	if now >= p.answerDeadline {
		p.engine.EndAllRequests()
	}
	if p.drainComplete() || p.mustExit(now) {
		// The second check runs behind what is in the loop's queue by now, such as the last answers.
		p.loop.Post(func() {
			complete := p.drainComplete()
			if !complete && p.mustExit(p.clock.Now()) {
				p.answerAll()
				complete = true
			}
			if complete {
				if p.tier != nil {
					p.tier.Leave()
				}
				p.loop.Stop()
				return
			}
			p.engine.Deadlines.Set(&p.stopTimer, p.clock.Now()+drainPollInterval, p.pollDrained)
		})
		return
	}
	p.engine.Deadlines.Set(&p.stopTimer, now+drainPollInterval, p.pollDrained)
}

// mustExit reports whether the process ends now whatever is outstanding: all requests have their final answers, and none of them is on its
// way to a client, or for too long.
func (p *proxy) mustExit(now time.Duration) bool {
	return now >= p.exitDeadline && (!p.server.Delivering() || now >= p.exitDeadline+maxDeliveryTime)
}

// answerAll answers everything that clients have sent, at the last moment.
func (p *proxy) answerAll() {
	p.engine.EndAllRequests()
	p.server.FinishInput()
	p.engine.EndAllRequests()
	p.server.Drained()
}

// drainComplete closes the clients without outstanding answers, and reports whether none is left.
func (p *proxy) drainComplete() bool { return p.server.Drained() && p.engine.OutstandingAnswers() == 0 }
