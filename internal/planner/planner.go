// Package planner is the planner's process: it keeps the tier's policies, changes and members in a log that is the same at all planners.
// Consensus is etcd's raft, driven here by one goroutine in the way of its Ready; the log lies in a file of bbolt's. What a change needs to
// come into force is decided by package rollout, which this one feeds with what proxies say, what the log brings, and the clock.
package planner

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"havenproxy/internal/labclock"
	"havenproxy/internal/rollout"
	"havenproxy/internal/subset"
	"havenproxy/internal/wire/tier"
)

const (
	step       = 20 * time.Millisecond // of the clock
	heartbeats = 2                     // steps
	elections  = 15                    // steps without a leader, and up to twice that, by chance
	aliveFor   = 2 * elections * step  // that a planner counts as alive behind a message: within it, a follower takes its leader for lost
	mostEvents = 4096                  // that wait for the planner; who has more to say waits with it, in its own socket
	together   = 256                   // of them that are worked off before the planners' own words have another turn
	snapEvery  = 2000                  // entries
	snapKeep   = 500
)

// Planner is one.
type Planner struct {
	cfg    Config
	store  *store
	node   *raft.RawNode
	conf   *pb.ConfState
	state  *rollout.State
	leader *rollout.Leader // nil while another leads
	leads  uint64          // who, as far as known
	health *healthRelay    // nil while another leads
	began  time.Time

	views            *rollout.MembershipHistory
	applied, snapped uint64
	reads            uint64 // confirmations asked for
	process          uint64 // drawn when this process began
	beganTerm        uint64 // the disk's term and last entry then
	beganLast        uint64
	pending          rollout.Number // the last change that was undecided,
	pendingAt        time.Duration  // and when this planner first had it

	server *server
	events chan func() // what proxies and operators say
	urgent chan func() // what planners say to one another: behind thousands of proxies' words it would come too late, and another election begin
	ended  chan struct{}
	failed error
	peers  map[uint64]*peer
}

// Open makes a planner that doesn't run yet.
func Open(cfg Config) (*Planner, error) {
	cfg.Rollout = cfg.Rollout.WithDefaults()
	if cfg.Peers[cfg.ID] == "" {
		return nil, fmt.Errorf("planner %d is not among the planners named", cfg.ID)
	}
	var ids []uint64
	for id := range cfg.Peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	st, fresh, err := openStore(cfg.LogFile, fmt.Sprintf("planner %d", cfg.ID))
	if err != nil {
		return nil, err
	}
	p := &Planner{cfg: cfg, store: st, state: &rollout.State{}, began: time.Now(), events: make(chan func(), mostEvents),
		views:  rollout.NewMembershipHistory(cfg.Rollout),
		urgent: make(chan func(), mostEvents), ended: make(chan struct{}), peers: map[uint64]*peer{}}
	if cfg.Join && !fresh && st.begun() { // started again: it has joined already
		cfg.Join = false
	}
	if fresh && !cfg.Join { // all planners begin with the same snapshot of nothing
		empty, err := tier.EncodeState(p.state)
		if err == nil {
			one := uint64(1)
			err = st.save(&raft.Ready{Snapshot: &pb.Snapshot{Data: empty, Metadata: &pb.SnapshotMetadata{Index: &one, Term: &one,
				ConfState: &pb.ConfState{Voters: ids}}}, HardState: &pb.HardState{Term: &one, Commit: &one}})
		}
		if err != nil {
			st.close()
			return nil, err
		}
	}
	snap, err := st.mem.Snapshot()
	if err == nil && !raft.IsEmptySnap(snap) {
		err = p.restore(snap)
	}
	if err != nil {
		st.close()
		return nil, err
	}
	p.node, err = raft.NewRawNode(&raft.Config{ID: cfg.ID, ElectionTick: elections, HeartbeatTick: heartbeats, Storage: st.mem, Applied: p.applied,
		MaxSizePerMsg: tier.MaxFrame / 2, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 16 << 20, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, Logger: quiet{}})
	if err != nil {
		st.close()
		return nil, err
	}
	p.process = rand.Uint64() | 1 // never 0
	now := p.start()
	p.beganTerm, p.beganLast = now.Term, now.Last
	if p.server, err = listen(p, cfg.Listen); err != nil {
		st.close()
		return nil, err
	}
	p.connect()
	return p, nil
}

// ErrReplaced tells that this planner has been replaced, and ErrRejected that the others don't take its messages.
var (
	ErrReplaced = errors.New("this planner has been replaced: stop it for good")
	ErrRejected = errors.New("the other planners don't take this one's messages")
)

func (p *Planner) restore(snap *pb.Snapshot) (err error) {
	if p.state, err = tier.DecodeState(snap.GetData()); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	p.views.MarkIncomplete(p.now())
	p.views.Applied(p.now(), p.state)
	p.applied, p.snapped = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	p.conf = snap.GetMetadata().GetConfState()
	p.connect()
	return nil
}

// connect keeps links to the planners that the log names, and no others.
func (p *Planner) connect() {
	if p.server == nil {
		return
	}
	want := map[uint64]string{}
	for _, id := range p.voting() {
		if id != p.cfg.ID {
			want[id] = cmp.Or(p.state.Planners[id], p.cfg.Peers[id])
		}
	}
	if len(p.conf.GetVoters()) == 0 { // the log has yet to come from the others
		for id, address := range p.cfg.Peers {
			want[id] = address
		}
		delete(want, p.cfg.ID)
	}
	p.server.connect(want)
}

// Address tells where it listens.
func (p *Planner) Address() string { return p.server.listener.Addr().String() }

// now is the planner's own clock, on which leases are counted: it is monotonic.
func (p *Planner) now() time.Duration { return labclock.Since(p.began) + time.Second }

func (p *Planner) unix() int64 { return labclock.Wall().UnixMilli() }

// post hands what a proxy or an operator has said to the planner's goroutine. Where too much waits, it waits too, and so its link is read no
// further: a link that is closed would come again with more to say. false = the planner has ended.
func (p *Planner) post(f func()) bool {
	select {
	case p.events <- f:
		return true
	case <-p.ended:
		return false
	}
}

// hurry hands over what another planner has said; false = too much waits, and it is dropped, as the consensus bears.
func (p *Planner) hurry(f func()) bool {
	select {
	case p.urgent <- f:
		return true
	default:
		return false
	}
}

// Run runs it until the context ends or it can't go on.
func (p *Planner) Run(ctx context.Context) (err error) {
	defer func() { // the consensus ends a process whose log can't be what it promised: an older copy, say
		if x := recover(); x != nil {
			if why, ok := x.(consensusPanic); ok {
				err = fmt.Errorf("the log lacks what this planner has acknowledged to the others: it was lost, or is an older copy. Put a new one in its place: havenproxy policy replace (%s)", string(why))
				return
			}
			panic(x)
		}
	}()
	slog.Info("planner", "id", p.cfg.ID, "listen", p.Address(), "in_force", p.state.InForce, "members", len(p.state.Members))
	ticks := time.NewTicker(step)
	defer ticks.Stop()
	defer p.store.close()
	defer p.server.close()
	defer close(p.ended)
	for p.failed == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
			p.node.Tick()
			if p.leader != nil {
				p.leader.Tick(p.now())
				p.healthTick()
			}
		case f := <-p.urgent:
			f()
		case f := <-p.events:
			f()
			for n := min(len(p.events), together); n > 0; n-- { // what came together is written together
				(<-p.events)()
			}
		}
		for n := len(p.urgent); n > 0; n-- {
			(<-p.urgent)()
		}
		for p.failed == nil && (p.lead() || p.node.HasReady()) {
			p.ready()
		}
	}
	return p.failed
}

// begin begins to lead.
func (p *Planner) begin(term rollout.Term) {
	p.leader = rollout.NewLeader(p.cfg.Rollout, p.state, term)
	p.leader.SetChangeStart(p.pending, p.pendingAt)
	p.health = newHealthRelay()
	if p.cfg.Rollout.Lease > 0 {
		p.leader.ShareMembers(p.views)
	}
}

// lead carries out what the leader's side wants; it tells whether there was anything.
func (p *Planner) lead() bool {
	if p.leader == nil {
		return false
	}
	ready := p.leader.TakeReady()
	for _, o := range ready.Messages {
		p.server.send(o.Link, &tier.Frame{Tier: &o.Message})
	}
	for i := range ready.Commands {
		command := &ready.Commands[i]
		command.Time = p.unix()
		text, err := tier.EncodeCommand(command)
		if err == nil {
			err = p.node.Propose(text)
		}
		if err != nil {
			slog.Warn("a command can't be written to the log", "error", err)
		}
	}
	if ready.Confirm {
		p.reads++
		p.node.ReadIndex(binary.BigEndian.AppendUint64(nil, p.reads))
	}
	return !ready.Empty()
}

// ready does what the consensus asks for, the disk first.
func (p *Planner) ready() {
	rd := p.node.Ready()
	if term := rollout.Term(p.node.BasicStatus().HardState.GetTerm()); p.leader != nil && term != p.leader.Term() {
		p.leader, p.health = nil, nil // it led, another did, and it leads again: what it knew of leases is void
		if p.node.BasicStatus().RaftState == raft.StateLeader {
			p.begin(term)
		}
	}
	if err := p.store.save(&rd); err != nil {
		// Nothing of this has been promised to anyone yet: who goes on without it would break a promise.
		p.failed = fmt.Errorf("the log can't be written, so this planner ends: %w", err)
		return
	}
	for _, m := range rd.Messages {
		p.server.toPeer(m)
	}
	if rd.SoftState != nil {
		p.turn(rd.SoftState)
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := p.restore(rd.Snapshot); err != nil {
			p.failed = err
			return
		}
	}
	for _, e := range rd.CommittedEntries {
		p.apply(e)
	}
	for _, r := range rd.ReadStates {
		if len(r.RequestCtx) == 8 && binary.BigEndian.Uint64(r.RequestCtx) == p.reads && p.leader != nil {
			p.leader.Confirmed(p.now())
		}
	}
	p.node.Advance(rd)
	if p.applied-p.snapped >= snapEvery {
		p.shorten()
	}
}

// turn takes news of who leads.
func (p *Planner) turn(s *raft.SoftState) {
	if p.leads = s.Lead; s.RaftState == raft.StateLeader {
		if p.leader == nil {
			term := p.node.BasicStatus().HardState.GetTerm()
			slog.Info("this planner leads", "term", term)
			p.begin(rollout.Term(term))
		}
		return
	}
	if p.leader != nil {
		slog.Info("this planner leads no more", "leader", s.Lead)
		p.leader, p.health = nil, nil
		p.server.dropProxies()
	}
}

func (p *Planner) apply(e *pb.Entry) {
	p.applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		var cc pb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
			p.failed = fmt.Errorf("the log holds what this version can't read (entry %d): %w", e.GetIndex(), err)
			return
		}
		p.changed(&cc)
		return
	}
	if len(e.GetData()) == 0 { // a new leader's own
		return
	}
	c, err := tier.DecodeCommand(e.GetData())
	if err != nil {
		p.failed = fmt.Errorf("the log holds what this version can't read (entry %d): %w", e.GetIndex(), err)
		return
	}
	force := p.state.InForce
	err = p.state.Apply(c)
	p.views.Applied(p.now(), p.state)
	if c.Kind == rollout.Leave && err == nil && p.health != nil {
		p.health.relay.RemoveProxy(subset.ProxyID(c.Member))
	}
	if x := p.state.Pending(); x != nil && x.Number != p.pending {
		p.pending, p.pendingAt = x.Number, p.now()
	}
	if p.state.InForce != force {
		slog.Info("policy in force", "number", p.state.InForce, "members", len(p.state.Members))
	}
	if c.Kind == rollout.Abort && err == nil {
		slog.Info("change given up", "number", c.Number, "reason", c.Reason)
	}
	if p.leader != nil {
		p.leader.Applied(p.now(), c, err)
		if why := p.leader.Err(); why != nil {
			slog.Error("this planner can't lead", "error", why)
			p.failed = why
		}
	}
	p.server.settle(c, err)
}

func (p *Planner) shorten() {
	text, err := tier.EncodeState(p.state)
	if err == nil {
		err = p.store.shorten(p.applied, p.conf, text, snapKeep)
	}
	if err != nil {
		p.failed = fmt.Errorf("the log can't be shortened, so this planner ends: %w", err)
		return
	}
	p.snapped = p.applied
}
