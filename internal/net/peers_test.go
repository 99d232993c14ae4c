package net

import (
	"errors"
	stdnet "net"
	"testing"
	"time"

	"havenproxy/internal/peers"
	"havenproxy/internal/state"
	wire "havenproxy/internal/wire/peers"
	"havenproxy/logic"
)

// Only valid datagrams from configured peers are accepted.
func TestOnlyPeerMessagesAreAccepted(t *testing.T) {
	clock := state.NewClock()
	databases := &Databases{ConnectTimeout: testTimeout}
	front, err := state.New(state.Config{Logic: settings, MaxConnections: 16, ConnectTimeout: testTimeout}, clock, databases)
	if err != nil {
		t.Fatal(err)
	}
	loop := NewLoop(clock, &front.Deadlines)
	databases.Loop, databases.Counters = loop, &front.Counters
	go loop.Run()
	defer loop.Post(loop.Stop)
	open := func() *stdnet.UDPConn {
		c, err := stdnet.ListenUDP("udp4", &stdnet.UDPAddr{IP: stdnet.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	friend, stranger := open(), open()
	p, err := ListenPeers(loop, front, "127.0.0.1:0", []string{friend.LocalAddr().String()}, friend.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Post(p.Close)
	loop.Post(func() {
		front.Start(nopWatcher{}, state.List{Entries: []state.Entry{{Name: "one", Address: "127.0.0.1:1", State: logic.Ready}}})
	})
	message := wire.Append(nil, clock.Unix(), clock.Now(), []peers.Report{{Database: 1, Role: peers.Replica, At: clock.Now()}})
	count := func(from *stdnet.UDPConn, message []byte, accepted, invalid uint64) {
		t.Helper()
		from.WriteTo(message, p.conn.LocalAddr())
		for end := time.Now().Add(testTimeout); ; {
			got := make(chan [2]uint64)
			loop.Post(func() { got <- [2]uint64{front.Counters.PeerReceived, front.Counters.PeerInvalid} })
			if x := <-got; x == [2]uint64{accepted, invalid} {
				return
			} else if time.Now().After(end) {
				t.Fatalf("received and invalid %v, want %d and %d", x, accepted, invalid)
			}
		}
	}
	count(friend, message, 1, 0)
	count(stranger, message, 1, 1)
	count(friend, message[:7], 1, 2)
	loop.Post(func() {
		front.SetPeerSender(p)
		front.SendToPeers([]peers.Report{{Database: 1, Role: peers.Replica, At: clock.Now()}})
	})
	buf := make([]byte, 512)
	friend.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := friend.Read(buf); err != nil || n != len(message) {
		t.Fatal(n, err)
	}
}

func TestInvalidPeerAddressesAreRejected(t *testing.T) {
	for _, x := range [][3]string{{"nowhere", "127.0.0.1:1", "127.0.0.1:1"}, {"127.0.0.1:0", "x", "127.0.0.1:1"}, {"127.0.0.1:0", "127.0.0.1:1", ""}} {
		if _, err := ListenPeers(nil, nil, x[0], []string{x[1]}, x[2]); !errors.Is(err, ErrPeerAddress) {
			t.Errorf("%q was accepted", x)
		}
	}
}

// TestBusyLoopReceivesDatagrams guards against datagrams, such as news of a new primary, that wait for a goroutine while clients keep the only
// processor busy, and against a flood of them that is handled in one turn.
func TestBusyLoopReceivesDatagrams(t *testing.T) {
	const flood = 3 * maxDatagrams        // the kernel keeps some 250
	clock := &manualClock{now: time.Hour} // a turn ends by its count
	databases := &Databases{ConnectTimeout: testTimeout}
	engine, err := state.New(state.Config{Logic: settings, MaxConnections: 16, ConnectTimeout: testTimeout}, clock, databases)
	if err != nil {
		t.Fatal(err)
	}
	loop := NewLoop(clock, &engine.Deadlines)
	p, err := ListenPeers(loop, engine, "127.0.0.1:0", nil, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	sender, err := stdnet.Dial("udp4", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	for range flood {
		if _, err := sender.Write([]byte("not a message")); err != nil {
			t.Fatal(err)
		}
	}
	invalid := &engine.Counters.PeerInvalid
	last, begun := uint64(0), 0
	busyLoop(t, loop, func(round int) bool {
		if n := *invalid - last; n > 2*maxDatagrams { // in the round before and, posted later, in this one
			t.Errorf("%d datagrams were handled in a round", n)
		}
		if begun == 0 && *invalid > 0 {
			begun = round
		}
		last = *invalid
		return *invalid >= flood || round > 1000
	})
	if begun > maxRoundsUntilSeen+1 {
		t.Errorf("the first datagram was handled in round %d", begun)
	}
	if *invalid < flood {
		t.Errorf("%d of %d datagrams were handled", *invalid, flood)
	}
	p.Close()
}
