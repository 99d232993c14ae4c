package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

// batch encodes a frame of events at 1 s.
func batch(tail string, records ...[]byte) []byte {
	var b []byte
	b = binary.LittleEndian.AppendUint32(b, uint32(16+48*len(records)+len(tail)))
	b = binary.LittleEndian.AppendUint64(b, 1_000_000)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	for _, r := range records {
		b = append(b, append(r, make([]byte, 48-len(r))...)...)
	}
	return append(b, tail...)
}

// instanceStart encodes the record that starts instance 4; its settings are at the start of the tail.
func instanceStart(settings string) []byte {
	rec := []byte{19, 4, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0, 0}
	return binary.LittleEndian.AppendUint32(rec, uint32(len(settings)))
}

func TestInvalidSettingsAreReported(t *testing.T) {
	for settings, want := range map[string]string{
		"{":              "not usable JSON",
		`{"tick": 5000}`: "request_classes",
		`{"tick": 0, "domain": {"freshness": ["any"]}, "fleet_size": 1, "request_classes": [{"aim": 1, "hard_limit": 2, "name": "a", "effect": "free"}]}`: "tick",
	} {
		var out bytes.Buffer
		if err := run(bytes.NewReader(batch(settings, instanceStart(settings))), &out); err != nil {
			t.Fatal(err)
		}
		if got := out.Bytes(); got[8] != 25 || !strings.Contains(string(got), want) {
			t.Errorf("settings %s: reply %q, want a failure report with %q", settings, got, want)
		}
	}
}

func TestRestartWithinABatch(t *testing.T) {
	settings := `{"tick": 5000, "domain": {"freshness": ["any"]}, "fleet_size": 1, "request_classes": [{"aim": 1, "hard_limit": 2, "name": "a", "effect": "free"}]}`
	stop := []byte{22, 4, 0, 0, 0}
	timer := []byte{18, 4, 0, 0, 0, 1}
	var out bytes.Buffer
	in := append(batch(settings, instanceStart(settings), timer, stop, instanceStart(settings), timer), batch("", timer)...)
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if n := binary.LittleEndian.Uint32(out.Bytes()); n != 4 {
		t.Errorf("%d actions in the first reply, want two timers of each start", n)
	}
}

func TestInvalidInputIsAnError(t *testing.T) {
	for _, in := range [][]byte{batch("", []byte{18, 9, 0, 0, 0}), {1, 2, 3}, batch("", []byte{99, 4, 0, 0, 0})} {
		if err := run(bytes.NewReader(in), &bytes.Buffer{}); err == nil {
			t.Errorf("input % x... accepted", in[:3])
		}
	}
}
