package state

import (
	"runtime"
	"testing"
	"time"

	"havenproxy/logic"
)

// A request may name any group. State for groups that are not listed must not be kept, or faulty clients could fill
// the memory.
func TestRequestsForUnlistedGroupsNotKept(t *testing.T) {
	e, err := New(Config{Logic: logic.Config{Tick: 1, Classes: []logic.Class{{Name: "any", Aim: 1e9, Limit: 1e9}}}}, NewClock(), nil)
	if err != nil {
		t.Fatal(err)
	}
	refused := &refusals{}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	for i := range 1_000_000 {
		if _, err := e.Submit(Request{Class: "any", Group: i + 1, Wait: 1e9, Caller: refused}); err != nil {
			t.Fatal(err)
		}
	}
	if after := heap(); after > before+1<<20 {
		t.Errorf("the requests hold %d bytes", after-before)
	}
	if refused.n != 1_000_000 || e.Pending() != 0 || len(e.router.Groups()) != 0 {
		t.Errorf("%d refused, %d pending, %d groups", refused.n, e.Pending(), len(e.router.Groups()))
	}
	runtime.KeepAlive(e)
}

type refusals struct{ n int }

func (r *refusals) Served([]byte)           {}
func (r *refusals) Refused(_ time.Duration) { r.n++ }
func (r *refusals) Failed()                 {}
func (r *refusals) BadRequest([]byte)       {}
