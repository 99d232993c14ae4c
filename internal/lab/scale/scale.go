// Package scale measures what fleets of several sizes cost, in messages, bytes, processor time, memory and connections, by kind of
// message and in the mean and the peak second.
//
// Hollow proxies are the true decisions and state without clients' sockets: requests are made inside. By default they run in the
// model (internal/lab/virtual) on a virtual clock, where messages are carried within the process and are as long as the wire's codecs
// make them; that works at every size, and counts are the same for the same seed. Package analysis makes lines, predictions and
// verdicts of the measurements.
package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"havenproxy/internal/lab/scale/analysis"
)

// Config is what a scale run is to do.
type Config struct {
	Sizes       []analysis.Size
	Axes        []analysis.Axis // what series of sizes vary; see Series
	For         time.Duration   // measured time of each size
	Settle      time.Duration   // time before it
	Rate        float64         // requests a second that each hollow proxy makes
	Seed        uint64
	Lease       time.Duration    // that proxies ask planners for; 0 = there are no planners
	ChangeEvery time.Duration    // between two changes of policy; 0 = there are none
	PeerFacts   int              // facts in a datagram between proxies; 0 = proxies don't talk
	Variant     string           // which health checking is in force
	CountsOnly  bool             // messages and bytes only, which are the same every run
	Events      []analysis.Event // that are brought about behind the sizes
	EventSize   analysis.Size    // at which
	PartedFor   time.Duration    // how long regions are parted
	Binary      string           // the program that real processes run beside the model; empty = none runs
	Memory      int64            // most bytes that the run may hold
	Until       time.Time

	Progress func(size analysis.Size, at, of time.Duration) // nil = nobody wants it
	Happened func(*analysis.EventRow)                       // is called with each event's row; likewise
	Measured func(*analysis.Measurement)                    // is called with each size's measurement; likewise
	Predict  func(analysis.Size, []analysis.Prediction)     // is called before the largest size of a series; likewise
}

// Run measures all sizes along all axes, predicts the largest of each series before that one runs, and brings the events about. The run
// is whole only where its Stopped is empty.
func (c *Config) Run(ctx context.Context, run *analysis.Run) error {
	if err := c.runSizes(ctx, run); err != nil || run.Stopped != "" {
		return err
	}
	for _, name := range c.Events {
		if reason := c.refuses(ctx, c.EventSize, run); reason != "" {
			run.Stopped = fmt.Sprintf("%s at %v was not started: %s", name, c.EventSize, reason)
			return nil
		}
		row, steps, err := c.MeasureEvent(ctx, name, c.EventSize)
		if err != nil {
			run.Stopped = err.Error()
			return nil
		}
		run.Events = append(run.Events, row)
		if name == analysis.EventPrimaryCrash {
			run.Failover = steps
		}
		if c.Happened != nil {
			c.Happened(&row)
		}
	}
	return nil
}

func (c *Config) runSizes(ctx context.Context, run *analysis.Run) error {
	for _, axis := range c.Axes {
		sizes := Series(c.Sizes, axis)
		for i, size := range sizes {
			if reason := c.refuses(ctx, size, run); reason != "" {
				run.Stopped = fmt.Sprintf("%v was not started: %s", size, reason)
				return nil
			}
			if i == len(sizes)-1 && i > 0 {
				c.predict(run, axis, size)
			}
			list, err := c.measure(ctx, size, axis)
			if err != nil {
				return err
			}
			run.Measurements = append(run.Measurements, list...)
			for i := range list {
				c.measured(&list[i])
			}
			if model := &list[0]; model.Partial != "" {
				run.Stopped = fmt.Sprintf("%v: %s", size, model.Partial)
				return nil
			}
		}
	}
	return nil
}

// measure measures a size in the model, and real processes beside it where sizes are in proportion. What goes wrong with those makes
// their measurement partial; the model's stands.
func (c *Config) measure(ctx context.Context, size analysis.Size, axis analysis.Axis) ([]analysis.Measurement, error) {
	m, err := c.measureModel(ctx, size, axis)
	if err != nil || m.Partial != "" || c.Binary == "" || axis != analysis.AxisBoth {
		return []analysis.Measurement{m}, err
	}
	onSockets, err := c.measureProcesses(ctx, &m)
	if err != nil {
		onSockets = analysis.Measurement{Size: size, Vary: axis, Seed: c.Seed, Variant: SocketsVariant(c.Variant), Transport: socketsTransport, Partial: err.Error()}
	}
	return []analysis.Measurement{m, onSockets}, nil
}

func (c *Config) measured(m *analysis.Measurement) {
	if c.Measured != nil {
		c.Measured(m)
	}
}

func (c *Config) predict(run *analysis.Run, axis analysis.Axis, size analysis.Size) {
	predictions := analysis.PredictSize(run, c.Variant, axis, c.CountsOnly, size)
	run.Predictions = append(run.Predictions, predictions...)
	if c.Predict != nil {
		c.Predict(size, predictions)
	}
}

// Series gives the sizes of a series along an axis, the smallest first: the sizes as they are, or their proxies before the databases of
// the smallest, or the proxies of the smallest before their databases.
func Series(sizes []analysis.Size, axis analysis.Axis) []analysis.Size {
	out := slices.Clone(sizes)
	slices.SortFunc(out, func(a, b analysis.Size) int { return a.Proxies*a.Databases - b.Proxies*b.Databases })
	for i := range out {
		switch axis {
		case analysis.AxisProxies:
			out[i].Databases = out[0].Databases
		case analysis.AxisDatabases:
			out[i].Proxies = out[0].Proxies
		}
	}
	return slices.Compact(out)
}
