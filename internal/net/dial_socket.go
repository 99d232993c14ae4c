package net

import (
	"context"
	stdnet "net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"havenproxy/internal/state"
)

// dialSocket connects and passes the connection, which the loop reads itself, to callback, which the loop calls later. An address
// that is no IP address is looked up outside the loop.
func dialSocket(loop *Loop, address string, timeout time.Duration, callback func(*socket, error)) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		go resolveAndDial(loop, address, timeout, callback)
		return
	}
	d := &dialing{loop: loop, target: target, callback: callback}
	if err := d.start(timeout); err != nil {
		loop.Post(func() { d.end(err) })
	}
}

// resolveAndDial looks an address up before it is dialled.
func resolveAndDial(loop *Loop, address string, timeout time.Duration, callback func(*socket, error)) {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	target, err := resolve(ctx, address)
	loop.Post(func() {
		if err != nil {
			callback(nil, err)
			return
		}
		dialSocket(loop, target.String(), timeout, callback)
	})
}

func resolve(ctx context.Context, address string) (target netip.AddrPort, err error) {
	host, service, err := stdnet.SplitHostPort(address)
	if err != nil {
		return target, err
	}
	port, err := stdnet.DefaultResolver.LookupPort(ctx, "tcp", service)
	if err != nil {
		return target, err
	}
	addresses, err := stdnet.DefaultResolver.LookupNetIP(ctx, "ip", host)
	if err != nil {
		return target, err
	}
	return netip.AddrPortFrom(addresses[0].Unmap(), uint16(port)), nil
}

// dialing is a connection that is being established. The loop does that itself: a goroutine that waited for it would get a busy loop's only
// processor some milliseconds too late.
type dialing struct {
	loop     *Loop
	target   netip.AddrPort
	callback func(*socket, error)
	fd       int
	pollID   uint64 // under which the poller knows it; 0 = it does not
	timer    state.Deadline
	ended    bool
}

// start opens a socket and begins to connect. After an error, end is still to be called.
func (d *dialing) start(timeout time.Duration) error {
	address, family := socketAddress(d.target)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		d.fd = -1
		return err
	}
	d.fd = fd
	setBuffers(fd)
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1); err != nil {
		return err
	}
	switch err := unix.Connect(fd, address); err {
	case nil, unix.EINPROGRESS, unix.EINTR: // an interrupted attempt goes on
	default:
		return err
	}
	d.loop.deadlines.Set(&d.timer, d.loop.clock.Now()+timeout, func() { d.end(unix.ETIMEDOUT) })
	d.pollID, err = d.loop.databasePoller.register(fd, unix.EPOLLOUT|unix.EPOLLONESHOT, d)
	return err
}

// handleEvents implements eventHandler: the connection is established, or has failed.
func (d *dialing) handleEvents(uint32, time.Duration) {
	code, err := unix.GetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = syscall.Errno(code)
	}
	if err == nil && connectedToItself(d.fd) {
		err = unix.ECONNREFUSED
	}
	d.end(err)
}

// end passes the outcome on, once.
func (d *dialing) end(err error) {
	if d.ended {
		return
	}
	d.ended = true
	d.loop.deadlines.Clear(&d.timer)
	if d.pollID != 0 {
		d.loop.databasePoller.remove(d.fd, d.pollID)
	}
	if err != nil {
		if d.fd >= 0 {
			unix.Close(d.fd)
		}
		d.callback(nil, err)
		return
	}
	d.callback(newSocket(d.loop, d.loop.databasePoller, d.fd, d.target.String()), nil)
}

// connectedToItself reports whether a connection to a port of this machine on which nothing listens has got the same port as its own.
func connectedToItself(fd int) bool {
	local, err := unix.Getsockname(fd)
	if err != nil {
		return false
	}
	remote, err := unix.Getpeername(fd)
	return err == nil && addressText(local) == addressText(remote)
}

// socketAddress returns an address in the kernel's form, and its family.
func socketAddress(target netip.AddrPort) (address unix.Sockaddr, family int) {
	if ip := target.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(target.Port()), Addr: ip.As4()}, unix.AF_INET
	}
	return &unix.SockaddrInet6{Port: int(target.Port()), Addr: target.Addr().As16()}, unix.AF_INET6
}
