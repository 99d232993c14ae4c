package command

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/lab/report"
	"havenproxy/internal/lab/scale"
	"havenproxy/internal/lab/scale/analysis"
)

// scaleOptions are the flags of `havenlab scale`.
type scaleOptions struct {
	scale.Config
	sizes    []string
	jsonPath string
}

func scaleCommand() *cobra.Command {
	var o scaleOptions
	c := &cobra.Command{
		Use:   "scale",
		Short: "Measure what fleets of several sizes cost, by kind of message",
		Long: "scale runs hollow proxies (the true decisions and state, with requests made inside) against hollow databases and discovery, and\n" +
			"counts messages, bytes, processor time, memory and connections at their edges. All of it is one process on a virtual clock:\n" +
			"messages have the sizes that the wire's codecs give them, but pass no kernel socket, so processor time and memory are those of\n" +
			"decisions and state alone.",
		Example: "  havenlab scale --sizes 50x80\n  havenlab scale --sizes 50x80,100x160 --json scale.json",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return o.run(c) },
	}
	f := c.Flags()
	f.StringSliceVar(&o.sizes, "sizes", []string{"50x80"}, "proxies x databases")
	f.DurationVar(&o.For, "for", 10*time.Second, "measured time of each size")
	f.DurationVar(&o.Settle, "settle", 5*time.Second, "time before it")
	f.Float64Var(&o.Rate, "rate", 500, "requests a second that each proxy makes")
	f.Uint64Var(&o.Seed, "seed", 1, "of fleet and traffic")
	f.IntVar(&o.PeerFacts, "peers", 0, "facts in a datagram between proxies, 31 at most; 0 = proxies don't talk")
	f.BoolVar(&o.CountsOnly, "virtual", false, "messages and bytes only, which are the same every run")
	f.StringVar(&o.jsonPath, "json", "", "write all that was measured to this file")
	return c
}

func (o *scaleOptions) run(c *cobra.Command) error {
	sizes, err := parseSizes(o.sizes)
	if err != nil {
		return err
	}
	if o.For < time.Second || o.Settle < 0 || o.Rate <= 0 || o.PeerFacts < 0 || o.PeerFacts > 31 {
		return fmt.Errorf("%w: --for is 1s at least, --settle 0s, --rate above 0, --peers 0 to 31", ErrUsage)
	}
	for _, s := range sizes {
		o.Sizes = append(o.Sizes, analysis.Size{Proxies: s.proxies, Databases: s.databases})
	}
	quiet()
	o.Variant, o.Vary = "all", analysis.AxisBoth
	o.Progress = terminalProgress(c.ErrOrStderr())
	var run analysis.Run
	for _, size := range o.Sizes {
		m, err := o.Measure(size)
		if err != nil {
			return err
		}
		run.Measurements = append(run.Measurements, m)
		printMeasurement(c.OutOrStdout(), &m)
	}
	if o.jsonPath != "" {
		return report.JSON(o.jsonPath, run)
	}
	return nil
}

// terminalProgress writes one line over and over, where errs is a terminal; else nil.
func terminalProgress(errs io.Writer) func(analysis.Size, time.Duration, time.Duration) {
	file, ok := errs.(*os.File)
	if !ok {
		return nil
	}
	if info, err := file.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(size analysis.Size, at, of time.Duration) {
		fmt.Fprintf(errs, "\r\033[K%v: second %.0f of %.0f\r", size, at.Seconds(), of.Seconds())
	}
}

// printMeasurement prints what one size cost.
func printMeasurement(out io.Writer, m *analysis.Measurement) {
	fmt.Fprintf(out, "\n%v, seed %d, %.0f s measured\n%s\n", m.Size, m.Seed, m.Seconds, m.Transport)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "kind\tdirection\tmessages/s a proxy\tpeak\tbusiest\tbytes/s a proxy\tpeak\tbusiest\t")
	for _, t := range m.Traffic {
		if t.Messages.Mean == 0 {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", t.Kind, t.Direction, t.Messages.Mean, t.Messages.Peak, t.Messages.Busiest,
			t.Bytes.Mean, t.Bytes.Peak, t.Bytes.Busiest)
	}
	w.Flush()
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, unit string, factor float64, s analysis.Sample) {
		if s.Measured() {
			fmt.Fprintf(w, "%s\t%.3f\tpeak %.3f\tbusiest %.3f\t%s\n", name, factor*s.Mean, factor*s.Peak, factor*s.Busiest, unit)
		}
	}
	row("control traffic", "bytes/s a proxy, both ways", 1, m.ControlBytes)
	row("health checks", "/s a proxy", 1, m.ProbesPerProxy)
	row("health checks at a database", "/s", 1, m.ProbesPerDatabase)
	row("CPU for control", "% of a core, a proxy", 100, m.ControlCPU)
	row("CPU in all", "% of a core, a proxy", 100, m.TotalCPU)
	row("memory", "MB a proxy", 1e-6, m.Memory)
	row("connections of a proxy", "", 1, m.ConnectionsPerProxy)
	row("connections to a database", "", 1, m.ConnectionsPerDatabase)
	row("calls to discovery", "/s", 1, m.DiscoveryCalls)
	row("bytes of discovery", "/s", 1, m.DiscoveryBytes)
	row("requests", "/s a proxy", 1, m.RequestsPerProxy)
	row("wrong sends", "/s a proxy", 1, m.WrongSends)
	w.Flush()
}
