package virtual

import (
	"math/rand/v2"
	"strconv"
	"time"

	"havenproxy/internal/rollout"
	"havenproxy/internal/state"
	wire "havenproxy/internal/wire/tier"
)

// Planners are those of the tier: the true decisions of package rollout, of one planner that leads all the time and whose log loses
// nothing. Proxies take requests only with a lease of theirs.
type Planners struct {
	Lease      time.Duration
	Zone       int             // that the leader is in
	PolicySize int             // bytes of a policy's text
	Changes    []time.Duration // when changes are proposed, since the run's beginning
}

// PolicyChange is what became of a change of policy.
type PolicyChange struct {
	At      time.Duration // when it was proposed
	Decided time.Duration // when the log had it in force; 0 = it has not
	Last    time.Duration // when it came into force at the last proxy so far
	Proxies int           // at which it is in force
	Refused bool          // another one was under way
	GivenUp bool
}

const (
	logDelay    = 2 * time.Millisecond // that a command takes through the planners' log
	plannerTick = 20 * time.Millisecond
	plannerWay  = 500 * time.Microsecond // of a message
)

// planner is the one that leads.
type planner struct {
	*Planners
	w       *world
	state   *rollout.State
	leader  *rollout.Leader
	links   map[rollout.Link]*plannerLink
	last    rollout.Link
	buffer  []byte
	changes map[rollout.Number]int // in res.Changed
	health  *healthRelay           // nil = each proxy checks for itself
}

// plannerLink is a proxy's link to its planner. It implements state.Gate.
type plannerLink struct {
	p     *planner
	n     *node
	life  int
	link  rollout.Link
	proxy *rollout.Proxy
	seek  *rollout.PlannerSelector
	beat  state.Deadline
	// missed tells that messages of shared health checks were lost in a cut.
	missed bool
}

func (w *world) beginPlanner() {
	if w.cfg.Tier.Planners == nil {
		return
	}
	cfg := rollout.Config{Lease: w.cfg.Tier.Planners.Lease}
	p := &planner{Planners: w.cfg.Tier.Planners, w: w, state: &rollout.State{}, links: map[rollout.Link]*plannerLink{}, changes: map[rollout.Number]int{}}
	w.planner = p
	p.leader = rollout.NewLeader(cfg, p.state, 1)
	if c := w.cfg.Tier.Checks; c != nil {
		p.health = newHealthRelay(p, c)
	}
	p.ready()
	p.tick()
	for _, at := range p.Changes {
		w.at(base+at, p.propose)
	}
}

func (p *planner) propose() {
	w := p.w
	x := PolicyChange{At: w.clock.now - base, Refused: p.state.Pending() != nil}
	w.res.Changed = append(w.res.Changed, x)
	if x.Refused {
		return
	}
	text := make([]byte, p.PolicySize)
	for i := range text {
		text[i] = byte(i)
	}
	p.act(func() {
		p.leader.Propose(rollout.Command{Kind: rollout.Propose, Nonce: uint64(len(w.res.Changed)), Policy: text})
	})
}

// tick lets the leader do what is due by the clock.
func (p *planner) tick() {
	p.act(func() { p.leader.Tick(p.w.clock.now) })
	p.w.at(p.w.clock.now+plannerTick, p.tick)
}

// act lets the leader do something, and carries out what it wants then.
func (p *planner) act(do func()) {
	began := p.w.stopwatch()
	do()
	if o := p.w.cfg.Observer; o != nil && p.w.cfg.Clocked {
		o.Spent(p.w.clock.now-base, noProxy, PlannerWork, p.w.stopwatch()-began)
	}
	p.ready()
}

func (p *planner) ready() {
	w := p.w
	ready := p.leader.TakeReady()
	for _, o := range ready.Messages {
		if l := p.links[o.Link]; l != nil {
			p.send(l, Received, o.Message, func() { l.receive(o.Link, o.Message) })
		}
	}
	for _, c := range ready.Commands {
		w.at(w.clock.now+logDelay, func() { p.apply(c) })
	}
	if ready.Confirm {
		w.at(w.clock.now+logDelay, func() { p.act(func() { p.leader.Confirmed(w.clock.now) }) })
	}
}

// apply takes a command that has come through the log.
func (p *planner) apply(c rollout.Command) {
	before := p.state.Pending()
	var number rollout.Number
	if before != nil {
		number = before.Number
	}
	err := p.state.Apply(c)
	now := p.w.clock.now
	switch after := p.state.Pending(); {
	case before == nil && after != nil:
		p.changes[after.Number] = len(p.w.res.Changed) - 1
	case before != nil && after == nil:
		x := &p.w.res.Changed[p.changes[number]]
		if x.GivenUp = p.state.Change(number).Outcome != rollout.InForce; !x.GivenUp {
			x.Decided = now - base
		}
	}
	p.act(func() { p.leader.Applied(now, c, err) })
}

// send carries a message between a proxy and the planner, counted at the proxy. What is sent while the two are parted is lost, and the
// link is begun anew.
func (p *planner) send(l *plannerLink, d Direction, m rollout.Message, arrive func()) {
	w := p.w
	if w.tier.parted(w.clock.now, l.n.zone, p.Zone) {
		return
	}
	if w.cfg.Observer != nil {
		kind := PolicyMessage
		if m.Kind == rollout.Renew || m.Kind == rollout.Granted {
			kind = LeaseMessage
		}
		var err error
		if p.buffer, err = wire.Append(p.buffer[:0], &wire.Frame{Rollout: &m}); err == nil {
			l.n.count(noDatabase, kind, d, len(p.buffer))
		}
	}
	w.at(w.clock.now+plannerWay, arrive)
}

// join begins a proxy's link.
func (p *planner) join(n *node) {
	w := p.w
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(n.i)<<20+uint64(n.life)))
	cfg := rollout.Config{Lease: p.Lease}.WithDefaults()
	l := &plannerLink{p: p, n: n, life: n.life, seek: rollout.NewPlannerSelector(cfg, 1, rng),
		proxy: rollout.NewProxy(cfg, "n"+strconv.Itoa(n.i), rng.Uint64()|1, func(rollout.Number, []byte) string { return "" })}
	n.front.SetGate(l)
	w.todo.Set(&l.beat, w.clock.now+time.Duration(rng.Int64N(int64(p.Lease/5)+1)), func() {
		l.connect()
		l.pulse()
	})
	n.link = l
}

// leave ends a link whose proxy has ended.
func (l *plannerLink) leave() {
	l.p.w.todo.Clear(&l.beat)
	delete(l.p.links, l.link)
	l.p.act(func() { l.p.leader.LinkDown(l.link) })
}

// connect begins the link, or begins it anew.
func (l *plannerLink) connect() {
	if l.link > 0 {
		delete(l.p.links, l.link)
		l.p.act(func() { l.p.leader.LinkDown(l.link) })
	}
	l.p.last++
	l.link = l.p.last
	l.p.links[l.link] = l
	l.seek.Connected(l.p.w.clock.now)
	l.proxy.Connected()
	if l.p.health != nil {
		l.p.health.connected(l)
	}
	l.flush()
}

// pulse asks for the lease, and begins the link anew where the planner has been silent.
func (l *plannerLink) pulse() {
	now := l.p.w.clock.now
	if l.seek.TimedOut(now) {
		l.connect()
	}
	l.n.proxy(func() { l.proxy.RenewLease(now) })
	l.flush()
	l.p.w.todo.Set(&l.beat, now+l.seek.RenewInterval(l.proxy.LeaseDuration()), l.pulse)
}

// receive takes a message of the planner's.
func (l *plannerLink) receive(link rollout.Link, m rollout.Message) {
	if link != l.link || l.n.life != l.life || l.n.dead {
		return
	}
	w := l.p.w
	l.n.proxy(func() {
		l.seek.Receive(w.clock.now, m.Kind)
		l.proxy.Receive(w.clock.now, m)
		for _, s := range l.proxy.TakeSwitches() {
			if i, ok := l.p.changes[s.Number]; ok {
				w.res.Changed[i].Last = w.clock.now - base
				w.res.Changed[i].Proxies++
			}
		}
		l.n.front.GateChanged()
	})
	l.flush()
}

func (l *plannerLink) flush() {
	p, link := l.p, l.link
	for _, m := range l.proxy.TakeMessages() {
		p.send(l, Sent, m, func() {
			if p.links[link] == l {
				p.act(func() { p.leader.Receive(p.w.clock.now, link, m) })
			}
		})
	}
}

// Admit implements state.Gate.
func (l *plannerLink) Admit(now time.Duration) (uint64, state.GateDecision) {
	number, verdict := l.proxy.AdmitRequest(now)
	return uint64(number), [...]state.GateDecision{rollout.Admit: state.GateOpen, rollout.Delay: state.GateWait, rollout.Reject: state.GateClosed}[verdict]
}
