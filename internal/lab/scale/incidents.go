package scale

import (
	"fmt"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/scale/analysis"
	"havenproxy/internal/lab/virtual"
)

// firstRegion is how many of Zones are the first region's.
const firstRegion = 3

// incident gives an event's course at a size.
func (c *Config) incident(name analysis.Event, size analysis.Size) (*incident, error) {
	switch name {
	case analysis.EventRollingRestart:
		return c.rollingRestart(size), nil
	case analysis.EventDeadMachines:
		return c.deadMachines(size), nil
	case analysis.EventRack:
		return c.machinesAway(first(min(rackProxies, size.Proxies/4)), rackMembers(size)), nil
	case analysis.EventZone:
		last := len(Zones) - 1
		return c.machinesAway(zoneProxies(size, last), zoneMembers(size, last)), nil
	case analysis.EventRegionsParted:
		return c.regionsParted(), nil
	case analysis.EventPrimaryCrash:
		x := c.machinesAway(nil, []int{0})
		x.steps = &failoverSteps{old: 0, proxies: size.Proxies}
		return x, nil
	case analysis.EventPolicyChanges:
		return c.policyChanges(size), nil
	case analysis.EventDiscoveryAway:
		return c.discoveryAway(), nil
	}
	return nil, fmt.Errorf("there is no event %q", name)
}

// first gives the numbers below n.
func first(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// rackMembers gives one database of each of so many groups, in every place, so that some are primaries.
func rackMembers(size analysis.Size) (list []int) {
	groups := size.Databases / groupOf
	for i := range min(rackDatabases, groups) {
		list = append(list, i*groupOf+i%groupOf)
	}
	return list
}

// zoneProxies gives the proxies in a zone, as the model spreads them.
func zoneProxies(size analysis.Size, zone int) (list []int) {
	for i := zone; i < size.Proxies; i += len(Zones) {
		list = append(list, i)
	}
	return list
}

// zoneMembers gives the databases in a zone, as the model spreads them.
func zoneMembers(size analysis.Size, zone int) (list []int) {
	for m := range size.Databases {
		if (m/groupOf+m%groupOf)%len(Zones) == zone {
			list = append(list, m)
		}
	}
	return list
}

// rollingRestart ends a tenth of the proxies in good order, one after the other. All know once all of them serve again.
func (c *Config) rollingRestart(size analysis.Size) *incident {
	n := max(size.Proxies/restartedPart, 1)
	return &incident{lasts: restartOver, begins: c.Settle + restartOver, facts: []fact{serves}, apply: func(cfg *virtual.Config) {
		for i := range n {
			at := c.Settle + restartOver*time.Duration(i)/time.Duration(n)
			cfg.Tier.Stops = append(cfg.Tier.Stops, virtual.Stop{At: at, Proxies: []int{i}, For: restartDown, Orderly: true})
		}
	}}
}

// deadMachines kills proxies for good and proposes a change of policy at the same moment, which has to wait for their leases. All know
// once it is in force at all others.
func (c *Config) deadMachines(size analysis.Size) *incident {
	lost := min(machinesLost, size.Proxies/2)
	return &incident{apply: func(cfg *virtual.Config) {
		cfg.Tier.Stops = append(cfg.Tier.Stops, virtual.Stop{At: c.Settle, Proxies: first(lost), For: forGood})
		setChanges(cfg, c.Settle)
	}, slowest: func(r *virtual.Result) (time.Duration, bool) { return slowestChange(r, size.Proxies-lost) }}
}

// policyChanges makes changes within a minute while some proxies are down.
func (c *Config) policyChanges(size analysis.Size) *incident {
	lost := min(machinesLost, size.Proxies/2)
	return &incident{lasts: changesWithin, apply: func(cfg *virtual.Config) {
		cfg.Tier.Stops = append(cfg.Tier.Stops, virtual.Stop{At: c.Settle, Proxies: first(lost), For: forGood})
		var at []time.Duration
		for i := range changesMade {
			at = append(at, c.Settle+changesWithin*time.Duration(i)/changesMade)
		}
		setChanges(cfg, at...)
	}, slowest: func(r *virtual.Result) (time.Duration, bool) { return slowestChange(r, size.Proxies-lost) }}
}

func setChanges(cfg *virtual.Config, at ...time.Duration) {
	if cfg.Tier.Planners != nil {
		cfg.Tier.Planners.Changes = at
	}
}

// slowestChange gives the longest time from a proposal until the change was in force at so many proxies; false where one was not.
func slowestChange(r *virtual.Result, proxies int) (slowest time.Duration, all bool) {
	all = len(r.Changed) > 0
	for _, x := range r.Changed {
		all = all && x.Decided > 0 && x.Proxies >= proxies
		slowest = max(slowest, x.Last-x.At)
	}
	return slowest, all
}

// machinesAway lets proxies and databases die at once and come back. All know once every other proxy has seen all of it, and knows the
// new primaries.
func (c *Config) machinesAway(proxies, members []int) *incident {
	x := &incident{lasts: awayFor}
	var scratch virtual.Config
	x.facts = crash(&scratch, c.Settle, awayFor, members)
	x.apply = func(cfg *virtual.Config) {
		cfg.Faults = append(cfg.Faults, scratch.Faults...)
		if len(proxies) > 0 {
			cfg.Tier.Stops = append(cfg.Tier.Stops, virtual.Stop{At: c.Settle, Proxies: proxies, For: awayFor})
		}
	}
	return x
}

// regionsParted lets no message between proxies of one region and databases, proxies and planners of the other. The databases' own
// replication and elections go on: the model has no cut between databases. All know once every proxy serves again.
func (c *Config) regionsParted() *incident {
	return &incident{lasts: c.PartedFor, begins: c.Settle + c.PartedFor, facts: []fact{serves}, apply: func(cfg *virtual.Config) {
		split := virtual.Split{At: c.Settle, For: c.PartedFor, Zone: firstRegion}
		for zone := firstRegion + 1; zone < len(Zones); zone++ {
			split.Others = append(split.Others, zone)
		}
		cfg.Tier.Splits = append(cfg.Tier.Splits, split)
	}}
}

// discoveryAway lets discovery answer with errors, while a replica dies for good. All know once every proxy has that from the list, or
// has seen it itself.
func (c *Config) discoveryAway() *incident {
	const member = groupOf - 1
	return &incident{lasts: discoveryAway, facts: []fact{notListedOrUnfit(member)}, begins: c.Settle, apply: func(cfg *virtual.Config) {
		cfg.Faults = append(cfg.Faults, virtual.Fault{At: c.Settle, Fault: fleet.Fault{Kind: fleet.NoList, For: discoveryAway}},
			virtual.Fault{At: c.Settle, Fault: fleet.Fault{Kind: fleet.Crash, Group: 0, Member: member, For: forGood}})
	}}
}

// failoverSteps takes the parts of a failover's time.
type failoverSteps struct {
	old      int // the primary that dies
	proxies  int
	detected time.Duration // since the run's beginning; 0 = not yet
	decided  time.Duration
}

func (s *failoverSteps) look(v *virtual.View) {
	unfit, known := notListedOrUnfit(s.old), newPrimary(s.old/groupOf, s.old)
	for i := range s.proxies {
		if s.detected == 0 && unfit(v, i) {
			s.detected = v.At
		}
		if s.decided == 0 && known(v, i) {
			s.decided = v.At
		}
	}
}

func (s *failoverSteps) result(begin time.Duration, seen *spread) analysis.Steps {
	if s.detected == 0 || s.decided == 0 || !seen.all {
		return analysis.Steps{}
	}
	return analysis.Steps{Detect: s.detected - begin, Decide: max(s.decided-s.detected, 0), Spread: max(begin+seen.took-s.decided, 0)}
}
