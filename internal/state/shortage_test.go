package state

import (
	"testing"
	"time"

	"havenproxy/logic"
)

// Guards against incident 38: a health check for which no connection may be opened was taken for silence of its
// database. It says nothing about the database, and the router must be told so.
func TestCheckWithoutConnectionIsNotSilence(t *testing.T) {
	h := newHarness(t, 0)
	h.e.Probe(h.id("one"))
	if h.probe.Result != logic.NotSent || h.probe.Member != h.id("one") {
		t.Errorf("the router was told result %d, want %d", h.probe.Result, logic.NotSent)
	}
	if h.e.membersByName["one"].silent {
		t.Error("the database counts as silent, but was never probed")
	}
}

// Guards against incident 38: an attempt for which no connection may be opened was reported as a failure of its
// database.
func TestAttemptWithoutConnectionIsNotFailure(t *testing.T) {
	h := newHarness(t, 0)
	h.submitAndSend(&caller{})
	h.wantCalls("request", outcomeCall(logic.NotSent, false))
}

// A dial that fails because of a local error, such as a lack of descriptors, is treated like one that was never made.
func TestLocalDialErrorIsNotFailure(t *testing.T) {
	h := newHarness(t, 9)
	h.e.Probe(h.id("one"))
	h.conns[0].listener.NotOpened()
	if h.probe.Result != logic.NotSent || h.e.membersByName["one"].silent || len(h.e.openConns) != 0 {
		t.Errorf("a check: result %d, silent %v, %d connections counted", h.probe.Result, h.e.membersByName["one"].silent, len(h.e.openConns))
	}
	h.calls = nil
	h.submitAndSend(&caller{})
	h.conns[1].listener.NotOpened()
	h.wantCalls("request", outcomeCall(logic.NotSent, false))
	if h.e.Counters.ConnectionsNotOpened != 2 {
		t.Errorf("%d connections are counted as not opened, want 2", h.e.Counters.ConnectionsNotOpened)
	}
}

// Guards against incident 38: finding a connection to evict searched all databases, for each check and attempt. The
// connection that has been idle for the longest time is evicted, not one that was used since.
func TestLongestIdleConnectionEvicted(t *testing.T) {
	h := newHarness(t, 2)
	h.e.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{{Name: "three", Address: "a:3", State: logic.Ready}}})
	send := func(name string) {
		id, err := h.e.Submit(Request{Class: "any", Wait: time.Second, Command: command{}, Caller: &caller{}})
		if err != nil {
			t.Fatal(err)
		}
		h.e.Send(id, h.id(name), time.Second)
	}
	serve := func(c *conn) {
		h.advance(time.Millisecond)
		c.listener.Reply(Reply{Result: logic.OK})
	}
	send("one")
	send("two")
	one, two := h.conns[0], h.conns[1]
	one.listener.Up()
	two.listener.Up()
	serve(one)
	serve(two)
	send("one")
	serve(one)
	send("three")
	if len(h.conns) != 3 || !two.closed || one.closed {
		t.Errorf("%d connections; closed: one %v, two %v; want only two, which was idle for longest", len(h.conns), one.closed, two.closed)
	}
	send("two")
	if len(h.conns) != 4 || !one.closed {
		t.Errorf("%d connections; closed: one %v; want it to be the next", len(h.conns), one.closed)
	}
	send("one")
	if h.e.Counters.ConnectionsNotOpened != 1 {
		t.Error("a connection was evicted though none was idle")
	}
}

// BenchmarkEvictConn shows that finding a connection to evict takes the same time for thousands of databases as for a
// few: it allocates nothing and examines one connection.
func BenchmarkEvictConn(b *testing.B) {
	f, err := New(Config{Logic: logic.Config{Tick: 1, Classes: []logic.Class{{Name: "any", Aim: 1e9, Limit: 1e9}}}, MaxConnections: 1}, NewClock(), nil)
	if err != nil {
		b.Fatal(err)
	}
	for id := range 3200 {
		m := &member{id: logic.MemberID(id), conns: map[*pooledConn]struct{}{}}
		f.members[m.id] = m
	}
	for b.Loop() {
		f.evictConn()
	}
}
