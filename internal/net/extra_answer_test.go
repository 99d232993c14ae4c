package net

import (
	"fmt"
	stdnet "net"
	"strings"
	"testing"

	"havenproxy/internal/wire/mysql"
	"havenproxy/internal/wire/pg"
)

// extraAnswerStub runs a PostgreSQL database. Behind each answer to a statement it sends extra, which it makes of the answer, but not
// before the proxy has sent the next bytes on that connection: so whatever the proxy does by the time, the extra bytes are still to come.
// behindSync makes it send them behind the answers to empty queries instead.
func extraAnswerStub(t *testing.T, behindSync bool, extra func(answer []byte) []byte) string {
	t.Helper()
	return listen(t, func(conn stdnet.Conn) {
		peer := &testConn{conn: conn}
		if _, err := peer.next(func(b []byte) (int, error) { _, n, err := pg.NextStartup(b); return n, err }); err != nil {
			return
		}
		conn.Write(pg.AppendStartupResponse(nil))
		for {
			m, err := peer.message()
			if err != nil {
				return
			}
			text, _ := pg.QueryText(m)
			answer := rowAnswer(string(text))
			if len(text) == 0 {
				answer = pg.AppendEmptyQueryResponse(nil)
			}
			conn.Write(answer)
			if behindSync != (len(text) == 0) {
				continue
			}
			for in := make([]byte, 4096); len(peer.buf) == 0; {
				n, err := conn.Read(in)
				if err != nil {
					return
				}
				peer.buf = append(peer.buf, in[:n]...)
			}
			conn.Write(extra(answer))
		}
	})
}

// TestExtraAnswersAreNotServed guards against answers to earlier commands, or parts of them, that arrive after the next request was sent on
// their connection: they were taken for its answer, and the client was served with the value of another.
func TestExtraAnswersAreNotServed(t *testing.T) {
	for name, extra := range map[string]func([]byte) []byte{
		"copy":         func(answer []byte) []byte { return answer },
		"two copies":   func(answer []byte) []byte { return append(answer, answer...) },
		"refusal":      func([]byte) []byte { return pg.AppendRefused(nil, 0) },
		"noise":        func([]byte) []byte { return []byte{0xff, 0x07, 0x00, 0x00, 0x00, 0x99} },
		"half a copy":  func(answer []byte) []byte { return answer[:len(answer)/2] },
		"tail of copy": func(answer []byte) []byte { return answer[len(answer)-6:] },
		"notice":       func([]byte) []byte { return []byte("N\x00\x00\x00\x05\x00") },
	} {
		for _, behindSync := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, behind sync %v", name, behindSync), func(t *testing.T) {
				s, engine, loop := startProxy(t, extraAnswerStub(t, behindSync, extra), 8, 1)
				p := dial(t, s)
				p.conn.Write(pg.AppendStartup(nil, "client", "core"))
				p.readTypes(len(welcome))
				for i := range 6 {
					key := fmt.Sprintf("%da", i)
					p.conn.Write(pg.AppendQuery(nil, query(key)))
					types, bodies := "", []string(nil)
					for !strings.HasSuffix(types, "Z") && !strings.HasSuffix(types, "!") {
						next, body := p.readTypes(1)
						types, bodies = types+next, append(bodies, body...)
					}
					served := strings.HasPrefix(types, "DCZ")
					if served && !strings.Contains(bodies[0], "'"+key+"'") {
						t.Fatalf("request %s was served with %q", key, bodies[0])
					}
					if !served && !behindSync { // the connection ends before the request is sent on it
						t.Errorf("request %s got %q", key, types)
					}
				}
				if c := onLoop(loop, func() uint64 { return engine.Counters.Reset }); c > 0 && !behindSync {
					t.Errorf("%d attempts failed", c)
				}
			})
		}
	}
}

// TestExtraMySQLAnswersAreNotServed guards against the same between the commands of a MySQL connection: an OK answers every write, COM_PING and
// COM_STMT_PREPARE alike, and an error every command.
func TestExtraMySQLAnswersAreNotServed(t *testing.T) {
	const caps = mysql.ServerCaps &^ mysql.ClientQueryAttributes
	for name, answers := range map[string]struct{ first, extra []byte }{
		"copy of an OK":     {mysql.AppendOK(nil, 1, mysql.OK{Affected: 1, Info: "first"}, caps, false), mysql.AppendOK(nil, 1, mysql.OK{Affected: 1, Info: "first"}, caps, false)},
		"error":             {mysql.AppendOK(nil, 1, mysql.OK{}, caps, false), mysql.AppendErr(nil, 1, mysql.ErrTooManyConnections, "full")},
		"half an OK":        {mysql.AppendOK(nil, 1, mysql.OK{}, caps, false), []byte{7, 0, 0, 1, 0}},
		"end of a result":   {mysql.AppendOK(nil, 1, mysql.OK{}, caps, false), mysql.AppendOK(nil, 4, mysql.OK{}, caps, true)},
		"answer to prepare": {nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			executed := 0
			s, engine, loop := mysqlProxy(t, nil, listen(t, func(conn stdnet.Conn) {
				p, caps := mysqlHandshake(conn, caps, nil)
				for p != nil {
					body, _, err := p.next()
					if err != nil {
						return
					}
					var extra []byte
					switch body[0] {
					case mysql.ComSetOption:
						conn.Write(mysqlSyncAnswer(caps))
						continue
					case mysql.ComStmtPrepare: // of a statement without rows and parameters
						extra = mysql.AppendPrepared(nil, 1, mysql.Prepared{Statement: 5}, nil, nil, caps)
						conn.Write(extra)
					case mysql.ComStmtExecute:
						executed++
						conn.Write(mysql.AppendOK(nil, 1, mysql.OK{Affected: 7}, caps, false))
						continue
					default:
						extra = answers.extra
						if strings.Contains(string(body), "second") {
							conn.Write(mysql.AppendOK(nil, 1, mysql.OK{Affected: 2, Info: "second"}, caps, false))
							continue
						}
						conn.Write(answers.first)
					}
					for len(p.buf) == 0 { // the next command is on its way
						in := make([]byte, 4096)
						n, err := conn.Read(in)
						if err != nil {
							return
						}
						p.buf = append(p.buf, in[:n]...)
					}
					conn.Write(extra)
				}
			}))
			c := mysqlDial(t, s, caps)
			if answers.first == nil {
				prepared := c.ask(t, caps, mysql.AppendCommand(nil, mysql.ComStmtPrepare, "DELETE FROM state /* c=any,cluster=0 */"), true)
				if prepared.Err != nil {
					t.Fatal(prepared.Err)
				}
				run := c.ask(t, caps, mysql.AppendExecute(nil, prepared.Prepared.Statement, 0, &mysql.Execute{}, caps), false)
				if run.Err == nil && (run.OK.Affected != 7 || executed == 0) {
					t.Errorf("the execution was answered %+v, %d ran", run.OK, executed)
				}
				return
			}
			for _, text := range []string{"first", "second"} {
				got := c.ask(t, caps, mysql.AppendCommand(nil, mysql.ComQuery, "UPDATE "+text+" /* c=any,cluster=0 */"), false)
				if got.Err != nil || text == "second" && got.OK.Affected != 2 {
					t.Errorf("%s was answered %+v, %v", text, got.OK, got.Err)
				}
			}
			if n := onLoop(loop, func() uint64 { return engine.Counters.SyncsFailed }); n != 1 {
				t.Errorf("%d connections were closed for extra bytes", n)
			}
		})
	}
}
