package limit

import (
	"math"
	"time"
)

// minLimitShare is the least value of LimitShare.
const minLimitShare = 0.25

// LimitShare returns the part of a database's limit that requests of a class may use. own is the worth that the class earns for its work, all
// holds the same of every class. The lower it is against the best class, the sooner requests are shed where limits are reached.
func LimitShare(own float64, all []float64) float64 {
	best := 0.0
	for _, worth := range all {
		best = max(best, worth)
	}
	if own < best {
		return max(minLimitShare, math.Sqrt(own/best))
	}
	return 1
}

// quotaWindow is the time constant with which past requests of a tenant cease to count.
const quotaWindow = time.Second

// Quotas tracks the request rates of tenants against their quotas.
type Quotas struct {
	limits  []float64 // requests per second at this proxy; 0 = no quota
	counts  []float64 // of requests within the quota, decayed
	updated []time.Duration
}

// NewQuotas returns the quotas of tenants that may each send so many requests per second; 0 = any number.
func NewQuotas(limits []float64) Quotas {
	return Quotas{limits: limits, counts: make([]float64, len(limits)), updated: make([]time.Duration, len(limits))}
}

// Exceeded counts a request of a tenant, and reports whether it exceeds the quota. It is not counted then.
func (q *Quotas) Exceeded(now time.Duration, tenant int) bool {
	if tenant < 0 || tenant >= len(q.limits) || q.limits[tenant] <= 0 {
		return false
	}
	q.counts[tenant] *= math.Exp(-float64(now-q.updated[tenant]) / float64(quotaWindow))
	q.updated[tenant] = now
	if q.counts[tenant] >= max(q.limits[tenant]*quotaWindow.Seconds(), 1) {
		return true
	}
	q.counts[tenant]++
	return false
}

// Refund takes back the count of a request that was refused.
func (q *Quotas) Refund(tenant int) {
	if tenant >= 0 && tenant < len(q.counts) {
		q.counts[tenant]--
	}
}
