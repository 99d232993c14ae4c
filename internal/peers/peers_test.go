package peers

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func newPair() (a, b *Gossip) {
	cfg := Config{Proxies: 80, Interval: 75 * ms, MaxBatch: 31}
	a, b = New(cfg), New(cfg)
	for id := uint64(1); id <= 5; id++ {
		a.Add(id)
		b.Add(id)
	}
	return a, b
}

// A report that one proxy has sent is accepted by the other, which doesn't send the same again.
func TestReportIsSentOnce(t *testing.T) {
	a, b := newPair()
	now := time.Hour
	a.Observe(now, 1, Replica, now, now-20*ms)
	b.Observe(now, 1, Replica, now, now-25*ms) // both wait to send
	reports := a.NextMessage(now)
	if len(reports) != 1 || reports[0].Position != now-20*ms {
		t.Fatalf("%+v", reports)
	}
	if id, accepted, ok := b.Accept(now+5*ms, reports[0]); !ok || id != 1 || accepted.Position != now-20*ms {
		t.Fatal("a new report on a known database is rejected")
	}
	if reports := b.NextMessage(now + 40*ms); reports != nil {
		t.Fatalf("sent again by the other proxy: %+v", reports)
	}
	a.Observe(now+50*ms, 1, Replica, now+50*ms, now+30*ms)
	if reports := a.NextMessage(now + 80*ms); reports != nil {
		t.Fatalf("sent although the last report is only 50 ms old: %+v", reports)
	}
	a.Observe(now+90*ms, 1, Replica, now+90*ms, now+70*ms)
	if reports := a.NextMessage(now + 90*ms); len(reports) != 1 {
		t.Fatal("not sent although the position has advanced by more than Interval")
	}
	a.Observe(now+95*ms, 1, Primary, now+95*ms, 0)
	if reports := a.NextMessage(now + 200*ms); len(reports) != 1 || reports[0].Role != Primary {
		t.Fatal("a new primary is not reported")
	}
}

// Reports that can't be true are rejected: a proxy that believes a position which a replica has not reached serves stale reads.
func TestImplausibleReportsAreRejected(t *testing.T) {
	a, _ := newPair()
	now := time.Hour
	for description, report := range map[string]Report{
		"a database that the own list lacks":    {Database: ShortID(99), Role: Replica, At: now, Position: now},
		"a position later than the observation": {Database: ShortID(1), Role: Replica, At: now - 10*ms, Position: now - 9*ms},
		"a clock that is ahead":                 {Database: ShortID(1), Role: Replica, At: now + time.Second, Position: now},
		"an old report":                         {Database: ShortID(1), Role: Primary, At: now - time.Minute},
		"an unknown role":                       {Database: ShortID(1), Role: 3, At: now},
	} {
		if _, _, ok := a.Accept(now, report); ok {
			t.Errorf("%s is accepted", description)
		}
	}
	if _, report, ok := a.Accept(now, Report{Database: ShortID(1), Role: Replica, At: now + 20*ms, Position: now + 15*ms}); !ok || report.Position > now || report.At > now {
		t.Error("with a sender's clock slightly ahead, the report is rejected or has times after now")
	}
}

// Reports on databases whose short IDs collide are rejected, since the databases can't be distinguished.
func TestCollidingShortIDsAreIgnored(t *testing.T) {
	a, _ := newPair()
	a.byShortID[ShortID(7)] = a.databases[1]
	a.Add(7)
	if _, _, ok := a.Accept(time.Hour, Report{Database: ShortID(7), Role: Replica, At: time.Hour}); ok {
		t.Fatal("a report with an ambiguous ID is accepted")
	}
}

// An accepted position is never ahead of the true one, whether messages are reordered, duplicated, late or lost.
func TestAcceptedPositionsAreNeverAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newPair()
		now, sent := time.Hour, []Report{}
		truth := map[uint64]time.Duration{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * ms
			id := uint64(rapid.IntRange(1, 5).Draw(t, "database"))
			truth[id] = max(truth[id], now-time.Duration(rapid.IntRange(0, 300).Draw(t, "lag"))*ms)
			a.Observe(now, id, Replica, now, truth[id])
			reports := a.NextMessage(now)
			if len(reports) > 31 {
				t.Fatal("the message has too many reports")
			}
			sent = append(sent, reports...)
			if len(sent) > 0 && rapid.Bool().Draw(t, "comes") { // any earlier report, possibly a duplicate
				report := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")]
				if id, report, ok := b.Accept(now, report); ok && report.Position > truth[id] {
					t.Fatalf("position %v of database %d, true position %v", report.Position, id, truth[id])
				}
			}
		}
	})
}
