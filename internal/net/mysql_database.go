package net

import (
	"errors"
	stdnet "net"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/state"
	"havenproxy/internal/state/prepared"
	"havenproxy/internal/wire/mysql"
	"havenproxy/logic"
)

// linkCaps is what a connection to a MySQL database asks for. Answers are kept in their form until a client has them.
const linkCaps = mysql.ClientLongPassword | mysql.ClientLongFlag | mysql.ClientConnectWithDB | mysql.ClientProtocol41 |
	mysql.ClientTransactions | mysql.ClientSecureConnection | mysql.ClientMultiResults | mysql.ClientPSMultiResults |
	mysql.ClientPluginAuth | mysql.ClientPluginAuthLenEncData | mysql.ClientSessionTrack | mysql.ClientDeprecateEOF

// keptStatements is how many statements are held prepared on one connection.
const keptStatements = 128

var (
	errLogin  = errors.New("the database refuses the login")
	errForgot = errors.New("the database forgets its statements")
)

// loadQueryMySQL asks for the load report; its answer is one row, in the form of PostgreSQL's.
const loadQueryMySQL = "SHOW load"

// mysqlQuery is a text for a MySQL database.
type mysqlQuery struct {
	text            string
	waitAt, waitEnd int // where the number of d stands; 0 = nowhere
}

// mysqlPrepare asks a database to prepare a statement, so that its client learns what it holds.
type mysqlPrepare struct{ text string }

// mysqlExecute is one execution of a prepared statement.
type mysqlExecute struct {
	text   string
	params int
	x      mysql.Execute
	long   map[int][]byte // values that came in pieces
}

// AppendTo implements state.Command.
func (q *mysqlQuery) AppendTo(dst []byte, wait time.Duration) []byte {
	text := q.text
	if q.waitEnd > 0 {
		text = text[:q.waitAt] + itoa(max(int64(wait/time.Millisecond), 1)) + text[q.waitEnd:]
	}
	return mysql.AppendCommand(dst, mysql.ComQuery, text)
}

// AppendTo implements state.Command.
func (p *mysqlPrepare) AppendTo(dst []byte, _ time.Duration) []byte {
	return mysql.AppendCommand(dst, mysql.ComStmtPrepare, p.text)
}

// AppendTo implements state.Command; what goes out depends on the connection.
func (e *mysqlExecute) AppendTo(dst []byte, _ time.Duration) []byte { return dst }

type mysqlPhase uint8

const (
	mysqlGreeting mysqlPhase = iota
	mysqlLogin
	mysqlReady
)

// mysqlDatabase is a connection to a MySQL database. It implements state.Conn.
type mysqlDatabase struct {
	d       *Databases
	address string
	to      state.Listener
	conn    netpoll.Connection
	in      buffer
	out     []byte
	raw     []byte // the packets of the answer in hand, as they came
	phase   mysqlPhase
	caps    uint32
	seq     byte
	reply   mysql.Reply
	cache   *prepared.Cache
	run     *prepared.Run // of the execution in hand
	execute *mysqlExecute
	asks    string // the text that is being prepared; empty = none
	owes    bool
	probing bool
	dialled bool
	closed  bool
	rest    state.Deadline
	begun   bool
}

func (d *Databases) openMySQL(address string, to state.Listener) state.Conn {
	db := &mysqlDatabase{d: d, address: address, to: to, cache: prepared.New(keptStatements)}
	connect(d.Loop, address, d.ConnectTimeout, db.connected)
	return db
}

func (db *mysqlDatabase) connected(conn netpoll.Connection, err error) {
	db.dialled = true
	switch {
	case db.closed:
		db.d.givenUp--
		if err == nil {
			conn.Close()
		}
		return
	case err != nil:
		db.lost(err)
		return
	}
	db.conn, db.owes = conn, true
	attach(db.d.Loop, conn, db.readable, func() { db.lost(nil) })
}

func (db *mysqlDatabase) write(b []byte) error {
	if db.closed || db.conn == nil {
		return stdnet.ErrClosed
	}
	_, err := db.conn.Write(b)
	return err
}

// Send implements state.Conn. A statement that isn't prepared here is prepared first; its time is a part of the
// request's, and a failure until EXECUTE has been written has run nothing.
func (db *mysqlDatabase) Send(cmd state.Command, wait time.Duration) error {
	db.owes, db.probing, db.run, db.execute, db.asks = true, false, nil, nil, ""
	switch cmd := cmd.(type) {
	case *mysqlExecute:
		db.execute, db.run = cmd, &prepared.Run{Text: cmd.text}
		return db.step()
	case *mysqlPrepare:
		db.asks = cmd.text
		db.expect(true)
	default:
		db.expect(false)
	}
	db.out = cmd.AppendTo(db.out[:0], wait)
	err := db.write(db.out)
	if cap(db.out) > keepRoom {
		db.out = nil
	}
	return err
}

// Preparing tells that the request in hand has not been written yet, though something was for its sake.
func (db *mysqlDatabase) Preparing() bool { return db.run != nil && !db.run.Sent }

// step writes what is next for the execution in hand.
func (db *mysqlDatabase) step() error {
	switch what, id := db.run.Next(db.cache); what {
	case prepared.Prepare:
		db.asks = db.run.Text
		db.expect(true)
		return db.write(mysql.AppendCommand(nil, mysql.ComStmtPrepare, db.run.Text))
	case prepared.Execute:
		db.asks = ""
		db.expect(false)
		out := db.out[:0]
		for param, data := range db.execute.long {
			out = mysql.AppendLongData(out, id, param, data)
		}
		db.out = mysql.AppendExecute(out, id, db.execute.params, &db.execute.x, db.caps)
		return db.write(db.out)
	}
	return errForgot
}

func (db *mysqlDatabase) expect(prepare bool) {
	db.raw = db.raw[:0]
	db.reply.Expect(db.caps, prepare)
}

// Probe implements state.Conn.
func (db *mysqlDatabase) Probe() error {
	db.owes, db.probing, db.run, db.asks = true, true, nil, ""
	db.expect(false)
	return db.write(mysql.AppendCommand(nil, mysql.ComQuery, loadQueryMySQL))
}

// Quiet implements state.Conn.
func (db *mysqlDatabase) Quiet() bool {
	if db.closed || db.conn == nil || db.owes || !db.conn.IsActive() || len(db.in.bytes) > 0 || db.conn.Reader().Len() > 0 {
		return false
	}
	c, ok := db.conn.(netpoll.Conn)
	if !ok {
		return true
	}
	_, _, err := syscall.Recvfrom(c.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// Close implements state.Conn.
func (db *mysqlDatabase) Close() {
	if db.closed {
		return
	}
	db.closed = true
	db.whole()
	if db.conn != nil {
		db.conn.Close()
	} else if !db.dialled {
		db.d.givenUp++
	}
}

// lost tells the state that the connection has ended, unless it closed it itself.
func (db *mysqlDatabase) lost(error) {
	if db.closed {
		return
	}
	never := db.phase == mysqlReady && db.owes && db.Preparing()
	db.Close()
	if never {
		db.to.Reply(state.Reply{Result: logic.ConnectFailed})
		return
	}
	db.to.Down()
}

func (db *mysqlDatabase) readable() {
	if err := db.in.fill(db.conn.Reader()); err != nil {
		db.lost(err)
		return
	}
	for used := 0; !db.closed; {
		body, seq, n, err := mysql.Next(db.in.bytes[used:], mysql.MaxPacket)
		switch {
		case err != nil:
		case n > 0 && !db.owes:
			err = errUnasked
		case n > 0 && db.phase != mysqlReady:
			err = db.login(body, seq)
		case n > 0:
			if err = db.reply.Add(body, seq); err == nil {
				db.raw = append(db.raw, db.in.bytes[used:used+n]...)
			}
		}
		if err != nil {
			db.spoilt(err)
			return
		}
		used += n
		done := n > 0 && (db.phase == mysqlReady && (db.reply.Whole() || !db.owes))
		if n > 0 && !done {
			continue
		}
		db.in.cut(used)
		if done {
			db.whole()
			db.answered()
		} else if db.owes && db.phase == mysqlReady && !db.begun && !db.probing && len(db.raw) > 0 {
			db.begun = true
			db.d.Loop.deadlines.Set(&db.rest, db.d.Loop.clock.Now()+answerPatience, db.stalled)
		}
		return
	}
}

func (db *mysqlDatabase) whole() {
	db.begun = false
	db.d.Loop.deadlines.Clear(&db.rest)
}

func (db *mysqlDatabase) stalled() {
	if db.begun = false; db.conn.Reader().Len() == 0 {
		db.spoilt(errNoEnd)
	}
}

// login takes a packet of the handshake.
func (db *mysqlDatabase) login(body []byte, seq byte) error {
	if len(body) == 0 {
		return mysql.ErrMalformed
	}
	if body[0] == 0xff { // turned away at the door, or the login is wrong
		e, err := mysql.ParseErr(body)
		if err != nil {
			return err
		}
		r := db.failure(&e)
		if r.Result != logic.Full {
			return errLogin
		}
		db.Close()
		db.d.Loop.Post(func() { db.to.Reply(r) })
		return nil
	}
	switch db.phase {
	case mysqlGreeting:
		h, err := mysql.ParseHandshake(body)
		if err != nil {
			return err
		}
		db.caps = linkCaps & h.Caps
		auth, err := mysql.AnswerScramble(h.Plugin, db.d.MySQLPassword, h.Scramble)
		if err != nil {
			auth = nil // it will ask for a method that both know
		}
		db.phase = mysqlLogin
		return db.write(mysql.AppendLogin(nil, seq+1, mysql.Login{Caps: db.caps, User: db.d.mysqlUser(), Auth: auth, Database: databaseName, Plugin: h.Plugin}))
	default:
		switch {
		case body[0] == 0x00:
			if _, err := mysql.ParseOK(body, db.caps); err != nil {
				return err
			}
			db.phase, db.owes = mysqlReady, false
			db.to.Up()
			return nil
		case body[0] == 0xfe:
			plugin, scramble, err := mysql.ParseAuthSwitch(body)
			if err != nil {
				return err
			}
			auth, err := mysql.AnswerScramble(plugin, db.d.MySQLPassword, scramble)
			if err != nil {
				return err
			}
			return db.write(mysql.AppendPacket(nil, seq+1, auth))
		case len(body) == 2 && body[0] == 0x01 && body[1] == mysql.FastOK[0]:
			return nil
		}
	}
	return errLogin
}

// answered hands a whole answer over, or goes on with what it was for.
func (db *mysqlDatabase) answered() {
	if !db.owes { // the login's
		return
	}
	if e := db.reply.Err; e != nil && db.run != nil && db.run.Sent && mysql.OutcomeOf(e) == mysql.Forgotten {
		db.run.Forgotten(db.cache)
		db.goOn()
		return
	}
	if db.asks != "" && db.reply.Err == nil {
		if id, must := db.cache.Put(db.asks, db.reply.Prepared.Statement); must {
			db.write(mysql.AppendStatement(nil, mysql.ComStmtClose, id)) // it has no answer
		}
		if db.run != nil {
			db.goOn()
			return
		}
	}
	db.owes = false
	db.to.Reply(db.outcome())
}

// goOn takes the next step of an execution; where it can't, nothing has run.
func (db *mysqlDatabase) goOn() {
	if err := db.step(); err != nil {
		db.owes = false
		db.Close()
		db.to.Reply(state.Reply{Result: logic.ConnectFailed})
	}
}

func (db *mysqlDatabase) spoilt(err error) {
	db.d.noteSpoilt(db.address, err)
	never := db.phase == mysqlReady && db.owes && db.Preparing()
	db.Close()
	db.d.Loop.Post(func() {
		if never {
			db.to.Reply(state.Reply{Result: logic.ConnectFailed})
			return
		}
		db.to.Spoilt()
	})
}

// outcome puts an answer into the terms of the decisions.
func (db *mysqlDatabase) outcome() state.Reply {
	if e := db.reply.Err; e != nil {
		return db.failure(e)
	}
	if db.caps != linkCaps { // a server without the newer ways
		db.raw = db.reply.AppendTo(db.raw[:0], 1, linkCaps)
	}
	r := state.Reply{Result: logic.OK, Body: db.raw, Role: roleOf(db.reply.OK.Role()), Position: db.reply.OK.Position()}
	if db.probing && len(db.reply.Rows) == 1 && len(db.reply.Rows[0]) > 1 {
		r.Load = loadOf(string(db.reply.Rows[0][1:])) // one short text: one byte of length
	}
	return r
}

// failure says what an error means for the attempt. While preparing, nothing has run.
func (db *mysqlDatabase) failure(e *mysql.ServerError) state.Reply {
	r := state.Reply{Result: logic.Failed, Body: db.raw}
	switch mysql.OutcomeOf(e) {
	case mysql.Miss:
		r.Result = logic.Miss
		if e.Number != mysql.ErrTooFarBehind {
			r.Role = logic.RoleReplica
		}
	case mysql.TurnedAway:
		r.Result = logic.Full
	case mysql.Unfit:
		r.Unfit = true
	case mysql.Forgotten:
		r.Result = logic.ConnectFailed
	}
	return r
}
