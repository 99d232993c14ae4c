package limit

import "time"

const (
	failWeight = 0.2 // two or three failures in a row cross failLimit
	failLimit  = 0.35
	benchFor   = time.Second // then one trial
)

// Failures follows quick failures at all databases alike, to tell a failing one from what strikes them all (a bad network, a
// broken release). The zero value is ready.
type Failures struct{ share float64 }

// Bench sets a database aside that fails more than the others.
type Bench struct {
	share float64 // of quick failures there, moving average
	until time.Duration
	rests time.Duration // where others can serve in its place: until then
}

// Note takes the end of an attempt at a database: x is 1 where it failed, 0 otherwise.
func (f *Failures) Note(now time.Duration, b *Bench, x float64) {
	b.share += failWeight * (x - b.share)
	f.share += failWeight / 10 * (x - f.share)
	if x > 0 && f.More(b) && now >= b.until {
		b.until = now + benchFor
	}
}

// Spread lets one of so many proxies that hear of each other's failures leave a failing database alone for longer: together they try it
// about twice in benchFor, however little each sends. luck is from 0 to 1.
func (f *Failures) Spread(now time.Duration, b *Bench, proxies int, luck float64) {
	if f.More(b) && now >= b.rests {
		b.rests = now + time.Duration(luck*float64(proxies)*float64(benchFor))
	}
}

// Until tells when it will be tried again.
func (b *Bench) Until() time.Duration { return b.rests }

// Rests tells whether a database that others can stand in for is to be left alone.
func (b *Bench) Rests(now time.Duration) bool { return now < b.rests }

// More tells whether a database fails more than the others do.
func (f *Failures) More(b *Bench) bool { return b.share > failLimit+2*f.share }

// Trial tells whether one attempt may find out how a database that fails fares now.
func (b *Bench) Trial(now time.Duration) bool { return now >= b.until }
