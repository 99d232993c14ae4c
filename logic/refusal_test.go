package logic

import (
	"testing"
	"time"

	"havenproxy/internal/peers"
)

// Bound that this file checks: only a few of a tier's proxies may refuse that many consecutive requests over that
// much time without an attempt in between.
const (
	refusalSpan    = 4 * time.Second
	refusalCount   = 15
	refusalDivisor = 10 // at most one proxy in this many
)

// thinProxy is one proxy of a large tier, with a few requests per second, whose attempts end as the test
// specifies.
type thinProxy struct {
	*testProxy
	result       Result        // of attempts
	answerDelay  time.Duration // until they end
	pingsLost    bool          // pings are not answered either
	queue        float64       // reported by the members
	faultStays   bool          // the fault continues during the measurement
	inFlight     []sentAttempt // oldest first
	steps        int
	connOpenedAt time.Duration // when the connections were opened

	refused int // since the last attempt
	since   time.Duration
	longest time.Duration // longest time without an attempt, over refusalCount requests or more
}

// run advances the clock, with five requests per second of all classes.
func (p *thinProxy) run(d time.Duration) {
	const step, every = 10 * ms, 20 // in steps
	for end := p.now + d; p.now < end; {
		p.now += step
		p.router.Timer(p.now, tickTimer)
		p.answerPings()
		if p.steps++; p.steps%every == 0 {
			class := p.steps / every % len(p.router.cfg.Classes)
			id := p.request(class, SessionID(p.steps%7))
			if p.answerPings(); p.finals[id] == "refused" {
				p.refused++
			}
		}
		for len(p.inFlight) > 0 && p.now-p.inFlight[0].at >= p.answerDelay {
			a := p.inFlight[0]
			p.inFlight = p.inFlight[1:]
			p.finishAttempt(a, p.result)
		}
		if p.refused >= refusalCount {
			p.longest = max(p.longest, p.now-p.since)
		}
	}
}

// Send implements Actions.
func (p *thinProxy) Send(id RequestID, to MemberID, timeout time.Duration) {
	p.testProxy.Send(id, to, timeout)
	p.inFlight = append(p.inFlight, p.sends[len(p.sends)-1])
	p.refused, p.since = 0, p.now
}

// answerPings answers the pings, or has them time out.
func (p *thinProxy) answerPings() {
	probed := p.probes
	p.probes = nil
	for _, m := range probed {
		end := ProbeEnd{Member: m, Elapsed: ms, ConnOpenedAt: p.connOpenedAt, Report: Report{Role: RoleReplica, Position: p.now - 10*ms, Queue: p.queue}}
		if m == 1 {
			end.Report.Role, end.Report.Position = RolePrimary, p.now
		}
		if p.pingsLost {
			end = ProbeEnd{Member: m, Result: TimedOut}
		}
		p.router.Probed(p.now, end)
	}
}

// restart lists members as started now.
func (p *thinProxy) restart(ids ...MemberID) {
	for _, id := range ids {
		p.router.Members(p.now, MemberList{Kind: ListDelta, Entries: []Member{{ID: id, State: Ready, StartedAt: p.now}}})
	}
}

// measure ends the members' fault, unless it is to continue, and starts the measurement.
func (p *thinProxy) measure() {
	if !p.faultStays {
		p.result, p.answerDelay, p.pingsLost, p.queue = OK, 10*ms, false, 0
	}
	p.refused, p.since, p.longest = 0, p.now, 0
}

// Whatever a proxy has been through, by its own fault or its network's, it must not keep refusing everything once
// the databases serve it.
func TestFewProxiesRefuseAllWhileDatabasesServe(t *testing.T) {
	const proxies, members = 300, 6
	for name, inject := range map[string]func(p *thinProxy){
		"it has just started": func(p *thinProxy) {},
		"all answers came late": func(p *thinProxy) {
			p.result, p.answerDelay = TimedOut, 1500*ms
			p.run(8 * time.Second)
		},
		"all attempts were reset": func(p *thinProxy) {
			p.result = Reset
			p.run(8 * time.Second)
		},
		"no connection came up": func(p *thinProxy) {
			p.result, p.pingsLost = ConnectFailed, true
			p.run(8 * time.Second)
		},
		"it was cut off for a moment": func(p *thinProxy) {
			p.result, p.pingsLost = ConnectFailed, true
			p.run(1500 * ms)
		},
		"the proxy stalled": func(p *thinProxy) { p.now += 5 * time.Second },
		"members were full": func(p *thinProxy) {
			p.result = Rejected
			p.run(8 * time.Second)
		},
		"members stay full": func(p *thinProxy) {
			p.result, p.faultStays = Rejected, true
		},
		"members were full for a moment": func(p *thinProxy) {
			p.result = Rejected
			p.run(2 * time.Second)
		},
		"all answers were slow": func(p *thinProxy) {
			p.answerDelay = 900 * ms
			p.run(8 * time.Second)
		},
		"all queues were long": func(p *thinProxy) {
			p.queue = 3
			p.run(8 * time.Second)
		},
		"half of the members have just started": func(p *thinProxy) { p.restart(1, 2, 3) },
		"all members have just started":         func(p *thinProxy) { p.restart(1, 2, 3, 4, 5, 6) },
		"peers reported failures everywhere": func(p *thinProxy) {
			for range 10 {
				var reports []peers.Report
				for id := range MemberID(members) {
					reports = append(reports, peers.Report{Database: peers.ShortID(uint64(id + 1)), At: p.now, Status: peers.Failing})
				}
				p.router.PeerReports(p.now, reports)
				p.run(100 * ms)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			stuck, longest := 0, time.Duration(0)
			const seeds = 100
			for seed := range uint64(seeds) {
				cfg := manyProxies()
				cfg.Proxies, cfg.Seed, cfg.MaxPeerReports = proxies, seed, 8
				p := &thinProxy{testProxy: newTestProxy(t, cfg), result: OK, answerDelay: 10 * ms}
				p.router.actions = p
				p.connOpenedAt = p.now
				p.listMembers(ListCached, members)
				if name != "it has just started" {
					p.run(10 * time.Second)
				}
				inject(p)
				p.measure()
				p.run(20 * time.Second)
				if longest = max(longest, p.longest); p.longest >= refusalSpan {
					stuck++
				}
			}
			t.Logf("%d of %d proxies refused everything for over %v; longest %v", stuck, seeds, refusalSpan, longest)
			if stuck*refusalDivisor > seeds {
				t.Errorf("%d of %d proxies refused everything for %v", stuck, seeds, refusalSpan)
			}
		})
	}
}
