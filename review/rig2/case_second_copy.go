package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["second-copy"] = playSecondCopy }

const (
	copyShare   = 0.08 // of the answers that bring a second copy
	copyClients = 24
	copyRate    = 290 // requests a second, as at the site
	copyTime    = 45 * time.Second
	copyGap     = 660 * time.Microsecond // between answer and copy at most: 0.33 ms of jitter for each
)

// copyNetwork is the site's network between buildings.
var copyNetwork = network{oneWay: 2 * time.Millisecond, jitter: 0.16}

// playSecondCopy has some answers bring a second copy of themselves directly behind. Each copy is written by the next
// call behind its answer, and only if no other statement has come on that connection.
func playSecondCopy(r *rig) error {
	databases, d, err := r.group(3, 0)
	if err != nil {
		return err
	}
	var copies, served, foreign, beyond, others atomic.Int64
	var gaps copyGaps
	for _, db := range databases {
		db.setNetwork(copyNetwork)
		db.setHandle(func(s *statement) bool {
			time.Sleep(time.Duration(25+rand.IntN(18)) * time.Millisecond) // as the site's katalog
			row := db.row([]byte("value-of-"+s.hints["id"]), "SELECT 1")
			id, conn := s.hints["id"], s.conn.(*networkConn)
			conn.writeNoting(row, func(at time.Time) { gaps.answer(id, at) })
			if r.trouble && rand.Float64() < copyShare && !conn.waits() {
				conn.writeNoting(row, func(at time.Time) { gaps.copy(id, at) })
				copies.Add(1)
				r.logf("%s wrote a second copy behind the answer to id=%s", db.name, s.hints["id"])
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
	time.Sleep(time.Second)
	end := time.Now().Add(copyTime)
	var running sync.WaitGroup
	for range copyClients {
		running.Go(func() {
			for time.Now().Before(end) {
				c, err := dialClient(p.listen)
				if err != nil {
					others.Add(1)
					time.Sleep(100 * time.Millisecond)
					continue
				}
				for time.Now().Before(end) {
					time.Sleep(time.Duration(rand.Int64N(int64(2 * copyClients * time.Second / copyRate))))
					id := newID()
					r.logf("client sends id=%s", id)
					a, err := c.ask(readText(id, "katalog", 800))
					if err != nil {
						r.logf("client: id=%s: %v", id, err)
						others.Add(1)
						break
					}
					switch {
					case a.code != "":
						others.Add(1)
						r.logf("client: id=%s: code %s", id, a.code)
					case string(a.value) != "value-of-"+id:
						gap, known := gaps.of(strings.TrimPrefix(string(a.value), "value-of-"))
						r.logf("client: id=%s was served with %q; that copy came %v behind its answer", id, strings.ToValidUTF8(string(a.value), "?"), gap)
						if known && gap <= copyGap {
							foreign.Add(1)
						} else {
							beyond.Add(1)
						}
					default:
						served.Add(1)
						r.logf("client: id=%s was served with its own value", id)
					}
				}
				c.conn.Close()
			}
		})
	}
	running.Wait()
	r.sayf("%d second copies; %d requests served, %d with a copy that came within %v, %d with a later one (not counted), %d refused, failed or cut",
		copies.Load(), served.Load()+foreign.Load()+beyond.Load(), foreign.Load(), copyGap, beyond.Load(), others.Load())
	if foreign.Load() > 0 {
		return errBroken(fmt.Sprintf("%d requests were served with what no database made for them", foreign.Load()))
	}
	return nil
}

// copyGaps holds when answers and their copies were passed on to the proxy.
type copyGaps struct {
	mu      sync.Mutex
	answers map[string]time.Time
	gaps    map[string]time.Duration
}

func (g *copyGaps) answer(id string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answers == nil {
		g.answers, g.gaps = map[string]time.Time{}, map[string]time.Duration{}
	}
	g.answers[id] = at
}

func (g *copyGaps) copy(id string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gaps[id] = at.Sub(g.answers[id])
}

// of returns how long behind its answer a copy came; false = there is none.
func (g *copyGaps) of(id string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gap, ok := g.gaps[id]
	return gap, ok
}
