package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/goleak"

	"havenproxy/internal/lab/fleet"
	"havenproxy/logic"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func world(t *testing.T) *World {
	t.Helper()
	w, err := New(fleet.Config{Seed: 1, Groups: 1, Members: 2, Classes: []fleet.Class{
		{Class: logic.Class{Name: "look", Read: logic.Any}, Work: fleet.Span{From: time.Millisecond, To: time.Millisecond}},
		{Class: logic.Class{Name: "write", Read: logic.Write}, Work: fleet.Span{From: time.Millisecond, To: time.Millisecond}},
	}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

func dial(t *testing.T, address string) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	cfg, err := pgx.ParseConfig("postgres://client@" + address + "/core?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	cfg.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func statement(id, class string) string {
	return fmt.Sprintf("SELECT val FROM state WHERE uid = 'x' /* id=%s,c=%s,d=20000,k=key,cluster=0 */", id, class)
}

// pgx, which nobody here wrote, reads what the stand-in says.
func TestPgxReadsTheStandIn(t *testing.T) {
	w := world(t)
	conn, ctx := dial(t, w.Address(0)), context.Background()
	var val string
	if err := conn.QueryRow(ctx, statement("a1", "write")).Scan(&val); err != nil || !strings.HasPrefix(val, "a1@") {
		t.Errorf("%q, %v", val, err)
	}
	if role := conn.PgConn().ParameterStatus("role"); role != "primary" {
		t.Errorf("role %q", role)
	}
	if conn.PgConn().ParameterStatus("applied_ms") == "" {
		t.Error("no position")
	}
	if err := conn.QueryRow(ctx, "SHOW load").Scan(&val); err != nil {
		t.Error(err)
	}
	err := dial(t, w.Address(1)).QueryRow(ctx, statement("a2", "write")).Scan(&val)
	if e, ok := err.(*pgconn.PgError); !ok || e.Code != "25006" {
		t.Errorf("a write at a replica: %v", err)
	}
	if err := conn.QueryRow(ctx, "SELECT 2").Scan(&val); err == nil {
		t.Error("a statement without a comment was answered")
	}
}

func TestACrashResetsAndAStartListensAgain(t *testing.T) {
	w := world(t)
	conn := dial(t, w.Address(1))
	if err := w.Inject(fleet.Fault{Kind: fleet.Crash, Member: 1, For: 200 * time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	var val string
	if err := conn.QueryRow(context.Background(), statement("b", "look")).Scan(&val); err == nil {
		t.Error("a dead database answered")
	}
	for up := false; !up; time.Sleep(10 * time.Millisecond) {
		w.With(func(_ time.Duration, f *fleet.Fleet) { up = f.Liveness(1) == fleet.Up })
	}
	if err := dial(t, w.Address(1)).QueryRow(context.Background(), statement("c", "look")).Scan(&val); err != nil {
		t.Error(err)
	}
}

func TestTheListIsWatched(t *testing.T) {
	w := world(t)
	get := func(query string) (l listing, status int) {
		r, err := http.Get("http://" + w.Discovery() + "/v1/endpoints" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		json.NewDecoder(r.Body).Decode(&l)
		return l, r.StatusCode
	}
	l, _ := get("")
	if len(l.Instances) != 2 || !l.Reset {
		t.Fatalf("%+v", l)
	}
	if same, _ := get(fmt.Sprintf("?after=%d&wait_ms=1", l.Generation)); same.Reset || len(same.Instances) != 0 {
		t.Errorf("no news, and yet %+v", same)
	}
	w.Inject(fleet.Fault{Kind: fleet.Drain, Member: 1, For: time.Minute})
	news, _ := get(fmt.Sprintf("?after=%d&wait_ms=20000", l.Generation))
	if len(news.Instances) != 2 || news.Instances[1].Lifecycle != "terminating" {
		t.Errorf("%+v", news)
	}
	w.Inject(fleet.Fault{Kind: fleet.NoList, For: time.Minute})
	if _, status := get(""); status != 503 {
		t.Errorf("status %d", status)
	}
	http.DefaultClient.CloseIdleConnections()
}
