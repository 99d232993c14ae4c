package net

import (
	stdnet "net"
	"syscall"
	"testing"
	"time"

	"havenproxy/internal/state"
)

// ear hears how a connection to a database ends.
type ear struct{ heard chan string }

func (e *ear) Up()               { e.heard <- "up" }
func (e *ear) Reply(state.Reply) { e.heard <- "reply" }
func (e *ear) Down()             { e.heard <- "down" }
func (e *ear) Refused()          { e.heard <- "refused" }
func (e *ear) NotOpened()        { e.heard <- "unopened" }
func (e *ear) ProtocolError()    { e.heard <- "spoilt" }

// A dial to an address where nothing listens is told as refused, which is evidence; one that is taken and ended is not.
func TestARefusedDialIsTold(t *testing.T) {
	const closed = "127.0.0.1:1" // a reserved port on which nothing listens
	ends := listen(t, func(stdnet.Conn) {})
	_, engine, loop := proxy(t, closed, 4, 4)
	for address, want := range map[string]string{closed: "refused", ends: "down"} {
		e := &ear{make(chan string, 4)}
		loop.Post(func() { engine.Opener().Open(address, 0, e) })
		select {
		case got := <-e.heard:
			if got != want {
				t.Errorf("%s, want %s", got, want)
			}
		case <-time.After(patience):
			t.Fatal("nothing was told")
		}
	}
}

// Guards against incident 38's mistake in dials: a process out of descriptors (EMFILE) says so of itself, and does not take its databases for
// dead ones.
func TestADialWithoutADescriptorIsNoDeadDatabase(t *testing.T) {
	database := listen(t, func(stdnet.Conn) {})
	_, engine, loop := proxy(t, database, 4, 4)
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	e := &ear{make(chan string, 4)}
	limit := syscall.Rlimit{Cur: 3, Max: before.Max} // those that are open stay open
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	loop.Post(func() { engine.Opener().Open(database, 0, e) })
	var got string
	select {
	case got = <-e.heard:
	case <-time.After(patience):
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	if got != "unopened" {
		t.Errorf("a dial without a descriptor ends as %q, want unopened", got)
	}
}
