package command

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"havenproxy/internal/lab/checksim"
)

func checksCommand() *cobra.Command {
	config := checksim.Config{}
	c := &cobra.Command{
		Use:     "checks",
		Short:   "Count what shared health checking costs a proxy, on virtual time",
		Example: "  havenlab checks --proxies 820 --databases 1300",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if config.Proxies < 2 || config.Databases < 1 || config.Zones < 1 || config.Proxies > 10000 || config.Databases > 1<<16 {
				return fmt.Errorf("%w: 2 to 10000 proxies, 1 to 65536 databases and a zone at least were expected", ErrUsage)
			}
			printChecks(c, checksim.Run(config))
			return nil
		},
	}
	c.Flags().IntVar(&config.Proxies, "proxies", 82, "proxies of the tier")
	c.Flags().IntVar(&config.Databases, "databases", 130, "databases")
	c.Flags().IntVar(&config.Zones, "zones", 5, "zones that both are spread over")
	c.Flags().Float64Var(&config.ChecksPerSecond, "checks", 10, "checks a second that a proxy may make")
	c.Flags().Float64Var(&config.BytesPerSecond, "bytes", 1600, "bytes a second for reports, each way")
	c.Flags().Uint64Var(&config.Seed, "seed", 1, "seed of the assignment")
	return c
}

func printChecks(c *cobra.Command, phases []checksim.Phase) {
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "phase\tlasted\tchecks/s\tmost\tsent B/s\tmost\treceived B/s\tmost\tknown after\tin doubt")
	for _, p := range phases {
		known := "-"
		if p.Known > 0 {
			known = p.Known.String()
		} else if p.Known < 0 {
			known = "not known"
		}
		fmt.Fprintf(w, "%s\t%v\t%.2f\t%d\t%.0f\t%d\t%.0f\t%d\t%s\t%.1f%%\n", p.Name, p.Lasted, p.Checks, p.MostChecks, p.Sent, p.MostSent,
			p.Received, p.MostIn, known, 100*p.Doubted)
	}
}
