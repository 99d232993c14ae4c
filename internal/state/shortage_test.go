package state

import (
	"testing"

	"havenproxy/logic"
)

// Guards against incident 38: a check for which no connection may be opened was taken for its database's silence. It says nothing of the
// database, and the router is told so.
func TestACheckWithoutRoomForItsConnectionIsNoSilence(t *testing.T) {
	b := newBench(t, 0)
	b.f.Probe(b.id("one"))
	if b.probe.Result != logic.Moot || b.probe.Member != b.id("one") {
		t.Errorf("the router was told result %d, want %d", b.probe.Result, logic.Moot)
	}
	if b.f.names["one"].silent {
		t.Error("the database counts as silent, and was never asked")
	}
}

// Guards against incident 38: an attempt for which no connection may be opened was told as a failure of its database.
func TestAnAttemptWithoutRoomForItsConnectionBlamesNobody(t *testing.T) {
	b := newBench(t, 0)
	b.take(&caller{})
	b.want("request", outcome(logic.Moot, false))
}

// A dial that fails for want of something on this machine, such as a descriptor, is treated like one that was never made.
func TestAConnectionThatThisMachineCantOpenBlamesNobody(t *testing.T) {
	b := newBench(t, 9)
	b.f.Probe(b.id("one"))
	b.conns[0].to.Unopened()
	if b.probe.Result != logic.Moot || b.f.names["one"].silent || b.f.links != 0 {
		t.Errorf("a check: result %d, silent %v, %d connections counted", b.probe.Result, b.f.names["one"].silent, b.f.links)
	}
	b.told = nil
	b.take(&caller{})
	b.conns[1].to.Unopened()
	b.want("request", outcome(logic.Moot, false))
	if b.f.Counters.NoRoom != 2 {
		t.Errorf("%d connections are counted as without room, want 2", b.f.Counters.NoRoom)
	}
}
