package scale

import (
	"context"

	"havenproxy/internal/lab/scale/analysis"
	"havenproxy/internal/lab/verdict"
)

// Calm stands for no event in a comparison of worth.
const Calm analysis.Event = "calm"

// leastWorth is the difference in worth below which it doesn't matter.
const leastWorth = 0.005

// CompareWorth holds shared health checks against all checking everything: the worth that clients earn without an event and with some, with
// several seeds, each seed in both ways. The differences are shared less all, and their intervals hold for all events together.
func (c *Config) CompareWorth(ctx context.Context, size analysis.Size, events []analysis.Event, seeds int, ran func(event analysis.Event, seed uint64, all, shared float64)) ([]*verdict.Comparison, error) {
	rule := verdict.Rule{Looks: []int{seeds}}.WithDefaults()
	if err := rule.Check(); err != nil {
		return nil, err
	}
	family := verdict.Family{Rule: rule}
	for _, event := range append([]analysis.Event{Calm}, events...) {
		comparison := &verdict.Comparison{Name: string(event), Least: leastWorth}
		family.Comparisons = append(family.Comparisons, comparison)
		for seed := c.Seed; seed < c.Seed+uint64(seeds); seed++ {
			all, err := c.worthOf(ctx, VariantAll, event, size, seed)
			if err != nil {
				return nil, err
			}
			shared, err := c.worthOf(ctx, VariantShared, event, size, seed)
			if err != nil {
				return nil, err
			}
			comparison.Diffs = append(comparison.Diffs, shared-all)
			if ran != nil {
				ran(event, seed, all, shared)
			}
		}
	}
	family.Look()
	return family.Comparisons, nil
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
