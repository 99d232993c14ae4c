package net

import (
	stdnet "net"
	"syscall"
	"testing"
	"time"

	"havenproxy/internal/state"
)

// listenerStub records how a connection to a database ends.
type listenerStub struct{ events chan string }

func (e *listenerStub) Up()               { e.events <- "up" }
func (e *listenerStub) Reply(state.Reply) { e.events <- "reply" }
func (e *listenerStub) Down()             { e.events <- "down" }
func (e *listenerStub) DialRefused()      { e.events <- "refused" }
func (e *listenerStub) NotOpened()        { e.events <- "unopened" }
func (e *listenerStub) Synced()           { e.events <- "synced" }
func (e *listenerStub) ProtocolError()    { e.events <- "protocol error" }

// A dial to an address where nothing listens is reported as refused, which is evidence of a dead database; a
// connection that is accepted and then closed is not.
func TestRefusedDialIsReported(t *testing.T) {
	const closed = "127.0.0.1:1" // a reserved port on which nothing listens
	ends := listen(t, func(stdnet.Conn) {})
	_, engine, loop := startProxy(t, closed, 4, 4)
	for address, want := range map[string]string{closed: "refused", ends: "down"} {
		e := &listenerStub{make(chan string, 4)}
		loop.Post(func() { engine.Opener().Open(address, 0, e) })
		select {
		case got := <-e.events:
			if got != want {
				t.Errorf("%s, want %s", got, want)
			}
		case <-time.After(testTimeout):
			t.Fatal("no event was reported")
		}
	}
}

// Guards against the wrong conclusion of incident 38: a process out of descriptors (EMFILE) reports its own shortage
// and does not treat its databases as dead.
func TestDialWithoutDescriptorIsNotAFailure(t *testing.T) {
	database := listen(t, func(stdnet.Conn) {})
	_, engine, loop := startProxy(t, database, 4, 4)
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	e := &listenerStub{make(chan string, 4)}
	limit := syscall.Rlimit{Cur: 3, Max: before.Max} // open descriptors stay open
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	loop.Post(func() { engine.Opener().Open(database, 0, e) })
	var got string
	select {
	case got = <-e.events:
	case <-time.After(testTimeout):
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	if got != "unopened" {
		t.Errorf("a dial without a descriptor ends as %q, want unopened", got)
	}
}
