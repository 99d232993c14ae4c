package largefleet

import (
	"syscall"
	"time"
)

// quotaPeriod is the period of the quota of processor time: the process runs for its share of it and is stopped for the rest.
const quotaPeriod = 20 * time.Millisecond

// quota keeps a process to a share of a core.
type quota struct{ stop, ended chan struct{} }

// throttle begins to keep a process to a share of a core, until end is called.
func throttle(pid int, share float64) *quota {
	q := &quota{stop: make(chan struct{}), ended: make(chan struct{})}
	go q.run(pid, time.Duration(share*float64(quotaPeriod)))
	return q
}

func (q *quota) run(pid int, running time.Duration) {
	defer close(q.ended)
	for {
		select {
		case <-q.stop:
			return
		default:
		}
		if running < quotaPeriod {
			syscall.Kill(pid, syscall.SIGSTOP)
			time.Sleep(quotaPeriod - running)
			syscall.Kill(pid, syscall.SIGCONT)
		}
		time.Sleep(running)
	}
}

// end lets the process run as it likes.
func (q *quota) end() {
	close(q.stop)
	<-q.ended
}
