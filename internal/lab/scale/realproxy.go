package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/load"
	"havenproxy/internal/lab/procstat"
	"havenproxy/internal/lab/scale/analysis"
	"havenproxy/internal/lab/standin"
)

// socketsTransport says what carried messages between the real proxy and the stand-ins.
const socketsTransport = "one real havenproxy on loopback TCP, told of as many proxies as the size has; payload as its databases and discovery count it; no peers, no planners"

// SocketsVariant is the name under which the real proxy's measurements stand beside a variant's.
func SocketsVariant(variant string) string { return variant + ", real proxy" }

// standinKinds are the analysis's names of what stand-ins count.
var standinKinds = [standin.TrafficKinds]analysis.Kind{standin.ProbeTraffic: analysis.KindProbe, standin.RequestTraffic: analysis.KindRequest,
	standin.ListTraffic: analysis.KindList}

// watched is what a real proxy used, second by second.
type watched struct {
	cpu, memory, descriptors, controlBytes *tally
	traffic                                [standin.TrafficKinds][2]traffic
}

func newWatched() *watched {
	w := &watched{cpu: newTally(1), memory: newTally(1), descriptors: newTally(1), controlBytes: newTally(1)}
	for kind := range w.traffic {
		for direction := range w.traffic[kind] {
			w.traffic[kind][direction] = traffic{newTally(1), newTally(1)}
		}
	}
	return w
}

// measureProxy measures a real proxy without requests, and then with them.
func (c *Config) measureProxy(ctx context.Context, size analysis.Size, axis analysis.Axis) (m analysis.Measurement, err error) {
	cfg := c.modelConfig(size).Fleet
	world, err := standin.New(cfg, nil)
	if err != nil {
		return m, err
	}
	defer world.Close()
	proxy, err := launch.Start(ctx, world, cfg, launch.Options{Binary: c.Binary, Sockets: realProxySockets, Fronts: size.Proxies, Seed: c.Seed})
	if err != nil {
		return m, err
	}
	defer func() { err = errors.Join(err, proxy.Stop(6*time.Second)) }()
	sleep(ctx, c.Settle)
	idle := watch(ctx, proxy.Pid(), world, c.For)
	loaded := make(chan error, 1)
	go func() { loaded <- c.loadProxy(ctx, proxy.Address, cfg) }()
	sleep(ctx, c.Settle)
	busy := watch(ctx, proxy.Pid(), world, c.For)
	if err := <-loaded; err != nil {
		return m, err
	}
	m = busy.measurement()
	m.Size, m.Seed, m.Vary, m.Variant, m.Seconds, m.Transport = size, c.Seed, axis, SocketsVariant(c.Variant), c.For.Seconds(), socketsTransport
	m.ControlCPU = idle.cpu.total()
	m.Processes = []analysis.Process{idle.process("proxy without requests"), busy.process(fmt.Sprintf("proxy, %.0f requests/s", c.Rate))}
	return m, ctx.Err()
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
		err = errors.New("no request was served")
	}
	return err
}

// watch looks at a proxy and at what it exchanges with a world, once a second.
func watch(ctx context.Context, pid int, world *standin.World, window time.Duration) *watched {
	w := newWatched()
	used, _ := procstat.Usage(pid)
	before, last := world.Traffic(), time.Now()
	for range int(window / time.Second) {
		if sleep(ctx, time.Second); ctx.Err() != nil {
			break
		}
		now, resident := procstat.Usage(pid)
		counted, took := world.Traffic(), time.Since(last)
		w.cpu.add(0, (now-used).Seconds()/took.Seconds())
		w.memory.add(0, float64(resident))
		w.descriptors.add(0, float64(procstat.Descriptors(pid)))
		w.count(&before, &counted, took)
		used, before, last = now, counted, last.Add(took)
		w.roll()
	}
	return w
}

// count adds what stand-ins counted between two looks, as one second's. What they read the proxy has sent.
func (w *watched) count(before, now *standin.Traffic, took time.Duration) {
	for kind := range now {
		for direction, pair := range [2][2]standin.Count{{before[kind].Read, now[kind].Read}, {before[kind].Written, now[kind].Written}} {
			t, bytes := w.traffic[kind][direction], float64(pair[1].Bytes-pair[0].Bytes)/took.Seconds()
			t.messages.add(0, float64(pair[1].Messages-pair[0].Messages)/took.Seconds())
			t.bytes.add(0, bytes)
			if standinKinds[kind].Control() {
				w.controlBytes.add(0, bytes)
			}
		}
	}
}

func (w *watched) roll() {
	all := []*tally{w.cpu, w.memory, w.descriptors, w.controlBytes}
	for kind := range w.traffic {
		for _, t := range w.traffic[kind] {
			all = append(all, t.messages, t.bytes)
		}
	}
	for _, t := range all {
		t.roll()
	}
}

func (w *watched) process(name string) analysis.Process {
	return analysis.Process{Role: analysis.RoleProxy, Name: name, CPU: w.cpu.total(), Memory: w.memory.total(), Descriptors: w.descriptors.total()}
}

// measurement puts what was watched into the analysis's terms. The directions are in the order of count.
func (w *watched) measurement() (m analysis.Measurement) {
	for kind := range w.traffic {
		for direction, t := range w.traffic[kind] {
			m.Traffic = append(m.Traffic, analysis.Traffic{Kind: standinKinds[kind], Direction: directions[direction],
				Messages: t.messages.total(), Bytes: t.bytes.total()})
		}
	}
	m.ControlBytes, m.TotalCPU, m.Memory, m.Descriptors = w.controlBytes.total(), w.cpu.total(), w.memory.total(), w.descriptors.total()
	m.ProbesPerProxy = w.traffic[standin.ProbeTraffic][0].messages.total()
	m.RequestsPerProxy = w.traffic[standin.RequestTraffic][0].messages.total()
	return m
}
