package virtual

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/levels"
	"havenproxy/internal/state"
)

// TestShow prints what levels do at several loads; it is no test of anything.
func TestShow(t *testing.T) {
	if os.Getenv("SHOW") == "" {
		t.Skip("set SHOW to see the figures")
	}
	for _, x := range []float64{0.7, 0.9, 1.0, 1.1, 1.3, 1.6, 2.0, 3.0} {
		for _, on := range []bool{false, true} {
			var line strings.Builder
			n := 5
			worth := 0.0
			sum := make([]float64, 5)
			changes, most := 0, 0
			for seed := range n {
				cfg := Yard(uint64(seed + 1))
				if on {
					cfg.Levels = yardLevels(cfg)
				}
				rate := x * cfg.Capacity()
				cfg.Rate = func(time.Duration) float64 { return rate }
				r := Play(cfg)
				worth += r.Worth / float64(n)
				for i := range sum {
					sum[i] += r.InAim(i) / float64(n)
				}
				changes += len(r.Changes)
				most = max(most, r.Most)
				if seed == 0 && on && os.Getenv("SHOW") == "2" {
					for _, c := range r.Changes {
						fmt.Println(c.At%(1000*time.Second), c.From, c.To, c.Reason)
					}
				}
			}
			for i := range sum {
				fmt.Fprintf(&line, " %.3f", sum[i])
			}
			fmt.Printf("%.1f on=%-5v worth %.3f in aim%s changes %d most %d\n", x, on, worth, line.String(), changes, most)
		}
	}
}

func yardLevels(cfg Config) *levels.Config {
	classes := state.LevelClasses(LogicConfig(cfg.Fleet, 1))
	c := levels.Config{Classes: classes, Ladder: levels.DefaultLadder(classes)}.WithDefaults()
	if err := c.Validate(); err != nil {
		panic(err)
	}
	return &c
}
