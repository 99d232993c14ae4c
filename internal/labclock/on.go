//go:build lab

package labclock

import (
	"fmt"
	"os"
	"time"
)

// EnvVar is the name of the environment variable with the skew, in the form "OFFSET RATE". "200ms 0.9" stands for a wall
// clock that is 200 ms ahead and a monotonic clock that advances by 0.9 s in a second. If the variable is unset or empty, no
// skew is applied. If it is malformed, the process exits with status 1.
const EnvVar = "HAVENLAB_CLOCK"

var (
	offset time.Duration
	rate   = 1.0
)

func init() {
	text := os.Getenv(EnvVar)
	if text == "" {
		return
	}
	var offsetText string
	if _, err := fmt.Sscanf(text, "%s %g", &offsetText, &rate); err == nil {
		if offset, err = time.ParseDuration(offsetText); err == nil && rate > 0 {
			fmt.Fprintln(os.Stderr, "clock skew (offset, rate):", offset, rate)
			return
		}
	}
	fmt.Fprintf(os.Stderr, "%s=%q: \"200ms 0.9\" was expected\n", EnvVar, text)
	os.Exit(1)
}

// Wall returns the time of the wall clock plus the configured offset.
func Wall() time.Time { return time.Now().Add(offset) }

// Since returns the time elapsed since t on the monotonic clock, scaled by the configured rate. t is a time that time.Now
// returned.
func Since(t time.Time) time.Duration { return time.Duration(rate * float64(time.Since(t))) }
