package rollout

import "time"

// Number identifies a policy. Each proposed change gets a new number, whether it is committed or aborted.
type Number uint64

// Term is the term of a leading planner, as in the planners' consensus protocol.
type Term uint64

// Member identifies one start of one proxy: a proxy that restarts becomes a new member.
type Member uint64

// Round is one attempt to make all members hold. Rounds are ordered by term, then by count.
type Round struct {
	Term  Term   `cbor:"1,keyasint,omitempty"`
	Count uint64 `cbor:"2,keyasint,omitempty"`
}

// Before reports whether r is earlier than other.
func (r Round) Before(other Round) bool {
	return r.Term < other.Term || r.Term == other.Term && r.Count < other.Count
}

// Kind is the type of a Message.
type Kind uint8

// The messages. Each may be duplicated, delayed or lost.
const (
	// From a proxy to a planner.

	Hello   Kind = iota + 1 // a connection is up; Member is 0 before the proxy has joined, Nonce identifies this start
	Renew                   // request to renew the lease; Seq numbers the request, Number is the policy in use
	Agree                   // the proxy can serve under Number
	Refuse                  // it can't, for Reason
	Held                    // it holds new requests until it learns how Round ended
	Leaving                 // it admits no more requests and leaves

	// From a planner to a proxy.

	Welcome     // the proxy has joined as Member and starts with policy Number
	JoinDelayed // the proxy can't join now, for Reason
	NotMember   // the proxy is not a member any more and must discard its membership
	Granted     // the lease runs for Lease from the moment at which renewal Seq was sent
	Offer       // request to agree to Number
	Hold        // request to hold new requests for Round
	Status      // policy Number is in force, and all rounds up to Round have ended
	NotLeader   // this planner does not lead
	Members     // the membership entries as of MembersVersion, or their changes, for proxies that announced an Address or a Zone
)

// Message is a message between a proxy and a planner. Which fields are set depends on Kind.
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
	// Lease is, with Hello, the configured lease of the proxy, which must equal the planners'. With Granted it is the length of the lease;
	// 0, from planners of an earlier version, means the configured one. With JoinDelayed it bounds what is left of the lease that is waited for.
	Lease time.Duration `cbor:"10,keyasint,omitempty"`
	// Address is, with Hello, where other proxies reach this one. Empty if they can't; the proxy then receives no Members.
	Address string `cbor:"11,keyasint,omitempty"`
	// Zone is, with Hello, where this proxy runs, if it shares health checks with the others. It then receives Members.
	Zone string `cbor:"15,keyasint,omitempty"`
	// MembersVersion is, with Renew, the version that the proxy knows; with Granted and Members, the current one.
	MembersVersion uint64        `cbor:"12,keyasint,omitempty"`
	Members        []MemberEntry `cbor:"13,keyasint,omitempty"`
	PastMembers    []PastMembers `cbor:"14,keyasint,omitempty"`
	// AcceptsDelta is, with Renew, whether the proxy takes Members that hold what has changed since the version that it knows. Earlier versions
	// of the program don't.
	AcceptsDelta bool `cbor:"16,keyasint,omitempty"`
	// BaseVersion is, with Members, the version that Members and LeftMembers are to be applied to: who has joined since, and who has left.
	// 0 = Members holds all.
	BaseVersion    uint64   `cbor:"17,keyasint,omitempty"`
	RemovedMembers []Member `cbor:"18,keyasint,omitempty"`
}

// Link identifies a connection to a proxy. 0 means that there is none.
type Link uint64

// Envelope is a message with the connection that it is to be sent on.
type Envelope struct {
	Link Link
	Message
}
