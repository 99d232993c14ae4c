package planner

import (
	"fmt"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"havenproxy/internal/wire/tier"
)

// This file checks what other planners have promised, that is votes and acknowledged entries, against what their disks hold.

// peer is the state of another planner.
type peer struct {
	ackedTerm, ackedIndex uint64        // it has acknowledged entries up to ackedIndex to the leader of ackedTerm, which may be this planner
	lastTerm              uint64        // the latest term that it is known to have reached
	rejectionLogged       bool          // a rejection of its messages was logged
	verifiedProcess       uint64        // ID of the last process whose start record was verified
	lastMessage           time.Duration // time of its last message
}

// verifyStart checks another planner's start record against what that planner has promised. A non-empty reason tells why its messages must
// be rejected: consensus breaks if a planner forgets a vote or an entry that it has acknowledged. For a process that has not been verified
// yet, the term and last entry at the start of the process are checked, since the leader may have brought an older copy up to date before
// a link of that process reached this planner. It can't have acknowledged anything to this planner in the meantime, since messages of an
// unverified process are not accepted.
func (p *Planner) verifyStart(start *tier.StartRecord) (reason string, err error) {
	diskID, err := p.store.recordPeerDisk(start.Planner, start.DiskID)
	if err != nil {
		return "", err
	}
	peer := p.peer(start.Planner)
	term, last := start.Term, start.LastIndex
	if start.ProcessID != peer.verifiedProcess && start.ProcessID != 0 {
		term, last = start.InitialTerm, start.InitialIndex
	}
	switch {
	case diskID != start.DiskID:
		return fmt.Sprintf("planner %d has begun its log anew: what it had promised is lost. Put a new one in its place: havenproxy policy replace", start.Planner), nil
	case term < peer.lastTerm, term == peer.ackedTerm && last < peer.ackedIndex:
		return fmt.Sprintf("planner %d has an older copy of its log: term %d and entry %d, and it had said %d and %d. Put a new one in its place: havenproxy policy replace",
			start.Planner, term, last, max(peer.lastTerm, peer.ackedTerm), peer.ackedIndex), nil
	}
	peer.verifiedProcess = start.ProcessID
	return "", nil
}

func (p *Planner) peer(id uint64) *peer {
	if p.peers[id] == nil {
		p.peers[id] = &peer{}
	}
	return p.peers[id]
}

// recordPromise records what another planner has promised by a message. All messages except those of a pre-vote are sent only after their
// promise is on disk.
func (p *Planner) recordPromise(message *pb.Message) {
	peer := p.peer(message.GetFrom())
	switch message.GetType() {
	case pb.MessageType_MsgPreVote, pb.MessageType_MsgPreVoteResp:
		return
	case pb.MessageType_MsgAppResp:
		if term := message.GetTerm(); !message.GetReject() {
			if term > peer.ackedTerm {
				peer.ackedTerm, peer.ackedIndex = term, 0
			}
			if term == peer.ackedTerm {
				peer.ackedIndex = max(peer.ackedIndex, message.GetIndex())
			}
		}
	}
	peer.lastTerm = max(peer.lastTerm, message.GetTerm())
}

// startRecord returns a description of what this planner's disk holds.
func (p *Planner) startRecord() *tier.StartRecord {
	hard, _, _ := p.store.memory.InitialState()
	last, _ := p.store.memory.LastIndex()
	return &tier.StartRecord{Planner: p.config.ID, DiskID: p.store.diskID, Term: hard.GetTerm(), LastIndex: last, ProcessID: p.processID,
		InitialTerm: p.initialTerm, InitialIndex: p.initialLastIndex}
}
