// Package discovery encodes requests to the service that lists the databases, and decodes its HTTP/1.1 responses and
// JSON lists. It handles byte slices only and does no input or output of its own.
package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	maxHeaderBytes = 16 << 10
	maxBody        = 4 << 20 // enough for some thousand databases

	maxChunkHeader = 64

	statusOK = 200
)

// ErrMalformed is returned for bytes that are not a valid HTTP response of the service.
var ErrMalformed = errors.New("malformed response from discovery")

// NoGeneration takes the place of a generation if no list has been received yet. Generations start at 0.
const NoGeneration = -1

// AppendRequest appends a request to dst: for the whole list if after is NoGeneration, otherwise for what changed
// after that generation. The service holds back its response for up to wait until there is a change.
func AppendRequest(dst []byte, host string, after int64, wait time.Duration) []byte {
	dst = append(dst, "GET /v1/endpoints"...)
	if after != NoGeneration {
		dst = fmt.Appendf(dst, "?after=%d&wait_ms=%d", after, wait.Milliseconds())
	}
	return fmt.Appendf(dst, " HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", host)
}

// Response is one HTTP response.
type Response struct {
	Status int
	Body   []byte
	Close  bool // reports whether the service closes the connection after the response
}

// Parser parses responses from a growing buffer. Each call continues where the last one stopped, so that the time for
// a response in many pieces is proportional to its length.
type Parser struct {
	header  *header
	offset  int    // start of the part of the body that has not been read, in the buffer
	chunked []byte // the body decoded from chunks so far
	depth   bracketDepth
}

// header holds what the header section of a response specifies.
type header struct {
	status  int
	close   bool
	length  int // of the body; negative = not specified
	chunked bool
}

// Next parses the first response in buf with a new Parser.
func Next(buf []byte) (Response, int, error) { return new(Parser).Next(buf) }

// Next parses the first response in buf and returns the number of bytes it takes; 0 means that it is incomplete. Until
// a response is complete, buf must begin with the same bytes at each call. The body is valid until the next call.
// The only error is ErrMalformed.
func (p *Parser) Next(buf []byte) (r Response, n int, err error) {
	if p.header == nil {
		if err := p.parseHeader(buf); err != nil || p.header == nil {
			return r, 0, err
		}
	}
	r, n, err = p.parseBody(buf)
	if n > 0 || err != nil {
		*p = Parser{}
	}
	return r, n, err
}

func (p *Parser) parseBody(buf []byte) (Response, int, error) {
	h := p.header
	r := Response{Status: h.status, Close: h.close}
	switch {
	case h.chunked:
		return p.readChunks(r, buf)
	case h.status == 204 || h.status == 304:
		return r, p.offset, nil
	case h.length < 0:
		r.Close = true
		return p.readUntilClose(r, buf)
	case len(buf) < p.offset+h.length:
		return r, 0, nil
	}
	r.Body = buf[p.offset : p.offset+h.length]
	return r, p.offset + h.length, nil
}

// parseHeader parses the header section if it is complete.
func (p *Parser) parseHeader(buf []byte) error {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) > maxHeaderBytes {
			return ErrMalformed
		}
		return nil
	}
	lines := strings.Split(string(buf[:end]), "\r\n")
	status := strings.SplitN(lines[0], " ", 3)
	if end > maxHeaderBytes || len(status) < 2 || !strings.HasPrefix(status[0], "HTTP/1.") {
		return ErrMalformed
	}
	h := &header{length: -1, close: status[0] == "HTTP/1.0"}
	var err error
	if h.status, err = strconv.Atoi(status[1]); err != nil || h.status < 200 || h.status > 599 {
		return ErrMalformed
	}
	for _, line := range lines[1:] {
		if err := h.parseField(line); err != nil {
			return err
		}
	}
	p.header, p.offset = h, end+len("\r\n\r\n")
	return nil
}

// parseField parses one header field. Fields that are not used are ignored.
func (h *header) parseField(line string) (err error) {
	name, value, ok := strings.Cut(line, ":")
	if value = strings.TrimSpace(value); !ok {
		return ErrMalformed
	}
	switch strings.ToLower(name) {
	case "content-length":
		if h.length, err = strconv.Atoi(value); err != nil || h.length < 0 || h.length > maxBody {
			return ErrMalformed
		}
	case "transfer-encoding":
		h.chunked = strings.EqualFold(value, "chunked")
	case "connection":
		h.close = strings.EqualFold(value, "close")
	}
	return nil
}

// readUntilClose reads a body with neither length nor chunks, which ends with the connection (RFC 9112, section 6.3).
// A connection that is reset halfway ends it as well, so its end does not prove that the body is complete: a list is
// complete once its JSON is. The body of a response with another status is ignored.
func (p *Parser) readUntilClose(r Response, buf []byte) (Response, int, error) {
	if r.Status != statusOK {
		return r, len(buf), nil
	}
	start := p.offset
	trimmed := bytes.TrimLeft(buf[start:], " \t\r\n")
	if len(buf)-start > maxBody || len(trimmed) > 0 && trimmed[0] != '{' {
		return r, 0, ErrMalformed
	}
	p.depth.scan(buf[start:])
	if body := buf[start:]; p.depth.closed() && json.Valid(body) {
		r.Body = body
		return r, len(buf), nil
	}
	return r, 0, nil
}

// bracketDepth counts the open brackets of a growing JSON text, to detect when its object may be complete.
type bracketDepth struct {
	scanned           int // number of bytes counted so far
	depth             int
	opened            bool
	inString, escaped bool
}

// scan counts the brackets of a text from where the last call stopped; the text must begin with the same bytes at each
// call.
func (d *bracketDepth) scan(text []byte) {
	for _, c := range text[d.scanned:] {
		switch {
		case d.escaped:
			d.escaped = false
		case d.inString:
			d.escaped = c == '\\'
			d.inString = c != '"'
		case c == '"':
			d.inString = true
		case c == '{' || c == '[':
			d.depth++
			d.opened = true
		case c == '}' || c == ']':
			d.depth--
		}
	}
	d.scanned = len(text)
}

// closed reports whether the text has had a bracket and all of its brackets are closed.
func (d *bracketDepth) closed() bool { return d.opened && d.depth <= 0 }

// readChunks decodes a chunked body.
func (p *Parser) readChunks(r Response, buf []byte) (Response, int, error) {
	for {
		rest := buf[p.offset:]
		lineEnd := bytes.Index(rest, []byte("\r\n"))
		if lineEnd < 0 {
			if len(rest) > maxChunkHeader {
				return r, 0, ErrMalformed
			}
			return r, 0, nil
		}
		digits, _, _ := strings.Cut(string(rest[:lineEnd]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil || len(p.chunked)+int(size) > maxBody {
			return r, 0, ErrMalformed
		}
		start := lineEnd + 2
		end := start + int(size) + 2
		if len(rest) < end {
			return r, 0, nil
		}
		if string(rest[end-2:end]) != "\r\n" {
			return r, 0, ErrMalformed
		}
		p.offset += end
		if size == 0 {
			r.Body = p.chunked
			return r, p.offset, nil
		}
		p.chunked = append(p.chunked, rest[start:end-2]...)
	}
}
