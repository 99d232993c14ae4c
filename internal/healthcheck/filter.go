package healthcheck

import (
	"time"

	"havenproxy/internal/subset"
)

// reportFilter rejects reports that are outdated, malformed or from the future, and counts them.
type reportFilter struct {
	disabled guard
	epochs   map[subset.ProxyID]uint32 // the newest epoch of each origin
	counters Counters
}

func newReportFilter(disabled guard) reportFilter {
	return reportFilter{disabled: disabled, epochs: map[subset.ProxyID]uint32{}}
}

func (f *reportFilter) enabled(g guard) bool { return f.disabled&g == 0 }

// accept returns whether a report may replace known, the report of the same origin about the same database (nil if there is none).
// restarted is true if the report has a newer epoch than earlier reports of its origin; accept records that epoch.
func (f *reportFilter) accept(now time.Duration, r Report, known *Report) (ok, restarted bool) {
	epoch := f.epochs[r.Origin]
	if r.Status > Dead || r.Role > subset.Primary {
		f.counters.Malformed++
		return false, false
	}
	if r.Epoch < epoch && f.enabled(guardEpoch) {
		f.counters.StaleEpoch++
		return false, false
	}
	if r.ObservedAt > now+MaxSkew && f.enabled(guardSkew) {
		f.counters.ClockAhead++
		return false, false
	}
	if now-r.ObservedAt > ReportTTL && f.enabled(guardAge) {
		f.counters.ExpiredReport++
		return false, false
	}
	if known != nil && known.Epoch >= r.Epoch && known.ObservedAt >= r.ObservedAt && f.enabled(guardOrder) {
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
