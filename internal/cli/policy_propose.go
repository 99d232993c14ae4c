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
	c.Flags().StringVar(&why, "why", "", "what for; the history keeps it")
	c.Flags().StringVar(&config, "config", os.Getenv("EDGE_CONFIG"), "the configuration whose classes the policy holds (default: EDGE_CONFIG)")
	c.Flags().DurationVar(&f.wait, "wait", time.Minute, "how long to wait for the end; behind it exit 4")
	return c
}
