package net

import (
	"testing"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"havenproxy/internal/wire/pg"
)

// noDelay reports whether the kernel sends small writes at once.
func noDelay(t *testing.T, fd int) bool {
	t.Helper()
	on, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY)
	if err != nil {
		t.Fatal(err)
	}
	return on != 0
}

// Small writes are never delayed, on any connection: a reset would discard them.
func TestAllConnectionsUseNoDelay(t *testing.T) {
	address := databaseStub(t, echoQuery)
	s, _, loop := startProxy(t, address, 8, 1)
	p := dial(t, s)
	p.conn.Write(pg.AppendStartup(nil, "client", "core"))
	p.readTypes(len(welcome))
	client := onLoop(loop, func() (on bool) {
		for c := range s.clients {
			on = noDelay(t, c.socket.fd)
		}
		return on
	})
	if !client {
		t.Error("a client's connection delays small writes")
	}
	dialled := make(chan bool)
	connect(loop, address, testTimeout, func(conn netpoll.Connection, err error) {
		if err != nil {
			t.Error(err)
			dialled <- false
			return
		}
		dialled <- noDelay(t, conn.(netpoll.Conn).Fd())
		conn.Close()
	})
	if !<-dialled {
		t.Error("a connection to a database or to discovery delays small writes")
	}
}
