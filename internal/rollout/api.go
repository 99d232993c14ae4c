// Package rollout decides how a change of policy takes hold in a tier of proxies: everywhere or nowhere, at one moment, also while some of
// them are down, paused or cut off. It has three parts, all pure: State, which the planners keep alike by their log; Leader, which the
// leading planner has beside it and loses with its leadership; and Proxy, the side of a proxy. Events and a clock are handed in, messages
// and commands come out.
//
// The way is a barrier whose outcome is decided by the log, as in J. Gray and L. Lamport, "Consensus on Transaction Commit" (2006): no
// process that dies leaves the others without an outcome as long as most planners live. A change is offered to all members of the tier;
// when all have agreed, a round asks each to hold what comes; when all hold, Force goes into the log. That entry is the point: before it
// nobody takes a request under the new policy, behind it nobody under the old one. What a member that holds may do next it learns only from
// the log's facts: the change is in force, or the round is over.
//
// Leases (C. Gray and D. Cheriton, 1989) say whom a change has to wait for. A proxy counts its lease from when it asked, the planner from
// when it granted, both on clocks of their own of which only the rates have to agree, to within Margin of Lease. What the lease can't see:
// a machine that stands still together with its monotonic clock (a suspended virtual machine). It would wake with a lease that the planners
// have given up.
package rollout

import "time"

// Number is a policy's; each change has a new one, given up or not.
type Number uint64

// Term is that of a leading planner, as the planners' consensus has it.
type Term uint64

// Member is one start of one proxy: a proxy that starts again is a new member.
type Member uint64

// Round is one attempt at the barrier. Later ones are greater: of a later term, or of the same with a higher count.
type Round struct {
	Term  Term   `cbor:"1,keyasint,omitempty"`
	Count uint64 `cbor:"2,keyasint,omitempty"`
}

// Before tells whether a round is earlier than another.
func (r Round) Before(o Round) bool { return r.Term < o.Term || r.Term == o.Term && r.Count < o.Count }

// Config is a tier's, the same at all its processes.
type Config struct {
	// Lease is how long a proxy may take requests since it last asked for it. A proxy that is cut off serves no more behind it, and a change
	// waits that long for it. 0 = proxies need none: one that is cut off goes on, and a change that it doesn't agree to is given up.
	Lease  time.Duration
	Margin time.Duration // by which the planners wait longer, for clocks of unlike rates; Lease/4
	// Short is the lease that is granted while a change has been under way for half of Lease: a tier of hundreds, of which some fail each
	// second, would never be without one that has just fallen silent and may yet serve under the old policy. Lease/8, but 250 ms at least.
	Short  time.Duration
	Answer time.Duration // so long a member may take for its word before its lease is not prolonged any more; 300 ms
	Round  time.Duration // so long all may take to hold before they are let go again; 150 ms
	Again  time.Duration // until the next round; 250 ms
	Bound  time.Duration // a change that is not in force by then is given up; 4 * (Lease + Margin) + 2 s

	Without Guards // guards that are left out, to see them missed; none outside the lab
}

// Guards are the checks that the promises hang on, by a bit for each.
type Guards uint16

// The guards.
const (
	NoLeaseCheck   Guards = 1 << iota // a proxy looks at the end of its lease before it takes a request
	NoWait                            // it takes nothing while it holds
	NoStartCheck                      // it takes nothing before it has the tier's policy
	NoTermCheck                       // what an earlier leader wrote has no effect behind a later one's beginning, nor a round that was let go
	NoTierCheck                       // nor one for a tier that somebody has joined since
	NoNewTermWait                     // a new leader takes leases of the one before for running
	NoLastLease                       // no lease is prolonged once its member is to go
	NoLongestLease                    // a short lease doesn't end a longer one that was granted before
)

// GuardNames names them.
var GuardNames = []string{"lease check", "wait at the point", "check at start", "term check", "tier check", "new leader's wait", "no lease for who goes", "longest lease"}

// Has tells whether a guard is left out.
func (g Guards) Has(x Guards) bool { return g&x != 0 }

// WithDefaults fills in what is not set.
func (c Config) WithDefaults() Config {
	or := func(d *time.Duration, otherwise time.Duration) {
		if *d == 0 {
			*d = otherwise
		}
	}
	or(&c.Margin, c.Lease/4)
	or(&c.Short, min(max(c.Lease/8, 250*time.Millisecond), c.Lease))
	or(&c.Answer, 300*time.Millisecond)
	or(&c.Round, 150*time.Millisecond)
	or(&c.Again, 250*time.Millisecond)
	or(&c.Bound, 4*(c.Lease+c.Margin)+2*time.Second)
	return c
}

// Kind says what a message is.
type Kind uint8

// The messages. All may come twice, late or never.
const (
	Hello     Kind = iota + 1 // a proxy: it is there; Member is 0 at its start, Nonce is its own for this start
	Renew                     // a proxy asks for its lease; Seq is the ask's number, Number the policy that it serves under
	Agree                     // a proxy can serve under Number
	Refuse                    // it can't, for Reason
	Held                      // it holds what comes, until it hears how Round ended
	Bye                       // it takes no more requests and ends
	Welcome                   // a planner: it is Member, and starts with Number
	Wait                      // it can't join now, for Reason
	Gone                      // it is no member any more: what it holds of the tier is void
	Granted                   // its lease runs for Lease since it asked with Seq
	Offer                     // a change to Number is asked of it
	Hold                      // it is to hold what comes
	Facts                     // Number is in force, all rounds up to Round are over
	Elsewhere                 // this planner doesn't lead
	Members                   // the tier's members are Seats as of Version, for who told an Address or a Zone
)

// Message is one between a proxy and a planner.
type Message struct {
	Kind   Kind   `cbor:"1,keyasint"`
	Name   string `cbor:"2,keyasint,omitempty"`
	Nonce  uint64 `cbor:"3,keyasint,omitempty"`
	Member Member `cbor:"4,keyasint,omitempty"`
	Seq    uint64 `cbor:"5,keyasint,omitempty"`
	Number Number `cbor:"6,keyasint,omitempty"`
	Round  Round  `cbor:"7,keyasint,omitempty"`
	Policy []byte `cbor:"8,keyasint,omitempty"`
	Reason string `cbor:"9,keyasint,omitempty"`
	// Lease is what the proxy goes by, with Hello: where the planners go by another, it must not join. With Granted, how long the lease is; 0, of
	// an earlier version, = as long as that. With Wait, what is left of the other's, at the most.
	Lease time.Duration `cbor:"10,keyasint,omitempty"`
	// Address is where other proxies reach this one, with Hello; empty = they don't, and it is told of no members.
	Address string `cbor:"11,keyasint,omitempty"`
	Version uint64 `cbor:"12,keyasint,omitempty"` // of the members, as the proxy knows them with Renew, as they are with Granted and Members
	Seats   []Seat `cbor:"13,keyasint,omitempty"`
	Past    []View `cbor:"14,keyasint,omitempty"`
	// Zone is where the proxy runs, with Hello, if it shares health checks with the others; it is told of them then.
	Zone string `cbor:"15,keyasint,omitempty"`
}

// Act says what a command does.
type Act uint8

// The commands of the planners' log.
const (
	Join    Act = iota + 1 // Name, Nonce
	Leave                  // Member, Round: the leader's term
	Propose                // Policy, Why, Nonce: the operator's own for this change, so that asking twice makes one
	GiveUp                 // Number, Round: the highest begun, Reason
	Force                  // Number, Round, Members: the tier that all of that round agree for
	Release                // Round: it and all before are over
)

// Command is an entry of the planners' log.
type Command struct {
	Act     Act    `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint,omitempty"`
	Nonce   uint64 `cbor:"3,keyasint,omitempty"`
	Member  Member `cbor:"4,keyasint,omitempty"`
	Number  Number `cbor:"5,keyasint,omitempty"`
	Round   Round  `cbor:"6,keyasint,omitempty"`
	Members uint64 `cbor:"7,keyasint,omitempty"`
	Policy  []byte `cbor:"8,keyasint,omitempty"`
	Why     string `cbor:"9,keyasint,omitempty"`
	Reason  string `cbor:"10,keyasint,omitempty"`
	At      int64  `cbor:"11,keyasint,omitempty"` // Unix milliseconds, for the history alone
	// Lease is what the leader goes by, with Release. Planners that go by another can't lead.
	Lease time.Duration `cbor:"12,keyasint,omitempty"`
	Hash  string        `cbor:"13,keyasint,omitempty"` // of Policy, with Propose
	// Address and Zone are a member's, with Join.
	Address string `cbor:"14,keyasint,omitempty"`
	Zone    string `cbor:"15,keyasint,omitempty"`
}
