// Package admin encodes and decodes what a proxy exchanges with operators' tools: HTTP/1.1 with one request per
// connection, and metrics as StatsD lines. It handles bytes only and does not carry out requests.
package admin

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxHeaderBytes is the maximum length of a request's header section in bytes.
const MaxHeaderBytes = 8 << 10

// maxLineParts is the number of parts of a request line: method, target and version.
const maxLineParts = 3

// The errors that Next returns. Their texts are sent to clients.
var (
	ErrMalformed = errors.New("admin: not an HTTP/1.1 call")
	ErrTooLong   = errors.New("admin: a head of over 8 KiB")
)

// Request is an HTTP request. Path has no query string.
type Request struct{ Method, Path string }

// Next parses the header section of a request; false means that it is incomplete. A body is ignored.
func Next(buf []byte) (Request, bool, error) {
	headerEnd := bytes.Index(buf, []byte("\r\n\r\n"))
	line, _, found := bytes.Cut(buf, []byte("\r\n"))
	if found || len(buf) > MaxHeaderBytes {
		parts := bytes.SplitN(line, []byte(" "), maxLineParts+1)
		if !found || len(parts) != maxLineParts || len(parts[0]) == 0 || len(parts[1]) == 0 || parts[1][0] != '/' || !bytes.HasPrefix(parts[2], []byte("HTTP/1.")) {
			return Request{}, false, ErrMalformed
		}
		if headerEnd < 0 {
			if len(buf) > MaxHeaderBytes {
				return Request{}, false, ErrTooLong
			}
			return Request{}, false, nil
		}
		path, _, _ := bytes.Cut(parts[1], []byte("?"))
		return Request{string(parts[0]), string(path)}, true, nil
	}
	return Request{}, false, nil
}

// The HTTP status codes of responses.
const (
	OK               = 200
	BadRequest       = 400
	NotFound         = 404
	MethodNotAllowed = 405
	Unavailable      = 503
)

var statusTexts = map[int]string{OK: "OK", BadRequest: "Bad Request", NotFound: "Not Found", MethodNotAllowed: "Method Not Allowed",
	Unavailable: "Service Unavailable"}

// AppendResponse appends a response after which the connection is closed.
func AppendResponse(dst []byte, status int, body []byte) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, statusTexts[status]...)
	dst = append(dst, "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	return append(append(dst, "\r\n\r\n"...), body...)
}

// AppendCounter appends a StatsD counter. The parts of its name are joined by dots.
func AppendCounter(dst []byte, value uint64, name ...string) []byte {
	return appendMetric(dst, value, "|c\n", name)
}

// AppendGauge appends a StatsD gauge. The parts of its name are joined by dots.
func AppendGauge(dst []byte, value uint64, name ...string) []byte {
	return appendMetric(dst, value, "|g\n", name)
}

func appendMetric(dst []byte, value uint64, kind string, name []string) []byte {
	dst = append(dst, "proxy"...)
	for _, part := range name {
		dst = append(dst, '.')
		for _, c := range []byte(part) { // replaces characters that separate names, parts and values
			if c <= ' ' || c == ':' || c == '|' || c == '.' || c == '@' || c == '#' {
				c = '_'
			}
			dst = append(dst, c)
		}
	}
	dst = append(dst, ':')
	return append(strconv.AppendUint(dst, value, 10), kind...)
}
