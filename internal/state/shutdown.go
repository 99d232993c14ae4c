package state

import (
	"slices"
	"time"

	"havenproxy/logic"
)

// SetFinalDeadline limits the deadlines of the requests submitted from now on to a time on the engine's clock, so
// that no attempt waits beyond the end of the process.
func (e *Engine) SetFinalDeadline(at time.Duration) { e.finalDeadline = at }

// EndAllRequests answers all open requests at once. It may be called again for requests submitted since.
func (e *Engine) EndAllRequests() {
	e.dispatch(func() { e.router.FinishAll(e.clock.Now()) })
	var unknown []logic.RequestID // requests that the router does not know yet
	for id, req := range e.requests {
		if req.caller != nil {
			unknown = append(unknown, id)
		}
	}
	slices.Sort(unknown)
	for _, id := range unknown {
		if req := e.requests[id]; req != nil && req.attempts == 0 {
			e.answer(id, &e.Counters.Refused, refusedCount, func(c Caller) { c.Refused(0) })
		} else {
			e.answer(id, &e.Counters.Failed, failedCount, Caller.Failed)
		}
	}
}

// OutstandingAnswers returns the number of answers owed to clients: requests without a final answer and values that
// are being streamed.
func (e *Engine) OutstandingAnswers() int {
	n := len(e.openStreams)
	for _, req := range e.requests {
		if req.caller != nil {
			n++
		}
	}
	return n
}

// ClientChecker is implemented by a Caller that may know that its client has disconnected before Abandon is called:
// after a pause of the process, the client's request and the end of its connection are queued together.
type ClientChecker interface {
	ClientConnected() bool
}

// stale reports, immediately before the first byte of an attempt is written, whether it must not be sent any more.
// While it waited for a connection, its client may have left, its time may have run out, or its member may have been
// listed as draining or gone. Nothing has run in that case, and the router may choose another member. A request whose
// client has disconnected is abandoned.
func (e *Engine) stale(a *attempt) bool {
	if p, ok := a.req.caller.(ClientChecker); ok && !p.ClientConnected() {
		e.Abandon(a.req.id)
	}
	return a.req.caller == nil || e.clock.Now() >= a.deadline || !e.sendable(a.member)
}
