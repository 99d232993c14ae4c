package scale

import (
	"context"
	"fmt"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/load"
	"havenproxy/internal/lab/procstat"
	"havenproxy/internal/lab/scale/analysis"
	"havenproxy/internal/lab/standin"
	"havenproxy/internal/lab/tier"
)

const (
	planners       = 3
	plannerWindow  = 5 * time.Second // in which planners are measured
	plannerChanges = 2               // of policy in it
	joinPatience   = time.Minute
	realProxies    = 1 // beside the hollow ones
	clientSockets  = 200
	// realProxySockets is what a real proxy may open: a quarter of it is for databases.
	realProxySockets = 16384
	spareDescriptors = 256 // of this process: files, pipes, clients
)

// measureProcesses measures real processes on loopback at a size: planners with a link of each proxy's side, and a proxy before
// databases that speak PostgreSQL. The links and the databases are this process's.
func (c *Config) measureProcesses(ctx context.Context, size analysis.Size) ([]analysis.Process, error) {
	var out []analysis.Process
	if c.Lease > 0 {
		list, err := c.measurePlanners(ctx, size)
		if err != nil {
			return nil, fmt.Errorf("planners at %v: %w", size, err)
		}
		out = append(out, list...)
	}
	list, err := c.measureProxy(ctx, size)
	if err != nil {
		return nil, fmt.Errorf("real proxy at %v: %w", size, err)
	}
	return append(out, list...), nil
}

// descriptorsFor tells how many descriptors this process needs beside real processes: the links' ends, or the databases' listeners and
// connections, which are measured one behind the other.
func descriptorsFor(size analysis.Size) int {
	connections := min(realProxySockets/4, 3*size.Databases)
	return spareDescriptors + max(size.Proxies, size.Databases+connections+clientSockets)
}

func (c *Config) measurePlanners(ctx context.Context, size analysis.Size) ([]analysis.Process, error) {
	bound, cancel := context.WithTimeout(ctx, plannerWindow+joinPatience)
	defer cancel()
	links := tier.Links{Binary: c.Binary, Planners: planners, Links: size.Proxies, Lease: c.Lease, For: plannerWindow, Changes: plannerChanges, Size: policySize}
	cost, err := links.Measure(bound)
	if err != nil {
		return nil, err
	}
	var out []analysis.Process
	for i := range cost.CPU {
		p := analysis.Process{Role: analysis.RoleFollower, Name: fmt.Sprintf("planner %d", i+1), CPU: constant(cost.CPU[i], plannerWindow),
			Memory: constant(float64(cost.Resident[i]), plannerWindow)}
		if i == 0 { // all links lead to the leader
			p.Role = analysis.RoleLeader
			p.Sent, p.Received = constant(cost.Heard, plannerWindow), constant(cost.Sent, plannerWindow)
		}
		out = append(out, p)
	}
	return out, nil
}

// constant is a sample of which only the mean over a window is known.
func constant(mean float64, window time.Duration) analysis.Sample {
	return analysis.Sample{Mean: mean, Peak: mean, Seconds: int(window / time.Second)}
}

// measureProxy measures a real proxy without requests, and then with them.
func (c *Config) measureProxy(ctx context.Context, size analysis.Size) ([]analysis.Process, error) {
	cfg := c.modelConfig(size).Fleet
	world, err := standin.New(cfg, nil)
	if err != nil {
		return nil, err
	}
	defer world.Close()
	proxy, err := launch.Start(ctx, world, cfg, launch.Options{Binary: c.Binary, Sockets: realProxySockets, Fronts: size.Proxies, Seed: c.Seed})
	if err != nil {
		return nil, err
	}
	defer proxy.Stop(6 * time.Second)
	sleep(ctx, c.Settle)
	idle := watchProcess(ctx, proxy.Pid(), c.For)
	idle.Role, idle.Name = analysis.RoleProxy, "proxy without requests"
	loaded := make(chan error, 1)
	go func() { loaded <- c.loadProxy(ctx, proxy.Address, cfg) }()
	sleep(ctx, c.Settle)
	busy := watchProcess(ctx, proxy.Pid(), c.For)
	busy.Role, busy.Name = analysis.RoleProxy, fmt.Sprintf("proxy, %.0f requests/s", c.Rate)
	return []analysis.Process{idle, busy}, <-loaded
}

// loadProxy lets clients ask a real proxy, at the rate of a hollow one.
func (c *Config) loadProxy(ctx context.Context, address string, cfg fleet.Config) error {
	shares := launch.Shares()
	var classes []load.Class
	for i, class := range cfg.Classes {
		classes = append(classes, load.Class{Class: class.Class, Share: shares[i], LateWorth: class.Late})
	}
	result, err := load.Run(ctx, load.Config{Address: address, Seed: c.Seed, Classes: classes, Groups: cfg.Groups, Sockets: clientSockets,
		Rate: func(time.Duration) float64 { return c.Rate }, For: c.Settle + c.For})
	if err == nil && result.Worth == 0 {
		err = fmt.Errorf("no request was served")
	}
	return err
}

// watchProcess looks at a process once a second.
func watchProcess(ctx context.Context, pid int, window time.Duration) analysis.Process {
	cpu, memory, descriptors := newTally(1), newTally(1), newTally(1)
	used, _ := procstat.Usage(pid)
	began := time.Now()
	for time.Since(began) < window && ctx.Err() == nil {
		second := time.Now()
		sleep(ctx, time.Second)
		now, resident := procstat.Usage(pid)
		cpu.add(0, (now-used).Seconds()/time.Since(second).Seconds())
		memory.add(0, float64(resident))
		descriptors.add(0, float64(procstat.Descriptors(pid)))
		used = now
		for _, t := range []*tally{cpu, memory, descriptors} {
			t.roll()
		}
	}
	return analysis.Process{CPU: cpu.total(), Memory: memory.total(), Descriptors: descriptors.total()}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
