package scale

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/scale/analysis"
	"havenproxy/internal/lab/virtual"
)

const (
	// groupOf is how many databases hold the same data.
	groupOf = 4
	// policySize is the length of a policy's text, in bytes.
	policySize = 4 << 10
	// connectionsOfProxy is how many clients are connected to each proxy at the target. Each is one session, which asks one group by one
	// proxy, so that with as many every proxy sends to every group.
	connectionsOfProxy = 2805
	// demand is the part of the databases' capacity that is asked for at every size. Statements' work is scaled so that a fixed rate for
	// each proxy comes to it.
	demand = 0.6
)

// The variants of health checking.
const (
	VariantAll    = "all"    // each proxy checks every database
	VariantShared = "shared" // the tier's checkers do, and report by the planners, where the plan says that it pays
)

const (
	checksBudget      = 10   // checks a second of one proxy, where they are shared
	reportBytesBudget = 1600 // bytes a second that one proxy sends, and is sent, for reports then
)

// Zones are the zones of the fleet: the first three are one region's, the last two another's.
var Zones = []string{"zone-1", "zone-2", "zone-3", "zone-4", "zone-5"}

// modelConfig describes a size to the model: the true decisions and state of each proxy, on a virtual clock, with messages that are
// carried within the process.
func (c *Config) modelConfig(size analysis.Size) virtual.Config {
	cfg := virtual.Yard(c.Seed)
	cfg.Fleet.Zones = Zones
	cfg.Fleet.Groups, cfg.Fleet.Members = size.Databases/groupOf, groupOf
	cfg.Proxies, cfg.For = size.Proxies, c.Settle+c.For
	cfg.Sessions = connectionsOfProxy * size.Proxies / cfg.Fleet.Groups
	rate := c.Rate * float64(size.Proxies)
	cfg.Rate = func(time.Duration) float64 { return rate }
	cfg.Fleet.Classes = scaleWork(cfg.Fleet.Classes, demand*cfg.Capacity()/rate)
	cfg.Tier.Peers = c.PeerFacts
	if c.Lease > 0 {
		cfg.Tier.Planners = &virtual.Planners{Lease: c.Lease, PolicySize: policySize, Changes: c.changes()}
	}
	cfg.Stopwatch = threadTime
	if c.Variant == VariantShared {
		cfg.Tier.Checks = &virtual.SharedChecks{ChecksPerSecond: checksBudget, BytesPerSecond: reportBytesBudget}
	}
	cfg.Clocked = !c.CountsOnly
	return cfg
}

// changes gives the times at which the tier's policy is changed in the measured window.
func (c *Config) changes() (at []time.Duration) {
	if c.ChangeEvery <= 0 {
		return nil
	}
	for t := c.Settle + c.ChangeEvery/2; t < c.Settle+c.For; t += c.ChangeEvery {
		at = append(at, t)
	}
	return at
}

// scaleWork multiplies the work of statements.
func scaleWork(classes []fleet.Class, factor float64) []fleet.Class {
	out := append([]fleet.Class(nil), classes...)
	for i := range out {
		w := &out[i].Work
		w.From, w.To = max(time.Duration(factor*float64(w.From)), 1), max(time.Duration(factor*float64(w.To)), 1)
	}
	return out
}

// transport says what carried messages in a run of the model.
const transport = "in-process, virtual clock: sizes by the wire codecs, payload only, no kernel socket; CPU and memory are those of decisions and state alone; separate processes: loopback TCP"

// CheckSize tells what is wrong with a size.
func CheckSize(size analysis.Size) error {
	if size.Databases%groupOf != 0 || size.Databases < groupOf || size.Proxies < 1 {
		return fmt.Errorf("size %v: databases come in groups of %d, and there is one proxy at least", size, groupOf)
	}
	return nil
}

// measureModel runs one size in the model.
func (c *Config) measureModel(ctx context.Context, size analysis.Size, axis analysis.Axis) (analysis.Measurement, error) {
	if err := CheckSize(size); err != nil {
		return analysis.Measurement{}, err
	}
	cfg := c.modelConfig(size)
	before, err := heapWithoutProxies(cfg.Fleet)
	if err != nil {
		return analysis.Measurement{}, err
	}
	r := newRecorder(size, c.Settle, c.Settle+c.For)
	r.measureMemory = !c.CountsOnly
	partial := ""
	r.goOn = func(at time.Duration) bool {
		c.tell(size, at, cfg.For)
		if reason := c.overLimit(ctx); reason != "" {
			partial = fmt.Sprintf("stopped at second %.0f of %.0f: %s", at.Seconds(), cfg.For.Seconds(), reason)
		}
		return partial == ""
	}
	cfg.Observer = r
	result := play(cfg)
	m := r.measurement()
	m.Worth = result.Worth
	m.Partial = partial
	m.Seed, m.Variant, m.Vary, m.Virtual, m.Transport = c.Seed, c.Variant, axis, c.CountsOnly, transport
	if !c.CountsOnly && partial == "" {
		r.processorTime(&m)
		perProxy := float64(r.heap-before) / float64(size.Proxies)
		m.Memory = analysis.Sample{Mean: perProxy, Peak: perProxy, Seconds: 1}
	}
	return m, nil
}

// play plays a run on one thread, whose processor time is measured: other work on the machine does not count.
func play(cfg virtual.Config) *virtual.Result {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	return virtual.Play(cfg)
}

// threadTime is the processor time of the calling thread.
func threadTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// heapWithoutProxies gives the live bytes of the process with the databases' model and no proxy.
func heapWithoutProxies(cfg fleet.Config) (uint64, error) {
	databases, err := fleet.New(cfg, 0, fleet.Observer{})
	if err != nil {
		return 0, err
	}
	heap := liveHeap()
	runtime.KeepAlive(databases)
	return heap, nil
}

func (c *Config) tell(size analysis.Size, at, of time.Duration) {
	if c.Progress != nil {
		c.Progress(size, at, of)
	}
}
