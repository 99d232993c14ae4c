package limit

import "time"

const quantileStep = 0.05 // of an estimate per sample, relative to the estimate

// UpdateQuantile moves an estimate of a quantile, from 0 to 1, by one sample. It uses stochastic approximation, as in Ma, Muthukrishnan and
// Sandler, "Frugal Streaming for Estimating Quantiles", 2013, with steps in proportion to the estimate.
func UpdateQuantile(estimate *time.Duration, sample time.Duration, quantile float64) {
	if sample <= *estimate {
		quantile--
	}
	*estimate += time.Duration(quantile * quantileStep * float64(*estimate))
}
