package planner

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Replacing a planner by another: both at one moment, by joint consensus.

// voting gives the planners that vote now, by number. While one is being replaced, those are the old ones and the new one: most of either set
// are needed, so that the old one is not replaced before it has left.
func (p *Planner) voters() []uint64 {
	all := append(slices.Clone(p.conf.GetVoters()), p.conf.GetVotersOutgoing()...)
	slices.Sort(all)
	return slices.Compact(all)
}

// Replace begins to put a new planner in an old one's place: both at one moment, by joint consensus, so that at no time one more may fail than
// before. The error tells why it can't be.
func (p *Planner) Replace(oldID, newID uint64, address string) error {
	voters := p.conf.GetVoters()
	disk, err := p.store.peerDisk(newID)
	switch {
	case err != nil:
		return err
	case len(p.conf.GetVotersOutgoing()) > 0:
		return errors.New("another planner is being replaced")
	case !slices.Contains(voters, oldID):
		return fmt.Errorf("planner %d is none of the tier's: those are %d", oldID, voters)
	case newID == 0 || slices.Contains(voters, newID) || p.state.Planners[newID] != "" || disk != 0:
		return fmt.Errorf("planner %d is or was one of the tier's: a new one needs a number of its own, since the others remember what it said", newID)
	case oldID == p.config.ID:
		return fmt.Errorf("planner %d leads: stop it first, or ask again once another leads", oldID)
	}
	live := p.countLive(voters, oldID)
	if n := len(voters)/2 + 1; live < n {
		return fmt.Errorf("beside planner %d only %d of %d live, and %d have to", oldID, live, len(voters), n)
	}
	single := func(t pb.ConfChangeType, newID uint64) *pb.ConfChangeSingle {
		return &pb.ConfChangeSingle{Type: &t, NodeId: &newID}
	}
	return p.node.ProposeConfChange(&pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{single(pb.ConfChangeType_ConfChangeAddNode, newID),
		single(pb.ConfChangeType_ConfChangeRemoveNode, oldID)}, Context: []byte(address)})
}

// live counts the voters but one that have been heard lately, this planner among them. The consensus' own mark of them is of no use: it is
// taken off all of them once in each election time-out, and comes back with the next message of each.
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

// changed takes a change of the planners that has come through the log.
func (p *Planner) applyConfChange(confChange *pb.ConfChangeV2) {
	before := p.conf.GetVoters()
	p.conf = p.node.ApplyConfChange(confChange)
	for _, change := range confChange.GetChanges() {
		if change.GetType() == pb.ConfChangeType_ConfChangeAddNode && !slices.Contains(before, change.GetNodeId()) {
			if p.state.Planners == nil {
				p.state.Planners = map[uint64]string{}
			}
			p.state.Planners[change.GetNodeId()] = string(confChange.GetContext())
		}
	}
	slog.Info("planners", "voters", p.conf.GetVoters(), "leaving", p.conf.GetVotersOutgoing())
	p.connect()
	p.compactLog() // the new one begins with a snapshot that names it
	if !slices.Contains(p.conf.GetVoters(), p.config.ID) && len(p.conf.GetVotersOutgoing()) == 0 && slices.Contains(before, p.config.ID) {
		p.err = ErrReplaced
	}
}
