package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Link names a connection to a proxy.
type Link uint64

// Order is a message for a proxy.
type Envelope struct {
	Link Link
	Message
}

// Leader is what the leading planner has beside the log, and loses with its leadership. Its methods are called with the state as far as the
// log has been applied.
type Leader struct {
	config    Config
	state     *State
	term      Term
	termBegan time.Duration // when its term's first command was applied; 0 = it has not been

	members map[Member]*memberState
	joining map[Link]Message // who has said hello and is no member yet

	pending          Number
	changeBegan      time.Duration // the change in hand
	knownChange      Number        // a change that this planner had in its log before it led, since
	knownChangeBegan time.Duration
	round            Round // the last
	roundOpen        bool  // it is not over
	roundOpened      time.Duration
	roundClosed      time.Duration
	err              error              // why it can't lead
	abortReason      string             // the change is to be given up, for this reason
	history          *MembershipHistory // nil = nobody is told of members
	membersVisited   uint64             // at members, by Tick: how its work grows with them
	incomplete       int                // members whose word the change lacks, since Tick last counted them

	renewals   []renewal
	confirming []renewal
	inFlight   map[string]time.Duration // commands that are on their way to the log

	messages []Envelope
	commands []Command
	confirm  bool
}

// place is what the leader knows of a member.
type memberState struct {
	link         Link
	leaseEnd     time.Duration // its lease, as granted at the latest
	expiry       time.Duration // when it takes nothing under it any more, whatever its clock's rate
	agreed       bool
	heldRound    Round
	awaitedSince time.Duration // since when it owes a word; 0 = it doesn't
	lastRequest  time.Duration // when it was last asked for it
	lastHeard    time.Duration
	policyNumber Number
	leaving      bool // it said so itself, its lease has ended, or the operator says so: it gets no other
}

type renewal struct {
	member         Member
	seq            uint64
	link           Link
	membersVersion uint64 // of the members, as who asks knows them
}

// Lead begins a term. Until its first command has come through the log, which ends all rounds of earlier terms, it does nothing else.
func Lead(cfg Config, state *State, term Term) *Leader {
	l := &Leader{config: cfg.WithDefaults(), state: state, term: term, members: map[Member]*memberState{}, joining: map[Link]Message{},
		round: Round{Term: term}, inFlight: map[string]time.Duration{}}
	l.commands = append(l.commands, Command{Kind: Release, Round: l.round, Lease: l.config.Lease})
	return l
}

// Ready gives what is to be done: messages to be sent, commands for the log, and whether it is to be confirmed, by a round among the
// planners that begins now, that this one still leads.
func (l *Leader) Ready() (out []Envelope, commit []Command, confirm bool) {
	out, commit, confirm = l.messages, l.commands, l.confirm
	l.messages, l.commands, l.confirm = nil, nil, false
	return out, commit, confirm
}

// Term gives the term that it leads in.
func (l *Leader) Term() Term { return l.term }

// Leads tells whether the term has begun in the log.
func (l *Leader) Leading() bool { return l.termBegan > 0 }

func (l *Leader) send(to Link, m Message) {
	if to != 0 {
		l.messages = append(l.messages, Envelope{to, m})
	}
}

// try puts a command on its way, unless it is already.
func (l *Leader) submit(now time.Duration, key string, c Command) {
	maps.DeleteFunc(l.inFlight, func(_ string, at time.Duration) bool { return now-at >= l.config.AnswerTimeout })
	if at, ok := l.inFlight[key]; ok && now-at < l.config.AnswerTimeout {
		return
	}
	l.inFlight[key] = now
	l.commands = append(l.commands, c)
}

// Applied takes a command that has come through the log and has been applied to the state; err is what that gave.
func (l *Leader) Applied(now time.Duration, c Command, err error) {
	switch c.Kind {
	case Release:
		if err != nil && c.Round.Term == l.term {
			l.err = err
		}
		if err == nil && c.Round.Term == l.term && c.Round.Count == 0 && l.termBegan == 0 {
			// Whoever had a lease of an earlier leader has asked for it before this term began: it ends within Lease from now.
			l.termBegan = now
			for _, s := range l.state.Members {
				p := &memberState{}
				if l.members[s.Member] = p; !l.config.DisabledGuards.Has(NoNewTermLeases) {
					l.grantLease(now, p, l.config.Lease)
				}
			}
		}
		l.broadcastStatus()
	case Join:
		delete(l.inFlight, "join "+c.Name)
		for i := range l.state.Members {
			if s := &l.state.Members[i]; s.Name == c.Name && s.Nonce == c.Nonce && l.members[s.Member] == nil && l.termBegan > 0 {
				l.members[s.Member] = &memberState{lastHeard: now}
				l.grantLease(now, l.members[s.Member], l.config.Lease)
			}
		}
		for link, m := range l.joining {
			if m.Name == c.Name && m.Nonce == c.Nonce {
				l.receiveHello(now, link, m)
			}
		}
	case Leave:
		delete(l.members, c.Member)
	case Propose, Abort, Commit:
		l.broadcastStatus()
	}
	l.Tick(now)
}

// Propose asks for a change.
func (l *Leader) Propose(c Command) { l.commands = append(l.commands, c) }

// Abort gives the change in hand up, unless it is in force by the time that this comes through the log.
func (l *Leader) Abort(now time.Duration, n Number, reason string) {
	if l.pending == n && l.state.Pending() != nil {
		l.abortReason = reason
		l.Tick(now)
	}
}

// Confirmed tells that this planner led at some time behind Ready's confirm.
func (l *Leader) Confirmed(now time.Duration) {
	for _, a := range l.confirming {
		if s := l.members[a.member]; s != nil && l.state.Member(a.member) != nil && l.mayRenew(now, s) {
			length := l.leaseDuration(now)
			l.grantLease(now, s, length)
			granted := Message{Kind: Granted, Member: a.member, Seq: a.seq, Lease: length}
			if l.history != nil && l.state.Member(a.member).Address != "" { // the log was looked at behind the ask: so far the list is sure to hold
				past, whole := l.history.Past(now)
				if whole { // the fence against keepers that nobody names any more
					granted.MembersVersion = l.state.MembersVersion
				}
				if whole && a.membersVersion != granted.MembersVersion {
					l.send(a.link, Message{Kind: Members, Member: a.member, MembersVersion: l.state.MembersVersion, Members: l.state.Members, PastMembers: past})
				}
			}
			l.send(a.link, granted)
		}
	}
	l.confirming = nil
	l.confirmRenewals()
}

// length is that of a lease that is granted now.
func (l *Leader) leaseDuration(now time.Duration) time.Duration {
	if l.pending != 0 && l.state.Pending() != nil && now-l.changeBegan >= l.config.Lease/2 {
		return l.config.ShortLease
	}
	return l.config.Lease
}

// grant notes a lease. A shorter one doesn't end a longer one that was granted before: its proxy may have heard of that alone.
func (l *Leader) grantLease(now time.Duration, s *memberState, length time.Duration) {
	if l.config.DisabledGuards.Has(NoLeaseMaximum) {
		s.leaseEnd, s.expiry = 0, 0
	}
	s.leaseEnd = max(s.leaseEnd, now+length)
	if l.config.Lease > 0 {
		s.expiry = max(s.expiry, now+length+time.Duration(float64(l.config.ClockMargin)*float64(length)/float64(l.config.Lease)))
	}
}

// Tells lets members that told an address know of one another, where there are leases: without, nothing says until when a list holds.
func (l *Leader) ShareMembers(v *MembershipHistory) { l.history = v }

// Since says when this planner first had a change in its log, by its own clock: the bound on a change's time doesn't begin anew with each leader.
func (l *Leader) SetChangeBegan(n Number, at time.Duration) {
	l.knownChange, l.knownChangeBegan = n, at
}

// wants notes an ask; of a member's only the last counts.
func (l *Leader) queueRenewal(a renewal) {
	for _, b := range l.confirming {
		if b.member == a.member && b.seq >= a.seq {
			return
		}
	}
	i := slices.IndexFunc(l.renewals, func(b renewal) bool { return b.member == a.member })
	switch {
	case i < 0:
		l.renewals = append(l.renewals, a)
	case l.renewals[i].seq < a.seq:
		l.renewals[i] = a
	}
	l.confirmRenewals()
}

func (l *Leader) confirmRenewals() {
	if len(l.confirming) == 0 && len(l.renewals) > 0 {
		l.confirming, l.renewals, l.confirm = l.renewals, nil, true
	}
}

// prolongs tells whether a member's lease may be prolonged: not that of one that owes a word for too long, for a change would wait for it
// without an end, nor that of one that is to go.
func (l *Leader) mayRenew(now time.Duration, s *memberState) bool {
	return (s.awaitedSince == 0 || now-s.awaitedSince < l.config.AnswerTimeout) && (!s.leaving || l.config.DisabledGuards.Has(NoLeaveCheck))
}

// Down tells that a link has ended.
func (l *Leader) LinkDown(link Link) {
	delete(l.joining, link)
	for _, s := range l.members {
		if s.link == link {
			s.link = 0
		}
	}
}

// Heard takes a proxy's message.
func (l *Leader) Receive(now time.Duration, link Link, m Message) {
	if l.termBegan == 0 {
		return
	}
	if m.Kind == Hello {
		l.receiveHello(now, link, m)
		return
	}
	s := l.members[m.Member]
	if s == nil || l.state.Member(m.Member) == nil {
		l.send(link, Message{Kind: NotMember, Member: m.Member})
		return
	}
	s.lastHeard, s.link = now, link
	lacked := l.awaits(s)
	switch m.Kind {
	case Renew:
		if s.policyNumber = m.Number; s.policyNumber < l.state.InForce || l.config.Lease == 0 { // a sign of life where there are no leases to grant
			l.send(link, l.status(m.Member))
		}
		if l.config.Lease > 0 {
			l.queueRenewal(renewal{m.Member, m.Seq, link, m.MembersVersion})
		}
		return // nothing that a change waits for: with thousands of members a look at all of them for each ask would be most of the work
	case Agree:
		if m.Number == l.pending && l.state.Pending() != nil {
			s.agreed, s.awaitedSince = true, 0
		}
	case Refuse:
		if m.Number == l.pending && l.state.Pending() != nil {
			s.awaitedSince = 0
			l.abortReason = fmt.Sprintf("%s refuses: %s", l.memberName(m.Member), m.Reason)
		}
	case Held:
		if m.Number != l.pending || l.state.Pending() == nil || !l.state.ReleasedRound.Before(m.Round) {
			l.send(link, l.status(m.Member)) // that round is over
		}
		if s.awaitedSince = 0; m.Round == l.round && l.roundOpen {
			s.heldRound = m.Round
		}
	case Leaving:
		s.leaving = true
		l.submit(now, fmt.Sprint("leave ", m.Member), Command{Kind: Leave, Member: m.Member, Round: Round{Term: l.term}})
	}
	if lacked && !l.awaits(s) {
		l.incomplete--
	}
	if l.incomplete > 0 && (m.Kind == Agree || m.Kind == Held) { // a look at all members for each word of one took 0.7 s of a change with 3,000 of them
		return
	}
	l.Tick(now)
}

// lacks tells whether the change waits for a word of a member.
func (l *Leader) awaits(s *memberState) bool {
	return !s.agreed || s.awaitedSince > 0 || l.roundOpen && s.heldRound != l.round
}

// Failed tells why this planner can't lead; nil = it can.
func (l *Leader) Err() error { return l.err }

// hello takes in who has come.
func (l *Leader) receiveHello(now time.Duration, link Link, m Message) {
	if m.Lease != l.config.Lease { // the fence against a proxy that would serve for longer than it is waited for
		l.send(link, Message{Kind: JoinDelayed, Nonce: m.Nonce, Reason: fmt.Sprintf("%s goes by a lease of %v, the planners by %v", m.Name, m.Lease, l.config.Lease)})
		return
	}
	if seat := l.state.Member(m.Member); m.Member != 0 && seat != nil && seat.Name == m.Name && l.members[m.Member] != nil {
		delete(l.joining, link)
		s := l.members[m.Member]
		s.link, s.lastHeard, s.policyNumber = link, now, m.Number
		l.send(link, l.status(m.Member))
		l.request(now, m.Member, s, true)
		return
	}
	if m.Member != 0 {
		l.send(link, Message{Kind: NotMember, Member: m.Member})
		return
	}
	for i := range l.state.Members {
		seat := &l.state.Members[i]
		if seat.Name != m.Name {
			continue
		}
		s := l.members[seat.Member]
		if seat.Nonce == m.Nonce && s != nil {
			delete(l.joining, link)
			s.link, s.lastHeard, s.policyNumber = link, now, l.state.InForce
			l.send(link, Message{Kind: Welcome, Member: seat.Member, Nonce: m.Nonce, Number: l.state.InForce, Policy: l.policyText(l.state.InForce)})
			l.request(now, seat.Member, s, true)
			return
		}
		l.joining[link] = m
		why := fmt.Sprintf("%s is a member already, as of an earlier start or by a second process of that name", m.Name)
		left := time.Duration(0)
		if l.config.Lease > 0 && s != nil { // the reason stays the same while it is one: it is told once, not with each ask
			why, left = why+"; it goes once its lease has ended", max(s.expiry-now, 0)
		} else {
			why += "; `havenproxy policy expel " + m.Name + "` once that one is sure to have ended"
		}
		l.send(link, Message{Kind: JoinDelayed, Nonce: m.Nonce, Reason: why, Lease: left})
		return
	}
	l.joining[link] = m
	l.submit(now, "join "+m.Name, Command{Kind: Join, Name: m.Name, Nonce: m.Nonce, Address: m.Address})
}

// Expel lets the operator say that a member has ended for good. With leases it goes when its own has ended, so that nothing hangs on whether
// that is true; without, it goes at once, and if it has not ended it goes on under what it has.
func (l *Leader) Expel(now time.Duration, name string) error {
	for i := range l.state.Members {
		if s := &l.state.Members[i]; s.Name == name {
			if p := l.members[s.Member]; l.config.Lease > 0 && p != nil && !l.config.DisabledGuards.Has(NoLeaveCheck) {
				p.leaving = true // no other lease is granted; expire does the rest
				return nil
			}
			l.submit(now, fmt.Sprint("leave ", s.Member), Command{Kind: Leave, Member: s.Member, Round: Round{Term: l.term}})
			return nil
		}
	}
	return fmt.Errorf("%s is no member", name)
}

func (l *Leader) memberName(m Member) string {
	if s := l.state.Member(m); s != nil {
		return s.Name
	}
	return "?"
}

func (l *Leader) policyText(n Number) []byte {
	if c := l.state.Change(n); c != nil {
		return c.Policy
	}
	return nil
}

func (l *Leader) status(m Member) Message {
	return Message{Kind: Status, Member: m, Number: l.state.InForce, Round: l.state.ReleasedRound}
}

// tell gives all members the facts.
func (l *Leader) broadcastStatus() {
	for _, s := range l.state.Members {
		if p := l.members[s.Member]; p != nil {
			l.send(p.link, l.status(s.Member))
		}
	}
}

// again is how often a word that is owed is asked for anew.
const requestsPerAnswerTimeout = 3 // times in Answer

// remind asks a member for the word that it owes.
func (l *Leader) request(now time.Duration, m Member, s *memberState, anew bool) {
	c := l.state.Pending()
	if c == nil || c.Number != l.pending {
		return
	}
	if !anew && s.lastRequest > 0 && now-s.lastRequest < l.config.AnswerTimeout/requestsPerAnswerTimeout {
		return
	}
	switch {
	case l.roundOpen && s.heldRound != l.round && s.agreed:
		l.send(s.link, Message{Kind: Hold, Member: m, Number: c.Number, Round: l.round})
	case !s.agreed:
		l.send(s.link, Message{Kind: Offer, Member: m, Number: c.Number, Policy: c.Policy})
	default:
		return
	}
	s.lastRequest = now
	if s.awaitedSince == 0 {
		s.awaitedSince = now
	}
}

// Tick does what is due by the clock. It is called a few times in each of Answer and Round.
func (l *Leader) Tick(now time.Duration) {
	if l.termBegan == 0 {
		return
	}
	c := l.state.Pending()
	switch {
	case c == nil:
		l.pending, l.roundOpen, l.abortReason = 0, false, ""
		for _, s := range l.members {
			s.awaitedSince, s.lastRequest, s.agreed = 0, 0, false
		}
	case c.Number != l.pending:
		l.pending, l.changeBegan, l.roundOpen, l.roundClosed, l.abortReason = c.Number, now, false, 0, ""
		if c.Number == l.knownChange {
			l.changeBegan = l.knownChangeBegan
		}
		for _, s := range l.members {
			s.agreed, s.awaitedSince, s.lastRequest = false, 0, 0
		}
	}
	l.expireLeases(now)
	if c == nil {
		return
	}
	if l.abortReason == "" && now-l.changeBegan >= l.config.ChangeTimeout {
		l.abortReason = fmt.Sprintf("not in force within %v: waiting for %s", l.config.ChangeTimeout, l.describePending(now))
	}
	if l.abortReason != "" {
		l.submit(now, "give up", Command{Kind: Abort, Number: l.pending, Round: l.round, Reason: l.abortReason})
		return
	}
	agreed, held, owing := true, true, false
	l.incomplete = 0
	l.membersVisited += uint64(len(l.state.Members))
	for _, seat := range l.state.Members {
		s := l.members[seat.Member]
		if s == nil {
			agreed, held = false, false
			l.incomplete++
			continue
		}
		if l.request(now, seat.Member, s, false); l.awaits(s) {
			l.incomplete++
		}
		agreed = agreed && s.agreed
		held = held && s.agreed && s.heldRound == l.round
		owing = owing || s.awaitedSince > 0
	}
	switch {
	case l.roundOpen && held:
		l.submit(now, fmt.Sprint("force ", l.round, l.state.MembersVersion), Command{Kind: Commit, Number: l.pending, Round: l.round, MembersVersion: l.state.MembersVersion})
	case l.roundOpen && now-l.roundOpened >= l.config.RoundTimeout: // one doesn't answer: the others go on meanwhile
		l.roundOpen, l.roundClosed = false, now
		l.commands = append(l.commands, Command{Kind: Release, Round: l.round, Lease: l.config.Lease})
	case !l.roundOpen && agreed && !owing && (l.roundClosed == 0 || now-l.roundClosed >= l.config.RoundPause):
		l.round.Count++
		l.roundOpen, l.roundOpened, l.incomplete = true, now, len(l.state.Members)
		for _, seat := range l.state.Members {
			l.request(now, seat.Member, l.members[seat.Member], true)
		}
		if len(l.state.Members) == 0 {
			l.Tick(now)
		}
	}
}

// expire lets members go whose lease has ended for sure.
func (l *Leader) expireLeases(now time.Duration) {
	if l.config.Lease == 0 {
		return
	}
	for _, seat := range l.state.Members {
		if s := l.members[seat.Member]; s != nil && now > s.expiry { // the fence: behind it the member takes nothing
			s.leaving = true // and it gets no other, though it may ask before the log has it
			l.submit(now, fmt.Sprint("leave ", seat.Member), Command{Kind: Leave, Member: seat.Member, Round: Round{Term: l.term}})
		}
	}
}

// Awaited is a member whose word a change waits for.
type PendingAnswer struct {
	Name       string        `json:"name"`
	Answer     string        `json:"word"` // which
	For        time.Duration `json:"for"`  // since it was asked
	SinceHeard time.Duration `json:"cut"`  // since it was last heard
}

// Progress is how far a change is.
type Progress struct {
	Number       Number          `json:"number"`
	Members      int             `json:"members"`
	Agreed, Held int             `json:"-"`
	For          time.Duration   `json:"for"`
	Waiting      []PendingAnswer `json:"waiting"`
}

// Progress tells how far the change in hand is; false = there is none.
func (l *Leader) Progress(now time.Duration) (p Progress, ok bool) {
	c := l.state.Pending()
	if c == nil || c.Number != l.pending {
		return p, false
	}
	p = Progress{Number: c.Number, Members: len(l.state.Members), For: now - l.changeBegan}
	for _, seat := range l.state.Members {
		s := l.members[seat.Member]
		if s == nil {
			continue
		}
		if s.agreed {
			p.Agreed++
		}
		if l.roundOpen && s.heldRound == l.round {
			p.Held++
		}
		if s.awaitedSince > 0 {
			word := "agree"
			if s.agreed {
				word = "hold"
			}
			p.Waiting = append(p.Waiting, PendingAnswer{seat.Name, word, now - s.awaitedSince, now - s.lastHeard})
		}
	}
	return p, true
}

func (l *Leader) describePending(now time.Duration) (text string) {
	p, _ := l.Progress(now)
	slices.SortFunc(p.Waiting, func(a, b PendingAnswer) int { return int(b.For - a.For) })
	for i, w := range p.Waiting {
		if i == 3 {
			return fmt.Sprintf("%s and %d more", text, len(p.Waiting)-i)
		}
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s (to %s for %v, last heard %v ago)", w.Name, w.Answer, w.For.Round(time.Millisecond), w.SinceHeard.Round(time.Millisecond))
	}
	if text == "" {
		return "the planners' log"
	}
	return text
}

// Members gives what is known of the tier's members, in the order in which they joined.
func (l *Leader) Members(now time.Duration) (out []MemberInfo) {
	for _, seat := range l.state.Members {
		m := MemberInfo{Name: seat.Name, Member: seat.Member}
		if s := l.members[seat.Member]; s != nil {
			m.Number, m.Linked, m.SinceHeard, m.LeaseLeft = s.policyNumber, s.link != 0, now-s.lastHeard, s.leaseEnd-now
		}
		out = append(out, m)
	}
	return out
}

// MemberInfo is what the leader knows of a member.
type MemberInfo struct {
	Name       string        `json:"name"`
	Member     Member        `json:"member"`
	Number     Number        `json:"number"`
	Linked     bool          `json:"linked"`
	SinceHeard time.Duration `json:"heard"` // since it was last
	LeaseLeft  time.Duration `json:"lease"` // what is left of it
}
