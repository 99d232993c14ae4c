package state

import (
	"fmt"
	"testing"
	"time"

	"havenproxy/logic"
)

// TestUsedConnectionWaitsForSync guards against a request or a probe on a connection on which more of the last answer may still come.
func TestUsedConnectionWaitsForSync(t *testing.T) {
	for _, ending := range []string{"synced", "ended", "extra data", "another answer", "silent", "leftover"} {
		t.Run(ending, func(t *testing.T) {
			h, first, second := newHarness(t, 9), &caller{}, &caller{}
			h.submitAndSend(first)
			used := h.conns[0]
			used.listener.Up()
			used.holdsSync = true
			used.listener.Reply(Reply{Result: logic.OK, Body: []byte("1")})
			h.submitAndSend(second)
			if used.syncs != 1 || used.sent != 1 || len(h.conns) != 1 {
				t.Fatalf("%d syncs, %d requests, %d connections before the answer to the sync", used.syncs, used.sent, len(h.conns))
			}
			h.calls = nil
			switch ending {
			case "synced":
				used.listener.Synced()
				if used.sent != 2 || len(h.conns) != 1 {
					t.Errorf("%d requests, %d connections", used.sent, len(h.conns))
				}
				return
			case "ended":
				used.listener.Down()
			case "extra data":
				used.listener.ProtocolError()
			case "another answer":
				used.listener.Reply(Reply{Result: logic.OK, Body: []byte("1")})
			case "silent":
				h.now += h.e.cfg.ConnectTimeout
				h.e.Deadlines.Run(h.now)
			case "leftover": // received behind the answer to the sync
				used.dirty = true
				used.listener.Synced()
			}
			if !used.closed || used.sent != 1 || len(h.conns) != 2 {
				t.Fatalf("closed %v, %d requests, %d connections", used.closed, used.sent, len(h.conns))
			}
			h.wantCalls() // the member is not at fault
			h.conns[1].listener.Up()
			h.conns[1].listener.Reply(Reply{Result: logic.OK, Body: []byte("2")})
			second.wantAnswers(t, "served 2")
			if n := len(h.e.openConns); n != 1 {
				t.Errorf("%d connections are counted", n)
			}
		})
	}
}

// TestProbeWaitsForSync guards against the copy of a load report that is taken for the next one.
func TestProbeWaitsForSync(t *testing.T) {
	for _, synced := range []bool{true, false} {
		h := newHarness(t, 9)
		h.e.Probe(h.id("two"))
		c := h.conns[0]
		c.listener.Up()
		c.holdsSync = true
		c.listener.Reply(Reply{Result: logic.OK})
		h.calls = nil
		if h.e.Probe(h.id("two")); c.probes != 1 {
			t.Errorf("%d probes before the answer to the sync", c.probes)
		}
		if !synced {
			c.listener.ProtocolError()
			h.wantCalls(fmt.Sprintf("probed %d", logic.NotSent))
			continue
		}
		if c.listener.Synced(); c.probes != 2 {
			t.Errorf("%d probes", c.probes)
		}
	}
}

// TestSyncingConnectionOfDrainingMember guards against new work at a database that drains while a request waits for a connection to it.
func TestSyncingConnectionOfDrainingMember(t *testing.T) {
	for _, synced := range []bool{true, false} {
		h := newHarness(t, 9)
		h.submitAndSend(&caller{})
		c := h.conns[0]
		c.listener.Up()
		c.holdsSync = true
		c.listener.Reply(Reply{Result: logic.OK})
		h.submitAndSend(&caller{})
		h.e.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{{Name: "one", Address: "a:1", State: logic.Draining}}})
		h.calls = nil
		if synced {
			c.listener.Synced()
		} else {
			c.listener.Down()
		}
		h.wantCalls(outcomeCall(logic.NotSent, false))
		if c.sent != 1 || len(h.conns) != 1 || !c.closed {
			t.Errorf("%d requests, %d connections, closed %v", c.sent, len(h.conns), c.closed)
		}
	}
}

// TestSyncingConnectionsMakeRoom guards against connections that nothing waits for and that can't be closed for others.
func TestSyncingConnectionsMakeRoom(t *testing.T) {
	h := newHarness(t, 1)
	h.submitAndSend(&caller{})
	c := h.conns[0]
	c.listener.Up()
	c.holdsSync = true
	c.listener.Reply(Reply{Result: logic.OK})
	id, err := h.e.Submit(Request{Class: "any", Wait: time.Second, Command: command{}, Caller: &caller{}})
	if err != nil {
		t.Fatal(err)
	}
	if h.e.Send(id, h.id("two"), 500*time.Millisecond); len(h.conns) != 2 || !c.closed {
		t.Errorf("%d connections, the first closed %v", len(h.conns), c.closed)
	}
}
