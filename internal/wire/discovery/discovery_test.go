package discovery

import (
	"strings"
	"testing"
	"time"
)

// A list of generation 0 is a list: taken for none, it was asked for as a whole, again and again, without a wait.
func TestGenerationZeroIsWatched(t *testing.T) {
	if got := string(AppendRequest(nil, "h:1", 0, time.Second)); !strings.HasPrefix(got, "GET /v1/endpoints?after=0&wait_ms=1000 HTTP/1.1\r\n") {
		t.Errorf("generation 0: %q", got)
	}
	if got := string(AppendRequest(nil, "h:1", NoList, time.Second)); !strings.HasPrefix(got, "GET /v1/endpoints HTTP/1.1\r\n") {
		t.Errorf("no list: %q", got)
	}
}
