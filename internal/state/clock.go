package state

import (
	"math"
	"time"

	"havenproxy/internal/labclock"
)

// Clock is the router's clock. It only moves forward, and places moments of the wall clock on itself.
type Clock interface {
	Now() time.Duration
	Unix() time.Duration // the wall clock's time since 1970
}

// clockBase keeps moments before the start above zero, which stands for "long ago" or "not told".
const clockBase = 24 * time.Hour

// SystemClock is the clock of the machine.
type SystemClock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() *SystemClock { return &SystemClock{time.Now()} }

// Now implements Clock by the monotonic clock.
func (c *SystemClock) Now() time.Duration { return clockBase + labclock.Since(c.start) }

// Unix implements Clock.
func (c *SystemClock) Unix() time.Duration { return time.Duration(labclock.Wall().UnixNano()) }

// place puts a moment of the wall clock on the router's clock; 0 where it is not told or too long ago.
func place(c Clock, unix time.Duration) time.Duration {
	if unix <= 0 {
		return 0
	}
	return max(c.Now()-(c.Unix()-unix), 0)
}

// positionOf places a position told in Unix seconds. The nearest float may lie above what was written: it is
// taken one step down, so that data never counts as fresher than it is.
func positionOf(c Clock, seconds float64) time.Duration {
	if !(seconds > 0 && seconds < 1e10) {
		return 0
	}
	return place(c, time.Duration(math.Floor(math.Nextafter(seconds, 0)*1e6))*time.Microsecond)
}

// tokenAge gives how long ago a commit was. A commit rounded up to the next millisecond may still lie ahead;
// an age of 0 would mean that there was none.
func tokenAge(c Clock, unixMilli int64) time.Duration {
	if unixMilli <= 0 {
		return 0
	}
	return max(c.Unix()-time.Duration(unixMilli)*time.Millisecond, 1)
}

// Clock gives the clock that the front goes by.
func (f *Engine) Clock() Clock { return f.clock }
