package main

import (
	"fmt"
	"time"
)

func init() { cases["broken-value"] = playBrokenValue }

const (
	brokenValueBytes = 1 << 20
	brokenPiece      = 8 << 10
	brokenPause      = 12 * time.Millisecond  // between two pieces
	brokenAfter      = 5                      // pieces, after which the database's connection is reset
	writeWork        = 110 * time.Millisecond // of kayit-yaz at the site, at most
	brokenRounds     = 5
)

// resetter is a connection that can be closed by a reset.
type resetter interface{ SetLinger(seconds int) error }

// playBrokenValue has a client send a write and a read at once. The primary answers the write; the replica that gives
// the read's long value resets its connection in the middle of it, while the write is under way.
func playBrokenValue(r *rig) error {
	databases, d, err := r.group(3, 20*time.Millisecond)
	if err != nil {
		return err
	}
	primary := databases[0]
	primary.setHandle(func(s *statement) bool {
		if !s.isWrite() {
			return false
		}
		time.Sleep(writeWork)
		r.logf("%s ran the write id=%s", primary.name, s.hints["id"])
		s.conn.Write(primary.row([]byte("value-of-"+s.hints["id"]), "INSERT 0 1"))
		return true
	})
	for _, replica := range databases[1:] {
		replica.setHandle(func(s *statement) bool {
			whole := replica.row(make([]byte, brokenValueBytes), "SELECT 1")
			for n := 0; len(whole) > 0; n++ {
				if r.trouble && n == brokenAfter {
					r.logf("%s resets the connection in the middle of the value of id=%s", replica.name, s.hints["id"])
					s.conn.(resetter).SetLinger(0)
					s.conn.Close()
					return true
				}
				piece := min(brokenPiece, len(whole))
				if _, err := s.conn.Write(whole[:piece]); err != nil {
					return true
				}
				whole = whole[piece:]
				time.Sleep(brokenPause)
			}
			return true
		})
	}
	p, err := newProxy("n0", r.dir, d, kereste(1), r.recorder)
	if err != nil {
		return err
	}
	if err := r.startProxy(p); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	lost := 0
	for range brokenRounds {
		c, err := dialClient(p.listen)
		if err != nil {
			return err
		}
		write, read := newID(), newID()
		c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		c.conn.Write(append(queryMessage(writeText(write, "kayit-yaz", 3000)), queryMessage(readText(read, "katalog", 800))...))
		r.logf("client sends the write id=%s and the read id=%s", write, read)
		a, err := readAnswer(c.reader)
		r.sayf("client: the write id=%s: code %q, error %v", write, a.code, err)
		if err != nil {
			lost++
		} else {
			a, err = readAnswer(c.reader)
			r.sayf("client: the read id=%s: %d bytes, code %q, error %v", read, len(a.value), a.code, err)
		}
		c.conn.Close()
		time.Sleep(500 * time.Millisecond)
	}
	ran := 0
	for _, s := range primary.statements() {
		if s.isWrite() {
			ran++
		}
	}
	if lost > 0 {
		return errBroken(fmt.Sprintf("%d of %d writes got no answer, and the primary had got %d of them; the proxy closed their connections", lost, brokenRounds, ran))
	}
	return nil
}
