package admin

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestRequests(t *testing.T) {
	const text = "PUT /v1/proxy/drain?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
	for cut := range len(text) - 2 {
		if request, complete, err := Next([]byte(text[:cut])); err != nil || complete {
			t.Fatalf("after %d bytes: %+v %v %v", cut, request, complete, err)
		}
	}
	if request, complete, err := Next([]byte(text)); err != nil || !complete || request != (Request{"PUT", "/v1/proxy/drain"}) {
		t.Fatalf("%+v %v %v", request, complete, err)
	}
	for _, bad := range []string{"GET\r\n", "GET /x\r\n", "GET x HTTP/1.1\r\n", "GET /x SMTP\r\n", " /x HTTP/1.1\r\n", strings.Repeat("a", MaxHeaderBytes+1),
		"GET /x HTTP/1.1\r\n" + strings.Repeat("a", MaxHeaderBytes)} {
		if _, _, err := Next([]byte(bad)); err == nil {
			t.Errorf("%.40q was accepted", bad)
		}
	}
	rapid.Check(t, func(t *rapid.T) { Next(rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "garbage")) })
}

func TestResponsesAndMetrics(t *testing.T) {
	if got := string(AppendResponse(nil, NotFound, []byte("no\n"))); !strings.HasPrefix(got, "HTTP/1.1 404 Not Found\r\n") ||
		!strings.HasSuffix(got, "Content-Length: 3\r\n\r\nno\n") {
		t.Errorf("%q", got)
	}
	got := AppendGauge(AppendCounter(nil, 812, "handled", "a.b c", "passed"), 14, "in_progress")
	if want := "proxy.handled.a_b_c.passed:812|c\nproxy.in_progress:14|g\n"; !bytes.Equal(got, []byte(want)) {
		t.Errorf("%q, want %q", got, want)
	}
}
