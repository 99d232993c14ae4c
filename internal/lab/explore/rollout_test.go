package explore

import (
	"strings"
	"testing"

	"havenproxy/internal/rollout"
)

// Every state that small tiers can come to keeps the promises: nobody takes a request under a policy behind the point of the next, nor
// under one that was given up.
func TestEveryStateOfSmallTiersKeepsThePromises(t *testing.T) {
	for name, tier := range map[string]RolloutModel{
		"two changes":           {Proxies: 2, Changes: 2},
		"a proxy dies":          {Proxies: 2, Changes: 1, Crashes: 1},
		"a planner dies":        {Proxies: 2, Changes: 1, Elections: 1},
		"one is given up":       {Proxies: 2, Changes: 1, Aborts: 1, Hellos: 1},
		"commands come late":    {Proxies: 1, Changes: 1, Elections: 1, Async: true},
		"leases, of one":        {Proxies: 1, Changes: 1, Renewals: 1, MaxTicks: 3, Leases: true},
		"leases, and a planner": {Proxies: 1, Changes: 1, Renewals: 1, MaxTicks: 1, Elections: 1, Leases: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := All(tier.Start(), 200_000)
			t.Logf("%d states, %d steps, depth %d, all: %v", r.States, r.Steps, r.Depth, r.Complete)
			if r.Broken != "" || !r.Complete {
				t.Errorf("all %v; %s\n  %s", r.Complete, r.Broken, strings.Join(r.Trace, "\n  "))
			}
		})
	}
}

// Larger ones do along random ways.
func TestRandomWaysOfLargerTiersKeepThePromises(t *testing.T) {
	for name, tier := range map[string]RolloutModel{
		"leases":    {Proxies: 3, Changes: 2, Renewals: 4, MaxTicks: 9, Elections: 2, Crashes: 1, Hellos: 2, Aborts: 1, Leases: true, Async: true},
		"no leases": {Proxies: 3, Changes: 2, MaxTicks: 9, Elections: 1, Crashes: 1, Hellos: 2, Aborts: 1, Async: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if r := Walk(tier.Start, 100, 100); r.Broken != "" {
				t.Errorf("%s\n  %s", r.Broken, strings.Join(r.Trace, "\n  "))
			}
		})
	}
}

// Each guard, taken out, is missed.
func TestEachGuardIsMissed(t *testing.T) {
	for i, tier := range Mutants {
		t.Run(rollout.GuardNames[i], func(t *testing.T) {
			t.Parallel()
			tier.DisabledGuards = 1 << i
			r := All(tier.Start(), 600_000)
			if r.Broken == "" {
				t.Fatalf("not missed in %d states", r.States)
			}
			t.Logf("%d states; %s\n  %s", r.States, r.Broken, strings.Join(r.Trace, "\n  "))
		})
	}
}
