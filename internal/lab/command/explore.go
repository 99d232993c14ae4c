package command

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"

	"havenproxy/internal/lab/experiment"
	"havenproxy/internal/lab/fit"
	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/play"
	"havenproxy/internal/lab/report"
	"havenproxy/internal/lab/search"
	"havenproxy/internal/lab/virtual"
	"havenproxy/internal/operator"
	"havenproxy/internal/trace"
)

// median of values in any order.
func median(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return stat.Quantile(0.5, stat.Empirical, x, nil)
}

func sweepCommand() *cobra.Command {
	var seed uint64
	var plotPath, jsonPath string
	c := &cobra.Command{
		Use:     "sweep EXPERIMENT",
		Short:   "Try one setting or two at several values each, in the model",
		Long:    "The experiment has sweep(operator = TEXT, values = {NAME: [...]}): TEXT is an operator's file with {NAME} in it.",
		Example: "  havenlab sweep deploy/lab/compare/sweep-hold.star --plot sweep.svg",
		Args:    oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			e, err := readExperiment(args[0])
			if err != nil {
				return err
			}
			if e.Sweep == nil {
				return fmt.Errorf("%w: %s has no sweep()", ErrUsage, args[0])
			}
			quiet()
			o, err := e.Play(c.Context(), seed, nil)
			if err != nil {
				return err
			}
			printOutcome(c.OutOrStdout(), o)
			if jsonPath != "" {
				if err := report.JSON(jsonPath, o); err != nil {
					return err
				}
			}
			if plotPath != "" {
				return report.SweepPlot(plotPath, o)
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "of the first run; each further one has the next")
	f.StringVar(&plotPath, "plot", "", "write a plot of the first question to this .svg or .png file: a line, or a heat map for two settings")
	f.StringVar(&jsonPath, "json", "", "write all figures to this file")
	return c
}

func sensitivityCommand() *cobra.Command {
	var seed uint64
	var calls []string
	c := &cobra.Command{
		Use:     "sensitivity SCENARIO",
		Short:   "Rank the operator's settings by how much each moves a scenario's figures, in the model",
		Example: "  havenlab sensitivity deploy/lab/crash.star --calls handover,routing",
		Args:    oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			e, err := readExperiment(args[0])
			if err != nil {
				return err
			}
			if e, err = e.Sensitivity(calls); err != nil {
				return fmt.Errorf("%w: %w", ErrUsage, err)
			}
			quiet()
			o, err := e.Play(c.Context(), seed, nil)
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			for _, q := range e.Questions {
				fmt.Fprintf(out, "%s: %d pairs, %s at the defaults; each setting's larger difference of the two values tried\n", q.Key(), o.Pairs, figure(o.Mean("defaults", q.Key())))
				w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
				for _, x := range o.Weights(q) {
					fmt.Fprintf(w, "  %s\t%s\t%s to %s\t%s\n", x.Most.Variant, signed(x.Most.Mean), signed(x.Most.Low), signed(x.Most.High), x.Most.Comparison)
				}
				w.Flush()
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "of the first run; each further one has the next")
	f.StringSliceVar(&calls, "calls", []string{"routing", "handover"}, "calls of the operator's file whose settings are tried: routing, handover, levels")
	return c
}

func worstCommand() *cobra.Command {
	var cfg search.Config
	var outPath, operatorPath, againstPath string
	var kinds []string
	var seeds int
	c := &cobra.Command{
		Use:   "worst SCENARIO",
		Short: "Search for the faults under which a scenario goes worst, and write a scenario that replays them",
		Long: "worst plays days with the scenario's fleet and traffic and faults of its own choice in place of the scenario's, and moves on\n" +
			"from the worst ones. With --against it looks for the day on which the operator's file does worst against another.",
		Example: "  havenlab worst deploy/lab/calm.star --faults 2 --tries 400 --out worst.star\n" +
			"  havenlab worst deploy/lab/calm.star --operator deploy/hold.star --against deploy/operator.star",
		Args: oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			src, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			e, err := readExperiment(args[0])
			if err != nil {
				return err
			}
			s := e.Scenario
			for _, k := range kinds {
				if !slices.Contains(fleet.Kinds, fleet.Kind(k)) {
					return fmt.Errorf("%w: --kind is %q, one of %v was expected", ErrUsage, k, fleet.Kinds)
				}
				cfg.Kinds = append(cfg.Kinds, fleet.Kind(k))
			}
			if len(cfg.Kinds) == 0 {
				cfg.Kinds = fleet.Kinds
			}
			if cfg.Faults < 1 || cfg.Faults > 100 || cfg.Tries < 1 || seeds < 1 || cfg.Longest < 100*time.Millisecond {
				return fmt.Errorf("%w: --faults is from 1 to 100, --tries and --seeds at least 1, --longest at least 100ms", ErrUsage)
			}
			if len(s.Faults) > 0 {
				return fmt.Errorf("%w: %s has faults of its own; the search chooses them all", ErrUsage, args[0])
			}
			files := make([]*operator.File, 2)
			for i, path := range []string{operatorPath, againstPath} {
				if path != "" {
					if files[i], err = e.Operator(path); err != nil {
						return fmt.Errorf("%w: %w", ErrUsage, err)
					}
				}
			}
			cfg.Groups, cfg.Members, cfg.Length, cfg.Workers = s.Fleet.Groups, s.Fleet.Members, s.Length, runtime.GOMAXPROCS(0)
			worth := func(file *operator.File, day []search.Fault, seed uint64) float64 {
				m := experiment.Model(s, file, seed)
				for _, f := range day {
					m.Faults = append(m.Faults, virtual.Fault{At: f.At, Fault: f.Fault})
				}
				return virtual.Play(m).Worth
			}
			cfg.Play = func(day []search.Fault) (sum float64) {
				for i := range seeds {
					x := worth(files[0], day, cfg.Seed+uint64(i))
					if againstPath != "" {
						x -= worth(files[1], day, cfg.Seed+uint64(i))
					}
					sum += x / float64(seeds)
				}
				return sum
			}
			out := c.OutOrStdout()
			what := "worth"
			if againstPath != "" {
				what = "worth against " + againstPath
			}
			cfg.Found = func(tries int, d search.Day) {
				fmt.Fprintf(out, "after %4d days: %s %s\n", tries, what, figure(d.Score))
			}
			quiet()
			d := search.Run(cfg)
			fmt.Fprint(out, d.Text())
			if outPath == "" {
				return nil
			}
			text := fmt.Sprintf("# Found by havenlab worst in %d days: %s %.4f over %d seeds from %d.\n%s\n%s", cfg.Tries, what, d.Score, seeds, cfg.Seed, src, d.Text())
			return os.WriteFile(outPath, []byte(text), 0o644)
		},
	}
	f := c.Flags()
	f.Uint64Var(&cfg.Seed, "seed", 1, "of the search, and of the first run of each day")
	f.IntVar(&seeds, "seeds", 2, "runs of each day, with the next seeds")
	f.IntVar(&cfg.Faults, "faults", 2, "faults a day")
	f.IntVar(&cfg.Tries, "tries", 300, "days")
	f.DurationVar(&cfg.Longest, "longest", 10*time.Second, "of a fault")
	f.StringSliceVar(&kinds, "kind", nil, "kinds of fault (default: all)")
	f.StringVar(&operatorPath, "operator", "", "the operator's file that the proxies get")
	f.StringVar(&againstPath, "against", "", "another one, against which the first is to do worst")
	f.StringVar(&outPath, "out", "", "write a scenario with the day to this file")
	return c
}

func fitCommand() *cobra.Command {
	var o fit.Options
	var outPath string
	c := &cobra.Command{
		Use:     "fit TRACE",
		Short:   "Make a scenario of recorded traffic, and say how well it fits",
		Example: "  havenproxy serve --trace day.trace   # on the proxy\n  havenlab fit day.trace --out day.star\n  havenlab model day.star",
		Args:    oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			if o.Speed <= 0 || o.Speed > 1000 {
				return fmt.Errorf("%w: --speed is %g, above 0 and at most 1000 was expected", ErrUsage, o.Speed)
			}
			t, err := trace.Load(args[0])
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			f, err := fit.Of(t, o)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			out := c.OutOrStdout()
			if outPath != "" {
				file, err := os.Create(outPath)
				if err != nil {
					return err
				}
				defer file.Close()
				if err := f.Scenario(file, args[0]); err != nil {
					return err
				}
				fmt.Fprintf(out, "%d requests in %v, %.1f a second; dispersion of tenths of a second %.2f (1 = Poisson)\n", len(t.Records), f.Length.Round(time.Millisecond), f.Rate, f.Dispersion)
				for _, d := range f.Distances {
					fmt.Fprintf(out, "  %-28s KS %.3f (by chance up to %.3f), mean shift %.1f %%\n", d.Of, d.KS, d.Chance, 100*d.Wasserstein)
				}
				for _, w := range f.Warnings() {
					fmt.Fprintln(out, "beware:", w)
				}
				return file.Close()
			}
			return f.Scenario(out, args[0])
		},
	}
	f := c.Flags()
	f.Float64Var(&o.Speed, "speed", 1, "so many times as fast as it was")
	f.IntVar(&o.Groups, "groups", 0, "groups of the scenario's fleet (default: those of the trace)")
	f.Uint64Var(&o.Seed, "seed", 1, "of the traffic that is held against the trace")
	f.StringVar(&outPath, "out", "", "write the scenario to this file")
	return c
}

func reportCommand() *cobra.Command {
	var scenarioPath, outPath, pictures string
	c := &cobra.Command{
		Use:     "report RUNS.json",
		Short:   "Write a page about runs on sockets that `havenlab run --json` has kept",
		Example: "  havenlab run deploy/lab/crash.star --json crash.json\n  havenlab report crash.json --scenario deploy/lab/crash.star --out crash.html --png pictures",
		Args:    oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			var runs []*play.Run
			if err := json.Unmarshal(text, &runs); err != nil || len(runs) == 0 || runs[0].Load == nil {
				return fmt.Errorf("%w: %s holds no runs of `havenlab run --json`: %v", ErrUsage, args[0], err)
			}
			if scenarioPath == "" { // where it was played, if that is still there
				scenarioPath = runs[0].Scenario
			}
			e, err := readExperiment(scenarioPath)
			if err != nil {
				return err
			}
			if outPath == "" {
				outPath = strings.TrimSuffix(args[0], ".json") + ".html"
			}
			if err := report.RunPage(outPath, pictures, e.Scenario, runs); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), outPath)
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&scenarioPath, "scenario", "", "the scenario that was played (default: as the runs name it)")
	f.StringVar(&outPath, "out", "", "the page (default: beside the runs)")
	f.StringVar(&pictures, "png", "", "write its pictures as PNG files into this folder")
	return c
}
