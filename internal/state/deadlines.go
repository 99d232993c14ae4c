package state

import (
	"container/heap"
	"time"
)

// Deadlines is the one queue of all that is to happen at a time. It is looked at by its owner alone; nothing
// runs beside it.
type Deadlines struct {
	heap deadlineHeap
}

// Deadline is one entry; whoever waits for it holds it, set or not, and it may be set again.
type Deadline struct {
	at   time.Duration
	then func()
	slot int // its place in the queue + 1; 0 = not set
}

// Set queues d, or moves it.
func (q *Deadlines) Set(d *Deadline, at time.Duration, then func()) {
	d.at, d.then = at, then
	if d.slot > 0 {
		heap.Fix(&q.heap, d.slot-1)
		return
	}
	heap.Push(&q.heap, d)
}

// Clear takes d out of the queue, if it is in.
func (q *Deadlines) Clear(d *Deadline) {
	if d.slot > 0 {
		heap.Remove(&q.heap, d.slot-1)
		d.then = nil
	}
}

// Next tells when the first entry is due.
func (q *Deadlines) Next() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Run carries out what is due, no more entries than were there before: one that sets itself anew can't hold up
// its owner.
func (q *Deadlines) Run(now time.Duration) {
	for n := len(q.heap); n > 0 && len(q.heap) > 0 && q.heap[0].at <= now; n-- {
		heap.Pop(&q.heap).(*Deadline).then()
	}
}

type deadlineHeap []*Deadline

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].slot, h[j].slot = i+1, j+1
}

func (h *deadlineHeap) Push(x any) {
	d := x.(*Deadline)
	*h = append(*h, d)
	d.slot = len(*h)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	d.slot = 0
	return d
}
