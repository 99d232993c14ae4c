package calculate

import (
	"time"

	"havenproxy/internal/ping"
)

// tightestBound is the age that the classes of the bench and of deploy/example.json allow to bounded reads.
const tightestBound = 300 * time.Millisecond

// situation is what a replica's health checks depend on, beside the sizes.
type situation struct {
	bounded  bool // the proxy serves bounded reads, which ask for young positions
	headless bool // the replica's group has no primary
}

// checksOfReplica plays internal/ping's schedule of one proxy for one replica, whose answers come at once and whose position is learned
// from health checks alone, and gives the health checks a second. Requests are spread evenly over the groups.
func (in Inputs) checksOfReplica(s situation) float64 {
	const (
		tick   = 5 * time.Millisecond
		played = 2 * time.Minute
	)
	groups := max(in.Size.Databases/in.GroupSize, 1)
	schedule := ping.Schedule{Proxies: in.Size.Proxies, ClockResolution: tick, TightestMaxAge: tightestBound}
	replica := ping.Member{NoPrimary: s.headless, GroupSize: in.GroupSize, RequestRate: float64(in.Statements) / float64(groups)}
	checks := 0
	for now := time.Hour; now < time.Hour+played; now += tick {
		if s.bounded {
			schedule.NoteBoundedRead(now)
		}
		replica.LastRequest = now
		if due, _ := schedule.Due(now, &replica); due {
			checks++
			replica.LastPing, replica.LastPosition = now, now
		}
	}
	return float64(checks) / played.Seconds()
}
