package state

import (
	"math"
	"time"

	"havenproxy/internal/labclock"
)

// Clock is the router's clock. Now is monotonic; Unix relates it to the wall clock.
type Clock interface {
	Now() time.Duration
	Unix() time.Duration // time since 1970 by the wall clock
}

// clockBase is the clock's value at the start of the process. It keeps earlier times positive, as zero stands for
// "long ago" or "not known".
const clockBase = 24 * time.Hour

// SystemClock is a Clock that reads the machine's clocks.
type SystemClock struct{ start time.Time }

// NewClock returns a SystemClock that starts now.
func NewClock() *SystemClock { return &SystemClock{time.Now()} }

// Now implements Clock with the monotonic clock.
func (c *SystemClock) Now() time.Duration { return clockBase + labclock.Since(c.start) }

// Unix implements Clock.
func (c *SystemClock) Unix() time.Duration { return time.Duration(labclock.Wall().UnixNano()) }

// fromUnix converts a Unix time to the router's clock. It returns 0 if the time is not known or lies too far in the
// past.
func fromUnix(clock Clock, unix time.Duration) time.Duration {
	if unix <= 0 {
		return 0
	}
	return max(clock.Now()-(clock.Unix()-unix), 0)
}

// positionFromUnix converts a replication position in Unix seconds to the router's clock. The nearest float64 may be
// larger than the number that was written, so it is lowered by one step: data must never count as fresher than it is.
func positionFromUnix(clock Clock, seconds float64) time.Duration {
	if !(seconds > 0 && seconds < 1e10) {
		return 0
	}
	return fromUnix(clock, time.Duration(math.Floor(math.Nextafter(seconds, 0)*1e6))*time.Microsecond)
}

// tokenAge returns the time since a commit, 0 if there was none. A commit time that was rounded up to the next
// millisecond may lie in the future; the age is 1 ns then, as 0 would mean that there was no commit.
func tokenAge(clock Clock, unixMilli int64) time.Duration {
	if unixMilli <= 0 {
		return 0
	}
	return max(clock.Unix()-time.Duration(unixMilli)*time.Millisecond, 1)
}

// Clock returns the engine's clock.
func (e *Engine) Clock() Clock { return e.clock }
