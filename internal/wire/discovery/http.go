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

// Next cuts the first answer off buf; 0 means that it isn't whole yet.
func Next(buf []byte) (r Response, n int, err error) {
	split := bytes.Index(buf, []byte("\r\n\r\n"))
	if split < 0 {
		if len(buf) > maxHead {
			return r, 0, ErrMalformed
		}
		return r, 0, nil
	}
	lines := strings.Split(string(buf[:split]), "\r\n")
	status := strings.SplitN(lines[0], " ", 3)
	if split > maxHead || len(status) < 2 || !strings.HasPrefix(status[0], "HTTP/1.") {
		return r, 0, ErrMalformed
	}
	if r.Status, err = strconv.Atoi(status[1]); err != nil || r.Status < 200 || r.Status > 599 {
		return r, 0, ErrMalformed
	}
	length, chunked := -1, false
	r.Close = status[0] == "HTTP/1.0"
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if value = strings.TrimSpace(value); !ok {
			return r, 0, ErrMalformed
		}
		switch strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.Atoi(value); err != nil || length < 0 || length > maxBody {
				return r, 0, ErrMalformed
			}
		case "transfer-encoding":
			chunked = strings.EqualFold(value, "chunked")
		case "connection":
			r.Close = strings.EqualFold(value, "close")
		}
	}
	head := split + 4
	switch {
	case chunked:
		r.Body, n, err = chunks(buf[head:])
	case r.Status == 204 || r.Status == 304:
	case length < 0:
		r.Close = true
		return untilEnd(r, buf, head)
	case len(buf) < head+length:
		return r, 0, nil
	default:
		r.Body, n = buf[head:head+length], length
	}
	if err != nil || n < 0 {
		return r, 0, err
	}
	return r, head + n, nil
}

// untilEnd reads an answer with neither length nor chunks, which the end of the connection bounds (RFC 9112, section 6.3). A reset ends it
// likewise, half way, so that the end proves nothing: a list is whole where its JSON is. The body of any other status is nobody's.
func untilEnd(r Response, buf []byte, head int) (Response, int, error) {
	body := buf[head:]
	text := bytes.TrimRight(body, " \t\r\n")
	switch {
	case r.Status != statusOK:
		return r, len(buf), nil
	case len(body) > maxBody, len(text) > 0 && bytes.TrimLeft(text, " \t\r\n")[0] != '{':
		return r, 0, ErrMalformed
	case len(text) == 0 || text[len(text)-1] != '}' || !json.Valid(text):
		return r, 0, nil
	}
	r.Body = body
	return r, len(buf), nil
}

// chunks gathers a body that comes in chunks; -1 means that it isn't whole yet.
func chunks(buf []byte) (body []byte, n int, err error) {
	for {
		line := bytes.Index(buf[n:], []byte("\r\n"))
		if line < 0 {
			if len(buf)-n > 64 {
				return nil, 0, ErrMalformed
			}
			return nil, -1, nil
		}
		digits, _, _ := strings.Cut(string(buf[n:n+line]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil || len(body)+int(size) > maxBody {
			return nil, 0, ErrMalformed
		}
		at := n + line + 2
		if n = at + int(size) + 2; len(buf) < n {
			return nil, -1, nil
		}
		if string(buf[n-2:n]) != "\r\n" {
			return nil, 0, ErrMalformed
		}
		if size == 0 {
			return body, n, nil
		}
		body = append(body, buf[at:n-2]...)
	}
}
