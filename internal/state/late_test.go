package state

import (
	"testing"
	"time"
)

// Guards against incident 38 going unseen: an answer that comes behind its client's time is counted as late, one in time is not.
func TestAnswersBehindTheirTimeAreCounted(t *testing.T) {
	b := newBench(t, 9)
	in := func(wait time.Duration) {
		id, err := b.f.Submit(Request{Name: "r", Class: "any", Wait: wait, Command: command{}, Caller: &caller{}})
		if err != nil {
			t.Fatal(err)
		}
		b.now += 300 * time.Millisecond
		b.f.Refuse(id, 0)
	}
	if in(time.Second); b.f.Counters.AnsweredLate != 0 {
		t.Error("an answer in time is counted as late")
	}
	if in(238 * time.Millisecond); b.f.Counters.AnsweredLate != 1 {
		t.Error("an answer behind its client's time is not counted")
	}
}

// A request that waited in the loop's queue has that much less time: its attempts and its databases are told what its client has left.
func TestTimeInTheQueueCounts(t *testing.T) {
	b := newBench(t, 9)
	if _, err := b.f.Submit(Request{Class: "any", Wait: time.Second, ReceivedAt: b.now - 300*time.Millisecond, Command: command{}, Caller: &caller{}}); err != nil {
		t.Fatal(err)
	}
	if left := b.req.Deadline - b.now; left != 700*time.Millisecond-wayHome {
		t.Errorf("%v are left, want %v", left, 700*time.Millisecond-wayHome)
	}
}
