// Package cli implements havenproxy's command line: serve, which is also the default, check, status, plan, policy, secret and version.
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

// errUsage marks errors of the caller: invalid flags, or files that cannot be used.
var errUsage = errors.New("usage")

// flags are the flags of the root command and of serve and check.
type flags struct {
	format, level string
	operator      string
	trace         string
	log           *logWriter
}

// closeLog writes the last log lines.
func (f *flags) closeLog() {
	if f.log != nil {
		f.log.close()
	}
}

// Main runs the command line and returns the exit code: 0; 1 if the command failed; 2 for invalid input; policy sub-commands have further codes.
func Main(args []string, out, stderr io.Writer) int {
	var f flags
	defer f.closeLog()
	root := &cobra.Command{
		Use:   "havenproxy",
		Short: "Routes reads and writes to replicated databases",
		Long: "havenproxy routes the reads and writes of PostgreSQL clients to groups of one primary and its replicas, by\n" +
			"request class. Without a sub-command it serves, as configured by EDGE_CONFIG.",
		Example: "  EDGE_CONFIG=deploy/example.json havenproxy\n" +
			"  EDGE_CONFIG=deploy/example.json havenproxy serve --operator deploy/operator.star\n" +
			"  havenproxy check deploy/operator.star --config deploy/example.json\n" +
			"  havenproxy status 127.0.0.1:6432",
		Args:          noArguments,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return f.setUpLog(stderr)
		},
		RunE: func(*cobra.Command, []string) error { return f.serve() },
	}
	p := root.PersistentFlags()
	p.StringVar(&f.format, "log-format", "text", "format of the log on standard error: text or json")
	p.StringVar(&f.level, "log-level", "info", "minimum level that is logged: debug, info, warn or error")
	operatorFlag(root, &f)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(stderr)
	root.AddCommand(serveCommand(&f), checkCommand(&f), statusCommand(), planCommand(), policyCommand(), secretCommand(), versionCommand())
	err := root.Execute()
	var exit exitError
	switch {
	case errors.As(err, &exit):
		fmt.Fprintln(stderr, "havenproxy:", exit.text)
		return exit.code
	case err == nil:
		return 0
	case errors.Is(err, errUsage) || strings.HasPrefix(err.Error(), "unknown command"):
		fmt.Fprintln(stderr, "havenproxy:", strings.TrimPrefix(err.Error(), errUsage.Error()+": "))
		return 2
	default:
		slog.Error("can't run", "error", err)
		return 1
	}
}

// noArguments rejects arguments, and suggests the sub-command that may have been meant.
func noArguments(c *cobra.Command, args []string) error {
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

// operatorFlag adds the flag --operator to a command.
func operatorFlag(c *cobra.Command, f *flags) {
	c.Flags().StringVar(&f.operator, "operator", os.Getenv("HAVEN_OPERATOR"), "the operator's file (default: HAVEN_OPERATOR; optional)")
}

// setUpLog configures the log. It must run before anything is logged.
func (f *flags) setUpLog(stderr io.Writer) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(f.level)); err != nil {
		return fmt.Errorf("%w: --log-level is %q, debug, info, warn or error was expected", errUsage, f.level)
	}
	o := &slog.HandlerOptions{Level: level}
	f.log = newLogWriter(stderr)
	switch f.format {
	case "text":
		slog.SetDefault(slog.New(slog.NewTextHandler(f.log, o)))
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(f.log, o)))
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
		Args: noArguments,
		RunE: func(*cobra.Command, []string) error { return f.serve() },
	}
	operatorFlag(c, f)
	c.Flags().StringVar(&f.trace, "trace", "", "record client requests in this file, with sessions as hashes, up to 64 MiB; see trace() in the operator's file")
	return c
}

func checkCommand(f *flags) *cobra.Command {
	var config string
	c := &cobra.Command{
		Use:   "check [FILE]",
		Short: "Check an operator's file and EDGE_CONFIG, and list all errors; exit 0 if there are none, 2 otherwise",
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
		Args:  noArguments,
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
