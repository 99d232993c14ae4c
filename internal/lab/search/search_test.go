package search

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/scenario"
)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func space() Space {
	return Space{Faults: 2, Kinds: fleet.Kinds, Groups: 3, Members: 3, Length: time.Minute, Longest: 10 * time.Second}
}

// needle is worst where two crashes of primaries of group 1 come at 30 s and 34 s, for ten seconds each; nothing else leads there
// but nearness.
func needle(day []Fault) float64 {
	score := 0.0
	for i, at := range []float64{30, 34} {
		f := day[i]
		score += math.Abs(f.At.Seconds()-at) / 60
		score += math.Abs(f.For.Seconds()-10) / 10
		if f.Kind != fleet.Crash {
			score += 0.5
		}
		if f.Group != 1 {
			score += 0.5
		}
		if f.Member != fleet.Primary {
			score += 0.5
		}
	}
	return score
}

// The search comes near the worst day, much nearer than as many days drawn anew, and the same seed finds the same.
func TestItFindsANeedle(t *testing.T) {
	run := func(tries int) Day {
		return Run(Config{Space: space(), Seed: 4, Tries: tries, Workers: 4, Play: needle})
	}
	guided := run(1500)
	blind := math.Inf(1)
	s := &searcher{cfg: Config{Space: space(), Parents: 8}, rng: newRand(4)}
	for range 1500 {
		blind = min(blind, needle(s.child(nil, 0)))
	}
	t.Logf("guided %.3f, blind %.3f: %s", guided.Score, blind, guided.Text())
	if guided.Score > 0.25 || guided.Score > blind/2 {
		t.Errorf("guided %.3f, blind %.3f", guided.Score, blind)
	}
	if again := run(1500); again.Score != guided.Score || again.Text() != guided.Text() {
		t.Error("the same seed found another day")
	}
}

// What is found can be written, read, and is the same day.
func TestADayIsAScenario(t *testing.T) {
	s := &searcher{cfg: Config{Space: space(), Parents: 8}, rng: newRand(9)}
	for range 200 {
		d := Day{Faults: s.child(nil, 0)}
		sc, err := scenario.Parse("day", []byte("fleet(groups = 3, members = 3)\ntraffic(length = '60s')\n"+d.Text()))
		if err != nil {
			t.Fatalf("%v\n%s", err, d.Text())
		}
		for i, f := range d.Faults {
			got := sc.Faults[i]
			if got.At != f.At || got.Kind != f.Kind || got.For != f.For {
				t.Fatalf("%+v became %+v", f, got)
			}
			if f.Kind == fleet.Slow && got.Factor != f.Factor || f.Kind == fleet.Lag && got.Delay != f.Delay {
				t.Fatalf("%+v became %+v", f, got)
			}
			if f.Kind != fleet.StaleList && f.Kind != fleet.NoList && (got.Group != f.Group || got.Member != f.Member) {
				t.Fatalf("%+v became %+v", f, got)
			}
		}
	}
	if !strings.Contains((&Day{Faults: []Fault{{Fault: fleet.Fault{Kind: fleet.Slow, Member: 2, Factor: 3, For: time.Second}}}}).Text(), "member = 2") {
		t.Error("the member is left out")
	}
}
