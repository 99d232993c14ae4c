package subset

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"havenproxy/internal/fixed"
)

func TestMain(m *testing.M) { fixed.Main(m) }

func makeProxies(n, zones int) (out []Proxy) {
	for i := range n {
		out = append(out, Proxy{ProxyID(i + 1), fmt.Sprint("zone-", i%zones)})
	}
	return out
}

func makeDatabases(n, perGroup, zones int) (out []Database, ids []DatabaseID) {
	for i := range n {
		d := Database{ID: DatabaseID(i + 1), Group: GroupID(i / perGroup), Role: Replica, Zone: fmt.Sprint("zone-", (i+i/perGroup)%zones), Usable: true}
		if i%perGroup == 0 {
			d.Role = Primary
		}
		out, ids = append(out, d), append(ids, d.ID)
	}
	return out, ids
}

// For any sequence of changes, each database has the configured number of checkers, if there are as many proxies, in as many zones as possible;
// an incremental change has the same result as a rebuild; and a change of one proxy moves at most one duty of each database.
func TestAssignmentUnderChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Checkers: rapid.IntRange(1, 4).Draw(t, "checkers"), Seed: rapid.Uint64().Draw(t, "seed")}
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		all := makeProxies(12, zones)
		_, ids := makeDatabases(30, 3, zones)
		a := NewAssignment(config)
		a.SetDatabases(ids)
		var members []Proxy
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			p := rapid.SampledFrom(all).Draw(t, "proxy")
			if i := slices.Index(members, p); i >= 0 {
				members = slices.Delete(members, i, i+1)
			} else {
				members = append(members, p)
			}
			if moved := a.SetProxies(members); moved > len(ids) {
				t.Fatalf("a change of one proxy moved %d duties of %d databases", moved, len(ids))
			}
			checkAssignment(t, a, config, members, ids)
		}
	})
}

func checkAssignment(t *rapid.T, a *Assignment, config Config, members []Proxy, ids []DatabaseID) {
	rebuilt := NewAssignment(config)
	rebuilt.rebuild(members)
	rebuilt.SetDatabases(ids)
	tierZones := map[string]bool{}
	for _, p := range members {
		tierZones[p.Zone] = true
	}
	for _, id := range ids {
		got := a.Checkers(id)
		if !slices.Equal(got, rebuilt.Checkers(id)) {
			t.Fatalf("database %d: checkers %v after changes, %v after a rebuild", id, got, rebuilt.Checkers(id))
		}
		zones := map[string]bool{}
		for _, p := range got {
			zones[p.Zone] = true
		}
		if len(got) != min(config.Checkers, len(members)) || len(zones) != min(len(got), len(tierZones)) {
			t.Fatalf("database %d has checkers %v of %d proxies in %d zones", id, got, len(members), len(tierZones))
		}
	}
}

func TestFewDutiesMoveInLargeTier(t *testing.T) {
	proxies, checkers := makeProxies(820, 5), 3
	_, ids := makeDatabases(1300, 4, 5)
	a := NewAssignment(Config{Checkers: checkers, Seed: 1})
	a.SetDatabases(ids)
	a.SetProxies(proxies)
	most, sum := 0, 0
	for i, p := range proxies {
		own := len(a.Duties(p.ID))
		most, sum = max(most, own), sum+own
		if i%40 != 0 {
			continue
		}
		if moved := a.SetProxies(slices.Delete(slices.Clone(proxies), i, i+1)); moved != own {
			t.Errorf("proxy %d had %d duties, %d moved when it left", p.ID, own, moved)
		}
		a.SetProxies(proxies)
	}
	t.Logf("duties of a proxy: mean %.2f, most %d", float64(sum)/float64(len(proxies)), most)
	if sum != checkers*len(ids) || most > 20 {
		t.Errorf("%d duties in total, %d at one proxy", sum, most)
	}
}

func TestConnectionsKeepPrimaryAndOwnZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		databases, _ := makeDatabases(40, 4, 3)
		self := Proxy{ProxyID(rapid.Uint32Range(1, 1000).Draw(t, "proxy")), "zone-1"}
		reads := rapid.Float64Range(0, 100).Draw(t, "reads")
		config := ConnectionConfig{ReadsPerReplica: 30, MinReplicas: 1}
		used := []Traffic{{Group: 2, ReadsPerSecond: reads}, {Group: 5, ReadsPerSecond: reads}}
		got := Connections(self, databases, used, config)
		replicas := min(max(int(math.Ceil(reads/30)), 1), 3)
		if len(got) != len(used)*(1+replicas) {
			t.Fatalf("connections %v for %v reads per second", got, reads)
		}
		for _, group := range []GroupID{2, 5} {
			for _, d := range databases {
				required := d.Group == group && (d.Role == Primary || d.Zone == self.Zone && replicas > 1)
				if required && !slices.Contains(got, d.ID) {
					t.Fatalf("%+v is missing", d)
				}
			}
		}
	})
}

// The fewer proxies there are, the more replicas each uses, so that the replicas' shares differ little.
func TestReplicasGetEvenShares(t *testing.T) {
	const groups, members, zones = 50, 4, 5
	databases, _ := makeDatabases(groups*members, members, zones)
	var traffic []Traffic
	for g := range groups {
		traffic = append(traffic, Traffic{Group: GroupID(g)})
	}
	for _, c := range []struct{ proxies, replicas int }{{6, 3}, {50, 2}, {100, 2}, {200, 1}, {820, 1}} {
		shares := map[DatabaseID]float64{}
		connections := 0
		for _, p := range makeProxies(c.proxies, zones) {
			kept := Connections(p, databases, traffic, ConnectionConfig{MinReplicas: 1, Proxies: c.proxies})
			connections += len(kept)
			for _, id := range kept {
				shares[id] += 1 / float64(c.replicas)
			}
		}
		if want := c.proxies * groups * (1 + c.replicas); connections != want {
			t.Errorf("%d proxies: %d connections, want %d", c.proxies, connections, want)
		}
		squares, count := 0.0, 0
		mean := float64(c.proxies) / (members - 1)
		for _, d := range databases {
			if d.Role != Primary {
				squares += (shares[d.ID] - mean) * (shares[d.ID] - mean)
				count++
			}
		}
		if deviation := math.Sqrt(squares/float64(count)) / mean; deviation > 1.2*maxImbalance {
			t.Errorf("%d proxies, %d replicas each: shares differ by %.3f", c.proxies, c.replicas, deviation)
		}
	}
}

// A replica that is ejected is replaced by one other, and nothing else changes.
func TestConnectionsChangeByOne(t *testing.T) {
	databases, _ := makeDatabases(4, 4, 5)
	config, used := ConnectionConfig{ReadsPerReplica: 30, MinReplicas: 2}, []Traffic{{Group: 0}}
	for proxy := range 100 {
		self := Proxy{ProxyID(proxy), "zone-1"}
		before := Connections(self, databases, used, config)
		changed := slices.Clone(databases)
		changed[before[1]-1].Usable = false
		after := Connections(self, changed, used, config)
		if len(after) != len(before) || slices.Contains(after, before[1]) || !slices.Contains(after, before[0]) || !slices.Contains(after, before[2]) {
			t.Fatalf("%v before, %v after %d was ejected", before, after, before[1])
		}
	}
}

// Logs the figures of the design note: connections of a database with subsets, for 820 proxies and 1,300 databases in groups of four.
func TestConnectionsOfLargeTier(t *testing.T) {
	databases, _ := makeDatabases(1300, 4, 5)
	proxies, groups, sample := makeProxies(820, 5), 325, 4
	for _, c := range []struct {
		name   string
		used   int // groups that each proxy sends to
		reads  float64
		config ConnectionConfig
	}{
		{"all groups, one replica", groups, 10, ConnectionConfig{ReadsPerReplica: 30, MinReplicas: 1}},
		{"all groups, two replicas", groups, 10, ConnectionConfig{ReadsPerReplica: 30, MinReplicas: 2}},
		{"a quarter of the groups, two replicas", groups / 4, 40, ConnectionConfig{ReadsPerReplica: 30, MinReplicas: 1}},
	} {
		counts := make([]int, len(databases)+1)
		for i := 0; i < len(proxies); i += sample { // no divisor of the number of zones, so that all zones are sampled equally
			p := proxies[i]
			var traffic []Traffic
			for g := range c.used {
				traffic = append(traffic, Traffic{GroupID((i*31 + g*groups/c.used) % groups), c.reads})
			}
			for _, id := range Connections(p, databases, traffic, c.config) {
				counts[id] += sample
			}
		}
		primaries, replicas, most := 0, 0, 0
		for _, d := range databases {
			if most = max(most, counts[d.ID]); d.Role == Primary {
				primaries += counts[d.ID]
			} else {
				replicas += counts[d.ID]
			}
		}
		t.Logf("%s: %.0f proxies connected to a database (primary %.0f, replica %.0f, most %d), without subsets 820", c.name,
			float64(primaries+replicas)/1300, float64(primaries)/325, float64(replicas)/975, most)
		if primaries+replicas >= 820*1300*3/4+1 {
			t.Errorf("%s: %d connections", c.name, primaries+replicas)
		}
	}
}

func BenchmarkRebuild820x1300(b *testing.B) {
	proxies := makeProxies(820, 5)
	_, ids := makeDatabases(1300, 4, 5)
	a := NewAssignment(Config{Checkers: 3})
	a.SetDatabases(ids)
	for b.Loop() {
		a.rebuild(proxies)
	}
}

func BenchmarkOneProxyLeavesAndComesBack820x1300(b *testing.B) {
	proxies := makeProxies(820, 5)
	_, ids := makeDatabases(1300, 4, 5)
	a := NewAssignment(Config{Checkers: 3})
	a.SetDatabases(ids)
	a.SetProxies(proxies)
	for b.Loop() {
		a.removeProxy(proxies[100])
		a.addProxy(proxies[100])
	}
}
