package scale

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"havenproxy/internal/lab/scale/analysis"
)

const (
	// bytesPerPair is what the model holds for each pair of a proxy and a database, where no size has been measured yet. Measured at
	// 410x650: 2.2 GB.
	bytesPerPair = 9000
	// headroom is how much more than the live bytes the collector lets a process hold.
	headroom = 2.0
)

// MachineMemory gives the machine's memory in bytes; 0 = it isn't known.
func MachineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text)) // MemTotal: N kB
	if len(fields) < 2 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
	return kilobytes << 10
}

// residentBytes gives what this process holds of the machine's memory.
func residentBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text)) // total and resident pages
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// expectedBytes estimates what a size will take in the model. What a proxy holds grows with the databases in a line, which is drawn through
// the last two sizes that were measured; with one alone it is taken to grow in proportion, which is an upper figure.
func (c *Config) expectedBytes(run *analysis.Run, size analysis.Size) int64 {
	var last, before *analysis.Measurement
	for i := range run.Measurements {
		m := &run.Measurements[i]
		if m.Variant != c.Variant || !m.Memory.Measured() {
			continue
		}
		if last != nil && last.Size.Databases < m.Size.Databases {
			before = last
		}
		last = m
	}
	proxies, databases := float64(size.Proxies), float64(size.Databases)
	switch {
	case last == nil:
		return int64(bytesPerPair * proxies * databases)
	case before == nil:
		return int64(headroom * last.Memory.Mean / float64(last.Size.Databases) * databases * proxies)
	}
	slope := max(last.Memory.Mean-before.Memory.Mean, 0) / float64(last.Size.Databases-before.Size.Databases)
	return int64(headroom * (last.Memory.Mean + slope*(databases-float64(last.Size.Databases))) * proxies)
}

// refuses tells why a size must not be started; empty = it may.
func (c *Config) refuses(ctx context.Context, size analysis.Size, run *analysis.Run) string {
	if expected := c.expectedBytes(run, size); c.Memory > 0 && expected > c.Memory {
		return fmt.Sprintf("it would take some %.1f GB of memory, %.1f GB are allowed", float64(expected)/1e9, float64(c.Memory)/1e9)
	}
	if c.Binary != "" {
		var limit syscall.Rlimit
		needed := descriptorsFor(size)
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && uint64(needed) > limit.Cur {
			return fmt.Sprintf("it would take some %d descriptors, %d are allowed", needed, limit.Cur)
		}
	}
	return c.overLimit(ctx)
}

// overLimit tells why the run must end now; empty = it may go on.
func (c *Config) overLimit(ctx context.Context) string {
	if ctx.Err() != nil {
		return "it was interrupted"
	}
	if !c.Until.IsZero() && time.Now().After(c.Until) {
		return "the time bound is over"
	}
	if held := residentBytes(); c.Memory > 0 && held > c.Memory {
		return fmt.Sprintf("%.1f GB of memory are held, %.1f GB are allowed", float64(held)/1e9, float64(c.Memory)/1e9)
	}
	return ""
}
