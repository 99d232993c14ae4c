package command

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/lab/hostile"
	"havenproxy/internal/lab/launch"
)

func hostileCommand() *cobra.Command {
	cfg := hostile.Config{}
	var names []string
	verbose, each := false, false
	c := &cobra.Command{
		Use:   "hostile",
		Short: "Run a real proxy under a deployment's limits beside hostile clients",
		Long: "hostile starts stand-in databases and one real proxy on loopback, under limits of memory, descriptors and processors. Hostile clients\n" +
			"send cheap or unsound input beside well-behaved ones. It tells the peak of memory and what the well-behaved clients were answered.",
		Example: "  havenlab hostile --kinds empty-queries --pin 3 --memory 64\n  havenlab hostile --each",
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
			runs := [][]hostile.Kind{nil}
			for _, name := range names {
				runs[0] = append(runs[0], hostile.Kind(name))
			}
			if each {
				for _, kind := range hostile.Kinds() {
					runs = append(runs, []hostile.Kind{kind})
				}
			}
			for _, kinds := range runs {
				cfg.Kinds = kinds
				r, err := hostile.Run(c.Context(), cfg)
				if r != nil {
					fmt.Fprintf(c.OutOrStdout(), "%-22v %v\n", kinds, r)
				}
				if err != nil {
					fmt.Fprintf(c.OutOrStdout(), "%-22v %v\n", kinds, err)
				}
				if err := c.Context().Err(); err != nil {
					return err
				}
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&cfg.Binary, "proxy", "", "the program to start (default: havenproxy beside havenlab)")
	f.StringSliceVar(&names, "kinds", nil, "of hostile clients, all at once (default: none)")
	f.BoolVar(&each, "each", false, "play each kind by itself, behind a run of --kinds")
	f.DurationVar(&cfg.For, "for", 4*time.Second, "how long clients send")
	f.IntVar(&cfg.MemoryMB, "memory", 64, "limit of the proxy's memory in MB; it is killed beyond")
	f.IntVar(&cfg.Sockets, "proxy-sockets", 512, "descriptors that the proxy may hold")
	f.IntVar(&cfg.Pin, "pin", 0, "the one CPU that the proxy may use, counted from 1 (default: any)")
	f.IntVar(&cfg.Cores, "cores", 1, "GOMAXPROCS of the proxy")
	f.IntVar(&cfg.Busy, "busy", 0, "busy processes on that CPU")
	f.IntVar(&cfg.Clients, "clients", 4, "well-behaved clients")
	f.Uint64Var(&cfg.Seed, "seed", 1, "of all random numbers")
	f.BoolVarP(&verbose, "verbose", "v", false, "show the proxy's log")
	return c
}
