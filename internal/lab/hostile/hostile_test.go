package hostile

import (
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// binaryVariable names a program to test instead of the one that is built from this tree, such as an earlier version.
const binaryVariable = "HAVENPROXY_BINARY"

var proxyBinary string

func TestMain(m *testing.M) {
	RunIfOrdered()
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		panic(err)
	}
	if proxyBinary = os.Getenv(binaryVariable); proxyBinary == "" {
		proxyBinary = filepath.Join(dir, "havenproxy")
		if out, err := exec.Command("go", "build", "-o", proxyBinary, "havenproxy/cmd/havenproxy").CombinedOutput(); err != nil {
			fmt.Fprintln(os.Stderr, string(out), err)
			os.Exit(1)
		}
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// play runs hostile clients beside well-behaved ones and checks what holds for every kind of them.
func play(t *testing.T, cfg Config) *Result {
	t.Helper()
	cfg.Binary, cfg.Seed = cmp.Or(cfg.Binary, proxyBinary), 58
	cfg = cfg.WithDefaults()
	r, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%v: %v", cfg.Kinds, r)
	switch {
	case r.OverLimit(&cfg):
		t.Errorf("the process held %d MB, its limit is %d", r.Peak>>20, cfg.MemoryMB)
	case r.EndedByIt:
		t.Error("the process ended by itself")
	case r.Lost() > 0:
		t.Errorf("%d requests of well-behaved clients were closed, %d not answered in time", r.Closed, r.Unanswered)
	case r.Served == 0:
		t.Error("no request was served")
	}
	return r
}

// TestOneFloodStaysWithinTheMemoryLimit guards against incident 58: the process passed its memory limit, and was killed, within a second of
// one client's flood on one connection.
func TestOneFloodStaysWithinTheMemoryLimit(t *testing.T) {
	for _, kind := range []Kind{"empty-queries", "empty-queries-unread", "expired-requests", "new-groups"} {
		t.Run(string(kind), func(t *testing.T) { play(t, Config{Kinds: []Kind{kind}, For: 1500 * time.Millisecond}) })
	}
}

// TestCrowdsStayWithinTheMemoryLimit guards against the same by many connections, of which each sends little, or resets.
func TestCrowdsStayWithinTheMemoryLimit(t *testing.T) {
	for _, kinds := range [][]Kind{{"crowd-expired"}, {"crowd-fields"}, {"connect-reset", "admin-reset", "mysql-reconnect"}} {
		t.Run(fmt.Sprint(kinds), func(t *testing.T) { play(t, Config{Kinds: kinds, For: 1500 * time.Millisecond}) })
	}
}

// TestAllHostileKindsAtOnceStayWithinTheMemoryLimit guards against limits that hold for each kind of client alone.
func TestAllHostileKindsAtOnceStayWithinTheMemoryLimit(t *testing.T) {
	kinds := slices.DeleteFunc(Kinds(), func(k Kind) bool { return FillsPlaces(k) })
	play(t, Config{Kinds: kinds, For: 3 * time.Second, Sockets: 1024})
}
