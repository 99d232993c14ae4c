// Package largefleet runs the real program on loopback before many more databases than its traffic needs, on a small share of a core, and
// counts the requests that got no answer in time. It reproduces the incident in docs/incidents/2026-12-03-large-fleet.md.
//
// The share of a core is kept by stopping and continuing the process (SIGSTOP, SIGCONT), as a quota of processor time does. Databases,
// discovery and peers are stand-ins in this process. It judges by the protocol's rule: an answer counts up to half a second past the time
// that the client waits.
package largefleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/procstat"
	"havenproxy/internal/lab/standin"
)

// Config describes a run.
type Config struct {
	Binary    string
	Databases int           // in groups of GroupSize
	Proxies   int           // of the tier; all but one are simulated
	Share     float64       // of a core that the proxy gets
	Rate      float64       // requests a second
	For       time.Duration // how long requests come
	Fault     Fault
	Reloads   int // SIGHUPs, spread evenly over the run
	Seed      uint64
	Log       io.Writer // of the proxy; nil = dropped
}

// GroupSize is the number of databases in a group.
const GroupSize = 4

// Result is what came of a run.
type Result struct {
	Outcomes    [outcomes]int
	Lost        []Lost
	CPU         time.Duration // of the proxy, user and system
	Memory      int64         // the most that it held, in bytes
	Descriptors int           // at the end of the requests
	Opened      uint64        // connections to databases
	Probes      uint64        // health checks that databases received
}

// Outcome is how a request ended for its client.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota
	Refused
	Failed
	Unanswered // within the client's time and the grace behind it
	outcomes
)

// Lost is a request without an answer.
type Lost struct {
	ID    string
	At    time.Duration // since the first request
	Group int
	Wait  time.Duration
	Why   string
}

// stopPatience is how long the proxy may take to end: the longest deadline, the time for its last answers, and what its share of a core
// makes of that.
const stopPatience = 20 * time.Second

// Run starts databases and a proxy, plays the requests and stops all.
func Run(ctx context.Context, cfg Config) (result *Result, err error) {
	if cfg.Databases < GroupSize || cfg.Share <= 0 || cfg.Share > 1 || cfg.Rate <= 0 || cfg.For <= 0 {
		return nil, fmt.Errorf("largefleet: %d databases, a share of %v, %v requests a second for %v", cfg.Databases, cfg.Share, cfg.Rate, cfg.For)
	}
	model := fleet.Config{Seed: cfg.Seed, Groups: cfg.Databases / GroupSize, Members: GroupSize, Zones: launch.Zones(), Classes: launch.Classes()}
	world, err := standin.New(model, nil)
	if err != nil {
		return nil, err
	}
	defer world.Close()
	tier, err := newPeers(cfg.Proxies)
	if err != nil {
		return nil, err
	}
	defer tier.close()
	proxy, err := launch.Start(ctx, world, model, launch.Options{Binary: cfg.Binary, Fronts: cfg.Proxies, Seed: cfg.Seed, Known: true, Cores: 1,
		Sockets: 512, MemoryMB: 80, Log: cfg.Log, Peers: tier.addresses, PeersAll: tier.all})
	if err != nil {
		return nil, err
	}
	quota := throttle(proxy.Pid(), cfg.Share)
	defer func() {
		quota.end()
		err = errors.Join(err, proxy.Stop(stopPatience))
		if result != nil {
			result.CPU, result.Memory = proxy.Usage()
		}
	}()
	clients := newClients(proxy.Address, model.Classes, model.Groups, rand.New(rand.NewPCG(cfg.Seed, 1)))
	playing, stop := context.WithCancel(ctx)
	defer stop()
	silent := &faulty{}
	go cfg.reload(playing, proxy)
	go cfg.Fault.play(playing, world, &cfg, silent)
	go tier.talk(playing, world, &cfg, silent)
	result = clients.run(ctx, cfg.Rate, cfg.For)
	result.Descriptors = procstat.Descriptors(proxy.Pid())
	result.Opened, result.Probes = world.Accepted(), world.Traffic()[standin.ProbeTraffic].Read.Messages
	return result, ctx.Err()
}

// reload sends the run's SIGHUPs.
func (c *Config) reload(ctx context.Context, proxy *launch.Proxy) {
	for range c.Reloads {
		if !wait(ctx, c.For/time.Duration(c.Reloads+1)) {
			return
		}
		proxy.Reload()
	}
}
