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

// silentDatabase is the address of the database that stops answering.
const silentDatabase = "db-3"

// checkStub stands for all databases as one proxy sees them: they are checked without a socket.
type checkStub struct {
	loop       *Loop
	hangs      bool // silentDatabase answers no check
	unanswered int  // checks of silentDatabase that this proxy has sent since it stopped answering
}

// Open implements state.Opener.
func (d *checkStub) Open(address string, _ int, to state.Listener) state.Conn {
	d.loop.Post(to.Up)
	return &checkedConn{d, address, to}
}

// AbandonedDials implements state.Opener.
func (*checkStub) AbandonedDials() int { return 0 }

// Watch implements state.Watcher.
func (*checkStub) Watch(bool) {}

// Fetch implements state.Watcher.
func (*checkStub) Fetch() {}

// checkedConn is a connection to a database. It implements state.Conn.
type checkedConn struct {
	databases *checkStub
	address   string
	to        state.Listener
}

func (c *checkedConn) Send(state.Command, time.Duration) error { return nil }
func (c *checkedConn) Reusable() bool                          { return true }
func (c *checkedConn) Sync() error                             { c.databases.loop.Post(c.to.Synced); return nil }
func (c *checkedConn) Close()                                  {}

func (c *checkedConn) Probe() error {
	if c.address == silentDatabase && c.databases.hangs {
		c.databases.unanswered++
		return nil
	}
	c.databases.loop.Post(func() {
		c.to.Reply(state.Reply{Result: logic.OK, Load: state.Load{Known: true, Role: logic.RoleReplica, Queue: -1}})
	})
	return nil
}

// sharingProxy is a proxy of a tier that shares health checks.
type sharingProxy struct {
	engine    *state.Engine
	planner   *PlannerLink
	databases *checkStub
}

func newSharingProxy(t *testing.T, loop *Loop, clock state.Clock, address string, i int) *sharingProxy {
	all := &checkStub{loop: loop}
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
	x := &sharingProxy{engine: engine, databases: all}
	x.planner = JoinTier(loop, clock, engine, TierConfig{Name: fmt.Sprint("proxy-", i), Planners: []string{address}, Nonce: uint64(2*i + 1),
		Seed: uint64(i), Rollout: rollout.Config{Lease: 2 * time.Second}, Check: func(rollout.Number, []byte) string { return "" },
		Apply:  func(rollout.Number, []byte) {},
		Health: HealthConfig{Zone: fmt.Sprint("zone-", i%3), ChecksPerSecond: 10, BytesPerSecond: 1600}})
	return x
}

// runPlanner runs the only planner of a tier until the test ends.
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

// sharingTier is a tier of six proxies with a planner, whose loop runs until the test ends.
type sharingTier struct {
	t       *testing.T
	loop    *Loop
	clock   state.Clock
	proxies []*sharingProxy
}

func newSharingTier(t *testing.T) *sharingTier {
	address := runPlanner(t)
	clock := state.NewClock()
	s := &sharingTier{t: t, loop: NewLoop(clock, &state.Deadlines{}), clock: clock}
	go s.loop.Run()
	runOnLoop(s.loop, func() {
		for i := range 6 {
			s.proxies = append(s.proxies, newSharingProxy(t, s.loop, clock, address, i))
		}
	})
	t.Cleanup(func() {
		runOnLoop(s.loop, func() {
			for _, x := range s.proxies {
				x.planner.Leave()
				x.planner.drop()
			}
			s.loop.Stop()
		})
	})
	return s
}

// until waits until holds is true at all proxies.
func (s *sharingTier) until(holds func(*state.Engine) bool) {
	s.t.Helper()
	end := time.Now().Add(time.Minute)
	for hold := 0; hold < len(s.proxies); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("the condition holds at %d of %d proxies after a minute", hold, len(s.proxies))
		}
		runOnLoop(s.loop, func() {
			hold = 0
			for _, x := range s.proxies {
				x.engine.Deadlines.Run(s.clock.Now())
				if holds(x.engine) {
					hold++
				}
			}
		})
	}
}

// hang makes silentDatabase stop answering the checks of all proxies, and waits until all know.
func (s *sharingTier) hang() {
	runOnLoop(s.loop, func() {
		for _, x := range s.proxies {
			x.databases.hangs = true
		}
	})
	s.until(func(f *state.Engine) bool {
		database, ok := f.Database(silentDatabase)
		return ok && database.Silent && f.Counters.Verdicts > 0
	})
}

func sharesChecks(f *state.Engine) bool { return f.SharesChecks() && f.Counters.Digests > 0 }

// The results of a database's checkers reach the proxies that do not check it over real links and the planner. A
// checker knows of the silence from its own check before the quorum's verdict has come back to it, so both are waited
// for.
func TestDeadDatabaseIsReportedThroughPlanner(t *testing.T) {
	s := newSharingTier(t)
	s.until(sharesChecks)
	s.hang()
	runOnLoop(s.loop, func() {
		byVerdictAlone := 0
		for i, x := range s.proxies {
			if x.databases.unanswered == 0 {
				byVerdictAlone++
			}
			c := &x.engine.Counters
			if other, _ := x.engine.Database("db-1"); other.Silent || c.DigestsMalformed > 0 || c.PlannerFramesInvalid > 0 {
				t.Errorf("proxy %d: db-1 silent %v, %d malformed digests, %d invalid frames", i, other.Silent, c.DigestsMalformed, c.PlannerFramesInvalid)
			}
		}
		if byVerdictAlone == 0 {
			t.Error("every proxy has checked the database itself")
		}
	})
}

// A proxy sends reports in the names of all others. They are not forwarded: the planner accepts a member's reports on
// that member's link only.
func TestForgedReportsAreNotForwarded(t *testing.T) {
	s := newSharingTier(t)
	s.until(sharesChecks)
	runOnLoop(s.loop, func() {
		now := s.clock.Now()
		for _, victim := range s.proxies[1:] {
			victimID := subset.ProxyID(victim.planner.health.member)
			forged := healthcheck.Report{Origin: victimID, Epoch: math.MaxUint32, Database: databaseID("db-1"), Status: healthcheck.Dead, ObservedAt: now}
			s.proxies[0].planner.SendReports(wire.AppendMessage(nil, wire.Clock{Unix: s.clock.Unix(), Now: now},
				healthcheck.Message{From: victimID, Epoch: math.MaxUint32, Reports: []healthcheck.Report{forged}}))
		}
	})
	s.hang() // a real failure takes as long to be known as a forged one would, and was reported after it
	runOnLoop(s.loop, func() {
		for i, x := range s.proxies {
			if database, _ := x.engine.Database("db-1"); database.Silent {
				t.Errorf("proxy %d treats a database as dead that all checkers reach", i)
			}
		}
	})
}

// databaseID returns a database's number in the tier's messages.
func databaseID(name string) subset.DatabaseID {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return logic.ShortID(logic.MemberID(hash.Sum64()))
}
