package limit

import (
	"testing"
	"time"
)

// TestOneClientUsesItsPart guards against a client that keeps the processor busy by itself, whatever part of one the process has.
func TestOneClientUsesItsPart(t *testing.T) {
	const turn, length = 200 * time.Microsecond, 10 * time.Second
	for cores, want := range map[float64]time.Duration{1: length / 10, 0.5: length / 20, 2: length / 10, 0.1: length / 20} {
		pace := NewPace(cores)
		var u Usage
		now, used := time.Hour, time.Duration(0)
		for end := now + length; now < end; {
			now = max(now, pace.NextTurn(&u, now)) + turn
			used += turn
			pace.Add(&u, now, turn)
		}
		if used < want*9/10 || used > want*11/10+paceBurst {
			t.Errorf("with %v processors a client has used %v of %v, want some %v", cores, used, length, want)
		}
	}
}

// TestModestClientsDoNotWait guards against clients that wait for their turns although they use little, also behind one turn in which the
// processor was taken away.
func TestModestClientsDoNotWait(t *testing.T) {
	pace := NewPace(1)
	var u Usage
	now := time.Hour
	for range 10_000 {
		if next := pace.NextTurn(&u, now); next > now {
			t.Fatalf("it waits for %v", next-now)
		}
		now += 10 * time.Millisecond
		pace.Add(&u, now, time.Millisecond)
	}
	pace.Add(&u, now, time.Hour)
	if next := pace.NextTurn(&u, now); next > now {
		t.Errorf("it waits for %v behind a long turn", next-now)
	}
}
