package subset

import (
	"math"
	"slices"
)

// Connections returns the databases that a proxy keeps connections to, in the order of databases: of each group that it sends traffic to, the
// primary and as many replicas as its reads need, those of its own zone first. Otherwise each proxy has its own order of replicas, by rendezvous
// hashing, so that the addition or removal of a replica changes one entry.
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
	ids := make([]DatabaseID, 0, len(kept))
	for _, d := range databases {
		if kept[d.ID] {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

// maxImbalance is the highest accepted standard deviation of a replica's share of the reads, relative to the mean, that results from the
// proxies' selections.
const maxImbalance = 0.1

// replicasForBalance returns how many of a group's replicas each proxy has to use so that the imbalance is at most maxImbalance. If each of P
// proxies selects k of n replicas at random, a replica is used by P k/n proxies on average. The variance is that of a binomial distribution,
// (n/k - 1) / P relative to the square of the mean.
func replicasForBalance(replicas, proxies int) int {
	if proxies <= 0 {
		return 0
	}
	return int(math.Ceil(float64(replicas) / (1 + maxImbalance*maxImbalance*float64(proxies))))
}

// keepInGroup adds the members of one group that are used to kept.
func keepInGroup(kept map[DatabaseID]bool, self Proxy, members []Database, reads float64, config ConnectionConfig) {
	needed := config.MinReplicas
	if config.ReadsPerReplica > 0 {
		needed = max(needed, int(math.Ceil(reads/config.ReadsPerReplica)))
	}
	primaryKnown := false
	var replicas []Database
	for _, d := range members {
		switch {
		case d.Role == Primary: // also if it is ejected, as no other member can replace it
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

// compareForProxy orders replicas by a proxy's preference, the most preferred first.
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
