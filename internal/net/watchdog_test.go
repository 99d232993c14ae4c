package net

import (
	"bytes"
	"testing"
	"time"

	"havenproxy/internal/state"
)

// Guards against a hang that nothing shows: a callback that does not return is reported, once, with its stack.
func TestStuckCallbackIsReported(t *testing.T) {
	loop := NewLoop(state.NewClock(), new(state.Deadlines))
	reports := make(chan []byte, 8)
	go loop.watchdog.watch(time.Millisecond, func(stack []byte) { reports <- stack })
	done := make(chan struct{})
	go func() { loop.Run(); close(done) }()
	release := holdLoop(loop)
	select {
	case stack := <-reports:
		if !bytes.Contains(stack, []byte("holdLoop")) {
			t.Errorf("the report does not name the callback:\n%s", stack)
		}
	case <-time.After(testTimeout):
		t.Error("the callback was not reported")
	}
	release()
	loop.Post(loop.Stop)
	<-done
	if n := len(reports); n > 0 {
		t.Errorf("the callback was reported %d times more", n)
	}
}
