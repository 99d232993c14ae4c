package planner

import (
	"fmt"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"havenproxy/internal/wire/tier"
)

// What other planners have promised, held against what their disks hold: votes and acknowledged entries.

// peer is what is known of another planner.
type peer struct {
	term, acked uint64        // it has acknowledged entries up to acked to the leader of term, which may be this one
	voted       uint64        // it has been in that term, at least
	told        bool          // that its messages are not taken
	process     uint64        // that said what its disk held, and was believed
	heardAt     time.Duration // its last message
}

// met judges what another planner says that its disk holds. The text tells why its messages can't be taken: a vote or an entry that it has
// promised and forgotten would break what the consensus stands on. Of a process that has not been judged yet the disk counts as it was when
// the process began: an older copy may have been filled up by who leads before a link of it has come here. Nothing was acknowledged to
// this planner meanwhile, since it takes no messages of a process before it has judged it.
func (p *Planner) met(s *tier.Start) (why string, err error) {
	known, err := p.store.knows(s.Planner, s.Disk)
	if err != nil {
		return "", err
	}
	x := p.peer(s.Planner)
	term, last := s.Term, s.Last
	if s.Process != x.process && s.Process != 0 {
		term, last = s.BeganTerm, s.BeganLast
	}
	switch {
	case known != s.Disk:
		return fmt.Sprintf("planner %d has begun its log anew: what it had promised is lost. Put a new one in its place: havenproxy policy replace", s.Planner), nil
	case term < x.voted, term == x.term && last < x.acked:
		return fmt.Sprintf("planner %d has an older copy of its log: term %d and entry %d, and it had said %d and %d. Put a new one in its place: havenproxy policy replace",
			s.Planner, term, last, max(x.voted, x.term), x.acked), nil
	}
	x.process = s.Process
	return "", nil
}

func (p *Planner) peer(id uint64) *peer {
	if p.peers[id] == nil {
		p.peers[id] = &peer{}
	}
	return p.peers[id]
}

// said notes what another planner has promised by a message. All but the messages before a vote are sent once the disk has what they say.
func (p *Planner) said(m *pb.Message) {
	x := p.peer(m.GetFrom())
	switch m.GetType() {
	case pb.MessageType_MsgPreVote, pb.MessageType_MsgPreVoteResp:
		return
	case pb.MessageType_MsgAppResp:
		if t := m.GetTerm(); !m.GetReject() {
			if t > x.term {
				x.term, x.acked = t, 0
			}
			if t == x.term {
				x.acked = max(x.acked, m.GetIndex())
			}
		}
	}
	x.voted = max(x.voted, m.GetTerm())
}

// start is what this planner's disk holds.
func (p *Planner) start() *tier.Start {
	hard, _, _ := p.store.mem.InitialState()
	last, _ := p.store.mem.LastIndex()
	return &tier.Start{Planner: p.cfg.ID, Disk: p.store.disk, Term: hard.GetTerm(), Last: last, Process: p.process,
		BeganTerm: p.beganTerm, BeganLast: p.beganLast}
}
