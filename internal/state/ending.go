package state

import (
	"slices"
	"time"

	"havenproxy/logic"
)

// SetFinalDeadline lets no request outlast a moment on the front's clock: what is taken from now on has to have its answer by then, so that no attempt
// waits past the process's end.
func (f *Engine) SetFinalDeadline(at time.Duration) { f.endBy = at }

// EndAllRequests answers at once whatever is still owed an answer. It may be called again: what came meanwhile is ended too.
func (f *Engine) EndAllRequests() {
	f.tell(func() { f.planned.FinishAll(f.clock.Now()) })
	var left []logic.RequestID // what the router hasn't been told of
	for id, q := range f.requests {
		if q.caller != nil {
			left = append(left, id)
		}
	}
	slices.Sort(left)
	for _, id := range left {
		if q := f.requests[id]; q != nil && q.tries == 0 {
			f.answer(id, &f.Counters.Refused, refusedOf, func(c Caller) { c.Refused(0) })
		} else {
			f.answer(id, &f.Counters.Failed, failedOf, Caller.Failed)
		}
	}
}

// OutstandingAnswers tells how many answers are owed to clients: requests without their final one, and values on their way in pieces.
func (f *Engine) OutstandingAnswers() int {
	n := f.streams
	for _, q := range f.requests {
		if q.caller != nil {
			n++
		}
	}
	return n
}

// ClientChecker is a Caller whose client may be known to have left before this side hears of it: behind a pause of the process, what it asked
// and its end stand in one queue.
type ClientChecker interface {
	ClientConnected() bool
}

// stale asks, in the moment before the first byte of an attempt is written, whether it may still go out: while it waited for a connection
// its client may have left, its time have run out, or its member have been listed as leaving. Nothing has run then, and the router chooses
// anew if there is still something to choose for.
func (f *Engine) stale(a *attempt) bool {
	if p, ok := a.req.caller.(ClientChecker); ok && !p.ClientConnected() {
		f.Abandon(a.req.id)
	}
	return a.req.caller == nil || f.clock.Now() >= a.until || !f.sendable(a.to)
}
