package state

import (
	"testing"
	"time"

	"havenproxy/logic"
)

// While an attempt waits for a connection, its member is listed as leaving, or its client leaves where nothing may be called off: in the
// moment of the write nothing goes out, the router hears that nothing ran, and the connection is not left behind.
func TestWhatWaitedForAConnectionIsAskedAgainBeforeItIsWritten(t *testing.T) {
	drains := List{Kind: logic.ListDelta, Entries: []Entry{{Name: "one", Address: "a:1", Zone: "y", State: logic.Draining}}}
	for name, c := range map[string]struct {
		crosses func(b *harness, id logic.RequestID)
		sent    int
	}{
		"nothing": {func(*harness, logic.RequestID) {}, 1},
		"a drain": {func(b *harness, _ logic.RequestID) { b.e.UpdateList(drains) }, 0},
		"gone":    {func(b *harness, _ logic.RequestID) { b.e.UpdateList(List{Kind: logic.ListFull}) }, 0},
		"no client any more": {func(b *harness, id logic.RequestID) {
			b.e.Abandon(id)
			b.calls = nil
		}, 0},
		"no time any more": {func(b *harness, _ logic.RequestID) { b.now += 500 * time.Millisecond }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 9)
			b.e.cfg.ConnectTimeout = time.Second
			id := b.submitAndSend(&caller{})
			b.calls = nil
			c.crosses(b, id)
			b.conns[0].listener.Up()
			if b.conns[0].sent != c.sent {
				t.Errorf("%d requests were written, want %d", b.conns[0].sent, c.sent)
			}
			if c.sent == 0 {
				b.wantCalls(outcomeCall(logic.Moot, name == "no client any more"))
				if busy := b.e.membersByName["one"]; busy != nil && len(busy.openingConns) > 0 {
					t.Error("the connection is still taken for one in the making")
				}
			}
		})
	}
}

// An idle connection freed by an answer goes to an attempt that waits for one of its own, if that may still go out.
func TestAFreedConnectionGoesToWhoMayStillSend(t *testing.T) {
	b := newHarness(t, 9)
	b.submitAndSend(&caller{})
	b.conns[0].listener.Up()
	second := b.submitAndSend(&caller{})
	b.e.Abandon(second) // nothing is called off by this router
	b.calls = nil
	b.conns[0].listener.Reply(Reply{Result: logic.OK})
	if b.conns[0].sent != 1 {
		t.Errorf("%d requests were written, want the first alone", b.conns[0].sent)
	}
	b.wantCalls(outcomeCall(logic.Moot, true), outcomeCall(logic.OK, true))
}

// A connection in the making, whose attempt has gone out on one that an answer freed, serves the next attempt where no other may be opened.
func TestAConnectionInTheMakingServesWhoFindsNoRoom(t *testing.T) {
	b := newHarness(t, 2)
	b.submitAndSend(&caller{})
	b.submitAndSend(&caller{})
	b.conns[0].listener.Up()
	b.conns[0].listener.Reply(Reply{Result: logic.OK}) // it takes the second attempt
	third := &caller{}
	b.calls = nil
	b.submitAndSend(third)
	b.wantCalls("request") // and no outcome: it waits
	b.conns[1].listener.Up()
	if b.conns[0].sent != 2 || b.conns[1].sent != 1 || len(b.conns) != 2 {
		t.Errorf("%d and %d requests were written, over %d connections", b.conns[0].sent, b.conns[1].sent, len(b.conns))
	}
	b.conns[1].listener.Reply(Reply{Result: logic.OK})
	third.wantAnswers(t, "served ")
}

// At the end all that is owed an answer has it at once, the requests that the router has not been told of as well.
func TestEndAllAnswersAll(t *testing.T) {
	b := newHarness(t, 9)
	first, second, left := &caller{}, &caller{}, &caller{}
	b.submitAndSend(first)
	b.e.Submit(Request{Class: "any", Wait: time.Second, Command: command{}, Caller: second})
	b.e.Abandon(b.submitAndSend(left))
	if n := b.e.OutstandingAnswers(); n != 2 {
		t.Errorf("%d answers owed, want 2", n)
	}
	b.e.EndAllRequests()
	first.wantAnswers(t, "failed")
	second.wantAnswers(t, "refused 0s")
	left.wantAnswers(t)
	if n := b.e.OutstandingAnswers(); n != 0 {
		t.Errorf("%d answers owed", n)
	}
	b.e.EndAllRequests()
	first.wantAnswers(t, "failed")
}

// Where a listed drain binds and a member's absence does not, a whole list that leaves a draining member out, or a listing of it as gone, does
// not lift the drain: what waited for a connection there since before is not written. A listing as ready lifts it.
func TestADrainOutlastsAWholeListWithoutItsMember(t *testing.T) {
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
			b := newHarness(t, 9)
			b.e.cfg.Logic.DrainOnly = true
			b.submitAndSend(&caller{})
			for _, l := range c.lists {
				b.e.UpdateList(l)
			}
			b.conns[0].listener.Up()
			if b.conns[0].sent != c.sent {
				t.Errorf("%d requests were written, want %d", b.conns[0].sent, c.sent)
			}
		})
	}
}
