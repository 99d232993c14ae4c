package run

import (
	"log/slog"
	"runtime"
	"runtime/metrics"
	"time"

	"havenproxy/internal/limit"
	"havenproxy/internal/state"
)

// memoryCheckInterval is how often the memory that the process uses is looked at.
const memoryCheckInterval = 200 * time.Millisecond

// The names under which the Go runtime reports its memory.
const (
	metricTotal    = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
	metricLive     = "/gc/heap/live:bytes"
	metricStacks   = "/memory/classes/heap/stacks:bytes"
)

// memoryUse is the memory that the Go runtime uses, in bytes. The program's own code, some MB, comes beside it.
type memoryUse struct{ total, live, stacks int64 }

// memoryMonitor logs what the process holds when its memory nears the limit of the deployment.
type memoryMonitor struct {
	watch   limit.MemoryWatch
	timer   state.Deadline
	samples []metrics.Sample
}

func newMemoryMonitor(limitBytes int64) *memoryMonitor {
	m := &memoryMonitor{watch: limit.MemoryWatch{Limit: limitBytes}}
	for _, name := range []string{metricTotal, metricReleased, metricLive, metricStacks} {
		m.samples = append(m.samples, metrics.Sample{Name: name})
	}
	return m
}

// use asks the runtime.
func (m *memoryMonitor) use() memoryUse {
	metrics.Read(m.samples)
	value := func(i int) int64 { return int64(m.samples[i].Value.Uint64()) }
	return memoryUse{total: value(0) - value(1), live: value(2), stacks: value(3)}
}

// LogValue implements slog.LogValuer.
func (u memoryUse) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("total", u.total), slog.Int64("heap_live", u.live), slog.Int64("stacks", u.stacks),
		slog.Int("goroutines", runtime.NumGoroutine()))
}

// checkMemory looks at the memory that the process uses, and calls itself again.
func (p *proxy) checkMemory() {
	now := p.clock.Now()
	if use := p.memory.use(); p.memory.watch.Report(now, use.total) {
		slog.Warn("memory nears its limit", "limit", p.memory.watch.Limit, "memory", use, "holds", p.server.Holdings(),
			"requests", p.engine.Pending(), "database_connections", p.engine.Connections(), "closes", p.server.Closes())
	}
	p.engine.Deadlines.Set(&p.memory.timer, now+memoryCheckInterval, p.checkMemory)
}
