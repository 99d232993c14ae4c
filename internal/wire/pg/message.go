// Package pg is the part of PostgreSQL's protocol, version 3, that the proxy speaks: simple queries without a
// password. It reads and writes byte slices and does no input or output of its own.
package pg

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strconv"
	"time"
)

const (
	// MaxMessage bounds one message: a value of 64 KiB is 128 KiB as hexadecimal text, and some words round it.
	MaxMessage = 160 << 10
	maxStartup = 8 << 10 // startup messages hold a few names

	protocol3  = 3 << 16
	cancelCode = 1234<<16 | 5678
	sslCode    = 1234<<16 | 5679
	gssCode    = 1234<<16 | 5680
)

// The types of message that the proxy reads or writes.
const (
	TypeQuery     = 'Q'
	TypeTerminate = 'X'

	typeAuth     = 'R'
	typeParam    = 'S'
	typeKeyData  = 'K'
	typeReady    = 'Z'
	typeRowDesc  = 'T'
	typeRow      = 'D'
	typeComplete = 'C'
	typeEmpty    = 'I'
	typeError    = 'E'
	typeNotice   = 'N'
)

// The SQLSTATE codes that say something to the proxy or its clients.
const (
	CodeProtocol   = "08P01" // malformed input
	CodeTooMany    = "53300" // turned away unseen, try again
	CodeNotNow     = "57P03" // likewise
	CodeReadOnly   = "25006" // a write, and this is no primary
	CodeTooFarBack = "72000" // the data is too old for the read
	CodeFailed     = "58000" // the proxy found nobody to answer
)

// ErrMalformed tells of bytes that are not the protocol.
var ErrMalformed = errors.New("malformed message")

// Message is one message; Body is a part of the buffer that it was cut from.
type Message struct {
	Type byte
	Body []byte
	Raw  []byte // all of it, type and length included
}

// Next cuts the first message off buf. It gives 0 for a message that isn't there as a whole yet.
func Next(buf []byte) (m Message, n int, err error) {
	if len(buf) < 5 {
		return m, 0, nil
	}
	size := binary.BigEndian.Uint32(buf[1:])
	if size < 4 || size > MaxMessage {
		return m, 0, ErrMalformed
	}
	if n = int(size) + 1; len(buf) < n {
		return m, 0, nil
	}
	return Message{Type: buf[0], Body: buf[5:n], Raw: buf[:n]}, n, nil
}

const (
	// LongRow is from where on a row's value is passed on in pieces rather than held as a whole, in bytes.
	LongRow = 64<<10 + 1
	// MaxRow bounds one that is passed on in pieces.
	MaxRow = 64 << 20

	rowHead = 11 // type, length, number of columns, length of the first
)

// NextLongRow tells whether buf begins with a row of one column whose value is long, and how many bytes the row has in all.
func NextLongRow(buf []byte) (int, bool) {
	if len(buf) < rowHead || buf[0] != typeRow {
		return 0, false
	}
	size, value := binary.BigEndian.Uint32(buf[1:]), binary.BigEndian.Uint32(buf[7:])
	if value < LongRow || size > MaxRow || size != value+rowHead-1 || binary.BigEndian.Uint16(buf[5:]) != 1 {
		return 0, false
	}
	return int(size) + 1, true
}

// Opening is what a client opens its connection with.
type Opening uint8

// The kinds of opening.
const (
	OpenSession Opening = iota
	OpenEncrypted
	OpenCancel
)

// NextOpening cuts the untyped first message of a client off buf; 0 means that it isn't whole yet.
func NextOpening(buf []byte) (o Opening, n int, err error) {
	if len(buf) < 4 {
		return o, 0, nil
	}
	size := binary.BigEndian.Uint32(buf)
	if size < 8 || size > maxStartup {
		return o, 0, ErrMalformed
	}
	if len(buf) < int(size) {
		return o, 0, nil
	}
	switch code := binary.BigEndian.Uint32(buf[4:]); {
	case code == sslCode || code == gssCode:
		o = OpenEncrypted
	case code == cancelCode:
		o = OpenCancel
	case code>>16 != protocol3>>16:
		return o, 0, ErrMalformed
	}
	return o, int(size), nil
}

// Opened gives a name's value in the startup message that begins buf, such as "database"; NextOpening must have found
// it whole.
func Opened(buf []byte, name string) string {
	size := int(binary.BigEndian.Uint32(buf))
	for rest := buf[8:size]; len(rest) > 0; {
		key, behind, ok := bytes.Cut(rest, []byte{0})
		value, behind, ok2 := bytes.Cut(behind, []byte{0})
		if !ok || !ok2 || len(key) == 0 {
			break
		}
		if string(key) == name {
			return string(value)
		}
		rest = behind
	}
	return ""
}

// QueryText gives the text of a Query message.
func QueryText(m Message) ([]byte, error) {
	if len(m.Body) == 0 || bytes.IndexByte(m.Body, 0) != len(m.Body)-1 {
		return nil, ErrMalformed
	}
	return m.Body[:len(m.Body)-1], nil
}

// begin starts a message whose length end fills in.
func begin(dst []byte, kind byte) ([]byte, int) {
	dst = append(dst, kind, 0, 0, 0, 0)
	return dst, len(dst) - 4
}

func end(dst []byte, at int) []byte {
	binary.BigEndian.PutUint32(dst[at:], uint32(len(dst)-at))
	return dst
}

func cstring(dst []byte, s string) []byte { return append(append(dst, s...), 0) }

// AppendStartup opens a session at a database.
func AppendStartup(dst []byte, user, database string) []byte {
	at := len(dst)
	dst = append(dst, 0, 0, 0, 0)
	dst = binary.BigEndian.AppendUint32(dst, protocol3)
	for _, s := range []string{"user", user, "database", database, ""} {
		dst = cstring(dst, s)
	}
	return end(dst, at)
}

// AppendQuery writes a simple query.
func AppendQuery(dst []byte, text string) []byte {
	dst, at := begin(dst, TypeQuery)
	return end(cstring(dst, text), at)
}

// AppendRefuseEncryption answers a client that asks for encryption: it may go on without.
func AppendRefuseEncryption(dst []byte) []byte { return append(dst, 'N') }

// AppendWelcome answers a client's startup message.
func AppendWelcome(dst []byte) []byte {
	dst, at := begin(dst, typeAuth)
	dst = end(binary.BigEndian.AppendUint32(dst, 0), at)
	for _, p := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		dst, at = begin(dst, typeParam)
		dst = end(cstring(cstring(dst, p[0]), p[1]), at)
	}
	return AppendReady(dst)
}

// AppendParameter writes a ParameterStatus.
func AppendParameter(dst []byte, name, value string) []byte {
	dst, at := begin(dst, typeParam)
	return end(cstring(cstring(dst, name), value), at)
}

// AppendReady tells a client that it may send its next query.
func AppendReady(dst []byte) []byte {
	dst, at := begin(dst, typeReady)
	return end(append(dst, 'I'), at)
}

// AppendEmpty answers an empty query.
func AppendEmpty(dst []byte) []byte {
	dst, at := begin(dst, typeEmpty)
	return AppendReady(end(dst, at))
}

// AppendServed passes on what a database answered: its row and its completion, as they came.
func AppendServed(dst, body []byte) []byte { return AppendReady(append(dst, body...)) }

// AppendRefused turns a request away; comeBack, if any, tells the client after how long to come again. It is
// rounded up, so that nobody comes before the time.
func AppendRefused(dst []byte, comeBack time.Duration) []byte {
	detail := ""
	if comeBack > 0 {
		detail = strconv.FormatInt(int64((comeBack+time.Millisecond-1)/time.Millisecond), 10)
	}
	return AppendReady(appendError(dst, "ERROR", CodeTooMany, "no member can take this now", detail))
}

// AppendFailed tells that a request failed and that nothing is known of its effect.
func AppendFailed(dst []byte) []byte {
	return AppendReady(appendError(dst, "ERROR", CodeFailed, "no member answered in time", ""))
}

// AppendFatal is the last word on a connection.
func AppendFatal(dst []byte, code, text string) []byte {
	return appendError(dst, "FATAL", code, text, "")
}

func appendError(dst []byte, severity, code, text, detail string) []byte {
	dst, at := begin(dst, typeError)
	dst = cstring(append(dst, 'S'), severity)
	dst = cstring(append(dst, 'V'), severity)
	dst = cstring(append(dst, 'C'), code)
	dst = cstring(append(dst, 'M'), text)
	if detail != "" {
		dst = cstring(append(dst, 'D'), detail)
	}
	return end(append(dst, 0), at)
}
