package prepared

import "fmt"

// Budget limits the memory of all clients' prepared statements. It is not safe for concurrent use.
type Budget struct {
	limit int
	used  int
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// statementOverhead is the memory of a statement in addition to its text, in bytes.
const statementOverhead = 300

// Share is one client's share of a budget. A text that several clients have prepared counts for each of them, even if
// they share one copy.
type Share struct {
	budget                  *Budget
	maxStatements, maxBytes int // limits on statements and on their bytes
	statements, used        int
}

// NewShare returns a client's share, limited to the given numbers of statements and bytes.
func (b *Budget) NewShare(statements, bytes int) Share {
	return Share{budget: b, maxStatements: statements, maxBytes: bytes}
}

// CheckFits returns nil if another statement may be added, or else an error with the limit that it would exceed.
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

// Add counts a statement. The caller must have checked it with CheckFits.
func (s *Share) Add(text string) { s.adjust(text, 1) }

// Remove stops counting a statement that was added.
func (s *Share) Remove(text string) { s.adjust(text, -1) }

func (s *Share) adjust(text string, n int) {
	size := n * (len(text) + statementOverhead)
	s.statements, s.used, s.budget.used = s.statements+n, s.used+size, s.budget.used+size
}

// Used returns the number of bytes that the client's statements take.
func (s *Share) Used() int { return s.used }
