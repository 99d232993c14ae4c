package limit

import "time"

const step = 0.05 // how fast an estimate moves, as a part of itself

// UpdateQuantile moves an estimate of the quantile at part, from 0 to 1, by one sample (stochastic approximation, as in Ma,
// Muthukrishnan and Sandler, "Frugal Streaming for Estimating Quantiles", 2013, with steps in proportion).
func UpdateQuantile(to *time.Duration, sample time.Duration, part float64) {
	if sample <= *to {
		part--
	}
	*to += time.Duration(part * step * float64(*to))
}
