package cli

import (
	"fmt"
	"io"
	"net"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/console"
	"havenproxy/internal/wire/pg"
)

func statusCommand() *cobra.Command {
	var watch bool
	var every time.Duration
	var show []string
	c := &cobra.Command{
		Use:   "status ADDRESS",
		Short: "Show what a proxy's console tells: levels, databases, connections",
		Long: "status asks the console of the proxy at ADDRESS, which the operator's file must allow (console(enabled = True)),\n" +
			"and for loopback addresses only.",
		Example: "  havenproxy status 127.0.0.1:6432\n" +
			"  havenproxy status --watch --every 2s 127.0.0.1:6432\n" +
			"  havenproxy status --show counters,history 127.0.0.1:6432",
		Args: func(c *cobra.Command, args []string) error {
			if err := cobra.ExactArgs(1)(c, args); err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			if every < 100*time.Millisecond {
				return fmt.Errorf("%w: --every is %v, 100ms at least was expected", errUsage, every)
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			for {
				text, err := status(args[0], show)
				if err != nil {
					return err
				}
				if watch {
					fmt.Fprint(c.OutOrStdout(), "\033[H\033[2J")
				}
				fmt.Fprint(c.OutOrStdout(), text)
				if !watch {
					return nil
				}
				select {
				case <-ctx.Done():
					return nil
				case <-time.After(every):
				}
			}
		},
	}
	c.Flags().BoolVarP(&watch, "watch", "w", false, "show it again and again until Ctrl-C")
	c.Flags().DurationVar(&every, "every", time.Second, "with --watch: how often")
	c.Flags().StringSliceVar(&show, "show", []string{"levels", "classes", "databases", "pools"}, "what is shown: "+strings.ToLower(strings.Join(console.Commands(), ", ")))
	return c
}

// statusPatience is how long a console may take to answer.
const statusPatience = 5 * time.Second

// status asks for all tables and lays them out.
func status(address string, show []string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, statusPatience)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(statusPatience))
	a := &asker{conn: conn}
	if _, err := a.ask(pg.AppendStartup(nil, "admin", console.DatabaseName)); err != nil {
		return "", fmt.Errorf("no console at %s: %w", address, err)
	}
	var out strings.Builder
	for i, name := range show {
		rows, err := a.ask(pg.AppendQuery(nil, "SHOW "+name))
		switch {
		case err != nil:
			return "", fmt.Errorf("no console at %s: the operator's file of the proxy must allow it with console(enabled = True): %w", address, err)
		case rows.Err != "":
			return "", fmt.Errorf("%w: %s", errUsage, rows.Err)
		}
		if i > 0 {
			fmt.Fprintln(&out)
		}
		fmt.Fprintln(&out, strings.ToUpper(name))
		draw(&out, rows)
	}
	return out.String(), nil
}

func draw(out io.Writer, r *pg.Rows) {
	if len(r.Rows) == 0 {
		fmt.Fprintln(out, "  (nothing)")
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{r.Columns}, r.Rows...) {
		fmt.Fprintln(w, "  "+strings.Join(row, "\t"))
	}
	w.Flush()
}

type asker struct {
	conn net.Conn
	buf  []byte
}

// ask writes a message and reads its answer up to ReadyForQuery.
func (a *asker) ask(message []byte) (*pg.Rows, error) {
	if _, err := a.conn.Write(message); err != nil {
		return nil, err
	}
	r := &pg.Rows{}
	for !r.Ended {
		m, n, err := pg.Next(a.buf)
		if err != nil {
			return nil, err
		}
		if n > 0 {
			if err := r.Add(m); err != nil {
				return nil, err
			}
			a.buf = append(a.buf[:0], a.buf[n:]...)
			continue
		}
		chunk := make([]byte, 8192)
		n, err = a.conn.Read(chunk)
		if err != nil {
			if r.Err != "" {
				return nil, fmt.Errorf("%s: %s", r.Code, r.Err)
			}
			return nil, err
		}
		a.buf = append(a.buf, chunk[:n]...)
	}
	return r, nil
}
