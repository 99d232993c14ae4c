package logic

import (
	"testing"
	"time"

	"havenproxy/internal/peers"
)

// The bound that this file holds: of a tier's proxies, few may refuse all requests for so long, so many of them, with no attempt in between.
const (
	refusalSpan  = 4 * time.Second
	refusalCount = 15
	refusalPart  = 10 // one proxy in so many may
)

// thinProxy is one proxy of a large tier, with a few requests a second, whose attempts end as the test says.
type thinProxy struct {
	*front
	result Result        // of attempts
	took   time.Duration // until they end
	cut    bool          // pings have no answer either
	queue  float64       // what members report to be waiting
	stays  bool          // they go on so
	out    []sent        // under way, the oldest first
	asked  int
	opened time.Duration // when the connections came up

	refused int // since the last attempt
	since   time.Duration
	worst   time.Duration // without an attempt, over refusalCount requests
}

// run lets time pass, with five requests a second of all classes.
func (s *thinProxy) run(d time.Duration) {
	const step, every = 10 * ms, 20 // in steps
	for end := s.now + d; s.now < end; {
		s.now += step
		s.r.Timer(s.now, tickTimer)
		s.pings()
		if s.asked++; s.asked%every == 0 {
			class := s.asked / every % len(s.r.cfg.Classes)
			id := s.request(class, SessionID(s.asked%7))
			if s.pings(); s.finals[id] == "refused" {
				s.refused++
			}
		}
		for len(s.out) > 0 && s.now-s.out[0].at >= s.took {
			a := s.out[0]
			s.out = s.out[1:]
			s.end(a, s.result)
		}
		if s.refused >= refusalCount {
			s.worst = max(s.worst, s.now-s.since)
		}
	}
}

// Send implements Actions.
func (s *thinProxy) Send(id RequestID, to MemberID, timeout time.Duration) {
	s.front.Send(id, to, timeout)
	s.out = append(s.out, s.sends[len(s.sends)-1])
	s.refused, s.since = 0, s.now
}

// pings answers them, or lets them go by.
func (s *thinProxy) pings() {
	ask := s.probes
	s.probes = nil
	for _, m := range ask {
		p := ProbeResult{Member: m, Elapsed: ms, ConnOpenedAt: s.opened, Report: Report{Role: RoleReplica, Position: s.now - 10*ms, Queue: s.queue}}
		if m == 1 {
			p.Report.Role, p.Report.Position = RolePrimary, s.now
		}
		if s.cut {
			p = ProbeResult{Member: m, Result: TimedOut}
		}
		s.r.ProbeDone(s.now, p)
	}
}

// startAnew lists members as started now.
func (s *thinProxy) startAnew(ids ...MemberID) {
	for _, id := range ids {
		s.r.Members(s.now, MemberList{Kind: ListDelta, Entries: []Member{{ID: id, State: Ready, StartedAt: s.now}}})
	}
}

// measure lets members serve from now on, unless what they do is to stay, and begins to measure.
func (s *thinProxy) measure() {
	if !s.stays {
		s.result, s.took, s.cut, s.queue = OK, 10*ms, false, 0
	}
	s.refused, s.since, s.worst = 0, s.now, 0
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
			s.result, s.cut = ConnectFailed, true
			s.run(8 * time.Second)
		},
		"it was cut off for a moment": func(s *thinProxy) {
			s.result, s.cut = ConnectFailed, true
			s.run(1500 * ms)
		},
		"it stood still": func(s *thinProxy) { s.now += 5 * time.Second },
		"members were full": func(s *thinProxy) {
			s.result = Rejected
			s.run(8 * time.Second)
		},
		"members are full all the while": func(s *thinProxy) {
			s.result, s.stays = Rejected, true
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
		"half of the members have just started": func(s *thinProxy) { s.startAnew(1, 2, 3) },
		"all members have just started":         func(s *thinProxy) { s.startAnew(1, 2, 3, 4, 5, 6) },
		"peers told of failures everywhere": func(s *thinProxy) {
			for range 10 {
				var facts []peers.Report
				for id := range MemberID(members) {
					facts = append(facts, peers.Report{Database: peers.ShortID(uint64(id + 1)), At: s.now, Status: peers.Failing})
				}
				s.r.PeerFacts(s.now, facts)
				s.run(100 * ms)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			over, none := 0, time.Duration(0)
			const seeds = 100
			for seed := range uint64(seeds) {
				cfg := manyFronts()
				cfg.Proxies, cfg.Seed, cfg.MaxPeerFacts = proxies, seed, 8
				s := &thinProxy{front: newFront(t, cfg), result: OK, took: 10 * ms}
				s.r.act = s
				s.opened = s.now
				s.list(ListCached, members)
				if name != "it has just started" {
					s.run(10 * time.Second)
				}
				c(s)
				s.measure()
				s.run(20 * time.Second)
				if none = max(none, s.worst); s.worst >= refusalSpan {
					over++
				}
			}
			t.Logf("%d of %d proxies refused all for over %v; at most %v", over, seeds, refusalSpan, none)
			if over*refusalPart > seeds {
				t.Errorf("%d of %d proxies refused all for %v", over, seeds, refusalSpan)
			}
		})
	}
}
