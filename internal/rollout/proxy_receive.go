package rollout

import "time"

// Receive handles a message of a planner.
func (p *Proxy) Receive(now time.Duration, m Message) {
	switch m.Kind {
	case JoinDelayed:
		return
	case Welcome:
		p.receiveWelcome(now, m)
		return
	}
	if p.member == 0 || m.Member != p.member { // it was sent to a former membership
		return
	}
	switch m.Kind {
	case NotMember:
		p.rejoin()
	case Granted:
		p.receiveLease(m)
	case Members:
		if m.MembersVersion <= p.membership.Version {
			return
		}
		if after, ok := p.membership.apply(&m); ok { // otherwise the next renewal says which version is known
			p.membership = after
		}
	case Offer:
		p.receiveOffer(m)
	case Hold:
		p.receiveHold(now, m)
	case Status:
		p.receiveStatus(m)
	}
}

func (p *Proxy) receiveWelcome(now time.Duration, m Message) {
	if p.member != 0 || m.Nonce != p.nonce { // a duplicate, or for an earlier start of the same name
		return
	}
	p.member, p.hasLease = m.Member, p.config.Lease == 0
	p.switchTo(m.Number, m.Policy)
	p.RenewLease(now)
}

func (p *Proxy) receiveLease(m Message) {
	if m.Seq > p.seq || p.seq-m.Seq >= maxRenewalsInFlight {
		return
	}
	length := p.config.Lease
	if m.Lease > 0 {
		length = min(length, m.Lease)
	}
	p.lastLease = length
	end := *p.renewalTime(m.Seq) + length
	if !p.hasLease || end > p.leaseEnd {
		p.hasLease, p.leaseEnd = true, end
	}
	// Fence against a list of members that another has replaced: a lease extends only the list that it was granted with.
	if m.MembersVersion > 0 && m.MembersVersion == p.membership.Version {
		p.membership.ValidUntil = max(p.membership.ValidUntil, end)
	}
}

func (p *Proxy) receiveOffer(m Message) {
	if m.Number <= p.number || p.holds() { // a duplicate, or the change that is held for has to end first
		return
	}
	if reason := p.check(m.Number, m.Policy); reason != "" {
		p.send(Message{Kind: Refuse, Member: p.member, Number: m.Number, Reason: reason})
		return
	}
	p.stagedNumber, p.stagedPolicy = m.Number, m.Policy
	p.send(Message{Kind: Agree, Member: p.member, Number: m.Number})
}

func (p *Proxy) receiveHold(now time.Duration, m Message) {
	if m.Number != p.stagedNumber || m.Number <= p.number || m.Round.Before(p.heldRound) {
		return
	}
	if !p.holds() {
		p.heldSince = now
	}
	p.heldRound = m.Round
	p.send(Message{Kind: Held, Member: p.member, Number: m.Number, Round: m.Round})
}

// receiveStatus handles what the planners' log says. It stays true, so the message may be delayed or duplicated and come from any planner.
func (p *Proxy) receiveStatus(m Message) {
	switch {
	case m.Number > p.number && m.Number == p.stagedNumber:
		p.switchTo(m.Number, p.stagedPolicy)
	case m.Number > p.number: // a change was committed without this proxy: its state is obsolete
		p.rejoin()
	case m.Number == p.number && p.holds() && !m.Round.Before(p.heldRound):
		p.heldRound = Round{}
	}
}
