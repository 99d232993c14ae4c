package command

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/lab/experiment"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/report"
	"havenproxy/internal/lab/virtual"
	"havenproxy/internal/operator"
)

// oneFile asks for the one argument of a sub-command.
func oneFile(c *cobra.Command, args []string) error {
	if err := cobra.ExactArgs(1)(c, args); err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	return nil
}

func readExperiment(path string) (*experiment.Experiment, error) {
	e, err := experiment.Read(path)
	if err != nil {
		return nil, fmt.Errorf("%w: bad scenario:\n%w", ErrUsage, err)
	}
	return e, nil
}

// quiet drops the model's proxies' own log lines: hundreds of proxies say little there.
func quiet() { slog.SetDefault(slog.New(slog.DiscardHandler)) }

func compareCommand() *cobra.Command {
	var seed uint64
	var jsonPath, htmlPath, pictures string
	var sockets int
	var o launch.Options
	c := &cobra.Command{
		Use:   "compare EXPERIMENT",
		Short: "Play variants against each other in the model, and say which is better or that it can't be told",
		Long: "An experiment is a scenario with variant(), question() and runs() in it. All variants meet the same days; the first is\n" +
			"what the others are held against. It stops as soon as all questions are answered or the budget of runs is spent, and\n" +
			"never names a winner inside the noise.",
		Example: "  havenlab compare deploy/lab/compare/hold.star\n  havenlab compare deploy/lab/compare/hold.star --html hold.html --sockets 10",
		Args:    oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			e, err := readExperiment(args[0])
			if err != nil {
				return err
			}
			if len(e.Variants) < 2 {
				return fmt.Errorf("%w: %s names %d variants, two at least are needed", ErrUsage, args[0], len(e.Variants))
			}
			if sockets != 0 {
				if err := e.OnSockets(sockets); err != nil {
					return fmt.Errorf("%w: %w", ErrUsage, err)
				}
			}
			quiet()
			out, began := c.OutOrStdout(), time.Now()
			model, err := e.Play(c.Context(), seed, func(x *experiment.Outcome) {
				if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
					fmt.Fprintf(os.Stderr, "%d pairs\n", x.Pairs)
				}
			})
			if err != nil {
				return err
			}
			printOutcome(out, model)
			fmt.Fprintf(out, "%.1f s\n", time.Since(began).Seconds())
			outcomes := []*experiment.Outcome{model}
			if sockets > 0 {
				real, err := e.PlaySockets(c.Context(), seed, sockets, o)
				if err != nil {
					return err
				}
				printOutcome(out, real)
				printPrediction(out, model, real)
				outcomes = append(outcomes, real)
			}
			if jsonPath != "" {
				if err := report.JSON(jsonPath, outcomes); err != nil {
					return err
				}
			}
			if htmlPath != "" {
				return report.Comparison(htmlPath, pictures, outcomes)
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "of the first pair; each further one has the next")
	f.StringVar(&jsonPath, "json", "", "write all figures to this file")
	f.StringVar(&htmlPath, "html", "", "write a page with the comparison to this file")
	f.StringVar(&pictures, "png", "", "with --html: write its pictures as PNG files into this folder")
	f.IntVar(&sockets, "sockets", 0, "play so many pairs against the real program on loopback as well, and hold them against the model")
	proxyFlags(c, &o)
	return c
}

// figure prints a number with four digits that count.
func figure(x float64) string {
	switch a := math.Abs(x); {
	case math.IsInf(x, 0):
		return fmt.Sprintf("%v", x)
	case a == 0:
		return "0"
	case a < 10:
		return fmt.Sprintf("%.4f", x)
	case a < 1000:
		return fmt.Sprintf("%.1f", x)
	}
	return fmt.Sprintf("%.0f", x)
}

func signed(x float64) string {
	if x > 0 && !math.IsInf(x, 0) {
		return "+" + figure(x)
	}
	return figure(x)
}

func printOutcome(out io.Writer, o *experiment.Outcome) {
	e := o.Experiment
	fmt.Fprintf(out, "%s: %d pairs, %s\n", e.Name, o.Pairs, o.Clock)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "question\t")
	for _, v := range e.Variants {
		fmt.Fprintf(w, "%s\t", v.Name)
	}
	fmt.Fprintln(w)
	for _, q := range e.Questions {
		fmt.Fprintf(w, "%s\t", q.Key())
		for _, v := range e.Variants {
			fmt.Fprintf(w, "%s\t", figure(o.Mean(v.Name, q.Key())))
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	fmt.Fprintf(out, "\nagainst %q:\n", e.Variants[0].Name)
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "  variant\tquestion\tdifference\tinterval\tp\tverdict")
	for _, c := range o.Comparisons {
		fmt.Fprintf(w, "  %s\t%s\t%s\t%s to %s\t%.4f\t%s\n", c.Variant, c.Question.Key(), signed(c.Mean), signed(c.Low), signed(c.High), c.Adjusted, c)
	}
	w.Flush()
}

// printPrediction holds what was measured on sockets against what the model said.
func printPrediction(out io.Writer, model, real *experiment.Outcome) {
	fmt.Fprintln(out, "\nprediction against sockets:")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "  variant\tquestion\tmodel\tinterval\tsockets\tinterval\tinside")
	inside := 0
	for i, m := range model.Comparisons {
		r := real.Comparisons[i]
		in := "no"
		if r.Mean >= m.Low && r.Mean <= m.High {
			in = "yes"
			inside++
		} else if r.High >= m.Low && r.Low <= m.High {
			in = "intervals meet"
		}
		fmt.Fprintf(w, "  %s\t%s\t%s\t%s to %s\t%s\t%s to %s\t%s\n", m.Variant, m.Question.Key(), signed(m.Mean), signed(m.Low), signed(m.High),
			signed(r.Mean), signed(r.Low), signed(r.High), in)
	}
	w.Flush()
	fmt.Fprintf(out, "%d of %d inside\n", inside, len(model.Comparisons))
}

func modelCommand() *cobra.Command {
	var seed uint64
	var runs int
	var jsonPath, htmlPath, pictures, operatorPath string
	c := &cobra.Command{
		Use:   "model SCENARIO",
		Short: "Play a scenario in the model alone: no sockets, a virtual clock, the true decisions",
		Example: "  havenlab model deploy/lab/crash.star --runs 20\n" +
			"  havenlab model deploy/lab/crash.star --operator deploy/hold.star --html crash.html",
		Args: oneFile,
		RunE: func(c *cobra.Command, args []string) error {
			e, err := readExperiment(args[0])
			if err != nil {
				return err
			}
			if runs < 1 {
				return fmt.Errorf("%w: --runs is %d, at least 1 was expected", ErrUsage, runs)
			}
			var file *operator.File
			if operatorPath != "" {
				if file, err = e.Operator(operatorPath); err != nil {
					return fmt.Errorf("%w: %w", ErrUsage, err)
				}
			}
			quiet()
			var all []experiment.Run
			var last *virtual.Result
			began := time.Now()
			for i := range runs {
				cfg := experiment.Model(e.Scenario, file, seed+uint64(i))
				cfg.Heat = htmlPath != ""
				last = virtual.Play(cfg)
				all = append(all, experiment.Run{Variant: e.Name, Seed: seed + uint64(i), Figures: experiment.Figures(e.Scenario, last)})
			}
			took := time.Since(began)
			if htmlPath != "" {
				if err := report.Page(htmlPath, pictures, e.Name, e.Scenario, last); err != nil {
					return err
				}
			}
			if jsonPath == "-" {
				return json.NewEncoder(c.OutOrStdout()).Encode(all)
			}
			printRuns(c.OutOrStdout(), all)
			fmt.Fprintf(c.OutOrStdout(), "%d runs of %v in %.2f s\n", runs, e.Scenario.Length, took.Seconds())
			if jsonPath != "" {
				return report.JSON(jsonPath, all)
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "of the first run; each further one has the next")
	f.IntVar(&runs, "runs", 1, "how often")
	f.StringVar(&operatorPath, "operator", "", "the operator's file that the proxies get")
	f.StringVar(&jsonPath, "json", "", "write the figures to this file; - = print them instead of the table")
	f.StringVar(&htmlPath, "html", "", "write a page about the last run to this file")
	f.StringVar(&pictures, "png", "", "with --html: write its pictures as PNG files into this folder")
	return c
}

// printRuns prints means with their spread.
func printRuns(out io.Writer, all []experiment.Run) {
	var keys []string
	for k := range all[0].Figures {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join([]string{"figure", "mean", "least", "most"}, "\t"))
	for _, k := range keys {
		least, most, sum := math.Inf(1), math.Inf(-1), 0.0
		for _, r := range all {
			x := r.Figures[k]
			least, most, sum = min(least, x), max(most, x), sum+x
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", k, figure(sum/float64(len(all))), figure(least), figure(most))
	}
	w.Flush()
}
