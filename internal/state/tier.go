package state

import (
	"log/slog"
	"strconv"
	"time"

	"havenproxy/logic"
)

// Gate says whether requests may be taken, where a tier of proxies goes by one policy.
type Gate interface {
	// Admit says what is to be done with a request that has been read by now, and under which policy it is taken.
	Admit(now time.Duration) (policy uint64, verdict GateDecision)
}

// PolicyRecorder is a caller that is told under which policy its request was taken.
type PolicyRecorder interface{ SetPolicy(policy uint64) }

// GateDecision is what a Gate says.
type GateDecision uint8

// The verdicts.
const (
	GateOpen   GateDecision = iota
	GateWait                // for a moment: the tier changes its policy
	GateClosed              // the tier's policy isn't known here
)

const (
	// MaxGateWait is how long a request waits at the point of a change, or half of its own time. Behind it the request is refused at once: it never
	// ran.
	MaxGateWait = 100 * time.Millisecond
	keptRoom    = 4096 // requests that may wait
	// shutBack is when clients may come again to a proxy that can't know the tier's policy. It looks for a planner all the while.
	shutBack = 200 * time.Millisecond
)

// gated is what waits at the point of a change.
type gated struct {
	gate   Gate // nil = the proxy goes by its own files
	policy uint64
	own    uint64 // the number of the proxy's own files, where they have one
	kept   []keptRequest
	timer  Deadline
	first  time.Duration // when one of them has waited for too long
	shut   bool
}

type keptRequest struct {
	q     *request
	in    Request
	until time.Duration
}

// SetGate lets a tier say which requests are taken; nil ends that.
func (f *Engine) SetGate(g Gate) { f.gated.gate = g }

// SetRevision says which number the proxy's own files bear; 0 = none. Requests that come from now on are taken under it.
func (f *Engine) SetRevision(number uint64) { f.gated.own = number }

// Revision gives that number; empty = none.
func (f *Engine) Revision() string {
	if f.gated.own == 0 {
		return ""
	}
	return strconv.FormatUint(f.gated.own, 10)
}

// GateQueueLength counts the requests that wait at the point of a change.
func (f *Engine) GateQueueLength() int { return len(f.gated.kept) }

// pass asks the gate about a request. false = it is not to be taken now: it waits, or has been refused.
func (f *Engine) pass(q *request, in Request) bool {
	g := &f.gated
	// The clock is read here, behind the request's last byte: a proxy that stood still would otherwise take under a lease that has ended.
	now := f.clock.Now()
	policy, verdict := g.gate.Admit(now)
	switch {
	case verdict == GateOpen:
		g.policy = policy
		if g.shut {
			g.shut = false
			slog.Info("requests are taken again", "number", policy)
		}
		return true
	case verdict == GateWait && len(g.kept) < keptRoom:
		f.Counters.GateQueued++
		k := keptRequest{q, in, now + min(MaxGateWait, in.Wait/2)}
		if g.kept = append(g.kept, k); len(g.kept) == 1 || k.until < g.first {
			g.first = k.until
			f.Deadlines.Set(&g.timer, g.first, f.letGo)
		}
		return false
	}
	f.shut()
	f.answer(q.id, &f.Counters.Refused, refusedOf, func(c Caller) { c.Refused(shutBack) })
	return false
}

func (f *Engine) shut() {
	f.Counters.GateRefused++
	if !f.gated.shut {
		f.gated.shut = true
		slog.Warn("requests are refused: the tier's policy can't be known here", "number", f.gated.policy)
	}
}

// GateChanged tells that the gate may have opened: what waits is asked about again, in its order.
func (f *Engine) GateChanged() {
	g := &f.gated
	for len(g.kept) > 0 {
		k := g.kept[0]
		policy, verdict := g.gate.Admit(f.clock.Now())
		if verdict == GateWait {
			return
		}
		g.kept = append(g.kept[:0], g.kept[1:]...)
		if k.q.caller == nil { // its client has gone
			continue
		}
		if class, ok := f.classes[k.in.Class]; ok && verdict == GateOpen { // it is taken now, and so by the rules of now
			g.policy, k.q.class = policy, class
			f.enter(k.q, k.in)
			continue
		}
		f.shut()
		f.answer(k.q.id, &f.Counters.Refused, refusedOf, func(c Caller) { c.Refused(shutBack) })
	}
	f.Deadlines.Clear(&g.timer)
}

// letGo refuses what has waited for too long: never held back to spare a retry.
func (f *Engine) letGo() {
	g, now := &f.gated, f.clock.Now()
	was := g.kept
	g.kept, g.first = nil, 0
	for _, k := range was {
		switch {
		case now >= k.until: // nobody hears it whose client has gone
			f.answer(k.q.id, &f.Counters.Refused, refusedOf, func(c Caller) { c.Refused(MaxGateWait) })
		default:
			if g.kept = append(g.kept, k); g.first == 0 || k.until < g.first {
				g.first = k.until
			}
		}
	}
	if len(g.kept) > 0 {
		f.Deadlines.Set(&g.timer, g.first, f.letGo)
	}
}

// enter hands a request that is taken to the router.
func (f *Engine) enter(q *request, in Request) {
	if g := &f.gated; g.gate != nil || g.own > 0 {
		under := g.own
		if g.gate != nil {
			under = g.policy
		}
		if c, ok := q.caller.(PolicyRecorder); ok {
			c.SetPolicy(under)
		}
	}
	class := q.class
	out := logic.Request{ID: q.id, Class: class, Group: logic.GroupID(in.Group), ClientKey: in.Session,
		Deadline: q.until, Retry: in.Retry}
	if c, ok := in.Command.(interface{ Size() int }); ok {
		out.Size = c.Size()
	}
	switch f.cfg.Logic.Classes[class].Read { // elsewhere the key names no session
	case logic.Session:
		out.Session, out.TokenAge = logic.SessionID(in.Session), tokenAge(f.clock, in.LastCommit)
	case logic.Write:
		out.Session = logic.SessionID(in.Session)
	}
	f.tell(func() { f.router.Request(f.clock.Now(), out) })
}
