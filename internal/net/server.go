package net

import (
	"container/list"
	"context"
	"fmt"
	"log/slog"
	stdnet "net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/admin"
)

const (
	keepAliveInterval = time.Minute // after which the kernel probes a silent connection
	sendBuffer        = 256 << 10   // of the kernel; room for several of the largest answers
	// Likewise for input. netpoll reads all of it at a time, ahead of the loop: a client that sends at full speed
	// must not make the proxy hold megabytes.
	receiveBuffer = 128 << 10

	overLimitLogInterval = 10 * time.Second // minimum time between log lines about rejected clients
	droppedLogInterval   = 10 * time.Second // minimum time between log lines about dropped answers
)

// Server serves clients.
type Server struct {
	loop      *Loop
	clock     state.Clock
	deadlines *state.Deadlines
	engine    *state.Engine
	listeners []*listener
	mysql     *listener // the listener for MySQL clients; nil = there is none

	open               atomic.Int64 // accepted connections that are not closed yet
	clients            map[*client]struct{}
	silent             list.List // clients that have sent no complete query yet, the oldest first
	idle               list.List // clients to which no answer is due, the longest idle first
	buffered           int       // bytes of incomplete queries in clients' buffers
	answers            limit.AnswerBudget
	maxBuffered        int // above this, clients that hold more than a little are rejected and may retry
	maxClients         int
	idleCloseThreshold int // above this number of clients, idle ones are closed early
	maxExcess          int // clients beyond maxClients that are rejected with an answer
	excess             int
	idleCloseTimer     state.Deadline
	overLimitLoggedAt  time.Duration // when it was last logged that there are too many clients
	droppedLoggedAt    time.Duration // when it was last logged that answers were dropped
	timedOut           []*client     // clients whose queries were incomplete at their timeouts
	lingering          int           // connections that are shut down and wait for their clients to close
	maxLinger          time.Duration // for each of them
	draining           bool
	operatorDrain      bool // the operators have requested that clients are disconnected
	drainTimer         state.Deadline
	consoleEnabled     bool // clients on loopback may use the console
	reportPolicy       bool // answers report the policy
	tier               *PlannerLink
}

// NewServer returns a server for at most maxClients clients. Their incomplete queries may hold maxBuffered bytes, and
// above as many bytes of answers that they have not read, each gets one answer at a time. maxExcess further clients are
// rejected with an answer.
func NewServer(loop *Loop, clock state.Clock, engine *state.Engine, maxClients, maxExcess, maxBuffered int) *Server {
	return &Server{loop: loop, clock: clock, deadlines: &engine.Deadlines, engine: engine,
		maxLinger: maxLinger, clients: map[*client]struct{}{}, maxClients: maxClients, idleCloseThreshold: maxClients / idleCloseFraction, maxExcess: maxExcess,
		maxBuffered: maxBuffered, answers: limit.AnswerBudget{PerClient: maxUnsent, Total: maxBuffered}}
}

// Listen opens the address for PostgreSQL clients and starts to accept.
func (s *Server) Listen(address string) error {
	return s.listen(address, func() clientProtocol { return postgres{} })
}

// listen opens an address for clients of the protocol that newProtocol creates.
func (s *Server) listen(address string, newProtocol func() clientProtocol) error {
	lc := stdnet.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { // accepted sockets inherit these options
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	ln, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	return s.serve(ln, newProtocol, nil)
}

// Inherit serves PostgreSQL clients on a socket that is already listening, and that other processes may share.
func (s *Server) Inherit(fd int) error {
	file := os.NewFile(uintptr(fd), "clients")
	if file == nil {
		return fmt.Errorf("invalid descriptor %d", fd)
	}
	ln, err := stdnet.FileListener(file) // on its own descriptor; the inherited one stays open for processes started later
	if err != nil {
		return fmt.Errorf("descriptor %d: %w", fd, err)
	}
	syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
	syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	return s.serve(ln, func() clientProtocol { return postgres{} }, &inheritedSocket{file})
}

// inheritedSocket keeps an inherited descriptor open, which would otherwise be closed when its file is collected.
type inheritedSocket struct{ file *os.File }

func (s *Server) serve(ln stdnet.Listener, newProtocol func() clientProtocol, inherited *inheritedSocket) error {
	requestRoom := func() { s.loop.Post(s.makeRoom) }
	l, err := serveListener(ln, int64(s.maxClients+s.maxExcess), &s.open, requestRoom, func(ctx context.Context, conn netpoll.Connection) context.Context {
		return s.accept(ctx, conn, newProtocol())
	}, inherited)
	if err != nil {
		return err
	}
	s.listeners = append(s.listeners, l)
	return nil
}

// Address returns the address that PostgreSQL clients connect to.
func (s *Server) Address() string { return s.listeners[0].Addr().String() }

type clientKey struct{}

// accept creates the client of a new connection; it runs on the loop, before any input of the client is handled.
func (s *Server) accept(ctx context.Context, conn netpoll.Connection, protocol clientProtocol) context.Context {
	c := &client{server: s, conn: conn, protocol: protocol, remoteAddress: conn.RemoteAddr().String()}
	c.openOutput()
	s.engine.Counters.Clients++
	s.makeRoom()
	if c.overLimit = s.atLimit(); c.overLimit {
		s.excess++
		if now := s.clock.Now(); s.overLimitLoggedAt == 0 || now-s.overLimitLoggedAt >= overLimitLogInterval {
			s.overLimitLoggedAt = now
			slog.Warn("too many clients: rejecting further ones", "clients", len(s.clients))
		}
	}
	s.clients[c] = struct{}{}
	c.updateIdleList()
	s.closeIdleClients()
	c.attachCallbacks(conn)
	s.deadlines.Set(&c.timer, s.clock.Now()+queryTimeout, c.queryTimedOut)
	if s.excess > s.maxExcess { // there is no descriptor even for an answer
		c.closeNow()
	} else {
		protocol.greet(c)
	}
	return context.WithValue(ctx, clientKey{}, c)
}

// recordDroppedAnswers counts and logs the answers that c is owed and will not get, because the proxy closes its
// connection.
func (s *Server) recordDroppedAnswers(c *client, cause error) {
	answers := len(c.pending)
	if c.output.len() > 0 {
		answers++ // at least
	}
	s.engine.Counters.AnswersDropped += uint64(answers)
	now := s.clock.Now()
	if s.droppedLoggedAt > 0 && now-s.droppedLoggedAt < droppedLogInterval {
		return
	}
	s.droppedLoggedAt = now
	slog.Warn("client connection closed with answers due", "client", c.remoteAddress, "answers", answers,
		"unsent_bytes", c.output.len(), "unacknowledged_bytes", c.output.inTransit(), "cause", cause)
}

// confirmTimeout closes a client whose query is incomplete at its timeout, unless its rest has arrived and only the
// loop is late: what the poller has read by now is handled first. Clients that time out together share the wait.
func (s *Server) confirmTimeout(c *client) {
	if s.timedOut = append(s.timedOut, c); len(s.timedOut) > 1 {
		return
	}
	s.loop.Post(func() {
		clients := s.timedOut
		s.timedOut = nil
		s.loop.PostAfterPoller(func() {
			for _, c := range clients {
				c.closeIncomplete()
			}
		})
	})
}

const (
	drainStartDelay = 500 * time.Millisecond // clients still connect for 0.2 s after the first negative health check answer
	drainMinIdle    = 300 * time.Millisecond // a client that has sent nothing for this long is unlikely to do so now
	drainInterval   = 100 * time.Millisecond
)

// SetOperatorDrain disconnects clients, or accepts them again. While it is on, the empty query, which load balancers
// use as a health check, is refused, each connection is closed after its next answer, and idle ones are closed a
// little later. Requests are still served.
func (s *Server) SetOperatorDrain(enabled bool) {
	if s.operatorDrain == enabled {
		return
	}
	if s.operatorDrain = enabled; !enabled {
		s.deadlines.Clear(&s.drainTimer)
		return
	}
	s.deadlines.Set(&s.drainTimer, s.clock.Now()+drainStartDelay, s.closeDrainedClients)
}

// closeDrainedClients closes clients to which no answer is due.
func (s *Server) closeDrainedClients() {
	now := s.clock.Now()
	for c := range s.clients {
		if c.list != nil && now-c.since >= drainMinIdle {
			c.closeIdle()
		}
	}
	s.deadlines.Set(&s.drainTimer, now+drainInterval, s.closeDrainedClients)
}

// AppendMetrics appends the metrics of clients' connections: the bytes that their sockets have not taken yet, and how
// many of them such bytes wait for.
func (s *Server) AppendMetrics(dst []byte) []byte {
	waiting := 0
	for c := range s.clients {
		if c.output.len() > 0 {
			waiting++
		}
	}
	dst = admin.AppendGauge(dst, uint64(s.answers.Unsent), "unsent_bytes")
	return admin.AppendGauge(dst, uint64(waiting), "clients_to_write_to")
}

// closesAfterAnswer reports whether connections are closed after their next answer.
func (s *Server) closesAfterAnswer() bool { return s.draining || s.operatorDrain }

// ReportPolicy makes answers to PostgreSQL clients report the policy of the tier, or the revision of the proxy's own
// files, under which the request was admitted, as the ParameterStatus "policy".
func (s *Server) ReportPolicy(enabled bool) { s.reportPolicy = enabled }

// DrainShared stops accepting on sockets shared with other processes, and closes each client after its next answer.
// New clients connect to another process, so there is no wait for late ones. It reports whether all sockets are
// shared; otherwise it does nothing.
func (s *Server) DrainShared() bool {
	for _, l := range s.listeners {
		if l.inherited == nil {
			return false
		}
	}
	s.draining = true
	for _, l := range s.listeners {
		l.shutdown()
	}
	return true
}

// Drain stops accepting; clients are closed as soon as no answer is due to them.
func (s *Server) Drain() {
	s.draining = true
	for _, l := range s.listeners {
		l.shutdown()
	}
}

// Drained closes the clients to which no answer is due and reports whether none is left. Input that netpoll has read
// and the loop has not handled has to be answered too, so Drained is to be called again until it returns true.
func (s *Server) Drained() bool {
	for c := range s.clients {
		c.closeIdle()
	}
	return len(s.clients) == 0 && s.lingering == 0
}
