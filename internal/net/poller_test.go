package net

import (
	"fmt"
	"io"
	stdnet "net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/state"
)

// pollerChild is set in the process that counts its own pollers.
const pollerChild = "HAVEN_TEST_COUNT_POLLERS"

// countPollers returns the number of epoll instances of this process.
func countPollers(t *testing.T) (n int) {
	t.Helper()
	descriptors, err := filepath.Glob("/proc/self/fd/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range descriptors {
		if target, err := os.Readlink(path); err == nil && target == "anon_inode:[eventpoll]" {
			n++
		}
	}
	return n
}

// One netpoll poller serves the few connections that the loop doesn't read itself; by default netpoll starts more on
// twenty or more processors.
func TestOnePollerForAnyNumberOfProcessors(t *testing.T) {
	if os.Getenv(pollerChild) != "" {
		NewLoop(state.NewClock(), new(state.Deadlines))
		conn, err := netpoll.DialConnection("tcp", listen(t, func(conn stdnet.Conn) { io.Copy(io.Discard, conn) }), testTimeout) // netpoll starts its pollers now
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Printf("pollers=%d\n", countPollers(t))
		return
	}
	count := func(processors int) string {
		c := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		c.Env = append(os.Environ(), pollerChild+"=1", fmt.Sprintf("GOMAXPROCS=%d", processors))
		out, err := c.Output()
		if err != nil {
			t.Fatal(err)
		}
		line, _, _ := strings.Cut(string(out), "\n")
		return line
	}
	if few, many := count(1), count(60); few != many {
		t.Errorf("%s with one processor, %s with sixty", few, many)
	}
}
