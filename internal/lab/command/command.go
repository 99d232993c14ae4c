// Package command is havenlab's command line.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/hostile"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/standin"
)

// ErrUsage marks errors that are the caller's: a bad flag or a bad file.
var ErrUsage = errors.New("usage")

// Main runs the command line and gives the exit code: 0, 1 for a failure, 2 for bad input.
func Main(args []string, out, errs io.Writer) int {
	hostile.RunIfOrdered()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:   "havenlab",
		Short: "Stand-in databases, load and experiments for havenproxy",
		Long: "havenlab starts a fleet of stand-in databases on loopback, with the service that lists them and a proxy in\n" +
			"front, and plays scenarios against them. Nothing of it is needed to run the proxy itself.",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", ErrUsage, err) })
	root.AddCommand(upCommand(), runCommand(), switchesCommand(), modelCommand(), compareCommand(), sweepCommand(),
		sensitivityCommand(), worstCommand(), fitCommand(), growthCommand(), scaleCommand(), largeFleetCommand(), hostileCommand(), soakCommand(), tierCommand(), linksCommand(), tierCostCommand(), checksCommand(), statesCommand(), reportCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(errs, "havenlab:", strings.TrimPrefix(err.Error(), ErrUsage.Error()+": "))
		if errors.Is(err, ErrUsage) {
			return 2
		}
		return 1
	}
	return 0
}

func upCommand() *cobra.Command {
	var groups, members int
	var seed uint64
	var o launch.Options
	var verbose, mysql bool
	c := &cobra.Command{
		Use:   "up",
		Short: "Start databases, discovery and a proxy in front, until Ctrl-C",
		Example: "  havenlab up\n" +
			"  havenlab up --groups 1 --members 5 --listen 127.0.0.1:6432 --operator deploy/operator.star",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg := fleet.Config{Seed: seed, Groups: groups, Members: members, Zones: launch.Zones(), Classes: launch.Classes()}
			say := func(at time.Duration, text string) {
				fmt.Fprintf(c.OutOrStdout(), "%8.3f  %s\n", at.Seconds(), text)
			}
			w, err := standin.New(cfg, say, standin.MySQL(mysql))
			if err != nil {
				return fmt.Errorf("%w: %w", ErrUsage, err)
			}
			defer w.Close()
			o.Seed, o.MySQL = seed, mysql
			if verbose {
				o.Log = c.ErrOrStderr()
			}
			p, err := launch.Start(c.Context(), w, cfg, o)
			if err != nil {
				return err
			}
			greet(c.OutOrStdout(), w, cfg, p)
			select {
			case <-p.Ended():
				return errors.New("the proxy has ended")
			case <-c.Context().Done():
			}
			fmt.Fprintln(c.OutOrStdout(), "stopping")
			return p.Stop(6 * time.Second)
		},
	}
	f := c.Flags()
	f.IntVar(&groups, "groups", 3, "groups of databases that hold the same data")
	f.IntVar(&members, "members", 3, "databases a group: one primary, the rest replicas")
	f.Uint64Var(&seed, "seed", 1, "of all random numbers")
	proxyFlags(c, &o)
	f.BoolVar(&mysql, "mysql", false, "the databases and the proxy speak MySQL")
	f.BoolVarP(&verbose, "verbose", "v", false, "show the proxy's log")
	return c
}

func proxyFlags(c *cobra.Command, o *launch.Options) {
	f := c.Flags()
	f.StringVar(&o.Binary, "proxy", "", "the program to start (default: havenproxy beside havenlab)")
	f.StringVar(&o.Listen, "listen", "", "the proxy's address (default: a free port on 127.0.0.1)")
	f.StringVar(&o.Operator, "operator", "", "the operator's file that the proxy gets")
	f.IntVar(&o.Pin, "pin", 0, "the one CPU that the proxy may use, counted from 1 (default: any)")
	f.IntVar(&o.Cores, "cores", 0, "GOMAXPROCS of the proxy (default: the machine's)")
	f.IntVar(&o.Together, "together", 1, "where several runs are played: so many side by side, each with a proxy of its own")
	f.IntVar(&o.Sockets, "proxy-sockets", 1024, "descriptors that the proxy may hold")
}

func greet(out io.Writer, w *standin.World, cfg fleet.Config, p *launch.Proxy) {
	fmt.Fprintf(out, "discovery  http://%s/v1/endpoints\n", w.Discovery())
	for g := range cfg.Groups {
		fmt.Fprintf(out, "group %-3d ", g)
		for m := range cfg.Members {
			fmt.Fprintf(out, " %s", w.Address(g*cfg.Members+m))
		}
		fmt.Fprintln(out)
	}
	host, port := splitAddress(p.Address)
	if p.MySQL != "" {
		host, port = splitAddress(p.MySQL)
		fmt.Fprintf(out, "proxy      %s (MySQL)\n\nAsk it with:\n\n"+
			"  mysql --comments -h %s -P %s -u client core \\\n"+
			"    -e \"SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655' /* c=katalog,cluster=0 */\"\n\nCtrl-C stops all.\n",
			p.MySQL, host, port)
		return
	}
	fmt.Fprintf(out, "proxy      %s\n\nAsk it with (the id must be new for each request under way):\n\n"+
		"  psql \"host=%s port=%s user=client dbname=core sslmode=disable\" \\\n"+
		"    -c \"SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655' /* id=a1,c=katalog,d=800,cluster=0 */\"\n\nCtrl-C stops all.\n",
		p.Address, host, port)
}
