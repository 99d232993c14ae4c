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

var errNoRow = errors.New("an answer without its one row")

// Databases opens connections to databases. It implements state.Opener.
type Databases struct {
	Loop           *Loop
	ConnectTimeout time.Duration

	broken map[string]bool // addresses whose last answer was none
}

// noteAnswer logs the first of a row of broken answers, not each.
func (d *Databases) noteAnswer(address string, err error) {
	if err == nil {
		delete(d.broken, address)
		return
	}
	if d.broken == nil {
		d.broken = map[string]bool{}
	}
	if !d.broken[address] {
		d.broken[address] = true
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
	up      bool
	probing bool // the last command was one for the load report
	closed  bool
}

// Open implements state.Opener. Only the connecting itself waits, and it does so beside the loop.
func (d *Databases) Open(address string, to state.Listener) state.Conn {
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
	switch {
	case db.closed && err == nil:
		conn.Close()
		return
	case err != nil:
		db.lost(err)
		return
	}
	db.conn = conn
	attach(db.d.Loop, conn, db.readable, func() { db.lost(nil) })
	if !db.closed {
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
	db.reply.Reset()
	db.probing = false
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
	db.probing = true
	return db.write(pg.AppendQuery(nil, loadQuery))
}

// Close implements state.Conn.
func (db *database) Close() {
	if db.closed {
		return
	}
	db.closed = true
	if db.conn != nil {
		db.conn.Close()
	}
}

// lost tells the state that the connection has ended, unless it closed it itself.
func (db *database) lost(err error) {
	if db.closed {
		return
	}
	if err == nil && db.reply.Code != "" { // a fatal error needs nothing behind it
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
	used := 0
	for !db.closed {
		m, n, err := pg.Next(db.in.bytes[used:])
		if err == nil && n > 0 {
			err = db.reply.Add(m)
		}
		if err != nil { // what comes behind broken bytes can't be trusted either
			db.garbled(err)
			return
		}
		if used += n; n == 0 {
			break
		}
		if db.reply.Ready() {
			db.ready()
		}
	}
	db.in.cut(used)
}

// ready hands over the answer that is now whole; the first one ends the start of the session.
func (db *database) ready() {
	if !db.up && db.reply.Code == "" {
		db.up = true
		db.reply.Reset()
		db.to.Up()
		return
	}
	r := db.outcome()
	if r.Result == logic.OK && !db.reply.Served() {
		db.garbled(errNoRow)
		return
	}
	db.d.noteAnswer(db.address, nil)
	db.to.Reply(r)
}

// garbled ends a connection on which sense and nonsense can't be told apart any more.
func (db *database) garbled(err error) {
	db.d.noteAnswer(db.address, err)
	db.Close()
	// netpoll closes it when this callback has returned; no further attempt may go out before that.
	db.d.Loop.Post(db.to.Down)
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
	}
	report := db.reply.Load
	if db.probing && r.Result == logic.OK {
		report = db.reply.Row()
	}
	if l := pg.ParseReport(report); l.Told {
		r.Load = state.Load{Told: true, Role: roleOf(l.Role), Position: l.Position, Queue: l.Queue}
	}
	return r
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
