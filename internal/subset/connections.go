package subset

import (
	"math"
	"slices"
)

// Connections gives the databases that a proxy keeps connections to, in the order of the list: in each group that it sends traffic to
// the primary, and as many replicas as its reads ask for, those of its own zone first. Beyond the zone the order is each proxy's own,
// by rendezvous hashing, so that a replica that comes or goes changes one entry.
func Connections(self Proxy, databases []Database, traffic []Traffic, config ConnectionConfig) []DatabaseID {
	reads := make(map[GroupID]float64, len(traffic))
	for _, t := range traffic {
		reads[t.Group] = t.ReadsPerSecond
	}
	groups := map[GroupID][]Database{}
	for _, d := range databases {
		if _, used := reads[d.Group]; used {
			groups[d.Group] = append(groups[d.Group], d)
		}
	}
	kept := make(map[DatabaseID]bool, 2*len(groups))
	for group, members := range groups {
		keepInGroup(kept, self, members, reads[group], config)
	}
	out := make([]DatabaseID, 0, len(kept))
	for _, d := range databases {
		if kept[d.ID] {
			out = append(out, d.ID)
		}
	}
	return out
}

// maxImbalance is the standard deviation of a replica's share of the reads, as a part of its mean, that the proxies' choices may leave.
const maxImbalance = 0.1

// replicasForBalance gives how many of a group's replicas each proxy has to use, so that the shares of the replicas differ by
// maxImbalance. Where each of P proxies draws k of n replicas, a replica has P k/n of them in the mean, with the variance of a binomial
// distribution: (n/k - 1) / P relative to the square of the mean.
func replicasForBalance(replicas, proxies int) int {
	if proxies <= 0 {
		return 0
	}
	return int(math.Ceil(float64(replicas) / (1 + maxImbalance*maxImbalance*float64(proxies))))
}

func keepInGroup(kept map[DatabaseID]bool, self Proxy, members []Database, reads float64, config ConnectionConfig) {
	needed := config.MinReplicas
	if config.ReadsPerReplica > 0 {
		needed = max(needed, int(math.Ceil(reads/config.ReadsPerReplica)))
	}
	primaryKnown := false
	var replicas []Database
	for _, d := range members {
		switch {
		case d.Role == Primary: // also where it is ejected: nobody can stand in for it
			kept[d.ID] = true
			primaryKnown = true
		case d.Usable:
			replicas = append(replicas, d)
		}
	}
	needed = max(needed, replicasForBalance(len(replicas), config.Proxies))
	if !primaryKnown {
		needed++
	}
	slices.SortFunc(replicas, func(x, y Database) int { return compareForProxy(self, x, y, config.Seed) })
	for _, d := range replicas[:min(needed, len(replicas))] {
		kept[d.ID] = true
	}
}

// compareForProxy orders replicas by how much a proxy prefers them.
func compareForProxy(self Proxy, x, y Database, seed uint64) int {
	if xOwn, yOwn := x.Zone == self.Zone, y.Zone == self.Zone; xOwn != yOwn {
		if xOwn {
			return -1
		}
		return 1
	}
	return byWeight(
		ranked{Proxy{ID: ProxyID(x.ID)}, weight(seed, x.ID, self.ID)},
		ranked{Proxy{ID: ProxyID(y.ID)}, weight(seed, y.ID, self.ID)},
	)
}
