package hostile

import (
	"os"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

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

// avoidCPU keeps this process's threads off a CPU, counted from 1, so that they do not compete with the program on it. The
// function that it returns undoes that.
func avoidCPU(pin int) (undo func()) {
	var before unix.CPUSet
	if pin <= 0 || unix.SchedGetaffinity(0, &before) != nil {
		return func() {}
	}
	others := before
	others.Clear(pin - 1)
	if others.Count() == 0 {
		return func() {}
	}
	setAllThreads(&others)
	return func() { setAllThreads(&before) }
}

func setAllThreads(cpus *unix.CPUSet) {
	tasks, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return
	}
	for _, task := range tasks {
		if tid, err := strconv.Atoi(task.Name()); err == nil {
			unix.SchedSetaffinity(tid, cpus)
		}
	}
}
