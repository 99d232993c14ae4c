package virtual

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"havenproxy/internal/lab/fleet"
)

// checkers gives a tier with planners before sixteen databases.
func checkers(checksPerSecond float64) Config {
	c := several(12)
	c.Tier.Planners = &Planners{Lease: 2 * second}
	c.Tier.Checks = &SharedChecks{ChecksPerSecond: checksPerSecond, BytesPerSecond: 1600}
	c.For = 12 * second
	return c
}

// The list goes on naming a database that hangs. A death that few proxies can see by themselves ejects the database at all of them.
func TestADeathReachesAllByThePlanner(t *testing.T) {
	c := checkers(6)
	c.Rate = func(time.Duration) float64 { return 1 } // nearly nobody uses anything
	c.Faults = []Fault{{At: 4 * second, Fault: fleet.Fault{Kind: fleet.Hang, Group: 1, Member: 1, For: time.Minute}}}
	knew := 0
	c.Watch = &Watch{From: 10 * second, Every: second, Look: func(v *View) bool {
		knew = 0
		for i := range c.Proxies {
			if database, ok := v.Database(i, c.Fleet.Members+1); ok && database.Silent {
				knew++
			}
		}
		return knew == c.Proxies
	}}
	r := Play(c)
	if knew != c.Proxies || r.Counters.Verdicts == 0 || r.Counters.DigestsMalformed > 0 {
		t.Errorf("%d of %d proxies know of the death, %d verdicts", knew, c.Proxies, r.Counters.Verdicts)
	}
}

// checksFrom plays a run and counts the checks behind a time, when each proxy has met the databases that it uses.
func checksFrom(c Config, from time.Duration) (checks uint64, r *Result) {
	c.Watch = &Watch{From: from, Every: second, Look: func(v *View) bool {
		for i := range c.Proxies {
			checks -= v.Proxy(i).Counters.Probes
		}
		return true
	}}
	r = Play(c)
	return checks + r.Counters.Probes, r
}

func TestSharingSparesChecks(t *testing.T) {
	const from = 4 * second
	c := checkers(6)
	c.Fleet.Groups = 40
	c.Rate = func(time.Duration) float64 { return 1000 }
	shared, sharedRun := checksFrom(c, from)
	c.Tier.Checks = nil
	all, allRun := checksFrom(c, from)
	if perSecond := float64(shared) / (c.For - from).Seconds() / float64(c.Proxies); perSecond > 6.5 {
		t.Errorf("%.1f checks a second and proxy, 6 are the budget", perSecond)
	}
	if 2*shared > all || sharedRun.Worth < allRun.Worth-0.02 {
		t.Errorf("%d checks and worth %.3f, with all checking %d and %.3f", shared, sharedRun.Worth, all, allRun.Worth)
	}
}

// Where every proxy may check everything within its budget, nothing is otherwise than without shared checks.
func TestASmallFleetIsNotShared(t *testing.T) {
	c := checkers(100)
	with := Play(c)
	c.Tier.Checks = nil
	without := Play(c)
	if diff := cmp.Diff(without.Counters, with.Counters); diff != "" || with.Worth != without.Worth {
		t.Error(diff)
	}
}

// Of each group that it uses a proxy keeps connections to the primary and to one of three replicas, as two hundred proxies give them even
// shares then; checks and requests share them. A few more were opened where two requests met, or nobody of the subset could take one.
func TestSharingSparesConnections(t *testing.T) {
	c := several(200)
	c.Fleet.Groups, c.Fleet.Members, c.For = 2, 4, 10*second
	c.Rate = func(time.Duration) float64 { return 200 }
	c.Tier.Planners = &Planners{Lease: 2 * second}
	all := Play(c)
	c.Tier.Checks = &SharedChecks{ChecksPerSecond: 5, BytesPerSecond: 1600}
	shared := Play(c)
	if most := c.Proxies * c.Fleet.Groups * 2 * 4 / 3; shared.Links > most || shared.Links > all.Links/2 || shared.Worth < all.Worth-0.005 {
		t.Errorf("%d connections, %d at most, and worth %.4f; with all checking %d and %.4f", shared.Links, most, shared.Worth, all.Links, all.Worth)
	}
}

// Groups that get three requests a second of a proxy each bring no young positions by their answers. Their bounded reads, a third of
// the requests, went to the primaries, and crowded writes out.
func TestThinGroupsLoseNothingByShared(t *testing.T) {
	c := several(30)
	c.Fleet.Groups, c.Fleet.Members, c.For = 40, 4, 10*second
	c.Retries = 0
	rate := 0.6 * c.Capacity()
	c.Rate = func(time.Duration) float64 { return rate }
	c.Tier.Planners = &Planners{Lease: 2 * second}
	const from = 4 * second // by then each proxy has met all databases
	allChecks, all := checksFrom(c, from)
	c.Tier.Checks = &SharedChecks{ChecksPerSecond: 5, BytesPerSecond: 1600}
	sharedChecks, shared := checksFrom(c, from)
	if shared.Worth < all.Worth-0.005 {
		t.Errorf("worth %.4f, with all checking %.4f", shared.Worth, all.Worth)
	}
	if 4*sharedChecks > allChecks {
		t.Errorf("%d checks, with all checking %d", sharedChecks, allChecks)
	}
}
