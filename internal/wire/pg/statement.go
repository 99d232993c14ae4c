package pg

import (
	"strconv"
	"time"

	"havenproxy/internal/wire/routing"
)

// Statement is the text of a statement and the routing hints from the comment at its end.
type Statement struct {
	Text string
	routing.Hints
}

// ErrStatement is returned for a statement that can't be routed.
var ErrStatement = routing.ErrStatement

// ParseStatement parses a statement such as
//
//	SELECT val FROM state WHERE uid = 'KEY' /* id=9b1f03aa,c=basket,d=480,cluster=2,after=1767225600123 */
//
// It returns ErrStatement unless ID, class, timeout, group and the quoted session key are given. Parameters are not
// allowed. The text is kept unchanged.
func ParseStatement(text string) (Statement, error) {
	hints, err := routing.Parse(text)
	if err == nil && (hints.ID == "" || hints.Class == "" || hints.TimeoutEnd == 0 || !hints.HasGroup || hints.Session == 0 || len(hints.ParamRefs) > 0) {
		err = ErrStatement
	}
	return Statement{text, hints}, err
}

// Size returns the length of the text in bytes.
func (s *Statement) Size() int { return len(s.Text) }

// AppendTo appends the statement as a Query for a database that may take up to timeout. Only the value of d is
// replaced; it is rounded down, but not below 1 ms, so that the database does no work after the client has stopped
// waiting.
func (s *Statement) AppendTo(dst []byte, timeout time.Duration) []byte {
	dst, lengthAt := begin(dst, TypeQuery)
	dst = append(dst, s.Text[:s.TimeoutStart]...)
	dst = strconv.AppendInt(dst, max(int64(timeout/time.Millisecond), 1), 10)
	return finish(cstring(dst, s.Text[s.TimeoutEnd:]), lengthAt)
}
