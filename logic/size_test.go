package logic

import (
	"testing"
	"time"
)

// Tests of proxies in large tiers, each of which sees little traffic. Each comment names the failure that its test
// guards against.

func manyProxies() Config {
	cfg := testConfig()
	cfg.Proxies = 170
	return cfg
}

// countProbes advances the clock in steps of about half a second, counts the pings and answers them. It calls
// afterEach after each step.
func (p *testProxy) countProbes(d time.Duration, afterEach func()) (n int) {
	for end := p.now + d; p.now < end; {
		for i := 0; i < 50; i++ {
			p.now += 10 * ms
			p.router.Timer(p.now, tickTimer)
			n += len(p.probes)
			p.answerPings()
		}
		afterEach()
		n += len(p.probes)
		p.answerPings()
	}
	return n
}

// Periodic pings of 170 proxies amounted to 7 to 11 per request. With two proxies the periods stay.
func TestPingsFollowNeedWhereTrafficIsThin(t *testing.T) {
	p := newReadyProxy(t, manyProxies(), 6)
	requests := 0
	pings := p.countProbes(30*time.Second, func() {
		requests++
		if s := p.serve(p.requestAndAnswerPings(classBounded), 5*ms); s.to == 1 {
			t.Error("a bounded read went to the primary although a ping would find a recent replica")
		}
	})
	if pings > 2*requests {
		t.Errorf("%d pings for %d requests at one of many proxies", pings, requests)
	}
	few := newReadyProxy(t, testConfig(), 6)
	pings = few.countProbes(30*time.Second, func() { few.serve(few.requestAndAnswerPings(classBounded), 5*ms) })
	if want := 30 * 4 * 5; pings < want { // five replicas, each pinged at a quarter of 800 ms or a little later
		t.Errorf("%d pings at one of two proxies, want at least %d", pings, want)
	}
}

// requestAndAnswerPings submits a request and answers the pings that it triggers.
func (p *testProxy) requestAndAnswerPings(class int) RequestID {
	id := p.request(class, 0)
	p.answerPings()
	return id
}

// A read that waits for a ping must not wait for long if none of the pinged members answers.
func TestReadAwaitingPingMovesOn(t *testing.T) {
	p := newReadyProxy(t, manyProxies(), 3)
	p.advance(2 * time.Second)
	id := p.request(classBounded, 0)
	p.advance(100*ms, 2, 3)
	if s := p.mustSend(id); s.to != 1 || s.at > p.now-20*ms {
		t.Errorf("sent to %d, %v ago; want the primary after two ping waits at most", s.to, p.now-s.at)
	}
}

// Under low traffic, limits shared by many proxies refused a part of all requests.
func TestLowTrafficIsNotRefused(t *testing.T) {
	for _, proxies := range []int{0, 1, 2, 40, 200, 100000} {
		cfg := testConfig()
		cfg.Proxies = proxies
		p := newReadyProxy(t, cfg, 6)
		for i := 0; i < 400; i++ {
			p.advance(100 * ms)
			class := i % len(cfg.Classes)
			id := p.request(class, SessionID(i%7))
			p.answerPings()
			p.advance(10 * ms)
			if p.sendCount(id) != 1 {
				t.Fatalf("%d proxies: class %d sent %d times, final answer %q", proxies, class, p.sendCount(id), p.finals[id])
			}
			p.serve(id, cfg.Classes[class].Aim/8)
		}
	}
}

// Proxies that each sent one request to a returned member overloaded it together. The sum of what many routers
// with different seeds send in any three seconds must stay within what the member can bear.
func TestColdMemberIsSentItsShareByAllFronts(t *testing.T) {
	const proxies, members, perSecond = 150, 6, 300 // all proxies; each warm replica gets about 60 reads per second
	cfg := manyProxies()
	cfg.Proxies = proxies
	sent, warm := 0, 0
	for i := 0; i < proxies; i++ {
		cfg.Seed = uint64(i)
		p := newReadyProxy(t, cfg, members)
		run := func(n int) {
			for k := 0; k < n; k++ {
				p.advance(10 * ms)
				if (k+i)%(proxies*100/perSecond) == 0 {
					if s, ok := p.lastSend(p.requestAndAnswerPings(classSession)); ok {
						p.serve(s.id, 5*ms)
					}
				}
			}
		}
		run(1500)
		p.sends = nil
		p.router.Members(p.now, MemberList{Entries: []Member{{ID: 2, State: Ready, StartedAt: p.now}}})
		run(300)
		for _, s := range p.sends {
			switch s.to {
			case 2:
				sent++
			case 3:
				warm++
			}
		}
	}
	// Over the three seconds its capacity is between 0.16 and 0.32 of a warm member's; three times that is
	// allowed.
	if limit := float64(warm) * 0.24 * 3; float64(sent) > limit || sent == 0 {
		t.Errorf("%d reads at the cold member in 3 s, %d at a warm one; want some, and %.0f at most", sent, warm, limit)
	}
}

// A list that named all members as gone, although all were serving, had everything refused. Without IgnoreGone it
// must still be binding.
func TestListThatDoesNotBindIsNoProof(t *testing.T) {
	var gone []Member
	for id := MemberID(1); id <= 4; id++ {
		gone = append(gone, Member{ID: id, State: Gone})
	}
	for _, only := range []bool{true, false} {
		cfg := testConfig()
		cfg.IgnoreGone = only
		p := newReadyProxy(t, cfg, 4)
		for _, l := range []MemberList{{Kind: ListFull}, {Entries: gone}} {
			p.router.Members(p.now, l)
			p.advance(500 * ms)
			if id := p.request(classAny, 0); (p.sendCount(id) == 1) != only {
				t.Errorf("IgnoreGone %v: %d sends after the list named no members", only, p.sendCount(id))
			}
		}
	}
	cfg := testConfig()
	cfg.IgnoreGone = true
	p := newReadyProxy(t, cfg, 2)
	p.router.Members(p.now, MemberList{Entries: []Member{{ID: 2, State: Draining}}})
	p.router.Members(p.now, MemberList{Entries: []Member{{ID: 2, State: Gone}}})
	for i := 0; i < 20; i++ {
		if s, ok := p.lastSend(p.request(classAny, 0)); ok && s.to == 2 {
			t.Fatal("sent to a member that had been listed as draining")
		}
	}
}

// Members that a non-binding list no longer names and that have long been silent are removed.
func TestUnlistedSilentMembersAreRemoved(t *testing.T) {
	cfg := testConfig()
	cfg.IgnoreGone = true
	p := newReadyProxy(t, cfg, 4)
	p.listMembers(ListFull, 3)
	for i := 0; i < 300; i++ {
		p.advance(200*ms, 4)
		for _, id := range []MemberID{4} { // its pings time out
			p.router.Probed(p.now, ProbeEnd{Member: id, Result: TimedOut})
		}
		p.listMembers(ListFull, 3)
	}
	if len(p.router.memberOrder) != 3 || len(p.router.groups[0].members) != 3 || len(p.router.members) != 3 {
		t.Errorf("%d members kept, want 3", len(p.router.memberOrder))
	}
}

// A fifth of all answers were lost while pings passed, and reads ended at their deadlines. In normal operation
// with occasional slow answers, and where all answers are late, no copies are sent.
func TestLostAnswersGetCopies(t *testing.T) {
	copies := func(latency func(i int) time.Duration) (n, refused int) {
		p := newReadyProxy(t, testConfig(), 5)
		for i := 0; i < 600; i++ {
			id := p.request(classSession, 0)
			s, ok := p.lastSend(id)
			if !ok {
				refused++
				continue
			}
			if d := latency(i); d > 0 {
				p.advance(d)
				p.finishAttempt(p.mustSend(id), OK)
			} else {
				p.advance(700 * ms)
				if p.sendCount(id) > 1 {
					p.finishAttempt(p.mustSend(id), OK)
					p.router.Outcome(p.now, Outcome{Request: id, Attempt: s.index, Member: s.to, Result: Cancelled, Finished: true})
				} else {
					p.advance(300 * ms)
					p.finishAttempt(s, TimedOut)
				}
			}
			if i >= 300 {
				n += p.sendCount(id) - 1
			}
		}
		return n, refused
	}
	quick := func(i int) time.Duration { return time.Duration(10+i%5*10) * ms }
	lost, refused := copies(func(i int) time.Duration {
		if i%5 == 4 {
			return 0
		}
		return quick(i)
	})
	if lost < 20 || refused > 30 {
		t.Errorf("%d copies for 60 lost answers, %d of 600 requests refused", lost, refused)
	}
	if n, _ := copies(func(i int) time.Duration {
		if i%40 == 39 {
			return 390 * ms
		}
		return quick(i)
	}); n != 0 {
		t.Errorf("%d copies in normal operation", n)
	}
	if n, _ := copies(func(i int) time.Duration { return time.Duration(300+i%5*50) * ms }); n != 0 {
		t.Errorf("%d copies where all answers are late", n)
	}
}

// Slowed replicas fell behind, and every proxy sent their reads to primaries whose queues it could have seen.
// Later answers in time to this proxy take precedence over a report.
func TestReportedQueueGuards(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 3)
	report := func(m MemberID, queue float64) {
		p.router.members[m].probing = true
		p.router.Probed(p.now, ProbeEnd{Member: m, Elapsed: ms, Report: Report{Role: RoleReplica, Position: p.now, Queue: queue}})
	}
	report(2, 5)
	for i := 0; i < 30; i++ {
		if s := p.serve(p.request(classAny, 0), 0); s.to == 2 {
			t.Fatal("a read went to a member with requests waiting while another had none")
		}
	}
	p.now += ms
	p.router.recordLatency(p.now, p.router.members[2], 500*ms, 0.1)
	used := false
	for i := 0; i < 30; i++ {
		used = used || p.serve(p.request(classAny, 0), 0).to == 2
	}
	if !used {
		t.Error("a report still excludes a member that has answered in time since")
	}
	report(2, 5)
	report(3, 5)
	p.router.members[1].queueLength, p.router.members[1].queueReportedAt = 5, p.now
	if id := p.request(classAny, 0); p.sendCount(id) != 0 {
		t.Error("a read was sent although every member reports waiting requests")
	}
	p.now += 2 * time.Second
	if p.router.overloaded(p.now, p.router.members[2], 1) {
		t.Error("a report of two seconds ago still counts")
	}
}

// A stalled proxy handled its own timer before the ping answers that had arrived in the meantime.
func TestStandingStillIsNotTheMembersSilence(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 3)
	for len(p.probes) == 0 {
		p.now += 10 * ms
		p.router.Timer(p.now, tickTimer)
	}
	p.now += 900 * ms
	p.router.Timer(p.now, tickTimer)
	for _, m := range p.router.memberOrder {
		if m.handover.Silent {
			t.Fatalf("member %d counts as silent for a second in which the proxy was stalled", m.ID)
		}
	}
	p.advance(20 * ms)
	if id := p.request(classUnsafe, 1); p.sendCount(id) != 1 {
		t.Error("a write was not sent after a stall")
	}
}

// A primary that was silent for a moment and returned unchanged invalidated all pins of its group.
func TestPinsOutliveASilentPrimary(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 6)
	pinned := p.serve(p.request(classSession, 5), 10*ms).to
	p.advance(1500*ms, 1)
	if p.router.groups[0].primary != nil {
		t.Fatal("the silent primary is still taken for reachable")
	}
	p.router.members[1].probing = false
	p.advance(1200 * ms)
	if p.router.groups[0].primary == nil {
		t.Fatal("the primary is not found again")
	}
	for i := 0; i < 10; i++ {
		if to := p.serve(p.request(classSession, 5), ms).to; to != pinned {
			t.Fatalf("the session moved from %d to %d", pinned, to)
		}
	}
}

// Retry tokens were also spent when no member could be chosen.
func TestRetryTokensAreSpentBySendsOnly(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 1) // only the primary: there is no second member
	before := p.router.retryTokens
	for i := 0; i < 20; i++ {
		p.finishAttempt(p.mustSend(p.request(classAny, 0)), Reset)
		p.now += time.Second
		p.advance(2 * time.Second)
	}
	if p.router.retryTokens < before {
		t.Errorf("%v retry tokens left of %v without a second attempt", p.router.retryTokens, before)
	}
}

// Clients with little time left got attempts that could not end in time. But the estimated service time must not
// exclude a class whose clients always have little time: it decreases until one is tried.
func TestTooLittleTimeIsAnsweredAtOnceAndTriedAgain(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 3)
	short := func() RequestID {
		p.nextID++
		p.router.Request(p.now, Request{ID: p.nextID, Class: classSession, Deadline: p.now + 30*ms})
		return p.nextID
	}
	id := short() // the aim is 400 ms, and the true service time is unknown yet
	p.wantFinal(id, "refused")
	if p.sendCount(id) != 0 {
		t.Error("sent with 30 ms left to a class expected to take 100 ms")
	}
	for i := 0; p.sendCount(id) == 0; i++ {
		if i > 100 {
			t.Fatal("a class whose clients come with little time is never tried again")
		}
		p.now += ms
		id = short()
	}
	p.serve(id, 5*ms)
}

// After a stall, answers that had waited at this proxy looked late and reduced the limits of all members.
func TestStandingStillMovesNoLimit(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 3)
	before := p.router.members[1].MaxInFlight
	ids := []RequestID{p.request(classUnsafe, 1), p.request(classUnsafe, 2), p.request(classUnsafe, 3)}
	p.now += 900 * ms
	p.finishAttempt(p.mustSend(ids[0]), OK)
	p.router.Timer(p.now, tickTimer)
	p.finishAttempt(p.mustSend(ids[1]), OK)
	if m := p.router.members[1]; m.MaxInFlight != before || m.LatencyRatio != 0 {
		t.Errorf("limit %v, initially %v, and strain %v after answers that waited at this proxy", m.MaxInFlight, before, m.LatencyRatio)
	}
	p.advance(600 * ms)
	p.finishAttempt(p.mustSend(ids[2]), OK)
	if p.router.members[1].LatencyRatio == 0 {
		t.Error("a late answer no longer counts")
	}
}

// Many members, each half full for this proxy, admitted nearly every request: with a separate random draw for each
// of them, one always accepted. In a large group that made all answers late.
func TestHalfFullMembersShedHalf(t *testing.T) {
	p := newReadyProxy(t, manyProxies(), 9)
	sent := 0
	for i := 0; i < 200; i++ {
		for _, m := range p.router.memberOrder {
			m.MaxInFlight, m.LastRaised = 0.5, p.now
		}
		id := p.request(classAny, 0)
		if s, ok := p.lastSend(id); ok {
			sent++
			p.finishAttempt(s, OK)
		}
	}
	if sent < 50 || sent > 130 {
		t.Errorf("%d of 200 requests sent to half-full members", sent)
	}
}

// While a new version of a proxy runs beside the old one, each with its own budget for a cold member, what each
// may send follows its traffic. Together they send no more than one did alone, except for what the old one
// remembers of its traffic for some seconds.
func TestTwoVersionsSideBySideShareAColdMember(t *testing.T) {
	const seeds, every = 60, 2 // one request every 20 ms, at one of the two
	alone, both := 0, 0
	for seed := range uint64(seeds) {
		for _, two := range []bool{false, true} {
			cfg := testConfig()
			cfg.Seed, cfg.Proxies = seed, 1
			proxies := []*testProxy{newReadyProxy(t, cfg, 4)}
			run := func(n int) {
				for k := range n {
					for i, p := range proxies {
						p.advance(10 * ms)
						if k%every == 0 && k/every%len(proxies) == i {
							if s, ok := p.lastSend(p.requestAndAnswerPings(classAny)); ok {
								p.finishAttempt(s, OK)
							}
						}
					}
				}
			}
			run(1500)
			old := proxies[0]
			if two {
				cfg.Seed += 1000
				p := newTestProxy(t, cfg)
				p.now = old.now
				p.listMembers(ListCached, 4)
				p.advance(20 * ms)
				old.advance(20 * ms)
				proxies = append(proxies, p)
			}
			for _, p := range proxies {
				p.sends = nil
				p.router.Members(p.now, MemberList{Entries: []Member{{ID: 2, State: Ready, StartedAt: old.now}}})
			}
			run(300)
			for _, p := range proxies {
				for _, s := range p.sends {
					if s.to == 2 && two {
						both++
					} else if s.to == 2 {
						alone++
					}
				}
			}
		}
	}
	if float64(both) > 1.1*float64(alone) || alone == 0 {
		t.Errorf("requests at the cold member in 3 s: %d from one version, %d from two side by side", alone, both)
	}
}
