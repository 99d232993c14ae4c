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
type Order struct {
	Link Link
	Message
}

// Leader is what the leading planner has beside the log, and loses with its leadership. Its methods are called with the state as far as the
// log has been applied.
type Leader struct {
	cfg   Config
	state *State
	term  Term
	since time.Duration // when its term's first command was applied; 0 = it has not been

	seats map[Member]*place
	names map[Link]Message // who has said hello and is no member yet

	pending Number
	began   time.Duration // the change in hand
	known   Number        // a change that this planner had in its log before it led, since
	knownAt time.Duration
	round   Round // the last
	open    bool  // it is not over
	opened  time.Duration
	closed  time.Duration
	failed  error  // why it can't lead
	abort   string // the change is to be given up, for this reason
	views   *Views // nil = nobody is told of members
	looks   uint64 // at members, by Tick: how its work grows with them
	missing int    // members whose word the change lacks, since Tick last counted them

	asks       []ask
	confirming []ask
	tried      map[string]time.Duration // commands that are on their way to the log

	out     []Order
	commit  []Command
	confirm bool
}

// place is what the leader knows of a member.
type place struct {
	link   Link
	until  time.Duration // its lease, as granted at the latest
	ends   time.Duration // when it takes nothing under it any more, whatever its clock's rate
	agreed bool
	held   Round
	owes   time.Duration // since when it owes a word; 0 = it doesn't
	asked  time.Duration // when it was last asked for it
	heard  time.Duration
	number Number
	left   bool // it said so itself, its lease has ended, or the operator says so: it gets no other
}

type ask struct {
	member  Member
	seq     uint64
	link    Link
	version uint64 // of the members, as who asks knows them
}

// Lead begins a term. Until its first command has come through the log, which ends all rounds of earlier terms, it does nothing else.
func Lead(cfg Config, state *State, term Term) *Leader {
	l := &Leader{cfg: cfg.WithDefaults(), state: state, term: term, seats: map[Member]*place{}, names: map[Link]Message{},
		round: Round{Term: term}, tried: map[string]time.Duration{}}
	l.commit = append(l.commit, Command{Act: Release, Round: l.round, Lease: l.cfg.Lease})
	return l
}

// Ready gives what is to be done: messages to be sent, commands for the log, and whether it is to be confirmed, by a round among the
// planners that begins now, that this one still leads.
func (l *Leader) Ready() (out []Order, commit []Command, confirm bool) {
	out, commit, confirm = l.out, l.commit, l.confirm
	l.out, l.commit, l.confirm = nil, nil, false
	return out, commit, confirm
}

// Term gives the term that it leads in.
func (l *Leader) Term() Term { return l.term }

// Leads tells whether the term has begun in the log.
func (l *Leader) Leads() bool { return l.since > 0 }

func (l *Leader) send(to Link, m Message) {
	if to != 0 {
		l.out = append(l.out, Order{to, m})
	}
}

// try puts a command on its way, unless it is already.
func (l *Leader) try(now time.Duration, key string, c Command) {
	maps.DeleteFunc(l.tried, func(_ string, at time.Duration) bool { return now-at >= l.cfg.Answer })
	if at, ok := l.tried[key]; ok && now-at < l.cfg.Answer {
		return
	}
	l.tried[key] = now
	l.commit = append(l.commit, c)
}

// Applied takes a command that has come through the log and has been applied to the state; err is what that gave.
func (l *Leader) Applied(now time.Duration, c Command, err error) {
	switch c.Act {
	case Release:
		if err != nil && c.Round.Term == l.term {
			l.failed = err
		}
		if err == nil && c.Round.Term == l.term && c.Round.Count == 0 && l.since == 0 {
			// Whoever had a lease of an earlier leader has asked for it before this term began: it ends within Lease from now.
			l.since = now
			for _, s := range l.state.Seats {
				p := &place{}
				if l.seats[s.Member] = p; !l.cfg.Without.Has(NoNewTermWait) {
					l.grant(now, p, l.cfg.Lease)
				}
			}
		}
		l.tell()
	case Join:
		delete(l.tried, "join "+c.Name)
		for i := range l.state.Seats {
			if s := &l.state.Seats[i]; s.Name == c.Name && s.Nonce == c.Nonce && l.seats[s.Member] == nil && l.since > 0 {
				l.seats[s.Member] = &place{heard: now}
				l.grant(now, l.seats[s.Member], l.cfg.Lease)
			}
		}
		for link, m := range l.names {
			if m.Name == c.Name && m.Nonce == c.Nonce {
				l.hello(now, link, m)
			}
		}
	case Leave:
		delete(l.seats, c.Member)
	case Propose, GiveUp, Force:
		l.tell()
	}
	l.Tick(now)
}

// Propose asks for a change.
func (l *Leader) Propose(c Command) { l.commit = append(l.commit, c) }

// Abort gives the change in hand up, unless it is in force by the time that this comes through the log.
func (l *Leader) Abort(now time.Duration, n Number, reason string) {
	if l.pending == n && l.state.Pending() != nil {
		l.abort = reason
		l.Tick(now)
	}
}

// Confirmed tells that this planner led at some time behind Ready's confirm.
func (l *Leader) Confirmed(now time.Duration) {
	for _, a := range l.confirming {
		if s := l.seats[a.member]; s != nil && l.state.Seat(a.member) != nil && l.prolongs(now, s) {
			length := l.length(now)
			l.grant(now, s, length)
			granted := Message{Kind: Granted, Member: a.member, Seq: a.seq, Lease: length}
			if l.views != nil && l.state.Seat(a.member).needsMembers() { // the log was looked at behind the ask: so far the list is sure to hold
				past, whole := l.views.Past(now)
				if whole { // the fence against keepers that nobody names any more
					granted.Version = l.state.Version
				}
				if whole && a.version != granted.Version {
					l.send(a.link, Message{Kind: Members, Member: a.member, Version: l.state.Version, Seats: l.state.Seats, Past: past})
				}
			}
			l.send(a.link, granted)
		}
	}
	l.confirming = nil
	l.ask()
}

// length is that of a lease that is granted now.
func (l *Leader) length(now time.Duration) time.Duration {
	if l.pending != 0 && l.state.Pending() != nil && now-l.began >= l.cfg.Lease/2 {
		return l.cfg.Short
	}
	return l.cfg.Lease
}

// grant notes a lease. A shorter one doesn't end a longer one that was granted before: its proxy may have heard of that alone.
func (l *Leader) grant(now time.Duration, s *place, length time.Duration) {
	if l.cfg.Without.Has(NoLongestLease) {
		s.until, s.ends = 0, 0
	}
	s.until = max(s.until, now+length)
	if l.cfg.Lease > 0 {
		s.ends = max(s.ends, now+length+time.Duration(float64(l.cfg.Margin)*float64(length)/float64(l.cfg.Lease)))
	}
}

// Tells lets members that told an address know of one another, where there are leases: without, nothing says until when a list holds.
func (l *Leader) Tells(v *Views) { l.views = v }

// Since says when this planner first had a change in its log, by its own clock: the bound on a change's time doesn't begin anew with each leader.
func (l *Leader) Since(n Number, at time.Duration) { l.known, l.knownAt = n, at }

// wants notes an ask; of a member's only the last counts.
func (l *Leader) wants(a ask) {
	for _, b := range l.confirming {
		if b.member == a.member && b.seq >= a.seq {
			return
		}
	}
	i := slices.IndexFunc(l.asks, func(b ask) bool { return b.member == a.member })
	switch {
	case i < 0:
		l.asks = append(l.asks, a)
	case l.asks[i].seq < a.seq:
		l.asks[i] = a
	}
	l.ask()
}

func (l *Leader) ask() {
	if len(l.confirming) == 0 && len(l.asks) > 0 {
		l.confirming, l.asks, l.confirm = l.asks, nil, true
	}
}

// prolongs tells whether a member's lease may be prolonged: not that of one that owes a word for too long, for a change would wait for it
// without an end, nor that of one that is to go.
func (l *Leader) prolongs(now time.Duration, s *place) bool {
	return (s.owes == 0 || now-s.owes < l.cfg.Answer) && (!s.left || l.cfg.Without.Has(NoLastLease))
}

// Down tells that a link has ended.
func (l *Leader) Down(link Link) {
	delete(l.names, link)
	for _, s := range l.seats {
		if s.link == link {
			s.link = 0
		}
	}
}

// Heard takes a proxy's message.
func (l *Leader) Heard(now time.Duration, link Link, m Message) {
	if l.since == 0 {
		return
	}
	if m.Kind == Hello {
		l.hello(now, link, m)
		return
	}
	s := l.seats[m.Member]
	if s == nil || l.state.Seat(m.Member) == nil {
		l.send(link, Message{Kind: Gone, Member: m.Member})
		return
	}
	s.heard, s.link = now, link
	lacked := l.lacks(s)
	switch m.Kind {
	case Renew:
		if s.number = m.Number; s.number < l.state.Force || l.cfg.Lease == 0 { // a sign of life where there are no leases to grant
			l.send(link, l.fact(m.Member))
		}
		if l.cfg.Lease > 0 {
			l.wants(ask{m.Member, m.Seq, link, m.Version})
		}
		return // nothing that a change waits for: with thousands of members a look at all of them for each ask would be most of the work
	case Agree:
		if m.Number == l.pending && l.state.Pending() != nil {
			s.agreed, s.owes = true, 0
		}
	case Refuse:
		if m.Number == l.pending && l.state.Pending() != nil {
			s.owes = 0
			l.abort = fmt.Sprintf("%s refuses: %s", l.name(m.Member), m.Reason)
		}
	case Held:
		if m.Number != l.pending || l.state.Pending() == nil || !l.state.Released.Before(m.Round) {
			l.send(link, l.fact(m.Member)) // that round is over
		}
		if s.owes = 0; m.Round == l.round && l.open {
			s.held = m.Round
		}
	case Bye:
		s.left = true
		l.try(now, fmt.Sprint("leave ", m.Member), Command{Act: Leave, Member: m.Member, Round: Round{Term: l.term}})
	}
	if lacked && !l.lacks(s) {
		l.missing--
	}
	if l.missing > 0 && (m.Kind == Agree || m.Kind == Held) { // a look at all members for each word of one took 0.7 s of a change with 3,000 of them
		return
	}
	l.Tick(now)
}

// lacks tells whether the change waits for a word of a member.
func (l *Leader) lacks(s *place) bool {
	return !s.agreed || s.owes > 0 || l.open && s.held != l.round
}

// Failed tells why this planner can't lead; nil = it can.
func (l *Leader) Failed() error { return l.failed }

// hello takes in who has come.
func (l *Leader) hello(now time.Duration, link Link, m Message) {
	if m.Lease != l.cfg.Lease { // the fence against a proxy that would serve for longer than it is waited for
		l.send(link, Message{Kind: Wait, Nonce: m.Nonce, Reason: fmt.Sprintf("%s goes by a lease of %v, the planners by %v", m.Name, m.Lease, l.cfg.Lease)})
		return
	}
	if seat := l.state.Seat(m.Member); m.Member != 0 && seat != nil && seat.Name == m.Name && l.seats[m.Member] != nil {
		delete(l.names, link)
		s := l.seats[m.Member]
		s.link, s.heard, s.number = link, now, m.Number
		l.send(link, l.fact(m.Member))
		l.remind(now, m.Member, s, true)
		return
	}
	if m.Member != 0 {
		l.send(link, Message{Kind: Gone, Member: m.Member})
		return
	}
	for i := range l.state.Seats {
		seat := &l.state.Seats[i]
		if seat.Name != m.Name {
			continue
		}
		s := l.seats[seat.Member]
		if seat.Nonce == m.Nonce && s != nil {
			delete(l.names, link)
			s.link, s.heard, s.number = link, now, l.state.Force
			l.send(link, Message{Kind: Welcome, Member: seat.Member, Nonce: m.Nonce, Number: l.state.Force, Policy: l.policy(l.state.Force)})
			l.remind(now, seat.Member, s, true)
			return
		}
		l.names[link] = m
		why := fmt.Sprintf("%s is a member already, as of an earlier start or by a second process of that name", m.Name)
		left := time.Duration(0)
		if l.cfg.Lease > 0 && s != nil { // the reason stays the same while it is one: it is told once, not with each ask
			why, left = why+"; it goes once its lease has ended", max(s.ends-now, 0)
		} else {
			why += "; `havenproxy policy expel " + m.Name + "` once that one is sure to have ended"
		}
		l.send(link, Message{Kind: Wait, Nonce: m.Nonce, Reason: why, Lease: left})
		return
	}
	l.names[link] = m
	l.try(now, "join "+m.Name, Command{Act: Join, Name: m.Name, Nonce: m.Nonce, Address: m.Address, Zone: m.Zone})
}

// Holds tells whether a member's link is this one.
func (l *Leader) Holds(m Member, link Link) bool {
	s := l.seats[m]
	return s != nil && s.link == link && l.state.Seat(m) != nil
}

// Expel lets the operator say that a member has ended for good. With leases it goes when its own has ended, so that nothing hangs on whether
// that is true; without, it goes at once, and if it has not ended it goes on under what it has.
func (l *Leader) Expel(now time.Duration, name string) error {
	for i := range l.state.Seats {
		if s := &l.state.Seats[i]; s.Name == name {
			if p := l.seats[s.Member]; l.cfg.Lease > 0 && p != nil && !l.cfg.Without.Has(NoLastLease) {
				p.left = true // no other lease is granted; expire does the rest
				return nil
			}
			l.try(now, fmt.Sprint("leave ", s.Member), Command{Act: Leave, Member: s.Member, Round: Round{Term: l.term}})
			return nil
		}
	}
	return fmt.Errorf("%s is no member", name)
}

func (l *Leader) name(m Member) string {
	if s := l.state.Seat(m); s != nil {
		return s.Name
	}
	return "?"
}

func (l *Leader) policy(n Number) []byte {
	if c := l.state.Change(n); c != nil {
		return c.Policy
	}
	return nil
}

func (l *Leader) fact(m Member) Message {
	return Message{Kind: Facts, Member: m, Number: l.state.Force, Round: l.state.Released}
}

// tell gives all members the facts.
func (l *Leader) tell() {
	for _, s := range l.state.Seats {
		if p := l.seats[s.Member]; p != nil {
			l.send(p.link, l.fact(s.Member))
		}
	}
}

// again is how often a word that is owed is asked for anew.
const again = 3 // times in Answer

// remind asks a member for the word that it owes.
func (l *Leader) remind(now time.Duration, m Member, s *place, anew bool) {
	c := l.state.Pending()
	if c == nil || c.Number != l.pending {
		return
	}
	if !anew && s.asked > 0 && now-s.asked < l.cfg.Answer/again {
		return
	}
	switch {
	case l.open && s.held != l.round && s.agreed:
		l.send(s.link, Message{Kind: Hold, Member: m, Number: c.Number, Round: l.round})
	case !s.agreed:
		l.send(s.link, Message{Kind: Offer, Member: m, Number: c.Number, Policy: c.Policy})
	default:
		return
	}
	s.asked = now
	if s.owes == 0 {
		s.owes = now
	}
}

// Tick does what is due by the clock. It is called a few times in each of Answer and Round.
func (l *Leader) Tick(now time.Duration) {
	if l.since == 0 {
		return
	}
	c := l.state.Pending()
	switch {
	case c == nil:
		l.pending, l.open, l.abort = 0, false, ""
		for _, s := range l.seats {
			s.owes, s.asked, s.agreed = 0, 0, false
		}
	case c.Number != l.pending:
		l.pending, l.began, l.open, l.closed, l.abort = c.Number, now, false, 0, ""
		if c.Number == l.known {
			l.began = l.knownAt
		}
		for _, s := range l.seats {
			s.agreed, s.owes, s.asked = false, 0, 0
		}
	}
	l.expire(now)
	if c == nil {
		return
	}
	if l.abort == "" && now-l.began >= l.cfg.Bound {
		l.abort = fmt.Sprintf("not in force within %v: waiting for %s", l.cfg.Bound, l.waiting(now))
	}
	if l.abort != "" {
		l.try(now, "give up", Command{Act: GiveUp, Number: l.pending, Round: l.round, Reason: l.abort})
		return
	}
	agreed, held, owing := true, true, false
	l.missing = 0
	l.looks += uint64(len(l.state.Seats))
	for _, seat := range l.state.Seats {
		s := l.seats[seat.Member]
		if s == nil {
			agreed, held = false, false
			l.missing++
			continue
		}
		if l.remind(now, seat.Member, s, false); l.lacks(s) {
			l.missing++
		}
		agreed = agreed && s.agreed
		held = held && s.agreed && s.held == l.round
		owing = owing || s.owes > 0
	}
	switch {
	case l.open && held:
		l.try(now, fmt.Sprint("force ", l.round, l.state.Version), Command{Act: Force, Number: l.pending, Round: l.round, Members: l.state.Version})
	case l.open && now-l.opened >= l.cfg.Round: // one doesn't answer: the others go on meanwhile
		l.open, l.closed = false, now
		l.commit = append(l.commit, Command{Act: Release, Round: l.round, Lease: l.cfg.Lease})
	case !l.open && agreed && !owing && (l.closed == 0 || now-l.closed >= l.cfg.Again):
		l.round.Count++
		l.open, l.opened, l.missing = true, now, len(l.state.Seats)
		for _, seat := range l.state.Seats {
			l.remind(now, seat.Member, l.seats[seat.Member], true)
		}
		if len(l.state.Seats) == 0 {
			l.Tick(now)
		}
	}
}

// expire lets members go whose lease has ended for sure.
func (l *Leader) expire(now time.Duration) {
	if l.cfg.Lease == 0 {
		return
	}
	for _, seat := range l.state.Seats {
		if s := l.seats[seat.Member]; s != nil && now > s.ends { // the fence: behind it the member takes nothing
			s.left = true // and it gets no other, though it may ask before the log has it
			l.try(now, fmt.Sprint("leave ", seat.Member), Command{Act: Leave, Member: seat.Member, Round: Round{Term: l.term}})
		}
	}
}

// Awaited is a member whose word a change waits for.
type Awaited struct {
	Name string        `json:"name"`
	Word string        `json:"word"` // which
	For  time.Duration `json:"for"`  // since it was asked
	Cut  time.Duration `json:"cut"`  // since it was last heard
}

// Progress is how far a change is.
type Progress struct {
	Number       Number        `json:"number"`
	Members      int           `json:"members"`
	Agreed, Held int           `json:"-"`
	For          time.Duration `json:"for"`
	Waiting      []Awaited     `json:"waiting"`
}

// Progress tells how far the change in hand is; false = there is none.
func (l *Leader) Progress(now time.Duration) (p Progress, ok bool) {
	c := l.state.Pending()
	if c == nil || c.Number != l.pending {
		return p, false
	}
	p = Progress{Number: c.Number, Members: len(l.state.Seats), For: now - l.began}
	for _, seat := range l.state.Seats {
		s := l.seats[seat.Member]
		if s == nil {
			continue
		}
		if s.agreed {
			p.Agreed++
		}
		if l.open && s.held == l.round {
			p.Held++
		}
		if s.owes > 0 {
			word := "agree"
			if s.agreed {
				word = "hold"
			}
			p.Waiting = append(p.Waiting, Awaited{seat.Name, word, now - s.owes, now - s.heard})
		}
	}
	return p, true
}

func (l *Leader) waiting(now time.Duration) (text string) {
	p, _ := l.Progress(now)
	slices.SortFunc(p.Waiting, func(a, b Awaited) int { return int(b.For - a.For) })
	for i, w := range p.Waiting {
		if i == 3 {
			return fmt.Sprintf("%s and %d more", text, len(p.Waiting)-i)
		}
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s (to %s for %v, last heard %v ago)", w.Name, w.Word, w.For.Round(time.Millisecond), w.Cut.Round(time.Millisecond))
	}
	if text == "" {
		return "the planners' log"
	}
	return text
}

// Members gives what is known of the tier's members, in the order in which they joined.
func (l *Leader) Members(now time.Duration) (out []MemberInfo) {
	for _, seat := range l.state.Seats {
		m := MemberInfo{Name: seat.Name, Member: seat.Member}
		if s := l.seats[seat.Member]; s != nil {
			m.Number, m.Linked, m.Heard, m.Lease = s.number, s.link != 0, now-s.heard, s.until-now
		}
		out = append(out, m)
	}
	return out
}

// MemberInfo is what the leader knows of a member.
type MemberInfo struct {
	Name   string        `json:"name"`
	Member Member        `json:"member"`
	Number Number        `json:"number"`
	Linked bool          `json:"linked"`
	Heard  time.Duration `json:"heard"` // since it was last
	Lease  time.Duration `json:"lease"` // what is left of it
}
