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

// A datagram counts if one of the tier has sent it, is readable, and no one else's does.
func TestOnlyPeersAreHeard(t *testing.T) {
	clock := state.NewClock()
	databases := &Databases{ConnectTimeout: patience}
	e, err := state.New(state.Config{Logic: settings, MaxConnections: 16, ConnectTimeout: patience}, clock, databases)
	if err != nil {
		t.Fatal(err)
	}
	loop := NewLoop(clock, &e.Deadlines)
	databases.Loop, databases.Counters = loop, &e.Counters
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
	p, err := ListenPeers(loop, e, "127.0.0.1:0", []string{friend.LocalAddr().String()}, friend.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	loop.Post(func() {
		e.Start(noWatch{}, state.List{Entries: []state.Entry{{Name: "one", Address: "127.0.0.1:1", State: logic.Ready}}})
	})
	message := wire.Append(nil, clock.Unix(), clock.Now(), []peers.Report{{Database: 1, Role: peers.Replica, At: clock.Now()}})
	count := func(from *stdnet.UDPConn, message []byte, heard, strange uint64) {
		t.Helper()
		from.WriteTo(message, p.conn.LocalAddr())
		for end := time.Now().Add(patience); ; {
			got := make(chan [2]uint64)
			loop.Post(func() { got <- [2]uint64{e.Counters.PeerReceived, e.Counters.PeerInvalid} })
			if x := <-got; x == [2]uint64{heard, strange} {
				return
			} else if time.Now().After(end) {
				t.Fatalf("heard and strange %v, want %d and %d", x, heard, strange)
			}
		}
	}
	count(friend, message, 1, 0)
	count(stranger, message, 1, 1)
	count(friend, message[:7], 1, 2)
	loop.Post(func() {
		e.SetPeerSender(p)
		e.SendToPeers([]peers.Report{{Database: 1, Role: peers.Replica, At: clock.Now()}})
	})
	buf := make([]byte, 512)
	friend.SetReadDeadline(time.Now().Add(patience))
	if n, err := friend.Read(buf); err != nil || n != len(message) {
		t.Fatal(n, err)
	}
}

func TestPeersThatCantBeUsedAreToldAtOnce(t *testing.T) {
	for _, x := range [][3]string{{"nowhere", "127.0.0.1:1", "127.0.0.1:1"}, {"127.0.0.1:0", "x", "127.0.0.1:1"}, {"127.0.0.1:0", "127.0.0.1:1", ""}} {
		if _, err := ListenPeers(nil, nil, x[0], []string{x[1]}, x[2]); !errors.Is(err, ErrPeerAddress) {
			t.Errorf("%q is taken", x)
		}
	}
}
