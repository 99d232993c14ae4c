package net

import (
	"errors"
	"io"
	stdnet "net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// peerClosedEvents are the events by which the kernel reports that the peer has closed or reset a connection.
const peerClosedEvents = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR

// socketHandler handles the events of a socket. Its methods are called on the loop.
type socketHandler interface {
	// inputArrived is called once or more after bytes have arrived. They stay in the kernel until they are read.
	inputArrived(at time.Duration)
	// peerClosed is called when the peer has closed or reset the connection, also if bytes before that are unread.
	peerClosed()
}

// socket is a connection of a client, or to a database. Only its owner reads it, on the loop: what is not read stays in the kernel, whose
// receive window then stops the peer. All its methods run on the loop.
type socket struct {
	loop       *Loop
	poller     *eventPoller
	fd         int
	id         uint64 // under which the poller knows it; 0 = it does not
	descriptor *descriptor
	remote     string
	handler    socketHandler
	peerGone   bool // the peer has closed or reset the connection
	closed     bool
}

// newSocket returns the socket of a connection whose events poller tells.
func newSocket(loop *Loop, poller *eventPoller, fd int, remote string) *socket {
	return &socket{loop: loop, poller: poller, fd: fd, descriptor: &descriptor{fd: fd}, remote: remote}
}

// start makes the handler's methods be called from now on; bytes that are there already count as having just arrived.
func (s *socket) start(handler socketHandler) error {
	s.handler = handler
	id, err := s.poller.register(s.fd, unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLET, s)
	s.id = id
	return err
}

// handleEvents implements eventHandler.
func (s *socket) handleEvents(events uint32, at time.Duration) {
	switch {
	case s.closed:
	case events&peerClosedEvents != 0:
		s.peerGone = true
		s.handler.peerClosed()
	case events&unix.EPOLLIN != 0:
		s.handler.inputArrived(at)
	}
}

// active reports whether the connection is open on both sides, as far as the loop knows.
func (s *socket) active() bool { return !s.closed && !s.peerGone }

// gone asks the kernel whether the peer has closed or reset the connection, which may be later news than the loop's.
func (s *socket) gone() bool {
	if !s.active() {
		return true
	}
	events := []unix.PollFd{{Fd: int32(s.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(events, 0)
	return err == nil && n > 0
}

// unread returns the number of bytes that have arrived and have not been read.
func (s *socket) unread() int {
	if s.closed {
		return 0
	}
	n, err := unix.IoctlGetInt(s.fd, unix.TIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// noInput asks the kernel whether neither bytes nor the end of the connection have arrived.
func (s *socket) noInput() bool {
	if !s.active() {
		return false
	}
	_, _, err := syscall.Recvfrom(s.fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// read reads what has arrived into buf. It returns 0 if there is nothing, and an error, such as io.EOF, if the connection
// has ended.
func (s *socket) read(buf []byte) (int, error) {
	if s.closed {
		return 0, stdnet.ErrClosed
	}
	for {
		n, err := syscall.Read(s.fd, buf)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return 0, nil
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// discardUnread reads and drops what has arrived, limit bytes at most, and returns how many there were. more reports that
// there may be further ones.
func (s *socket) discardUnread(limit int) (discarded int, more bool) {
	for discarded < limit {
		n, err := s.read(s.loop.readBuffer[:])
		if n == 0 || err != nil {
			return discarded, false
		}
		discarded += n
	}
	return discarded, true
}

// shutdownWrite ends the sending side of the connection.
func (s *socket) shutdownWrite() {
	if !s.closed {
		syscall.Shutdown(s.fd, syscall.SHUT_WR)
	}
}

// close closes the descriptor. The kernel resets the connection if bytes are unread. It may be called more than once.
func (s *socket) close() {
	if s.closed {
		return
	}
	s.closed = true
	s.poller.forget(s.id)
	s.descriptor.close()
}

// setClientOptions sets the options of clients' connections: small writes go out at once, and a peer whose machine has
// vanished is noticed.
func setClientOptions(fd int) error {
	seconds := int(keepAliveInterval / time.Second)
	return errors.Join(
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1),
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, seconds),
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, seconds))
}

// addressText returns a peer's address as host and port.
func addressText(address unix.Sockaddr) string {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return (&stdnet.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()
	case *unix.SockaddrInet6:
		return (&stdnet.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()
	}
	return ""
}
