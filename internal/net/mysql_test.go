package net

import (
	"bytes"
	"database/sql"
	"errors"
	"fmt"
	stdnet "net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	driver "github.com/go-sql-driver/mysql"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/mysql"
	"havenproxy/logic"
)

// mysqlTestConn reads packets from a connection.
type mysqlTestConn struct {
	conn stdnet.Conn
	buf  []byte
}

func (p *mysqlTestConn) next() (body []byte, seq byte, err error) {
	for {
		body, seq, n, err := mysql.Next(p.buf, 1<<24)
		if err != nil {
			return nil, 0, err
		}
		if n > 0 {
			body = bytes.Clone(body)
			p.buf = append(p.buf[:0], p.buf[n:]...)
			return body, seq, nil
		}
		chunk := make([]byte, 4096)
		p.conn.SetReadDeadline(time.Now().Add(testTimeout))
		k, err := p.conn.Read(chunk)
		if err != nil {
			return nil, 0, err
		}
		p.buf = append(p.buf, chunk[:k]...)
	}
}

// ask sends a command and reads its complete answer.
func (p *mysqlTestConn) ask(t *testing.T, caps uint32, b []byte, prepare bool) *mysql.Reply {
	t.Helper()
	p.conn.Write(b)
	var r mysql.Reply
	r.Expect(caps, prepare)
	if len(b) > 4 && b[4] == mysql.ComStmtExecute {
		r.Binary()
	}
	for !r.Whole() {
		body, seq, err := p.next()
		if err == nil {
			err = r.Add(body, seq)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return &r
}

// mysqlDial opens a client connection without a driver.
func mysqlDial(t *testing.T, s *Server, caps uint32) *mysqlTestConn {
	t.Helper()
	conn, err := stdnet.Dial("tcp", s.MySQLAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	p := &mysqlTestConn{conn: conn}
	p.next()
	conn.Write(mysql.AppendLogin(nil, 1, mysql.Login{Caps: caps, User: "u", Plugin: mysql.CachingSHA2}))
	if body, _, err := p.next(); err != nil || body[0] != 0 {
		t.Fatal(body, err)
	}
	return p
}

// mysqlDatabaseStub runs a minimal MySQL database that answers commands as the test says; when answer returns false,
// the connection ends.
func mysqlDatabaseStub(t *testing.T, caps uint32, answer func(conn stdnet.Conn, body []byte, caps uint32) bool) string {
	t.Helper()
	return listen(t, func(conn stdnet.Conn) {
		p, caps := mysqlHandshake(conn, caps, nil)
		for p != nil {
			body, _, err := p.next()
			if err == nil && body[0] == mysql.ComSetOption { // as every database, at once
				conn.Write(mysqlSyncAnswer(caps))
				continue
			}
			if err != nil || !answer(conn, body, caps) {
				return
			}
		}
	})
}

// mysqlSyncAnswer returns a database's answer to the command of state.Conn.Sync.
func mysqlSyncAnswer(caps uint32) []byte {
	if caps&mysql.ClientDeprecateEOF == 0 {
		return mysql.AppendEOF(nil, 1, mysql.StatusAutocommit)
	}
	return mysql.AppendOK(nil, 1, mysql.OK{}, caps, true)
}

// mysqlHandshake accepts any login and sends extra after it; nil = the client has disconnected.
func mysqlHandshake(conn stdnet.Conn, caps uint32, extra []byte) (*mysqlTestConn, uint32) {
	p := &mysqlTestConn{conn: conn}
	conn.Write(mysql.AppendHandshake(nil, mysql.Handshake{Version: "8", Scramble: bytes.Repeat([]byte{'s'}, mysql.ScrambleLen), Caps: caps, Plugin: mysql.NativePassword}))
	body, seq, err := p.next()
	if err != nil {
		return nil, 0
	}
	l, err := mysql.ParseLogin(body)
	if err != nil {
		return nil, 0
	}
	conn.Write(append(mysql.AppendOK(nil, seq+1, mysql.OK{}, l.Caps&caps, false), extra...))
	return p, l.Caps & caps
}

// mysqlDefaultAnswer answers like an ordinary database: PREPARE returns a statement number, EXECUTE and a text query
// return one row.
func mysqlDefaultAnswer(conn stdnet.Conn, body []byte, caps uint32) bool {
	column := mysql.AppendColumn(nil, 0, "val", mysql.TypeVarString)[4:]
	r := mysql.Reply{IsResult: true, Columns: [][]byte{column}}
	switch body[0] {
	case mysql.ComStmtPrepare:
		n := bytes.Count(bytes.SplitN(body, []byte("/*"), 2)[0], []byte("?"))
		var params [][]byte
		for range n {
			params = append(params, column)
		}
		conn.Write(mysql.AppendPrepared(nil, 1, mysql.Prepared{Statement: 5, Columns: 1, Params: n}, params, [][]byte{column}, caps))
	case mysql.ComStmtExecute:
		r.Rows = [][]byte{mysql.AppendBinaryRow(nil, 0, "executed")[4:]}
		conn.Write(r.AppendTo(nil, 1, caps))
	case mysql.ComQuery:
		r.Rows = [][]byte{mysql.AppendTextRow(nil, 0, string(body[1:]))[4:]}
		conn.Write(r.AppendTo(nil, 1, caps))
	}
	return true
}

// mysqlProxy runs a server with a MySQL listener and members that speak MySQL, all in group 0.
func mysqlProxy(t *testing.T, users map[string]mysql.Secret, members ...string) (*Server, *state.Engine, *Loop) {
	t.Helper()
	s, engine, loop := startProxy(t, members[0], 8, 2)
	done := make(chan error)
	loop.Post(func() {
		d := engine.Opener().(*Databases)
		d.MySQL = func(int) bool { return true }
		done <- s.ListenMySQL("127.0.0.1:0", &MySQLOptions{Users: users})
	})
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if len(members) > 1 {
		loop.Post(func() {
			list := state.List{Kind: logic.ListFull}
			for i, m := range members {
				list.Entries = append(list.Entries, state.Entry{Name: fmt.Sprint("m", i), Address: m, State: logic.Ready})
			}
			engine.UpdateList(list)
		})
	}
	return s, engine, loop
}

func mysqlOpen(t *testing.T, s *Server, options string) *sql.DB {
	t.Helper()
	db, err := sql.Open("mysql", "u@tcp("+s.MySQLAddress()+")/core?"+options)
	if err != nil {
		t.Fatal(err)
	}
	db.SetMaxOpenConns(1)
	t.Cleanup(func() { db.Close() })
	return db
}

const mysqlRead = "SELECT val FROM state WHERE uid = ? /* c=any,cluster=0,d=15000,session=?1 */"

func counters(engine *state.Engine, loop *Loop) state.Counters {
	got := make(chan state.Counters)
	loop.Post(func() { got <- engine.Counters })
	return <-got
}

// waitForNoConnections waits until the proxy has noticed that the databases have ended its connections.
func waitForNoConnections(t *testing.T, engine *state.Engine, loop *Loop) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		n := make(chan int)
		loop.Post(func() { n <- engine.Connections() })
		if <-n == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the connections are still open")
		}
	}
}

// Servers with and without the newer capabilities, and a client with text queries and prepared statements.
func TestMySQLQueriesThroughProxy(t *testing.T) {
	for _, caps := range []uint32{mysql.ServerCaps, mysql.ServerCaps &^ (mysql.ClientDeprecateEOF | mysql.ClientSessionTrack)} {
		s, _, _ := mysqlProxy(t, nil, mysqlDatabaseStub(t, caps, mysqlDefaultAnswer))
		db := mysqlOpen(t, s, "")
		var got string
		if err := db.QueryRow("SELECT 1 /* c=any,cluster=0,d=15000 */").Scan(&got); err != nil || !strings.HasPrefix(got, "SELECT 1 /* c=any,cluster=0,d=1") {
			t.Errorf("%q, %v", got, err)
		}
		for range 3 {
			if err := db.QueryRow(mysqlRead, "x").Scan(&got); err != nil || got != "executed" {
				t.Errorf("%q, %v", got, err)
			}
		}
	}
}

// The same text, prepared by many clients, is prepared once on a connection to a database.
func TestStatementIsPreparedOncePerConnection(t *testing.T) {
	var prepares, executes atomic.Int32
	s, _, _ := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, func(conn stdnet.Conn, body []byte, caps uint32) bool {
		switch body[0] {
		case mysql.ComStmtPrepare:
			prepares.Add(1)
		case mysql.ComStmtExecute:
			executes.Add(1)
		}
		return mysqlDefaultAnswer(conn, body, caps)
	}))
	for range 6 { // one after the other: all use one connection to the database
		db := mysqlOpen(t, s, "")
		st, err := db.Prepare(mysqlRead)
		if err != nil {
			t.Fatal(err)
		}
		for range 5 {
			var got string
			if err := st.QueryRow("x").Scan(&got); err != nil {
				t.Fatal(err)
			}
		}
		db.Close()
	}
	// Each client's own PREPARE is sent to a database at most once, for its answer; executions add none.
	if p, e := prepares.Load(), executes.Load(); p > 6 || e != 30 {
		t.Errorf("%d prepared, %d executed", p, e)
	}
}

// A statement that a server has lost is prepared once more, which does not count as a second run.
func TestLostStatementIsPreparedAgain(t *testing.T) {
	for forgets, ok := range map[int32]bool{1: true, 99: false} {
		var n, prepares atomic.Int32
		s, engine, loop := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, func(conn stdnet.Conn, body []byte, caps uint32) bool {
			if body[0] == mysql.ComStmtPrepare {
				prepares.Add(1)
			}
			if body[0] == mysql.ComStmtExecute && n.Add(1) <= forgets {
				conn.Write(mysql.AppendErr(nil, 1, mysql.ErrUnknownStatement, "unknown"))
				return true
			}
			return mysqlDefaultAnswer(conn, body, caps)
		}))
		var got string
		err := mysqlOpen(t, s, "").QueryRow(mysqlRead, "x").Scan(&got)
		if (err == nil) != ok {
			t.Errorf("lost %d times: %q, %v", forgets, got, err)
		}
		c := counters(engine, loop)
		if ok && (prepares.Load() != 2 || c.Sent != 2) {
			t.Errorf("%d prepared, %d attempts", prepares.Load(), c.Sent)
		}
		if !ok && c.Reset+c.TimedOut+c.Failures > 0 {
			t.Errorf("the failure counts as a run: %+v", c)
		}
	}
}

// After a failure while a statement is prepared for an execution nothing has run; after EXECUTE it may have.
func TestFailureWhilePreparingHasNotRun(t *testing.T) {
	for _, at := range []byte{mysql.ComStmtPrepare, mysql.ComStmtExecute} {
		var seen atomic.Int32
		s, engine, loop := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, func(conn stdnet.Conn, body []byte, caps uint32) bool {
			if body[0] == mysql.ComStmtPrepare && seen.Add(1) == 1 {
				mysqlDefaultAnswer(conn, body, caps) // the client's own
				return false                         // and then the connection ends
			}
			if body[0] == at {
				return false
			}
			return mysqlDefaultAnswer(conn, body, caps)
		}))
		st, err := mysqlOpen(t, s, "").Prepare(mysqlRead)
		if err != nil {
			t.Fatal(err)
		}
		waitForNoConnections(t, engine, loop)
		var got string
		if err := st.QueryRow("x").Scan(&got); err == nil {
			t.Errorf("%#x: it was answered", at)
		}
		c := counters(engine, loop)
		if never := at == mysql.ComStmtPrepare; never != (c.Reset == 0) || never != (c.ConnectFailed > 0) {
			t.Errorf("%#x: %d reset, %d could not connect", at, c.Reset, c.ConnectFailed)
		}
	}
}

// A text that databases reject: the client gets their error at once, and no member counts as failed.
func TestInvalidStatementIsReportedToClient(t *testing.T) {
	s, engine, loop := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, func(conn stdnet.Conn, body []byte, caps uint32) bool {
		conn.Write(mysql.AppendErr(nil, 1, mysql.ErrParse, "no such table"))
		return true
	}))
	db := mysqlOpen(t, s, "")
	var serverErr *driver.MySQLError
	for _, do := range []func() error{
		func() error { _, err := db.Prepare(mysqlRead); return err },
		func() error { _, err := db.Exec("SELECT 1 /* c=any,cluster=0 */"); return err },
	} {
		if err := do(); !errors.As(err, &serverErr) || serverErr.Number != mysql.ErrParse || serverErr.Message != "no such table" {
			t.Error(err)
		}
	}
	if c := counters(engine, loop); c.Sent != 2 || c.Failed != 2 {
		t.Errorf("%+v", c)
	}
}

// Invalid input gets an error or a close, and other clients are not affected.
func TestInvalidMySQLClients(t *testing.T) {
	s, _, loop := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, mysqlDefaultAnswer))
	login := mysql.AppendLogin(nil, 1, mysql.Login{Caps: mysql.ServerCaps &^ mysql.ClientQueryAttributes, User: "u", Plugin: mysql.CachingSHA2})
	command := func(body ...byte) []byte { return mysql.AppendPacket(append([]byte(nil), login...), 0, body) }
	for name, c := range map[string]struct {
		sends  []byte
		number uint16
		stays  bool
	}{
		"wrong sequence":    {mysql.AppendPacket(append([]byte(nil), login...), 3, []byte{mysql.ComPing}), mysql.ErrOutOfOrder, false},
		"login out of turn": {mysql.AppendPacket(nil, 7, []byte("x")), mysql.ErrOutOfOrder, false},
		"half a login":      {mysql.AppendPacket(nil, 1, []byte{1, 2, 3}), mysql.ErrHandshake, false},
		"16 MiB":            {append(append([]byte(nil), login...), 0xff, 0xff, 0xff, 0, 3), mysql.ErrPacketTooLarge, false},
		"unknown command":   {command(0x7e), mysql.ErrUnknownCommand, true},
		"an empty packet":   {command(), mysql.ErrMalformedPacket, false},
		"never prepared":    {command(mysql.ComStmtExecute, 9, 0, 0, 0, 0, 1, 0, 0, 0), mysql.ErrUnknownStatement, true},
		"a number cut off":  {command(mysql.ComStmtExecute, 9), mysql.ErrMalformedPacket, false},
		"no comment":        {command(append([]byte{mysql.ComQuery}, "DELETE FROM x"...)...), mysql.ErrFailed, true},
		"half a packet":     {append(append([]byte(nil), login...), 50, 0, 0, 0, 3), mysql.ErrMalformedPacket, false},
		"silence":           {nil, mysql.ErrHandshake, false},
	} {
		conn, err := stdnet.Dial("tcp", s.MySQLAddress())
		if err != nil {
			t.Fatal(err)
		}
		p := &mysqlTestConn{conn: conn}
		p.next()
		conn.Write(c.sends)
		var serverErr *mysql.ServerError
		loggedIn := false // it has logged in
		for end := time.Now().Add(testTimeout); serverErr == nil && time.Now().Before(end); {
			if name == "half a packet" && loggedIn || name == "silence" {
				advance(s, queryTimeout)
			}
			body, _, err := p.next()
			if err != nil {
				break
			}
			if loggedIn = true; body[0] == 0xff {
				e, _ := mysql.ParseErr(body)
				serverErr = &e
			}
		}
		if serverErr == nil || serverErr.Number != c.number {
			t.Errorf("%s: %+v, want %d", name, serverErr, c.number)
		}
		if c.stays {
			conn.Write(mysql.AppendCommand(nil, mysql.ComPing, ""))
			if body, _, err := p.next(); err != nil || body[0] != 0 {
				t.Errorf("%s: the next command got %v, %v", name, body, err)
			}
		}
		conn.Close()
	}
	_ = loop
	if err := mysqlOpen(t, s, "").Ping(); err != nil {
		t.Errorf("another client: %v", err)
	}
}

// Parameters that do not match and too many statements are errors; the connection stays open.
func TestMySQLStatementLimitsAndChecks(t *testing.T) {
	s, _, loop := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, mysqlDefaultAnswer))
	caps := uint32(mysql.ServerCaps &^ mysql.ClientQueryAttributes)
	p := mysqlDial(t, s, caps)
	conn := p.conn
	ask := func(b []byte, prepare bool) *mysql.Reply { return p.ask(t, caps, b, prepare) }
	first := ask(mysql.AppendCommand(nil, mysql.ComStmtPrepare, mysqlRead), true)
	if first.Err != nil || first.Prepared.Params != 1 {
		t.Fatalf("%+v", first)
	}
	id := byte(first.Prepared.Statement)
	for name, body := range map[string][]byte{
		"no NULL bitmap":       {mysql.ComStmtExecute, id, 0, 0, 0, 0, 1, 0, 0, 0},
		"no types yet":         {mysql.ComStmtExecute, id, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0},
		"a type there isn't":   {mysql.ComStmtExecute, id, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, 0x77, 0},
		"a value cut off":      {mysql.ComStmtExecute, id, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, mysql.TypeLongLong, 0, 1, 2},
		"a length that lies":   {mysql.ComStmtExecute, id, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, mysql.TypeVarString, 0, 0xfe, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0},
		"a NULL for a session": {mysql.ComStmtExecute, id, 0, 0, 0, 0, 1, 0, 0, 0, 1, 1, mysql.TypeVarString, 0},
	} {
		if r := ask(mysql.AppendPacket(nil, 0, body), false); r.Err == nil {
			t.Errorf("%s: answered", name)
		}
	}
	good := []byte{mysql.ComStmtExecute, id, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, mysql.TypeVarString, 0, 1, 'x'}
	if r := ask(mysql.AppendPacket(nil, 0, good), false); r.Err != nil {
		t.Errorf("after the invalid ones: %v", r.Err)
	}
	// A value sent in pieces reaches the database that executes the statement.
	conn.Write(mysql.AppendLongData(nil, uint32(id), 0, []byte("pie")))
	conn.Write(mysql.AppendLongData(nil, uint32(id), 0, []byte("ces")))
	if r := ask(mysql.AppendPacket(nil, 0, []byte{mysql.ComStmtExecute, id, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0}), false); r.Err != nil {
		t.Errorf("a value sent in pieces: %v", r.Err)
	}
	var limitErr *mysql.ServerError
	refused := 0
	for range 10000 { // each excess statement is rejected, and the connection stays open
		if err := ask(mysql.AppendCommand(nil, mysql.ComStmtPrepare, mysqlRead), true).Err; err != nil {
			limitErr = err
			refused++
		}
	}
	if limitErr == nil || limitErr.Number != mysql.ErrTooManyStatements || refused != 10000-maxStatements+1 {
		t.Errorf("too many statements: %v, %d times", limitErr, refused)
	}
	conn.Write(mysql.AppendStatement(nil, mysql.ComStmtClose, uint32(id)))
	if r := ask(mysql.AppendCommand(nil, mysql.ComStmtPrepare, mysqlRead), true); r.Err != nil {
		t.Errorf("after closing a statement: %v", r.Err)
	}
	// Long texts have a separate limit: the limit on their number would allow a gigabyte.
	long, n := strings.Replace(mysqlRead, "val", strings.Repeat("v", 200<<10), 1), 0
	for limitErr = nil; limitErr == nil && n < 20; n++ {
		conn.Write(mysql.AppendStatement(nil, mysql.ComStmtClose, uint32(n+2)))
		limitErr = ask(mysql.AppendCommand(nil, mysql.ComStmtPrepare, long), true).Err
	}
	if limitErr == nil || limitErr.Number != mysql.ErrTooManyStatements || n > maxStatementBytes/len(long)+1 {
		t.Errorf("long texts: %v at statement %d", limitErr, n)
	}
	conn.Close()
	held := -1
	for end := time.Now().Add(testTimeout); held != 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		got := make(chan int)
		loop.Post(func() {
			sum := s.inputBudget.Held()
			for c := range s.clients {
				sum += c.protocol.(*mysqlProtocol).budgetShare.Used() + 1
			}
			got <- sum
		})
		held = <-got
	}
	if held != 0 {
		t.Errorf("%d bytes are held for a disconnected client", held)
	}
}

// Invalid output of servers never reaches a client as an answer.
func TestInvalidMySQLServers(t *testing.T) {
	ok := mysql.AppendOK(nil, 1, mysql.OK{}, mysql.ServerCaps, false)
	for name, output := range map[string][]byte{
		"noise":            bytes.Repeat([]byte{0xfb}, 300),
		"out of order":     mysql.AppendOK(nil, 9, mysql.OK{}, mysql.ServerCaps, false),
		"without end":      mysql.AppendPacket(nil, 1, []byte{1}),
		"a file, please":   mysql.AppendPacket(nil, 1, []byte{0xfb, 'x'}),
		"columns too many": mysql.AppendPacket(nil, 1, []byte{0xfc, 0xff, 0xff}),
	} {
		s, engine, loop := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, func(conn stdnet.Conn, body []byte, caps uint32) bool {
			conn.Write(output)
			return true
		}))
		if _, err := mysqlOpen(t, s, "").Exec("SELECT 1 /* c=any,cluster=0,d=15000 */"); err == nil {
			t.Errorf("%s: answered", name)
		}
		if c := counters(engine, loop); c.Served > 0 || c.Reset+c.TimedOut == 0 {
			t.Errorf("%s: %+v", name, c)
		}
	}
	// A second copy makes the connection unfit for the next command; the first answer is valid.
	s, engine, loop := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, func(conn stdnet.Conn, body []byte, caps uint32) bool {
		conn.Write(append(append([]byte(nil), ok...), ok...))
		return true
	}))
	db := mysqlOpen(t, s, "")
	for range 3 {
		if _, err := db.Exec("UPDATE x SET y = 1 /* c=any,cluster=0,d=15000 */"); err != nil {
			t.Errorf("a second copy: %v", err)
		}
	}
	if c := counters(engine, loop); c.Served != 3 || c.Opened < 3 {
		t.Errorf("a second copy: %+v", c)
	}
}

// Logins with each kind of secret through the proxy.
func TestMySQLUsersLogIn(t *testing.T) {
	secret := func(text string) mysql.Secret {
		s, err := mysql.ParseSecret(text)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	key, err := mysql.NewKey()
	if err != nil {
		t.Fatal(err)
	}
	users := map[string]mysql.Secret{"native": secret(mysql.HashNative("a")), "sha2": secret(mysql.HashSHA2("b")),
		"salted": secret(mysql.HashSalted("c", []byte("some salt")))}
	s, _, loop := startProxy(t, "127.0.0.1:1", 8, 2)
	done := make(chan error)
	loop.Post(func() { done <- s.ListenMySQL("127.0.0.1:0", &MySQLOptions{Users: users, Key: key}) })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		login string
		ok    bool
	}{{"native:a", true}, {"sha2:b", true}, {"salted:c", true}, {"salted:c", true}, {"native:b", false}, {"sha2:a", false}, {"salted:b", false},
		{"nobody:a", false}, {"sha2", false}, {"native", false}} {
		db, err := sql.Open("mysql", c.login+"@tcp("+s.MySQLAddress()+")/core")
		if err != nil {
			t.Fatal(err)
		}
		var serverErr *driver.MySQLError
		if err := db.Ping(); (err == nil) != c.ok || !c.ok && (!errors.As(err, &serverErr) || serverErr.Number != mysql.ErrAccessDenied) {
			t.Errorf("%s: %v", c.login, err)
		}
		db.Close()
	}
}
