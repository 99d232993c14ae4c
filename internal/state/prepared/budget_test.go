package prepared

import (
	"strings"
	"testing"
)

func TestBudgetAndShares(t *testing.T) {
	r := NewBudget(3000)
	a, b := r.NewShare(3, 2000), r.NewShare(100, 100000)
	text := strings.Repeat("x", 100) // 400 bytes including the overhead
	for range 3 {
		if err := a.CheckFits(text); err != nil {
			t.Fatal(err)
		}
		a.Add(text)
	}
	if err := a.CheckFits("x"); err == nil || !strings.Contains(err.Error(), "3 statements") {
		t.Errorf("a fourth statement with a limit of three: %v", err)
	}
	a.Remove(text)
	if err := a.CheckFits(strings.Repeat("x", 1000)); err == nil || !strings.Contains(err.Error(), "this connection") {
		t.Errorf("a statement beyond the byte limit: %v", err)
	}
	for b.CheckFits(text) == nil {
		b.Add(text)
	}
	if err := b.CheckFits(text); !strings.Contains(err.Error(), "all connections") || a.Used()+b.Used() > 3000 || b.Used() < 2000 {
		t.Errorf("%v, %d and %d bytes", err, a.Used(), b.Used())
	}
	if err := a.CheckFits(text); err == nil {
		t.Error("statements count for their own client only")
	}
}
