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

// This file holds the links between planners. A planner sends on links that it opens and receives on links that others open.

// peerQueue is the queue of messages to another planner.
type peerQueue struct {
	address  string
	messages chan []byte
}

// sendToPeer queues a raft message to another planner. If the queue is full the message is dropped, which raft tolerates.
func (s *server) sendToPeer(m *pb.Message) {
	data, err := proto.Marshal(m)
	if err != nil {
		return
	}
	frame, err := tier.Append(nil, &tier.Frame{Raft: data})
	if err != nil {
		slog.Error("a message to a planner is too long", "to", m.GetTo(), "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if queue := s.peers[m.GetTo()]; queue != nil {
		select {
		case queue.messages <- frame:
			return
		default:
		}
	}
	s.planner.node.ReportUnreachable(m.GetTo())
}

// peerConn is a link that this planner has opened to another.
type peerConn struct {
	conn   net.Conn
	closed chan struct{} // closed once the other planner has closed the link
}

// dial keeps a link to another planner open, whether or not there is anything to send: each planner may have received promises of this one,
// and checks by the start record of the link whether they are still on disk. Messages that can't be sent are lost. A planner that has yet to
// join has promised nothing and is not part of the tier, so it opens a link only when it has something to send.
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
		case next, ok := <-queue.messages:
			if !ok {
				link.close()
				return
			}
			message = next
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

// open opens a link to another planner and sends this planner's start record. The connection is nil if that fails.
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

// writeMessage writes a message to another planner within writeTimeout. It closes the connection and returns false if that fails.
func writeMessage(conn net.Conn, message []byte) bool {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(message); err != nil {
		conn.Close()
		return false
	}
	return true
}

// awaitRejection reads from a link to another planner. That planner sends nothing but the reason why it rejects this one's messages.
func (s *server) awaitRejection(conn net.Conn, id uint64) {
	frame, err := tier.Read(bufio.NewReader(conn))
	if conn.Close(); err == nil && frame.Rejection != "" {
		s.planner.post(func() { s.planner.err = fmt.Errorf("%w: planner %d says: %s", ErrRejected, id, frame.Rejection) })
	}
}

// receiveRaft handles a raft message of another planner. It is accepted only if the sender's start record was verified on this link.
func (s *server) receiveRaft(id rollout.Link, l *link, data []byte) {
	p, message := s.planner, &pb.Message{}
	if proto.Unmarshal(data, message) != nil || l.peerID == 0 || message.GetFrom() != l.peerID {
		return
	}
	member := len(p.confState.GetVoters()) == 0 || slices.Contains(p.confState.GetVoters(), l.peerID) || slices.Contains(p.confState.GetVotersOutgoing(), l.peerID)
	if !member {
		if p.leader != nil && p.leader.Leading() { // the leader has the whole log, so the sender has been replaced; a follower may not have received the change that adds the sender
			s.reject(id, l.peerID, fmt.Sprintf("planner %d has been replaced: stop it for good", l.peerID))
			return
		}
		if message.GetType() == pb.MessageType_MsgVote || message.GetType() == pb.MessageType_MsgPreVote {
			return
		}
	}
	p.peer(l.peerID).lastMessage = p.now()
	p.recordPromise(message)
	p.node.Step(message)
}

// receiveStart verifies the start record with which a link of another planner begins.
func (s *server) receiveStart(id rollout.Link, l *link, start *tier.StartRecord) {
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

// reject sends another planner the reason why its messages are rejected.
func (s *server) reject(id rollout.Link, peerID uint64, reason string) {
	if peer := s.planner.peer(peerID); !peer.rejectionLogged {
		peer.rejectionLogged = true
		slog.Error("a planner's messages are not taken", "planner", peerID, "reason", reason)
	}
	s.send(id, &tier.Frame{Rejection: reason})
}
