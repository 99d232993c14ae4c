package ping

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// firstDue returns how long after its last ping and position a member is due to be pinged; 0 also if that is not within 100 s.
func firstDue(schedule *Schedule, m Member) time.Duration {
	m.LastPing, m.LastPosition = 100*sec, 100*sec
	for now := 100 * sec; now < 200*sec; now += ms {
		if due, _ := schedule.Due(now, &m); due {
			return now - 100*sec
		}
	}
	return 0
}

func TestPeriods(t *testing.T) {
	base := Member{GroupSize: 3, RequestRate: 1000, LastRequest: 99 * sec}
	with := func(change func(*Member)) Member {
		m := base
		change(&m)
		return m
	}
	bounded := &Schedule{Proxies: 1, ClockResolution: 5 * ms, TightestMaxAge: 400 * ms}
	for i, c := range []struct {
		schedule *Schedule
		member   Member
		want     time.Duration
	}{
		{&Schedule{Proxies: 1, ClockResolution: 5 * ms}, base, sec},
		{bounded, base, 100 * ms},                                                                                  // a quarter of the staleness bound
		{bounded, with(func(m *Member) { m.Primary = true }), sec},                                                 // its position is always up to date
		{bounded, with(func(m *Member) { m.AnswerOverdue = true }), 0},                                             // an overdue answer makes it due at once
		{bounded, with(func(m *Member) { m.SearchInterval = 20 * ms }), 20 * ms},                                   // a primary is awaited
		{&Schedule{Proxies: 1}, with(func(m *Member) { m.NoPrimary = true }), OverdueAfter},                        // none is awaited, but there is none
		{&Schedule{Proxies: 100, TightestMaxAge: 400 * ms}, with(func(m *Member) { m.RequestRate = 1 }), 60 * sec}, // thin traffic: 3 members / (0.05 * 1)
	} {
		if c.schedule.TightestMaxAge > 0 {
			c.schedule.NoteBoundedRead(100 * sec)
		}
		if got := firstDue(c.schedule, c.member); got != c.want {
			t.Errorf("%d: pinged after %v, want %v", i, got, c.want)
		}
	}
}

// A silent member of a group with thin traffic is pinged again only while requests arrive.
func TestSilentMemberOfThinGroup(t *testing.T) {
	schedule := &Schedule{Proxies: 100, TightestMaxAge: 400 * ms}
	schedule.NoteBoundedRead(100 * sec)
	m := Member{GroupSize: 3, RequestRate: 1, Silent: true, LastPing: 100 * sec, LastRequest: 101 * sec}
	if due, _ := schedule.Due(103*sec, &m); due {
		t.Error("pinged before the retry interval has passed")
	}
	if due, _ := schedule.Due(104*sec, &m); !due {
		t.Error("not pinged although requests arrive")
	}
	m.LastRequest = 99 * sec
	if due, _ := schedule.Due(110*sec, &m); due {
		t.Error("pinged although no requests arrive")
	}
}

// Whatever the member, no ping becomes due by time alone before the time at which Due asks to be called again.
func TestNothingIsDueBeforeUntil(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := &Schedule{Proxies: rapid.IntRange(1, 200).Draw(t, "proxies"), ClockResolution: 5 * ms, TightestMaxAge: time.Duration(rapid.IntRange(0, 900).Draw(t, "bound")) * ms}
		schedule.NoteBoundedRead(time.Duration(rapid.IntRange(95_000, 100_000).Draw(t, "bounded")) * ms)
		m := Member{LastPing: time.Duration(rapid.IntRange(90_000, 100_000).Draw(t, "last ping")) * ms, LastPosition: time.Duration(rapid.IntRange(90_000, 100_000).Draw(t, "last position")) * ms,
			Primary: rapid.Bool().Draw(t, "primary"), Silent: rapid.Bool().Draw(t, "silent"), NoPrimary: rapid.Bool().Draw(t, "no primary"),
			GroupSize: rapid.IntRange(1, 9).Draw(t, "members"), RequestRate: rapid.Float64Range(0.01, 5000).Draw(t, "rate"), LastRequest: 99 * sec}
		now := 100 * sec
		due, until := schedule.Due(now, &m)
		if due {
			return
		}
		if until > now+RecheckInterval {
			t.Fatalf("Due is to be called again only after %v", until-now)
		}
		for now += ms; now < until; now += ms {
			if due, _ := schedule.Due(now, &m); due {
				t.Fatalf("due at %v, before %v", now, until)
			}
		}
	})
}

// The same where the tier shares health checks.
func TestNothingIsDueBeforeUntilWithSharedChecks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := &Schedule{Proxies: 200, ClockResolution: 5 * ms, SharedChecks: true}
		m := Member{LastPing: time.Duration(rapid.IntRange(0, 100_000).Draw(t, "last ping")) * ms, Known: rapid.Bool().Draw(t, "known"),
			Silent: rapid.Bool().Draw(t, "silent"), Ejected: rapid.Bool().Draw(t, "ejected"), NoPrimary: rapid.Bool().Draw(t, "no primary"),
			LastRequest: time.Duration(rapid.IntRange(0, 100_000).Draw(t, "last request")) * ms, GroupSize: 4, RequestRate: 1}
		now := 100 * sec
		due, until := schedule.Due(now, &m)
		if due {
			return
		}
		if until > now+sharedRecheckInterval {
			t.Fatalf("Due is to be called again only after %v", until-now)
		}
		for now += ms; now < until; now += ms {
			if due, _ := schedule.Due(now, &m); due {
				t.Fatalf("due at %v, before %v", now, until)
			}
		}
	})
}
