package logic

import (
	"slices"
	"time"
)

// FinishAll gives every open request its final answer now, in the order in which they came: refused where nothing of it can have run, failed
// elsewhere. It is for a front that ends before their deadlines: what its process takes with it unanswered would be lost.
func (r *Router) FinishAll(now time.Duration) {
	r.begin(now)
	ids := make([]RequestID, 0, len(r.requests))
	for id := range r.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r.finish(now, r.requests[id], 0)
	}
}
