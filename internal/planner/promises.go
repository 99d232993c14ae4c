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
	ackedTerm, ackedIndex uint64        // it has acknowledged entries up to acked to the leader of term, which may be this one
	lastTerm              uint64        // it has been in that term, at least
	rejectionLogged       bool          // that its messages are not taken
	verifiedProcess       uint64        // that said what its disk held, and was believed
	lastMessage           time.Duration // its last message
}

// met judges what another planner says that its disk holds. The text tells why its messages can't be taken: a vote or an entry that it has
// promised and forgotten would break what the consensus stands on. Of a process that has not been judged yet the disk counts as it was when
// the process began: an older copy may have been filled up by who leads before a link of it has come here. Nothing was acknowledged to
// this planner meanwhile, since it takes no messages of a process before it has judged it.
func (p *Planner) verifyStart(start *tier.Start) (reason string, err error) {
	known, err := p.store.recordPeerDisk(start.Planner, start.Disk)
	if err != nil {
		return "", err
	}
	peer := p.peer(start.Planner)
	term, last := start.Term, start.Last
	if start.Process != peer.verifiedProcess && start.Process != 0 {
		term, last = start.BeganTerm, start.BeganLast
	}
	switch {
	case known != start.Disk:
		return fmt.Sprintf("planner %d has begun its log anew: what it had promised is lost. Put a new one in its place: havenproxy policy replace", start.Planner), nil
	case term < peer.lastTerm, term == peer.ackedTerm && last < peer.ackedIndex:
		return fmt.Sprintf("planner %d has an older copy of its log: term %d and entry %d, and it had said %d and %d. Put a new one in its place: havenproxy policy replace",
			start.Planner, term, last, max(peer.lastTerm, peer.ackedTerm), peer.ackedIndex), nil
	}
	peer.verifiedProcess = start.Process
	return "", nil
}

func (p *Planner) peer(id uint64) *peer {
	if p.peers[id] == nil {
		p.peers[id] = &peer{}
	}
	return p.peers[id]
}

// said notes what another planner has promised by a message. All but the messages before a vote are sent once the disk has what they say.
func (p *Planner) recordPromise(m *pb.Message) {
	peer := p.peer(m.GetFrom())
	switch m.GetType() {
	case pb.MessageType_MsgPreVote, pb.MessageType_MsgPreVoteResp:
		return
	case pb.MessageType_MsgAppResp:
		if term := m.GetTerm(); !m.GetReject() {
			if term > peer.ackedTerm {
				peer.ackedTerm, peer.ackedIndex = term, 0
			}
			if term == peer.ackedTerm {
				peer.ackedIndex = max(peer.ackedIndex, m.GetIndex())
			}
		}
	}
	peer.lastTerm = max(peer.lastTerm, m.GetTerm())
}

// start is what this planner's disk holds.
func (p *Planner) startRecord() *tier.Start {
	hard, _, _ := p.store.memory.InitialState()
	last, _ := p.store.memory.LastIndex()
	return &tier.Start{Planner: p.config.ID, Disk: p.store.diskID, Term: hard.GetTerm(), Last: last, Process: p.processID,
		BeganTerm: p.initialTerm, BeganLast: p.initialLastIndex}
}
