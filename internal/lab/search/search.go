// Package search looks for the worst day: the faults, with their times and sizes, under which a deployment does worst. It is an
// evolution strategy (H.-G. Beyer and H.-P. Schwefel, "Evolution strategies: a comprehensive introduction", 2002): the worst days
// so far have children that differ from them a little, or mix two of them, and now and then one is drawn anew, so that the
// search doesn't stay in one corner. Days cost the same budget: so many faults, none longer than allowed. What it finds is bad, not
// proven to be the worst.
package search

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"havenproxy/internal/lab/fleet"
)

// Space is what a day may hold.
type Space struct {
	Faults  int // a day
	Kinds   []fleet.Kind
	Groups  int
	Members int
	Length  time.Duration // of the day; faults begin within its middle four fifths
	Longest time.Duration // of a fault
}

// Fault is one of a day's.
type Fault struct {
	At time.Duration
	fleet.Fault
}

// Day is a set of faults, in their order.
type Day struct {
	Faults []Fault
	Score  float64 // the less, the worse
}

// Config says how to search.
type Config struct {
	Space
	Seed    uint64
	Tries   int // days that are played
	Parents int // 8
	Workers int // days that are played at once
	// Play gives a day's score. It is called from several goroutines.
	Play func(day []Fault) float64
	// Found, if any, is told of each day that is worse than all before.
	Found func(tries int, d Day)
}

// Run searches. The same seed and the same number of workers give the same day.
func Run(cfg Config) Day {
	if cfg.Parents == 0 {
		cfg.Parents = 8
	}
	s := &searcher{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x5ea2c4))}
	var best []Day
	for tries := 0; tries < cfg.Tries; {
		n := min(max(cfg.Workers, 1)*2, cfg.Tries-tries)
		children := make([]Day, n)
		for i := range children {
			children[i].Faults = s.child(best, float64(tries)/float64(cfg.Tries))
		}
		var all sync.WaitGroup
		free := make(chan struct{}, max(cfg.Workers, 1))
		for i := range children {
			free <- struct{}{}
			all.Go(func() {
				children[i].Score = cfg.Play(children[i].Faults)
				<-free
			})
		}
		all.Wait()
		before := len(best) == 0
		worst := 0.0
		if !before {
			worst = best[0].Score
		}
		best = append(best, children...)
		slices.SortStableFunc(best, func(a, b Day) int { return cmp.Compare(a.Score, b.Score) })
		best = best[:min(len(best), cfg.Parents)]
		tries += n
		if (before || best[0].Score < worst) && cfg.Found != nil {
			cfg.Found(tries, best[0])
		}
	}
	return best[0]
}

type searcher struct {
	cfg Config
	rng *rand.Rand
}

// child draws a day: anew at first and now and then later, else from one of the worst, or two.
func (s *searcher) child(best []Day, progress float64) []Fault {
	if len(best) < s.cfg.Parents || s.rng.Float64() < 0.1 {
		out := make([]Fault, s.cfg.Faults)
		for i := range out {
			out[i] = s.draw()
		}
		return s.ordered(out)
	}
	// The worse of two parents drawn, as tournaments go.
	a := best[min(s.rng.IntN(len(best)), s.rng.IntN(len(best)))]
	out := slices.Clone(a.Faults)
	if s.rng.Float64() < 0.3 {
		b := best[s.rng.IntN(len(best))]
		for i := range out {
			if s.rng.IntN(2) == 0 {
				out[i] = b.Faults[i]
			}
		}
	}
	step := 0.3 * (1 - 0.8*progress) // of a range: large at first
	for changed := false; !changed; {
		for i := range out {
			if s.rng.IntN(len(out)) == 0 {
				s.change(&out[i], step)
				changed = true
			}
		}
	}
	return s.ordered(out)
}

func (s *searcher) ordered(f []Fault) []Fault {
	slices.SortStableFunc(f, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return f
}

func (s *searcher) between(from, to time.Duration) time.Duration {
	// Whole tenths of a second: the file that tells of them is for people.
	const grain = 100 * time.Millisecond
	return (from + time.Duration(s.rng.Float64()*float64(to-from))).Round(grain)
}

func (s *searcher) draw() Fault {
	f := Fault{At: s.between(s.cfg.Length/10, s.cfg.Length*9/10)}
	f.Kind = s.cfg.Kinds[s.rng.IntN(len(s.cfg.Kinds))]
	f.Group = s.rng.IntN(s.cfg.Groups)
	s.who(&f)
	f.For = max(s.between(0, s.cfg.Longest), 100*time.Millisecond)
	f.Factor = 1 + float64(s.rng.IntN(19))/2
	f.Share = float64(1+s.rng.IntN(10)) / 10
	f.Delay = max(s.between(0, 5*time.Second), 100*time.Millisecond)
	return f
}

// who draws the member: the primary in half of the cases.
func (s *searcher) who(f *Fault) {
	if f.Member = fleet.Primary; s.rng.IntN(2) == 0 {
		f.Member = s.rng.IntN(s.cfg.Members)
	}
}

// change moves one property of a fault.
func (s *searcher) change(f *Fault, step float64) {
	move := func(d, from, to time.Duration) time.Duration {
		d += time.Duration(s.rng.NormFloat64() * step * float64(to-from))
		return min(max(d, from), to).Round(100 * time.Millisecond)
	}
	switch s.rng.IntN(6) {
	case 0:
		f.Kind = s.cfg.Kinds[s.rng.IntN(len(s.cfg.Kinds))]
	case 1:
		f.Group = s.rng.IntN(s.cfg.Groups)
	case 2:
		s.who(f)
	case 3:
		f.For = max(move(f.For, 100*time.Millisecond, s.cfg.Longest), 100*time.Millisecond)
	case 4:
		f.Factor = min(max(f.Factor+float64(s.rng.IntN(7)-3), 1), 10)
	default:
		f.At = move(f.At, s.cfg.Length/10, s.cfg.Length*9/10)
	}
}

// Text writes a day as calls of a scenario's file.
func (d *Day) Text() string {
	var b strings.Builder
	for _, f := range d.Faults {
		fmt.Fprintf(&b, "fault(%q, at = %q", f.Kind, f.At)
		if f.Kind != fleet.StaleList && f.Kind != fleet.NoList {
			fmt.Fprintf(&b, ", group = %d", f.Group)
			if f.Member != fleet.Primary {
				fmt.Fprintf(&b, ", member = %d", f.Member)
			}
		}
		fmt.Fprintf(&b, ", lasts = %q", f.For)
		switch f.Kind {
		case fleet.Slow:
			fmt.Fprintf(&b, ", factor = %g", f.Factor)
		case fleet.Errors:
			fmt.Fprintf(&b, ", share = %g", f.Share)
		case fleet.Lag:
			fmt.Fprintf(&b, ", delay = %q", f.Delay)
		}
		b.WriteString(")\n")
	}
	return b.String()
}
