package net

import (
	"errors"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/state/prepared"
	"havenproxy/internal/wire/mysql"
	"havenproxy/logic"
)

// databaseCapabilities are the capabilities requested on connections to MySQL databases. Answers are kept in this
// format until they are sent to a client.
const databaseCapabilities = mysql.ClientLongPassword | mysql.ClientLongFlag | mysql.ClientConnectWithDB | mysql.ClientProtocol41 |
	mysql.ClientTransactions | mysql.ClientSecureConnection | mysql.ClientMultiResults | mysql.ClientPSMultiResults |
	mysql.ClientPluginAuth | mysql.ClientPluginAuthLenEncData | mysql.ClientSessionTrack | mysql.ClientDeprecateEOF

// maxPreparedStatements is how many statements are kept prepared on one connection.
const maxPreparedStatements = 128

var (
	errLoginRejected  = errors.New("the database refuses the login")
	errStatementsLost = errors.New("the database forgets its statements")
)

// loadQueryMySQL queries the load report; its answer is one row, in the same form as PostgreSQL's.
const loadQueryMySQL = "SHOW load"

// mysqlQuery is a text query for a MySQL database.
type mysqlQuery struct {
	text            string
	waitAt, waitEnd int  // where the number of d is in the text; 0 = nowhere
	rows            bool // it asks for rows: an OK is not a valid answer
}

// mysqlPrepare asks a database to prepare a statement, so that the client learns its metadata.
type mysqlPrepare struct{ text string }

// mysqlExecute is an execution of a prepared statement.
type mysqlExecute struct {
	text      string
	params    int
	execution mysql.Execute
	longData  map[int][]byte // values sent in pieces
	waitParam int            // index of the parameter with the client's time limit; negative = none
}

// AppendTo implements state.Command.
func (q *mysqlQuery) AppendTo(dst []byte, wait time.Duration) []byte {
	text := q.text
	if q.waitEnd > 0 {
		text = text[:q.waitAt] + formatInt(max(int64(wait/time.Millisecond), 1)) + text[q.waitEnd:]
	}
	return mysql.AppendCommand(dst, mysql.ComQuery, text)
}

// AppendTo implements state.Command.
func (p *mysqlPrepare) AppendTo(dst []byte, _ time.Duration) []byte {
	return mysql.AppendCommand(dst, mysql.ComStmtPrepare, p.text)
}

// Size returns how many bytes of a client's data it holds.
func (q *mysqlQuery) Size() int { return len(q.text) }

// Size returns how many bytes of a client's data it holds, without the text, which belongs to the statement.
func (e *mysqlExecute) Size() int {
	n := len(e.execution.Rest)
	for _, data := range e.longData {
		n += len(data)
	}
	return n
}

// AppendTo implements state.Command; the bytes to send depend on the connection.
func (e *mysqlExecute) AppendTo(dst []byte, _ time.Duration) []byte { return dst }

type mysqlPhase uint8

const (
	mysqlPhaseGreeting mysqlPhase = iota
	mysqlPhaseLogin
	mysqlPhaseReady
)

// mysqlDatabase is a connection to a MySQL database.
type mysqlDatabase struct {
	databaseLink
	rawAnswer      []byte // the packets of the current answer, as they arrived
	phase          mysqlPhase
	capabilities   uint32
	reply          mysql.Reply
	cache          *prepared.Cache
	execution      *prepared.Execution // progress of the current execution
	executeCommand *mysqlExecute
	preparingText  string        // the text that is being prepared; empty = none
	executeBy      time.Duration // the client's deadline for the execution
	loginRejection *state.Reply  // the reply if the server refused the connection during login
}

func (d *Databases) openMySQL(address string, to state.Listener) state.Conn {
	db := &mysqlDatabase{cache: prepared.New(maxPreparedStatements)}
	db.databaseLink.open(d, address, to, db)
	return db
}

// start implements databaseProtocol: in this protocol the server speaks first.
func (db *mysqlDatabase) start() error { return nil }

// Send implements state.Conn. A statement that is not prepared on this connection is prepared first; the time that
// takes counts towards the request's, and after a failure before EXECUTE has been written nothing has run.
func (db *mysqlDatabase) Send(cmd state.Command, wait time.Duration) error {
	db.awaitingAnswer, db.probing, db.execution, db.executeCommand, db.preparingText = true, false, nil, nil, ""
	switch cmd := cmd.(type) {
	case *mysqlExecute:
		db.executeCommand, db.execution, db.executeBy = cmd, &prepared.Execution{Text: cmd.text}, db.databases.Loop.clock.Now()+wait
		return db.writeNextStep()
	case *mysqlPrepare:
		db.preparingText = cmd.text
		db.expectAnswer(true)
	case *mysqlQuery:
		if db.expectAnswer(false); cmd.rows {
			db.reply.Due()
		}
	default: // a PostgreSQL client addressed a MySQL group
		db.rejectCommand()
		return nil
	}
	return db.writeBuffered(cmd.AppendTo(db.scratch[:0], wait))
}

// Preparing reports that the current request has not been written yet, although a PREPARE for it has.
func (db *mysqlDatabase) Preparing() bool { return db.execution != nil && !db.execution.Sent }

// CommandWritten reports whether the socket has taken the current request whole.
func (db *mysqlDatabase) CommandWritten() bool {
	return !db.Preparing() && db.databaseLink.CommandWritten()
}

// writeNextStep writes the next command of the current execution.
func (db *mysqlDatabase) writeNextStep() error {
	switch step, statement := db.execution.Next(db.cache); step {
	case prepared.Prepare:
		db.preparingText = db.execution.Text
		db.expectAnswer(true)
		db.databases.Counters.Prepares++
		return db.writeBuffered(mysql.AppendCommand(db.scratch[:0], mysql.ComStmtPrepare, db.execution.Text))
	case prepared.Execute:
		db.preparingText = ""
		db.expectAnswer(false)
		if db.reply.Binary(); statement.ReturnsRows {
			db.reply.Due()
		}
		db.databases.Counters.Executes++
		output := db.scratch[:0]
		for param, data := range db.executeCommand.longData {
			output = mysql.AppendLongData(output, statement.ID, param, data)
		}
		execution := &db.executeCommand.execution
		if execution.Sets = db.executeCommand.waitParam >= 0; execution.Sets { // the time that preparing took is subtracted; rounded down, as in a text query
			execution.Param, execution.Number = db.executeCommand.waitParam, max(int64((db.executeBy-db.databases.Loop.clock.Now())/time.Millisecond), 1)
		}
		return db.writeBuffered(mysql.AppendExecute(output, statement.ID, db.executeCommand.params, execution, db.capabilities))
	}
	return errStatementsLost
}

func (db *mysqlDatabase) expectAnswer(prepare bool) {
	if cap(db.rawAnswer) > maxIdleBuffer {
		db.rawAnswer = nil
	}
	db.rawAnswer = db.rawAnswer[:0]
	db.reply.Expect(db.capabilities, prepare)
	if db.capabilities == databaseCapabilities && !db.probing { // it is passed on as it arrives
		db.reply.Skim()
	}
}

// Probe implements state.Conn.
func (db *mysqlDatabase) Probe() error {
	db.awaitingAnswer, db.probing, db.execution, db.preparingText = true, true, nil, ""
	db.expectAnswer(false)
	return db.writeBuffered(mysql.AppendCommand(db.scratch[:0], mysql.ComQuery, loadQueryMySQL))
}

// syncCommandMySQL is the command that every connection to a MySQL database is synchronized with.
var syncCommandMySQL = mysql.AppendSync(nil)

// Sync implements state.Conn.
func (db *mysqlDatabase) Sync() error {
	db.execution, db.preparingText = nil, ""
	return db.sync(syncCommandMySQL)
}

// ready implements databaseProtocol.
func (db *mysqlDatabase) ready() bool { return db.phase == mysqlPhaseReady }

// replyAtEnd implements databaseProtocol. While a statement is being prepared, nothing has run.
func (db *mysqlDatabase) replyAtEnd(error) (state.Reply, bool) {
	return state.Reply{Result: logic.ConnectFailed}, db.ready() && db.awaitingAnswer && db.Preparing()
}

// parseNext implements databaseProtocol.
func (db *mysqlDatabase) parseNext(buf []byte) (n int, complete bool, err error) {
	body, seq, n, err := mysql.Next(buf, mysql.MaxPacket)
	if n == 0 || err != nil {
		return 0, false, err
	}
	if !db.awaitingAnswer {
		return n, false, errUnexpectedAnswer
	}
	if db.phase != mysqlPhaseReady {
		complete, err = db.login(body, seq)
		return n, complete, err
	}
	if db.syncing {
		return n, true, mysql.CheckSync(body, seq, db.capabilities)
	}
	if err = db.reply.Add(body, seq); err == nil {
		db.rawAnswer = append(db.rawAnswer, buf[:n]...)
	}
	return n, db.reply.Whole(), err
}

// login handles a packet of the handshake and reports whether it was the last.
func (db *mysqlDatabase) login(body []byte, seq byte) (done bool, err error) {
	if len(body) == 0 {
		return false, mysql.ErrMalformed
	}
	if body[0] == 0xff { // the server refuses the connection, or the login is wrong
		e, err := mysql.ParseErr(body)
		if err != nil {
			return false, err
		}
		reply := db.replyForError(&e)
		if reply.Result != logic.Rejected {
			return false, errLoginRejected
		}
		db.loginRejection = &reply
		return true, nil
	}
	if db.phase == mysqlPhaseGreeting {
		h, err := mysql.ParseHandshake(body)
		if err != nil {
			return false, err
		}
		db.capabilities = databaseCapabilities & h.Caps
		auth, err := mysql.AnswerScramble(h.Plugin, db.databases.MySQLPassword, h.Scramble)
		if err != nil {
			auth = nil // the server will ask for a method that both sides support
		}
		db.phase = mysqlPhaseLogin
		return false, db.write(mysql.AppendLogin(nil, seq+1, mysql.Login{Caps: db.capabilities, User: db.databases.mysqlUser(), Auth: auth,
			Database: databaseName, Plugin: h.Plugin}))
	}
	switch {
	case body[0] == 0x00:
		_, err := mysql.ParseOK(body, db.capabilities)
		return err == nil, err
	case body[0] == 0xfe:
		plugin, scramble, err := mysql.ParseAuthSwitch(body)
		if err != nil {
			return false, err
		}
		auth, err := mysql.AnswerScramble(plugin, db.databases.MySQLPassword, scramble)
		if err != nil {
			return false, err
		}
		return false, db.write(mysql.AppendPacket(nil, seq+1, auth))
	case len(body) == 2 && body[0] == 0x01 && body[1] == mysql.FastOK[0]:
		return false, nil
	}
	return false, errLoginRejected
}

// answerComplete implements databaseProtocol: it reports a complete answer, or continues the execution that it
// belongs to.
func (db *mysqlDatabase) answerComplete() {
	switch {
	case db.loginRejection != nil:
		r := *db.loginRejection
		db.Close()
		db.databases.Loop.Post(func() { db.listener.Reply(r) })
		return
	case db.phase != mysqlPhaseReady:
		db.phase, db.awaitingAnswer = mysqlPhaseReady, false
		db.listener.Up()
		return
	case db.syncing && db.execution != nil:
		db.stepSynced()
		return
	case db.syncing:
		db.synced()
		return
	}
	if e := db.reply.Err; e != nil && db.execution != nil && db.execution.Sent && mysql.OutcomeOf(e) == mysql.Forgotten {
		db.execution.StatementUnknown(db.cache)
		db.continueExecution()
		return
	}
	if db.preparingText != "" && db.reply.Err == nil {
		evictedID, evicted := db.cache.Put(db.preparingText, prepared.Statement{ID: db.reply.Prepared.Statement, ReturnsRows: db.reply.Prepared.Columns > 0})
		if evicted && db.hasNoInput() {
			db.write(mysql.AppendStatement(nil, mysql.ComStmtClose, evictedID)) // it has no answer
		}
		if db.execution != nil {
			db.continueExecution()
			return
		}
	}
	db.awaitingAnswer = false
	db.listener.Reply(db.outcome())
}

// continueExecution goes on with an execution. Another answer to the step before could be taken for the answer to the
// next one, so the connection is synchronized between them.
func (db *mysqlDatabase) continueExecution() {
	db.awaitingAnswer = false
	if err := db.sync(syncCommandMySQL); err != nil {
		db.abandonExecution()
	}
}

// stepSynced takes the next step of an execution.
func (db *mysqlDatabase) stepSynced() {
	db.awaitingAnswer, db.syncing = true, false
	err := errUnexpectedAnswer
	if db.hasNoInput() {
		err = db.writeNextStep()
	}
	if err != nil {
		db.abandonExecution()
	}
}

// abandonExecution ends an execution of which nothing was sent and nothing has run.
func (db *mysqlDatabase) abandonExecution() {
	db.Close()
	db.databases.Loop.Post(func() { db.listener.Reply(state.Reply{Result: logic.ConnectFailed}) })
}

// outcome converts an answer to a state.Reply.
func (db *mysqlDatabase) outcome() state.Reply {
	if e := db.reply.Err; e != nil {
		return db.replyForError(e)
	}
	if db.capabilities != databaseCapabilities { // a server that lacks some of these capabilities
		db.rawAnswer = db.reply.AppendTo(db.rawAnswer[:0], 1, databaseCapabilities)
	}
	reply := state.Reply{Result: logic.OK, Body: db.rawAnswer, Role: parseRole(db.reply.OK.Role), Position: db.reply.OK.Position}
	if db.probing && len(db.reply.Rows) == 1 && len(db.reply.Rows[0]) > 1 {
		reply.Load = parseLoad(string(db.reply.Rows[0][1:])) // a short text, with a length of one byte
	}
	return reply
}

// replyForError returns what an error means for the attempt. While a statement is being prepared, nothing has run.
func (db *mysqlDatabase) replyForError(e *mysql.ServerError) state.Reply {
	reply := state.Reply{Result: logic.Failed, Body: db.rawAnswer}
	switch mysql.OutcomeOf(e) {
	case mysql.Miss:
		reply.Result = logic.Misdirected
		if e.Number != mysql.ErrTooFarBehind {
			reply.Role = logic.RoleReplica
		}
	case mysql.TurnedAway:
		reply.Result = logic.Rejected
	case mysql.Unfit:
		reply.BadRequest = true
	case mysql.Forgotten:
		reply.Result = logic.ConnectFailed
	}
	return reply
}

// streaming implements databaseProtocol: MySQL's answers are never streamed.
func (db *mysqlDatabase) streaming() bool { return false }

func (db *mysqlDatabase) beginStream() {}
