package net

import (
	"container/list"
	"context"
	"errors"
	"log/slog"
	stdnet "net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/state"
	wire "havenproxy/internal/wire/admin"
)

const (
	adminPatience = 2 * time.Second // for a whole call; who sends half of one holds a descriptor for nothing
	adminCalls    = 24              // connections at a time; beyond, the one silent for longest gives way
)

// AdminHandler carries out what operators ask for at the second address. Its methods are called on the loop.
type AdminHandler interface {
	Ready() bool // can it serve?
	Metrics(dst []byte) []byte
	Drain()    // send clients away
	Activate() // take them again
}

// Admin serves the operators' second address. Its calls are answered on the loop, between two requests, whatever the load.
type Admin struct {
	loop      *Loop
	deadlines *state.Deadlines
	clock     state.Clock
	steward   AdminHandler
	listener  *listener
	open      atomic.Int64
	calls     list.List // of *adminConn, the oldest first
}

// ListenAdmin opens the second address.
func ListenAdmin(loop *Loop, clock state.Clock, deadlines *state.Deadlines, address string, steward AdminHandler) (*Admin, error) {
	a := &Admin{loop: loop, clock: clock, deadlines: deadlines, steward: steward}
	ln, err := stdnet.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	if a.listener, err = serve(ln, 4*adminCalls, &a.open, func() {}, a.accept, nil); err != nil {
		return nil, err
	}
	return a, nil
}

// Address is where it listens.
func (a *Admin) Address() string { return a.listener.Addr().String() }

// Close ends it.
func (a *Admin) Close() { a.listener.end() }

// adminConn is one connection, with one call.
type adminConn struct {
	a     *Admin
	conn  netpoll.Connection
	in    buffer
	done  bool // it has its answer
	timer state.Deadline
	place *list.Element
}

func (a *Admin) accept(ctx context.Context, conn netpoll.Connection) context.Context {
	for a.calls.Len() >= adminCalls {
		a.calls.Front().Value.(*adminConn).close()
	}
	c := &adminConn{a: a, conn: conn}
	c.place = a.calls.PushBack(c)
	conn.AddCloseCallback(func(netpoll.Connection) error { a.loop.Post(c.closed); return nil })
	a.deadlines.Set(&c.timer, a.clock.Now()+adminPatience, func() { c.answer(wire.BadRequest, []byte("no whole call in time\n")) })
	return context.WithValue(ctx, clientKey{}, c)
}

func (c *adminConn) readable() {
	if err := c.in.fill(c.conn.Reader()); err != nil {
		c.close()
		return
	}
	if c.done { // a body that comes behind
		c.in.cut(len(c.in.bytes))
		return
	}
	call, whole, err := wire.Next(c.in.bytes)
	switch {
	case err != nil:
		c.answer(wire.BadRequest, []byte(err.Error()+"\n"))
	case whole:
		c.carryOut(call)
	}
}

func (c *adminConn) carryOut(call wire.Call) {
	s := c.a.steward
	want := map[string]string{"/v1/readyz": "GET", "/v1/metrics": "GET", "/v1/proxy/drain": "PUT", "/v1/proxy/activate": "PUT"}[call.Path]
	switch {
	case want == "":
		c.answer(wire.NotFound, []byte("no such call; there are GET /v1/readyz, GET /v1/metrics, PUT /v1/proxy/drain, PUT /v1/proxy/activate\n"))
		return
	case call.Method != want:
		c.answer(wire.MethodNotAllowed, []byte("the method for "+call.Path+" is "+want+"\n"))
		return
	}
	switch call.Path {
	case "/v1/readyz":
		if !s.Ready() {
			c.answer(wire.Unavailable, []byte("not ready\n"))
			return
		}
	case "/v1/metrics":
		c.answer(wire.OK, s.Metrics(nil))
		return
	case "/v1/proxy/drain":
		slog.Info("operators send clients away")
		s.Drain()
	case "/v1/proxy/activate":
		slog.Info("operators take clients again")
		s.Activate()
	}
	c.answer(wire.OK, []byte("ok\n"))
}

// answer writes the last word; the connection ends once the other side has had the time to read it.
func (c *adminConn) answer(status int, body []byte) {
	c.done = true
	if _, err := c.conn.Write(wire.AppendAnswer(nil, status, body)); err != nil {
		c.close()
		return
	}
	c.a.deadlines.Set(&c.timer, c.a.clock.Now()+lingerFor, c.close)
}

func (c *adminConn) close() {
	c.closed()
	c.conn.Close()
}

func (c *adminConn) closed() {
	if c.place == nil {
		return
	}
	c.a.calls.Remove(c.place)
	c.place = nil
	c.a.deadlines.Clear(&c.timer)
}

// reader is what a listener's connections are read by.
type reader interface{ readable() }

// serve lets netpoll accept on a listener, and hand each connection to accept, on the loop. held, where it is set, is a socket that
// other processes share: it may be left, but not shut down.
func serve(ln stdnet.Listener, most int64, open *atomic.Int64, full func(), accept netpoll.OnConnect, held *heldSocket) (*listener, error) {
	converted, err := netpoll.ConvertListener(ln)
	if err != nil {
		return nil, err
	}
	l := &listener{Listener: converted, most: most, open: open, full: full, held: held}
	events, err := netpoll.NewEventLoop(
		func(ctx context.Context, _ netpoll.Connection) error {
			ctx.Value(clientKey{}).(reader).readable()
			return nil
		},
		netpoll.WithOnPrepare(func(conn netpoll.Connection) context.Context {
			conn.AddCloseCallback(func(netpoll.Connection) error { open.Add(-1); return nil })
			return context.Background()
		}),
		netpoll.WithOnConnect(accept),
		netpoll.WithWriteTimeout(writePatience),
		netpoll.WithIdleTimeout(keepAlive))
	if err != nil {
		return nil, err
	}
	go func() { // Serve blocks until the listener ends
		if err := events.Serve(l); err != nil && !l.ended.Load() {
			slog.Error("listener ended", "error", err)
		}
	}()
	return l, nil
}

// errLeft lets netpoll forget a listener: its words for that are "closed".
var errLeft = errors.New("listener closed: left to the other processes")
