package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// message is a message of PostgreSQL's protocol, version 3.
type message struct {
	kind byte
	body []byte
}

func readMessage(r *bufio.Reader) (message, error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return message{}, err
	}
	size := binary.BigEndian.Uint32(head[1:])
	if size < 4 || size > 8<<20 {
		return message{}, fmt.Errorf("a message of length %d", size)
	}
	body := make([]byte, size-4)
	_, err := io.ReadFull(r, body)
	return message{head[0], body}, err
}

// readStartup reads a startup message.
func readStartup(r *bufio.Reader) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < 8 || size > 8<<10 {
		return fmt.Errorf("a startup message of length %d", size)
	}
	_, err := io.CopyN(io.Discard, r, int64(size-4))
	return err
}

func appendMessage(dst []byte, kind byte, body []byte) []byte {
	dst = append(dst, kind)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+4))
	return append(dst, body...)
}

func cstrings(words ...string) (out []byte) {
	for _, w := range words {
		out = append(append(out, w...), 0)
	}
	return out
}

func startupMessage() []byte {
	body := binary.BigEndian.AppendUint32(nil, 3<<16)
	body = append(body, cstrings("user", "client", "database", "core", "")...)
	out := binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))
	return append(out, body...)
}

func queryMessage(text string) []byte { return appendMessage(nil, 'Q', cstrings(text)) }

func readyMessage(dst []byte) []byte { return appendMessage(dst, 'Z', []byte{'I'}) }

func errorMessage(dst []byte, code, text string) []byte {
	return appendMessage(dst, 'E', append(cstrings("SERROR", "C"+code, "M"+text), 0))
}

// errorFields returns the code of an ErrorResponse.
func errorCode(body []byte) string {
	for len(body) > 1 {
		end := 1
		for end < len(body) && body[end] != 0 {
			end++
		}
		if body[0] == 'C' {
			return string(body[1:end])
		}
		body = body[min(end+1, len(body)):]
	}
	return "?"
}

// rowMessages returns a result of one row with one binary column.
func rowMessages(dst, value []byte) []byte {
	column := append([]byte{0, 1}, cstrings("val")...)
	column = append(column, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1)
	dst = appendMessage(dst, 'T', column)
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	dst = appendMessage(dst, 'D', append(row, value...))
	return appendMessage(dst, 'C', cstrings("SELECT 1"))
}

func parameterMessage(dst []byte, name, value string) []byte {
	return appendMessage(dst, 'S', cstrings(name, value))
}
