package pg

import (
	"errors"
	"hash/fnv"
	"strconv"
	"strings"
	"time"
)

// Statement is one request: its text and what the comment at its end says of it.
type Statement struct {
	Text    string
	ID      string
	Session uint64 // from the quoted key; never 0
	Class   string
	Wait    time.Duration // how long the client waits, counted from its sending
	Group   int
	After   int64 // Unix milliseconds of the session's last commit; 0 = none
	Retry   bool

	waitAt, waitEnd int // where Wait's number stands in Text
}

// ErrStatement tells of a query that is no routable statement.
var ErrStatement = errors.New("not a statement with a routing comment")

// ParseStatement reads a statement such as
//
//	SELECT val FROM state WHERE uid = 'KEY' /* id=9b1f03aa,c=basket,d=480,cluster=2,after=1767225600123 */
//
// Names that it doesn't know are passed over. The text is kept as it came.
func ParseStatement(text string) (Statement, error) {
	s := Statement{Text: text}
	from, to := strings.LastIndex(text, "/*"), strings.LastIndex(text, "*/")
	if from < 0 || to < from+2 || strings.Trim(text[to+2:], " \t\r\n;") != "" {
		return s, ErrStatement
	}
	key, ok := quoted(text[:from])
	if !ok {
		return s, ErrStatement
	}
	s.Session = sessionOf(key)
	grouped := false
	for at := from + 2; at < to; {
		end := at + strings.IndexByte(text[at:to]+",", ',')
		name, value, _ := strings.Cut(strings.TrimSpace(text[at:end]), "=")
		var err error
		switch name {
		case "id":
			s.ID = value
		case "c":
			s.Class = value
		case "d":
			var ms int64
			ms, err = strconv.ParseInt(value, 10, 64)
			// 0 is what a client writes that has less than a millisecond left; it is owed an answer all the same.
			if ms < 0 || ms > int64(24*time.Hour/time.Millisecond) {
				return s, ErrStatement
			}
			s.Wait = time.Duration(ms) * time.Millisecond
			s.waitAt = at + strings.Index(text[at:end], value)
			s.waitEnd = s.waitAt + len(value)
		case "cluster":
			s.Group, err = strconv.Atoi(value)
			grouped = true
		case "after":
			s.After, err = strconv.ParseInt(value, 10, 64)
		case "r":
			s.Retry = value == "1"
		}
		if err != nil {
			return s, ErrStatement
		}
		at = end + 1
	}
	if s.ID == "" || s.Class == "" || s.waitEnd == 0 || !grouped {
		return s, ErrStatement
	}
	return s, nil
}

// quoted gives the first quoted text of a statement.
func quoted(text string) (string, bool) {
	_, rest, ok := strings.Cut(text, "'")
	if !ok {
		return "", false
	}
	key, _, ok := strings.Cut(rest, "'")
	return key, ok
}

// sessionOf makes a number of a key: 16 hexadecimal digits are one already.
func sessionOf(key string) uint64 {
	if n, err := strconv.ParseUint(key, 16, 64); err == nil && n != 0 && len(key) == 16 {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	return max(h.Sum64(), 1)
}

// AppendTo writes the statement for a database that has so long to answer. Only the number of d is changed; it
// is rounded down, so that the database never works on what nobody waits for.
func (s *Statement) AppendTo(dst []byte, wait time.Duration) []byte {
	dst, at := begin(dst, TypeQuery)
	dst = append(dst, s.Text[:s.waitAt]...)
	dst = strconv.AppendInt(dst, max(int64(wait/time.Millisecond), 1), 10)
	return end(cstring(dst, s.Text[s.waitEnd:]), at)
}
