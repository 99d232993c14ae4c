// Package peers encodes and decodes the datagrams in which the proxies of one tier report database states to one
// another. A datagram has at most 256 bytes; integers are little-endian:
//
//	0      version, 1
//	1..4   send time: the lowest 32 bits of the Unix time in milliseconds
//
// Each report follows in 8 bytes:
//
//	0..3   numeric ID of the database
//	4..5   role in the two highest bits, status in the next two, age of the observation in milliseconds in the lower 12
//	6..7   distance of the replication position behind the send time in milliseconds; 65535 = unknown
//
// Times are rounded into the past. Parse rejects a whole message if its version is unknown or its length does not fit.
package peers

import (
	"encoding/binary"
	"fmt"
	"time"

	"havenproxy/internal/peers"
)

const (
	// MaxMessage is the maximum length of a message in bytes.
	MaxMessage = 256
	// MaxReports is the maximum number of reports in a message.
	MaxReports = (MaxMessage - headerSize) / reportSize

	version                = 1
	headerSize, reportSize = 5, 8
	unknownPosition        = 0xffff
	maxAge                 = 1<<12 - 1
)

// Append appends a message with at most MaxReports of the reports to dst. sharedNow and now are the same moment on the
// clock that all proxies share and on the proxy's own clock. Reports too old for the age field are left out; if none
// is left, dst is returned unchanged.
func Append(dst []byte, sharedNow, now time.Duration, reports []peers.Report) []byte {
	start := len(dst)
	dst = append(dst, version)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(sharedNow/time.Millisecond))
	for _, report := range reports[:min(len(reports), MaxReports)] {
		age, lag := roundUpMillis(now-report.At), roundUpMillis(now-report.Position)
		if report.Position <= 0 || lag >= unknownPosition {
			lag = unknownPosition
		}
		if age > maxAge {
			continue
		}
		dst = binary.LittleEndian.AppendUint32(dst, report.Database)
		dst = binary.LittleEndian.AppendUint16(dst, uint16(report.Role)<<14|uint16(report.Status)<<12|uint16(age))
		dst = binary.LittleEndian.AppendUint16(dst, uint16(lag))
	}
	if len(dst) == start+headerSize {
		return dst[:start]
	}
	return dst
}

// roundUpMillis returns d in milliseconds, rounded up, and 0 for a negative d.
func roundUpMillis(d time.Duration) int64 {
	return max(int64((d+time.Millisecond-1)/time.Millisecond), 0)
}

// Parse appends the reports of a message to dst, with their times on the proxy's own clock. sharedNow and now are the
// time of receipt on the shared and on the proxy's own clock. It returns an error if the version is unknown or the
// length does not fit.
func Parse(dst []peers.Report, buf []byte, sharedNow, now time.Duration) ([]peers.Report, error) {
	if len(buf) < headerSize+reportSize || len(buf) > MaxMessage || (len(buf)-headerSize)%reportSize != 0 {
		return dst, fmt.Errorf("peers: invalid message length %d", len(buf))
	}
	if buf[0] != version {
		return dst, fmt.Errorf("peers: unsupported message version %d", buf[0])
	}
	// The send time is the moment nearest to now, in either direction, whose lowest 32 bits match.
	nowMillis := int64(sharedNow / time.Millisecond)
	sentAt := now - (sharedNow - time.Duration(nowMillis)*time.Millisecond)
	sentAt += time.Duration(int32(binary.LittleEndian.Uint32(buf[1:])-uint32(nowMillis))) * time.Millisecond
	for b := buf[headerSize:]; len(b) > 0; b = b[reportSize:] {
		age, lag := binary.LittleEndian.Uint16(b[4:]), binary.LittleEndian.Uint16(b[6:])
		report := peers.Report{Database: binary.LittleEndian.Uint32(b), Role: peers.Role(age >> 14), Status: peers.Status(age >> 12 & 3),
			At: sentAt - time.Duration(age&maxAge)*time.Millisecond}
		if lag != unknownPosition {
			report.Position = sentAt - time.Duration(lag)*time.Millisecond
		}
		dst = append(dst, report)
	}
	return dst, nil
}
