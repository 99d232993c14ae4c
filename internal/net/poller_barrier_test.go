package net

import (
	"testing"
	"time"

	"havenproxy/internal/state"
)

// The wait for a blocked poller is limited by the timeout. It ends with an error, and the next wait starts anew.
func TestWaitForBlockedPollerTimesOut(t *testing.T) {
	const shortTimeout = time.Millisecond
	loop := NewLoop(state.NewClock(), new(state.Deadlines))
	if err := loop.waitForPoller(); err != nil {
		t.Fatal(err)
	}
	releasePoller := holdPoller(t, loop)
	if err := loop.barrier.roundTrip(shortTimeout); err == nil {
		t.Error("a byte passed through a blocked poller")
	}
	releasePoller()
	loop.barrier.close()
	loop.barrier = nil
	if err := loop.waitForPoller(); err != nil {
		t.Errorf("afterwards: %v", err)
	}
}
