package explore

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"havenproxy/internal/rollout"
)

// Tier is a small tier that changes its policy: some proxies, the planners as one register that keeps what was written, with a leader that
// may die and be followed by another. Every message ever sent may arrive at any time, any number of times, or never; whatever acts may
// stand still for any time. What may happen more than that is bounded here.
type Tier struct {
	Proxies int
	Changes int
	Crashes int // of proxies, in all
	Leaders int // that follow the first
	Asks    int // for a lease, by each membership of a proxy
	Hellos  int // beyond the first of each start
	Ticks   int // of the clock; a lease lasts for two
	Aborts  int
	Leases  bool
	// Async lets anything happen between a command's writing and its effect, and between an ask for a lease and the leader's confirmation.
	// Otherwise both are one step; a leader that dies in between is one that dies before.
	Async    bool
	Without  rollout.Guards
	interned *messages
}

// messages numbers all that were ever sent, so that a state is a set of small numbers.
type messages struct {
	byKey map[envelope]uint16
	all   []letter
}

type envelope struct {
	to     int
	kind   rollout.Kind
	nonce  uint64
	member rollout.Member
	seq    uint64
	number rollout.Number
	round  rollout.Round
	lease  time.Duration
}

type letter struct {
	to   int // a proxy, or -1 - from for the planner
	text rollout.Message
}

const tick = 12 * time.Nanosecond

// world is a state of it.
type world struct {
	t       *Tier
	now     time.Duration
	proxies []*rollout.Proxy
	state   *rollout.State
	leader  *rollout.Leader
	log     []rollout.Command // on their way to the log
	term    rollout.Term
	net     []uint16 // sorted
	nonces  uint64

	asks, hellos                             []int
	changes, crashes, leaders, ticks, aborts int

	top    rollout.Number // the newest policy under which anyone could take
	broken string
}

// Start gives the first state: nobody is a member yet.
func (t *Tier) Start() State {
	t.interned = &messages{byKey: map[envelope]uint16{}}
	w := &world{t: t, now: 1000 * tick, state: &rollout.State{DisabledGuards: t.Without}, term: 1, asks: make([]int, t.Proxies), hellos: make([]int, t.Proxies)}
	w.leader = rollout.Lead(t.config(), w.state, w.term)
	for i := range t.Proxies {
		w.proxies = append(w.proxies, w.fresh(i))
		w.proxies[i].Connected()
	}
	w.settle()
	return w
}

func (t *Tier) config() rollout.Config {
	c := rollout.Config{ClockMargin: tick / 2, AnswerTimeout: tick, RoundTimeout: tick, RoundPause: 1, ChangeTimeout: 1000 * tick, DisabledGuards: t.Without}
	if t.Leases {
		c.Lease, c.ShortLease = 2*tick, tick
	}
	return c
}

func (w *world) fresh(i int) *rollout.Proxy {
	w.nonces += 100
	return rollout.NewProxy(w.t.config(), fmt.Sprint("n", i), w.nonces, func(rollout.Number, []byte) string { return "" })
}

func (w *world) clone() *world {
	c := *w
	c.proxies = slices.Clone(w.proxies)
	c.state = w.state.Clone()
	c.leader = w.leader.Clone(c.state)
	c.log, c.net, c.asks, c.hellos = slices.Clone(w.log), slices.Clone(w.net), slices.Clone(w.asks), slices.Clone(w.hellos)
	return &c
}

func (w *world) post(to int, m rollout.Message) {
	m.Policy, m.Reason = nil, ""
	key := envelope{to, m.Kind, m.Nonce, m.Member, m.Seq, m.Number, m.Round, m.Lease}
	in := w.t.interned
	id, ok := in.byKey[key]
	if !ok {
		id = uint16(len(in.all))
		in.byKey[key] = id
		in.all = append(in.all, letter{to, m})
	}
	if at, there := slices.BinarySearch(w.net, id); !there {
		w.net = slices.Insert(w.net, at, id)
	}
}

// settle carries out what was ordered, and looks at what may be taken now.
func (w *world) settle() {
	for i, p := range w.proxies {
		for _, m := range p.TakeMessages() {
			w.post(-1-i, m)
		}
	}
	ready := w.leader.TakeReady()
	for _, o := range ready.Messages {
		w.post(int(o.Link)-1, o.Message)
	}
	w.log = append(w.log, ready.Commands...)
	if !w.t.Async && (len(w.log) > 0 || w.leader.Confirming()) {
		for len(w.log) > 0 {
			c := w.log[0]
			w.log = w.log[1:]
			w.leader.Applied(w.now, c, w.state.Apply(c))
		}
		if w.leader.Confirming() {
			w.leader.Confirmed(w.now)
		}
		w.settle()
		return
	}
	for i, p := range w.proxies {
		n, v := p.AdmitRequest(w.now)
		if v != rollout.Admit {
			continue
		}
		switch c := w.state.Change(n); {
		case n < w.state.InForce:
			w.broken = fmt.Sprintf("n%d takes a request under policy %d, and %d is in force", i, n, w.state.InForce)
		case n < w.top:
			w.broken = fmt.Sprintf("n%d takes a request under policy %d, behind one that was taken under %d", i, n, w.top)
		case c != nil && c.Outcome != rollout.InForce:
			w.broken = fmt.Sprintf("n%d takes a request under policy %d, which is %v", i, n, c.Outcome)
		}
		w.top = max(w.top, n)
	}
}

// Broken implements State.
func (w *world) Broken() string { return w.broken }

// AppendTo implements State.
func (w *world) AppendTo(dst []byte) []byte {
	for _, p := range w.proxies {
		dst = p.AppendState(dst, w.now)
	}
	dst = w.leader.AppendState(w.state.AppendState(dst), w.now)
	for _, c := range w.log {
		dst = append(dst, byte(c.Kind), byte(c.Number), byte(c.Member), byte(c.Round.Term), byte(c.Round.Count), byte(c.MembersVersion), byte(c.Nonce))
	}
	for _, id := range w.net {
		dst = binary.LittleEndian.AppendUint16(dst, id)
	}
	dst = append(dst, byte(w.changes), byte(w.crashes), byte(w.leaders), byte(w.ticks), byte(w.aborts), byte(w.top), byte(len(w.broken)))
	for i := range w.proxies {
		dst = append(dst, byte(w.asks[i]), byte(w.hellos[i]))
	}
	return dst
}

// Next implements State.
func (w *world) Next(yield func(string, State)) {
	step := func(name string, do func(*world)) {
		n := w.clone()
		do(n)
		n.settle()
		yield(name, n)
	}
	for _, id := range w.net {
		l := w.t.interned.all[id]
		if l.to >= 0 {
			step(fmt.Sprintf("n%d hears %s", l.to, tell(l.text)), func(n *world) {
				n.proxies[l.to] = n.proxies[l.to].Clone()
				n.proxies[l.to].Receive(n.now, l.text)
			})
		} else {
			from := -1 - l.to
			step(fmt.Sprintf("the leader hears %s of n%d", tell(l.text), from), func(n *world) {
				m := l.text
				m.Name = fmt.Sprint("n", from)
				n.leader.Receive(n.now, rollout.Link(from+1), m)
			})
		}
	}
	for i, c := range w.log { // in any order: a planner that leads no more may pass on what it has
		step(fmt.Sprintf("the log has %s", tellCommand(c)), func(n *world) {
			n.log = slices.Delete(n.log, i, i+1)
			n.leader.Applied(n.now, c, n.state.Apply(c))
		})
	}
	if w.leader.Confirming() {
		step("the leader is confirmed", func(n *world) { n.leader.Confirmed(n.now) })
	}
	if w.ticks < w.t.Ticks {
		step("the clock goes on", func(n *world) {
			n.ticks++
			n.now += tick
			n.leader.Tick(n.now)
		})
	}
	if w.leaders < w.t.Leaders {
		step("another planner leads", func(n *world) {
			n.leaders++
			n.term++
			n.leader = rollout.Lead(n.t.config(), n.state, n.term)
		})
	}
	if w.changes < w.t.Changes && w.leader.Leading() {
		step("a change is proposed", func(n *world) {
			n.changes++
			n.leader.Propose(rollout.Command{Kind: rollout.Propose, Nonce: uint64(n.changes)})
		})
	}
	if p := w.state.Pending(); p != nil && w.aborts < w.t.Aborts {
		step("the operator gives it up", func(n *world) {
			n.aborts++
			n.leader.Abort(n.now, p.Number, "by the operator")
		})
	}
	for i, p := range w.proxies {
		if p.Member() != 0 && w.asks[i] < w.t.Asks && w.t.Leases {
			step(fmt.Sprintf("n%d asks for its lease", i), func(n *world) {
				n.asks[i]++
				n.proxies[i] = n.proxies[i].Clone()
				n.proxies[i].RenewLease(n.now)
			})
		}
		if w.hellos[i] < w.t.Hellos {
			step(fmt.Sprintf("n%d connects anew", i), func(n *world) {
				n.hellos[i]++
				n.proxies[i] = n.proxies[i].Clone()
				n.proxies[i].Connected()
			})
		}
		if w.crashes < w.t.Crashes {
			step(fmt.Sprintf("n%d dies and starts again", i), func(n *world) {
				n.crashes++
				n.asks[i] = 0
				n.proxies[i] = n.fresh(i)
				n.proxies[i].Connected()
			})
		}
	}
}

var kinds = [...]string{rollout.Hello: "hello", rollout.Renew: "ask", rollout.Agree: "agree", rollout.Refuse: "refuse", rollout.Held: "held", rollout.Leaving: "bye",
	rollout.Welcome: "welcome", rollout.JoinDelayed: "wait", rollout.NotMember: "gone", rollout.Granted: "granted", rollout.Offer: "offer", rollout.Hold: "hold",
	rollout.Status: "facts"}

func tell(m rollout.Message) string {
	return fmt.Sprintf("%s(member %d, seq %d, policy %d, round %v)", kinds[m.Kind], m.Member, m.Seq, m.Number, m.Round)
}

var acts = [...]string{rollout.Join: "join", rollout.Leave: "leave", rollout.Propose: "propose", rollout.Abort: "give up", rollout.Commit: "force",
	rollout.Release: "release"}

func tellCommand(c rollout.Command) string {
	return fmt.Sprintf("%s(member %d, policy %d, round %v)", acts[c.Kind], c.Member, c.Number, c.Round)
}

// Mutants are the small tiers in which each guard, by its bit, is missed soonest.
var Mutants = [...]Tier{
	{Proxies: 1, Changes: 1, Asks: 1, Ticks: 4, Leases: true},
	{Proxies: 1, Changes: 1},
	{Proxies: 1, Changes: 1},
	{Proxies: 1, Changes: 1, Leaders: 1, Async: true},
	{Proxies: 1, Changes: 1, Async: true},
	{Proxies: 1, Changes: 1, Asks: 1, Ticks: 3, Leases: true, Leaders: 1},
	{Proxies: 1, Changes: 1, Asks: 1, Ticks: 4, Leases: true, Async: true},
}
