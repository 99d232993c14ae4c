package limit

import "time"

// DefaultMaxDelay is the default of CallSchedule.MaxDelay. The platform counts a change of the list as known this long after the service
// had it and could be reached, whatever call failed.
const DefaultMaxDelay = 6 * time.Second

// CallSchedule schedules the calls to a service that may fail. At most one call is in progress. All times are fractions of MaxDelay, chosen
// so that a call that hangs, the delay after it and the answer of the next call fit into it.
type CallSchedule struct {
	MaxDelay time.Duration // by when a change has to be known here; 0 = DefaultMaxDelay

	calledAt time.Duration // when the call in progress was made; 0 = none
	nextAt   time.Duration // when the next call is due; 0 = none is
	failed   bool          // the last call failed
	ended    bool          // at least one call has ended
}

func (c *CallSchedule) maxDelay() time.Duration {
	if c.MaxDelay > 0 {
		return c.MaxDelay
	}
	return DefaultMaxDelay
}

// RetryDelays returns the shortest and the longest delay after a call that failed.
func (c *CallSchedule) RetryDelays() (shortest, longest time.Duration) {
	return c.maxDelay() / 12, c.maxDelay() / 3
}

// Timeout returns how long a call that is answered at once may take before it counts as failed.
func (c *CallSchedule) Timeout() time.Duration { return c.maxDelay() / 2 }

// WatchTimeouts returns how long a watch call may wait for news at the service, and how long it may take in all. After that it is given up,
// as the service or the network may have failed without a sign.
func (c *CallSchedule) WatchTimeouts() (wait, timeout time.Duration) {
	return c.maxDelay() / 2, c.maxDelay()/2 + c.maxDelay()/12
}

// FirstCallTimeouts returns the same for the call that begins a watch, which the service should answer at once. It ends before Timeout does.
func (c *CallSchedule) FirstCallTimeouts() (wait, timeout time.Duration) {
	return min(firstWait, c.maxDelay()/12), c.maxDelay() * 5 / 12
}

const firstWait = 50 * time.Millisecond

// NoteCall records that a call was made.
func (c *CallSchedule) NoteCall(now time.Duration) { c.nextAt, c.calledAt = 0, now }

// NoteEnd records that the call in progress has ended. If it failed, the next one is due after a delay that random, from 0 to 1, selects.
func (c *CallSchedule) NoteEnd(now time.Duration, failed bool, random float64) {
	c.ended = true
	if c.calledAt, c.failed = 0, failed; failed {
		shortest, longest := c.RetryDelays()
		c.nextAt = now + shortest + time.Duration(random*float64(longest-shortest))
	}
}

// TimedOut reports whether the call in progress has exceeded Timeout.
func (c *CallSchedule) TimedOut(now time.Duration) bool {
	return c.calledAt > 0 && now-c.calledAt > c.Timeout()
}

// Due reports whether a call has to be made.
func (c *CallSchedule) Due(now time.Duration) bool { return c.nextAt > 0 && now >= c.nextAt }

// HasEnded reports whether any call has ended, successfully or not.
func (c *CallSchedule) HasEnded() bool { return c.ended }

// Healthy reports whether the last call that ended has not failed.
func (c *CallSchedule) Healthy() bool { return !c.failed }
