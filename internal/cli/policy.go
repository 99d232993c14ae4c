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

// Exit codes of a change in addition to 0 (in force), 1 and 2.
const (
	exitAborted   = 3
	exitUndecided = 4
)

// exitError is an error with its own exit code.
type exitError struct {
	code int
	text string
}

func (e exitError) Error() string { return e.text }

// policyFlags are the flags of all policy sub-commands.
type policyFlags struct {
	planners []string
	asJSON   bool
	wait     time.Duration
}

// add adds the flags to a sub-command.
func (f *policyFlags) add(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.planners, "planners", strings.FieldsFunc(os.Getenv("HAVEN_PLANNERS"), func(r rune) bool { return r == ',' }),
		"the planners' addresses (default: HAVEN_PLANNERS)")
	c.Flags().BoolVar(&f.asJSON, "json", false, "print JSON")
}

// client returns a client of the planners that the flags name.
func (f *policyFlags) client() (*client.Client, error) {
	if len(f.planners) == 0 {
		return nil, fmt.Errorf("%w: no planners: give --planners or set HAVEN_PLANNERS", errUsage)
	}
	return &client.Client{Planners: f.planners}, nil
}

func policyCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "policy",
		Short: "Change the policy of a whole tier, and show its state",
		Long: "A policy consists of the operator's file and the configuration's classes. A change takes effect at all proxies of the tier at the same time, or at none.\n" +
			"Exit codes: 0 in force, 1 no planner answered, 2 bad input, 3 given up, 4 not known yet.",
		Args: noArguments,
	}
	c.AddCommand(proposeCommand(), rollbackCommand(), policyStatusCommand(), historyCommand(), showPolicyCommand(), diffCommand(), abortCommand(), expelCommand(), replaceCommand())
	return c
}

// plannerCommand returns a sub-command that queries planners. Its arguments are the words after the first in use; N and M are numbers of policies.
func plannerCommand(use, short string, run func(c *cobra.Command, f *policyFlags, cl *client.Client, args []string) error) *cobra.Command {
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

// parseNumber parses an argument that has already been validated as a number.
func parseNumber(arg string) rollout.Number {
	n, _ := strconv.ParseUint(arg, 10, 64)
	return rollout.Number(n)
}

// findChange returns a change of the history whose policy text is still kept.
func findChange(ctx context.Context, cl *client.Client, n rollout.Number) (*rollout.Change, error) {
	answer, err := cl.Status(ctx, n)
	if err != nil {
		return nil, err
	}
	change := answer.State.Change(n)
	switch {
	case change == nil:
		return nil, fmt.Errorf("%w: no policy %d; the last %d are kept, see havenproxy policy history", errUsage, n, len(answer.State.Changes))
	case len(change.Policy) == 0:
		return nil, fmt.Errorf("%w: the text of policy %d is not kept any more", errUsage, n)
	}
	return change, nil
}

// findPolicy returns a policy of the history.
func findPolicy(ctx context.Context, cl *client.Client, n rollout.Number) (*policy.Policy, error) {
	change, err := findChange(ctx, cl, n)
	if err != nil {
		return nil, err
	}
	return policy.Decode(change.Policy)
}

func rollbackCommand() *cobra.Command {
	c := plannerCommand("rollback N", "Put an earlier policy into force again, as a change with a number of its own",
		func(c *cobra.Command, f *policyFlags, cl *client.Client, args []string) error {
			x, err := findChange(c.Context(), cl, parseNumber(args[0]))
			if err != nil {
				return err
			}
			f.wait, _ = c.Flags().GetDuration("wait")
			return f.propose(c, cl, x.Policy, fmt.Sprintf("back to %d: %s", x.Number, x.Comment))
		})
	c.Flags().Duration("wait", time.Minute, "how long to wait for the outcome; after that exit 4")
	return c
}

func abortCommand() *cobra.Command {
	return plannerCommand("abort N", "Give up a pending change; exit 0 if it is given up, 3 if it came into force first, 4 if that is not known yet",
		func(c *cobra.Command, _ *policyFlags, cl *client.Client, args []string) error {
			n := parseNumber(args[0])
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
					return exitError{exitAborted, fmt.Sprintf("policy %d is in force; havenproxy policy rollback puts an earlier one into force", n)}
				}
			}
			return exitError{exitUndecided, fmt.Sprintf("policy %d: the outcome is not known yet", n)}
		})
}
