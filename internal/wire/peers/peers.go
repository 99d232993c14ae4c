// Package peers is what proxies of one tier tell one another: datagrams of 256 bytes at most, little-endian.
//
//	0      version, 1
//	1..4   the moment of the message: Unix time in milliseconds, its lowest 32 bits
//	then 8 bytes for each fact:
//	0..3   the database's short number
//	4..5   the role in the two highest bits, how it fares in the next two; below, how many milliseconds before that moment it was so
//	6..7   how many milliseconds before it the position lies; 65535 = not told
//
// All is rounded into the past. A message of another version, or of a length that doesn't fit, is an error as a whole.
package peers

import (
	"encoding/binary"
	"fmt"
	"time"

	"havenproxy/internal/peers"
)

const (
	// MaxMessage is the longest that may be sent, in bytes.
	MaxMessage = 256
	// MaxFacts is how many a message holds.
	MaxFacts = (MaxMessage - head) / size

	version    = 1
	head, size = 5, 8
	noPosition = 0xffff
	maxAge     = 1<<12 - 1
)

// Append writes a message. shared is the moment on the clock that all read, now the same on the proxy's own; facts that lie too far
// back to be told are left out. It appends nothing where none is left.
func Append(dst []byte, shared, now time.Duration, facts []peers.Report) []byte {
	start := len(dst)
	dst = append(dst, version)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(shared/time.Millisecond))
	for _, f := range facts[:min(len(facts), MaxFacts)] {
		age, lag := millis(now-f.At), millis(now-f.Position)
		if f.Position <= 0 || lag >= noPosition {
			lag = noPosition
		}
		if age > maxAge {
			continue
		}
		dst = binary.LittleEndian.AppendUint32(dst, f.Database)
		dst = binary.LittleEndian.AppendUint16(dst, uint16(f.Role)<<14|uint16(f.Status)<<12|uint16(age))
		dst = binary.LittleEndian.AppendUint16(dst, uint16(lag))
	}
	if len(dst) == start+head {
		return dst[:start]
	}
	return dst
}

// millis rounds up.
func millis(d time.Duration) int64 {
	return max(int64((d+time.Millisecond-1)/time.Millisecond), 0)
}

// Parse reads a message that has come at the moment shared, which is now on the proxy's own clock. It appends to dst.
func Parse(dst []peers.Report, buf []byte, shared, now time.Duration) ([]peers.Report, error) {
	if len(buf) < head+size || len(buf) > MaxMessage || (len(buf)-head)%size != 0 {
		return dst, fmt.Errorf("peers: a message of %d bytes", len(buf))
	}
	if buf[0] != version {
		return dst, fmt.Errorf("peers: version %d", buf[0])
	}
	// The nearest moment with these lowest bits, before or behind.
	here := int64(shared / time.Millisecond)
	moment := now - (shared - time.Duration(here)*time.Millisecond)
	moment += time.Duration(int32(binary.LittleEndian.Uint32(buf[1:])-uint32(here))) * time.Millisecond
	for b := buf[head:]; len(b) > 0; b = b[size:] {
		age, lag := binary.LittleEndian.Uint16(b[4:]), binary.LittleEndian.Uint16(b[6:])
		f := peers.Report{Database: binary.LittleEndian.Uint32(b), Role: peers.Role(age >> 14), Status: peers.Status(age >> 12 & 3),
			At: moment - time.Duration(age&maxAge)*time.Millisecond}
		if lag != noPosition {
			f.Position = moment - time.Duration(lag)*time.Millisecond
		}
		dst = append(dst, f)
	}
	return dst, nil
}
