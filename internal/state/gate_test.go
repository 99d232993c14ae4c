package state

import (
	"testing"
	"time"

	"havenproxy/logic"
)

// door is a gate that the test opens and shuts.
type fakeGate struct {
	policy  uint64
	verdict GateDecision
	asked   []time.Duration
}

func (d *fakeGate) Admit(now time.Duration) (uint64, GateDecision) {
	d.asked = append(d.asked, now)
	return d.policy, d.verdict
}

// told is a caller that notes the policy that it was taken under.
type policyCaller struct {
	caller
	policies []uint64
}

func (c *policyCaller) SetPolicy(policy uint64) { c.policies = append(c.policies, policy) }

func (b *harness) submit(c Caller, wait time.Duration) logic.RequestID {
	id, err := b.e.Submit(Request{Class: "any", Wait: wait, Command: command{}, Caller: c})
	if err != nil {
		b.t.Fatal(err)
	}
	return id
}

// Requests that come while a change is at its point wait, and are taken under the new policy, each once and in their order.
func TestWhatWaitsAtThePointIsTakenUnderTheNewPolicy(t *testing.T) {
	b := newHarness(t, 4)
	g := &fakeGate{policy: 1}
	b.e.SetGate(g)
	var a, c, gone policyCaller
	b.submit(&a, time.Second)
	g.verdict = GateWait
	b.submit(&c, time.Second)
	id := b.submit(&gone, time.Second)
	b.e.Abandon(id)
	if b.e.GateQueueLength() != 2 || len(b.calls) != 2 { // one request, and one that was abandoned
		t.Fatalf("%d wait, the router was told %v", b.e.GateQueueLength(), b.calls)
	}
	b.now += 30 * time.Millisecond
	b.e.GateChanged() // not yet
	g.policy, g.verdict = 2, GateOpen
	b.e.GateChanged()
	b.advance(time.Second)
	if len(a.policies) != 1 || a.policies[0] != 1 || len(c.policies) != 1 || c.policies[0] != 2 || len(gone.policies)+b.e.GateQueueLength() != 0 {
		t.Errorf("taken under %v, %v and %v, %d wait", a.policies, c.policies, gone.policies, b.e.GateQueueLength())
	}
	c.wantAnswers(t)
	b.wantCalls("request", "abandoned", "request") // and none of who has gone
	if want := clockBase + time.Second; b.lastRequest.Deadline != want-networkAllowance {
		t.Errorf("its time ends at %v, want %v: it runs while it waits", b.lastRequest.Deadline, want-networkAllowance)
	}
}

// What waits for 100 ms, or for half of its time, is refused then, with a hint: not held back until a change is over.
func TestNothingWaitsLongAtThePoint(t *testing.T) {
	b := newHarness(t, 4)
	g := &fakeGate{verdict: GateWait}
	b.e.SetGate(g)
	var long, short, later policyCaller
	b.submit(&long, time.Second)
	b.submit(&short, 80*time.Millisecond)
	b.advance(39 * time.Millisecond)
	short.wantAnswers(t)
	b.advance(time.Millisecond)
	short.wantAnswers(t, "refused 100ms")
	b.submit(&later, time.Second)
	b.advance(60 * time.Millisecond)
	long.wantAnswers(t, "refused 100ms")
	later.wantAnswers(t)
	b.advance(40 * time.Millisecond)
	later.wantAnswers(t, "refused 100ms")
	g.verdict = GateOpen
	b.e.GateChanged()
	if len(long.policies)+len(short.policies)+len(later.policies)+b.e.GateQueueLength()+b.e.Pending() != 0 {
		t.Error("what was refused is taken")
	}
}

// Who can't know the policy refuses at once, what waits as well, and the clock is read anew for each request.
func TestWithoutThePolicyNothingIsTaken(t *testing.T) {
	b := newHarness(t, 4)
	g := &fakeGate{verdict: GateWait}
	b.e.SetGate(g)
	var a, c policyCaller
	b.submit(&a, time.Second)
	g.verdict = GateClosed
	b.e.GateChanged()
	a.wantAnswers(t, "refused 200ms")
	b.now += time.Minute // it stood still
	b.submit(&c, time.Second)
	c.wantAnswers(t, "refused 200ms")
	if len(b.calls) > 0 || g.asked[len(g.asked)-1] != b.now || b.e.Counters.GateRefused != 2 || b.e.Pending() != 0 {
		t.Errorf("the router was told %v; asked for %v at %v", b.calls, g.asked, b.now)
	}
}
