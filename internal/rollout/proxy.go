package rollout

import "time"

// Verdict says what a proxy does with a request that has come.
type Verdict uint8

// The verdicts.
const (
	Take Verdict = iota // under the policy whose number May gives
	Keep                // for the moment: a change is at its point
	Deny                // with a hint: this proxy can't know which policy holds
)

// asks is how many asks for a lease may be on their way: an answer to an earlier one tells nothing new.
const asks = 8

// Proxy is a proxy's side.
type Proxy struct {
	cfg   Config
	name  string
	nonce uint64

	member Member
	number Number // the policy that it serves under
	until  time.Duration
	lease  bool          // there is one, until then
	length time.Duration // of the last that was granted; 0 = none was
	staged Number
	policy []byte // of staged
	held   Round  // zero = it holds nothing
	since  time.Duration
	seq    uint64
	asked  [asks]time.Duration // when, by Seq

	address string
	zone    string
	tier    Tier

	// Check tells why this proxy can't serve under a policy; empty = it can.
	check func(Number, []byte) string
	out   []Message
	went  []Number // policies that are to be put into effect, with
	with  [][]byte
}

// NewProxy makes one that is no member yet. check tells why a policy can't be served under here, empty = it can. nonce is a random number
// of this start.
func NewProxy(cfg Config, name string, nonce uint64, check func(Number, []byte) string) *Proxy {
	return &Proxy{cfg: cfg.WithDefaults(), name: name, nonce: nonce, check: check}
}

// At says where other proxies of the tier reach this one. It is then told of them: see Tier.
func (p *Proxy) At(address string) { p.address = address }

// In says in which zone the proxy runs, which lets it share health checks with the others. It is then told of them: see Tier.
func (p *Proxy) In(zone string) { p.zone = zone }

// Tier gives what is known of the members.
func (p *Proxy) Tier() Tier { return p.tier }

// Out gives the messages for the planner that is spoken to; they are given once.
func (p *Proxy) Out() (m []Message) {
	m, p.out = p.out, nil
	return m
}

// Switched gives the policies that have come into force here since it was last called. They are to be put into effect before the next
// request is taken.
func (p *Proxy) Switched() (n []Number, with [][]byte) {
	n, with, p.went, p.with = p.went, p.with, nil, nil
	return n, with
}

// Member gives the proxy's membership; 0 = none.
func (p *Proxy) Member() Member { return p.member }

// Number gives the policy that requests are taken under, when they are.
func (p *Proxy) Number() Number { return p.number }

// Until gives the end of the lease.
func (p *Proxy) Until() time.Duration { return p.until }

// Length gives how long the lease is that was granted last: it is to be asked for a few times in that.
func (p *Proxy) Length() time.Duration {
	if p.length > 0 {
		return p.length
	}
	return p.cfg.Lease
}

// Holds tells the round in which requests are held, and since when.
func (p *Proxy) Holds() (Round, time.Duration, bool) { return p.held, p.since, p.held != Round{} }

// May says what is to be done with a request that has been read. now has to be read from the clock behind the request's last byte: a
// process that stood still between the two would take under a lease that had ended when the request came.
func (p *Proxy) May(now time.Duration) (Number, Verdict) {
	off := p.cfg.Without
	switch {
	case p.member == 0 && !off.Has(NoStartCheck):
		return 0, Deny
	case p.member != 0 && p.cfg.Lease > 0 && (!p.lease || now >= p.until) && !off.Has(NoLeaseCheck): // the fence against the cut off and the paused
		return 0, Deny
	case p.held != Round{} && !off.Has(NoWait): // the wait at the point
		return 0, Keep
	}
	return p.number, Take
}

// Ready tells whether the proxy may serve: it holds the tier's policy.
func (p *Proxy) Ready(now time.Duration) bool { _, v := p.May(now); return v != Deny }

// Connected is the link to a planner that came up: it says who it is.
func (p *Proxy) Connected() {
	p.say(Message{Kind: Hello, Name: p.name, Nonce: p.nonce, Member: p.member, Number: p.number, Round: p.held, Lease: p.cfg.Lease, Address: p.address, Zone: p.zone})
}

// Ask asks for the lease, and tells under which policy the proxy serves. It is called a few times in each lease's length.
func (p *Proxy) Ask(now time.Duration) {
	if p.member == 0 {
		p.Connected()
		return
	}
	p.seq++
	p.asked[p.seq%asks] = now
	p.say(Message{Kind: Renew, Member: p.member, Seq: p.seq, Number: p.number, Version: p.tier.Version})
}

// Leave says that no more requests are taken.
func (p *Proxy) Leave() {
	if p.member != 0 {
		p.say(Message{Kind: Bye, Member: p.member})
		p.member, p.lease = 0, false
	}
}

// rejoin gives the membership up. The nonce is a new one, or a late Welcome to the earlier membership would be taken for this one's.
func (p *Proxy) rejoin() {
	p.member, p.lease, p.held, p.staged, p.tier = 0, false, Round{}, 0, Tier{}
	p.nonce++
	p.Connected()
}

func (p *Proxy) say(m Message) { p.out = append(p.out, m) }

// Heard takes a planner's message.
func (p *Proxy) Heard(now time.Duration, m Message) {
	switch m.Kind {
	case Welcome:
		if p.member != 0 || m.Nonce != p.nonce { // it has come twice, or is for an earlier start of the same name
			return
		}
		p.member, p.number, p.lease, p.held = m.Member, m.Number, p.cfg.Lease == 0, Round{}
		p.went, p.with = append(p.went, m.Number), append(p.with, m.Policy)
		p.Ask(now)
		return
	case Wait:
		return
	}
	if p.member == 0 || m.Member != p.member { // it was for an earlier membership
		return
	}
	switch m.Kind {
	case Gone:
		p.rejoin()
	case Granted:
		if m.Seq > p.seq || p.seq-m.Seq >= asks {
			return
		}
		length := p.cfg.Lease
		if m.Lease > 0 {
			length = min(length, m.Lease)
		}
		if p.length = length; !p.lease || p.asked[m.Seq%asks]+length > p.until {
			p.lease, p.until = true, p.asked[m.Seq%asks]+length
		}
		if m.Version > 0 && m.Version == p.tier.Version { // the fence against a list that has been followed by another: a lease prolongs the one that it was granted with
			p.tier.Until = max(p.tier.Until, p.asked[m.Seq%asks]+length)
		}
	case Members:
		if m.Version > p.tier.Version {
			p.tier = Tier{Version: m.Version, Seats: m.Seats, Past: m.Past}
		}
	case Offer:
		if m.Number <= p.number || p.held != (Round{}) { // what is held for comes to its end first
			return
		}
		if reason := p.check(m.Number, m.Policy); reason != "" {
			p.say(Message{Kind: Refuse, Member: p.member, Number: m.Number, Reason: reason})
			return
		}
		p.staged, p.policy = m.Number, m.Policy
		p.say(Message{Kind: Agree, Member: p.member, Number: m.Number})
	case Hold:
		if m.Number != p.staged || m.Number <= p.number || m.Round.Before(p.held) {
			return
		}
		if p.held == (Round{}) {
			p.since = now
		}
		p.held = m.Round
		p.say(Message{Kind: Held, Member: p.member, Number: m.Number, Round: m.Round})
	case Facts:
		p.facts(m)
	}
}

// facts takes what the planners' log says. Facts stay true: they may come late, twice, and from any planner.
func (p *Proxy) facts(m Message) {
	switch {
	case m.Number > p.number && m.Number == p.staged:
		p.number, p.held = m.Number, Round{}
		p.went, p.with = append(p.went, m.Number), append(p.with, p.policy)
	case m.Number > p.number: // a change went by without this proxy: what it has is void
		p.rejoin()
	case m.Number == p.number && p.held != (Round{}) && !m.Round.Before(p.held):
		p.held = Round{}
	}
}
