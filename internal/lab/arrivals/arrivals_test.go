package arrivals

import (
	"math"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"

	"havenproxy/internal/trace"
)

func all(s Source) (out []Request) {
	for {
		r, more := s.Next()
		if !more {
			return out
		}
		out = append(out, r)
	}
}

func config(rate func(time.Duration) float64) Config {
	return Config{Seed: 5, Rate: rate, For: 100 * time.Second, Shares: []float64{1, 3}, Groups: 4, Sessions: 10, HotSession: 0.2}
}

// Gaps are exponential, whatever the step in which the rate is looked at: mean and deviation are both one over the rate, and
// counts follow the rate's course.
func TestGapsAreExponential(t *testing.T) {
	for _, rate := range []float64{5, 60, 2000} { // gaps far above, near, and far below the step
		list := all(New(config(func(time.Duration) float64 { return rate })))
		var gaps []float64
		for i := range list[1:] {
			gaps = append(gaps, (list[i+1].At - list[i].At).Seconds())
		}
		mean, dev := stat.MeanStdDev(gaps, nil)
		off := 4 / math.Sqrt(float64(len(gaps)))
		if math.Abs(mean*rate-1) > off || math.Abs(dev*rate-1) > 2*off {
			t.Errorf("%v a second: mean gap %v, deviation %v", rate, mean, dev)
		}
	}
	list := all(New(config(func(at time.Duration) float64 {
		if at < 50*time.Second {
			return 0
		}
		return 200
	})))
	if list[0].At < 50*time.Second || math.Abs(float64(len(list))-10000) > 400 {
		t.Errorf("%d requests, the first at %v", len(list), list[0].At)
	}
}

func TestSharesGroupsAndSessions(t *testing.T) {
	list := all(New(config(func(time.Duration) float64 { return 500 })))
	n := float64(len(list))
	classes, hot, groups, sessions := 0.0, 0.0, map[int]int{}, map[int]bool{}
	for _, r := range list {
		classes += float64(r.Class)
		groups[r.Group]++
		if sessions[r.Session] = true; r.Session == 0 {
			hot++
		}
		if r.Luck <= 0 || r.Luck > 1 {
			t.Fatalf("luck %v", r.Luck)
		}
	}
	if math.Abs(classes/n-0.75) > 0.01 || math.Abs(hot/n-0.2) > 0.01 || len(groups) != 4 || len(sessions) != 11 {
		t.Errorf("%v of class 1, %v of the hot session, %d groups, %d sessions", classes/n, hot/n, len(groups), len(sessions))
	}
	again := all(New(config(func(time.Duration) float64 { return 500 })))
	for i := range list {
		if again[i] != list[i] {
			t.Fatal("the same seed gave other requests")
		}
	}
}

// A trace is played in its order, faster where that is asked for; what the fleet doesn't have is left out and counted.
func TestReplay(t *testing.T) {
	tr := &trace.Trace{Header: trace.Header{Classes: []string{"other", "kayit-yaz"}}, Records: []trace.Record{
		{At: 0, Class: 1, Group: 0, Session: 77}, {At: 100 * time.Millisecond, Class: 0}, {At: 200 * time.Millisecond, Class: 1, Group: 9, Session: 88},
		{At: 300 * time.Millisecond, Class: 1, Group: 1, Session: 77}, {At: 9 * time.Second, Class: 1}}}
	s, left := Replay(tr, []string{"katalog", "kayit-yaz"}, 3, 10, 500*time.Millisecond, 1)
	list := all(s)
	if left != 1 || len(list) != 3 {
		t.Fatalf("%d left out, %+v", left, list)
	}
	for i, want := range []struct {
		at             time.Duration
		group, session int
	}{{0, 0, 1}, {20 * time.Millisecond, 0, 2}, {30 * time.Millisecond, 1, 1}} {
		if r := list[i]; r.At != want.at || r.Group != want.group || r.Session != want.session || r.Class != 1 {
			t.Errorf("%d: %+v", i, r)
		}
	}
}
