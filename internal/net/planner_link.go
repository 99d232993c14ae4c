package net

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/console"
	"havenproxy/internal/rollout"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/tier"
)

const (
	tierDial = time.Second // that a planner may take to answer a dial
	tierTell = time.Minute // one line about unreadable frames
)

// PlannerLink is a proxy's link to the planners of its tier: one at a time, the next where it ends, is silent, or doesn't lead. It implements
// state.Gate.
type PlannerLink struct {
	loop      *Loop
	clock     state.Clock
	deadlines *state.Deadlines
	front     *state.Engine
	side      *rollout.Proxy
	cfg       rollout.Config
	planners  []string
	seek      *rollout.PlannerSelector
	into      func(n rollout.Number, policy []byte) // puts a policy into effect

	conn    netpoll.Connection
	in      buffer
	out     []byte
	toldAt  time.Duration
	waits   string // why it can't join, as last told
	beat    state.Deadline
	redial  state.Deadline
	dialing bool
	stopped bool
	health  tierHealth
}

// TierConfig is what a proxy is told of its tier.
type TierConfig struct {
	Name     string // of this proxy; no two may share one
	Planners []string
	Rollout  rollout.Config
	Seed     uint64
	// Nonce tells this start from any other. It must not come of the configuration: a proxy that was killed would come back as the member that it
	// was, and what that one had agreed to or held would count for one that holds nothing; and two processes of one name would be one member.
	Nonce  uint64
	Check  func(n rollout.Number, policy []byte) string // why it can't be served under here; empty = it can
	Apply  func(n rollout.Number, policy []byte)        // puts it into effect; called on the loop
	Health HealthConfig
}

// JoinTier lets a proxy go by its tier's policy. Until it holds that, it takes no request. It is called on the loop.
func JoinTier(loop *Loop, clock state.Clock, front *state.Engine, c TierConfig) *PlannerLink {
	t := &PlannerLink{loop: loop, clock: clock, deadlines: &front.Deadlines, front: front, cfg: c.Rollout.WithDefaults(), planners: c.Planners,
		into: c.Apply, health: tierHealth{config: c.Health}}
	rng := rand.New(rand.NewPCG(c.Seed, 0x71e2))
	t.side = rollout.NewProxy(t.cfg, c.Name, c.Nonce|1, c.Check)
	if c.Health.shares() {
		t.side.SetZone(c.Health.Zone)
	}
	t.seek = rollout.NewPlannerSelector(t.cfg, len(t.planners), rng)
	front.SetGate(t)
	t.dial()
	return t
}

// Admit implements state.Gate.
func (t *PlannerLink) Admit(now time.Duration) (uint64, state.GateDecision) {
	n, v := t.side.AdmitRequest(now)
	return uint64(n), [...]state.GateDecision{rollout.Admit: state.GateOpen, rollout.Delay: state.GateWait, rollout.Reject: state.GateClosed}[v]
}

// Ready tells whether this proxy holds the tier's policy and may serve.
func (t *PlannerLink) Ready() bool { return t.side.Ready(t.clock.Now()) }

// Leave says that no more requests are taken here.
func (t *PlannerLink) Leave() {
	t.side.Leave()
	t.flush()
	t.stopped = true
}

func (t *PlannerLink) dial() {
	if t.stopped || t.dialing || t.conn != nil {
		return
	}
	t.dialing = true
	address := t.planners[t.seek.Current()]
	connect(t.loop, address, tierDial, func(conn netpoll.Connection, err error) {
		t.dialing = false
		switch {
		case err != nil:
			t.next()
			return
		case t.stopped:
			conn.Close()
			return
		}
		t.conn, t.in.bytes, t.health.connected = conn, nil, false
		t.seek.Connected(t.clock.Now())
		attach(t.loop, conn, func() { t.readable(conn) }, func() { t.down(conn) })
		t.side.Connected()
		t.flush()
		t.pulse()
	})
}

// next tries the next planner, later.
func (t *PlannerLink) next() {
	t.deadlines.Set(&t.redial, t.clock.Now()+t.seek.Next(), t.dial)
}

func (t *PlannerLink) down(conn netpoll.Connection) {
	if conn != nil && conn == t.conn {
		t.conn = nil
		t.deadlines.Clear(&t.beat)
		t.next()
	}
}

// pulse asks for the lease, and gives a planner up that has been silent.
func (t *PlannerLink) pulse() {
	now := t.clock.Now()
	if t.seek.TimedOut(now) {
		slog.Warn("a planner is silent, the next is tried", "planner", t.planners[t.seek.Current()], "lease_left", t.side.LeaseEnd()-now)
		t.drop()
		return
	}
	t.side.RenewLease(now)
	t.flush()
	t.deadlines.Set(&t.beat, now+t.seek.RenewInterval(t.side.LeaseDuration()), t.pulse)
}

func (t *PlannerLink) drop() {
	conn := t.conn
	t.down(conn)
	if conn != nil {
		conn.Close()
	}
}

func (t *PlannerLink) readable(conn netpoll.Connection) {
	if conn != t.conn {
		conn.Reader().Skip(conn.Reader().Len())
		return
	}
	if err := t.in.fill(conn.Reader()); err != nil {
		t.drop()
		return
	}
	used := 0
	for t.conn == conn {
		f, n, err := tier.Next(t.in.bytes[used:])
		if err != nil {
			t.front.Counters.PlannerFramesInvalid++
			if now := t.clock.Now(); t.toldAt == 0 || now-t.toldAt >= tierTell {
				t.toldAt = now
				slog.Warn("a planner's frame can't be read", "planner", t.planners[t.seek.Current()], "error", err)
			}
			t.drop()
			return
		}
		if n == 0 {
			break
		}
		used += n
		if f.Tier != nil {
			t.message(*f.Tier)
		}
		if f.Health != nil {
			t.digest(f.Health)
		}
	}
	if t.conn == conn {
		t.in.cut(used)
		t.flush()
	}
}

func (t *PlannerLink) message(m rollout.Message) {
	now := t.clock.Now()
	if t.seek.Receive(now, m.Kind) {
		t.drop()
		return
	}
	if m.Kind == rollout.JoinDelayed {
		if m.Reason != t.waits {
			t.waits = m.Reason
			slog.Info("the tier lets this proxy wait", "reason", m.Reason, "lease_left", m.Lease)
		}
		return
	}
	t.waits = ""
	t.side.Receive(now, m)
	for _, s := range t.side.TakeSwitches() {
		slog.Info("policy in force here", "number", uint64(s.Number))
		t.into(s.Number, s.Policy)
	}
	t.shareChecks(&m)
	t.front.GateChanged()
}

// flush sends what there is to say; without a link it is dropped, and said anew with the next.
func (t *PlannerLink) flush() {
	t.out = t.out[:0]
	for _, m := range t.side.TakeMessages() {
		out, err := tier.Append(t.out, &tier.Frame{Tier: &m})
		if err == nil {
			t.out = out
		}
	}
	if t.conn == nil || len(t.out) == 0 {
		return
	}
	if _, err := t.conn.Write(t.out); err != nil {
		t.drop()
	}
}

// PolicyNumber gives the policy that holds here, and Until the end of the lease.
func (t *PlannerLink) PolicyNumber() uint64 { return uint64(t.side.Number()) }

// Status tells what is known of the tier here.
func (t *PlannerLink) Status() console.Tier {
	s := console.Tier{Policy: uint64(t.side.Number()), Member: uint64(t.side.Member()), JoinError: t.waits, UsesLeases: t.cfg.Lease > 0, Ready: t.Ready()}
	if t.conn != nil {
		s.Planner = t.planners[t.seek.Current()]
	}
	if s.UsesLeases {
		s.LeaseLeft = t.side.LeaseEnd() - t.clock.Now()
	}
	_, _, s.HoldsRequests = t.side.HeldRound()
	return s
}
