package net

import (
	stdnet "net"
	"testing"
	"time"

	"havenproxy/internal/rollout"
	"havenproxy/internal/state"
	"havenproxy/internal/takeover"
	"havenproxy/internal/wire/tier"
)

// takeoverMember is the takeover transport of a proxy, on a loop that it shares with the others of its test.
type takeoverMember struct {
	*TakeoverTransport
	actions chan takeover.Action
}

func startTakeoverMembers(t *testing.T, n int) (loop *Loop, list []*takeoverMember, membership rollout.Membership) {
	deadlines := &state.Deadlines{}
	clock := state.NewClock()
	loop = NewLoop(clock, deadlines)
	go loop.Run()
	membership.Version = 1
	for i := range n {
		x := &takeoverMember{actions: make(chan takeover.Action, 64)}
		var err error
		if x.TakeoverTransport, err = ListenTakeover(loop, clock, deadlines, "127.0.0.1:0", takeover.Config{}, func(o takeover.Action) { x.actions <- o }); err != nil {
			t.Fatal(err)
		}
		list = append(list, x)
		membership.Members = append(membership.Members, rollout.MemberEntry{Member: rollout.Member(i + 1), Address: x.Address()})
	}
	t.Cleanup(func() {
		done := make(chan bool)
		loop.Post(func() {
			for _, x := range list {
				if !x.closed {
					x.Close()
				}
			}
			loop.Stop()
			close(done)
		})
		<-done
	})
	membership.ValidUntil = clock.Now() + time.Hour
	runOnLoop(loop, func() {
		for i, x := range list {
			x.SetMembership(rollout.Member(i+1), membership, 2500*time.Millisecond)
			x.Start()
		}
	})
	return loop, list, membership
}

func runOnLoop(loop *Loop, f func()) {
	done := make(chan bool)
	loop.Post(func() { f(); close(done) })
	<-done
}

// nextAction waits for an action for a client's request; if there is none, the test's own time limit ends it.
func nextAction(x *takeoverMember) takeover.Action {
	for {
		if o := <-x.actions; o.ID != 0 {
			return o
		}
	}
}

// The record of a write reaches the keepers over real links before the write may be sent; when its proxy is lost,
// exactly one other proxy takes it over, and a client that asks a third one gets the outcome.
func TestTakeoverOverLinks(t *testing.T) {
	loop, list, _ := startTakeoverMembers(t, 4)
	work := takeover.Work{Key: "k", Digest: 1, TimeLeft: time.Minute, Statement: make([]byte, 100<<10), Class: "kayit"}
	runOnLoop(loop, func() {
		list[0].Registry().Begin(list[0].clock.Now(), 7, work, takeover.Required)
		list[0].Flush()
	})
	if o := nextAction(list[0]); o.Kind != takeover.Send || o.ID != 7 {
		t.Fatalf("%+v", o)
	}
	runOnLoop(loop, func() {
		if !list[0].Registry().MaySend(list[0].clock.Now(), "k") {
			t.Error("the write may not be sent")
		}
		list[0].Flush()
		list[0].Close() // the proxy is lost; its links end
	})
	var owner *takeoverMember
	for owner == nil {
		for _, x := range list[1:] {
			select {
			case o := <-x.actions:
				if o.Kind != takeover.Send || o.TakenOver == nil || !o.TakenOver.MayHaveBeenSent || len(o.TakenOver.Statement) != 100<<10 {
					t.Fatalf("%+v", o)
				}
				owner = x
			default:
			}
		}
		time.Sleep(time.Millisecond)
	}
	runOnLoop(loop, func() {
		owner.Registry().Complete(owner.clock.Now(), "k", takeover.Result{Outcome: takeover.Served, Value: []byte("done")})
		owner.Flush()
	})
	for _, x := range list[1:] {
		runOnLoop(loop, func() {
			x.Registry().Begin(x.clock.Now(), 9, takeover.Work{Key: "k", Digest: 1, TimeLeft: time.Minute, IsRetry: true}, takeover.Required)
			x.Flush()
		})
		if o := nextAction(x); o.Kind != takeover.Answer || o.ID != 9 || string(o.Result.Value) != "done" {
			t.Errorf("%+v", o)
		}
	}
}

// Messages from non-members or to an earlier membership are rejected, and an invalid frame ends its link.
func TestOnlyMembersMessagesAreAccepted(t *testing.T) {
	loop, list, membership := startTakeoverMembers(t, 2)
	conn, err := stdnet.Dial("tcp", list[0].Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	send := func(from, to takeover.Member) {
		b, err := tier.Append(nil, &tier.Frame{Takeover: &tier.TakeoverMessages{From: from, To: to, Messages: []takeover.Message{{Kind: takeover.Query, Key: "k"}}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	waitFor := func(accepted, invalid uint64) {
		t.Helper()
		for {
			var c TakeoverCounters
			runOnLoop(loop, func() { c = list[0].Counters })
			if c.Received > accepted || c.Invalid > invalid {
				t.Fatalf("%+v, want %d received and %d invalid", c, accepted, invalid)
			}
			if c.Received == accepted && c.Invalid == invalid {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	send(2, 1)
	waitFor(1, 0)
	send(9, 1)
	waitFor(1, 1)
	send(2, 5)
	waitFor(1, 2)
	send(1, 1)
	waitFor(1, 3)
	membership.Version, membership.Members = 2, membership.Members[:1] // the other member has left
	runOnLoop(loop, func() { list[0].SetMembership(1, membership, 2*time.Second) })
	send(2, 1)
	waitFor(1, 4)
	conn.Write([]byte{0xff, 0xff, 0xff, 0xff, 1})
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("the link is still open")
	}
}

// Queues for links that cannot be made are bounded, and the registry learns that its keepers are unreachable: the
// class's durability setting applies at once.
func TestQueuesWithoutLinksAreBounded(t *testing.T) {
	loop, list, membership := startTakeoverMembers(t, 1)
	const dead = "127.0.0.1:1" // a reserved port on which nothing listens
	membership.Version, membership.Members = 2, append(membership.Members, rollout.MemberEntry{Member: 2, Address: dead}, rollout.MemberEntry{Member: 3, Address: dead})
	x := list[0]
	runOnLoop(loop, func() { x.SetMembership(1, membership, 2*time.Second) })
	begin := func(s takeover.Durability, keys ...string) {
		for _, key := range keys {
			x.Registry().Begin(x.clock.Now(), 1, takeover.Work{Key: key, Digest: 1, TimeLeft: time.Minute, Statement: make([]byte, 300<<10)}, s)
			x.Flush()
		}
	}
	runOnLoop(loop, func() {
		begin(takeover.Required, "a", "b", "c", "d", "e", "f")
		for m, l := range x.links {
			if l.queuedBytes > maxQueuedTakeoverBytes {
				t.Errorf("%d bytes are queued for member %d", l.queuedBytes, m)
			}
		}
		if x.Counters.Dropped == 0 {
			t.Error("nothing was dropped")
		}
	})
	for range 6 {
		if o := nextAction(x); o.Kind != takeover.FailUnknown { // a keeper has been asked: what it holds is unknown
			t.Errorf("%+v", o)
		}
	}
	runOnLoop(loop, func() { begin(takeover.Required, "g"); begin(takeover.Preferred, "h") }) // no link is up, which is known by now
	if o := nextAction(x); o.Kind != takeover.Reject {
		t.Errorf("%+v", o)
	}
	if o := nextAction(x); o.Kind != takeover.SendUnreplicated {
		t.Errorf("%+v", o)
	}
}

// Redial delays grow and differ between members, so that they do not all dial at once. They restart after a link that
// lasted: a peer that hangs accepts dials and reads nothing.
func TestRedialDelayGrows(t *testing.T) {
	l, other := &takeoverLink{transport: &TakeoverTransport{self: 1}, to: 2}, &takeoverLink{transport: &TakeoverTransport{self: 3}, to: 2}
	now := time.Hour
	first := l.redialDelay(now)
	if first > 150*time.Millisecond || first == other.redialDelay(now) {
		t.Errorf("%v for both", first)
	}
	for range 8 {
		l.connectedAt = now - 10*time.Millisecond // the link came up, and ended
		l.redialDelay(now)
	}
	if p := l.redialDelay(now); p < takeoverMaxRedialDelay/2 || p > takeoverMaxRedialDelay*3/2 {
		t.Errorf("%v", p)
	}
	l.connectedAt = now - takeoverMaxRedialDelay
	if p := l.redialDelay(now); p != first {
		t.Errorf("%v after a link that lasted, %v at first", p, first)
	}
}
