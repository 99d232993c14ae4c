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
	queued     = 256              // frames that wait for one link; beyond, the link is closed
	writeFor   = 2 * time.Second  // that a frame may take
	silentFor  = 30 * time.Second // a link that says nothing for so long is closed
	dialFor    = time.Second
	redial     = 200 * time.Millisecond
	tellFrames = time.Minute // one line a peer about unreadable frames
	askFor     = 2 * time.Second
)

// server holds the planner's links. Each has a goroutine that reads and one that writes; what they bring goes through Planner.post.
type server struct {
	p        *Planner
	listener net.Listener
	mu       sync.Mutex
	peers    map[uint64]*toPeer // the other planners
	links    map[rollout.Link]*link
	last     rollout.Link
	told     map[string]time.Time

	waiting []waiting // proposals that are not in the log yet; the planner's goroutine's alone
}

type link struct {
	conn    net.Conn
	out     chan []byte
	proxy   bool
	planner uint64 // another one that has said what its disk holds, and may be believed; the planner's goroutine's alone
	once    sync.Once
}

func (l *link) close() { l.once.Do(func() { l.conn.Close(); close(l.out) }) }

func listen(p *Planner, address string) (*server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{p: p, listener: ln, peers: map[uint64]*toPeer{}, links: map[rollout.Link]*link{}, told: map[string]time.Time{}}
	go s.accept()
	return s, nil
}

// connect keeps a way to each of these planners, and to no other.
func (s *server) connect(want map[uint64]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, x := range s.peers {
		if want[id] != x.address {
			close(x.out)
			delete(s.peers, id)
		}
	}
	for id, address := range want {
		if s.peers[id] == nil {
			x := &toPeer{address, make(chan []byte, queued)}
			s.peers[id] = x
			go s.dial(id, x)
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
	for id, x := range s.peers {
		close(x.out)
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
			time.Sleep(redial) // no descriptors, say: those that are there go on
			continue
		}
		s.mu.Lock()
		s.last++
		id, l := s.last, &link{conn: conn, out: make(chan []byte, queued)}
		s.links[id] = l
		s.mu.Unlock()
		go s.write(l)
		go s.read(id, l)
	}
}

func (s *server) write(l *link) {
	for b := range l.out {
		l.conn.SetWriteDeadline(time.Now().Add(writeFor))
		if _, err := l.conn.Write(b); err != nil {
			l.conn.Close()
			for range l.out { // until it is closed
			}
			return
		}
	}
}

func (s *server) read(id rollout.Link, l *link) {
	r := bufio.NewReader(l.conn)
	for {
		l.conn.SetReadDeadline(time.Now().Add(silentFor))
		f, err := tier.Read(r)
		if err != nil {
			s.unreadable(l, err)
			break
		}
		say := func() { s.heard(id, l, &f) }
		switch {
		case f.Raft != nil:
			s.p.hurry(say)
			continue
		case f.Start != nil && s.p.hurry(say), f.Start == nil && s.p.post(say): // without its start nothing would be heard on this link
			continue
		}
		break
	}
	s.mu.Lock()
	delete(s.links, id)
	s.mu.Unlock()
	l.close()
	s.p.post(func() {
		if s.p.leader != nil {
			s.p.leader.LinkDown(id)
		}
		s.p.healthDown(id)
	})
}

func (s *server) unreadable(l *link, err error) {
	if !errors.Is(err, tier.ErrFrame) {
		return
	}
	host, _, _ := net.SplitHostPort(l.conn.RemoteAddr().String())
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.told[host]) >= tellFrames && len(s.told) < 1024 {
		s.told[host] = now
		slog.Warn("a link is closed over what can't be read", "from", host, "error", err)
	}
}

// heard takes a frame; it runs on the planner's goroutine.
func (s *server) heard(id rollout.Link, l *link, f *tier.Frame) {
	p := s.p
	switch {
	case f.Start != nil:
		s.started(id, l, f.Start)
	case f.Raft != nil:
		s.fromPlanner(id, l, f.Raft)
	case f.Tier != nil:
		l.proxy = true
		if p.leader == nil {
			s.send(id, &tier.Frame{Tier: &rollout.Message{Kind: rollout.NotLeader}})
			return
		}
		p.leader.Receive(p.now(), id, *f.Tier)
	case f.Health != nil:
		s.health(id, f.Health)
	case f.Ask != nil:
		s.ask(id, f.Ask)
	}
}

// send puts a frame on its way; a link that doesn't keep up is closed.
func (s *server) send(id rollout.Link, f *tier.Frame) {
	b, err := tier.Append(nil, f)
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
	case l.out <- b:
	default:
		l.conn.Close()
	}
}

// dropProxies lets proxies look for who leads now.
func (s *server) dropProxies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if l.proxy {
			l.conn.Close()
		}
	}
}
