package healthcheck

import "time"

// byteBudget bounds the bytes sent in a second. It saves up for one second at most.
type byteBudget struct {
	perSecond float64 // 0 = unbounded
	saved     float64
	last      time.Duration
}

func newByteBudget(perSecond float64) byteBudget {
	return byteBudget{perSecond: perSecond, saved: perSecond / 2}
}

// fill saves up to now. Half a second's worth is kept at most, so that no second holds more than one and a half times the budget.
func (b *byteBudget) fill(now time.Duration) {
	if b.last > 0 {
		b.saved = min(b.saved+b.perSecond*(now-b.last).Seconds(), b.perSecond/2)
	}
	b.last = now
}

// entries gives how many entries of a size fit into one more message now, limit at most; -1 = not even an empty message fits.
func (b *byteBudget) entries(size, limit int) int {
	if b.perSecond <= 0 {
		return limit
	}
	left := b.saved - HeaderBytes - PacketBytes
	if left < 0 {
		return -1
	}
	return min(int(left)/size, limit)
}

// spend takes what a message of n entries costs.
func (b *byteBudget) spend(size, n int) {
	b.saved -= float64(HeaderBytes + PacketBytes + size*n)
}
