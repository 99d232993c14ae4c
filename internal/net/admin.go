package net

import (
	"container/list"
	"log/slog"
	"time"

	"havenproxy/internal/state"
	wire "havenproxy/internal/wire/admin"
)

const (
	adminCallTimeout = 2 * time.Second // for a whole call; a client that sends only part of one must not hold a descriptor
	maxAdminConns    = 24              // connections at a time; beyond, the one that has been silent longest is closed
	// metricsPause is how many times as long as it took to gather the metrics they are given again as they are. Their cost grows with the
	// number of databases and clients.
	metricsPause = 10
)

// AdminHandler carries out the calls of the admin API. Its methods are called on the loop.
type AdminHandler interface {
	Ready() bool // reports whether the proxy can serve
	Metrics(dst []byte) []byte
	Drain()    // disconnects clients
	Activate() // accepts clients again
}

// Admin serves the admin API. Calls are answered on the loop, between two requests, whatever the load.
type Admin struct {
	loop      *Loop
	deadlines *state.Deadlines
	clock     state.Clock
	handler   AdminHandler
	listener  *acceptor
	conns     list.List // of *adminConn, the oldest first

	gathered     []byte // metrics
	gatheredTill time.Duration
}

// metrics returns the metrics, gathered for a tenth of the loop's time at most.
func (a *Admin) metrics() []byte {
	begun := a.clock.Now()
	if begun < a.gatheredTill {
		return a.gathered
	}
	a.gathered = a.handler.Metrics(a.gathered[:0])
	now := a.clock.Now()
	a.gatheredTill = now + metricsPause*(now-begun)
	return a.gathered
}

// ListenAdmin opens the listener of the admin API.
func ListenAdmin(loop *Loop, clock state.Clock, deadlines *state.Deadlines, address string, steward AdminHandler) (*Admin, error) {
	a := &Admin{loop: loop, clock: clock, deadlines: deadlines, handler: steward}
	var err error
	a.listener, err = listenOn(loop, "tcp4", address, a.accept)
	return a, err
}

// Address returns the address that the admin API listens on.
func (a *Admin) Address() string { return a.listener.address.String() }

// Close stops listening.
func (a *Admin) Close() { a.listener.close() }

// adminConn is a connection to the admin API. It carries one call.
type adminConn struct {
	admin    *Admin
	socket   *socket
	output   *writeQueue
	input    buffer
	answered bool // the response has been written
	timer    state.Deadline
	rest     continuation // of reading
	element  *list.Element
}

func (a *Admin) accept(conn *socket) {
	for a.conns.Len() >= maxAdminConns {
		a.conns.Front().Value.(*adminConn).close()
	}
	c := &adminConn{admin: a, socket: conn}
	c.output = newSocketQueue(conn, c.closeOnceSent, func(error) { c.close() })
	c.element = a.conns.PushBack(c)
	a.deadlines.Set(&c.timer, a.clock.Now()+adminCallTimeout, func() { c.respond(wire.BadRequest, []byte("no whole call in time\n")) })
	if err := conn.start(c); err != nil {
		c.close()
	}
}

// inputArrived implements socketHandler.
func (c *adminConn) inputArrived(time.Duration) {
	if !c.rest.posted {
		c.handleInput()
	}
}

// peerClosed implements socketHandler.
func (c *adminConn) peerClosed() { c.close() }

// handleInput reads a piece of what has arrived. A call is short, so there is one piece of it as a rule.
func (c *adminConn) handleInput() {
	if c.answered { // the rest of a request body
		if _, more := c.socket.discardUnread(readSize); more {
			c.rest.post(c.admin.loop, c.handleInput)
		}
		return
	}
	buf := c.admin.loop.readBuffer[:]
	n, err := c.socket.read(buf)
	if err != nil {
		c.close()
		return
	}
	if n == len(buf) {
		c.rest.post(c.admin.loop, c.handleInput)
	}
	c.input.bytes = append(c.input.bytes, buf[:n]...)
	call, complete, err := wire.Next(c.input.bytes)
	switch {
	case err != nil:
		c.respond(wire.BadRequest, []byte(err.Error()+"\n"))
	case complete:
		c.handle(call)
	}
}

func (c *adminConn) handle(call wire.Request) {
	handler := c.admin.handler
	method := map[string]string{"/v1/readyz": "GET", "/v1/metrics": "GET", "/v1/proxy/drain": "PUT", "/v1/proxy/activate": "PUT"}[call.Path]
	switch {
	case method == "":
		c.respond(wire.NotFound, []byte("no such call; there are GET /v1/readyz, GET /v1/metrics, PUT /v1/proxy/drain, PUT /v1/proxy/activate\n"))
		return
	case call.Method != method:
		c.respond(wire.MethodNotAllowed, []byte("the method for "+call.Path+" is "+method+"\n"))
		return
	}
	switch call.Path {
	case "/v1/readyz":
		if !handler.Ready() {
			c.respond(wire.Unavailable, []byte("not ready\n"))
			return
		}
	case "/v1/metrics":
		c.respond(wire.OK, c.admin.metrics())
		return
	case "/v1/proxy/drain":
		slog.Info("operators send clients away")
		handler.Drain()
	case "/v1/proxy/activate":
		slog.Info("operators take clients again")
		handler.Activate()
	}
	c.respond(wire.OK, []byte("ok\n"))
}

// respond writes the response.
func (c *adminConn) respond(status int, body []byte) {
	c.answered = true
	c.admin.deadlines.Clear(&c.timer)
	if err := c.output.write(wire.AppendResponse(nil, status, body)); err != nil {
		c.close()
		return
	}
	c.closeOnceSent()
}

// closeOnceSent closes the connection when the kernel has taken the whole response. It does so after
// finalAnswerDelay, so that the client has time to read it.
func (c *adminConn) closeOnceSent() {
	if c.output.len() > 0 {
		return
	}
	c.admin.deadlines.Set(&c.timer, c.admin.clock.Now()+finalAnswerDelay, c.close)
}

func (c *adminConn) close() {
	if c.element == nil {
		return
	}
	c.socket.close()
	c.output.close()
	c.admin.conns.Remove(c.element)
	c.element = nil
	c.admin.deadlines.Clear(&c.timer)
}
