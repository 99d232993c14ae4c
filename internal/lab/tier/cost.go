package tier

import (
	"context"
	"fmt"
	"slices"
	"time"

	"havenproxy/internal/lab/procstat"
	"havenproxy/internal/run"
	"havenproxy/internal/wire/tier"
)

// Price is a measurement of what going by a tier's policy costs proxies: the same load on proxies that go by their own files, and on such that have
// three planners, round by round in turn.
type Price struct {
	Config
	Rounds  int
	For     time.Duration // of a round's part: without requests, with them, with changes too
	Clients int           // of each proxy
	Every   time.Duration // between two changes
}

// Paid is what a round came to.
type Paid struct {
	On               bool
	Idle             float64       // of a core, by one proxy that is asked nothing
	Each             time.Duration // CPU time for a request
	Resident         int64         // bytes, of one proxy
	Requests         int
	P50, P99         time.Duration
	Near, Far        int // requests sent within 100 ms of a change's point, and those sent at other times, while changes were made
	NearP99, FarP99  time.Duration
	NearMost         time.Duration
	FarMost          time.Duration
	Refused, Changes int
}

const near = 100 * time.Millisecond

// Measure measures it; told hears of each round.
func (p Price) Measure(ctx context.Context, told func(Paid)) (out []Paid, err error) {
	for i := range 2 * p.Rounds {
		cfg := p.Config
		cfg.Naive = i%2 == 0
		cfg.Seed, cfg.Fleet.Seed = p.Seed+uint64(i/2), p.Seed+uint64(i/2)
		x, err := p.round(ctx, cfg)
		if err != nil {
			return out, fmt.Errorf("round %d: %w", i/2+1, err)
		}
		out = append(out, x)
		told(x)
	}
	return out, nil
}

func (p Price) round(ctx context.Context, cfg Config) (x Paid, err error) {
	b, err := Start(ctx, cfg)
	if err != nil {
		return x, err
	}
	defer b.Close()
	x.On = !cfg.Naive
	cpu := func() (sum time.Duration) {
		for _, q := range b.Proxies {
			used, resident := procstat.Usage(q.run.Process.Pid)
			sum, x.Resident = sum+used, resident
		}
		return sum
	}
	n := float64(len(b.Proxies))
	sleep(ctx, time.Second)
	before := cpu()
	sleep(ctx, p.For)
	x.Idle = (cpu() - before).Seconds() / p.For.Seconds() / n
	asking, stop := context.WithCancel(ctx)
	defer stop()
	wait := b.Ask(asking, p.Clients, 0)
	sleep(ctx, time.Second) // connections are made
	start, _, _ := b.History()
	before = cpu()
	sleep(ctx, p.For)
	used := cpu() - before
	seen, _, _ := b.History()
	seen = seen[len(start):]
	if x.Requests = len(seen); x.Requests == 0 {
		return x, fmt.Errorf("no request was served: %v", b.Reasons())
	}
	x.Each = used / time.Duration(x.Requests)
	x.P50, x.P99, _ = quantiles(seen)
	if x.On {
		if err := p.change(ctx, b, &x); err != nil {
			return x, err
		}
	}
	stop()
	wait()
	_, x.Refused, _ = b.History()
	return x, ctx.Err()
}

// change makes changes under load, and tells the requests near their points from the others.
func (p Price) change(ctx context.Context, b *Bench, x *Paid) error {
	before, _, _ := b.History()
	cl := b.Client()
	for end := time.Now().Add(p.For); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, p.Every) {
		path, err := b.File("next.star", fmt.Sprintf("routing(first_limit = %d)\n", 20+x.Changes%50))
		if err != nil {
			return err
		}
		next, err := run.LoadPolicy(b.config, path)
		if err != nil {
			return err
		}
		text, err := next.Encode()
		if err != nil {
			return err
		}
		x.Changes++
		if a, err := cl.Propose(ctx, tier.OperatorRequest{Action: tier.ActionPropose, Policy: text, Comment: "measured", Nonce: uint64(x.Changes)}, time.Second); err != nil || a.Error != "" {
			return fmt.Errorf("a change was refused: %s %w", a.Error, err)
		}
	}
	seen, _, _ := b.History()
	seen = seen[len(before):]
	points := map[uint64]time.Duration{} // when the first request under each was sent, as far as is known
	for _, s := range seen {
		if at, ok := points[s.Policy]; s.Policy > 0 && (!ok || s.Taken < at) {
			points[s.Policy] = s.Taken
		}
	}
	var close, far []Seen
	for _, s := range seen {
		is := false
		for _, at := range points {
			is = is || max(s.Taken-at, at-s.Taken) <= near
		}
		if is {
			close = append(close, s)
		} else {
			far = append(far, s)
		}
	}
	x.Near, x.Far = len(close), len(far)
	_, x.NearP99, x.NearMost = quantiles(close)
	_, x.FarP99, x.FarMost = quantiles(far)
	return nil
}

func quantiles(seen []Seen) (p50, p99, most time.Duration) {
	if len(seen) == 0 {
		return 0, 0, 0
	}
	took := make([]time.Duration, len(seen))
	for i, s := range seen {
		took[i] = s.Answered - s.Taken
	}
	slices.Sort(took)
	return took[len(took)/2], took[len(took)*99/100], took[len(took)-1]
}
