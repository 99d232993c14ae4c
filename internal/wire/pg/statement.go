package pg

import (
	"strconv"
	"time"

	"havenproxy/internal/wire/routing"
)

// Statement is one request: its text and what the comment at its end says of it.
type Statement struct {
	Text string
	routing.Hints
}

// ErrStatement tells of a query that is no routable statement.
var ErrStatement = routing.ErrStatement

// ParseStatement reads a statement such as
//
//	SELECT val FROM state WHERE uid = 'KEY' /* id=9b1f03aa,c=basket,d=480,cluster=2,after=1767225600123 */
//
// Id, class, time, group and the quoted key must be there. The text is kept as it came.
func ParseStatement(text string) (Statement, error) {
	h, err := routing.Parse(text)
	if err == nil && (h.ID == "" || h.Class == "" || h.WaitEnd == 0 || !h.Grouped || h.Session == 0 || len(h.Refs) > 0) {
		err = ErrStatement
	}
	return Statement{text, h}, err
}

// Size is how many bytes it holds.
func (s *Statement) Size() int { return len(s.Text) }

// AppendTo writes the statement for a database that has so long to answer. Only the number of d is changed; it
// is rounded down, so that the database never works on what nobody waits for.
func (s *Statement) AppendTo(dst []byte, wait time.Duration) []byte {
	dst, at := begin(dst, TypeQuery)
	dst = append(dst, s.Text[:s.WaitAt]...)
	dst = strconv.AppendInt(dst, max(int64(wait/time.Millisecond), 1), 10)
	return end(cstring(dst, s.Text[s.WaitEnd:]), at)
}
