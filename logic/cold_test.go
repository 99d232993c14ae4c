package logic

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// coldFront is a front with what it has sent in the last step.
type coldProxy struct {
	*testProxy
	inFlight []sentAttempt
}

// coldTier plays proxies that don't talk, each with few requests, before a group in which one member has just started, and gives by how much the
// fullest window of what all of them send there goes beyond N + 2 root N + 2, N being what the settings allow in it where the group's other members
// are just full. Proxies die and start meanwhile, and one runs beside its successor.
func simulateColdTier(t *testing.T, proxies int, seed uint64, cold time.Duration) (excess float64, sent int) {
	const (
		step   = 20 * ms
		window = 2 * time.Second
		warm   = 4 * time.Second
		length = 6 * time.Second
		rate   = 2.0 // requests a second and proxy
	)
	rng := rand.New(rand.NewPCG(seed, uint64(proxies)))
	cfg := testConfig()
	cfg.Proxies, cfg.ColdPeriod = proxies, cold
	start := func(now time.Duration, startedAt time.Duration) *coldProxy {
		cfg.Seed = rng.Uint64()
		f := &coldProxy{testProxy: newTestProxy(t, cfg)}
		f.now = now
		f.listMembers(ListCached, 4)
		if startedAt > 0 {
			f.router.Members(f.now, MemberList{Entries: []Member{{ID: 2, State: Ready, StartedAt: startedAt}}})
		}
		return f
	}
	now := 1000 * time.Second
	var all [][]*coldProxy // the processes at each proxy's place: one, or two for a while
	for range proxies {
		all = append(all, []*coldProxy{start(now, 0)})
	}
	var startedAt time.Duration
	var coldSends []time.Duration
	others := 0
	for now < 1000*time.Second+warm+length {
		now += step
		if startedAt == 0 && now >= 1000*time.Second+warm {
			startedAt = now
			for _, processes := range all {
				for _, f := range processes {
					f.router.Members(now, MemberList{Entries: []Member{{ID: 2, State: Ready, StartedAt: startedAt}}})
				}
			}
		}
		if i := rng.IntN(len(all)); rng.IntN(25) == 0 {
			switch processes := all[i]; {
			case len(processes) == 2: // the old one has ended
				all[i] = processes[1:]
			case rng.IntN(2) == 0:
				all[i] = append(processes, start(now, startedAt))
			default:
				all[i] = []*coldProxy{start(now, startedAt)}
			}
		}
		for _, processes := range all {
			for _, f := range processes {
				f.now = now
				for _, s := range f.inFlight { // what went out a step ago
					f.finishAttempt(s, OK)
				}
				f.inFlight = f.inFlight[:0]
				f.router.Timer(now, tickTimer)
				f.answerPings()
			}
			if rng.Float64() >= rate*step.Seconds() {
				continue
			}
			f := processes[rng.IntN(len(processes))]
			f.sends = f.sends[:0]
			f.request(classSession, 0)
			f.answerPings()
			for _, s := range f.sends {
				switch {
				case s.to == 2 && startedAt > 0:
					coldSends = append(coldSends, now)
				case s.to > 2 && startedAt > 0:
					others++
				}
				f.inFlight = append(f.inFlight, s)
			}
		}
	}
	fullRate := float64(proxies) * rate / 3 // of each replica, where all are warm
	slices.Sort(coldSends)
	excess = math.Inf(-1)
	for i, windowStart := range coldSends {
		n := 0
		for _, at := range coldSends[i:] {
			if at-windowStart < window {
				n++
			}
		}
		age := windowStart + window/2 - startedAt
		share := cfg.ColdShare + (1-cfg.ColdShare)*min(age.Seconds()/cold.Seconds(), 1)
		allowed := cfg.OverloadMultiple * share * fullRate * window.Seconds()
		excess = max(excess, float64(n)-(allowed+2*math.Sqrt(allowed)+2))
	}
	return excess, len(coldSends)
}

// A member that has just started falls over under the sum of all proxies' requests. However few each has, and whichever start, die or run in
// two versions meanwhile, the sum keeps the budget of the settings with no talk between them.
func TestAColdMemberKeepsItsBudgetUnderManyProxies(t *testing.T) {
	const seeds = 100 // of each; 1,000 were run by hand
	sent := 0
	for _, proxies := range []int{20, 30} {
		for seed := range uint64(seeds) {
			excess, n := simulateColdTier(t, proxies, seed, 16*time.Second)
			if sent += n; excess > 0 {
				t.Fatalf("%d proxies, seed %d: %.1f requests beyond the budget", proxies, seed, excess)
			}
		}
	}
	if sent == 0 {
		t.Error("nothing was sent to any cold member")
	}
}
