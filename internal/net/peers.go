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

// Peers carries datagrams between the proxies of a tier. netpoll does not support datagrams, so a separate goroutine
// reads the socket and posts messages to the loop. It implements state.PeerSender.
type Peers struct {
	loop      *Loop
	engine    *state.Engine
	conn      *stdnet.UDPConn
	known     map[netip.AddrPort]bool // addresses whose messages are accepted
	broadcast netip.AddrPort

	queued  atomic.Int32 // datagrams that the loop has not handled yet
	dropped atomic.Uint64
}

const (
	reusePort         = 15                    // SO_REUSEPORT, which package syscall does not define here
	maxQueuedMessages = 1024                  // beyond these, datagrams are dropped, which can happen to any datagram: a flood must not fill the memory
	peerErrorPause    = 10 * time.Millisecond // after an error, so that a socket that keeps failing does not occupy a core
)

// ErrPeerAddress is returned for a configured address that cannot be parsed.
var ErrPeerAddress = errors.New("configuration: peers")

// ListenPeers listens on an address for messages of the given peers; messages are sent to all, an address that
// reaches every peer. Messages of other senders are counted and ignored.
func ListenPeers(loop *Loop, engine *state.Engine, address string, peers []string, all string) (*Peers, error) {
	p := &Peers{loop: loop, engine: engine, known: map[netip.AddrPort]bool{}}
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("%w: peer_listen: %w", ErrPeerAddress, err)
	}
	if p.broadcast, err = netip.ParseAddrPort(all); err != nil {
		return nil, fmt.Errorf("%w: peers_all: %w", ErrPeerAddress, err)
	}
	for _, text := range peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("%w: peers: %w", ErrPeerAddress, err)
		}
		p.known[peer] = true
	}
	// During an upgrade the new process listens beside the old one, and each receives a part of the messages.
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

// Address returns the address that it listens on.
func (p *Peers) Address() string { return p.conn.LocalAddr().String() }

// Close stops listening.
func (p *Peers) Close() { p.conn.Close() }

// Broadcast implements state.PeerSender. Messages that cannot be sent are lost, as any datagram may be.
func (p *Peers) Broadcast(message []byte) {
	p.conn.WriteToUDPAddrPort(message, p.broadcast)
}

func (p *Peers) read() {
	buf := make([]byte, peers.MaxMessage+1) // one byte more, so that a message that is too long is detected
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, stdnet.ErrClosed) {
				return
			}
			time.Sleep(peerErrorPause) // an error about one datagram, such as a refusal by the receiving machine
			continue
		}
		if p.queued.Load() >= maxQueuedMessages {
			p.dropped.Add(1)
			continue
		}
		known := p.known[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		message := append([]byte(nil), buf[:n]...)
		p.queued.Add(1)
		p.loop.Post(func() {
			p.queued.Add(-1)
			if !known {
				p.engine.Counters.PeerInvalid++
				return
			}
			if err := p.engine.ReceivePeerMessage(message); err != nil && p.engine.Counters.PeerInvalid == 1 {
				slog.Warn("a peer's message can't be read", "from", from.String(), "error", err)
			}
		})
	}
}
