package command

import (
	"bytes"
	"context"
	"database/sql"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-sql-driver/mysql"
	"github.com/jackc/pgx/v5"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/play"
	"havenproxy/internal/lab/standin"
)

// The real program, built once.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "havenlab")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "havenproxy")
	if out, err := exec.Command("go", "build", "-o", binary, "havenproxy/cmd/havenproxy").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out), err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// output is written by one goroutine and read by another.
type output struct {
	mu sync.Mutex
	bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.Buffer.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.Buffer.String()
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.star")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestBadInputIsExit2(t *testing.T) {
	bad := write(t, "fleet(gruops = 2)\ntraffic(demand = 'x')\n")
	for args, want := range map[string]string{
		"run " + bad:        "x.star:2:9: demand is",
		"run":               "arg",
		"run no-such.star":  "no-such.star",
		"run x --no-such":   "no-such",
		"up --groups 0":     "at least one",
		"up --groups three": "three",

		"switches --kind nonsense":        "one of",
		"switches --groups -1":            "--groups is -1",
		"switches --retries -1":           "below zero",
		"switches --sockets 2m --compare": "virtual clock only",
		"switches --sockets 5s":           "1m0s",
	} {
		var out, errs output
		if code := Main(strings.Fields(args), &out, &errs); code != 2 || !strings.Contains(errs.String(), want) {
			t.Errorf("%s: exit %d: %s", args, code, errs.String())
		}
	}
}

// A small run says how it went by its exit code too: troubles that elect nobody are no success.
func TestSwitchesCommand(t *testing.T) {
	for args, code := range map[string]int{"switches --count 20 --hold": 0, "switches --count 20 --kind": 1} {
		a := strings.Fields(args)
		if code == 1 {
			a = append(a, "short hang")
		}
		var out, errs output
		if got := Main(a, &out, &errs); got != code || !strings.Contains(out.String(), "violations: 0") {
			t.Errorf("%s: exit %d: %s%s", args, got, out.String(), errs.String())
		}
	}
}

// Little traffic, so that nothing here depends on how quick the machine is: what is checked are promises, not figures.
func TestRunPlaysTheRealProgram(t *testing.T) {
	file := write(t, "fleet(groups = 2, members = 2)\ntraffic(rps = 40, length = '2s')\nfault('drain', at = '500ms', group = 0)\n")
	own := write(t, "levels()\npin('core', group = 1)\n")
	result := filepath.Join(t.TempDir(), "out.json")
	var out, errs output
	if code := Main([]string{"run", file, "--proxy", binary, "--operator", own, "--json", result, "--seed", "5"}, &out, &errs); code != 0 {
		t.Fatalf("exit %d: %s%s", code, out.String(), errs.String())
	}
	text, err := os.ReadFile(result)
	if err != nil {
		t.Fatal(err)
	}
	var runs []play.Run
	if err := json.Unmarshal(text, &runs); err != nil || len(runs) != 1 {
		t.Fatal(err)
	}
	r := runs[0]
	offered := 0
	for _, c := range r.Load.Classes {
		if offered += c.Offered; c.Outcomes["silent"] > 0 {
			t.Errorf("%s: %v", c.Name, c.Outcomes)
		}
	}
	if offered < 40 || len(r.Load.Faults) > 0 || len(r.Events) == 0 || r.Count("level changed") == 0 || r.Memory == 0 {
		t.Errorf("%d offered, faults %v, events %v", offered, r.Load.Faults, r.Events)
	}
	if !strings.Contains(out.String(), "kayit-yaz") {
		t.Error(out.String())
	}
}

// up starts all of it and gives the proxy's port, found in what it prints; stop ends it as Ctrl-C does.
func up(t *testing.T, pattern string, args ...string) (port string, stop func()) {
	t.Helper()
	var out, errs output
	ended := make(chan int, 1)
	go func() { ended <- Main(append([]string{"up", "--proxy", binary}, args...), &out, &errs) }()
	for end := time.Now().Add(20 * time.Second); port == ""; time.Sleep(20 * time.Millisecond) {
		if m := regexp.MustCompile(pattern).FindStringSubmatch(out.String()); m != nil && strings.Contains(out.String(), "Ctrl-C") {
			port = m[1]
		}
		if time.Now().After(end) {
			t.Fatal(out.String(), errs.String())
		}
	}
	return port, func() {
		syscall.Kill(os.Getpid(), syscall.SIGINT)
		select {
		case code := <-ended:
			if code != 0 {
				t.Errorf("exit %d: %s", code, errs.String())
			}
		case <-time.After(20 * time.Second):
			t.Fatal("it does not stop")
		}
	}
}

// untilTaken repeats what a client asks for while it is told to come again, as a client does: on a machine that stands still for a moment
// the databases' checks come late, and the program refuses. Where it goes on refusing, the last refusal is the outcome.
func untilTaken(ask func() error) error {
	const comeAgain = 1040
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		err := ask()
		var refused *mysql.MySQLError
		if !errors.As(err, &refused) || refused.Number != comeAgain || !strings.Contains(refused.Message, "come again") || time.Now().After(end) {
			return err
		}
	}
}

// MySQL end to end: go-sql-driver, which nobody here wrote, against the real program before modelled databases, in text,
// prepared and with its values put into the text.
func TestUpServesMySQL(t *testing.T) {
	port, stop := up(t, `-P (\d+)`, "--mysql", "--groups", "2")
	for _, options := range []string{"", "interpolateParams=true"} {
		db, err := sql.Open("mysql", "client@tcp(127.0.0.1:"+port+")/core?"+options)
		if err != nil {
			t.Fatal(err)
		}
		var got string
		text := func() error {
			return db.QueryRow("SELECT val FROM state WHERE uid = 'x' /* c=katalog,cluster=0,d=20000 */").Scan(&got)
		}
		if err := untilTaken(text); err != nil || !strings.HasPrefix(got, "@") {
			t.Errorf("text: %q, %v", got, err)
		}
		read, err := db.Prepare("SELECT val FROM state WHERE uid = ? /* c=stok-bakis,cluster=1,d=20000,session=?1 */")
		if err != nil {
			t.Fatal(err)
		}
		for i := range 20 { // more than one database answers, each with the statement prepared first
			if err := untilTaken(func() error { return read.QueryRow(fmt.Sprint("key", i)).Scan(&got) }); err != nil {
				t.Errorf("prepared: %v", err)
			}
		}
		if options == "" {
			write := func() error {
				return db.QueryRow("INSERT INTO state (uid, val) VALUES (?, ?) /* c=kayit-yaz,cluster=1,k=?2,id=?1,d=20000 */", "w1", "k1").Scan(&got)
			}
			if err := untilTaken(write); err != nil || !strings.HasPrefix(got, "w1@") {
				t.Errorf("write: %q, %v", got, err)
			}
		}
		var refused *mysql.MySQLError
		if _, err := db.Exec("SELECT 1 /* c=katalog,cluster=77,d=20000 */"); !errors.As(err, &refused) || refused.Number != 1040 {
			t.Errorf("an unknown group: %v", err)
		}
		if _, err := db.Exec("UPDATE state"); !errors.As(err, &refused) || !strings.Contains(refused.Message, "cluster=") {
			t.Errorf("without a comment: %v", err)
		}
		if _, err := db.Prepare("SELECT 1 /* c=nothing,cluster=0 */"); err == nil {
			t.Error("an unknown class is prepared")
		}
		db.Close()
	}
	stop()
}

// What `up` prints works, its console too, and Ctrl-C stops all of it in good order.
func TestUpServesAndStops(t *testing.T) {
	own := write(t, "console()\nlevels()\n")
	port, stop := up(t, `port=(\d+)`, "--groups", "1", "--operator", own)
	ask := func(database, text string) (string, error) {
		cfg, err := pgx.ParseConfig("postgres://client@127.0.0.1:" + port + "/" + database + "?sslmode=disable")
		if err != nil {
			return "", err
		}
		cfg.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
		conn, err := pgx.ConnectConfig(context.Background(), cfg)
		if err != nil {
			return "", err
		}
		defer conn.Close(context.Background())
		var s string
		rows, err := conn.Query(context.Background(), text)
		if err != nil {
			return "", err
		}
		defer rows.Close()
		if rows.Next() {
			v, err := rows.Values()
			if err != nil {
				return "", err
			}
			s = fmt.Sprint(v[0])
		}
		return s, rows.Err()
	}
	if s, err := ask("core", "SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655' /* id=a1,c=katalog,d=20000,cluster=0 */"); err != nil || !strings.HasPrefix(s, "a1@") {
		t.Errorf("%q, %v", s, err)
	}
	if s, err := ask("havenproxy", "SHOW DATABASES"); err != nil || !strings.HasPrefix(s, "s-") {
		t.Errorf("%q, %v", s, err)
	}
	if s, err := ask("havenproxy", "SHOW SWITCHES"); err != nil || s != "0" { // the first group's row
		t.Errorf("%q, %v", s, err)
	}
	stop()
}

// A write is held while its primary hands over, and the proxy gets SIGTERM: it has its answer, and the proxy ends in good
// order behind it.
func TestAHeldWriteOutlivesSIGTERM(t *testing.T) {
	cfg := fleet.Config{Seed: 3, Groups: 1, Members: 3, Zones: launch.Zones(), Classes: launch.Classes()}
	w, err := standin.New(cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	var log output
	p, err := launch.Start(t.Context(), w, cfg, launch.Options{Binary: binary, Operator: write(t, "handover()\n"), Log: &log})
	if err != nil {
		t.Fatal(err)
	}
	c, err := pgx.ParseConfig("postgres://client@" + p.Address + "/core?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	c.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	conn, err := pgx.ConnectConfig(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	put := func(id string) (got string, err error) {
		err = conn.QueryRow(t.Context(), fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('7f3a9c21e0b4d655', 'x') RETURNING val /* id=%s,c=kayit-yaz,d=20000,k=k-%s,cluster=0 */", id, id)).Scan(&got)
		return got, err
	}
	if got, err := put("w1"); err != nil || !strings.HasPrefix(got, "w1@") {
		t.Fatalf("%q, %v", got, err)
	}
	w.Inject(fleet.Fault{Kind: fleet.Drain, Member: fleet.Primary, For: time.Second})
	for end := time.Now().Add(20 * time.Second); !strings.Contains(log.String(), "to=draining") && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	type answer struct {
		got string
		err error
	}
	answered := make(chan answer, 1)
	go func() {
		got, err := put("w2")
		answered <- answer{got, err}
	}()
	time.Sleep(30 * time.Millisecond) // it is on its way, and held until another is primary
	if err := p.Stop(20 * time.Second); err != nil {
		t.Errorf("%v\n%s", err, log.String())
	}
	if a := <-answered; a.err != nil || !strings.HasPrefix(a.got, "w2@") {
		t.Errorf("%q, %v\n%s", a.got, a.err, log.String())
	}
}
