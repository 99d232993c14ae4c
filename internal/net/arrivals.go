package net

import (
	"slices"
	"time"
)

// arrivalPrecision is how far apart in time the bytes of one arrival may have been read. It bounds how many arrivals are
// kept of a client that sends single bytes.
const arrivalPrecision = 10 * time.Millisecond

// arrival is when the bytes of an input buffer up to end were read.
type arrival struct {
	end int
	at  time.Duration
}

// arrivals tells when each message in an input buffer was complete. A query may wait in the buffer until fewer are
// pending, and its client's deadline counts from then.
type arrivals []arrival

// add records that the buffer, which now has length bytes, was filled at the given time.
func (a *arrivals) add(length int, at time.Duration) {
	if n := len(*a); n > 0 && at-(*a)[n-1].at < arrivalPrecision {
		(*a)[n-1].end = length
		return
	}
	*a = append(*a, arrival{length, at})
}

// of returns when the message was complete that ends at a position of the buffer; 0 = it is not known.
func (a arrivals) of(end int) time.Duration {
	i, _ := slices.BinarySearchFunc(a, end, func(x arrival, end int) int { return x.end - end })
	if i == len(a) {
		return 0
	}
	return a[i].at
}

// discard forgets the first n bytes of the buffer.
func (a *arrivals) discard(n int) {
	first := 0
	for first < len(*a) && (*a)[first].end <= n {
		first++
	}
	*a = slices.Delete(*a, 0, first)
	for i := range *a {
		(*a)[i].end -= n
	}
}
