// Package planner implements the planner process. The planners replicate the tier's policies, changes and members through a log. Consensus
// is etcd's raft, driven by one goroutine that handles its Ready; the log is stored in a bbolt file. Package rollout decides when a change
// comes into force; this package passes it the proxies' messages, the committed commands and the time.
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
	tickInterval     = 20 * time.Millisecond            // of raft's clock
	heartbeatTicks   = 2                                // ticks between heartbeats of the leader
	electionTicks    = 15                               // ticks without a leader before an election; randomised up to twice that
	aliveTimeout     = 2 * electionTicks * tickInterval // a planner counts as alive for this long after a message; a follower gives up a silent leader within it
	maxQueuedEvents  = 4096                             // events in the queue; beyond it, senders wait in their own sockets
	maxEventBatch    = 256                              // events that are handled before messages of other planners are handled again
	snapshotInterval = 2000                             // log entries
	retainedEntries  = 500                              // log entries that are kept before a snapshot, for followers that lag
)

// Planner is one planner of a tier.
type Planner struct {
	config      Config
	store       *store
	node        *raft.RawNode
	confState   *pb.ConfState
	state       *rollout.State
	leader      *rollout.Leader // nil while another leads
	leaderID    uint64          // 0 = unknown
	healthRelay *healthRelay    // nil while another leads
	startTime   time.Time

	history                     *rollout.MembershipHistory
	appliedIndex, snapshotIndex uint64
	readIndexCount              uint64 // number of requested confirmations
	processID                   uint64 // random, chosen at the start of this process
	initialTerm                 uint64 // the term and last index on disk at the start of this process
	initialLastIndex            uint64
	pendingChange               rollout.Number // the last change that was undecided
	pendingSince                time.Duration  // when this planner applied that change

	server     *server
	events     chan func() // messages of proxies and operators
	peerEvents chan func() // messages of other planners: queued behind thousands of proxies' messages they would be so late that elections begin
	done       chan struct{}
	err        error
	peers      map[uint64]*peer
}

// Open opens the log, begins to listen, and returns a planner. Run must be called to run it.
func Open(cfg Config) (*Planner, error) {
	cfg.Rollout = cfg.Rollout.WithDefaults()
	if cfg.Peers[cfg.ID] == "" {
		return nil, fmt.Errorf("planner %d is missing from the list of planners", cfg.ID)
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
	if cfg.Join && !fresh && store.hasSnapshot() { // a restart of a planner that has joined already
		cfg.Join = false
	}
	if fresh && !cfg.Join { // all planners begin with the same snapshot of an empty state
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
	start := p.startRecord()
	p.initialTerm, p.initialLastIndex = start.Term, start.LastIndex
	if p.server, err = newServer(p, cfg.Listen); err != nil {
		store.close()
		return nil, err
	}
	p.connect()
	return p, nil
}

// The errors with which Run returns if this planner must not take part any more.
var (
	// ErrReplaced is returned when this planner has been replaced by another.
	ErrReplaced = errors.New("this planner has been replaced: stop it for good")
	// ErrRejected is returned when another planner rejects this one's messages.
	ErrRejected = errors.New("the other planners reject this one's messages")
)

// restore replaces the state by that of a snapshot.
func (p *Planner) restore(snap *pb.Snapshot) (err error) {
	if p.state, err = tier.DecodeState(snap.GetData()); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	p.history.MarkIncomplete(p.now())
	p.history.Applied(p.now(), p.state)
	p.appliedIndex, p.snapshotIndex = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	p.confState = snap.GetMetadata().GetConfState()
	p.connect()
	return nil
}

// connect opens links to the planners that the log names and closes all others.
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
	if len(p.confState.GetVoters()) == 0 { // this planner has not received the log from the others yet
		for id, address := range p.config.Peers {
			want[id] = address
		}
		delete(want, p.config.ID)
	}
	p.server.connect(want)
}

// Address returns the address that the planner listens on.
func (p *Planner) Address() string { return p.server.listener.Addr().String() }

// now returns the time of the planner's monotonic clock, on which leases are measured. It is greater than 0.
func (p *Planner) now() time.Duration { return labclock.Since(p.startTime) + time.Second }

func (p *Planner) unixMillis() int64 { return labclock.Wall().UnixMilli() }

// post queues the handling of a message of a proxy or operator for the planner's goroutine; false = the planner has ended. If the queue is
// full it blocks, so that the link is not read meanwhile. Closing the link instead would make the sender reconnect and send even more.
func (p *Planner) post(f func()) bool {
	select {
	case p.events <- f:
		return true
	case <-p.done:
		return false
	}
}

// postFromPeer queues the handling of a message of another planner; false = the queue is full and the message is dropped, which raft
// tolerates.
func (p *Planner) postFromPeer(f func()) bool {
	select {
	case p.peerEvents <- f:
		return true
	default:
		return false
	}
}

// Run runs the planner until the context ends or an error occurs that it can't recover from. It returns nil in the first case.
func (p *Planner) Run(ctx context.Context) (err error) {
	defer func() { // raft panics if the log lacks entries that were acknowledged, for example if it is an older copy
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
			for n := min(len(p.events), maxEventBatch); n > 0; n-- { // a batch of events is written in one transaction
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

// becomeLeader begins a term as the leader.
func (p *Planner) becomeLeader(term rollout.Term) {
	p.leader = rollout.NewLeader(p.config.Rollout, p.state, term)
	p.leader.SetChangeStart(p.pendingChange, p.pendingSince)
	p.healthRelay = newHealthRelay()
	if p.config.Rollout.Lease > 0 {
		p.leader.ShareMembers(p.history)
	}
}

// runLeader carries out what the leader requests. It reports whether there was anything to do.
func (p *Planner) runLeader() bool {
	if p.leader == nil {
		return false
	}
	ready := p.leader.TakeReady()
	for _, envelope := range ready.Messages {
		p.server.send(envelope.Link, &tier.Frame{Rollout: &envelope.Message})
	}
	for i := range ready.Commands {
		command := &ready.Commands[i]
		command.Time = p.unixMillis()
		data, err := tier.EncodeCommand(command)
		if err == nil {
			err = p.node.Propose(data)
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

// handleReady carries out what raft requests. Everything is written to disk before messages are sent.
func (p *Planner) handleReady() {
	ready := p.node.Ready()
	if term := rollout.Term(p.node.BasicStatus().HardState.GetTerm()); p.leader != nil && term != p.leader.Term() {
		p.leader, p.healthRelay = nil, nil // another planner has led in between: what this one knows of leases is obsolete
		if p.node.BasicStatus().RaftState == raft.StateLeader {
			p.becomeLeader(term)
		}
	}
	if err := p.store.save(&ready); err != nil {
		// None of this has been acknowledged to other planners yet. A planner that went on without it would break its promises.
		p.err = fmt.Errorf("the log can't be written, so this planner ends: %w", err)
		return
	}
	for _, message := range ready.Messages {
		p.server.sendToPeer(message)
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

// handleSoftState handles a change of the leader.
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

// apply applies a committed entry of the log.
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
	if len(entry.GetData()) == 0 { // the empty entry with which raft begins a term
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

// compactLog takes a snapshot of the state and deletes the log entries that it makes obsolete.
func (p *Planner) compactLog() {
	state, err := tier.EncodeState(p.state)
	if err == nil {
		err = p.store.compact(p.appliedIndex, p.confState, state, retainedEntries)
	}
	if err != nil {
		p.err = fmt.Errorf("the log can't be compacted, so this planner ends: %w", err)
		return
	}
	p.snapshotIndex = p.appliedIndex
}
