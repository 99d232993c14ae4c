package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Outcome is the result of a change.
type Outcome uint8

// The outcomes.
const (
	Undecided Outcome = iota
	InForce           // committed; a later change may have replaced it
	Aborted
)

// String returns the outcome in lower-case words, as operators read it.
func (o Outcome) String() string { return [...]string{"undecided", "in force", "given up"}[o] }

// Change is a change of policy that was proposed.
type Change struct {
	Number     Number  `cbor:"1,keyasint"`
	Nonce      uint64  `cbor:"2,keyasint,omitempty"`
	Policy     []byte  `cbor:"3,keyasint,omitempty"` // nil once the history has dropped it
	Comment    string  `cbor:"4,keyasint,omitempty"`
	Outcome    Outcome `cbor:"5,keyasint,omitempty"`
	Reason     string  `cbor:"6,keyasint,omitempty"` // of an abort
	ProposedAt int64   `cbor:"7,keyasint,omitempty"` // Unix milliseconds
	EndedAt    int64   `cbor:"8,keyasint,omitempty"` // Unix milliseconds
	Hash       string  `cbor:"9,keyasint,omitempty"` // of the policy, as the proposer computed it
}

// MemberEntry is the entry of a member in the tier's membership.
type MemberEntry struct {
	Member  Member `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Nonce   uint64 `cbor:"3,keyasint,omitempty"`
	Address string `cbor:"4,keyasint,omitempty"` // where other proxies reach it; empty = they can't
	Zone    string `cbor:"5,keyasint,omitempty"` // where it runs, if it shares health checks; empty = it doesn't
}

// State is the replicated state machine of the planners. It depends on the log's commands only, so that all planners hold the same.
type State struct {
	InForce        Number        `cbor:"1,keyasint,omitempty"` // the policy in force; 0 = the one in each proxy's configuration
	Changes        []Change      `cbor:"2,keyasint,omitempty"` // the latest ones, the newest at the end
	LastNumber     Number        `cbor:"3,keyasint,omitempty"` // the highest that was given to a change
	Members        []MemberEntry `cbor:"4,keyasint,omitempty"` // sorted by Member
	LastMember     Member        `cbor:"5,keyasint,omitempty"` // the highest that was given to a proxy
	MembersVersion uint64        `cbor:"6,keyasint,omitempty"` // grows with each change of Members
	ReleasedRound  Round         `cbor:"7,keyasint,omitempty"` // this round and all earlier ones have ended
	LeaseSet       bool          `cbor:"8,keyasint,omitempty"` // some planner has led, and Lease is set
	Lease          time.Duration `cbor:"9,keyasint,omitempty"` // the configured lease of the whole tier; 0 = there are no leases

	// Planners holds the addresses of planners that have replaced others, by their number in the cluster.
	Planners map[uint64]string `cbor:"10,keyasint,omitempty"`

	DisabledGuards Guards `cbor:"-"` // for mutation tests only
}

const (
	// MaxPolicyBytes bounds the text of one policy.
	MaxPolicyBytes = 128 << 10
	// maxHistoryBytes bounds the policy texts of older changes that are neither in force nor the newest, so that the whole state fits
	// into one frame between planners. Beyond it the history keeps a change without its text.
	maxHistoryBytes = 384 << 10
	// maxChanges bounds the history. The change in force is never dropped.
	maxChanges = 64
)

// Pending returns the change that is undecided; nil if there is none.
func (s *State) Pending() *Change {
	if n := len(s.Changes); n > 0 && s.Changes[n-1].Outcome == Undecided {
		return &s.Changes[n-1]
	}
	return nil
}

// Change returns a change by its number; nil if the history does not hold it.
func (s *State) Change(number Number) *Change {
	for i := range s.Changes {
		if s.Changes[i].Number == number {
			return &s.Changes[i]
		}
	}
	return nil
}

// Entry returns the entry of a member; nil if it is not a member.
func (s *State) Entry(member Member) *MemberEntry {
	byMember := func(entry MemberEntry, member Member) int { return cmp.Compare(entry.Member, member) }
	if i, ok := slices.BinarySearchFunc(s.Members, member, byMember); ok {
		return &s.Members[i]
	}
	return nil
}

// needsMembers reports whether the member is to receive the membership entries.
func (e *MemberEntry) needsMembers() bool { return e.Address != "" || e.Zone != "" }

// WithoutPolicies returns a copy without the policy texts, except that of the change with number except.
func (s *State) WithoutPolicies(except Number) *State {
	c := s.Clone()
	for i := range c.Changes {
		if c.Changes[i].Number != except {
			c.Changes[i].Policy = nil
		}
	}
	return c
}

// Clone returns a copy that shares no mutable data with s.
func (s *State) Clone() *State {
	c := *s
	c.Changes, c.Members, c.Planners = slices.Clone(s.Changes), slices.Clone(s.Members), maps.Clone(s.Planners)
	return &c
}
