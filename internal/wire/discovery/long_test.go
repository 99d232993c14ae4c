package discovery

import (
	"encoding/json"
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"testing"
)

// longList returns a list of that many databases in the JSON form of the discovery service.
func longList(t *testing.T, databases int) []byte {
	t.Helper()
	type list struct {
		Generation int64      `json:"generation"`
		Reset      bool       `json:"reset"`
		Instances  []Instance `json:"instances"`
	}
	l := list{Generation: 7, Reset: true}
	for i := range databases {
		l.Instances = append(l.Instances, Instance{ID: fmt.Sprintf("s-%08x", i), Address: fmt.Sprintf("127.0.%d.%d:6432", i/250, i%250), Zone: "a",
			Group: i / 4, Lifecycle: InService, Weight: 1})
	}
	text, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// parseInPieces passes a response to a Parser piece by piece, as from a network connection, and returns the body.
func parseInPieces(t *testing.T, response []byte, pieceSize int) []byte {
	t.Helper()
	var parser Parser
	for received := min(pieceSize, len(response)); ; received = min(received+pieceSize, len(response)) {
		r, consumed, err := parser.Next(response[:received])
		if err != nil {
			t.Fatal(err)
		}
		if consumed > 0 {
			if consumed != len(response) {
				t.Fatalf("%d of %d bytes were consumed as a response", consumed, len(response))
			}
			return r.Body
		}
		if received == len(response) {
			t.Fatal("the complete response was not parsed")
		}
	}
}

// Guards against incident 38: with each piece of a list of thousands, the body was assembled anew from its beginning.
func TestLongResponseIsParsedInLinearTime(t *testing.T) {
	const databases, pieceSize, entriesPerChunk = 3200, 1400, 3
	body := longList(t, databases)
	var chunked strings.Builder
	chunked.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	chunk := entriesPerChunk * len(body) / databases
	for at := 0; at < len(body); at += chunk {
		part := body[at:min(at+chunk, len(body))]
		fmt.Fprintf(&chunked, "%x\r\n%s\r\n", len(part), part)
	}
	chunked.WriteString("0\r\n\r\n")
	for encoding, response := range map[string]string{
		"chunked":     chunked.String(),
		"no length":   "HTTP/1.1 200 OK\r\n\r\n" + string(body),
		"with length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		got := parseInPieces(t, []byte(response), pieceSize)
		runtime.ReadMemStats(&after)
		if string(got) != string(body) {
			t.Errorf("%s: the body differs from what was sent", encoding)
		}
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 12*uint64(len(body)) {
			t.Errorf("%s: %d bytes were allocated for a body of %d", encoding, allocated, len(body))
		}
	}
}

// Guards against incident 38: a list of thousands was parsed without a pause. The list parsed with pauses must be the
// same.
func TestLongListIsParsedWithPauses(t *testing.T) {
	const databases = 3200
	text := longList(t, databases)
	pauses := 0
	got, err := ParseListWithPauses(text, func() { pauses++ })
	if err != nil {
		t.Fatal(err)
	}
	if pauses < databases/EntriesPerPause {
		t.Errorf("%d pauses for %d entries", pauses, databases)
	}
	whole, err := ParseList(text)
	if err != nil || len(got.Instances) != databases || got.Generation != 7 || !got.Whole || !reflect.DeepEqual(got, whole) {
		t.Errorf("%d entries, generation %d, error %v", len(got.Instances), got.Generation, err)
	}
}

// A fault makes a list invalid wherever it occurs.
func TestInvalidLists(t *testing.T) {
	const entry = `{"instanceId":"x","hostPort":"a:1","lifecycle":"in_service"}`
	for name, text := range map[string]string{
		"nothing":              "",
		"no object":            "[]",
		"cut short":            `{"generation":1,"instances":[` + entry,
		"no end":               `{"generation":1,"instances":[` + entry + `]`,
		"text after its end":   `{"generation":1,"instances":[]} {}`,
		"no list of instances": `{"instances":7}`,
		"a number as a name":   `{"instances":[{"instanceId":1}]}`,
		"no name":              `{"instances":[` + entry + `,{"lifecycle":"in_service"}]}`,
		"unknown lifecycle":    `{"instances":[` + entry + `,{"instanceId":"y","lifecycle":"resting"}]}`,
	} {
		if l, err := ParseList([]byte(text)); err == nil {
			t.Errorf("%s: parsed as %+v", name, l)
		}
	}
	l, err := ParseList([]byte(` { "more": {"a":[1]}, "instances":null , "generation": 3 } `))
	if err != nil || l.Generation != 3 || len(l.Instances) != 0 {
		t.Errorf("%+v, %v", l, err)
	}
}
