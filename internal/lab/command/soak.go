package command

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/soak"
)

// errSoakFaults tells of runs in which a rule was broken.
var errSoakFaults = errors.New("rules were broken")

func soakCommand() *cobra.Command {
	cfg := soak.Config{}
	var first uint64
	var seeds int
	verbose := false
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run a real proxy under hostile clients and signals in series, by seeds",
		Long: "soak plays a plan for each seed: limits, hostile clients, a crowd in some, and signals (SIGHUP, SIGUSR1, SIGSTOP, SIGTERM with SIGKILL at\n" +
			"the earliest, SIGKILL), while well-behaved clients use every connection that is open. It ends with 1 where a rule was broken.",
		Example: "  havenlab soak --seeds 50 --pin 3",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if cfg.Binary == "" {
				if cfg.Binary, err = launch.Beside("havenproxy"); err != nil {
					return err
				}
			}
			if verbose {
				cfg.Log = c.ErrOrStderr()
			}
			broken := 0
			for cfg.Seed = first; cfg.Seed < first+uint64(seeds); cfg.Seed++ {
				r, err := soak.Run(c.Context(), cfg)
				if err != nil {
					return fmt.Errorf("seed %d: %w", cfg.Seed, err)
				}
				fmt.Fprintf(c.OutOrStdout(), "seed %d: %v\n", cfg.Seed, r)
				if faults := r.Faults(); len(faults) > 0 {
					broken++
					fmt.Fprintf(c.OutOrStdout(), "  BROKEN: %q\n  plan: %v\n  lost: %q\n", faults, r.Plan, r.Details)
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "%d of %d seeds broke a rule\n", broken, seeds)
			if broken > 0 {
				return errSoakFaults
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&cfg.Binary, "proxy", "", "the program to start (default: havenproxy beside havenlab)")
	f.Uint64Var(&first, "seed", 1, "the first seed")
	f.IntVar(&seeds, "seeds", 50, "how many")
	f.DurationVar(&cfg.Length, "length", 8*time.Second, "of each plan")
	f.IntVar(&cfg.Pin, "pin", 0, "the one CPU that the proxy may use, counted from 1 (default: any)")
	f.BoolVarP(&verbose, "verbose", "v", false, "show the proxy's log")
	return c
}
