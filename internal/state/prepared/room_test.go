package prepared

import (
	"strings"
	"testing"
)

func TestARoomAndItsShares(t *testing.T) {
	r := NewRoom(3000)
	a, b := r.Share(3, 2000), r.Share(100, 100000)
	text := strings.Repeat("x", 100) // 400 bytes with what goes round it
	for range 3 {
		if err := a.Fits(text); err != nil {
			t.Fatal(err)
		}
		a.Take(text)
	}
	if err := a.Fits("x"); err == nil || !strings.Contains(err.Error(), "3 statements") {
		t.Errorf("the fourth of three: %v", err)
	}
	a.Drop(text)
	if err := a.Fits(strings.Repeat("x", 1000)); err == nil || !strings.Contains(err.Error(), "this connection") {
		t.Errorf("beyond its bytes: %v", err)
	}
	for b.Fits(text) == nil {
		b.Take(text)
	}
	if err := b.Fits(text); !strings.Contains(err.Error(), "all connections") || a.Used()+b.Used() > 3000 || b.Used() < 2000 {
		t.Errorf("%v, %d and %d bytes", err, a.Used(), b.Used())
	}
	if err := a.Fits(text); err == nil {
		t.Error("one client's are counted for that one only")
	}
}
