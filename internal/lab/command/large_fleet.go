package command

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/lab/largefleet"
	"havenproxy/internal/lab/launch"
)

// errRequestsLost tells of requests that got no answer in time.
var errRequestsLost = errors.New("requests were lost")

func largeFleetCommand() *cobra.Command {
	cfg := largefleet.Config{}
	verbose := false
	c := &cobra.Command{
		Use:   "large-fleet",
		Short: "Run a real proxy before many more databases than its traffic needs, on a share of a core",
		Long: "large-fleet starts stand-in databases and one real proxy of a simulated tier on loopback. The proxy gets a share of a core; clients\n" +
			"with little time ask it. It counts requests without an answer half a second past their time, and ends with 1 where there are any.",
		Example: "  havenlab large-fleet --databases 3200 --share 0.1 --reloads 2",
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
			r, err := largefleet.Run(c.Context(), cfg)
			if err != nil {
				return err
			}
			o := &r.Outcomes
			fmt.Fprintf(c.OutOrStdout(), "%d databases, %.2f of a core: served %d, refused %d, failed %d, lost %d; CPU %.2f s, memory %d MB, descriptors %d, "+
				"connections %d, checks %d\n", cfg.Databases, cfg.Share, o[largefleet.Served], o[largefleet.Refused], o[largefleet.Failed],
				o[largefleet.Unanswered], r.CPU.Seconds(), r.Memory>>20, r.Descriptors, r.Opened, r.Probes)
			for _, l := range r.Lost {
				fmt.Fprintf(c.OutOrStdout(), "lost: %.3f s, id %s, group %d, waits %v: %s\n", l.At.Seconds(), l.ID, l.Group, l.Wait.Round(time.Millisecond), l.Why)
			}
			if len(r.Lost) > 0 {
				return errRequestsLost
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&cfg.Binary, "proxy", "", "the program to start (default: havenproxy beside havenlab)")
	f.IntVar(&cfg.Databases, "databases", 3200, "how many, in groups of four")
	f.IntVar(&cfg.Proxies, "proxies", 400, "of the tier; all but one are simulated")
	f.Float64Var(&cfg.Share, "share", 0.3, "of a core that the proxy gets")
	f.Float64Var(&cfg.Rate, "rate", 17, "requests a second")
	f.DurationVar(&cfg.For, "for", 10*time.Second, "how long requests come")
	f.StringVar((*string)(&cfg.Fault.Kind), "fault", "", "of many databases at once, in the middle third: crash, hang, slow, drain, lag, errors")
	f.Float64Var(&cfg.Fault.Part, "part", 0.3, "of the databases that have it")
	f.IntVar(&cfg.Reloads, "reloads", 0, "SIGHUPs, spread over that time")
	f.Uint64Var(&cfg.Seed, "seed", 1, "of all random numbers")
	f.BoolVarP(&verbose, "verbose", "v", false, "show the proxy's log")
	return c
}
