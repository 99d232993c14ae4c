package sim

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"havenproxy/logic"
)

// decodeHex converts hand-written hexadecimal records, which may contain spaces, to bytes. It zero-pads each to size bytes.
func decodeHex(t testing.TB, size int, parts ...string) []byte {
	t.Helper()
	var out []byte
	for _, p := range parts {
		b, err := hex.DecodeString(strings.ReplaceAll(p, " ", ""))
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, append(b, make([]byte, max(0, size-len(b)))...)...)
	}
	return out
}

// encodeBatch returns a batch with the given records and tail at time 0x805c5a.
func encodeBatch(t testing.TB, tail string, records ...string) []byte {
	body := decodeHex(t, eventRecordSize, records...)
	tailBytes := decodeHex(t, 0, tail)
	header := make([]byte, eventHeaderSize)
	binary.LittleEndian.PutUint32(header, uint32(eventHeaderSize+len(body)+len(tailBytes)))
	binary.LittleEndian.PutUint64(header[4:], 0x805c5a)
	binary.LittleEndian.PutUint32(header[12:], uint32(len(records)))
	return append(append(header, body...), tailBytes...)
}

func decodeAll(in []byte, format ReportFormat) (events []Event, err error) {
	d := NewDecoder(bytes.NewReader(in))
	for {
		b, err := d.ReadBatch()
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		err = d.Decode(b, func(uint32) (ReportFormat, bool) { return format, true }, func(e Event) error {
			e.Members.Entries = append([]logic.Member(nil), e.Members.Entries...)
			events = append(events, e)
			return nil
		})
		if err != nil {
			return events, err
		}
	}
}

func TestDecodeEvents(t *testing.T) {
	in := encodeBatch(t, "",
		"17 03000000 c4913a5da5d20f00 0100 0200 640ad2557c3bf091 da05840000000000 e02e0000 00003041 0040ce43 03",
		"12 03000000 4d00000000000000",
		"19 05000000 192b6f0e71000b00",
		"15 03000000 8e63000000000000 19000000 00 0a124a07 c32b 44480000 01 6400 00")
	ev, err := decodeAll(in, ReportFormat{Origin: time.Second})
	if err != nil || len(ev) != 4 {
		t.Fatalf("%d events, error %v", len(ev), err)
	}
	q := ev[0].Request
	if ev[0].Instance != 3 || q.ID != 0xfd2a55d3a91c4 || q.Class != 1 || q.Tenant != 2 || q.Group != 11 || !q.Retry ||
		q.Session != 0x91f03b7c55d20a64 || q.Deadline != 0x8405da*time.Microsecond ||
		q.TokenAge > 412500*time.Microsecond || q.TokenAge < 412499*time.Microsecond {
		t.Errorf("RequestArrival: %+v", q)
	}
	if ev[1].Kind != TimerExpiry || ev[1].Timer != 77 || ev[2].Kind != RequestAbandoned || ev[2].RequestID != 0xb00710e6f2b19 {
		t.Errorf("TimerExpiry %+v, RequestAbandoned %+v", ev[1], ev[2])
	}
	o := ev[3].Outcome
	want := logic.Outcome{Request: 25486, Member: 0x074a120a2bc3, Result: logic.OK, Elapsed: 18500 * time.Microsecond,
		Finished: true, Role: logic.RolePrimary, Position: time.Second + 6*time.Millisecond}
	want.Member = logic.MemberID(0x0a124a07)<<16 | 0x2bc3
	want.Load.Queue = -1
	if o != want {
		t.Errorf("AttemptOutcome:\n%+v, want\n%+v", o, want)
	}
}

func TestMemberTablesAreReplacedWithinABatch(t *testing.T) {
	a := "0a124a07 c32b 0100 0000 0b00 01 0000803f 0000803f 0000000000000000"
	b := "0a9011f2 ec2b 0100 0000 0c00 02 00000000 0000c03f 20145d0000000000"
	in := encodeBatch(t, a+b,
		"10 00 00000000 01000000", "11 03000000 02 29000000 00",
		"10 00 1d000000 01000000", "11 04000000 01 29000000 00",
		"11 03000000 03 00000000 09")
	ev, err := decodeAll(in, ReportFormat{})
	if err != nil || len(ev) != 3 {
		t.Fatalf("%d events, error %v", len(ev), err)
	}
	x, y := ev[0].Members, ev[1].Members
	if x.Kind != logic.ListCached || len(x.Entries) != 1 || !x.Entries[0].Primary || x.Entries[0].State != logic.Ready ||
		x.Entries[0].Zone != 1 || x.Entries[0].Group != 11 || x.Entries[0].Size != 1 || x.Entries[0].StartedAt != 0 {
		t.Errorf("first list: %+v", x)
	}
	if y.Kind != logic.ListFull || len(y.Entries) != 1 || y.Entries[0].State != logic.Draining || y.Entries[0].Size != 1.5 ||
		y.Entries[0].StartedAt != 0x5d1420*time.Microsecond || y.Entries[0].Primary {
		t.Errorf("second list: %+v", y)
	}
	if ev[2].Members.Kind != logic.ListFailed || len(ev[2].Members.Entries) != 0 {
		t.Errorf("failed list: %+v", ev[2].Members)
	}
}

func TestReportPositionsAreRoundedDown(t *testing.T) {
	x0 := float32(1234.5678)
	rec := make(record, eventRecordSize)
	rec[0] = codeProbeEnd
	binary.LittleEndian.PutUint16(rec[5:], 100)
	rec[17] = 3
	rec.putU32(18, math.Float32bits(x0))
	rec.putU32(22, math.Float32bits(1))
	rec.putU32(26, math.Float32bits(4))
	format := ReportFormat{Origin: time.Hour, Fields: []string{"x0", "x1", "queue"}}
	var e Event
	if err := new(Decoder).decodeEvent(Batch{}, rec, format, &e); err != nil {
		t.Fatal(err)
	}
	got, exact := e.Probe.Report, time.Hour+time.Duration(float64(x0)*1e9)
	if got.Role != logic.RolePrimary || got.Queue != 4 || got.Position >= exact || got.Position < exact-time.Millisecond {
		t.Errorf("%+v, want a position just under %v", got, exact)
	}
	rec[17] = 0
	if err := new(Decoder).decodeEvent(Batch{}, rec, format, &e); err != nil || e.Probe.Report != (logic.Report{Queue: -1}) {
		t.Errorf("empty report: %+v, error %v", e.Probe.Report, err)
	}
}

func TestDecodeErrors(t *testing.T) {
	ok := encodeBatch(t, "", "12 03000000 4d00000000000000")
	short := append([]byte(nil), ok...)
	binary.LittleEndian.PutUint32(short, 17)
	huge := append([]byte(nil), ok...)
	binary.LittleEndian.PutUint32(huge, 0xffffffff)
	overstated := append([]byte(nil), ok...)
	binary.LittleEndian.PutUint32(overstated, maxFrameSize)
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"cut header":     {ok[:9], "16-byte header"},
		"cut body":       {ok[:40], "input ends after"},
		"length short":   {short, "can't hold"},
		"length huge":    {huge, "can't hold"},
		"length false":   {overstated, "input ends after"},
		"unknown event":  {encodeBatch(t, "", "63 03000000"), "unknown event code"},
		"outside tail":   {encodeBatch(t, "00", "10 00 00000000 01000000"), "outside the tail"},
		"offset wraps":   {encodeBatch(t, "00", "13 03000000 0000000000000000 ffffffff ffffffff"), "outside the tail"},
		"table number":   {encodeBatch(t, "", "10 10 00000000 00000000"), "above 15"},
		"list scope":     {encodeBatch(t, "", "11 03000000 07 29000000 00"), "scope 7"},
		"unknown result": {encodeBatch(t, "", "14 03000000 0700"), "outcome code 7"},
	} {
		if _, err := decodeAll(c.in, ReportFormat{}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, c.want)
		}
	}
	if ev, err := decodeAll(encodeBatch(t, ""), ReportFormat{}); err != nil || len(ev) != 0 {
		t.Errorf("an empty batch gave %d events and %v", len(ev), err)
	}
	d := NewDecoder(bytes.NewReader(ok))
	b, _ := d.ReadBatch()
	none := func(uint32) (ReportFormat, bool) { return ReportFormat{}, false }
	if err := d.Decode(b, none, nil); err == nil || !strings.Contains(err.Error(), "instance 3 is unknown") {
		t.Errorf("unknown instance: %v", err)
	}
}

func TestEncodeActions(t *testing.T) {
	var e Encoder
	e.Instance = 3
	id, m := logic.RequestID(0xfd2a55d3a91c4), logic.MemberID(0x0a124a07)<<16|0x2bc3
	e.Send(id, m, 80*time.Millisecond)
	e.SetTimer(77, 8912250*time.Microsecond)
	e.Log("two servers known")
	e.Probe(m)
	e.Refuse(id, time.Second)
	e.Fail(id)
	e.Cancel(id, 2)
	e.WatchList(true)
	e.WatchList(false)
	e.FetchList()
	e.CloseIdle(m)
	e.SendPeerMessage(0xffffffff, "hi 7")
	e.ReportFailure("no")
	want := decodeHex(t, actionRecordSize,
		"10 03000000 c4913a5da5d20f00 0a124a07 c32b 80380100",
		"14 03000000 4d00000000000000 7afd870000000000",
		"18 03000000 00000000 11000000",
		"15 03000000 0a124a07 c32b",
		"11 03000000 c4913a5da5d20f00 40420f00",
		"12 03000000 c4913a5da5d20f00",
		"13 03000000 c4913a5da5d20f00 02",
		"1a 03000000 01", "1a 03000000 00", "1b 03000000",
		"16 03000000 0a124a07 c32b",
		"17 03000000 ffffffff 11000000 04000000",
		"19 03000000 15000000 02000000")
	want = append(append([]byte{13, 0, 0, 0, 0x57, 1, 0, 0}, want...), "two servers knownhi 7no"...)
	binary.LittleEndian.PutUint32(want[4:], uint32(len(want)))
	var out bytes.Buffer
	if err := e.Flush(bufio.NewWriter(&out)); err != nil || !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply\n%x, want\n%x (error %v)", out.Bytes(), want, err)
	}
	out.Reset()
	e.Flush(bufio.NewWriter(&out))
	if got := hex.EncodeToString(out.Bytes()); got != "0000000008000000" {
		t.Errorf("empty reply %s", got)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encodeBatch(f, "", "12 03000000 4d00000000000000"))
	f.Add(encodeBatch(f, "0a124a07c32b010000000b00010000803f0000803f0000000000000000", "10 00 00000000 01000000", "11 03000000 02 29000000 00"))
	f.Add(encodeBatch(f, "7b7d", "13 03000000 0700000000000000 00000000 02000000"))
	f.Add(encodeBatch(f, "", "14 03000000 6400 0a124a07c32b 00010000 04 0000c07f 0000807f 000080ff 00000080"))
	f.Fuzz(func(t *testing.T, in []byte) {
		decodeAll(in, ReportFormat{Fields: []string{"x0", "x1", "queue"}}) // must not panic, or allocate what a corrupt length claims
	})
}
