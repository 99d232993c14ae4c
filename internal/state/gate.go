package state

import (
	"log/slog"
	"strconv"
	"time"

	"havenproxy/logic"
)

// Gate decides whether requests are admitted if the proxies of a tier share one policy.
type Gate interface {
	// Admit decides about a request that has been read completely. It returns the policy under which it is admitted.
	Admit(now time.Duration) (policy uint64, decision GateDecision)
}

// PolicyRecorder is implemented by a Caller that records the policy under which its request was admitted.
type PolicyRecorder interface{ SetPolicy(policy uint64) }

// GateDecision is the decision of a Gate.
type GateDecision uint8

// Decisions of a Gate.
const (
	GateOpen   GateDecision = iota
	GateWait                // wait: the tier is changing its policy
	GateClosed              // refuse: this proxy does not know the tier's policy
)

const (
	// MaxGateWait limits the time that a request waits for a change of policy; so does half of its client's wait. After
	// that the request is refused; it never ran.
	MaxGateWait  = 100 * time.Millisecond
	maxGateQueue = 4096 // maximum number of waiting requests
	// closedRetryAfter is the retry hint of a proxy that does not know the tier's policy. The proxy keeps looking for a
	// planner meanwhile.
	closedRetryAfter = 200 * time.Millisecond
)

// gateState holds the gate and the requests that wait for a change of policy.
type gateState struct {
	gate        Gate // nil = the proxy uses its own configuration files
	policy      uint64
	ownRevision uint64 // revision of the proxy's own configuration files; 0 = none
	queue       []queuedRequest
	timer       Deadline
	nextExpiry  time.Duration // earliest deadline in the queue
	closed      bool
}

type queuedRequest struct {
	request  *request
	input    Request
	deadline time.Duration
}

// SetGate sets the gate that decides which requests are admitted; nil admits all.
func (e *Engine) SetGate(g Gate) { e.gate.gate = g }

// SetRevision sets the revision of the proxy's own configuration files; 0 = none. It applies to requests submitted
// from now on.
func (e *Engine) SetRevision(number uint64) { e.gate.ownRevision = number }

// Revision returns that revision; empty = none.
func (e *Engine) Revision() string {
	if e.gate.ownRevision == 0 {
		return ""
	}
	return strconv.FormatUint(e.gate.ownRevision, 10)
}

// GateQueueLength returns the number of requests that wait for a change of policy.
func (e *Engine) GateQueueLength() int { return len(e.gate.queue) }

// admit asks the gate about a request. It returns false if the request must not run now: it waits or has been
// refused.
func (e *Engine) admit(req *request, input Request) bool {
	g := &e.gate
	// The clock is read here, after the request's last byte: a proxy that was paused would otherwise admit the request
	// under a lease that has ended.
	now := e.clock.Now()
	policy, decision := g.gate.Admit(now)
	switch {
	case decision == GateOpen:
		g.policy = policy
		if g.closed {
			g.closed = false
			slog.Info("requests are taken again", "number", policy)
		}
		return true
	case decision == GateWait && len(g.queue) < maxGateQueue:
		e.Counters.GateQueued++
		waiting := queuedRequest{req, input, now + min(MaxGateWait, input.Wait/2)}
		if g.queue = append(g.queue, waiting); len(g.queue) == 1 || waiting.deadline < g.nextExpiry {
			g.nextExpiry = waiting.deadline
			e.Deadlines.Set(&g.timer, g.nextExpiry, e.expireQueued)
		}
		return false
	}
	e.countGateRefusal()
	e.answer(req.id, &e.Counters.Refused, refusedCount, func(c Caller) { c.Refused(closedRetryAfter) })
	return false
}

func (e *Engine) countGateRefusal() {
	e.Counters.GateRefused++
	if !e.gate.closed {
		e.gate.closed = true
		slog.Warn("requests are refused: the tier's policy can't be known here", "number", e.gate.policy)
	}
}

// GateChanged reports that the gate may have opened. The waiting requests are decided again, in their order.
func (e *Engine) GateChanged() {
	g := &e.gate
	for len(g.queue) > 0 {
		waiting := g.queue[0]
		policy, decision := g.gate.Admit(e.clock.Now())
		if decision == GateWait {
			return
		}
		g.queue = append(g.queue[:0], g.queue[1:]...)
		if waiting.request.caller == nil { // its client has disconnected
			continue
		}
		if class, ok := e.classes[waiting.input.Class]; ok && decision == GateOpen { // it is admitted now, so the current rules apply
			g.policy, waiting.request.class = policy, class
			e.forwardRequest(waiting.request, waiting.input)
			continue
		}
		e.countGateRefusal()
		e.answer(waiting.request.id, &e.Counters.Refused, refusedCount, func(c Caller) { c.Refused(closedRetryAfter) })
	}
	e.Deadlines.Clear(&g.timer)
}

// expireQueued refuses the requests that have waited too long. They are not kept waiting to save the client a retry.
func (e *Engine) expireQueued() {
	g, now := &e.gate, e.clock.Now()
	previous := g.queue
	g.queue, g.nextExpiry = nil, 0
	for _, waiting := range previous {
		switch {
		case now >= waiting.deadline: // no effect if the client has disconnected
			e.answer(waiting.request.id, &e.Counters.Refused, refusedCount, func(c Caller) { c.Refused(MaxGateWait) })
		default:
			if g.queue = append(g.queue, waiting); g.nextExpiry == 0 || waiting.deadline < g.nextExpiry {
				g.nextExpiry = waiting.deadline
			}
		}
	}
	if len(g.queue) > 0 {
		e.Deadlines.Set(&g.timer, g.nextExpiry, e.expireQueued)
	}
}

// forwardRequest passes an admitted request to the router.
func (e *Engine) forwardRequest(req *request, input Request) {
	if g := &e.gate; g.gate != nil || g.ownRevision > 0 {
		policy := g.ownRevision
		if g.gate != nil {
			policy = g.policy
		}
		if c, ok := req.caller.(PolicyRecorder); ok {
			c.SetPolicy(policy)
		}
	}
	class := req.class
	out := logic.Request{ID: req.id, Class: class, Group: logic.GroupID(input.Group), ClientKey: input.Session,
		Deadline: req.deadline, Retry: input.Retry}
	if c, ok := input.Command.(interface{ Size() int }); ok {
		out.Size = c.Size()
	}
	switch e.cfg.Logic.Classes[class].Read { // for other classes the key is not a session
	case logic.Session:
		out.Session, out.TokenAge = logic.SessionID(input.Session), tokenAge(e.clock, input.LastCommit)
	case logic.Write:
		out.Session = logic.SessionID(input.Session)
	}
	e.dispatch(func() { e.events.Request(e.clock.Now(), out) })
}
