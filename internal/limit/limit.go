// Package limit bounds how many requests one proxy has out at one database: by how its answers stand against their aims
// (additive increase, multiplicative decrease), against slow databases behind quick pings, crowds and overload. It is pure.
package limit

import "time"

const (
	weightMany = 0.1 // an answer's weight where they are many;
	weightRare = 0.5 // and where many aims have passed since the last one
	rareAims   = 4.0
	ownAtLeast = 3.0 // what each proxy may have out at a database at least; a lower limit rises to it by itself, one each easeEvery
	easeEvery  = 10 * time.Second
	floorAll   = 2.0                    // what they leave a strained one, so that it can show its recovery
	cutEvery   = 100 * time.Millisecond // let one cut show before the next
)

const (
	// HighStrain is the strain above which exponential-like answer times begin to miss their aims in number.
	HighStrain = 0.5
	// LateStrain is what an attempt counts that ended without an answer in time.
	LateStrain = 2.0
)

// Limit is one database's, at one proxy.
type Limit struct {
	Strain      float64       // answer time over aim, moving average
	MaxInFlight float64       // how many attempts may be out
	LastAnswer  time.Duration // when an answer was last held against its aim
	LastRaised  time.Duration // when a low limit last rose by itself

	proxies int
	first   float64 // what all proxies together may have out at an unknown database
	cutAt   time.Duration
	turned  bool // a request was turned away since the limit last grew
}

// DefaultInitialLimit is how many attempts all proxies together may have out at an unknown database, unless an operator knows better.
const DefaultInitialLimit = 36.0

// New makes the limit of an unknown database, of which so many proxies have each their part; first is what they may have out
// there together, for now.
func New(proxies int, first float64) Limit {
	l := Limit{proxies: max(proxies, 1), first: first}
	l.Reset()
	return l
}

// Reset begins anew: the database may be another than it was.
func (l *Limit) Reset() { l.MaxInFlight, l.Strain = l.first/float64(l.proxies), 0 }

// Reached tells whether the database has this proxy's fill, of which a request may take part. The broken part of a limit
// counts as a chance, by luck from 0 to 1.
func (l *Limit) Reached(now time.Duration, out int, part, luck float64) bool {
	if l.MaxInFlight < ownAtLeast {
		l.MaxInFlight = min(l.MaxInFlight+float64(now-l.LastRaised)/float64(easeEvery), ownAtLeast)
	}
	l.LastRaised = now
	free := l.MaxInFlight*part - float64(out)
	full := free <= 0 || free < 1 && luck >= free
	l.turned = l.turned || full
	return full
}

// RecordAnswer holds an answer against its aim: x is its time over the aim, Late at most. out counts those still out.
func (l *Limit) RecordAnswer(now, aim time.Duration, x float64, out int) {
	weight := min(max(float64(now-l.LastAnswer)/(rareAims*float64(aim)), weightMany), weightRare)
	l.LastAnswer = now
	l.Strain += weight * (x - l.Strain)
	n := float64(out + 1)
	switch {
	case l.Strain > HighStrain && now-l.cutAt >= cutEvery:
		l.MaxInFlight = max(floorAll/float64(l.proxies), min(l.MaxInFlight, n)*(1-weight))
		l.cutAt = now
	case l.Strain <= HighStrain && (l.turned || n >= l.MaxInFlight/2):
		l.MaxInFlight += min(2/max(l.MaxInFlight, 1), l.MaxInFlight)
		l.turned = false
	}
}
