package logic

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// coldProxy is a proxy with the requests that it sent in the previous step.
type coldProxy struct {
	*testProxy
	inFlight []sentAttempt
}

// simulateColdTier simulates proxies that do not communicate, each with few requests, and a group in which one
// member has just started. It returns by how much the busiest window of what all proxies send to that member
// exceeds N + 2 sqrt(N) + 2, where N is what the settings allow in the window if the group's other members are
// just full. Meanwhile proxies fail and start, and some run beside their successor.
func simulateColdTier(t *testing.T, proxies int, seed uint64, cold time.Duration) (excess float64, sent int) {
	const (
		step   = 20 * ms
		window = 2 * time.Second
		warm   = 4 * time.Second
		length = 6 * time.Second
		rate   = 2.0 // requests per second and proxy
	)
	rng := rand.New(rand.NewPCG(seed, uint64(proxies)))
	cfg := testConfig()
	cfg.Proxies, cfg.ColdPeriod = proxies, cold
	start := func(now time.Duration, startedAt time.Duration) *coldProxy {
		cfg.Seed = rng.Uint64()
		p := &coldProxy{testProxy: newTestProxy(t, cfg)}
		p.now = now
		p.listMembers(ListCached, 4)
		if startedAt > 0 {
			p.router.Members(p.now, MemberList{Entries: []Member{{ID: 2, State: Ready, StartedAt: startedAt}}})
		}
		return p
	}
	now := 1000 * time.Second
	var tier [][]*coldProxy // the processes of each proxy: one, or two for a while
	for range proxies {
		tier = append(tier, []*coldProxy{start(now, 0)})
	}
	var startedAt time.Duration
	var coldSends []time.Duration
	others := 0
	for now < 1000*time.Second+warm+length {
		now += step
		if startedAt == 0 && now >= 1000*time.Second+warm {
			startedAt = now
			for _, processes := range tier {
				for _, p := range processes {
					p.router.Members(now, MemberList{Entries: []Member{{ID: 2, State: Ready, StartedAt: startedAt}}})
				}
			}
		}
		if i := rng.IntN(len(tier)); rng.IntN(25) == 0 {
			switch processes := tier[i]; {
			case len(processes) == 2: // the old process has ended
				tier[i] = processes[1:]
			case rng.IntN(2) == 0:
				tier[i] = append(processes, start(now, startedAt))
			default:
				tier[i] = []*coldProxy{start(now, startedAt)}
			}
		}
		for _, processes := range tier {
			for _, p := range processes {
				p.now = now
				for _, s := range p.inFlight { // sent in the previous step
					p.finishAttempt(s, OK)
				}
				p.inFlight = p.inFlight[:0]
				p.router.Timer(now, tickTimer)
				p.answerPings()
			}
			if rng.Float64() >= rate*step.Seconds() {
				continue
			}
			p := processes[rng.IntN(len(processes))]
			p.sends = p.sends[:0]
			p.request(classSession, 0)
			p.answerPings()
			for _, s := range p.sends {
				switch {
				case s.to == 2 && startedAt > 0:
					coldSends = append(coldSends, now)
				case s.to > 2 && startedAt > 0:
					others++
				}
				p.inFlight = append(p.inFlight, s)
			}
		}
	}
	fullRate := float64(proxies) * rate / 3 // of each replica when all are warm
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

// Guards against a member that has just started failing under the sum of all proxies' requests. However few
// requests each proxy has, and whichever proxies start, fail or run in two versions meanwhile, the sum stays
// within the configured budget without any communication between them.
func TestAColdMemberKeepsItsBudgetUnderManyProxies(t *testing.T) {
	const seeds = 100 // for each number of proxies; 1,000 were run by hand
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
		t.Error("no request was sent to any cold member")
	}
}
