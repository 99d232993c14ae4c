package limit

import "time"

// ColdBudget limits the work that is sent to a database that has just started. It is a token bucket that holds no tokens in store, so that
// the work of all proxies together is bounded, and that starts with a random debt, so that they don't begin at the same time.
type ColdBudget struct {
	balance   float64 // seconds of work; at most 0
	updatedAt time.Duration
}

// NewColdBudget returns a budget that applies from the database's next start on.
func NewColdBudget() ColdBudget { return ColdBudget{updatedAt: -1} }

// Allows updates the budget to now, and reports whether a request may be sent. startedAt is when the database started, debt returns the
// initial debt in seconds of work, and rate is the work per second that may be sent.
func (b *ColdBudget) Allows(now, startedAt time.Duration, debt func() float64, rate float64) bool {
	if b.updatedAt < startedAt {
		b.balance, b.updatedAt = -debt(), now
	}
	b.balance, b.updatedAt = min(b.balance+rate*(now-b.updatedAt).Seconds(), 0), now
	return b.balance >= 0
}

// Spend subtracts work that is sent, in seconds.
func (b *ColdBudget) Spend(work float64) { b.balance -= work }

// ColdPriority reserves the small capacity of cold databases for the class of the highest worth while it is scarce. The share of the other
// classes' requests that is admitted follows additive increase, multiplicative decrease. The zero value admits all requests.
type ColdPriority struct{ rejected float64 } // share of the other classes' requests

// Record notes whether a cold database could take a request of the class of the highest worth.
func (p *ColdPriority) Record(taken bool) {
	if taken {
		p.rejected = max(p.rejected-0.02, 0)
	} else {
		p.rejected += (1 - p.rejected) * 0.1
	}
}

// Admits reports whether a request may be sent to a cold database. share is the request's LimitShare, random is uniform from 0 to 1.
func (p *ColdPriority) Admits(share, random float64) bool { return share >= 1 || random >= p.rejected }
