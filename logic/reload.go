package logic

import (
	"slices"
	"time"
)

// Reload replaces the classes and the limits on attempts and hints. It returns the index of each of newClasses: an
// unchanged class keeps its index, and any other gets a new one, so that open requests continue under the rules in
// force when they arrived.
func (r *Router) Reload(newClasses []Class, maxAttempts int, enableRetryAfter bool, maxRetryAfter time.Duration) []int {
	classes := slices.Clone(r.cfg.Classes) // open requests point into the old slice
	indexes := make([]int, len(newClasses))
	for i, c := range newClasses {
		if indexes[i] = slices.Index(classes, c); indexes[i] >= 0 {
			continue
		}
		indexes[i] = len(classes)
		classes = append(classes, c)
		r.serviceTime, r.slowTime = append(r.serviceTime, c.Aim/aimPerServiceTime), append(r.slowTime, c.Aim)
	}
	r.cfg.Classes = classes
	for _, g := range r.groups {
		g.counts = append(g.counts, make([]ClassCounts, len(classes)-len(g.counts))...)
	}
	r.unlistedGroup.counts = append(r.unlistedGroup.counts, make([]ClassCounts, len(classes)-len(r.unlistedGroup.counts))...)
	r.cfg.MaxAttempts, r.cfg.EnableRetryAfter, r.cfg.MaxRetryAfter = maxAttempts, enableRetryAfter, maxRetryAfter
	r.pingSchedule.TightestMaxAge = tightestBound(newClasses)
	return indexes
}

// tightestBound returns the smallest MaxAge of the bounded classes, or 0 if there are none.
func tightestBound(classes []Class) (tightest time.Duration) {
	for _, c := range classes {
		if c.Read == Bounded && (tightest == 0 || c.MaxAge < tightest) {
			tightest = c.MaxAge
		}
	}
	return tightest
}
