// Package hostile runs the real program on loopback under a deployment's limits (one processor, its memory, its
// descriptors) while hostile clients of several kinds send cheap or unsound input beside well-behaved ones. It tells the
// peak of the process's memory, and what the well-behaved clients were answered and when.
//
// Like the platform, it kills the process once its memory is over the limit. It does not judge: callers compare the result
// with the limits and with a run without hostile clients.
package hostile

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/procstat"
	"havenproxy/internal/lab/standin"
)

// Config describes a run.
type Config struct {
	Binary   string
	Kinds    []Kind        // of hostile clients, all at once; none = a quiet run
	For      time.Duration // how long they send
	MemoryMB int           // the limit; 64
	Sockets  int           // the limit of descriptors; 512
	Pin      int           // the one CPU that the program may use, counted from 1; 0 = any
	Cores    int           // GOMAXPROCS of the program; 1
	Busy     int           // busy processes on that CPU
	Clients  int           // well-behaved ones; 4
	Seed     uint64
	Log      io.Writer // of the proxy; nil = dropped
}

// Result is what came of a run.
type Result struct {
	Answers
	Peak        int64         // the most memory that the process held, in bytes
	Killed      bool          // it was killed, being over its limit
	EndedByIt   bool          // the process ended by itself
	CPU         time.Duration // of the process, user and system
	Descriptors int           // the most that it held
	RigDelay    time.Duration // how late this program's own timers ran at most, which is part of all latencies
}

// OverLimit reports whether the process held more than its memory limit.
func (r *Result) OverLimit(c *Config) bool { return r.Killed || r.Peak > int64(c.MemoryMB)<<20 }

// String tells the result in a line.
func (r *Result) String() string {
	return fmt.Sprintf("served %d, refused %d, failed %d, closed %d, unanswered %d; p50 %.1f, p99 %.1f, longest %.1f ms; peak %d MB, CPU %.2f s, "+
		"descriptors %d, killed %v, rig late by %v", r.Served, r.Refused, r.Failed, r.Closed, r.Unanswered, r.quantile(50), r.quantile(99), r.quantile(100),
		r.Peak>>20, r.CPU.Seconds(), r.Descriptors, r.Killed, r.RigDelay.Round(time.Millisecond))
}

const (
	// statementWork is what a statement costs a database: little, so that what the proxy adds shows.
	statementWork = 4 * time.Millisecond
	settleTime    = 700 * time.Millisecond // from the start until the proxy knows its databases
	stopPatience  = 6 * time.Second
)

// WithDefaults returns the configuration with defaults for what is not set.
func (c Config) WithDefaults() Config {
	setDefault(&c.MemoryMB, 64)
	setDefault(&c.Sockets, 512)
	setDefault(&c.Cores, 1)
	setDefault(&c.Clients, 4)
	if c.For == 0 {
		c.For = 4 * time.Second
	}
	return c
}

func setDefault(value *int, otherwise int) {
	if *value == 0 {
		*value = otherwise
	}
}

// Model is the fleet of databases that runs are played before.
func Model(seed uint64) fleet.Config {
	classes := launch.Classes()
	for i := range classes {
		classes[i].Work = fleet.Span{From: statementWork, To: statementWork}
	}
	return fleet.Config{Seed: seed, Groups: 3, Members: 3, Zones: launch.Zones(), Classes: classes}
}

// Run starts databases and a proxy, plays the clients and stops all.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	cfg = cfg.WithDefaults()
	if err := checkKinds(cfg.Kinds); err != nil {
		return nil, err
	}
	model := Model(cfg.Seed)
	world, err := standin.New(model, nil)
	if err != nil {
		return nil, err
	}
	defer world.Close()
	cpus := Divide(cfg.Pin)
	defer cpus.Apply()()
	peer, err := NewPeerSocket()
	if err != nil {
		return nil, err
	}
	defer peer.Close()
	peerAddress := peer.LocalAddr().String()
	operator, err := WriteOperatorFile()
	if err != nil {
		return nil, err
	}
	defer os.Remove(operator)
	proxy, err := launch.Start(ctx, world, model, launch.Options{Binary: cfg.Binary, Seed: cfg.Seed, Known: true, Cores: cfg.Cores, Pin: cfg.Pin,
		Sockets: cfg.Sockets, MemoryMB: cfg.MemoryMB, Log: cfg.Log, Operator: operator, Admin: true, Peers: []string{peerAddress}, PeersAll: peerAddress})
	if err != nil {
		return nil, err
	}
	if err := procstat.LimitDescriptors(proxy.Pid(), cfg.Sockets); err != nil {
		return nil, errors.Join(err, proxy.Stop(stopPatience))
	}
	for range cfg.Busy {
		busy, err := startBusy(cfg.Pin)
		if err != nil {
			return nil, errors.Join(err, proxy.Stop(stopPatience))
		}
		defer endBusy(busy)
	}
	target := &Target{Postgres: proxy.Address, MySQL: proxy.MySQL, Admin: proxy.Admin, Peers: proxy.Peers, Peer: peer, Model: model}
	result, err := cfg.play(ctx, proxy, target, cpus)
	if err != nil {
		return nil, errors.Join(err, proxy.Stop(stopPatience))
	}
	err = proxy.Stop(stopPatience)
	result.CPU, _ = proxy.Usage()
	if result.Killed {
		err = nil // by the monitor
	}
	return result, err
}

// WriteOperatorFile writes a file that opens an address for MySQL's clients; all databases that there are speak PostgreSQL.
func WriteOperatorFile() (path string, err error) {
	file, err := os.CreateTemp("", "hostile-*.star")
	if err != nil {
		return "", err
	}
	defer file.Close()
	_, err = file.WriteString("mysql(listen = \"127.0.0.1:0\", groups = [1000])\n")
	return file.Name(), err
}

// play lets all clients send for the run's time.
func (c *Config) play(ctx context.Context, proxy *launch.Proxy, target *Target, cpus *Division) (*Result, error) {
	time.Sleep(settleTime)
	watch := StartMonitor(proxy.Pid(), int64(c.MemoryMB)<<20)
	playing, stop := context.WithTimeout(ctx, c.For)
	defer stop()
	endAttack, err := Attack(target, c.Kinds, cpus, c.Seed, c.For)
	if err != nil {
		watch.End()
		return nil, err
	}
	defer endAttack()
	well := NewClients(target, c.Seed)
	var all sync.WaitGroup
	for i := range c.Clients {
		all.Go(func() { well.Run(playing, i) })
	}
	select {
	case <-playing.Done():
	case <-proxy.Ended():
		stop()
	}
	all.Wait()
	result := &Result{Answers: well.Answers()}
	select {
	case <-proxy.Ended():
		result.EndedByIt = true
	default:
	}
	seen := watch.End()
	result.Peak, result.Killed, result.Descriptors, result.RigDelay = seen.Peak, seen.Killed, seen.Descriptors, seen.Delay
	result.EndedByIt = result.EndedByIt && !seen.Killed
	return result, nil
}

// startBusy starts a process that uses a CPU as far as it gets it.
func startBusy(pin int) (*exec.Cmd, error) {
	cmd := exec.Command("/bin/sh", "-c", "while :; do :; done")
	return cmd, launch.StartPinned(cmd, pin)
}

func endBusy(cmd *exec.Cmd) {
	cmd.Process.Kill()
	cmd.Wait()
}
