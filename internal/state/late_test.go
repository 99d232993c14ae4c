package state

import (
	"testing"
	"time"
)

// Guards against incident 38 going unnoticed: a request answered after the end of its client's wait is counted as
// late, one answered in time is not.
func TestLateAnswersCounted(t *testing.T) {
	h := newHarness(t, 9)
	in := func(wait time.Duration) {
		id, err := h.e.Submit(Request{Name: "r", Class: "any", Wait: wait, Command: command{}, Caller: &caller{}})
		if err != nil {
			t.Fatal(err)
		}
		h.now += 300 * time.Millisecond
		h.e.Refuse(id, 0)
	}
	if in(time.Second); h.e.Counters.AnsweredLate != 0 {
		t.Error("an answer in time is counted as late")
	}
	if in(238 * time.Millisecond); h.e.Counters.AnsweredLate != 1 {
		t.Error("an answer after its client's wait is not counted as late")
	}
}

// The time that a request waited in the event loop's queue counts: its attempts and databases get the time that its
// client has left.
func TestQueueTimeCounts(t *testing.T) {
	h := newHarness(t, 9)
	if _, err := h.e.Submit(Request{Class: "any", Wait: time.Second, ReceivedAt: h.now - 300*time.Millisecond, Command: command{}, Caller: &caller{}}); err != nil {
		t.Fatal(err)
	}
	if left := h.lastRequest.Deadline - h.now; left != 700*time.Millisecond-networkAllowance {
		t.Errorf("%v are left, want %v", left, 700*time.Millisecond-networkAllowance)
	}
}
