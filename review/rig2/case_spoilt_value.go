package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["spoilt-value"] = playSpoiltValue }

const (
	spoiltShare   = 0.2    // of the long answers
	spoiltBytes   = 70_000 // of a long value
	spoiltClients = 12     // that ask one after the other
	spoiltPause   = 60 * time.Millisecond
	spoiltTime    = 25 * time.Second
	soundTime     = 12 * time.Second // without trouble, behind it
	outageTime    = 4 * time.Second  // at the end of soundTime, for which the record tells what is served
)

// spoiltTally counts how the clients' requests ended.
type spoiltTally struct {
	served, refused, failed, cut, recent, recentServed atomic.Int64

	mu     sync.Mutex
	closed []string // ids whose connection was closed with no byte of an answer
}

// playSpoiltValue has some long answers arrive spoilt: the row is whole, and noise stands behind it in place of the
// rest. Then the databases are sound again.
func playSpoiltValue(r *rig) error {
	databases, d, err := r.group(3, 30*time.Millisecond)
	if err != nil {
		return err
	}
	var troubled atomic.Bool
	var spoilt atomic.Int64
	troubled.Store(r.trouble)
	value := make([]byte, spoiltBytes)
	for _, db := range databases {
		db.setHandle(func(s *statement) bool {
			if s.hints["c"] != "katalog" {
				return false
			}
			time.Sleep(time.Duration(25+rand.IntN(18)) * time.Millisecond) // as the site's katalog
			if !troubled.Load() || rand.Float64() >= spoiltShare {
				s.conn.Write(db.row(value, "SELECT 1"))
				return true
			}
			noise := make([]byte, 400)
			for i := range noise {
				noise[i] = byte(128 + rand.IntN(128))
			}
			s.conn.Write(append(append(rowDescription(), dataRow(value)...), noise...))
			spoilt.Add(1)
			r.logf("%s wrote a spoilt answer to id=%s", db.name, s.hints["id"])
			return true // the connection remains open
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
	start := time.Now()
	end := start.Add(spoiltTime + soundTime)
	time.AfterFunc(spoiltTime, func() {
		troubled.Store(false)
		r.logf("the databases are sound again")
	})
	var tally spoiltTally
	var running sync.WaitGroup
	for range spoiltClients {
		running.Go(func() {
			for time.Now().Before(end) {
				r.askLong(p.listen, &tally, end.Add(-outageTime))
				time.Sleep(spoiltPause)
			}
		})
	}
	running.Wait()
	tried, got := 0, map[string]bool{}
	for _, db := range databases {
		for _, s := range db.statements() {
			got[s.hints["id"]] = true
			if s.at.After(end.Add(-outageTime)) {
				tried++
			}
		}
	}
	lost := 0
	for _, id := range tally.closed {
		if got[id] {
			lost++
		}
	}
	r.sayf("%d spoilt answers; %d requests served, %d refused, %d failed, %d cut in the middle of a value, %d whose connection was closed with no byte of an answer, %d of them sent on to a database",
		spoilt.Load(), tally.served.Load(), tally.refused.Load(), tally.failed.Load(), tally.cut.Load(), len(tally.closed), lost)
	r.sayf("in the last %v, with sound databases since %v: %d requests, %d served, %d attempts at databases",
		outageTime, soundTime-outageTime, tally.recent.Load(), tally.recentServed.Load(), tried)
	if lost > 0 {
		return errBroken(fmt.Sprintf("%d requests that were sent on to a database got no byte of an answer", lost))
	}
	return nil
}

// askLong opens a connection, asks for a short answer and then for a long one.
func (r *rig) askLong(address string, tally *spoiltTally, recentFrom time.Time) {
	c, err := dialClient(address)
	if err != nil {
		r.logf("client: %v", err)
		return
	}
	defer c.conn.Close()
	recent := time.Now().After(recentFrom)
	for _, class := range []string{"stok-bakis", "katalog"} {
		id := newID()
		c.conn.SetReadDeadline(time.Now().Add(15 * time.Second))
		c.conn.Write(queryMessage(readText(id, class, 800)))
		r.logf("client sends id=%s (%s)", id, class)
		_, firstErr := c.reader.Peek(1)
		a, err := readAnswer(c.reader)
		if firstErr == nil {
			r.logf("client: id=%s: %d bytes of value, code %q, error %v", id, len(a.value), a.code, err)
		}
		if recent {
			tally.recent.Add(1)
		}
		switch {
		case firstErr != nil:
			tally.mu.Lock()
			tally.closed = append(tally.closed, id)
			tally.mu.Unlock()
			r.logf("client: id=%s (%s): the connection was closed with no byte of an answer", id, class)
			return
		case err != nil: // the client can tell that the value is not whole
			tally.cut.Add(1)
			return
		case a.code == "53300" || a.code == "57P03":
			tally.refused.Add(1)
		case a.code != "":
			tally.failed.Add(1)
		default:
			tally.served.Add(1)
			if recent {
				tally.recentServed.Add(1)
			}
		}
	}
}
