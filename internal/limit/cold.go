package limit

import "time"

// ColdBudget keeps a started database from being pushed over: it fills with the work that may be sent, is never above zero,
// so that the sum of all proxies is bounded, and starts in a random debt, so that they don't begin together.
type ColdBudget struct {
	bank float64 // seconds of work; zero at most
	at   time.Duration
}

// NewColdBudget makes one that no start has opened yet.
func NewColdBudget() ColdBudget { return ColdBudget{at: -1} }

// Allows brings the account up to now and tells whether something may be sent. from is when the database started, debt what
// its account starts with, fill the work that it bears in a second.
func (a *ColdBudget) Allows(now, from time.Duration, debt func() float64, fill float64) bool {
	if a.at < from {
		a.bank, a.at = -debt(), now
	}
	a.bank, a.at = min(a.bank+fill*(now-a.at).Seconds(), 0), now
	return a.bank >= 0
}

// Spend notes work that is sent, in seconds.
func (a *ColdBudget) Spend(work float64) { a.bank -= work }

// ColdPriority keeps what little cold databases bear for the worthiest class while it runs short there (additive increase, multiplicative
// decrease of what the others may have). The zero value admits all.
type ColdPriority struct{ held float64 } // part of the lesser classes that is kept off

// Record takes whether a cold database could bear a request of the worthiest class.
func (p *ColdPriority) Record(borne bool) {
	if borne {
		p.held = max(p.held-0.02, 0)
	} else {
		p.held += (1 - p.held) * 0.1
	}
}

// Admits tells whether a request may be sent to a cold database at all: merit is as Merit gives it, luck from 0 to 1.
func (p *ColdPriority) Admits(merit, luck float64) bool { return merit >= 1 || luck >= p.held }
