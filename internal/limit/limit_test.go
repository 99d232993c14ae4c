package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A cold database gets no more work than its rate allows, plus one request, whatever is sent and when.
func TestColdBudgetBoundsWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, rate := NewColdBudget(), rapid.Float64Range(0.01, 3).Draw(t, "fill")
		now, startedAt := time.Hour, time.Hour
		sent, largest := 0.0, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			work := rapid.Float64Range(0.001, 0.5).Draw(t, "work")
			if budget.Allows(now, startedAt, func() float64 { return 0.1 }, rate) {
				budget.Spend(work)
				sent, largest = sent+work, max(largest, work)
			}
			if sent > rate*(now-startedAt).Seconds()+largest+1e-9 {
				t.Fatalf("%v s of work sent in %v, at a rate of %v", sent, now-startedAt, rate)
			}
		}
	})
}

func TestFailedCallsAreDelayed(t *testing.T) {
	var c CallSchedule
	now := time.Hour
	c.NoteCall(now)
	if c.Due(now+time.Hour) || c.TimedOut(now+2900*time.Millisecond) || !c.TimedOut(now+3100*time.Millisecond) {
		t.Fatal("a second call is due beside the first, or the first has no timeout")
	}
	for _, random := range []float64{0, 0.5, 0.999} {
		c.NoteCall(now)
		c.NoteEnd(now, true, random)
		if c.Healthy() || c.Due(now+500*time.Millisecond-1) || !c.Due(now+2*time.Second) {
			t.Fatalf("%+v", c)
		}
	}
	c.NoteCall(now)
	c.NoteEnd(now, false, 0.5)
	if !c.Healthy() || c.Due(now+time.Hour) {
		t.Fatalf("%+v", c)
	}
}

func TestLimitFallsWithLateAnswersAndRecovers(t *testing.T) {
	l := New(4, DefaultInitialLimit)
	if l.MaxInFlight != 9 {
		t.Fatal(l.MaxInFlight)
	}
	now := time.Hour
	for range 40 {
		now += 50 * time.Millisecond
		l.RecordAnswer(now, 100*time.Millisecond, TimeoutLatencyRatio, 5)
	}
	if l.MaxInFlight > 1 || l.LatencyRatio < HighLatencyRatio {
		t.Fatalf("%+v after forty late answers", l)
	}
	for range 200 {
		now += 50 * time.Millisecond
		l.Reached(now, 3, 1, 0)
		l.RecordAnswer(now, 100*time.Millisecond, 0.1, 3)
	}
	if l.MaxInFlight < 3 || l.LatencyRatio > HighLatencyRatio {
		t.Fatalf("%+v after two hundred answers in time", l)
	}
}

// The estimate converges to the quantile.
func TestUpdateQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quantile := rapid.SampledFrom([]float64{0.3, 0.5, 0.95}).Draw(t, "part")
		estimate := time.Duration(rapid.IntRange(1, 1000).Draw(t, "from")) * time.Millisecond
		for i := range 4000 {
			UpdateQuantile(&estimate, time.Duration(1+(i*7919)%1000)*time.Millisecond, quantile)
		}
		if want := time.Duration(quantile*1000) * time.Millisecond; (estimate - want).Abs() > 250*time.Millisecond {
			t.Fatalf("quantile %v of 1 to 1,000 ms: %v", quantile, estimate)
		}
	})
}

// The capacity of cold databases is reserved for the class of the highest worth while its requests are turned away there, and no longer.
func TestColdPriorityFollowsScarcity(t *testing.T) {
	var p ColdPriority
	if !p.Admits(0.5, 0) {
		t.Fatal("other classes are rejected before capacity is scarce")
	}
	for range 40 {
		p.Record(false)
	}
	if p.Admits(0.5, 0.9) || !p.Admits(1, 0) {
		t.Fatalf("%+v", p)
	}
	for range 60 {
		p.Record(true)
	}
	if !p.Admits(0.5, 0) {
		t.Fatalf("%+v", p)
	}
}
