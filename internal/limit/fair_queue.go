package limit

import (
	"container/heap"
	"time"
)

// Flow is one party's place in a FairQueue. It is embedded or held by its user; the zero value has used nothing.
type Flow struct {
	start    time.Duration // virtual time at which its next turn begins
	known    bool          // it has waited before
	inTurn   bool          // it has been taken out, and its turn is not over
	again    bool          // it wants another turn behind that
	sequence uint64        // order among flows that begin at the same time
	position int           // index in the heap + 1; 0 = it does not wait
}

// maxCredit is how much of its part a flow may have left unused and still get before the others.
const maxCredit = time.Millisecond

// FairQueue decides whose turn is next, so that each party gets an equal part of the time where all want more, and one that
// wants less hardly waits, however many the others are. Its method is start-time fair queueing (Goyal, Vin and Cheng 1996): a flow's
// turn begins, in virtual time, where its last one ended, or maxCredit ago if that is longer ago; the earliest is next. The zero value is
// empty.
type FairQueue[T comparable] struct {
	waiting  flowHeap[T]
	virtual  time.Duration // at which the turn that was given last began
	sequence uint64
}

// Push makes a flow wait for its turn. A flow that waits already stays where it is; for one whose turn it is, EndTurn tells that it wants
// another one.
func (q *FairQueue[T]) Push(value T, flow *Flow) {
	if flow.inTurn {
		flow.again = true
		return
	}
	if flow.position > 0 {
		return
	}
	if !flow.known { // a new flow has not earned anything
		flow.start, flow.known = q.virtual, true
	}
	q.sequence++
	flow.start, flow.sequence = max(flow.start, q.virtual-maxCredit), q.sequence
	heap.Push(&q.waiting, entry[T]{value, flow})
}

// Pop takes out the flow whose turn is next. EndTurn is to be called when the turn is over.
func (q *FairQueue[T]) Pop() (value T, flow *Flow) {
	next := heap.Pop(&q.waiting).(entry[T])
	q.virtual = max(q.virtual, next.flow.start)
	next.flow.inTurn, next.flow.again = true, false
	return next.value, next.flow
}

// EndTurn notes how long a flow's turn has taken. It returns whether the flow was to wait for another one meanwhile.
func (q *FairQueue[T]) EndTurn(flow *Flow, length time.Duration) (again bool) {
	flow.start += length
	flow.inTurn = false
	return flow.again
}

// Remove takes a flow out that does not want its turn any more.
func (q *FairQueue[T]) Remove(flow *Flow) {
	flow.again = false
	if flow.position > 0 {
		heap.Remove(&q.waiting, flow.position-1)
	}
}

// Len returns the number of flows that wait.
func (q *FairQueue[T]) Len() int { return len(q.waiting) }

type entry[T any] struct {
	value T
	flow  *Flow
}

type flowHeap[T any] []entry[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	a, b := h[i].flow, h[j].flow
	if a.start != b.start {
		return a.start < b.start
	}
	return a.sequence < b.sequence
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].flow.position, h[j].flow.position = i+1, j+1
}

func (h *flowHeap[T]) Push(x any) {
	e := x.(entry[T])
	*h = append(*h, e)
	e.flow.position = len(*h)
}

func (h *flowHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = entry[T]{}
	*h = old[:len(old)-1]
	last.flow.position = 0
	return last
}
