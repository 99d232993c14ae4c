package net

import (
	"bytes"
	"database/sql"
	"errors"
	"fmt"
	stdnet "net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	driver "github.com/go-sql-driver/mysql"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/mysql"
	"havenproxy/logic"
)

// commandLog records the commands that a database receives.
type commandLog struct {
	mu          sync.Mutex
	commands    []byte   // the first bytes of the commands
	longData    []string // the values sent in pieces, in order
	lastExecute []byte   // the last EXECUTE

	prepareDelayed atomic.Bool // the second member had to prepare after the refusal; otherwise it already had the statement from the client's PREPARE
}

func (sc *commandLog) note(body []byte) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.commands = append(sc.commands, body[0])
	switch body[0] {
	case mysql.ComStmtLongData:
		d, _ := mysql.ParseLongData(body)
		sc.longData = append(sc.longData, string(d.Data))
	case mysql.ComStmtExecute:
		sc.lastExecute = bytes.Clone(body)
	}
}

func (sc *commandLog) count(command byte) int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return bytes.Count(sc.commands, []byte{command})
}

// proxyWithTwoMembers runs a proxy with two members. The first member that receives an EXECUTE rejects it, once.
func proxyWithTwoMembers(t *testing.T, slow time.Duration) (s *Server, engine *state.Engine, loop *Loop, log *commandLog) {
	log = &commandLog{}
	var rejected atomic.Bool
	var members []string
	for range 2 {
		members = append(members, mysqlDatabaseStub(t, mysql.ServerCaps, func(conn stdnet.Conn, body []byte, caps uint32) bool {
			log.note(body)
			switch {
			case body[0] == mysql.ComStmtExecute && !rejected.Swap(true):
				conn.Write(mysql.AppendErr(nil, 1, mysql.ErrTooManyConnections, "not now"))
				return true
			case body[0] == mysql.ComStmtPrepare && rejected.Load():
				log.prepareDelayed.Store(true)
				time.Sleep(slow)
			}
			return mysqlDefaultAnswer(conn, body, caps)
		}))
	}
	s, engine, loop = mysqlProxy(t, nil, members...)
	return s, engine, loop, log
}

// A statement prepared on one server is executed on another: it is prepared there first, and the time that takes is
// subtracted from the client's, also in the value sent to the server.
func TestStatementIsPreparedOnRetryMember(t *testing.T) {
	const slow = 120 * time.Millisecond
	s, engine, loop, log := proxyWithTwoMembers(t, slow)
	p := mysqlDial(t, s, mysql.ServerCaps&^mysql.ClientQueryAttributes)
	const text = "SELECT val FROM state WHERE uid = ? AND ? > 0 AND ? != '' /* c=any,cluster=0,session=?1,d=?2 */"
	r := p.ask(t, mysql.ServerCaps, mysql.AppendCommand(nil, mysql.ComStmtPrepare, text), true)
	if r.Err != nil {
		t.Fatal(r.Err)
	}
	for _, piece := range []string{"a long ", "value"} {
		p.conn.Write(mysql.AppendLongData(nil, r.Prepared.Statement, 2, []byte(piece)))
	}
	x := mysql.Execute{Nulls: []byte{0}, Types: []byte{mysql.TypeVarString, 0, mysql.TypeLongLong, 0, mysql.TypeBlob, 0},
		Rest: append([]byte{1, 'x'}, 0x98, 0x3a, 0, 0, 0, 0, 0, 0)} // 15,000 ms
	if r := p.ask(t, mysql.ServerCaps, mysql.AppendExecute(nil, r.Prepared.Statement, 3, &x, 0), false); r.Err != nil || len(r.Rows) != 1 {
		t.Fatalf("%+v", r)
	}
	// Once for the client, once at the second member; a member that has the statement is not asked to prepare it
	// again.
	if n, e := log.count(mysql.ComStmtPrepare), log.count(mysql.ComStmtExecute); n < 2 || n > 3 || e != 2 {
		t.Errorf("%d prepared, %d executed", n, e)
	}
	if got := strings.Join(log.longData, "|"); got != "a long value|a long value" {
		t.Errorf("values sent in pieces: %q", got)
	}
	got, err := mysql.ParseExecute(log.lastExecute, 3, nil, 0, func(i int) bool { return i == 2 })
	if err != nil {
		t.Fatal(err)
	}
	timeLimit, _ := got.Values[1].Text()
	most := 15 * time.Second
	if log.prepareDelayed.Load() {
		most -= slow
	}
	if ms, _ := strconv.Atoi(timeLimit); ms > int(most/time.Millisecond) || ms < 10000 {
		t.Errorf("the second server was sent a time limit of %s ms", timeLimit)
	}
	if c := counters(engine, loop); c.Rejected != 1 || c.Served != 2 || c.Reset > 0 {
		t.Errorf("%+v", c)
	}
}

// A client that closes its statement during the execution gets its answer, and the statement is closed afterwards.
func TestStatementClosedDuringExecution(t *testing.T) {
	wait := make(chan struct{})
	s, _, _ := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, func(conn stdnet.Conn, body []byte, caps uint32) bool {
		if body[0] == mysql.ComStmtExecute {
			<-wait
		}
		return mysqlDefaultAnswer(conn, body, caps)
	}))
	caps := uint32(mysql.ServerCaps &^ mysql.ClientQueryAttributes)
	p := mysqlDial(t, s, caps)
	id := p.ask(t, caps, mysql.AppendCommand(nil, mysql.ComStmtPrepare, mysqlRead), true).Prepared.Statement
	x := mysql.Execute{Nulls: []byte{0}, Types: []byte{mysql.TypeVarString, 0}, Rest: []byte{1, 'x'}}
	execute := mysql.AppendExecute(nil, id, 1, &x, 0)
	time.AfterFunc(30*time.Millisecond, func() { close(wait) })
	if r := p.ask(t, caps, mysql.AppendStatement(bytes.Clone(execute), mysql.ComStmtClose, id), false); r.Err != nil || len(r.Columns) != 1 {
		t.Fatalf("%+v", r)
	}
	if r := p.ask(t, caps, execute, false); r.Err == nil || r.Err.Number != mysql.ErrUnknownStatement {
		t.Fatalf("after the statement was closed: %+v", r)
	}
}

// The same text from 500 clients is one statement on the server, and one PREPARE to it.
func TestStatementOfManyClientsIsPreparedOnce(t *testing.T) {
	log := &commandLog{}
	s, engine, loop := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, func(conn stdnet.Conn, body []byte, caps uint32) bool {
		log.note(body)
		return mysqlDefaultAnswer(conn, body, caps)
	}))
	caps := uint32(mysql.ServerCaps &^ mysql.ClientQueryAttributes)
	for range 500 {
		p := mysqlDial(t, s, caps)
		id := p.ask(t, caps, mysql.AppendCommand(nil, mysql.ComStmtPrepare, mysqlRead), true).Prepared.Statement
		x := mysql.Execute{Nulls: []byte{0}, Types: []byte{mysql.TypeVarString, 0}, Rest: []byte{1, 'x'}}
		if r := p.ask(t, caps, mysql.AppendExecute(nil, id, 1, &x, 0), false); r.Err != nil {
			t.Fatal(r.Err)
		}
		p.conn.Close()
	}
	if n, e := log.count(mysql.ComStmtPrepare), log.count(mysql.ComStmtExecute); n != 1 || e != 500 {
		t.Errorf("%d prepared, %d executed", n, e)
	}
	if c := counters(engine, loop); c.Sent != 501 {
		t.Errorf("%d attempts: a PREPARE answered from the cache is not an attempt", c.Sent)
	}
}

// The cached metadata of a statement is dropped once a server rejects the statement itself.
func TestMetadataIsDroppedWhenStatementFails(t *testing.T) {
	log := &commandLog{}
	var gone atomic.Bool
	s, _, _ := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, func(conn stdnet.Conn, body []byte, caps uint32) bool {
		log.note(body)
		if gone.Load() {
			conn.Write(mysql.AppendErr(nil, 1, mysql.ErrParse, "no such table"))
			return true
		}
		return mysqlDefaultAnswer(conn, body, caps)
	}))
	db := mysqlOpen(t, s, "")
	var got string
	if err := db.QueryRow(mysqlRead, "x").Scan(&got); err != nil {
		t.Fatal(err)
	}
	gone.Store(true)
	var serverErr *driver.MySQLError
	for range 2 { // the first one fails at its execution, the second one at its PREPARE
		if err := db.QueryRow(mysqlRead, "x").Scan(&got); !errors.As(err, &serverErr) || serverErr.Number != mysql.ErrParse {
			t.Error(err)
		}
	}
	if n := log.count(mysql.ComStmtPrepare); n != 2 {
		t.Errorf("%d prepared", n)
	}
}

// Parameters of 60 MB: in one packet they are rejected by its header; in pieces nothing beyond the limit is kept, and
// the execution fails. The connection and its accounting remain usable.
func TestParametersOf60MB(t *testing.T) {
	s, _, loop := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, mysqlDefaultAnswer))
	caps := uint32(mysql.ServerCaps &^ mysql.ClientQueryAttributes)
	p := mysqlDial(t, s, caps)
	id := p.ask(t, caps, mysql.AppendCommand(nil, mysql.ComStmtPrepare, mysqlRead), true).Prepared.Statement
	piece, most := bytes.Repeat([]byte{'x'}, 100<<10), 0
	for sent := 0; sent < 60<<20; sent += len(piece) {
		if _, err := p.conn.Write(mysql.AppendLongData(nil, id, 0, piece)); err != nil {
			t.Fatal(err)
		}
		if sent/len(piece)%60 == 59 {
			got := make(chan int)
			loop.Post(func() { got <- s.inputBudget.Held() })
			most = max(most, <-got)
		}
	}
	x := mysql.Execute{Nulls: []byte{0}, Types: []byte{mysql.TypeBlob, 0}}
	execute := mysql.AppendExecute(nil, id, 1, &x, 0)
	if r := p.ask(t, caps, execute, false); r.Err == nil || r.Err.Number != mysql.ErrPacketTooLarge {
		t.Errorf("sent in pieces: %+v", r)
	}
	if most > 2*maxLongData+2*mysql.MaxPacket {
		t.Errorf("%d bytes were held", most)
	}
	p.conn.Write(mysql.AppendLongData(nil, id, 0, []byte("small")))
	if r := p.ask(t, caps, execute, false); r.Err != nil {
		t.Errorf("afterwards: %v", r.Err)
	}
	p.conn.Write([]byte{0xff, 0xff, 0xff, 0, mysql.ComStmtExecute}) // 16 MiB, with more to come
	body, _, err := p.next()
	if e, _ := mysql.ParseErr(body); err != nil || e.Number != mysql.ErrPacketTooLarge {
		t.Errorf("in one packet: %v, %v", e, err)
	}
}

// Bytes are left over after the answer to a PREPARE: the EXECUTE is not sent, so it has not run.
func TestNoExecuteAfterDuplicatePrepareAnswer(t *testing.T) {
	log := &commandLog{}
	s, engine, loop := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, func(conn stdnet.Conn, body []byte, caps uint32) bool {
		log.note(body)
		if body[0] == mysql.ComStmtPrepare && log.count(mysql.ComStmtPrepare) == 1 {
			mysqlDefaultAnswer(conn, body, caps) // the client's own,
			return false                         // and the next one is on another connection
		}
		if body[0] == mysql.ComStmtPrepare { // in one write: otherwise the second copy might arrive after the EXECUTE
			var twice recordingConn
			mysqlDefaultAnswer(&twice, body, caps)
			conn.Write(append(twice.bytes, twice.bytes...))
			return true
		}
		return mysqlDefaultAnswer(conn, body, caps)
	}))
	p := mysqlDial(t, s, mysql.ServerCaps&^mysql.ClientQueryAttributes)
	id := p.ask(t, mysql.ServerCaps, mysql.AppendCommand(nil, mysql.ComStmtPrepare, mysqlRead), true).Prepared.Statement
	waitForNoConnections(t, engine, loop)
	x := mysql.Execute{Nulls: []byte{0}, Types: []byte{mysql.TypeVarString, 0}, Rest: []byte{1, 'x'}}
	if r := p.ask(t, mysql.ServerCaps, mysql.AppendExecute(nil, id, 1, &x, 0), false); r.Err == nil {
		t.Error("answered")
	}
	if n := log.count(mysql.ComStmtExecute); n > 0 {
		t.Errorf("%d EXECUTEs were sent after leftover bytes", n)
	}
	if c := counters(engine, loop); c.Reset > 0 || c.ConnectFailed == 0 {
		t.Errorf("%+v", c)
	}
}

// A database sends extra bytes after the login: nothing is sent on the connection.
func TestExtraBytesAfterLogin(t *testing.T) {
	var asked atomic.Int32
	more := mysql.AppendOK(nil, 1, mysql.OK{}, mysql.ServerCaps, false)
	s, engine, loop := mysqlProxy(t, nil, listen(t, func(conn stdnet.Conn) {
		if p, _ := mysqlHandshake(conn, mysql.ServerCaps, more); p != nil {
			if _, _, err := p.next(); err == nil {
				asked.Add(1)
			}
		}
	}))
	if _, err := mysqlOpen(t, s, "").Exec("UPDATE x SET y = 1 /* c=any,cluster=0,d=15000 */"); err == nil {
		t.Error("answered by bytes that arrived before the query")
	}
	if c := counters(engine, loop); asked.Load() > 0 || c.Served > 0 || c.Reset > 0 {
		t.Errorf("%d queries arrived, %+v", asked.Load(), c)
	}
}

// recordingConn keeps what is written to it.
type recordingConn struct {
	stdnet.Conn
	bytes []byte
}

func (g *recordingConn) Write(b []byte) (int, error) {
	g.bytes = append(g.bytes, b...)
	return len(b), nil
}

// Requests whose answers are inconsistent may have run; the answers reach no client.
func TestInconsistentAnswersAreRejected(t *testing.T) {
	column := mysql.AppendColumn(nil, 0, "val", mysql.TypeVarString)[4:]
	packets := func(caps uint32, bodies ...[]byte) (out []byte) {
		for i, b := range bodies {
			out = mysql.AppendPacket(out, byte(i+1), b)
		}
		return mysql.AppendOK(out, byte(len(bodies)+1), mysql.OK{}, caps, true)
	}
	for name, output := range map[string]func(caps uint32) []byte{
		"an OK where rows are due":  func(caps uint32) []byte { return mysql.AppendOK(nil, 1, mysql.OK{}, caps, false) },
		"a column too many":         func(caps uint32) []byte { return packets(caps, []byte{1}, column, column, []byte{0, 0, 1, 'x'}) },
		"a column too few":          func(caps uint32) []byte { return packets(caps, []byte{2}, column, []byte{0, 0, 1, 'x'}) },
		"a row of too few values":   func(caps uint32) []byte { return packets(caps, []byte{2}, column, column, []byte{1, 'x'}) },
		"a definition that is none": func(caps uint32) []byte { return packets(caps, []byte{1}, []byte{1, 'x'}, []byte{0, 0, 1, 'x'}) },
	} {
		for _, prepares := range []bool{false, true} {
			s, engine, loop := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, func(conn stdnet.Conn, body []byte, caps uint32) bool {
				if body[0] == mysql.ComStmtPrepare || body[0] == mysql.ComStmtClose {
					return mysqlDefaultAnswer(conn, body, caps)
				}
				conn.Write(output(caps))
				return true
			}))
			db := mysqlOpen(t, s, "")
			var got string
			var err error
			if prepares {
				err = db.QueryRow(mysqlRead, "x").Scan(&got)
			} else {
				err = db.QueryRow("SELECT 1 /* c=any,cluster=0,d=15000 */").Scan(&got)
			}
			if c := counters(engine, loop); err == nil || c.Reset == 0 {
				t.Errorf("%s, prepared %v: %v, %q, %+v", name, prepares, err, got, c)
			}
		}
	}
}

// mysqlUsersProxy runs a proxy whose MySQL clients have to log in.
func mysqlUsersProxy(t *testing.T, users map[string]string) (*Server, *Loop, *MySQLOptions) {
	t.Helper()
	key, err := mysql.NewKey()
	if err != nil {
		t.Fatal(err)
	}
	o := &MySQLOptions{Users: map[string]mysql.Secret{}, Key: key}
	for name, text := range users {
		if o.Users[name], err = mysql.ParseSecret(text); err != nil {
			t.Fatal(err)
		}
	}
	s, _, loop := startProxy(t, "127.0.0.1:1", 64, 2)
	done := make(chan error)
	loop.Post(func() { done <- s.ListenMySQL("127.0.0.1:0", o) })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return s, loop, o
}

func mysqlPing(s *Server, user, password string) error {
	db, err := sql.Open("mysql", user+":"+password+"@tcp("+s.MySQLAddress()+")/core")
	if err != nil {
		return err
	}
	defer db.Close()
	return db.Ping()
}

// Hundreds of password guesses are rejected with the time after which to retry, and other users can log in meanwhile.
func TestPasswordGuessingIsLimited(t *testing.T) {
	for kind, secret := range map[string]string{"sha2": mysql.HashSHA2("right"), "salted": mysql.HashSalted("right", []byte("some salt"))} {
		s, _, _ := mysqlUsersProxy(t, map[string]string{"victim": secret, "other": mysql.HashNative("o")})
		denied, limited := 0, 0
		var serverErr *driver.MySQLError
		for i := range 300 {
			switch err := mysqlPing(s, "victim", fmt.Sprint("guess", i)); {
			case !errors.As(err, &serverErr):
				t.Fatalf("%s: %v", kind, err)
			case serverErr.Number == mysql.ErrAccessDenied:
				denied++
			case serverErr.Number == mysql.ErrTooManyConnections && strings.Contains(serverErr.Message, "come again after"):
				limited++
			}
		}
		if denied+limited != 300 || denied > 20 || limited < 200 {
			t.Errorf("%s: %d denied, %d rate limited", kind, denied, limited)
		}
		if err := mysqlPing(s, "other", "o"); err != nil {
			t.Errorf("%s: another user: %v", kind, err)
		}
		if err := mysqlPing(s, "victim", "right"); err == nil {
			t.Errorf("%s: logged in before the retry time", kind)
		}
		advance(s, 31*time.Second)
		if err := mysqlPing(s, "victim", "right"); err != nil {
			t.Errorf("%s: after the retry time: %v", kind, err)
		}
	}
}

// A password changed by the operator invalidates the old one, also for a user who has completed a full authentication
// exchange.
func TestChangedPasswordInvalidatesOldOne(t *testing.T) {
	s, loop, o := mysqlUsersProxy(t, map[string]string{"u": mysql.HashSalted("old", []byte("some salt"))})
	for range 2 { // the second one takes the fast path
		if err := mysqlPing(s, "u", "old"); err != nil {
			t.Fatal(err)
		}
	}
	changed, err := mysql.ParseSecret(mysql.HashSalted("new", []byte("some salt")))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	loop.Post(func() { o.Users = map[string]mysql.Secret{"u": changed}; close(done) })
	<-done
	if err := mysqlPing(s, "u", "old"); err == nil {
		t.Error("the old password was accepted")
	}
	if err := mysqlPing(s, "u", "new"); err != nil {
		t.Errorf("the new password: %v", err)
	}
}

// COM_CHANGE_USER has its own scramble; an incomplete one times out like an incomplete login.
func TestChangeUser(t *testing.T) {
	s, _, _ := mysqlUsersProxy(t, map[string]string{"a": mysql.HashNative("pa"), "b": mysql.HashNative("pb")})
	open := func() (*mysqlTestConn, []byte) {
		conn, err := stdnet.Dial("tcp", s.MySQLAddress())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		p := &mysqlTestConn{conn: conn}
		body, _, _ := p.next()
		h, err := mysql.ParseHandshake(body)
		if err != nil {
			t.Fatal(err)
		}
		auth, _ := mysql.AnswerScramble(mysql.NativePassword, "pa", h.Scramble)
		caps := uint32(mysql.ServerCaps &^ mysql.ClientQueryAttributes)
		conn.Write(mysql.AppendLogin(nil, 1, mysql.Login{Caps: caps, User: "a", Auth: auth, Plugin: mysql.NativePassword}))
		if body, _, err := p.next(); err != nil || body[0] != 0 {
			t.Fatal(body, err)
		}
		return p, h.Scramble
	}
	change := append(append([]byte{mysql.ComChangeUser}, "b\x00\x00core\x00"...), 45, 0)
	for name, choose := range map[string]func(oldScramble, newScramble []byte) []byte{
		"by the new scramble": func(_, newScramble []byte) []byte { return newScramble },
		"by the old one":      func(oldScramble, _ []byte) []byte { return oldScramble },
	} {
		p, oldScramble := open()
		p.conn.Write(mysql.AppendPacket(nil, 0, change))
		body, seq, err := p.next()
		if err != nil {
			t.Fatal(err)
		}
		_, newScramble, err := mysql.ParseAuthSwitch(body)
		if err != nil || bytes.Equal(newScramble, oldScramble) {
			t.Fatalf("%x, %v", body, err)
		}
		auth, _ := mysql.AnswerScramble(mysql.NativePassword, "pb", choose(oldScramble, newScramble))
		p.conn.Write(mysql.AppendPacket(nil, seq+1, auth))
		body, _, err = p.next()
		if ok := err == nil && body[0] == 0; ok != (name == "by the new scramble") {
			t.Errorf("%s: %x, %v", name, body, err)
		}
	}
	p, _ := open()
	p.conn.Write(mysql.AppendPacket(nil, 0, change))
	p.next()
	advance(s, queryTimeout)
	body, _, err := p.next()
	if e, _ := mysql.ParseErr(body); err != nil || e.Number == 0 {
		t.Errorf("an incomplete one: %x, %v", body, err)
	}
}

// Query attributes add routing hints that are not in the text, and are not sent to the database.
func TestQueryAttributes(t *testing.T) {
	log := &commandLog{}
	s, engine, loop := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, func(conn stdnet.Conn, body []byte, caps uint32) bool {
		log.note(body)
		return mysqlDefaultAnswer(conn, body, caps)
	}))
	const caps = mysql.ServerCaps
	p := mysqlDial(t, s, caps)
	attributes := func(dst []byte, of map[string]string) []byte {
		var values []byte
		dst = append(dst, make([]byte, (len(of)+7)/8)...)
		dst = append(dst, 1)
		for name, v := range of {
			dst = append(append(append(dst, mysql.TypeVarString, 0), byte(len(name))), name...)
			values = append(append(values, byte(len(v))), v...)
		}
		return append(dst, values...)
	}
	text := "SELECT 1 /* c=any */"
	body := append(attributes([]byte{mysql.ComQuery, 2, 1}, map[string]string{"cluster": "0", "d": "15000"}), text...)
	if r := p.ask(t, caps, mysql.AppendPacket(nil, 0, body), false); r.Err != nil {
		t.Fatal(r.Err)
	}
	body = append([]byte{mysql.ComQuery, 0, 1}, text...) // without them there is no group
	if r := p.ask(t, caps, mysql.AppendPacket(nil, 0, body), false); r.Err == nil {
		t.Error("served without a group")
	}
	st := p.ask(t, caps, mysql.AppendCommand(nil, mysql.ComStmtPrepare, "SELECT 1 /* c=any,cluster=0 */"), true)
	if st.Err != nil {
		t.Fatal(st.Err)
	}
	id := byte(st.Prepared.Statement)
	body = attributes([]byte{mysql.ComStmtExecute, id, 0, 0, 0, 0x08, 1, 0, 0, 0, 1}, map[string]string{"d": "0"})
	if r := p.ask(t, caps, mysql.AppendPacket(nil, 0, body), false); r.Err == nil {
		t.Error("served although its attribute says that no time is left")
	}
	if c := counters(engine, loop); c.Served != 2 || log.count(mysql.ComStmtExecute) != 0 {
		t.Errorf("%+v", c)
	}
}

// A refusal is error 1040 with the time after which to retry, if there is one.
func TestMySQLRefusals(t *testing.T) {
	for after, want := range map[time.Duration]string{0: "now", 1500 * time.Microsecond: "now; come again after 2 ms"} {
		body, _, _, err := mysql.Next((&mysqlProtocol{sequence: 1}).refused(nil, after), mysql.MaxPacket)
		if err != nil {
			t.Fatal(err)
		}
		e, err := mysql.ParseErr(body)
		if err != nil || e.Number != mysql.ErrTooManyConnections || e.State != "08004" || !strings.HasSuffix(e.Text, want) {
			t.Errorf("%+v, %v", e, err)
		}
	}
	s, engine, loop := mysqlProxy(t, nil, mysqlDatabaseStub(t, mysql.ServerCaps, mysqlDefaultAnswer))
	done := make(chan struct{})
	loop.Post(func() { s.engine.UpdateList(state.List{Kind: logic.ListFull}); close(done) })
	<-done
	var serverErr *driver.MySQLError
	_, err := mysqlOpen(t, s, "").Exec("SELECT 1 /* c=any,cluster=0,d=15000 */")
	if c := counters(engine, loop); !errors.As(err, &serverErr) || serverErr.Number != mysql.ErrTooManyConnections || c.Refused != 1 {
		t.Errorf("%v, %+v", err, c)
	}
}
