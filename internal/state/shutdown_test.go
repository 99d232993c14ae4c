package state

import (
	"testing"
	"time"

	"havenproxy/logic"
)

// While an attempt waits for a connection, its member is listed as draining or gone, its client disconnects while
// nothing may be cancelled, or its time runs out. The request must not be written then, the router must learn that
// nothing ran, and the connection must not leak.
func TestWaitingAttemptCheckedBeforeWrite(t *testing.T) {
	drains := List{Kind: logic.ListDelta, Entries: []Entry{{Name: "one", Address: "a:1", Zone: "y", State: logic.Draining}}}
	for name, c := range map[string]struct {
		crosses func(h *harness, id logic.RequestID)
		sent    int
	}{
		"nothing": {func(*harness, logic.RequestID) {}, 1},
		"a drain": {func(h *harness, _ logic.RequestID) { h.e.UpdateList(drains) }, 0},
		"gone":    {func(h *harness, _ logic.RequestID) { h.e.UpdateList(List{Kind: logic.ListFull}) }, 0},
		"no client any more": {func(h *harness, id logic.RequestID) {
			h.e.Abandon(id)
			h.calls = nil
		}, 0},
		"no time any more": {func(h *harness, _ logic.RequestID) { h.now += 500 * time.Millisecond }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 9)
			h.e.cfg.ConnectTimeout = time.Second
			id := h.submitAndSend(&caller{})
			h.calls = nil
			c.crosses(h, id)
			h.conns[0].listener.Up()
			if h.conns[0].sent != c.sent {
				t.Errorf("%d requests were written, want %d", h.conns[0].sent, c.sent)
			}
			if c.sent == 0 {
				h.wantCalls(outcomeCall(logic.NotSent, name == "no client any more"))
				if busy := h.e.membersByName["one"]; busy != nil && len(busy.openingConns) > 0 {
					t.Error("the connection still counts as being established")
				}
			}
		})
	}
}

// A connection that an answer makes available is used by an attempt that waits for its own, unless that one must not
// be sent any more.
func TestReleasedConnectionSkipsStaleAttempt(t *testing.T) {
	h := newHarness(t, 9)
	h.submitAndSend(&caller{})
	h.conns[0].listener.Up()
	second := h.submitAndSend(&caller{})
	h.e.Abandon(second) // this router cancels nothing
	h.calls = nil
	h.conns[0].listener.Reply(Reply{Result: logic.OK})
	if h.conns[0].sent != 1 {
		t.Errorf("%d requests were written, want only the first", h.conns[0].sent)
	}
	h.wantCalls(outcomeCall(logic.NotSent, true), outcomeCall(logic.OK, true))
}

// A connection that is still being established, and whose attempt was sent over another one, serves the next attempt
// if no other connection may be opened.
func TestOpeningConnectionServesAttemptAtLimit(t *testing.T) {
	h := newHarness(t, 2)
	h.submitAndSend(&caller{})
	h.submitAndSend(&caller{})
	h.conns[0].listener.Up()
	h.conns[0].listener.Reply(Reply{Result: logic.OK}) // the connection takes the second attempt
	third := &caller{}
	h.calls = nil
	h.submitAndSend(third)
	h.wantCalls("request") // no outcome: it waits
	h.conns[1].listener.Up()
	if h.conns[0].sent != 2 || h.conns[1].sent != 1 || len(h.conns) != 2 {
		t.Errorf("%d and %d requests were written, over %d connections", h.conns[0].sent, h.conns[1].sent, len(h.conns))
	}
	h.conns[1].listener.Reply(Reply{Result: logic.OK})
	third.wantAnswers(t, "served ")
}

// At shutdown all open requests are answered at once, including those that the router does not know yet.
func TestEndAllRequestsAnswersAll(t *testing.T) {
	h := newHarness(t, 9)
	first, second, left := &caller{}, &caller{}, &caller{}
	h.submitAndSend(first)
	h.e.Submit(Request{Class: "any", Wait: time.Second, Command: command{}, Caller: second})
	h.e.Abandon(h.submitAndSend(left))
	if n := h.e.OutstandingAnswers(); n != 2 {
		t.Errorf("%d answers owed, want 2", n)
	}
	h.e.EndAllRequests()
	first.wantAnswers(t, "failed")
	second.wantAnswers(t, "refused 0s")
	left.wantAnswers(t)
	if n := h.e.OutstandingAnswers(); n != 0 {
		t.Errorf("%d answers owed", n)
	}
	h.e.EndAllRequests()
	first.wantAnswers(t, "failed")
}

// With DrainOnly, a full list without a draining member, or an entry as gone, does not end the drain: an attempt that
// was waiting for a connection to it must not be written. An entry as ready ends the drain.
func TestDrainOutlastsListWithoutMember(t *testing.T) {
	one := func(s logic.MemberState) List {
		return List{Kind: logic.ListDelta, Entries: []Entry{{Name: "one", Address: "a:1", Zone: "y", State: s}}}
	}
	for name, c := range map[string]struct {
		lists []List
		sent  int
	}{
		"left out":                 {[]List{{Kind: logic.ListFull}}, 1},
		"draining, then left out":  {[]List{one(logic.Draining), {Kind: logic.ListFull}}, 0},
		"draining, then gone":      {[]List{one(logic.Draining), one(logic.Gone)}, 0},
		"draining, gone and ready": {[]List{one(logic.Draining), one(logic.Gone), one(logic.Ready)}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 9)
			h.e.cfg.Logic.IgnoreGone = true
			h.submitAndSend(&caller{})
			for _, l := range c.lists {
				h.e.UpdateList(l)
			}
			h.conns[0].listener.Up()
			if h.conns[0].sent != c.sent {
				t.Errorf("%d requests were written, want %d", h.conns[0].sent, c.sent)
			}
		})
	}
}
