package net

import (
	"context"
	"errors"
	stdnet "net"
	"slices"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// refusalCheckTimeout limits the second dial by which dialError tells why the first one failed.
const refusalCheckTimeout = 100 * time.Millisecond

// localShortages are the errors of socket and connect that are caused by a shortage on this machine, not by the peer
// or the network.
var localShortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// isLocalShortage reports whether a dial failed for lack of a resource on this machine.
func isLocalShortage(err error) bool {
	return slices.ContainsFunc(localShortages, func(shortage error) bool { return errors.Is(err, shortage) })
}

// connect dials outside the loop and passes the result to callback on the loop. netpoll reads the connection.
func connect(loop *Loop, address string, timeout time.Duration, callback func(netpoll.Connection, error)) {
	go func() {
		conn, err := netpoll.DialConnection("tcp", address, timeout)
		if errors.Is(err, netpoll.ErrConnClosed) {
			err = dialError(address, err)
		}
		if err == nil {
			if c, ok := conn.(netpoll.Conn); ok {
				setBuffers(c.Fd())
			}
		}
		loop.Post(func() { callback(conn, err) })
	}()
}

// dialError finds out why a dial failed at once: netpoll returns the same error for a refused connection, where no
// process listens, as for any other that the peer closed. A second dial with the standard library tells them apart;
// it runs outside the loop, and only after a failure.
func dialError(address string, err error) error {
	conn, retryErr := stdnet.DialTimeout("tcp", address, refusalCheckTimeout)
	if retryErr == nil {
		conn.Close()
		return err
	}
	if errors.Is(retryErr, syscall.ECONNREFUSED) {
		return retryErr
	}
	return err
}

// attachCallbacks makes the loop run onInput for input on a connection that connect has made, and onClose when it ends.
func attachCallbacks(loop *Loop, conn netpoll.Connection, onInput, onClose func()) {
	conn.AddCloseCallback(func(netpoll.Connection) error {
		loop.Post(onClose)
		return nil
	})
	conn.SetOnRequest(func(context.Context, netpoll.Connection) error {
		onInput()
		return nil
	})
	if !conn.IsActive() { // it ended before the callbacks were set
		conn.Close()
	}
}
