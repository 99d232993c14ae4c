package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A list of generation 0 is a valid list. When it was taken for a missing one, the whole list was requested again and
// again without a wait.
func TestGenerationZeroIsWatched(t *testing.T) {
	for after, want := range map[int64]string{0: "GET /v1/endpoints?after=0&wait_ms=1000 HTTP/1.1\r\n",
		NoGeneration: "GET /v1/endpoints HTTP/1.1\r\n"} {
		if got := string(AppendRequest(nil, "h:1", after, time.Second)); !strings.HasPrefix(got, want) {
			t.Errorf("generation %d: %q", after, got)
		}
	}
}

func TestResponsesInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.StringMatching(`[a-z\r\n]{0,80}`).Draw(t, "body")
		stream := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if rapid.Bool().Draw(t, "chunked") {
			stream = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			for rest := body; ; {
				n := min(len(rest), rapid.IntRange(1, 30).Draw(t, "chunk"))
				stream += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
				if rest = rest[n:]; n == 0 {
					break
				}
			}
		}
		cut := rapid.IntRange(0, len(stream)-1).Draw(t, "cut")
		if _, n, err := Next([]byte(stream[:cut])); n != 0 || err != nil {
			t.Fatalf("%d bytes consumed of an incomplete response, error %v", n, err)
		}
		r, n, err := Next([]byte(stream + "HTTP/1.1 503"))
		if err != nil || n != len(stream) || r.Status != 200 || string(r.Body) != body || r.Close {
			t.Fatalf("%+v, %d bytes, error %v", r, n, err)
		}
	})
}

func TestArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		junk := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "junk")
		junk = append([]byte(rapid.SampledFrom([]string{"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}).Draw(t, "head")), junk...)
		if _, n, err := Next(junk); n > len(junk) || n > 0 && err != nil {
			t.Fatalf("%d of %d bytes, error %v", n, len(junk), err)
		}
		ParseList(junk)
	})
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length: -1", "HTTP/1.1 200 OK\r\nContent-Length: 99999999",
		"HTTP/1.1 200 OK\r\n\r\nnonsense", "HTTP/1.1 abc", "nonsense", strings.Repeat("x", 2*maxHeaderBytes)} {
		if _, n, err := Next([]byte(head + "\r\n\r\n")); err == nil {
			t.Errorf("%.40q: %d bytes consumed", head, n)
		}
	}
}

// A response without a length is complete once its JSON list is, and not before: the connection may be reset halfway.
func TestResponseWithoutLength(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", `{"generation":43,"reset":true,"instances":[{"instanceId":"}{","lifecycle":"in_service"}]}`
	const whole = head + body
	for cut := range len(whole) {
		if _, n, err := Next([]byte(whole[:cut])); n != 0 || err != nil {
			t.Fatalf("%d bytes consumed of the first %d, error %v", n, cut, err)
		}
	}
	for _, text := range []string{whole, whole + "\r\n "} {
		if r, n, err := Next([]byte(text)); err != nil || n != len(text) || !r.Close || r.Status != 200 {
			t.Errorf("%+v, %d bytes, error %v", r, n, err)
		} else if l, err := ParseList(r.Body); err != nil || l.Generation != 43 || len(l.Instances) != 1 {
			t.Errorf("%+v, error %v", l, err)
		}
	}
	if r, n, err := Next([]byte("HTTP/1.1 503 Busy\r\n\r\n")); err != nil || n == 0 || r.Status != 503 || !r.Close {
		t.Errorf("%+v, %d bytes, error %v", r, n, err)
	}
}

func TestList(t *testing.T) {
	l, err := ParseList([]byte(`{"generation":43,"reset":false,"more":1,"instances":[
	 {"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:6432","zone":"a","cell":3,"lifecycle":"terminating","weight":1.0,"startedAtMs":7}]}`))
	if err != nil || l.Generation != 43 || l.Whole || len(l.Instances) != 1 ||
		l.Instances[0] != (Instance{"s-5be2a07c", "10.1.0.18:6432", "a", 3, Terminating, 1, 7}) {
		t.Errorf("%+v, error %v", l, err)
	}
	for _, bad := range []string{"{", `{"instances":[{"lifecycle":"in_service"}]}`, `{"instances":[{"instanceId":"a","lifecycle":"odd"}]}`} {
		if _, err := ParseList([]byte(bad)); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}
