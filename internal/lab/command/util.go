package command

import "net"

func splitAddress(address string) (host, port string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return address, ""
	}
	return host, port
}
