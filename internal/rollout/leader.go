package rollout

import (
	"fmt"
	"maps"
	"time"
)

// Leader is the state that the leading planner keeps besides the log. It is lost with the leadership, and the next leader rebuilds it from
// what members send. Its methods must be called with the State as of the last applied command, and are not safe for concurrent use. Times
// are readings of one monotonic clock, greater than 0.
type Leader struct {
	config    Config
	state     *State
	term      Term
	termBegan time.Duration // when the first command of this term was applied; 0 = not yet
	err       error         // why this planner can't lead

	members map[Member]*memberState
	joining map[Link]Message   // the Hello of each connection that is no member's yet
	history *MembershipHistory // nil = members are not told of one another

	change   pendingChange
	round    Round // the latest
	open     bool  // round has not ended
	opened   time.Duration
	released time.Duration // when the latest round was released without a commit; 0 = none was, for this change

	renewals   []renewal // wait for the next confirmation
	confirming []renewal // wait for the confirmation that is under way
	inFlight   map[submission]time.Duration

	ready Ready

	membersVisited uint64 // by Tick, so that a test can show that its work grows linearly
	incomplete     int    // members that the change waited for when Tick last counted
}

// pendingChange is the change that the leader drives to its outcome.
type pendingChange struct {
	number      Number // 0 = none
	began       time.Duration
	abortReason string // not empty = it is to be aborted

	// A change that was in this planner's log before it led, and since when: its timeout doesn't restart with each leader.
	knownNumber Number
	knownSince  time.Duration
}

// submission identifies a command that is on its way to the log, so that it isn't submitted twice.
type submission struct {
	kind    CommandKind
	name    string // Join
	member  Member // Leave
	round   Round  // Commit
	version uint64 // Commit
}

// Ready is what the caller has to carry out.
type Ready struct {
	Messages []Envelope
	Commands []Command // to be proposed to the log
	// Confirm asks for proof that this planner still leads, by a round of heartbeats among the planners that begins now. Call Confirmed then.
	Confirm bool
}

// Empty reports whether there is nothing to carry out.
func (r Ready) Empty() bool { return len(r.Messages) == 0 && len(r.Commands) == 0 && !r.Confirm }

// NewLeader begins a term. The leader answers nobody until its first command has been applied, which ends all rounds of earlier terms.
func NewLeader(config Config, state *State, term Term) *Leader {
	l := &Leader{
		config:   config.WithDefaults(),
		state:    state,
		term:     term,
		members:  map[Member]*memberState{},
		joining:  map[Link]Message{},
		round:    Round{Term: term},
		inFlight: map[submission]time.Duration{},
	}
	l.release()
	return l
}

// TakeReady returns what is to be carried out and forgets it.
func (l *Leader) TakeReady() Ready {
	ready := l.ready
	l.ready = Ready{}
	return ready
}

// Term returns the term of this leader.
func (l *Leader) Term() Term { return l.term }

// Leading reports whether the first command of the term has been applied.
func (l *Leader) Leading() bool { return l.termBegan > 0 }

// Err returns why this planner can't lead; nil if it can.
func (l *Leader) Err() error { return l.err }

// ShareMembers makes the leader tell members that have an address of one another. It has no effect without leases, which bound how long a
// list of members may be used.
func (l *Leader) ShareMembers(history *MembershipHistory) { l.history = history }

// SetChangeStart tells since when, by this planner's clock, its log has held a change, so that ChangeTimeout doesn't restart with a new leader.
func (l *Leader) SetChangeStart(number Number, at time.Duration) {
	l.change.knownNumber, l.change.knownSince = number, at
}

// Propose submits a Propose command of the operator.
func (l *Leader) Propose(c Command) { l.ready.Commands = append(l.ready.Commands, c) }

// Abort aborts a pending change, unless it is committed before the Abort command is applied.
func (l *Leader) Abort(now time.Duration, number Number, reason string) {
	if l.change.number == number && l.state.Pending() != nil {
		l.change.abortReason = reason
		l.Tick(now)
	}
}

// Applied must be called for each command after it has been applied to the state, with the error that State.Apply returned.
func (l *Leader) Applied(now time.Duration, c Command, err error) {
	switch c.Kind {
	case Release:
		l.appliedRelease(now, c, err)
		l.broadcastStatus()
	case Join:
		l.appliedJoin(now, c)
	case Leave:
		delete(l.members, c.Member)
	case Propose, Abort, Commit:
		l.broadcastStatus()
	}
	l.Tick(now)
}

// appliedRelease begins the term with its first command.
func (l *Leader) appliedRelease(now time.Duration, c Command, err error) {
	if c.Round.Term != l.term {
		return
	}
	if err != nil {
		l.err = err
		return
	}
	if c.Round.Count != 0 || l.Leading() {
		return
	}
	l.termBegan = now
	for _, entry := range l.state.Members {
		member := &memberState{}
		l.members[entry.Member] = member
		// A lease of an earlier leader was requested before this term began: it ends within Lease from now.
		if !l.config.DisabledGuards.Has(NoNewTermLeases) {
			l.grantLease(now, member, l.config.Lease)
		}
	}
}

// appliedJoin welcomes a new member.
func (l *Leader) appliedJoin(now time.Duration, c Command) {
	delete(l.inFlight, submission{kind: Join, name: c.Name})
	for _, entry := range l.state.Members {
		if entry.Name == c.Name && entry.Nonce == c.Nonce && l.members[entry.Member] == nil && l.Leading() {
			member := &memberState{lastHeard: now}
			l.members[entry.Member] = member
			l.grantLease(now, member, l.config.Lease)
		}
	}
	for link, hello := range l.joining {
		if hello.Name == c.Name && hello.Nonce == c.Nonce {
			l.receiveHello(now, link, hello)
		}
	}
}

// LinkDown tells that a connection has ended.
func (l *Leader) LinkDown(link Link) {
	delete(l.joining, link)
	for _, member := range l.members {
		if member.link == link {
			member.link = 0
		}
	}
}

// Receive handles a message of a proxy.
func (l *Leader) Receive(now time.Duration, link Link, m Message) {
	if !l.Leading() {
		return
	}
	if m.Kind == Hello {
		l.receiveHello(now, link, m)
		return
	}
	member := l.members[m.Member]
	if member == nil || l.state.Entry(m.Member) == nil {
		l.send(link, Message{Kind: NotMember, Member: m.Member})
		return
	}
	member.lastHeard, member.link = now, link
	if m.Kind == Renew {
		// No Tick: a change doesn't wait for renewals, and visiting all members for each would be most of the work in a tier of thousands.
		l.receiveRenewal(link, member, m)
		return
	}
	awaited := l.awaits(member)
	l.receiveAnswer(now, link, member, m)
	if awaited && !l.awaits(member) {
		l.incomplete--
	}
	if l.incomplete > 0 && (m.Kind == Agree || m.Kind == Held) {
		return // others are missing: visiting all members for each answer took 0.7 s of a change with 3,000 of them
	}
	l.Tick(now)
}

// receiveAnswer handles what a member answers to a change, and its leaving.
func (l *Leader) receiveAnswer(now time.Duration, link Link, member *memberState, m Message) {
	current := m.Number == l.change.number && l.state.Pending() != nil
	switch m.Kind {
	case Agree:
		if current {
			member.agreed, member.awaitedSince = true, 0
		}
	case Refuse:
		if current {
			member.awaitedSince = 0
			l.change.abortReason = fmt.Sprintf("%s refuses: %s", l.memberName(m.Member), m.Reason)
		}
	case Held:
		if !current || !l.state.ReleasedRound.Before(m.Round) { // that round has ended
			l.send(link, l.status(m.Member))
		}
		member.awaitedSince = 0
		if m.Round == l.round && l.open {
			member.heldRound = m.Round
		}
	case Leaving:
		member.leaving = true
		l.submitLeave(now, m.Member)
	}
}

func (l *Leader) send(to Link, m Message) {
	if to != 0 {
		l.ready.Messages = append(l.ready.Messages, Envelope{Link: to, Message: m})
	}
}

// status returns what the log says about the policy in force and the rounds that have ended.
func (l *Leader) status(to Member) Message {
	return Message{Kind: Status, Member: to, Number: l.state.InForce, Round: l.state.ReleasedRound}
}

func (l *Leader) broadcastStatus() {
	for _, entry := range l.state.Members {
		if member := l.members[entry.Member]; member != nil {
			l.send(member.link, l.status(entry.Member))
		}
	}
}

// submit proposes a command, unless the same one was submitted within AnswerTimeout.
func (l *Leader) submit(now time.Duration, key submission, c Command) {
	maps.DeleteFunc(l.inFlight, func(_ submission, at time.Duration) bool { return now-at >= l.config.AnswerTimeout })
	if _, ok := l.inFlight[key]; ok {
		return
	}
	l.inFlight[key] = now
	l.ready.Commands = append(l.ready.Commands, c)
}

func (l *Leader) submitLeave(now time.Duration, member Member) {
	l.submit(now, submission{kind: Leave, member: member}, Command{Kind: Leave, Member: member, Round: Round{Term: l.term}})
}

// release submits the end of the current round.
func (l *Leader) release() {
	l.ready.Commands = append(l.ready.Commands, Command{Kind: Release, Round: l.round, Lease: l.config.Lease})
}
