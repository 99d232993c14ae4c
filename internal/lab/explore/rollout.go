package explore

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"havenproxy/internal/rollout"
)

// RolloutModel is a small tier that changes its policy: some proxies, and the planners as one log with a leader that may die and be followed by
// another. Each message that was sent may arrive at any time, any number of times, or never, and any process may be paused for any time. The
// fields bound what else may happen.
type RolloutModel struct {
	Proxies   int
	Changes   int
	Crashes   int // of proxies, in all
	Elections int // leaders after the first
	Renewals  int // by each membership of a proxy
	Hellos    int // after the first of each start of a proxy
	MaxTicks  int // of the clock; a lease lasts for two
	Aborts    int
	Leases    bool
	// Async lets anything happen between the submission of a command and its effect, and between a renewal and the leader's confirmation.
	// Otherwise each pair is one step; a leader that dies in between is one that dies before.
	Async          bool
	DisabledGuards rollout.Guards
	interned       *messageTable
}

// messageTable numbers all messages that were ever sent, so that a state is a set of small numbers.
type messageTable struct {
	byKey map[messageKey]uint16
	all   []envelope
}

// messageKey is what tells messages apart.
type messageKey struct {
	to     int
	kind   rollout.Kind
	nonce  uint64
	member rollout.Member
	seq    uint64
	number rollout.Number
	round  rollout.Round
	lease  time.Duration
}

type envelope struct {
	to      int // the index of a proxy, or -1 - its index for a message to the leader
	message rollout.Message
}

// tick is the step of the model's clock. It is short, since no code under test depends on its length, and a multiple of all fractions used.
const tick = 12 * time.Nanosecond

// rolloutState is one state of the model.
type rolloutState struct {
	model   *RolloutModel
	now     time.Duration
	proxies []*rollout.Proxy
	state   *rollout.State
	leader  *rollout.Leader
	log     []rollout.Command // on their way to the log
	term    rollout.Term
	network []uint16 // sorted
	nonces  uint64

	renewals, hellos                         []int
	changes, crashes, leaders, ticks, aborts int

	latestAdmitted rollout.Number // the newest policy under which anyone could take
	broken         string
}

// Start gives the first state: nobody is a member yet.
func (t *RolloutModel) Start() State {
	t.interned = &messageTable{byKey: map[messageKey]uint16{}}
	w := &rolloutState{model: t, now: 1000 * tick, state: &rollout.State{DisabledGuards: t.DisabledGuards}, term: 1, renewals: make([]int, t.Proxies), hellos: make([]int, t.Proxies)}
	w.leader = rollout.NewLeader(t.config(), w.state, w.term)
	for i := range t.Proxies {
		w.proxies = append(w.proxies, w.newProxy(i))
		w.proxies[i].Connected()
	}
	w.settle()
	return w
}

func (t *RolloutModel) config() rollout.Config {
	c := rollout.Config{ClockMargin: tick / 2, AnswerTimeout: tick, RoundTimeout: tick, RoundPause: 1, ChangeTimeout: 1000 * tick, DisabledGuards: t.DisabledGuards}
	if t.Leases {
		c.Lease, c.ShortLease = 2*tick, tick
	}
	return c
}

func (w *rolloutState) newProxy(i int) *rollout.Proxy {
	w.nonces += 100
	return rollout.NewProxy(w.model.config(), fmt.Sprint("n", i), w.nonces, func(rollout.Number, []byte) string { return "" })
}

func (w *rolloutState) clone() *rolloutState {
	c := *w
	c.proxies = slices.Clone(w.proxies)
	c.state = w.state.Clone()
	c.leader = w.leader.Clone(c.state)
	c.log, c.network, c.renewals, c.hellos = slices.Clone(w.log), slices.Clone(w.network), slices.Clone(w.renewals), slices.Clone(w.hellos)
	return &c
}

func (w *rolloutState) send(to int, m rollout.Message) {
	m.Policy, m.Reason = nil, ""
	key := messageKey{to, m.Kind, m.Nonce, m.Member, m.Seq, m.Number, m.Round, m.Lease}
	in := w.model.interned
	id, ok := in.byKey[key]
	if !ok {
		id = uint16(len(in.all))
		in.byKey[key] = id
		in.all = append(in.all, envelope{to, m})
	}
	if at, there := slices.BinarySearch(w.network, id); !there {
		w.network = slices.Insert(w.network, at, id)
	}
}

// settle carries out what was ordered, and looks at what may be taken now.
func (w *rolloutState) settle() {
	for i, p := range w.proxies {
		for _, m := range p.TakeMessages() {
			w.send(-1-i, m)
		}
	}
	ready := w.leader.TakeReady()
	for _, o := range ready.Messages {
		w.send(int(o.Link)-1, o.Message)
	}
	w.log = append(w.log, ready.Commands...)
	if !w.model.Async && (len(w.log) > 0 || w.leader.Confirming()) {
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
		case n < w.latestAdmitted:
			w.broken = fmt.Sprintf("n%d takes a request under policy %d, behind one that was taken under %d", i, n, w.latestAdmitted)
		case c != nil && c.Outcome != rollout.InForce:
			w.broken = fmt.Sprintf("n%d takes a request under policy %d, which is %v", i, n, c.Outcome)
		}
		w.latestAdmitted = max(w.latestAdmitted, n)
	}
}

// Broken implements State.
func (w *rolloutState) Broken() string { return w.broken }

// AppendTo implements State.
func (w *rolloutState) AppendTo(dst []byte) []byte {
	for _, p := range w.proxies {
		dst = p.AppendState(dst, w.now)
	}
	dst = w.leader.AppendState(w.state.AppendState(dst), w.now)
	for _, c := range w.log {
		dst = append(dst, byte(c.Kind), byte(c.Number), byte(c.Member), byte(c.Round.Term), byte(c.Round.Count), byte(c.MembersVersion), byte(c.Nonce))
	}
	for _, id := range w.network {
		dst = binary.LittleEndian.AppendUint16(dst, id)
	}
	dst = append(dst, byte(w.changes), byte(w.crashes), byte(w.leaders), byte(w.ticks), byte(w.aborts), byte(w.latestAdmitted), byte(len(w.broken)))
	for i := range w.proxies {
		dst = append(dst, byte(w.renewals[i]), byte(w.hellos[i]))
	}
	return dst
}

// Next implements State.
func (w *rolloutState) Next(yield func(string, State)) {
	step := func(name string, do func(*rolloutState)) {
		n := w.clone()
		do(n)
		n.settle()
		yield(name, n)
	}
	for _, id := range w.network {
		l := w.model.interned.all[id]
		if l.to >= 0 {
			step(fmt.Sprintf("n%d hears %s", l.to, describeMessage(l.message)), func(n *rolloutState) {
				n.proxies[l.to] = n.proxies[l.to].Clone()
				n.proxies[l.to].Receive(n.now, l.message)
			})
		} else {
			from := -1 - l.to
			step(fmt.Sprintf("the leader hears %s of n%d", describeMessage(l.message), from), func(n *rolloutState) {
				m := l.message
				m.Name = fmt.Sprint("n", from)
				n.leader.Receive(n.now, rollout.Link(from+1), m)
			})
		}
	}
	for i, c := range w.log { // in any order: a planner that leads no more may pass on what it has
		step(fmt.Sprintf("the log has %s", describeCommand(c)), func(n *rolloutState) {
			n.log = slices.Delete(n.log, i, i+1)
			n.leader.Applied(n.now, c, n.state.Apply(c))
		})
	}
	if w.leader.Confirming() {
		step("the leader is confirmed", func(n *rolloutState) { n.leader.Confirmed(n.now) })
	}
	if w.ticks < w.model.MaxTicks {
		step("the clock goes on", func(n *rolloutState) {
			n.ticks++
			n.now += tick
			n.leader.Tick(n.now)
		})
	}
	if w.leaders < w.model.Elections {
		step("another planner leads", func(n *rolloutState) {
			n.leaders++
			n.term++
			n.leader = rollout.NewLeader(n.model.config(), n.state, n.term)
		})
	}
	if w.changes < w.model.Changes && w.leader.Leading() {
		step("a change is proposed", func(n *rolloutState) {
			n.changes++
			n.leader.Propose(rollout.Command{Kind: rollout.Propose, Nonce: uint64(n.changes)})
		})
	}
	if p := w.state.Pending(); p != nil && w.aborts < w.model.Aborts {
		step("the operator gives it up", func(n *rolloutState) {
			n.aborts++
			n.leader.Abort(n.now, p.Number, "by the operator")
		})
	}
	for i, p := range w.proxies {
		if p.Member() != 0 && w.renewals[i] < w.model.Renewals && w.model.Leases {
			step(fmt.Sprintf("n%d asks for its lease", i), func(n *rolloutState) {
				n.renewals[i]++
				n.proxies[i] = n.proxies[i].Clone()
				n.proxies[i].RenewLease(n.now)
			})
		}
		if w.hellos[i] < w.model.Hellos {
			step(fmt.Sprintf("n%d connects anew", i), func(n *rolloutState) {
				n.hellos[i]++
				n.proxies[i] = n.proxies[i].Clone()
				n.proxies[i].Connected()
			})
		}
		if w.crashes < w.model.Crashes {
			step(fmt.Sprintf("n%d dies and starts again", i), func(n *rolloutState) {
				n.crashes++
				n.renewals[i] = 0
				n.proxies[i] = n.newProxy(i)
				n.proxies[i].Connected()
			})
		}
	}
}

var messageNames = [...]string{rollout.Hello: "hello", rollout.Renew: "ask", rollout.Agree: "agree", rollout.Refuse: "refuse", rollout.Held: "held", rollout.Leaving: "bye",
	rollout.Welcome: "welcome", rollout.JoinDelayed: "wait", rollout.NotMember: "gone", rollout.Granted: "granted", rollout.Offer: "offer", rollout.Hold: "hold",
	rollout.Status: "facts"}

func describeMessage(m rollout.Message) string {
	return fmt.Sprintf("%s(member %d, seq %d, policy %d, round %v)", messageNames[m.Kind], m.Member, m.Seq, m.Number, m.Round)
}

var commandNames = [...]string{rollout.Join: "join", rollout.Leave: "leave", rollout.Propose: "propose", rollout.Abort: "give up", rollout.Commit: "force",
	rollout.Release: "release"}

func describeCommand(c rollout.Command) string {
	return fmt.Sprintf("%s(member %d, policy %d, round %v)", commandNames[c.Kind], c.Member, c.Number, c.Round)
}

// Mutants are the small tiers in which each guard, by its bit, is missed soonest.
var Mutants = [...]RolloutModel{
	{Proxies: 1, Changes: 1, Renewals: 1, MaxTicks: 4, Leases: true},
	{Proxies: 1, Changes: 1},
	{Proxies: 1, Changes: 1},
	{Proxies: 1, Changes: 1, Elections: 1, Async: true},
	{Proxies: 1, Changes: 1, Async: true},
	{Proxies: 1, Changes: 1, Renewals: 1, MaxTicks: 3, Leases: true, Elections: 1},
	{Proxies: 1, Changes: 1, Renewals: 1, MaxTicks: 4, Leases: true, Async: true},
}
