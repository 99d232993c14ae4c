package state

import (
	"fmt"
	"testing"
	"time"

	"havenproxy/logic"
)

// TestNameIsKnownWhileItMayRun guards against an id that runs twice when it comes again after its client has left: it was forgotten with the
// connection to the database, which may still run it.
func TestNameIsKnownWhileItMayRun(t *testing.T) {
	const attemptTime = 500 * time.Millisecond // of submitAndSend
	for name, c := range map[string]struct {
		end      func(h *harness, id logic.RequestID)
		retained bool
	}{
		"client left, attempt cancelled": {func(h *harness, id logic.RequestID) { h.e.Abandon(id); h.e.Cancel(id, 0) }, true},
		"client left, database answers": {func(h *harness, id logic.RequestID) {
			h.e.Abandon(id)
			h.conns[0].listener.Reply(Reply{Result: logic.OK})
		}, false},
		"connection lost, request fails": {func(h *harness, id logic.RequestID) { h.conns[0].listener.Down(); h.e.Fail(id) }, true},
		"refused by the database": {func(h *harness, id logic.RequestID) {
			h.conns[0].listener.Reply(Reply{Result: logic.Rejected})
			h.e.Refuse(id, 0)
		}, false},
		"served": {func(h *harness, id logic.RequestID) { h.conns[0].listener.Reply(Reply{Result: logic.OK}) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 9)
			named := Request{Name: "n", Class: "any", Wait: time.Second, Command: command{}, Caller: &caller{}}
			id, err := h.e.Submit(named)
			if err != nil {
				t.Fatal(err)
			}
			h.e.Send(id, h.id("one"), attemptTime)
			h.conns[0].listener.Up()
			c.end(h, id)
			if h.e.requests[id] != nil {
				t.Fatal("the request is still open")
			}
			_, err = h.e.Submit(named)
			if retained := err == ErrDuplicateName; retained != c.retained {
				t.Errorf("the same id again: %v", err)
			}
			h.now += attemptTime
			if c.retained {
				if _, err := h.e.Submit(named); err != nil {
					t.Errorf("the same id after the attempt's time: %v", err)
				}
			}
		})
	}
}

// TestNameThatNeverRanIsFree guards against an error for a client that sends a request once more that never ran.
func TestNameThatNeverRanIsFree(t *testing.T) {
	h := newHarness(t, 9)
	named := Request{Name: "n", Class: "any", Wait: time.Second, Command: command{}, Caller: &caller{}}
	for range 2 {
		id, err := h.e.Submit(named)
		if err != nil {
			t.Fatal(err)
		}
		h.e.Send(id, h.id("one"), time.Second) // its connection is not established
		h.e.Abandon(id)
		h.e.Cancel(id, 0)
	}
}

// TestRetainedNamesAreBounded guards against a table that grows by clients' choice of ids.
func TestRetainedNamesAreBounded(t *testing.T) {
	n := newRequestNames()
	now := time.Hour
	for i := range 3 * maxRetainedNames {
		name := fmt.Sprint(i)
		if !n.add(now, name) {
			t.Fatalf("name %s is known", name)
		}
		n.remove(now, name, now+24*time.Hour)
		now += time.Microsecond
	}
	if len(n.retained) > maxRetainedNames || len(n.oldest) != len(n.retained) || len(n.open) != 0 {
		t.Errorf("%d names, %d in order, %d open", len(n.retained), len(n.oldest), len(n.open))
	}
	if n.add(now, fmt.Sprint(3*maxRetainedNames-1)) {
		t.Error("the newest name is forgotten")
	}
	now += maxNameRetention
	n.expire(now)
	if len(n.retained) != 0 || !n.add(now, fmt.Sprint(3*maxRetainedNames-1)) {
		t.Errorf("%d names are retained beyond their time", len(n.retained))
	}
}
