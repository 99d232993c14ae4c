package main

import (
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["long-value"] = playLongValue }

const (
	longValueBytes  = 1 << 20
	longValuePieces = 45
	longValueTime   = 4500 * time.Millisecond // from the first piece to the last
	restartAfter    = 300 * time.Millisecond  // SIGTERM behind the first byte
	killAfter       = 10 * time.Second        // SIGKILL behind SIGTERM; the pages allow it from 3.7 s on
)

// playLongValue restarts a proxy as planned while a database is giving a long value.
func playLongValue(r *rig) error {
	databases, d, err := r.group(3, 20*time.Millisecond)
	if err != nil {
		return err
	}
	for _, db := range databases {
		db.setHandle(func(s *statement) bool {
			value := make([]byte, longValueBytes)
			for i := range value {
				value[i] = byte(i * 7)
			}
			whole := db.row(value, "SELECT 1")
			piece := len(whole)/longValuePieces + 1
			for from := 0; from < len(whole); from += piece {
				if _, err := s.conn.Write(whole[from:min(from+piece, len(whole))]); err != nil {
					r.logf("%s: the connection ended after %d of %d bytes: %v", db.name, from, len(whole), err)
					return true
				}
				time.Sleep(longValueTime / longValuePieces)
			}
			r.logf("%s has written the whole answer", db.name)
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
	time.Sleep(time.Second)
	c, err := dialClient(p.listen)
	if err != nil {
		return err
	}
	defer c.conn.Close()
	id := newID()
	r.logf("client sends id=%s", id)
	if _, err := c.conn.Write(queryMessage(readText(id, "stok-bakis", 1200))); err != nil {
		return err
	}
	c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	r.logf("client has the first byte")
	var killed atomic.Bool
	if r.trouble {
		time.AfterFunc(restartAfter, func() {
			p.signal(syscall.SIGTERM)
			time.AfterFunc(killAfter, func() {
				if !p.ended() {
					killed.Store(true)
					p.signal(syscall.SIGKILL)
				}
			})
		})
	}
	a, err := readAnswer(c.reader)
	r.logf("client: %d bytes of value, code %q, error %v", len(a.value), a.code, err)
	time.Sleep(300 * time.Millisecond)
	switch {
	case killed.Load():
		r.sayf("SIGKILL came before the answer's end, which the pages excuse")
	case err != nil:
		r.sayf("the proxy had ended by itself: %v", p.ended())
		return errBroken("the value was cut off while the database was still giving it")
	case a.code == "" && len(a.value) != longValueBytes:
		return errBroken("the value is not the one that the database gave")
	}
	return nil
}
