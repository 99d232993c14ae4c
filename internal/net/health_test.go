package net

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"path/filepath"
	"testing"
	"time"

	"havenproxy/internal/healthcheck"
	"havenproxy/internal/planner"
	"havenproxy/internal/rollout"
	"havenproxy/internal/state"
	"havenproxy/internal/subset"
	wire "havenproxy/internal/wire/healthcheck"
	"havenproxy/logic"
)

// silentDatabase is the address of the database that hangs.
const silentDatabase = "db-3"

// databases stands for all databases, as one proxy sees them: they are checked without a socket.
type databases struct {
	loop       *Loop
	hangs      bool // silentDatabase answers no check
	unanswered int  // checks of silentDatabase that this proxy has sent since it hangs
}

// Open implements state.Opener.
func (d *databases) Open(address string, _ int, to state.Listener) state.Conn {
	d.loop.Post(to.Up)
	return &checked{d, address, to}
}

// AbandonedDials implements state.Opener.
func (*databases) AbandonedDials() int { return 0 }

// Watch implements state.Watcher.
func (*databases) Watch(bool) {}

// Fetch implements state.Watcher.
func (*databases) Fetch() {}

// checked is a connection to a database. It implements state.Conn.
type checked struct {
	all     *databases
	address string
	to      state.Listener
}

func (c *checked) Send(state.Command, time.Duration) error { return nil }
func (c *checked) Reusable() bool                          { return true }
func (c *checked) Close()                                  {}

func (c *checked) Probe() error {
	if c.address == silentDatabase && c.all.hangs {
		c.all.unanswered++
		return nil
	}
	c.all.loop.Post(func() {
		c.to.Reply(state.Reply{Result: logic.OK, Load: state.Load{Known: true, Role: logic.RoleReplica, Queue: -1}})
	})
	return nil
}

// sharer is a proxy of a tier that shares health checks.
type sharer struct {
	front     *state.Engine
	tier      *PlannerLink
	databases *databases
}

func newSharer(t *testing.T, loop *Loop, clock state.Clock, address string, i int) *sharer {
	all := &databases{loop: loop}
	class := logic.Class{Name: "any", Aim: time.Second, Limit: time.Second}
	engine, err := state.New(state.Config{Logic: logic.Config{Seed: uint64(i), Tick: 5 * time.Millisecond, Classes: []logic.Class{class},
		EnableProbes: true, Proxies: 6}, ConnectTimeout: time.Second, IdleClose: time.Minute, MaxConnections: 100}, clock, all)
	if err != nil {
		t.Fatal(err)
	}
	var list state.List
	for n := range 12 {
		name := fmt.Sprint("db-", n)
		list.Entries = append(list.Entries, state.Entry{Name: name, Address: name, Group: n / 4, State: logic.Ready, Size: 1})
	}
	engine.Start(all, list)
	x := &sharer{front: engine, databases: all}
	x.tier = JoinTier(loop, clock, engine, TierConfig{Name: fmt.Sprint("proxy-", i), Planners: []string{address}, Nonce: uint64(2*i + 1),
		Seed: uint64(i), Rollout: rollout.Config{Lease: 2 * time.Second}, Check: func(rollout.Number, []byte) string { return "" },
		Apply:  func(rollout.Number, []byte) {},
		Health: HealthConfig{Zone: fmt.Sprint("zone-", i%3), ChecksPerSecond: 10, BytesPerSecond: 1600}})
	return x
}

// runPlanner runs the one planner of a tier until the test ends.
func runPlanner(t *testing.T) (address string) {
	p, err := planner.Open(planner.Config{ID: 1, Listen: "127.0.0.1:0", Peers: map[uint64]string{1: "127.0.0.1:0"},
		LogFile: filepath.Join(t.TempDir(), "log"), Rollout: rollout.Config{Lease: 2 * time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- p.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return p.Address()
}

// sharers is a tier of six proxies with a planner, whose loop runs until the test ends.
type sharers struct {
	t     *testing.T
	loop  *Loop
	clock state.Clock
	list  []*sharer
}

func newSharers(t *testing.T) *sharers {
	address := runPlanner(t)
	clock := state.NewClock()
	s := &sharers{t: t, loop: NewLoop(clock, &state.Deadlines{}), clock: clock}
	go s.loop.Run()
	on(s.loop, func() {
		for i := range 6 {
			s.list = append(s.list, newSharer(t, s.loop, clock, address, i))
		}
	})
	t.Cleanup(func() {
		on(s.loop, func() {
			for _, x := range s.list {
				x.tier.Leave()
				x.tier.drop()
			}
			s.loop.Stop()
		})
	})
	return s
}

// until waits for something to hold at all proxies.
func (s *sharers) until(holds func(*state.Engine) bool) {
	s.t.Helper()
	end := time.Now().Add(time.Minute)
	for hold := 0; hold < len(s.list); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("it holds at %d of %d proxies after a minute", hold, len(s.list))
		}
		on(s.loop, func() {
			hold = 0
			for _, x := range s.list {
				x.front.Deadlines.Run(s.clock.Now())
				if holds(x.front) {
					hold++
				}
			}
		})
	}
}

// hang lets silentDatabase answer no check of any proxy from now on, and waits until all know.
func (s *sharers) hang() {
	on(s.loop, func() {
		for _, x := range s.list {
			x.databases.hangs = true
		}
	})
	s.until(func(f *state.Engine) bool {
		database, ok := f.Database(silentDatabase)
		return ok && database.Silent && f.Counters.Verdicts > 0
	})
}

func sharesChecks(f *state.Engine) bool { return f.SharesChecks() && f.Counters.Digests > 0 }

// What the checkers of a database find out passes over real links and the planner to the proxies that don't check it. A checker knows
// of the silence by its own check before the quorum's verdict has come back to it, so that both are waited for.
func TestADeathPassesByThePlannerToAllProxies(t *testing.T) {
	s := newSharers(t)
	s.until(sharesChecks)
	s.hang()
	on(s.loop, func() {
		byVerdictAlone := 0
		for i, x := range s.list {
			if x.databases.unanswered == 0 {
				byVerdictAlone++
			}
			c := &x.front.Counters
			if other, _ := x.front.Database("db-1"); other.Silent || c.DigestsMalformed > 0 || c.PlannerFramesInvalid > 0 {
				t.Errorf("proxy %d: db-1 silent %v, %d malformed, %d strange frames", i, other.Silent, c.DigestsMalformed, c.PlannerFramesInvalid)
			}
		}
		if byVerdictAlone == 0 {
			t.Error("each proxy has checked the database itself")
		}
	})
}

// A proxy that sends reports in the names of all others is not believed: the planner takes a member's reports on that member's link only.
func TestReportsInAnothersNameAreNotPassedOn(t *testing.T) {
	s := newSharers(t)
	s.until(sharesChecks)
	on(s.loop, func() {
		now := s.clock.Now()
		for _, victim := range s.list[1:] {
			from := subset.ProxyID(victim.tier.health.member)
			forged := healthcheck.Report{Origin: from, Epoch: math.MaxUint32, Database: numberOf("db-1"), Status: healthcheck.Dead, ObservedAt: now}
			s.list[0].tier.SendReports(wire.AppendMessage(nil, wire.Clock{Unix: s.clock.Unix(), Now: now},
				healthcheck.Message{From: from, Epoch: math.MaxUint32, Reports: []healthcheck.Report{forged}}))
		}
	})
	s.hang() // a true death takes as long to be known as a forged one would, and was reported behind it
	on(s.loop, func() {
		for i, x := range s.list {
			if database, _ := x.front.Database("db-1"); database.Silent {
				t.Errorf("proxy %d takes a database for dead that all checkers reach", i)
			}
		}
	})
}

// numberOf gives a database's number in the tier's messages.
func numberOf(name string) subset.DatabaseID {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return logic.ShortID(logic.MemberID(hash.Sum64()))
}
