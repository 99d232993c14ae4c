package pg

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"strings"
)

// The roles that databases tell.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
)

// Reply gathers what a database says to one command, up to its ReadyForQuery.
type Reply struct {
	Code     string // the SQLSTATE of an error; empty where there was none
	Body     []byte // description, row and completion, as they came
	Role     string // RolePrimary, RoleReplica or nothing
	Position int64  // Unix milliseconds; 0 = not told
	Load     string // a load report

	row      []byte
	rows     int
	complete bool
	ready    bool
}

// Reset makes the reply ready for the next command. It keeps the room of Body.
func (r *Reply) Reset() { *r = Reply{Body: r.Body[:0]} }

// Long notes that a row has come which is passed on in pieces and not kept. It tells whether one is due.
func (r *Reply) Long() bool {
	if len(r.Body) == 0 || r.rows > 0 || r.complete || r.Code != "" {
		return false
	}
	r.rows++
	return true
}

// Ready tells whether the database has finished.
func (r *Reply) Ready() bool { return r.ready }

// Served tells whether a whole answer came: one row and its completion.
func (r *Reply) Served() bool { return r.Code == "" && r.rows == 1 && r.complete }

// Add takes the next message. An error means that the database's bytes make no sense.
func (r *Reply) Add(m Message) error {
	switch m.Type {
	case typeAuth:
		if len(m.Body) != 4 || binary.BigEndian.Uint32(m.Body) != 0 {
			return ErrMalformed // it wants a password, which there is none
		}
	case typeKeyData, typeNotice, typeEmpty:
	case typeParam:
		return r.param(m.Body)
	case typeRowDesc:
		if len(r.Body) > 0 {
			return ErrMalformed // one statement, one answer; more of them would fill the memory
		}
		r.Body = append(r.Body, m.Raw...)
	case typeRow:
		value, ok := column(m.Body)
		if r.rows++; !ok || r.rows > 1 {
			return ErrMalformed
		}
		r.Body = append(r.Body, m.Raw...)
		r.row = r.Body[len(r.Body)-len(value):]
	case typeComplete:
		if r.complete {
			return ErrMalformed
		}
		r.Body = append(r.Body, m.Raw...)
		r.complete = true
	case typeError:
		if r.Code = errorCode(m.Body); r.Code == "" {
			return ErrMalformed
		}
	case typeReady:
		r.ready = true
	default:
		return ErrMalformed
	}
	return nil
}

func (r *Reply) param(body []byte) error {
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

// column gives the value of a row of one column.
func column(body []byte) ([]byte, bool) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return nil, false
	}
	n := int32(binary.BigEndian.Uint32(body[2:]))
	if n == -1 {
		n = 0
	}
	return body[6:], int(n) == len(body)-6
}

// Unfit tells of the codes for a statement that is at fault itself: protocol violations, bad data, bad syntax.
func Unfit(code string) bool {
	return code == CodeProtocol || strings.HasPrefix(code, "22") || strings.HasPrefix(code, "42")
}

func errorCode(body []byte) string { return errorField(body, 'C') }

// errorField gives a field of an ErrorResponse; empty = it has none.
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

// Report is a load report.
type Report struct {
	Told     bool    // there is one
	Position float64 // Unix seconds; 0 = not told
	Role     string  // as in Reply
	Queue    float64 // negative = not told
}

// ParseReport reads a report of the form "x0=1767225600.123,x1=1,inflight=7". Positions have more digits than
// a 32-bit float holds.
func ParseReport(text string) Report {
	out := Report{Queue: -1}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		out.Told = true
		switch name {
		case "x0":
			out.Position = v
		case "x1":
			if out.Role = RoleReplica; v == 1 {
				out.Role = RolePrimary
			}
		case "queue":
			out.Queue = v
		}
	}
	return out
}

// Row gives the value of the row, which is a part of Body.
func (r *Reply) Row() string { return string(r.row) }
