package logic

import (
	"slices"
	"time"
)

// FinishAll gives every open request its final answer, in order of arrival: a refusal if it cannot have been
// executed, a failure otherwise. It is for a proxy that stops before the requests' deadlines, whose clients would
// otherwise get no answer.
func (r *Router) FinishAll(now time.Duration) {
	r.ensureStarted(now)
	ids := make([]RequestID, 0, len(r.requests))
	for id := range r.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r.finish(now, r.requests[id], 0)
	}
}
