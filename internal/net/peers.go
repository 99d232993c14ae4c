package net

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	stdnet "net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/peers"
)

// Peers carries datagrams between the proxies of a tier. netpoll serves no datagrams, so a goroutine of its own reads the socket and
// hands what came to the loop. It implements state.PeerSender.
type Peers struct {
	loop  *Loop
	front *state.Engine
	conn  *stdnet.UDPConn
	known map[netip.AddrPort]bool // whom to listen to
	all   netip.AddrPort

	waiting atomic.Int32 // datagrams that the loop has not yet looked at
	dropped atomic.Uint64
}

const (
	reusePort   = 15                    // SO_REUSEPORT, which package syscall doesn't name here
	mostWaiting = 1024                  // beyond these, datagrams are lost, as they may be anywhere: a flood must not fill the memory
	peerPause   = 10 * time.Millisecond // behind an error, so that a socket that fails all the time doesn't take the core
)

// ErrPeerAddress tells of addresses in the configuration that are none.
var ErrPeerAddress = errors.New("configuration: peers")

// ListenPeers begins to listen at an address, to the peers named; what is told goes to all, the address that stands for every one of
// them. Whoever else sends is counted and not heard.
func ListenPeers(loop *Loop, front *state.Engine, address string, peers []string, all string) (*Peers, error) {
	p := &Peers{loop: loop, front: front, known: map[netip.AddrPort]bool{}}
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("%w: peer_listen: %w", ErrPeerAddress, err)
	}
	if p.all, err = netip.ParseAddrPort(all); err != nil {
		return nil, fmt.Errorf("%w: peers_all: %w", ErrPeerAddress, err)
	}
	for _, text := range peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("%w: peers: %w", ErrPeerAddress, err)
		}
		p.known[peer] = true
	}
	// A new version of the program listens beside the one that it replaces: each hears a part.
	lc := stdnet.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1) })
	}}
	conn, err := lc.ListenPacket(context.Background(), "udp4", at.String())
	if err != nil {
		return nil, err
	}
	p.conn = conn.(*stdnet.UDPConn)
	go p.read()
	return p, nil
}

// Address is where it listens.
func (p *Peers) Address() string { return p.conn.LocalAddr().String() }

// Close ends it.
func (p *Peers) Close() { p.conn.Close() }

// SendToPeers implements state.PeerSender. What can't be sent is lost, as any datagram may be.
func (p *Peers) SendToPeers(message []byte) {
	p.conn.WriteToUDPAddrPort(message, p.all)
}

func (p *Peers) read() {
	buf := make([]byte, peers.MaxMessage+1) // a longer one shows, and is none of ours
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, stdnet.ErrClosed) {
				return
			}
			time.Sleep(peerPause) // of one datagram: a refusal by the machine that it was sent to, say
			continue
		}
		if p.waiting.Load() >= mostWaiting {
			p.dropped.Add(1)
			continue
		}
		known := p.known[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		message := append([]byte(nil), buf[:n]...)
		p.waiting.Add(1)
		p.loop.Post(func() {
			p.waiting.Add(-1)
			if !known {
				p.front.Counters.PeerInvalid++
				return
			}
			if err := p.front.ReceivePeerMessage(message); err != nil && p.front.Counters.PeerInvalid == 1 {
				slog.Warn("a peer's message can't be read", "from", from.String(), "error", err)
			}
		})
	}
}
