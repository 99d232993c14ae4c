package limit

import "time"

const (
	failureWeight    = 0.2 // of an attempt in the moving average: two or three failures in a row exceed failureThreshold
	failureThreshold = 0.35
	trialInterval    = time.Second // between trials of a failing database
)

// FailureTracker tracks the share of quick failures over all databases. It tells a failing database from a cause that affects all of them,
// such as a bad network or a broken release. The zero value is ready to use.
type FailureTracker struct{ rate float64 }

// Breaker pauses the use of one database while it fails more than the others do. The zero value is ready to use.
type Breaker struct {
	rate        float64 // share of quick failures, moving average
	trialAt     time.Duration
	pausedUntil time.Duration // if other databases can serve in its place
}

// Record notes the end of an attempt at a database: failure is 1 if it failed quickly, 0 otherwise.
func (f *FailureTracker) Record(now time.Duration, b *Breaker, failure float64) {
	b.rate += failureWeight * (failure - b.rate)
	f.rate += failureWeight / 10 * (failure - f.rate)
	if failure > 0 && f.IsOutlier(b) && now >= b.trialAt {
		b.trialAt = now + trialInterval
	}
}

// ExtendPause pauses a failing database for longer, where proxies hear of each other's failures: together they try it about twice in
// trialInterval, however few requests each sends. random is uniform from 0 to 1.
func (f *FailureTracker) ExtendPause(now time.Duration, b *Breaker, proxies int, random float64) {
	if f.IsOutlier(b) && now >= b.pausedUntil {
		b.pausedUntil = now + time.Duration(random*float64(proxies)*float64(trialInterval))
	}
}

// PausedUntil returns the end of the last pause that ExtendPause has set.
func (b *Breaker) PausedUntil() time.Duration { return b.pausedUntil }

// Paused reports whether the database should get no requests that others can serve.
func (b *Breaker) Paused(now time.Duration) bool { return now < b.pausedUntil }

// IsOutlier reports whether a database fails more than the others do.
func (f *FailureTracker) IsOutlier(b *Breaker) bool { return b.rate > failureThreshold+2*f.rate }

// AllowsTrial reports whether one attempt may test whether a failing database has recovered.
func (b *Breaker) AllowsTrial(now time.Duration) bool { return now >= b.trialAt }
