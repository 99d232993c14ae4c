package calculate

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/lab/scale/analysis"
	"havenproxy/internal/rollout"
)

const (
	page  = "../../../../docs/CAPACITY.md"
	begin = "<!-- calculated: begin -->\n"
	end   = "<!-- calculated: end -->\n"
)

var update = flag.Bool("update", false, "write what is calculated into docs/CAPACITY.md")

func TestPageHoldsWhatIsCalculated(t *testing.T) {
	var want strings.Builder
	if err := WriteMarkdown(&want, Target()); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(text), begin)
	got, after, closed := strings.Cut(rest, end)
	if !found || !closed {
		t.Fatal("the page has no place for what is calculated")
	}
	if *update {
		if err := os.WriteFile(page, []byte(before+begin+want.String()+end+after), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if got != want.String() {
		t.Errorf("docs/CAPACITY.md holds other figures than are calculated; `go test ./internal/lab/scale/calculate -update` writes them. Calculated:\n%s", want.String())
	}
}

// play is one change of policy with the real rules: the leader's side, three proxies' sides, and a clock. Links take no time, the log none.
type play struct {
	t       *testing.T
	now     time.Duration
	cfg     rollout.Config
	state   rollout.State
	leader  *rollout.Leader
	proxies []*rollout.Proxy
	silent  map[int]bool
	asked   []time.Duration
}

func newPlay(t *testing.T, lease time.Duration) *play {
	x := &play{t: t, now: time.Second, cfg: rollout.Config{Lease: lease}, silent: map[int]bool{}, asked: make([]time.Duration, 3)}
	x.elect(1)
	for i := range x.asked {
		p := rollout.NewProxy(x.cfg, exampleName(i), uint64(i+1), func(rollout.Number, []byte) string { return "" })
		x.proxies = append(x.proxies, p)
		p.Connected()
	}
	x.pass(lease)
	return x
}

func (x *play) elect(term rollout.Term) {
	x.leader = rollout.NewLeader(x.cfg, &x.state, term)
	x.work()
	for i, p := range x.proxies {
		if !x.silent[i] {
			p.Connected()
		}
	}
}

// work carries messages and commands until nothing is left.
func (x *play) work() {
	for busy := true; busy; {
		busy = false
		for i, p := range x.proxies {
			for _, m := range p.TakeMessages() {
				if !x.silent[i] {
					x.leader.Receive(x.now, rollout.Link(i+1), m)
					busy = true
				}
			}
		}
		ready := x.leader.TakeReady()
		for _, o := range ready.Messages {
			if i := int(o.Link) - 1; !x.silent[i] {
				x.proxies[i].Receive(x.now, o.Message)
			}
		}
		for _, c := range ready.Commands {
			x.leader.Applied(x.now, c, x.state.Apply(c))
		}
		if ready.Confirm {
			x.leader.Confirmed(x.now)
		}
		busy = busy || !ready.Empty()
	}
}

// pass lets time go by in the planners' steps.
func (x *play) pass(d time.Duration) {
	const step = 20 * time.Millisecond
	for until := x.now + d; x.now < until; {
		x.now += step
		for i, p := range x.proxies {
			if !x.silent[i] && x.now-x.asked[i] >= p.LeaseDuration()/asksInLease {
				x.asked[i] = x.now
				p.RenewLease(x.now)
			}
		}
		x.leader.Tick(x.now)
		x.work()
	}
}

// change proposes one and tells how long it takes; while it waits, at is called with the time since.
func (x *play) change(at func(since time.Duration)) time.Duration {
	x.leader.Propose(rollout.Command{Kind: rollout.Propose, Nonce: 77, Policy: []byte("p"), Hash: "h"})
	began, force := x.now, x.state.InForce
	x.work()
	for x.state.InForce == force {
		at(x.now - began)
		x.pass(20 * time.Millisecond)
		if x.now-began > time.Minute {
			x.t.Fatal("the change ends in no way")
		}
	}
	return x.now - began
}

// The bounds are held against the true rules: one proxy dies just behind its ask, another pauses at any time, a leader dies.
func TestBoundsHoldForTheTrueRules(t *testing.T) {
	for _, lease := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
		in := Target()
		in.Lease = lease
		bounds := in.Bounds(Messages{})
		var dead, paused, lost time.Duration
		for at := time.Duration(0); at < bounds.Paused; at += 100 * time.Millisecond {
			x := newPlay(t, lease)
			x.silent[0] = true
			dead = max(dead, x.change(func(time.Duration) {}))
			x = newPlay(t, lease)
			x.silent[0] = true
			paused = max(paused, x.change(func(since time.Duration) { x.silent[1] = x.silent[1] || since >= at }))
			x = newPlay(t, lease)
			x.silent[0] = true
			lost = max(lost, x.change(func(since time.Duration) {
				if x.silent[1] = x.silent[1] || since >= lease/2; since >= at && x.leader.Term() == 1 {
					x.now += longestElection
					x.elect(2)
				}
			}))
		}
		t.Logf("lease %v: at most %v, %v, %v; bounds %v, %v, %v", lease, dead, paused, lost, bounds.Dead, bounds.Paused, bounds.LeaderLost)
		const step = 20 * time.Millisecond // of the clock, which the bounds leave out
		if dead > bounds.Dead+step || paused > bounds.Paused+step || lost > bounds.LeaderLost+step {
			t.Errorf("lease %v: a bound is broken", lease)
		}
		if 2*dead < bounds.Dead || 2*paused < bounds.Paused || 2*lost < bounds.LeaderLost {
			t.Errorf("lease %v: a bound is over twice what can happen", lease)
		}
	}
}

func TestBudgetsAreTheOperators(t *testing.T) {
	in := Target()
	m, err := Encode(in)
	if err != nil {
		t.Fatal(err)
	}
	if m.PeerFull > 256 || m.PeerFull <= 256-m.PeerFact {
		t.Errorf("a full datagram has %d bytes", m.PeerFull)
	}
	if in.Size != analysis.Target || in.LongestLease(analysis.BudgetPolicy, func(b PolicyBounds) time.Duration { return b.Dead }) < in.Lease {
		t.Error("dead proxies alone break the bound on a change")
	}
}
