package limit

import "time"

const (
	failWeight = 0.2 // two or three failures in a row cross failLimit
	failLimit  = 0.35
	benchFor   = time.Second // then one trial
)

// FailureTracker follows quick failures at all databases alike, to tell a failing one from what strikes them all (a bad network, a
// broken release). The zero value is ready.
type FailureTracker struct{ share float64 }

// Breaker sets a database aside that fails more than the others.
type Breaker struct {
	share float64 // of quick failures there, moving average
	until time.Duration
	rests time.Duration // where others can serve in its place: until then
}

// Record takes the end of an attempt at a database: x is 1 where it failed, 0 otherwise.
func (f *FailureTracker) Record(now time.Duration, b *Breaker, x float64) {
	b.share += failWeight * (x - b.share)
	f.share += failWeight / 10 * (x - f.share)
	if x > 0 && f.IsOutlier(b) && now >= b.until {
		b.until = now + benchFor
	}
}

// ExtendPause lets one of so many proxies that hear of each other's failures leave a failing database alone for longer: together they try it
// about twice in benchFor, however little each sends. luck is from 0 to 1.
func (f *FailureTracker) ExtendPause(now time.Duration, b *Breaker, proxies int, luck float64) {
	if f.IsOutlier(b) && now >= b.rests {
		b.rests = now + time.Duration(luck*float64(proxies)*float64(benchFor))
	}
}

// PausedUntil tells when it will be tried again.
func (b *Breaker) PausedUntil() time.Duration { return b.rests }

// Paused tells whether a database that others can stand in for is to be left alone.
func (b *Breaker) Paused(now time.Duration) bool { return now < b.rests }

// IsOutlier tells whether a database fails more than the others do.
func (f *FailureTracker) IsOutlier(b *Breaker) bool { return b.share > failLimit+2*f.share }

// AllowsTrial tells whether one attempt may find out how a database that fails fares now.
func (b *Breaker) AllowsTrial(now time.Duration) bool { return now >= b.until }
