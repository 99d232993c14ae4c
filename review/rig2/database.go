package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// statement is a query as a database got it.
type statement struct {
	text  string
	hints map[string]string
	conn  net.Conn
	at    time.Time
}

func (s *statement) isWrite() bool { return strings.HasPrefix(s.text, "INSERT") }

// database is a stand-in for a database that follows the protocol page.
type database struct {
	name    string
	address string
	record  *recorder
	work    time.Duration // that each statement takes

	mu       sync.Mutex
	primary  bool
	listener net.Listener
	// handle, if it is set, answers a statement itself and reports whether it has done so.
	handle  func(s *statement) bool
	got     []statement // all statements of clients, in order
	network network     // between the proxies and it; the zero value is none
}

func startDatabase(name string, primary bool, work time.Duration, record *recorder) (*database, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	db := &database{name: name, address: listener.Addr().String(), primary: primary, work: work, record: record, listener: listener}
	go db.accept(listener)
	return db, nil
}

func (db *database) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go db.serve(conn)
	}
}

func (db *database) role() string {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.primary {
		return "primary"
	}
	return "replica"
}

// tail ends an answer: the role, the position, ReadyForQuery.
func (db *database) tail() []byte {
	out := parameterStatus("role", db.role())
	out = append(out, parameterStatus("applied_ms", fmt.Sprint(time.Now().UnixMilli()))...)
	return append(out, readyForQuery()...)
}

func (db *database) row(value []byte, tag string) []byte {
	out := append(rowDescription(), dataRow(value)...)
	out = append(out, commandComplete(tag)...)
	return append(out, db.tail()...)
}

func (db *database) serve(conn net.Conn) {
	defer func() { conn.Close() }()
	db.mu.Lock()
	if db.network.oneWay > 0 {
		conn = newNetworkConn(conn, db.network)
	}
	db.mu.Unlock()
	r := bufio.NewReader(conn)
	if _, err := readMessage(r, true); err != nil {
		return
	}
	conn.Write(append(message{'R', []byte{0, 0, 0, 0}}.bytes(), readyForQuery()...))
	for {
		m, err := readMessage(r, false)
		if err != nil || m.kind != 'Q' {
			return
		}
		text := strings.TrimRight(string(m.body), "\x00")
		switch {
		case strings.EqualFold(text, "SHOW load"):
			x1 := 0
			if db.role() == "primary" {
				x1 = 1
			}
			report := fmt.Sprintf("x0=%.3f,x1=%d,inflight=0", float64(time.Now().UnixMilli())/1e3, x1)
			conn.Write(db.row([]byte(report), "SHOW"))
		case strings.EqualFold(text, "SELECT 1"):
			conn.Write(db.row([]byte("1"), "SELECT 1"))
		case strings.TrimSpace(text) == "":
			conn.Write(append(message{'I', nil}.bytes(), readyForQuery()...))
		default:
			if !db.run(&statement{text: text, hints: hints(text), conn: conn, at: time.Now()}) {
				return
			}
		}
	}
}

// run answers a client's statement; false = the connection is to be closed.
func (db *database) run(s *statement) bool {
	db.mu.Lock()
	db.got = append(db.got, *s)
	handle := db.handle
	db.mu.Unlock()
	db.record.logf("%s got id=%s c=%s d=%s", db.name, s.hints["id"], s.hints["c"], s.hints["d"])
	if handle != nil && handle(s) {
		return true
	}
	if s.isWrite() && db.role() != "primary" {
		_, err := s.conn.Write(append(errorResponse("25006", "not the primary"), db.tail()...))
		return err == nil
	}
	time.Sleep(db.work/2 + time.Duration(rand.Int64N(int64(db.work))))
	tag := "SELECT 1"
	if s.isWrite() {
		tag = "INSERT 0 1"
	}
	db.record.logf("%s ran id=%s", db.name, s.hints["id"])
	_, err := s.conn.Write(db.row([]byte("value-of-"+s.hints["id"]), tag))
	return err == nil
}

// statements returns what the database has got so far.
func (db *database) statements() []statement {
	db.mu.Lock()
	defer db.mu.Unlock()
	return append([]statement(nil), db.got...)
}

func (db *database) setHandle(handle func(s *statement) bool) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.handle = handle
}

// setNetwork puts a network before the database; it holds for connections that are opened from now on.
func (db *database) setNetwork(n network) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.network = n
}
