package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/lab/report"
	"havenproxy/internal/lab/scale"
	"havenproxy/internal/lab/scale/analysis"
	"havenproxy/internal/lab/scale/calculate"
)

// scaleOptions are the flags of `havenlab scale`.
type scaleOptions struct {
	scale.Config
	sizes     []string
	vary      []string
	memory    float64 // GB
	timeout   time.Duration
	processes bool
	trial     bool
	calculate bool
	variant   string
	compare   int
	jobs      int
	events    []string
	eventSize string
	jsonPath  string
	pagePath  string
}

// errBudget marks a run in which a budget is broken.
var errBudget = errors.New("a budget is broken")

func scaleCommand() *cobra.Command {
	var o scaleOptions
	c := &cobra.Command{
		Use:   "scale",
		Short: "Measure what fleets of several sizes cost, by kind of message; exit 1 where a budget is broken",
		Long: "scale runs hollow proxies (the true decisions and state, with requests made inside) against hollow databases and discovery, and\n" +
			"counts messages, bytes, processor time, memory and connections at their edges. All of it is one process on a virtual clock:\n" +
			"messages have the sizes that the wire's codecs give them, but pass no kernel socket, so processor time and memory are those of\n" +
			"decisions and state alone. The largest size of each series is predicted from the smaller ones before it runs.",
		Example: "  havenlab scale --sizes 50x80\n  havenlab scale --vary both,proxies,databases --json scale.json --page scale.md",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return o.run(c) },
	}
	f := c.Flags()
	f.StringSliceVar(&o.sizes, "sizes", []string{"50x80", "100x160", "200x320", "400x640", "820x1300"}, "proxies x databases")
	f.StringSliceVar(&o.vary, "vary", []string{string(analysis.AxisBoth)}, "what the sizes vary: both, proxies (before the databases of the smallest), databases")
	f.StringVar(&o.variant, "variant", scale.VariantAll, "health checking: all (each proxy checks every database), shared (by the tier's checkers), both, one after the other")
	f.IntVar(&o.compare, "compare", 0, "compare the worth of shared checks with that of all checking everything: so many seeds, 5 at least, at --event-size, calm and with each of --events; 0 = measure sizes")
	f.IntVar(&o.jobs, "jobs", 1, "runs of --compare at once; each holds what one run does, and --memory bounds all of them together")
	f.DurationVar(&o.For, "for", 10*time.Second, "measured time of each size")
	f.DurationVar(&o.Settle, "settle", 5*time.Second, "time before it")
	f.Float64Var(&o.Rate, "rate", 500, "requests a second that each proxy makes")
	f.Uint64Var(&o.Seed, "seed", 1, "of fleet and traffic")
	f.IntVar(&o.PeerFacts, "peers", 0, "facts in a datagram between proxies, 31 at most; 0 = proxies don't talk")
	f.DurationVar(&o.Lease, "lease", 2*time.Second, "that proxies ask planners for; 0 = there are no planners")
	f.DurationVar(&o.ChangeEvery, "change-every", 105*time.Second, "between two changes of policy, 4 KiB each, the first after half of it; 0 = none")
	f.BoolVar(&o.processes, "processes", true, "measure real planners and a real proxy at each size, on loopback")
	f.StringVar(&o.Binary, "proxy", "", "the program that they run (default: havenproxy beside this one)")
	f.StringSliceVar(&o.events, "events", nil, "events that are brought about behind the sizes: all, or some of "+eventNames())
	f.StringVar(&o.eventSize, "event-size", "", "the size at which they are (default: the largest of --sizes)")
	f.DurationVar(&o.PartedFor, "parted-for", 3*time.Minute, "how long regions are parted in the event")
	f.Float64Var(&o.memory, "memory", float64(scale.MachineMemory()/2)/1e9, "GB that the run may hold")
	f.DurationVar(&o.timeout, "timeout", 30*time.Minute, "bound on the whole run; what was measured until then is still printed")
	f.BoolVar(&o.CountsOnly, "virtual", false, "messages and bytes only, which are the same every run")
	f.BoolVar(&o.trial, "trial", false, "call the figures trials")
	f.BoolVar(&o.calculate, "calculate", false, "run nothing: print what follows for the target from settings and the lengths of messages")
	f.StringVar(&o.jsonPath, "json", "", "write the run with its report to this file")
	f.StringVar(&o.pagePath, "page", "", "write a Markdown page to this file, with plots beside it")
	return c
}

// check reads the flags.
func (o *scaleOptions) check() error {
	sizes, err := parseSizes(o.sizes)
	if err != nil {
		return err
	}
	for _, s := range sizes {
		size := analysis.Size{Proxies: s.proxies, Databases: s.databases}
		if err := scale.CheckSize(size); err != nil {
			return fmt.Errorf("%w: %w", ErrUsage, err)
		}
		o.Sizes = append(o.Sizes, size)
	}
	for _, name := range o.vary {
		axis := analysis.Axis(name)
		if axis != analysis.AxisBoth && axis != analysis.AxisProxies && axis != analysis.AxisDatabases {
			return fmt.Errorf("%w: --vary has %q, some of %q were expected", ErrUsage, name, analysis.Axes)
		}
		o.Axes = append(o.Axes, axis)
	}
	if variantsOf[o.variant] == nil {
		return fmt.Errorf("%w: --variant is %q, all, shared or both was expected", ErrUsage, o.variant)
	}
	if err := o.checkEvents(); err != nil {
		return err
	}
	if o.For < time.Second || o.Settle < 0 || o.Rate <= 0 || o.PeerFacts < 0 || o.PeerFacts > 31 || o.memory < 0 || o.Lease < 0 || o.Lease > 0 && o.Lease < 200*time.Millisecond || o.ChangeEvery < 0 || o.timeout <= 0 || o.jobs < 1 {
		return fmt.Errorf("%w: --for is 1s at least, --settle 0s, --rate above 0, --peers 0 to 31, --memory 0 at least, --lease 0 or 200ms at least, --timeout above 0, --jobs 1 at least", ErrUsage)
	}
	return nil
}

// checkEvents reads the flags for events.
func (o *scaleOptions) checkEvents() error {
	o.EventSize = o.Sizes[len(o.Sizes)-1]
	if o.eventSize != "" {
		list, err := parseSizes([]string{o.eventSize})
		if err != nil {
			return err
		}
		o.EventSize = analysis.Size{Proxies: list[0].proxies, Databases: list[0].databases}
	}
	if err := scale.CheckSize(o.EventSize); err != nil {
		return fmt.Errorf("%w: --event-size: %w", ErrUsage, err)
	}
	if slices.Equal(o.events, []string{"all"}) {
		o.Events = analysis.Events
		return nil
	}
	for _, name := range o.events {
		if !slices.Contains(analysis.Events, analysis.Event(name)) {
			return fmt.Errorf("%w: --events has %q, all or some of %s were expected", ErrUsage, name, eventNames())
		}
		o.Events = append(o.Events, analysis.Event(name))
	}
	return nil
}

// eventNames lists the events, separated by commas.
func eventNames() string {
	var names []string
	for _, e := range analysis.Events {
		names = append(names, string(e))
	}
	return strings.Join(names, ",")
}

func (o *scaleOptions) run(c *cobra.Command) error {
	if err := o.check(); err != nil {
		return err
	}
	out := c.OutOrStdout()
	if o.calculate {
		return calculate.WriteMarkdown(out, calculate.Target())
	}
	if o.processes = o.processes && !o.CountsOnly; !o.processes {
		o.Binary = ""
	} else if err := program(&o.Binary); err != nil {
		return err
	}
	quiet()
	o.Memory, o.Until = int64(o.memory*1e9), time.Now().Add(o.timeout)
	if o.Memory > 0 {
		debug.SetMemoryLimit(o.Memory)
	}
	o.Progress = terminalProgress(c.ErrOrStderr())
	o.Measured = func(m *analysis.Measurement) { printMeasurement(out, m) }
	o.Happened = func(e *analysis.EventRow) { printEvent(out, e) }
	o.Predict = func(size analysis.Size, list []analysis.Prediction) { printPredictions(out, size, list) }
	if o.compare > 0 {
		return o.compareWorth(c.Context(), out)
	}
	run := analysis.Run{Command: "havenlab " + strings.Join(os.Args[1:], " "), Commit: commit(), Machine: machine(), Trial: o.trial}
	for _, o.Variant = range variantsOf[o.variant] {
		if err := o.Run(c.Context(), &run); err != nil {
			return err
		}
	}
	return o.report(out, &run)
}

// variantsOf gives what runs for each value of --variant.
var variantsOf = map[string][]string{
	scale.VariantAll:    {scale.VariantAll},
	scale.VariantShared: {scale.VariantShared},
	"both":              {scale.VariantAll, scale.VariantShared},
}

// report prints what follows from a run, and writes its files.
func (o *scaleOptions) report(out io.Writer, run *analysis.Run) error {
	r := analysis.Analyse(run, analysis.Target)
	fmt.Fprintln(out)
	if err := r.WriteText(out); err != nil {
		return err
	}
	if o.jsonPath != "" {
		if err := report.JSON(o.jsonPath, r); err != nil {
			return err
		}
	}
	if o.pagePath != "" {
		if err := writePage(r, o.pagePath); err != nil {
			return err
		}
	}
	switch {
	case len(run.Measurements) == 0 && run.Stopped != "":
		return fmt.Errorf("%w: %s", ErrUsage, run.Stopped)
	case len(r.Breaches) > 0:
		return fmt.Errorf("%w: %d of them, in the table above", errBudget, len(r.Breaches))
	case run.Stopped != "":
		return errors.New(run.Stopped)
	}
	return nil
}

// writePage writes a report as a Markdown page, with its plots in a folder beside it.
func writePage(r *analysis.Report, path string) error {
	folder := strings.TrimSuffix(path, filepath.Ext(path)) + "-plots"
	names, err := r.WritePlots(folder)
	if err != nil {
		return err
	}
	pictures := make([]string, len(names))
	for i, name := range names {
		pictures[i] = filepath.Join(filepath.Base(folder), name)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(r.WriteMarkdown(file, pictures), file.Close())
}

// commit names the code that runs.
func commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, modified := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = ", with changes"
		}
	}
	return revision + modified
}

// machine describes the one that runs, with how busy it is.
func machine() string {
	load, _ := os.ReadFile("/proc/loadavg")
	one, _, _ := strings.Cut(string(load), " ")
	return fmt.Sprintf("%d cores (GOMAXPROCS %d), %.0f GB, load average %s at the start", runtime.NumCPU(), runtime.GOMAXPROCS(0),
		float64(scale.MachineMemory())/1e9, one)
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

// printMeasurement prints what one size cost, by kind of message.
func printMeasurement(out io.Writer, m *analysis.Measurement) {
	fmt.Fprintf(out, "\n%v, %s, varying %s, seed %d, %.0f s measured %s\n", m.Size, m.Variant, m.Vary, m.Seed, m.Seconds, m.Partial)
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
	fmt.Fprintf(out, "checks %.2f/s a proxy (busiest second %.0f); control %.0f bytes/s a proxy (busiest second %.0f); connections %.1f a database; control %.2f%% of a core a proxy; worth %.4f\n",
		m.ProbesPerProxy.Mean, m.ProbesPerProxy.Busiest, m.ControlBytes.Mean, m.ControlBytes.Busiest, m.ConnectionsPerDatabase.Mean, 100*m.ControlCPU.Mean, m.Worth)
}

// printPredictions prints what the smaller sizes say of the largest, before that one runs.
func printPredictions(out io.Writer, size analysis.Size, list []analysis.Prediction) {
	fmt.Fprintf(out, "\npredicted for %v, before it runs\n", size)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, p := range list {
		m, _ := analysis.MetricByName(p.Metric)
		interval := "no interval"
		if p.Interval {
			interval = fmt.Sprintf("%.4g to %.4g", p.Low, p.High)
		}
		fmt.Fprintf(w, "%s\t%.4g\t%s\t%s\t%s\n", m.Label, p.Value, interval, m.Unit, p.Model)
	}
	w.Flush()
}

// printEvent prints what one event cost.
func printEvent(out io.Writer, e *analysis.EventRow) {
	known := "all knew after"
	if !e.AllKnew {
		known = "not all knew within"
	}
	fmt.Fprintf(out, "\n%s at %v: %s %v; %d requests, %d refused, %d wrong sends until then; peak second: %.0f bytes and %.2f%% of a core a proxy, %.0f bytes and %.2f%% at the planner\n",
		e.Event, e.Size, known, e.UntilAllKnow.Round(time.Millisecond), e.Requests, e.Refused, e.WrongSends, e.PeakProxyBytes, 100*e.PeakProxyCPU, e.PeakPlannerBytes, 100*e.PeakPlannerCPU)
	for _, s := range e.Stopped {
		fmt.Fprintf(out, "  %s: %v\n", s.What, s.For)
	}
}
