package ping

import "time"

// inUseFor is how long a group counts as in use after a request to it.
const inUseFor = 10 * time.Second

// InUse reports whether a group whose last request arrived at lastRequest is in use; 0 = none has arrived.
func InUse(now, lastRequest time.Duration) bool {
	return lastRequest > 0 && now-lastRequest <= inUseFor
}

// sharedRecheckInterval replaces RecheckInterval where the tier shares health checks and nothing is wrong with a member: its next ping then
// becomes due only by an event, after which Due is called anyway.
const sharedRecheckInterval = time.Second

// dueShared is Due where the proxies of a tier share health checks, so that the steady pings are sent by each member's checkers. This proxy
// pings a member only if an answer is overdue, or if its group is in use and it has never been pinged, the group has no primary, or the
// member is silent here and not ejected.
func (s *Schedule) dueShared(now time.Duration, m *Member) (due bool, until time.Duration) {
	elapsed := now - m.LastPing
	primaryAwaited := m.NoPrimary && elapsed >= steadyPeriod || m.SearchInterval > 0 && elapsed >= m.SearchInterval
	switch {
	case m.AnswerOverdue:
		return true, 0
	case !InUse(now, m.LastRequest):
		return false, now + RecheckInterval // the first request to its group makes a first check due
	case m.LastPing == 0:
		due = !m.Known
	case m.Silent:
		due = !m.Ejected && elapsed >= silentRetryInterval && m.LastRequest > m.LastPing
	default:
		due = primaryAwaited
	}
	if due || m.Silent || m.NoPrimary || m.SearchInterval > 0 {
		return due, 0
	}
	if m.LastPing > 0 {
		return false, now + sharedRecheckInterval
	}
	return false, now + RecheckInterval
}
