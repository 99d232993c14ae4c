package net

import (
	"errors"
	stdnet "net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
)

// maxRoundsUntilSeen is the number of rounds in which a busy loop has to see what happened before: it asks the kernel at the
// start of the next one, and the handler runs behind what was posted before.
const maxRoundsUntilSeen = 2

// busyLoop runs a loop on the only processor that always has work: rounds calls step in each of its rounds, until step returns true.
func busyLoop(t *testing.T, loop *Loop, step func(round int) (done bool)) {
	t.Helper()
	before := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(before)
	const maxRounds = 100_000
	round := 0
	var work func()
	work = func() {
		round++
		if step(round) || round == maxRounds {
			loop.Stop()
			return
		}
		loop.Post(work)
	}
	loop.Post(work)
	loop.Run()
	if round == maxRounds {
		t.Error("the loop has not seen it at all")
	}
}

// TestBusyLoopSeesEventsItself guards against issue 58's late answers beside one client's flood: the goroutine that waited for the kernel got
// the only processor when the scheduler took it from the loop, some 10 ms later, once for the request and once for the answer.
func TestBusyLoopSeesEventsItself(t *testing.T) {
	loop := NewLoop(state.NewClock(), new(state.Deadlines))
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fds[0])
	defer unix.Close(fds[1])
	current, written, worst := 0, 0, 0
	handle := handlerFunc(func() {
		if written > 0 {
			worst = max(worst, current-written)
			written = 0
		}
	})
	if _, err := loop.readPoller.register(fds[0], unix.EPOLLIN|unix.EPOLLET, handle); err != nil {
		t.Fatal(err)
	}
	writes := 0
	busyLoop(t, loop, func(round int) bool {
		current = round
		if written == 0 {
			unix.Write(fds[1], []byte{1})
			written = round
			writes++
		}
		return writes > 50
	})
	if worst > maxRoundsUntilSeen {
		t.Errorf("an event was handled %d rounds late", worst)
	}
}

// TestBusyLoopLetsOtherGoroutinesRun guards against the same for what other goroutines pass to the loop, such as signals and discovery.
func TestBusyLoopLetsOtherGoroutinesRun(t *testing.T) {
	clock := state.NewClock()
	loop := NewLoop(clock, new(state.Deadlines))
	const turns = 20
	asked, told := make(chan struct{}), make(chan time.Duration, turns)
	go func() {
		for range asked {
			at := clock.Now()
			loop.Post(func() { told <- at })
		}
	}()
	var waits int
	var since time.Duration
	yields, waiting := 0, false
	busyLoop(t, loop, func(int) bool {
		now := clock.Now()
		switch {
		case !waiting:
			waiting, since, yields = true, now, 0
			select {
			case asked <- struct{}{}:
			default:
				waiting = false // the goroutine is not back yet
			}
		case len(told) > 0:
			<-told
			waiting = false
			waits++
		default:
			if yields++; now-since > 8*yieldInterval && yields > 1000 {
				t.Errorf("another goroutine has not run for %v of the loop's work", now-since)
				return true
			}
		}
		return waits == turns
	})
	close(asked)
}

// TestDeadlinesShareARound guards against thousands of requests that expire at one moment and are all ended in one turn.
func TestDeadlinesShareARound(t *testing.T) {
	const cost = limit.RoundTime / 2 // of each deadline
	clock, deadlines := &manualClock{now: time.Hour}, &state.Deadlines{}
	loop := NewLoop(clock, deadlines)
	var due [6]state.Deadline
	ran, rounds := 0, 0
	for i := range due {
		deadlines.Set(&due[i], clock.now, func() {
			clock.now += cost
			ran++
			if ran > 2*rounds {
				t.Errorf("%d deadlines have run in %d rounds", ran, rounds)
			}
			if ran == len(due) {
				loop.Stop()
			}
		})
	}
	var other func()
	other = func() {
		rounds++
		loop.Post(other)
	}
	loop.Post(other)
	loop.Run()
}

// TestBusyLoopConnectsItself guards against requests that wait for a connection to a database while other clients keep the loop busy: the
// goroutine that dialled got the only processor some 10 ms late.
func TestBusyLoopConnectsItself(t *testing.T) {
	listener, err := stdnet.Listen("tcp", "127.0.0.1:0") // the kernel accepts
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	loop := NewLoop(state.NewClock(), new(state.Deadlines))
	began, ended := 0, 0
	busyLoop(t, loop, func(round int) bool {
		if began == 0 {
			began = round
			dialSocket(loop, listener.Addr().String(), testTimeout, func(conn *socket, err error) {
				if ended = round; err != nil {
					t.Error(err)
					return
				}
				conn.close()
			})
			return false
		}
		if ended > 0 {
			return true
		}
		if round-began > 10*maxRoundsUntilSeen {
			t.Errorf("no connection after %d rounds", round-began)
			return true
		}
		return false
	})
}

// TestDialErrors guards against outcomes of a dial that are not told apart, or not told.
func TestDialErrors(t *testing.T) {
	listener, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	listener.Close()
	loop := NewLoop(state.NewClock(), new(state.Deadlines))
	go loop.Run()
	defer loop.Post(loop.Stop)
	_, port, err := stdnet.SplitHostPort(closed)
	if err != nil {
		t.Fatal(err)
	}
	for address, want := range map[string]error{
		closed:                 syscall.ECONNREFUSED,
		"localhost:" + port:    syscall.ECONNREFUSED, // looked up first
		"no address":           nil,                  // any error
		"127.0.0.1:not a port": nil,
	} {
		outcome := make(chan error, 2)
		loop.Post(func() {
			dialSocket(loop, address, testTimeout, func(conn *socket, err error) { outcome <- err })
		})
		select {
		case err := <-outcome:
			if err == nil || want != nil && !errors.Is(err, want) {
				t.Errorf("%s: %v, want %v", address, err, want)
			}
		case <-time.After(testTimeout):
			t.Errorf("%s: no outcome", address)
		}
	}
}
