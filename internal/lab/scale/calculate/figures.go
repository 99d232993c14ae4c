package calculate

import (
	"fmt"
	"time"

	"havenproxy/internal/handover"
)

// Figure is one calculated cell of the capacity page.
type Figure struct {
	Role    string  `json:"role"`
	What    string  `json:"what"`
	Formula string  `json:"formula"` // with the numbers that went in
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
}

const secondsPerDay = 24 * 60 * 60

// entriesPerReplacement is how many changes of the list one replaced database makes: it drains, it is gone, its successor comes.
const entriesPerReplacement = 3

// Figures works out all cells that need no run.
func (in Inputs) Figures(m Messages) []Figure {
	var all []Figure
	all = append(all, in.proxyFigures(m)...)
	all = append(all, in.plannerFigures(m)...)
	all = append(all, in.discoveryFigures(m)...)
	all = append(all, in.databaseFigures(m)...)
	return append(all, in.eventFigures(m)...)
}

func (in Inputs) proxyFigures(m Messages) []Figure {
	const role = "proxy"
	probe, lease := m.ProbeQuery+m.ProbeReply, m.Renew+m.Granted
	change := m.Offer + m.Agree + m.Hold + m.Held + m.InForce
	watches := 1 / (in.ListBound / 2).Seconds()
	databases := float64(in.Size.Databases)
	plain, bounded := in.checksOfReplica(situation{}), in.checksOfReplica(situation{bounded: true})
	reports := 1 / in.RolesEvery.Seconds()
	leaseRate := float64(lease) * asksInLease / in.Lease.Seconds()
	watchRate := float64(m.ListCall+m.ListEmpty) * watches
	changeRate := float64(change*in.PolicyChanges) / secondsPerDay
	entryRate := float64(m.ListEntry*in.Replaced*entriesPerReplacement) / secondsPerDay
	probeRate := float64(probe * in.HealthBudget)
	rest := float64(in.BytesBudget) - leaseRate - watchRate - changeRate - entryRate
	return []Figure{
		{role, "health checks by `internal/ping`, no bounded reads", fmt.Sprintf("%d databases x %.3g/s, its schedule played", in.Size.Databases, plain), databases * plain, "1/s"},
		{role, "their bytes", fmt.Sprintf("%.0f/s x (%d + %d) B", databases*plain, m.ProbeQuery, m.ProbeReply), databases * plain * float64(probe), "B/s"},
		{role, "the same with bounded reads in each second", fmt.Sprintf("%d databases x %.3g/s, its schedule played", in.Size.Databases, bounded), databases * bounded, "1/s"},
		{role, "their bytes", fmt.Sprintf("%.0f/s x (%d + %d) B", databases*bounded, m.ProbeQuery, m.ProbeReply), databases * bounded * float64(probe), "B/s"},
		{role, "health checks at the budget, bytes", fmt.Sprintf("%d/s x (%d + %d) B", in.HealthBudget, m.ProbeQuery, m.ProbeReply), probeRate, "B/s"},
		{role, "lease", fmt.Sprintf("%d asks / %v x (%d + %d) B", asksInLease, in.Lease, m.Renew, m.Granted), leaseRate, "B/s"},
		{role, "watch of the list, no news", fmt.Sprintf("1 / %v x (%d + %d) B", in.ListBound/2, m.ListCall, m.ListEmpty), watchRate, "B/s"},
		{role, "changes of the list, as deltas", fmt.Sprintf("%d a day x %d entries x %d B / 86,400 s", in.Replaced, entriesPerReplacement, m.ListEntry), entryRate, "B/s"},
		{role, "changes of policy", fmt.Sprintf("%d a day x (%d + %d + %d + %d + %d) B / 86,400 s", in.PolicyChanges, m.Offer, m.Agree, m.Hold, m.Held, m.InForce), changeRate, "B/s"},
		{role, "left of the budget for checks and their results", fmt.Sprintf("%d - lease - watch - list - policy", in.BytesBudget), rest, "B/s"},
		{role, "left of it once checks are at their budget", "the same - health checks at the budget", rest - probeRate, "B/s"},
		{role, "reports of all databases' roles by peers, received", fmt.Sprintf("%d / %v x %d B + heads", in.Size.Databases, in.RolesEvery, m.PeerFact), in.roleBytes(m) * reports, "B/s"},
		{role, "restarts in the tier, where checks are shared, as changes", fmt.Sprintf("%d a day x %d B / 86,400 s", in.Replaced, m.MembersChange), float64(in.Replaced*m.MembersChange) / secondsPerDay, "B/s"},
		{role, "the same with whole lists", fmt.Sprintf("%d a day x %d B / 86,400 s", in.Replaced, m.MembersWhole), float64(in.Replaced*m.MembersWhole) / secondsPerDay, "B/s"},
		{role, "the whole list, at a start", fmt.Sprintf("%d entries x %d B + head", in.Size.Databases, m.ListEntry), float64(m.ListWhole), "B"},
		{role, "its time at the budget", fmt.Sprintf("%d B / %d B/s", m.ListWhole, in.BytesBudget), float64(m.ListWhole) / float64(in.BytesBudget), "s"},
	}
}

// roleBytes is the length of datagrams that report each database's role once.
func (in Inputs) roleBytes(m Messages) float64 {
	perMessage := (m.PeerFull - m.PeerHead) / m.PeerFact
	heads := (in.Size.Databases + perMessage - 1) / perMessage
	return float64(in.Size.Databases*m.PeerFact + heads*m.PeerHead)
}

func (in Inputs) plannerFigures(m Messages) []Figure {
	const role = "planner"
	n := in.Size.Proxies
	asks := float64(n) * asksInLease / in.Lease.Seconds()
	beats := 1 / heartbeatEvery.Seconds()
	const followers = 2
	idle := followers * beats * float64(m.Heartbeat+m.HeartbeatReply)
	confirm := followers * asks * float64(m.Heartbeat+m.HeartbeatReply)
	return []Figure{
		{role, "leader: asks for leases", fmt.Sprintf("%d x %d / %v", n, asksInLease, in.Lease), asks, "1/s"},
		{role, "leader: leases, received", fmt.Sprintf("%.0f/s x %d B", asks, m.Renew), asks * float64(m.Renew), "B/s"},
		{role, "leader: leases, sent", fmt.Sprintf("%.0f/s x %d B", asks, m.Granted), asks * float64(m.Granted), "B/s"},
		{role, "leader: one change of policy, sent to all", fmt.Sprintf("%d x (%d + %d + %d) B", n, m.Offer, m.Hold, m.InForce), float64(n * (m.Offer + m.Hold + m.InForce)), "B"},
		{role, "leader: changes of policy, mean", fmt.Sprintf("that x %d / 86,400 s", in.PolicyChanges), float64(n*(m.Offer+m.Hold+m.InForce)*in.PolicyChanges) / secondsPerDay, "B/s"},
		{role, "leader: heartbeats with two followers", fmt.Sprintf("2 x 1 / %v x (%d + %d) B", heartbeatEvery, m.Heartbeat, m.HeartbeatReply), idle, "B/s"},
		{role, "leader: confirmations that it leads, at most", fmt.Sprintf("2 x %.0f/s x (%d + %d) B, one for each ask; asks that come together share one", asks, m.Heartbeat, m.HeartbeatReply), confirm, "B/s"},
		{role, "state with all members, without policies' texts", fmt.Sprintf("%d members, encoded", n), float64(m.State), "B"},
		{role, "log, entries for joins and leaves", fmt.Sprintf("2 x %d a day x %d B, at most as long as a join", in.Replaced, m.JoinCommand), float64(2 * in.Replaced * m.JoinCommand), "B a day"},
		{role, "leader: one proxy that restarts, told to all that share health checks, as a change", fmt.Sprintf("%d x %d B", n, m.MembersChange), float64(n * m.MembersChange), "B"},
		{role, "leader: the same with whole lists, as earlier versions take", fmt.Sprintf("%d x %d B", n, m.MembersWhole), float64(n * m.MembersWhole), "B"},
		{role, "leader: connections", fmt.Sprintf("%d proxies + 2 from and 2 to followers", n), float64(n + 4), ""},
	}
}

func (in Inputs) discoveryFigures(m Messages) []Figure {
	const role = "discovery"
	n := in.Size.Proxies
	calls := float64(n) / (in.ListBound / 2).Seconds()
	delta := m.ListEmpty + m.ListEntry
	return []Figure{
		{role, "calls, no news", fmt.Sprintf("%d / %v", n, in.ListBound/2), calls, "1/s"},
		{role, "their bytes, both ways", fmt.Sprintf("%.0f/s x (%d + %d) B", calls, m.ListCall, m.ListEmpty), calls * float64(m.ListCall+m.ListEmpty), "B/s"},
		{role, "one changed entry, sent to all, as a delta", fmt.Sprintf("%d x (%d + %d) B", n, m.ListEmpty, m.ListEntry), float64(n * delta), "B"},
		{role, "the same, where the service answers with whole lists", fmt.Sprintf("%d x %d B", n, m.ListWhole), float64(n * m.ListWhole), "B"},
		{role, "connections, waiting", "one for each proxy", float64(n), ""},
	}
}

func (in Inputs) databaseFigures(m Messages) []Figure {
	const role = "database"
	n := in.Size.Proxies
	plain, bounded := in.checksOfReplica(situation{}), in.checksOfReplica(situation{bounded: true})
	headless := in.checksOfReplica(situation{headless: true})
	shared := float64(n*in.HealthBudget) / float64(in.Size.Databases)
	search := handover.Config{}.WithDefaults().Search * time.Duration((n+3)/4)
	played := func(what string, each float64) []Figure {
		all := each * float64(n)
		return []Figure{
			{role, what, fmt.Sprintf("%d proxies x %.3g/s, `internal/ping`'s schedule played", n, each), all, "1/s"},
			{role, "their processor time", fmt.Sprintf("%.0f/s x %v", all, in.ProbeCost), all * in.ProbeCost.Seconds(), "cores"},
		}
	}
	rows := append(played("health checks, no bounded reads", plain), played("health checks, bounded reads in each second", bounded)...)
	rows = append(rows, played("health checks of a replica whose group has no primary, no bounded reads", headless)...)
	return append(rows, []Figure{
		{role, "health checks at the proxies' budget", fmt.Sprintf("%d x %d/s / %d", n, in.HealthBudget, in.Size.Databases), shared, "1/s"},
		{role, "their processor time", fmt.Sprintf("%.1f/s x %v", shared, in.ProbeCost), shared * in.ProbeCost.Seconds(), "cores"},
		{role, "between one proxy's checks of it while `handover` searches", fmt.Sprintf("50ms x (%d + 3) / 4", n), search.Seconds(), "s"},
		{role, "connections, every proxy at least one", "one for each proxy", float64(n), ""},
	}...)
}

func (in Inputs) eventFigures(m Messages) []Figure {
	n, half := in.Size.Proxies, in.Size.Proxies/2
	tenth, zone, rack := n/10, n/5, 20
	perRefusal := float64(in.Connections) / in.ComeBack.Seconds()
	parted := float64(half*in.Statements) * in.PartedFor.Seconds()
	lost := in.PartedFor - in.Lease
	rows := []Figure{
		{"refusals", "one proxy without a lease, clients that wait as told", fmt.Sprintf("%d clients / %v", in.Connections, in.ComeBack), perRefusal, "refusals/s"},
		{"refusals", "the same, against its ordinary statements", fmt.Sprintf("%.0f/s / %d/s", perRefusal, in.Statements), perRefusal / float64(in.Statements), "times"},
		{"parted regions", `"stop": statements that can't be served on the side without a majority`, fmt.Sprintf("%d proxies x %d/s x (%v - %v)", half, in.Statements, in.PartedFor, in.Lease), float64(half*in.Statements) * lost.Seconds(), "statements"},
		{"parted regions", `the same as a part of both regions' statements meanwhile`, fmt.Sprintf("that / (%d x %d/s x %v)", n, in.Statements, in.PartedFor), float64(half*in.Statements) * lost.Seconds() / (2 * parted), ""},
		{"parted regions", `"go on": changes of policy given up`, fmt.Sprintf("%d a day x %v", in.PolicyChanges, in.PartedFor), float64(in.PolicyChanges) * in.PartedFor.Seconds() / secondsPerDay, "changes"},
	}
	for _, x := range []struct {
		name    string
		proxies int
	}{{"release, a tenth at a time", tenth}, {"rack back", rack}, {"zone back", zone}} {
		rows = append(rows,
			Figure{x.name, "whole lists from discovery", fmt.Sprintf("%d x %d B", x.proxies, m.ListWhole), float64(x.proxies * m.ListWhole), "B"},
			Figure{x.name, "joins at the leader, with the policy", fmt.Sprintf("%d x (%d + %d) B", x.proxies, m.Hello, m.Welcome), float64(x.proxies * (m.Hello + m.Welcome)), "B"},
			Figure{x.name, "clients that connect anew", fmt.Sprintf("%d x %d", x.proxies, in.Connections), float64(x.proxies * in.Connections), "connections"})
	}
	return rows
}

// Leases are the lengths of a lease that the page compares.
var Leases = []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second}
