// Package cli is havenproxy's command line: serve (also what the bare program does), check, status and version.
package cli

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"havenproxy/internal/run"
)

// errUsage marks errors that are the caller's: a bad flag, or a file that can't be used.
var errUsage = errors.New("usage")

type flags struct {
	format, level string
	operator      string
	trace         string
}

// Main runs the command line and gives the exit code: 0; 1 where it could not run; 2 for bad input.
func Main(args []string, out, errs io.Writer) int {
	var f flags
	root := &cobra.Command{
		Use:   "havenproxy",
		Short: "Routes reads and writes to replicated databases",
		Long: "havenproxy routes the reads and writes of PostgreSQL clients to groups of one primary and its replicas, by\n" +
			"request class. Without a sub-command it serves, as EDGE_CONFIG says.",
		Example: "  EDGE_CONFIG=deploy/example.json havenproxy\n" +
			"  EDGE_CONFIG=deploy/example.json havenproxy serve --operator deploy/operator.star\n" +
			"  havenproxy check deploy/operator.star --config deploy/example.json\n" +
			"  havenproxy status 127.0.0.1:6432",
		Args:          noArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return f.logs(errs)
		},
		RunE: func(*cobra.Command, []string) error { return f.serve() },
	}
	p := root.PersistentFlags()
	p.StringVar(&f.format, "log-format", "text", "form of the log on standard error: text or json")
	p.StringVar(&f.level, "log-level", "info", "least level that is logged: debug, info, warn or error")
	operatorFlag(root, &f)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	root.AddCommand(serveCommand(&f), checkCommand(&f), statusCommand(), planCommand(), policyCommand(), secretCommand(), versionCommand())
	err := root.Execute()
	var exit errExit
	switch {
	case errors.As(err, &exit):
		fmt.Fprintln(errs, "havenproxy:", exit.text)
		return exit.code
	case err == nil:
		return 0
	case errors.Is(err, errUsage) || strings.HasPrefix(err.Error(), "unknown command"):
		fmt.Fprintln(errs, "havenproxy:", strings.TrimPrefix(err.Error(), errUsage.Error()+": "))
		return 2
	default:
		slog.Error("can't run", "error", err)
		return 1
	}
}

func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		hint := ""
		c.SuggestionsMinimumDistance = 2
		if near := c.SuggestionsFor(args[0]); len(near) > 0 {
			hint = fmt.Sprintf(" (did you mean %q?)", near[0])
		}
		return fmt.Errorf("%w: no sub-command %q%s; see havenproxy --help", errUsage, args[0], hint)
	}
	return nil
}

func operatorFlag(c *cobra.Command, f *flags) {
	c.Flags().StringVar(&f.operator, "operator", os.Getenv("HAVEN_OPERATOR"), "the operator's file (default: HAVEN_OPERATOR; none = as without)")
}

// logs sets the log up before anything is said.
func (f *flags) logs(errs io.Writer) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(f.level)); err != nil {
		return fmt.Errorf("%w: --log-level is %q, debug, info, warn or error was expected", errUsage, f.level)
	}
	o := &slog.HandlerOptions{Level: level}
	switch f.format {
	case "text":
		slog.SetDefault(slog.New(slog.NewTextHandler(errs, o)))
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(errs, o)))
	default:
		return fmt.Errorf("%w: --log-format is %q, text or json was expected", errUsage, f.format)
	}
	return nil
}

func (f *flags) serve() error { return run.Main(run.Options{Operator: f.operator, Trace: f.trace}) }

func serveCommand(f *flags) *cobra.Command {
	c := &cobra.Command{
		Use:   "serve",
		Short: "Serve in the foreground until SIGTERM; SIGHUP reads the files again, SIGUSR1 prints the counters",
		Example: "  EDGE_CONFIG=deploy/example.json havenproxy serve --operator deploy/operator.star\n" +
			"  EDGE_CONFIG=deploy/example.json HAVEN_OPERATOR=deploy/operator.star havenproxy serve --log-format json",
		Args: noArgs,
		RunE: func(*cobra.Command, []string) error { return f.serve() },
	}
	operatorFlag(c, f)
	c.Flags().StringVar(&f.trace, "trace", "", "keep what clients ask in this file, sessions as hashes, up to 64 MiB; trace() in the operator's file says more")
	return c
}

func checkCommand(f *flags) *cobra.Command {
	var config string
	c := &cobra.Command{
		Use:   "check [FILE]",
		Short: "Tell what is wrong with an operator's file and with EDGE_CONFIG; exit 0 if nothing, 2 otherwise",
		Example: "  havenproxy check deploy/operator.star --config deploy/example.json\n" +
			"  EDGE_CONFIG=/run/config.json havenproxy check",
		Args: func(c *cobra.Command, args []string) error {
			if err := cobra.MaximumNArgs(1)(c, args); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			file := f.operator
			if len(args) > 0 {
				file = args[0]
			}
			if config == "" {
				return fmt.Errorf("%w: set EDGE_CONFIG or give --config: an operator's file is checked against the deployment's classes", errUsage)
			}
			if err := run.Validate(config, file); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			fmt.Fprintln(c.OutOrStdout(), "ok")
			return nil
		},
	}
	operatorFlag(c, f)
	c.Flags().StringVar(&config, "config", os.Getenv("EDGE_CONFIG"), "the configuration (default: EDGE_CONFIG)")
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  noArgs,
		Run: func(c *cobra.Command, _ []string) {
			version, revision := "unknown", ""
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						revision = " " + s.Value
					}
				}
				fmt.Fprintf(c.OutOrStdout(), "havenproxy %s%s, %s\n", version, revision, info.GoVersion)
			}
		},
	}
}
