// Package admin is what operators' tools speak with a proxy: one HTTP/1.1 call a connection, and figures as StatsD lines. It parses and
// writes bytes; what a call does is not its business.
package admin

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxHead is how long a call's head may be, in bytes.
const MaxHead = 8 << 10

// The errors of a call that can't be read.
var (
	ErrMalformed = errors.New("admin: not an HTTP/1.1 call")
	ErrTooLong   = errors.New("admin: a head of over 8 KiB")
)

// Call is one call.
type Call struct{ Method, Path string }

// Next reads the head of a call; false = it is not there as a whole yet. What stands behind it, a body, is nobody's.
func Next(buf []byte) (Call, bool, error) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	line, _, found := bytes.Cut(buf, []byte("\r\n"))
	if found || len(buf) > MaxHead {
		parts := bytes.Split(line, []byte(" "))
		if !found || len(parts) != 3 || len(parts[0]) == 0 || len(parts[1]) == 0 || parts[1][0] != '/' || !bytes.HasPrefix(parts[2], []byte("HTTP/1.")) {
			return Call{}, false, ErrMalformed
		}
		if end < 0 {
			if len(buf) > MaxHead {
				return Call{}, false, ErrTooLong
			}
			return Call{}, false, nil
		}
		path, _, _ := bytes.Cut(parts[1], []byte("?"))
		return Call{string(parts[0]), string(path)}, true, nil
	}
	return Call{}, false, nil
}

// The statuses of answers.
const (
	OK               = 200
	BadRequest       = 400
	NotFound         = 404
	MethodNotAllowed = 405
	Unavailable      = 503
)

var reasons = map[int]string{OK: "OK", BadRequest: "Bad Request", NotFound: "Not Found", MethodNotAllowed: "Method Not Allowed",
	Unavailable: "Service Unavailable"}

// AppendAnswer writes an answer, the connection's last words.
func AppendAnswer(dst []byte, status int, body []byte) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasons[status]...)
	dst = append(dst, "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	return append(append(dst, "\r\n\r\n"...), body...)
}

// AppendCounter writes a figure that only grows, AppendGauge one that is as it is now. The name's parts are joined by dots.
func AppendCounter(dst []byte, value uint64, name ...string) []byte {
	return figure(dst, value, "|c\n", name)
}

// AppendGauge is as AppendCounter says.
func AppendGauge(dst []byte, value uint64, name ...string) []byte {
	return figure(dst, value, "|g\n", name)
}

func figure(dst []byte, value uint64, kind string, name []string) []byte {
	dst = append(dst, "proxy"...)
	for _, part := range name {
		dst = append(dst, '.')
		for _, c := range []byte(part) { // what would end the name, or begin another part
			if c <= ' ' || c == ':' || c == '|' || c == '.' || c == '@' || c == '#' {
				c = '_'
			}
			dst = append(dst, c)
		}
	}
	dst = append(dst, ':')
	return append(strconv.AppendUint(dst, value, 10), kind...)
}
