package handover

import (
	"math"
	"sort"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	keptLengths = 64  // observations of a cause, of all groups
	others      = 0.3 // weight of another group's switch against the own one's
	priorPoints = 9   // a prior stands as so many observations,
	priorWeight = 3.0 // of this weight together: a handful of switches outweighs it
	beyond      = 0.3 // weight of 'longer than anything seen'
)

// estimator learns how long groups are without a primary, by cause. It is a weighted empirical distribution: the lengths
// are few, and have no shape that one could count on (a hand-over, a detection and an election, a blip). Own switches count
// more than other groups', new ones more than old ones; a prior from the settings fills in until there are some.
type estimator struct {
	cfg  *Config
	seen [causeCount][]length
	memo [causeCount]struct {
		group int
		at    time.Duration
		n     int // observations that it holds
		x, w  []float64
	}
	counts [causeCount]int
}

type length struct {
	of    time.Duration
	group int
	at    time.Duration
}

func (e *estimator) configure(cfg *Config) {
	e.cfg = cfg
	for i := range e.memo {
		e.memo[i].x = nil
	}
}

func (e *estimator) add(c Cause, group int, of, at time.Duration) {
	e.seen[c] = append(e.seen[c], length{of, group, at})
	if len(e.seen[c]) > keptLengths {
		e.seen[c] = e.seen[c][1:]
	}
	e.counts[c]++
}

// points gives the distribution's points in order, in seconds, with their weights. They are made anew when there is a new
// observation, another group asks, or a tenth of the time over which they fade has passed.
func (e *estimator) points(c Cause, group int, now time.Duration) (x, w []float64) {
	m := &e.memo[c]
	if m.x != nil && m.group == group && m.n == e.counts[c] && now-m.at < e.cfg.Fade/10 {
		return m.x, m.w
	}
	m.group, m.at, m.n = group, now, e.counts[c]
	m.x, m.w = m.x[:0], m.w[:0]
	prior := e.cfg.Death
	if c == CausePlanned {
		prior = e.cfg.Drain
	}
	for i := range priorPoints {
		part := (float64(i) + 0.5) / priorPoints
		m.x = append(m.x, prior.From.Seconds()+part*(prior.To-prior.From).Seconds())
		m.w = append(m.w, priorWeight/priorPoints)
	}
	for _, l := range e.seen[c] {
		weight := math.Exp2(-float64(now-l.at) / float64(e.cfg.Fade))
		if l.group != group {
			weight *= others
		}
		m.x, m.w = append(m.x, l.of.Seconds()), append(m.w, weight)
	}
	stat.SortWeighted(m.x, m.w)
	return m.x, m.w
}

// within gives the probability that a switch which has lasted for so long ends within a further time. Beyond all that was
// seen it may last for about as long again as it has: the tail of a length without a scale.
func (e *estimator) within(c Cause, group int, now, elapsed, further time.Duration) float64 {
	if further <= 0 {
		return 0
	}
	x, w := e.points(c, group, now)
	from, to := elapsed.Seconds(), (elapsed + further).Seconds()
	total := 0.0
	for _, v := range w {
		total += v
	}
	below := total * stat.CDF(from, stat.Empirical, x, w)
	upTo := total * stat.CDF(to, stat.Empirical, x, w)
	tail := beyond * further.Seconds() / max(to, 1e-9)
	return (upTo - below + tail) / max(total-below+beyond, 1e-9)
}

// remaining gives the time within which a switch that has lasted for so long ends with a probability.
func (e *estimator) remaining(c Cause, group int, now, elapsed time.Duration, p float64) time.Duration {
	x, w := e.points(c, group, now)
	i := sort.SearchFloat64s(x, elapsed.Seconds())
	for i < len(x) && x[i] <= elapsed.Seconds() {
		i++
	}
	if i == len(x) { // longer than all that was seen
		return elapsed
	}
	left := stat.Quantile(p, stat.Empirical, x[i:], w[i:]) - elapsed.Seconds()
	return time.Duration(max(left, 0) * 1e9)
}
