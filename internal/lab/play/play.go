// Package play runs a scenario on the real clock: stand-ins, the real program before them, load, faults at their times.
package play

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/history"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/load"
	"havenproxy/internal/lab/scenario"
	"havenproxy/internal/lab/standin"
)

// Run is what a run came to.
type Run struct {
	Scenario string        `json:"scenario"`
	Seed     uint64        `json:"seed"`
	Load     *load.Result  `json:"load"`
	CPU      time.Duration `json:"proxy_cpu_ns"`
	Memory   int64         `json:"proxy_memory_bytes"` // the most that it held
	Log      []string      `json:"proxy_log"`
	Events   []string      `json:"events"`

	// Of a scenario whose fleet is audited: writes whose history no group may have.
	Violations []string `json:"violations,omitempty"`
}

// Count tells how many lines of the proxy's log hold a text.
func (r *Run) Count(text string) (n int) {
	for _, line := range r.Log {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// audit is how long what failed has to take effect before keys are counted.
const audit = 5 * time.Second

// Settle is how long the program gets to know its databases before the load begins.
const Settle = time.Second

// Play plays a scenario once.
func Play(ctx context.Context, s *scenario.Scenario, seed uint64, o launch.Options, progress func(time.Duration, load.Sample)) (*Run, error) {
	run := &Run{Scenario: s.Name, Seed: seed}
	var mu sync.Mutex
	cfg := s.Fleet
	cfg.Seed = seed
	var began time.Duration
	speaksMySQL := strings.HasPrefix(s.Protocol, "mysql")
	w, err := standin.New(cfg, func(at time.Duration, text string) {
		mu.Lock()
		defer mu.Unlock()
		run.Events = append(run.Events, fmt.Sprintf("%8.3f %s", (at-began).Seconds(), text))
	}, standin.MySQL(speaksMySQL))
	if err != nil {
		return nil, err
	}
	defer w.Close()
	var log launch.Lines
	o.Log, o.Seed = &log, seed
	if o.Cores == 0 {
		o.Cores = s.Cores
	}
	o.MySQL = speaksMySQL
	p, err := launch.Start(ctx, w, cfg, o)
	if err != nil {
		return nil, err
	}
	time.Sleep(Settle)
	began = w.Now()
	var timers []*time.Timer
	for _, f := range s.Faults {
		timers = append(timers, time.AfterFunc(f.At, func() { w.Inject(f.Fault) }))
	}
	address := p.Address
	if speaksMySQL {
		address = p.MySQL
	}
	source, leftOut := s.Arrivals(seed)
	if leftOut > 0 {
		run.Events = append(run.Events, fmt.Sprintf("%8.3f %d requests of the trace are of classes that the scenario doesn't have", 0.0, leftOut))
	}
	run.Load, err = load.Run(ctx, load.Config{Address: address, Arrivals: source, Protocol: s.Protocol, Seed: seed, Classes: s.Classes, Groups: cfg.Groups, Rate: s.Rate,
		For: s.Length, Sockets: s.Sockets, Sessions: s.Sessions, HotSession: s.HotSession, Retry: s.Retry, Progress: progress,
		Record: cfg.Audit})
	for _, t := range timers {
		t.Stop()
	}
	if cfg.Audit && err == nil {
		time.Sleep(audit)
		w.With(func(_ time.Duration, f *fleet.Fleet) {
			for _, v := range history.Check(run.Load.Writes, f.Applied) {
				run.Violations = append(run.Violations, v.String())
			}
		})
	}
	select {
	case <-p.Ended():
		return nil, fmt.Errorf("the proxy ended in the middle: %s", strings.Join(log.All(), "\n"))
	default:
	}
	if stopErr := p.Stop(8 * time.Second); err == nil {
		err = stopErr
	}
	run.CPU, run.Memory = p.Usage()
	run.Log = log.All()
	mu.Lock()
	defer mu.Unlock()
	return run, err
}
