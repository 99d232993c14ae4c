package levels_test

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/virtual"
	"havenproxy/internal/levels"
	"havenproxy/internal/state"
	"havenproxy/logic"
)

// These tests are deterministic: they run on a virtual clock against the simulated fleet.

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

func defaultConfig(c virtual.Config) levels.Config {
	classes := state.LevelClasses(virtual.LogicConfig(c.Fleet, 1))
	return levels.Config{Classes: classes, Ladder: levels.DefaultLadder(classes)}.WithDefaults()
}

// runFleet simulates the default fleet at a demand that is given as a multiple of its capacity.
func runFleet(t *testing.T, seed uint64, demand func(time.Duration) float64, length time.Duration, change func(*virtual.Config, *levels.Config)) *virtual.Result {
	t.Helper()
	c := virtual.Yard(seed)
	l := defaultConfig(c)
	c.For = length
	c.Rate = func(at time.Duration) float64 { return demand(at) * c.Capacity() }
	if change != nil {
		change(&c, &l)
	}
	if err := l.Validate(); err != nil {
		t.Fatal(err)
	}
	c.Levels = &l
	return virtual.Play(c)
}

func steady(x float64) func(time.Duration) float64 { return func(time.Duration) float64 { return x } }

func sinceStart(c state.LevelChange) time.Duration {
	return c.At - 1_700_000_000*time.Second - 24*time.Hour
}

func listChanges(r *virtual.Result) string {
	var out strings.Builder
	for _, c := range r.Changes {
		fmt.Fprintf(&out, "\n  %7.1f s group %d: %s to %s: %s", sinceStart(c).Seconds(), c.Group, c.From, c.To, c.Reason)
	}
	return out.String()
}

// withoutDwell disables the settings that prevent leaving a level too early.
func withoutDwell(_ *virtual.Config, l *levels.Config) {
	l.Dwell, l.DwellMost, l.Fall, l.EnterAfter = 200*time.Millisecond, 200*time.Millisecond, 1000, 200*time.Millisecond
}

// Load that varies around the boundary of a level must not make the level flap.
func TestLoadAtBoundaryDoesNotFlap(t *testing.T) {
	waves := map[string]func(x, period float64) float64{
		"sine": func(x, period float64) float64 { return math.Sin(2 * math.Pi * x / period) },
		"square": func(x, period float64) float64 {
			if math.Mod(x, period) < period/2 {
				return 1
			}
			return -1
		}}
	mostWithoutGuard := 0
	for _, wave := range []string{"sine", "square"} {
		for _, period := range []float64{2, 5, 10, 20} {
			for _, mean := range []float64{1.05, 1.2, 1.4, 1.7} { // the boundaries of normal, lean, spare and scarce are near these
				demand := func(at time.Duration) float64 { return mean * (1 + 0.15*waves[wave](at.Seconds(), period)) }
				r := runFleet(t, 1, demand, 2*time.Minute, nil)
				withoutGuard := runFleet(t, 1, demand, time.Minute, withoutDwell)
				mostWithoutGuard = max(mostWithoutGuard, withoutGuard.Most)
				t.Logf("%-6s, period %2.0f s, mean %.2f: %d changes in 2 min, at most %d in a minute, worth %.3f; without dwell %d in a minute",
					wave, period, mean, len(r.Changes), r.Most, r.Worth, len(withoutGuard.Changes))
				if r.Most > 6 {
					t.Errorf("%d changes within a minute:%s", r.Most, listChanges(r))
				}
			}
		}
	}
	if mostWithoutGuard <= 6 {
		t.Errorf("without dwell the worst wave causes only %d changes: the test shows nothing", mostWithoutGuard)
	}
}

// Requests that are refused while there is no primary are no sign of overload, and a group is not judged while it lacks a member during a
// failover.
func TestNoChangeDuringFailover(t *testing.T) {
	for seed := range uint64(6) {
		for _, kind := range []fleet.Kind{fleet.Drain, fleet.Crash, fleet.Hang} {
			from := 20 * time.Second
			r := runFleet(t, seed, steady(0.95), 40*time.Second, func(c *virtual.Config, l *levels.Config) {
				c.Faults = []virtual.Fault{{At: from, Fault: fleet.Fault{Kind: kind, Member: fleet.Primary, For: 30 * time.Second}}}
			})
			// An election ends at least 2 s after the fault, unless the primary drains.
			until := from + 2*time.Second
			if kind == fleet.Drain {
				until = from + 450*time.Millisecond
			}
			for _, c := range r.Changes {
				if sinceStart(c) >= from && sinceStart(c) < until {
					t.Errorf("seed %d, %s: a change during the failover:%s", seed, kind, listChanges(r))
				}
			}
			if r.Most > 6 {
				t.Errorf("seed %d, %s:%s", seed, kind, listChanges(r))
			}
		}
	}
}

// During a rolling restart a group refuses requests at any load, as cold databases have little capacity. If that counted as overload, the group
// would shed requests in addition.
func TestRollingRestartIsNoOverload(t *testing.T) {
	for _, demand := range []float64{0.4, 0.6} {
		for seed := range uint64(3) {
			var worth [2]float64
			for on := range 2 {
				worth[on] = runFleet(t, seed, steady(demand), time.Minute, func(c *virtual.Config, l *levels.Config) {
					c.Fleet.Members = 4
					for i := range 18 {
						c.Faults = append(c.Faults, virtual.Fault{At: 5*time.Second + time.Duration(i)*2500*time.Millisecond,
							Fault: fleet.Fault{Kind: fleet.Drain, Member: i % 4, For: 1500 * time.Millisecond}})
					}
					if on == 0 {
						l.Cap = map[logic.GroupID]string{levels.AllGroups: "normal"}
					}
				}).Worth
			}
			t.Logf("demand %.1f, seed %d: worth %.3f without levels and %.3f with", demand, seed, worth[0], worth[1])
			if worth[1] < worth[0]-0.005 {
				t.Errorf("demand %.1f, seed %d: levels reduce the worth", demand, seed)
			}
		}
	}
}

// scriptedController is a controller with ten ticks per second of given statistics.
type scriptedController struct {
	c    *levels.Controller
	now  time.Duration
	cold float64 // sum of the members' missing warmth
}

func newScriptedController() *scriptedController {
	l := defaultConfig(virtual.Yard(1))
	return &scriptedController{c: levels.NewController(&l, 0, 0)}
}

// run advances the clock. In each tick every class gets ten requests, of which a share is lost.
func (s *scriptedController) run(d time.Duration, lost float64, members func(tick int) int) {
	for i := range int(d / (100 * time.Millisecond)) {
		s.now += 100 * time.Millisecond
		n := members(i)
		f := &logic.GroupStats{ReadyMembers: n, UsableMembers: n, WarmCapacity: float64(n) - s.cold, HasPrimary: true, Strain: 0.2, Classes: make([]logic.ClassCounts, 5)}
		for k := range f.Classes {
			lostRequests := int(10 * lost)
			f.Classes[k] = logic.ClassCounts{Offered: 10, InTime: 10 - lostRequests, Refused: lostRequests, ServiceTime: 50 * time.Millisecond}
		}
		s.c.Tick(s.now, f)
	}
}

// A group refuses requests while a database that has joined is cold. That is no sign of overload.
func TestNoChangeWhileDatabaseIsCold(t *testing.T) {
	s := newScriptedController()
	s.run(10*time.Second, 0, threeMembers)
	s.cold = 0.8
	s.run(8*time.Second, 0.4, threeMembers)
	if st := s.c.Status(s.now); st.Level != 0 || st.FrozenReason == "" {
		t.Errorf("%+v", st)
	}
	s.cold = 0 // warm now, while the losses continue
	s.run(4*time.Second, 0.4, threeMembers)
	if s.c.Level() == 0 {
		t.Error("the losses of a warm group cause no change")
	}
}

func threeMembers(int) int { return 3 }

// Faults other than overload reduce the work that a group serves, but not its capacity.
func TestCapacityIsKeptDuringFaults(t *testing.T) {
	s := newScriptedController()
	s.run(20*time.Second, 0, threeMembers)
	offered := s.c.Status(s.now).OfferedWork
	s.run(6*time.Second, 0.7, threeMembers)
	if st := s.c.Status(s.now); st.Level == 0 || st.Capacity < 0.9*offered {
		t.Errorf("level %q, capacity %.1f core s/s, although %.1f were served before", st.Name, st.Capacity, offered)
	}
}

// A group whose databases join and leave endlessly can't be judged, but must step down all the same.
func TestStepDownDespiteEndlessMembershipChanges(t *testing.T) {
	s := newScriptedController()
	s.run(10*time.Second, 0, threeMembers)
	s.run(10*time.Second, 0.7, threeMembers)
	before := s.c.Level()
	s.run(30*time.Second, 0, func(tick int) int { return 2 + tick/10%2 })
	if before == 0 || s.c.Level() >= before {
		t.Errorf("from level %d to %d: %+v", before, s.c.Level(), s.c.Status(s.now))
	}
}

// The work that was served before a jump from low load must not count as the capacity; far too much would be shed.
func TestCapacityAfterJumpFromLowLoad(t *testing.T) {
	for seed := range uint64(5) {
		for _, lowLoad := range []float64{0, 0.3} {
			r := runFleet(t, seed, func(at time.Duration) float64 {
				if at < 6*time.Second {
					return lowLoad
				}
				return 1.3
			}, 20*time.Second, nil)
			if l := r.Levels[0]; len(r.Changes) == 0 || r.Changes[0].To == "core" || l.Capacity < 0.75*l.OfferedWork/1.3 {
				t.Errorf("seed %d, low load %.1f: capacity %.1f core s/s with %.1f offered:%s", seed, lowLoad, l.Capacity, l.OfferedWork, listChanges(r))
			}
		}
	}
}

// A jump of the load causes one change, to a level at which the work fits, not one change per level.
func TestJumpCausesOneChange(t *testing.T) {
	for seed := range uint64(5) {
		r := runFleet(t, seed, func(at time.Duration) float64 {
			if at < 15*time.Second {
				return 0.7
			}
			return 2.1
		}, 40*time.Second, nil)
		if len(r.Changes) == 0 || sinceStart(r.Changes[0]) < 15*time.Second || sinceStart(r.Changes[0]) > 18*time.Second {
			t.Fatalf("seed %d:%s", seed, listChanges(r))
		}
		if first := r.Changes[0].To; first != "scarce" && first != "core" {
			t.Errorf("seed %d: the first change is to %q:%s", seed, first, listChanges(r))
		}
		if r.Most > 6 {
			t.Errorf("seed %d:%s", seed, listChanges(r))
		}
	}
}

func TestColdDatabaseRejoinsUnderOverload(t *testing.T) {
	for seed := range uint64(5) {
		r := runFleet(t, seed, steady(1.15), 90*time.Second, func(c *virtual.Config, _ *levels.Config) {
			c.Faults = []virtual.Fault{{At: 15 * time.Second, Fault: fleet.Fault{Kind: fleet.Crash, Member: 1, For: 8 * time.Second}}}
		})
		if r.Fell > 0 || r.Most > 6 {
			t.Errorf("seed %d: %d databases collapsed, %d changes in a minute:%s", seed, r.Fell, r.Most, listChanges(r))
		}
	}
}

// A group whose members are all silent loses every request, which no level can help.
func TestNoChangeWhileGroupIsSilent(t *testing.T) {
	for seed := range uint64(5) {
		r := runFleet(t, seed, steady(0.7), 60*time.Second, func(c *virtual.Config, _ *levels.Config) {
			for m := range 3 {
				c.Faults = append(c.Faults, virtual.Fault{At: 20 * time.Second, Fault: fleet.Fault{Kind: fleet.Hang, Member: m, For: 14 * time.Second}})
			}
		})
		for _, c := range r.Changes {
			if sinceStart(c) >= 20*time.Second && sinceStart(c) < 34*time.Second {
				t.Errorf("seed %d:%s", seed, listChanges(r))
			}
		}
	}
}

// If there are no requests of the classes that the ladder sheds, a step up has no effect and is not made, and a sum of 0 must not be used as a divisor.
func TestNoRequestsOfShedClasses(t *testing.T) {
	r := runFleet(t, 1, steady(1.5), time.Minute, func(c *virtual.Config, _ *levels.Config) { c.Shares[1], c.Shares[2] = 0, 0 })
	if len(r.Changes) > 0 {
		t.Error(listChanges(r))
	}
	r = runFleet(t, 1, steady(1.5), time.Minute, func(c *virtual.Config, _ *levels.Config) { c.Shares[1] = 0 })
	if r.Most > 6 {
		t.Error(listChanges(r))
	}
}

// A session that sends most of the traffic has the same share of its requests shed as the others.
func TestHeavySessionIsShedLikeOthers(t *testing.T) {
	for seed := range uint64(4) {
		r := runFleet(t, seed, steady(1.4), time.Minute, func(c *virtual.Config, _ *levels.Config) { c.HotSession = 0.6 })
		hotSession, otherSessions := r.BySession[0], r.BySession[1]
		a, b := float64(hotSession.InAim)/float64(hotSession.Offered), float64(otherSessions.InAim)/float64(otherSessions.Offered)
		t.Logf("seed %d: within aim %.2f of the heavy session, %.2f of the others; %d changes", seed, a, b, len(r.Changes))
		if r.Most > 6 || math.Abs(a-b) > 0.15 {
			t.Errorf("seed %d: within aim %.2f of the heavy session, %.2f of the others:%s", seed, a, b, listChanges(r))
		}
	}
}

// Retries of clients that retry at once do not count as demand, so that they don't raise the level.
func TestRetriesAreNoDemand(t *testing.T) {
	for seed := range uint64(4) {
		load := func(retries int) *virtual.Result {
			return runFleet(t, seed, steady(1.3), time.Minute, func(c *virtual.Config, _ *levels.Config) { c.Retries = retries })
		}
		withoutRetries, withRetries := load(0), load(5)
		if withRetries.Most > 6 {
			t.Errorf("seed %d:%s", seed, listChanges(withRetries))
		}
		a, b := withoutRetries.Levels[0], withRetries.Levels[0]
		t.Logf("seed %d: offered %.2f of capacity %.2f without retries, %.2f of %.2f with", seed, a.OfferedWork, a.Capacity, b.OfferedWork, b.Capacity)
		if b.OfferedWork > 1.3*a.OfferedWork {
			t.Errorf("seed %d: retries count as demand: %.2f against %.2f core s/s", seed, b.OfferedWork, a.OfferedWork)
		}
	}
}

// After the proxy's loop was blocked for two seconds, the requests that it finds late say nothing about the databases.
func TestNoChangeAfterBlockedLoop(t *testing.T) {
	for seed := range uint64(5) {
		r := runFleet(t, seed, steady(0.8), 40*time.Second, func(c *virtual.Config, _ *levels.Config) {
			c.Still = []virtual.Still{{At: 15 * time.Second, For: 2 * time.Second}, {At: 25 * time.Second, For: 2 * time.Second}}
		})
		if len(r.Changes) > 0 {
			t.Errorf("seed %d:%s", seed, listChanges(r))
		}
	}
}

// If a reload renames or removes the level in force, the new level must admit no more than the old one.
func TestReconfigureUnderOverload(t *testing.T) {
	for name, ladder := range map[string]func([]levels.Level) []levels.Level{
		"the same":  func(l []levels.Level) []levels.Level { return l },
		"renamed":   func(l []levels.Level) []levels.Level { l[4].Name, l[3].Name = "essential", "thin"; return l },
		"shortened": func(l []levels.Level) []levels.Level { return []levels.Level{l[0], l[4]} },
		"only one":  func(l []levels.Level) []levels.Level { return l[:1] },
	} {
		var before, after state.GroupLevel
		r := runFleet(t, 1, steady(1.8), 40*time.Second, func(c *virtual.Config, l *levels.Config) {
			next := *l
			next.Ladder = ladder(append([]levels.Level(nil), l.Ladder...))
			c.At = []virtual.Action{{At: 30 * time.Second, Do: func(f *state.Engine) {
				before = f.Levels()[0]
				f.ConfigureLevels(&next)
				after = f.Levels()[0]
			}}}
		})
		sum := func(l state.GroupLevel) (s float64) {
			for _, x := range l.AdmittedShares {
				s += x
			}
			return s
		}
		if before.Level < 3 {
			t.Fatalf("%s: %+v", name, before)
		}
		if name != "only one" && sum(after) > sum(before)+0.01 {
			t.Errorf("%s: %q admits %.2f, %q admitted %.2f", name, after.Name, sum(after), before.Name, sum(before))
		}
		if renamed := before.Name != after.Name; renamed != strings.Contains(listChanges(r), "gone from the operator's file") {
			t.Errorf("%s:%s", name, listChanges(r))
		}
		if r.Most > 6 {
			t.Errorf("%s:%s", name, listChanges(r))
		}
	}
}

func TestPinAndCap(t *testing.T) {
	r := runFleet(t, 1, steady(0.5), 10*time.Second, func(_ *virtual.Config, l *levels.Config) {
		l.Pin = map[logic.GroupID]string{levels.AllGroups: "scarce"}
	})
	if r.InAim(1) > 0.1 || r.InAim(4) < 0.99 || r.Levels[0].Name != "scarce" {
		t.Errorf("pinned: %.2f of kendi-siparis, %.2f of kayit-yaz, level %s", r.InAim(1), r.InAim(4), r.Levels[0].Name)
	}
	r = runFleet(t, 1, steady(2), 30*time.Second, func(_ *virtual.Config, l *levels.Config) {
		l.Cap = map[logic.GroupID]string{0: "lean"}
	})
	if r.Levels[0].Name != "lean" {
		t.Errorf("capped: level %s", r.Levels[0].Name)
	}
}

// The level of one group has no effect on another group.
func TestLevelsAreIndependentByGroup(t *testing.T) {
	c := virtual.Yard(1)
	c.Fleet.Groups = 2
	l := defaultConfig(c)
	l.Pin = map[logic.GroupID]string{1: "core"}
	c.Levels, c.For = &l, 15*time.Second
	c.Rate = func(time.Duration) float64 { return 0.6 * c.Capacity() }
	r := virtual.Play(c)
	if r.Levels[0].Name != "normal" || r.Levels[1].Name != "core" {
		t.Errorf("%s and %s", r.Levels[0].Name, r.Levels[1].Name)
	}
	if in := r.InAim(2); in < 0.4 || in > 0.6 {
		t.Errorf("katalog: %.2f within aim, want about half", in)
	}
}

// Without overload, levels must not reduce the worth. Under overload, the class of the highest worth is served no less, and the worth is no lower.
func TestLevelsDoNoHarm(t *testing.T) {
	for _, demand := range []float64{0.7, 0.9, 1.1, 1.3, 1.6, 2} {
		var worth, writes, fresh [2]float64
		const seeds = 6
		for seed := range uint64(seeds) {
			for on := range 2 {
				r := runFleet(t, seed, steady(demand), time.Minute, func(_ *virtual.Config, l *levels.Config) {
					if on == 0 {
						l.Cap = map[logic.GroupID]string{levels.AllGroups: "normal"}
					}
				})
				worth[on] += r.Worth / seeds
				writes[on] += r.InAim(4) / seeds
				fresh[on] += r.InAim(3) / seeds
			}
		}
		t.Logf("demand %.1f: worth %.3f without levels and %.3f with, kayit-yaz %.3f and %.3f, yukleme-kontrol %.3f and %.3f", demand, worth[0], worth[1], writes[0], writes[1], fresh[0], fresh[1])
		if worth[1] < worth[0]-0.004 || writes[1] < writes[0]-0.004 {
			t.Errorf("demand %.1f: levels reduce the worth", demand)
		}
	}
}

func BenchmarkTick(b *testing.B) {
	c := defaultConfig(virtual.Yard(1))
	k := levels.NewController(&c, 0, 0)
	f := &logic.GroupStats{ReadyMembers: 3, UsableMembers: 3, WarmCapacity: 3, HasPrimary: true, Strain: 0.6, Classes: make([]logic.ClassCounts, 5)}
	for i := range f.Classes {
		f.Classes[i] = logic.ClassCounts{Offered: 9, InTime: 6, Refused: 1, ServiceTime: 50 * time.Millisecond}
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Millisecond
		k.Tick(now, f)
		k.Admissions()
	}
}
