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
func (p *Planner) voting() []uint64 {
	all := append(slices.Clone(p.conf.GetVoters()), p.conf.GetVotersOutgoing()...)
	slices.Sort(all)
	return slices.Compact(all)
}

// Replace begins to put a new planner in an old one's place: both at one moment, by joint consensus, so that at no time one more may fail than
// before. The error tells why it can't be.
func (p *Planner) Replace(old, id uint64, address string) error {
	voters := p.conf.GetVoters()
	was, err := p.store.known(id)
	switch {
	case err != nil:
		return err
	case len(p.conf.GetVotersOutgoing()) > 0:
		return errors.New("another planner is being replaced")
	case !slices.Contains(voters, old):
		return fmt.Errorf("planner %d is none of the tier's: those are %d", old, voters)
	case id == 0 || slices.Contains(voters, id) || p.state.Planners[id] != "" || was != 0:
		return fmt.Errorf("planner %d is or was one of the tier's: a new one needs a number of its own, since the others remember what it said", id)
	case old == p.cfg.ID:
		return fmt.Errorf("planner %d leads: stop it first, or ask again once another leads", old)
	}
	live := p.live(voters, old)
	if n := len(voters)/2 + 1; live < n {
		return fmt.Errorf("beside planner %d only %d of %d live, and %d have to", old, live, len(voters), n)
	}
	simple := func(t pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
		return &pb.ConfChangeSingle{Type: &t, NodeId: &id}
	}
	return p.node.ProposeConfChange(&pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{simple(pb.ConfChangeType_ConfChangeAddNode, id),
		simple(pb.ConfChangeType_ConfChangeRemoveNode, old)}, Context: []byte(address)})
}

// live counts the voters but one that have been heard lately, this planner among them. The consensus' own mark of them is of no use: it is
// taken off all of them once in each election time-out, and comes back with the next message of each.
func (p *Planner) live(voters []uint64, but uint64) (count int) {
	for _, id := range voters {
		if id == but {
			continue
		}
		if id == p.cfg.ID || p.peer(id).heardAt > 0 && p.now()-p.peer(id).heardAt <= aliveFor {
			count++
		}
	}
	return count
}

// changed takes a change of the planners that has come through the log.
func (p *Planner) changed(cc *pb.ConfChangeV2) {
	before := p.conf.GetVoters()
	p.conf = p.node.ApplyConfChange(cc)
	for _, c := range cc.GetChanges() {
		if c.GetType() == pb.ConfChangeType_ConfChangeAddNode && !slices.Contains(before, c.GetNodeId()) {
			if p.state.Planners == nil {
				p.state.Planners = map[uint64]string{}
			}
			p.state.Planners[c.GetNodeId()] = string(cc.GetContext())
		}
	}
	slog.Info("planners", "voters", p.conf.GetVoters(), "leaving", p.conf.GetVotersOutgoing())
	p.connect()
	p.shorten() // the new one begins with a snapshot that names it
	if !slices.Contains(p.conf.GetVoters(), p.cfg.ID) && len(p.conf.GetVotersOutgoing()) == 0 && slices.Contains(before, p.cfg.ID) {
		p.failed = ErrReplaced
	}
}
