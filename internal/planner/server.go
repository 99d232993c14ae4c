package planner

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"havenproxy/internal/planner/client"
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

type waiting struct {
	nonce uint64
	link  rollout.Link
	until time.Duration
}

type link struct {
	conn    net.Conn
	out     chan []byte
	proxy   bool
	planner uint64 // another one that has said what its disk holds, and may be believed; the planner's goroutine's alone
	once    sync.Once
}

// toPeer is the way to another planner.
type toPeer struct {
	address string
	out     chan []byte
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

// toPeer sends a message of the consensus; where its link doesn't keep up it is lost, which the consensus bears.
func (s *server) toPeer(m *pb.Message) {
	text, err := proto.Marshal(m)
	if err != nil {
		return
	}
	b, err := tier.Append(nil, &tier.Frame{Raft: text})
	if err != nil {
		slog.Error("a message to a planner is too long", "to", m.GetTo(), "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.peers[m.GetTo()]; x != nil {
		select {
		case x.out <- b:
			return
		default:
		}
	}
	s.p.node.ReportUnreachable(m.GetTo())
}

// outgoing is a link that this planner has opened to another.
type outgoing struct {
	conn  net.Conn
	ended chan struct{} // closed once the other has closed it
}

// dial keeps a link to another planner, whether or not there is anything to send: who has heard what this one has promised may be any of
// them, and judges by how a link begins whether it still holds it. What can't be sent is lost. A planner that has yet to join has promised
// nothing, and is none of the tier's: it opens a link once it has something to send.
func (s *server) dial(id uint64, x *toPeer) {
	redials := time.NewTicker(redial)
	defer redials.Stop()
	var link outgoing
	var failed time.Time
	if !s.p.cfg.Join {
		link, failed = s.open(id, x.address), time.Now()
	}
	for {
		var message []byte
		select {
		case b, ok := <-x.out:
			if !ok {
				link.close()
				return
			}
			message = b
		case <-link.ended:
			link, failed = outgoing{}, time.Now()
			continue
		case <-redials.C:
			if s.p.cfg.Join {
				continue
			}
		}
		if link.conn == nil && time.Since(failed) >= redial {
			link, failed = s.open(id, x.address), time.Now()
		}
		if link.conn == nil || message == nil {
			continue
		}
		if !write(link.conn, message) {
			link, failed = outgoing{}, time.Now()
		}
	}
}

// open opens a link to another planner, which begins with what this planner's disk holds; no connection = it can't be opened.
func (s *server) open(id uint64, address string) outgoing {
	conn, err := net.DialTimeout("tcp", address, dialFor)
	if err != nil {
		return outgoing{}
	}
	start, err := tier.Append(nil, &tier.Frame{Start: s.p.start()})
	if err != nil || !write(conn, start) {
		conn.Close()
		return outgoing{}
	}
	link := outgoing{conn, make(chan struct{})}
	go func() {
		defer close(link.ended)
		s.listenTo(conn, id)
	}()
	return link
}

func (o *outgoing) close() {
	if o.conn != nil {
		o.conn.Close()
	}
}

// write writes a message to another planner in a bounded time; a connection on which it fails is closed.
func write(conn net.Conn, message []byte) bool {
	conn.SetWriteDeadline(time.Now().Add(writeFor))
	if _, err := conn.Write(message); err != nil {
		conn.Close()
		return false
	}
	return true
}

// listenTo hears on a link to another planner why that one doesn't take this one's messages, if so.
func (s *server) listenTo(conn net.Conn, id uint64) {
	f, err := tier.Read(bufio.NewReader(conn))
	if conn.Close(); err == nil && f.Strange != "" {
		s.p.post(func() { s.p.failed = fmt.Errorf("%w: planner %d says: %s", ErrStrange, id, f.Strange) })
	}
}

// fromPlanner takes a message of another planner. Only one whose disk is known to hold what it has promised is heard.
func (s *server) fromPlanner(id rollout.Link, l *link, text []byte) {
	p, m := s.p, &pb.Message{}
	if proto.Unmarshal(text, m) != nil || l.planner == 0 || m.GetFrom() != l.planner {
		return
	}
	member := len(p.conf.GetVoters()) == 0 || slices.Contains(p.conf.GetVoters(), l.planner) || slices.Contains(p.conf.GetVotersOutgoing(), l.planner)
	if !member {
		if p.leader != nil && p.leader.Leading() { // who leads has all of the log: it has been replaced. Others may not have heard of a new one yet
			s.strange(id, l.planner, fmt.Sprintf("planner %d has been replaced: stop it for good", l.planner))
			return
		}
		if m.GetType() == pb.MessageType_MsgVote || m.GetType() == pb.MessageType_MsgPreVote {
			return
		}
	}
	p.peer(l.planner).heardAt = p.now()
	p.said(m)
	p.node.Step(m)
}

// started judges a planner as a link of it begins.
func (s *server) started(id rollout.Link, l *link, x *tier.Start) {
	why, err := s.p.met(x)
	switch {
	case err != nil:
		s.p.failed = fmt.Errorf("the log can't be written, so this planner ends: %w", err)
	case why != "":
		s.strange(id, x.Planner, why)
	default:
		l.planner = x.Planner
	}
}

// strange tells another planner that it isn't heard, and why.
func (s *server) strange(id rollout.Link, planner uint64, why string) {
	if x := s.p.peer(planner); !x.told {
		x.told = true
		slog.Error("a planner's messages are not taken", "planner", planner, "reason", why)
	}
	s.send(id, &tier.Frame{Strange: why})
}

// ask answers the operator.
func (s *server) ask(id rollout.Link, a *tier.Ask) {
	p := s.p
	refuse := func(err error) {
		s.send(id, &tier.Frame{Answer: &tier.Answer{Error: err.Error(), Planner: p.cfg.ID, Leader: p.leads}})
	}
	if p.leader != nil && !p.leader.Leading() { // its term has yet to begin in the log: who asks comes again
		s.send(id, &tier.Frame{Answer: &tier.Answer{Error: client.ErrNoLeader.Error(), Planner: p.cfg.ID, State: p.state.WithoutPolicies(0)}})
		return
	}
	if a.Do == tier.DoStatus {
		s.status(id, "", a.Number)
		return
	}
	if p.leader == nil {
		refuse(client.ErrNoLeader)
		return
	}
	switch a.Do {
	case tier.DoPropose:
		if c := p.state.Pending(); c != nil && c.Nonce != a.Nonce {
			refuse(errUndecided(c.Number))
			return
		}
		s.waiting = append(s.waiting, waiting{a.Nonce, id, p.now() + askFor})
		p.leader.Propose(rollout.Command{Kind: rollout.Propose, Nonce: a.Nonce, Policy: a.Policy, Comment: a.Why, Hash: a.Hash})
	case tier.DoAbort:
		p.leader.Abort(p.now(), a.Number, "by the operator")
		s.status(id, "", 0)
	case tier.DoExpel:
		text := ""
		if err := p.leader.Expel(p.now(), a.Name); err != nil {
			text = err.Error()
		}
		s.status(id, text, 0)
	case tier.DoReplace:
		if err := p.Replace(uint64(a.Number), a.Nonce, a.Name); err != nil {
			refuse(err)
			return
		}
		s.status(id, "", 0)
	default:
		refuse(errors.New("this planner doesn't know the word " + a.Do))
	}
}

type errUndecided rollout.Number

func (e errUndecided) Error() string {
	return fmt.Sprintf("change %d is undecided: wait for it, or abort it", rollout.Number(e))
}

// settle answers proposals that the log has had.
func (s *server) settle(c rollout.Command, err error) {
	if c.Kind != rollout.Propose {
		return
	}
	n := s.waiting[:0]
	for _, w := range s.waiting {
		switch {
		case w.nonce != c.Nonce:
			if s.p.now() < w.until {
				n = append(n, w)
			}
		case err != nil:
			s.status(w.link, err.Error(), 0)
		default:
			s.status(w.link, "", 0)
		}
	}
	s.waiting = n
}

func (s *server) status(id rollout.Link, text string, n rollout.Number) {
	p := s.p
	a := &tier.Answer{Error: text, Planner: p.cfg.ID, Leader: p.leads, State: p.state.WithoutPolicies(n), Planners: p.voting()}
	if p.leader != nil {
		if progress, ok := p.leader.Progress(p.now()); ok {
			a.Progress = &progress
		}
		a.Members = p.leader.Members(p.now())
	}
	s.send(id, &tier.Frame{Answer: a})
}
