package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"havenproxy/internal/planner/client"
	"havenproxy/internal/policy"
	"havenproxy/internal/rollout"
	"havenproxy/internal/run"
	"havenproxy/internal/wire/tier"
)

// change is the output of propose and rollback with --json.
type change struct {
	Number  uint64   `json:"number"`
	Hash    string   `json:"hash"`
	Outcome string   `json:"outcome"`
	Reason  string   `json:"reason,omitempty"`
	Seconds float64  `json:"seconds"`
	Diff    []string `json:"diff"`
}

// propose proposes a change and waits for its outcome. On a terminal it shows the progress on standard error.
func (f *policyFlags) propose(c *cobra.Command, cl *client.Client, text []byte, why string) error {
	ctx, out, stderr := c.Context(), c.OutOrStdout(), c.ErrOrStderr()
	current, err := cl.Status(ctx, 0)
	if err != nil {
		return err
	}
	var from *policy.Policy
	if current.State.InForce > 0 {
		if from, err = findPolicy(ctx, cl, current.State.InForce); err != nil {
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
	startedAt, nonce := time.Now(), rand.Uint64()|1
	answer, err := cl.Propose(ctx, tier.Ask{Do: tier.DoPropose, Policy: text, Why: why, Nonce: nonce, Hash: policy.Hash(text)}, f.wait)
	if err != nil {
		return exitError{exitUndecided, err.Error()}
	}
	if answer.Error != "" {
		return exitError{exitAborted, answer.Error}
	}
	var n rollout.Number
	for _, proposal := range answer.State.Changes {
		if proposal.Nonce == nonce {
			n = proposal.Number
		}
	}
	terminal := isTerminal(stderr)
	for until, line := startedAt.Add(f.wait), ""; ; {
		proposal := answer.State.Change(n)
		if proposal != nil && proposal.Outcome != rollout.Undecided {
			if line != "" {
				fmt.Fprintln(stderr)
			}
			took := time.Since(startedAt)
			if f.asJSON {
				json.NewEncoder(out).Encode(change{uint64(n), policy.Hash(text), proposal.Outcome.String(), proposal.Reason, took.Seconds(), diff})
			} else if proposal.Outcome == rollout.InForce {
				fmt.Fprintf(out, "policy %d is in force at %d proxies, after %v\n", n, len(answer.State.Members), took.Round(time.Millisecond))
			}
			if proposal.Outcome == rollout.Aborted {
				return exitError{exitAborted, fmt.Sprintf("policy %d was given up: %s", n, proposal.Reason)}
			}
			return nil
		}
		if time.Now().After(until) {
			return exitError{exitUndecided, fmt.Sprintf("policy %d is undecided after %v: see havenproxy policy status", n, f.wait)}
		}
		if p := answer.Progress; p != nil && !f.asJSON && terminal {
			if l := progressLine(p); l != line && time.Since(startedAt) > 300*time.Millisecond {
				line = l
				fmt.Fprintf(stderr, "\r\033[K%s", line)
			}
		}
		time.Sleep(50 * time.Millisecond)
		if next, err := cl.Status(ctx, 0); err == nil && next.State.LastNumber >= n {
			answer = next
		}
	}
}

// isTerminal reports whether w is a terminal; in a file, a progress line that is overwritten repeatedly would be noise.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	return ok && term.IsTerminal(int(file.Fd()))
}

// progressLine describes the progress of a pending change in one line.
func progressLine(p *rollout.Progress) string {
	line := fmt.Sprintf("policy %d: agreed %d of %d", p.Number, p.Agreed, p.Members)
	if p.Held > 0 {
		line += fmt.Sprintf(", %d hold requests", p.Held)
	}
	for i, w := range p.PendingAnswers {
		switch i {
		case 0:
			line += ", waiting for "
		case 3:
			return line + fmt.Sprintf(" and %d more", len(p.PendingAnswers)-i)
		default:
			line += ", "
		}
		line += w.Name
		if w.SinceLastMessage > 500*time.Millisecond {
			line += fmt.Sprintf(" (not heard for %.1f s)", w.SinceLastMessage.Seconds())
		}
	}
	return line
}

func proposeCommand() *cobra.Command {
	var f policyFlags
	var why, config string
	c := &cobra.Command{
		Use:   "propose FILE --why TEXT",
		Short: "Put a policy into force at all proxies of the tier, or at none",
		Long: "propose checks FILE, an operator's file, against the classes of the configuration, shows what would change, and waits until the change is\n" +
			"in force (exit 0) or given up (exit 3). The policy consists of the levels, handover and routing settings of FILE and the configuration's classes.",
		Example: "  havenproxy policy propose deploy/operator.star --config deploy/example.json --why 'lean earlier' --planners 127.0.0.1:7401",
		Args: func(c *cobra.Command, args []string) error {
			if err := cobra.ExactArgs(1)(c, args); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			if why == "" {
				return fmt.Errorf("%w: --why is missing: the history records it", errUsage)
			}
			if config == "" {
				return fmt.Errorf("%w: set EDGE_CONFIG or give --config: a policy holds the deployment's classes", errUsage)
			}
			cl, err := f.client()
			if err != nil {
				return err
			}
			p, err := run.LoadPolicy(config, args[0])
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
	c.Flags().StringVar(&why, "why", "", "the reason for the change, kept in the history")
	c.Flags().StringVar(&config, "config", os.Getenv("EDGE_CONFIG"), "the configuration whose classes the policy holds (default: EDGE_CONFIG)")
	c.Flags().DurationVar(&f.wait, "wait", time.Minute, "how long to wait for the outcome; after that exit 4")
	return c
}
