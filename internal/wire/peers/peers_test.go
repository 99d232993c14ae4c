package peers

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"havenproxy/internal/peers"
)

// Times in a report arrive rounded into the past by at most two milliseconds, whatever the two proxies' own clocks
// show.
func TestReportsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		micros := func(label string, maximum int) time.Duration {
			return time.Duration(rapid.IntRange(0, maximum).Draw(t, label)) * time.Microsecond
		}
		sharedNow := time.Duration(1767225600)*time.Second + micros("shared", 1e9)
		senderNow, receiverNow := 24*time.Hour+micros("here", 1e9), 24*time.Hour+micros("there", 1e9)
		transit := micros("transit", 30000)
		want := peers.Report{Database: rapid.Uint32().Draw(t, "database"), Role: peers.Role(rapid.IntRange(0, 2).Draw(t, "role")),
			Status: peers.Status(rapid.IntRange(0, 2).Draw(t, "status")), At: senderNow - micros("age", 2e6)}
		want.Position = want.At - micros("lag", 3e6)
		buf := Append(nil, sharedNow, senderNow, []peers.Report{want})
		got, err := Parse(nil, buf, sharedNow+transit, receiverNow+transit)
		if err != nil || len(got) != 1 {
			t.Fatalf("%v %v", got, err)
		}
		decoded, offset := got[0], receiverNow-senderNow
		if decoded.Database != want.Database || decoded.Role != want.Role || decoded.Status != want.Status {
			t.Fatalf("got %+v, want %+v", decoded, want)
		}
		for _, times := range [][2]time.Duration{{want.At, decoded.At}, {want.Position, decoded.Position}} {
			if roundedBy := times[0] + offset - times[1]; roundedBy < 0 || roundedBy > 2*time.Millisecond {
				t.Fatalf("%v was decoded as %v", times[0]+offset, times[1])
			}
		}
	})
}

func TestMessagesAreBoundedAndMalformedOnesRejected(t *testing.T) {
	now := 24 * time.Hour
	buf := Append(nil, now, now, make([]peers.Report, 100))
	if len(buf) != 0 { // every report is too old to be encoded
		t.Fatalf("%d bytes", len(buf))
	}
	reports := make([]peers.Report, 100)
	for i := range reports {
		reports[i] = peers.Report{Database: uint32(i), At: now}
	}
	buf = Append(nil, now, now, reports)
	if got, err := Parse(nil, buf, now, now); len(buf) > MaxMessage || err != nil || len(got) != MaxReports || got[0].Position != 0 {
		t.Fatalf("%d bytes, %d reports, %v", len(buf), len(got), err)
	}
	rapid.Check(t, func(t *rapid.T) {
		garbage := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "garbage")
		got, err := Parse(nil, garbage, now, now)
		if wellFormed := len(garbage) >= 13 && len(garbage) <= 256 && len(garbage)%8 == 5 && garbage[0] == 1; wellFormed != (err == nil) || err != nil && len(got) > 0 {
			t.Fatalf("%d bytes, %v: %d reports, %v", len(garbage), garbage, len(got), err)
		}
	})
}
