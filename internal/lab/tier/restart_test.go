package tier

import (
	"net"
	"testing"
	"time"
)

// occupy kills a process and lets another program listen on the port that it had.
func occupy(t *testing.T, p *Process) {
	t.Helper()
	former := p.listens.get()
	p.Kill()
	other, err := net.Listen("tcp", former)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { other.Close() })
}

// A planner and a proxy that are killed find their former ports taken at their restart: they are reached at the addresses that others know
// all the same. Where one is not, the test's own time runs out.
func TestAProcessComesBackWhileItsFormerPortIsTaken(t *testing.T) {
	b := small(t, 1, 1, time.Second)
	planner, proxy := b.Planners[0], b.Proxies[0]
	for _, p := range []*Process{planner, proxy} {
		occupy(t, p)
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	asking := b.Client()
	asking.Planners = []string{planner.Address}
	for {
		if a, err := asking.Status(t.Context(), 0); err == nil && a.Leader == a.Planner {
			break
		}
		if err := b.ended(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.agreed(t, 1)
	for {
		if _, told, code, err := b.once(proxy); err == nil && told && code == "" {
			break
		}
		if err := b.ended(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A process that has ended is reached by nobody: its port may belong to another program.
func TestRelaysLeadNowhereOnceTheProcessHasEnded(t *testing.T) {
	b := small(t, 1, 1, time.Second)
	planner := b.Planners[0]
	occupy(t, planner)
	conn, err := net.Dial("tcp", planner.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("the relay connects to another program")
	}
}
