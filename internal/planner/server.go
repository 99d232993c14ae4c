package planner

import (
	"bufio"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"havenproxy/internal/rollout"
	"havenproxy/internal/wire/tier"
)

const (
	linkQueueLength     = 256              // frames in the send queue of a link; beyond it the link is closed
	writeTimeout        = 2 * time.Second  // for one frame
	readTimeout         = 30 * time.Second // a link that receives nothing for this long is closed
	dialTimeout         = time.Second
	redialInterval      = 200 * time.Millisecond
	badFrameLogInterval = time.Minute // interval of log lines about unreadable frames, for each remote host
	proposalTimeout     = 2 * time.Second
)

// server holds the planner's links. Each link has one goroutine that reads and one that writes. Received frames are handled on the planner's
// goroutine, by way of Planner.post and Planner.postFromPeer.
type server struct {
	planner        *Planner
	listener       net.Listener
	mu             sync.Mutex
	peers          map[uint64]*peerQueue // the other planners
	links          map[rollout.Link]*link
	lastLink       rollout.Link
	badFrameLogged map[string]time.Time // time of the last log line about unreadable frames, by remote host

	proposals []pendingProposal // proposals that are not in the log yet; used by the planner's goroutine only
}

// link is a connection that a proxy, an operator or another planner has opened.
type link struct {
	conn      net.Conn
	sendQueue chan []byte
	isProxy   bool
	peerID    uint64 // the other planner once its start record is verified; used by the planner's goroutine only
	closeOnce sync.Once
}

func (l *link) close() { l.closeOnce.Do(func() { l.conn.Close(); close(l.sendQueue) }) }

// newServer listens on an address and accepts links.
func newServer(p *Planner, address string) (*server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{planner: p, listener: ln, peers: map[uint64]*peerQueue{}, links: map[rollout.Link]*link{}, badFrameLogged: map[string]time.Time{}}
	go s.accept()
	return s, nil
}

// connect opens a link to each of the given planners and closes the links to all others.
func (s *server) connect(want map[uint64]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, queue := range s.peers {
		if want[id] != queue.address {
			close(queue.messages)
			delete(s.peers, id)
		}
	}
	for id, address := range want {
		if s.peers[id] == nil {
			queue := &peerQueue{address, make(chan []byte, linkQueueLength)}
			s.peers[id] = queue
			go s.dial(id, queue)
		}
	}
}

func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for _, l := range s.links {
		l.conn.Close()
	}
	for id, queue := range s.peers {
		close(queue.messages)
		delete(s.peers, id)
	}
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(redialInterval) // for example no file descriptors: existing links are not affected
			continue
		}
		s.mu.Lock()
		s.lastLink++
		id, connection := s.lastLink, &link{conn: conn, sendQueue: make(chan []byte, linkQueueLength)}
		s.links[id] = connection
		s.mu.Unlock()
		go s.write(connection)
		go s.read(id, connection)
	}
}

func (s *server) write(l *link) {
	for frame := range l.sendQueue {
		l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := l.conn.Write(frame); err != nil {
			l.conn.Close()
			for range l.sendQueue { // drains the queue until it is closed
			}
			return
		}
	}
}

func (s *server) read(id rollout.Link, l *link) {
	r := bufio.NewReader(l.conn)
	for {
		l.conn.SetReadDeadline(time.Now().Add(readTimeout))
		frame, err := tier.Read(r)
		if err != nil {
			s.logBadFrame(l, err)
			break
		}
		handle := func() { s.handleFrame(id, l, &frame) }
		switch {
		case frame.Raft != nil:
			s.planner.postFromPeer(handle)
			continue
		case frame.Start != nil && s.planner.postFromPeer(handle), frame.Start == nil && s.planner.post(handle): // a link must not continue without its start record
			continue
		}
		break
	}
	s.mu.Lock()
	delete(s.links, id)
	s.mu.Unlock()
	l.close()
	s.planner.post(func() {
		if s.planner.leader != nil {
			s.planner.leader.LinkDown(id)
		}
		s.planner.detachHealthLink(id)
	})
}

// logBadFrame logs that a link is closed because of an unreadable frame, at most once per badFrameLogInterval for each remote host.
func (s *server) logBadFrame(l *link, err error) {
	if !errors.Is(err, tier.ErrFrame) {
		return
	}
	host, _, _ := net.SplitHostPort(l.conn.RemoteAddr().String())
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.badFrameLogged[host]) >= badFrameLogInterval && len(s.badFrameLogged) < 1024 {
		s.badFrameLogged[host] = now
		slog.Warn("a link is closed over what can't be read", "from", host, "error", err)
	}
}

// handleFrame handles a received frame on the planner's goroutine.
func (s *server) handleFrame(id rollout.Link, l *link, frame *tier.Frame) {
	p := s.planner
	switch {
	case frame.Start != nil:
		s.receiveStart(id, l, frame.Start)
	case frame.Raft != nil:
		s.receiveRaft(id, l, frame.Raft)
	case frame.Rollout != nil:
		l.isProxy = true
		if p.leader == nil {
			s.send(id, &tier.Frame{Rollout: &rollout.Message{Kind: rollout.NotLeader}})
			return
		}
		p.leader.Receive(p.now(), id, *frame.Rollout)
	case frame.Health != nil:
		s.receiveHealth(id, frame.Health)
	case frame.Request != nil:
		s.handleOperator(id, frame.Request)
	}
}

// send queues a frame for a link. A link whose queue is full is closed.
func (s *server) send(id rollout.Link, frame *tier.Frame) {
	data, err := tier.Append(nil, frame)
	if err != nil {
		slog.Error("a frame can't be sent", "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[id]
	if l == nil {
		return
	}
	select {
	case l.sendQueue <- data:
	default:
		l.conn.Close()
	}
}

// dropProxies closes the links of all proxies, so that they look for the new leader.
func (s *server) dropProxies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if l.isProxy {
			l.conn.Close()
		}
	}
}
