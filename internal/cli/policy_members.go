package cli

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/planner/client"
	"havenproxy/internal/rollout"
	"havenproxy/internal/wire/tier"
)

func expelCommand() *cobra.Command {
	return plannerCommand("expel NAME", "Remove a proxy that has ended for good from the tier: once its lease has expired, or at once in a tier without leases, so make sure that it has ended",
		func(c *cobra.Command, _ *policyFlags, cl *client.Client, args []string) error {
			a, err := cl.Do(c.Context(), tier.Ask{Do: tier.DoExpel, Name: args[0]})
			if err != nil {
				return err
			}
			if a.Error != "" {
				return errors.New(a.Error)
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is being removed from the tier\n", args[0])
			return nil
		})
}

func replaceCommand() *cobra.Command {
	var f policyFlags
	var wait time.Duration
	c := &cobra.Command{
		Use:   "replace OLD NEW=ADDRESS",
		Short: "Replace a planner whose log is lost by a new one; exit 0 once that has happened, 4 if that is not known yet",
		Long: "Start the new one first: havenproxy plan --join, with a number that no planner of this tier has had, and all others in --planners.\n" +
			"A majority of the planners must be running. The removal of the old one and the addition of the new one take effect together.",
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
						fmt.Fprintf(c.OutOrStdout(), "planner %d has replaced planner %d: from now on, name it in each tier() and --planners\n", id, old)
						return nil
					}
					if !asked {
						a, err := cl.Do(c.Context(), tier.Ask{Do: tier.DoReplace, Number: rollout.Number(old), Nonce: id, Name: address})
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
			return exitError{exitUndecided, "the outcome is not known yet: havenproxy policy status lists the voting planners"}
		},
	}
	f.add(c)
	c.Flags().DurationVar(&wait, "wait", 20*time.Second, "how long to wait")
	return c
}
