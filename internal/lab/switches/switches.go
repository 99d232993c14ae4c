// Package switches plays many changes of primary, planned and not, and looks at what became of every write: on the virtual
// clock by the thousand, or against the real program.
package switches

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"havenproxy/internal/handover"
	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/history"
	"havenproxy/internal/lab/virtual"
	"havenproxy/logic"
)

// Plan says what is played.
type Plan struct {
	Seed    uint64
	Count   int // switches at least
	Groups  int // 4
	Members int // 3
	Proxies int // 1
	Rate    float64
	Hold    handover.Config
	Writes  time.Duration // how long clients wait for a write; longer than the window in which a repeat is dropped, its guard is put to use
	Kinds   []Kind        // of trouble; all where empty
	Retries int           // of what was refused
}

// Kind is a kind of trouble for a primary.
type Kind string

// The kinds.
const (
	Drain      Kind = "drain"
	Crash      Kind = "crash"
	ShortHang  Kind = "short hang"  // it ends before another is elected
	LongHang   Kind = "long hang"   // it ends after that
	DrainCrash Kind = "drain+crash" // it dies while it hands over
	DrainTwice Kind = "drain twice" // the newly elected drains as well
	HangCrash  Kind = "hang+crash"
)

// Kinds are all of them.
var Kinds = []Kind{Drain, Crash, ShortHang, LongHang, DrainCrash, DrainTwice, HangCrash}

// faults gives a kind's faults from a time on.
func faults(k Kind, g int, at time.Duration) []virtual.Fault {
	f := func(kind fleet.Kind, after, long time.Duration) virtual.Fault {
		return virtual.Fault{At: at + after, Fault: fleet.Fault{Kind: kind, Group: g, Member: fleet.Primary, For: long}}
	}
	const ms, s = time.Millisecond, time.Second
	switch k {
	case Drain:
		return []virtual.Fault{f(fleet.Drain, 0, 3*s)}
	case Crash:
		return []virtual.Fault{f(fleet.Crash, 0, 4*s)}
	case ShortHang:
		return []virtual.Fault{f(fleet.Hang, 0, 900*ms)}
	case LongHang:
		return []virtual.Fault{f(fleet.Hang, 0, 8*s)}
	case DrainCrash:
		return []virtual.Fault{f(fleet.Drain, 0, 3*s), f(fleet.Crash, 300*ms, 4*s)}
	case DrainTwice:
		return []virtual.Fault{f(fleet.Drain, 0, 2*s), f(fleet.Drain, s, 3*s)}
	}
	return []virtual.Fault{f(fleet.Hang, 0, 8*s), f(fleet.Crash, 600*ms, 4*s)}
}

// chapter is how long one run lasts; troubles of a group follow each other by gap, and as much again drawn evenly.
const (
	chapter = 5 * time.Minute
	gap     = 12 * time.Second
)

// Config makes a run's description.
func (p *Plan) Config(seed uint64) virtual.Config {
	cfg := virtual.Yard(seed)
	cfg.Fleet.Groups, cfg.Fleet.Members, cfg.Fleet.Audit = p.Groups, p.Members, true
	cfg.Fleet.Classes = slices.Clone(cfg.Fleet.Classes)
	for i := range cfg.Fleet.Classes {
		if c := &cfg.Fleet.Classes[i]; c.Read == logic.Write && p.Writes > 0 {
			c.Limit = p.Writes
		}
	}
	cfg.For, cfg.Record, cfg.Proxies, cfg.Handover = chapter, true, p.Proxies, p.Hold
	cfg.Retries, cfg.Honour, cfg.RetryWait = p.Retries, true, 50*time.Millisecond
	cfg.Rate = func(time.Duration) float64 { return p.Rate }
	cfg.Faults = p.Troubles(seed, chapter)
	return cfg
}

// Troubles draws the troubles of a run, one behind the other in each group, with time to get over each.
func (p *Plan) Troubles(seed uint64, length time.Duration) (out []virtual.Fault) {
	kinds := p.Kinds
	if len(kinds) == 0 {
		kinds = Kinds
	}
	rng := rand.New(rand.NewPCG(seed, 0x5717c4))
	for g := range p.Groups {
		for at := 5*time.Second + time.Duration(rng.Int64N(int64(gap))); at < length-gap; at += gap + time.Duration(rng.Int64N(int64(gap))) {
			out = append(out, faults(kinds[rng.IntN(len(kinds))], g, at)...)
		}
	}
	slices.SortStableFunc(out, func(a, b virtual.Fault) int { return cmp.Compare(a.At, b.At) })
	return out
}

// Report is what came of it.
type Report struct {
	Runs, Switches int
	Ends           map[history.End]int // of tries to write
	Keys           int
	Violations     []history.Violation
	Worth          []float64                      // of each run
	InAim          []float64                      // part of the writes, of each run
	First          []float64                      // seconds from an election to the first write served by the new primary, in order
	Push           []float64                      // work sent to a new primary in its first 2 s against what it could do, in order
	Fell           int                            // databases pushed over while cold
	Silent         int                            // requests without an answer
	Classes        map[string]virtual.ClassResult // by class
}

// Virtual plays as many runs as it takes, side by side; the same plan gives the same report.
func Virtual(p Plan) *Report {
	if p.Groups == 0 {
		p.Groups = 4
	}
	if p.Members == 0 {
		p.Members = 3
	}
	if p.Rate == 0 {
		p.Rate = 20 * float64(p.Groups)
	}
	p.Hold.MostTime = max(p.Hold.MostTime, p.Writes)
	out := &Report{Ends: map[history.End]int{}, Classes: map[string]virtual.ClassResult{}}
	workers := runtime.GOMAXPROCS(0)
	// A short hang is over before another is elected: what has no switches must not be played for ever.
	for next := uint64(0); out.Switches < p.Count && out.Runs < max(p.Count/10, 4); next += uint64(workers) {
		parts := make([]*Report, workers)
		var all sync.WaitGroup
		for i := range parts {
			all.Add(1)
			go func() {
				defer all.Done()
				parts[i] = p.one(p.Seed + next + uint64(i))
			}()
		}
		all.Wait()
		for _, part := range parts {
			if out.Switches < p.Count { // in the order of seeds, however many ran at once
				out.add(part)
			}
		}
	}
	slices.Sort(out.First)
	slices.Sort(out.Push)
	return out
}

func (p *Plan) one(seed uint64) *Report {
	cfg := p.Config(seed)
	r := virtual.Play(cfg)
	out := &Report{Runs: 1, Ends: map[history.End]int{}, Classes: map[string]virtual.ClassResult{}, Worth: []float64{r.Worth}, Fell: r.Fell}
	for i, c := range r.Classes {
		out.Silent += c.Silent
		name := cfg.Fleet.Classes[i].Name
		out.Classes[name] = c
		if cfg.Fleet.Classes[i].Read == logic.Write {
			out.InAim = append(out.InAim, r.InAim(i))
		}
	}
	for _, e := range r.Switches {
		out.Switches++
		if e.First > 0 {
			out.First = append(out.First, e.First.Seconds())
		}
		out.Push = append(out.Push, e.Push)
	}
	keys := map[string]bool{}
	for _, w := range r.Writes {
		out.Ends[w.End]++
		keys[w.Key] = true
	}
	out.Keys = len(keys)
	out.Violations = history.Check(r.Writes, r.Fleet.Applied)
	return out
}

func (r *Report) add(o *Report) {
	r.Runs += o.Runs
	r.Switches += o.Switches
	r.Keys += o.Keys
	r.Fell += o.Fell
	r.Silent += o.Silent
	for k, n := range o.Ends {
		r.Ends[k] += n
	}
	for k, n := range o.Classes {
		c := r.Classes[k]
		r.Classes[k] = virtual.ClassResult{Offered: c.Offered + n.Offered, InAim: c.InAim + n.InAim, Late: c.Late + n.Late, Refused: c.Refused + n.Refused,
			Failed: c.Failed + n.Failed, Silent: c.Silent + n.Silent, Tries: c.Tries + n.Tries}
	}
	r.Violations = append(r.Violations, o.Violations...)
	r.Worth, r.InAim = append(r.Worth, o.Worth...), append(r.InAim, o.InAim...)
	r.First, r.Push = append(r.First, o.First...), append(r.Push, o.Push...)
}

// Differences compares two reports of the same plan, run by run: what the second has more of.
func Differences(a, b *Report) string {
	line := func(name string, x, y []float64) string {
		var d []float64
		for i := range min(len(x), len(y)) {
			d = append(d, y[i]-x[i])
		}
		mean, dev := stat.MeanStdDev(d, nil)
		return fmt.Sprintf("%-14s %+.4f, standard error %.4f, least %+.4f, most %+.4f, %d pairs\n", name, mean, stat.StdErr(dev, float64(len(d))),
			slices.Min(d), slices.Max(d), len(d))
	}
	return line("worth", a.Worth, b.Worth) + line("writes in aim", a.InAim, b.InAim)
}

// quantile of values in order.
func quantile(x []float64, p float64) float64 {
	if len(x) == 0 {
		return 0
	}
	return stat.Quantile(p, stat.Empirical, x, nil)
}

// String gives a few lines.
func (r *Report) String() string {
	mean, dev := stat.MeanStdDev(r.Worth, nil)
	aim, aimDev := stat.MeanStdDev(r.InAim, nil)
	s := fmt.Sprintf("%d switches in %d runs; %d keys, tries: %d served, %d refused, %d failed, %d without answer\n", r.Switches, r.Runs, r.Keys,
		r.Ends[history.Served], r.Ends[history.Refused], r.Ends[history.Failed], r.Ends[history.Unanswered])
	s += fmt.Sprintf("worth %.4f (deviation of runs %.4f), writes in aim %.4f (%.4f)\n", mean, dev, aim, aimDev)
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		part := func(n int) float64 { return float64(n) / float64(max(c.Offered, 1)) }
		s += fmt.Sprintf("  %-16s %7d: in aim %.4f, late %.4f, refused %.4f, failed %.4f\n", name, c.Offered, part(c.InAim), part(c.Late),
			part(c.Refused), part(c.Failed))
	}
	s += fmt.Sprintf("from an election to the first write served: median %.0f ms, 95%% within %.0f ms\n", 1e3*quantile(r.First, 0.5), 1e3*quantile(r.First, 0.95))
	s += fmt.Sprintf("work sent to a new primary in 2 s, against what it can do: median %.2f, 95%% below %.2f, most %.2f; pushed over while cold: %d\n",
		quantile(r.Push, 0.5), quantile(r.Push, 0.95), quantile(r.Push, 1), r.Fell)
	s += fmt.Sprintf("violations: %d\n", len(r.Violations))
	for i, v := range r.Violations {
		if i == 5 {
			s += "  ...\n"
			break
		}
		s += "  " + v.String() + "\n"
	}
	return s
}
