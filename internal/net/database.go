package net

import (
	"context"
	"errors"
	"log/slog"
	stdnet "net"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

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

// answerPatience is how long an answer may take from its first bytes to its end, which a database writes at once. One
// that doesn't end is spoilt; waited for until the client's time is up, it leaves none for another attempt.
const answerPatience = 100 * time.Millisecond

var (
	errNoRow   = errors.New("an answer without its one row")
	errNoEnd   = errors.New("an answer without its end")
	errUnasked = errors.New("an answer that nobody asked for")
)

// Databases opens connections to databases. It implements state.Opener.
type Databases struct {
	Loop           *Loop
	ConnectTimeout time.Duration
	// MySQL tells whether a group's databases speak MySQL; nil = none does. They are entered by this user.
	MySQL         func(group int) bool
	MySQLUser     string
	MySQLPassword string

	toldAt  time.Duration // when spoilt bytes were last logged
	givenUp int           // dials whose connection nobody waits for any more
}

// GivenUp implements state.Opener.
func (d *Databases) GivenUp() int { return d.givenUp }

// tellSpoilt is how often it is logged that databases send what is no answer, at most.
const tellSpoilt = 10 * time.Second

func (d *Databases) noteSpoilt(address string, err error) {
	if now := d.Loop.clock.Now(); d.toldAt == 0 || now-d.toldAt >= tellSpoilt {
		d.toldAt = now
		slog.Warn("database sends what is no answer", "address", address, "error", err)
	}
}

// database is a connection to a database. It implements state.Conn.
type database struct {
	d       *Databases
	address string
	to      state.Listener
	conn    netpoll.Connection // nil until it is connected
	in      buffer
	out     []byte
	reply   pg.Reply
	dialled bool // the dial has ended, one way or the other
	up      bool
	owes    bool // an answer: to the startup message, or to the last command
	probing bool // the last command was one for the load report
	closed  bool
	rest    state.Deadline // set while a part of an answer has come
	begun   bool
}

// Open implements state.Opener. Only the connecting itself waits, and it does so beside the loop.
func (d *Databases) Open(address string, group int, to state.Listener) state.Conn {
	if d.MySQL != nil && d.MySQL(group) {
		return d.openMySQL(address, to)
	}
	db := &database{d: d, address: address, to: to}
	connect(d.Loop, address, d.ConnectTimeout, db.connected)
	return db
}

// connect dials beside the loop and tells the loop how it went.
func connect(loop *Loop, address string, timeout time.Duration, then func(netpoll.Connection, error)) {
	go func() {
		conn, err := netpoll.DialConnection("tcp", address, timeout)
		if err == nil {
			conn.SetWriteTimeout(writePatience)
			// As much room as the largest query takes: a database that doesn't read must not stop the loop.
			if c, ok := conn.(netpoll.Conn); ok {
				syscall.SetsockoptInt(c.Fd(), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
			}
		}
		loop.Post(func() { then(conn, err) })
	}()
}

// attach lets the loop know what comes on a connection that was dialled, and its end.
func attach(loop *Loop, conn netpoll.Connection, readable, down func()) {
	conn.AddCloseCallback(func(netpoll.Connection) error {
		loop.Post(down)
		return nil
	})
	conn.SetOnRequest(func(context.Context, netpoll.Connection) error {
		readable()
		return nil
	})
	if !conn.IsActive() { // it ended before the callbacks were there
		conn.Close()
	}
}

func (db *database) connected(conn netpoll.Connection, err error) {
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
	db.conn = conn
	attach(db.d.Loop, conn, db.readable, func() { db.lost(nil) })
	if !db.closed {
		db.owes = true
		db.write(pg.AppendStartup(nil, databaseUser, databaseName))
	}
}

// write sends bytes; an error tells that the last one was not written, and ends the connection.
func (db *database) write(b []byte) error {
	if db.closed || db.conn == nil {
		return stdnet.ErrClosed
	}
	_, err := db.conn.Write(b)
	return err
}

// Send implements state.Conn.
func (db *database) Send(cmd state.Command, wait time.Duration) error {
	if _, ours := cmd.(*pg.Statement); !ours { // a MySQL client asked for a group of PostgreSQL's
		db.d.Loop.Post(func() { db.to.Reply(state.Reply{Result: logic.Failed, Unfit: true}) })
		return nil
	}
	db.reply.Reset()
	db.owes, db.probing = true, false
	db.out = cmd.AppendTo(db.out[:0], wait)
	err := db.write(db.out)
	if cap(db.out) > keepRoom {
		db.out = nil
	}
	return err
}

// Probe implements state.Conn.
func (db *database) Probe() error {
	db.reply.Reset()
	db.owes, db.probing = true, true
	return db.write(pg.AppendQuery(nil, loadQuery))
}

// Quiet implements state.Conn. Answers bear no name: whatever comes without a command, even what the kernel still
// holds, would be taken for the answer to the next one.
func (db *database) Quiet() bool {
	if db.closed || db.conn == nil || db.owes || !db.conn.IsActive() || len(db.in.bytes) > 0 || db.conn.Reader().Len() > 0 {
		return false
	}
	c, ok := db.conn.(netpoll.Conn)
	if !ok {
		return true
	}
	_, _, err := syscall.Recvfrom(c.Fd(), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN // neither bytes nor their end
}

// Close implements state.Conn.
func (db *database) Close() {
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
func (db *database) lost(err error) {
	if db.closed {
		return
	}
	if err == nil && db.owes && db.reply.Code != "" { // a fatal error needs nothing behind it
		db.to.Reply(db.outcome())
	}
	if db.closed {
		return
	}
	db.Close()
	db.to.Down()
}

func (db *database) readable() {
	if err := db.in.fill(db.conn.Reader()); err != nil {
		db.lost(err)
		return
	}
	for used := 0; !db.closed; {
		m, n, err := pg.Next(db.in.bytes[used:])
		switch {
		case err != nil:
		case n > 0 && !db.owes:
			err = errUnasked
		case n > 0:
			err = db.reply.Add(m)
		}
		if err != nil { // what comes behind broken bytes can't be trusted either
			db.spoilt(err)
			return
		}
		if used += n; n == 0 || db.reply.Ready() {
			db.in.cut(used)
			if n > 0 {
				db.whole()
				db.ready()
			} else if db.owes && db.up && !db.begun {
				db.begun = true
				db.d.Loop.deadlines.Set(&db.rest, db.d.Loop.clock.Now()+answerPatience, db.stalled)
			}
			return
		}
	}
}

// whole ends the wait for the rest of an answer.
func (db *database) whole() {
	db.begun = false
	db.d.Loop.deadlines.Clear(&db.rest)
}

// stalled finds an answer without its end, unless that has come and only the loop was late.
func (db *database) stalled() {
	if db.begun = false; db.conn.Reader().Len() == 0 {
		db.spoilt(errNoEnd)
	}
}

// ready hands over the answer that is now whole; the first one ends the start of the session. What has come behind
// it is left where it is: it makes the connection unfit for another command, but the answer counts.
func (db *database) ready() {
	db.owes = false
	if !db.up && db.reply.Code == "" {
		db.up = true
		db.reply.Reset()
		db.to.Up()
		return
	}
	r := db.outcome()
	if r.Result == logic.OK && !db.reply.Served() {
		db.spoilt(errNoRow)
		return
	}
	db.to.Reply(r)
}

// spoilt ends a connection on which sense and nonsense can't be told apart any more.
func (db *database) spoilt(err error) {
	db.d.noteSpoilt(db.address, err)
	db.Close()
	// netpoll closes it when this callback has returned; no further attempt may go out before that.
	db.d.Loop.Post(db.to.Spoilt)
}

// outcome puts an answer into the terms of the decisions.
func (db *database) outcome() state.Reply {
	r := state.Reply{Result: logic.Failed, Body: db.reply.Body, Position: db.reply.Position, Role: roleOf(db.reply.Role)}
	switch db.reply.Code {
	case "":
		r.Result = logic.OK
	case pg.CodeReadOnly, pg.CodeTooFarBack:
		r.Result = logic.Miss
	case pg.CodeTooMany, pg.CodeNotNow:
		r.Result = logic.Full
	default:
		r.Unfit = pg.Unfit(db.reply.Code)
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
	l := pg.ParseReport(report)
	if !l.Told {
		return state.Load{}
	}
	return state.Load{Told: true, Role: roleOf(l.Role), Position: l.Position, Queue: l.Queue}
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
