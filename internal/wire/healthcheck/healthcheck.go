// Package healthcheck encodes and decodes the health check messages between proxies and planners. Integers are
// little-endian. A message begins with a header:
//
//	0       version, 2
//	1       kind of message: 1 = reports of a proxy, 2 = digest of a planner
//	2       0
//	3..6    ID of the sending proxy; 0 in a digest
//	7..10   epoch of the sending process; 0 in a digest
//	11..12  number of entries that follow
//
// An entry is a report of 20 bytes; in a digest, one byte with the kind of change precedes it:
//
//	0..3    ID of the checker that made the observation
//	4..7    epoch of that checker's process
//	8..11   numeric ID of the database
//	12..15  time of the observation: the lowest 32 bits of the Unix time in milliseconds
//	16      status in the lower four bits, role in the upper four
//	17      0
//	18..19  distance of the replication position behind that time in milliseconds; 65535 = unknown
//
// A whole message is rejected if its version is unknown or its length does not fit.
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
	version         = 2 // internal/wire/peers uses version 1, and its datagrams may arrive at the same socket
	kindMessage     = 1
	kindDigest      = 2
	unknownPosition = 0xffff
)

// ErrMessage is returned for a message that can't be decoded.
var ErrMessage = errors.New("invalid health check message")

// Clock holds one moment as Unix time and as the time of the process's own clock, Now.
type Clock struct{ Unix, Now time.Duration }

// AppendMessage appends a proxy's message to dst.
func AppendMessage(dst []byte, clock Clock, message healthcheck.Message) []byte {
	dst = appendHeader(dst, kindMessage, message.From, message.Epoch, len(message.Reports))
	for _, report := range message.Reports {
		dst = appendReport(dst, clock, report)
	}
	return dst
}

// AppendDigest appends a planner's digest to dst.
func AppendDigest(dst []byte, clock Clock, digest healthcheck.Digest) []byte {
	dst = appendHeader(dst, kindDigest, 0, 0, len(digest.Changes))
	for _, change := range digest.Changes {
		dst = append(dst, byte(change.Kind))
		dst = appendReport(dst, clock, change.Report)
	}
	return dst
}

// ParseMessage decodes a proxy's message and converts its times to the process's own clock. Errors wrap ErrMessage.
func ParseMessage(buf []byte, clock Clock) (message healthcheck.Message, err error) {
	entries, err := parseHeader(buf, kindMessage, healthcheck.ReportBytes)
	if err != nil {
		return message, err
	}
	message.From, message.Epoch = subset.ProxyID(binary.LittleEndian.Uint32(buf[3:])), binary.LittleEndian.Uint32(buf[7:])
	for ; len(entries) > 0; entries = entries[healthcheck.ReportBytes:] {
		message.Reports = append(message.Reports, parseReport(entries, clock))
	}
	return message, nil
}

// ParseDigest decodes a planner's digest and converts its times to the process's own clock. Errors wrap ErrMessage.
func ParseDigest(buf []byte, clock Clock) (digest healthcheck.Digest, err error) {
	entries, err := parseHeader(buf, kindDigest, healthcheck.ChangeBytes)
	if err != nil {
		return digest, err
	}
	for ; len(entries) > 0; entries = entries[healthcheck.ChangeBytes:] {
		kind := healthcheck.ChangeKind(entries[0])
		if kind > healthcheck.CheckerResumed {
			return digest, fmt.Errorf("%w: unknown kind of change %d", ErrMessage, kind)
		}
		digest.Changes = append(digest.Changes, healthcheck.Change{Kind: kind, Report: parseReport(entries[1:], clock)})
	}
	return digest, nil
}

func appendHeader(dst []byte, kind byte, from subset.ProxyID, epoch uint32, entries int) []byte {
	dst = append(dst, version, kind, 0)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(from))
	dst = binary.LittleEndian.AppendUint32(dst, epoch)
	return binary.LittleEndian.AppendUint16(dst, uint16(entries))
}

// parseHeader checks a message's header and length and returns its entries, each of entrySize bytes.
func parseHeader(buf []byte, kind byte, entrySize int) ([]byte, error) {
	if len(buf) < healthcheck.HeaderBytes || buf[0] != version || buf[1] != kind {
		return nil, fmt.Errorf("%w: %d bytes, too short or of another version or kind", ErrMessage, len(buf))
	}
	entries := buf[healthcheck.HeaderBytes:]
	if count := int(binary.LittleEndian.Uint16(buf[11:])); len(entries) != count*entrySize {
		return nil, fmt.Errorf("%w: %d bytes for %d entries", ErrMessage, len(buf), count)
	}
	return entries, nil
}

func appendReport(dst []byte, clock Clock, report healthcheck.Report) []byte {
	lag := (report.ObservedAt - report.Position + time.Millisecond - 1) / time.Millisecond // rounds the position into the past
	if report.Position <= 0 || lag >= unknownPosition || lag < 0 {
		lag = unknownPosition
	}
	observedMillis := uint32((clock.Unix + report.ObservedAt - clock.Now) / time.Millisecond)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(report.Origin))
	dst = binary.LittleEndian.AppendUint32(dst, report.Epoch)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(report.Database))
	dst = binary.LittleEndian.AppendUint32(dst, observedMillis)
	dst = append(dst, byte(report.Status)&0xf|byte(report.Role)<<4, 0)
	return binary.LittleEndian.AppendUint16(dst, uint16(lag))
}

func parseReport(buf []byte, clock Clock) healthcheck.Report {
	nowMillis := uint32(clock.Unix / time.Millisecond)
	offsetMillis := int32(binary.LittleEndian.Uint32(buf[12:]) - nowMillis) // selects the moment nearest to now with these lowest bits
	report := healthcheck.Report{
		Origin:     subset.ProxyID(binary.LittleEndian.Uint32(buf)),
		Epoch:      binary.LittleEndian.Uint32(buf[4:]),
		Database:   subset.DatabaseID(binary.LittleEndian.Uint32(buf[8:])),
		Status:     healthcheck.Status(buf[16] & 0xf),
		Role:       subset.Role(buf[16] >> 4),
		ObservedAt: clock.Now - clock.Unix%time.Millisecond + time.Duration(offsetMillis)*time.Millisecond,
	}
	if lag := binary.LittleEndian.Uint16(buf[18:]); lag != unknownPosition {
		report.Position = report.ObservedAt - time.Duration(lag)*time.Millisecond
	}
	return report
}
