package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever is sent and when, a cold database gets no more than its fill over any time, and one piece of work beyond.
func TestAnAccountBoundsTheWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, fill := NewColdBudget(), rapid.Float64Range(0.01, 3).Draw(t, "fill")
		now, from := time.Hour, time.Hour
		sent, largest := 0.0, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			work := rapid.Float64Range(0.001, 0.5).Draw(t, "work")
			if a.Allows(now, from, func() float64 { return 0.1 }, fill) {
				a.Spend(work)
				sent, largest = sent+work, max(largest, work)
			}
			if sent > fill*(now-from).Seconds()+largest+1e-9 {
				t.Fatalf("%v sent in %v at %v a second", sent, now-from, fill)
			}
		}
	})
}

func TestCallsAreSpacedOutWhereTheyFail(t *testing.T) {
	var c CallSchedule
	now := time.Hour
	c.NoteCall(now)
	if c.Due(now+time.Hour) || c.TimedOut(now+2900*time.Millisecond) || !c.TimedOut(now+3100*time.Millisecond) {
		t.Fatal("a second call goes out beside the first, or its end is waited for without end")
	}
	for _, draw := range []float64{0, 0.5, 0.999} {
		c.NoteCall(now)
		c.NoteEnd(now, true, draw)
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

func TestALimitFallsWithLateAnswersAndComesBack(t *testing.T) {
	l := New(4, DefaultInitialLimit)
	if l.MaxInFlight != 9 {
		t.Fatal(l.MaxInFlight)
	}
	now := time.Hour
	for range 40 {
		now += 50 * time.Millisecond
		l.RecordAnswer(now, 100*time.Millisecond, LateStrain, 5)
	}
	if l.MaxInFlight > 1 || l.Strain < HighStrain {
		t.Fatalf("%+v after forty late answers", l)
	}
	for range 200 {
		now += 50 * time.Millisecond
		l.Reached(now, 3, 1, 0)
		l.RecordAnswer(now, 100*time.Millisecond, 0.1, 3)
	}
	if l.MaxInFlight < 3 || l.Strain > HighStrain {
		t.Fatalf("%+v after two hundred good ones", l)
	}
}

// The estimate finds the quantile that it is asked for.
func TestQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SampledFrom([]float64{0.3, 0.5, 0.95}).Draw(t, "part")
		est := time.Duration(rapid.IntRange(1, 1000).Draw(t, "from")) * time.Millisecond
		for i := range 4000 {
			UpdateQuantile(&est, time.Duration(1+(i*7919)%1000)*time.Millisecond, part)
		}
		if want := time.Duration(part*1000) * time.Millisecond; (est - want).Abs() > 250*time.Millisecond {
			t.Fatalf("%v of 1 to 1,000 ms: %v", part, est)
		}
	})
}

// What cold databases bear goes to the worthiest class while that is turned away there, and to all again when it isn't.
func TestPriorityFollowsWhatRunsShort(t *testing.T) {
	var p ColdPriority
	if !p.Admits(0.5, 0) {
		t.Fatal("the lesser classes are kept off before anything runs short")
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
