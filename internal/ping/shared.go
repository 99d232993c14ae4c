package ping

import "time"

// inUse is how long a group counts as in use behind a request to it.
const inUse = 10 * time.Second

// InUse tells whether a group whose last request came at a time is in use; 0 = none came.
func InUse(now, asked time.Duration) bool { return asked > 0 && now-asked <= inUse }

// restShared is how long a member may go without a look where the tier shares health checks and it lacks nothing: what makes a check of it
// due then is an event, and has it looked at.
const restShared = time.Second

// dueShared is Due where the tier shares health checks. Steady checks are its checkers' then. Left are those for an answer that is owed,
// and in a group that is in use the first one, those while it has no primary, and those of a member that is silent here and not ejected.
func (s *Schedule) dueShared(now time.Duration, m *Member) (due bool, until time.Duration) {
	since := now - m.LastPing
	headless := m.NoPrimary && since >= every || m.SearchInterval > 0 && since >= m.SearchInterval
	switch {
	case m.AnswerOverdue:
		return true, 0
	case !InUse(now, m.LastRequest):
		return false, now + MaxDueDelay // the first request to its group makes a first check due
	case m.LastPing == 0:
		due = !m.Known
	case m.Silent:
		due = !m.Ejected && since >= silentAsk && m.LastRequest > m.LastPing
	default:
		due = headless
	}
	if due || m.Silent || m.NoPrimary || m.SearchInterval > 0 {
		return due, 0
	}
	if m.LastPing > 0 {
		return false, now + restShared
	}
	return false, now + MaxDueDelay
}
