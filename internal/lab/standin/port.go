package standin

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// reservedPort is a port on loopback that is kept while its listener is closed, as a database's is while its process is down: connections are
// refused then, and no other program can take the port. A socket that is bound and never listens holds it; listeners share it by SO_REUSEPORT.
type reservedPort struct {
	descriptor int
	address    string
}

func reservePort() (*reservedPort, error) {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve a port: %w", err)
	}
	r := &reservedPort{descriptor: descriptor}
	if err := r.bind(); err != nil {
		r.release()
		return nil, fmt.Errorf("reserve a port: %w", err)
	}
	return r, nil
}

func (r *reservedPort) bind() error {
	if err := sharePort(r.descriptor); err != nil {
		return err
	}
	if err := unix.Bind(r.descriptor, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	name, err := unix.Getsockname(r.descriptor)
	if err != nil {
		return err
	}
	r.address = fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	return nil
}

func sharePort(descriptor int) error {
	return unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
}

// listen opens a listener on the port.
func (r *reservedPort) listen() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var shared error
		if err := raw.Control(func(descriptor uintptr) { shared = sharePort(int(descriptor)) }); err != nil {
			return err
		}
		return shared
	}}
	return config.Listen(context.Background(), "tcp4", r.address)
}

// release gives the port up.
func (r *reservedPort) release() { unix.Close(r.descriptor) }
