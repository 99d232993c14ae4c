// Package ping says when a database is pinged: steadily, and as often as bounded reads need to know positions; at need where
// traffic is too thin for that; out of turn where answers are owed, or a primary is looked for. It is pure.
package ping

import (
	"slices"
	"time"
)

const (
	every     = time.Second // steady period
	boundPart = 4           // while bounded reads run, at least every bound/boundPart

	// Thin traffic: where those periods give a member over thinAll pings a second from all proxies, and cost over thinPings a
	// request here, pings go out at need, and thinPart of requests in steady use.
	thinAll   = 20.0 // about a hundredth of a core
	thinPings = 2.0
	thinPart  = 0.05
	silentAsk = 4 * time.Second // a silent member is tried again so often, while requests come

	// OverdueAfter is how long a member may owe answers before it is pinged out of turn.
	OverdueAfter = 150 * time.Millisecond

	// MaxDueDelay is how long a member may go without a look.
	MaxDueDelay = 50 * time.Millisecond
)

// Schedule is one proxy's.
type Schedule struct {
	Proxies         int           // that ping the same databases
	ClockResolution time.Duration // the grain of the proxy's clock
	TightestMaxAge  time.Duration // bound of any class; 0 = none has one
	SharedChecks    bool          // the tier shares health checks: see dueShared
	ListedDatabases int           // databases of the list
	MaxConnections  int           // connections to databases that this proxy may have; 0 = any number

	bounded time.Duration // when the last bounded read came
}

// NoteBoundedRead notes a bounded read.
func (s *Schedule) NoteBoundedRead(now time.Duration) { s.bounded = now }

// ShortestPeriod is the shortest period that positions may ask for.
func (s *Schedule) ShortestPeriod() time.Duration {
	if s.TightestMaxAge > 0 {
		return min(every, max(s.TightestMaxAge/boundPart, s.ClockResolution))
	}
	return every
}

// ExcessiveProxies tells of proxies in such number that pings at that period would take much of a database, a tenth of a core.
func (s *Schedule) ExcessiveProxies() bool {
	return float64(s.Proxies)/s.ShortestPeriod().Seconds() > 10*thinAll
}

// OnDemand tells whether databases that nobody asks for are not checked at all: a check takes a connection, and there is not room for one to each.
func (s *Schedule) OnDemand() bool {
	return s.MaxConnections > 0 && s.ListedDatabases > s.MaxConnections
}

// Period is how old a replica's position may get.
func (s *Schedule) Period(now time.Duration) time.Duration {
	if s.TightestMaxAge > 0 && now-s.bounded < every {
		return s.ShortestPeriod()
	}
	return every
}

// ThinTraffic tells whether pings at that period are too many for a group's members and this proxy's requests to it, in a second.
func (s *Schedule) ThinTraffic(now time.Duration, members int, rate float64) bool {
	pings := 1 / s.Period(now).Seconds()
	return (pings*float64(s.Proxies) > thinAll || s.OnDemand()) && pings*float64(members) > thinPings*rate
}

// Member is what there is to know of one.
type Member struct {
	LastPing       time.Duration // the last ping; 0 = never
	FirstPingAt    time.Duration // when it is to be pinged first, unless it is known by then
	Known          bool          // its role or position, by a peer
	LastPosition   time.Duration // the last news of its position
	AnswerOverdue  bool          // answers, for longer than they usually take
	Silent         bool
	Primary        bool          // as it last said: it stands at the present
	NoPrimary      bool          // its group has no primary
	SearchInterval time.Duration // between pings while one is looked for; 0 = that is not so
	GroupSize      int           // of its group
	RequestRate    float64       // requests a second to its group
	LastRequest    time.Duration // the last of them
	Ejected        bool          // dead by the word of a quorum
}

// Due tells whether a member is to be pinged now, and until when it need not be looked at unless something happens to it.
func (s *Schedule) Due(now time.Duration, m *Member) (due bool, until time.Duration) {
	if s.SharedChecks {
		return s.dueShared(now, m)
	}
	since, period, steady, owes := now-m.LastPing, s.Period(now), every, m.AnswerOverdue
	if m.Primary {
		period = every
	}
	if m.LastPing == 0 && m.SearchInterval == 0 && (m.Known || now < m.FirstPingAt) {
		return false, max(m.FirstPingAt, now+MaxDueDelay)
	}
	if m.LastPing == 0 && m.SearchInterval == 0 && !m.AnswerOverdue && s.OnDemand() && s.ThinTraffic(now, m.GroupSize, m.RequestRate) {
		return false, now + MaxDueDelay // who asks for its group has it checked
	}
	if m.LastPing == 0 || m.SearchInterval > 0 && since >= m.SearchInterval && !m.Silent {
		return true, 0
	}
	if s.ThinTraffic(now, m.GroupSize, m.RequestRate) {
		owes = owes || m.Silent && since >= silentAsk && m.LastRequest > m.LastPing
		steady = time.Duration(min(float64(m.GroupSize)/(thinPart*m.RequestRate), 3600) * 1e9)
		period = steady
	}
	if owes || since >= steady || since >= period && now-m.LastPosition >= period || steady == every && m.NoPrimary && since >= min(period, OverdueAfter) {
		return true, 0
	}
	if m.AnswerOverdue || m.Silent || m.NoPrimary || m.SearchInterval > 0 {
		return false, 0
	}
	return false, min(now+MaxDueDelay, m.LastPing+steady, max(m.LastPing, m.LastPosition)+period)
}

// Nearest keeps those of a list whose ping is within a window of the quickest. Where some have never been pinged and others have, they
// are kept only if unknown is set: where peers' words spare most pings, the first answer tells soon enough.
func Nearest[M any](list []M, window time.Duration, unknown bool, ping func(M) time.Duration) []M {
	quickest := time.Duration(-1)
	for _, m := range list {
		if p := ping(m); p > 0 && (quickest < 0 || p < quickest) {
			quickest = p
		}
	}
	return slices.DeleteFunc(list, func(m M) bool {
		p := ping(m)
		return quickest >= 0 && (p == 0 && !unknown || p > quickest+window)
	})
}
