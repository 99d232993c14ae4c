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
	defer p.Close()
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
