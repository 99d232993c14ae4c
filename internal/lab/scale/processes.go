package scale

import (
	"context"
	"fmt"
	"time"

	"havenproxy/internal/lab/scale/analysis"
	"havenproxy/internal/lab/tier"
)

const (
	planners       = 3
	plannerWindow  = 5 * time.Second // in which planners are measured
	plannerChanges = 2               // of policy in it
	joinPatience   = time.Minute
	clientSockets  = 200
	// realProxySockets is what a real proxy may open: a quarter of it is for databases.
	realProxySockets = 16384
	spareDescriptors = 256 // of this process: files, pipes, clients
)

// measureProcesses measures real processes on loopback at a size: planners with a link of each proxy's side, which it adds to the
// model's measurement, and a proxy before databases that speak PostgreSQL. The links and the databases are this process's.
func (c *Config) measureProcesses(ctx context.Context, model *analysis.Measurement) (onSockets analysis.Measurement, err error) {
	size := model.Size
	if c.Lease > 0 {
		if model.Processes, err = c.measurePlanners(ctx, size); err != nil {
			return onSockets, fmt.Errorf("planners at %v: %w", size, err)
		}
	}
	onSockets, err = c.measureProxy(ctx, size, model.Vary)
	if err != nil {
		return onSockets, fmt.Errorf("real proxy at %v: %w", size, err)
	}
	return onSockets, nil
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

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
