package largefleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/standin"
)

// Fault is a fault of many databases at once, in the middle third of a run.
type Fault struct {
	Kind fleet.Kind // empty = none
	Part float64    // of the databases, drawn at random
}

// faulty is which databases answer nobody. Peers report them as silent.
type faulty struct {
	mu      sync.Mutex
	members map[int]bool
}

func (f *faulty) set(members map[int]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
}

func (f *faulty) has(member int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[member]
}

// play brings a fault about and ends with it.
func (x *Fault) play(ctx context.Context, world *standin.World, cfg *Config, f *faulty) {
	if x.Kind == "" || !wait(ctx, cfg.For/3) {
		return
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 3))
	members := map[int]bool{}
	for _, member := range rng.Perm(cfg.Databases)[:int(x.Part*float64(cfg.Databases))] {
		members[member] = true
		world.Inject(fleet.Fault{Kind: x.Kind, Group: member / GroupSize, Member: member % GroupSize, For: cfg.For / 3, Factor: 8, Share: 0.5})
	}
	if x.Kind != fleet.Crash && x.Kind != fleet.Hang {
		return
	}
	f.set(members)
	if wait(ctx, cfg.For/3) {
		f.set(nil)
	}
}

// wait waits for a time; false = the run has ended before.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
