package healthcheck

import (
	"fmt"
	"testing"

	"havenproxy/internal/subset"
)

// BenchmarkOneProxySecond820x1300 measures the cost of one second of a proxy in a tier of 820 proxies and 1300 databases.
func BenchmarkOneProxySecond820x1300(b *testing.B) {
	var tier []subset.Proxy
	for i := range 820 {
		tier = append(tier, subset.Proxy{ID: subset.ProxyID(i + 1), Zone: fmt.Sprint("zone-", i%5)})
	}
	var ids []subset.DatabaseID
	for i := range 1300 {
		ids = append(ids, subset.DatabaseID(i+1))
	}
	plan := NewPlan(Settings{Proxies: len(tier), Databases: len(ids), MessagesAllowed: true, ChecksPerSecond: 10, BytesPerSecond: 1600})
	now := simStart
	n := NewNode(now, Config{Self: tier[0], Epoch: 1, Seed: 1, Plan: plan})
	n.SetDatabases(now, ids)
	n.SetTier(now, tier)
	n.SetUsed(now, ids)
	for b.Loop() { // one second: ten ticks with a digest each, and the outcomes of the checks
		for range 10 {
			now += simTick
			n.ReceiveDigest(now, Digest{})
			for _, id := range n.Tick(now).Checks {
				n.CompleteCheck(now, id, Observation{Answered: true, Role: subset.Replica})
			}
		}
	}
}

// BenchmarkRelaySecond820 measures the cost of one second of a planner's relay: ten polls of each link and a heartbeat of each proxy.
func BenchmarkRelaySecond820(b *testing.B) {
	relay, now := NewRelay(Config{Plan: Plan{BytesPerSecond: 1600}}), simStart
	for id := subset.ProxyID(1); id <= 820; id++ {
		relay.Attach(now, id)
	}
	for b.Loop() {
		for range 10 {
			now += simTick
			relay.Tick(now)
			for id := subset.ProxyID(1); id <= 820; id++ {
				relay.NextDigest(now, id)
			}
		}
		for id := subset.ProxyID(1); id <= 820; id++ {
			relay.Receive(now, Message{From: id, Epoch: 1, ToPlanner: true})
		}
	}
}
