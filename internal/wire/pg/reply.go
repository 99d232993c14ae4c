package pg

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"strings"
)

// The roles that databases report.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
)

// Reply collects the messages with which a database answers one command, up to ReadyForQuery.
type Reply struct {
	ErrorCode string // SQLSTATE of an error; empty = no error
	Body      []byte // row description, row and command completion, unchanged
	Role      string // RolePrimary, RoleReplica or empty
	Position  int64  // replication position in Unix milliseconds; 0 = not reported
	Load      string // load report, for ParseLoadReport

	row      []byte
	rows     int
	complete bool
	ready    bool
}

// Reset prepares the reply for the next command. It keeps the memory of Body.
func (r *Reply) Reset() { *r = Reply{Body: r.Body[:0]} }

// AddStreamedRow records a row that is forwarded in pieces and not kept. It returns false if no row is expected.
func (r *Reply) AddStreamedRow() bool {
	if len(r.Body) == 0 || r.rows > 0 || r.complete || r.ErrorCode != "" {
		return false
	}
	r.rows++
	return true
}

// Ready reports whether ReadyForQuery has arrived.
func (r *Reply) Ready() bool { return r.ready }

// Complete reports whether the reply is a complete result: one row and its command completion, without an error.
func (r *Reply) Complete() bool { return r.ErrorCode == "" && r.rows == 1 && r.complete }

// Add adds the next message. It returns ErrMalformed if the message is invalid or unexpected.
func (r *Reply) Add(message Message) error {
	switch message.Type {
	case typeAuth:
		if len(message.Body) != 4 || binary.BigEndian.Uint32(message.Body) != 0 {
			return ErrMalformed // the database asks for a password, which is not supported
		}
	case typeBackendKeyData, typeNotice, typeEmpty:
	case typeParameterStatus:
		return r.parseParameter(message.Body)
	case typeRowDescription:
		if len(r.Body) > 0 {
			return ErrMalformed // a statement has one result; further ones could exhaust the memory
		}
		r.Body = append(r.Body, message.Raw...)
	case typeRow:
		value, ok := singleColumn(message.Body)
		if r.rows++; !ok || r.rows > 1 {
			return ErrMalformed
		}
		r.Body = append(r.Body, message.Raw...)
		r.row = r.Body[len(r.Body)-len(value):]
	case typeComplete:
		if r.complete {
			return ErrMalformed
		}
		r.Body = append(r.Body, message.Raw...)
		r.complete = true
	case typeError:
		if r.ErrorCode = errorCode(message.Body); r.ErrorCode == "" {
			return ErrMalformed
		}
	case typeReady:
		r.ready = true
	default:
		return ErrMalformed
	}
	return nil
}

func (r *Reply) parseParameter(body []byte) error {
	parts := bytes.SplitN(body, []byte{0}, 3)
	if len(parts) != 3 || len(parts[2]) != 0 {
		return ErrMalformed
	}
	switch value := string(parts[1]); string(parts[0]) {
	case "role":
		r.Role = value
	case "applied_ms":
		ms, err := strconv.ParseFloat(value, 64)
		if err != nil || !(ms >= 0 && ms < 1<<53) {
			return ErrMalformed
		}
		r.Position = int64(ms)
	case "load":
		r.Load = value
	}
	return nil
}

// singleColumn returns the value of a row with one column.
func singleColumn(body []byte) ([]byte, bool) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return nil, false
	}
	n := int32(binary.BigEndian.Uint32(body[2:]))
	if n == -1 {
		n = 0
	}
	return body[6:], int(n) == len(body)-6
}

// IsStatementError reports whether a SQLSTATE blames the statement itself: a protocol violation, invalid data or
// invalid syntax.
func IsStatementError(code string) bool {
	return code == CodeProtocolViolation || strings.HasPrefix(code, "22") || strings.HasPrefix(code, "42")
}

func errorCode(body []byte) string { return errorField(body, 'C') }

// errorField returns a field of an ErrorResponse, or "" if it has no such field.
func errorField(body []byte, name byte) string {
	for len(body) > 1 {
		field, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			return ""
		}
		if body[0] == name {
			return string(field)
		}
		body = rest
	}
	return ""
}

// LoadReport is a database's report on its load.
type LoadReport struct {
	Present     bool    // reports whether there is a report
	Position    float64 // Unix seconds; 0 = not reported
	Role        string  // as in Reply
	QueueLength float64 // negative = not reported
}

// ParseLoadReport parses a report such as "x0=1767225600.123,x1=1,inflight=7". Fields without a number are ignored.
// Positions have more digits than a 32-bit float holds.
func ParseLoadReport(text string) LoadReport {
	report := LoadReport{QueueLength: -1}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		report.Present = true
		switch name {
		case "x0":
			report.Position = number
		case "x1":
			if report.Role = RoleReplica; number == 1 {
				report.Role = RolePrimary
			}
		case "queue":
			report.QueueLength = number
		}
	}
	return report
}

// Row returns the value of the row, which is also a part of Body.
func (r *Reply) Row() string { return string(r.row) }
