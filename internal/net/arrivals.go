package net

import (
	"slices"
	"time"
	"unsafe"
)

const (
	// arrivalPrecision is how far apart in time the bytes of one arrival may have come. It bounds how many arrivals are kept of
	// a client that sends single bytes.
	arrivalPrecision = 10 * time.Millisecond
	// maxArrivals is the number of arrivals that are kept. Further bytes count as having come with the last ones: the time of
	// their messages is told too short rather than too long.
	maxArrivals = 64
)

// arrival is when the bytes of a client's input up to end came.
type arrival struct {
	end int
	at  time.Duration
}

// arrivals tells when each message of a client's input was complete, counted from the start of its buffer; bytes that the
// kernel still holds come behind. A query may wait until fewer are pending, and its client's deadline counts from then.
type arrivals []arrival

// add records that bytes up to end have arrived.
func (a *arrivals) add(end int, at time.Duration) {
	n := len(*a)
	switch {
	case end <= a.end():
	case n > 0 && (n == maxArrivals || at-(*a)[n-1].at < arrivalPrecision):
		(*a)[n-1].end = end
	default:
		*a = append(*a, arrival{end, at})
	}
}

// end returns the number of bytes that are known to have arrived.
func (a arrivals) end() int {
	if len(a) == 0 {
		return 0
	}
	return a[len(a)-1].end
}

// of returns when the message was complete that ends at a position; 0 = it is not known.
func (a arrivals) of(end int) time.Duration {
	i, _ := slices.BinarySearchFunc(a, end, func(x arrival, end int) int { return x.end - end })
	if i == len(a) {
		return 0
	}
	return a[i].at
}

// discard forgets the first n bytes.
func (a *arrivals) discard(n int) {
	if n == 0 {
		return
	}
	a.forget(n)
	for i := range *a {
		(*a)[i].end -= n
	}
}

// forget drops the arrivals of the first n bytes, none of which ends a message that is still to be handled.
func (a *arrivals) forget(n int) {
	first := 0
	for first < len(*a) && (*a)[first].end <= n {
		first++
	}
	*a = slices.Delete(*a, 0, first)
}

// size returns the number of bytes of memory that the arrivals take.
func (a arrivals) size() int { return cap(a) * int(unsafe.Sizeof(arrival{})) }
