//go:build !lab

package labclock

import "time"

// Wall returns the time of the wall clock.
func Wall() time.Time { return time.Now() }

// Since returns the time elapsed since t on the monotonic clock; t is a time that time.Now returned.
func Since(t time.Time) time.Duration { return time.Since(t) }
