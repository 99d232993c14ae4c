package command

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"havenproxy/internal/lab/scale/analysis"
)

// compareWorth prints what shared health checks earn against all checking everything, with each seed.
func (o *scaleOptions) compareWorth(ctx context.Context, out io.Writer) error {
	trial := ""
	if o.trial {
		trial = ", trials"
	}
	fmt.Fprintf(out, "worth at %v, %g requests a second and proxy%s\n", o.EventSize, o.Rate, trial)
	comparisons, err := o.CompareWorth(ctx, o.EventSize, o.Events, o.compare, o.jobs, func(event analysis.Event, seed uint64, all, shared float64) {
		fmt.Fprintf(out, "%s, seed %d: all %.4f, shared %.4f\n", event, seed, all, shared)
	})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nshared less all\tmean\tinterval, 95% for all rows together\tseeds\tanswer\tagainst 0.005")
	for _, c := range comparisons {
		size := "it may matter"
		if c.Small {
			size = "too small to matter"
		}
		fmt.Fprintf(w, "%s\t%+.5f\t%+.5f to %+.5f\t%d\t%v\t%s\n", c.Name, c.Mean, c.Low, c.High, len(c.Diffs), c.Answer, size)
	}
	return w.Flush()
}
