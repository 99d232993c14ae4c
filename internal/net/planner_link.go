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
	plannerDialTimeout = time.Second // timeout of a dial to a planner
	plannerLogInterval = time.Minute // minimum time between log lines about invalid frames
)

// PlannerLink is a proxy's link to the planners of its tier. It uses one planner at a time and switches to the next
// when the link ends or the planner is silent or not the leader. It implements state.Gate.
type PlannerLink struct {
	loop      *Loop
	clock     state.Clock
	deadlines *state.Deadlines
	engine    *state.Engine
	proxy     *rollout.Proxy
	config    rollout.Config
	planners  []string
	selector  *rollout.PlannerSelector
	apply     func(n rollout.Number, policy []byte) // puts a policy into effect

	conn                 netpoll.Connection
	input                buffer
	output               *writeQueue // of conn
	frames               []byte      // where frames are built
	invalidFrameLoggedAt time.Duration
	joinDelayReason      string // why the proxy cannot join, as last logged
	renewTimer           state.Deadline
	redialTimer          state.Deadline
	dialing              bool
	stopped              bool
	health               sharedHealth
}

// TierConfig configures a proxy's part in its tier.
type TierConfig struct {
	Name     string // of this proxy; unique in the tier
	Planners []string
	Rollout  rollout.Config
	Seed     uint64
	// Nonce distinguishes this process from any other. It must not be derived from the configuration: a proxy
	// restarted after a kill would rejoin as its old member, and what that one had agreed to or held would be
	// attributed to a process that holds nothing; and two processes with one name would be one member.
	Nonce  uint64
	Check  func(n rollout.Number, policy []byte) string // returns why the policy cannot be served here; empty = it can
	Apply  func(n rollout.Number, policy []byte)        // puts a policy into effect; called on the loop
	Health HealthConfig
}

// JoinTier makes a proxy follow its tier's policy. Until it has received that policy, it admits no requests. It is
// called on the loop.
func JoinTier(loop *Loop, clock state.Clock, engine *state.Engine, c TierConfig) *PlannerLink {
	t := &PlannerLink{loop: loop, clock: clock, deadlines: &engine.Deadlines, engine: engine, config: c.Rollout.WithDefaults(), planners: c.Planners,
		apply: c.Apply, health: sharedHealth{config: c.Health}}
	rng := rand.New(rand.NewPCG(c.Seed, 0x71e2))
	t.proxy = rollout.NewProxy(t.config, c.Name, c.Nonce|1, c.Check)
	if c.Health.enabled() {
		t.proxy.SetZone(c.Health.Zone)
	}
	t.selector = rollout.NewPlannerSelector(t.config, len(t.planners), rng)
	engine.SetGate(t)
	t.dial()
	return t
}

// Admit implements state.Gate.
func (t *PlannerLink) Admit(now time.Duration) (uint64, state.GateDecision) {
	n, v := t.proxy.AdmitRequest(now)
	return uint64(n), [...]state.GateDecision{rollout.Admit: state.GateOpen, rollout.Delay: state.GateWait, rollout.Reject: state.GateClosed}[v]
}

// Ready reports whether this proxy holds the tier's policy and may serve.
func (t *PlannerLink) Ready() bool { return t.proxy.Ready(t.clock.Now()) }

// Leave announces that this proxy admits no more requests.
func (t *PlannerLink) Leave() {
	t.proxy.Leave()
	t.flush()
	t.stopped = true
}

func (t *PlannerLink) dial() {
	if t.stopped || t.dialing || t.conn != nil {
		return
	}
	t.dialing = true
	address := t.planners[t.selector.Current()]
	connect(t.loop, address, plannerDialTimeout, func(conn netpoll.Connection, err error) {
		t.dialing = false
		switch {
		case err != nil:
			t.tryNextPlanner()
			return
		case t.stopped:
			conn.Close()
			return
		}
		t.conn, t.input.bytes, t.health.connected = conn, nil, false
		t.output = newWriteQueue(t.loop, conn, nil, func(error) {
			if conn == t.conn {
				t.drop()
			}
		})
		t.selector.Connected(t.clock.Now())
		attachCallbacks(t.loop, conn, func() { t.handleInput(conn) }, func() { t.connectionClosed(conn) })
		t.proxy.Connected()
		t.flush()
		t.renewLease()
	})
}

// tryNextPlanner schedules a dial to the next planner.
func (t *PlannerLink) tryNextPlanner() {
	t.deadlines.Set(&t.redialTimer, t.clock.Now()+t.selector.Next(), t.dial)
}

func (t *PlannerLink) connectionClosed(conn netpoll.Connection) {
	if conn != nil && conn == t.conn {
		t.output.close()
		t.conn = nil
		t.deadlines.Clear(&t.renewTimer)
		t.tryNextPlanner()
	}
}

// renewLease requests a renewal of the lease, and gives up on a planner that has been silent.
func (t *PlannerLink) renewLease() {
	now := t.clock.Now()
	if t.selector.TimedOut(now) {
		slog.Warn("a planner is silent, the next is tried", "planner", t.planners[t.selector.Current()], "lease_left", t.proxy.LeaseEnd()-now)
		t.drop()
		return
	}
	t.proxy.RenewLease(now)
	t.flush()
	t.deadlines.Set(&t.renewTimer, now+t.selector.RenewInterval(t.proxy.LeaseDuration()), t.renewLease)
}

func (t *PlannerLink) drop() {
	conn := t.conn
	t.connectionClosed(conn)
	if conn != nil {
		conn.Close()
	}
}

func (t *PlannerLink) handleInput(conn netpoll.Connection) {
	if conn != t.conn {
		conn.Reader().Skip(conn.Reader().Len())
		return
	}
	if err := t.input.fill(conn.Reader()); err != nil {
		t.drop()
		return
	}
	used := 0
	for t.conn == conn {
		f, n, err := tier.Next(t.input.bytes[used:])
		if err != nil {
			t.engine.Counters.PlannerFramesInvalid++
			if now := t.clock.Now(); t.invalidFrameLoggedAt == 0 || now-t.invalidFrameLoggedAt >= plannerLogInterval {
				t.invalidFrameLoggedAt = now
				slog.Warn("a planner's frame can't be read", "planner", t.planners[t.selector.Current()], "error", err)
			}
			t.drop()
			return
		}
		if n == 0 {
			break
		}
		used += n
		if f.Rollout != nil {
			t.receiveMessage(*f.Rollout)
		}
		if f.Health != nil {
			t.receiveDigest(f.Health)
		}
	}
	if t.conn == conn {
		t.input.discard(used)
		t.flush()
	}
}

func (t *PlannerLink) receiveMessage(m rollout.Message) {
	now := t.clock.Now()
	if t.selector.Receive(now, m.Kind) {
		t.drop()
		return
	}
	if m.Kind == rollout.JoinDelayed {
		if m.Reason != t.joinDelayReason {
			t.joinDelayReason = m.Reason
			slog.Info("the tier lets this proxy wait", "reason", m.Reason, "lease_left", m.Lease)
		}
		return
	}
	t.joinDelayReason = ""
	t.proxy.Receive(now, m)
	for _, s := range t.proxy.TakeSwitches() {
		slog.Info("policy in force here", "number", uint64(s.Number))
		t.apply(s.Number, s.Policy)
	}
	t.shareChecks(&m)
	t.engine.GateChanged()
}

// flush sends the pending messages; without a link they are dropped, and generated again for the next one.
func (t *PlannerLink) flush() {
	t.frames = t.frames[:0]
	for _, m := range t.proxy.TakeMessages() {
		frames, err := tier.Append(t.frames, &tier.Frame{Rollout: &m})
		if err == nil {
			t.frames = frames
		}
	}
	if t.conn == nil || len(t.frames) == 0 {
		return
	}
	if err := t.output.write(t.frames); err != nil {
		t.drop()
	}
}

// PolicyNumber returns the number of the policy in force.
func (t *PlannerLink) PolicyNumber() uint64 { return uint64(t.proxy.Number()) }

// Status returns the state of the tier as known here.
func (t *PlannerLink) Status() console.Tier {
	s := console.Tier{Policy: uint64(t.proxy.Number()), Member: uint64(t.proxy.Member()), JoinError: t.joinDelayReason, UsesLeases: t.config.Lease > 0, Ready: t.Ready()}
	if t.conn != nil {
		s.Planner = t.planners[t.selector.Current()]
	}
	if s.UsesLeases {
		s.LeaseLeft = t.proxy.LeaseEnd() - t.clock.Now()
	}
	_, _, s.HoldsRequests = t.proxy.HeldRound()
	return s
}
