package rollout

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// The reasons why a command has no effect. State.Apply wraps them with the name, number or round in question.
var (
	ErrNameTaken      = errors.New("is a member already")
	ErrStaleTerm      = errors.New("a later planner leads")
	ErrUndecided      = errors.New("is undecided")
	ErrNotPending     = errors.New("is not undecided")
	ErrRoundEnded     = errors.New("is over")
	ErrMembersChanged = errors.New("the tier has changed")
)

// PolicyTooLargeError is returned for a policy of more than MaxPolicyBytes.
type PolicyTooLargeError struct{ Bytes int }

// Error implements error.
func (e PolicyTooLargeError) Error() string {
	return fmt.Sprintf("a policy of %d bytes, %d at most were expected", e.Bytes, MaxPolicyBytes)
}

// LeaseMismatchError is returned to a planner whose configured lease differs from the tier's. It can't lead: it might regard leases as
// expired too early.
type LeaseMismatchError struct{ Tier, Planner time.Duration }

// Error implements error.
func (e LeaseMismatchError) Error() string {
	return fmt.Sprintf("the tier goes by a lease of %v, this planner by %v", e.Tier, e.Planner)
}

// Apply executes a command of the log. The error, the same at all planners, is the reason why the command has no effect.
func (s *State) Apply(c Command) error {
	switch c.Kind {
	case Join:
		return s.applyJoin(c)
	case Leave:
		return s.applyLeave(c)
	case Propose:
		return s.applyPropose(c)
	case Abort:
		return s.applyAbort(c)
	case Commit:
		return s.applyCommit(c)
	case Release:
		return s.applyRelease(c)
	}
	return nil
}

func (s *State) applyJoin(c Command) error {
	for _, entry := range s.Members {
		switch {
		case entry.Name == c.Name && entry.Nonce == c.Nonce:
			return nil // a duplicate
		case entry.Name == c.Name:
			return fmt.Errorf("%s %w", c.Name, ErrNameTaken)
		}
	}
	s.LastMember++
	s.MembersVersion++
	s.Members = append(s.Members, MemberEntry{Member: s.LastMember, Name: c.Name, Nonce: c.Nonce, Address: c.Address, Zone: c.Zone})
	return nil
}

func (s *State) applyLeave(c Command) error {
	// Fence against an earlier leader: a later one may have granted a lease to the member.
	if c.Round.Term < s.ReleasedRound.Term && !s.DisabledGuards.Has(NoTermCheck) {
		return ErrStaleTerm
	}
	before := len(s.Members)
	s.Members = slices.DeleteFunc(slices.Clone(s.Members), func(entry MemberEntry) bool { return entry.Member == c.Member })
	if len(s.Members) < before {
		s.MembersVersion++
	}
	return nil
}

func (s *State) applyPropose(c Command) error {
	if slices.ContainsFunc(s.Changes, func(change Change) bool { return change.Nonce == c.Nonce }) {
		return nil // a duplicate
	}
	if pending := s.Pending(); pending != nil {
		return fmt.Errorf("change %d %w", pending.Number, ErrUndecided)
	}
	if len(c.Policy) > MaxPolicyBytes {
		return PolicyTooLargeError{Bytes: len(c.Policy)}
	}
	s.LastNumber++
	change := Change{Number: s.LastNumber, Nonce: c.Nonce, Policy: c.Policy, Comment: c.Comment, ProposedAt: c.Time, Hash: c.Hash}
	s.Changes = append(slices.Clone(s.Changes), change)
	s.trimHistory()
	return nil
}

// trimHistory bounds the history: first its changes, then the policy texts, the oldest first.
func (s *State) trimHistory() {
	for len(s.Changes) > maxChanges {
		oldest := 0
		if s.Changes[0].Number == s.InForce {
			oldest = 1
		}
		s.Changes = slices.Delete(s.Changes, oldest, oldest+1)
	}
	left := maxHistoryBytes
	for i := len(s.Changes) - 2; i >= 0; i-- {
		change := &s.Changes[i]
		if change.Number == s.InForce {
			continue
		}
		left -= len(change.Policy)
		if left < 0 {
			change.Policy = nil
		}
	}
}

func (s *State) applyAbort(c Command) error {
	pending, err := s.pendingChange(c.Number)
	if err != nil {
		return err
	}
	if c.Round.Term < s.ReleasedRound.Term { // an earlier leader may not know the round that is open
		return ErrStaleTerm
	}
	pending.Outcome, pending.Reason, pending.EndedAt = Aborted, c.Reason, c.Time
	s.releaseRound(c.Round)
	return nil
}

func (s *State) applyCommit(c Command) error {
	pending, err := s.pendingChange(c.Number)
	if err != nil {
		return err
	}
	// Fence against an earlier leader, and against a round that was released: its members may no longer hold.
	if !s.ReleasedRound.Before(c.Round) && !s.DisabledGuards.Has(NoTermCheck) {
		return fmt.Errorf("round %v %w", c.Round, ErrRoundEnded)
	}
	// Fence against a member that joined after all others had agreed.
	if s.MembersVersion != c.MembersVersion && !s.DisabledGuards.Has(NoMembersCheck) {
		return ErrMembersChanged
	}
	pending.Outcome, pending.EndedAt = InForce, c.Time
	s.InForce = pending.Number
	s.releaseRound(c.Round)
	return nil
}

func (s *State) applyRelease(c Command) error {
	// Fence against a planner that would regard leases as expired too early.
	if s.LeaseSet && s.Lease != c.Lease {
		return LeaseMismatchError{Tier: s.Lease, Planner: c.Lease}
	}
	s.LeaseSet, s.Lease = true, c.Lease
	s.releaseRound(c.Round)
	return nil
}

// pendingChange returns the undecided change if it has that number.
func (s *State) pendingChange(number Number) (*Change, error) {
	pending := s.Pending()
	if pending == nil || pending.Number != number {
		return nil, fmt.Errorf("change %d %w", number, ErrNotPending)
	}
	return pending, nil
}

func (s *State) releaseRound(round Round) {
	if s.ReleasedRound.Before(round) {
		s.ReleasedRound = round
	}
}
