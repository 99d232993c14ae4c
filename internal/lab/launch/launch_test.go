package launch

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/standin"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "havenlaunch")
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

func newWorld(t *testing.T) (*standin.World, fleet.Config) {
	t.Helper()
	cfg := fleet.Config{Seed: 1, Groups: 1, Members: 1, Zones: Zones(), Classes: Classes()}
	w, err := standin.New(cfg, nil, standin.MySQL(true))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w, cfg
}

// Another process listens on the configured address: the program can't start, and a connection to that process must not pass for one to the program.
func TestStartFailsWhereAnotherProcessHoldsTheAddress(t *testing.T) {
	w, cfg := newWorld(t)
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	p, err := Start(t.Context(), w, cfg, Options{Binary: binary, Listen: other.Addr().String()})
	if err == nil {
		t.Fatalf("launched; the program ended with: %v", p.Stop(time.Minute))
	}
	if !strings.Contains(err.Error(), "address already in use") {
		t.Errorf("the error doesn't tell the cause: %v", err)
	}
}

// mostEarly bounds how long the MySQL listener is held back. It only gives a faulty Start the time to return too early; a correct one passes
// however long it is.
const mostEarly = 500 * time.Millisecond

// The program opens its MySQL listener behind the one for PostgreSQL. A named pipe as password file holds it back between the two: Start must
// not return before both accept connections.
func TestStartWaitsForTheMySQLListener(t *testing.T) {
	w, cfg := newWorld(t)
	dir := t.TempDir()
	password, operator := filepath.Join(dir, "password"), filepath.Join(dir, "operator.star")
	if err := syscall.Mkfifo(password, 0o600); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("mysql(listen = \"127.0.0.1:0\", server_password_file = %q)\n", password)
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, returned := context.WithCancel(t.Context())
	var released atomic.Bool
	go func() {
		file, err := os.OpenFile(password, os.O_WRONLY, 0) // blocks until the program reads
		if err != nil {
			return
		}
		defer file.Close()
		select {
		case <-ctx.Done():
		case <-time.After(mostEarly):
		}
		released.Store(true)
		file.WriteString("secret\n")
	}()
	p, err := Start(t.Context(), w, cfg, Options{Binary: binary, Operator: operator})
	early := !released.Load()
	returned()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Stop(time.Minute)
	if early {
		t.Error("Start returned while the MySQL listener was held back")
	}
	for _, address := range []string{p.Address, p.MySQL} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Errorf("%q: %v", address, err)
			continue
		}
		conn.Close()
	}
}
