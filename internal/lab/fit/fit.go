// Package fit makes a scenario of a trace: how much is asked when, of which classes, by how many sessions, and in which bursts.
// It says how well the scenario's own traffic agrees with the trace's, by distances between distributions, and what it can't
// hold.
package fit

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"havenproxy/internal/lab/arrivals"
	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/scenario"
	"havenproxy/internal/trace"
)

// Options say what to make of a trace.
type Options struct {
	Speed  float64 // how much faster than it was; 1
	Groups int     // of the scenario's fleet; 0 = as many as the trace has
	Seed   uint64  // of the traffic that is held against the trace
}

const (
	mostSteps = 60  // of the course of the rate
	leastStep = 150 // requests that a step should hold, so that its rate is known within a tenth or so

	// Counts in tenths of a second vary as a Poisson process's do, and no more, if their index of dispersion is about 1.
	tenth   = 100 * time.Millisecond
	bursty  = 1.5
	round30 = 150 // tenths of a second to either side of a time
)

// Class is a class's part.
type Class struct {
	Name  string
	Share float64
	Wait  time.Duration // the median of how long clients wait
	Write bool
	Known bool // the lab has a class of that name, and so its aim, its worth and its work
}

// Step is a stretch with one rate.
type Step struct {
	At   time.Duration
	Rate float64 // requests a second
}

// Distance is between two distributions: of the trace's, and of the scenario's own traffic.
type Distance struct {
	Of string
	// KS is Kolmogorov and Smirnov's: the largest difference of the distribution functions. By chance alone it is below Chance in
	// 95 of 100 cases.
	KS, Chance float64
	// Wasserstein is the mean shift that turns one into the other, as a part of the trace's mean.
	Wasserstein float64
}

// Fit is what a trace looks like.
type Fit struct {
	Trace    *trace.Trace
	Options  Options
	Length   time.Duration
	Rate     float64 // of all clients: what the sample leaves out is made up for
	Classes  []Class
	Groups   int
	Uneven   float64 // the busiest group's part against an even one
	Sessions int     // of a group, all of them
	Hot      float64 // part of a group's requests that its busiest session sends, beyond an even part
	Retries  float64 // part of the requests that are marked so
	Steps    []Step

	// Dispersion is that of the counts in tenths of a second, round the rate of their half minute: 1 for a Poisson process.
	Dispersion float64
	// Bursts, if Dispersion is above bursty: how long quiet and heavy times last, and how much heavier these are.
	Apart, Burst time.Duration
	Times        float64

	Distances []Distance
}

// Of fits a trace.
func Of(t *trace.Trace, o Options) (*Fit, error) {
	if o.Speed == 0 {
		o.Speed = 1
	}
	if len(t.Records) < 2*leastStep {
		return nil, fmt.Errorf("the trace holds %d requests, %d at least are needed", len(t.Records), 2*leastStep)
	}
	f := &Fit{Trace: t, Options: o}
	f.Length = time.Duration(float64(t.Records[len(t.Records)-1].At-t.Records[0].At)/o.Speed) + 1
	if f.Length < time.Second {
		return nil, errors.New("the trace lasts for less than a second")
	}
	f.mix()
	f.course()
	f.bursts()
	return f, f.compare()
}

// at gives when a record comes in the scenario.
func (f *Fit) at(r *trace.Record) time.Duration {
	return time.Duration(float64(r.At-f.Trace.Records[0].At) / f.Options.Speed)
}

// sample is the part of the requests that the trace holds.
func (f *Fit) sample() float64 {
	if s := f.Trace.Sample; s > 0 {
		return s
	}
	return 1
}

func (f *Fit) mix() {
	counts, waits, writes := make([]int, len(f.Trace.Classes)), make([][]float64, len(f.Trace.Classes)), make([]bool, len(f.Trace.Classes))
	groups := map[int]int{}
	type name struct {
		group   int
		session uint64
	}
	sessions := map[name]int{}
	retries := 0
	for i := range f.Trace.Records {
		r := &f.Trace.Records[i]
		counts[r.Class]++
		writes[r.Class] = writes[r.Class] || r.Write
		waits[r.Class] = append(waits[r.Class], r.Wait.Seconds())
		groups[r.Group]++
		sessions[name{r.Group, r.Session}]++
		if r.Retry {
			retries++
		}
	}
	n := len(f.Trace.Records)
	f.Rate = float64(n) / f.Length.Seconds() / f.sample()
	f.Retries = float64(retries) / float64(n)
	for i, c := range f.Trace.Classes {
		if counts[i] > 0 {
			slices.Sort(waits[i])
			f.Classes = append(f.Classes, Class{Name: c, Share: float64(counts[i]) / float64(n), Write: writes[i],
				Wait:  max(time.Duration(stat.Quantile(0.5, stat.Empirical, waits[i], nil)*1e9), 10*time.Millisecond),
				Known: slices.ContainsFunc(launch.Classes(), func(k fleet.Class) bool { return k.Name == c })})
		}
	}
	f.Groups = len(groups)
	busiest := 0
	for _, n := range groups {
		busiest = max(busiest, n)
	}
	f.Uneven = float64(busiest) * float64(len(groups)) / float64(n)
	if f.Options.Groups > 0 {
		f.Groups = f.Options.Groups
	}
	f.Sessions = max(int(float64(len(sessions))/f.sample())/f.Groups, 1)
	most := map[int]int{}
	for s, n := range sessions {
		most[s.group] = max(most[s.group], n)
	}
	// A session that sends many times an even part is one that others queue behind; a sample of sessions may miss it.
	hot, even := 0, float64(n)/float64(len(sessions))
	for _, m := range most {
		if float64(m) > 5*even && m >= 20 {
			hot += m
		}
	}
	f.Hot = float64(hot) / float64(n)
}

// course cuts the time into steps of the same length and counts.
func (f *Fit) course() {
	steps := min(max(len(f.Trace.Records)/leastStep, 1), mostSteps)
	long := f.Length / time.Duration(steps)
	counts := make([]int, steps)
	for i := range f.Trace.Records {
		counts[min(int(f.at(&f.Trace.Records[i])/long), steps-1)]++
	}
	for i, n := range counts {
		f.Steps = append(f.Steps, Step{time.Duration(i) * long, float64(n) / long.Seconds() / f.sample()})
	}
}

// bursts looks at counts in tenths of a second, against the rate round them. Where they vary by more than chance, heavy times
// are those in which the mean of three is above the middle between the quiet and the heavy counts.
func (f *Fit) bursts() {
	n := int(f.Length / tenth)
	if n < 20 {
		f.Dispersion = 1
		return
	}
	counts := make([]float64, n+1)
	for i := range f.Trace.Records {
		counts[f.at(&f.Trace.Records[i])/tenth]++
	}
	counts = counts[:n]
	// The rate round a time is the mean of the half minute round it: a burst is short against that, the day's course long.
	upTo := make([]float64, n+1)
	for i, x := range counts {
		upTo[i+1] = upTo[i] + x
	}
	excess, expected := 0.0, 0.0
	relative := make([]float64, n)
	for i, x := range counts {
		from, to := max(i-round30, 0), min(i+round30+1, n)
		e := (upTo[to] - upTo[from]) / float64(to-from)
		if e <= 0 {
			continue
		}
		excess, expected = excess+(x-e)*(x-e), expected+e
		relative[i] = x / e
	}
	if f.Dispersion = excess / max(expected, 1e-9); f.Dispersion < bursty {
		return
	}
	smooth := make([]float64, n)
	for i := range smooth {
		from, to := max(i-1, 0), min(i+2, n)
		smooth[i] = stat.Mean(relative[from:to], nil)
	}
	sorted := slices.Clone(smooth)
	slices.Sort(sorted)
	middle := (stat.Quantile(0.25, stat.Empirical, sorted, nil) + stat.Quantile(0.98, stat.Empirical, sorted, nil)) / 2
	turns, heavy := 0, 0
	high, low := 0.0, 0.0
	for i, x := range smooth {
		if x > middle {
			heavy++
			high += relative[i]
			if i == 0 || smooth[i-1] <= middle {
				turns++
			}
		} else {
			low += relative[i]
		}
	}
	if turns == 0 || heavy == n || low <= 0 {
		return
	}
	f.Burst = time.Duration(heavy) * tenth / time.Duration(turns)
	f.Apart = time.Duration(n-heavy) * tenth / time.Duration(turns)
	f.Times = max(high/float64(heavy)/(low/float64(n-heavy)), 1)
}

// Scenario writes the scenario's file.
func (f *Fit) Scenario(out io.Writer, name string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Made from the trace %s: %d requests in %v", name, len(f.Trace.Records), f.Length.Round(time.Millisecond))
	if f.sample() < 1 {
		fmt.Fprintf(&b, ", a sample of %.3g of the sessions", f.sample())
	}
	if f.Options.Speed != 1 {
		fmt.Fprintf(&b, ", %g times as fast", f.Options.Speed)
	}
	fmt.Fprintln(&b, ".\n# How well it fits (docs/operators/experiments.md tells how to read it):")
	for _, d := range f.Distances {
		fmt.Fprintf(&b, "#   %-28s KS %.3f (by chance up to %.3f), mean shift %.1f %% of the mean\n", d.Of, d.KS, d.Chance, 100*d.Wasserstein)
	}
	for _, w := range f.Warnings() {
		fmt.Fprintf(&b, "# Beware: %s.\n", w)
	}
	fmt.Fprintf(&b, "fleet(groups = %d, members = 3)\n", f.Groups)
	// bursts() has a mean of 1 and takes the place of the course where there is little of one: a shape is either.
	shape := "steady()"
	switch {
	case f.Times > 1:
		shape = fmt.Sprintf("bursts(apart = %q, length = %q, times = %.2f)", round(f.Apart), round(f.Burst), f.Times)
	case len(f.Steps) > 1:
		parts := make([]string, len(f.Steps))
		for i, s := range f.Steps {
			parts[i] = fmt.Sprintf("%q: %.3f", s.At.Round(time.Millisecond), s.Rate/f.Rate)
		}
		shape = "steps(at = {" + strings.Join(parts, ", ") + "})"
	}
	fmt.Fprintf(&b, "traffic(rps = %.4g, length = %q, sessions = %d, hot_session = %.3f,\n    shape = %s)\n", f.Rate, f.Length.Round(time.Millisecond), f.Sessions, f.Hot, shape)
	for _, c := range f.Classes {
		if c.Known {
			fmt.Fprintf(&b, "request_class(%q, share = %.4f)\n", c.Name, c.Share)
			continue
		}
		reads := "any"
		if c.Write {
			reads = "write"
		}
		fmt.Fprintf(&b, "request_class(%q, share = %.4f, reads = %q, limit = %q, aim = %q)   # its freshness, work and worth are guesses\n",
			c.Name, c.Share, reads, round(c.Wait), round(c.Wait/2))
	}
	for _, k := range launch.Classes() {
		if !slices.ContainsFunc(f.Classes, func(c Class) bool { return c.Name == k.Name }) {
			fmt.Fprintf(&b, "request_class(%q, share = 0)\n", k.Name)
		}
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func round(d time.Duration) string { return d.Round(time.Millisecond).String() }

// Warnings name what the scenario can't hold, or the trace lacks.
func (f *Fit) Warnings() (out []string) {
	say := func(is bool, format string, a ...any) {
		if is {
			out = append(out, fmt.Sprintf(format, a...))
		}
	}
	t := f.Trace
	say(t.Truncated, "the trace was cut off: its end is missing")
	say(t.CorruptBlocks > 0, "%d blocks of the trace were damaged and are left out", t.CorruptBlocks)
	say(t.BackwardSteps > 0, "the clock ran back %d times; those requests stand at the latest time before them", t.BackwardSteps)
	var unknown []string
	for _, c := range f.Classes {
		if !c.Known {
			unknown = append(unknown, c.Name)
		}
	}
	say(len(unknown) > 0, "what %s need of freshness and work is not known", strings.Join(unknown, ", "))
	say(f.Uneven > 1.3, "the busiest group has %.1f times an even part, the scenario's groups are even", f.Uneven)
	say(f.Retries > 0.02, "%.0f %% are repeats by clients, which the scenario's clients make by themselves: the rate may be too high by as much", 100*f.Retries)
	say(f.sample() < 0.2, "bursts are blurred in a sample of %.3g", f.sample())
	for _, d := range f.Distances {
		say(d.KS > 3*d.Chance && d.KS > 0.05, "%s differ: KS %.3f where chance gives %.3f", d.Of, d.KS, d.Chance)
	}
	return out
}

// compare lets the scenario make its own traffic and measures how far it is from the trace's.
func (f *Fit) compare() error {
	var text strings.Builder
	if err := f.Scenario(&text, "x"); err != nil {
		return err
	}
	s, err := scenario.Parse("fit", []byte(text.String()))
	if err != nil {
		return fmt.Errorf("its scenario can't be read: %w", err)
	}
	shares := make([]float64, len(s.Classes))
	for i, c := range s.Classes {
		shares[i] = 0
		for _, own := range f.Classes {
			if own.Name == c.Name {
				shares[i] = own.Share
			}
		}
	}
	// The trace holds a sample, so the traffic that is held against it is thinned as well.
	source := arrivals.New(arrivals.Config{Seed: f.Options.Seed + 1, Rate: func(t time.Duration) float64 { return s.Rate(t) * f.sample() }, For: s.Length, Shares: shares,
		Groups: f.Groups, Sessions: max(int(float64(f.Sessions)*f.sample()), 1), HotSession: s.HotSession})
	var own, theirs traffic
	for r, more := source.Next(); more; r, more = source.Next() {
		own.add(r.At, uint64(r.Group)<<32|uint64(r.Session))
	}
	for i := range f.Trace.Records {
		r := &f.Trace.Records[i]
		theirs.add(f.at(r), uint64(r.Group)<<48^r.Session)
	}
	own.finish(f.Length)
	theirs.finish(f.Length)
	for _, x := range []struct {
		of   string
		a, b []float64
	}{{"gaps between requests", theirs.gaps, own.gaps}, {"requests in a second", theirs.seconds, own.seconds},
		{"requests in a tenth of one", theirs.tenths, own.tenths}, {"time until a session returns", theirs.returns, own.returns}} {
		if len(x.a) >= 10 && len(x.b) >= 10 {
			f.Distances = append(f.Distances, distance(x.of, x.a, x.b))
		}
	}
	return nil
}

// traffic gathers what is held against the other.
type traffic struct {
	last                           time.Duration
	n                              int
	seen                           map[uint64]time.Duration
	gaps, returns, seconds, tenths []float64
	count                          map[time.Duration]float64
}

func (t *traffic) add(at time.Duration, session uint64) {
	if t.seen == nil {
		t.seen, t.count = map[uint64]time.Duration{}, map[time.Duration]float64{}
	}
	if t.n++; t.n > 1 {
		t.gaps = append(t.gaps, (at - t.last).Seconds())
	}
	t.last = at
	if before, ok := t.seen[session]; ok {
		t.returns = append(t.returns, (at - before).Seconds())
	}
	t.seen[session] = at
	t.count[at/tenth]++
}

func (t *traffic) finish(length time.Duration) {
	n := int(length / tenth)
	t.tenths, t.seconds = make([]float64, n), make([]float64, n/10)
	for i := range n {
		x := t.count[time.Duration(i)]
		t.tenths[i] = x
		if i/10 < len(t.seconds) {
			t.seconds[i/10] += x
		}
	}
	for _, list := range [][]float64{t.gaps, t.returns, t.seconds, t.tenths} {
		slices.Sort(list)
	}
}

// distance of values in order.
func distance(of string, a, b []float64) Distance {
	n, m := float64(len(a)), float64(len(b))
	d := Distance{Of: of, KS: stat.KolmogorovSmirnov(a, nil, b, nil), Chance: 1.36 * math.Sqrt((n+m)/(n*m))}
	// In one dimension the Wasserstein distance is the mean difference of the quantiles.
	const points = 1000
	sum := 0.0
	for i := range points {
		p := (float64(i) + 0.5) / points
		sum += math.Abs(stat.Quantile(p, stat.Empirical, a, nil) - stat.Quantile(p, stat.Empirical, b, nil))
	}
	d.Wasserstein = sum / points / cmp.Or(math.Abs(stat.Mean(a, nil)), 1)
	return d
}
