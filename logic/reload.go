package logic

import (
	"slices"
	"time"
)

// Reload puts other classes into force, and other limits on attempts and on hints. It gives the index of each class of next: one that is
// as before keeps its own, and any other gets a new one, so that what is open goes on under the rules by which it was taken.
func (r *Router) Reload(next []Class, maxAttempts int, mayComeBack bool, maxComeBack time.Duration) []int {
	classes := slices.Clone(r.cfg.Classes) // open requests hold on to the old ones
	at := make([]int, len(next))
	for i, c := range next {
		if at[i] = slices.Index(classes, c); at[i] >= 0 {
			continue
		}
		at[i] = len(classes)
		classes = append(classes, c)
		r.cost, r.slow = append(r.cost, c.Aim/aimOverCost), append(r.slow, c.Aim)
	}
	r.cfg.Classes = classes
	for _, g := range r.groups {
		g.tally = append(g.tally, make([]ClassCounts, len(classes)-len(g.tally))...)
	}
	r.nobody.tally = append(r.nobody.tally, make([]ClassCounts, len(classes)-len(r.nobody.tally))...)
	r.cfg.MaxAttempts, r.cfg.EnableRetryAfter, r.cfg.MaxRetryAfter = maxAttempts, mayComeBack, maxComeBack
	r.pings.TightestMaxAge = tightest(next)
	return at
}

// tightest gives the least bound on the age of data that a class has; 0 = none has one.
func tightest(classes []Class) (least time.Duration) {
	for _, c := range classes {
		if c.Read == Bounded && (least == 0 || c.MaxAge < least) {
			least = c.MaxAge
		}
	}
	return least
}
