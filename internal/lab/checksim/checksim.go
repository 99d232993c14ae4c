// Package checksim plays shared health checking on a tier at size: all proxies with their duties, one planner's relay with all links, and
// the bytes of every message as internal/wire/healthcheck packs it. Time is virtual, and the network loses nothing; faults of the network
// are the subject of the tests of internal/healthcheck.
package checksim

import (
	"fmt"
	"time"

	"havenproxy/internal/healthcheck"
	"havenproxy/internal/subset"
	wire "havenproxy/internal/wire/healthcheck"
)

// Config is the size of the tier, and its budgets.
type Config struct {
	Proxies, Databases, Zones int
	ChecksPerSecond           float64
	BytesPerSecond            float64
	Seed                      uint64
}

// Phase is what was counted in one part of a run, a second and proxy that runs.
type Phase struct {
	Name                         string
	Lasted                       time.Duration
	Checks, Sent, Received       float64       // means; bytes with the headers of IP and TCP
	MostChecks, MostSent, MostIn int           // of any proxy in any second
	Known                        time.Duration // until all proxies looked at knew of all deaths, or doubted; 0 = none died, negative = they did not
	Doubted                      float64       // the part that was in doubt by then
}

const (
	tick         = 100 * time.Millisecond
	begin        = 1000 * time.Second
	noZone       = -1
	lostZone     = 2
	sample       = 41 // every so many proxies are asked what they know
	usedByAProxy = 10
	calmTime     = 20 * time.Second
	knownWithin  = 40 * time.Second
)

// Run plays a start, a calm time, one death, the loss of a zone's proxies and databases, and the time after it.
func Run(config Config) []Phase {
	t := newTier(config)
	var phases []Phase
	add := func(p Phase) { phases = append(phases, p) }
	t.run(calmTime / 2)
	add(t.phase("start"))
	t.run(calmTime)
	add(t.phase("calm"))
	t.down = t.databases[0]
	known, doubted := t.untilKnown()
	add(t.deathPhase("one death", known, doubted))
	t.lost = min(lostZone, config.Zones-1)
	known, doubted = t.untilKnown()
	add(t.deathPhase("a zone lost", known, doubted))
	t.run(calmTime)
	add(t.phase("after it"))
	return phases
}

// tier is the state of a run.
type tier struct {
	config    Config
	now       time.Duration
	began     time.Duration // of the phase
	relay     *healthcheck.Relay
	proxies   []subset.Proxy
	nodes     []*healthcheck.Node
	databases []subset.DatabaseID
	down      subset.DatabaseID // the one that is dead; 0 = none
	lost      int               // the zone that is; noZone = none
	running   map[time.Duration][]outcome
	second    []usage // of each proxy, in the second that runs
	total     usage
	most      usage
	buf       []byte
}

// usage counts checks and bytes.
type usage struct{ checks, sent, received int }

// outcome is that of a check under way.
type outcome struct {
	node     int
	database subset.DatabaseID
	answered bool
}

func newTier(config Config) *tier {
	plan := healthcheck.NewPlan(healthcheck.Settings{Proxies: config.Proxies, Databases: config.Databases, MessagesAllowed: true,
		ChecksPerSecond: config.ChecksPerSecond, BytesPerSecond: config.BytesPerSecond})
	t := &tier{config: config, now: begin, began: begin, lost: noZone, relay: healthcheck.NewRelay(healthcheck.Config{Plan: plan}),
		running: map[time.Duration][]outcome{}, second: make([]usage, config.Proxies)}
	for i := range config.Proxies {
		t.proxies = append(t.proxies, subset.Proxy{ID: subset.ProxyID(i + 1), Zone: fmt.Sprint("zone-", i%config.Zones)})
	}
	for i := range config.Databases {
		t.databases = append(t.databases, subset.DatabaseID(i+1))
	}
	assignment := subset.NewAssignment(subset.Config{Checkers: plan.Checkers, Seed: config.Seed})
	for i, p := range t.proxies {
		n := healthcheck.NewNodeWithAssignment(t.now, healthcheck.Config{Self: p, Epoch: 1, Seed: config.Seed, Plan: plan}, assignment)
		n.SetDatabases(t.now, t.databases)
		n.SetTier(t.now, t.proxies)
		first := i * usedByAProxy % config.Databases
		n.SetUsed(t.now, t.databases[first:min(first+usedByAProxy, config.Databases)])
		t.nodes = append(t.nodes, n)
		t.relay.Attach(t.now, p.ID)
	}
	return t
}

func (t *tier) gone(node int) bool { return node%t.config.Zones == t.lost }

func (t *tier) answers(id subset.DatabaseID) bool {
	return id != t.down && int(id-1)%t.config.Zones != t.lost
}

func (t *tier) run(lasts time.Duration) {
	for end := t.now + lasts; t.now < end; t.now += tick {
		if t.now%time.Second == 0 {
			t.closeSecond()
		}
		t.finishChecks()
		t.relay.Tick(t.now)
		for i := range t.nodes {
			if !t.gone(i) {
				t.step(i)
			}
		}
	}
}

func (t *tier) finishChecks() {
	for _, o := range t.running[t.now] {
		if !t.gone(o.node) {
			t.nodes[o.node].CompleteCheck(t.now, o.database, healthcheck.Observation{Answered: o.answered, Role: subset.Replica})
		}
	}
	delete(t.running, t.now)
}

// step hands a proxy its digest, and carries out its orders.
func (t *tier) step(i int) {
	n, used, clock := t.nodes[i], &t.second[i], wire.Clock{Unix: t.now, Now: t.now}
	if digest, ok := t.relay.NextDigest(t.now, t.proxies[i].ID); ok {
		t.buf = wire.AppendDigest(t.buf[:0], clock, digest)
		used.received += len(t.buf) + healthcheck.PacketBytes
		n.ReceiveDigest(t.now, digest)
	}
	orders := n.Tick(t.now)
	used.checks += len(orders.Checks)
	for _, id := range orders.Checks {
		at, ok := t.now+tick, t.answers(id)
		if !ok {
			at = t.now + healthcheck.CheckTimeout
		}
		t.running[at] = append(t.running[at], outcome{i, id, ok})
	}
	for _, m := range orders.Messages {
		t.buf = wire.AppendMessage(t.buf[:0], clock, m)
		used.sent += len(t.buf) + healthcheck.PacketBytes
		t.relay.Receive(t.now, m)
	}
}

// closeSecond adds the second that ends to the phase.
func (t *tier) closeSecond() {
	for i, u := range t.second {
		t.total.checks += u.checks
		t.total.sent += u.sent
		t.total.received += u.received
		t.most.checks = max(t.most.checks, u.checks)
		t.most.sent = max(t.most.sent, u.sent)
		t.most.received = max(t.most.received, u.received)
		t.second[i] = usage{}
	}
}

// phase gives what was counted since the last one.
func (t *tier) phase(name string) Phase {
	t.closeSecond()
	lasted := t.now - t.began
	living := 0
	for i := range t.nodes {
		if !t.gone(i) {
			living++
		}
	}
	per := float64(living) * lasted.Seconds()
	p := Phase{Name: name, Lasted: lasted, Checks: float64(t.total.checks) / per, Sent: float64(t.total.sent) / per,
		Received: float64(t.total.received) / per, MostChecks: t.most.checks, MostSent: t.most.sent, MostIn: t.most.received}
	t.began, t.total, t.most = t.now, usage{}, usage{}
	return p
}

func (t *tier) deathPhase(name string, known time.Duration, doubted float64) Phase {
	p := t.phase(name)
	p.Known, p.Doubted = known, doubted
	return p
}

// untilKnown runs until every proxy looked at ejects or doubts every dead database.
func (t *tier) untilKnown() (took time.Duration, doubted float64) {
	for from := t.now; t.now < from+knownWithin; {
		t.run(time.Second)
		if dead, doubts, missing := t.verdicts(); missing == 0 {
			return t.now - from, float64(doubts) / float64(dead)
		}
	}
	return -1, 0
}

// verdicts counts what the proxies looked at conclude of the dead databases.
func (t *tier) verdicts() (dead, doubted, missing int) {
	for i := 0; i < len(t.nodes); i += sample {
		for _, id := range t.databases {
			if t.gone(i) || t.answers(id) {
				continue
			}
			dead++
			switch t.nodes[i].Verdict(t.now, id).State {
			case healthcheck.Ejected:
			case healthcheck.Suspect:
				doubted++
			default:
				missing++
			}
		}
	}
	return dead, doubted, missing
}
