package limit

import "time"

const (
	// paceDivisor is the divisor of the processor's time that gives what one client may use of it in the long run.
	paceDivisor = 10
	// paceBurst is what it may use at once beside that.
	paceBurst = 5 * time.Millisecond
	// MaxTurnCharge bounds what a turn counts for: what takes longer is due to others, such as a processor that was taken away.
	MaxTurnCharge = time.Millisecond
	// minCores is the part of a processor that is assumed at least: with less, turns take longer by the time in which the process has none,
	// and a modest client is not to be charged for that twice.
	minCores = 0.5
)

// Pace bounds the processor time that one client may use, however much it sends: not because others want it, which FairQueue sees to, but
// because a process that uses its processor without end waits for it longer each time, where it has a part of one, or others run there.
type Pace struct {
	perMinute time.Duration // that a client may use
}

// NewPace returns the pace of clients of a process that has so many processors, 1 at most for its event loop.
func NewPace(cores float64) Pace {
	cores = min(max(cores, minCores), 1)
	return Pace{perMinute: time.Duration(cores * float64(time.Minute) / paceDivisor)}
}

// Usage is what a client has used lately, as a bucket that leaks at the pace. The zero value has used nothing.
type Usage struct {
	level time.Duration
	at    time.Duration // when level was that
}

// Add notes that a turn of that length has just ended.
func (p Pace) Add(u *Usage, now, length time.Duration) {
	u.level = p.level(u, now) + min(length, MaxTurnCharge)
	u.at = now
}

// NextTurn returns when the client may have its next turn.
func (p Pace) NextTurn(u *Usage, now time.Duration) time.Duration {
	excess := p.level(u, now) - paceBurst
	if excess <= 0 || p.perMinute <= 0 {
		return now
	}
	return now + time.Duration(float64(excess)*float64(time.Minute)/float64(p.perMinute))
}

func (p Pace) level(u *Usage, now time.Duration) time.Duration {
	leaked := time.Duration(float64(now-u.at) * float64(p.perMinute) / float64(time.Minute))
	return max(u.level-leaked, 0)
}
