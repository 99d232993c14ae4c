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

// worker is a proxy's part in work in hand, on a loop that it shares with the others of its test.
type worker struct {
	*TakeoverTransport
	orders chan takeover.Action
}

func workers(t *testing.T, n int) (loop *Loop, list []*worker, seats rollout.Membership) {
	deadlines := &state.Deadlines{}
	clock := state.NewClock()
	loop = NewLoop(clock, deadlines)
	go loop.Run()
	seats.Version = 1
	for i := range n {
		x := &worker{orders: make(chan takeover.Action, 64)}
		var err error
		if x.TakeoverTransport, err = ListenTakeover(loop, clock, deadlines, "127.0.0.1:0", takeover.Config{}, func(o takeover.Action) { x.orders <- o }); err != nil {
			t.Fatal(err)
		}
		list = append(list, x)
		seats.Members = append(seats.Members, rollout.MemberEntry{Member: rollout.Member(i + 1), Address: x.Address()})
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
	seats.ValidUntil = clock.Now() + time.Hour
	on(loop, func() {
		for i, x := range list {
			x.SetMembership(rollout.Member(i+1), seats, 2500*time.Millisecond)
			x.Start()
		}
	})
	return loop, list, seats
}

func on(loop *Loop, f func()) {
	done := make(chan bool)
	loop.Post(func() { f(); close(done) })
	<-done
}

// next waits for an order for a client's request; where none comes, the test's own time runs out.
func next(x *worker) takeover.Action {
	for {
		if o := <-x.orders; o.ID != 0 {
			return o
		}
	}
}

// A write's record goes to the keepers over real links before it may be sent; when its proxy is lost, another has it, once, and a client that asks a third
// gets the outcome.
func TestWorkIsTakenOverOverLinks(t *testing.T) {
	loop, list, _ := workers(t, 4)
	work := takeover.Work{Key: "k", Digest: 1, TimeLeft: time.Minute, Statement: make([]byte, 100<<10), Class: "kayit"}
	on(loop, func() {
		list[0].Registry().Begin(list[0].clock.Now(), 7, work, takeover.Required)
		list[0].Flush()
	})
	if o := next(list[0]); o.Kind != takeover.Send || o.ID != 7 {
		t.Fatalf("%+v", o)
	}
	on(loop, func() {
		if !list[0].Registry().MaySend(list[0].clock.Now(), "k") {
			t.Error("it may not send")
		}
		list[0].Flush()
		list[0].Close() // it is lost; its links end
	})
	var owner *worker
	for owner == nil {
		for _, x := range list[1:] {
			select {
			case o := <-x.orders:
				if o.Kind != takeover.Send || o.TakenOver == nil || !o.TakenOver.MayHaveBeenSent || len(o.TakenOver.Statement) != 100<<10 {
					t.Fatalf("%+v", o)
				}
				owner = x
			default:
			}
		}
		time.Sleep(time.Millisecond)
	}
	on(loop, func() {
		owner.Registry().Complete(owner.clock.Now(), "k", takeover.Result{Outcome: takeover.Served, Value: []byte("done")})
		owner.Flush()
	})
	for _, x := range list[1:] {
		on(loop, func() {
			x.Registry().Begin(x.clock.Now(), 9, takeover.Work{Key: "k", Digest: 1, TimeLeft: time.Minute, IsRetry: true}, takeover.Required)
			x.Flush()
		})
		if o := next(x); o.Kind != takeover.Answer || o.ID != 9 || string(o.Result.Value) != "done" {
			t.Errorf("%+v", o)
		}
	}
}

// Who is no member, or speaks to an earlier membership, isn't heard, and a frame that can't be read ends its link.
func TestOnlyMembersAreHeardOfWork(t *testing.T) {
	loop, list, seats := workers(t, 2)
	conn, err := stdnet.Dial("tcp", list[0].Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	say := func(from, to takeover.Member) {
		b, err := tier.Append(nil, &tier.Frame{Work: &tier.Work{From: from, To: to, Messages: []takeover.Message{{Kind: takeover.Query, Key: "k"}}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	until := func(heard, strange uint64) {
		t.Helper()
		for {
			var c TakeoverCounters
			on(loop, func() { c = list[0].Counters })
			if c.Received > heard || c.Invalid > strange {
				t.Fatalf("%+v, %d heard and %d strange were expected", c, heard, strange)
			}
			if c.Received == heard && c.Invalid == strange {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	say(2, 1)
	until(1, 0)
	say(9, 1)
	until(1, 1)
	say(2, 5)
	until(1, 2)
	say(1, 1)
	until(1, 3)
	seats.Version, seats.Members = 2, seats.Members[:1] // the other has gone
	on(loop, func() { list[0].SetMembership(1, seats, 2*time.Second) })
	say(2, 1)
	until(1, 4)
	conn.Write([]byte{0xff, 0xff, 0xff, 0xff, 1})
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("the link lives on")
	}
}

// What waits for a link that can't be made is bounded, and the book hears that its keepers can't be reached: the class's say counts at once.
func TestWorkWithoutLinksIsBounded(t *testing.T) {
	loop, list, seats := workers(t, 1)
	const dead = "127.0.0.1:1" // a reserved port on which nothing listens
	seats.Version, seats.Members = 2, append(seats.Members, rollout.MemberEntry{Member: 2, Address: dead}, rollout.MemberEntry{Member: 3, Address: dead})
	x := list[0]
	on(loop, func() { x.SetMembership(1, seats, 2*time.Second) })
	begin := func(s takeover.Durability, keys ...string) {
		for _, key := range keys {
			x.Registry().Begin(x.clock.Now(), 1, takeover.Work{Key: key, Digest: 1, TimeLeft: time.Minute, Statement: make([]byte, 300<<10)}, s)
			x.Flush()
		}
	}
	on(loop, func() {
		begin(takeover.Required, "a", "b", "c", "d", "e", "f")
		for m, l := range x.links {
			if l.queuedBytes > maxQueuedTakeoverBytes {
				t.Errorf("%d bytes wait for %d", l.queuedBytes, m)
			}
		}
		if x.Counters.Dropped == 0 {
			t.Error("nothing was dropped")
		}
	})
	for range 6 {
		if o := next(x); o.Kind != takeover.FailUnknown { // a keeper has been asked: what it has can't be known
			t.Errorf("%+v", o)
		}
	}
	on(loop, func() { begin(takeover.Required, "g"); begin(takeover.Preferred, "h") }) // no link is up, which is known by now
	if o := next(x); o.Kind != takeover.Reject {
		t.Errorf("%+v", o)
	}
	if o := next(x); o.Kind != takeover.SendUnreplicated {
		t.Errorf("%+v", o)
	}
}

// Dials come less and less often, by who dials whom and so not of all at once, unless the link lived for a while: one that stands still takes dials and
// reads nothing.
func TestDialsOfWorkComeLessAndLessOften(t *testing.T) {
	l, other := &takeoverLink{transport: &TakeoverTransport{self: 1}, to: 2}, &takeoverLink{transport: &TakeoverTransport{self: 3}, to: 2}
	now := time.Hour
	first := l.redialDelay(now)
	if first > 150*time.Millisecond || first == other.redialDelay(now) {
		t.Errorf("%v for both", first)
	}
	for range 8 {
		l.connectedAt = now - 10*time.Millisecond // it came up, and ended
		l.redialDelay(now)
	}
	if p := l.redialDelay(now); p < takeoverMaxRedialDelay/2 || p > takeoverMaxRedialDelay*3/2 {
		t.Errorf("%v", p)
	}
	l.connectedAt = now - takeoverMaxRedialDelay
	if p := l.redialDelay(now); p != first {
		t.Errorf("%v behind a link that lived, %v at first", p, first)
	}
}
