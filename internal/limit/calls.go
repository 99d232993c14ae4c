package limit

import "time"

const (
	againMin = 500 * time.Millisecond // calls that fail are spaced out
	againMax = 4 * time.Second
	patience = 5 * time.Second // a call without any reply is taken for failed
)

// Calls spaces out the calls to a service that must have one at most under way, and fails at times.
type Calls struct {
	calledAt time.Duration // when the outstanding one was made; 0 = none
	nextAt   time.Duration // when to call next; 0 = no need
	failed   bool          // the last one did
}

// Called notes a call.
func (c *Calls) Called(now time.Duration) { c.nextAt, c.calledAt = 0, now }

// Answered notes its end; another follows where it failed, after a time drawn by a number from 0 to 1.
func (c *Calls) Answered(now time.Duration, failed bool, draw float64) {
	if c.calledAt, c.failed = 0, failed; failed {
		c.nextAt = now + againMin + time.Duration(draw*float64(againMax-againMin))
	}
}

// Overdue tells that the call under way will have no answer.
func (c *Calls) Overdue(now time.Duration) bool { return c.calledAt > 0 && now-c.calledAt > patience }

// Due tells that a call is to be made.
func (c *Calls) Due(now time.Duration) bool { return c.nextAt > 0 && now >= c.nextAt }

// Well tells that the last call that ended did not fail.
func (c *Calls) Well() bool { return !c.failed }
