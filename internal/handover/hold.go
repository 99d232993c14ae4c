package handover

import (
	"cmp"
	"slices"
	"time"
)

// wayHome is what of a request's time is kept back: a served one has to come to its client.
const wayHome = 5 * time.Millisecond

// leastHint keeps the refused from coming back at once where a primary is expected any moment.
const leastHint = 50 * time.Millisecond

// HeldRequest is a request that needs a primary, as far as holding it is concerned.
type HeldRequest struct {
	ID              uint64
	ReceivedAt      time.Duration // when it came
	Deadline        time.Duration // when its client gives up; or, if it may have run, when a repeat is too late
	ServiceTime     time.Duration // bare answer time,
	SlowServiceTime time.Duration // and that of a slow answer, which must fit into what is left
	Aim             time.Duration // answers within it earn the full worth,
	LateFactor      float64       // later ones this part of it
	Worth           float64
	ShadowPrice     float64 // what a second of the group's work earns where there is none to spare; 0 = there is
	Size            int     // bytes
	MayHaveRun      bool    // it may have run: letting it go is a failure, whenever
	AlreadyHeld     bool    // it is held already
	QueuedAhead     int     // held requests that leave before it, where a primary is known,
	Concurrency     int     // and how many that works on at once
}

// room is what holding takes.
type room struct {
	in    map[uint64]HeldRequest
	bytes int
}

// Hold decides on a request that finds no primary, or one that is new and full: whether it is held, and when its client is to
// come back otherwise. pushed are requests that have to make room for it: they are to be refused at once.
func (g *Group) Hold(now time.Duration, q HeldRequest) (ok bool, hint time.Duration, pushed []uint64) {
	c := &g.h.cfg
	if !c.Hold || !g.led || g.primary != nil && !g.HasNewPrimary() {
		return false, 0, nil
	}
	if !g.pays(now, q) {
		g.Release(q.ID)
		g.refused++
		return false, g.hint(now), nil
	}
	g.Release(q.ID) // it may be there already
	for len(g.room.in) >= c.MostHeld || g.room.bytes+q.Size > c.MostBytes {
		least, found := g.least()
		if !found || least.Worth >= q.Worth {
			g.refused++
			return false, g.hint(now), pushed
		}
		g.Release(least.ID)
		g.refused++
		pushed = append(pushed, least.ID)
	}
	g.room.in[q.ID] = q
	g.room.bytes += q.Size
	g.held = max(g.held, len(g.room.in))
	return true, 0, pushed
}

// pays weighs holding a request against refusing it now. It is held only if it is likely to be served in its time, and if
// what it would earn outweighs what a late refusal would cost. It is asked again while it is held, so that one whose
// chances have sunk goes at once, before half of its time where that can be.
func (g *Group) pays(now time.Duration, q HeldRequest) bool {
	c := &g.h.cfg
	left := q.Deadline - now - max(q.SlowServiceTime, q.ServiceTime) - wayHome
	if left <= 0 || now-q.ReceivedAt >= c.MostTime {
		return false
	}
	p, soon := 1.0, 1.0
	if g.primary == nil {
		elapsed := now - g.from
		p = g.h.lengths.within(g.cause, g.id, now, elapsed, left)
		soon = g.h.lengths.within(g.cause, g.id, now, elapsed, q.ReceivedAt+q.Aim-now-q.ServiceTime-wayHome)
	} else { // those before it go first, each of which takes its time
		ahead := time.Duration(q.QueuedAhead) * q.ServiceTime / time.Duration(max(q.Concurrency, leastWidth))
		if ahead > left {
			return false
		}
		if now+ahead+q.ServiceTime+wayHome > q.ReceivedAt+q.Aim {
			soon = 0
		}
	}
	need := c.Likely
	if q.AlreadyHeld {
		need = c.Keep
	}
	if p < need {
		return false
	}
	if q.MayHaveRun {
		return true
	}
	earns := soon + q.LateFactor*(p-soon)
	return earns*q.Worth >= (1-p)*c.LateCost*q.Worth+p*q.ShadowPrice*q.ServiceTime.Seconds()
}

// leastWidth is how many held requests a new primary is taken to work on at once, at least.
const leastWidth = 3

// least finds the held request that earns least.
func (g *Group) least() (least HeldRequest, found bool) {
	for _, x := range g.room.in {
		if !found || x.Worth < least.Worth || x.Worth == least.Worth && order(x, least) > 0 {
			least, found = x, true
		}
	}
	return least, found
}

// Release takes a request out: it is sent, or its client has gone.
func (g *Group) Release(id uint64) {
	if q, ok := g.room.in[id]; ok {
		g.room.bytes -= q.Size
		delete(g.room.in, id)
	}
}

// latePart: of so many that leave, one is among those that come late anyway, while there are others. What a new primary bears
// is least at its beginning, and an answer in its aim earns more than a late one; but nobody is to wait for nothing.
const latePart = 4

// ReleaseOrder gives the held requests in the order in which they are to leave: those that can still be answered within their aims,
// the most pressing first, with some of the others between, and then the others, the least time left first.
func (g *Group) ReleaseOrder(now time.Duration) []uint64 {
	if len(g.room.in) == 0 {
		return nil
	}
	var soon, late []HeldRequest
	for _, q := range g.room.in {
		if now+q.ServiceTime+wayHome <= q.ReceivedAt+q.Aim {
			soon = append(soon, q)
		} else {
			late = append(late, q)
		}
	}
	slices.SortFunc(soon, func(a, b HeldRequest) int {
		return cmp.Or(cmp.Compare(a.ReceivedAt+a.Aim, b.ReceivedAt+b.Aim), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(late, order)
	out := make([]uint64, 0, len(g.room.in))
	for n := 1; len(soon)+len(late) > 0; n++ {
		if len(soon) > 0 && (n%latePart != 0 || len(late) == 0) {
			out, soon = append(out, soon[0].ID), soon[1:]
		} else {
			out, late = append(out, late[0].ID), late[1:]
		}
	}
	return out
}

// HeldCount tells how many requests are held.
func (g *Group) HeldCount() int { return len(g.room.in) }

// NeedsTick tells that something is to be done by time alone: a switch goes on, or something is held.
func (g *Group) NeedsTick() bool {
	return g.phase != PhaseSteady && g.phase != PhaseUndiscovered || len(g.room.in) > 0
}

// HasNewPrimary tells that a primary is new: what finds it full may be held until it has room.
func (g *Group) HasNewPrimary() bool { return g.phase == PhaseFound || g.phase == PhaseSettling }

// hint is when the refused are to come back: when a primary is more likely than not.
func (g *Group) hint(now time.Duration) time.Duration {
	if g.primary != nil || !g.led {
		return 0
	}
	return max(g.h.lengths.remaining(g.cause, g.id, now, now-g.from, 0.5), leastHint)
}

// ResendDeadline gives until when a repeat of a guarded request may be under way whose first attempt may have run: its last byte
// went out at first, so it was applied no earlier, and the group drops repeats for window from then. A repeat may wait in
// the database's queue up to its deadline and takes its work behind that, slow as it may be; margin covers the ways and
// the clocks. Before its class has been answered, work is a guess: it counts as a third of the window at most.
func (c *Config) ResendDeadline(first, window, work time.Duration) time.Duration {
	return first + window - min(work, window/3) - c.Margin
}

// Config gives the settings in force.
func (h *Tracker) Config() *Config { return &h.cfg }
