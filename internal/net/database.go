package net

import (
	"errors"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

// The names under which the proxy enters databases.
const (
	databaseUser = "client"
	databaseName = "core"
	loadQuery    = "SHOW load"
)

var errNoRow = errors.New("an answer without its one row")

// Databases opens connections to databases. It implements state.Opener.
type Databases struct {
	Loop           *Loop
	ConnectTimeout time.Duration
	// MySQL tells whether a group's databases speak MySQL; nil = none does. They are entered by this user.
	MySQL         func(group int) bool
	MySQLUser     string
	MySQLPassword string

	Counters *state.Counters

	piece   [32 << 10]byte // of a long value on its way
	toldAt  time.Duration  // when spoilt bytes were last logged
	givenUp int            // dials whose connection nobody waits for any more
}

// AbandonedDials implements state.Opener.
func (d *Databases) AbandonedDials() int { return d.givenUp }

// database is a connection to a PostgreSQL database.
type database struct {
	link
	reply pg.Reply
	up    bool

	streams *stream // what passes on a long value, once the connection is its
}

// Open implements state.Opener. Only the connecting itself waits, and it does so beside the loop.
func (d *Databases) Open(address string, group int, to state.Listener) state.Conn {
	if d.MySQL != nil && d.MySQL(group) {
		return d.openMySQL(address, to)
	}
	db := &database{}
	db.link.open(d, address, to, db)
	return db
}

// start implements talker: the client speaks first.
func (db *database) start() error {
	return db.write(pg.AppendStartup(nil, databaseUser, databaseName))
}

// Send implements state.Conn.
func (db *database) Send(cmd state.Command, wait time.Duration) error {
	if _, ours := cmd.(*pg.Statement); !ours { // a MySQL client asked for a group of PostgreSQL's
		db.misfit()
		return nil
	}
	db.reply.Reset()
	db.owes, db.probing = true, false
	return db.writeOut(cmd.AppendTo(db.out[:0], wait))
}

// Probe implements state.Conn.
func (db *database) Probe() error {
	db.reply.Reset()
	db.owes, db.probing = true, true
	return db.write(pg.AppendQuery(nil, loadQuery))
}

// take implements talker.
func (db *database) take(buf []byte) (n int, whole bool, err error) {
	if row, long := pg.NextStreamedRow(buf); long && db.owes && !db.probing && db.reply.AddStreamedRow() {
		return 0, false, db.hand(row)
	}
	m, n, err := pg.Next(buf)
	if n == 0 || err != nil {
		return 0, false, err
	}
	if !db.owes {
		return n, false, errUnasked
	}
	err = db.reply.Add(m)
	return n, db.reply.Ready(), err
}

// ready implements talker.
func (db *database) ready() bool { return db.up }

// ended implements talker: a fatal error needs nothing behind it.
func (db *database) ended(err error) (state.Reply, bool) {
	if err != nil || !db.owes || db.reply.ErrorCode == "" {
		return state.Reply{}, false
	}
	return db.outcome(), true
}

// answered implements talker; the first answer ends the start of the session.
func (db *database) answered() {
	db.owes = false
	if !db.up && db.reply.ErrorCode == "" {
		db.up = true
		db.reply.Reset()
		db.to.Up()
		return
	}
	r := db.outcome()
	if r.Result == logic.OK && !db.reply.Complete() {
		db.spoilt(errNoRow)
		return
	}
	db.to.Reply(r)
}

// handing implements talker.
func (db *database) handing() bool { return db.streams != nil }

// Close implements state.Conn.
func (db *database) Close() {
	if db.streams != nil {
		db.closed = true
		db.streams.Stop()
		return
	}
	db.link.Close()
}

// outcome puts an answer into the terms of the decisions.
func (db *database) outcome() state.Reply {
	r := state.Reply{Result: logic.Failed, Body: db.reply.Body, Position: db.reply.Position, Role: roleOf(db.reply.Role)}
	switch db.reply.ErrorCode {
	case "":
		r.Result = logic.OK
	case pg.CodeReadOnlyTransaction, pg.CodeSnapshotTooOld:
		r.Result = logic.Misdirected
	case pg.CodeTooManyConnections, pg.CodeCannotConnectNow:
		r.Result = logic.Rejected
	default:
		r.BadRequest = pg.IsStatementError(db.reply.ErrorCode)
	}
	report := db.reply.Load
	if db.probing && r.Result == logic.OK {
		report = db.reply.Row()
	}
	r.Load = loadOf(report)
	return r
}

// loadOf reads a load report.
func loadOf(report string) state.Load {
	l := pg.ParseLoadReport(report)
	if !l.Present {
		return state.Load{}
	}
	return state.Load{Known: true, Role: roleOf(l.Role), Position: l.Position, Queue: l.QueueLength}
}

func roleOf(name string) logic.Role {
	switch name {
	case pg.RolePrimary:
		return logic.RolePrimary
	case pg.RoleReplica:
		return logic.RoleReplica
	}
	return logic.RoleUnknown
}
