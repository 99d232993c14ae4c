package net

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"havenproxy/internal/planner"
	"havenproxy/internal/rollout"
	"havenproxy/internal/state"
	"havenproxy/logic"
)

// silentDatabase is the address of the database that hangs.
const silentDatabase = "db-3"

// databases stands for all databases, as one proxy sees them: they are checked without a socket.
type databases struct {
	loop     *Loop
	hangs    bool // silentDatabase answers no check
	unheeded int  // checks of silentDatabase that this proxy has sent since it hangs
}

// Open implements state.Opener.
func (d *databases) Open(address string, _ int, to state.Listener) state.Conn {
	d.loop.Post(to.Up)
	return &checked{d, address, to}
}

// GivenUp implements state.Opener.
func (*databases) GivenUp() int { return 0 }

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
func (c *checked) Quiet() bool                             { return true }
func (c *checked) Close()                                  {}

func (c *checked) Probe() error {
	if c.address == silentDatabase && c.all.hangs {
		c.all.unheeded++
		return nil
	}
	c.all.loop.Post(func() {
		c.to.Reply(state.Reply{Result: logic.OK, Load: state.Load{Told: true, Role: logic.RoleReplica, Queue: -1}})
	})
	return nil
}

// sharer is a proxy of a tier that shares health checks.
type sharer struct {
	front     *state.Front
	tier      *Tier
	databases *databases
}

func newSharer(t *testing.T, loop *Loop, clock state.Clock, address string, i int) *sharer {
	all := &databases{loop: loop}
	class := logic.Class{Name: "any", Aim: time.Second, Limit: time.Second}
	front, err := state.New(state.Config{Logic: logic.Config{Seed: uint64(i), Tick: 5 * time.Millisecond, Classes: []logic.Class{class},
		MayProbe: true, Fronts: 6}, ConnectTimeout: time.Second, IdleClose: time.Minute, MaxLinks: 100}, clock, all)
	if err != nil {
		t.Fatal(err)
	}
	var list state.List
	for n := range 12 {
		name := fmt.Sprint("db-", n)
		list.Entries = append(list.Entries, state.Entry{Name: name, Address: name, Group: n / 4, State: logic.Ready, Size: 1})
	}
	front.Start(all, list)
	x := &sharer{front: front, databases: all}
	x.tier = JoinTier(loop, clock, front, TierConfig{Name: fmt.Sprint("proxy-", i), Planners: []string{address}, Nonce: uint64(2*i + 1),
		Seed: uint64(i), Rollout: rollout.Config{Lease: 2 * time.Second}, Check: func(rollout.Number, []byte) string { return "" },
		Into:   func(rollout.Number, []byte) {},
		Health: HealthConfig{Zone: fmt.Sprint("zone-", i%3), ChecksPerSecond: 10, BytesPerSecond: 1600}})
	return x
}

// runPlanner runs the one planner of a tier until the test ends.
func runPlanner(t *testing.T) (address string) {
	p, err := planner.Open(planner.Config{ID: 1, Listen: "127.0.0.1:0", Peers: map[uint64]string{1: "127.0.0.1:0"},
		File: filepath.Join(t.TempDir(), "log"), Rollout: rollout.Config{Lease: 2 * time.Second}})
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

// What the checkers of a database find out passes over real links and the planner to the proxies that don't check it. A checker knows
// of the silence by its own check before the quorum's verdict has come back to it, so that both are waited for.
func TestADeathPassesByThePlannerToAllProxies(t *testing.T) {
	address := runPlanner(t)
	clock := state.NewClock()
	loop := NewLoop(clock, &state.Deadlines{})
	go loop.Run()
	var list []*sharer
	on(loop, func() {
		for i := range 6 {
			list = append(list, newSharer(t, loop, clock, address, i))
		}
	})
	defer on(loop, func() {
		for _, x := range list {
			x.tier.Leave()
			x.tier.drop()
		}
		loop.Stop()
	})
	until := func(holds func(*state.Front) bool) { // where it never does, the test's own time runs out
		for hold := 0; hold < len(list); time.Sleep(time.Millisecond) {
			on(loop, func() {
				hold = 0
				for _, x := range list {
					x.front.Deadlines.Run(clock.Now())
					if holds(x.front) {
						hold++
					}
				}
			})
		}
	}
	until(func(f *state.Front) bool { return f.SharesChecks() && f.Counters.Digests > 0 })
	on(loop, func() {
		for _, x := range list {
			x.databases.hangs = true
		}
	})
	until(func(f *state.Front) bool {
		database, ok := f.Database(silentDatabase)
		return ok && database.Silent && f.Counters.Verdicts > 0
	})
	on(loop, func() {
		byVerdictAlone := 0
		for i, x := range list {
			if x.databases.unheeded == 0 {
				byVerdictAlone++
			}
			c := &x.front.Counters
			if other, _ := x.front.Database("db-1"); other.Silent || c.DigestsMalformed > 0 || c.TierStrange > 0 {
				t.Errorf("proxy %d: db-1 silent %v, %d malformed, %d strange frames", i, other.Silent, c.DigestsMalformed, c.TierStrange)
			}
		}
		if byVerdictAlone == 0 {
			t.Error("each proxy has checked the database itself")
		}
	})
}
