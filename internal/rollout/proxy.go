package rollout

import "time"

// Verdict says what a proxy does with a request that has come.
type Admission uint8

// The verdicts.
const (
	Admit  Admission = iota // under the policy whose number May gives
	Delay                   // for the moment: a change is at its point
	Reject                  // with a hint: this proxy can't know which policy holds
)

// asks is how many asks for a lease may be on their way: an answer to an earlier one tells nothing new.
const renewalsInFlight = 8

// Proxy is a proxy's side.
type Proxy struct {
	config Config
	name   string
	nonce  uint64

	member       Member
	number       Number // the policy that it serves under
	leaseEnd     time.Duration
	hasLease     bool          // there is one, until then
	lastLease    time.Duration // of the last that was granted; 0 = none was
	staged       Number
	policy       []byte // of staged
	heldRound    Round  // zero = it holds nothing
	heldSince    time.Duration
	seq          uint64
	renewalTimes [renewalsInFlight]time.Duration // when, by Seq

	address    string
	membership Membership

	// Check tells why this proxy can't serve under a policy; empty = it can.
	check    func(Number, []byte) string
	messages []Message
	went     []Number // policies that are to be put into effect, with
	with     [][]byte
}

// NewProxy makes one that is no member yet. check tells why a policy can't be served under here, empty = it can. nonce is a random number
// of this start.
func NewProxy(cfg Config, name string, nonce uint64, check func(Number, []byte) string) *Proxy {
	return &Proxy{config: cfg.WithDefaults(), name: name, nonce: nonce, check: check}
}

// At says where other proxies of the tier reach this one. It is then told of them: see Tier.
func (p *Proxy) SetAddress(address string) { p.address = address }

// Tier gives what is known of the members.
func (p *Proxy) Membership() Membership { return p.membership }

// Out gives the messages for the planner that is spoken to; they are given once.
func (p *Proxy) TakeMessages() (m []Message) {
	m, p.messages = p.messages, nil
	return m
}

// Switched gives the policies that have come into force here since it was last called. They are to be put into effect before the next
// request is taken.
func (p *Proxy) TakeSwitches() (n []Number, with [][]byte) {
	n, with, p.went, p.with = p.went, p.with, nil, nil
	return n, with
}

// Member gives the proxy's membership; 0 = none.
func (p *Proxy) Member() Member { return p.member }

// Number gives the policy that requests are taken under, when they are.
func (p *Proxy) Number() Number { return p.number }

// Until gives the end of the lease.
func (p *Proxy) LeaseEnd() time.Duration { return p.leaseEnd }

// Length gives how long the lease is that was granted last: it is to be asked for a few times in that.
func (p *Proxy) LeaseDuration() time.Duration {
	if p.lastLease > 0 {
		return p.lastLease
	}
	return p.config.Lease
}

// Holds tells the round in which requests are held, and since when.
func (p *Proxy) HeldRound() (Round, time.Duration, bool) {
	return p.heldRound, p.heldSince, p.heldRound != Round{}
}

// May says what is to be done with a request that has been read. now has to be read from the clock behind the request's last byte: a
// process that stood still between the two would take under a lease that had ended when the request came.
func (p *Proxy) AdmitRequest(now time.Duration) (Number, Admission) {
	off := p.config.DisabledGuards
	switch {
	case p.member == 0 && !off.Has(NoStartCheck):
		return 0, Reject
	case p.member != 0 && p.config.Lease > 0 && (!p.hasLease || now >= p.leaseEnd) && !off.Has(NoLeaseCheck): // the fence against the cut off and the paused
		return 0, Reject
	case p.heldRound != Round{} && !off.Has(NoHold): // the wait at the point
		return 0, Delay
	}
	return p.number, Admit
}

// Ready tells whether the proxy may serve: it holds the tier's policy.
func (p *Proxy) Ready(now time.Duration) bool { _, v := p.AdmitRequest(now); return v != Reject }

// Connected is the link to a planner that came up: it says who it is.
func (p *Proxy) Connected() {
	p.send(Message{Kind: Hello, Name: p.name, Nonce: p.nonce, Member: p.member, Number: p.number, Round: p.heldRound, Lease: p.config.Lease, Address: p.address})
}

// Ask asks for the lease, and tells under which policy the proxy serves. It is called a few times in each lease's length.
func (p *Proxy) RenewLease(now time.Duration) {
	if p.member == 0 {
		p.Connected()
		return
	}
	p.seq++
	p.renewalTimes[p.seq%renewalsInFlight] = now
	p.send(Message{Kind: Renew, Member: p.member, Seq: p.seq, Number: p.number, MembersVersion: p.membership.Version})
}

// Leave says that no more requests are taken.
func (p *Proxy) Leave() {
	if p.member != 0 {
		p.send(Message{Kind: Leaving, Member: p.member})
		p.member, p.hasLease = 0, false
	}
}

// rejoin gives the membership up. The nonce is a new one, or a late Welcome to the earlier membership would be taken for this one's.
func (p *Proxy) rejoin() {
	p.member, p.hasLease, p.heldRound, p.staged, p.membership = 0, false, Round{}, 0, Membership{}
	p.nonce++
	p.Connected()
}

func (p *Proxy) send(m Message) { p.messages = append(p.messages, m) }

// Heard takes a planner's message.
func (p *Proxy) Receive(now time.Duration, m Message) {
	switch m.Kind {
	case Welcome:
		if p.member != 0 || m.Nonce != p.nonce { // it has come twice, or is for an earlier start of the same name
			return
		}
		p.member, p.number, p.hasLease, p.heldRound = m.Member, m.Number, p.config.Lease == 0, Round{}
		p.went, p.with = append(p.went, m.Number), append(p.with, m.Policy)
		p.RenewLease(now)
		return
	case JoinDelayed:
		return
	}
	if p.member == 0 || m.Member != p.member { // it was for an earlier membership
		return
	}
	switch m.Kind {
	case NotMember:
		p.rejoin()
	case Granted:
		if m.Seq > p.seq || p.seq-m.Seq >= renewalsInFlight {
			return
		}
		length := p.config.Lease
		if m.Lease > 0 {
			length = min(length, m.Lease)
		}
		if p.lastLease = length; !p.hasLease || p.renewalTimes[m.Seq%renewalsInFlight]+length > p.leaseEnd {
			p.hasLease, p.leaseEnd = true, p.renewalTimes[m.Seq%renewalsInFlight]+length
		}
		if m.MembersVersion > 0 && m.MembersVersion == p.membership.Version { // the fence against a list that has been followed by another: a lease prolongs the one that it was granted with
			p.membership.Until = max(p.membership.Until, p.renewalTimes[m.Seq%renewalsInFlight]+length)
		}
	case Members:
		if m.MembersVersion > p.membership.Version {
			p.membership = Membership{Version: m.MembersVersion, Members: m.Members, Past: m.PastMembers}
		}
	case Offer:
		if m.Number <= p.number || p.heldRound != (Round{}) { // what is held for comes to its end first
			return
		}
		if reason := p.check(m.Number, m.Policy); reason != "" {
			p.send(Message{Kind: Refuse, Member: p.member, Number: m.Number, Reason: reason})
			return
		}
		p.staged, p.policy = m.Number, m.Policy
		p.send(Message{Kind: Agree, Member: p.member, Number: m.Number})
	case Hold:
		if m.Number != p.staged || m.Number <= p.number || m.Round.Before(p.heldRound) {
			return
		}
		if p.heldRound == (Round{}) {
			p.heldSince = now
		}
		p.heldRound = m.Round
		p.send(Message{Kind: Held, Member: p.member, Number: m.Number, Round: m.Round})
	case Status:
		p.receiveStatus(m)
	}
}

// facts takes what the planners' log says. Facts stay true: they may come late, twice, and from any planner.
func (p *Proxy) receiveStatus(m Message) {
	switch {
	case m.Number > p.number && m.Number == p.staged:
		p.number, p.heldRound = m.Number, Round{}
		p.went, p.with = append(p.went, m.Number), append(p.with, p.policy)
	case m.Number > p.number: // a change went by without this proxy: what it has is void
		p.rejoin()
	case m.Number == p.number && p.heldRound != (Round{}) && !m.Round.Before(p.heldRound):
		p.heldRound = Round{}
	}
}
