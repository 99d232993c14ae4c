package net

import (
	"testing"
	"time"

	"havenproxy/internal/state"
)

// A poller that stands still is waited for within the bound only. The wait ends with an error, and the next one begins anew.
func TestAPollerThatStandsStillIsNotWaitedForBeyondTheBound(t *testing.T) {
	const shortTimeout = time.Millisecond
	loop := NewLoop(state.NewClock(), new(state.Deadlines))
	if err := loop.waitForPoller(); err != nil {
		t.Fatal(err)
	}
	letPollerGo := holdPoller(t, loop)
	if err := loop.barrier.roundTrip(shortTimeout); err == nil {
		t.Error("a byte has passed a poller that stands still")
	}
	letPollerGo()
	loop.barrier.close()
	loop.barrier = nil
	if err := loop.waitForPoller(); err != nil {
		t.Errorf("behind it: %v", err)
	}
}
