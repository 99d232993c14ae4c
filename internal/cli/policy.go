package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

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
	c.AddCommand(proposeCommand(), rollbackCommand(), policyStatusCommand(), historyCommand(), showPolicyCommand(), diffCommand(), abortCommand(), expelCommand())
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
	now, err := cl.Status(ctx)
	if err != nil {
		return err
	}
	var from, to *policy.Policy
	if x := now.State.Change(now.State.Force); x != nil {
		from, _ = policy.Decode(x.Policy)
	}
	if to, err = policy.Decode(text); err != nil {
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
	a, err := cl.Propose(ctx, tier.Ask{Do: tier.DoPropose, Policy: text, Why: why, Nonce: nonce}, f.wait)
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
				fmt.Fprintf(out, "policy %d is in force at %d proxies, after %v\n", n, len(a.State.Seats), took.Round(time.Millisecond))
			}
			if x.Outcome == rollout.GivenUp {
				return errExit{exitGivenUp, fmt.Sprintf("policy %d was given up: %s", n, x.Reason)}
			}
			return nil
		}
		if time.Now().After(until) {
			return errExit{exitNotKnown, fmt.Sprintf("policy %d is undecided after %v: havenproxy policy status tells more", n, f.wait)}
		}
		if p := a.Progress; p != nil && !f.asJSON {
			if l := progressLine(p); l != line && time.Since(began) > 300*time.Millisecond {
				line = l
				fmt.Fprintf(errs, "\r\033[K%s", line)
			}
		}
		time.Sleep(50 * time.Millisecond)
		if next, err := cl.Status(ctx); err == nil && next.State.Last >= n {
			a = next
		}
	}
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
		if w.Cut > 500*time.Millisecond {
			line += fmt.Sprintf(" (not heard for %.1f s)", w.Cut.Seconds())
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

func rollbackCommand() *cobra.Command {
	var f policyFlags
	c := &cobra.Command{
		Use:     "rollback N",
		Short:   "Put an earlier policy into force again, as a change with a number of its own",
		Example: "  havenproxy policy rollback 6 --planners 127.0.0.1:7401",
		Args:    oneNumber,
		RunE: func(c *cobra.Command, args []string) error {
			cl, err := f.client()
			if err != nil {
				return err
			}
			x, err := find(c.Context(), cl, args[0])
			if err != nil {
				return err
			}
			return f.propose(c, cl, x.Policy, fmt.Sprintf("back to %d: %s", x.Number, x.Why))
		},
	}
	f.add(c)
	c.Flags().DurationVar(&f.wait, "wait", time.Minute, "how long to wait for the end; behind it exit 4")
	return c
}

func oneNumber(c *cobra.Command, args []string) error { return numbers(c, args, 1) }

func numbers(c *cobra.Command, args []string, n int) error {
	if err := cobra.ExactArgs(n)(c, args); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	for _, a := range args {
		if _, err := strconv.ParseUint(a, 10, 64); err != nil {
			return fmt.Errorf("%w: %q, a policy's number was expected", errUsage, a)
		}
	}
	return nil
}

// find gives a change of the history.
func find(ctx context.Context, cl *client.Client, arg string) (*rollout.Change, error) {
	a, err := cl.Status(ctx)
	if err != nil {
		return nil, err
	}
	n, _ := strconv.ParseUint(arg, 10, 64)
	x := a.State.Change(rollout.Number(n))
	if x == nil {
		return nil, fmt.Errorf("%w: no policy %s; the last %d are kept, see havenproxy policy history", errUsage, arg, len(a.State.Changes))
	}
	return x, nil
}

func policyStatusCommand() *cobra.Command {
	var f policyFlags
	c := &cobra.Command{
		Use:   "status",
		Short: "Tell which policy is in force, what is under way and who is waited for, and who belongs to the tier",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cl, err := f.client()
			if err != nil {
				return err
			}
			a, err := cl.Status(c.Context())
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			if f.asJSON {
				return json.NewEncoder(out).Encode(map[string]any{"in_force": a.State.Force, "leader": a.Leader, "progress": a.Progress, "members": a.Members})
			}
			fmt.Fprintf(out, "in force: %s\n", describe(a.State, a.State.Force))
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
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "proxy\tpolicy\tlink\tlast heard\tlease")
			for _, m := range a.Members {
				link, lease := "yes", "none"
				if !m.Linked {
					link = "no"
				}
				if a.State.Lease > 0 {
					lease = fmt.Sprintf("%.1f s", max(m.Lease.Seconds(), 0))
				}
				fmt.Fprintf(w, "%s\t%d\t%s\t%.1f s ago\t%s\n", m.Name, m.Number, link, m.Heard.Seconds(), lease)
			}
			return w.Flush()
		},
	}
	f.add(c)
	return c
}

func describe(s *rollout.State, n rollout.Number) string {
	x := s.Change(n)
	if x == nil {
		return "each proxy's own files: the tier has no policy yet"
	}
	return fmt.Sprintf("policy %d (%s), since %s: %s", n, policy.Hash(x.Policy), time.UnixMilli(x.Ended).UTC().Format(time.DateTime), x.Why)
}

func historyCommand() *cobra.Command {
	var f policyFlags
	c := &cobra.Command{
		Use:   "history",
		Short: "Tell what was proposed and what became of it, the newest first",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cl, err := f.client()
			if err != nil {
				return err
			}
			a, err := cl.Status(c.Context())
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
				r := row{uint64(x.Number), policy.Hash(x.Policy), time.UnixMilli(x.At).UTC(), 0, x.Outcome.String(), x.Why, x.Reason}
				if x.Outcome != rollout.Undecided {
					r.Seconds = float64(x.Ended-x.At) / 1e3
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
		},
	}
	f.add(c)
	return c
}

func printPolicy(out io.Writer, text []byte) error {
	p, err := policy.Decode(text)
	if err != nil {
		return err
	}
	for _, l := range policy.Diff(nil, p) {
		fmt.Fprintln(out, l[2:])
	}
	return nil
}

func showPolicyCommand() *cobra.Command {
	var f policyFlags
	c := &cobra.Command{
		Use:   "show N",
		Short: "Print all settings of a policy",
		Args:  oneNumber,
		RunE: func(c *cobra.Command, args []string) error {
			cl, err := f.client()
			if err != nil {
				return err
			}
			x, err := find(c.Context(), cl, args[0])
			if err != nil {
				return err
			}
			if f.asJSON {
				p, err := policy.Decode(x.Policy)
				if err != nil {
					return err
				}
				return json.NewEncoder(c.OutOrStdout()).Encode(policy.Diff(nil, p))
			}
			return printPolicy(c.OutOrStdout(), x.Policy)
		},
	}
	f.add(c)
	return c
}

func diffCommand() *cobra.Command {
	var f policyFlags
	c := &cobra.Command{
		Use:   "diff N M",
		Short: "Tell what changed from one policy to another",
		Args:  func(c *cobra.Command, args []string) error { return numbers(c, args, 2) },
		RunE: func(c *cobra.Command, args []string) error {
			cl, err := f.client()
			if err != nil {
				return err
			}
			var ps [2]*policy.Policy
			for i, arg := range args {
				x, err := find(c.Context(), cl, arg)
				if err == nil {
					ps[i], err = policy.Decode(x.Policy)
				}
				if err != nil {
					return err
				}
			}
			lines := policy.Diff(ps[0], ps[1])
			if f.asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(lines)
			}
			for _, l := range lines {
				fmt.Fprintln(c.OutOrStdout(), l)
			}
			return nil
		},
	}
	f.add(c)
	return c
}

func abortCommand() *cobra.Command {
	var f policyFlags
	c := &cobra.Command{
		Use:   "abort N",
		Short: "Give a change up that is under way; exit 0 if it is given up, 3 if it came into force first, 4 if that isn't known yet",
		Args:  oneNumber,
		RunE: func(c *cobra.Command, args []string) error {
			cl, err := f.client()
			if err != nil {
				return err
			}
			n, _ := strconv.ParseUint(args[0], 10, 64)
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				a, err := cl.Ask(c.Context(), tier.Ask{Do: tier.DoAbort, Number: rollout.Number(n)})
				if err != nil || a.State == nil {
					continue
				}
				switch x := a.State.Change(rollout.Number(n)); {
				case x == nil:
					return fmt.Errorf("%w: no policy %d", errUsage, n)
				case x.Outcome == rollout.GivenUp:
					fmt.Fprintf(c.OutOrStdout(), "policy %d is given up: %s\n", n, x.Reason)
					return nil
				case x.Outcome == rollout.InForce:
					return errExit{exitGivenUp, fmt.Sprintf("policy %d is in force; havenproxy policy rollback puts an earlier one into force", n)}
				}
			}
			return errExit{exitNotKnown, fmt.Sprintf("policy %d: not known yet what becomes of it", n)}
		},
	}
	f.add(c)
	return c
}

func expelCommand() *cobra.Command {
	var f policyFlags
	c := &cobra.Command{
		Use:   "expel NAME",
		Short: "Take a proxy out of the tier that has ended for good. If it lives, it goes on under what it has: be sure",
		Args: func(c *cobra.Command, args []string) error {
			if err := cobra.ExactArgs(1)(c, args); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			cl, err := f.client()
			if err != nil {
				return err
			}
			a, err := cl.Ask(c.Context(), tier.Ask{Do: tier.DoExpel, Name: args[0]})
			if err != nil {
				return err
			}
			if a.Error != "" {
				return errors.New(a.Error)
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is taken out of the tier\n", args[0])
			return nil
		},
	}
	f.add(c)
	return c
}
