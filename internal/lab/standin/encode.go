package standin

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

// ReportText words a database's load report; at is the report's position on the wall clock.
func ReportText(at time.Time, r fleet.Report) string {
	primary := 0
	if r.Role == logic.RolePrimary {
		primary = 1
	}
	return fmt.Sprintf("x0=%.6f,x1=%d,inflight=%d", float64(at.UnixMicro())/1e6, primary, r.Inflight)
}

// AppendReport writes the answer to a health check.
func AppendReport(dst []byte, at time.Time, r fleet.Report) []byte {
	return appendRow(dst, ReportText(at, r), "", 0)
}

// AppendReply writes the answer to a statement. Its value names the request and how far the data goes, so that who asked can tell a
// wrong answer and one that is too old. Positions are rounded down, so that data never looks fresher; a commit is rounded up, so that a
// session asks for no less than it wrote.
func AppendReply(dst []byte, id string, result fleet.Result, role string, atMs int64) []byte {
	switch result {
	case fleet.Served:
		return appendRow(dst, id+"@"+strconv.FormatInt(atMs, 10), role, atMs)
	case fleet.NotPrimary:
		dst = append(dst, errorOf(pg.CodeReadOnlyTransaction, "this is no primary")...)
	case fleet.TooFarBack:
		dst = append(dst, errorOf(pg.CodeSnapshotTooOld, "too far behind")...)
	case fleet.TurnedAway:
		dst = append(dst, errorOf(pg.CodeTooManyConnections, "turned away")...)
	default:
		dst = append(dst, errorOf("XX000", "deposed")...)
	}
	return pg.AppendReadyForQuery(appendParams(dst, role, atMs))
}

// Instance is a database as discovery lists it.
type Instance struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Group     int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// listing is the body of discovery's answer.
type listing struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// InstanceID is the name under which discovery lists a member.
func InstanceID(member int) string { return fmt.Sprintf("s-%08x", member+1) }

// EncodeList writes the body of discovery's answer: the whole list, or the news where whole is false.
func EncodeList(generation int64, whole bool, instances []Instance) []byte {
	if instances == nil {
		instances = []Instance{}
	}
	out, err := json.Marshal(listing{generation, whole, instances})
	if err != nil {
		panic(err) // a weight that is no number
	}
	return out
}

// appendRow writes an answer of one row, the way PROTOCOL words it: role and position stand before ReadyForQuery.
func appendRow(dst []byte, value, role string, atMs int64) []byte {
	dst = message(dst, 'T', func(b []byte) []byte {
		b = append(b, 0, 1)
		b = append(b, "val\x00"...)
		b = append(b, 0, 0, 0, 0, 0, 0)
		b = binary.BigEndian.AppendUint32(b, 25) // text
		return append(b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	})
	dst = message(dst, 'D', func(b []byte) []byte {
		b = append(b, 0, 1)
		b = binary.BigEndian.AppendUint32(b, uint32(len(value)))
		return append(b, value...)
	})
	dst = message(dst, 'C', func(b []byte) []byte { return append(b, "SELECT 1\x00"...) })
	return pg.AppendReadyForQuery(appendParams(dst, role, atMs))
}

func appendParams(dst []byte, role string, atMs int64) []byte {
	if role != "" {
		dst = message(dst, 'S', func(b []byte) []byte { return append(append(append(b, "role\x00"...), role...), 0) })
	}
	if atMs > 0 {
		dst = message(dst, 'S', func(b []byte) []byte {
			return append(strconv.AppendInt(append(b, "applied_ms\x00"...), atMs, 10), 0)
		})
	}
	return dst
}

func errorOf(code, text string) []byte {
	return message(nil, 'E', func(b []byte) []byte {
		return fmt.Appendf(b, "SERROR\x00VERROR\x00C%s\x00M%s\x00\x00", code, text)
	})
}

func message(dst []byte, kind byte, body func([]byte) []byte) []byte {
	at := len(dst) + 1
	dst = body(append(dst, kind, 0, 0, 0, 0))
	binary.BigEndian.PutUint32(dst[at:], uint32(len(dst)-at))
	return dst
}
