package healthcheck

import (
	"time"

	"havenproxy/internal/subset"
)

// freshness drops reports that are no longer, or not yet, to be believed, and counts them.
type freshness struct {
	disabled guard
	epochs   map[subset.ProxyID]uint32 // the newest of each origin
	counters Counters
}

func newFreshness(disabled guard) freshness {
	return freshness{disabled: disabled, epochs: map[subset.ProxyID]uint32{}}
}

func (f *freshness) has(g guard) bool { return f.disabled&g == 0 }

// accept tells whether a report may replace known, the report of the same origin on the same database; nil = there is none. A newer
// epoch is noted; restarted tells of one.
func (f *freshness) accept(now time.Duration, r Report, known *Report) (ok, restarted bool) {
	epoch := f.epochs[r.Origin]
	if r.Status > Dead || r.Role > subset.Primary {
		f.counters.Malformed++
		return false, false
	}
	if r.Epoch < epoch && f.has(guardEpoch) {
		f.counters.StaleEpoch++
		return false, false
	}
	if r.ObservedAt > now+MaxSkew && f.has(guardSkew) {
		f.counters.ClockAhead++
		return false, false
	}
	if now-r.ObservedAt > ReportTTL && f.has(guardAge) {
		f.counters.ExpiredReport++
		return false, false
	}
	if known != nil && known.Epoch >= r.Epoch && known.ObservedAt >= r.ObservedAt && f.has(guardOrder) {
		f.counters.StaleReport++
		return false, false
	}
	f.counters.Accepted++
	if r.Epoch > epoch {
		f.epochs[r.Origin] = r.Epoch
		return true, epoch > 0
	}
	return true, false
}
