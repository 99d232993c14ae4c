package rollout

import "time"

// Admission is what a proxy does with a new request.
type Admission uint8

// The admissions.
const (
	Admit  Admission = iota // under the policy that AdmitRequest returns
	Delay                   // until the round has ended
	Reject                  // with a hint to retry: this proxy can't know which policy is in force
)

// maxRenewalsInFlight bounds the renewals whose answers still count. An answer to an earlier one tells nothing new.
const maxRenewalsInFlight = 8

// PolicySwitch is a policy that has come into force in a proxy.
type PolicySwitch struct {
	Number Number
	Policy []byte
}

// CheckPolicy returns why a proxy can't serve under a policy; empty if it can.
type CheckPolicy func(number Number, policy []byte) (reason string)

// Proxy is the state of a proxy as a participant of the protocol. Its methods are not safe for concurrent use. Times are readings of one
// monotonic clock.
type Proxy struct {
	config  Config
	name    string
	nonce   uint64 // of the current membership, or of the attempt to get one
	address string
	zone    string // empty = it does not share health checks
	check   CheckPolicy

	member       Member // 0 = none
	number       Number // of the policy that the proxy serves under
	stagedNumber Number // of the policy that it has agreed to
	stagedPolicy []byte
	heldRound    Round // zero = it does not hold
	heldSince    time.Duration

	hasLease     bool
	leaseEnd     time.Duration
	lastLease    time.Duration // length of the last lease that was granted; 0 = none was
	seq          uint64        // of the last renewal
	renewalTimes [maxRenewalsInFlight]time.Duration

	membership Membership
	messages   []Message
	switches   []PolicySwitch
}

// NewProxy returns a proxy that is not a member yet. nonce must be random, and different at each start.
func NewProxy(config Config, name string, nonce uint64, check CheckPolicy) *Proxy {
	return &Proxy{config: config.WithDefaults(), name: name, nonce: nonce, check: check}
}

// SetAddress sets where other proxies of the tier reach this one, before it joins. It then receives their Membership.
func (p *Proxy) SetAddress(address string) { p.address = address }

// SetZone sets in which zone this proxy runs, before it joins, if it shares health checks with others. It then receives their Membership.
func (p *Proxy) SetZone(zone string) { p.zone = zone }

// Membership returns what is known of the members.
func (p *Proxy) Membership() Membership { return p.membership }

// TakeMessages returns the messages that are to be sent to the current planner and forgets them.
func (p *Proxy) TakeMessages() []Message {
	messages := p.messages
	p.messages = nil
	return messages
}

// TakeSwitches returns the policies that have come into force since the last call, and forgets them. They must be put into effect before
// the next request is admitted.
func (p *Proxy) TakeSwitches() []PolicySwitch {
	switches := p.switches
	p.switches = nil
	return switches
}

// Member returns the proxy's membership; 0 if it has none.
func (p *Proxy) Member() Member { return p.member }

// Number returns the policy that requests are admitted under, if any are.
func (p *Proxy) Number() Number { return p.number }

// LeaseEnd returns when the lease ends.
func (p *Proxy) LeaseEnd() time.Duration { return p.leaseEnd }

// LeaseDuration returns the length of the last lease that was granted. A lease is to be renewed several times within that.
func (p *Proxy) LeaseDuration() time.Duration {
	if p.lastLease > 0 {
		return p.lastLease
	}
	return p.config.Lease
}

// HeldRound returns the round for which requests are held and since when; false if none are.
func (p *Proxy) HeldRound() (round Round, since time.Duration, ok bool) {
	return p.heldRound, p.heldSince, p.holds()
}

func (p *Proxy) holds() bool { return p.heldRound != Round{} }

// AdmitRequest decides what is to be done with a request that has been read. now must be read from the clock after the request's last
// byte: a process that is paused between the two would otherwise admit it under a lease that had expired before the request came.
func (p *Proxy) AdmitRequest(now time.Duration) (Number, Admission) {
	disabled := p.config.DisabledGuards
	if p.member == 0 && !disabled.Has(NoStartCheck) {
		return 0, Reject
	}
	leased := p.config.Lease == 0 || p.hasLease && now < p.leaseEnd
	if p.member != 0 && !leased && !disabled.Has(NoLeaseCheck) { // fence against a proxy that was cut off or paused
		return 0, Reject
	}
	if p.holds() && !disabled.Has(NoHold) {
		return 0, Delay
	}
	return p.number, Admit
}

// Ready reports whether the proxy may serve: it has joined, and its lease has not expired.
func (p *Proxy) Ready(now time.Duration) bool {
	_, admission := p.AdmitRequest(now)
	return admission != Reject
}

// Connected tells that the connection to a planner is up.
func (p *Proxy) Connected() {
	p.send(Message{Kind: Hello, Name: p.name, Nonce: p.nonce, Member: p.member, Number: p.number, Round: p.heldRound,
		Lease: p.config.Lease, Address: p.address, Zone: p.zone})
}

// RenewLease requests a lease; without leases it sends a heartbeat. Call it at PlannerSelector.RenewInterval.
func (p *Proxy) RenewLease(now time.Duration) {
	if p.member == 0 {
		p.Connected()
		return
	}
	p.seq++
	*p.renewalTime(p.seq) = now
	p.send(Message{Kind: Renew, Member: p.member, Seq: p.seq, Number: p.number,
		MembersVersion: p.membership.Version, AcceptsDelta: p.membership.Version > 0})
}

// renewalTime returns where the time of a renewal is kept.
func (p *Proxy) renewalTime(seq uint64) *time.Duration {
	return &p.renewalTimes[seq%maxRenewalsInFlight]
}

// Leave gives up the membership. The proxy admits no more requests.
func (p *Proxy) Leave() {
	if p.member != 0 {
		p.send(Message{Kind: Leaving, Member: p.member})
		p.member, p.hasLease = 0, false
	}
}

// rejoin discards the membership and requests a new one. The nonce changes, so that a delayed Welcome to the former membership is not
// taken for one to the new.
func (p *Proxy) rejoin() {
	p.member, p.hasLease, p.heldRound, p.stagedNumber, p.membership = 0, false, Round{}, 0, Membership{}
	p.nonce++
	p.Connected()
}

func (p *Proxy) send(m Message) { p.messages = append(p.messages, m) }

func (p *Proxy) switchTo(number Number, policy []byte) {
	p.number, p.heldRound = number, Round{}
	p.switches = append(p.switches, PolicySwitch{Number: number, Policy: policy})
}
