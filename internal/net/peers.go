package net

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	stdnet "net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/peers"
)

// Peers carries datagrams between the proxies of a tier. The loop reads and writes them itself, without waiting. It implements
// state.PeerSender.
type Peers struct {
	loop      *Loop
	engine    *state.Engine
	conn      *stdnet.UDPConn
	fd        int                     // of the socket, for the loop
	id        uint64                  // under which the poller knows it
	known     map[netip.AddrPort]bool // addresses whose messages are accepted
	broadcast unix.Sockaddr
	rest      continuation               // of receiving
	buffer    [peers.MaxMessage + 1]byte // one byte more, so that a message that is too long is detected
	closed    bool
}

// maxDatagrams is the number of datagrams that are received before the loop turns to other work.
const maxDatagrams = 64

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
	broadcast, err := netip.ParseAddrPort(all)
	if err != nil {
		return nil, fmt.Errorf("%w: peers_all: %w", ErrPeerAddress, err)
	}
	p.broadcast, _ = socketAddress(broadcast)
	for _, text := range peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("%w: peers: %w", ErrPeerAddress, err)
		}
		p.known[peer] = true
	}
	// During an upgrade the new process listens beside the old one, and each receives a part of the messages.
	lc := stdnet.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
	conn, err := lc.ListenPacket(context.Background(), "udp4", at.String())
	if err != nil {
		return nil, err
	}
	p.conn = conn.(*stdnet.UDPConn)
	if err := p.register(); err != nil {
		conn.Close()
		return nil, err
	}
	return p, nil
}

// register makes the loop receive what arrives, on a descriptor of its own.
func (p *Peers) register() error {
	raw, err := p.conn.SyscallConn()
	if err != nil {
		return err
	}
	if controlErr := raw.Control(func(fd uintptr) { p.fd, err = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0) }); controlErr != nil {
		return controlErr
	}
	if err != nil {
		return err
	}
	if p.id, err = p.loop.readPoller.register(p.fd, unix.EPOLLIN|unix.EPOLLET, p); err != nil {
		unix.Close(p.fd)
	}
	return err
}

// Address returns the address that it listens on.
func (p *Peers) Address() string { return p.conn.LocalAddr().String() }

// Close stops listening. It must be called on the loop.
func (p *Peers) Close() {
	if p.closed {
		return
	}
	p.closed = true
	p.loop.readPoller.remove(p.fd, p.id)
	unix.Close(p.fd)
	p.conn.Close()
}

// Broadcast implements state.PeerSender. Messages that cannot be sent at once are lost, as any datagram may be.
func (p *Peers) Broadcast(message []byte) {
	unix.Sendto(p.fd, message, unix.MSG_DONTWAIT, p.broadcast)
}

// handleEvents implements eventHandler.
func (p *Peers) handleEvents(uint32, time.Duration) {
	if !p.rest.posted {
		p.receive()
	}
}

// receive handles datagrams that have arrived, for limit.InputTime at most; the others follow behind other work. Beyond what the kernel keeps
// they are lost, as any datagram may be.
func (p *Peers) receive() {
	until := p.loop.clock.Now() + limit.InputTime
	for range maxDatagrams {
		if p.closed || !p.receiveOne() {
			return
		}
		if p.loop.clock.Now() >= until {
			break
		}
	}
	p.rest.post(p.loop, p.receive)
}

// receiveOne handles a datagram. It returns false if there is none.
func (p *Peers) receiveOne() bool {
	n, from, err := unix.Recvfrom(p.fd, p.buffer[:], unix.MSG_DONTWAIT)
	switch {
	case err == unix.EINTR, err == unix.ECONNREFUSED, err == unix.EHOSTUNREACH, err == unix.ENETUNREACH: // the latter tell of datagrams sent
		return true
	case err != nil: // EAGAIN: there is none; after others the next one is received when it has arrived
		return false
	case !p.known[addrPort(from)]:
		p.engine.Counters.PeerInvalid++
		return true
	}
	if err := p.engine.ReceivePeerMessage(p.buffer[:n]); err != nil && p.engine.Counters.PeerInvalid == 1 {
		slog.Warn("a peer's message can't be read", "from", addrPort(from).String(), "error", err)
	}
	return true
}

// addrPort converts an address from the kernel's form.
func addrPort(address unix.Sockaddr) netip.AddrPort {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return netip.AddrPort{}
}
