// Package routing parses the routing hints of a statement: its class, group, timeout, session and others. Each hint is
// a name with a value. With either protocol, they are written in a comment at the end of the statement:
//
//	SELECT val FROM state WHERE uid = 'KEY' /* id=9b1f03aa,c=basket,d=480,cluster=2,after=1767225600123 */
//
// The text of a prepared statement is the same for all executions. In it, the value of a hint may refer to a
// parameter, as in k=?2, and is taken from that parameter at each execution. Hints may also be sent outside the text,
// as query attributes.
package routing

import (
	"errors"
	"hash/fnv"
	"strconv"
	"strings"
	"time"
)

// ErrStatement is returned for a statement without a valid routing comment, and for a hint with an invalid value. Its
// text is sent to clients.
var ErrStatement = errors.New("not a statement with a routing comment")

// Hints holds the routing hints of a statement.
type Hints struct {
	ID         string
	Class      string
	Key        string        // idempotency key
	Timeout    time.Duration // how long the client waits, counted from when it sent the request; valid if HasTimeout is set
	HasTimeout bool
	Group      int
	HasGroup   bool   // reports whether Group was given
	LastCommit int64  // Unix milliseconds of the session's last commit; 0 = none
	Retry      bool   // reports whether the client repeats an earlier attempt
	Session    uint64 // 0 = no session key was found

	ParamRefs                []ParamRef // hints whose values are parameters
	TimeoutStart, TimeoutEnd int        // position of the value of d in the text; 0 = d is not in the text
}

// ParamRef is a hint whose value is a parameter of the statement.
type ParamRef struct {
	Name  string
	Param int // index of the parameter, from 0
}

// MaxFields is the maximum number of fields in a comment, and of attributes beside a statement. Eleven have a meaning.
const MaxFields = 64

// maxTimeout is the longest timeout that a client may give.
const maxTimeout = 24 * time.Hour

// Parse parses the hints in a statement's comment and, for the session, the first quoted string before the comment.
// Unknown names are ignored. It returns ErrStatement if no comment ends the statement, it has more than MaxFields fields,
// or a value is invalid. Callers check which hints are required.
func Parse(text string) (Hints, error) {
	var hints Hints
	commentStart, commentEnd := strings.LastIndex(text, "/*"), strings.LastIndex(text, "*/")
	if commentStart < 0 || commentEnd < commentStart+2 || strings.Trim(text[commentEnd+2:], " \t\r\n;") != "" {
		return hints, ErrStatement
	}
	if key, ok := firstQuoted(text[:commentStart]); ok {
		hints.Session = SessionFromKey(key)
	}
	for start, fields := commentStart+2, 0; start < commentEnd; fields++ {
		if fields == MaxFields {
			return hints, ErrStatement
		}
		end := commentEnd
		if comma := strings.IndexByte(text[start:commentEnd], ','); comma >= 0 {
			end = start + comma
		}
		name, value, _ := strings.Cut(strings.TrimSpace(text[start:end]), "=")
		if index, isParam := paramIndex(value); isParam {
			hints.ParamRefs = append(hints.ParamRefs, ParamRef{name, index})
		} else if err := hints.Set(name, value); err != nil {
			return hints, err
		} else if name == "d" {
			hints.TimeoutStart = start + strings.Index(text[start:end], "=") + 1
			hints.TimeoutEnd = hints.TimeoutStart + len(value)
		}
		start = end + 1
	}
	return hints, nil
}

// paramIndex parses a parameter reference such as "?2", which has the index 1.
func paramIndex(value string) (int, bool) {
	if len(value) < 2 || value[0] != '?' {
		return 0, false
	}
	n, err := strconv.ParseUint(value[1:], 10, 16)
	return int(n) - 1, err == nil && n > 0
}

// Set sets the hint with that name, as written in a comment, from the value in a comment, a parameter or an attribute.
// Unknown names are ignored. It returns ErrStatement for an invalid value.
func (h *Hints) Set(name, value string) (err error) {
	switch name {
	case "id":
		h.ID = value
	case "c":
		h.Class = value
	case "k":
		h.Key = value
	case "d":
		var ms int64
		ms, err = strconv.ParseInt(value, 10, 64)
		// A client with less than a millisecond left sends 0 and still expects an answer.
		if err != nil || ms < 0 || ms > int64(maxTimeout/time.Millisecond) {
			return ErrStatement
		}
		h.Timeout, h.HasTimeout = time.Duration(ms)*time.Millisecond, true
	case "cluster":
		h.Group, err = strconv.Atoi(value)
		h.HasGroup = true
	case "after":
		h.LastCommit, err = strconv.ParseInt(value, 10, 64)
	case "r":
		h.Retry = value == "1"
	case "session":
		h.Session = SessionFromKey(value)
	}
	if err != nil {
		return ErrStatement
	}
	return nil
}

// Resolve sets the hints in ParamRefs from the parameters of one execution. It returns ErrStatement if a parameter has
// no value or an invalid one.
func (h *Hints) Resolve(value func(param int) (string, bool)) error {
	for _, ref := range h.ParamRefs {
		text, ok := value(ref.Param)
		if !ok {
			return ErrStatement
		}
		if err := h.Set(ref.Name, text); err != nil {
			return err
		}
	}
	return nil
}

// firstQuoted returns the first single-quoted string in a statement.
func firstQuoted(text string) (string, bool) {
	_, rest, ok := strings.Cut(text, "'")
	if !ok {
		return "", false
	}
	key, _, ok := strings.Cut(rest, "'")
	return key, ok
}

// SessionFromKey derives a session number, never 0, from a key: the value of 16 hexadecimal digits, otherwise a hash.
func SessionFromKey(key string) uint64 {
	if number, err := strconv.ParseUint(key, 16, 64); err == nil && number != 0 && len(key) == 16 {
		return number
	}
	hash := fnv.New64a()
	hash.Write([]byte(key))
	return max(hash.Sum64(), 1)
}
