package rollout

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// play is a tier on a clock of the test's own: the log has each command at once, and each message comes.
type testTier struct {
	now     time.Duration
	state   *State
	leader  *Leader
	proxies []*Proxy
	reasons []string // that proxies heard with Wait
	deaf    map[int]bool
	views   *MembershipHistory
}

func newTestTier(cfg Config, proxies int, check func(Number, []byte) string) *testTier {
	p := &testTier{now: time.Hour, state: &State{}, deaf: map[int]bool{}}
	p.leader = NewLeader(cfg, p.state, 1)
	p.settle() // its term begins in the log
	for i := range proxies {
		p.proxies = append(p.proxies, NewProxy(cfg, string(rune('a'+i)), uint64(100*i+1), check))
		p.proxies[i].Connected()
	}
	p.settle()
	return p
}

func (p *testTier) settle() {
	for again := true; again; {
		again = false
		for i, x := range p.proxies {
			for _, m := range x.TakeMessages() {
				again = true
				p.leader.Receive(p.now, Link(i+1), m)
			}
		}
		ready := p.leader.TakeReady()
		for _, c := range ready.Commands {
			again = true
			err := p.state.Apply(c)
			if p.views != nil {
				p.views.Applied(p.now, p.state)
			}
			p.leader.Applied(p.now, c, err)
		}
		if ready.Confirm {
			again = true
			p.leader.Confirmed(p.now)
		}
		for _, o := range ready.Messages {
			again = true
			if o.Kind == JoinDelayed {
				p.reasons = append(p.reasons, o.Reason)
			}
			if i := int(o.Link) - 1; !p.deaf[i] {
				p.proxies[i].Receive(p.now, o.Message)
			}
		}
	}
}

// pass lets time go by; those named ask for their leases all the while.
func (p *testTier) pass(d time.Duration, asking ...int) {
	for end := p.now + d; p.now < end; {
		p.now += 20 * time.Millisecond
		for _, i := range asking {
			p.proxies[i].RenewLease(p.now)
		}
		p.leader.Tick(p.now)
		p.settle()
	}
}

func yes(Number, []byte) string { return "" }

func TestAChangeIsRefusedByOneWithItsReason(t *testing.T) {
	p := newTestTier(Config{Lease: time.Second}, 3, yes)
	p.proxies[1].check = func(Number, []byte) string { return "class x is in use" }
	p.pass(100*time.Millisecond, 0, 1, 2)
	p.leader.Propose(Command{Kind: Propose, Nonce: 1, Policy: []byte("p")})
	p.settle()
	c := p.state.Change(1)
	if c == nil || c.Outcome != Aborted || c.Reason != "b refuses: class x is in use" || p.state.InForce != 0 {
		t.Fatalf("%+v", c)
	}
	for _, x := range p.proxies {
		if n, v := x.AdmitRequest(p.now); n != 0 || v != Admit {
			t.Errorf("%s: policy %d, verdict %d", x.name, n, v)
		}
	}
}

// With leases, expel lets a member go once its lease has ended: a member that lives, the operator being wrong, serves nothing behind the point.
func TestExpelWaitsForTheLease(t *testing.T) {
	p := newTestTier(Config{Lease: time.Second}, 2, yes)
	p.pass(100*time.Millisecond, 0, 1)
	if err := p.leader.Expel(p.now, "b"); err != nil {
		t.Fatal(err)
	}
	p.deaf[1] = true
	p.leader.Propose(Command{Kind: Propose, Nonce: 1})
	for range 200 {
		p.pass(20*time.Millisecond, 0, 1)
		if n, v := p.proxies[1].AdmitRequest(p.now); v == Admit && n < p.state.InForce {
			t.Fatalf("b takes requests under policy %d, %d is in force", n, p.state.InForce)
		}
	}
	if p.state.InForce != 1 {
		t.Error("the change is not in force")
	}
}

// Without leases each ask has an answer: a link that says nothing is given up by its proxy.
func TestAnAskHasAnAnswerWithoutLeases(t *testing.T) {
	p := newTestTier(Config{}, 1, yes)
	p.proxies[0].RenewLease(p.now)
	for _, m := range p.proxies[0].TakeMessages() {
		p.leader.Receive(p.now, 1, m)
	}
	if out := p.leader.TakeReady().Messages; len(out) != 1 || out[0].Kind != Status {
		t.Errorf("%+v", out)
	}
	p.deaf[0] = true
	p.leader.Propose(Command{Kind: Propose, Nonce: 1})
	p.pass(3 * time.Second)
	if c := p.state.Change(1); c.Outcome != Aborted || !strings.Contains(c.Reason, "waiting for a (to agree for 2s") {
		t.Errorf("%+v", c)
	}
}

func TestWhoGoesByAnotherLeaseStaysOut(t *testing.T) {
	p := newTestTier(Config{Lease: time.Second}, 1, yes)
	p.proxies = append(p.proxies, NewProxy(Config{Lease: 2 * time.Second}, "b", 7, yes))
	p.proxies[1].Connected()
	p.settle()
	if len(p.state.Members) != 1 || !slices.Equal(p.reasons, []string{"b goes by a lease of 2s, the planners by 1s"}) {
		t.Errorf("%d members, %q", len(p.state.Members), p.reasons)
	}
	other := NewLeader(Config{Lease: 500 * time.Millisecond}, p.state, 2)
	commit := other.TakeReady().Commands
	other.Applied(p.now, commit[0], p.state.Apply(commit[0]))
	if other.Leading() || other.Err() == nil {
		t.Error("a planner of another lease leads")
	}
}

// A second process of one name stays out while the first one's lease runs, and is told so; a start of it anew comes in behind that.
func TestANameIsOneMembers(t *testing.T) {
	p := newTestTier(Config{Lease: time.Second}, 1, yes)
	p.pass(100*time.Millisecond, 0)
	p.proxies = append(p.proxies, NewProxy(Config{Lease: time.Second}, "a", 999, yes))
	p.proxies[1].Connected()
	p.settle()
	if len(p.reasons) != 1 || !strings.Contains(p.reasons[0], "a is a member already") || !strings.Contains(p.reasons[0], "once its lease has ended") {
		t.Fatalf("%q", p.reasons)
	}
	if err := p.state.Apply(Command{Kind: Join, Name: "a", Nonce: 5}); err == nil || len(p.state.Members) != 1 { // on its way to the log already
		t.Error("two members of one name")
	}
	p.pass(1400*time.Millisecond, 1)                                                        // the first has died
	if slices.Sort(p.reasons); len(p.reasons) < 10 || len(slices.Compact(p.reasons)) != 1 { // a proxy logs each reason that is new
		t.Errorf("%q", p.reasons)
	}
	if n := p.proxies[1].Member(); n != 2 {
		t.Errorf("member %d", n)
	}
}

// The history is bounded, by its lines and by the texts that it holds; what is in force is never forgotten.
func TestTheHistoryIsBounded(t *testing.T) {
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
		t.Error("a policy without a bound")
	}
	if x := s.WithoutPolicies(4); len(x.Change(4).Policy) == 0 || len(x.Change(200).Policy) != 0 || len(s.Change(200).Policy) == 0 {
		t.Error("Short leaves out the wrong ones")
	}
}

// A short lease is asked for more often, and doesn't end a longer one that runs; an earlier planner's, which doesn't tell its length, is as long as ever.
func TestAShortLeaseIsAskedForMoreOften(t *testing.T) {
	p := NewProxy(Config{Lease: 2 * time.Second}, "a", 1, yes)
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

// Proxies that tell an address hear of one another; a list holds for a lease that was granted while it was the list, and whoever joins hears of the
// list before for as long as another may go by it.
func TestMembersAreToldToWhoHasAnAddress(t *testing.T) {
	cfg := Config{Lease: 2 * time.Second}.WithDefaults()
	p := &testTier{now: time.Hour, state: &State{}, deaf: map[int]bool{}, views: NewMembershipHistory(cfg)}
	p.leader = NewLeader(cfg, p.state, 1)
	p.leader.ShareMembers(p.views)
	p.settle()
	join := func(address string) *Proxy {
		x := NewProxy(cfg, string(rune('a'+len(p.proxies))), uint64(100*len(p.proxies)+1), yes)
		x.SetAddress(address)
		x.Connected()
		p.proxies = append(p.proxies, x)
		p.settle()
		return x
	}
	a, mute := join("10.0.0.1:1"), join("")
	p.pass(time.Second, 0, 1)
	if x := a.Membership(); len(x.Members) != 2 || x.Members[0].Address != "10.0.0.1:1" || x.ValidUntil != a.LeaseEnd() || mute.Membership().Version != 0 {
		t.Fatalf("%+v, %+v", x, mute.Membership())
	}
	p.deaf[0] = true // it is heard, and hears nothing: its list holds until its lease ends
	until := a.LeaseEnd()
	c := join("10.0.0.3:1")
	p.pass(20*time.Millisecond, 0, 1, 2)
	if x := c.Membership(); len(x.Members) != 3 || len(x.Past) != 1 || len(x.Past[0].Members) != 1 || x.Past[0].Remaining < until-p.now || a.Membership().ValidUntil != until || len(a.Membership().Members) != 2 {
		t.Errorf("%+v, %+v, %v", x, a.Membership(), until-p.now)
	}
	p.pass(3*time.Second, 1, 2) // the lost one goes
	if x := c.Membership(); len(x.Members) != 2 || x.Members[0].Name != "b" || x.ValidUntil <= p.now {
		t.Errorf("%+v", x)
	}
	p.deaf[0] = false
	p.proxies[0].RenewLease(p.now)
	p.settle()
	if p.pass(20*time.Millisecond, 0); len(a.Membership().Members) != 3 || a.Member() == 1 {
		t.Errorf("%+v", a.Membership())
	}
	// A late word of an earlier grant prolongs no list but its own.
	p.pass(20*time.Millisecond, 0, 1, 2)
	before := c.Membership()
	c.RenewLease(p.now + time.Second)
	c.TakeMessages()
	c.Receive(p.now+time.Second, Message{Kind: Granted, Member: c.Member(), Seq: c.seq, Lease: cfg.Lease, MembersVersion: before.Version - 1})
	if c.Membership().ValidUntil != before.ValidUntil || c.LeaseEnd() <= before.ValidUntil {
		t.Error("another list's lease prolongs it")
	}
	c.Receive(p.now, Message{Kind: Members, Member: c.Member(), MembersVersion: before.Version - 1}) // nor does an earlier list come back
	if c.Membership().Version != before.Version {
		t.Error("an earlier list is taken")
	}
	// A leader that may have missed lists says of none that it is whole, until no member can go by one that it has missed.
	p.views.MarkIncomplete(p.now)
	p.pass(cfg.Lease, 1, 2)
	if c.Membership().ValidUntil != before.ValidUntil || c.LeaseEnd() <= p.now {
		t.Errorf("%v, %v", c.Membership().ValidUntil, before.ValidUntil)
	}
	if p.pass(time.Second, 1, 2); c.Membership().ValidUntil <= p.now {
		t.Error("its list is not prolonged")
	}
	p.now += cfg.Lease + cfg.ClockMargin // a has gone meanwhile, and the list with it
	for i := range maxPastMembers {      // nor one that has let a list go for want of room
		p.views.Applied(p.now, &State{MembersVersion: uint64(1000 + i), Members: []MemberEntry{{Member: Member(i + 50), Address: "10.0.0.9:1"}}})
	}
	if _, ok := p.views.Past(p.now); !ok {
		t.Error("there was room")
	}
	p.views.Applied(p.now, &State{MembersVersion: 2000, Members: []MemberEntry{{Member: 1999, Address: "10.0.0.9:1"}}})
	if past, ok := p.views.Past(p.now); ok || len(past) != maxPastMembers {
		t.Errorf("%d lists, whole: %v", len(past), ok)
	}
	if past, ok := p.views.Past(p.now + cfg.Lease + cfg.ClockMargin); !ok || len(past) != 0 {
		t.Errorf("%d lists, whole: %v", len(past), ok)
	}
}

// A planner that is silent, though its link is up, is left while the lease still runs; those that can't be reached are tried less and less often, and
// not by all proxies at one time.
func TestASeekerLeavesWhoIsSilent(t *testing.T) {
	cfg := Config{Lease: 2 * time.Second}.WithDefaults()
	rng := rand.New(rand.NewPCG(1, 2))
	s := NewPlannerSelector(cfg, 3, rng)
	now, first := time.Hour, s.Current()
	s.Connected(now)
	if s.TimedOut(now+900*time.Millisecond) || !s.TimedOut(now+1100*time.Millisecond) {
		t.Error("half of a lease is the bound")
	}
	if s.Receive(now+time.Second, Granted) || s.TimedOut(now+1900*time.Millisecond) || !s.Receive(now, NotLeader) || s.Receive(now, JoinDelayed) {
		t.Error("who speaks is left, or who doesn't lead is not")
	}
	var pauses []time.Duration
	for range 30 {
		pauses = append(pauses, s.Next())
	}
	if s.Current() != first || pauses[0] > 150*time.Millisecond || pauses[29] < 1500*time.Millisecond || slices.Max(pauses) > 4500*time.Millisecond {
		t.Errorf("at %d of %d, %v", s.Current(), first, pauses)
	}
	s.Receive(now, Status) // it leads
	if p := s.Next(); p > 150*time.Millisecond {
		t.Errorf("%v behind one that led", p)
	}
	other := NewPlannerSelector(cfg, 3, rand.New(rand.NewPCG(1, 3)))
	if other.Next() == pauses[0] {
		t.Error("all come back at one time")
	}
	if s.RenewInterval(250*time.Millisecond) != 50*time.Millisecond || NewPlannerSelector(Config{}.WithDefaults(), 3, rng).RenewInterval(0) != time.Second {
		t.Error("asks come too often or too seldom")
	}
	if free := NewPlannerSelector(Config{}.WithDefaults(), 3, rng); free.TimedOut(9*time.Second) || !free.TimedOut(11*time.Second) {
		t.Error("without leases")
	}
}

// The leader falls silent, its links up, and another leads 0.3 to 0.9 s later: an election. A proxy finds that one before its lease ends, or hardly
// later. One that doesn't leave who is silent refuses for as long as the silence lasts.
func TestASilentLeaderCostsHardlyAnyService(t *testing.T) {
	const step = 10 * time.Millisecond
	gap := func(seed uint64, leave bool) (refused time.Duration) {
		rng := rand.New(rand.NewPCG(seed, 3))
		cfg := Config{Lease: 2 * time.Second}.WithDefaults()
		p := NewProxy(cfg, "a", 1, func(Number, []byte) string { return "" })
		s := NewPlannerSelector(cfg, 3, rng)
		old, next := s.Current(), (s.Current()+1+rng.IntN(2))%3
		falls := time.Minute + time.Duration(rng.Int64N(int64(2*time.Second)))
		leads := falls + 300*time.Millisecond + time.Duration(rng.Int64N(int64(600*time.Millisecond)))
		p.Receive(time.Minute, Message{Kind: Welcome, Member: 1, Nonce: 1})
		p.TakeMessages()
		s.Connected(time.Minute)
		beat, dial := time.Minute, time.Duration(0)
		for now := time.Minute; now < falls+8*time.Second; now += step {
			if dial > 0 && now >= dial {
				dial, beat = 0, now
				s.Connected(now)
			}
			if dial == 0 && now >= beat {
				if beat = now + s.RenewInterval(p.LeaseDuration()); leave && s.TimedOut(now) {
					dial = now + s.Next()
				} else {
					p.RenewLease(now)
				}
			}
			for _, m := range p.TakeMessages() {
				switch at := s.Current(); {
				case at == old && now < falls, at == next && now >= leads:
					if m.Kind == Renew && !s.Receive(now+step, Granted) {
						p.Receive(now+step, Message{Kind: Granted, Member: 1, Seq: m.Seq, Lease: cfg.Lease})
					}
				case at != old && dial == 0 && s.Receive(now+step, NotLeader):
					dial = now + step + s.Next()
				}
			}
			if _, v := p.AdmitRequest(now); v == Reject && now > time.Minute+step {
				refused += step
			}
		}
		return refused
	}
	var most, sum time.Duration
	for seed := range uint64(2000) {
		g := gap(seed, true)
		most, sum = max(most, g), sum+g
	}
	if t.Logf("%v at most, %v in the mean", most, sum/2000); most > 400*time.Millisecond {
		t.Errorf("refused for %v", most)
	}
	if g := gap(1, false); g < 4*time.Second {
		t.Errorf("who stays refuses for %v only: the test sees nothing", g)
	}
}

// A change's work at the leading planner grows as its members do, not with their square: 3,000 could not hold within the time of a round.
func TestAChangesWorkGrowsWithItsMembers(t *testing.T) {
	for _, n := range []int{10, 100, 1000} {
		p := newTestTier(Config{Lease: time.Hour}, n, yes)
		before := p.leader.membersVisited
		p.leader.Propose(Command{Kind: Propose, Policy: []byte("x"), Nonce: 1})
		p.settle()
		if looks := (p.leader.membersVisited - before) / uint64(n); p.state.InForce != 1 || looks > 10 {
			t.Errorf("%d members: policy %d, each was looked at %d times", n, p.state.InForce, looks)
		}
	}
}

// What a change costs the leading planner, in a healthy tier: the time must grow as the proxies do, since a round has a fixed time.
func BenchmarkAChange(b *testing.B) {
	for _, n := range []int{300, 1000, 3000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			p := newTestTier(Config{Lease: time.Hour}, n, yes)
			b.ResetTimer()
			for i := range b.N {
				p.leader.Propose(Command{Kind: Propose, Policy: []byte("x"), Nonce: uint64(i + 1)})
				p.settle()
			}
			if p.state.InForce != Number(b.N) {
				b.Fatalf("%d changes in force of %d", p.state.InForce, b.N)
			}
		})
	}
}
