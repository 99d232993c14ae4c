package rollout

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// testTier is a tier on a simulated clock. Commands are applied at once, and messages arrive except at unreachable proxies.
type testTier struct {
	now          time.Duration
	state        *State
	leader       *Leader
	proxies      []*Proxy
	delayReasons []string // reasons of the JoinDelayed messages
	unreachable  map[int]bool
	membership   *MembershipHistory
}

func newTestTier(cfg Config, proxies int, check func(Number, []byte) string) *testTier {
	tier := &testTier{now: time.Hour, state: &State{}, unreachable: map[int]bool{}}
	tier.leader = NewLeader(cfg, tier.state, 1)
	tier.deliverAll() // applies the first command of the term
	for i := range proxies {
		tier.proxies = append(tier.proxies, NewProxy(cfg, string(rune('a'+i)), uint64(100*i+1), check))
		tier.proxies[i].Connected()
	}
	tier.deliverAll()
	return tier
}

func (tier *testTier) deliverAll() {
	for again := true; again; {
		again = false
		for i, proxy := range tier.proxies {
			for _, message := range proxy.TakeMessages() {
				again = true
				tier.leader.Receive(tier.now, Link(i+1), message)
			}
		}
		ready := tier.leader.TakeReady()
		for _, command := range ready.Commands {
			again = true
			err := tier.state.Apply(command)
			if tier.membership != nil {
				tier.membership.Applied(tier.now, tier.state)
			}
			tier.leader.Applied(tier.now, command, err)
		}
		if ready.Confirm {
			again = true
			tier.leader.Confirmed(tier.now)
		}
		for _, envelope := range ready.Messages {
			again = true
			if envelope.Kind == JoinDelayed {
				tier.delayReasons = append(tier.delayReasons, envelope.Reason)
			}
			if i := int(envelope.Link) - 1; !tier.unreachable[i] {
				tier.proxies[i].Receive(tier.now, envelope.Message)
			}
		}
	}
}

// advance moves the clock; the proxies with the given indices renew their leases meanwhile.
func (tier *testTier) advance(d time.Duration, renewing ...int) {
	for end := tier.now + d; tier.now < end; {
		tier.now += 20 * time.Millisecond
		for _, i := range renewing {
			tier.proxies[i].RenewLease(tier.now)
		}
		tier.leader.Tick(tier.now)
		tier.deliverAll()
	}
}

func acceptPolicy(Number, []byte) string { return "" }

func TestRefusalAbortsChangeWithReason(t *testing.T) {
	tier := newTestTier(Config{Lease: time.Second}, 3, acceptPolicy)
	tier.proxies[1].check = func(Number, []byte) string { return "class x is in use" }
	tier.advance(100*time.Millisecond, 0, 1, 2)
	tier.leader.Propose(Command{Kind: Propose, Nonce: 1, Policy: []byte("p")})
	tier.deliverAll()
	change := tier.state.Change(1)
	if change == nil || change.Outcome != Aborted || change.Reason != "b refuses: class x is in use" || tier.state.InForce != 0 {
		t.Fatalf("%+v", change)
	}
	for _, proxy := range tier.proxies {
		if n, admission := proxy.AdmitRequest(tier.now); n != 0 || admission != Admit {
			t.Errorf("%s: policy %d, admission %d", proxy.name, n, admission)
		}
	}
}

// With leases, Expel removes a member only after its lease has ended. A member that was expelled by mistake must not admit requests under
// the old policy after a change is in force.
func TestExpelWaitsForLeaseExpiry(t *testing.T) {
	tier := newTestTier(Config{Lease: time.Second}, 2, acceptPolicy)
	tier.advance(100*time.Millisecond, 0, 1)
	if err := tier.leader.Expel(tier.now, "b"); err != nil {
		t.Fatal(err)
	}
	tier.unreachable[1] = true
	tier.leader.Propose(Command{Kind: Propose, Nonce: 1})
	for range 200 {
		tier.advance(20*time.Millisecond, 0, 1)
		if n, admission := tier.proxies[1].AdmitRequest(tier.now); admission == Admit && n < tier.state.InForce {
			t.Fatalf("b admits requests under policy %d, but %d is in force", n, tier.state.InForce)
		}
	}
	if tier.state.InForce != 1 {
		t.Error("the change is not in force")
	}
}

// Without leases every heartbeat is answered, since a proxy leaves a silent planner; a change is aborted if a member doesn't answer.
func TestHeartbeatIsAnsweredWithoutLeases(t *testing.T) {
	tier := newTestTier(Config{}, 1, acceptPolicy)
	tier.proxies[0].RenewLease(tier.now)
	for _, m := range tier.proxies[0].TakeMessages() {
		tier.leader.Receive(tier.now, 1, m)
	}
	if messages := tier.leader.TakeReady().Messages; len(messages) != 1 || messages[0].Kind != Status {
		t.Errorf("%+v", messages)
	}
	tier.unreachable[0] = true
	tier.leader.Propose(Command{Kind: Propose, Nonce: 1})
	tier.advance(3 * time.Second)
	if c := tier.state.Change(1); c.Outcome != Aborted || !strings.Contains(c.Reason, "waiting for a (to agree for 2s") {
		t.Errorf("%+v", c)
	}
}

func TestLeaseMismatchIsRejected(t *testing.T) {
	tier := newTestTier(Config{Lease: time.Second}, 1, acceptPolicy)
	tier.proxies = append(tier.proxies, NewProxy(Config{Lease: 2 * time.Second}, "b", 7, acceptPolicy))
	tier.proxies[1].Connected()
	tier.deliverAll()
	if len(tier.state.Members) != 1 || !slices.Equal(tier.delayReasons, []string{"b goes by a lease of 2s, the planners by 1s"}) {
		t.Errorf("%d members, %q", len(tier.state.Members), tier.delayReasons)
	}
	other := NewLeader(Config{Lease: 500 * time.Millisecond}, tier.state, 2)
	commands := other.TakeReady().Commands
	other.Applied(tier.now, commands[0], tier.state.Apply(commands[0]))
	if other.Leading() || other.Err() == nil {
		t.Error("a planner with another lease leads")
	}
}

// A second process with a member's name can't join while the member's lease runs, and receives the reason; it joins after that.
func TestSecondProcessOfSameNameIsDelayed(t *testing.T) {
	tier := newTestTier(Config{Lease: time.Second}, 1, acceptPolicy)
	tier.advance(100*time.Millisecond, 0)
	tier.proxies = append(tier.proxies, NewProxy(Config{Lease: time.Second}, "a", 999, acceptPolicy))
	tier.proxies[1].Connected()
	tier.deliverAll()
	if len(tier.delayReasons) != 1 || !strings.Contains(tier.delayReasons[0], "a is a member already") || !strings.Contains(tier.delayReasons[0], "once its lease has ended") {
		t.Fatalf("%q", tier.delayReasons)
	}
	if err := tier.state.Apply(Command{Kind: Join, Name: "a", Nonce: 5}); err == nil || len(tier.state.Members) != 1 { // a Join that was submitted before
		t.Error("two members have one name")
	}
	tier.advance(1400*time.Millisecond, 1)                                                                          // the first has died
	if slices.Sort(tier.delayReasons); len(tier.delayReasons) < 10 || len(slices.Compact(tier.delayReasons)) != 1 { // a proxy logs each reason that is new
		t.Errorf("%q", tier.delayReasons)
	}
	if n := tier.proxies[1].Member(); n != 2 {
		t.Errorf("member %d", n)
	}
}

// The history is bounded in its number of changes and in the size of their policies; the change in force is never dropped.
func TestChangeHistoryIsBounded(t *testing.T) {
	s := &State{}
	for i := range uint64(200) {
		if err := s.Apply(Command{Kind: Propose, Nonce: i + 1, Policy: make([]byte, 100<<10)}); err != nil {
			t.Fatal(err)
		}
		if i == 3 {
			s.Apply(Command{Kind: Commit, Number: 4, Round: Round{1, 1}, MembersVersion: s.MembersVersion})
		} else {
			s.Apply(Command{Kind: Abort, Number: Number(i + 1), Round: Round{1, 0}})
		}
	}
	sum := 0
	for _, c := range s.Changes {
		sum += len(c.Policy)
	}
	if len(s.Changes) != maxChanges || s.InForce != 4 || len(s.Change(4).Policy) == 0 || sum > maxHistoryBytes+2*MaxPolicyBytes || len(s.Change(200).Policy) == 0 {
		t.Errorf("%d changes, %d bytes, in force %d", len(s.Changes), sum, s.InForce)
	}
	if err := s.Apply(Command{Kind: Propose, Nonce: 900, Policy: make([]byte, MaxPolicyBytes+1)}); err == nil {
		t.Error("a policy above the maximum size is accepted")
	}
	if x := s.WithoutPolicies(4); len(x.Change(4).Policy) == 0 || len(x.Change(200).Policy) != 0 || len(s.Change(200).Policy) == 0 {
		t.Error("WithoutPolicies drops the wrong policies")
	}
}

// A short lease is renewed more often and doesn't shorten a longer one that still runs. A lease without a length, from a planner of an
// earlier version, has the configured length.
func TestShortLeaseIsRenewedMoreOften(t *testing.T) {
	p := NewProxy(Config{Lease: 2 * time.Second}, "a", 1, acceptPolicy)
	now := time.Hour
	p.Receive(now, Message{Kind: Welcome, Nonce: 1, Member: 5})
	p.Receive(now, Message{Kind: Granted, Member: 5, Seq: 1})
	if p.LeaseEnd() != now+2*time.Second || p.LeaseDuration() != 2*time.Second {
		t.Fatalf("until %v, length %v", p.LeaseEnd()-now, p.LeaseDuration())
	}
	p.RenewLease(now + time.Second)
	p.Receive(now+time.Second, Message{Kind: Granted, Member: 5, Seq: 2, Lease: 250 * time.Millisecond})
	if p.LeaseEnd() != now+2*time.Second || p.LeaseDuration() != 250*time.Millisecond {
		t.Errorf("until %v, length %v", p.LeaseEnd()-now, p.LeaseDuration())
	}
	p.RenewLease(now + 1900*time.Millisecond)
	p.Receive(now+1900*time.Millisecond, Message{Kind: Granted, Member: 5, Seq: 3, Lease: 250 * time.Millisecond})
	if p.LeaseEnd() != now+2150*time.Millisecond {
		t.Errorf("until %v", p.LeaseEnd()-now)
	}
}

// Proxies with an address receive the membership. A list is valid for a lease that was granted while it was current, and a proxy that joins
// receives the earlier lists that others may still use.
func TestMembershipIsSentToProxiesWithAddress(t *testing.T) {
	cfg := Config{Lease: 2 * time.Second}.WithDefaults()
	tier := &testTier{now: time.Hour, state: &State{}, unreachable: map[int]bool{}, membership: NewMembershipHistory(cfg)}
	tier.leader = NewLeader(cfg, tier.state, 1)
	tier.leader.ShareMembers(tier.membership)
	tier.deliverAll()
	join := func(address string) *Proxy {
		proxy := NewProxy(cfg, string(rune('a'+len(tier.proxies))), uint64(100*len(tier.proxies)+1), acceptPolicy)
		proxy.SetAddress(address)
		proxy.Connected()
		tier.proxies = append(tier.proxies, proxy)
		tier.deliverAll()
		return proxy
	}
	a, noAddress := join("10.0.0.1:1"), join("")
	tier.advance(time.Second, 0, 1)
	if proxy := a.Membership(); len(proxy.Members) != 2 || proxy.Members[0].Address != "10.0.0.1:1" || proxy.ValidUntil != a.LeaseEnd() || noAddress.Membership().Version != 0 {
		t.Fatalf("%+v, %+v", proxy, noAddress.Membership())
	}
	tier.unreachable[0] = true // its messages arrive, but it receives none: its list is valid until its lease ends
	until := a.LeaseEnd()
	c := join("10.0.0.3:1")
	tier.advance(20*time.Millisecond, 0, 1, 2)
	if proxy := c.Membership(); len(proxy.Members) != 3 || len(proxy.Past) != 1 || len(proxy.Past[0].Members) != 1 || proxy.Past[0].Remaining < until-tier.now || a.Membership().ValidUntil != until || len(a.Membership().Members) != 2 {
		t.Errorf("%+v, %+v, %v", proxy, a.Membership(), until-tier.now)
	}
	tier.advance(3*time.Second, 1, 2) // the unreachable member is removed
	if proxy := c.Membership(); len(proxy.Members) != 2 || proxy.Members[0].Name != "b" || proxy.ValidUntil <= tier.now {
		t.Errorf("%+v", proxy)
	}
	tier.unreachable[0] = false
	tier.proxies[0].RenewLease(tier.now)
	tier.deliverAll()
	if tier.advance(20*time.Millisecond, 0); len(a.Membership().Members) != 3 || a.Member() == 1 {
		t.Errorf("%+v", a.Membership())
	}
	// A lease that was granted with an earlier list doesn't extend the current one.
	tier.advance(20*time.Millisecond, 0, 1, 2)
	before := c.Membership()
	c.RenewLease(tier.now + time.Second)
	c.TakeMessages()
	c.Receive(tier.now+time.Second, Message{Kind: Granted, Member: c.Member(), Seq: c.seq, Lease: cfg.Lease, MembersVersion: before.Version - 1})
	if c.Membership().ValidUntil != before.ValidUntil || c.LeaseEnd() <= before.ValidUntil {
		t.Error("a lease with another list extends this one")
	}
	c.Receive(tier.now, Message{Kind: Members, Member: c.Member(), MembersVersion: before.Version - 1}) // an earlier list is ignored
	if c.Membership().Version != before.Version {
		t.Error("an earlier list is accepted")
	}
	// A leader whose history may be incomplete confirms no list, until no member can use a list that is missing.
	tier.membership.MarkIncomplete(tier.now)
	tier.advance(cfg.Lease, 1, 2)
	if c.Membership().ValidUntil != before.ValidUntil || c.LeaseEnd() <= tier.now {
		t.Errorf("%v, %v", c.Membership().ValidUntil, before.ValidUntil)
	}
	if tier.advance(time.Second, 1, 2); c.Membership().ValidUntil <= tier.now {
		t.Error("its list is not extended")
	}
	tier.now += cfg.Lease + cfg.ClockMargin // a and its list have expired
	for i := range maxPastMembers {         // the history is also incomplete once a list was dropped because it was full
		tier.membership.Applied(tier.now, &State{MembersVersion: uint64(1000 + i), Members: []MemberEntry{{Member: Member(i + 50), Address: "10.0.0.9:1"}}})
	}
	if _, ok := tier.membership.Past(tier.now); !ok {
		t.Error("incomplete although no list was dropped")
	}
	tier.membership.Applied(tier.now, &State{MembersVersion: 2000, Members: []MemberEntry{{Member: 1999, Address: "10.0.0.9:1"}}})
	if past, ok := tier.membership.Past(tier.now); ok || len(past) != maxPastMembers {
		t.Errorf("%d lists, whole: %v", len(past), ok)
	}
	if past, ok := tier.membership.Past(tier.now + cfg.Lease + cfg.ClockMargin); !ok || len(past) != 0 {
		t.Errorf("%d lists, whole: %v", len(past), ok)
	}
}

// A planner that is silent while its connection is up is left before the lease ends. Unreachable planners are tried with exponential backoff
// and jitter.
func TestPlannerSelectorLeavesSilentPlanner(t *testing.T) {
	cfg := Config{Lease: 2 * time.Second}.WithDefaults()
	rng := rand.New(rand.NewPCG(1, 2))
	selector := NewPlannerSelector(cfg, 3, rng)
	now, first := time.Hour, selector.Current()
	selector.Connected(now)
	if selector.TimedOut(now+900*time.Millisecond) || !selector.TimedOut(now+1100*time.Millisecond) {
		t.Error("the timeout is not half a lease")
	}
	if selector.Receive(now+time.Second, Granted) || selector.TimedOut(now+1900*time.Millisecond) || !selector.Receive(now, NotLeader) || selector.Receive(now, JoinDelayed) {
		t.Error("a planner that answers is left, or one that doesn't lead is not")
	}
	var pauses []time.Duration
	for range 30 {
		pauses = append(pauses, selector.Next())
	}
	if selector.Current() != first || pauses[0] > 150*time.Millisecond || pauses[29] < 1500*time.Millisecond || slices.Max(pauses) > 4500*time.Millisecond {
		t.Errorf("current %d, first %d, pauses %v", selector.Current(), first, pauses)
	}
	selector.Receive(now, Status) // it leads
	if pause := selector.Next(); pause > 150*time.Millisecond {
		t.Errorf("pause of %v after a planner that led", pause)
	}
	other := NewPlannerSelector(cfg, 3, rand.New(rand.NewPCG(1, 3)))
	if other.Next() == pauses[0] {
		t.Error("two proxies have the same pause")
	}
	if selector.RenewInterval(250*time.Millisecond) != 50*time.Millisecond || NewPlannerSelector(Config{}.WithDefaults(), 3, rng).RenewInterval(0) != time.Second {
		t.Error("wrong interval of renewals or heartbeats")
	}
	if withoutLeases := NewPlannerSelector(Config{}.WithDefaults(), 3, rng); withoutLeases.TimedOut(9*time.Second) || !withoutLeases.TimedOut(11*time.Second) {
		t.Error("wrong timeout without leases")
	}
}

// The leader falls silent with its connections up, and another is elected 0.3 to 0.9 s later. A proxy finds the new leader before its lease
// ends or shortly after. A proxy that doesn't leave the silent leader rejects requests for as long as the silence lasts.
func TestSilentLeaderOutageIsShort(t *testing.T) {
	const step = 10 * time.Millisecond
	outage := func(seed uint64, leaveSilent bool) (refused time.Duration) {
		rng := rand.New(rand.NewPCG(seed, 3))
		cfg := Config{Lease: 2 * time.Second}.WithDefaults()
		proxy := NewProxy(cfg, "a", 1, func(Number, []byte) string { return "" })
		selector := NewPlannerSelector(cfg, 3, rng)
		oldLeader, newLeader := selector.Current(), (selector.Current()+1+rng.IntN(2))%3
		silentFrom := time.Minute + time.Duration(rng.Int64N(int64(2*time.Second)))
		newLeaderFrom := silentFrom + 300*time.Millisecond + time.Duration(rng.Int64N(int64(600*time.Millisecond)))
		proxy.Receive(time.Minute, Message{Kind: Welcome, Member: 1, Nonce: 1})
		proxy.TakeMessages()
		selector.Connected(time.Minute)
		nextRenewal, reconnectAt := time.Minute, time.Duration(0)
		for now := time.Minute; now < silentFrom+8*time.Second; now += step {
			if reconnectAt > 0 && now >= reconnectAt {
				reconnectAt, nextRenewal = 0, now
				selector.Connected(now)
			}
			if reconnectAt == 0 && now >= nextRenewal {
				if nextRenewal = now + selector.RenewInterval(proxy.LeaseDuration()); leaveSilent && selector.TimedOut(now) {
					reconnectAt = now + selector.Next()
				} else {
					proxy.RenewLease(now)
				}
			}
			for _, m := range proxy.TakeMessages() {
				switch current := selector.Current(); {
				case current == oldLeader && now < silentFrom, current == newLeader && now >= newLeaderFrom:
					if m.Kind == Renew && !selector.Receive(now+step, Granted) {
						proxy.Receive(now+step, Message{Kind: Granted, Member: 1, Seq: m.Seq, Lease: cfg.Lease})
					}
				case current != oldLeader && reconnectAt == 0 && selector.Receive(now+step, NotLeader):
					reconnectAt = now + step + selector.Next()
				}
			}
			if _, admission := proxy.AdmitRequest(now); admission == Reject && now > time.Minute+step {
				refused += step
			}
		}
		return refused
	}
	var longest, sum time.Duration
	for seed := range uint64(2000) {
		duration := outage(seed, true)
		longest, sum = max(longest, duration), sum+duration
	}
	if t.Logf("requests rejected for %v at most, %v on average", longest, sum/2000); longest > 400*time.Millisecond {
		t.Errorf("requests rejected for %v", longest)
	}
	if duration := outage(1, false); duration < 4*time.Second {
		t.Errorf("a proxy that stays with the silent leader rejects requests for only %v: the test detects nothing", duration)
	}
}

// The leading planner's work for a change is linear in the number of members. With quadratic work 3,000 members could not hold within
// RoundTimeout.
func TestChangeWorkIsLinearInMembers(t *testing.T) {
	for _, n := range []int{10, 100, 1000} {
		tier := newTestTier(Config{Lease: time.Hour}, n, acceptPolicy)
		before := tier.leader.membersVisited
		tier.leader.Propose(Command{Kind: Propose, Policy: []byte("x"), Nonce: 1})
		tier.deliverAll()
		if visits := (tier.leader.membersVisited - before) / uint64(n); tier.state.InForce != 1 || visits > 10 {
			t.Errorf("%d members: policy %d in force, %d visits of each member", n, tier.state.InForce, visits)
		}
	}
}

// BenchmarkChange measures the leading planner's work for a change in a healthy tier. It must be linear in the number of proxies, since
// RoundTimeout is fixed.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{300, 1000, 3000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			tier := newTestTier(Config{Lease: time.Hour}, n, acceptPolicy)
			b.ResetTimer()
			for i := range b.N {
				tier.leader.Propose(Command{Kind: Propose, Policy: []byte("x"), Nonce: uint64(i + 1)})
				tier.deliverAll()
			}
			if tier.state.InForce != Number(b.N) {
				b.Fatalf("%d of %d changes are in force", tier.state.InForce, b.N)
			}
		})
	}
}
