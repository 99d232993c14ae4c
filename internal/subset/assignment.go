package subset

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Assignment maps each database to the proxies that check it. A change of one proxy is applied incrementally: only the databases that it
// affects are recomputed, and each of them exchanges one checker.
type Assignment struct {
	config    Config
	proxies   []Proxy // by ID
	databases map[DatabaseID][]Proxy
}

// NewAssignment returns an assignment without proxies and databases.
func NewAssignment(config Config) *Assignment {
	return &Assignment{config: config, databases: map[DatabaseID][]Proxy{}}
}

// SetProxies sets the proxies of the tier. It returns how many duties, each of one proxy to check one database, have moved to another proxy.
func (a *Assignment) SetProxies(proxies []Proxy) (moved int) {
	wanted := make(map[Proxy]bool, len(proxies))
	for _, p := range proxies {
		wanted[p] = true
	}
	if a.turnover(wanted)*2 > len(wanted) {
		return a.rebuild(proxies)
	}
	for _, p := range slices.Clone(a.proxies) {
		if !wanted[p] {
			moved += a.removeProxy(p)
		}
	}
	for _, p := range proxies {
		moved += a.addProxy(p)
	}
	return moved
}

// turnover returns how many proxies are added or removed.
func (a *Assignment) turnover(wanted map[Proxy]bool) int {
	kept := 0
	for _, p := range a.proxies {
		if wanted[p] {
			kept++
		}
	}
	return len(wanted) + len(a.proxies) - 2*kept
}

// rebuild replaces the proxies and recomputes the checkers of every database.
func (a *Assignment) rebuild(proxies []Proxy) (moved int) {
	a.proxies = slices.Clone(proxies)
	slices.SortFunc(a.proxies, func(x, y Proxy) int { return cmp.Compare(x.ID, y.ID) })
	a.proxies = slices.Compact(a.proxies)
	for id, before := range a.databases {
		after := a.selectCheckers(id, a.proxies)
		moved += movedBetween(before, after)
		a.databases[id] = after
	}
	return moved
}

// SetDatabases sets the databases that are to be checked.
func (a *Assignment) SetDatabases(databases []DatabaseID) {
	listed := make(map[DatabaseID]bool, len(databases))
	for _, id := range databases {
		listed[id] = true
		if _, known := a.databases[id]; !known {
			a.databases[id] = a.selectCheckers(id, a.proxies)
		}
	}
	for id := range a.databases {
		if !listed[id] {
			delete(a.databases, id)
		}
	}
}

// Checkers returns the proxies that check a database. The slice must not be changed and is valid until the next change.
func (a *Assignment) Checkers(id DatabaseID) []Proxy { return a.databases[id] }

// Duties returns the databases that a proxy checks, in ascending order.
func (a *Assignment) Duties(id ProxyID) (duties []DatabaseID) {
	for database, checkers := range a.databases {
		if slices.ContainsFunc(checkers, func(p Proxy) bool { return p.ID == id }) {
			duties = append(duties, database)
		}
	}
	slices.Sort(duties)
	return duties
}

func (a *Assignment) addProxy(p Proxy) (moved int) {
	i, known := a.find(p.ID)
	if known && a.proxies[i] == p {
		return 0
	}
	if known {
		moved += a.removeProxy(a.proxies[i])
	}
	a.proxies = slices.Insert(a.proxies, i, p)
	// A proxy that was not selected without p is not selected with it, so that only p and the present checkers are candidates.
	candidates := make([]Proxy, 0, a.config.Checkers+1)
	for id, before := range a.databases {
		candidates = append(append(candidates[:0], before...), p)
		after := a.selectCheckers(id, candidates)
		moved += movedBetween(before, after)
		a.databases[id] = after
	}
	return moved
}

func (a *Assignment) removeProxy(p Proxy) (moved int) {
	i, known := a.find(p.ID)
	if !known {
		return 0
	}
	a.proxies = slices.Delete(a.proxies, i, i+1)
	for id, before := range a.databases {
		if slices.Contains(before, p) {
			after := a.selectCheckers(id, a.proxies)
			moved += movedBetween(before, after)
			a.databases[id] = after
		}
	}
	return moved
}

func (a *Assignment) find(id ProxyID) (int, bool) {
	return slices.BinarySearchFunc(a.proxies, id, func(p Proxy, id ProxyID) int { return cmp.Compare(p.ID, id) })
}

// movedBetween returns the number of checkers in after that are not in before.
func movedBetween(before, after []Proxy) (moved int) {
	for _, p := range after {
		if !slices.Contains(before, p) {
			moved++
		}
	}
	return moved
}

// ranked is a candidate with its rendezvous hashing weight.
type ranked struct {
	proxy  Proxy
	weight uint64
}

func byWeight(x, y ranked) int {
	if x.weight != y.weight {
		return cmp.Compare(y.weight, x.weight)
	}
	return cmp.Compare(x.proxy.ID, y.proxy.ID)
}

// zoneRank holds the highest-ranked candidates of one zone, the highest first.
type zoneRank struct {
	zone string
	best []ranked
}

// selectCheckers selects the checkers of a database: the best candidate of each zone in descending order of weight; then, if there are fewer
// zones than checkers, the second best of each zone, and so on.
func (a *Assignment) selectCheckers(id DatabaseID, candidates []Proxy) []Proxy {
	zones := a.rankByZone(id, candidates)
	chosen := make([]Proxy, 0, a.config.Checkers)
	var round []ranked
	for rank := 0; rank < a.config.Checkers && len(chosen) < a.config.Checkers; rank++ {
		round = round[:0]
		for _, z := range zones {
			if rank < len(z.best) {
				round = append(round, z.best[rank])
			}
		}
		slices.SortFunc(round, byWeight)
		for _, r := range round[:min(len(round), a.config.Checkers-len(chosen))] {
			chosen = append(chosen, r.proxy)
		}
	}
	return chosen
}

func (a *Assignment) rankByZone(id DatabaseID, candidates []Proxy) []zoneRank {
	var zones []zoneRank
	for _, p := range candidates {
		index := slices.IndexFunc(zones, func(z zoneRank) bool { return z.zone == p.Zone })
		if index < 0 {
			index = len(zones)
			zones = append(zones, zoneRank{zone: p.Zone})
		}
		z := &zones[index]
		r := ranked{p, weight(a.config.Seed, id, p.ID)}
		i, _ := slices.BinarySearchFunc(z.best, r, byWeight)
		if i < a.config.Checkers {
			z.best = slices.Insert(z.best, i, r)
			z.best = z.best[:min(len(z.best), a.config.Checkers)]
		}
	}
	return zones
}

// weight returns the rendezvous hashing weight of a proxy for a database.
func weight(seed uint64, id DatabaseID, proxy ProxyID) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	binary.LittleEndian.PutUint32(key[8:], uint32(id))
	binary.LittleEndian.PutUint32(key[12:], uint32(proxy))
	return xxhash.Sum64(key[:])
}
