package largefleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "largefleet")
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

// logLines counts the lines of a log that hold a text.
type logLines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logLines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// Guards against incident 38: before 3,200 databases the real program opened connections to, and checked, as many as it could, took those for
// silent for which it had no room, and refused nine requests in ten. The bound on connections is the operators', against 200 databases.
func TestARealProxyBeforeThousandsOfDatabases(t *testing.T) {
	play := func(databases int) (*Result, *logLines) {
		log := &logLines{}
		r, err := Run(t.Context(), Config{Binary: binary, Databases: databases, Proxies: 400, Share: 1, Rate: 17, For: 4 * time.Second, Reloads: 1,
			Seed: 1, Log: log})
		if err != nil {
			t.Fatal(err)
		}
		return r, log
	}
	usual, _ := play(200)
	large, log := play(3200)
	if most := 5*usual.Opened/2 + 40; large.Opened > most {
		t.Errorf("%d connections to databases, at most %d may be needed", large.Opened, most)
	}
	if n := log.count("database silent"); n > 0 {
		t.Errorf("%d databases are taken for silent, and all are well", n)
	}
	if log.count("msg=reloaded") != 1 {
		t.Error("the configuration was not reloaded")
	}
	if want := usual.Outcomes[Served] * 85 / 100; large.Outcomes[Served] < want {
		t.Errorf("%d requests were served, want %d: %v, before 200 databases %v", large.Outcomes[Served], want, large.Outcomes, usual.Outcomes)
	}
	if len(large.Lost) > 0 {
		t.Errorf("%d requests had no answer in time: %+v", len(large.Lost), large.Lost)
	}
}
