package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Outcome is what became of a change.
type Outcome uint8

// The outcomes.
const (
	Undecided Outcome = iota
	InForce
	GivenUp
)

// String returns the outcome in lower-case words.
func (o Outcome) String() string { return [...]string{"undecided", "in force", "given up"}[o] }

// Change is one that was proposed.
type Change struct {
	Number  Number  `cbor:"1,keyasint"`
	Nonce   uint64  `cbor:"2,keyasint,omitempty"`
	Policy  []byte  `cbor:"3,keyasint,omitempty"`
	Why     string  `cbor:"4,keyasint,omitempty"`
	Outcome Outcome `cbor:"5,keyasint,omitempty"`
	Reason  string  `cbor:"6,keyasint,omitempty"`
	At      int64   `cbor:"7,keyasint,omitempty"` // Unix milliseconds
	Ended   int64   `cbor:"8,keyasint,omitempty"`
	Hash    string  `cbor:"9,keyasint,omitempty"` // of the policy, as who proposed it names it
}

// Seat is a member of the tier.
type Seat struct {
	Member Member `cbor:"1,keyasint"`
	Name   string `cbor:"2,keyasint"`
	Nonce  uint64 `cbor:"3,keyasint,omitempty"`
	// Address is where the others reach it; empty = they don't.
	Address string `cbor:"4,keyasint,omitempty"`
	// Zone is where it runs, if it shares health checks; empty = it does not.
	Zone string `cbor:"5,keyasint,omitempty"`
}

// State is what all planners hold alike: it comes of the log's commands and nothing else.
type State struct {
	Force    Number        `cbor:"1,keyasint,omitempty"` // the policy in force; 0 = the one that proxies begin with by themselves
	Changes  []Change      `cbor:"2,keyasint,omitempty"` // the last ones, the newest at the end
	Last     Number        `cbor:"3,keyasint,omitempty"`
	Seats    []Seat        `cbor:"4,keyasint,omitempty"` // by Member
	Joined   Member        `cbor:"5,keyasint,omitempty"` // the last
	Version  uint64        `cbor:"6,keyasint,omitempty"` // of Seats
	Released Round         `cbor:"7,keyasint,omitempty"` // this round and all before it are over
	Led      bool          `cbor:"8,keyasint,omitempty"` // some planner has, and so:
	Lease    time.Duration `cbor:"9,keyasint,omitempty"` // what all go by; 0 = there are none

	// Planners are the addresses of planners that have taken the place of others, by number. The rest are where they were at the beginning.
	Planners map[uint64]string `cbor:"10,keyasint,omitempty"`

	Without Guards `cbor:"-"` // see Config
}

const (
	keep = 64 // changes are remembered; the one in force is never forgotten
	// MostPolicy bounds a policy's text, in bytes, and textRoom those of all changes but the one in force and the newest: older ones keep their
	// line in the history, without their text. The whole state has to fit into one frame between planners.
	MostPolicy = 128 << 10
	textRoom   = 384 << 10
)

// Pending gives the change that is undecided; nil = there is none.
func (s *State) Pending() *Change {
	if n := len(s.Changes); n > 0 && s.Changes[n-1].Outcome == Undecided {
		return &s.Changes[n-1]
	}
	return nil
}

// Change gives a change by its number; nil = it isn't there, or not any more.
func (s *State) Change(n Number) *Change {
	for i := range s.Changes {
		if s.Changes[i].Number == n {
			return &s.Changes[i]
		}
	}
	return nil
}

// Seat gives a member's; nil = it is none.
func (s *State) Seat(m Member) *Seat {
	if i, ok := slices.BinarySearchFunc(s.Seats, m, func(x Seat, m Member) int { return cmp.Compare(x.Member, m) }); ok {
		return &s.Seats[i]
	}
	return nil
}

// needsMembers tells whether a member is to be told of the others.
func (s *Seat) needsMembers() bool { return s.Address != "" || s.Zone != "" }

// Short gives a copy without the texts of policies, but for that of one change.
func (s *State) Short(n Number) *State {
	c := s.Clone()
	for i := range c.Changes {
		if c.Changes[i].Number != n {
			c.Changes[i].Policy = nil
		}
	}
	return c
}

// Clone gives a copy that shares nothing that changes.
func (s *State) Clone() *State {
	c := *s
	c.Changes, c.Seats, c.Planners = slices.Clone(s.Changes), slices.Clone(s.Seats), maps.Clone(s.Planners)
	return &c
}

// Apply carries out a command of the log. The error tells why it has no effect; all planners come to the same.
func (s *State) Apply(c Command) error {
	switch c.Act {
	case Join:
		for _, x := range s.Seats {
			if x.Name == c.Name && x.Nonce == c.Nonce {
				return nil // asked twice
			}
			if x.Name == c.Name {
				return fmt.Errorf("%s is a member already", c.Name)
			}
		}
		s.Joined++
		s.Version++
		s.Seats = append(s.Seats, Seat{Member: s.Joined, Name: c.Name, Nonce: c.Nonce, Address: c.Address, Zone: c.Zone})
	case Leave:
		if c.Round.Term < s.Released.Term && !s.Without.Has(NoTermCheck) { // the fence against a leader of before: a later one may have given a lease
			return fmt.Errorf("a later planner leads")
		}
		n := len(s.Seats)
		s.Seats = slices.DeleteFunc(slices.Clone(s.Seats), func(x Seat) bool { return x.Member == c.Member })
		if len(s.Seats) < n {
			s.Version++
		}
	case Propose:
		for i := range s.Changes {
			if s.Changes[i].Nonce == c.Nonce {
				return nil
			}
		}
		if p := s.Pending(); p != nil {
			return fmt.Errorf("change %d is undecided", p.Number)
		}
		if len(c.Policy) > MostPolicy {
			return fmt.Errorf("a policy of %d bytes, %d at most were expected", len(c.Policy), MostPolicy)
		}
		s.Last++
		s.Changes = append(slices.Clone(s.Changes), Change{Number: s.Last, Nonce: c.Nonce, Policy: c.Policy, Why: c.Why, At: c.At, Hash: c.Hash})
		for len(s.Changes) > keep {
			i := 0
			if s.Changes[0].Number == s.Force {
				i = 1
			}
			s.Changes = slices.Delete(s.Changes, i, i+1)
		}
		room := textRoom
		for i := len(s.Changes) - 2; i >= 0; i-- {
			if x := &s.Changes[i]; x.Number != s.Force {
				if room -= len(x.Policy); room < 0 {
					x.Policy = nil
				}
			}
		}
	case GiveUp:
		p := s.Pending()
		if p == nil || p.Number != c.Number {
			return fmt.Errorf("change %d is not undecided", c.Number)
		}
		if c.Round.Term < s.Released.Term { // it may not know the round that is open
			return fmt.Errorf("a later planner leads")
		}
		p.Outcome, p.Reason, p.Ended = GivenUp, c.Reason, c.At
		s.release(c.Round)
	case Force:
		p := s.Pending()
		switch {
		case p == nil || p.Number != c.Number:
			return fmt.Errorf("change %d is not undecided", c.Number)
		case !s.Released.Before(c.Round) && !s.Without.Has(NoTermCheck): // the fence against a leader of before: its members may have been let go
			return fmt.Errorf("round %v is over", c.Round)
		case s.Version != c.Members && !s.Without.Has(NoTierCheck): // the fence against who has joined since all agreed
			return fmt.Errorf("the tier has changed")
		}
		p.Outcome, p.Ended = InForce, c.At
		s.Force = p.Number
		s.release(c.Round)
	case Release:
		if s.Led && s.Lease != c.Lease { // the fence against a planner that would let members go too early
			return fmt.Errorf("the tier goes by a lease of %v, this planner by %v", s.Lease, c.Lease)
		}
		s.Led, s.Lease = true, c.Lease
		s.release(c.Round)
	}
	return nil
}

func (s *State) release(r Round) {
	if s.Released.Before(r) {
		s.Released = r
	}
}
