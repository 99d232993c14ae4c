package calculate

import "time"

// PolicyBounds says how long a change of policy may take until it is in force everywhere, by what happens meanwhile. They follow from
// internal/rollout's rules and hold while links deliver within the length of a round and most planners live; they are not measured.
type PolicyBounds struct {
	Lease time.Duration // of the tier

	// Dead: proxies died before the change was proposed. Each is waited for until its lease has ended at the planner: lease + margin.
	Dead time.Duration
	// Paused: one more proxy falls silent while the change waits. Its last lease of full length was granted when the change had been
	// under way for half of a lease, and ends a lease and a margin later; leases granted behind that are short.
	Paused time.Duration
	// LeaderLost: the leading planner dies just before Paused is over. The new one waits a whole lease and margin for all.
	LeaderLost time.Duration

	AsksPerProxy  float64 // asks for a lease, a second and proxy
	AsksAtLeader  float64 // asks a second
	BytesAtLeader float64 // bytes a second both ways, for leases alone
	BytesAtProxy  float64 // bytes a second both ways, for leases alone
}

// Bounds works the bounds out for one length of the lease. Behind the last wait come at most a pause between rounds and one round.
func (in Inputs) Bounds(m Messages) PolicyBounds {
	c := in.rolloutConfig()
	wait := c.Lease + c.ClockMargin
	behind := c.RoundPause + c.RoundTimeout
	asks := asksInLease / c.Lease.Seconds()
	each := float64(m.Renew + m.Granted)
	return PolicyBounds{
		Lease:         c.Lease,
		Dead:          wait + behind,
		Paused:        c.Lease/2 + wait + behind,
		LeaderLost:    c.Lease/2 + wait + longestElection + wait + behind,
		AsksPerProxy:  asks,
		AsksAtLeader:  asks * float64(in.Size.Proxies),
		BytesAtLeader: asks * each * float64(in.Size.Proxies),
		BytesAtProxy:  asks * each,
	}
}

// LongestLease gives the longest lease, in steps of 100 ms, whose bound is kept; of picks the bound.
func (in Inputs) LongestLease(limit time.Duration, of func(PolicyBounds) time.Duration) time.Duration {
	const step = 100 * time.Millisecond
	longest := time.Duration(0)
	for in.Lease = 2 * step; in.Lease <= time.Minute; in.Lease += step {
		if of(in.Bounds(Messages{})) > limit {
			break
		}
		longest = in.Lease
	}
	return longest
}
