package logic

import "time"

const (
	heavyDivisor = 16          // a client with more than 1/heavyDivisor of a second's requests counts as heavy,
	heavyMinimum = 8           // if it sends more than this many requests
	repeatWindow = time.Second // a request that follows a refusal of the same client and class within this time is not new demand
)

// demandTracker remembers, in a fixed amount of memory, which clients were refused lately and which send many
// requests. Clients that share a hash slot are not told apart.
type demandTracker struct {
	refused [256]struct {
		key uint64
		at  time.Duration
	}
	clientCounts  [64]uint16 // requests of the current window, by hash slot of their clients
	windowStart   time.Duration
	total         int // requests of the current window
	previousTotal int // requests of the window before
}

// splitmix64 is the finalizer of SplitMix64 (Steele, Lea, Flood, 2014).
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// countRequest counts a request of the client with the given hash and reports whether the client is heavy.
func (d *demandTracker) countRequest(now time.Duration, clientHash uint64) bool {
	if now-d.windowStart >= time.Second {
		if d.previousTotal = d.total; now-d.windowStart >= 2*time.Second {
			d.previousTotal = 0
		}
		d.windowStart, d.total = now, 0
		for i := range d.clientCounts { // keep half of the previous window's weight
			d.clientCounts[i] /= 2
		}
	}
	d.total++
	count := &d.clientCounts[clientHash%uint64(len(d.clientCounts))]
	if *count < 1<<15 {
		*count++
	}
	return int(*count) > max(heavyMinimum, max(d.total, d.previousTotal)/heavyDivisor)
}

// recentlyRefused reports whether a request with the same client and class was refused within repeatWindow.
func (d *demandTracker) recentlyRefused(now time.Duration, key uint64) bool {
	slot := &d.refused[key%uint64(len(d.refused))]
	return slot.key == key && now-slot.at < repeatWindow
}

// recordRefusal records a refusal. It does not extend the window of an earlier one: a client that keeps asking is
// demand.
func (d *demandTracker) recordRefusal(now time.Duration, key uint64) {
	if slot := &d.refused[key%uint64(len(d.refused))]; !d.recentlyRefused(now, key) {
		slot.key, slot.at = key, now
	}
}

// demandKey returns the hash of a request's client and class.
func demandKey(q *Request) uint64 {
	client := q.ClientKey
	if client == 0 {
		client = uint64(q.ID)
	}
	return splitmix64(splitmix64(client) + uint64(q.Class))
}
