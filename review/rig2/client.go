package main

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// client is a client's connection to a proxy.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

const dialTimeout = time.Second

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReaderSize(conn, 64<<10)}
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = conn.Write(startupMessage()); err == nil {
		for {
			var m message
			if m, err = readMessage(c.reader, false); err != nil || m.kind == 'Z' {
				break
			}
			if m.kind == 'E' {
				err = errNoAnswer
				break
			}
		}
	}
	conn.SetDeadline(time.Time{})
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// ask sends a query and waits for its answer.
func (c *client) ask(text string) (answer, error) {
	c.conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	if _, err := c.conn.Write(queryMessage(text)); err != nil {
		return answer{}, err
	}
	return readAnswer(c.reader)
}

var lastID atomic.Uint64

// newID returns an id that no other request has.
func newID() string { return fmt.Sprintf("%016x", 0x9b1f000000000000+lastID.Add(1)) }

// readText returns a read of a class in group 0; wait in milliseconds.
func readText(id, class string, wait int) string {
	return fmt.Sprintf("SELECT val FROM state WHERE uid = '%016x' /* id=%s,c=%s,d=%d,cluster=0 */", lastID.Load()*0x9e3779b97f4a7c15, id, class, wait)
}

// writeText returns a write with a key in group 0.
func writeText(id, class string, wait int) string {
	return fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('%016x', '\\x9f03') RETURNING val /* id=%s,c=%s,d=%d,k=%s,cluster=0 */",
		lastID.Load()*0x9e3779b97f4a7c15, id, class, wait, id)
}
