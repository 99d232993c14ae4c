package peers

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"havenproxy/internal/peers"
)

// What is told comes over rounded into the past by no more than two milliseconds, whatever the two proxies' own clocks say.
func TestFactsComeOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		micros := func(what string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, what)) * time.Microsecond
		}
		shared := time.Duration(1767225600)*time.Second + micros("shared", 1e9)
		here, there := 24*time.Hour+micros("here", 1e9), 24*time.Hour+micros("there", 1e9)
		way := micros("way", 30000)
		f := peers.Report{Database: rapid.Uint32().Draw(t, "database"), Role: peers.Role(rapid.IntRange(0, 2).Draw(t, "role")),
			Status: peers.Status(rapid.IntRange(0, 2).Draw(t, "ails")), At: here - micros("age", 2e6)}
		f.Position = f.At - micros("lag", 3e6)
		buf := Append(nil, shared, here, []peers.Report{f})
		got, err := Parse(nil, buf, shared+way, there+way)
		if err != nil || len(got) != 1 {
			t.Fatalf("%v %v", got, err)
		}
		g, offset := got[0], there-here
		if g.Database != f.Database || g.Role != f.Role || g.Status != f.Status {
			t.Fatalf("%+v of %+v", g, f)
		}
		for _, x := range [][2]time.Duration{{f.At, g.At}, {f.Position, g.Position}} {
			if d := x[0] + offset - x[1]; d < 0 || d > 2*time.Millisecond {
				t.Fatalf("%v comes over as %v", x[0]+offset, x[1])
			}
		}
	})
}

func TestMessagesAreBoundedAndOddOnesRefused(t *testing.T) {
	now := 24 * time.Hour
	buf := Append(nil, now, now, make([]peers.Report, 100))
	if len(buf) != 0 { // of nothing but facts of long ago
		t.Fatalf("%d bytes", len(buf))
	}
	facts := make([]peers.Report, 100)
	for i := range facts {
		facts[i] = peers.Report{Database: uint32(i), At: now}
	}
	buf = Append(nil, now, now, facts)
	if got, err := Parse(nil, buf, now, now); len(buf) > MaxMessage || err != nil || len(got) != MaxFacts || got[0].Position != 0 {
		t.Fatalf("%d bytes, %d facts, %v", len(buf), len(got), err)
	}
	rapid.Check(t, func(t *rapid.T) {
		garbage := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "garbage")
		got, err := Parse(nil, garbage, now, now)
		if fits := len(garbage) >= 13 && len(garbage) <= 256 && len(garbage)%8 == 5 && garbage[0] == 1; fits != (err == nil) || err != nil && len(got) > 0 {
			t.Fatalf("%d bytes, version %v: %d facts, %v", len(garbage), garbage, len(got), err)
		}
	})
}
