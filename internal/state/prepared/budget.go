package prepared

import "fmt"

// Budget bounds what all clients' prepared statements take together. It is not safe for concurrent use.
type Budget struct {
	limit int
	used  int
}

// NewBudget makes one of so many bytes.
func NewBudget(most int) *Budget { return &Budget{limit: most} }

// overText is what a statement takes beside its text, in bytes.
const statementOverhead = 300

// Share is one client's part of a room. A text that many have prepared is counted with each, though there may be one copy.
type Share struct {
	budget                  *Budget
	maxStatements, maxBytes int // of statements, and of their bytes
	statements, used        int
}

// NewShare makes a client's part, for so many statements and bytes at most.
func (r *Budget) NewShare(statements, bytes int) Share {
	return Share{budget: r, maxStatements: statements, maxBytes: bytes}
}

// CheckFits tells why another statement can't be taken; nil = it can.
func (s *Share) CheckFits(text string) error {
	size := len(text) + statementOverhead
	switch {
	case s.statements >= s.maxStatements:
		return fmt.Errorf("%d statements are prepared on this connection, which is all that it may", s.statements)
	case s.used+size > s.maxBytes:
		return fmt.Errorf("no room for another prepared statement: those of this connection hold %d of %d KiB; close some", s.used>>10, s.maxBytes>>10)
	case s.budget.used+size > s.budget.limit:
		return fmt.Errorf("no room for another prepared statement: those of all connections hold %d of %d KiB", s.budget.used>>10, s.budget.limit>>10)
	}
	return nil
}

// Add counts a statement, Drop no longer.
func (s *Share) Add(text string) { s.adjust(text, 1) }

// Remove ends what Take began.
func (s *Share) Remove(text string) { s.adjust(text, -1) }

func (s *Share) adjust(text string, n int) {
	size := n * (len(text) + statementOverhead)
	s.statements, s.used, s.budget.used = s.statements+n, s.used+size, s.budget.used+size
}

// Used tells how many bytes a client's statements take.
func (s *Share) Used() int { return s.used }
