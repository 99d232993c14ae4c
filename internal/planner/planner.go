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
	tickInterval         = 20 * time.Millisecond            // of the clock
	heartbeatTicks       = 2                                // steps
	electionTicks        = 15                               // steps without a leader, and up to twice that, by chance
	aliveTimeout         = 2 * electionTicks * tickInterval // that a planner counts as alive behind a message: within it, a follower takes its leader for lost
	maxQueuedEvents      = 4096                             // that wait for the planner; who has more to say waits with it, in its own socket
	maxEventBatch        = 256                              // of them that are worked off before the planners' own words have another turn
	snapshotInterval     = 2000                             // entries
	entriesAfterSnapshot = 500
)

// Planner is one.
type Planner struct {
	config      Config
	store       *store
	node        *raft.RawNode
	conf        *pb.ConfState
	state       *rollout.State
	leader      *rollout.Leader // nil while another leads
	leaderID    uint64          // who, as far as known
	healthRelay *healthRelay    // nil while another leads
	startTime   time.Time

	history                     *rollout.MembershipHistory
	appliedIndex, snapshotIndex uint64
	readIndexCount              uint64 // confirmations asked for
	processID                   uint64 // drawn when this process began
	initialTerm                 uint64 // the disk's term and last entry then
	initialLastIndex            uint64
	pendingChange               rollout.Number // the last change that was undecided,
	pendingSince                time.Duration  // and when this planner first had it

	server     *server
	events     chan func() // what proxies and operators say
	peerEvents chan func() // what planners say to one another: behind thousands of proxies' words it would come too late, and another election begin
	done       chan struct{}
	err        error
	peers      map[uint64]*peer
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
	store, fresh, err := openStore(cfg.LogFile, fmt.Sprintf("planner %d", cfg.ID))
	if err != nil {
		return nil, err
	}
	p := &Planner{config: cfg, store: store, state: &rollout.State{}, startTime: time.Now(), events: make(chan func(), maxQueuedEvents),
		history:    rollout.NewMembershipHistory(cfg.Rollout),
		peerEvents: make(chan func(), maxQueuedEvents), done: make(chan struct{}), peers: map[uint64]*peer{}}
	if cfg.Join && !fresh && store.hasSnapshot() { // started again: it has joined already
		cfg.Join = false
	}
	if fresh && !cfg.Join { // all planners begin with the same snapshot of nothing
		empty, err := tier.EncodeState(p.state)
		if err == nil {
			one := uint64(1)
			err = store.save(&raft.Ready{Snapshot: &pb.Snapshot{Data: empty, Metadata: &pb.SnapshotMetadata{Index: &one, Term: &one,
				ConfState: &pb.ConfState{Voters: ids}}}, HardState: &pb.HardState{Term: &one, Commit: &one}})
		}
		if err != nil {
			store.close()
			return nil, err
		}
	}
	snap, err := store.memory.Snapshot()
	if err == nil && !raft.IsEmptySnap(snap) {
		err = p.restore(snap)
	}
	if err != nil {
		store.close()
		return nil, err
	}
	p.node, err = raft.NewRawNode(&raft.Config{ID: cfg.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: store.memory, Applied: p.appliedIndex,
		MaxSizePerMsg: tier.MaxFrame / 2, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 16 << 20, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, Logger: raftLog{}})
	if err != nil {
		store.close()
		return nil, err
	}
	p.processID = rand.Uint64() | 1 // never 0
	now := p.startRecord()
	p.initialTerm, p.initialLastIndex = now.Term, now.Last
	if p.server, err = newServer(p, cfg.Listen); err != nil {
		store.close()
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
	p.history.MarkIncomplete(p.now())
	p.history.Applied(p.now(), p.state)
	p.appliedIndex, p.snapshotIndex = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
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
	for _, id := range p.voters() {
		if id != p.config.ID {
			want[id] = cmp.Or(p.state.Planners[id], p.config.Peers[id])
		}
	}
	if len(p.conf.GetVoters()) == 0 { // the log has yet to come from the others
		for id, address := range p.config.Peers {
			want[id] = address
		}
		delete(want, p.config.ID)
	}
	p.server.connect(want)
}

// Address tells where it listens.
func (p *Planner) Address() string { return p.server.listener.Addr().String() }

// now is the planner's own clock, on which leases are counted: it is monotonic.
func (p *Planner) now() time.Duration { return labclock.Since(p.startTime) + time.Second }

func (p *Planner) unixMillis() int64 { return labclock.Wall().UnixMilli() }

// post hands what a proxy or an operator has said to the planner's goroutine. Where too much waits, it waits too, and so its link is read no
// further: a link that is closed would come again with more to say. false = the planner has ended.
func (p *Planner) post(f func()) bool {
	select {
	case p.events <- f:
		return true
	case <-p.done:
		return false
	}
}

// hurry hands over what another planner has said; false = too much waits, and it is dropped, as the consensus bears.
func (p *Planner) postFromPeer(f func()) bool {
	select {
	case p.peerEvents <- f:
		return true
	default:
		return false
	}
}

// Run runs it until the context ends or it can't go on.
func (p *Planner) Run(ctx context.Context) (err error) {
	defer func() { // the consensus ends a process whose log can't be what it promised: an older copy, say
		if recovered := recover(); recovered != nil {
			if reason, ok := recovered.(consensusPanic); ok {
				err = fmt.Errorf("the log lacks what this planner has acknowledged to the others: it was lost, or is an older copy. Put a new one in its place: havenproxy policy replace (%s)", string(reason))
				return
			}
			panic(recovered)
		}
	}()
	slog.Info("planner", "id", p.config.ID, "listen", p.Address(), "in_force", p.state.InForce, "members", len(p.state.Members))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer p.store.close()
	defer p.server.close()
	defer close(p.done)
	for p.err == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.node.Tick()
			if p.leader != nil {
				p.leader.Tick(p.now())
				p.relayHealth()
			}
		case event := <-p.peerEvents:
			event()
		case event := <-p.events:
			event()
			for n := min(len(p.events), maxEventBatch); n > 0; n-- { // what came together is written together
				(<-p.events)()
			}
		}
		for n := len(p.peerEvents); n > 0; n-- {
			(<-p.peerEvents)()
		}
		for p.err == nil && (p.runLeader() || p.node.HasReady()) {
			p.handleReady()
		}
	}
	return p.err
}

// begin begins to lead.
func (p *Planner) becomeLeader(term rollout.Term) {
	p.leader = rollout.NewLeader(p.config.Rollout, p.state, term)
	p.leader.SetChangeStart(p.pendingChange, p.pendingSince)
	p.healthRelay = newHealthRelay()
	if p.config.Rollout.Lease > 0 {
		p.leader.ShareMembers(p.history)
	}
}

// lead carries out what the leader's side wants; it tells whether there was anything.
func (p *Planner) runLeader() bool {
	if p.leader == nil {
		return false
	}
	ready := p.leader.TakeReady()
	for _, envelope := range ready.Messages {
		p.server.send(envelope.Link, &tier.Frame{Tier: &envelope.Message})
	}
	for i := range ready.Commands {
		command := &ready.Commands[i]
		command.Time = p.unixMillis()
		text, err := tier.EncodeCommand(command)
		if err == nil {
			err = p.node.Propose(text)
		}
		if err != nil {
			slog.Warn("a command can't be written to the log", "error", err)
		}
	}
	if ready.Confirm {
		p.readIndexCount++
		p.node.ReadIndex(binary.BigEndian.AppendUint64(nil, p.readIndexCount))
	}
	return !ready.Empty()
}

// ready does what the consensus asks for, the disk first.
func (p *Planner) handleReady() {
	ready := p.node.Ready()
	if term := rollout.Term(p.node.BasicStatus().HardState.GetTerm()); p.leader != nil && term != p.leader.Term() {
		p.leader, p.healthRelay = nil, nil // it led, another did, and it leads again: what it knew of leases is void
		if p.node.BasicStatus().RaftState == raft.StateLeader {
			p.becomeLeader(term)
		}
	}
	if err := p.store.save(&ready); err != nil {
		// Nothing of this has been promised to anyone yet: who goes on without it would break a promise.
		p.err = fmt.Errorf("the log can't be written, so this planner ends: %w", err)
		return
	}
	for _, m := range ready.Messages {
		p.server.sendToPeer(m)
	}
	if ready.SoftState != nil {
		p.handleSoftState(ready.SoftState)
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := p.restore(ready.Snapshot); err != nil {
			p.err = err
			return
		}
	}
	for _, entry := range ready.CommittedEntries {
		p.apply(entry)
	}
	for _, readState := range ready.ReadStates {
		if len(readState.RequestCtx) == 8 && binary.BigEndian.Uint64(readState.RequestCtx) == p.readIndexCount && p.leader != nil {
			p.leader.Confirmed(p.now())
		}
	}
	p.node.Advance(ready)
	if p.appliedIndex-p.snapshotIndex >= snapshotInterval {
		p.compactLog()
	}
}

// turn takes news of who leads.
func (p *Planner) handleSoftState(state *raft.SoftState) {
	if p.leaderID = state.Lead; state.RaftState == raft.StateLeader {
		if p.leader == nil {
			term := p.node.BasicStatus().HardState.GetTerm()
			slog.Info("this planner leads", "term", term)
			p.becomeLeader(rollout.Term(term))
		}
		return
	}
	if p.leader != nil {
		slog.Info("this planner leads no more", "leader", state.Lead)
		p.leader, p.healthRelay = nil, nil
		p.server.dropProxies()
	}
}

func (p *Planner) apply(entry *pb.Entry) {
	p.appliedIndex = entry.GetIndex()
	switch entry.GetType() {
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		var confChange pb.ConfChangeV2
		if err := proto.Unmarshal(entry.GetData(), &confChange); err != nil {
			p.err = fmt.Errorf("the log holds what this version can't read (entry %d): %w", entry.GetIndex(), err)
			return
		}
		p.applyConfChange(&confChange)
		return
	}
	if len(entry.GetData()) == 0 { // a new leader's own
		return
	}
	command, err := tier.DecodeCommand(entry.GetData())
	if err != nil {
		p.err = fmt.Errorf("the log holds what this version can't read (entry %d): %w", entry.GetIndex(), err)
		return
	}
	before := p.state.InForce
	err = p.state.Apply(command)
	p.history.Applied(p.now(), p.state)
	if command.Kind == rollout.Leave && err == nil && p.healthRelay != nil {
		p.healthRelay.relay.RemoveProxy(subset.ProxyID(command.Member))
	}
	if change := p.state.Pending(); change != nil && change.Number != p.pendingChange {
		p.pendingChange, p.pendingSince = change.Number, p.now()
	}
	if p.state.InForce != before {
		slog.Info("policy in force", "number", p.state.InForce, "members", len(p.state.Members))
	}
	if command.Kind == rollout.Abort && err == nil {
		slog.Info("change given up", "number", command.Number, "reason", command.Reason)
	}
	if p.leader != nil {
		p.leader.Applied(p.now(), command, err)
		if why := p.leader.Err(); why != nil {
			slog.Error("this planner can't lead", "error", why)
			p.err = why
		}
	}
	p.server.answerProposals(command, err)
}

func (p *Planner) compactLog() {
	text, err := tier.EncodeState(p.state)
	if err == nil {
		err = p.store.compact(p.appliedIndex, p.conf, text, entriesAfterSnapshot)
	}
	if err != nil {
		p.err = fmt.Errorf("the log can't be shortened, so this planner ends: %w", err)
		return
	}
	p.snapshotIndex = p.appliedIndex
}
