package healthcheck

import "time"

// byteBudget limits the bytes sent per second. Unused bytes accumulate up to half a second's worth.
type byteBudget struct {
	bytesPerSecond float64 // 0 = unlimited
	available      float64
	filledAt       time.Duration
}

func newByteBudget(perSecond float64) byteBudget {
	return byteBudget{bytesPerSecond: perSecond, available: perSecond / 2}
}

// refill adds the bytes earned since the last call. At most half a second's worth is kept, so that no second exceeds one and a half times
// the budget.
func (b *byteBudget) refill(now time.Duration) {
	if b.filledAt > 0 {
		b.available = min(b.available+b.bytesPerSecond*(now-b.filledAt).Seconds(), b.bytesPerSecond/2)
	}
	b.filledAt = now
}

// maxEntries returns how many entries of the given size fit into one more message now, at most limit; -1 = not even an empty message
// fits.
func (b *byteBudget) maxEntries(size, limit int) int {
	if b.bytesPerSecond <= 0 {
		return limit
	}
	left := b.available - HeaderBytes - PacketBytes
	if left < 0 {
		return -1
	}
	return min(int(left)/size, limit)
}

// consume charges a message with n entries of the given size to the budget.
func (b *byteBudget) consume(size, n int) {
	b.available -= float64(HeaderBytes + PacketBytes + size*n)
}
