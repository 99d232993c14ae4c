// Package limit bounds how many requests one proxy has in flight at one database. The limit follows the ratio of answer times to the aims of
// their classes (additive increase, multiplicative decrease), so that it also protects databases that are slow or overloaded while their
// pings are quick. The package also has a circuit breaker, budgets for cold databases, tenants' quotas and a schedule for calls that fail.
// It does no I/O and reads no clock.
package limit

import "time"

const (
	minAnswerWeight = 0.1 // of an answer in the moving average, where answers are frequent
	maxAnswerWeight = 0.5 // where the last answer was rareAims or more aims ago
	rareAims        = 4.0
	minRecovered    = 3.0 // a lower limit recovers to this without answers, by one in each recoverEvery
	recoverEvery    = 10 * time.Second
	minTotal        = 2.0                    // all proxies together keep at least so many in flight at an overloaded database, to see its recovery
	cutInterval     = 100 * time.Millisecond // least time between two reductions, so that one takes effect before the next
)

const (
	// HighLatencyRatio is the latency ratio above which many answers miss their aims, with answer times that are about exponentially distributed.
	HighLatencyRatio = 0.5
	// TimeoutLatencyRatio is the latency ratio that counts for an attempt that ended without an answer in time.
	TimeoutLatencyRatio = 2.0
)

// Limit is one proxy's limit for one database.
type Limit struct {
	LatencyRatio float64       // ratio of answer time to aim, moving average
	MaxInFlight  float64       // how many attempts may be in flight
	LastAnswer   time.Duration // when RecordAnswer was last called
	LastRaised   time.Duration // when a low limit was last raised without an answer

	proxies int
	initial float64 // in-flight attempts of all proxies together at an unknown database
	cutAt   time.Duration
	reached bool // a request was turned away since the limit was last raised
}

// DefaultInitialLimit is how many attempts all proxies together may have in flight at an unknown database, unless the operator sets another.
const DefaultInitialLimit = 36.0

// New returns the limit for an unknown database that is shared by a number of proxies. initial is how many attempts all of them together may
// have in flight at first.
func New(proxies int, initial float64) Limit {
	l := Limit{proxies: max(proxies, 1), initial: initial}
	l.Reset()
	return l
}

// Reset restores the initial limit, as the database may have been replaced.
func (l *Limit) Reset() { l.MaxInFlight, l.LatencyRatio = l.initial/float64(l.proxies), 0 }

// Reached reports whether the limit allows no further request beside the inFlight ones. share is the part of the limit that the request may
// use. A fraction of the limit is used with that probability, as random, uniform from 0 to 1, decides.
func (l *Limit) Reached(now time.Duration, inFlight int, share, random float64) bool {
	if l.MaxInFlight < minRecovered {
		l.MaxInFlight = min(l.MaxInFlight+float64(now-l.LastRaised)/float64(recoverEvery), minRecovered)
	}
	l.LastRaised = now
	free := l.MaxInFlight*share - float64(inFlight)
	reached := free <= 0 || free < 1 && random >= free
	l.reached = l.reached || reached
	return reached
}

// RecordAnswer adjusts the limit to an answer. latencyRatio is its time over the aim, TimeoutLatencyRatio at most. inFlight counts the attempts
// that are still in flight.
func (l *Limit) RecordAnswer(now, aim time.Duration, latencyRatio float64, inFlight int) {
	weight := min(max(float64(now-l.LastAnswer)/(rareAims*float64(aim)), minAnswerWeight), maxAnswerWeight)
	l.LastAnswer = now
	l.LatencyRatio += weight * (latencyRatio - l.LatencyRatio)
	n := float64(inFlight + 1)
	switch {
	case l.LatencyRatio > HighLatencyRatio && now-l.cutAt >= cutInterval:
		l.MaxInFlight = max(minTotal/float64(l.proxies), min(l.MaxInFlight, n)*(1-weight))
		l.cutAt = now
	case l.LatencyRatio <= HighLatencyRatio && (l.reached || n >= l.MaxInFlight/2):
		l.MaxInFlight += min(2/max(l.MaxInFlight, 1), l.MaxInFlight)
		l.reached = false
	}
}
