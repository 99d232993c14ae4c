// Package sim is the simulator's wire: its binary frames become values of package logic, and actions become
// frames. It decides nothing.
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

// The codes of events.
const (
	codeSheet     = 16
	codeRoster    = 17
	codeTimer     = 18
	codeHello     = 19
	codePong      = 20
	codeEnd       = 21
	codeRetire    = 22
	codeSubmit    = 23
	codeHead      = 24
	codeAbandoned = 25
	codeDatagram  = 26
)

// The codes of actions.
const (
	actDeliver = 16
	actBusy    = 17
	actFinish  = 18
	actRevoke  = 19
	actAlarm   = 20
	actProbe   = 21
	actShut    = 22
	actShare   = 23
	actRecord  = 24
	actGiveIn  = 25
	actObserve = 26
	actPull    = 27
)

const (
	eventHead, eventSize  = 16, 48
	actionHead, actionLen = 8, 24
	entrySize             = 29
	maxFrame              = 1 << 30 // far above any batch; a larger length is a broken frame
	maxSheets             = 16
)

// Kind tells which event an Event is.
type Kind uint8

// The kinds of events that instances get.
const (
	Hello Kind = iota
	Retire
	Members
	Submit
	Head
	Outcome
	Probed
	Timer
	Abandoned
	Datagram
)

// Event is one decoded event; only the fields of its Kind are set.
type Event struct {
	Kind     Kind
	Instance uint32
	Seed     uint64
	Settings []byte
	List     logic.MemberList
	Request  logic.Request
	ID       logic.RequestID
	Attempt  int
	Outcome  logic.Outcome
	Probed   logic.ProbeEnd
	Timer    logic.TimerID
	Message  []byte // of a peer
}

// Scale is what an instance's settings say about reading its records.
type Scale struct {
	Origin time.Duration
	Fields []string
}

// Decoder reads batches. It keeps the numbered member lists, which all instances refer to.
type Decoder struct {
	r      *bufio.Reader
	buf    []byte
	sheets [maxSheets][]logic.Member
}

// NewDecoder reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: bufio.NewReaderSize(r, 1<<16)} }

// Batch is one frame of events.
type Batch struct {
	Now   time.Duration
	Count int
	body  []byte
	tail  []byte
}

// Next reads one batch; io.EOF means a clean end. The batch is valid until the next call.
func (d *Decoder) Next() (Batch, error) {
	var head [eventHead]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Batch{}, errors.New("frame: input ends within the 16-byte header")
		}
		return Batch{}, err
	}
	size := binary.LittleEndian.Uint32(head[:])
	count := binary.LittleEndian.Uint32(head[12:])
	if size < eventHead || size > maxFrame || uint64(count)*eventSize > uint64(size)-eventHead {
		return Batch{}, fmt.Errorf("frame: length %d at byte 0 can't hold %d records", size, count)
	}
	if err := d.fill(int(size) - eventHead); err != nil {
		return Batch{}, err
	}
	cut := int(count) * eventSize
	return Batch{Now: micros64(binary.LittleEndian.Uint64(head[4:])), Count: int(count),
		body: d.buf[:cut], tail: d.buf[cut:]}, nil
}

// fill reads n bytes, growing only as they come, so that a false length allocates nothing.
func (d *Decoder) fill(n int) error {
	d.buf = d.buf[:0]
	for len(d.buf) < n {
		step := min(n-len(d.buf), 1<<16)
		at := len(d.buf)
		for cap(d.buf) < at+step {
			d.buf = append(d.buf[:cap(d.buf)], 0)
		}
		d.buf = d.buf[:at+step]
		if got, err := io.ReadFull(d.r, d.buf[at:]); err != nil {
			return fmt.Errorf("frame: input ends after %d of %d bytes", eventHead+at+got, eventHead+n)
		}
	}
	return nil
}

func micros64(v uint64) time.Duration { return time.Duration(v) * time.Microsecond }

// record gives access to one record's fields.
type record []byte

func (r record) u8(at int) uint8   { return r[at] }
func (r record) u16(at int) uint16 { return binary.LittleEndian.Uint16(r[at:]) }
func (r record) u32(at int) uint32 { return binary.LittleEndian.Uint32(r[at:]) }
func (r record) u64(at int) uint64 { return binary.LittleEndian.Uint64(r[at:]) }
func (r record) f32(at int) float32 {
	return math.Float32frombits(binary.LittleEndian.Uint32(r[at:]))
}

func (r record) micros(at int) time.Duration { return time.Duration(r.u32(at)) * time.Microsecond }

// member packs a four-byte address and a port into one opaque id.
func (r record) member(at int) logic.MemberID {
	return logic.MemberID(uint64(binary.BigEndian.Uint32(r[at:]))<<16 | uint64(r.u16(at+4)))
}

// span cuts length units of size bytes out of the tail.
func (b Batch) span(offset, length uint32, unit uint64) ([]byte, error) {
	end := uint64(offset) + uint64(length)*unit
	if end > uint64(len(b.tail)) {
		return nil, fmt.Errorf("offset %d with length %d lies outside the tail of %d bytes", offset, length, len(b.tail))
	}
	return b.tail[offset:end], nil
}

// Each decodes the events in order and hands them to f. Scale is asked for the reading rules of an instance.
func (d *Decoder) Each(b Batch, scale func(instance uint32) (Scale, bool), f func(Event) error) error {
	for i := 0; i < b.Count; i++ {
		rec := record(b.body[i*eventSize : (i+1)*eventSize])
		if rec.u8(0) == codeSheet {
			if err := d.sheet(b, rec); err != nil {
				return fmt.Errorf("record %d (code %d): %w", i, rec.u8(0), err)
			}
			continue
		}
		e := Event{Instance: rec.u32(1)}
		sc, known := scale(e.Instance)
		if !known && rec.u8(0) != codeHello {
			return fmt.Errorf("record %d (code %d): instance %d is unknown", i, rec.u8(0), e.Instance)
		}
		if err := d.decode(b, rec, sc, &e); err != nil {
			return fmt.Errorf("record %d (code %d): %w", i, rec.u8(0), err)
		}
		if err := f(e); err != nil {
			return fmt.Errorf("record %d (code %d): %w", i, rec.u8(0), err)
		}
	}
	return nil
}

func (d *Decoder) sheet(b Batch, rec record) error {
	ref := rec.u8(1)
	if ref >= maxSheets {
		return fmt.Errorf("list number %d is above %d", ref, maxSheets-1)
	}
	raw, err := b.span(rec.u32(2), rec.u32(6), entrySize)
	if err != nil {
		return err
	}
	list := make([]logic.Member, 0, len(raw)/entrySize)
	for ; len(raw) > 0; raw = raw[entrySize:] {
		e := record(raw[:entrySize])
		m := logic.Member{ID: e.member(0), Zone: int(e.u16(6)), Group: logic.GroupID(e.u16(10)),
			Primary: e.f32(13) == 1, Size: float64(e.f32(17)), StartedAt: micros64(e.u64(21))}
		switch e.u8(12) {
		case 1:
			m.State = logic.Ready
		case 2:
			m.State = logic.Draining
		}
		list = append(list, m)
	}
	d.sheets[ref] = list
	return nil
}

var scopes = [...]logic.ListKind{logic.ListDelta, logic.ListFull, logic.ListCached, logic.ListFailed}

func (d *Decoder) decode(b Batch, rec record, sc Scale, e *Event) (err error) {
	switch rec.u8(0) {
	case codeHello:
		e.Kind, e.Seed = Hello, rec.u64(5)
		e.Settings, err = b.span(rec.u32(13), rec.u32(17), 1)
	case codeRetire:
		e.Kind = Retire
	case codeRoster:
		e.Kind = Members
		scope, ref := rec.u8(5), rec.u8(10)
		if int(scope) >= len(scopes) {
			return fmt.Errorf("list scope %d is unknown", scope)
		}
		e.List.Kind = scopes[scope]
		if e.List.Kind != logic.ListFailed {
			if ref >= maxSheets {
				return fmt.Errorf("list number %d is above %d", ref, maxSheets-1)
			}
			e.List.Entries = d.sheets[ref]
		}
	case codeSubmit:
		e.Kind = Submit
		e.Request = logic.Request{ID: logic.RequestID(rec.u64(5)), Class: int(rec.u16(13)),
			Tenant: int(rec.u16(15)), Session: logic.SessionID(rec.u64(17)), Deadline: micros64(rec.u64(25)),
			Group: logic.GroupID(rec.f32(37)), TokenAge: millis(rec.f32(41)), Retry: rec.u8(45)&2 != 0}
	case codeHead:
		e.Kind, e.ID, e.Attempt = Head, logic.RequestID(rec.u64(5)), int(rec.u8(13))
	case codeTimer:
		e.Kind, e.Timer = Timer, logic.TimerID(rec.u64(5))
	case codePong:
		e.Kind = Probed
		e.Probed = logic.ProbeEnd{Member: rec.member(7), Elapsed: rec.micros(13), Report: sc.report(rec, 17)}
		e.Probed.Result, err = result(rec.u16(5))
	case codeEnd:
		e.Kind = Outcome
		e.Outcome = logic.Outcome{Request: logic.RequestID(rec.u64(5)), Attempt: int(rec.u8(17)),
			Member: rec.member(18), Elapsed: rec.micros(24), Finished: rec.u8(28) != 0, Load: sc.report(rec, 31)}
		e.Outcome.Role, e.Outcome.Position = sc.note(rec.u32(13))
		e.Outcome.Result, err = result(rec.u16(29))
	case codeAbandoned:
		e.Kind, e.ID = Abandoned, logic.RequestID(rec.u64(5))
	case codeDatagram:
		e.Kind = Datagram
		e.Message, err = b.span(rec.u32(9), rec.u32(13), 1)
	default:
		return errors.New("unknown event code")
	}
	return err
}

func result(code uint16) (logic.Result, error) {
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

// millis rounds the age of a commit down, so that the commit is never taken for older than it is; anything
// above zero stays above zero, since zero means that there is none.
func millis(ms float32) time.Duration {
	if !(ms > 0) || ms > 1e12 {
		return 0
	}
	down := float64(math.Nextafter32(ms, 0)) * float64(time.Millisecond)
	return max(time.Duration(down), 1)
}

func (sc Scale) note(note uint32) (logic.Role, time.Duration) {
	role := roleOf(note & 3)
	if ms := note >> 2; ms != 0 {
		return role, sc.Origin + time.Duration(ms)*time.Millisecond
	}
	return role, 0
}

func roleOf(v uint32) logic.Role {
	switch v {
	case 1:
		return logic.RolePrimary
	case 2:
		return logic.RoleReplica
	}
	return logic.RoleUnknown
}

// report reads a load report. A position may have been rounded up to a 32-bit float: it is taken one step down.
func (sc Scale) report(rec record, at int) logic.Report {
	out := logic.Report{Queue: -1}
	n := int(rec.u8(at))
	for i := 0; i < n && i < 4 && i < len(sc.Fields); i++ {
		v := rec.f32(at + 1 + 4*i)
		switch sc.Fields[i] {
		case "x0":
			if v > 0 && v < 1e9 {
				sec := float64(math.Nextafter32(v, 0))
				out.Position = sc.Origin + time.Duration(sec*float64(time.Second))
			}
		case "x1":
			out.Role = logic.RoleReplica
			if v == 1 {
				out.Role = logic.RolePrimary
			}
		case "queue":
			out.Queue = float64(v)
		}
	}
	return out
}

// Encoder gathers the actions of one reply. It implements logic.Actions for one instance at a time.
type Encoder struct {
	Instance uint32
	Now      time.Duration // of the batch
	message  []byte
	records  []byte
	tail     []byte
	count    uint32
}

func (e *Encoder) add(code uint8) record {
	at := len(e.records)
	e.records = append(e.records, make([]byte, actionLen)...)
	rec := record(e.records[at:])
	rec[0] = code
	binary.LittleEndian.PutUint32(rec[1:], e.Instance)
	e.count++
	return rec
}

func (r record) putU32(at int, v uint32) { binary.LittleEndian.PutUint32(r[at:], v) }
func (r record) putU64(at int, v uint64) { binary.LittleEndian.PutUint64(r[at:], v) }
func (r record) putMember(at int, m logic.MemberID) {
	binary.BigEndian.PutUint32(r[at:], uint32(m>>16))
	binary.LittleEndian.PutUint16(r[at+4:], uint16(m))
}

func (r record) putMicros(at int, d time.Duration) {
	r.putU32(at, uint32(min(max(d/time.Microsecond, 0), math.MaxUint32)))
}

// Send implements logic.Actions.
func (e *Encoder) Send(id logic.RequestID, to logic.MemberID, timeout time.Duration) {
	rec := e.add(actDeliver)
	rec.putU64(5, uint64(id))
	rec.putMember(13, to)
	rec.putMicros(19, timeout)
}

// Probe implements logic.Actions.
func (e *Encoder) Probe(to logic.MemberID) { e.add(actProbe).putMember(5, to) }

// Refuse implements logic.Actions.
func (e *Encoder) Refuse(id logic.RequestID, comeBack time.Duration) {
	rec := e.add(actBusy)
	rec.putU64(5, uint64(id))
	rec.putMicros(13, comeBack)
}

// Fail implements logic.Actions.
func (e *Encoder) Fail(id logic.RequestID) { e.add(actFinish).putU64(5, uint64(id)) }

// Cancel implements logic.Actions.
func (e *Encoder) Cancel(id logic.RequestID, attempt int) {
	rec := e.add(actRevoke)
	rec.putU64(5, uint64(id))
	rec[13] = uint8(attempt)
}

// SetTimer implements logic.Actions.
func (e *Encoder) SetTimer(id logic.TimerID, at time.Duration) {
	rec := e.add(actAlarm)
	rec.putU64(5, uint64(id))
	rec.putU64(13, uint64((at+time.Microsecond-1)/time.Microsecond))
}

// WatchList implements logic.Actions.
func (e *Encoder) WatchList(on bool) {
	if rec := e.add(actObserve); on {
		rec[5] = 1
	}
}

// SendToPeers implements logic.Actions.
func (e *Encoder) SendToPeers(facts []peers.Report) {
	if e.message = wirepeers.Append(e.message[:0], e.Now, e.Now, facts); len(e.message) > 0 {
		e.Share(everyone, string(e.message))
	}
}

// everyone is the target of what goes to all peers.
const everyone = math.MaxUint32

// FetchList implements logic.Actions.
func (e *Encoder) FetchList() { e.add(actPull) }

// Log implements logic.Actions.
func (e *Encoder) Log(text string) { e.text(actRecord, text) }

// GiveIn tells the simulator that this instance can't go on.
func (e *Encoder) GiveIn(text string) { e.text(actGiveIn, text) }

// ShutIdle closes the idle connections to a member.
func (e *Encoder) ShutIdle(m logic.MemberID) { e.add(actShut).putMember(5, m) }

// Share sends bytes to the instance numbered target.
func (e *Encoder) Share(target uint32, contents string) {
	rec := e.text(actShare, contents)
	copy(rec[9:17], rec[5:13])
	rec.putU32(5, target)
}

func (e *Encoder) text(code uint8, text string) record {
	rec := e.add(code)
	rec.putU32(5, uint32(len(e.tail)))
	rec.putU32(9, uint32(len(text)))
	e.tail = append(e.tail, text...)
	return rec
}

// Flush writes the reply and starts an empty one.
func (e *Encoder) Flush(w *bufio.Writer) error {
	var head [actionHead]byte
	binary.LittleEndian.PutUint32(head[:], e.count)
	binary.LittleEndian.PutUint32(head[4:], uint32(actionHead+len(e.records)+len(e.tail)))
	w.Write(head[:])
	w.Write(e.records)
	w.Write(e.tail)
	e.records, e.tail, e.count = e.records[:0], e.tail[:0], 0
	return w.Flush()
}
