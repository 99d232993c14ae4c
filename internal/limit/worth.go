package limit

import (
	"math"
	"time"
)

// meritMin is what the least class may fill all the same.
const meritMin = 0.25

// LimitShare gives the part of a database's limit that a request may fill: the less worth its class earns for its work (own) against the
// best class (the largest of all), the sooner it is shed, where limits are reached.
func LimitShare(own float64, all []float64) float64 {
	best := 0.0
	for _, w := range all {
		best = max(best, w)
	}
	if own < best {
		return max(meritMin, math.Sqrt(own/best))
	}
	return 1
}

// shareSpan is over which a tenant's traffic is held against its quota.
const shareSpan = time.Second

// Quotas follows what tenants have asked for within their quotas.
type Quotas struct {
	most []float64 // requests a second, of this proxy's traffic; 0 = no quota
	sum  []float64
	last []time.Duration
}

// NewQuotas makes the account of tenants that may each ask for so much in a second.
func NewQuotas(most []float64) Quotas {
	return Quotas{most: most, sum: make([]float64, len(most)), last: make([]time.Duration, len(most))}
}

// Exceeded notes a tenant's request, and tells whether it is beyond its quota; then it doesn't count.
func (q *Quotas) Exceeded(now time.Duration, tenant int) bool {
	if tenant < 0 || tenant >= len(q.most) || q.most[tenant] <= 0 {
		return false
	}
	q.sum[tenant] *= math.Exp(-float64(now-q.last[tenant]) / float64(shareSpan))
	q.last[tenant] = now
	if q.sum[tenant] >= max(q.most[tenant]*shareSpan.Seconds(), 1) {
		return true
	}
	q.sum[tenant]++
	return false
}

// Refund gives back what a request took that was refused.
func (q *Quotas) Refund(tenant int) {
	if tenant >= 0 && tenant < len(q.sum) {
		q.sum[tenant]--
	}
}
