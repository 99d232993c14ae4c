package net

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

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

// The loop waits for a single netpoll poller before it closes a connection; by default netpoll starts more on twenty
// or more processors.
func TestOnePollerForAnyNumberOfProcessors(t *testing.T) {
	if os.Getenv(pollerChild) != "" {
		loop := NewLoop(state.NewClock(), new(state.Deadlines))
		if err := loop.waitForPoller(); err != nil { // netpoll starts its pollers at the first connection
			t.Fatal(err)
		}
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
