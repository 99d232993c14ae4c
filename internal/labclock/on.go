//go:build lab

package labclock

import (
	"fmt"
	"os"
	"time"
)

// Variable holds "OFFSET RATE": "200ms 0.9" is a wall clock that is 200 ms ahead, and a monotonic one by which 0.9 s go by in a second.
const Variable = "HAVENLAB_CLOCK"

var (
	offset time.Duration
	rate   = 1.0
)

func init() {
	text := os.Getenv(Variable)
	if text == "" {
		return
	}
	var by string
	if _, err := fmt.Sscanf(text, "%s %g", &by, &rate); err == nil {
		if offset, err = time.ParseDuration(by); err == nil && rate > 0 {
			fmt.Fprintln(os.Stderr, "the lab's clock:", offset, rate)
			return
		}
	}
	fmt.Fprintf(os.Stderr, "%s=%q: \"200ms 0.9\" was expected\n", Variable, text)
	os.Exit(1)
}

// Wall gives the wall clock with its offset.
func Wall() time.Time { return time.Now().Add(offset) }

// Since gives what the monotonic clock says has gone by, at its rate.
func Since(t time.Time) time.Duration { return time.Duration(rate * float64(time.Since(t))) }
