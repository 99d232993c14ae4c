// Package trace keeps what clients asked, in a compact form that leaves out who they are: when each request came, its class,
// group and size, and its session as a keyed hash, so that a day can be studied and played again elsewhere. It is sampled by
// session, so that the sessions in it are whole, and bounded in size.
//
// The form: a head, then blocks. A block is its length and its CRC-32C, four bytes each, little-endian, and a payload of
// records. So what was cut off, or damaged, costs its own block at most, and is noticed. The head is a block as well, behind
// eight bytes that name the form and its version.
//
// A record is variable-length numbers (encoding/binary's): microseconds since the record before (signed: clocks are set back),
// class, group, the session's number among those met in this block, then, where it is new there, its hash of eight bytes; flags;
// the client's time in milliseconds; the size in bytes. Each block begins anew, so that one can be read without the others.
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

// magic names the form; its last byte is the version.
var magic = [8]byte{'h', 'v', 'n', 't', 'r', 'a', 'c', 1}

const (
	blockSize       = 32 << 10 // a block is written once it holds so much
	maxBlockSize    = 1 << 20  // none is longer; a reader allocates no more than this
	maxClasses      = 1 << 12  // classes in a head
	blockHeaderSize = 8        // a block's length and sum
)

// Flags of a record.
const (
	flagRetry = 1 << iota
	flagWrite
	flagsKnown = flagRetry | flagWrite
)

// The errors of a reader. What was read before one stands.
var (
	ErrNotTrace  = errors.New("this is no trace")
	ErrVersion   = errors.New("a trace of another version")
	ErrTruncated = errors.New("the trace is cut off in the middle of a block")
	ErrCorrupt   = errors.New("a block of the trace is damaged")
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Header is what holds for a whole trace.
type Header struct {
	StartedAt time.Duration // Unix time
	Sample    float64       // part of the sessions that are in it
	Classes   []string
	SaltID    [8]byte // names the salt without telling it: only hashes of the same one can be held against each other
}

// Record is one request.
type Record struct {
	At      time.Duration // since the trace began
	Class   int           // its place in the head
	Group   int
	Session uint64 // a keyed hash
	Retry   bool   // the client said that it is a repeat
	Write   bool
	Wait    time.Duration // how long its client waits, in whole milliseconds
	Size    int           // bytes
}

// Salt is the secret that sessions are hashed with.
type Salt []byte

// Hash hides a session. Without the salt nobody can tell whether a known name is behind a hash.
func (s Salt) Hash(session uint64) uint64 { return s.hasher().hash(session) }

// hasher hashes many sessions with one salt, and allocates nothing for each.
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

// name tells salts apart.
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
	p := binary.AppendVarint(nil, int64(h.StartedAt/time.Microsecond))
	p = binary.AppendUvarint(p, uint64(h.Sample*1e6))
	p = append(p, h.SaltID[:]...)
	p = binary.AppendUvarint(p, uint64(len(h.Classes)))
	for _, c := range h.Classes {
		p = binary.AppendUvarint(p, uint64(len(c)))
		p = append(p, c...)
	}
	return appendBlock(append(dst, magic[:]...), p)
}

// encoder puts records into blocks.
type encoder struct {
	payload  []byte
	last     time.Duration
	sessions map[uint64]int
}

func (e *encoder) add(r *Record) {
	if e.sessions == nil {
		e.sessions = map[uint64]int{}
	}
	if len(e.payload) == 0 { // a block stands by itself: its first record's time counts from the trace's beginning
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

// take gives the block in hand and begins the next.
func (e *encoder) takeBlock() []byte {
	if len(e.payload) == 0 {
		return nil
	}
	out := appendBlock(nil, e.payload)
	e.payload = e.payload[:0]
	clear(e.sessions)
	return out
}

// decode reads a block's records.
func decode(p []byte, classes int, each func(Record) error) error {
	var sessions []uint64
	last := time.Duration(0)
	next := func() (uint64, error) {
		x, n := binary.Uvarint(p)
		if n <= 0 {
			return 0, ErrCorrupt
		}
		p = p[n:]
		return x, nil
	}
	for len(p) > 0 {
		gap, n := binary.Varint(p)
		if n <= 0 {
			return ErrCorrupt
		}
		p = p[n:]
		var v [6]uint64 // class, group, session, flags, wait, size
		for i := range v {
			var err error
			if v[i], err = next(); err != nil {
				return err
			}
			if i == 2 && v[i] == uint64(len(sessions)) {
				if len(p) < 8 {
					return ErrCorrupt
				}
				sessions = append(sessions, binary.LittleEndian.Uint64(p))
				p = p[8:]
			}
		}
		switch {
		case v[0] >= uint64(classes):
			return fmt.Errorf("%w: class %d of %d", ErrCorrupt, v[0], classes)
		case v[2] >= uint64(len(sessions)), v[1] > 1<<31, v[4] > 1<<40, v[5] > 1<<40, gap > 1<<53, gap < -(1 << 53):
			return ErrCorrupt
		case v[3]&^uint64(flagsKnown) != 0:
			return fmt.Errorf("%w: flags %x", ErrVersion, v[3])
		}
		last += time.Duration(gap) * time.Microsecond
		if err := each(Record{At: last, Class: int(v[0]), Group: int(v[1]), Session: sessions[v[2]], Retry: v[3]&flagRetry != 0,
			Write: v[3]&flagWrite != 0, Wait: time.Duration(v[4]) * time.Millisecond, Size: int(v[5])}); err != nil {
			return err
		}
	}
	return nil
}
