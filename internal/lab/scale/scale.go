// Package scale measures what fleets of several sizes cost, in messages, bytes, processor time, memory and connections, by kind of
// message and in the mean and the peak second.
//
// Hollow proxies are the true decisions and state without clients' sockets: requests are made inside. By default they run in the
// model (internal/lab/virtual) on a virtual clock, where messages are carried within the process and are as long as the wire's codecs
// make them; that works at every size, and counts are the same for the same seed. Package analysis makes lines, predictions and
// verdicts of the measurements.
package scale

import (
	"time"

	"havenproxy/internal/lab/scale/analysis"
)

// Config is what a scale run is to do.
type Config struct {
	Sizes      []analysis.Size
	Vary       analysis.Axis // what the sizes vary: both, proxies or databases
	For        time.Duration // measured time of each size
	Settle     time.Duration // time before it
	Rate       float64       // requests a second that each hollow proxy makes
	Seed       uint64
	PeerFacts  int    // facts in a datagram between proxies; 0 = proxies don't talk
	Variant    string // which health checking is in force
	CountsOnly bool   // messages and bytes only, which are the same every run

	Progress func(size analysis.Size, at, of time.Duration) // nil = nobody wants it
}

// Measure measures one size.
func (c *Config) Measure(size analysis.Size) (analysis.Measurement, error) {
	return c.measureModel(size)
}
