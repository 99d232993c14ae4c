package ping

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms = time.Millisecond
	s  = time.Second
)

// at gives how long behind the last ping and the last news of its position a member is pinged.
func at(p *Schedule, m Member) time.Duration {
	m.LastPing, m.LastPosition = 100*s, 100*s
	for now := 100 * s; now < 200*s; now += ms {
		if due, _ := p.Due(now, &m); due {
			return now - 100*s
		}
	}
	return 0
}

func TestPeriods(t *testing.T) {
	busy := Member{GroupSize: 3, RequestRate: 1000, LastRequest: 99 * s}
	with := func(change func(*Member)) Member {
		m := busy
		change(&m)
		return m
	}
	bounded := &Schedule{Proxies: 1, ClockResolution: 5 * ms, TightestMaxAge: 400 * ms}
	for i, x := range []struct {
		p    *Schedule
		m    Member
		want time.Duration
	}{
		{&Schedule{Proxies: 1, ClockResolution: 5 * ms}, busy, s},
		{bounded, busy, 100 * ms},                                                                                // a quarter of the bound
		{bounded, with(func(m *Member) { m.Primary = true }), s},                                                 // it stands at the present
		{bounded, with(func(m *Member) { m.AnswerOverdue = true }), 0},                                           // at once
		{bounded, with(func(m *Member) { m.SearchInterval = 20 * ms }), 20 * ms},                                 // a primary is looked for
		{&Schedule{Proxies: 1}, with(func(m *Member) { m.NoPrimary = true }), OverdueAfter},                      // and not, but there is none
		{&Schedule{Proxies: 100, TightestMaxAge: 400 * ms}, with(func(m *Member) { m.RequestRate = 1 }), 60 * s}, // thin: 3 members / (0.05 * 1)
	} {
		if x.p.TightestMaxAge > 0 {
			x.p.NoteBoundedRead(100 * s)
		}
		if got := at(x.p, x.m); got != x.want {
			t.Errorf("%d: pinged after %v, want %v", i, got, x.want)
		}
	}
}

// A silent member of a thin group is tried again only while requests come.
func TestSilentAndThin(t *testing.T) {
	p := &Schedule{Proxies: 100, TightestMaxAge: 400 * ms}
	p.NoteBoundedRead(100 * s)
	m := Member{GroupSize: 3, RequestRate: 1, Silent: true, LastPing: 100 * s, LastRequest: 101 * s}
	if due, _ := p.Due(103*s, &m); due {
		t.Error("too early")
	}
	if due, _ := p.Due(104*s, &m); !due {
		t.Error("requests come, and nobody asks")
	}
	m.LastRequest = 99 * s
	if due, _ := p.Due(110*s, &m); due {
		t.Error("nobody needs to know")
	}
}

// Whoever rests until the time that it was told misses no ping: up to then none is due, whatever the member.
func TestRestsAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Schedule{Proxies: rapid.IntRange(1, 200).Draw(t, "proxies"), ClockResolution: 5 * ms, TightestMaxAge: time.Duration(rapid.IntRange(0, 900).Draw(t, "bound")) * ms}
		p.NoteBoundedRead(time.Duration(rapid.IntRange(95_000, 100_000).Draw(t, "bounded")) * ms)
		m := Member{LastPing: time.Duration(rapid.IntRange(90_000, 100_000).Draw(t, "probed")) * ms, LastPosition: time.Duration(rapid.IntRange(90_000, 100_000).Draw(t, "placed")) * ms,
			Primary: rapid.Bool().Draw(t, "primary"), Silent: rapid.Bool().Draw(t, "silent"), NoPrimary: rapid.Bool().Draw(t, "headless"),
			GroupSize: rapid.IntRange(1, 9).Draw(t, "members"), RequestRate: rapid.Float64Range(0.01, 5000).Draw(t, "rate"), LastRequest: 99 * s}
		now := 100 * s
		due, until := p.Due(now, &m)
		if due {
			return
		}
		if until > now+MaxDueDelay {
			t.Fatalf("rests for %v", until-now)
		}
		for now += ms; now < until; now += ms {
			if due, _ := p.Due(now, &m); due {
				t.Fatalf("due at %v, to rest until %v", now, until)
			}
		}
	})
}

// The same where the tier shares health checks: nothing becomes due by time alone before a member is looked at again.
func TestRestsAreSafeWhereChecksAreShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Schedule{Proxies: 200, ClockResolution: 5 * ms, SharedChecks: true}
		m := Member{LastPing: time.Duration(rapid.IntRange(0, 100_000).Draw(t, "probed")) * ms, Known: rapid.Bool().Draw(t, "known"),
			Silent: rapid.Bool().Draw(t, "silent"), Ejected: rapid.Bool().Draw(t, "ejected"), NoPrimary: rapid.Bool().Draw(t, "headless"),
			LastRequest: time.Duration(rapid.IntRange(0, 100_000).Draw(t, "asked")) * ms, GroupSize: 4, RequestRate: 1}
		now := 100 * s
		due, until := p.Due(now, &m)
		if due {
			return
		}
		if until > now+restShared {
			t.Fatalf("rests for %v", until-now)
		}
		for now += ms; now < until; now += ms {
			if due, _ := p.Due(now, &m); due {
				t.Fatalf("due at %v, to rest until %v", now, until)
			}
		}
	})
}
