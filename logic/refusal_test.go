package logic

import (
	"testing"
	"time"

	"havenproxy/internal/peers"
)

// The bound that this file holds: of a tier's proxies, few may refuse all requests for so long, so many of them, with no attempt in between.
const (
	refusalSpan    = 4 * time.Second
	refusalCount   = 15
	refusalDivisor = 10 // one proxy in so many may
)

// thinProxy is one proxy of a large tier, with a few requests a second, whose attempts end as the test says.
type thinProxy struct {
	*testProxy
	result       Result        // of attempts
	took         time.Duration // until they end
	pingsLost    bool          // pings have no answer either
	queue        float64       // what members report to be waiting
	faultStays   bool          // they go on so
	inFlight     []sentAttempt // under way, the oldest first
	steps        int
	connOpenedAt time.Duration // when the connections came up

	refused int // since the last attempt
	since   time.Duration
	longest time.Duration // without an attempt, over refusalCount requests
}

// run lets time pass, with five requests a second of all classes.
func (s *thinProxy) run(d time.Duration) {
	const step, every = 10 * ms, 20 // in steps
	for end := s.now + d; s.now < end; {
		s.now += step
		s.router.Timer(s.now, tickTimer)
		s.answerPings()
		if s.steps++; s.steps%every == 0 {
			class := s.steps / every % len(s.router.cfg.Classes)
			id := s.request(class, SessionID(s.steps%7))
			if s.answerPings(); s.finals[id] == "refused" {
				s.refused++
			}
		}
		for len(s.inFlight) > 0 && s.now-s.inFlight[0].at >= s.took {
			a := s.inFlight[0]
			s.inFlight = s.inFlight[1:]
			s.finishAttempt(a, s.result)
		}
		if s.refused >= refusalCount {
			s.longest = max(s.longest, s.now-s.since)
		}
	}
}

// Send implements Actions.
func (s *thinProxy) Send(id RequestID, to MemberID, timeout time.Duration) {
	s.testProxy.Send(id, to, timeout)
	s.inFlight = append(s.inFlight, s.sends[len(s.sends)-1])
	s.refused, s.since = 0, s.now
}

// pings answers them, or lets them go by.
func (s *thinProxy) answerPings() {
	probed := s.probes
	s.probes = nil
	for _, m := range probed {
		end := ProbeEnd{Member: m, Elapsed: ms, ConnOpenedAt: s.connOpenedAt, Report: Report{Role: RoleReplica, Position: s.now - 10*ms, Queue: s.queue}}
		if m == 1 {
			end.Report.Role, end.Report.Position = RolePrimary, s.now
		}
		if s.pingsLost {
			end = ProbeEnd{Member: m, Result: TimedOut}
		}
		s.router.Probed(s.now, end)
	}
}

// startAnew lists members as started now.
func (s *thinProxy) restart(ids ...MemberID) {
	for _, id := range ids {
		s.router.Members(s.now, MemberList{Kind: ListDelta, Entries: []Member{{ID: id, State: Ready, StartedAt: s.now}}})
	}
}

// measure lets members serve from now on, unless what they do is to stay, and begins to measure.
func (s *thinProxy) measure() {
	if !s.faultStays {
		s.result, s.took, s.pingsLost, s.queue = OK, 10*ms, false, 0
	}
	s.refused, s.since, s.longest = 0, s.now, 0
}

// Whatever a proxy went through, by its own fault or its network's, it does not go on refusing all that comes once the databases serve it.
func TestFewProxiesRefuseAllWhileDatabasesServe(t *testing.T) {
	const proxies, members = 300, 6
	for name, c := range map[string]func(s *thinProxy){
		"it has just started": func(s *thinProxy) {},
		"all answers came late": func(s *thinProxy) {
			s.result, s.took = TimedOut, 1500*ms
			s.run(8 * time.Second)
		},
		"all attempts were reset": func(s *thinProxy) {
			s.result = Reset
			s.run(8 * time.Second)
		},
		"no connection came up": func(s *thinProxy) {
			s.result, s.pingsLost = ConnectFailed, true
			s.run(8 * time.Second)
		},
		"it was cut off for a moment": func(s *thinProxy) {
			s.result, s.pingsLost = ConnectFailed, true
			s.run(1500 * ms)
		},
		"it stood still": func(s *thinProxy) { s.now += 5 * time.Second },
		"members were full": func(s *thinProxy) {
			s.result = Rejected
			s.run(8 * time.Second)
		},
		"members are full all the while": func(s *thinProxy) {
			s.result, s.faultStays = Rejected, true
		},
		"members were full for a moment": func(s *thinProxy) {
			s.result = Rejected
			s.run(2 * time.Second)
		},
		"all answers were slow": func(s *thinProxy) {
			s.took = 900 * ms
			s.run(8 * time.Second)
		},
		"all queues were long": func(s *thinProxy) {
			s.queue = 3
			s.run(8 * time.Second)
		},
		"half of the members have just started": func(s *thinProxy) { s.restart(1, 2, 3) },
		"all members have just started":         func(s *thinProxy) { s.restart(1, 2, 3, 4, 5, 6) },
		"peers told of failures everywhere": func(s *thinProxy) {
			for range 10 {
				var reports []peers.Report
				for id := range MemberID(members) {
					reports = append(reports, peers.Report{Database: peers.ShortID(uint64(id + 1)), At: s.now, Status: peers.Failing})
				}
				s.router.PeerReports(s.now, reports)
				s.run(100 * ms)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			over, none := 0, time.Duration(0)
			const seeds = 100
			for seed := range uint64(seeds) {
				cfg := manyProxies()
				cfg.Proxies, cfg.Seed, cfg.MaxPeerReports = proxies, seed, 8
				s := &thinProxy{testProxy: newTestProxy(t, cfg), result: OK, took: 10 * ms}
				s.router.actions = s
				s.connOpenedAt = s.now
				s.listMembers(ListCached, members)
				if name != "it has just started" {
					s.run(10 * time.Second)
				}
				c(s)
				s.measure()
				s.run(20 * time.Second)
				if none = max(none, s.longest); s.longest >= refusalSpan {
					over++
				}
			}
			t.Logf("%d of %d proxies refused all for over %v; at most %v", over, seeds, refusalSpan, none)
			if over*refusalDivisor > seeds {
				t.Errorf("%d of %d proxies refused all for %v", over, seeds, refusalSpan)
			}
		})
	}
}
