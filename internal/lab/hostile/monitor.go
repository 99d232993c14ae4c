package hostile

import (
	"syscall"
	"time"

	"havenproxy/internal/lab/procstat"
)

// monitorInterval is how often the process's memory is looked at.
const monitorInterval = 5 * time.Millisecond

// descriptorEvery is how many looks lie between two counts of descriptors, which cost more.
const descriptorEvery = 20

// observation is what a monitor has seen.
type observation struct {
	peak        int64
	killed      bool
	descriptors int
	delay       time.Duration
}

// monitor follows the memory of a process, and kills it once that is over the limit, as the platform does.
type monitor struct {
	stop chan struct{}
	seen chan observation
}

func startMonitor(pid int, limit int64) *monitor {
	m := &monitor{stop: make(chan struct{}), seen: make(chan observation, 1)}
	go m.run(pid, limit)
	return m
}

func (m *monitor) run(pid int, limit int64) {
	var o observation
	defer func() { m.seen <- o }()
	for looks := 0; ; looks++ {
		o.peak = max(o.peak, procstat.Resident(pid))
		if o.peak > limit && !o.killed {
			o.killed = true
			syscall.Kill(pid, syscall.SIGKILL)
		}
		if looks%descriptorEvery == 0 {
			o.descriptors = max(o.descriptors, procstat.Descriptors(pid))
		}
		due := time.Now().Add(monitorInterval)
		select {
		case <-m.stop:
			return
		case <-time.After(monitorInterval):
			o.delay = max(o.delay, time.Since(due))
		}
	}
}

func (m *monitor) end() observation {
	close(m.stop)
	return <-m.seen
}
