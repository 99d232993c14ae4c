package planner

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"havenproxy/internal/rollout"
	"havenproxy/internal/wire/tier"
)

// The links between planners: those that this one opens to send on, and those of others on which it receives.

// toPeer is the way to another planner.
type toPeer struct {
	address string
	out     chan []byte
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
		s.p.post(func() { s.p.failed = fmt.Errorf("%w: planner %d says: %s", ErrRejected, id, f.Strange) })
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
