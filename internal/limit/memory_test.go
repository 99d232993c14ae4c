package limit

import (
	"testing"
	"time"
)

// TestMemoryIsReportedAsItRises guards against a process that passes its memory limit without a line in its log, and against
// a line at each look.
func TestMemoryIsReportedAsItRises(t *testing.T) {
	w := MemoryWatch{Limit: 100}
	for _, step := range []struct {
		at   time.Duration
		used int64
		want bool
	}{
		{0, 49, false}, {time.Second, 50, true}, {2 * time.Second, 60, false}, {2 * time.Second, 71, true}, {3 * time.Second, 55, false},
		{3 * time.Second, 99, true}, {4 * time.Second, 99, false}, {8 * time.Second, 99, true}, {9 * time.Second, 20, false},
		{14 * time.Second, 20, false}, {15 * time.Second, 51, true},
	} {
		if got := w.Report(step.at, step.used); got != step.want {
			t.Errorf("%d of 100 bytes after %v: reported %v, want %v", step.used, step.at, got, step.want)
		}
	}
	if none := (MemoryWatch{}); none.Report(0, 1<<40) {
		t.Error("reported without a limit")
	}
}
