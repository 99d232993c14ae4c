package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
)

// PostgreSQL's protocol, version 3, as far as the protocol page uses it: simple queries without a password.

const protocolVersion = 3 << 16

// message is one message; startup messages have the type 0.
type message struct {
	kind byte
	body []byte
}

func (m message) bytes() []byte {
	out := []byte{}
	if m.kind != 0 {
		out = append(out, m.kind)
	}
	out = binary.BigEndian.AppendUint32(out, uint32(len(m.body)+4))
	return append(out, m.body...)
}

const maxMessage = 64 << 20

func readMessage(r *bufio.Reader, startup bool) (message, error) {
	var m message
	if !startup {
		kind, err := r.ReadByte()
		if err != nil {
			return m, err
		}
		m.kind = kind
	}
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return m, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < 4 || size > maxMessage {
		return m, fmt.Errorf("message of length %d", size)
	}
	m.body = make([]byte, size-4)
	_, err := io.ReadFull(r, m.body)
	return m, err
}

func startupMessage() []byte {
	body := binary.BigEndian.AppendUint32(nil, protocolVersion)
	body = append(body, "user\x00client\x00database\x00core\x00\x00"...)
	return message{0, body}.bytes()
}

func queryMessage(text string) []byte { return message{'Q', append([]byte(text), 0)}.bytes() }

func parameterStatus(name, value string) []byte {
	return message{'S', []byte(name + "\x00" + value + "\x00")}.bytes()
}

func readyForQuery() []byte { return message{'Z', []byte{'I'}}.bytes() }

func errorResponse(code, text string) []byte {
	return message{'E', []byte("SERROR\x00VERROR\x00C" + code + "\x00M" + text + "\x00\x00")}.bytes()
}

// rowDescription describes one column, of binary bytes.
func rowDescription() []byte {
	body := []byte{0, 1}
	body = append(body, "val\x00"...)
	body = append(body, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1)
	return message{'T', body}.bytes()
}

func dataRow(value []byte) []byte {
	body := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	return message{'D', append(body, value...)}.bytes()
}

func commandComplete(tag string) []byte { return message{'C', append([]byte(tag), 0)}.bytes() }

// hints returns the names and values of a statement's routing comment.
func hints(text string) map[string]string {
	values := map[string]string{}
	from, to := strings.LastIndex(text, "/*"), strings.LastIndex(text, "*/")
	if from < 0 || to < from {
		return values
	}
	for _, part := range strings.Split(text[from+2:to], ",") {
		if name, value, ok := strings.Cut(strings.TrimSpace(part), "="); ok {
			values[name] = value
		}
	}
	return values
}

var errNoAnswer = errors.New("the connection ended without a whole answer")

// answer is a proxy's answer to one query.
type answer struct {
	value []byte
	code  string // of an ErrorResponse; empty = served
	empty bool   // EmptyQueryResponse
}

// readAnswer reads up to ReadyForQuery, or to a fatal error behind which the connection ends.
func readAnswer(r *bufio.Reader) (a answer, err error) {
	row := false
	for {
		m, err := readMessage(r, false)
		if err != nil {
			if a.code != "" || a.empty {
				return a, nil
			}
			return a, errNoAnswer
		}
		switch m.kind {
		case 'D':
			if len(m.body) >= 6 {
				a.value, row = m.body[6:], true
			}
		case 'E':
			for _, field := range strings.Split(string(m.body), "\x00") {
				if strings.HasPrefix(field, "C") {
					a.code = field[1:]
				}
			}
		case 'I':
			a.empty = true
		case 'Z':
			if !row && a.code == "" && !a.empty {
				return a, errors.New("an answer without a row")
			}
			return a, nil
		}
	}
}
