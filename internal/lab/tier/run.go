package tier

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"havenproxy/internal/rollout"
	"havenproxy/internal/run"
	"havenproxy/internal/wire/tier"
)

// Trial is one seed: a tier, its clients, changes one after the other, and faults by a schedule.
type Trial struct {
	Config
	Kinds  []string
	Length time.Duration // in which faults begin and changes are proposed
	Every  time.Duration // between two proposals, at the least
	Each   int           // clients of each proxy
}

// Outcome is a change's.
type Outcome struct {
	Number  rollout.Number
	Outcome rollout.Outcome
	Took    time.Duration // from its proposal's entry in the log to its end, by the planners' clocks
	Reason  string
}

// Report is what a trial came to.
type Report struct {
	Seed     uint64
	Changes  []Outcome
	Served   int // requests whose answers told the policy
	Refused  int
	Lost     int // by kills and resets
	Breaches []Breach
	Schedule []Fault
	Unended  int // changes undecided once all faults were over for longer than the bound
}

// Play plays a trial.
func (t Trial) Play(ctx context.Context) (r Report, err error) {
	r.Seed = t.Seed
	startCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	b, err := Start(startCtx, t.Config)
	if err != nil {
		return r, err
	}
	defer b.Close()
	asking, stop := context.WithCancel(ctx)
	defer stop()
	wait := b.Ask(asking, max(t.Each, 1), 3*time.Millisecond)
	r.Schedule = Schedule(t.Seed, t.Kinds, t.Proxies, t.Planners, t.Lease, t.Length)
	over := make(chan bool)
	go func() { b.Play(ctx, r.Schedule); close(over) }()
	var gone []uint64
	if t.Naive {
		t.spread(ctx, b)
		<-over
	} else if gone, err = t.propose(ctx, b, &r, over); err != nil {
		return r, err
	}
	sleep(ctx, 200*time.Millisecond)
	stop()
	wait()
	seen, refused, lost := b.History()
	r.Served, r.Refused, r.Lost = len(seen), refused, lost
	r.Breaches = Audit(seen, gone)
	return r, ctx.Err()
}

// spread lets all proxies read one revision behind the other.
func (t Trial) spread(ctx context.Context, b *Bench) {
	rng := rand.New(rand.NewPCG(t.Seed, 0xc4a6))
	for end, n := time.Now().Add(t.Length), uint64(2); time.Now().Before(end) && ctx.Err() == nil; n++ {
		b.mu.Lock()
		b.revision = n
		b.mu.Unlock()
		b.Spread(n, ctx.Done())
		sleep(ctx, t.Every+time.Duration(rng.Int64N(int64(t.Every)+1)))
	}
}

// propose proposes one change behind the other, waits until all faults are over and what is undecided has ended, and notes what became of
// each. It gives those that were given up.
func (t Trial) propose(ctx context.Context, b *Bench, r *Report, over <-chan bool) (gone []uint64, err error) {
	rng := rand.New(rand.NewPCG(t.Seed, 0xc4a6))
	cl := b.Client()
	all := map[rollout.Number]rollout.Change{} // the planners remember the last ones only
	note := func(s *rollout.State) {
		for _, c := range s.Changes {
			all[c.Number] = c
		}
	}
	for end, i := time.Now().Add(t.Length), 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		path, err := b.File("next.star", fmt.Sprintf("routing(first_limit = %d)\n", 20+i%50))
		if err != nil {
			return nil, err
		}
		p, err := run.LoadPolicy(b.config, path)
		if err != nil {
			return nil, err
		}
		text, err := p.Encode()
		if err != nil {
			return nil, err
		}
		a, err := cl.Propose(ctx, tier.OperatorRequest{Action: tier.ActionPropose, Policy: text, Comment: fmt.Sprint("change ", i), Nonce: rng.Uint64() | 1}, time.Second)
		if err == nil && a.State != nil {
			note(a.State)
		}
		sleep(ctx, t.Every+time.Duration(rng.Int64N(int64(t.Every)+1)))
	}
	<-over
	for _, p := range append(slices.Clone(b.Proxies), b.Planners...) {
		p.Signal(syscall.SIGCONT)
	}
	// All faults are over: what is undecided has to end within the bound.
	bound := rollout.Config{Lease: t.Lease}.WithDefaults().ChangeTimeout + 3*time.Second
	var last *rollout.State
	for end := time.Now().Add(bound); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		if a, err := cl.Status(ctx, 0); err == nil && a.Leader == a.Planner {
			if last = a.State; last.Pending() == nil {
				break
			}
		}
	}
	if last == nil {
		return nil, errors.New("no planner leads once all faults are over")
	}
	note(last)
	for _, n := range slices.Sorted(maps.Keys(all)) {
		c := all[n]
		switch c.Outcome {
		case rollout.Undecided:
			r.Unended++
		case rollout.Aborted:
			gone = append(gone, uint64(c.Number))
		}
		r.Changes = append(r.Changes, Outcome{c.Number, c.Outcome, time.Duration(c.EndedAt-c.ProposedAt) * time.Millisecond, c.Reason})
	}
	return gone, nil
}
