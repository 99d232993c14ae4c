// Package verdict says whether one variant is better than another, from runs in pairs: the same seed, the same clients and
// the same fate of the databases under both, so that only the variants differ. It never names a winner inside the noise.
//
// Each comparison's differences are looked at a few times while runs come in. A look's p-value is the larger of two: that of
// Student's t, and that of the symmetric bootstrap-t (B. Efron and R. Tibshirani, "An Introduction to the Bootstrap", 1993,
// chapter 12; P. Hall, "On Symmetric Bootstrap Confidence Intervals", 1988), which holds where differences are skewed, as they
// are when one run in ten tips into a jam. Each look may spend its part of the error allowed in all (alpha spending: K. Lan and
// D. DeMets, "Discrete Sequential Boundaries for Clinical Trials", 1983; here in parts that add up, which needs no model of how the
// looks hang together, and that grow with the square of the pairs seen: K. Kim and D. DeMets, "Design and Analysis of Group
// Sequential Tests Based on the Type I Error Spending Rate Function", 1987. So the first looks, whose few pairs may miss what
// happens rarely, take much to convince), and within a look the comparisons share that by Holm's method (S. Holm, "A Simple
// Sequentially Rejective Multiple Test Procedure", 1979). So the chance that any comparison of a family is given a wrong winner,
// at any look, is at most Alpha.
package verdict

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Answer is what can be said of a comparison.
type Answer uint8

// The answers.
const (
	CannotTell Answer = iota
	Better            // the second variant is
	Worse
)

// String names an answer.
func (a Answer) String() string { return [...]string{"cannot tell", "better", "worse"}[a] }

// Rule is how runs become an answer. The zero value of a field takes the default that its comment names.
type Rule struct {
	Alpha     float64 // chance of any wrong winner, over all comparisons and looks; 0.05
	Looks     []int   // numbers of pairs at which it is looked, rising; 12, 20, 32, 50
	Power     float64 // with which a difference as large as the one seen is to be found, for the runs that are still needed; 0.8
	Resamples int     // of the bootstrap; 1,999
	Seed      uint64  // of the bootstrap
}

// leastPairs is the least number of pairs that the bootstrap-t makes sense of.
const leastPairs = 5

// WithDefaults fills in what is not set.
func (r Rule) WithDefaults() Rule {
	if r.Alpha == 0 {
		r.Alpha = 0.05
	}
	if len(r.Looks) == 0 {
		r.Looks = []int{12, 20, 32, 50}
	}
	if r.Power == 0 {
		r.Power = 0.8
	}
	if r.Resamples == 0 {
		r.Resamples = 1999
	}
	return r
}

// Check tells what makes no sense, after WithDefaults.
func (r *Rule) Check() error {
	switch {
	case r.Alpha <= 0 || r.Alpha >= 0.5:
		return fmt.Errorf("alpha is %v, above 0 and below 0.5 was expected", r.Alpha)
	case r.Power <= 0 || r.Power >= 1:
		return fmt.Errorf("power is %v, above 0 and below 1 was expected", r.Power)
	case r.Looks[0] < leastPairs:
		return fmt.Errorf("the first look is at %d pairs, at least %d were expected", r.Looks[0], leastPairs)
	}
	for i := range r.Looks[1:] {
		if r.Looks[i+1] <= r.Looks[i] {
			return fmt.Errorf("looks at %v pairs: each must be above the one before", r.Looks)
		}
	}
	return nil
}

// Budget is the number of pairs after which nothing more is looked at.
func (r *Rule) Budget() int { return r.Looks[len(r.Looks)-1] }

// Comparison is one question about two variants, with what is known of it.
type Comparison struct {
	Name   string  // of the question and the variants
	Less   bool    // less of it is better
	Least  float64 // differences smaller than this don't matter: an interval inside them ends the runs; 0 = all matter
	Diffs  []float64
	Answer Answer
	At     int  // pairs at which the answer was found
	Small  bool // the difference is smaller than Least, as far as the interval tells

	// As of the last look.
	Mean, SD  float64
	Low, High float64 // the interval: at the confidence that the look and the number of comparisons leave
	P         float64 // of this comparison alone
	Adjusted  float64 // among all of the family
	More      int     // pairs that are still needed for an answer, if the difference is what it seems; 0 = an answer is there, -1 = no telling
}

// Family is comparisons that are looked at together.
type Family struct {
	Rule        Rule
	Comparisons []*Comparison
	looked      int
}

// NextLook gives the number of pairs for the next look; false = it is over: all is answered, or the budget is spent.
func (f *Family) NextLook() (pairs int, more bool) {
	open := slices.ContainsFunc(f.Comparisons, func(c *Comparison) bool { return c.Answer == CannotTell && !c.Small })
	if !open || f.looked >= len(f.Rule.Looks) {
		return 0, false
	}
	return f.Rule.Looks[f.looked], true
}

// share is the part of the error allowed in all that the next look may spend.
func (f *Family) share() float64 {
	spent := func(n int) float64 { return math.Pow(float64(n)/float64(f.Rule.Budget()), 2) }
	before := 0.0
	if f.looked > 0 {
		before = spent(f.Rule.Looks[f.looked-1])
	}
	return f.Rule.Alpha * (spent(f.Rule.Looks[f.looked]) - before)
}

// Look takes all differences so far into account. A winner that was found at an earlier look stays one.
func (f *Family) Look() {
	share := f.share()
	// So many resamples that the smallest p-value they can give is well below what a member of the family is held against.
	rule := f.Rule
	rule.Resamples = max(rule.Resamples, int(4*float64(len(f.Comparisons))/share))
	rng := rand.New(rand.NewPCG(f.Rule.Seed, uint64(f.looked)))
	for _, c := range f.Comparisons {
		c.look(&rule, share/float64(len(f.Comparisons)), rng)
	}
	// Holm: the smallest p-value is held against the whole family, the next against one fewer, and so on.
	order := slices.Clone(f.Comparisons)
	slices.SortStableFunc(order, func(a, b *Comparison) int {
		switch {
		case a.P < b.P:
			return -1
		case a.P > b.P:
			return 1
		}
		return 0
	})
	worst := 0.0
	for i, c := range order {
		worst = max(worst, min(1, c.P*float64(len(order)-i)))
		c.Adjusted = worst
		// The interval has to agree: it holds for all of the family at once, and a winner that it doesn't show is none.
		if c.Adjusted <= share && c.Answer == CannotTell && (c.Low > 0 || c.High < 0) {
			c.At = len(c.Diffs)
			if c.Answer = Worse; c.Mean > 0 != c.Less {
				c.Answer = Better
			}
		}
		if c.Answer != CannotTell {
			c.More = 0
		}
	}
	f.looked++
}

// look estimates one comparison; level is the error that its interval may have.
func (c *Comparison) look(r *Rule, level float64, rng *rand.Rand) {
	n := len(c.Diffs)
	c.Mean, c.SD = stat.MeanStdDev(c.Diffs, nil)
	if n < 2 {
		c.SD, c.P, c.Low, c.High, c.More = 0, 1, math.Inf(-1), math.Inf(1), -1
		return
	}
	if c.SD <= 1e-12*math.Abs(c.Mean) { // no noise at all: runs say the same each time. A coin would agree so with this chance
		c.P, c.Low, c.High, c.More = math.Exp2(float64(1-n)), c.Mean, c.Mean, -1
		if c.Mean == 0 {
			c.P = 1
		}
		c.Small = c.Least > 0 && math.Abs(c.Mean) < c.Least
		return
	}
	se := stat.StdErr(c.SD, float64(n))
	t := math.Abs(c.Mean) / se
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}
	resampled := bootstrapT(c.Diffs, c.Mean, r.Resamples, rng)
	beyond := len(resampled) - firstAtLeast(resampled, t)
	c.P = max(2*student.Survival(t), float64(1+beyond)/float64(1+len(resampled)))
	width := student.Quantile(1 - level/2)
	// The bootstrap can't tell quantiles beyond its resamples; there Student's stands alone.
	if at := int(math.Ceil((1 - level) * float64(len(resampled)+1))); at <= len(resampled) {
		width = max(width, resampled[at-1])
	}
	c.Low, c.High = c.Mean-width*se, c.Mean+width*se
	c.Small = c.Least > 0 && c.Low > -c.Least && c.High < c.Least
	c.More = c.needs(r, level)
}

// needs estimates how many further pairs an answer takes, if the difference is as large as it seems.
func (c *Comparison) needs(r *Rule, level float64) int {
	const mostTold = 100_000
	z := distuv.UnitNormal.Quantile(1-level/2) + distuv.UnitNormal.Quantile(r.Power)
	n := math.Pow(z*c.SD/math.Abs(c.Mean), 2)
	if c.Mean == 0 || n > mostTold {
		return -1
	}
	return max(int(math.Ceil(n))-len(c.Diffs), 1)
}

// bootstrapT draws the distribution of |t| under resampling, in order.
func bootstrapT(x []float64, mean float64, times int, rng *rand.Rand) []float64 {
	out := make([]float64, times)
	n := float64(len(x))
	for b := range out {
		sum, squares := 0.0, 0.0
		for range x {
			d := x[rng.IntN(len(x))] - mean
			sum, squares = sum+d, squares+d*d
		}
		m := sum / n
		variance := (squares - n*m*m) / (n - 1)
		if variance <= 1e-24 { // one value drawn each time tells nothing of the spread: it counts as the widest
			out[b] = math.Inf(1)
			continue
		}
		out[b] = math.Abs(m) / math.Sqrt(variance/n)
	}
	slices.Sort(out)
	return out
}

// firstAtLeast finds the first of values in order that is not below t.
func firstAtLeast(x []float64, t float64) int {
	i, _ := slices.BinarySearch(x, t)
	return i
}

// String says the answer as it is to be read.
func (c *Comparison) String() string {
	switch {
	case c.Answer != CannotTell:
		return c.Answer.String()
	case c.Small:
		return fmt.Sprintf("no difference of %g or more", c.Least)
	case len(c.Diffs) > 1 && c.Mean == 0 && c.SD == 0:
		return "cannot tell (the runs are equal)"
	case c.More > 0:
		return fmt.Sprintf("cannot tell (needs about %d more runs)", c.More)
	}
	return "cannot tell (needs more runs than can be told)"
}
