package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// database is a stand-in for a member of a group that speaks PostgreSQL. It is always current: a replica has all commits.
type database struct {
	name      string
	address   string
	record    *record
	primary   atomic.Bool
	work      time.Duration // time of one request
	valueSize int           // bytes of each value
	group     int
	startedAt time.Time // zero = long ago

	listener net.Listener
	inflight atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	requests []arrival
}

// arrival is a request that a database has begun.
type arrival struct {
	at             time.Time
	id, class      string
	group, command string // the group that the statement names, and its first word
}

func startDatabase(rec *record, name string, primary bool, work time.Duration, valueSize int) (*database, error) {
	return startDatabaseAt(rec, "127.0.0.1:0", name, 0, primary, work, valueSize)
}

// startDatabaseAt starts a database of a group at a given address.
func startDatabaseAt(rec *record, address, name string, group int, primary bool, work time.Duration, valueSize int) (*database, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	db := &database{group: group, name: name, address: ln.Addr().String(), record: rec, work: work, valueSize: valueSize, listener: ln, conns: map[net.Conn]struct{}{}}
	db.primary.Store(primary)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			db.mu.Lock()
			db.conns[conn] = struct{}{}
			db.mu.Unlock()
			go db.serve(conn)
		}
	}()
	return db, nil
}

func (db *database) close() {
	db.listener.Close()
	db.mu.Lock()
	defer db.mu.Unlock()
	for conn := range db.conns {
		conn.Close()
	}
}

// arrivals returns the requests that the database has begun so far.
func (db *database) arrivals() []arrival {
	db.mu.Lock()
	defer db.mu.Unlock()
	return append([]arrival(nil), db.requests...)
}

func (db *database) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		db.mu.Lock()
		delete(db.conns, conn)
		db.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	if readStartup(r) != nil {
		return
	}
	welcome := appendMessage(nil, 'R', []byte{0, 0, 0, 0})
	if _, err := conn.Write(readyMessage(welcome)); err != nil {
		return
	}
	for {
		m, err := readMessage(r)
		if err != nil || m.kind != 'Q' {
			return
		}
		if _, err := conn.Write(db.answer(strings.TrimRight(string(m.body), "\x00"))); err != nil {
			return
		}
	}
}

func (db *database) answer(text string) []byte {
	switch trimmed := strings.Trim(text, " \t\r\n;"); trimmed {
	case "":
		return readyMessage(appendMessage(nil, 'I', nil))
	case "SELECT 1":
		return readyMessage(rowMessages(nil, []byte("1")))
	case "SHOW load":
		primary := 0
		if db.primary.Load() {
			primary = 1
		}
		report := fmt.Sprintf("x0=%.3f,x1=%d,inflight=%d", float64(time.Now().UnixMilli())/1000, primary, db.inflight.Load())
		return readyMessage(rowMessages(nil, []byte(report)))
	}
	hints := parseHints(text)
	if hints["id"] == "" || hints["c"] == "" {
		db.record.say("%s got what no client sent: %q", db.name, text)
		return readyMessage(errorMessage(nil, "08P01", "not a statement of this deployment"))
	}
	command, _, _ := strings.Cut(text, " ")
	now := time.Now()
	db.mu.Lock()
	db.requests = append(db.requests, arrival{now, hints["id"], hints["c"], hints["cluster"], command})
	db.mu.Unlock()
	db.record.noteAt(now, "%s begins %s id=%s c=%s d=%s cluster=%s", db.name, command, hints["id"], hints["c"], hints["d"], hints["cluster"])
	write := strings.HasPrefix(text, "INSERT")
	role := "replica"
	if db.primary.Load() {
		role = "primary"
	}
	if write && role == "replica" {
		return db.withStatus(errorMessage(nil, "25006", "this is no primary"), role)
	}
	db.inflight.Add(1)
	time.Sleep(db.work)
	db.inflight.Add(-1)
	value := make([]byte, db.valueSize)
	copy(value, hints["id"]+"@"+db.name)
	return db.withStatus(rowMessages(nil, value), role)
}

func (db *database) withStatus(answer []byte, role string) []byte {
	answer = parameterMessage(answer, "role", role)
	answer = parameterMessage(answer, "applied_ms", strconv.FormatInt(time.Now().UnixMilli(), 10))
	return readyMessage(answer)
}

// parseHints returns the names and values in the comment that ends a statement.
func parseHints(text string) map[string]string {
	hints := map[string]string{}
	_, comment, _ := strings.Cut(text, "/*")
	comment, _, _ = strings.Cut(comment, "*/")
	for part := range strings.SplitSeq(comment, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		hints[name] = value
	}
	return hints
}
