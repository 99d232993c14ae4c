package explore

import (
	"strings"
	"testing"

	"havenproxy/internal/rollout"
)

// Every state that small tiers can come to keeps the promises: nobody takes a request under a policy behind the point of the next, nor
// under one that was given up.
func TestEveryStateOfSmallTiersKeepsThePromises(t *testing.T) {
	for name, tier := range map[string]Tier{
		"two changes":           {Proxies: 2, Changes: 2},
		"a proxy dies":          {Proxies: 2, Changes: 1, Crashes: 1},
		"a planner dies":        {Proxies: 2, Changes: 1, Leaders: 1},
		"one is given up":       {Proxies: 2, Changes: 1, Aborts: 1, Hellos: 1},
		"commands come late":    {Proxies: 1, Changes: 1, Leaders: 1, Async: true},
		"leases, of one":        {Proxies: 1, Changes: 1, Asks: 1, Ticks: 3, Leases: true},
		"leases, and a planner": {Proxies: 1, Changes: 1, Asks: 1, Ticks: 1, Leaders: 1, Leases: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := All(tier.Start(), 200_000)
			t.Logf("%d states, %d steps, depth %d, all: %v", r.States, r.Steps, r.Depth, r.Whole)
			if r.Broken != "" || !r.Whole {
				t.Errorf("all %v; %s\n  %s", r.Whole, r.Broken, strings.Join(r.Way, "\n  "))
			}
		})
	}
}

// Larger ones do along random ways.
func TestRandomWaysOfLargerTiersKeepThePromises(t *testing.T) {
	for name, tier := range map[string]Tier{
		"leases":    {Proxies: 3, Changes: 2, Asks: 4, Ticks: 9, Leaders: 2, Crashes: 1, Hellos: 2, Aborts: 1, Leases: true, Async: true},
		"no leases": {Proxies: 3, Changes: 2, Ticks: 9, Leaders: 1, Crashes: 1, Hellos: 2, Aborts: 1, Async: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if r := Walk(tier.Start, 100, 100); r.Broken != "" {
				t.Errorf("%s\n  %s", r.Broken, strings.Join(r.Way, "\n  "))
			}
		})
	}
}

// Each guard, taken out, is missed.
func TestEachGuardIsMissed(t *testing.T) {
	for i, tier := range Mutants {
		t.Run(rollout.GuardNames[i], func(t *testing.T) {
			t.Parallel()
			tier.Without = 1 << i
			r := All(tier.Start(), 600_000)
			if r.Broken == "" {
				t.Fatalf("not missed in %d states", r.States)
			}
			t.Logf("%d states; %s\n  %s", r.States, r.Broken, strings.Join(r.Way, "\n  "))
		})
	}
}
