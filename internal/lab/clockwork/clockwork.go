// Package clockwork is a virtual clock for plays: what is to be done at a time is done in the order of times, and of asking where those are alike.
package clockwork

import (
	"container/heap"
	"time"
)

// Clock is one. The zero value stands at 0, and nothing is to be done.
type Clock struct {
	Now time.Duration

	q   queue
	seq int
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{} // what it holds on to goes with it
	*q = old[:len(old)-1]
	return x
}

// After lets something be done once so much time has passed; less than none is none.
func (c *Clock) After(d time.Duration, do func()) { c.At(c.Now+d, do) }

// At lets something be done at a time; one that is over is now.
func (c *Clock) At(at time.Duration, do func()) {
	c.seq++
	heap.Push(&c.q, event{max(at, c.Now), c.seq, do})
}

// Next tells when something is to be done next; false = nothing is.
func (c *Clock) Next() (time.Duration, bool) {
	if len(c.q) == 0 {
		return 0, false
	}
	return c.q[0].at, true
}

// Run does all that is due up to a time, and what that asks for in turn.
func (c *Clock) Run(until time.Duration) {
	for len(c.q) > 0 && c.q[0].at <= until {
		e := heap.Pop(&c.q).(event)
		c.Now = e.at
		e.do()
	}
}
