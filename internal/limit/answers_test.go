package limit

import (
	"testing"
	"time"
)

// Progress is each byte that the peer's machine acknowledges, not only room in the socket's buffer.
func TestAcknowledgedBytesAreProgress(t *testing.T) {
	var p Progress
	now := time.Hour
	const full = 500000
	steps := []struct {
		wait    time.Duration
		held    int
		stalled bool
	}{
		{0, full, false},
		{StallTimeout - time.Second, full - 1, false},
		{StallTimeout - time.Second, full - 2, false},
		{StallTimeout - time.Second, full - 2, false},
		{time.Second, full - 2, true},
		{0, full - 3, false},
		{2 * StallTimeout, 0, false}, // all acknowledged
	}
	for i, step := range steps {
		now += step.wait
		if got := p.Stalled(now, step.held); got != step.stalled {
			t.Errorf("step %d: stalled is %t, want %t", i, got, step.stalled)
		}
	}
}

func TestAnswerBudgetAdmits(t *testing.T) {
	idle, owed := ClientLoad{MaxPending: 4}, ClientLoad{MaxPending: 4, Pending: 1}
	cases := []struct {
		name   string
		budget AnswerBudget
		client ClientLoad
		want   bool
	}{
		{"nothing waits", AnswerBudget{PerClient: 10, Total: 100}, owed, true},
		{"as many are pending as may be", AnswerBudget{PerClient: 10, Total: 100}, ClientLoad{MaxPending: 4, Pending: 4}, false},
		{"the client's limit is reached", AnswerBudget{PerClient: 10, Total: 100}, ClientLoad{MaxPending: 4, Unsent: 10}, true},
		{"the client is over its limit", AnswerBudget{PerClient: 10, Total: 100}, ClientLoad{MaxPending: 4, Unsent: 11}, false},
		{"one at a time", AnswerBudget{PerClient: 10, Total: 100}, ClientLoad{MaxPending: 4, Pending: 1, OneAtATime: true}, false},
		{"one at a time, none owed", AnswerBudget{PerClient: 10, Total: 100}, ClientLoad{MaxPending: 4, OneAtATime: true}, true},
		{"too much waits in all", AnswerBudget{PerClient: 10, Total: 100, Unsent: 101}, owed, false},
		{"too much waits in all, none owed here", AnswerBudget{PerClient: 10, Total: 100, Unsent: 101}, idle, true},
		{"too much is expected", AnswerBudget{PerClient: 10, Total: 100, Pending: 3, meanSize: 34}, owed, false},
		{"less is expected", AnswerBudget{PerClient: 10, Total: 100, Pending: 3, meanSize: 33}, owed, true},
	}
	for _, c := range cases {
		if got := c.budget.Admits(c.client); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
	var b AnswerBudget
	b.RecordAnswer(640)
	b.RecordAnswer(0)
	if b.meanSize != 630 {
		t.Errorf("the mean is %v, want 630", b.meanSize)
	}
}
