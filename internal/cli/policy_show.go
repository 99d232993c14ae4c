package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/planner/client"
	"havenproxy/internal/policy"
	"havenproxy/internal/rollout"
)

func policyStatusCommand() *cobra.Command {
	return plannerCommand("status", "Show the policy in force, a pending change and the proxies it waits for, and the members of the tier",
		func(c *cobra.Command, f *policyFlags, cl *client.Client, _ []string) error {
			a, err := cl.Status(c.Context(), 0)
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			if f.asJSON {
				return json.NewEncoder(out).Encode(map[string]any{"in_force": a.State.InForce, "leader": a.Leader, "planners": a.Planners, "progress": a.Progress, "members": a.Members})
			}
			fmt.Fprintf(out, "in force: %s\n", describePolicy(a.State, a.State.InForce))
			switch {
			case a.Leader == 0:
				fmt.Fprintln(out, "no planner leads: no change can be made, and leases run out")
			case a.Progress != nil:
				fmt.Fprintf(out, "under way for %.1f s: %s\n", a.Progress.Age.Seconds(), progressLine(a.Progress))
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
					lease = fmt.Sprintf("%.1f s", max(m.LeaseRemaining.Seconds(), 0))
				}
				fmt.Fprintf(w, "%s\t%d\t%s\t%.1f s ago\t%s\n", m.Name, m.Number, link, m.SinceLastMessage.Seconds(), lease)
			}
			return w.Flush()
		})
}

// describePolicy describes a policy in one line.
func describePolicy(s *rollout.State, n rollout.Number) string {
	x := s.Change(n)
	if x == nil {
		return "each proxy's own files: the tier has no policy yet"
	}
	return fmt.Sprintf("policy %d (%s), since %s: %s", n, x.Hash, time.UnixMilli(x.EndedAt).UTC().Format(time.DateTime), x.Comment)
}

func historyCommand() *cobra.Command {
	return plannerCommand("history", "Show the proposed changes and their outcomes, newest first",
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

// printLines prints lines of settings, or a JSON array of them.
func (f *policyFlags) printLines(out io.Writer, lines []string) error {
	if f.asJSON {
		return json.NewEncoder(out).Encode(lines)
	}
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
	return nil
}

func showPolicyCommand() *cobra.Command {
	return plannerCommand("show N", "Print all settings of a policy",
		func(c *cobra.Command, f *policyFlags, cl *client.Client, args []string) error {
			p, err := findPolicy(c.Context(), cl, parseNumber(args[0]))
			if err != nil {
				return err
			}
			return f.printLines(c.OutOrStdout(), p.Lines())
		})
}

func diffCommand() *cobra.Command {
	return plannerCommand("diff N M", "Show the differences between two policies",
		func(c *cobra.Command, f *policyFlags, cl *client.Client, args []string) error {
			from, err := findPolicy(c.Context(), cl, parseNumber(args[0]))
			if err != nil {
				return err
			}
			to, err := findPolicy(c.Context(), cl, parseNumber(args[1]))
			if err != nil {
				return err
			}
			return f.printLines(c.OutOrStdout(), policy.Diff(from, to))
		})
}
