package planner

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// This file implements the replacement of a planner by another, by joint consensus.

// voters returns the numbers of the planners that vote now, sorted. While one is being replaced, both the old and the new one vote, since a
// majority of either set is needed: the old one is not replaced before it has left.
func (p *Planner) voters() []uint64 {
	all := append(slices.Clone(p.confState.GetVoters()), p.confState.GetVotersOutgoing()...)
	slices.Sort(all)
	return slices.Compact(all)
}

// Replace begins the replacement of a planner by a new one. Both changes take effect at once, by joint consensus, so that the number of
// failures that the planners tolerate never decreases. The error is the reason why the replacement is not possible.
func (p *Planner) Replace(oldID, newID uint64, address string) error {
	voters := p.confState.GetVoters()
	disk, err := p.store.peerDisk(newID)
	switch {
	case err != nil:
		return err
	case len(p.confState.GetVotersOutgoing()) > 0:
		return errors.New("another planner is being replaced")
	case !slices.Contains(voters, oldID):
		return fmt.Errorf("planner %d is none of the tier's: those are %d", oldID, voters)
	case newID == 0 || slices.Contains(voters, newID) || p.state.Planners[newID] != "" || disk != 0:
		return fmt.Errorf("planner %d is or was one of the tier's: a new one needs a number of its own, since the others remember what it said", newID)
	case oldID == p.config.ID:
		return fmt.Errorf("planner %d leads: stop it first, or ask again once another leads", oldID)
	}
	live := p.countLive(voters, oldID)
	if needed := len(voters)/2 + 1; live < needed {
		return fmt.Errorf("beside planner %d only %d of %d live, and %d have to", oldID, live, len(voters), needed)
	}
	single := func(t pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
		return &pb.ConfChangeSingle{Type: &t, NodeId: &id}
	}
	return p.node.ProposeConfChange(&pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{single(pb.ConfChangeType_ConfChangeAddNode, newID),
		single(pb.ConfChangeType_ConfChangeRemoveNode, oldID)}, Context: []byte(address)})
}

// countLive counts the voters, without the one given by except, that have sent a message within aliveTimeout; this planner always counts.
// Raft's own mark of active followers can't be used: it is cleared for all of them once per election timeout, until the next message of each.
func (p *Planner) countLive(voters []uint64, except uint64) (count int) {
	for _, id := range voters {
		if id == except {
			continue
		}
		if id == p.config.ID || p.peer(id).lastMessage > 0 && p.now()-p.peer(id).lastMessage <= aliveTimeout {
			count++
		}
	}
	return count
}

// applyConfChange applies a committed change of the set of planners.
func (p *Planner) applyConfChange(confChange *pb.ConfChangeV2) {
	before := p.confState.GetVoters()
	p.confState = p.node.ApplyConfChange(confChange)
	for _, change := range confChange.GetChanges() {
		if change.GetType() == pb.ConfChangeType_ConfChangeAddNode && !slices.Contains(before, change.GetNodeId()) {
			if p.state.Planners == nil {
				p.state.Planners = map[uint64]string{}
			}
			p.state.Planners[change.GetNodeId()] = string(confChange.GetContext())
		}
	}
	slog.Info("planners", "voters", p.confState.GetVoters(), "leaving", p.confState.GetVotersOutgoing())
	p.connect()
	p.compactLog() // the new planner needs a snapshot that includes it
	if !slices.Contains(p.confState.GetVoters(), p.config.ID) && len(p.confState.GetVotersOutgoing()) == 0 && slices.Contains(before, p.config.ID) {
		p.err = ErrReplaced
	}
}
