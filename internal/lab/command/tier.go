package command

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/tier"
	"havenproxy/internal/rollout"
)

func tierCommand() *cobra.Command {
	var t tier.Trial
	var seed uint64
	var seeds int
	var faults []string
	var byKind bool
	c := &cobra.Command{
		Use:   "tier",
		Short: "Change the policy of a tier of real processes while they fail, and judge what clients saw; exit 1 on a breach",
		Long: "tier starts planners and proxies as real processes, lets clients ask all proxies, proposes one change behind the other, and lets faults\n" +
			"happen by a schedule from the seed: " + strings.Join(tier.Kinds, ", ") + ".\n" +
			"The auditor then judges all answers by the policy that they tell. A breach is printed with its seed, schedule and shortest history.",
		Example: "  havenlab tier --seeds 20 --proxies 20\n  havenlab tier --seeds 5 --faults pause,cut --lease 1s\n  havenlab tier --seeds 5 --naive",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if t.Kinds = tier.Kinds; !slices.Equal(faults, []string{"all"}) {
				t.Kinds = faults
			}
			for _, k := range t.Kinds {
				if !slices.Contains(tier.Kinds, k) {
					return fmt.Errorf("%w: --faults has %q, all or some of %q were expected", ErrUsage, k, tier.Kinds)
				}
			}
			if seeds < 1 || t.Proxies < 1 || t.Planners < 1 || t.Length < time.Second || t.Every <= 0 || !(t.Skew >= 0 && t.Skew <= 0.1) {
				return fmt.Errorf("%w: --seeds, --proxies and --planners are 1 at least, --length 1s, --every above 0, --skew 0 to 0.1", ErrUsage)
			}
			if err := program(&t.Binary); err != nil {
				return err
			}
			quiet()
			t.Fleet = fleet.Config{Seed: 1, Groups: 1, Members: 2, Zones: launch.Zones(), Classes: launch.Classes()}
			kinds := [][]string{t.Kinds}
			if byKind {
				kinds = nil
				for _, k := range t.Kinds {
					kinds = append(kinds, []string{k})
				}
			}
			var rows []tierRow
			breaches, unended, played := 0, 0, 0
			for _, k := range kinds {
				row := tierRow{kind: "all"}
				if t.Kinds = k; byKind {
					row.kind = k[0]
				}
				for i := range seeds {
					t.Seed, t.Fleet.Seed = seed+uint64(i), seed+uint64(i)
					r, err := t.Play(c.Context())
					if err != nil {
						return fmt.Errorf("seed %d: %w", t.Seed, err)
					}
					row.reports = append(row.reports, r)
					breaches, unended, played = breaches+len(r.Breaches), unended+r.Unended, played+1
					if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
						fmt.Fprintf(os.Stderr, "\r\033[K%d of %d trials, %d breaches", played, seeds*len(kinds), breaches)
					}
					if t.Naive { // there are too many to print
						continue
					}
					for _, b := range r.Breaches {
						fmt.Fprintf(c.OutOrStdout(), "\nseed %d: %s\n", r.Seed, b)
						for _, f := range r.Schedule {
							fmt.Fprintln(c.OutOrStdout(), "  ", f)
						}
					}
				}
				rows = append(rows, row)
			}
			printTier(c.OutOrStdout(), rows)
			if breaches+unended > 0 {
				return fmt.Errorf("%d breaches, %d changes without an end", breaches, unended)
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "of the first trial; each further one has the next")
	f.IntVar(&seeds, "seeds", 5, "how many trials")
	f.IntVar(&t.Proxies, "proxies", 20, "of the tier")
	f.IntVar(&t.Planners, "planners", 3, "that keep its policy")
	f.StringSliceVar(&faults, "faults", []string{"all"}, "kinds of fault")
	f.DurationVar(&t.Length, "length", 30*time.Second, "of a trial, in which changes are proposed and faults begin")
	f.DurationVar(&t.Every, "every", 200*time.Millisecond, "between two proposals, and up to twice that")
	f.DurationVar(&t.Lease, "lease", 2*time.Second, "of the proxies; 0 = they go on when they are cut off")
	f.IntVar(&t.Each, "clients", 2, "of each proxy")
	f.Float64Var(&t.Skew, "skew", 0, "clocks are up to 200ms off and run at rates up to so much from true: 0.1 at most; --proxy has to be built with -tags lab")
	f.BoolVar(&byKind, "by-kind", false, "play each kind of fault by itself, a line each")
	f.BoolVar(&t.Naive, "naive", false, "no planners: a file beside each proxy and SIGHUP to each, to see what the auditor finds there")
	f.StringVar(&t.Binary, "proxy", "", "the program (default: havenproxy beside this one)")
	return c
}

// program names the proxy's, beside this one, where --proxy names none.
func program(path *string) (err error) {
	if *path == "" {
		*path, err = launch.Beside("havenproxy")
	}
	return err
}

// tierRow is what was played with one kind of fault, or with all.
type tierRow struct {
	kind    string
	reports []tier.Report
}

func printTier(out io.Writer, rows []tierRow) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "faults\tchanges\tin force\tp50\tp99\tmost\tgiven up\tp50\tp99\tmost\tundecided\tserved\trefused\tlost\tunder an old policy\tunder one given up")
	for _, row := range rows {
		var took [3][]time.Duration
		served, refused, lost, old, nowhere := 0, 0, 0, 0, 0
		for _, r := range row.reports {
			served, refused, lost = served+r.Served, refused+r.Refused, lost+r.Lost
			for _, c := range r.Changes {
				took[c.Outcome] = append(took[c.Outcome], c.Took)
			}
			for _, b := range r.Breaches {
				if b.Promise == tier.Nowhere {
					nowhere += b.Count
				} else {
					old += b.Count
				}
			}
		}
		n := len(took[0]) + len(took[1]) + len(took[2])
		fmt.Fprintf(w, "%s\t%d\t", row.kind, n)
		for _, o := range []rollout.Outcome{rollout.InForce, rollout.Aborted} {
			list := took[o]
			slices.Sort(list)
			at := func(q float64) string {
				if len(list) == 0 {
					return "-"
				}
				return list[min(int(q*float64(len(list))), len(list)-1)].String()
			}
			fmt.Fprintf(w, "%.0f%%\t%s\t%s\t%s\t", 100*float64(len(list))/float64(max(n, 1)), at(0.5), at(0.99), at(1))
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\n", len(took[rollout.Undecided]), served, refused, lost, old, nowhere)
	}
	w.Flush()
}

func linksCommand() *cobra.Command {
	var l tier.Links
	c := &cobra.Command{
		Use:   "links",
		Short: "Measure what a tier's links cost its planners: CPU, memory, bytes, and how long a change takes",
		Long: "links starts real planners and lets so many proxies' sides ask for their leases, without the proxies round them, and makes a few changes.\n" +
			"The figures are of this machine while nothing else runs on it.",
		Example: "  havenlab links --links 300\n  havenlab links --links 3000 --for 20s",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if l.Links < 1 || l.Planners < 1 || l.Changes < 1 || l.For < time.Second || l.Lease < 200*time.Millisecond || l.Size > rollout.MaxPolicyBytes || l.Size < 1 {
				return fmt.Errorf("%w: --links, --planners, --changes and --size are 1 at least, --size %d at most, --for 1s and --lease 200ms at least", ErrUsage, rollout.MaxPolicyBytes)
			}
			if err := program(&l.Binary); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), l.For+time.Minute) // its links don't come again once a planner has closed them
			defer cancel()
			x, err := l.Measure(ctx)
			if err != nil {
				return err
			}
			slices.Sort(x.Took)
			out := c.OutOrStdout()
			fmt.Fprintf(out, "%d links, all members after %v\n", l.Links, x.Joined.Round(time.Millisecond))
			for i := range x.CPU {
				who := "follows"
				if i == 0 {
					who = "leads"
				}
				fmt.Fprintf(out, "planner that %-8s %6.2f%% of a core, %d MiB resident\n", who, 100*x.CPU[i], x.Resident[i]>>20)
			}
			fmt.Fprintf(out, "links: %.0f bytes/s to the planner, %.0f back\n", x.Sent, x.Heard)
			fmt.Fprintf(out, "%d changes of %d bytes, in force at all: %v in the middle, %v at most\n", len(x.Took), l.Size, x.Took[len(x.Took)/2].Round(100*time.Microsecond), x.Took[len(x.Took)-1].Round(100*time.Microsecond))
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&l.Links, "links", 300, "of proxies' sides, to the planner that leads")
	f.IntVar(&l.Planners, "planners", 3, "that keep the policy")
	f.DurationVar(&l.Lease, "lease", 2*time.Second, "that each link asks for, five times in its length")
	f.DurationVar(&l.For, "for", 10*time.Second, "how long to measure")
	f.IntVar(&l.Changes, "changes", 5, "made in that time")
	f.IntVar(&l.Size, "size", 4<<10, "of each policy's text, in bytes")
	f.StringVar(&l.Binary, "proxy", "", "the program (default: havenproxy beside this one)")
	return c
}

func tierCostCommand() *cobra.Command {
	var p tier.Price
	c := &cobra.Command{
		Use:   "tier-cost",
		Short: "Measure what a tier's policy costs a proxy: CPU, memory and latency with it off and on, and round a change",
		Long: "tier-cost plays the same load on proxies that go by their own files and on such that have three planners, in turn, and makes changes under load\n" +
			"in the second kind. 'near' are requests sent within 100 ms of a change's point. The figures are of this machine while nothing else runs on it.",
		Example: "  havenlab tier-cost\n  havenlab tier-cost --rounds 10 --for 10s --clients 100",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if p.Rounds < 2 || p.Proxies < 1 || p.Clients < 1 || p.For < time.Second || p.Every < 250*time.Millisecond || p.Lease < 200*time.Millisecond {
				return fmt.Errorf("%w: --rounds is 2 at least, --proxies and --clients 1, --for 1s, --every 250ms, --lease 200ms", ErrUsage)
			}
			if err := program(&p.Binary); err != nil {
				return err
			}
			quiet()
			p.Planners = 3
			p.Fleet = fleet.Config{Seed: 1, Groups: 1, Members: 4, Zones: launch.Zones(), Classes: launch.Classes()}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "tier\trequests\tCPU each\tidle CPU\tresident\tp50\tp99\tchanges\tnear\tp99 near\tmost near\tp99 far\tmost far\trefused")
			list, err := p.Measure(c.Context(), func(x tier.Paid) {
				on := "off"
				if x.On {
					on = "on"
				}
				fmt.Fprintf(w, "%s\t%d\t%v\t%.2f%%\t%.1f MiB\t%v\t%v\t%d\t%d\t%v\t%v\t%v\t%v\t%d\n", on, x.Requests, x.Each.Round(100*time.Nanosecond), 100*x.Idle, float64(x.Resident)/(1<<20),
					x.P50.Round(time.Microsecond), x.P99.Round(time.Microsecond), x.Changes, x.Near, x.NearP99.Round(time.Microsecond), x.NearMost.Round(time.Microsecond), x.FarP99.Round(time.Microsecond), x.FarMost.Round(time.Microsecond), x.Refused)
			})
			w.Flush()
			if err != nil {
				return err
			}
			pairs := func(of func(tier.Paid) float64) (mean, half float64) { // the difference on - off over the rounds, with its 95% interval
				var d []float64
				for i := 0; i+1 < len(list); i += 2 {
					d = append(d, of(list[i+1])-of(list[i]))
				}
				mean, dev := stat.MeanStdDev(d, nil)
				t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(d) - 1)}.Quantile(0.975)
				return mean, t * dev / math.Sqrt(float64(len(d)))
			}
			for _, x := range []struct {
				name, unit string
				of         func(tier.Paid) float64
			}{
				{"CPU for a request", "us", func(x tier.Paid) float64 { return float64(x.Each) / 1e3 }},
				{"idle CPU", "% of a core", func(x tier.Paid) float64 { return 100 * x.Idle }},
				{"p50", "ms", func(x tier.Paid) float64 { return x.P50.Seconds() * 1e3 }},
				{"resident", "MiB", func(x tier.Paid) float64 { return float64(x.Resident) / (1 << 20) }},
			} {
				mean, half := pairs(x.of)
				fmt.Fprintf(c.OutOrStdout(), "on against off, %s: %+.2f %s (%+.2f to %+.2f)\n", x.name, mean, x.unit, mean-half, mean+half)
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&p.Rounds, "rounds", 5, "of each kind, in turn")
	f.IntVar(&p.Proxies, "proxies", 2, "of the tier")
	f.IntVar(&p.Clients, "clients", 50, "of each proxy, each with one request at a time")
	f.DurationVar(&p.For, "for", 4*time.Second, "that each part of a round is measured: without requests, with them, with changes too")
	f.DurationVar(&p.Every, "every", 500*time.Millisecond, "between two changes")
	f.DurationVar(&p.Lease, "lease", 2*time.Second, "of the proxies")
	f.StringVar(&p.Binary, "proxy", "", "the program (default: havenproxy beside this one)")
	return c
}
