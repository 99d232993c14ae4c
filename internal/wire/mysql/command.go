package mysql

import (
	"encoding/binary"
	"math"
	"strconv"
)

// The commands that the proxy knows; a command is the first byte of a packet.
const (
	ComQuit            = 0x01
	ComInitDB          = 0x02
	ComQuery           = 0x03
	ComPing            = 0x0e
	ComChangeUser      = 0x11
	ComStmtPrepare     = 0x16
	ComStmtExecute     = 0x17
	ComStmtLongData    = 0x18
	ComStmtClose       = 0x19
	ComStmtReset       = 0x1a
	ComSetOption       = 0x1b
	ComResetConnection = 0x1f
)

// Column types, as far as parameters and values have them here.
const (
	TypeTiny      = 0x01
	TypeShort     = 0x02
	TypeLong      = 0x03
	TypeFloat     = 0x04
	TypeDouble    = 0x05
	TypeNull      = 0x06
	TypeTimestamp = 0x07
	TypeLongLong  = 0x08
	TypeInt24     = 0x09
	TypeDate      = 0x0a
	TypeTime      = 0x0b
	TypeDatetime  = 0x0c
	TypeYear      = 0x0d
	TypeVarchar   = 0x0f
	TypeBit       = 0x10
	TypeJSON      = 0xf5
	TypeDecimal   = 0xf6
	TypeEnum      = 0xf7
	TypeSet       = 0xf8
	TypeTinyBlob  = 0xf9
	TypeMedBlob   = 0xfa
	TypeLongBlob  = 0xfb
	TypeBlob      = 0xfc
	TypeVarString = 0xfd
	TypeString    = 0xfe
	TypeGeometry  = 0xff
)

// MaxParams bounds the parameters of a statement; the protocol's own bound is 65,535.
const MaxParams = 4096

// MaxAttributes bounds the query attributes beside a statement.
const MaxAttributes = 64

// Value is a parameter's value. Raw is its binary form, as it came; a part of the packet.
type Value struct {
	Null bool
	Long bool // it came by COM_STMT_SEND_LONG_DATA
	Type byte
	Raw  []byte
}

// Text formats the value as text, and reports whether it has such a form: NULL, dates and times have none. Integers are
// formatted as signed ones, since Value doesn't hold the unsigned flag of the parameter's type.
func (v Value) Text() (string, bool) {
	signed := func(n uint64, bits int) string {
		return strconv.FormatInt(int64(n<<(64-bits))>>(64-bits), 10)
	}
	if v.Null {
		return "", false
	}
	switch v.Type {
	case TypeTiny:
		return signed(uint64(v.Raw[0]), 8), true
	case TypeShort, TypeYear:
		return signed(uint64(binary.LittleEndian.Uint16(v.Raw)), 16), true
	case TypeLong, TypeInt24:
		return signed(uint64(binary.LittleEndian.Uint32(v.Raw)), 32), true
	case TypeLongLong:
		return signed(binary.LittleEndian.Uint64(v.Raw), 64), true
	case TypeFloat:
		return strconv.FormatFloat(float64(math.Float32frombits(binary.LittleEndian.Uint32(v.Raw))), 'g', -1, 32), true
	case TypeDouble:
		return strconv.FormatFloat(math.Float64frombits(binary.LittleEndian.Uint64(v.Raw)), 'g', -1, 64), true
	case TypeDate, TypeDatetime, TypeTimestamp, TypeTime, TypeNull:
		return "", false
	}
	return string(v.Raw), true
}

// width is the length of a type's binary form; 0 = a length stands before it; -1 = there is no such type.
func width(t byte) int {
	switch t {
	case TypeTiny:
		return 1
	case TypeShort, TypeYear:
		return 2
	case TypeLong, TypeInt24, TypeFloat:
		return 4
	case TypeLongLong, TypeDouble:
		return 8
	case TypeVarchar, TypeBit, TypeJSON, TypeDecimal, TypeEnum, TypeSet, TypeTinyBlob, TypeMedBlob, TypeLongBlob, TypeBlob,
		TypeVarString, TypeString, TypeGeometry, 0x00: // 0x00 is the old decimal
		return 0
	}
	return -1
}

// values takes binary values apart. long tells which come by COM_STMT_SEND_LONG_DATA and so aren't here.
func (r *reader) values(types []byte, nulls []byte, long func(int) bool) []Value {
	out := make([]Value, len(types)/2)
	for i := range out {
		v := &out[i]
		v.Type = types[2*i]
		if nulls[i/8]&(1<<(i%8)) != 0 || v.Type == TypeNull {
			v.Null = true
			continue
		}
		if long != nil && long(i) {
			v.Long = true
			continue
		}
		switch v.Type {
		case TypeDate, TypeDatetime, TypeTimestamp, TypeTime:
			v.Raw = r.take(int(r.byte()))
		default:
			if w := width(v.Type); w > 0 {
				v.Raw = r.take(w)
			} else if w == 0 {
				v.Raw = r.lenStr()
			} else {
				r.bad = true
			}
		}
		if r.bad {
			return nil
		}
	}
	return out
}

// Attribute is a query attribute: a named value beside a statement.
type Attribute struct {
	Name string
	Value
}

// ParseQuery reads a COM_QUERY, its first byte included.
func ParseQuery(body []byte, caps uint32) (text []byte, attributes []Attribute, err error) {
	r := &reader{b: body}
	r.byte()
	if caps&ClientQueryAttributes == 0 {
		return r.b, nil, r.err()
	}
	n, sets := r.lenEnc(), r.lenEnc()
	if n > MaxAttributes || sets != 1 {
		return nil, nil, ErrMalformed
	}
	if n > 0 {
		attributes = r.attributes(int(n))
	}
	return r.b, attributes, r.err()
}

func (r *reader) attributes(n int) []Attribute {
	nulls := r.take((n + 7) / 8)
	if r.byte() != 1 {
		r.bad = true
	}
	types, names := make([]byte, 0, 2*n), make([]string, 0, n)
	for range n {
		types = append(types, r.take(2)...)
		names = append(names, string(r.lenStr()))
		if r.bad {
			return nil
		}
	}
	values := r.values(types, nulls, nil)
	if r.bad {
		return nil
	}
	out := make([]Attribute, n)
	for i := range out {
		out[i] = Attribute{names[i], values[i]}
	}
	return out
}

// Execute is a COM_STMT_EXECUTE, read. Nulls, Types and Rest are parts of the packet: a database gets them as they came.
type Execute struct {
	Statement  uint32
	Types      []byte // two bytes a parameter; those of an earlier execution where this one brings none
	Anew       bool   // this one brings them
	Nulls      []byte
	Rest       []byte // the values
	Values     []Value
	Attributes []Attribute

	// Sets tells that one parameter, which has a value, goes out with another number: what is left of the client's time.
	Sets   bool
	Param  int
	Number int64
}

// StatementOf gives the id of a statement in a COM_STMT_*.
func StatementOf(body []byte) (uint32, error) {
	r := &reader{b: body}
	r.byte()
	id := r.uint32()
	return id, r.err()
}

// ParseExecute reads a COM_STMT_EXECUTE, its first byte included, of a statement with so many parameters, whose types
// were told before by known, if at all. long tells which values came by COM_STMT_SEND_LONG_DATA.
func ParseExecute(body []byte, params int, known []byte, caps uint32, long func(int) bool) (x Execute, err error) {
	r := &reader{b: body}
	r.byte()
	x.Statement = r.uint32()
	flags := r.byte()
	if r.uint32() != 1 || flags&^0x08 != 0 { // cursors aren't known here
		return x, ErrMalformed
	}
	n, named := params, caps&ClientQueryAttributes != 0
	if named && (params > 0 || flags&0x08 != 0) {
		if sent := r.lenEnc(); flags&0x08 != 0 {
			if sent < uint64(params) || sent-uint64(params) > MaxAttributes {
				return x, ErrMalformed
			}
			n = int(sent)
		} else if sent != uint64(params) {
			return x, ErrMalformed
		}
	}
	if n == 0 {
		return x, r.err()
	}
	nulls := r.take((n + 7) / 8)
	x.Anew = r.byte() == 1
	types, names := known, make([]string, n)
	if x.Anew {
		types = make([]byte, 0, 2*n)
		for i := range n {
			types = append(types, r.take(2)...)
			if named {
				names[i] = string(r.lenStr())
			}
			if r.bad {
				return x, ErrMalformed
			}
		}
	}
	if r.bad || len(types) != 2*n {
		return x, ErrMalformed
	}
	from := r.b
	values := r.values(types, nulls, func(i int) bool { return i < params && long != nil && long(i) })
	if r.bad || len(r.b) > 0 {
		return x, ErrMalformed
	}
	used := 0
	if x.Values = values[:params]; n > params { // what belongs to the parameters alone goes to the database
		for _, v := range values[params:] {
			used += rawLen(v)
		}
	}
	x.Types, x.Rest = types[:2*params], from[:len(from)-used]
	x.Nulls = append([]byte(nil), nulls[:(params+7)/8]...)
	if params%8 != 0 && len(x.Nulls) > 0 {
		x.Nulls[len(x.Nulls)-1] &= 1<<(params%8) - 1
	}
	for i := params; i < n; i++ {
		x.Attributes = append(x.Attributes, Attribute{names[i], values[i]})
	}
	return x, nil
}

// rawLen is the length of a value's binary form with the length before it.
func rawLen(v Value) int {
	switch {
	case v.Null, v.Long:
		return 0
	case v.Type == TypeDate || v.Type == TypeDatetime || v.Type == TypeTimestamp || v.Type == TypeTime:
		return 1 + len(v.Raw)
	case width(v.Type) > 0:
		return len(v.Raw)
	}
	return len(appendLenEnc(nil, uint64(len(v.Raw)))) + len(v.Raw)
}

// withNumber writes the values with another number in the place of one parameter's, in the form that this has. One that has
// none for it, such as a date, stays as it is.
func (x *Execute) withNumber(dst []byte, param int, n int64) []byte {
	at := 0
	for _, v := range x.Values[:param] {
		at += rawLen(v)
	}
	v := x.Values[param]
	end := at + rawLen(v)
	dst = append(dst, x.Rest[:at]...)
	switch {
	case v.Null || v.Long || width(v.Type) < 0 || v.Type == TypeFloat || v.Type == TypeDouble:
		dst = append(dst, x.Rest[at:end]...)
	case width(v.Type) > 0:
		if bits := 8*width(v.Type) - 1; bits < 63 { // it was no larger before
			n = min(n, 1<<bits-1)
		}
		for i := range width(v.Type) {
			dst = append(dst, byte(n>>(8*i)))
		}
	default:
		dst = appendLenStr(dst, strconv.FormatInt(n, 10))
	}
	return append(dst, x.Rest[end:]...)
}

// AppendExecute writes a COM_STMT_EXECUTE for a database that knows the statement by another id. The types always go
// along, for that server may not have seen them. Attributes stay here.
func AppendExecute(dst []byte, statement uint32, params int, x *Execute, caps uint32) []byte {
	dst, at := begin(dst, 0)
	dst = binary.LittleEndian.AppendUint32(append(dst, ComStmtExecute), statement)
	dst = append(dst, 0, 1, 0, 0, 0)
	if params > 0 {
		if caps&ClientQueryAttributes != 0 {
			dst = appendLenEnc(dst, uint64(params))
		}
		dst = append(append(dst, x.Nulls...), 1)
		for i := range params {
			dst = append(dst, x.Types[2*i], x.Types[2*i+1])
			if caps&ClientQueryAttributes != 0 {
				dst = append(dst, 0)
			}
		}
		if x.Sets {
			dst = x.withNumber(dst, x.Param, x.Number)
		} else {
			dst = append(dst, x.Rest...)
		}
	}
	return end(dst, at)
}

// AppendCommand writes a command with its text.
func AppendCommand(dst []byte, command byte, text string) []byte {
	dst, at := begin(dst, 0)
	return end(append(append(dst, command), text...), at)
}

// AppendStatement writes a command on a statement, such as COM_STMT_CLOSE.
func AppendStatement(dst []byte, command byte, statement uint32) []byte {
	dst, at := begin(dst, 0)
	return end(binary.LittleEndian.AppendUint32(append(dst, command), statement), at)
}

// LongData is a COM_STMT_SEND_LONG_DATA, read; it gets no answer.
type LongData struct {
	Statement uint32
	Param     int
	Data      []byte
}

// ParseLongData reads a COM_STMT_SEND_LONG_DATA, its first byte included.
func ParseLongData(body []byte) (d LongData, err error) {
	r := &reader{b: body}
	r.byte()
	d.Statement, d.Param = r.uint32(), int(r.uint16())
	d.Data = r.b
	return d, r.err()
}

// AppendLongData writes a COM_STMT_SEND_LONG_DATA.
func AppendLongData(dst []byte, statement uint32, param int, data []byte) []byte {
	dst, at := begin(dst, 0)
	dst = binary.LittleEndian.AppendUint32(append(dst, ComStmtLongData), statement)
	dst = binary.LittleEndian.AppendUint16(dst, uint16(param))
	return end(append(dst, data...), at)
}
