package worksim

import (
	"testing"
	"time"

	"havenproxy/internal/takeover"
)

const ms = time.Millisecond

// usual is a tier of six in which one after the other ends, stands still or is cut off.
func usual(seed uint64) Config {
	return Config{Seed: seed, Proxies: 6, Writes: 400, WriteInterval: 25 * ms, Durability: takeover.Required, Enabled: true, Loss: []float64{0.1, 0.01, 0.5}[seed%3], Duplication: 0.05,
		MaxDelay: 3 * ms, FaultInterval: 700 * ms, MaxConcurrentFaults: 1, FaultPause: time.Second, MaxFault: 4 * time.Second, MembershipTimeout: 2500 * ms, ClockSkew: 0.05, DeduplicationWindow: 3 * time.Second,
		ClientTimeout: 3 * time.Second, MaxRunTime: 90 * ms, Retries: 2, MaxRetryPause: 3 * time.Second, HeldShare: 0.2}
}

// Proxies end, stand still and are cut off under 400 keyed writes each, messages are lost at 1, 10 and 50%, doubled and overtaken: nothing is
// applied twice, nobody hears that it was served or refused that wasn't, and who has lost a piece of work sends nothing for it.
func TestWorkSurvivesTheLossOfItsProxy(t *testing.T) {
	claimed := uint64(0)
	for seed := uint64(1); seed <= 15; seed++ {
		r := Run(usual(seed))
		if claimed += r.Counters.TakenOver; r.Violations() > 0 {
			t.Errorf("seed %d: %s; %+v", seed, r.FirstBreach, r)
		}
	}
	if claimed == 0 {
		t.Error("nothing was taken over")
	}
}

// Without records, the same plays double some: the auditor sees what it is for.
func TestWithoutRecordsSomeAreDoubled(t *testing.T) {
	doubled := 0
	for seed := uint64(1); seed <= 10; seed++ {
		c := usual(seed)
		c.Enabled = false
		doubled += Run(c).Doubled
	}
	if doubled == 0 {
		t.Error("none is doubled")
	}
}

// Each guard, taken out, is missed. Those behind them are against messages that are older than any here: see the room's own tests.
func TestEachGuardIsMissed(t *testing.T) {
	for g, name := range takeover.GuardNames[:7] {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 60; seed++ {
				c := usual(seed)
				c.Takeover.DisabledGuards = 1 << g
				if takeover.Guards(1 << g).Has(takeover.NoPromiseCheck | takeover.NoEpochCheck) { // keepers that hear an owner unlike one another
					c.Loss = 0.5
				}
				if r := Run(c); r.Violations() > 0 {
					t.Logf("seed %d: %s", seed, r.FirstBreach)
					return
				}
			}
			t.Error("not missed in 60 seeds")
		})
	}
}
