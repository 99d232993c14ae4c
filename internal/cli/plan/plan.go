// Package plan implements the command line of a planner. It is a separate program, havenplan, which `havenproxy plan` executes: the planner's
// dependencies would take 6 MB of each proxy's memory.
package plan

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/endpoints"
	"havenproxy/internal/planner"
)

// ErrUsage marks errors of the caller.
var ErrUsage = errors.New("usage")

// Command returns the command that runs a planner.
func Command() *cobra.Command {
	var cfg planner.Config
	var peers, cutOff string
	c := &cobra.Command{
		Use:   "plan",
		Short: "Keep a tier's policy: run one of its planners (1, 3 or 5) in the foreground until SIGTERM",
		Long: "A planner keeps policies, changes and the tier's members in a log replicated to all planners. Proxies that name them\n" +
			"with tier() in the operator's file follow the policy in force there. A change needs a majority of the planners; without\n" +
			"one, proxies continue under their policy for the length of a lease (--cut-off stop) or indefinitely (--cut-off \"go on\").",
		Example: "  havenproxy plan --id 1 --planners 1=127.0.0.1:7401 --log /var/lib/havenproxy/plan1\n" +
			"  havenproxy plan --id 2 --planners 1=10.0.0.21:7400,2=10.0.0.22:7400,3=10.0.0.23:7400 --log /var/lib/havenproxy/plan",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if cfg.Peers, err = planner.ParsePeers(peers); err != nil {
				return fmt.Errorf("%w: --planners: %w", ErrUsage, err)
			}
			if cfg.Peers[cfg.ID] == "" {
				return fmt.Errorf("%w: --id is %d, one of those named with --planners was expected", ErrUsage, cfg.ID)
			}
			if cfg.LogFile == "" {
				return fmt.Errorf("%w: --log: the file of the log is missing", ErrUsage)
			}
			switch {
			case cutOff == "go on" && c.Flags().Changed("lease"):
				return fmt.Errorf("%w: --lease requires --cut-off stop: without leases a proxy that is cut off keeps serving", ErrUsage)
			case cutOff == "go on":
				cfg.Rollout.Lease = 0
			case cutOff != "stop":
				return fmt.Errorf("%w: --cut-off is %q, \"stop\" or \"go on\" was expected", ErrUsage, cutOff)
			case cfg.Rollout.Lease < 200*time.Millisecond || cfg.Rollout.Lease > time.Minute:
				return fmt.Errorf("%w: --lease is %v, 200ms to 1m was expected", ErrUsage, cfg.Rollout.Lease)
			}
			if cfg.Listen == "" {
				cfg.Listen = cfg.Peers[cfg.ID]
			}
			p, err := planner.Open(cfg)
			if err != nil {
				return err
			}
			if err := (endpoints.Endpoints{Planner: p.Address()}).Report(); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return p.Run(ctx)
		},
	}
	c.SilenceUsage, c.SilenceErrors = true, true
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", ErrUsage, err) })
	f := c.Flags()
	f.Uint64Var(&cfg.ID, "id", 0, "this planner's number")
	f.StringVar(&peers, "planners", "", "all planners, this one included: 1=ADDRESS,2=ADDRESS,3=ADDRESS")
	f.StringVar(&cfg.Listen, "listen", "", "where to listen (default: this planner's address)")
	f.StringVar(&cfg.LogFile, "log", "", "the file of the log; it is created if it does not exist")
	f.BoolVar(&cfg.Join, "join", false, "this planner replaces another one (havenproxy policy replace) and gets its log from the others; ignored once it has joined")
	f.StringVar(&cutOff, "cut-off", "stop", "what a proxy does that can reach no planner: \"stop\" when its lease expires, or \"go on\"; must be the same at all proxies and planners")
	f.DurationVar(&cfg.Rollout.Lease, "lease", 2*time.Second, "how long a proxy serves after it last reached the leading planner; must be the same at all proxies and planners")
	return c
}

// Main runs the command and returns the exit code: 0; 1 if the planner failed; 2 for invalid input.
func Main(args []string, stdout, stderr io.Writer) int {
	slog.SetDefault(slog.New(slog.NewTextHandler(stderr, nil)))
	c := Command()
	c.SetArgs(args)
	c.SetOut(stdout)
	c.SetErr(stderr)
	switch err := c.Execute(); {
	case err == nil:
		return 0
	case errors.Is(err, ErrUsage):
		fmt.Fprintln(stderr, "havenproxy plan:", strings.TrimPrefix(err.Error(), ErrUsage.Error()+": "))
		return 2
	default:
		slog.Error("can't run", "error", err)
		return 1
	}
}
