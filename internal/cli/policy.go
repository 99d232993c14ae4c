package cli

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/planner/client"
	"havenproxy/internal/policy"
	"havenproxy/internal/rollout"
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

func abortCommand() *cobra.Command {
	return asks("abort N", "Give a change up that is under way; exit 0 if it is given up, 3 if it came into force first, 4 if that isn't known yet",
		func(c *cobra.Command, _ *policyFlags, cl *client.Client, args []string) error {
			n := number(args[0])
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				a, err := cl.Do(c.Context(), tier.Ask{Do: tier.DoAbort, Number: n})
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
