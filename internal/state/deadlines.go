package state

import (
	"container/heap"
	"time"
)

// Deadlines is a priority queue of callbacks by time. It is not safe for concurrent use; callbacks run in Run, on its
// owner's goroutine.
type Deadlines struct {
	heap deadlineHeap
}

// Deadline is an entry of Deadlines. It is embedded or held by its user and may be set again at any time.
type Deadline struct {
	at       time.Duration
	callback func()
	position int // index in the heap + 1; 0 = not set
}

// Set queues d, or moves it if it is queued, so that callback runs at the given time.
func (q *Deadlines) Set(d *Deadline, at time.Duration, callback func()) {
	d.at, d.callback = at, callback
	if d.position > 0 {
		heap.Fix(&q.heap, d.position-1)
		return
	}
	heap.Push(&q.heap, d)
}

// Clear removes d from the queue if it is queued.
func (q *Deadlines) Clear(d *Deadline) {
	if d.position > 0 {
		heap.Remove(&q.heap, d.position-1)
		d.callback = nil
	}
}

// IsSet reports whether d is queued.
func (d *Deadline) IsSet() bool { return d.position > 0 }

// Next returns the time of the earliest entry; false if there is none.
func (q *Deadlines) Next() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Run runs the callbacks that are due. It runs at most as many as were queued when it was called, so that a callback
// that sets itself again cannot block the owner.
func (q *Deadlines) Run(now time.Duration) {
	for n := len(q.heap); n > 0 && len(q.heap) > 0 && q.heap[0].at <= now; n-- {
		heap.Pop(&q.heap).(*Deadline).callback()
	}
}

// RunFor runs the callbacks that are due, until none is left or that much time has passed on the clock, and one at least.
func (q *Deadlines) RunFor(clock Clock, length time.Duration) {
	now := clock.Now()
	until := now + length
	for n := len(q.heap); n > 0 && len(q.heap) > 0 && q.heap[0].at <= now; n-- {
		heap.Pop(&q.heap).(*Deadline).callback()
		if clock.Now() >= until {
			return
		}
	}
}

type deadlineHeap []*Deadline

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i+1, j+1
}

func (h *deadlineHeap) Push(x any) {
	d := x.(*Deadline)
	*h = append(*h, d)
	d.position = len(*h)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	d.position = 0
	return d
}
