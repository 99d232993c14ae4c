package tier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Fault is one of a schedule.
type Fault struct {
	At   time.Duration
	For  time.Duration
	Kind string
	Who  []int // proxies, or planners where the kind says so
}

// String formats the fault as one line: its start in seconds, its kind, the processes it hits and its duration.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s %s %v for %v", f.At.Seconds(), f.Kind, f.Who, f.For)
}

// Kinds of fault.
var Kinds = []string{"kill", "pause", "cut", "deaf", "mute", "loss", "double", "reorder", "delay", "reset", "kill planner", "pause planner", "part planners", "kill planners", "old planner",
	"database cut", "database deaf", "database mute", "database delay", "database reset", "client cut", "client delay", "client reset"}

// troubles are what links may have, by the last word of the kind.
var troubles = map[string]Trouble{"cut": {Cut: true}, "deaf": {Deaf: true}, "mute": {Mute: true}, "loss": {Loss: 0.3}, "double": {Double: 0.5},
	"reorder": {Reorder: 0.3}, "delay": {Delay: 60 * time.Millisecond}, "reset": {Reset: true}}

// Schedule draws faults over so long, from a seed: every few hundred milliseconds one begins, and lasts from 0.1 s to twice the lease.
func Schedule(seed uint64, kinds []string, proxies, planners int, lease, length time.Duration) (out []Fault) {
	rng := rand.New(rand.NewPCG(seed, 0xfa17))
	if planners == 0 { // without them, the same schedule goes for the proxies
		planners = 3
	}
	longest := max(2*lease, 2*time.Second)
	for at := 200 * time.Millisecond; at < length; at += 100*time.Millisecond + time.Duration(rng.Int64N(int64(700*time.Millisecond))) {
		f := Fault{At: at, For: 100*time.Millisecond + time.Duration(rng.Int64N(int64(longest))), Kind: kinds[rng.IntN(len(kinds))]}
		of := proxies
		if strings.Contains(f.Kind, "planner") {
			of = planners
		}
		n := 1 + rng.IntN(max(of/4, 1))
		if f.Kind == "kill planners" {
			n = of
		}
		f.Who = rng.Perm(of)[:n]
		slices.Sort(f.Who)
		out = append(out, f)
	}
	return out
}

// Play lets a schedule's faults happen, and their ends. It returns when all are over.
func (b *Bench) Play(ctx context.Context, faults []Fault) {
	done := make(chan bool)
	for _, f := range faults {
		go func() {
			defer func() { done <- true }()
			if !sleep(ctx, f.At) {
				return
			}
			end := b.begin(f)
			sleep(ctx, f.For)
			end()
		}()
	}
	for range faults {
		<-done
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// begin lets a fault begin and gives what ends it.
func (b *Bench) begin(f Fault) (end func()) {
	switch f.Kind {
	case "kill":
		return b.each(b.Proxies, f.Who, func(p *Process) { p.Kill() }, func(p *Process) { p.Start() })
	case "pause":
		return b.each(b.Proxies, f.Who, func(p *Process) { p.Signal(syscall.SIGSTOP) }, func(p *Process) { p.Signal(syscall.SIGCONT) })
	case "kill planner", "kill planners", "pause planner", "part planners", "old planner":
		if b.cfg.Naive {
			return func() {}
		}
	}
	if f.Kind != "kill planners" && strings.Contains(f.Kind, "planner") { // what is promised hangs on most of them
		var who []int
		b.mu.Lock()
		for _, i := range f.Who {
			if !b.downs[i] && len(b.downs) < (len(b.Planners)-1)/2 {
				b.downs[i] = true
				who = append(who, i)
			}
		}
		b.mu.Unlock()
		if f.Who = who; len(who) == 0 {
			return func() {}
		}
		defer func() {
			mend := end
			end = func() {
				mend()
				b.mu.Lock()
				defer b.mu.Unlock()
				for _, i := range who {
					delete(b.downs, i)
				}
			}
		}()
	}
	switch f.Kind {
	case "kill planner", "kill planners":
		return b.each(b.Planners, f.Who, func(p *Process) { p.Kill() }, func(p *Process) { p.Start() })
	case "old planner":
		return b.each(b.Planners, f.Who, b.age, b.renew)
	case "pause planner":
		return b.each(b.Planners, f.Who, func(p *Process) { p.Signal(syscall.SIGSTOP) }, func(p *Process) { p.Signal(syscall.SIGCONT) })
	case "part planners":
		var cut []*relay
		for _, i := range f.Who {
			for k := range b.Planners {
				if k != i {
					cut = append(cut, b.between[[2]int{i, k}], b.between[[2]int{k, i}])
				}
			}
		}
		return b.trouble(cut, Trouble{Cut: true})
	}
	var links []*relay
	where, how, ok := strings.Cut(f.Kind, " ")
	if !ok {
		where, how = "planners", f.Kind
	}
	for _, i := range f.Who {
		switch where {
		case "database":
			links = append(links, b.toDatabases[i]...)
		case "client":
			links = append(links, b.toProxies[i])
		default:
			links = append(links, b.toPlanners[i]...)
		}
	}
	t := troubles[how]
	mend := b.trouble(links, t)
	if b.cfg.Naive && where == "planners" && (t.Cut || t.Deaf || t.Mute) { // the same machines can't be reached by whoever spreads files
		b.reachable(f.Who, false)
		return func() { b.reachable(f.Who, true); mend() }
	}
	return mend
}

// age starts a planner again with an older copy of its log: the one that was made when this first happened to it. It is to end by itself. Where all
// the others have been started since, none remembers what it said, and this is not seen (docs/design/policy.md): then it is started as it was.
func (b *Bench) age(p *Process) {
	p.Kill()
	known := false
	for _, other := range b.Planners {
		known = known || other != p && other.began.Before(p.copied)
	}
	switch {
	case p.copied.IsZero():
		if p.Copy() == nil {
			p.copied = time.Now()
		}
	case known:
		p.aged = copyFile(p.disk, p.disk+".new") == nil && p.Restore() == nil
	}
	p.Start()
}

// renew starts it again with the log that it had.
func (b *Bench) renew(p *Process) {
	if !p.aged {
		return
	}
	p.Kill()
	if p.aged = false; copyFile(p.disk+".new", p.disk) == nil {
		b.mu.Lock()
		b.aged++
		b.mu.Unlock()
	}
	p.Start()
}

func (b *Bench) reachable(who []int, yes bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range who {
		b.away[i] = !yes
	}
}

func (b *Bench) trouble(links []*relay, t Trouble) func() {
	for _, r := range links {
		r.set(t)
	}
	return func() {
		for _, r := range links {
			r.set(Trouble{Reset: t.Cut}) // what was said meanwhile is lost with the connections
		}
	}
}

// each does something to processes, each of which only one fault holds at a time.
func (b *Bench) each(list []*Process, who []int, do, undo func(*Process)) func() {
	var held []*Process
	for _, i := range who {
		p := list[i]
		b.mu.Lock()
		free := !p.held
		p.held = true
		b.mu.Unlock()
		if free {
			do(p)
			held = append(held, p)
		}
	}
	return func() {
		for _, p := range held {
			undo(p)
			b.mu.Lock()
			p.held = false
			b.mu.Unlock()
		}
	}
}
