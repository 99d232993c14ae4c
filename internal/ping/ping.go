// Package ping decides when one proxy pings a database: at a steady period, which is shorter while reads with a bounded staleness need
// recent positions; on demand, where the traffic is too low for such a period; and early, while an answer is overdue or a primary is
// awaited. It does no I/O and reads no clock.
package ping

import (
	"slices"
	"time"
)

const (
	steadyPeriod   = time.Second
	maxAgeFraction = 4 // during bounded reads, a position is refreshed every max_age/maxAgeFraction

	// Traffic is thin where that period would give a database more than thinPingRate pings per second from all proxies, and more than
	// thinPingsPerRequest pings for each request here. Pings are then sent when they are needed, and for thinPingShare of the requests.
	thinPingRate        = 20.0 // costs about a hundredth of a core
	thinPingsPerRequest = 2.0
	thinPingShare       = 0.05
	silentRetryInterval = 4 * time.Second // between pings to a silent member, while requests arrive

	// OverdueAfter is the least time after which a missing answer counts as overdue, so that the member is pinged early.
	OverdueAfter = 150 * time.Millisecond

	// RecheckInterval is the longest time after which Due has to be called again for a member.
	RecheckInterval = 50 * time.Millisecond
)

// Schedule decides about the pings of one proxy.
type Schedule struct {
	Proxies         int           // that ping the same databases
	ClockResolution time.Duration // of the proxy's clock
	TightestMaxAge  time.Duration // least staleness bound of any class; 0 = no class has one
	SharedChecks    bool          // the proxies of the tier share health checks, see dueShared
	ListedDatabases int           // databases that discovery lists
	MaxConnections  int           // connections to databases that this proxy may have; 0 = any number

	boundedReadAt time.Duration // when the last bounded read arrived
}

// NoteBoundedRead records that a read with a staleness bound has arrived.
func (s *Schedule) NoteBoundedRead(now time.Duration) { s.boundedReadAt = now }

// ShortestPeriod returns the shortest period that bounded reads can require.
func (s *Schedule) ShortestPeriod() time.Duration {
	if s.TightestMaxAge > 0 {
		return min(steadyPeriod, max(s.TightestMaxAge/maxAgeFraction, s.ClockResolution))
	}
	return steadyPeriod
}

// ExcessiveProxies reports whether there are so many proxies that pings at ShortestPeriod would use a considerable part of a database: over a
// tenth of a core.
func (s *Schedule) ExcessiveProxies() bool {
	return float64(s.Proxies)/s.ShortestPeriod().Seconds() > 10*thinPingRate
}

// OnDemand reports whether databases are checked only if requests need them, as this proxy may not have a connection to each.
func (s *Schedule) OnDemand() bool {
	return s.MaxConnections > 0 && s.ListedDatabases > s.MaxConnections
}

// Period returns how old a replica's position may become.
func (s *Schedule) Period(now time.Duration) time.Duration {
	if s.TightestMaxAge > 0 && now-s.boundedReadAt < steadyPeriod {
		return s.ShortestPeriod()
	}
	return steadyPeriod
}

// ThinTraffic reports whether pings at Period are too many for a group of so many members, to which this proxy sends requests at the given
// rate per second.
func (s *Schedule) ThinTraffic(now time.Duration, members int, requestRate float64) bool {
	pings := 1 / s.Period(now).Seconds()
	return (pings*float64(s.Proxies) > thinPingRate || s.OnDemand()) && pings*float64(members) > thinPingsPerRequest*requestRate
}

// Member is what Due needs to know of a member.
type Member struct {
	LastPing       time.Duration // 0 = never pinged
	FirstPingAt    time.Duration // when it is pinged first, unless a peer has reported on it by then
	Known          bool          // a peer has reported its role or position
	LastPosition   time.Duration // when its position was last received
	AnswerOverdue  bool          // answers take longer than they usually do
	Silent         bool
	Primary        bool          // by its last report; its position is always up to date
	NoPrimary      bool          // its group has no primary
	SearchInterval time.Duration // between pings while a primary is awaited; 0 = none is
	GroupSize      int           // members of its group
	RequestRate    float64       // requests per second to its group
	LastRequest    time.Duration // the last request to its group
	Ejected        bool          // a quorum has declared it dead
}

// Due reports whether a member has to be pinged now. If not, Due has to be called again at until, or when the member's state changes.
func (s *Schedule) Due(now time.Duration, m *Member) (due bool, until time.Duration) {
	if s.SharedChecks {
		return s.dueShared(now, m)
	}
	elapsed, period, steady, early := now-m.LastPing, s.Period(now), steadyPeriod, m.AnswerOverdue
	if m.Primary {
		period = steadyPeriod
	}
	if m.LastPing == 0 && m.SearchInterval == 0 && (m.Known || now < m.FirstPingAt) {
		return false, max(m.FirstPingAt, now+RecheckInterval)
	}
	if m.LastPing == 0 && m.SearchInterval == 0 && !m.AnswerOverdue && s.OnDemand() && s.ThinTraffic(now, m.GroupSize, m.RequestRate) {
		return false, now + RecheckInterval // a request to its group has it checked
	}
	if m.LastPing == 0 || m.SearchInterval > 0 && elapsed >= m.SearchInterval && !m.Silent {
		return true, 0
	}
	if s.ThinTraffic(now, m.GroupSize, m.RequestRate) {
		early = early || m.Silent && elapsed >= silentRetryInterval && m.LastRequest > m.LastPing
		steady = time.Duration(min(float64(m.GroupSize)/(thinPingShare*m.RequestRate), 3600) * 1e9)
		period = steady
	}
	if early || elapsed >= steady || elapsed >= period && now-m.LastPosition >= period || steady == steadyPeriod && m.NoPrimary && elapsed >= min(period, OverdueAfter) {
		return true, 0
	}
	if m.AnswerOverdue || m.Silent || m.NoPrimary || m.SearchInterval > 0 {
		return false, 0
	}
	return false, min(now+RecheckInterval, m.LastPing+steady, max(m.LastPing, m.LastPosition)+period)
}

// Nearest returns the members whose ping time is at most window longer than the shortest. If some have a ping time and others have none, the
// latter are included only if includeUnknown is set: where peers' reports replace most pings, the first answer provides a time soon enough.
func Nearest[M any](members []M, window time.Duration, includeUnknown bool, pingTime func(M) time.Duration) []M {
	shortest := time.Duration(-1)
	for _, m := range members {
		if p := pingTime(m); p > 0 && (shortest < 0 || p < shortest) {
			shortest = p
		}
	}
	return slices.DeleteFunc(members, func(m M) bool {
		p := pingTime(m)
		return shortest >= 0 && (p == 0 && !includeUnknown || p > shortest+window)
	})
}
