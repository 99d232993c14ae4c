package state

import (
	"testing"
	"time"

	"havenproxy/logic"
)

// Guards against incident 38: a check for which no connection may be opened was taken for its database's silence. It says nothing of the
// database, and the router is told so.
func TestACheckWithoutRoomForItsConnectionIsNoSilence(t *testing.T) {
	b := newBench(t, 0)
	b.f.Probe(b.id("one"))
	if b.probe.Result != logic.NotSent || b.probe.Member != b.id("one") {
		t.Errorf("the router was told result %d, want %d", b.probe.Result, logic.NotSent)
	}
	if b.f.names["one"].silent {
		t.Error("the database counts as silent, and was never asked")
	}
}

// Guards against incident 38: an attempt for which no connection may be opened was told as a failure of its database.
func TestAnAttemptWithoutRoomForItsConnectionBlamesNobody(t *testing.T) {
	b := newBench(t, 0)
	b.take(&caller{})
	b.want("request", outcome(logic.NotSent, false))
}

// A dial that fails for want of something on this machine, such as a descriptor, is treated like one that was never made.
func TestAConnectionThatThisMachineCantOpenBlamesNobody(t *testing.T) {
	b := newBench(t, 9)
	b.f.Probe(b.id("one"))
	b.conns[0].to.NotOpened()
	if b.probe.Result != logic.NotSent || b.f.names["one"].silent || b.f.links != 0 {
		t.Errorf("a check: result %d, silent %v, %d connections counted", b.probe.Result, b.f.names["one"].silent, b.f.links)
	}
	b.told = nil
	b.take(&caller{})
	b.conns[1].to.NotOpened()
	b.want("request", outcome(logic.NotSent, false))
	if b.f.Counters.ConnectionsNotOpened != 2 {
		t.Errorf("%d connections are counted as without room, want 2", b.f.Counters.ConnectionsNotOpened)
	}
}

// Guards against incident 38: making room for a connection searched every database, for each check and attempt. It takes the connection that
// has been idle for longest, and not one that was used since.
func TestRoomIsMadeByTheConnectionThatIsIdleForLongest(t *testing.T) {
	b := newBench(t, 2)
	b.f.UpdateList(List{Kind: logic.ListDelta, Entries: []Entry{{Name: "three", Address: "a:3", State: logic.Ready}}})
	send := func(name string) {
		id, err := b.f.Submit(Request{Class: "any", Wait: time.Second, Command: command{}, Caller: &caller{}})
		if err != nil {
			t.Fatal(err)
		}
		b.f.Send(id, b.id(name), time.Second)
	}
	serve := func(c *conn) {
		b.pass(time.Millisecond)
		c.to.Reply(Reply{Result: logic.OK})
	}
	send("one")
	send("two")
	one, two := b.conns[0], b.conns[1]
	one.to.Up()
	two.to.Up()
	serve(one)
	serve(two)
	send("one")
	serve(one)
	send("three")
	if len(b.conns) != 3 || !two.closed || one.closed {
		t.Errorf("%d connections; closed: one %v, two %v; want the one that was idle for longest, two", len(b.conns), one.closed, two.closed)
	}
	send("two")
	if len(b.conns) != 4 || !one.closed {
		t.Errorf("%d connections; closed: one %v; it was the next", len(b.conns), one.closed)
	}
	send("one")
	if b.f.Counters.ConnectionsNotOpened != 1 {
		t.Error("room was found though no connection is idle")
	}
}

// Making room takes as long before thousands of databases as before a few: it allocates nothing and looks at one connection.
func BenchmarkMakeRoom(b *testing.B) {
	f, err := New(Config{Logic: logic.Config{Tick: 1, Classes: []logic.Class{{Name: "any", Aim: 1e9, Limit: 1e9}}}, MaxConnections: 1}, NewClock(), nil)
	if err != nil {
		b.Fatal(err)
	}
	for id := range 3200 {
		m := &member{id: logic.MemberID(id), links: map[*link]struct{}{}}
		f.members[m.id] = m
	}
	for b.Loop() {
		f.makeRoom()
	}
}
