//go:build !lab

// Package labclock lets a process of the lab read a clock that is wrong: by an offset of its wall clock, and by the rate of its monotonic one.
// It is there in programs that were built with the tag "lab" only; in all others it is nothing. It guards nothing: it is how a test sees
// that what must not hang on clocks that agree does not.
package labclock

import "time"

// Wall gives the wall clock.
func Wall() time.Time { return time.Now() }

// Since gives what the monotonic clock says has gone by since a time that Go's clock gave.
func Since(t time.Time) time.Duration { return time.Since(t) }
