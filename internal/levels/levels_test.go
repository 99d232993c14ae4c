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

// All of these run on a virtual clock against the modelled fleet: the same verdict every time.

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

func shipped(c virtual.Config) levels.Config {
	classes := state.LevelClasses(virtual.LogicConfig(c.Fleet, 1))
	return levels.Config{Classes: classes, Ladder: levels.DefaultLadder(classes)}.WithDefaults()
}

// play plays the timber yards' fleet at a demand, a multiple of its capacity.
func play(t *testing.T, seed uint64, demand func(time.Duration) float64, length time.Duration, change func(*virtual.Config, *levels.Config)) *virtual.Result {
	t.Helper()
	c := virtual.Yard(seed)
	l := shipped(c)
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

func at(c state.LevelChange) time.Duration {
	return c.At - 1_700_000_000*time.Second - 24*time.Hour
}

func story(r *virtual.Result) string {
	var out strings.Builder
	for _, c := range r.Changes {
		fmt.Fprintf(&out, "\n  %7.1f s group %d: %s to %s: %s", at(c).Seconds(), c.Group, c.From, c.To, c.Reason)
	}
	return out.String()
}

// twitchy takes away what keeps a level from being left too early.
func twitchy(_ *virtual.Config, l *levels.Config) {
	l.Dwell, l.DwellMost, l.Fall, l.EnterAfter = 200*time.Millisecond, 200*time.Millisecond, 1000, 200*time.Millisecond
}

// Load that hovers at a boundary must not swing the level.
func TestLevelsHoverAtEachBoundary(t *testing.T) {
	waves := map[string]func(x, period float64) float64{
		"sine": func(x, period float64) float64 { return math.Sin(2 * math.Pi * x / period) },
		"square": func(x, period float64) float64 {
			if math.Mod(x, period) < period/2 {
				return 1
			}
			return -1
		}}
	unguarded := 0
	for _, wave := range []string{"sine", "square"} {
		for _, period := range []float64{2, 5, 10, 20} {
			for _, middle := range []float64{1.05, 1.2, 1.4, 1.7} { // normal, lean, spare and scarce end near these
				demand := func(at time.Duration) float64 { return middle * (1 + 0.15*waves[wave](at.Seconds(), period)) }
				r := play(t, 1, demand, 2*time.Minute, nil)
				bare := play(t, 1, demand, time.Minute, twitchy)
				unguarded = max(unguarded, bare.Most)
				t.Logf("%-6s of %2.0f s round %.2f: %d changes in 2 min, %d a minute at most, worth %.3f; without dwell %d in a minute",
					wave, period, middle, len(r.Changes), r.Most, r.Worth, len(bare.Changes))
				if r.Most > 6 {
					t.Errorf("%d changes within a minute:%s", r.Most, story(r))
				}
			}
		}
	}
	if unguarded <= 6 {
		t.Errorf("without its guard the worst wave makes %d changes: the test proves nothing", unguarded)
	}
}

// What is refused for want of a primary is no sign of load, and a group that is short of a member for the seconds of a
// switch is not judged by them.
func TestLevelsStandStillWhileThePrimaryChanges(t *testing.T) {
	for seed := range uint64(6) {
		for _, kind := range []fleet.Kind{fleet.Drain, fleet.Crash, fleet.Hang} {
			from := 20 * time.Second
			r := play(t, seed, steady(0.95), 40*time.Second, func(c *virtual.Config, l *levels.Config) {
				c.Faults = []virtual.Fault{{At: from, Fault: fleet.Fault{Kind: kind, Member: fleet.Primary, For: 30 * time.Second}}}
			})
			// The election is over 2 s behind the fault at the least, unless it is a drain.
			until := from + 2*time.Second
			if kind == fleet.Drain {
				until = from + 450*time.Millisecond
			}
			for _, c := range r.Changes {
				if at(c) >= from && at(c) < until {
					t.Errorf("seed %d, %s: a change in the middle of it:%s", seed, kind, story(r))
				}
			}
			if r.Most > 6 {
				t.Errorf("seed %d, %s:%s", seed, kind, story(r))
			}
		}
	}
}

// A rolling restart makes a group refuse at any load, for cold databases bear little. Taken for load, it sheds on top.
func TestLevelsInARollingRestart(t *testing.T) {
	for _, demand := range []float64{0.4, 0.6} {
		for seed := range uint64(3) {
			var worth [2]float64
			for on := range 2 {
				worth[on] = play(t, seed, steady(demand), time.Minute, func(c *virtual.Config, l *levels.Config) {
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
			t.Logf("demand %.1f, seed %d: worth %.3f without and %.3f with", demand, seed, worth[0], worth[1])
			if worth[1] < worth[0]-0.005 {
				t.Errorf("demand %.1f, seed %d: levels do harm", demand, seed)
			}
		}
	}
}

// script drives a controller by a script of events: ten ticks a second of what happened.
type script struct {
	c    *levels.Controller
	now  time.Duration
	cold float64 // parts of members that are not warm
}

func newScript() *script {
	l := shipped(virtual.Yard(1))
	return &script{c: levels.NewController(&l, 0, 0)}
}

// run lets a time pass in which each class is asked for ten times a tick and a part of that is lost.
func (s *script) run(d time.Duration, lost float64, members func(tick int) int) {
	for i := range int(d / (100 * time.Millisecond)) {
		s.now += 100 * time.Millisecond
		n := members(i)
		f := &logic.GroupStats{ReadyMembers: n, UsableMembers: n, WarmCapacity: float64(n) - s.cold, HasPrimary: true, LatencyRatio: 0.2, Classes: make([]logic.ClassCounts, 5)}
		for k := range f.Classes {
			gone := int(10 * lost)
			f.Classes[k] = logic.ClassCounts{Offered: 10, InTime: 10 - gone, Refused: gone, ServiceTime: 50 * time.Millisecond}
		}
		s.c.Tick(s.now, f)
	}
}

// A cold database that has joined bears little, and its group refuses for that: no sign of load.
func TestLevelsStandStillWhileADatabaseIsCold(t *testing.T) {
	s := newScript()
	s.run(10*time.Second, 0, three)
	s.cold = 0.8
	s.run(8*time.Second, 0.4, three)
	if st := s.c.Status(s.now); st.Level != 0 || st.FrozenReason == "" {
		t.Errorf("%+v", st)
	}
	s.cold = 0 // warm now, and the losses go on
	s.run(4*time.Second, 0.4, three)
	if s.c.Level() == 0 {
		t.Error("a warm group that loses is not judged")
	}
}

func three(int) int { return 3 }

// Trouble of another kind makes a group serve little; it is no smaller for that.
func TestLevelsDontMistakeTroubleForLittleCapacity(t *testing.T) {
	s := newScript()
	s.run(20*time.Second, 0, three)
	offered := s.c.Status(s.now).OfferedWork
	s.run(6*time.Second, 0.7, three)
	if st := s.c.Status(s.now); st.Level == 0 || st.Capacity < 0.9*offered {
		t.Errorf("level %q, a capacity of %.1f core s/s where %.1f were served a moment ago", st.Name, st.Capacity, offered)
	}
}

// Where databases come and go without end nothing can be judged, and there is a way out all the same.
func TestLevelsFindAWayOutOfEndlessChange(t *testing.T) {
	s := newScript()
	s.run(10*time.Second, 0, three)
	s.run(10*time.Second, 0.7, three)
	was := s.c.Level()
	s.run(30*time.Second, 0, func(tick int) int { return 2 + tick/10%2 })
	if was == 0 || s.c.Level() >= was {
		t.Errorf("from level %d to %d: %+v", was, s.c.Level(), s.c.Status(s.now))
	}
}

// The capacity is not what a quiet group was doing before a jump: it would look far smaller than it is, and far too much
// would be shed.
func TestLevelsDontMistakeQuietForLittleCapacity(t *testing.T) {
	for seed := range uint64(5) {
		for _, quiet := range []float64{0, 0.3} {
			r := play(t, seed, func(at time.Duration) float64 {
				if at < 6*time.Second {
					return quiet
				}
				return 1.3
			}, 20*time.Second, nil)
			if l := r.Levels[0]; len(r.Changes) == 0 || r.Changes[0].To == "core" || l.Capacity < 0.75*l.OfferedWork/1.3 {
				t.Errorf("seed %d, quiet %.1f: a capacity of %.1f core s/s with %.1f offered:%s", seed, quiet, l.Capacity, l.OfferedWork, story(r))
			}
		}
	}
}

// A jump is answered by one change to where the work fits, not by one level after the other.
func TestLevelsAnswerAJump(t *testing.T) {
	for seed := range uint64(5) {
		r := play(t, seed, func(at time.Duration) float64 {
			if at < 15*time.Second {
				return 0.7
			}
			return 2.1
		}, 40*time.Second, nil)
		if len(r.Changes) == 0 || at(r.Changes[0]) < 15*time.Second || at(r.Changes[0]) > 18*time.Second {
			t.Fatalf("seed %d:%s", seed, story(r))
		}
		if first := r.Changes[0].To; first != "scarce" && first != "core" {
			t.Errorf("seed %d: the first step is %q:%s", seed, first, story(r))
		}
		if r.Most > 6 {
			t.Errorf("seed %d:%s", seed, story(r))
		}
	}
}

func TestLevelsWithAColdDatabaseThatJoins(t *testing.T) {
	for seed := range uint64(5) {
		r := play(t, seed, steady(1.15), 90*time.Second, func(c *virtual.Config, _ *levels.Config) {
			c.Faults = []virtual.Fault{{At: 15 * time.Second, Fault: fleet.Fault{Kind: fleet.Crash, Member: 1, For: 8 * time.Second}}}
		})
		if r.Fell > 0 || r.Most > 6 {
			t.Errorf("seed %d: %d fell over, %d changes a minute:%s", seed, r.Fell, r.Most, story(r))
		}
	}
}

// A group of which nobody answers loses everything, and no level is a cure for that.
func TestLevelsOfAGroupThatIsSilent(t *testing.T) {
	for seed := range uint64(5) {
		r := play(t, seed, steady(0.7), 60*time.Second, func(c *virtual.Config, _ *levels.Config) {
			for m := range 3 {
				c.Faults = append(c.Faults, virtual.Fault{At: 20 * time.Second, Fault: fleet.Fault{Kind: fleet.Hang, Member: m, For: 14 * time.Second}})
			}
		})
		for _, c := range r.Changes {
			if at(c) >= 20*time.Second && at(c) < 34*time.Second {
				t.Errorf("seed %d:%s", seed, story(r))
			}
		}
	}
}

// Where nobody asks for what a ladder sheds, going up is no cure, and nothing is divided by nothing.
func TestLevelsWithoutTheClassesToShed(t *testing.T) {
	r := play(t, 1, steady(1.5), time.Minute, func(c *virtual.Config, _ *levels.Config) { c.Shares[1], c.Shares[2] = 0, 0 })
	if len(r.Changes) > 0 {
		t.Error(story(r))
	}
	r = play(t, 1, steady(1.5), time.Minute, func(c *virtual.Config, _ *levels.Config) { c.Shares[1] = 0 })
	if r.Most > 6 {
		t.Error(story(r))
	}
}

// One session that sends most of the traffic is shed by parts of its requests, not cut off whole.
func TestLevelsAndOneHeavySession(t *testing.T) {
	for seed := range uint64(4) {
		r := play(t, seed, steady(1.4), time.Minute, func(c *virtual.Config, _ *levels.Config) { c.HotSession = 0.6 })
		hot, others := r.BySession[0], r.BySession[1]
		a, b := float64(hot.InAim)/float64(hot.Offered), float64(others.InAim)/float64(others.Offered)
		t.Logf("seed %d: the heavy session has %.2f in aim, the others %.2f; %d changes", seed, a, b, len(r.Changes))
		if r.Most > 6 || math.Abs(a-b) > 0.15 {
			t.Errorf("seed %d: %.2f against %.2f:%s", seed, a, b, story(r))
		}
	}
}

// Clients that try again at once are no new demand: the level doesn't rise for them.
func TestLevelsAndClientsThatRetryAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		load := func(retries int) *virtual.Result {
			return play(t, seed, steady(1.3), time.Minute, func(c *virtual.Config, _ *levels.Config) { c.Retries = retries })
		}
		calm, storm := load(0), load(5)
		if storm.Most > 6 {
			t.Errorf("seed %d:%s", seed, story(storm))
		}
		a, b := calm.Levels[0], storm.Levels[0]
		t.Logf("seed %d: asked for %.2f of %.2f without retries, %.2f of %.2f with", seed, a.OfferedWork, a.Capacity, b.OfferedWork, b.Capacity)
		if b.OfferedWork > 1.3*a.OfferedWork {
			t.Errorf("seed %d: retries count as demand: %.2f against %.2f core s/s", seed, b.OfferedWork, a.OfferedWork)
		}
	}
}

// The loop stood still for two seconds: what it finds then says nothing of the databases.
func TestLevelsWhenTheProxyStoodStill(t *testing.T) {
	for seed := range uint64(5) {
		r := play(t, seed, steady(0.8), 40*time.Second, func(c *virtual.Config, _ *levels.Config) {
			c.Still = []virtual.Still{{At: 15 * time.Second, For: 2 * time.Second}, {At: 25 * time.Second, For: 2 * time.Second}}
		})
		if len(r.Changes) > 0 {
			t.Errorf("seed %d:%s", seed, story(r))
		}
	}
}

// A reload that renames the level in force, or takes it away, lands where no more is admitted than before.
func TestLevelsReloadInTheMiddle(t *testing.T) {
	for name, ladder := range map[string]func([]levels.Level) []levels.Level{
		"the same":  func(l []levels.Level) []levels.Level { return l },
		"renamed":   func(l []levels.Level) []levels.Level { l[4].Name, l[3].Name = "essential", "thin"; return l },
		"shortened": func(l []levels.Level) []levels.Level { return []levels.Level{l[0], l[4]} },
		"only one":  func(l []levels.Level) []levels.Level { return l[:1] },
	} {
		var before, after state.GroupLevel
		r := play(t, 1, steady(1.8), 40*time.Second, func(c *virtual.Config, l *levels.Config) {
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
		if renamed := before.Name != after.Name; renamed != strings.Contains(story(r), "gone from the operator's file") {
			t.Errorf("%s:%s", name, story(r))
		}
		if r.Most > 6 {
			t.Errorf("%s:%s", name, story(r))
		}
	}
}

func TestLevelsArePinnedAndCapped(t *testing.T) {
	r := play(t, 1, steady(0.5), 10*time.Second, func(_ *virtual.Config, l *levels.Config) {
		l.Pin = map[logic.GroupID]string{levels.AllGroups: "scarce"}
	})
	if r.InAim(1) > 0.1 || r.InAim(4) < 0.99 || r.Levels[0].Name != "scarce" {
		t.Errorf("pinned: %.2f of kendi-siparis, %.2f of kayit-yaz, level %s", r.InAim(1), r.InAim(4), r.Levels[0].Name)
	}
	r = play(t, 1, steady(2), 30*time.Second, func(_ *virtual.Config, l *levels.Config) {
		l.Cap = map[logic.GroupID]string{0: "lean"}
	})
	if r.Levels[0].Name != "lean" {
		t.Errorf("capped: level %s", r.Levels[0].Name)
	}
}

// One crowded group costs another nothing.
func TestLevelsAreOfEachGroup(t *testing.T) {
	c := virtual.Yard(1)
	c.Fleet.Groups = 2
	l := shipped(c)
	l.Pin = map[logic.GroupID]string{1: "core"}
	c.Levels, c.For = &l, 15*time.Second
	c.Rate = func(time.Duration) float64 { return 0.6 * c.Capacity() }
	r := virtual.Play(c)
	if r.Levels[0].Name != "normal" || r.Levels[1].Name != "core" {
		t.Errorf("%s and %s", r.Levels[0].Name, r.Levels[1].Name)
	}
	if in := r.InAim(2); in < 0.4 || in > 0.6 {
		t.Errorf("katalog: %.2f in aim, half was expected", in)
	}
}

// Where there is no need, levels cost nothing; where there is, what counts most is served more and the worth is no less.
func TestLevelsAgainstNone(t *testing.T) {
	for _, demand := range []float64{0.7, 0.9, 1.1, 1.3, 1.6, 2} {
		var worth, writes, fresh [2]float64
		const seeds = 6
		for seed := range uint64(seeds) {
			for on := range 2 {
				r := play(t, seed, steady(demand), time.Minute, func(_ *virtual.Config, l *levels.Config) {
					if on == 0 {
						l.Cap = map[logic.GroupID]string{levels.AllGroups: "normal"}
					}
				})
				worth[on] += r.Worth / seeds
				writes[on] += r.InAim(4) / seeds
				fresh[on] += r.InAim(3) / seeds
			}
		}
		t.Logf("demand %.1f: worth %.3f without and %.3f with, kayit-yaz %.3f and %.3f, yukleme-kontrol %.3f and %.3f", demand, worth[0], worth[1], writes[0], writes[1], fresh[0], fresh[1])
		if worth[1] < worth[0]-0.004 || writes[1] < writes[0]-0.004 {
			t.Errorf("demand %.1f: levels do harm", demand)
		}
	}
}

func BenchmarkTick(b *testing.B) {
	c := shipped(virtual.Yard(1))
	k := levels.NewController(&c, 0, 0)
	f := &logic.GroupStats{ReadyMembers: 3, UsableMembers: 3, WarmCapacity: 3, HasPrimary: true, LatencyRatio: 0.6, Classes: make([]logic.ClassCounts, 5)}
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
