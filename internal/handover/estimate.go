package handover

import (
	"math"
	"sort"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	maxObservations  = 64  // kept of each cause, over all groups
	otherGroupWeight = 0.3 // weight of another group's failover, relative to the group's own
	priorPoints      = 9   // number of points that represent a prior
	priorWeight      = 3.0 // their total weight: a few observations outweigh it
	tailWeight       = 0.3 // weight of a duration beyond all observations
)

// durationEstimator learns how long groups are without a primary, by cause. It keeps a weighted empirical distribution, as the durations
// are few and have no known shape (they mix planned failovers, failure detection with an election, and short interruptions). Failovers of
// the same group weigh more than those of others, and recent ones more than old ones. A prior from the settings stands in for missing ones.
type durationEstimator struct {
	cfg          *Config
	observations [causeCount][]observation
	cache        [causeCount]struct {
		group           int
		at              time.Duration
		count           int // observations that the cached distribution contains
		values, weights []float64
	}
	counts [causeCount]int
}

// observation is the duration of a failover that ended at a time.
type observation struct {
	duration time.Duration
	group    int
	at       time.Duration
}

func (e *durationEstimator) configure(cfg *Config) {
	e.cfg = cfg
	for i := range e.cache {
		e.cache[i].values = nil
	}
}

func (e *durationEstimator) add(cause Cause, group int, duration, at time.Duration) {
	e.observations[cause] = append(e.observations[cause], observation{duration, group, at})
	if len(e.observations[cause]) > maxObservations {
		e.observations[cause] = e.observations[cause][1:]
	}
	e.counts[cause]++
}

// distribution returns the durations in ascending order, in seconds, with their weights. The result is cached until there is another
// observation, another group is asked for, or a tenth of Config.Fade has passed.
func (e *durationEstimator) distribution(cause Cause, group int, now time.Duration) (values, weights []float64) {
	cached := &e.cache[cause]
	if cached.values != nil && cached.group == group && cached.count == e.counts[cause] && now-cached.at < e.cfg.Fade/10 {
		return cached.values, cached.weights
	}
	cached.group, cached.at, cached.count = group, now, e.counts[cause]
	cached.values, cached.weights = cached.values[:0], cached.weights[:0]
	prior := e.cfg.Death
	if cause == CausePlanned {
		prior = e.cfg.Drain
	}
	for i := range priorPoints {
		part := (float64(i) + 0.5) / priorPoints
		cached.values = append(cached.values, prior.From.Seconds()+part*(prior.To-prior.From).Seconds())
		cached.weights = append(cached.weights, priorWeight/priorPoints)
	}
	for _, o := range e.observations[cause] {
		weight := math.Exp2(-float64(now-o.at) / float64(e.cfg.Fade))
		if o.group != group {
			weight *= otherGroupWeight
		}
		cached.values, cached.weights = append(cached.values, o.duration.Seconds()), append(cached.weights, weight)
	}
	stat.SortWeighted(cached.values, cached.weights)
	return cached.values, cached.weights
}

// endsWithin returns the probability that a failover which has lasted for elapsed ends within a further time. One that lasts longer than
// all observations has a scale-free tail: it lasts about as long again as it has.
func (e *durationEstimator) endsWithin(cause Cause, group int, now, elapsed, further time.Duration) float64 {
	if further <= 0 {
		return 0
	}
	values, weights := e.distribution(cause, group, now)
	from, to := elapsed.Seconds(), (elapsed + further).Seconds()
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	below := total * stat.CDF(from, stat.Empirical, values, weights)
	upTo := total * stat.CDF(to, stat.Empirical, values, weights)
	tail := tailWeight * further.Seconds() / max(to, 1e-9)
	return (upTo - below + tail) / max(total-below+tailWeight, 1e-9)
}

// remaining returns the time within which a failover that has lasted for elapsed ends with probability p.
func (e *durationEstimator) remaining(cause Cause, group int, now, elapsed time.Duration, p float64) time.Duration {
	values, weights := e.distribution(cause, group, now)
	i := sort.SearchFloat64s(values, elapsed.Seconds())
	for i < len(values) && values[i] <= elapsed.Seconds() {
		i++
	}
	if i == len(values) { // longer than all observations
		return elapsed
	}
	left := stat.Quantile(p, stat.Empirical, values[i:], weights[i:]) - elapsed.Seconds()
	return time.Duration(max(left, 0) * 1e9)
}
