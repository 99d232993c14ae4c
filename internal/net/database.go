package net

import (
	"errors"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

// The user and database names with which the proxy logs in to databases.
const (
	defaultDatabaseUser = "client"
	databaseName        = "core"
	loadQuery           = "SHOW load"
)

var errMissingRow = errors.New("an answer without its one row")

// Databases opens connections to databases. It implements state.Opener.
type Databases struct {
	Loop           *Loop
	ConnectTimeout time.Duration
	// MySQL reports whether a group's databases speak MySQL; nil = none does. The proxy logs in to them as MySQLUser.
	MySQL         func(group int) bool
	MySQLUser     string
	MySQLPassword string

	Counters *state.Counters

	protocolErrorLoggedAt time.Duration // when protocol errors were last logged
	abandonedDials        int           // dials that are still running after their connection was closed
}

// AbandonedDials implements state.Opener.
func (d *Databases) AbandonedDials() int { return d.abandonedDials }

// database is a connection to a PostgreSQL database.
type database struct {
	databaseLink
	reply     pg.Reply
	syncReply pg.SyncReply
	sessionUp bool

	stream *valueStream // passes on a long value; nil = the answer isn't one
}

// Open implements state.Opener. Only the dial blocks, and it runs outside the loop.
func (d *Databases) Open(address string, group int, to state.Listener) state.Conn {
	if d.MySQL != nil && d.MySQL(group) {
		return d.openMySQL(address, to)
	}
	db := &database{}
	db.databaseLink.open(d, address, to, db)
	return db
}

// start implements databaseProtocol: in this protocol the client speaks first.
func (db *database) start() error {
	return db.write(pg.AppendStartup(nil, defaultDatabaseUser, databaseName))
}

// Send implements state.Conn.
func (db *database) Send(cmd state.Command, wait time.Duration) error {
	if _, ours := cmd.(*pg.Statement); !ours { // a MySQL client addressed a PostgreSQL group
		db.rejectCommand()
		return nil
	}
	db.reply.Reset()
	db.awaitingAnswer, db.probing = true, false
	return db.writeBuffered(cmd.AppendTo(db.scratch[:0], wait))
}

// Probe implements state.Conn.
func (db *database) Probe() error {
	db.reply.Reset()
	db.awaitingAnswer, db.probing = true, true
	return db.write(pg.AppendQuery(nil, loadQuery))
}

// syncCommand is the command that every connection to a PostgreSQL database is synchronized with.
var syncCommand = pg.AppendSync(nil)

// Sync implements state.Conn.
func (db *database) Sync() error {
	db.syncReply = pg.SyncReply{}
	return db.sync(syncCommand)
}

// parseNext implements databaseProtocol.
func (db *database) parseNext(buf []byte) (n int, complete bool, err error) {
	if pg.IncompleteRowHeader(buf) { // the length alone does not tell whether the row is too long or to be streamed
		return 0, false, nil
	}
	if row, long := pg.NextStreamedRow(buf); long && db.awaitingAnswer && !db.probing && !db.syncing && db.reply.AddStreamedRow() {
		db.stream = &valueStream{database: db, remainingRowBytes: row, output: append([]byte(nil), db.reply.Body...)}
		return 0, false, nil
	}
	m, n, err := pg.Next(buf)
	if n == 0 || err != nil {
		return 0, false, err
	}
	if !db.awaitingAnswer {
		return n, false, errUnexpectedAnswer
	}
	if db.syncing {
		err = db.syncReply.Add(m)
		return n, db.syncReply.Ready(), err
	}
	err = db.reply.Add(m)
	return n, db.reply.Ready(), err
}

// ready implements databaseProtocol.
func (db *database) ready() bool { return db.sessionUp }

// replyAtEnd implements databaseProtocol: a fatal error is complete without further messages.
func (db *database) replyAtEnd(err error) (state.Reply, bool) {
	if err != nil || !db.awaitingAnswer || db.reply.ErrorCode == "" {
		return state.Reply{}, false
	}
	return db.outcome(), true
}

// answerComplete implements databaseProtocol; the first answer completes the session start.
func (db *database) answerComplete() {
	if db.syncing {
		db.synced()
		return
	}
	db.awaitingAnswer = false
	if !db.sessionUp && db.reply.ErrorCode == "" {
		db.sessionUp = true
		db.reply.Reset()
		db.listener.Up()
		return
	}
	reply := db.outcome()
	if reply.Result == logic.OK && !db.reply.Complete() {
		db.protocolError(errMissingRow)
		return
	}
	db.listener.Reply(reply)
}

// streaming implements databaseProtocol.
func (db *database) streaming() bool { return db.stream != nil }

// Close implements state.Conn.
func (db *database) Close() {
	if db.stream != nil {
		db.stream.Stop()
	}
	db.databaseLink.Close()
}

// outcome converts an answer to a state.Reply.
func (db *database) outcome() state.Reply {
	reply := state.Reply{Result: logic.Failed, Body: db.reply.Body, Position: db.reply.Position, Role: parseRole(db.reply.Role)}
	switch db.reply.ErrorCode {
	case "":
		reply.Result = logic.OK
	case pg.CodeReadOnlyTransaction, pg.CodeSnapshotTooOld:
		reply.Result = logic.Misdirected
	case pg.CodeTooManyConnections, pg.CodeCannotConnectNow:
		reply.Result = logic.Rejected
	default:
		reply.BadRequest = pg.IsStatementError(db.reply.ErrorCode)
	}
	report := db.reply.Load
	if db.probing && reply.Result == logic.OK {
		report = db.reply.Row()
	}
	reply.Load = parseLoad(report)
	return reply
}

// parseLoad parses a load report.
func parseLoad(report string) state.Load {
	parsed := pg.ParseLoadReport(report)
	if !parsed.Present {
		return state.Load{}
	}
	return state.Load{Known: true, Role: parseRole(parsed.Role), Position: parsed.Position, Queue: parsed.QueueLength}
}

func parseRole(name string) logic.Role {
	switch name {
	case pg.RolePrimary:
		return logic.RolePrimary
	case pg.RoleReplica:
		return logic.RoleReplica
	}
	return logic.RoleUnknown
}
