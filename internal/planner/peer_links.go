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
type peerQueue struct {
	address  string
	messages chan []byte
}

// toPeer sends a message of the consensus; where its link doesn't keep up it is lost, which the consensus bears.
func (s *server) sendToPeer(m *pb.Message) {
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
	if queue := s.peers[m.GetTo()]; queue != nil {
		select {
		case queue.messages <- b:
			return
		default:
		}
	}
	s.planner.node.ReportUnreachable(m.GetTo())
}

// outgoing is a link that this planner has opened to another.
type peerConn struct {
	conn   net.Conn
	closed chan struct{} // closed once the other has closed it
}

// dial keeps a link to another planner, whether or not there is anything to send: who has heard what this one has promised may be any of
// them, and judges by how a link begins whether it still holds it. What can't be sent is lost. A planner that has yet to join has promised
// nothing, and is none of the tier's: it opens a link once it has something to send.
func (s *server) dial(id uint64, queue *peerQueue) {
	redials := time.NewTicker(redialInterval)
	defer redials.Stop()
	var link peerConn
	var failed time.Time
	if !s.planner.config.Join {
		link, failed = s.open(id, queue.address), time.Now()
	}
	for {
		var message []byte
		select {
		case b, ok := <-queue.messages:
			if !ok {
				link.close()
				return
			}
			message = b
		case <-link.closed:
			link, failed = peerConn{}, time.Now()
			continue
		case <-redials.C:
			if s.planner.config.Join {
				continue
			}
		}
		if link.conn == nil && time.Since(failed) >= redialInterval {
			link, failed = s.open(id, queue.address), time.Now()
		}
		if link.conn == nil || message == nil {
			continue
		}
		if !writeMessage(link.conn, message) {
			link, failed = peerConn{}, time.Now()
		}
	}
}

// open opens a link to another planner, which begins with what this planner's disk holds; no connection = it can't be opened.
func (s *server) open(id uint64, address string) peerConn {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return peerConn{}
	}
	start, err := tier.Append(nil, &tier.Frame{Start: s.planner.startRecord()})
	if err != nil || !writeMessage(conn, start) {
		conn.Close()
		return peerConn{}
	}
	link := peerConn{conn, make(chan struct{})}
	go func() {
		defer close(link.closed)
		s.awaitRejection(conn, id)
	}()
	return link
}

func (c *peerConn) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}

// write writes a message to another planner in a bounded time; a connection on which it fails is closed.
func writeMessage(conn net.Conn, message []byte) bool {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(message); err != nil {
		conn.Close()
		return false
	}
	return true
}

// listenTo hears on a link to another planner why that one doesn't take this one's messages, if so.
func (s *server) awaitRejection(conn net.Conn, id uint64) {
	frame, err := tier.Read(bufio.NewReader(conn))
	if conn.Close(); err == nil && frame.Strange != "" {
		s.planner.post(func() { s.planner.err = fmt.Errorf("%w: planner %d says: %s", ErrRejected, id, frame.Strange) })
	}
}

// fromPlanner takes a message of another planner. Only one whose disk is known to hold what it has promised is heard.
func (s *server) receiveRaft(id rollout.Link, l *link, text []byte) {
	p, m := s.planner, &pb.Message{}
	if proto.Unmarshal(text, m) != nil || l.peerID == 0 || m.GetFrom() != l.peerID {
		return
	}
	member := len(p.conf.GetVoters()) == 0 || slices.Contains(p.conf.GetVoters(), l.peerID) || slices.Contains(p.conf.GetVotersOutgoing(), l.peerID)
	if !member {
		if p.leader != nil && p.leader.Leading() { // who leads has all of the log: it has been replaced. Others may not have heard of a new one yet
			s.reject(id, l.peerID, fmt.Sprintf("planner %d has been replaced: stop it for good", l.peerID))
			return
		}
		if m.GetType() == pb.MessageType_MsgVote || m.GetType() == pb.MessageType_MsgPreVote {
			return
		}
	}
	p.peer(l.peerID).lastMessage = p.now()
	p.recordPromise(m)
	p.node.Step(m)
}

// started judges a planner as a link of it begins.
func (s *server) receiveStart(id rollout.Link, l *link, start *tier.Start) {
	reason, err := s.planner.verifyStart(start)
	switch {
	case err != nil:
		s.planner.err = fmt.Errorf("the log can't be written, so this planner ends: %w", err)
	case reason != "":
		s.reject(id, start.Planner, reason)
	default:
		l.peerID = start.Planner
	}
}

// strange tells another planner that it isn't heard, and why.
func (s *server) reject(id rollout.Link, peerID uint64, reason string) {
	if peer := s.planner.peer(peerID); !peer.rejectionLogged {
		peer.rejectionLogged = true
		slog.Error("a planner's messages are not taken", "planner", peerID, "reason", reason)
	}
	s.send(id, &tier.Frame{Strange: reason})
}
