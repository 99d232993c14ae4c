package limit

import "time"

// DefaultPropagationBound is the platform's: whatever call failed, a change of the list counts as told this long after the service had it and
// could be reached.
const DefaultPropagationBound = 6 * time.Second

// CallSchedule spaces out the calls to a service that must have one at most under way, and fails at times. All its times are parts of
// Bound, so that a call which hangs, the pause behind it and the next call's answer end within it.
type CallSchedule struct {
	PropagationBound time.Duration // by when a change has to be known here; 0 = DefaultBound

	calledAt time.Duration // when the outstanding one was made; 0 = none
	nextAt   time.Duration // when to call next; 0 = no need
	failed   bool          // the last one did
	ended    bool          // one of them at least has
}

func (c *CallSchedule) bound() time.Duration {
	if c.PropagationBound > 0 {
		return c.PropagationBound
	}
	return DefaultPropagationBound
}

// RetryDelays gives the shortest and the longest pause behind a call that failed.
func (c *CallSchedule) RetryDelays() (least, most time.Duration) {
	return c.bound() / 12, c.bound() / 3
}

// Timeout is how long a call that is to be answered at once may take: then it is taken for failed.
func (c *CallSchedule) Timeout() time.Duration { return c.bound() / 2 }

// WatchTimeouts gives how long a call may wait for news, and how long it may take in all: one that stays without an answer behind that is
// given up, for the service, or the way to it, may have fallen silent for good.
func (c *CallSchedule) WatchTimeouts() (wait, patience time.Duration) {
	return c.bound() / 2, c.bound()/2 + c.bound()/12
}

// FirstCallTimeouts gives the same for the call that begins a watch, which is to be answered at once. It ends before Patience does.
func (c *CallSchedule) FirstCallTimeouts() (wait, patience time.Duration) {
	return min(firstWait, c.bound()/12), c.bound() * 5 / 12
}

const firstWait = 50 * time.Millisecond

// NoteCall notes a call.
func (c *CallSchedule) NoteCall(now time.Duration) { c.nextAt, c.calledAt = 0, now }

// NoteEnd notes its end; another follows where it failed, after a time drawn by a number from 0 to 1.
func (c *CallSchedule) NoteEnd(now time.Duration, failed bool, draw float64) {
	c.ended = true
	if c.calledAt, c.failed = 0, failed; failed {
		least, most := c.RetryDelays()
		c.nextAt = now + least + time.Duration(draw*float64(most-least))
	}
}

// TimedOut tells that the call under way will have no answer.
func (c *CallSchedule) TimedOut(now time.Duration) bool {
	return c.calledAt > 0 && now-c.calledAt > c.Timeout()
}

// Due tells that a call is to be made.
func (c *CallSchedule) Due(now time.Duration) bool { return c.nextAt > 0 && now >= c.nextAt }

// HasEnded tells that a call has ended, whether or not it failed.
func (c *CallSchedule) HasEnded() bool { return c.ended }

// Healthy tells that the last call that ended did not fail.
func (c *CallSchedule) Healthy() bool { return !c.failed }
