package switches

import (
	"testing"
	"time"

	"havenproxy/internal/handover"
	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/history"
	"havenproxy/internal/lab/virtual"
)

// Every key is applied once or refused, whatever happens to primaries, and every request has its answer.
func TestNoWriteIsLostOrDoubled(t *testing.T) {
	for name, p := range map[string]Plan{
		"off":           {Seed: 1, Count: 60, Retries: 3},
		"held":          {Seed: 1, Count: 60, Retries: 3, Hold: handover.Config{Hold: true}},
		"held, patient": {Seed: 1, Count: 60, Retries: 3, Hold: handover.Config{Hold: true}, Writes: 8 * time.Second},
		"five proxies":  {Seed: 1, Count: 60, Retries: 3, Hold: handover.Config{Hold: true}, Proxies: 5},
	} {
		r := Virtual(p)
		if r.Switches < 60 || r.Keys < 200 || len(r.Violations) > 0 || r.Silent > 0 || r.Fell > 0 {
			t.Errorf("%s: %v silent %d", name, r, r.Silent)
		}
	}
}

// A switch in all groups at once, in the middle of a burst, planned and not.
func TestASwitchInAllGroupsAtOnce(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.Drain, fleet.Crash, fleet.Hang} {
		p := Plan{Groups: 6, Members: 3, Retries: 3, Hold: handover.Config{Hold: true}}
		cfg := p.Config(7)
		cfg.For = 40 * time.Second
		cfg.Faults = nil
		for g := range p.Groups {
			cfg.Faults = append(cfg.Faults, virtual.Fault{At: 10 * time.Second, Fault: fleet.Fault{Kind: kind, Group: g, Member: fleet.Primary, For: 8 * time.Second}})
		}
		cfg.Rate = func(at time.Duration) float64 {
			if at > 9*time.Second && at < 14*time.Second {
				return 900
			}
			return 200
		}
		r := virtual.Play(cfg)
		silent := 0
		for _, c := range r.Classes {
			silent += c.Silent
		}
		if bad := history.Check(r.Writes, r.Fleet.Applied); len(bad) > 0 || silent > 0 || r.Fell > 0 || len(r.Switches) < 6 || r.Held > 0 {
			t.Errorf("%s: %v, %d without answer, %d fell, %d switches, %d held at the end", kind, bad, silent, r.Fell, len(r.Switches), r.Held)
		}
	}
}

// A list that stands still for ten seconds and names the old primary as in service.
func TestAStaleListDuringSwitches(t *testing.T) {
	p := Plan{Groups: 4, Members: 3, Retries: 3, Hold: handover.Config{Hold: true}}
	cfg := p.Config(9)
	for at := 4 * time.Second; at < cfg.For; at += 25 * time.Second {
		cfg.Faults = append(cfg.Faults, virtual.Fault{At: at, Fault: fleet.Fault{Kind: fleet.StaleList, For: 10 * time.Second}})
	}
	cfg.Rate = func(time.Duration) float64 { return 80 }
	r := virtual.Play(cfg)
	silent := 0
	for _, c := range r.Classes {
		silent += c.Silent
	}
	if bad := history.Check(r.Writes, r.Fleet.Applied); len(bad) > 0 || silent > 0 || r.Fell > 0 || len(r.Switches) < 20 {
		t.Errorf("%v, %d without answer, %d fell, %d switches", bad, silent, r.Fell, len(r.Switches))
	}
}

// The check itself: with the guard on repeats taken out it finds a key that was applied twice.
func TestWithoutItsGuardTheCheckFindsADouble(t *testing.T) {
	p := Plan{Seed: 1, Count: 100, Retries: 3, Rate: 400, Kinds: []Kind{Crash, LongHang}, Hold: handover.Config{Hold: true}, Writes: 8 * time.Second}
	if r := Virtual(p); len(r.Violations) > 0 {
		t.Errorf("with its guard: %v", r)
	}
	p.Hold.Margin = -time.Hour
	r := Virtual(p)
	twice := 0
	for _, v := range r.Violations {
		if v.Applied > 1 {
			twice++
		}
	}
	if twice == 0 {
		t.Errorf("%v", r)
	}
}
