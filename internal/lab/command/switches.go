package command

import (
	"cmp"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/handover"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/load"
	"havenproxy/internal/lab/play"
	"havenproxy/internal/lab/report"
	"havenproxy/internal/lab/scenario"
	"havenproxy/internal/lab/switches"
)

// onSockets plays a plan against the real program.
func onSockets(c *cobra.Command, p *switches.Plan, length time.Duration, hold bool, o launch.Options) error {
	text := fmt.Sprintf("fleet(groups = %d, members = %d)\ntraffic(rps = %g, length = '%s', sockets = 400)\n", p.Groups, p.Members,
		cmp.Or(p.Rate, 20*float64(p.Groups)), length)
	s, err := scenario.Parse("switches", []byte(text))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	s.Fleet.Audit, s.Retry = true, load.Retry{Most: p.Retries, Honour: true, Wait: 50 * time.Millisecond}
	for _, f := range p.Troubles(p.Seed, length) {
		s.Faults = append(s.Faults, scenario.TimedFault{At: f.At, Fault: f.Fault})
	}
	if hold {
		dir, err := os.MkdirTemp("", "havenlab")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		o.Operator = filepath.Join(dir, "operator.star")
		if err := os.WriteFile(o.Operator, []byte("handover()\n"), 0o600); err != nil {
			return err
		}
	}
	r, err := play.Play(c.Context(), s, p.Seed, o, progressLine(s))
	if err != nil {
		return err
	}
	n := 0
	for _, e := range r.Events {
		if strings.Contains(e, "is primary after") {
			n++
		}
	}
	out := c.OutOrStdout()
	report.Table(out, r.Load)
	fmt.Fprintf(out, "%d switches, %d tries to write, %d keys with a history that no group may have\n", n, len(r.Load.Writes), len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintln(out, " ", v)
	}
	silent := 0
	for _, k := range r.Load.Classes {
		silent += k.Outcomes["silent"]
	}
	if len(r.Violations) > 0 || silent > 0 || len(r.Load.Faults) > 0 {
		return fmt.Errorf("%d keys with a wrong history, %d requests without an answer, broken promises: %v", len(r.Violations), silent, r.Load.Faults)
	}
	return nil
}

func switchesCommand() *cobra.Command {
	var p switches.Plan
	var hold, unguarded, compare bool
	var kinds []string
	var sockets time.Duration
	var o launch.Options
	c := &cobra.Command{
		Use:   "switches",
		Short: "Play many changes of primary on a virtual clock and look at what became of every write",
		Long: "switches lets primaries drain, die and hang, alone and on top of each other, under traffic, and checks that every\n" +
			"write's key was applied exactly once or refused, never both. It ends with 1 where that is not so.",
		Example: "  havenlab switches --count 2000 --hold\n  havenlab switches --count 300 --hold --unguarded --writes 8s",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, k := range kinds {
				if !slices.Contains(switches.Kinds, switches.Kind(k)) {
					return fmt.Errorf("%w: --kind is %q, one of %q was expected", ErrUsage, k, switches.Kinds)
				}
				p.Kinds = append(p.Kinds, switches.Kind(k))
			}
			for name, n := range map[string]int{"--count": p.Count, "--groups": p.Groups, "--members": p.Members, "--proxies": p.Proxies} {
				if n < 1 {
					return fmt.Errorf("%w: %s is %d, at least 1 was expected", ErrUsage, name, n)
				}
			}
			if p.Rate < 0 || p.Writes < 0 || p.Retries < 0 || sockets < 0 {
				return fmt.Errorf("%w: --rps, --writes, --retries and --sockets can't be below zero", ErrUsage)
			}
			if sockets > 0 && (compare || unguarded || p.Writes > 0 || p.Proxies > 1) {
				return fmt.Errorf("%w: --sockets plays one real program as it is: --compare, --unguarded, --writes and --proxies go with the virtual clock only", ErrUsage)
			}
			if sockets > 0 && sockets < time.Minute {
				return fmt.Errorf("%w: --sockets is %v; troubles come 12 to 24 s apart, at least 1m0s was expected", ErrUsage, sockets)
			}
			p.Hold = handover.Config{Hold: hold}
			if unguarded {
				p.Hold.Margin = -time.Hour
			}
			if sockets > 0 {
				return onSockets(c, &p, sockets, hold, o)
			}
			slog.SetDefault(slog.New(slog.DiscardHandler)) // many proxies' lines say little here
			began := time.Now()
			if compare {
				p.Hold.Hold = false
				off := switches.Virtual(p)
				p.Hold.Hold = true
				on := switches.Virtual(p)
				fmt.Fprintf(c.OutOrStdout(), "off: %von:  %von against off, the same seeds:\n%v", off, on, switches.Differences(off, on))
				return nil
			}
			r := switches.Virtual(p)
			fmt.Fprintf(c.OutOrStdout(), "%vin %.1f s\n", r, time.Since(began).Seconds())
			if r.Switches < p.Count {
				return fmt.Errorf("only %d switches of the %d asked for: such troubles elect too few", r.Switches, p.Count)
			}
			if len(r.Violations) > 0 || r.Silent > 0 {
				return fmt.Errorf("%d keys have a history that no group may have, %d requests had no answer", len(r.Violations), r.Silent)
			}
			return nil
		},
	}
	f := c.Flags()
	f.DurationVar(&sockets, "sockets", 0, "play for so long against the real program on loopback, instead; --count doesn't matter then")
	f.StringVar(&o.Binary, "proxy", "", "the program to start (default: havenproxy beside havenlab)")
	f.Uint64Var(&p.Seed, "seed", 1, "of the first run; each further one has the next")
	f.IntVar(&p.Count, "count", 200, "switches, at least")
	f.IntVar(&p.Groups, "groups", 4, "groups of databases")
	f.IntVar(&p.Members, "members", 3, "databases a group")
	f.IntVar(&p.Proxies, "proxies", 1, "proxies that share the traffic")
	f.Float64Var(&p.Rate, "rps", 0, "requests a second, all groups together (default: 20 a group)")
	f.BoolVar(&hold, "hold", false, "proxies hold requests that need a primary, as handover() in the operator's file does")
	f.BoolVar(&unguarded, "unguarded", false, "take the guard on repeats out, to see that the check finds what it prevents")
	f.BoolVar(&compare, "compare", false, "play everything without and with the hold, and compare run by run")
	f.DurationVar(&p.Writes, "writes", 0, "how long clients wait for a write (default: the class's limit)")
	f.IntVar(&p.Retries, "retries", 3, "further tries of a refused request")
	f.StringSliceVar(&kinds, "kind", nil, "kinds of trouble (default: all): drain, crash, 'short hang', 'long hang', 'drain+crash', 'drain twice', 'hang+crash'")
	return c
}
