package net

import (
	"context"
	"log/slog"
	stdnet "net"
	"sync/atomic"
	"syscall"

	"github.com/cloudwego/netpoll"
)

// inputHandler handles the input of an accepted connection.
type inputHandler interface{ handleInput() }

// serveListener makes netpoll accept connections on ln, those of the tier's other members, and passes each to accept, on
// the loop.
func serveListener(ln stdnet.Listener, maxOpen int64, open *atomic.Int64, accept netpoll.OnConnect) (*listener, error) {
	converted, err := netpoll.ConvertListener(ln)
	if err != nil {
		return nil, err
	}
	l := &listener{Listener: converted, maxOpen: maxOpen, open: open}
	events, err := netpoll.NewEventLoop(
		func(ctx context.Context, _ netpoll.Connection) error {
			ctx.Value(clientKey{}).(inputHandler).handleInput()
			return nil
		},
		netpoll.WithOnPrepare(func(conn netpoll.Connection) context.Context {
			conn.AddCloseCallback(func(netpoll.Connection) error { open.Add(-1); return nil })
			return context.Background()
		}),
		netpoll.WithOnConnect(accept),
		netpoll.WithIdleTimeout(keepAliveInterval))
	if err != nil {
		return nil, err
	}
	go func() { // Serve blocks until the listener ends
		if err := events.Serve(l); err != nil && !l.closing.Load() {
			slog.Error("listener ended", "error", err)
		}
	}()
	return l, nil
}

// listener ends without closing its descriptor. netpoll's own Close closes the descriptor number twice, and Serve,
// which runs outside the loop, may register it only after that: in both cases the number may by then belong to
// another connection or listener, which would be closed, or whose connections a server that has ended would accept. A
// socket that is shut down refuses connections, and the poller drops it by itself.
type listener struct {
	netpoll.Listener
	closing atomic.Bool
	maxOpen int64         // limit of open connections
	open    *atomic.Int64 // of all listeners that share the limit
}

// Accept implements netpoll.Listener. The poller calls it once more when the socket has been shut down. It accepts
// ahead of the loop: connections beyond the limit are closed here.
func (l *listener) Accept() (stdnet.Conn, error) {
	if l.closing.Load() {
		return nil, nil
	}
	conn, err := l.Listener.Accept()
	if conn == nil || err != nil {
		return conn, err
	}
	if l.open.Add(1) > l.maxOpen {
		l.open.Add(-1)
		conn.Close()
		return nil, nil
	}
	return conn, nil
}

func (l *listener) shutdown() {
	l.closing.Store(true)
	syscall.Shutdown(l.Fd(), syscall.SHUT_RD)
}
