package discovery

import (
	"encoding/json"
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"testing"
)

// longList is a list of so many databases, as its service writes it.
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

// inPieces feeds an answer to a parser as it comes from the network, and gives the body.
func inPieces(t *testing.T, answer []byte, piece int) []byte {
	t.Helper()
	var p Parser
	for n := min(piece, len(answer)); ; n = min(n+piece, len(answer)) {
		r, used, err := p.Next(answer[:n])
		if err != nil {
			t.Fatal(err)
		}
		if used > 0 {
			if used != len(answer) {
				t.Fatalf("%d of %d bytes make an answer", used, len(answer))
			}
			return r.Body
		}
		if n == len(answer) {
			t.Fatal("the answer is whole, and was not read")
		}
	}
}

// Guards against incident 38: a list of thousands that came in many pieces was put together from its beginning with each of them.
func TestALongAnswerInPiecesIsPutTogetherOnce(t *testing.T) {
	const databases, piece, entriesAChunk = 3200, 1400, 3
	body := longList(t, databases)
	var chunked strings.Builder
	chunked.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	chunk := entriesAChunk * len(body) / databases
	for at := 0; at < len(body); at += chunk {
		part := body[at:min(at+chunk, len(body))]
		fmt.Fprintf(&chunked, "%x\r\n%s\r\n", len(part), part)
	}
	chunked.WriteString("0\r\n\r\n")
	for form, answer := range map[string]string{
		"chunked":     chunked.String(),
		"no length":   "HTTP/1.1 200 OK\r\n\r\n" + string(body),
		"with length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		got := inPieces(t, []byte(answer), piece)
		runtime.ReadMemStats(&after)
		if string(got) != string(body) {
			t.Errorf("%s: the body is not what was sent", form)
		}
		if used := after.TotalAlloc - before.TotalAlloc; used > 12*uint64(len(body)) {
			t.Errorf("%s: %d bytes were allocated for a body of %d", form, used, len(body))
		}
	}
}

// Guards against incident 38: a list of thousands was read in one go. It is read in steps of StepEntries, to the same list.
func TestALongListIsReadInSteps(t *testing.T) {
	const databases = 3200
	text := longList(t, databases)
	pauses := 0
	got, err := ParseListInSteps(text, func() { pauses++ })
	if err != nil {
		t.Fatal(err)
	}
	if pauses < databases/StepEntries {
		t.Errorf("%d pauses for %d entries", pauses, databases)
	}
	whole, err := ParseList(text)
	if err != nil || len(got.Instances) != databases || got.Generation != 7 || !got.Whole || !reflect.DeepEqual(got, whole) {
		t.Errorf("%d entries, generation %d, error %v", len(got.Instances), got.Generation, err)
	}
}

// What makes a list unusable does so wherever it stands.
func TestUnusableLists(t *testing.T) {
	const entry = `{"instanceId":"x","hostPort":"a:1","lifecycle":"in_service"}`
	for what, text := range map[string]string{
		"nothing":              "",
		"no object":            "[]",
		"cut short":            `{"generation":1,"instances":[` + entry,
		"no end":               `{"generation":1,"instances":[` + entry + `]`,
		"text behind its end":  `{"generation":1,"instances":[]} {}`,
		"no list of instances": `{"instances":7}`,
		"a number as a name":   `{"instances":[{"instanceId":1}]}`,
		"no name":              `{"instances":[` + entry + `,{"lifecycle":"in_service"}]}`,
		"unknown lifecycle":    `{"instances":[` + entry + `,{"instanceId":"y","lifecycle":"resting"}]}`,
	} {
		if l, err := ParseList([]byte(text)); err == nil {
			t.Errorf("%s: read as %+v", what, l)
		}
	}
	l, err := ParseList([]byte(` { "more": {"a":[1]}, "instances":null , "generation": 3 } `))
	if err != nil || l.Generation != 3 || len(l.Instances) != 0 {
		t.Errorf("%+v, %v", l, err)
	}
}
