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

// Observation is what a monitor has seen of a process.
type Observation struct {
	Peak        int64         // the most memory, in bytes
	Killed      bool          // by the monitor, for that
	Descriptors int           // the most
	Delay       time.Duration // by which this process's own timers were late at most
}

// Monitor follows the memory of a process, and kills it once that is over the limit, as the platform does.
type Monitor struct {
	stop chan struct{}
	seen chan Observation
}

// StartMonitor follows a process whose memory limit is given in bytes.
func StartMonitor(pid int, limit int64) *Monitor {
	m := &Monitor{stop: make(chan struct{}), seen: make(chan Observation, 1)}
	go m.run(pid, limit)
	return m
}

func (m *Monitor) run(pid int, limit int64) {
	var o Observation
	defer func() { m.seen <- o }()
	for looks := 0; ; looks++ {
		o.Peak = max(o.Peak, procstat.Resident(pid))
		if o.Peak > limit && !o.Killed {
			o.Killed = true
			syscall.Kill(pid, syscall.SIGKILL)
		}
		if looks%descriptorEvery == 0 {
			o.Descriptors = max(o.Descriptors, procstat.Descriptors(pid))
		}
		due := time.Now().Add(monitorInterval)
		select {
		case <-m.stop:
			return
		case <-time.After(monitorInterval):
			o.Delay = max(o.Delay, time.Since(due))
		}
	}
}

// End returns what was seen.
func (m *Monitor) End() Observation {
	close(m.stop)
	return <-m.seen
}
