package switches

import (
	"testing"
	"time"

	"havenproxy/internal/handover"
)

// Every key is applied once or refused, whatever happens to primaries, and every request has its answer.
func TestNoWriteIsLostOrDoubled(t *testing.T) {
	for name, p := range map[string]Plan{
		"off":           {Seed: 1, Count: 60, Retries: 3},
		"held":          {Seed: 1, Count: 60, Retries: 3, Hold: handover.Config{Hold: true}},
		"held, patient": {Seed: 1, Count: 60, Retries: 3, Hold: handover.Config{Hold: true}, Writes: 8 * time.Second},
		"five proxies":  {Seed: 1, Count: 60, Retries: 3, Hold: handover.Config{Hold: true}, Proxies: 5},
	} {
		r := Virtual(p)
		if r.Switches < 60 || r.Keys < 200 || len(r.Violations) > 0 || r.Silent > 0 || r.Fell > 0 {
			t.Errorf("%s: %v silent %d", name, r, r.Silent)
		}
	}
}

// The check itself: with the guard on repeats taken out it finds a key that was applied twice.
func TestWithoutItsGuardTheCheckFindsADouble(t *testing.T) {
	p := Plan{Seed: 1, Count: 100, Retries: 3, Rate: 400, Kinds: []Kind{Crash, LongHang}, Hold: handover.Config{Hold: true}, Writes: 8 * time.Second}
	if r := Virtual(p); len(r.Violations) > 0 {
		t.Errorf("with its guard: %v", r)
	}
	p.Hold.Margin = -time.Hour
	r := Virtual(p)
	twice := 0
	for _, v := range r.Violations {
		if v.Applied > 1 {
			twice++
		}
	}
	if twice == 0 {
		t.Errorf("%v", r)
	}
}
