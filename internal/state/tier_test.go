package state

import (
	"testing"
	"time"

	"havenproxy/logic"
)

// door is a gate that the test opens and shuts.
type door struct {
	policy  uint64
	verdict GateDecision
	asked   []time.Duration
}

func (d *door) Admit(now time.Duration) (uint64, GateDecision) {
	d.asked = append(d.asked, now)
	return d.policy, d.verdict
}

// told is a caller that notes the policy that it was taken under.
type told struct {
	caller
	policies []uint64
}

func (c *told) SetPolicy(policy uint64) { c.policies = append(c.policies, policy) }

func (b *bench) come(c Caller, wait time.Duration) logic.RequestID {
	id, err := b.f.Submit(Request{Class: "any", Wait: wait, Command: command{}, Caller: c})
	if err != nil {
		b.t.Fatal(err)
	}
	return id
}

// Requests that come while a change is at its point wait, and are taken under the new policy, each once and in their order.
func TestWhatWaitsAtThePointIsTakenUnderTheNewPolicy(t *testing.T) {
	b := newBench(t, 4)
	g := &door{policy: 1}
	b.f.SetGate(g)
	var a, c, gone told
	b.come(&a, time.Second)
	g.verdict = GateWait
	b.come(&c, time.Second)
	id := b.come(&gone, time.Second)
	b.f.Abandon(id)
	if b.f.GateQueueLength() != 2 || len(b.told) != 2 { // one request, and one that was abandoned
		t.Fatalf("%d wait, the router was told %v", b.f.GateQueueLength(), b.told)
	}
	b.now += 30 * time.Millisecond
	b.f.GateChanged() // not yet
	g.policy, g.verdict = 2, GateOpen
	b.f.GateChanged()
	b.pass(time.Second)
	if len(a.policies) != 1 || a.policies[0] != 1 || len(c.policies) != 1 || c.policies[0] != 2 || len(gone.policies)+b.f.GateQueueLength() != 0 {
		t.Errorf("taken under %v, %v and %v, %d wait", a.policies, c.policies, gone.policies, b.f.GateQueueLength())
	}
	c.want(t)
	b.want("request", "abandoned", "request") // and none of who has gone
	if want := clockBase + time.Second; b.req.Deadline != want-wayHome {
		t.Errorf("its time ends at %v, want %v: it runs while it waits", b.req.Deadline, want-wayHome)
	}
}

// What waits for 100 ms, or for half of its time, is refused then, with a hint: not held back until a change is over.
func TestNothingWaitsLongAtThePoint(t *testing.T) {
	b := newBench(t, 4)
	g := &door{verdict: GateWait}
	b.f.SetGate(g)
	var long, short, later told
	b.come(&long, time.Second)
	b.come(&short, 80*time.Millisecond)
	b.pass(39 * time.Millisecond)
	short.want(t)
	b.pass(time.Millisecond)
	short.want(t, "refused 100ms")
	b.come(&later, time.Second)
	b.pass(60 * time.Millisecond)
	long.want(t, "refused 100ms")
	later.want(t)
	b.pass(40 * time.Millisecond)
	later.want(t, "refused 100ms")
	g.verdict = GateOpen
	b.f.GateChanged()
	if len(long.policies)+len(short.policies)+len(later.policies)+b.f.GateQueueLength()+b.f.Pending() != 0 {
		t.Error("what was refused is taken")
	}
}

// Who can't know the policy refuses at once, what waits as well, and the clock is read anew for each request.
func TestWithoutThePolicyNothingIsTaken(t *testing.T) {
	b := newBench(t, 4)
	g := &door{verdict: GateWait}
	b.f.SetGate(g)
	var a, c told
	b.come(&a, time.Second)
	g.verdict = GateClosed
	b.f.GateChanged()
	a.want(t, "refused 200ms")
	b.now += time.Minute // it stood still
	b.come(&c, time.Second)
	c.want(t, "refused 200ms")
	if len(b.told) > 0 || g.asked[len(g.asked)-1] != b.now || b.f.Counters.GateRefused != 2 || b.f.Pending() != 0 {
		t.Errorf("the router was told %v; asked for %v at %v", b.told, g.asked, b.now)
	}
}
