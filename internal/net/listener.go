package net

import (
	"context"
	"errors"
	"log/slog"
	stdnet "net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// inputHandler handles the input of an accepted connection.
type inputHandler interface{ handleInput() }

// serveListener makes netpoll accept connections on ln and passes each to accept, on the loop. inherited, if it is
// not nil, is a socket that other processes share: this process may stop accepting on it but must not shut it down.
func serveListener(ln stdnet.Listener, maxOpen int64, open *atomic.Int64, requestRoom func(), accept netpoll.OnConnect, inherited *inheritedSocket) (*listener, error) {
	converted, err := netpoll.ConvertListener(ln)
	if err != nil {
		return nil, err
	}
	l := &listener{Listener: converted, maxOpen: maxOpen, open: open, requestRoom: requestRoom, inherited: inherited}
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

// errListenerReleased makes netpoll drop a listener: netpoll recognizes a closed listener by "closed" in the error
// text.
var errListenerReleased = errors.New("listener closed: released to the other processes")

// listener ends without closing its descriptor. netpoll's own Close closes the descriptor number twice, and Serve,
// which runs outside the loop, may register it only after that: in both cases the number may by then belong to
// another connection or listener, which would be closed, or whose connections a server that has ended would accept. A
// socket that is shut down refuses connections, and the poller drops it by itself.
type listener struct {
	netpoll.Listener
	closing atomic.Bool
	maxOpen int64         // limit of open connections
	open    *atomic.Int64 // of all listeners that share the limit

	requestRoom     func() // asks the loop to close idle connections
	lastRoomRequest atomic.Int64
	inherited       *inheritedSocket // set if other processes share the socket
}

const roomRequestInterval = 2 // milliseconds: in a burst of hundreds of connections, not each asks the loop

// Accept implements netpoll.Listener. The poller calls it once more when the socket has been shut down. It accepts
// ahead of the loop: in a burst of hundreds, connections beyond the descriptor limit are closed here.
func (l *listener) Accept() (stdnet.Conn, error) {
	if l.closing.Load() {
		if l.inherited != nil {
			return nil, errListenerReleased
		}
		return nil, nil
	}
	conn, err := l.Listener.Accept()
	if conn == nil || err != nil {
		return conn, err
	}
	if l.open.Add(1) > l.maxOpen {
		l.open.Add(-1)
		conn.Close()
		if now := time.Now().UnixMilli(); now-l.lastRoomRequest.Swap(now) >= roomRequestInterval { // a connection closed here never reaches the loop, which would make room for it
			l.requestRoom()
		}
		return nil, nil
	}
	return conn, nil
}

func (l *listener) shutdown() {
	if l.closing.Store(true); l.inherited != nil {
		return // the socket keeps listening for the other processes
	}
	syscall.Shutdown(l.Fd(), syscall.SHUT_RD)
}
