package handover

import (
	"cmp"
	"slices"
	"time"
)

// responseMargin is the part of a request's time that is reserved for returning the answer to the client.
const responseMargin = 5 * time.Millisecond

// minRetryAfter keeps refused clients from retrying at once when a primary is expected any moment.
const minRetryAfter = 50 * time.Millisecond

// HeldRequest describes a request that needs a primary, as far as the decision to hold it depends on it.
type HeldRequest struct {
	ID              uint64
	ReceivedAt      time.Duration
	Deadline        time.Duration // when the client gives up; or when a repeat would be too late, if the request may have run
	ServiceTime     time.Duration // expected time of an answer without queueing
	SlowServiceTime time.Duration // time of a slow answer, which must fit before the deadline
	Aim             time.Duration // answers within it earn the full worth
	LateFactor      float64       // later answers earn this part of it
	Worth           float64
	ShadowPrice     float64 // worth that other requests would earn in a second of the group's work; 0 = it has spare capacity
	Size            int     // bytes
	MayHaveRun      bool    // refusing it is a failure, however early
	AlreadyHeld     bool
	QueuedAhead     int // held requests that are released before it, if a primary is known
	Concurrency     int // requests that the new primary works on at once
}

// heldRequests holds the requests of a group that wait for a primary.
type heldRequests struct {
	byID  map[uint64]HeldRequest
	bytes int
}

// Hold decides whether a request is held that finds no primary, or a new primary at its limit. If not, retryAfter is when its client should
// retry. evicted are held requests that have to be refused at once to make space for it.
func (g *Group) Hold(now time.Duration, req HeldRequest) (ok bool, retryAfter time.Duration, evicted []uint64) {
	c := &g.tracker.cfg
	if !c.Hold || !g.hadPrimary || g.primary != nil && !g.HasNewPrimary() {
		return false, 0, nil
	}
	if !g.worthHolding(now, req) {
		g.Release(req.ID)
		g.refused++
		return false, g.retryAfter(now), nil
	}
	g.Release(req.ID) // in case that it is held already
	for len(g.held.byID) >= c.MostHeld || g.held.bytes+req.Size > c.MostBytes {
		least, found := g.leastValuable()
		if !found || least.Worth >= req.Worth {
			g.refused++
			return false, g.retryAfter(now), evicted
		}
		g.Release(least.ID)
		g.refused++
		evicted = append(evicted, least.ID)
	}
	g.held.byID[req.ID] = req
	g.held.bytes += req.Size
	g.maxHeld = max(g.maxHeld, len(g.held.byID))
	return true, 0, evicted
}

// worthHolding reports whether holding a request is better than refusing it now: it must be likely to be served in time, and its expected
// worth must outweigh the cost of a late refusal. Held requests are checked repeatedly, so that one whose chances have fallen is refused
// early, before half of its time if possible.
func (g *Group) worthHolding(now time.Duration, req HeldRequest) bool {
	c := &g.tracker.cfg
	left := req.Deadline - now - max(req.SlowServiceTime, req.ServiceTime) - responseMargin
	if left <= 0 || now-req.ReceivedAt >= c.MostTime {
		return false
	}
	served, inAim := 1.0, 1.0 // probabilities
	if g.primary == nil {
		elapsed := now - g.causeSince
		served = g.tracker.durations.endsWithin(g.cause, g.id, now, elapsed, left)
		inAim = g.tracker.durations.endsWithin(g.cause, g.id, now, elapsed, req.ReceivedAt+req.Aim-now-req.ServiceTime-responseMargin)
	} else { // the requests before it are served first
		queueTime := time.Duration(req.QueuedAhead) * req.ServiceTime / time.Duration(max(req.Concurrency, minConcurrency))
		if queueTime > left {
			return false
		}
		if now+queueTime+req.ServiceTime+responseMargin > req.ReceivedAt+req.Aim {
			inAim = 0
		}
	}
	threshold := c.Likely
	if req.AlreadyHeld {
		threshold = c.Keep
	}
	if served < threshold {
		return false
	}
	if req.MayHaveRun {
		return true
	}
	worthFactor := inAim + req.LateFactor*(served-inAim)
	return worthFactor*req.Worth >= (1-served)*c.LateCost*req.Worth+served*req.ShadowPrice*req.ServiceTime.Seconds()
}

// minConcurrency is the least number of held requests that a new primary is assumed to work on at once.
const minConcurrency = 3

// leastValuable returns the held request with the lowest worth.
func (g *Group) leastValuable() (least HeldRequest, found bool) {
	for _, req := range g.held.byID {
		if !found || req.Worth < least.Worth || req.Worth == least.Worth && byDeadline(req, least) > 0 {
			least, found = req, true
		}
	}
	return least, found
}

// Release removes a request that is sent, or whose client has gone. It has no effect if the request is not held.
func (g *Group) Release(id uint64) {
	if req, ok := g.held.byID[id]; ok {
		g.held.bytes -= req.Size
		delete(g.held.byID, id)
	}
}

// lateInterval: one in so many released requests is one that misses its aim anyway, while there are others. A new primary has the least
// capacity at first, and an answer within its aim earns more than a late one, but late requests must not starve.
const lateInterval = 4

// ReleaseOrder returns the IDs of the held requests in the order in which they should be sent: those that can still be answered within their
// aims by urgency, interleaved with some of the late ones, and then the rest of the late ones by deadline.
func (g *Group) ReleaseOrder(now time.Duration) []uint64 {
	if len(g.held.byID) == 0 {
		return nil
	}
	var inAim, late []HeldRequest
	for _, req := range g.held.byID {
		if now+req.ServiceTime+responseMargin <= req.ReceivedAt+req.Aim {
			inAim = append(inAim, req)
		} else {
			late = append(late, req)
		}
	}
	slices.SortFunc(inAim, func(a, b HeldRequest) int {
		return cmp.Or(cmp.Compare(a.ReceivedAt+a.Aim, b.ReceivedAt+b.Aim), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(late, byDeadline)
	order := make([]uint64, 0, len(g.held.byID))
	for n := 1; len(inAim)+len(late) > 0; n++ {
		if len(inAim) > 0 && (n%lateInterval != 0 || len(late) == 0) {
			order, inAim = append(order, inAim[0].ID), inAim[1:]
		} else {
			order, late = append(order, late[0].ID), late[1:]
		}
	}
	return order
}

// HeldCount returns how many requests are held.
func (g *Group) HeldCount() int { return len(g.held.byID) }

// NeedsTick reports whether the group's state can change by time alone: a failover is in progress, or requests are held.
func (g *Group) NeedsTick() bool {
	return g.phase != PhaseSteady && g.phase != PhaseUndiscovered || len(g.held.byID) > 0
}

// HasNewPrimary reports whether a primary was found recently. Requests may then be held until it has capacity for them.
func (g *Group) HasNewPrimary() bool { return g.phase == PhaseFound || g.phase == PhaseSettling }

// retryAfter returns the time after which refused clients should retry: the median time until a primary is found.
func (g *Group) retryAfter(now time.Duration) time.Duration {
	if g.primary != nil || !g.hadPrimary {
		return 0
	}
	return max(g.tracker.durations.remaining(g.cause, g.id, now, now-g.causeSince, 0.5), minRetryAfter)
}

// ResendDeadline returns until when a deduplicated request that may have run may be sent again. Its last byte was first sent at firstSent, so
// it was applied no earlier, and the group drops repeats for window from then. A repeat may wait in the database's queue until its deadline
// and may take up to work after that; Margin covers network and clocks. As work is a guess until the class has been answered, it counts as a
// third of the window at most.
func (c *Config) ResendDeadline(firstSent, window, work time.Duration) time.Duration {
	return firstSent + window - min(work, window/3) - c.Margin
}

// Config returns the settings in force.
func (t *Tracker) Config() *Config { return &t.cfg }
