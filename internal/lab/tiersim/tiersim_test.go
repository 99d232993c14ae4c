package tiersim

import (
	"testing"
	"time"

	"havenproxy/internal/rollout"
)

const ms = time.Millisecond

func big(seed uint64) Config {
	return Config{Seed: seed, Proxies: 300, Lease: 2 * time.Second, Length: 30 * time.Second, Every: 2 * time.Second, Delay: 20 * ms, Down: 30, Skew: 0.05}
}

// 300 proxies, 30 of them down at any moment, a change every 2 s: no promise is broken, and changes come into force.
func TestThreeHundredProxiesThirtyOfThemDown(t *testing.T) {
	r := Play(big(1))
	if r.Breaches > 0 || r.InForce < 3 || r.Taken == 0 {
		t.Errorf("%+v", r)
	}
	if bound := (rollout.Config{Lease: 2 * time.Second}).WithDefaults().ChangeTimeout + time.Second; r.Took[len(r.Took)-1] > bound {
		t.Errorf("a change took %v, the bound is %v", r.Took[len(r.Took)-1], bound)
	}
}

// Without short leases no change would come into force in such a tier: there is always one that has just fallen silent.
func TestShortLeasesAreWhatLetsAChangeThrough(t *testing.T) {
	c := big(1)
	c.Short = c.Lease
	if r := Play(c); r.InForce > 0 || r.GivenUp == 0 {
		t.Errorf("%+v", r)
	}
}

// Loss at 1, 10 and 50 in a hundred, messages doubled and overtaken, leaders that change, clocks of unlike rates: no promise is broken, and
// each change ends.
func TestLossDoublesAndLeadersThatChange(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		c := Config{Seed: seed, Proxies: 8, Lease: 500 * ms, Length: 20 * time.Second, Every: 300 * ms, Loss: []float64{0.01, 0.1, 0.5}[seed%3], Double: 0.2,
			Delay: 30 * ms, Down: 2, Leaders: 2 * time.Second, Late: 0.05, Skew: 0.1}
		if seed%4 == 0 {
			c.Lease = 0
		}
		if r := Play(c); r.Breaches > 0 || r.InForce+r.GivenUp == 0 {
			t.Errorf("seed %d: %s; %+v", seed, r.First, r)
		}
	}
}

// Each guard that is taken out is missed by some seed.
func TestGuardsTakenOutAreMissed(t *testing.T) {
	for i, g := range []rollout.Guards{rollout.NoLeaseCheck, rollout.NoHold, rollout.NoStartCheck, rollout.NoTermCheck, rollout.NoLeaseMaximum} {
		found := false
		for seed := uint64(1); seed <= 400 && !found; seed++ {
			found = Play(Config{Seed: seed, Proxies: 6, Lease: 2 * time.Second, Length: 15 * time.Second, Every: 200 * ms, Loss: 0.1, Double: 0.3, Delay: 60 * ms,
				Down: 2, Leaders: time.Second, Late: 0.3, Without: g}).Breaches > 0
		}
		if !found {
			t.Errorf("guard %d is not missed in 400 seeds", i)
		}
	}
}
