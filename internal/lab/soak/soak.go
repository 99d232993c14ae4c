package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/hostile"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/procstat"
	"havenproxy/internal/lab/standin"
)

const (
	// killAfter is the earliest at which SIGKILL follows SIGTERM: the longest deadline and 0.7 s.
	killAfter = 3*time.Second + 700*time.Millisecond
	// restartAfter is how long an ended process is gone, as in the records of incident 58.
	restartAfter = time.Second
	clients      = 6
)

// Config describes a run.
type Config struct {
	Binary string
	Seed   uint64
	Length time.Duration // of the plan
	Pin    int           // the one CPU that the program may use, counted from 1; 0 = any
	Log    io.Writer     // of the program; nil = dropped
}

// Result is what came of a run.
type Result struct {
	Plan *Plan
	hostile.Answers
	Lives    int
	Peak     int64 // the most memory that any of its processes held
	OverMB   int   // processes that passed the limit
	ByItself int   // processes that ended by themselves
	Reports  []string
}

// Faults tells what broke a rule.
func (r *Result) Faults() (faults []string) {
	if r.OverMB > 0 {
		faults = append(faults, fmt.Sprintf("%d processes passed the memory limit", r.OverMB))
	}
	if r.ByItself > 0 {
		faults = append(faults, fmt.Sprintf("%d processes ended by themselves", r.ByItself))
	}
	if r.Unanswered > 0 {
		faults = append(faults, fmt.Sprintf("%d requests had no answer in time", r.Unanswered))
	}
	if r.Closed > 0 && !r.Plan.Crowd {
		faults = append(faults, fmt.Sprintf("%d requests were closed without an answer", r.Closed))
	}
	if r.Served == 0 {
		faults = append(faults, "no request was served")
	}
	return append(faults, r.Reports...)
}

// String tells the result in a line.
func (r *Result) String() string {
	return fmt.Sprintf("lives %d, peak %d of %d MB, served %d, refused %d, failed %d, closed %d, unanswered %d, crossed %d, excused %d, p99 %v, longest %v",
		r.Lives, r.Peak>>20, r.Plan.MemoryMB, r.Served, r.Refused, r.Failed, r.Closed, r.Unanswered, r.Crossed, r.Excused,
		r.P99().Round(time.Millisecond/10), r.Longest.Round(time.Millisecond/10))
}

// run is a run under way.
type run struct {
	Config
	plan    *Plan
	model   fleet.Config
	world   *standin.World
	peer    *net.UDPConn
	target  *hostile.Target
	clients *hostile.Clients
	cpus    *hostile.Division
	options launch.Options
	result  Result

	proxy     *launch.Proxy
	watch     *hostile.Monitor
	endAttack func()
	log       launch.Lines
}

// Run plays the plan of a seed.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	r := &run{Config: cfg, plan: Draw(cfg.Seed, cfg.Length), model: hostile.Model(cfg.Seed)}
	r.result.Plan = r.plan
	var err error
	if r.world, err = standin.New(r.model, nil); err != nil {
		return nil, err
	}
	defer r.world.Close()
	if r.peer, err = hostile.NewPeerSocket(); err != nil {
		return nil, err
	}
	defer r.peer.Close()
	operator, err := hostile.WriteOperatorFile()
	if err != nil {
		return nil, err
	}
	defer os.Remove(operator)
	listen, err := freeAddress(cfg.Seed)
	if err != nil {
		return nil, err
	}
	r.cpus = hostile.Divide(cfg.Pin)
	defer r.cpus.Apply()()
	log := io.Writer(&r.log)
	if cfg.Log != nil {
		log = io.MultiWriter(&r.log, cfg.Log)
	}
	peer := r.peer.LocalAddr().String()
	r.options = launch.Options{Binary: cfg.Binary, Listen: listen, Seed: cfg.Seed, Known: true, Cores: 1, Pin: cfg.Pin, Operator: operator, Admin: true,
		MemoryMB: r.plan.MemoryMB, Sockets: r.plan.Sockets, Peers: []string{peer}, PeersAll: peer, Log: log}
	err = r.play(ctx)
	r.result.Answers = r.clients.Answers()
	r.reportLog()
	return &r.result, err
}

// play starts the first process and the clients, and takes the plan's steps.
func (r *run) play(ctx context.Context) error {
	r.target = &hostile.Target{Postgres: r.options.Listen, Peer: r.peer, Model: r.model}
	r.clients = hostile.NewClients(r.target, r.Seed)
	if err := r.start(ctx); err != nil {
		return err
	}
	playing, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() { r.clients.Run(playing, i) })
	}
	var err error
	for _, step := range r.plan.Steps {
		if err = r.take(ctx, step); err != nil {
			break
		}
	}
	stop()
	all.Wait()
	return errors.Join(err, r.end(syscall.SIGTERM))
}

// start starts a process, and hostile clients for it.
func (r *run) start(ctx context.Context) (err error) {
	r.result.Lives++
	if r.proxy, err = launch.Start(ctx, r.world, r.model, r.options); err != nil {
		return err
	}
	if err := procstat.LimitDescriptors(r.proxy.Pid(), r.plan.Sockets); err != nil {
		return err
	}
	r.watch = hostile.StartMonitor(r.proxy.Pid(), int64(r.plan.MemoryMB)<<20)
	r.target.MySQL, r.target.Admin, r.target.Peers = r.proxy.MySQL, r.proxy.Admin, r.proxy.Peers
	r.endAttack, err = hostile.Attack(r.target, r.plan.Kinds, r.cpus, r.Seed+uint64(r.result.Lives), r.Length+time.Minute)
	return err
}

// take waits for a step and takes it.
func (r *run) take(ctx context.Context, step Step) error {
	select {
	case <-r.proxy.Ended():
		return r.restart(ctx, syscall.SIGKILL) // by the monitor, or by itself: end tells which
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(step.After):
	}
	pid := r.proxy.Pid()
	switch step.Do {
	case Reload:
		return r.proxy.Reload()
	case Counters:
		return syscall.Kill(pid, syscall.SIGUSR1)
	case Pause:
		syscall.Kill(pid, syscall.SIGSTOP)
		time.Sleep(minPause + rand.N(maxPause-minPause))
		return syscall.Kill(pid, syscall.SIGCONT)
	case End:
		return r.restart(ctx, syscall.SIGTERM)
	}
	return r.restart(ctx, syscall.SIGKILL)
}

// restart ends the process and starts another one.
func (r *run) restart(ctx context.Context, signal syscall.Signal) error {
	if err := r.end(signal); err != nil {
		return err
	}
	time.Sleep(restartAfter)
	err := r.start(ctx)
	r.clients.Killing(false)
	return err
}

// end ends the process. After SIGTERM clients go on until it has ended, or is killed at the earliest that the operators allow.
func (r *run) end(signal syscall.Signal) error {
	defer r.endAttack()
	byItself := false
	select {
	case <-r.proxy.Ended():
		byItself = true
	default:
	}
	if signal == syscall.SIGTERM && !byItself {
		r.clients.Stopping(true)
		r.proxy.Terminate()
		select {
		case <-r.proxy.Ended():
		case <-time.After(killAfter):
		}
	}
	r.clients.Killing(true)
	r.proxy.Kill()
	r.clients.Stopping(false)
	seen := r.watch.End()
	r.result.Peak = max(r.result.Peak, seen.Peak)
	switch {
	case seen.Killed:
		r.result.OverMB++
	case byItself:
		r.result.ByItself++
	}
	return nil
}

// reportLog looks for lines of the log that no process may write.
func (r *run) reportLog() {
	for _, line := range r.log.All() {
		if strings.HasPrefix(line, "panic") || strings.HasPrefix(line, "fatal error") || strings.Contains(line, "level=ERROR") {
			r.result.Reports = append(r.result.Reports, line)
		}
	}
}

// Addresses for the proxy come from below the range from which the kernel takes those of outgoing connections, so that the proxy finds its
// own free again.
const firstPort, ports = 20000, 10000

func freeAddress(seed uint64) (string, error) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var err error
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rng.IntN(ports))
		listener, listenErr := net.Listen("tcp", address)
		if listenErr == nil {
			return address, listener.Close()
		}
		err = listenErr
	}
	return "", err
}
