package command

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/lab/explore"
	"havenproxy/internal/rollout"
)

func statesCommand() *cobra.Command {
	var t explore.RolloutModel
	var most, seeds int
	var without string
	var mutants bool
	c := &cobra.Command{
		Use:   "states",
		Short: "Visit every state of a small tier that changes its policy; exit 1 where a promise is broken",
		Long: "Every message ever sent may come at any time, any number of times, or never; whoever acts may stand still for any time. What may happen\n" +
			"beyond that is bounded by the flags. --without leaves a guard out, --mutants each of them in turn, where it is missed soonest.",
		Example: "  havenlab states --proxies 3 --changes 1\n  havenlab states --proxies 1 --leases --asks 1 --ticks 3\n  havenlab states --mutants",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			if mutants {
				w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
				fmt.Fprintln(w, "guard taken out\tstates until it is missed")
				for i, name := range rollout.GuardNames {
					m := explore.Mutants[i]
					m.DisabledGuards = 1 << i
					r := explore.All(m.Start(), most)
					if r.Broken == "" {
						return fmt.Errorf("%s is not missed in %d states", name, r.States)
					}
					fmt.Fprintf(w, "%s\t%d\n", name, r.States)
				}
				return w.Flush()
			}
			if without != "" {
				i := slices.Index(rollout.GuardNames, without)
				if i < 0 {
					return fmt.Errorf("%w: --without is %q, one of %q was expected", ErrUsage, without, rollout.GuardNames)
				}
				t.DisabledGuards = 1 << i
			}
			if t.Proxies < 1 || t.Proxies > 8 || t.Changes < 1 {
				return fmt.Errorf("%w: --proxies is 1 to 8, --changes 1 at least", ErrUsage)
			}
			began := time.Now()
			r := explore.All(t.Start(), most)
			if seeds > 0 && r.Broken == "" {
				r = explore.Walk(t.Start, seeds, 200)
			}
			fmt.Fprintf(out, "%d states, %d steps, depth %d, all of them: %v, in %.1f s\n", r.States, r.Steps, r.Depth, r.Complete, time.Since(began).Seconds())
			if r.Broken != "" {
				return fmt.Errorf("%s, by\n  %s", r.Broken, strings.Join(r.Trace, "\n  "))
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&t.Proxies, "proxies", 2, "of the tier")
	f.IntVar(&t.Changes, "changes", 1, "that are proposed")
	f.IntVar(&t.Crashes, "crashes", 0, "of proxies, which start again at once")
	f.IntVar(&t.Elections, "leaders", 0, "that follow the first")
	f.BoolVar(&t.Leases, "leases", false, "proxies need a lease, of two ticks")
	f.IntVar(&t.Renewals, "asks", 0, "for a lease, by each start of a proxy")
	f.IntVar(&t.MaxTicks, "ticks", 0, "of the clock")
	f.IntVar(&t.Hellos, "hellos", 0, "by which a proxy connects anew")
	f.IntVar(&t.Aborts, "aborts", 0, "by the operator")
	f.BoolVar(&t.Async, "late", false, "commands may come to the log late, and in any order")
	f.IntVar(&most, "most", 5_000_000, "states, at most; some 3 KB each while they wait")
	f.IntVar(&seeds, "walks", 0, "go so many random ways of 200 steps behind that")
	f.StringVar(&without, "without", "", "leave a guard out: "+strings.Join(rollout.GuardNames, ", "))
	f.BoolVar(&mutants, "mutants", false, "leave out each guard in turn")
	return c
}
