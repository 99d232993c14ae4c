package virtual

import (
	"testing"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/state"
)

// A replica that hung for three seconds answers on connections from before: it never stopped, and is not cold. One that
// crashed and is back is.
func TestAReplicaBackFromAHangIsNotCold(t *testing.T) {
	for kind, cold := range map[fleet.Kind]bool{fleet.Hang: false, fleet.Crash: true} {
		cfg := Yard(3)
		cfg.For = 20 * time.Second
		cfg.Fleet.ListDelay = fleet.Span{From: 700 * time.Millisecond, To: 1500 * time.Millisecond}
		cfg.Rate = func(time.Duration) float64 { return 60 }
		cfg.Faults = []Fault{{At: 8 * time.Second, Fault: fleet.Fault{Kind: kind, Member: 1, For: 3 * time.Second}}}
		seen, health := false, ""
		cfg.At = []Action{{At: 13 * time.Second, Do: func(f *state.Engine) {
			for _, d := range f.Databases() {
				if d.Name == "db1" {
					seen, health = d.Cold, d.Health
				}
			}
		}}}
		Play(cfg)
		if seen != cold || !cold && health != "ok" {
			t.Errorf("two seconds behind its %s: cold %v, %s", kind, seen, health)
		}
	}
}
