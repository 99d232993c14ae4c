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
		Short: "Show tables of a proxy's console: levels, databases, connections",
		Long: "status queries the console of the proxy at ADDRESS. The operator's file must enable it (console(enabled = True)),\n" +
			"and it accepts clients on loopback addresses only.",
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
	c.Flags().BoolVarP(&watch, "watch", "w", false, "repeat until Ctrl-C")
	c.Flags().DurationVar(&every, "every", time.Second, "with --watch: time between repetitions")
	c.Flags().StringSliceVar(&show, "show", []string{"levels", "classes", "databases", "pools"}, "tables to show: "+strings.ToLower(strings.Join(console.TableNames(), ", ")))
	return c
}

// statusTimeout limits the time that a console may take to answer all queries.
const statusTimeout = 5 * time.Second

// status queries all tables and formats them.
func status(address string, show []string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, statusTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(statusTimeout))
	session := &consoleConn{conn: conn}
	if _, err := session.query(pg.AppendStartup(nil, "admin", console.DatabaseName)); err != nil {
		return "", fmt.Errorf("no console at %s: %w", address, err)
	}
	var out strings.Builder
	for i, name := range show {
		rows, err := session.query(pg.AppendQuery(nil, "SHOW "+name))
		switch {
		case err != nil:
			return "", fmt.Errorf("no console at %s: the proxy's operator's file must enable it with console(enabled = True): %w", address, err)
		case rows.Err != "":
			return "", fmt.Errorf("%w: %s", errUsage, rows.Err)
		}
		if i > 0 {
			fmt.Fprintln(&out)
		}
		fmt.Fprintln(&out, strings.ToUpper(name))
		writeTable(&out, rows)
	}
	return out.String(), nil
}

// writeTable formats a result set.
func writeTable(out io.Writer, r *pg.Rows) {
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

// consoleConn is a connection to a console.
type consoleConn struct {
	conn net.Conn
	buf  []byte
}

// query sends a message and reads the answer up to ReadyForQuery.
func (c *consoleConn) query(message []byte) (*pg.Rows, error) {
	if _, err := c.conn.Write(message); err != nil {
		return nil, err
	}
	r := &pg.Rows{}
	for !r.Ended {
		m, n, err := pg.Next(c.buf)
		if err != nil {
			return nil, err
		}
		if n > 0 {
			if err := r.Add(m); err != nil {
				return nil, err
			}
			c.buf = append(c.buf[:0], c.buf[n:]...)
			continue
		}
		chunk := make([]byte, 8192)
		n, err = c.conn.Read(chunk)
		if err != nil {
			if r.Err != "" {
				return nil, fmt.Errorf("%s: %s", r.Code, r.Err)
			}
			return nil, err
		}
		c.buf = append(c.buf, chunk[:n]...)
	}
	return r, nil
}
