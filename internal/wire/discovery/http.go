// Package discovery is what the service that lists the databases speaks: HTTP/1.1 and JSON. It reads and
// writes byte slices and does no input or output of its own.
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
	maxHead = 16 << 10
	maxBody = 4 << 20 // some thousand databases

	maxChunkHead = 64

	statusOK = 200
)

// ErrMalformed tells of bytes that are no HTTP answer.
var ErrMalformed = errors.New("malformed answer from discovery")

// NoList stands for the generation where there is no list yet. Generations count from 0.
const NoList = -1

// AppendRequest writes a call: of the whole list, or of what is newer than a generation, waiting so long for it.
func AppendRequest(dst []byte, host string, after int64, wait time.Duration) []byte {
	dst = append(dst, "GET /v1/endpoints"...)
	if after != NoList {
		dst = fmt.Appendf(dst, "?after=%d&wait_ms=%d", after, wait.Milliseconds())
	}
	return fmt.Appendf(dst, " HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", host)
}

// Response is one answer.
type Response struct {
	Status int
	Body   []byte
	Close  bool // the service ends the connection behind it
}

// Parser reads answers from a buffer that grows. It goes on where it has stopped, so that reading an answer that comes in many pieces takes time
// in proportion to its length.
type Parser struct {
	head    *head
	at      int    // how far the body has been read, from the start of the buffer
	chunked []byte // what its chunks have held so far
	depth   bracketDepth
}

// head is what an answer's head says.
type head struct {
	status  int
	close   bool
	length  int // of the body; negative = not told
	chunked bool
}

// Next cuts the first answer off buf, in one go.
func Next(buf []byte) (Response, int, error) { return new(Parser).Next(buf) }

// Next cuts the first answer off buf; 0 means that it isn't whole yet. Until it is, buf must begin with the same bytes at each call. The body is
// valid until the next one.
func (p *Parser) Next(buf []byte) (r Response, n int, err error) {
	if p.head == nil {
		if err := p.parseHead(buf); err != nil || p.head == nil {
			return r, 0, err
		}
	}
	r, n, err = p.next(buf)
	if n > 0 || err != nil {
		*p = Parser{}
	}
	return r, n, err
}

func (p *Parser) next(buf []byte) (Response, int, error) {
	h := p.head
	r := Response{Status: h.status, Close: h.close}
	switch {
	case h.chunked:
		return p.chunks(r, buf)
	case h.status == 204 || h.status == 304:
		return r, p.at, nil
	case h.length < 0:
		r.Close = true
		return p.untilEnd(r, buf)
	case len(buf) < p.at+h.length:
		return r, 0, nil
	}
	r.Body = buf[p.at : p.at+h.length]
	return r, p.at + h.length, nil
}

// parseHead reads the head, if all of it is there.
func (p *Parser) parseHead(buf []byte) error {
	split := bytes.Index(buf, []byte("\r\n\r\n"))
	if split < 0 {
		if len(buf) > maxHead {
			return ErrMalformed
		}
		return nil
	}
	lines := strings.Split(string(buf[:split]), "\r\n")
	status := strings.SplitN(lines[0], " ", 3)
	if split > maxHead || len(status) < 2 || !strings.HasPrefix(status[0], "HTTP/1.") {
		return ErrMalformed
	}
	h := &head{length: -1, close: status[0] == "HTTP/1.0"}
	var err error
	if h.status, err = strconv.Atoi(status[1]); err != nil || h.status < 200 || h.status > 599 {
		return ErrMalformed
	}
	for _, line := range lines[1:] {
		if err := h.field(line); err != nil {
			return err
		}
	}
	p.head, p.at = h, split+len("\r\n\r\n")
	return nil
}

// field reads a field of the head.
func (h *head) field(line string) (err error) {
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

// untilEnd reads an answer with neither length nor chunks, which the end of the connection bounds (RFC 9112, section 6.3). A reset ends it
// likewise, half way, so that the end proves nothing: a list is whole where its JSON is. The body of any other status is nobody's.
func (p *Parser) untilEnd(r Response, buf []byte) (Response, int, error) {
	if r.Status != statusOK {
		return r, len(buf), nil
	}
	start := p.at
	text := bytes.TrimLeft(buf[start:], " \t\r\n")
	if len(buf)-start > maxBody || len(text) > 0 && text[0] != '{' {
		return r, 0, ErrMalformed
	}
	p.depth.read(buf[start:])
	if body := buf[start:]; p.depth.closed() && json.Valid(body) {
		r.Body = body
		return r, len(buf), nil
	}
	return r, 0, nil
}

// bracketDepth follows the brackets of a JSON text that grows, to tell when its object may be whole.
type bracketDepth struct {
	seen              int // bytes
	depth             int
	opened            bool
	inString, escaped bool
}

// read goes on to the end of a text, of which it has seen the beginning.
func (d *bracketDepth) read(text []byte) {
	for _, c := range text[d.seen:] {
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
	d.seen = len(text)
}

// closed tells whether each bracket is closed.
func (d *bracketDepth) closed() bool { return d.opened && d.depth <= 0 }

// chunks gathers a body that comes in chunks.
func (p *Parser) chunks(r Response, buf []byte) (Response, int, error) {
	for {
		rest := buf[p.at:]
		line := bytes.Index(rest, []byte("\r\n"))
		if line < 0 {
			if len(rest) > maxChunkHead {
				return r, 0, ErrMalformed
			}
			return r, 0, nil
		}
		digits, _, _ := strings.Cut(string(rest[:line]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil || len(p.chunked)+int(size) > maxBody {
			return r, 0, ErrMalformed
		}
		from := line + 2
		end := from + int(size) + 2
		if len(rest) < end {
			return r, 0, nil
		}
		if string(rest[end-2:end]) != "\r\n" {
			return r, 0, ErrMalformed
		}
		p.at += end
		if size == 0 {
			r.Body = p.chunked
			return r, p.at, nil
		}
		p.chunked = append(p.chunked, rest[from:end-2]...)
	}
}
