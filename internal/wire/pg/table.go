package pg

import (
	"encoding/binary"
	"strconv"
)

const typeText = 25 // OID of the type text

// AppendResultSet appends a result set of text columns with its command completion and ReadyForQuery. Rows that would
// make it longer than maxBytes are omitted, and a notice reports their number.
func AppendResultSet(dst []byte, columns []string, rows [][]string, tag string, maxBytes int) []byte {
	start := len(dst)
	dst, lengthAt := begin(dst, typeRowDescription)
	dst = binary.BigEndian.AppendUint16(dst, uint16(len(columns)))
	for _, column := range columns {
		dst = cstring(dst, column)
		dst = append(dst, 0, 0, 0, 0, 0, 0) // belongs to no table
		dst = binary.BigEndian.AppendUint32(dst, typeText)
		dst = append(dst, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0) // type of variable length, text format
	}
	dst = finish(dst, lengthAt)
	const trailerBytes = 256 // for the notice, the command completion and ReadyForQuery
	omitted := 0
	for _, row := range rows {
		size := 7
		for _, value := range row {
			size += 4 + len(value)
		}
		if omitted > 0 || len(dst)-start+size+trailerBytes > maxBytes {
			omitted++
			continue
		}
		dst, lengthAt = begin(dst, typeRow)
		dst = binary.BigEndian.AppendUint16(dst, uint16(len(row)))
		for _, value := range row {
			dst = binary.BigEndian.AppendUint32(dst, uint32(len(value)))
			dst = append(dst, value...)
		}
		dst = finish(dst, lengthAt)
	}
	if omitted > 0 {
		dst = appendNotice(dst, omitted)
	}
	dst, lengthAt = begin(dst, typeComplete)
	return AppendReadyForQuery(finish(cstring(dst, tag), lengthAt))
}

func appendNotice(dst []byte, omitted int) []byte {
	text := "rows left out for want of room: "
	dst, lengthAt := begin(dst, typeNotice)
	dst = cstring(append(dst, 'S'), "NOTICE")
	dst = cstring(append(dst, 'V'), "NOTICE")
	dst = cstring(append(dst, 'C'), "01000")
	dst = cstring(append(dst, 'M'), text+strconv.Itoa(omitted))
	return finish(append(dst, 0), lengthAt)
}

// AppendError answers a statement with an error after which the connection stays open.
func AppendError(dst []byte, code, text string) []byte {
	return AppendReadyForQuery(appendError(dst, "ERROR", code, text, ""))
}

// ResultSet collects a result set of text values. Complete is set once ReadyForQuery has arrived.
type ResultSet struct {
	Columns   []string
	Rows      [][]string
	ErrorText string // message of an ErrorResponse; empty = none
	ErrorCode string // SQLSTATE of an ErrorResponse
	Complete  bool
}

// Add adds the next message. It returns ErrMalformed for an invalid message; messages of other types are ignored.
func (r *ResultSet) Add(message Message) error {
	switch message.Type {
	case typeRowDescription:
		if len(message.Body) < 2 {
			return ErrMalformed
		}
		rest := message.Body[2:]
		for range binary.BigEndian.Uint16(message.Body) {
			n := 0
			for n < len(rest) && rest[n] != 0 {
				n++
			}
			if len(rest) < n+19 {
				return ErrMalformed
			}
			r.Columns = append(r.Columns, string(rest[:n]))
			rest = rest[n+19:]
		}
	case typeRow:
		if len(message.Body) < 2 {
			return ErrMalformed
		}
		rest, row := message.Body[2:], []string(nil)
		for range binary.BigEndian.Uint16(message.Body) {
			if len(rest) < 4 {
				return ErrMalformed
			}
			n := int(int32(binary.BigEndian.Uint32(rest)))
			if rest = rest[4:]; n < 0 {
				n = 0
			}
			if len(rest) < n {
				return ErrMalformed
			}
			row, rest = append(row, string(rest[:n])), rest[n:]
		}
		r.Rows = append(r.Rows, row)
	case typeError:
		r.ErrorCode, r.ErrorText = errorField(message.Body, 'C'), errorField(message.Body, 'M')
	case typeReady:
		r.Complete = true
	}
	return nil
}
