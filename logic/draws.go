package logic

import "time"

const (
	heavyPart = 16          // who sends more than one in so many of a second's requests is a heavy caller,
	heavyMin  = 8           // if that is more than so many
	againIn   = time.Second // a class asked for again by the same caller behind a refusal is no new demand
)

// draws remembers, in little room, who was refused last and who asks for much.
type draws struct {
	refused [256]struct {
		key uint64
		at  time.Duration
	}
	asked  [64]uint16 // requests of this second, by a part of their callers' hashes
	second time.Duration
	all    int // requests of this second
	before int // and of the one before
}

// mix is the finisher of splitmix64 (Steele, Lea, Flood, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// note counts a request towards its caller's and tells whether the caller is a heavy one.
func (d *draws) note(now time.Duration, h uint64) bool {
	if now-d.second >= time.Second {
		if d.before = d.all; now-d.second >= 2*time.Second {
			d.before = 0
		}
		d.second, d.all = now, 0
		for i := range d.asked { // half of the last second's weight stays
			d.asked[i] /= 2
		}
	}
	d.all++
	n := &d.asked[h%uint64(len(d.asked))]
	if *n < 1<<15 {
		*n++
	}
	return int(*n) > max(heavyMin, max(d.all, d.before)/heavyPart)
}

// again tells whether the same caller was refused the same class a moment ago.
func (d *draws) again(now time.Duration, h uint64) bool {
	x := &d.refused[h%uint64(len(d.refused))]
	return x.key == h && now-x.at < againIn
}

// refuse notes a refusal. One within the time of an earlier one doesn't lengthen it: who asks on and on is demand.
func (d *draws) refuse(now time.Duration, h uint64) {
	if x := &d.refused[h%uint64(len(d.refused))]; !d.again(now, h) {
		x.key, x.at = h, now
	}
}

// callerKey names a request's caller together with its class.
func callerKey(q *Request) uint64 {
	who := q.ClientKey
	if who == 0 {
		who = uint64(q.ID)
	}
	return mix(mix(who) + uint64(q.Class))
}
