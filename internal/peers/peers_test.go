package peers

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func two() (a, b *Gossip) {
	cfg := Config{Proxies: 80, Interval: 75 * ms, MaxBatch: 31}
	a, b = New(cfg), New(cfg)
	for id := uint64(1); id <= 5; id++ {
		a.Add(id)
		b.Add(id)
	}
	return a, b
}

// What one has seen the other knows, and doesn't tell again.
func TestAFactIsToldOnce(t *testing.T) {
	a, b := two()
	now := time.Hour
	a.Observe(now, 1, Replica, now, now-20*ms)
	b.Observe(now, 1, Replica, now, now-25*ms) // both wait for their turns
	facts := a.NextMessage(now)
	if len(facts) != 1 || facts[0].Position != now-20*ms {
		t.Fatalf("%+v", facts)
	}
	if id, f, ok := b.Accept(now+5*ms, facts[0]); !ok || id != 1 || f.Position != now-20*ms {
		t.Fatal("a fresh fact of a known database is not believed")
	}
	if facts := b.NextMessage(now + 40*ms); facts != nil {
		t.Fatalf("told again by another: %+v", facts)
	}
	a.Observe(now+50*ms, 1, Replica, now+50*ms, now+30*ms)
	if facts := a.NextMessage(now + 80*ms); facts != nil {
		t.Fatalf("told though the others' news is 50 ms old: %+v", facts)
	}
	a.Observe(now+90*ms, 1, Replica, now+90*ms, now+70*ms)
	if facts := a.NextMessage(now + 90*ms); len(facts) != 1 {
		t.Fatal("not told though it has moved by more than a ping's period")
	}
	a.Observe(now+95*ms, 1, Primary, now+95*ms, 0)
	if facts := a.NextMessage(now + 200*ms); len(facts) != 1 || facts[0].Role != Primary {
		t.Fatal("a new primary is not told")
	}
}

// A proxy that can be made to believe fresher data than there are serves stale reads.
func TestNothingIsBelievedThatCantBe(t *testing.T) {
	a, _ := two()
	now := time.Hour
	for what, f := range map[string]Report{
		"a database that the own list has not named":     {Database: ShortID(99), Role: Replica, At: now, Position: now},
		"data fresher than the moment they were seen at": {Database: ShortID(1), Role: Replica, At: now - 10*ms, Position: now - 9*ms},
		"a clock that is ahead":                          {Database: ShortID(1), Role: Replica, At: now + time.Second, Position: now},
		"news of long ago":                               {Database: ShortID(1), Role: Primary, At: now - time.Minute},
		"an unknown role":                                {Database: ShortID(1), Role: 3, At: now},
	} {
		if _, _, ok := a.Accept(now, f); ok {
			t.Errorf("%s is believed", what)
		}
	}
	if _, f, ok := a.Accept(now, Report{Database: ShortID(1), Role: Replica, At: now + 20*ms, Position: now + 15*ms}); !ok || f.Position > now || f.At > now {
		t.Error("a clock that is a little ahead makes data fresher than now")
	}
}

// Two databases of one short number can't be told apart.
func TestASharedNumberIsNobodys(t *testing.T) {
	a, _ := two()
	a.short[ShortID(7)] = a.known[1]
	a.Add(7)
	if _, _, ok := a.Accept(time.Hour, Report{Database: ShortID(7), Role: Replica, At: time.Hour}); ok {
		t.Fatal("believed of one of two")
	}
}

// Whatever is seen and in whichever order messages come, doubled, late or not at all, what is believed of a position was true.
func TestPositionsAreNeverAheadOfTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := two()
		now, held := time.Hour, []Report{}
		truth := map[uint64]time.Duration{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * ms
			id := uint64(rapid.IntRange(1, 5).Draw(t, "database"))
			truth[id] = max(truth[id], now-time.Duration(rapid.IntRange(0, 300).Draw(t, "lag"))*ms)
			a.Observe(now, id, Replica, now, truth[id])
			told := a.NextMessage(now)
			if len(told) > 31 {
				t.Fatal("a message that is too long")
			}
			held = append(held, told...)
			if len(held) > 0 && rapid.Bool().Draw(t, "comes") { // any of those so far, once more perhaps
				f := held[rapid.IntRange(0, len(held)-1).Draw(t, "which")]
				if id, f, ok := b.Accept(now, f); ok && f.Position > truth[id] {
					t.Fatalf("position %v of %d, true is %v", f.Position, id, truth[id])
				}
			}
		}
	})
}
