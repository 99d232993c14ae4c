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
	return asks("expel NAME", "Take a proxy out of the tier that has ended for good: with leases behind its own, else at once, so be sure",
		func(c *cobra.Command, _ *policyFlags, cl *client.Client, args []string) error {
			a, err := cl.Do(c.Context(), tier.Ask{Do: tier.DoExpel, Name: args[0]})
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
			return errExit{exitNotKnown, "not known yet whether it has: havenproxy policy status tells who votes"}
		},
	}
	f.add(c)
	c.Flags().DurationVar(&wait, "wait", 20*time.Second, "how long to wait")
	return c
}
