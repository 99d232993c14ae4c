package command

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/load"
	"havenproxy/internal/lab/play"
	"havenproxy/internal/lab/report"
	"havenproxy/internal/lab/scenario"
)

func runCommand() *cobra.Command {
	var seed uint64
	var runs int
	var jsonPath string
	var showLog bool
	var protocol string
	var o launch.Options
	c := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Play a scenario against the real program and print what came of it",
		Example: "  havenlab run deploy/lab/calm.star\n" +
			"  havenlab run deploy/lab/wave.star --runs 5 --operator deploy/operator.star --json wave.json",
		Args: func(c *cobra.Command, args []string) error {
			if err := cobra.ExactArgs(1)(c, args); err != nil {
				return fmt.Errorf("%w: %w", ErrUsage, err)
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Read(args[0])
			if err != nil {
				return fmt.Errorf("%w: bad scenario:\n%w", ErrUsage, err)
			}
			if protocol != "" {
				if !slices.Contains(load.Protocols, protocol) {
					return fmt.Errorf("%w: --protocol is %q, one of %v was expected", ErrUsage, protocol, load.Protocols)
				}
				s.Protocol = protocol
			}
			out := c.OutOrStdout()
			var all []*play.Run
			for i := range runs {
				seed := seed + uint64(i)
				r, err := play.Play(c.Context(), s, seed, o, progressLine(s))
				if err != nil {
					return err
				}
				all = append(all, r)
				fmt.Fprintf(out, "%s, seed %d: %v at %.0f requests a second (%.2f of capacity)\n", args[0], seed, s.Length, s.Rate(0), s.Rate(0)/s.Capacity())
				for _, e := range r.Events {
					fmt.Fprintln(out, " ", e)
				}
				report.Table(out, r.Load)
				fmt.Fprintf(out, "proxy: %.0f us of CPU a request, %.1f MB at most; level changes: %d\n\n",
					float64(r.CPU.Microseconds())/float64(max(offered(r.Load), 1)), float64(r.Memory)/1e6, r.Count("level changed"))
				if showLog {
					for _, line := range r.Log {
						fmt.Fprintln(out, line)
					}
				}
				if c.Context().Err() != nil {
					break
				}
			}
			if runs > 1 {
				spread(c, all)
			}
			if jsonPath != "" {
				return report.JSON(jsonPath, all)
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "of all random numbers; with --runs the first of several")
	f.IntVar(&runs, "runs", 1, "how often, each with the next seed")
	f.StringVar(&jsonPath, "json", "", "write all figures to this file")
	f.StringVar(&protocol, "protocol", "", "what clients and databases speak, in place of the scenario's: postgres, mysql or mysql-prepared")
	f.BoolVar(&showLog, "log", false, "print the proxy's log behind the figures")
	proxyFlags(c, &o)
	return c
}

func offered(r *load.Result) (n int) {
	for i := range r.Classes {
		n += r.Classes[i].Offered
	}
	return n
}

// progressLine writes over one line of a terminal; elsewhere nothing.
func progressLine(s *scenario.Scenario) func(time.Duration, load.Sample) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(at time.Duration, x load.Sample) {
		fmt.Fprintf(os.Stderr, "\r%3.0f of %.0f s: %d offered, %d in aim, worth %.0f %%   ", at.Seconds(), s.Length.Seconds(),
			x.Offered, x.InAim, 100*x.Worth/max(x.Asked, 1))
		if s.Length-at < time.Second {
			fmt.Fprint(os.Stderr, "\r\033[K")
		}
	}
}

// spread prints the mean and the least and most over several runs.
func spread(c *cobra.Command, all []*play.Run) {
	line := func(name string, of func(*play.Run) float64) {
		least, most, sum := of(all[0]), of(all[0]), 0.0
		for _, r := range all {
			x := of(r)
			least, most, sum = min(least, x), max(most, x), sum+x
		}
		fmt.Fprintf(c.OutOrStdout(), "%-28s %.3f (%.3f to %.3f)\n", name, sum/float64(len(all)), least, most)
	}
	fmt.Fprintf(c.OutOrStdout(), "over %d seeds: mean (least to most)\n", len(all))
	for i := range all[0].Load.Classes {
		line(all[0].Load.Classes[i].Name+" in aim", func(r *play.Run) float64 { return r.Load.Classes[i].InAim })
	}
	line("worth", func(r *play.Run) float64 { return r.Load.Worth })
	line("worth, worst 10 s", func(r *play.Run) float64 { return r.Load.Worst10 })
	line("level changes", func(r *play.Run) float64 { return float64(r.Count("level changed")) })
}
