package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// traffic is a set of ordinary clients: each sends a request, waits for its answer, and sends the next one a little later.
type traffic struct {
	record  *record
	address string
	prefix  string // of the ids
	stop    chan struct{}
	done    sync.WaitGroup
	lastID  atomic.Uint64
	mu      sync.Mutex
	tally   tally
	sources map[source]int // served requests
}

// source is where a served request's value came from.
type source struct {
	group    int // that the request named
	database string
}

// request is what a client of a class sends.
type request struct {
	class string
	wait  time.Duration
	write bool
	group int
}

func startTraffic(rec *record, address, prefix string, clients int, pause time.Duration, mix []request) *traffic {
	t := &traffic{record: rec, address: address, prefix: prefix, stop: make(chan struct{}), sources: map[source]int{}}
	for i := range clients {
		t.done.Go(func() { t.client(i, pause, mix) })
	}
	return t
}

func (t *traffic) end() tally {
	close(t.stop)
	t.done.Wait()
	return t.tally
}

func (t *traffic) client(number int, pause time.Duration, mix []request) {
	var conn net.Conn
	var r *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for n := number; ; n++ {
		select {
		case <-t.stop:
			return
		case <-time.After(pause):
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", t.address); err != nil {
				conn = nil
				continue
			}
			conn.Write(startupMessage())
			if r = bufio.NewReader(conn); !awaitWelcome(r) {
				conn.Close()
				conn = nil
				continue
			}
		}
		next := mix[n%len(mix)]
		id := fmt.Sprintf("%s%012x", t.prefix, t.lastID.Add(1))
		comment := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */", id, next.class, next.wait.Milliseconds(), next.group)
		text := fmt.Sprintf("SELECT val FROM state WHERE uid = '7f3a9c21e0b4d%03x' %s", number, comment)
		if next.write {
			comment = fmt.Sprintf("/* id=%s,c=%s,d=%d,k=%s,cluster=%d */", id, next.class, next.wait.Milliseconds(), id, next.group)
			text = fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('7f3a9c21e0b4d%03x', '\\x9f03') RETURNING val %s", number, comment)
		}
		conn.SetDeadline(time.Now().Add(next.wait + 2*time.Second))
		conn.Write(queryMessage(text))
		kind, value, err := readValue(r, id)
		_, from, _ := strings.Cut(strings.TrimRight(value, "\x00"), "@")
		t.mu.Lock()
		t.tally.sent++
		switch {
		case err != nil:
			t.tally.lost++
		case kind == "served":
			t.tally.served++
			t.sources[source{next.group, from}]++
		case kind == "53300" || kind == "57P03":
			t.tally.refused++
		default:
			t.tally.failed++
		}
		t.mu.Unlock()
		t.record.note("client %d: id %s of group %d %s %s %v", number, id, next.group, kind, from, err)
		if err != nil {
			conn.Close()
			conn = nil
		}
	}
}

func awaitWelcome(r *bufio.Reader) bool {
	for {
		m, err := readMessage(r)
		if err != nil || m.kind == 'E' {
			return false
		}
		if m.kind == 'Z' {
			return true
		}
	}
}
