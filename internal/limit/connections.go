package limit

import "time"

const (
	// MinSilentTime is how long a client that has sent no complete query is left alone when connections run out: others ask
	// and are answered in it.
	MinSilentTime = 250 * time.Millisecond
	// MaxSilentFraction is the divisor of the limit of connections that gives how many silent clients are left alone, however long
	// they are silent.
	MaxSilentFraction = 4
	// MinIdleTime is how long a client to which no answer is due is left alone.
	MinIdleTime = 2 * time.Second
)

// Connections is what decides which clients give way when connections run out: first the silent ones, which have sent no
// complete query, then the idle ones, to which no answer is due.
type Connections struct {
	Open, Rejected int // connections; Rejected of them are beyond Max and get an error
	Silent         int // clients without a complete query
	Max            int // clients that are served
	MaxExcess      int // clients beyond Max that are rejected with an answer
}

// AtLimit reports whether no further client can be served.
func (c Connections) AtLimit() bool { return c.Open-c.Rejected >= c.Max }

// Full reports whether no further client can be served, or even rejected with an answer.
func (c Connections) Full() bool { return c.AtLimit() || c.Open >= c.Max+c.MaxExcess }

// SilentMayGiveWay reports whether there is any reason for silent clients to give way.
func (c Connections) SilentMayGiveWay() bool { return c.Full() || c.crowded() }

// crowded reports whether too many clients have sent no complete query.
func (c Connections) crowded() bool { return c.Silent > c.Max/MaxSilentFraction }

// SilentGivesWay reports whether a client that has sent no complete query, and nothing for that time, gives way. One that is half way
// through a message may yet complete it in its time, so it gives way only to somebody who needs its place.
func (c Connections) SilentGivesWay(silentFor time.Duration, halfWay bool) bool {
	if c.Full() {
		return c.crowded() || silentFor >= MinSilentTime
	}
	return c.crowded() && !halfWay && silentFor >= MinSilentTime
}

// IdleGivesWay reports whether a client to which no answer has been due for that time gives way.
func (c Connections) IdleGivesWay(idleFor time.Duration) bool {
	return c.Full() && idleFor >= MinIdleTime
}

// AboutToAsk reports whether a silent client, of whose next message some bytes are buffered, is likely to send its query
// now: it has connected, or completed a message of its login, a moment ago. One that writes slowly is always half way
// through a message. Such a client gives way after the others.
func AboutToAsk(silentFor time.Duration, buffered int) bool {
	return buffered == 0 && silentFor < MinSilentTime
}
