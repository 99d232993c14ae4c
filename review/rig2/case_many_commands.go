package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["many-commands"] = playManyCommands }

const (
	manyCommands  = 20
	fewCommands   = 4 // under way without the disruption
	manyRounds    = 3
	largestValue  = 64 << 10 // bytes of a value, at most
	commandsLimit = 3000     // ms that a client of kayit-yaz waits
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
			written := make(chan error, 1)
			go func() {
				_, err := c.conn.Write(commands)
				r.logf("client has written %d bytes, error %v", len(commands), err)
				written <- err
			}()
			for range window {
				c.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
				a, err := readAnswer(c.reader)
				r.logf("client: the next answer: value %q, code %q, error %v", a.value, a.code, err)
				switch {
				case err != nil:
					counts["no answer"]++
				case a.code == "":
					counts["served"]++
				default:
					counts["code "+a.code]++
				}
			}
			<-written
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
