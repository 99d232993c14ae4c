package limit

import (
	"testing"
	"time"
)

// TestInputBudget guards against memory that grows with the number of clients, and against clients that wait for ever.
func TestInputBudget(t *testing.T) {
	b := InputBudget{Total: 100 << 10}
	if !b.Admits(500<<10, 0) {
		t.Error("a request is not admitted though none is under way")
	}
	b.BeginRequest(60 << 10)
	for _, c := range []struct {
		size, pending int
		want          bool
	}{{30 << 10, 5, true}, {40 << 10, 0, false}, {SmallMessage, 1, true}, {50 << 10, 1, false}} {
		if got := b.Admits(c.size, c.pending); got != c.want {
			t.Errorf("%d bytes, %d pending: admitted %v", c.size, c.pending, got)
		}
	}
	b.BeginRequest(36 << 10)
	if b.Admits(SmallMessage, 1) || !b.Admits(SmallMessage, 0) || b.Admits(SmallMessage+1, 0) {
		t.Error("at the limit each client may have one small request under way, and nothing else")
	}
	b.HoldBuffers(100 << 10)
	if !b.AdmitsBuffer(0) {
		t.Error("requests count as buffers")
	}
	b.HoldBuffers(1)
	if b.AdmitsBuffer(0) || b.Held() != 100<<10+1+96<<10+2*RequestOverhead {
		t.Errorf("%d bytes are held", b.Held())
	}
	b.HoldBuffers(-100<<10 - 1)
	b.EndRequest(36 << 10)
	b.EndRequest(60 << 10)
	if b.Held() != 0 || !b.Admits(1<<30, 0) {
		t.Errorf("%d bytes are held at the end", b.Held())
	}
}

// TestTurnEnds guards against a client that keeps the event loop, with many messages, much to read or slow messages.
func TestTurnEnds(t *testing.T) {
	const now = time.Hour
	for name, use := range map[string]func(*Turn) bool{
		"messages": func(turn *Turn) bool { return turn.Handled(now) },
		"bytes":    func(turn *Turn) bool { return turn.Read(turnBytes/turnMessages, now) },
	} {
		turn, n := NewTurn(now), 1
		for ; use(&turn) && n < 100; n++ {
		}
		if n != turnMessages {
			t.Errorf("%s: the turn ended after %d, want %d", name, n, turnMessages)
		}
	}
	turn := NewTurn(now)
	if turn.Handled(now + turnTime) {
		t.Error("the turn goes on beyond its time")
	}
}
