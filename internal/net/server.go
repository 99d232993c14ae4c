package net

import (
	"container/list"
	"log/slog"
	"slices"
	"time"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
)

const (
	sendBuffer = 256 << 10 // of the kernel; room for several of the largest answers
	// Likewise for input: what a client sends ahead of its turn waits there, and the rest of a database's long value.
	receiveBuffer = 128 << 10

	overLimitLogInterval = 10 * time.Second // minimum time between log lines about rejected clients
	droppedLogInterval   = 10 * time.Second // minimum time between log lines about dropped answers
	// notWatchedLogInterval is the minimum time between log lines about sockets that the kernel refuses to watch.
	notWatchedLogInterval = 10 * time.Second
)

// Server serves clients.
type Server struct {
	loop      *Loop
	clock     state.Clock
	deadlines *state.Deadlines
	engine    *state.Engine
	listeners []*acceptor
	mysql     *acceptor // the listener for MySQL clients; nil = there is none

	clients            map[*client]struct{}
	closes             closeCounts
	silent             list.List                // clients that have sent no complete query yet, the oldest first
	idle               list.List                // clients to which no answer is due, the longest idle first
	partial            list.List                // clients with incomplete messages, the one that has held its longest first
	inputQueue         limit.FairQueue[*client] // clients that wait for their turns
	pace               limit.Pace
	finishing          bool // the process ends: nobody waits for a turn because of pace
	roundPosted        bool // serveRound is in the loop's queue
	inputBudget        limit.InputBudget
	memoryWaiters      []*client // clients whose next messages wait for memory
	waitersPosted      bool      // resumeWaiters is in the loop's queue
	relieveTimer       state.Deadline
	answers            limit.AnswerBudget
	maxClients         int
	idleCloseThreshold int // above this number of clients, idle ones are closed early
	maxExcess          int // clients beyond maxClients that are rejected with an answer
	excess             int
	idleCloseTimer     state.Deadline
	overLimitLoggedAt  time.Duration // when it was last logged that there are too many clients
	droppedLoggedAt    time.Duration // when it was last logged that answers were dropped
	notWatchedLoggedAt time.Duration // when it was last logged that a socket can't be watched
	lingering          int           // connections that are shut down and wait for their clients to close
	maxLinger          time.Duration // for each of them
	draining           bool
	operatorDrain      bool // the operators have requested that clients are disconnected
	drainTimer         state.Deadline
	consoleEnabled     bool // clients on loopback may use the console
	reportPolicy       bool // answers report the policy
	tier               *PlannerLink
}

// NewServer returns a server for at most maxClients clients. Their input, i.e. incomplete messages and requests under way,
// may hold maxBuffered bytes, and above as many bytes of answers that they have not read, each gets one answer at a time.
// maxExcess further clients are rejected with an answer.
func NewServer(loop *Loop, clock state.Clock, engine *state.Engine, maxClients, maxExcess, maxBuffered int) *Server {
	return &Server{loop: loop, clock: clock, deadlines: &engine.Deadlines, engine: engine,
		maxLinger: maxLinger, pace: limit.NewPace(1), clients: map[*client]struct{}{}, maxClients: maxClients, idleCloseThreshold: maxClients / idleCloseFraction, maxExcess: maxExcess,
		inputBudget: limit.InputBudget{Total: maxBuffered}, answers: limit.AnswerBudget{PerClient: maxUnsent, Total: maxBuffered}}
}

// SetCores sets how many processors the process may use; 1 if it is not called.
func (s *Server) SetCores(cores float64) { s.pace = limit.NewPace(cores) }

// Listen opens the address for PostgreSQL clients and starts to accept.
func (s *Server) Listen(address string) error {
	return s.listen(address, func() clientProtocol { return postgres{} })
}

// listen opens an address for clients of the protocol that newProtocol creates.
func (s *Server) listen(address string, newProtocol func() clientProtocol) error {
	a, err := listenOn(s.loop, "tcp", address, func(conn *socket) { s.accept(conn, newProtocol()) })
	if err == nil {
		s.listeners = append(s.listeners, a)
	}
	return err
}

// Inherit serves PostgreSQL clients on a socket that is already listening, and that other processes may share.
func (s *Server) Inherit(fd int) error {
	a, err := inheritListener(s.loop, fd, func(conn *socket) { s.accept(conn, postgres{}) })
	if err == nil {
		s.listeners = append(s.listeners, a)
	}
	return err
}

// Address returns the address that PostgreSQL clients connect to.
func (s *Server) Address() string { return s.listeners[0].address.String() }

// accept creates the client of a new connection, or closes the connection if there is no descriptor even for an error.
func (s *Server) accept(conn *socket, protocol clientProtocol) {
	s.makeRoom()
	if len(s.clients)+s.lingering >= s.maxClients+s.maxExcess {
		s.closes[reasonNotTaken]++
		conn.close()
		return
	}
	c := &client{server: s, socket: conn, protocol: protocol, remoteAddress: conn.remote, connectedAt: s.clock.Now()}
	c.openOutput()
	s.engine.Counters.Clients++
	if c.overLimit = s.connections().AtLimit(); c.overLimit {
		s.excess++
		if now := s.clock.Now(); s.overLimitLoggedAt == 0 || now-s.overLimitLoggedAt >= overLimitLogInterval {
			s.overLimitLoggedAt = now
			slog.Warn("too many clients: rejecting further ones", "clients", len(s.clients))
		}
	}
	s.clients[c] = struct{}{}
	c.updateIdleList()
	s.closeIdleClients()
	c.startQueryTimer()
	protocol.greet(c)
	if c.phase == phaseClosed {
		return
	}
	if err := conn.start(c); err != nil {
		s.logNotWatched(err)
		c.endsFor(reasonNotWatched)
		c.closeNow()
	}
}

// logNotWatched logs that the kernel refuses to watch a client's socket.
func (s *Server) logNotWatched(err error) {
	if now := s.clock.Now(); s.notWatchedLoggedAt == 0 || now-s.notWatchedLoggedAt >= notWatchedLogInterval {
		s.notWatchedLoggedAt = now
		slog.Warn("reading a client's connection is not possible", "error", err)
	}
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
		l.close()
	}
	return true
}

// Drain stops accepting; clients are closed as soon as no answer is due to them.
func (s *Server) Drain() {
	s.draining = true
	for _, l := range s.listeners {
		l.close()
	}
}

// Drained closes the clients to which no answer is due and reports whether none is left. Input that has
// arrived and has not been handled has to be answered too, so Drained is to be called again until it returns true.
func (s *Server) Drained() bool {
	for c := range s.clients {
		c.closeIdle()
	}
	return len(s.clients) == 0 && s.lingering == 0 && !slices.ContainsFunc(s.listeners, (*acceptor).closing)
}

// Delivering reports whether a client is being given a value in pieces, or has not taken all of its answers.
func (s *Server) Delivering() bool {
	for c := range s.clients {
		if c.output.len() > 0 || slices.ContainsFunc(c.pending, func(query *pendingQuery) bool { return query.stream != nil }) {
			return true
		}
	}
	return false
}
