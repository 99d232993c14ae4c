// Package sim implements the simulator's binary protocol: it decodes frames of events into values of package logic
// and encodes actions into frames. It contains no routing logic.
package sim

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"havenproxy/internal/peers"
	wirepeers "havenproxy/internal/wire/peers"
	"havenproxy/logic"
)

// Event codes, in the first byte of each event record.
const (
	codeMemberTable      = 16
	codeMemberList       = 17
	codeTimerExpiry      = 18
	codeInstanceStart    = 19
	codeProbeEnd         = 20
	codeAttemptOutcome   = 21
	codeInstanceStop     = 22
	codeRequestArrival   = 23
	codeResponseStart    = 24
	codeRequestAbandoned = 25
	codePeerMessage      = 26
)

// Action codes, in the first byte of each action record.
const (
	actionSend        = 16
	actionRefuse      = 17
	actionFail        = 18
	actionCancel      = 19
	actionSetTimer    = 20
	actionProbe       = 21
	actionCloseIdle   = 22
	actionPeerMessage = 23
	actionLog         = 24
	actionFailure     = 25
	actionWatchList   = 26
	actionFetchList   = 27
)

const (
	eventHeaderSize, eventRecordSize   = 16, 48
	actionHeaderSize, actionRecordSize = 8, 24
	memberSize                         = 29
	maxFrameSize                       = 1 << 30 // bytes; far above any batch, so a larger length means that the frame is corrupt
	maxMemberTables                    = 16
)

// EventKind is the type of an Event.
type EventKind uint8

// The kinds of events delivered to instances.
const (
	InstanceStart EventKind = iota
	InstanceStop
	MemberListUpdate
	RequestArrival
	ResponseStart
	AttemptOutcome
	ProbeEnd
	TimerExpiry
	RequestAbandoned
	PeerMessage
)

// Event is a decoded event for one instance. Only the fields that belong to its Kind are set.
type Event struct {
	Kind      EventKind
	Instance  uint32
	Seed      uint64
	Settings  []byte
	Members   logic.MemberList
	Request   logic.Request
	RequestID logic.RequestID
	Attempt   int
	Outcome   logic.Outcome
	Probe     logic.ProbeEnd
	Timer     logic.TimerID
	Message   []byte // sent by a peer instance
}

// ReportFormat describes how to decode the load reports and positions in an instance's records. It comes from the
// instance's settings.
type ReportFormat struct {
	Origin time.Duration // time from which positions are counted
	Fields []string      // names of the values in a load report, in order
}

// Decoder reads and decodes batches of events. It keeps the numbered member tables, which all instances share.
type Decoder struct {
	r            *bufio.Reader
	payload      []byte
	memberTables [maxMemberTables][]logic.Member
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: bufio.NewReaderSize(r, 1<<16)} }

// Batch is one frame of events: the simulator's time, fixed-size records, and a tail with the variable-length data that
// the records refer to.
type Batch struct {
	Now     time.Duration
	Count   int
	records []byte
	tail    []byte
}

// ReadBatch reads one batch, which is valid until the next call. It returns io.EOF if the input ends between two frames,
// and another error for a truncated frame or a length that can't hold the frame's records.
func (d *Decoder) ReadBatch() (Batch, error) {
	var header [eventHeaderSize]byte
	if _, err := io.ReadFull(d.r, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Batch{}, errors.New("frame: input ends within the 16-byte header")
		}
		return Batch{}, err
	}
	size := binary.LittleEndian.Uint32(header[:])
	count := binary.LittleEndian.Uint32(header[12:])
	if size < eventHeaderSize || size > maxFrameSize || uint64(count)*eventRecordSize > uint64(size)-eventHeaderSize {
		return Batch{}, fmt.Errorf("frame: length %d at byte 0 can't hold %d records", size, count)
	}
	if err := d.readPayload(int(size) - eventHeaderSize); err != nil {
		return Batch{}, err
	}
	recordsSize := int(count) * eventRecordSize
	return Batch{Now: micros64(binary.LittleEndian.Uint64(header[4:])), Count: int(count),
		records: d.payload[:recordsSize], tail: d.payload[recordsSize:]}, nil
}

// readPayload reads n bytes into the payload. It grows the buffer only as data arrives, so that a frame with a corrupt length
// causes no large allocation.
func (d *Decoder) readPayload(n int) error {
	d.payload = d.payload[:0]
	for len(d.payload) < n {
		chunk := min(n-len(d.payload), 1<<16)
		start := len(d.payload)
		for cap(d.payload) < start+chunk {
			d.payload = append(d.payload[:cap(d.payload)], 0)
		}
		d.payload = d.payload[:start+chunk]
		if read, err := io.ReadFull(d.r, d.payload[start:]); err != nil {
			return fmt.Errorf("frame: input ends after %d of %d bytes", eventHeaderSize+start+read, eventHeaderSize+n)
		}
	}
	return nil
}

func micros64(v uint64) time.Duration { return time.Duration(v) * time.Microsecond }

// record is one event or action record. Its methods read and write fields at byte offsets.
type record []byte

func (r record) u8(off int) uint8   { return r[off] }
func (r record) u16(off int) uint16 { return binary.LittleEndian.Uint16(r[off:]) }
func (r record) u32(off int) uint32 { return binary.LittleEndian.Uint32(r[off:]) }
func (r record) u64(off int) uint64 { return binary.LittleEndian.Uint64(r[off:]) }
func (r record) f32(off int) float32 {
	return math.Float32frombits(binary.LittleEndian.Uint32(r[off:]))
}

func (r record) micros(off int) time.Duration { return time.Duration(r.u32(off)) * time.Microsecond }

// member decodes an IPv4 address and a port as one opaque member id.
func (r record) member(off int) logic.MemberID {
	return logic.MemberID(uint64(binary.BigEndian.Uint32(r[off:]))<<16 | uint64(r.u16(off+4)))
}

// slice returns the part of the tail that begins at offset and holds count units of unit bytes each. It returns an
// error if that part exceeds the tail.
func (b Batch) slice(offset, count uint32, unit uint64) ([]byte, error) {
	end := uint64(offset) + uint64(count)*unit
	if end > uint64(len(b.tail)) {
		return nil, fmt.Errorf("offset %d with length %d lies outside the tail of %d bytes", offset, count, len(b.tail))
	}
	return b.tail[offset:end], nil
}

// Decode decodes the events of b in order and calls handle for each. It stores member tables in the Decoder instead.
// formatOf returns an instance's report format, and whether the instance exists. Decode stops at the first record that
// can't be decoded or for which handle fails, and returns an error with the record's index and code.
func (d *Decoder) Decode(b Batch, formatOf func(instance uint32) (ReportFormat, bool), handle func(Event) error) error {
	for i := 0; i < b.Count; i++ {
		rec := record(b.records[i*eventRecordSize : (i+1)*eventRecordSize])
		if rec.u8(0) == codeMemberTable {
			if err := d.decodeMemberTable(b, rec); err != nil {
				return fmt.Errorf("record %d (code %d): %w", i, rec.u8(0), err)
			}
			continue
		}
		e := Event{Instance: rec.u32(1)}
		format, ok := formatOf(e.Instance)
		if !ok && rec.u8(0) != codeInstanceStart {
			return fmt.Errorf("record %d (code %d): instance %d is unknown", i, rec.u8(0), e.Instance)
		}
		if err := d.decodeEvent(b, rec, format, &e); err != nil {
			return fmt.Errorf("record %d (code %d): %w", i, rec.u8(0), err)
		}
		if err := handle(e); err != nil {
			return fmt.Errorf("record %d (code %d): %w", i, rec.u8(0), err)
		}
	}
	return nil
}

// decodeMemberTable decodes a member list and stores it under the number in rec.
func (d *Decoder) decodeMemberTable(b Batch, rec record) error {
	table := rec.u8(1)
	if table >= maxMemberTables {
		return fmt.Errorf("list number %d is above %d", table, maxMemberTables-1)
	}
	raw, err := b.slice(rec.u32(2), rec.u32(6), memberSize)
	if err != nil {
		return err
	}
	members := make([]logic.Member, 0, len(raw)/memberSize)
	for ; len(raw) > 0; raw = raw[memberSize:] {
		entry := record(raw[:memberSize])
		member := logic.Member{ID: entry.member(0), Zone: int(entry.u16(6)), Group: logic.GroupID(entry.u16(10)),
			Primary: entry.f32(13) == 1, Size: float64(entry.f32(17)), StartedAt: micros64(entry.u64(21))}
		switch entry.u8(12) {
		case 1:
			member.State = logic.Ready
		case 2:
			member.State = logic.Draining
		}
		members = append(members, member)
	}
	d.memberTables[table] = members
	return nil
}

// listKinds is indexed by the list scope in a record.
var listKinds = [...]logic.ListKind{logic.ListDelta, logic.ListFull, logic.ListCached, logic.ListFailed}

// decodeEvent decodes rec into e, whose Instance is already set.
func (d *Decoder) decodeEvent(b Batch, rec record, format ReportFormat, e *Event) (err error) {
	switch rec.u8(0) {
	case codeInstanceStart:
		e.Kind, e.Seed = InstanceStart, rec.u64(5)
		e.Settings, err = b.slice(rec.u32(13), rec.u32(17), 1)
	case codeInstanceStop:
		e.Kind = InstanceStop
	case codeMemberList:
		e.Kind = MemberListUpdate
		kind, table := rec.u8(5), rec.u8(10)
		if int(kind) >= len(listKinds) {
			return fmt.Errorf("list scope %d is unknown", kind)
		}
		e.Members.Kind = listKinds[kind]
		if e.Members.Kind != logic.ListFailed {
			if table >= maxMemberTables {
				return fmt.Errorf("list number %d is above %d", table, maxMemberTables-1)
			}
			e.Members.Entries = d.memberTables[table]
		}
	case codeRequestArrival:
		e.Kind = RequestArrival
		e.Request = logic.Request{ID: logic.RequestID(rec.u64(5)), Class: int(rec.u16(13)),
			Tenant: int(rec.u16(15)), Session: logic.SessionID(rec.u64(17)), Deadline: micros64(rec.u64(25)),
			Group: logic.GroupID(rec.f32(37)), TokenAge: decodeTokenAge(rec.f32(41)), Retry: rec.u8(45)&2 != 0}
	case codeResponseStart:
		e.Kind, e.RequestID, e.Attempt = ResponseStart, logic.RequestID(rec.u64(5)), int(rec.u8(13))
	case codeTimerExpiry:
		e.Kind, e.Timer = TimerExpiry, logic.TimerID(rec.u64(5))
	case codeProbeEnd:
		e.Kind = ProbeEnd
		e.Probe = logic.ProbeEnd{Member: rec.member(7), Elapsed: rec.micros(13), Report: format.decodeReport(rec, 17)}
		e.Probe.Result, err = decodeResult(rec.u16(5))
	case codeAttemptOutcome:
		e.Kind = AttemptOutcome
		e.Outcome = logic.Outcome{Request: logic.RequestID(rec.u64(5)), Attempt: int(rec.u8(17)),
			Member: rec.member(18), Elapsed: rec.micros(24), Finished: rec.u8(28) != 0, Load: format.decodeReport(rec, 31)}
		e.Outcome.Role, e.Outcome.Position = format.decodeNote(rec.u32(13))
		e.Outcome.Result, err = decodeResult(rec.u16(29))
	case codeRequestAbandoned:
		e.Kind, e.RequestID = RequestAbandoned, logic.RequestID(rec.u64(5))
	case codePeerMessage:
		e.Kind = PeerMessage
		e.Message, err = b.slice(rec.u32(9), rec.u32(13), 1)
	default:
		return errors.New("unknown event code")
	}
	return err
}

func decodeResult(code uint16) (logic.Result, error) {
	switch code {
	case 100:
		return logic.OK, nil
	case 101:
		return logic.Misdirected, nil
	case 301:
		return logic.Failed, nil
	case 302:
		return logic.Rejected, nil
	case 303:
		return logic.TimedOut, nil
	case 304:
		return logic.ConnectFailed, nil
	case 305:
		return logic.Reset, nil
	case 306:
		return logic.Cancelled, nil
	case 307:
		return logic.NotSent, nil
	}
	return 0, fmt.Errorf("outcome code %d is unknown", code)
}

// decodeTokenAge converts the age of a commit from milliseconds. It rounds down, so that the commit is never considered
// older than it is. A positive age stays positive, since zero means that there is no token.
func decodeTokenAge(ms float32) time.Duration {
	if !(ms > 0) || ms > 1e12 {
		return 0
	}
	rounded := float64(math.Nextafter32(ms, 0)) * float64(time.Millisecond)
	return max(time.Duration(rounded), 1)
}

// decodeNote splits the note on an attempt's outcome into the member's role, in the lower 2 bits, and its position, in
// milliseconds from the origin in the upper 30 bits. The position is 0 if the note has none.
func (format ReportFormat) decodeNote(note uint32) (logic.Role, time.Duration) {
	role := decodeRole(note & 3)
	if sinceOrigin := note >> 2; sinceOrigin != 0 {
		return role, format.Origin + time.Duration(sinceOrigin)*time.Millisecond
	}
	return role, 0
}

func decodeRole(v uint32) logic.Role {
	switch v {
	case 1:
		return logic.RolePrimary
	case 2:
		return logic.RoleReplica
	}
	return logic.RoleUnknown
}

// decodeReport decodes a load report of up to four values. A position may have been rounded up to a 32-bit float, so the
// next smaller float is used.
func (format ReportFormat) decodeReport(rec record, offset int) logic.Report {
	report := logic.Report{Queue: -1}
	count := int(rec.u8(offset))
	for i := 0; i < count && i < 4 && i < len(format.Fields); i++ {
		value := rec.f32(offset + 1 + 4*i)
		switch format.Fields[i] {
		case "x0":
			if value > 0 && value < 1e9 {
				seconds := float64(math.Nextafter32(value, 0))
				report.Position = format.Origin + time.Duration(seconds*float64(time.Second))
			}
		case "x1":
			report.Role = logic.RoleReplica
			if value == 1 {
				report.Role = logic.RolePrimary
			}
		case "queue":
			report.Queue = float64(value)
		}
	}
	return report
}

// Encoder collects the actions of one reply. It implements logic.Actions on behalf of the instance set in Instance.
type Encoder struct {
	Instance uint32
	Now      time.Duration // of the current batch
	message  []byte
	records  []byte
	tail     []byte
	count    uint32
}

// appendRecord appends a record with the given action code for the current instance and returns it.
func (e *Encoder) appendRecord(code uint8) record {
	offset := len(e.records)
	e.records = append(e.records, make([]byte, actionRecordSize)...)
	rec := record(e.records[offset:])
	rec[0] = code
	binary.LittleEndian.PutUint32(rec[1:], e.Instance)
	e.count++
	return rec
}

func (r record) putU32(off int, v uint32) { binary.LittleEndian.PutUint32(r[off:], v) }
func (r record) putU64(off int, v uint64) { binary.LittleEndian.PutUint64(r[off:], v) }
func (r record) putMember(off int, m logic.MemberID) {
	binary.BigEndian.PutUint32(r[off:], uint32(m>>16))
	binary.LittleEndian.PutUint16(r[off+4:], uint16(m))
}

func (r record) putMicros(off int, d time.Duration) {
	r.putU32(off, uint32(min(max(d/time.Microsecond, 0), math.MaxUint32)))
}

// Send implements logic.Actions.
func (e *Encoder) Send(id logic.RequestID, member logic.MemberID, timeout time.Duration) {
	rec := e.appendRecord(actionSend)
	rec.putU64(5, uint64(id))
	rec.putMember(13, member)
	rec.putMicros(19, timeout)
}

// Probe implements logic.Actions.
func (e *Encoder) Probe(member logic.MemberID) { e.appendRecord(actionProbe).putMember(5, member) }

// Refuse implements logic.Actions.
func (e *Encoder) Refuse(id logic.RequestID, retryAfter time.Duration) {
	rec := e.appendRecord(actionRefuse)
	rec.putU64(5, uint64(id))
	rec.putMicros(13, retryAfter)
}

// Fail implements logic.Actions.
func (e *Encoder) Fail(id logic.RequestID) { e.appendRecord(actionFail).putU64(5, uint64(id)) }

// Cancel implements logic.Actions.
func (e *Encoder) Cancel(id logic.RequestID, attempt int) {
	rec := e.appendRecord(actionCancel)
	rec.putU64(5, uint64(id))
	rec[13] = uint8(attempt)
}

// SetTimer implements logic.Actions.
func (e *Encoder) SetTimer(id logic.TimerID, at time.Duration) {
	rec := e.appendRecord(actionSetTimer)
	rec.putU64(5, uint64(id))
	rec.putU64(13, uint64((at+time.Microsecond-1)/time.Microsecond))
}

// WatchList implements logic.Actions.
func (e *Encoder) WatchList(watch bool) {
	if rec := e.appendRecord(actionWatchList); watch {
		rec[5] = 1
	}
}

// SendToPeers implements logic.Actions.
func (e *Encoder) SendToPeers(reports []peers.Report) {
	if e.message = wirepeers.Append(e.message[:0], e.Now, e.Now, reports); len(e.message) > 0 {
		e.SendPeerMessage(allInstances, string(e.message))
	}
}

// allInstances is the target number that addresses every peer.
const allInstances = math.MaxUint32

// FetchList implements logic.Actions.
func (e *Encoder) FetchList() { e.appendRecord(actionFetchList) }

// Log implements logic.Actions.
func (e *Encoder) Log(text string) { e.appendText(actionLog, text) }

// ReportFailure reports to the simulator that this instance can't continue; text is the reason.
func (e *Encoder) ReportFailure(text string) { e.appendText(actionFailure, text) }

// CloseIdle closes the idle connections to member m.
func (e *Encoder) CloseIdle(m logic.MemberID) { e.appendRecord(actionCloseIdle).putMember(5, m) }

// SendPeerMessage sends contents to the instance with the number target, or to all peers for allInstances.
func (e *Encoder) SendPeerMessage(target uint32, contents string) {
	rec := e.appendText(actionPeerMessage, contents)
	copy(rec[9:17], rec[5:13])
	rec.putU32(5, target)
}

// appendText appends a record whose text is stored in the tail: its offset at byte 5, its length at byte 9.
func (e *Encoder) appendText(code uint8, text string) record {
	rec := e.appendRecord(code)
	rec.putU32(5, uint32(len(e.tail)))
	rec.putU32(9, uint32(len(text)))
	e.tail = append(e.tail, text...)
	return rec
}

// Flush writes the reply to w and resets the Encoder for the next one. It returns the writer's error.
func (e *Encoder) Flush(w *bufio.Writer) error {
	var header [actionHeaderSize]byte
	binary.LittleEndian.PutUint32(header[:], e.count)
	binary.LittleEndian.PutUint32(header[4:], uint32(actionHeaderSize+len(e.records)+len(e.tail)))
	w.Write(header[:])
	w.Write(e.records)
	w.Write(e.tail)
	e.records, e.tail, e.count = e.records[:0], e.tail[:0], 0
	return w.Flush()
}
