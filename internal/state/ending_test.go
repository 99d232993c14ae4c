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
		crosses func(b *bench, id logic.RequestID)
		sent    int
	}{
		"nothing": {func(*bench, logic.RequestID) {}, 1},
		"a drain": {func(b *bench, _ logic.RequestID) { b.f.UpdateList(drains) }, 0},
		"gone":    {func(b *bench, _ logic.RequestID) { b.f.UpdateList(List{Kind: logic.ListFull}) }, 0},
		"no client any more": {func(b *bench, id logic.RequestID) {
			b.f.Abandon(id)
			b.told = nil
		}, 0},
		"no time any more": {func(b *bench, _ logic.RequestID) { b.now += 500 * time.Millisecond }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 9)
			b.f.cfg.ConnectTimeout = time.Second
			id := b.take(&caller{})
			b.told = nil
			c.crosses(b, id)
			b.conns[0].to.Up()
			if b.conns[0].sent != c.sent {
				t.Errorf("%d requests were written, want %d", b.conns[0].sent, c.sent)
			}
			if c.sent == 0 {
				b.want(outcome(logic.NotSent, name == "no client any more"))
				if busy := b.f.names["one"]; busy != nil && len(busy.opening) > 0 {
					t.Error("the connection is still taken for one in the making")
				}
			}
		})
	}
}

// An idle connection freed by an answer goes to an attempt that waits for one of its own, if that may still go out.
func TestAFreedConnectionGoesToWhoMayStillSend(t *testing.T) {
	b := newBench(t, 9)
	b.take(&caller{})
	b.conns[0].to.Up()
	second := b.take(&caller{})
	b.f.Abandon(second) // nothing is called off by this router
	b.told = nil
	b.conns[0].to.Reply(Reply{Result: logic.OK})
	if b.conns[0].sent != 1 {
		t.Errorf("%d requests were written, want the first alone", b.conns[0].sent)
	}
	b.want(outcome(logic.NotSent, true), outcome(logic.OK, true))
}

// A connection in the making, whose attempt has gone out on one that an answer freed, serves the next attempt where no other may be opened.
func TestAConnectionInTheMakingServesWhoFindsNoRoom(t *testing.T) {
	b := newBench(t, 2)
	b.take(&caller{})
	b.take(&caller{})
	b.conns[0].to.Up()
	b.conns[0].to.Reply(Reply{Result: logic.OK}) // it takes the second attempt
	third := &caller{}
	b.told = nil
	b.take(third)
	b.want("request") // and no outcome: it waits
	b.conns[1].to.Up()
	if b.conns[0].sent != 2 || b.conns[1].sent != 1 || len(b.conns) != 2 {
		t.Errorf("%d and %d requests were written, over %d connections", b.conns[0].sent, b.conns[1].sent, len(b.conns))
	}
	b.conns[1].to.Reply(Reply{Result: logic.OK})
	third.want(t, "served ")
}

// At the end all that is owed an answer has it at once, the requests that the router has not been told of as well.
func TestEndAllAnswersAll(t *testing.T) {
	b := newBench(t, 9)
	first, second, left := &caller{}, &caller{}, &caller{}
	b.take(first)
	b.f.Submit(Request{Class: "any", Wait: time.Second, Command: command{}, Caller: second})
	b.f.Abandon(b.take(left))
	if n := b.f.OutstandingAnswers(); n != 2 {
		t.Errorf("%d answers owed, want 2", n)
	}
	b.f.EndAllRequests()
	first.want(t, "failed")
	second.want(t, "refused 0s")
	left.want(t)
	if n := b.f.OutstandingAnswers(); n != 0 {
		t.Errorf("%d answers owed", n)
	}
	b.f.EndAllRequests()
	first.want(t, "failed")
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
			b := newBench(t, 9)
			b.f.cfg.Logic.IgnoreGone = true
			b.take(&caller{})
			for _, l := range c.lists {
				b.f.UpdateList(l)
			}
			b.conns[0].to.Up()
			if b.conns[0].sent != c.sent {
				t.Errorf("%d requests were written, want %d", b.conns[0].sent, c.sent)
			}
		})
	}
}
