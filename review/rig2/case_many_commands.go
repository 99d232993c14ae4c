package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

func init() { cases["many-commands"] = playManyCommands }

const (
	manyCommands  = 20
	fewCommands   = 4 // under way without the disruption
	manyRounds    = 3
	largestValue  = 64 << 10 // bytes of a value, at most
	commandsLimit = 3000     // ms that a client of kayit-yaz waits

	// What has arrived at the proxy's machine so long before the end of the connection is not crossed by its close.
	arrivedBefore = 50 * time.Millisecond
)

// playManyCommands has a client send twenty writes with the largest values at once. The databases have no trouble.
func playManyCommands(r *rig) error {
	databases, d, err := r.group(3, 85*time.Millisecond)
	if err != nil {
		return err
	}
	p, err := newProxy("n0", r.dir, d, kereste(1), r.recorder)
	if err != nil {
		return err
	}
	if err := r.startProxy(p); err != nil {
		return err
	}
	time.Sleep(time.Second)
	window := manyCommands
	if !r.trouble {
		window = fewCommands
	}
	value, lost := strings.Repeat("9f", largestValue), 0
	for round := range manyRounds {
		c, err := dialClient(p.listen)
		if err != nil {
			return err
		}
		counts := map[string]int{}
		for sent := 0; sent < manyCommands; sent += window {
			var commands []byte
			for range window {
				id := newID()
				commands = append(commands, queryMessage(fmt.Sprintf(
					"INSERT INTO state (uid, val) VALUES ('%016x', '\\x%s') RETURNING val /* id=%s,c=kayit-yaz,d=%d,k=%s,cluster=0 */",
					lastID.Load(), value, id, commandsLimit, id))...)
				r.logf("client sends id=%s", id)
			}
			arrived := make(chan time.Time, 1)
			go func() {
				_, err := c.conn.Write(commands)
				at := acknowledged(c.conn)
				r.logf("client has written %d bytes, error %v; the proxy's machine has them all: %v", len(commands), err, !at.IsZero())
				arrived <- at
			}()
			var ended time.Time
			unanswered := 0
			for range window {
				c.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
				a, err := readAnswer(c.reader)
				r.logf("client: the next answer: value %q, code %q, error %v", a.value, a.code, err)
				switch {
				case err != nil:
					if unanswered++; ended.IsZero() {
						ended = time.Now()
					}
				case a.code == "":
					counts["served"]++
				default:
					counts["code "+a.code]++
				}
			}
			at := <-arrived
			switch {
			case unanswered == 0:
			case at.IsZero() || ended.Sub(at) < arrivedBefore:
				counts["no answer, crossed by the close"] += unanswered
			default:
				counts["no answer"] += unanswered
				r.logf("the connection ended %v after the last byte had arrived", ended.Sub(at).Round(time.Millisecond))
			}
		}
		c.conn.Close()
		lost += counts["no answer"]
		r.sayf("round %d, %d writes, %d at once: %v", round, manyCommands, window, counts)
		time.Sleep(500 * time.Millisecond)
	}
	r.sayf("the primary got %d writes", len(databases[0].statements()))
	if lost > 0 {
		return errBroken(fmt.Sprintf("%d of %d writes got no answer; the proxy closed the connections", lost, manyRounds*manyCommands))
	}
	return nil
}

// acknowledged waits until the peer's machine has all that was written to a connection, for 2 s at most, and returns
// when; the zero time means that it does not.
func acknowledged(conn net.Conn) (at time.Time) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return at
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		queued, failed := int32(-1), syscall.Errno(0)
		if raw.Control(func(fd uintptr) {
			_, _, failed = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&queued)))
		}) != nil || failed != 0 {
			return at
		}
		if queued == 0 {
			return time.Now()
		}
	}
	return at
}
