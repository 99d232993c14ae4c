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

func connectConsole(t *testing.T, address string) *pgx.Conn {
	t.Helper()
	cfg, err := pgx.ParseConfig("postgres://admin@" + address + "/havenproxy?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	cfg.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// pgx, an independent client, reads every table of the console.
func TestPgxReadsConsoleTables(t *testing.T) {
	s, _, loop := startProxy(t, databaseStub(t, echoQuery), 8, 2)
	loop.Post(func() { s.EnableConsole(true) })
	conn := connectConsole(t, s.Address())
	for _, name := range console.TableNames() {
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
		t.Errorf("an unknown command: %v", err)
	}
	if _, err := conn.Exec(context.Background(), "show databases;"); err != nil {
		t.Errorf("after an error: %v", err)
	}
}

// While the console is disabled, a client that names its database is served like any other.
func TestDisabledConsoleNameIsAnOrdinaryDatabase(t *testing.T) {
	s, _, _ := startProxy(t, databaseStub(t, echoQuery), 8, 2)
	conn, err := stdnet.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "admin", console.DatabaseName), "SHOW LEVELS"))
	p := &testConn{conn: conn}
	for {
		m, err := p.message()
		if err != nil {
			t.Fatal(err)
		}
		if m.Type == 'E' {
			return // the query has no routing comment
		}
		if m.Type == 'T' {
			t.Fatal("the console answered")
		}
	}
}

// A client that does not read its answers gets no further tables, holds little memory and does not block others.
func TestConsoleClientThatDoesNotReadIsClosed(t *testing.T) {
	s, _, loop := startProxy(t, databaseStub(t, echoQuery), 8, 2)
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
	// Other clients are served meanwhile.
	other := connectConsole(t, s.Address())
	for range 20 {
		if _, err := other.Exec(context.Background(), "SHOW HELP"); err != nil {
			t.Fatal(err)
		}
	}
	// After its timeout it is closed.
	for end := time.Now().Add(testTimeout); ; {
		advance(s, 500*time.Millisecond)
		time.Sleep(5 * time.Millisecond)
		n := make(chan int)
		loop.Post(func() { n <- len(s.clients) })
		if <-n == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the client was not closed")
		}
	}
	io.Copy(io.Discard, conn)
}
