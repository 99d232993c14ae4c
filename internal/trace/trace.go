// Package trace records clients' requests in a compact format without their identity: each request's time, class,
// group, size and a keyed hash of its session, so that the traffic of a day can be studied and replayed elsewhere.
// Requests are sampled by session, so that the sessions in a trace are complete, and a trace is limited in size.
//
// The format is a header followed by blocks. A block consists of its length and its CRC-32C, four bytes each,
// little-endian, and a payload of records. Truncation or corruption therefore affects only its own block, and is
// detected. The header is a block too, preceded by eight bytes that identify the format and its version.
//
// A record is a sequence of variable-length integers (as in encoding/binary): microseconds since the previous record
// (signed, as clocks may be set back), class, group, the session's number among those in this block followed by its
// eight-byte hash if it is new there, flags, the client's wait in milliseconds, and the size in bytes. Each block
// starts anew, so that it can be read without the others.
package trace

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"hash/crc32"
	"time"
)

// magic identifies the format; its last byte is the version.
var magic = [8]byte{'h', 'v', 'n', 't', 'r', 'a', 'c', 1}

const (
	blockSize       = 32 << 10 // payload size at which a block is written
	maxBlockSize    = 1 << 20  // longest block; a reader allocates no more than this
	maxClasses      = 1 << 12  // classes in a header
	blockHeaderSize = 8        // a block's length and checksum
)

// Flags of a record.
const (
	flagRetry = 1 << iota
	flagWrite
	flagsKnown = flagRetry | flagWrite
)

// Errors of a Reader. Records that were read before an error are valid.
var (
	ErrNotTrace  = errors.New("not a trace file")
	ErrVersion   = errors.New("a trace of another version")
	ErrTruncated = errors.New("the trace is cut off in the middle of a block")
	ErrCorrupt   = errors.New("trace block is corrupt")
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Header holds the properties of a whole trace.
type Header struct {
	StartedAt time.Duration // Unix time
	Sample    float64       // fraction of the sessions that is recorded
	Classes   []string
	SaltID    [8]byte // identifies the salt without revealing it: only hashes with the same salt can be compared
}

// Record is a request.
type Record struct {
	At      time.Duration // time since the start of the trace
	Class   int           // index in Header.Classes
	Group   int
	Session uint64 // keyed hash
	Retry   bool   // the client marked it as a retry
	Write   bool
	Wait    time.Duration // how long the client waits, in whole milliseconds
	Size    int           // bytes
}

// Salt is the secret key for hashing sessions.
type Salt []byte

// Hash returns the keyed hash of a session. Without the salt, a hash cannot be matched to a known session.
func (s Salt) Hash(session uint64) uint64 { return s.hasher().hash(session) }

// hasher hashes sessions with one salt without allocating for each.
type hasher struct {
	mac hash.Hash
	buf [sha256.Size]byte
}

func (s Salt) hasher() *hasher { return &hasher{mac: hmac.New(sha256.New, s)} }

func (h *hasher) hash(session uint64) uint64 {
	h.mac.Reset()
	binary.LittleEndian.PutUint64(h.buf[:], session)
	h.mac.Write(h.buf[:8])
	return binary.LittleEndian.Uint64(h.mac.Sum(h.buf[:0]))
}

// id identifies the salt.
func (s Salt) id() (out [8]byte) {
	mac := hmac.New(sha256.New, s)
	mac.Write([]byte("the name of this salt"))
	copy(out[:], mac.Sum(nil))
	return out
}

func appendBlock(dst, payload []byte) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.LittleEndian.AppendUint32(dst, crc32.Checksum(payload, crcTable))
	return append(dst, payload...)
}

func (h *Header) append(dst []byte) []byte {
	payload := binary.AppendVarint(nil, int64(h.StartedAt/time.Microsecond))
	payload = binary.AppendUvarint(payload, uint64(h.Sample*1e6))
	payload = append(payload, h.SaltID[:]...)
	payload = binary.AppendUvarint(payload, uint64(len(h.Classes)))
	for _, c := range h.Classes {
		payload = binary.AppendUvarint(payload, uint64(len(c)))
		payload = append(payload, c...)
	}
	return appendBlock(append(dst, magic[:]...), payload)
}

// encoder encodes records into blocks.
type encoder struct {
	payload  []byte
	last     time.Duration
	sessions map[uint64]int
}

func (e *encoder) add(r *Record) {
	if e.sessions == nil {
		e.sessions = map[uint64]int{}
	}
	if len(e.payload) == 0 { // blocks are independent: the first record's time counts from the start of the trace
		e.last = 0
	}
	p := binary.AppendVarint(e.payload, int64((r.At-e.last)/time.Microsecond))
	e.last += (r.At - e.last) / time.Microsecond * time.Microsecond
	p = binary.AppendUvarint(p, uint64(r.Class))
	p = binary.AppendUvarint(p, uint64(max(r.Group, 0)))
	n, known := e.sessions[r.Session]
	if !known {
		n = len(e.sessions)
		e.sessions[r.Session] = n
	}
	if p = binary.AppendUvarint(p, uint64(n)); !known {
		p = binary.LittleEndian.AppendUint64(p, r.Session)
	}
	flags := uint64(0)
	if r.Retry {
		flags |= flagRetry
	}
	if r.Write {
		flags |= flagWrite
	}
	p = binary.AppendUvarint(p, flags)
	p = binary.AppendUvarint(p, uint64(max(r.Wait, 0)/time.Millisecond))
	e.payload = binary.AppendUvarint(p, uint64(max(r.Size, 0)))
}

// takeBlock returns the current block and starts the next; nil if the block is empty.
func (e *encoder) takeBlock() []byte {
	if len(e.payload) == 0 {
		return nil
	}
	out := appendBlock(nil, e.payload)
	e.payload = e.payload[:0]
	clear(e.sessions)
	return out
}

// decode calls yield for the records of a block.
func decode(p []byte, classes int, yield func(Record) error) error {
	var sessions []uint64
	last := time.Duration(0)
	next := func() (uint64, error) {
		value, n := binary.Uvarint(p)
		if n <= 0 {
			return 0, ErrCorrupt
		}
		p = p[n:]
		return value, nil
	}
	for len(p) > 0 {
		gap, n := binary.Varint(p)
		if n <= 0 {
			return ErrCorrupt
		}
		p = p[n:]
		var fields [6]uint64 // class, group, session, flags, wait, size
		for i := range fields {
			var err error
			if fields[i], err = next(); err != nil {
				return err
			}
			if i == 2 && fields[i] == uint64(len(sessions)) {
				if len(p) < 8 {
					return ErrCorrupt
				}
				sessions = append(sessions, binary.LittleEndian.Uint64(p))
				p = p[8:]
			}
		}
		switch {
		case fields[0] >= uint64(classes):
			return fmt.Errorf("%w: class %d of %d", ErrCorrupt, fields[0], classes)
		case fields[2] >= uint64(len(sessions)), fields[1] > 1<<31, fields[4] > 1<<40, fields[5] > 1<<40, gap > 1<<53, gap < -(1 << 53):
			return ErrCorrupt
		case fields[3]&^uint64(flagsKnown) != 0:
			return fmt.Errorf("%w: flags %x", ErrVersion, fields[3])
		}
		last += time.Duration(gap) * time.Microsecond
		if err := yield(Record{At: last, Class: int(fields[0]), Group: int(fields[1]), Session: sessions[fields[2]], Retry: fields[3]&flagRetry != 0,
			Write: fields[3]&flagWrite != 0, Wait: time.Duration(fields[4]) * time.Millisecond, Size: int(fields[5])}); err != nil {
			return err
		}
	}
	return nil
}
