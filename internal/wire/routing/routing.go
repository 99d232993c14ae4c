// Package routing reads what a statement says of itself: its class, its group, how long its client waits, its key. The
// words stand in the comment at the statement's end, whatever protocol brought it:
//
//	SELECT val FROM state WHERE uid = 'KEY' /* id=9b1f03aa,c=basket,d=480,cluster=2,after=1767225600123 */
//
// A statement that is prepared once and executed often has a fixed text: there a word may name a parameter, k=?2, and
// its value is that of each execution. Names and values may also come beside the statement, as query attributes.
package routing

import (
	"errors"
	"hash/fnv"
	"strconv"
	"strings"
	"time"
)

// ErrStatement tells of a query that is no routable statement.
var ErrStatement = errors.New("not a statement with a routing comment")

// Hints is what a statement says of itself.
type Hints struct {
	ID      string
	Class   string
	Key     string        // the idempotency key
	Wait    time.Duration // how long the client waits, counted from its sending; Waits tells whether it said so
	Waits   bool
	Group   int
	Grouped bool  // it named a group
	After   int64 // Unix milliseconds of the session's last commit; 0 = none
	Retry   bool
	Session uint64 // never 0 once a key was found

	Refs            []Ref // words whose values are parameters
	WaitAt, WaitEnd int   // where Wait's number stands in the text; 0 = nowhere
}

// Ref is a word whose value is a parameter of the statement.
type Ref struct {
	Word  string
	Param int // counted from 0
}

// maxWait bounds how long a client may say that it waits.
const maxWait = 24 * time.Hour

// Parse reads a statement's comment. Words that it doesn't know are passed over. A statement without a comment at its end
// is an error; what must stand in one is the caller's to say.
func Parse(text string) (Hints, error) {
	var h Hints
	from, to := strings.LastIndex(text, "/*"), strings.LastIndex(text, "*/")
	if from < 0 || to < from+2 || strings.Trim(text[to+2:], " \t\r\n;") != "" {
		return h, ErrStatement
	}
	if key, ok := quoted(text[:from]); ok {
		h.Session = SessionOf(key)
	}
	for at := from + 2; at < to; {
		end := at + strings.IndexByte(text[at:to]+",", ',')
		word, value, _ := strings.Cut(strings.TrimSpace(text[at:end]), "=")
		if n, isParam := param(value); isParam {
			h.Refs = append(h.Refs, Ref{word, n})
		} else if err := h.Set(word, value); err != nil {
			return h, err
		} else if word == "d" {
			h.WaitAt = at + strings.Index(text[at:end], "=") + 1
			h.WaitEnd = h.WaitAt + len(value)
		}
		at = end + 1
	}
	return h, nil
}

// param reads "?2", the second parameter.
func param(value string) (int, bool) {
	if len(value) < 2 || value[0] != '?' {
		return 0, false
	}
	n, err := strconv.ParseUint(value[1:], 10, 16)
	return int(n) - 1, err == nil && n > 0
}

// Set takes one word with its value, from a comment, a parameter or an attribute.
func (h *Hints) Set(word, value string) (err error) {
	switch word {
	case "id":
		h.ID = value
	case "c":
		h.Class = value
	case "k":
		h.Key = value
	case "d":
		var ms int64
		ms, err = strconv.ParseInt(value, 10, 64)
		// 0 is what a client writes that has less than a millisecond left; it is owed an answer all the same.
		if err != nil || ms < 0 || ms > int64(maxWait/time.Millisecond) {
			return ErrStatement
		}
		h.Wait, h.Waits = time.Duration(ms)*time.Millisecond, true
	case "cluster":
		h.Group, err = strconv.Atoi(value)
		h.Grouped = true
	case "after":
		h.After, err = strconv.ParseInt(value, 10, 64)
	case "r":
		h.Retry = value == "1"
	case "session":
		h.Session = SessionOf(value)
	}
	if err != nil {
		return ErrStatement
	}
	return nil
}

// Resolve takes the words that are parameters, by the values of one execution.
func (h *Hints) Resolve(value func(param int) (string, bool)) error {
	for _, r := range h.Refs {
		v, ok := value(r.Param)
		if !ok {
			return ErrStatement
		}
		if err := h.Set(r.Word, v); err != nil {
			return err
		}
	}
	return nil
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

// SessionOf makes a number of a key, never 0: 16 hexadecimal digits are one already.
func SessionOf(key string) uint64 {
	if n, err := strconv.ParseUint(key, 16, 64); err == nil && n != 0 && len(key) == 16 {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	return max(h.Sum64(), 1)
}
