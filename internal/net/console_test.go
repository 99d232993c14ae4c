package net

import (
	"context"
	"io"
	stdnet "net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"havenproxy/internal/console"
	"havenproxy/internal/wire/pg"
)

func admin(t *testing.T, address string) *pgx.Conn {
	t.Helper()
	cfg, err := pgx.ParseConfig("postgres://admin@" + address + "/havenproxy?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	cfg.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// pgx, which nobody here wrote, reads every table of the console.
func TestPgxReadsTheConsole(t *testing.T) {
	s, _, loop := proxy(t, member(t, echo), 8, 2)
	loop.Post(func() { s.EnableConsole(true) })
	conn := admin(t, s.Address())
	for _, name := range console.Commands() {
		rows, err := conn.Query(context.Background(), "SHOW "+name)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		n, columns := 0, len(rows.FieldDescriptions())
		for rows.Next() {
			if _, err := rows.Values(); err != nil {
				t.Errorf("%s: %v", name, err)
			}
			n++
		}
		if rows.Err() != nil || columns < 2 || n == 0 && name != "LEVELS" && name != "HISTORY" {
			t.Errorf("%s: %d columns, %d rows, %v", name, columns, n, rows.Err())
		}
	}
	if _, err := conn.Exec(context.Background(), "SHOW TABLES"); err == nil || !strings.Contains(err.Error(), "SHOW LEVELS") {
		t.Errorf("an unknown word: %v", err)
	}
	if _, err := conn.Exec(context.Background(), "show databases;"); err != nil {
		t.Errorf("behind an error: %v", err)
	}
}

// Off, a client that names the console's database is served as any other.
func TestWithoutTheConsoleItsNameIsNothingSpecial(t *testing.T) {
	s, _, _ := proxy(t, member(t, echo), 8, 2)
	conn, err := stdnet.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "admin", console.DatabaseName), "SHOW LEVELS"))
	p := &peer{conn: conn}
	for {
		m, err := p.message()
		if err != nil {
			t.Fatal(err)
		}
		if m.Type == 'E' {
			return // not a statement with a routing comment
		}
		if m.Type == 'T' {
			t.Fatal("the console answered")
		}
	}
}

// A reader who doesn't read gets no further tables, holds little, and holds up nobody.
func TestAConsoleThatIsNotRead(t *testing.T) {
	s, _, loop := proxy(t, member(t, echo), 8, 2)
	loop.Post(func() { s.EnableConsole(true) })
	conn, err := stdnet.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*stdnet.TCPConn).SetReadBuffer(2 << 10)
	out := pg.AppendStartup(nil, "admin", console.DatabaseName)
	go func() {
		for range 4000 {
			out = pg.AppendQuery(out, "SHOW COUNTERS")
		}
		conn.Write(out)
	}()
	// The traffic of others goes on meanwhile.
	other := admin(t, s.Address())
	for range 20 {
		if _, err := other.Exec(context.Background(), "SHOW HELP"); err != nil {
			t.Fatal(err)
		}
	}
	// Once its time is over it is closed.
	for end := time.Now().Add(patience); ; {
		skip(s, 500*time.Millisecond)
		time.Sleep(5 * time.Millisecond)
		n := make(chan int)
		loop.Post(func() { n <- len(s.clients) })
		if <-n == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("it is still there")
		}
	}
	io.Copy(io.Discard, conn)
}
