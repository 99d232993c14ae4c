package net

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	stdnet "net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
)

const (
	keepAliveInterval = time.Minute // after which the kernel probes a silent connection
	// maxAccepts is the number of connections accepted before the loop turns to other work.
	maxAccepts = 32
	// maxBacklog is the number of connections accepted at the end of a listener: as many as the kernel lets wait.
	maxBacklog = 4096
	// acceptPause is how long no connection is accepted after the machine had no resources for one; up to half of it is
	// added at random.
	acceptPause = 20 * time.Millisecond
)

// acceptor accepts connections on a listening socket, on the loop.
type acceptor struct {
	loop      *Loop
	deadlines *state.Deadlines
	fd        int
	id        uint64
	address   stdnet.Addr
	accept    func(*socket)
	inherited *os.File // set if other processes share the listening socket; it stays open for processes started later
	timer     state.Deadline
	rest      continuation // of accepting
	last      int          // connections that are still accepted; 0 = the listener is not being closed
	closed    bool
}

// listenOn opens a listening socket. accept is called on the loop for each connection; it owns the socket.
func listenOn(loop *Loop, network, address string, accept func(*socket)) (*acceptor, error) {
	config := stdnet.ListenConfig{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error { // buffers are set before it listens
		return raw.Control(func(fd uintptr) { setBuffers(int(fd)) })
	}}
	ln, err := config.Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	return newAcceptor(loop, ln, accept)
}

// inheritListener accepts on a socket that is already listening, and that other processes may share.
func inheritListener(loop *Loop, fd int, accept func(*socket)) (*acceptor, error) {
	file := os.NewFile(uintptr(fd), "clients")
	if file == nil {
		return nil, fmt.Errorf("invalid descriptor %d", fd)
	}
	ln, err := stdnet.FileListener(file) // on a descriptor of its own
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	a, err := newAcceptor(loop, ln, accept)
	if err == nil {
		a.inherited = file
	}
	return a, err
}

// newAcceptor takes a listener over: it accepts on a duplicate of its descriptor and closes the listener itself.
func newAcceptor(loop *Loop, ln stdnet.Listener, accept func(*socket)) (*acceptor, error) {
	defer ln.Close()
	tcp, ok := ln.(*stdnet.TCPListener)
	if !ok {
		return nil, fmt.Errorf("%v is no TCP address", ln.Addr())
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	a := &acceptor{loop: loop, deadlines: loop.deadlines, address: ln.Addr(), accept: accept}
	if controlErr := raw.Control(func(fd uintptr) { a.fd, err = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0) }); controlErr != nil {
		return nil, controlErr
	}
	if err != nil {
		return nil, err
	}
	if err := setListenerOptions(a.fd); err != nil {
		unix.Close(a.fd)
		return nil, err
	}
	if a.id, err = loop.readPoller.register(a.fd, unix.EPOLLIN|unix.EPOLLET, a); err != nil {
		unix.Close(a.fd)
		return nil, err
	}
	return a, nil
}

// setListenerOptions sets the options of a listening socket. Accepted connections inherit them, which saves system calls for each.
func setListenerOptions(fd int) error {
	setBuffers(fd)
	return setClientOptions(fd)
}

// setBuffers sets the sizes of the kernel's buffers; accepted connections inherit them.
func setBuffers(fd int) {
	syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
	syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
}

// handleEvents implements eventHandler.
func (a *acceptor) handleEvents(uint32, time.Duration) { a.rest.post(a.loop, a.acceptSome) }

// acceptSome accepts connections that wait, for limit.AcceptTime at most, and goes on behind other work if there are more.
func (a *acceptor) acceptSome() {
	until := a.loop.clock.Now() + limit.AcceptTime
	for range maxAccepts {
		if !a.acceptOne() {
			if a.last > 0 {
				a.closeNow()
			}
			return
		}
		if a.last > 0 {
			a.last--
			if a.last == 0 {
				a.closeNow()
				return
			}
		}
		if a.loop.clock.Now() >= until {
			break
		}
	}
	a.rest.post(a.loop, a.acceptSome)
}

// acceptOne accepts a connection. It returns false if there is none to accept now.
func (a *acceptor) acceptOne() bool {
	if a.closed {
		return false
	}
	fd, remote, err := unix.Accept4(a.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch err {
	case nil:
		a.accept(newSocket(a.loop, a.loop.readPoller, fd, addressText(remote)))
		return true
	case unix.EAGAIN:
		return false
	case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
		pause := acceptPause + rand.N(acceptPause/2)
		a.deadlines.Set(&a.timer, a.loop.clock.Now()+pause, a.acceptSome)
		slog.Debug("accepting paused", "error", err, "pause", pause)
		return false
	case unix.EBADF, unix.EINVAL, unix.ENOTSOCK, unix.EOPNOTSUPP, unix.EFAULT:
		slog.Error("listener ended", "address", a.address, "error", err)
		return false
	}
	return true // one connection's error (ECONNABORTED and others), or EINTR
}

// close stops accepting. Connections that wait are accepted before, in turns, because their clients may have sent requests. A socket that
// other processes share is closed at once, and keeps listening for them.
func (a *acceptor) close() {
	switch {
	case a.closed || a.last > 0:
	case a.inherited != nil:
		a.closeNow()
	default:
		a.last = maxBacklog
		a.acceptSome()
	}
}

// closing reports whether connections that wait are still being accepted.
func (a *acceptor) closing() bool { return a.last > 0 && !a.closed }

// closeNow closes the listening socket.
func (a *acceptor) closeNow() {
	if a.closed {
		return
	}
	a.closed = true
	a.deadlines.Clear(&a.timer)
	a.loop.readPoller.remove(a.fd, a.id)
	unix.Close(a.fd)
}
