package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"havenproxy/internal/planner/client"
	"havenproxy/internal/policy"
	"havenproxy/internal/rollout"
	"havenproxy/internal/run"
	"havenproxy/internal/wire/tier"
)

// The exit codes of a change, beside 0 (in force), 1 and 2.
const (
	exitGivenUp  = 3
	exitNotKnown = 4
)

// errExit is an error with an exit code of its own.
type errExit struct {
	code int
	text string
}

func (e errExit) Error() string { return e.text }

// policyFlags are those of all sub-commands about the policy.
type policyFlags struct {
	planners []string
	asJSON   bool
	wait     time.Duration
}

func (f *policyFlags) add(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.planners, "planners", strings.FieldsFunc(os.Getenv("HAVEN_PLANNERS"), func(r rune) bool { return r == ',' }),
		"the planners' addresses (default: HAVEN_PLANNERS)")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print JSON")
}

func (f *policyFlags) client() (*client.Client, error) {
	if len(f.planners) == 0 {
		return nil, fmt.Errorf("%w: no planners: give --planners or set HAVEN_PLANNERS", errUsage)
	}
	return &client.Client{Planners: f.planners}, nil
}

func policyCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "policy",
		Short: "Change the policy of a whole tier, and ask how that goes",
		Long: "A policy is the operator's file and the configuration's classes. A change takes hold at all proxies of the tier at one moment, or at none.\n" +
			"Exit codes: 0 in force, 1 no planner could be asked, 2 bad input, 3 given up, 4 not known yet.",
		Args: noArgs,
	}
	c.AddCommand(proposeCommand(), rollbackCommand(), policyStatusCommand(), historyCommand(), showPolicyCommand(), diffCommand(), abortCommand(), expelCommand(), replaceCommand())
	return c
}

// change is what propose and rollback print with --json.
type change struct {
	Number  uint64   `json:"number"`
	Hash    string   `json:"hash"`
	Outcome string   `json:"outcome"`
	Reason  string   `json:"reason,omitempty"`
	Seconds float64  `json:"seconds"`
	Diff    []string `json:"diff"`
}

// propose asks for a change and waits for its end, with a line of progress on errs where somebody looks.
func (f *policyFlags) propose(c *cobra.Command, cl *client.Client, text []byte, why string) error {
	ctx, out, errs := c.Context(), c.OutOrStdout(), c.ErrOrStderr()
	now, err := cl.Status(ctx, 0)
	if err != nil {
		return err
	}
	var from *policy.Policy
	if now.State.InForce > 0 {
		if from, err = find(ctx, cl, now.State.InForce); err != nil {
			return err
		}
	}
	to, err := policy.Decode(text)
	if err != nil {
		return err
	}
	diff := policy.Diff(from, to)
	if !f.asJSON {
		if from == nil {
			fmt.Fprintf(out, "the tier's first policy, %s, %d settings\n", policy.Hash(text), len(diff))
		} else if len(diff) == 0 {
			fmt.Fprintln(out, "the same as the one in force")
		} else {
			fmt.Fprintln(out, strings.Join(diff, "\n"))
		}
	}
	began, nonce := time.Now(), rand.Uint64()|1
	a, err := cl.Propose(ctx, tier.Ask{Do: tier.DoPropose, Policy: text, Why: why, Nonce: nonce, Hash: policy.Hash(text)}, f.wait)
	if err != nil {
		return errExit{exitNotKnown, err.Error()}
	}
	if a.Error != "" {
		return errExit{exitGivenUp, a.Error}
	}
	var n rollout.Number
	for _, x := range a.State.Changes {
		if x.Nonce == nonce {
			n = x.Number
		}
	}
	somebody := looks(errs)
	for until, line := began.Add(f.wait), ""; ; {
		x := a.State.Change(n)
		if x != nil && x.Outcome != rollout.Undecided {
			if line != "" {
				fmt.Fprintln(errs)
			}
			took := time.Since(began)
			if f.asJSON {
				json.NewEncoder(out).Encode(change{uint64(n), policy.Hash(text), x.Outcome.String(), x.Reason, took.Seconds(), diff})
			} else if x.Outcome == rollout.InForce {
				fmt.Fprintf(out, "policy %d is in force at %d proxies, after %v\n", n, len(a.State.Members), took.Round(time.Millisecond))
			}
			if x.Outcome == rollout.Aborted {
				return errExit{exitGivenUp, fmt.Sprintf("policy %d was given up: %s", n, x.Reason)}
			}
			return nil
		}
		if time.Now().After(until) {
			return errExit{exitNotKnown, fmt.Sprintf("policy %d is undecided after %v: havenproxy policy status tells more", n, f.wait)}
		}
		if p := a.Progress; p != nil && !f.asJSON && somebody {
			if l := progressLine(p); l != line && time.Since(began) > 300*time.Millisecond {
				line = l
				fmt.Fprintf(errs, "\r\033[K%s", line)
			}
		}
		time.Sleep(50 * time.Millisecond)
		if next, err := cl.Status(ctx, 0); err == nil && next.State.LastNumber >= n {
			a = next
		}
	}
}

// looks tells whether a person looks at what is written: in a file, a line that is written over and over is noise.
func looks(w io.Writer) bool {
	file, ok := w.(*os.File)
	return ok && term.IsTerminal(int(file.Fd()))
}

func progressLine(p *rollout.Progress) string {
	line := fmt.Sprintf("policy %d: agreed %d of %d", p.Number, p.Agreed, p.Members)
	if p.Held > 0 {
		line += fmt.Sprintf(", %d hold", p.Held)
	}
	for i, w := range p.Waiting {
		switch i {
		case 0:
			line += ", waiting for "
		case 3:
			return line + fmt.Sprintf(" and %d more", len(p.Waiting)-i)
		default:
			line += ", "
		}
		line += w.Name
		if w.SinceHeard > 500*time.Millisecond {
			line += fmt.Sprintf(" (not heard for %.1f s)", w.SinceHeard.Seconds())
		}
	}
	return line
}

func proposeCommand() *cobra.Command {
	var f policyFlags
	var why, config string
	c := &cobra.Command{
		Use:   "propose FILE --why TEXT",
		Short: "Let a policy take hold at all proxies of the tier, or at none",
		Long: "propose checks FILE, an operator's file, against the classes of the configuration, shows what would change, and waits until the change is\n" +
			"in force (exit 0) or given up (exit 3). The policy is what FILE says of levels, handover and routing, and the configuration's classes.",
		Example: "  havenproxy policy propose deploy/operator.star --config deploy/example.json --why 'lean earlier' --planners 127.0.0.1:7401",
		Args: func(c *cobra.Command, args []string) error {
			if err := cobra.ExactArgs(1)(c, args); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			if why == "" {
				return fmt.Errorf("%w: --why is missing: the history keeps it", errUsage)
			}
			if config == "" {
				return fmt.Errorf("%w: set EDGE_CONFIG or give --config: a policy holds the deployment's classes", errUsage)
			}
			cl, err := f.client()
			if err != nil {
				return err
			}
			p, err := run.Policy(config, args[0])
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			text, err := p.Encode()
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			return f.propose(c, cl, text, why)
		},
	}
	f.add(c)
	c.Flags().StringVar(&why, "why", "", "what for; the history keeps it")
	c.Flags().StringVar(&config, "config", os.Getenv("EDGE_CONFIG"), "the configuration whose classes the policy holds (default: EDGE_CONFIG)")
	c.Flags().DurationVar(&f.wait, "wait", time.Minute, "how long to wait for the end; behind it exit 4")
	return c
}

// asks makes a sub-command that asks planners. names are its arguments; those called N and M are policies' numbers.
func asks(use, short string, run func(c *cobra.Command, f *policyFlags, cl *client.Client, args []string) error) *cobra.Command {
	var f policyFlags
	names := strings.Fields(use)[1:]
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args: func(c *cobra.Command, args []string) error {
			if err := cobra.ExactArgs(len(names))(c, args); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			for i, a := range args {
				if _, err := strconv.ParseUint(a, 10, 64); err != nil && len(names[i]) == 1 {
					return fmt.Errorf("%w: %q, a policy's number was expected", errUsage, a)
				}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			cl, err := f.client()
			if err != nil {
				return err
			}
			return run(c, &f, cl, args)
		},
	}
	f.add(c)
	return c
}

// number reads an argument that is known to be one.
func number(arg string) rollout.Number {
	n, _ := strconv.ParseUint(arg, 10, 64)
	return rollout.Number(n)
}

// text gives a policy's of the history.
func text(ctx context.Context, cl *client.Client, n rollout.Number) (*rollout.Change, error) {
	a, err := cl.Status(ctx, n)
	if err != nil {
		return nil, err
	}
	x := a.State.Change(n)
	switch {
	case x == nil:
		return nil, fmt.Errorf("%w: no policy %d; the last %d are kept, see havenproxy policy history", errUsage, n, len(a.State.Changes))
	case len(x.Policy) == 0:
		return nil, fmt.Errorf("%w: the text of policy %d is not kept any more", errUsage, n)
	}
	return x, nil
}

// find gives a policy of the history.
func find(ctx context.Context, cl *client.Client, n rollout.Number) (*policy.Policy, error) {
	x, err := text(ctx, cl, n)
	if err != nil {
		return nil, err
	}
	return policy.Decode(x.Policy)
}

func rollbackCommand() *cobra.Command {
	c := asks("rollback N", "Put an earlier policy into force again, as a change with a number of its own",
		func(c *cobra.Command, f *policyFlags, cl *client.Client, args []string) error {
			x, err := text(c.Context(), cl, number(args[0]))
			if err != nil {
				return err
			}
			f.wait, _ = c.Flags().GetDuration("wait")
			return f.propose(c, cl, x.Policy, fmt.Sprintf("back to %d: %s", x.Number, x.Comment))
		})
	c.Flags().Duration("wait", time.Minute, "how long to wait for the end; behind it exit 4")
	return c
}

func policyStatusCommand() *cobra.Command {
	return asks("status", "Tell which policy is in force, what is under way and who is waited for, and who belongs to the tier",
		func(c *cobra.Command, f *policyFlags, cl *client.Client, _ []string) error {
			a, err := cl.Status(c.Context(), 0)
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			if f.asJSON {
				return json.NewEncoder(out).Encode(map[string]any{"in_force": a.State.InForce, "leader": a.Leader, "planners": a.Planners, "progress": a.Progress, "members": a.Members})
			}
			fmt.Fprintf(out, "in force: %s\n", describe(a.State, a.State.InForce))
			switch {
			case a.Leader == 0:
				fmt.Fprintln(out, "no planner leads: no change can be made, and leases run out")
			case a.Progress != nil:
				fmt.Fprintf(out, "under way for %.1f s: %s\n", a.Progress.For.Seconds(), progressLine(a.Progress))
			case a.State.Pending() != nil:
				fmt.Fprintf(out, "under way: policy %d\n", a.State.Pending().Number)
			default:
				fmt.Fprintln(out, "under way: nothing")
			}
			fmt.Fprintf(out, "planners: %s, planner %d leads\n", strings.Trim(fmt.Sprint(a.Planners), "[]"), a.Leader)
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "proxy\tpolicy\tlink\tlast heard\tlease")
			for _, m := range a.Members {
				link, lease := "yes", "none"
				if !m.Linked {
					link = "no"
				}
				if a.State.Lease > 0 {
					lease = fmt.Sprintf("%.1f s", max(m.LeaseLeft.Seconds(), 0))
				}
				fmt.Fprintf(w, "%s\t%d\t%s\t%.1f s ago\t%s\n", m.Name, m.Number, link, m.SinceHeard.Seconds(), lease)
			}
			return w.Flush()
		})
}

func describe(s *rollout.State, n rollout.Number) string {
	x := s.Change(n)
	if x == nil {
		return "each proxy's own files: the tier has no policy yet"
	}
	return fmt.Sprintf("policy %d (%s), since %s: %s", n, x.Hash, time.UnixMilli(x.EndedAt).UTC().Format(time.DateTime), x.Comment)
}

func historyCommand() *cobra.Command {
	return asks("history", "Tell what was proposed and what became of it, the newest first",
		func(c *cobra.Command, f *policyFlags, cl *client.Client, _ []string) error {
			a, err := cl.Status(c.Context(), 0)
			if err != nil {
				return err
			}
			type row struct {
				Number  uint64    `json:"number"`
				Hash    string    `json:"hash"`
				At      time.Time `json:"at"`
				Seconds float64   `json:"seconds"`
				Outcome string    `json:"outcome"`
				Why     string    `json:"why"`
				Reason  string    `json:"reason,omitempty"`
			}
			var rows []row
			for _, x := range slices.Backward(a.State.Changes) {
				r := row{uint64(x.Number), x.Hash, time.UnixMilli(x.ProposedAt).UTC(), 0, x.Outcome.String(), x.Comment, x.Reason}
				if x.Outcome != rollout.Undecided {
					r.Seconds = float64(x.EndedAt-x.ProposedAt) / 1e3
				}
				rows = append(rows, r)
			}
			if f.asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(rows)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "policy\thash\tproposed\ttook\toutcome\twhy")
			for _, r := range rows {
				if r.Reason != "" {
					r.Outcome += " (" + r.Reason + ")"
				}
				fmt.Fprintf(w, "%d\t%s\t%s\t%.2f s\t%s\t%s\n", r.Number, r.Hash, r.At.Format(time.DateTime), r.Seconds, r.Outcome, r.Why)
			}
			return w.Flush()
		})
}

// lines prints what a diff tells.
func (f *policyFlags) lines(out io.Writer, lines []string) error {
	if f.asJSON {
		return json.NewEncoder(out).Encode(lines)
	}
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
	return nil
}

func showPolicyCommand() *cobra.Command {
	return asks("show N", "Print all settings of a policy",
		func(c *cobra.Command, f *policyFlags, cl *client.Client, args []string) error {
			p, err := find(c.Context(), cl, number(args[0]))
			if err != nil {
				return err
			}
			return f.lines(c.OutOrStdout(), p.Lines())
		})
}

func diffCommand() *cobra.Command {
	return asks("diff N M", "Tell what changed from one policy to another",
		func(c *cobra.Command, f *policyFlags, cl *client.Client, args []string) error {
			from, err := find(c.Context(), cl, number(args[0]))
			if err != nil {
				return err
			}
			to, err := find(c.Context(), cl, number(args[1]))
			if err != nil {
				return err
			}
			return f.lines(c.OutOrStdout(), policy.Diff(from, to))
		})
}

func abortCommand() *cobra.Command {
	return asks("abort N", "Give a change up that is under way; exit 0 if it is given up, 3 if it came into force first, 4 if that isn't known yet",
		func(c *cobra.Command, _ *policyFlags, cl *client.Client, args []string) error {
			n := number(args[0])
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				a, err := cl.Ask(c.Context(), tier.Ask{Do: tier.DoAbort, Number: n})
				if err != nil || a.State == nil {
					continue
				}
				switch x := a.State.Change(n); {
				case x == nil:
					return fmt.Errorf("%w: no policy %d", errUsage, n)
				case x.Outcome == rollout.Aborted:
					fmt.Fprintf(c.OutOrStdout(), "policy %d is given up: %s\n", n, x.Reason)
					return nil
				case x.Outcome == rollout.InForce:
					return errExit{exitGivenUp, fmt.Sprintf("policy %d is in force; havenproxy policy rollback puts an earlier one into force", n)}
				}
			}
			return errExit{exitNotKnown, fmt.Sprintf("policy %d: not known yet what becomes of it", n)}
		})
}

func expelCommand() *cobra.Command {
	return asks("expel NAME", "Take a proxy out of the tier that has ended for good: with leases behind its own, else at once, so be sure",
		func(c *cobra.Command, _ *policyFlags, cl *client.Client, args []string) error {
			a, err := cl.Ask(c.Context(), tier.Ask{Do: tier.DoExpel, Name: args[0]})
			if err != nil {
				return err
			}
			if a.Error != "" {
				return errors.New(a.Error)
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is being taken out of the tier\n", args[0])
			return nil
		})
}

func replaceCommand() *cobra.Command {
	var f policyFlags
	var wait time.Duration
	c := &cobra.Command{
		Use:   "replace OLD NEW=ADDRESS",
		Short: "Put a new planner in the place of one whose log is lost; exit 0 once it has, 4 if that isn't known yet",
		Long: "Start the new one first: havenproxy plan --join, with a number that no planner of this tier has had, and all others in --planners.\n" +
			"Most planners have to live. Both changes, the old one out and the new one in, take hold at one moment.",
		Example: "  havenproxy policy replace 2 4=10.0.0.24:7400",
		Args: func(c *cobra.Command, args []string) error {
			if err := cobra.ExactArgs(2)(c, args); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			old, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || old == 0 {
				return fmt.Errorf("%w: %q, a planner's number was expected", errUsage, args[0])
			}
			number, address, _ := strings.Cut(args[1], "=")
			id, err := strconv.ParseUint(number, 10, 64)
			if _, e := netip.ParseAddrPort(address); err != nil || id == 0 || e != nil {
				return fmt.Errorf("%w: %q, NUMBER=ADDRESS was expected, such as 4=10.0.0.24:7400", errUsage, args[1])
			}
			cl, err := f.client()
			if err != nil {
				return err
			}
			asked := false
			for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				a, err := cl.Status(c.Context(), 0)
				if err == nil && a.Leader == a.Planner && a.Leader != 0 {
					if slices.Contains(a.Planners, id) && !slices.Contains(a.Planners, old) {
						fmt.Fprintf(c.OutOrStdout(), "planner %d has taken the place of planner %d: name it in each tier() and --planners from now on\n", id, old)
						return nil
					}
					if !asked {
						a, err := cl.Ask(c.Context(), tier.Ask{Do: tier.DoReplace, Number: rollout.Number(old), Nonce: id, Name: address})
						if err != nil {
							continue
						}
						if a.Error != "" {
							return errors.New(a.Error)
						}
						asked = true
					}
				}
			}
			return errExit{exitNotKnown, "not known yet whether it has: havenproxy policy status tells who votes"}
		},
	}
	f.add(c)
	c.Flags().DurationVar(&wait, "wait", 20*time.Second, "how long to wait")
	return c
}
