package net

import (
	"errors"
	"time"

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
	waitAt, waitEnd int  // where the number of d stands; 0 = nowhere
	rows            bool // it asks for rows: an OK is no answer to it
}

// mysqlPrepare asks a database to prepare a statement, so that its client learns what it holds.
type mysqlPrepare struct{ text string }

// mysqlExecute is one execution of a prepared statement.
type mysqlExecute struct {
	text   string
	params int
	x      mysql.Execute
	long   map[int][]byte // values that came in pieces
	wait   int            // the parameter that says how long the client waits; negative = none does
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

// Size is how many bytes of a client it holds.
func (q *mysqlQuery) Size() int { return len(q.text) }

// Size is how many bytes of a client it holds, the text aside, which is the statement's.
func (e *mysqlExecute) Size() int {
	n := len(e.x.Rest)
	for _, data := range e.long {
		n += len(data)
	}
	return n
}

// AppendTo implements state.Command; what goes out depends on the connection.
func (e *mysqlExecute) AppendTo(dst []byte, _ time.Duration) []byte { return dst }

type mysqlPhase uint8

const (
	mysqlGreeting mysqlPhase = iota
	mysqlLogin
	mysqlReady
)

// mysqlDatabase is a connection to a MySQL database.
type mysqlDatabase struct {
	link
	raw     []byte // the packets of the answer in hand, as they came
	phase   mysqlPhase
	caps    uint32
	reply   mysql.Reply
	cache   *prepared.Cache
	run     *prepared.Execution // of the execution in hand
	execute *mysqlExecute
	asks    string        // the text that is being prepared; empty = none
	until   time.Duration // the client's time for it
	away    *state.Reply  // the word with which the server turns this connection away
}

func (d *Databases) openMySQL(address string, to state.Listener) state.Conn {
	db := &mysqlDatabase{cache: prepared.New(keptStatements)}
	db.link.open(d, address, to, db)
	return db
}

// start implements talker: the server speaks first.
func (db *mysqlDatabase) start() error { return nil }

// Send implements state.Conn. A statement that isn't prepared here is prepared first; its time is a part of the
// request's, and a failure until EXECUTE has been written has run nothing.
func (db *mysqlDatabase) Send(cmd state.Command, wait time.Duration) error {
	db.owes, db.probing, db.run, db.execute, db.asks = true, false, nil, nil, ""
	switch cmd := cmd.(type) {
	case *mysqlExecute:
		db.execute, db.run, db.until = cmd, &prepared.Execution{Text: cmd.text}, db.d.Loop.clock.Now()+wait
		return db.step()
	case *mysqlPrepare:
		db.asks = cmd.text
		db.expect(true)
	case *mysqlQuery:
		if db.expect(false); cmd.rows {
			db.reply.Due()
		}
	default: // a PostgreSQL client asked for a group of MySQL's
		db.misfit()
		return nil
	}
	return db.writeOut(cmd.AppendTo(db.out[:0], wait))
}

// Preparing tells that the request in hand has not been written yet, though something was for its sake.
func (db *mysqlDatabase) Preparing() bool { return db.run != nil && !db.run.Sent }

// step writes what is next for the execution in hand.
func (db *mysqlDatabase) step() error {
	switch what, st := db.run.Next(db.cache); what {
	case prepared.Prepare:
		db.asks = db.run.Text
		db.expect(true)
		db.d.Counters.Prepares++
		return db.writeOut(mysql.AppendCommand(db.out[:0], mysql.ComStmtPrepare, db.run.Text))
	case prepared.Execute:
		db.asks = ""
		db.expect(false)
		if db.reply.Binary(); st.ReturnsRows {
			db.reply.Due()
		}
		db.d.Counters.Executes++
		out := db.out[:0]
		for param, data := range db.execute.long {
			out = mysql.AppendLongData(out, st.ID, param, data)
		}
		x := &db.execute.x
		if x.Sets = db.execute.wait >= 0; x.Sets { // what preparing took is gone; rounded down, as in a text
			x.Param, x.Number = db.execute.wait, max(int64((db.until-db.d.Loop.clock.Now())/time.Millisecond), 1)
		}
		return db.writeOut(mysql.AppendExecute(out, st.ID, db.execute.params, x, db.caps))
	}
	return errForgot
}

func (db *mysqlDatabase) expect(prepare bool) {
	if cap(db.raw) > keepRoom {
		db.raw = nil
	}
	db.raw = db.raw[:0]
	db.reply.Expect(db.caps, prepare)
	if db.caps == linkCaps && !db.probing { // it is passed on as it comes
		db.reply.Skim()
	}
}

// Probe implements state.Conn.
func (db *mysqlDatabase) Probe() error {
	db.owes, db.probing, db.run, db.asks = true, true, nil, ""
	db.expect(false)
	return db.writeOut(mysql.AppendCommand(db.out[:0], mysql.ComQuery, loadQueryMySQL))
}

// ready implements talker.
func (db *mysqlDatabase) ready() bool { return db.phase == mysqlReady }

// ended implements talker. While preparing, nothing has run.
func (db *mysqlDatabase) ended(error) (state.Reply, bool) {
	return state.Reply{Result: logic.ConnectFailed}, db.ready() && db.owes && db.Preparing()
}

// take implements talker.
func (db *mysqlDatabase) take(buf []byte) (n int, whole bool, err error) {
	body, seq, n, err := mysql.Next(buf, mysql.MaxPacket)
	if n == 0 || err != nil {
		return 0, false, err
	}
	if !db.owes {
		return n, false, errUnasked
	}
	if db.phase != mysqlReady {
		whole, err = db.login(body, seq)
		return n, whole, err
	}
	if err = db.reply.Add(body, seq); err == nil {
		db.raw = append(db.raw, buf[:n]...)
	}
	return n, db.reply.Whole(), err
}

// login takes a packet of the handshake, and tells whether it was the last.
func (db *mysqlDatabase) login(body []byte, seq byte) (done bool, err error) {
	if len(body) == 0 {
		return false, mysql.ErrMalformed
	}
	if body[0] == 0xff { // turned away at the door, or the login is wrong
		e, err := mysql.ParseErr(body)
		if err != nil {
			return false, err
		}
		r := db.failure(&e)
		if r.Result != logic.Rejected {
			return false, errLogin
		}
		db.away = &r
		return true, nil
	}
	if db.phase == mysqlGreeting {
		h, err := mysql.ParseHandshake(body)
		if err != nil {
			return false, err
		}
		db.caps = linkCaps & h.Caps
		auth, err := mysql.AnswerScramble(h.Plugin, db.d.MySQLPassword, h.Scramble)
		if err != nil {
			auth = nil // it will ask for a method that both know
		}
		db.phase = mysqlLogin
		return false, db.write(mysql.AppendLogin(nil, seq+1, mysql.Login{Caps: db.caps, User: db.d.mysqlUser(), Auth: auth,
			Database: databaseName, Plugin: h.Plugin}))
	}
	switch {
	case body[0] == 0x00:
		_, err := mysql.ParseOK(body, db.caps)
		return err == nil, err
	case body[0] == 0xfe:
		plugin, scramble, err := mysql.ParseAuthSwitch(body)
		if err != nil {
			return false, err
		}
		auth, err := mysql.AnswerScramble(plugin, db.d.MySQLPassword, scramble)
		if err != nil {
			return false, err
		}
		return false, db.write(mysql.AppendPacket(nil, seq+1, auth))
	case len(body) == 2 && body[0] == 0x01 && body[1] == mysql.FastOK[0]:
		return false, nil
	}
	return false, errLogin
}

// answered implements talker: it hands a whole answer over, or goes on with what it was for.
func (db *mysqlDatabase) answered() {
	switch {
	case db.away != nil:
		r := *db.away
		db.Close()
		db.d.Loop.Post(func() { db.to.Reply(r) })
		return
	case db.phase != mysqlReady:
		db.phase, db.owes = mysqlReady, false
		db.to.Up()
		return
	}
	if e := db.reply.Err; e != nil && db.run != nil && db.run.Sent && mysql.OutcomeOf(e) == mysql.Forgotten {
		db.run.StatementUnknown(db.cache)
		db.goOn()
		return
	}
	if db.asks != "" && db.reply.Err == nil {
		closes, must := db.cache.Put(db.asks, prepared.Statement{ID: db.reply.Prepared.Statement, ReturnsRows: db.reply.Prepared.Columns > 0})
		if must && db.clean() {
			db.write(mysql.AppendStatement(nil, mysql.ComStmtClose, closes)) // it has no answer
		}
		if db.run != nil {
			db.goOn()
			return
		}
	}
	db.owes = false
	db.to.Reply(db.outcome())
}

// goOn takes the next step of an execution. Nothing goes out behind bytes that are left over, nor where there is no
// further step: then nothing has run.
func (db *mysqlDatabase) goOn() {
	err := errUnasked
	if db.clean() {
		err = db.step()
	}
	if err != nil {
		db.Close()
		db.d.Loop.Post(func() { db.to.Reply(state.Reply{Result: logic.ConnectFailed}) })
	}
}

// outcome puts an answer into the terms of the decisions.
func (db *mysqlDatabase) outcome() state.Reply {
	if e := db.reply.Err; e != nil {
		return db.failure(e)
	}
	if db.caps != linkCaps { // a server without the newer ways
		db.raw = db.reply.AppendTo(db.raw[:0], 1, linkCaps)
	}
	r := state.Reply{Result: logic.OK, Body: db.raw, Role: roleOf(db.reply.OK.Role), Position: db.reply.OK.Position}
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
		r.Result = logic.Misdirected
		if e.Number != mysql.ErrTooFarBehind {
			r.Role = logic.RoleReplica
		}
	case mysql.TurnedAway:
		r.Result = logic.Rejected
	case mysql.Unfit:
		r.BadRequest = true
	case mysql.Forgotten:
		r.Result = logic.ConnectFailed
	}
	return r
}

// handing implements talker: MySQL's answers are held as a whole.
func (db *mysqlDatabase) handing() bool { return false }
func (db *mysqlDatabase) handed()       {}
