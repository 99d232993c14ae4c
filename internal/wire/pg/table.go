package pg

import (
	"encoding/binary"
	"strconv"
)

const typeText = 25 // the OID of text

// AppendTable writes a result set of text columns, with its completion and ReadyForQuery. Rows that would make it
// longer than most bytes are left out, and a notice tells how many.
func AppendTable(dst []byte, columns []string, rows [][]string, tag string, most int) []byte {
	from := len(dst)
	dst, at := begin(dst, typeRowDesc)
	dst = binary.BigEndian.AppendUint16(dst, uint16(len(columns)))
	for _, c := range columns {
		dst = cstring(dst, c)
		dst = append(dst, 0, 0, 0, 0, 0, 0) // of no table
		dst = binary.BigEndian.AppendUint32(dst, typeText)
		dst = append(dst, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0) // of any length, as text
	}
	dst = end(dst, at)
	const behind = 256 // for the notice, the completion and ReadyForQuery
	left := 0
	for _, row := range rows {
		size := 7
		for _, v := range row {
			size += 4 + len(v)
		}
		if left > 0 || len(dst)-from+size+behind > most {
			left++
			continue
		}
		dst, at = begin(dst, typeRow)
		dst = binary.BigEndian.AppendUint16(dst, uint16(len(row)))
		for _, v := range row {
			dst = binary.BigEndian.AppendUint32(dst, uint32(len(v)))
			dst = append(dst, v...)
		}
		dst = end(dst, at)
	}
	if left > 0 {
		dst = appendNotice(dst, left)
	}
	dst, at = begin(dst, typeComplete)
	return AppendReady(end(cstring(dst, tag), at))
}

func appendNotice(dst []byte, left int) []byte {
	text := "rows left out for want of room: "
	dst, at := begin(dst, typeNotice)
	dst = cstring(append(dst, 'S'), "NOTICE")
	dst = cstring(append(dst, 'V'), "NOTICE")
	dst = cstring(append(dst, 'C'), "01000")
	dst = cstring(append(dst, 'M'), text+strconv.Itoa(left))
	return end(append(dst, 0), at)
}

// AppendError answers a statement with an error; the connection goes on.
func AppendError(dst []byte, code, text string) []byte {
	return AppendReady(appendError(dst, "ERROR", code, text, ""))
}

// Rows reads a result set: the columns, and the rows as text. Ended tells that ReadyForQuery was among the messages.
type Rows struct {
	Columns []string
	Rows    [][]string
	Err     string // the text of an ErrorResponse
	Code    string
	Ended   bool
}

// Add takes the next message of an answer.
func (r *Rows) Add(m Message) error {
	switch m.Type {
	case typeRowDesc:
		if len(m.Body) < 2 {
			return ErrMalformed
		}
		rest := m.Body[2:]
		for range binary.BigEndian.Uint16(m.Body) {
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
		if len(m.Body) < 2 {
			return ErrMalformed
		}
		rest, row := m.Body[2:], []string(nil)
		for range binary.BigEndian.Uint16(m.Body) {
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
		r.Code, r.Err = errorField(m.Body, 'C'), errorField(m.Body, 'M')
	case typeReady:
		r.Ended = true
	}
	return nil
}
