package net

import (
	"fmt"
	stdnet "net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
)

// handlerFunc is a function as an eventHandler.
type handlerFunc func()

func (f handlerFunc) handleEvents(uint32, time.Duration) { f() }

// TestEventsAreDispatchedInRounds guards against a hold-up whose events are all handled in one callback, with deadlines and requests behind it:
// they are handled for limit.RoundTime at a time, in their order, each once, and those that arrive meanwhile behind them.
func TestEventsAreDispatchedInRounds(t *testing.T) {
	clock := &manualClock{now: time.Hour}
	loop := NewLoop(clock, new(state.Deadlines))
	poller := &eventPoller{loop: loop, handlers: map[uint64]eventHandler{}, index: map[uint64]int{}}
	var order []string
	for id := range uint64(7) {
		poller.handlers[id] = handlerFunc(func() {
			order = append(order, fmt.Sprint(id))
			clock.now += limit.RoundTime / 2
			if id == 1 && len(order) == 3 { // the first time
				poller.add([]unix.EpollEvent{{Fd: 1}, {Fd: 6}, {Fd: 1}})
			}
		})
	}
	poller.add([]unix.EpollEvent{{Fd: 0}, {Fd: 1}, {Fd: 2}, {Fd: 3}})
	poller.add([]unix.EpollEvent{{Fd: 0}, {Fd: 4}})
	rounds := 0
	for ; len(loop.queue) > 0; rounds++ {
		if len(loop.queue) != 1 {
			t.Fatalf("%d callbacks are queued", len(loop.queue))
		}
		callback := loop.queue[0]
		loop.queue = nil
		order = append(order, "|")
		callback()
	}
	if got := strings.Join(order, " "); got != "| 0 1 | 2 3 | 4 | 1 6" {
		t.Errorf("%d rounds handled %s", rounds, got)
	}
}

// TestAcceptedConnectionsShareARound guards against connections that are costly to accept, because room has to be made for each, and hold the
// loop by their number.
func TestAcceptedConnectionsShareARound(t *testing.T) {
	const connections = 6
	clock := &offsetClock{SystemClock: state.NewClock()}
	loop := NewLoop(clock, new(state.Deadlines))
	defer loop.closePollers()
	accepted := 0
	a, err := listenOn(loop, "tcp", "127.0.0.1:0", func(conn *socket) {
		accepted++
		clock.offset.Add(int64(limit.RoundTime / 2))
		conn.close()
	})
	if err != nil {
		t.Fatal(err)
	}
	defer a.close()
	for range connections {
		conn, err := stdnet.Dial("tcp", a.address.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	a.acceptSome()
	if accepted < 1 || accepted > 2 { // time passes by itself, too
		t.Errorf("%d connections were accepted in one turn, want 2 at most", accepted)
	}
	for accepted < connections {
		a.acceptSome()
	}
}

// TestAcceptingGoesOnOnce guards against a storm of connections: each event of the listening socket began to accept anew, beside the rest
// that was posted before, so that more and more copies of it had turns.
func TestAcceptingGoesOnOnce(t *testing.T) {
	loop := NewLoop(state.NewClock(), new(state.Deadlines))
	defer loop.closePollers()
	a, err := listenOn(loop, "tcp", "127.0.0.1:0", func(conn *socket) { conn.close() })
	if err != nil {
		t.Fatal(err)
	}
	defer a.close()
	for range 2 * maxAccepts {
		conn, err := stdnet.Dial("tcp", a.address.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	loop.mu.Lock()
	loop.queue = nil // the poller's own event
	loop.mu.Unlock()
	a.acceptSome()
	for range 5 {
		a.handleEvents(unix.EPOLLIN, 0)
	}
	if n := loop.queued(); n != 1 {
		t.Errorf("%d callbacks go on to accept, want 1", n)
	}
}

// TestAcceptedConnectionsHaveTheirOptions guards against options that accepted connections do not inherit from the listening socket.
func TestAcceptedConnectionsHaveTheirOptions(t *testing.T) {
	loop := NewLoop(state.NewClock(), new(state.Deadlines))
	defer loop.closePollers()
	var accepted *socket
	a, err := listenOn(loop, "tcp", "127.0.0.1:0", func(conn *socket) { accepted = conn })
	if err != nil {
		t.Fatal(err)
	}
	defer a.close()
	conn, err := stdnet.Dial("tcp", a.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for accepted == nil {
		a.acceptSome()
	}
	defer accepted.close()
	seconds := int(keepAliveInterval / time.Second)
	for name, option := range map[string]struct{ level, option, want int }{
		"no delay":            {unix.IPPROTO_TCP, unix.TCP_NODELAY, 1},
		"keep-alive":          {unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		"keep-alive idle":     {unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, seconds},
		"keep-alive interval": {unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, seconds},
	} {
		if got, err := unix.GetsockoptInt(accepted.fd, option.level, option.option); err != nil || got != option.want {
			t.Errorf("%s is %d, want %d (%v)", name, got, option.want, err)
		}
	}
}

// TestClosedListenerAcceptsInTurns guards against a stop beside a storm of connections: all that waited were accepted in one callback, which
// held the loop for over a second (seeds 207 and 229 of the soak).
func TestClosedListenerAcceptsInTurns(t *testing.T) {
	const connections = 6
	clock := &offsetClock{SystemClock: state.NewClock()}
	loop := NewLoop(clock, new(state.Deadlines))
	defer loop.closePollers()
	accepted := 0
	a, err := listenOn(loop, "tcp", "127.0.0.1:0", func(conn *socket) {
		accepted++
		clock.offset.Add(int64(limit.AcceptTime))
		conn.close()
	})
	if err != nil {
		t.Fatal(err)
	}
	for range connections {
		conn, err := stdnet.Dial("tcp", a.address.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	a.close()
	if accepted != 1 || !a.closing() {
		t.Errorf("%d connections were accepted at once, and the listener goes on: %v", accepted, a.closing())
	}
	for range 2 * connections {
		a.acceptSome()
	}
	if accepted != connections || !a.closed {
		t.Errorf("%d of %d connections were accepted, and the listener is closed: %v", accepted, connections, a.closed)
	}
}
