package state

import (
	"testing"
	"time"

	"havenproxy/logic"
)

// fakeGate is a Gate whose decision the test sets.
type fakeGate struct {
	policy  uint64
	verdict GateDecision
	asked   []time.Duration
}

func (d *fakeGate) Admit(now time.Duration) (uint64, GateDecision) {
	d.asked = append(d.asked, now)
	return d.policy, d.verdict
}

// policyCaller is a Caller that records the policies under which its request was admitted.
type policyCaller struct {
	caller
	policies []uint64
}

func (c *policyCaller) SetPolicy(policy uint64) { c.policies = append(c.policies, policy) }

func (h *harness) submit(c Caller, wait time.Duration) logic.RequestID {
	id, err := h.e.Submit(Request{Class: "any", Wait: wait, Command: command{}, Caller: c})
	if err != nil {
		h.t.Fatal(err)
	}
	return id
}

// Requests submitted while the policy changes wait, and are admitted under the new policy, each once and in order.
func TestWaitingRequestsAdmittedUnderNewPolicy(t *testing.T) {
	h := newHarness(t, 4)
	g := &fakeGate{policy: 1}
	h.e.SetGate(g)
	var a, c, gone policyCaller
	h.submit(&a, time.Second)
	g.verdict = GateWait
	h.submit(&c, time.Second)
	id := h.submit(&gone, time.Second)
	h.e.Abandon(id)
	if h.e.GateQueueLength() != 2 || len(h.calls) != 2 { // one request, and one abandonment
		t.Fatalf("%d wait, the router was told %v", h.e.GateQueueLength(), h.calls)
	}
	h.now += 30 * time.Millisecond
	h.e.GateChanged() // the gate has not opened yet
	g.policy, g.verdict = 2, GateOpen
	h.e.GateChanged()
	h.advance(time.Second)
	if len(a.policies) != 1 || a.policies[0] != 1 || len(c.policies) != 1 || c.policies[0] != 2 || len(gone.policies)+h.e.GateQueueLength() != 0 {
		t.Errorf("admitted under %v, %v and %v, %d wait", a.policies, c.policies, gone.policies, h.e.GateQueueLength())
	}
	c.wantAnswers(t)
	h.wantCalls("request", "abandoned", "request") // none for the abandoned one
	if want := clockBase + time.Second; h.lastRequest.Deadline != want-networkAllowance {
		t.Errorf("its deadline is %v, want %v: the time of waiting counts", h.lastRequest.Deadline, want-networkAllowance)
	}
}

// A request that has waited for 100 ms, or for half of its client's wait, is refused with a hint. It does not wait
// until the change of policy is over.
func TestGateWaitLimited(t *testing.T) {
	h := newHarness(t, 4)
	g := &fakeGate{verdict: GateWait}
	h.e.SetGate(g)
	var long, short, later policyCaller
	h.submit(&long, time.Second)
	h.submit(&short, 80*time.Millisecond)
	h.advance(39 * time.Millisecond)
	short.wantAnswers(t)
	h.advance(time.Millisecond)
	short.wantAnswers(t, "refused 100ms")
	h.submit(&later, time.Second)
	h.advance(60 * time.Millisecond)
	long.wantAnswers(t, "refused 100ms")
	later.wantAnswers(t)
	h.advance(40 * time.Millisecond)
	later.wantAnswers(t, "refused 100ms")
	g.verdict = GateOpen
	h.e.GateChanged()
	if len(long.policies)+len(short.policies)+len(later.policies)+h.e.GateQueueLength()+h.e.Pending() != 0 {
		t.Error("a refused request is admitted")
	}
}

// A proxy that does not know the policy refuses new and waiting requests at once. The clock is read for each request.
func TestClosedGateRefuses(t *testing.T) {
	h := newHarness(t, 4)
	g := &fakeGate{verdict: GateWait}
	h.e.SetGate(g)
	var a, c policyCaller
	h.submit(&a, time.Second)
	g.verdict = GateClosed
	h.e.GateChanged()
	a.wantAnswers(t, "refused 200ms")
	h.now += time.Minute // the process was paused
	h.submit(&c, time.Second)
	c.wantAnswers(t, "refused 200ms")
	if len(h.calls) > 0 || g.asked[len(g.asked)-1] != h.now || h.e.Counters.GateRefused != 2 || h.e.Pending() != 0 {
		t.Errorf("the router was told %v; the gate was asked at %v, now is %v", h.calls, g.asked, h.now)
	}
}
