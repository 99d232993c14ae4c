package logic

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// coldFront is a front with what it has sent in the last step.
type coldFront struct {
	*front
	out []sent
}

// coldTier plays proxies that don't talk, each with few requests, before a group in which one member has just started, and gives by how much the
// fullest window of what all of them send there goes beyond N + 2 root N + 2, N being what the settings allow in it where the group's other members
// are just full. Proxies die and start meanwhile, and one runs beside its successor.
func coldTier(t *testing.T, proxies int, seed uint64, cold time.Duration) (beyond float64, sentThere int) {
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
	start := func(now time.Duration, born time.Duration) *coldFront {
		cfg.Seed = rng.Uint64()
		f := &coldFront{front: newFront(t, cfg)}
		f.now = now
		f.list(ListCached, 4)
		if born > 0 {
			f.r.Members(f.now, MemberList{Entries: []Member{{ID: 2, State: Ready, StartedAt: born}}})
		}
		return f
	}
	now := 1000 * time.Second
	var all [][]*coldFront // the processes at each proxy's place: one, or two for a while
	for range proxies {
		all = append(all, []*coldFront{start(now, 0)})
	}
	var born time.Duration
	var there []time.Duration
	others := 0
	for now < 1000*time.Second+warm+length {
		now += step
		if born == 0 && now >= 1000*time.Second+warm {
			born = now
			for _, place := range all {
				for _, f := range place {
					f.r.Members(now, MemberList{Entries: []Member{{ID: 2, State: Ready, StartedAt: born}}})
				}
			}
		}
		if i := rng.IntN(len(all)); rng.IntN(25) == 0 {
			switch place := all[i]; {
			case len(place) == 2: // the old one has ended
				all[i] = place[1:]
			case rng.IntN(2) == 0:
				all[i] = append(place, start(now, born))
			default:
				all[i] = []*coldFront{start(now, born)}
			}
		}
		for _, place := range all {
			for _, f := range place {
				f.now = now
				for _, s := range f.out { // what went out a step ago
					f.end(s, OK)
				}
				f.out = f.out[:0]
				f.r.Timer(now, tickTimer)
				f.pongs()
			}
			if rng.Float64() >= rate*step.Seconds() {
				continue
			}
			f := place[rng.IntN(len(place))]
			f.sends = f.sends[:0]
			f.request(clsSession, 0)
			f.pongs()
			for _, s := range f.sends {
				switch {
				case s.to == 2 && born > 0:
					there = append(there, now)
				case s.to > 2 && born > 0:
					others++
				}
				f.out = append(f.out, s)
			}
		}
	}
	full := float64(proxies) * rate / 3 // of each replica, where all are warm
	slices.Sort(there)
	beyond = math.Inf(-1)
	for i, from := range there {
		n := 0
		for _, at := range there[i:] {
			if at-from < window {
				n++
			}
		}
		middle := from + window/2 - born
		share := cfg.ColdShare + (1-cfg.ColdShare)*min(middle.Seconds()/cold.Seconds(), 1)
		allowed := cfg.OverloadMultiple * share * full * window.Seconds()
		beyond = max(beyond, float64(n)-(allowed+2*math.Sqrt(allowed)+2))
	}
	return beyond, len(there)
}

// A member that has just started falls over under the sum of all proxies' requests. However few each has, and whichever start, die or run in
// two versions meanwhile, the sum keeps the budget of the settings with no talk between them.
func TestAColdMemberKeepsItsBudgetUnderManyProxies(t *testing.T) {
	const seeds = 100 // of each; 1,000 were run by hand
	sent := 0
	for _, proxies := range []int{20, 30} {
		for seed := range uint64(seeds) {
			beyond, n := coldTier(t, proxies, seed, 16*time.Second)
			if sent += n; beyond > 0 {
				t.Fatalf("%d proxies, seed %d: %.1f requests beyond the budget", proxies, seed, beyond)
			}
		}
	}
	if sent == 0 {
		t.Error("nothing was sent to any cold member")
	}
}
