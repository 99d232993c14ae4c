// Package healthcheck packs what proxies and planners report to one another of databases, little-endian.
//
//	0       version, 2
//	1       the kind of message: 1 = of a proxy, 2 = a digest of a planner
//	2       0
//	3..6    the proxy that sends it; 0 in a digest
//	7..10   the epoch of its process; 0 in a digest
//	11..12  how many entries follow
//
// An entry is a report of 20 bytes; in a digest the kind of the change, one byte, comes before it:
//
//	0..3    the checker that it comes from
//	4..7    the epoch of that checker's process
//	8..11   the database's short number
//	12..15  when it was so: Unix time in milliseconds, its lowest 32 bits
//	16      the status in the lower four bits, the role in the others
//	17      0
//	18..19  how many milliseconds before that the position lies; 65535 = not told
//
// A message of another version, or of a length that doesn't fit, is an error as a whole.
package healthcheck

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"havenproxy/internal/healthcheck"
	"havenproxy/internal/subset"
)

const (
	version     = 2 // 1 is internal/wire/peers, whose datagrams may come to the same socket
	kindMessage = 1
	kindDigest  = 2
	noPosition  = 0xffff
)

// ErrMessage tells of a message that can't be read.
var ErrMessage = errors.New("health check message that can't be read")

// Clock relates a process's own clock, Now, to the one that all read, Unix, at one moment.
type Clock struct{ Unix, Now time.Duration }

// AppendMessage appends a proxy's message.
func AppendMessage(dst []byte, clock Clock, m healthcheck.Message) []byte {
	dst = appendHeader(dst, kindMessage, m.From, m.Epoch, len(m.Reports))
	for _, r := range m.Reports {
		dst = appendReport(dst, clock, r)
	}
	return dst
}

// AppendDigest appends a planner's digest.
func AppendDigest(dst []byte, clock Clock, d healthcheck.Digest) []byte {
	dst = appendHeader(dst, kindDigest, 0, 0, len(d.Changes))
	for _, c := range d.Changes {
		dst = append(dst, byte(c.Kind))
		dst = appendReport(dst, clock, c.Report)
	}
	return dst
}

// ParseMessage reads a proxy's message.
func ParseMessage(buf []byte, clock Clock) (m healthcheck.Message, err error) {
	entries, err := parseHeader(buf, kindMessage, healthcheck.ReportBytes)
	if err != nil {
		return m, err
	}
	m.From, m.Epoch = subset.ProxyID(binary.LittleEndian.Uint32(buf[3:])), binary.LittleEndian.Uint32(buf[7:])
	for ; len(entries) > 0; entries = entries[healthcheck.ReportBytes:] {
		m.Reports = append(m.Reports, parseReport(entries, clock))
	}
	return m, nil
}

// ParseDigest reads a planner's digest.
func ParseDigest(buf []byte, clock Clock) (d healthcheck.Digest, err error) {
	entries, err := parseHeader(buf, kindDigest, healthcheck.ChangeBytes)
	if err != nil {
		return d, err
	}
	for ; len(entries) > 0; entries = entries[healthcheck.ChangeBytes:] {
		kind := healthcheck.ChangeKind(entries[0])
		if kind > healthcheck.CheckerResumed {
			return d, fmt.Errorf("%w: change of kind %d", ErrMessage, kind)
		}
		d.Changes = append(d.Changes, healthcheck.Change{Kind: kind, Report: parseReport(entries[1:], clock)})
	}
	return d, nil
}

func appendHeader(dst []byte, kind byte, from subset.ProxyID, epoch uint32, entries int) []byte {
	dst = append(dst, version, kind, 0)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(from))
	dst = binary.LittleEndian.AppendUint32(dst, epoch)
	return binary.LittleEndian.AppendUint16(dst, uint16(entries))
}

// parseHeader checks a message's header and length, and gives its entries.
func parseHeader(buf []byte, kind byte, size int) ([]byte, error) {
	if len(buf) < healthcheck.HeaderBytes || buf[0] != version || buf[1] != kind {
		return nil, fmt.Errorf("%w: %d bytes, of another version or kind", ErrMessage, len(buf))
	}
	entries := buf[healthcheck.HeaderBytes:]
	if n := int(binary.LittleEndian.Uint16(buf[11:])); len(entries) != n*size {
		return nil, fmt.Errorf("%w: %d bytes for %d entries", ErrMessage, len(buf), n)
	}
	return entries, nil
}

func appendReport(dst []byte, clock Clock, r healthcheck.Report) []byte {
	lag := (r.ObservedAt - r.Position + time.Millisecond - 1) / time.Millisecond // rounded into the past
	if r.Position <= 0 || lag >= noPosition || lag < 0 {
		lag = noPosition
	}
	at := uint32((clock.Unix + r.ObservedAt - clock.Now) / time.Millisecond)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(r.Origin))
	dst = binary.LittleEndian.AppendUint32(dst, r.Epoch)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(r.Database))
	dst = binary.LittleEndian.AppendUint32(dst, at)
	dst = append(dst, byte(r.Status)&0xf|byte(r.Role)<<4, 0)
	return binary.LittleEndian.AppendUint16(dst, uint16(lag))
}

func parseReport(buf []byte, clock Clock) healthcheck.Report {
	here := uint32(clock.Unix / time.Millisecond)
	ahead := int32(binary.LittleEndian.Uint32(buf[12:]) - here) // the nearest moment with these bits
	r := healthcheck.Report{
		Origin:     subset.ProxyID(binary.LittleEndian.Uint32(buf)),
		Epoch:      binary.LittleEndian.Uint32(buf[4:]),
		Database:   subset.DatabaseID(binary.LittleEndian.Uint32(buf[8:])),
		Status:     healthcheck.Status(buf[16] & 0xf),
		Role:       subset.Role(buf[16] >> 4),
		ObservedAt: clock.Now - clock.Unix%time.Millisecond + time.Duration(ahead)*time.Millisecond,
	}
	if lag := binary.LittleEndian.Uint16(buf[18:]); lag != noPosition {
		r.Position = r.ObservedAt - time.Duration(lag)*time.Millisecond
	}
	return r
}
