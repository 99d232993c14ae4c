package standin

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"havenproxy/internal/lab/fleet"
)

// While a database's process is down, its address refuses connections and is nobody else's; it comes back there.
func TestTheAddressOfADatabaseThatIsDownIsKept(t *testing.T) {
	w := world(t)
	turn := func(to fleet.Liveness) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.databases[0].turn(to)
	}
	turn(fleet.Down)
	if other, err := net.Listen("tcp", w.Address(0)); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("another program may listen there: %v", err)
		if err == nil {
			other.Close()
		}
	}
	if _, err := net.Dial("tcp", w.Address(0)); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection to a process that is down: %v", err)
	}
	turn(fleet.Up)
	conn, err := net.Dial("tcp", w.Address(0))
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
}
