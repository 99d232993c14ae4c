package scale

import (
	"context"

	"golang.org/x/sync/errgroup"

	"havenproxy/internal/lab/scale/analysis"
	"havenproxy/internal/lab/verdict"
)

// Calm stands for no event in a comparison of worth.
const Calm analysis.Event = "calm"

// leastWorth is the difference in worth below which it doesn't matter.
const leastWorth = 0.005

// pair is one seed of an event, played in both ways.
type pair struct {
	event       analysis.Event
	seed        uint64
	all, shared float64
}

// CompareWorth holds shared health checks against all checking everything: the worth that clients earn without an event and with some, with
// several seeds, each seed in both ways, so many runs at once. The differences are shared less all, and their intervals hold for all events
// together. ran is told of each seed in their order, once all have run.
func (c *Config) CompareWorth(ctx context.Context, size analysis.Size, events []analysis.Event, seeds, jobs int, ran func(event analysis.Event, seed uint64, all, shared float64)) ([]*verdict.Comparison, error) {
	rule := verdict.Rule{Looks: []int{seeds}}.WithDefaults()
	if err := rule.Check(); err != nil {
		return nil, err
	}
	var pairs []*pair
	for _, event := range append([]analysis.Event{Calm}, events...) {
		for seed := c.Seed; seed < c.Seed+uint64(seeds); seed++ {
			pairs = append(pairs, &pair{event: event, seed: seed})
		}
	}
	if err := c.playPairs(ctx, size, pairs, jobs); err != nil {
		return nil, err
	}
	family := verdict.Family{Rule: rule}
	for i, p := range pairs {
		if i%seeds == 0 {
			family.Comparisons = append(family.Comparisons, &verdict.Comparison{Name: string(p.event), Least: leastWorth})
		}
		comparison := family.Comparisons[len(family.Comparisons)-1]
		comparison.Diffs = append(comparison.Diffs, p.shared-p.all)
		if ran != nil {
			ran(p.event, p.seed, p.all, p.shared)
		}
	}
	family.Look()
	return family.Comparisons, nil
}

// playPairs plays them, so many runs at once.
func (c *Config) playPairs(ctx context.Context, size analysis.Size, pairs []*pair, jobs int) error {
	one := *c
	if jobs > 1 { // progress is one run's
		one.Progress = nil
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(jobs, 1))
	for _, p := range pairs {
		group.Go(func() (err error) {
			p.all, err = one.worthOf(ctx, VariantAll, p.event, size, p.seed)
			return err
		})
		group.Go(func() (err error) {
			p.shared, err = one.worthOf(ctx, VariantShared, p.event, size, p.seed)
			return err
		})
	}
	return group.Wait()
}

// worthOf plays one variant with one seed.
func (c *Config) worthOf(ctx context.Context, variant string, event analysis.Event, size analysis.Size, seed uint64) (float64, error) {
	own := *c
	own.Variant, own.Seed, own.CountsOnly = variant, seed, true
	if event != Calm {
		row, _, err := own.MeasureEvent(ctx, event, size)
		return row.Worth, err
	}
	m, err := own.measureModel(ctx, size, analysis.AxisBoth)
	return m.Worth, err
}
