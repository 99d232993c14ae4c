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

	"havenproxy/internal/state"
)

const (
	writePatience = 20 * time.Millisecond // a client whose buffer stays full for so long doesn't read
	keepAlive     = time.Minute           // after which the kernel asks whether a silent client is still there
	sendBuffer    = 256 << 10             // the kernel's, room for several of the largest answers
	// Likewise for what comes in. netpoll reads all of it at a time, ahead of the loop: who sends at full speed
	// must not make it hold megabytes.
	receiveBuffer = 128 << 10

	// For want of room the clients that use theirs for nothing are closed: first those that have said nothing for a
	// time in which others ask and are answered, also where they are over one in silentPart, then those without an
	// open request. The operators allow that after two seconds.
	silentFor  = 250 * time.Millisecond
	silentPart = 4
	idleFor    = 2 * time.Second
	easyPart   = 3 // beyond one in so many of the places, idle clients are closed before there is need

	tellCrowded = 10 * time.Second // no more than one line about it
)

// Server serves clients.
type Server struct {
	loop      *Loop
	clock     state.Clock
	deadlines *state.Deadlines
	front     *state.Engine
	listeners []*listener
	mysql     *listener // the one of them for MySQL's clients; nil = there is none

	open        atomic.Int64 // connections that were accepted and not closed yet
	clients     map[*client]struct{}
	silent      list.List // those that have sent no whole query yet, the oldest first
	idle        list.List // those that are owed nothing, idle for longest first
	buffered    int       // bytes that wait in clients' buffers for the rest of their query
	maxBuffered int       // beyond that, who holds more than a little is told to come again
	maxClients  int
	easy        int // beyond these, idle ones are closed in time
	maxExcess   int // further ones that are told to come again
	excess      int
	easing      state.Deadline
	crowdedAt   time.Duration // when it was last told that there are too many
	lingering   int           // connections that are shut and wait for their clients' end
	lingerMost  time.Duration // each of them, at most
	draining    bool
	away        bool // operators send clients away
	sweeping    state.Deadline
	console     bool // clients on loopback may use it
	policy      bool // answers tell the policy
	tier        *PlannerLink
}

// NewServer makes a server for at most so many clients, whose half-sent queries may hold so many bytes; a few more
// clients are turned away with an answer.
func NewServer(loop *Loop, clock state.Clock, front *state.Engine, maxClients, maxExcess, maxBuffered int) *Server {
	return &Server{loop: loop, clock: clock, deadlines: &front.Deadlines, front: front,
		lingerMost: lingerMost, clients: map[*client]struct{}{}, maxClients: maxClients, easy: maxClients / easyPart, maxExcess: maxExcess, maxBuffered: maxBuffered}
}

// Listen opens the address for PostgreSQL's clients and starts to accept.
func (s *Server) Listen(address string) error {
	return s.listen(address, func() speaker { return postgres{} })
}

// listen opens an address for clients that speak what one of them says.
func (s *Server) listen(address string, speaks func() speaker) error {
	lc := stdnet.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { // accepted sockets inherit it
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	ln, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	return s.serve(ln, speaks, nil)
}

// Inherit serves PostgreSQL's clients on a socket that listens already, and that other processes may hold too.
func (s *Server) Inherit(fd int) error {
	file := os.NewFile(uintptr(fd), "clients")
	if file == nil {
		return fmt.Errorf("descriptor %d is none", fd)
	}
	ln, err := stdnet.FileListener(file) // on a descriptor of its own; the inherited one stays open for those started later
	if err != nil {
		return fmt.Errorf("descriptor %d: %w", fd, err)
	}
	syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
	syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	return s.serve(ln, func() speaker { return postgres{} }, &heldSocket{file})
}

// heldSocket keeps an inherited descriptor open, which would be closed with its file's last use.
type heldSocket struct{ file *os.File }

func (s *Server) serve(ln stdnet.Listener, speaks func() speaker, held *heldSocket) error {
	full := func() { s.loop.Post(s.makeRoom) }
	l, err := serve(ln, int64(s.maxClients+s.maxExcess), &s.open, full, func(ctx context.Context, conn netpoll.Connection) context.Context {
		return s.accept(ctx, conn, speaks())
	}, held)
	if err != nil {
		return err
	}
	s.listeners = append(s.listeners, l)
	return nil
}

// listener ends without closing its descriptor. netpoll's own Close closes the descriptor's number twice, and Serve,
// which runs beside the loop, may register it only after that: either way the number may by then belong to another
// connection or listener, which would be closed, or accepted for by a server that has ended. Shut down, the socket
// refuses connections, and the poller lets go of it by itself.
type listener struct {
	netpoll.Listener
	ended atomic.Bool
	most  int64         // connections that may be open
	open  *atomic.Int64 // of all listeners together

	full  func() // lets the loop make room
	asked atomic.Int64
	held  *heldSocket // where others share it
}

const askEvery = 2 // milliseconds: of a burst of hundreds not each asks for room

// Accept implements netpoll.Listener. The poller still asks once when the socket has been shut down. It accepts
// ahead of the loop: of a burst of hundreds, those that there are no descriptors for are closed here.
func (l *listener) Accept() (stdnet.Conn, error) {
	if l.ended.Load() {
		if l.held != nil {
			return nil, errLeft
		}
		return nil, nil
	}
	conn, err := l.Listener.Accept()
	if conn == nil || err != nil {
		return conn, err
	}
	if l.open.Add(1) > l.most {
		l.open.Add(-1)
		conn.Close()
		if now := time.Now().UnixMilli(); now-l.asked.Swap(now) >= askEvery { // who is closed here can't make room by coming
			l.full()
		}
		return nil, nil
	}
	return conn, nil
}

func (l *listener) end() {
	if l.ended.Store(true); l.held != nil {
		return // it listens on, for others
	}
	syscall.Shutdown(l.Fd(), syscall.SHUT_RD)
}

// Address tells where it listens.
func (s *Server) Address() string { return s.listeners[0].Addr().String() }

type clientKey struct{}

// accept makes the client of a new connection; it runs on the loop, before anything that the client sent.
func (s *Server) accept(ctx context.Context, conn netpoll.Connection, speaks speaker) context.Context {
	c := &client{s: s, conn: conn, speaks: speaks, from: conn.RemoteAddr().String()}
	s.front.Counters.Clients++
	s.makeRoom()
	if c.full = s.crowded(); c.full {
		s.excess++
		if now := s.clock.Now(); s.crowdedAt == 0 || now-s.crowdedAt >= tellCrowded {
			s.crowdedAt = now
			slog.Warn("too many clients: further ones are turned away", "clients", len(s.clients))
		}
	}
	s.clients[c] = struct{}{}
	c.settle()
	s.ease()
	c.watch(conn)
	s.deadlines.Set(&c.timer, s.clock.Now()+queryPatience, c.tooSlow)
	if s.excess > s.maxExcess { // not even a descriptor for an answer
		c.hangUp()
	} else {
		speaks.greet(c)
	}
	return context.WithValue(ctx, clientKey{}, c)
}

func (s *Server) crowded() bool { return len(s.clients)-s.excess >= s.maxClients }

// makeRoom closes clients that use their place for nothing, as long as there is no room for another.
func (s *Server) makeRoom() {
	now := s.clock.Now()
	for {
		e := s.silent.Front()
		full := s.crowded() || len(s.clients) >= s.maxClients+s.maxExcess
		if manySilent := s.silent.Len() > s.maxClients/silentPart; !manySilent && !full {
			return
		} else if e == nil || !manySilent && now-e.Value.(*client).since < silentFor {
			if e = s.idle.Front(); e == nil || now-e.Value.(*client).since < idleFor {
				return
			}
		}
		s.closeFor(e.Value.(*client), now)
	}
}

// ease closes clients that are idle for long where many are connected. The place that one holds may be one of those
// that others need: what stands before the proxies opens no more than a share of its descriptors.
func (s *Server) ease() {
	now := s.clock.Now()
	for e := s.idle.Front(); e != nil && len(s.clients) > s.easy; e = s.idle.Front() {
		c := e.Value.(*client)
		if due := c.since + idleFor; due > now {
			s.deadlines.Set(&s.easing, due, s.ease)
			return
		}
		s.closeFor(c, now)
	}
}

// closeFor closes a client for others, unless it has spoken, which the loop has yet to see.
func (s *Server) closeFor(c *client, now time.Duration) {
	if c.conn.Reader().Len() > 0 {
		c.since = now
		c.list.MoveToBack(c.place)
		return
	}
	c.hurry = true
	if c.close(); c.phase != phaseClosed { // it has spoken just now
		c.hurry = false
		c.since = now
		c.list.MoveToBack(c.place)
		return
	}
	s.front.Counters.ClientsEvicted++
}

const (
	awayAfter = 500 * time.Millisecond // clients still come for 0.2 s behind the first no
	awayIdle  = 300 * time.Millisecond // who has asked nothing for so long is not about to
	awayStep  = 100 * time.Millisecond
)

// SetOperatorDrain sends clients away, or takes them again: the empty query, by which those that deal out clients ask, has no for an answer, each
// connection ends behind its next answer, and those that are idle end a little later. Requests go on being served all the while.
func (s *Server) SetOperatorDrain(on bool) {
	if s.away == on {
		return
	}
	if s.away = on; !on {
		s.deadlines.Clear(&s.sweeping)
		return
	}
	s.deadlines.Set(&s.sweeping, s.clock.Now()+awayAfter, s.sweep)
}

// sweep closes clients that are owed nothing.
func (s *Server) sweep() {
	now := s.clock.Now()
	for c := range s.clients {
		if c.list != nil && now-c.since >= awayIdle {
			c.closeIdle()
		}
	}
	s.deadlines.Set(&s.sweeping, now+awayStep, s.sweep)
}

// leaving tells that a connection ends behind its next answer.
func (s *Server) leaving() bool { return s.draining || s.away }

// ReportPolicy lets answers tell PostgreSQL's clients under which policy of the tier, or revision of the proxy's own files, their request was
// taken: a ParameterStatus "policy".
func (s *Server) ReportPolicy(on bool) { s.policy = on }

// DrainShared ends accepting on sockets that others share, and lets each client go behind its next answer: what comes anew has another
// process to go to, so there is no waiting for late comers. It tells whether all sockets are shared.
func (s *Server) DrainShared() bool {
	for _, l := range s.listeners {
		if l.held == nil {
			return false
		}
	}
	s.draining = true
	for _, l := range s.listeners {
		l.end()
	}
	return true
}

// Drain ends the listener; clients are closed as soon as they are owed nothing.
func (s *Server) Drain() {
	s.draining = true
	for _, l := range s.listeners {
		l.end()
	}
}

// Drained closes the clients that are owed nothing and tells whether none is left. What netpoll has read and
// the loop has not yet looked at is owed an answer too, so it is to be asked again until then.
func (s *Server) Drained() bool {
	for c := range s.clients {
		c.closeIdle()
	}
	return len(s.clients) == 0 && s.lingering == 0
}
