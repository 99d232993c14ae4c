// Package mysql is the part of MySQL's client/server protocol that the proxy speaks, towards clients and towards
// databases: handshake version 10, text queries and prepared statements. It reads and writes byte slices and does no
// input or output of its own. Every length is held against a bound before anything is made of it. The source is MySQL's
// internals manual, "Client/Server Protocol".
package mysql

import (
	"encoding/binary"
	"errors"
	"fmt"
)

const (
	headLen = 4
	// MaxPacket bounds one packet's payload: a value of 64 KiB as escaped text, and some words round it. The protocol's
	// own bound is 16 MiB less a byte, behind which a payload goes on in a further packet; none of those is taken.
	MaxPacket = 256 << 10
	maxLogin  = 8 << 10 // a login holds a few names
)

// ErrMalformed tells of bytes that are not the protocol.
var ErrMalformed = errors.New("malformed packet")

// ErrTooLarge tells of a packet over the bound. It is told by the packet's head, before the rest has come.
var ErrTooLarge = errors.New("packet too large")

// ErrSequence tells of a packet out of order: bytes were lost, or two sides disagree whose turn it is.
var ErrSequence = errors.New("packet out of order")

// PacketLength returns the length that the packet at the start of buf announces, with its header; 0 = too little of it is
// there. The length may be more than is allowed, which Next reports.
func PacketLength(buf []byte) int {
	if len(buf) < headLen {
		return 0
	}
	return headLen + (int(buf[0]) | int(buf[1])<<8 | int(buf[2])<<16)
}

// Next cuts the first packet off buf and gives its payload, a part of buf, and its sequence number. It gives 0 for one
// that isn't there as a whole yet.
func Next(buf []byte, most int) (body []byte, seq byte, n int, err error) {
	if len(buf) < headLen {
		return nil, 0, 0, nil
	}
	size := int(buf[0]) | int(buf[1])<<8 | int(buf[2])<<16
	if size > most {
		return nil, buf[3], 0, ErrTooLarge
	}
	if n = headLen + size; len(buf) < n {
		return nil, 0, 0, nil
	}
	return buf[headLen:n:n], buf[3], n, nil
}

// begin starts a packet; end writes its length.
func begin(dst []byte, seq byte) ([]byte, int) {
	return append(dst, 0, 0, 0, seq), len(dst)
}

func end(dst []byte, at int) []byte {
	n := len(dst) - at - headLen
	dst[at], dst[at+1], dst[at+2] = byte(n), byte(n>>8), byte(n>>16)
	return dst
}

// AppendPacket writes a payload as a packet.
func AppendPacket(dst []byte, seq byte, body []byte) []byte {
	dst, at := begin(dst, seq)
	return end(append(dst, body...), at)
}

func appendLenEnc(dst []byte, n uint64) []byte {
	switch {
	case n < 251:
		return append(dst, byte(n))
	case n < 1<<16:
		return append(dst, 0xfc, byte(n), byte(n>>8))
	case n < 1<<24:
		return append(dst, 0xfd, byte(n), byte(n>>8), byte(n>>16))
	}
	return binary.LittleEndian.AppendUint64(append(dst, 0xfe), n)
}

func appendLenStr(dst []byte, s string) []byte {
	return append(appendLenEnc(dst, uint64(len(s))), s...)
}

// reader takes a payload apart. Once something is missing it stays failed, so that one check at the end is enough.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if r.bad || n < 0 || n > len(r.b) {
		r.bad = true
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) uint16() uint16 {
	if b := r.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (r *reader) uint32() uint32 {
	if b := r.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

// lenEnc takes a length-encoded number. 0xfb, a NULL in rows, and 0xff are none.
func (r *reader) lenEnc() uint64 {
	switch first := r.byte(); first {
	case 0xfb, 0xff:
		r.bad = true
		return 0
	case 0xfc:
		return uint64(r.uint16())
	case 0xfd:
		if b := r.take(3); b != nil {
			return uint64(b[0]) | uint64(b[1])<<8 | uint64(b[2])<<16
		}
		return 0
	case 0xfe:
		if b := r.take(8); b != nil {
			return binary.LittleEndian.Uint64(b)
		}
		return 0
	default:
		return uint64(first)
	}
}

func (r *reader) lenStr() []byte {
	n := r.lenEnc()
	if n > uint64(len(r.b)) {
		r.bad = true
		return nil
	}
	return r.take(int(n))
}

// cstring takes a text up to its NUL byte.
func (r *reader) cstring() string {
	for i, c := range r.b {
		if c == 0 {
			s := string(r.b[:i])
			r.b = r.b[i+1:]
			return s
		}
	}
	r.bad = true
	return ""
}

func (r *reader) err() error {
	if r.bad {
		return ErrMalformed
	}
	return nil
}

// Capability flags, as they are named in the manual.
const (
	ClientLongPassword         = 1 << 0
	ClientFoundRows            = 1 << 1
	ClientLongFlag             = 1 << 2
	ClientConnectWithDB        = 1 << 3
	ClientProtocol41           = 1 << 9
	ClientSSL                  = 1 << 11
	ClientTransactions         = 1 << 13
	ClientSecureConnection     = 1 << 15
	ClientMultiStatements      = 1 << 16
	ClientMultiResults         = 1 << 17
	ClientPSMultiResults       = 1 << 18
	ClientPluginAuth           = 1 << 19
	ClientConnectAttrs         = 1 << 20
	ClientPluginAuthLenEncData = 1 << 21
	ClientSessionTrack         = 1 << 23
	ClientDeprecateEOF         = 1 << 24
	ClientQueryAttributes      = 1 << 27
)

// Status flags of a server.
const (
	StatusAutocommit          = 1 << 1
	StatusSessionStateChanged = 1 << 14
)

// charset utf8mb4_general_ci, what all text here is in.
const charset = 45

// Error numbers that say something to the proxy or its clients, each with the state that MySQL gives it.
const (
	ErrTooManyConnections = 1040 // 08004
	ErrHandshake          = 1043 // 08S01
	ErrAccessDenied       = 1045 // 28000
	ErrUnknownCommand     = 1047 // 08S01
	ErrServerShutdown     = 1053 // 08S01
	ErrParse              = 1064 // 42000
	ErrPacketTooLarge     = 1153 // 08S01
	ErrOutOfOrder         = 1156 // 08S01
	ErrUserLimit          = 1203 // 42000
	ErrWrongArguments     = 1210 // HY000
	ErrUnknownStatement   = 1243 // HY000
	ErrReadOnly           = 1290 // HY000: --super-read-only
	ErrQueryTimeout       = 3024 // HY000
	ErrTooManyStatements  = 1461 // 42000
	ErrMalformedPacket    = 1835 // HY000
	ErrReadOnlyMode       = 1836 // HY000
	ErrReadOnlyTrx        = 1792 // 25006
	ErrFailed             = 1105 // HY000: unknown error
	ErrTooFarBehind       = 1644 // 72000: signalled by a server's own guard; as PostgreSQL's databases say it here
	ErrServerIsolated     = 3159 // HY000
)

var states = map[uint16]string{ErrTooManyConnections: "08004", ErrHandshake: "08S01", ErrAccessDenied: "28000", ErrUnknownCommand: "08S01",
	ErrServerShutdown: "08S01", ErrParse: "42000", ErrPacketTooLarge: "08S01", ErrOutOfOrder: "08S01", ErrUserLimit: "42000",
	ErrTooManyStatements: "42000", ErrReadOnlyTrx: "25006", ErrTooFarBehind: "72000"}

// AppendErr writes an ERR packet.
func AppendErr(dst []byte, seq byte, number uint16, text string) []byte {
	state := states[number]
	if state == "" {
		state = "HY000"
	}
	dst, at := begin(dst, seq)
	dst = append(dst, 0xff, byte(number), byte(number>>8), '#')
	return end(append(append(dst, state...), text...), at)
}

// ServerError is an ERR packet, read.
type ServerError struct {
	Number uint16
	State  string
	Text   string
}

// Error formats the error as its number, its SQL state and its text.
func (e *ServerError) Error() string { return fmt.Sprintf("%d (%s): %s", e.Number, e.State, e.Text) }

// ParseErr reads an ERR packet. The state is missing in those that come before the handshake.
func ParseErr(body []byte) (e ServerError, err error) {
	r := &reader{b: body}
	if r.byte() != 0xff {
		return e, ErrMalformed
	}
	e.Number = r.uint16()
	if len(r.b) >= 6 && r.b[0] == '#' {
		e.State = string(r.take(6)[1:])
	}
	e.Text = string(r.b)
	return e, r.err()
}
