package prepared

import "fmt"

// Budget bounds what all clients' prepared statements take together. It is not safe for concurrent use.
type Budget struct {
	most int
	used int
}

// NewBudget makes one of so many bytes.
func NewBudget(most int) *Budget { return &Budget{most: most} }

// overText is what a statement takes beside its text, in bytes.
const overText = 300

// Share is one client's part of a room. A text that many have prepared is counted with each, though there may be one copy.
type Share struct {
	room        *Budget
	most, bytes int // of statements, and of their bytes
	n, used     int
}

// NewShare makes a client's part, for so many statements and bytes at most.
func (r *Budget) NewShare(statements, bytes int) Share {
	return Share{room: r, most: statements, bytes: bytes}
}

// CheckFits tells why another statement can't be taken; nil = it can.
func (s *Share) CheckFits(text string) error {
	size := len(text) + overText
	switch {
	case s.n >= s.most:
		return fmt.Errorf("%d statements are prepared on this connection, which is all that it may", s.n)
	case s.used+size > s.bytes:
		return fmt.Errorf("no room for another prepared statement: those of this connection hold %d of %d KiB; close some", s.used>>10, s.bytes>>10)
	case s.room.used+size > s.room.most:
		return fmt.Errorf("no room for another prepared statement: those of all connections hold %d of %d KiB", s.room.used>>10, s.room.most>>10)
	}
	return nil
}

// Add counts a statement, Drop no longer.
func (s *Share) Add(text string) { s.count(text, 1) }

// Remove ends what Take began.
func (s *Share) Remove(text string) { s.count(text, -1) }

func (s *Share) count(text string, n int) {
	size := n * (len(text) + overText)
	s.n, s.used, s.room.used = s.n+n, s.used+size, s.room.used+size
}

// Used tells how many bytes a client's statements take.
func (s *Share) Used() int { return s.used }
