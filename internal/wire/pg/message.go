// Package pg encodes and decodes the part of PostgreSQL's protocol, version 3, that the proxy uses: simple queries
// without a password. It handles byte slices only and does no input or output of its own.
package pg

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strconv"
	"time"
)

const (
	// MaxMessage is the maximum length of a message. It fits a value of 64 KiB, which has 128 KiB as hexadecimal text, and
	// the statement around it.
	MaxMessage = 160 << 10
	maxStartup = 8 << 10 // startup messages hold only a few names

	protocol3  = 3 << 16
	cancelCode = 1234<<16 | 5678
	sslCode    = 1234<<16 | 5679
	gssCode    = 1234<<16 | 5680
)

// The message types that the proxy reads or writes.
const (
	TypeQuery     = 'Q'
	TypeTerminate = 'X'

	typeAuth            = 'R'
	typeParameterStatus = 'S'
	typeBackendKeyData  = 'K'
	typeReady           = 'Z'
	typeRowDescription  = 'T'
	typeRow             = 'D'
	typeComplete        = 'C'
	typeEmpty           = 'I'
	typeError           = 'E'
	typeNotice          = 'N'
)

// The SQLSTATE codes that the proxy sends or acts on.
const (
	CodeProtocolViolation   = "08P01" // malformed input
	CodeTooManyConnections  = "53300" // request refused without being executed; the client may retry
	CodeCannotConnectNow    = "57P03" // as CodeTooManyConnections
	CodeReadOnlyTransaction = "25006" // a write was sent to a member that is not the primary
	CodeSnapshotTooOld      = "72000" // the data is too old for the read
	CodeDuplicateObject     = "42710" // a request of that id is open or may still run
	CodeSystemError         = "58000" // no member answered the proxy's request
)

// ErrMalformed is returned for bytes that violate the protocol.
var ErrMalformed = errors.New("malformed message")

// Message is one message. Body and Raw are parts of the buffer that it was parsed from.
type Message struct {
	Type byte
	Body []byte
	Raw  []byte // the whole message with type and length
}

// MessageLength returns the length that the message at the start of buf announces; 0 = too little of it is there. The
// length may be invalid, which Next reports.
func MessageLength(buf []byte) int {
	if len(buf) < 5 {
		return 0
	}
	return int(binary.BigEndian.Uint32(buf[1:])) + 1
}

// StartupLength is MessageLength for a client's first message.
func StartupLength(buf []byte) int {
	if len(buf) < 4 {
		return 0
	}
	return int(binary.BigEndian.Uint32(buf))
}

// Next parses the first message in buf and returns its length; 0 means that the message is incomplete. It returns
// ErrMalformed for an invalid length.
func Next(buf []byte) (m Message, length int, err error) {
	if len(buf) < 5 {
		return m, 0, nil
	}
	size := binary.BigEndian.Uint32(buf[1:])
	if size < 4 || size > MaxMessage {
		return m, 0, ErrMalformed
	}
	if length = int(size) + 1; len(buf) < length {
		return m, 0, nil
	}
	return Message{Type: buf[0], Body: buf[5:length], Raw: buf[:length]}, length, nil
}

const (
	// MinStreamedValue is the length in bytes from which a value is forwarded in pieces instead of being buffered.
	MinStreamedValue = 64<<10 + 1
	// MaxStreamedRow is the maximum length of a row that is forwarded in pieces, in bytes.
	MaxStreamedRow = 64 << 20

	rowHeader = 11 // type, length, number of columns, length of the first column
)

// IncompleteRowHeader reports whether buf is the beginning of a row that is too short for NextStreamedRow to tell whether
// its value is to be forwarded in pieces.
func IncompleteRowHeader(buf []byte) bool {
	return len(buf) > 0 && len(buf) < rowHeader && buf[0] == typeRow
}

// NextStreamedRow reports whether buf begins with a row of one column whose value is to be forwarded in pieces, and
// returns the length of that message in bytes.
func NextStreamedRow(buf []byte) (int, bool) {
	if len(buf) < rowHeader || buf[0] != typeRow {
		return 0, false
	}
	size, value := binary.BigEndian.Uint32(buf[1:]), binary.BigEndian.Uint32(buf[7:])
	if value < MinStreamedValue || size > MaxStreamedRow || size != value+rowHeader-1 || binary.BigEndian.Uint16(buf[5:]) != 1 {
		return 0, false
	}
	return int(size) + 1, true
}

// StartupKind is the kind of a client's first message.
type StartupKind uint8

// The kinds of first messages: a session, a request for encryption, and a cancel request.
const (
	StartupSession StartupKind = iota
	StartupEncryption
	StartupCancel
)

// NextStartup parses the first message of a client, which has no type byte, and returns its length; 0 means that the
// message is incomplete. It returns ErrMalformed for an invalid length or protocol version.
func NextStartup(buf []byte) (kind StartupKind, length int, err error) {
	if len(buf) < 4 {
		return kind, 0, nil
	}
	size := binary.BigEndian.Uint32(buf)
	if size < 8 || size > maxStartup {
		return kind, 0, ErrMalformed
	}
	if len(buf) < int(size) {
		return kind, 0, nil
	}
	switch code := binary.BigEndian.Uint32(buf[4:]); {
	case code == sslCode || code == gssCode:
		kind = StartupEncryption
	case code == cancelCode:
		kind = StartupCancel
	case code>>16 != protocol3>>16:
		return kind, 0, ErrMalformed
	}
	return kind, int(size), nil
}

// StartupParameter returns the value of a parameter, such as "database", in the startup message at the start of buf,
// or "" if it is not set. NextStartup must have found the message complete.
func StartupParameter(buf []byte, name string) string {
	size := int(binary.BigEndian.Uint32(buf))
	for rest := buf[8:size]; len(rest) > 0; {
		parameter, after, nameOK := bytes.Cut(rest, []byte{0})
		value, after, valueOK := bytes.Cut(after, []byte{0})
		if !nameOK || !valueOK || len(parameter) == 0 {
			break
		}
		if string(parameter) == name {
			return string(value)
		}
		rest = after
	}
	return ""
}

// QueryText returns the text of a Query message.
func QueryText(message Message) ([]byte, error) {
	if len(message.Body) == 0 || bytes.IndexByte(message.Body, 0) != len(message.Body)-1 {
		return nil, ErrMalformed
	}
	return message.Body[:len(message.Body)-1], nil
}

// begin appends the type and an empty length field of a message. It returns the position of the length for finish.
func begin(dst []byte, messageType byte) ([]byte, int) {
	dst = append(dst, messageType, 0, 0, 0, 0)
	return dst, len(dst) - 4
}

// finish fills in the length of the message whose length field is at lengthAt.
func finish(dst []byte, lengthAt int) []byte {
	binary.BigEndian.PutUint32(dst[lengthAt:], uint32(len(dst)-lengthAt))
	return dst
}

// cstring appends a zero-terminated string.
func cstring(dst []byte, s string) []byte { return append(append(dst, s...), 0) }

// AppendStartup appends the startup message of a session on a database.
func AppendStartup(dst []byte, user, database string) []byte {
	lengthAt := len(dst)
	dst = append(dst, 0, 0, 0, 0)
	dst = binary.BigEndian.AppendUint32(dst, protocol3)
	for _, s := range []string{"user", user, "database", database, ""} {
		dst = cstring(dst, s)
	}
	return finish(dst, lengthAt)
}

// AppendQuery appends a simple query.
func AppendQuery(dst []byte, text string) []byte {
	dst, lengthAt := begin(dst, TypeQuery)
	return finish(cstring(dst, text), lengthAt)
}

// AppendRefuseEncryption answers a request for encryption: the client may continue without it.
func AppendRefuseEncryption(dst []byte) []byte { return append(dst, 'N') }

// AppendStartupResponse answers a client's startup message: it accepts the session without a password.
func AppendStartupResponse(dst []byte) []byte {
	dst, lengthAt := begin(dst, typeAuth)
	dst = finish(binary.BigEndian.AppendUint32(dst, 0), lengthAt)
	for _, parameter := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		dst, lengthAt = begin(dst, typeParameterStatus)
		dst = finish(cstring(cstring(dst, parameter[0]), parameter[1]), lengthAt)
	}
	return AppendReadyForQuery(dst)
}

// AppendParameterStatus appends a ParameterStatus message.
func AppendParameterStatus(dst []byte, name, value string) []byte {
	dst, lengthAt := begin(dst, typeParameterStatus)
	return finish(cstring(cstring(dst, name), value), lengthAt)
}

// AppendReadyForQuery appends ReadyForQuery, after which the client may send its next query.
func AppendReadyForQuery(dst []byte) []byte {
	dst, lengthAt := begin(dst, typeReady)
	return finish(append(dst, 'I'), lengthAt)
}

// AppendEmptyQueryResponse answers an empty query.
func AppendEmptyQueryResponse(dst []byte) []byte {
	dst, lengthAt := begin(dst, typeEmpty)
	return AppendReadyForQuery(finish(dst, lengthAt))
}

// AppendResult appends the body of a Reply, unchanged, and ReadyForQuery.
func AppendResult(dst, body []byte) []byte { return AppendReadyForQuery(append(dst, body...)) }

// AppendRefused refuses a request. A positive retryAfter tells the client how long to wait before a retry, in
// milliseconds, rounded up so that no retry comes too early.
func AppendRefused(dst []byte, retryAfter time.Duration) []byte {
	detail := ""
	if retryAfter > 0 {
		detail = strconv.FormatInt(int64((retryAfter+time.Millisecond-1)/time.Millisecond), 10)
	}
	return AppendReadyForQuery(appendError(dst, "ERROR", CodeTooManyConnections, "no member can take this now", detail))
}

// AppendFailed reports that a request failed and may or may not have taken effect.
func AppendFailed(dst []byte) []byte {
	return AppendReadyForQuery(appendError(dst, "ERROR", CodeSystemError, "no member answered in time", ""))
}

// AppendFatal appends a fatal error, the last message on a connection.
func AppendFatal(dst []byte, code, text string) []byte {
	return appendError(dst, "FATAL", code, text, "")
}

func appendError(dst []byte, severity, code, text, detail string) []byte {
	dst, lengthAt := begin(dst, typeError)
	dst = cstring(append(dst, 'S'), severity)
	dst = cstring(append(dst, 'V'), severity)
	dst = cstring(append(dst, 'C'), code)
	dst = cstring(append(dst, 'M'), text)
	if detail != "" {
		dst = cstring(append(dst, 'D'), detail)
	}
	return finish(append(dst, 0), lengthAt)
}
