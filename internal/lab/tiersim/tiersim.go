// Package tiersim plays a tier's change of policy on a virtual clock: the true rooms of package rollout, hundreds of proxies that end, stand
// still and are cut off, messages that are lost, doubled and overtaken, clocks of unlike rates and offsets, planners whose leader is replaced
// while its last commands are on their way. The log itself is taken for reliable, as the consensus makes it. Small tiers are visited whole by
// lab/explore; this one is for size.
package tiersim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"havenproxy/internal/lab/clockwork"
	"havenproxy/internal/rollout"
)

// Config is a play's.
type Config struct {
	Seed    uint64
	Proxies int
	Lease   time.Duration
	Length  time.Duration // of the play, on its clock
	Every   time.Duration // between two changes

	Loss, Double float64       // parts of the messages
	Delay        time.Duration // of a message: up to so much, drawn for each, so that they overtake
	Down         int           // proxies that are down, paused or cut off at any moment
	Late         float64       // part of the commands that come to light behind a later leader's first, as an entry that one planner alone had may
	Leaders      time.Duration // how long a planner leads, in the mean; 0 = one leads all the time
	Short        time.Duration // the lease while a change is under way for long; 0 = the default
	Skew         float64       // by which the rates of clocks differ at most
	Without      rollout.Guards
}

// Result is what came of it.
type Result struct {
	InForce, GivenUp, Refused int // changes; the refused came while another was under way
	Took                      []time.Duration
	Taken, Kept, Denied       int // requests
	Breaches                  int // requests under an older policy than one taken before, or under one given up
	First                     string
	Messages                  int
}

// sim is a play that runs.
type sim struct {
	clockwork.Clock
	cfg    Config
	rng    *rand.Rand
	state  *rollout.State
	leader *leader
	nodes  []*node
	out    Result

	newest    rollout.Number // that a request has been taken under
	cfgR      rollout.Config
	pending   rollout.Number // the last change that was undecided,
	pendingAt time.Duration  // since
}

// leader is a planner that leads, or thinks so.
type leader struct {
	*rollout.Leader
	term rollout.Term
}

// node is a proxy.
type node struct {
	name    string
	proxy   *rollout.Proxy
	offset  time.Duration
	rate    float64
	stopped bool // it stands still: nothing is read, nothing is done
	cut     bool
	life    int
	inbox   []rollout.Message // what waits in its socket while it stands still
}

func (n *node) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

// Play plays it.
func Play(cfg Config) Result {
	s := &sim{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x71e5)), state: &rollout.State{DisabledGuards: cfg.Without}}
	s.cfgR = rollout.Config{Lease: cfg.Lease, ShortLease: cfg.Short, DisabledGuards: cfg.Without}.WithDefaults()
	for i := range cfg.Proxies {
		n := &node{name: fmt.Sprint("n", i), offset: time.Duration(s.rng.Int64N(int64(time.Hour))), rate: 1 + cfg.Skew*(2*s.rng.Float64()-1)}
		s.nodes = append(s.nodes, n)
		s.begin(n)
		s.beat(n, n.life)
	}
	s.lead(1)
	for range cfg.Down {
		s.trouble()
	}
	s.After(time.Second, s.propose)
	s.After(0, s.request)
	s.Run(cfg.Length)
	slices.Sort(s.out.Took)
	return s.out
}

func (s *sim) begin(n *node) {
	n.inbox = nil
	n.proxy = rollout.NewProxy(s.cfgR, n.name, s.rng.Uint64()|1, func(rollout.Number, []byte) string { return "" })
	n.proxy.Connected()
	s.flush(n)
}

// beat lets a proxy ask for its lease, as its link does.
func (s *sim) beat(n *node, life int) {
	if n.life != life {
		return
	}
	if !n.stopped {
		n.proxy.RenewLease(n.clock(s.Now))
		s.flush(n)
	}
	every := time.Second
	if s.cfg.Lease > 0 {
		every = n.proxy.LeaseDuration() / 5
	}
	s.After(every, func() { s.beat(n, life) })
}

// send lets a message arrive, late, twice or never.
func (s *sim) send(arrive func()) {
	s.out.Messages++
	if s.rng.Float64() < s.cfg.Loss {
		return
	}
	s.After(1+time.Duration(s.rng.Int64N(int64(s.cfg.Delay)+1)), arrive)
	if s.rng.Float64() < s.cfg.Double {
		s.After(1+time.Duration(s.rng.Int64N(10*int64(s.cfg.Delay)+1)), arrive)
	}
}

func (s *sim) flush(n *node) {
	life := n.life
	for _, m := range n.proxy.TakeMessages() {
		if n.cut {
			continue
		}
		s.send(func() {
			if l := s.leader; l != nil && !n.cut && n.life == life {
				l.Receive(s.Now, rollout.Link(slices.Index(s.nodes, n)+1), m)
				s.ready(l)
			}
		})
	}
}

// ready carries out what a leader wants. Its commands take their way through the log, and may come there behind the next leader's first.
func (s *sim) ready(l *leader) {
	ready := l.TakeReady()
	for _, o := range ready.Messages {
		n := s.nodes[o.Link-1]
		s.send(func() { s.heard(n, o.Message) })
	}
	for _, c := range ready.Commands {
		c.Time = int64(s.Now / time.Millisecond)
		longest := 10 * time.Millisecond
		if s.rng.Float64() < s.cfg.Late {
			longest = 2 * time.Second
		}
		s.After(time.Millisecond+time.Duration(s.rng.Int64N(int64(longest))), func() { s.apply(l, c) })
	}
	if ready.Confirm {
		s.After(time.Millisecond+time.Duration(s.rng.Int64N(int64(5*time.Millisecond))), func() {
			if s.leader == l { // a round among the planners would fail for one that leads no more
				l.Confirmed(s.Now)
				s.ready(l)
			}
		})
	}
}

func (s *sim) apply(l *leader, c rollout.Command) {
	before := s.state.Pending()
	var n rollout.Number
	if before != nil {
		n = before.Number
	}
	err := s.state.Apply(c)
	if x := s.state.Pending(); x != nil && x.Number != n {
		s.pending, s.pendingAt = x.Number, s.Now
	}
	if n > 0 && s.state.Pending() == nil {
		x := s.state.Change(n)
		if s.out.Took = append(s.out.Took, s.Now-s.pendingAt); x.Outcome == rollout.InForce {
			s.out.InForce++
		} else {
			s.out.GivenUp++
		}
	}
	if s.leader == l {
		l.Applied(s.Now, c, err)
		s.ready(l)
	} else if s.leader != nil { // it comes through the new one's log as well
		s.leader.Applied(s.Now, c, err)
		s.ready(s.leader)
	}
}

func (s *sim) heard(n *node, m rollout.Message) {
	switch {
	case n.cut:
	case n.stopped:
		n.inbox = append(n.inbox, m)
	default:
		n.proxy.Receive(n.clock(s.Now), m)
		n.proxy.TakeSwitches()
		s.flush(n)
	}
}

func (s *sim) lead(term rollout.Term) {
	l := &leader{rollout.NewLeader(s.cfgR, s.state, term), term}
	l.SetChangeStart(s.pending, s.pendingAt)
	s.leader = l
	s.ready(l)
	var tick func()
	tick = func() {
		if s.leader == l {
			l.Tick(s.Now)
			s.ready(l)
			s.After(20*time.Millisecond, tick)
		}
	}
	tick()
	if s.cfg.Leaders > 0 {
		s.After(time.Duration(s.rng.ExpFloat64()*float64(s.cfg.Leaders)), func() {
			s.leader = nil
			s.After(300*time.Millisecond+time.Duration(s.rng.Int64N(int64(300*time.Millisecond))), func() { s.lead(term + 1) })
		})
	}
}

// trouble lets one proxy after the other end, stand still or be cut off.
func (s *sim) trouble() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	for n.stopped || n.cut {
		n = s.nodes[s.rng.IntN(len(s.nodes))]
	}
	lasts := 100*time.Millisecond + time.Duration(s.rng.Int64N(int64(4*max(s.cfg.Lease, time.Second))))
	switch s.rng.IntN(3) {
	case 0: // killed, and started again
		n.life++
		n.stopped = true
		s.After(lasts, func() {
			n.stopped = false
			s.begin(n)
			s.beat(n, n.life)
		})
	case 1: // stands still, and wakes with all that waits in its socket, requests before the rest
		n.stopped = true
		s.After(lasts, func() {
			n.stopped = false
			s.take(n)
			for _, m := range n.inbox {
				n.proxy.Receive(n.clock(s.Now), m)
				n.proxy.TakeSwitches()
				s.take(n)
			}
			n.inbox = nil
			s.flush(n)
		})
	default:
		n.cut = true
		s.After(lasts, func() { n.cut = false; n.proxy.Connected(); s.flush(n) })
	}
	s.After(lasts, s.trouble)
}

func (s *sim) propose() {
	if l := s.leader; l != nil && l.Leading() {
		if s.state.Pending() != nil {
			s.out.Refused++
		} else {
			l.Propose(rollout.Command{Kind: rollout.Propose, Nonce: s.rng.Uint64() | 1, Policy: []byte{1}})
			s.ready(l)
		}
	}
	s.After(s.cfg.Every, s.propose)
}

// request lets some proxy be asked.
func (s *sim) request() {
	if n := s.nodes[s.rng.IntN(len(s.nodes))]; !n.stopped {
		s.take(n)
	}
	s.After(time.Millisecond, s.request)
}

func (s *sim) take(n *node) {
	number, v := n.proxy.AdmitRequest(n.clock(s.Now))
	switch v {
	case rollout.Delay:
		s.out.Kept++
		return
	case rollout.Reject:
		s.out.Denied++
		return
	}
	s.out.Taken++
	why := ""
	if number < s.newest {
		why = fmt.Sprintf("at %v %s takes a request under policy %d, behind one under %d", s.Now, n.name, number, s.newest)
	} else if c := s.state.Change(number); c != nil && c.Outcome == rollout.Aborted {
		why = fmt.Sprintf("at %v %s takes a request under policy %d, which was given up", s.Now, n.name, number)
	}
	if s.newest = max(s.newest, number); why != "" {
		if s.out.Breaches++; s.out.First == "" {
			s.out.First = why
		}
	}
}
