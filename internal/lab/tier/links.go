package tier

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"havenproxy/internal/lab/procstat"
	"havenproxy/internal/planner/client"
	"havenproxy/internal/rollout"
	"havenproxy/internal/wire/tier"
)

// Links is a measurement of what planners cost: real ones, with so many links of proxies' sides that ask for their leases as proxies do, without
// the proxies round them.
type Links struct {
	Binary   string
	Planners int
	Links    int
	Lease    time.Duration
	For      time.Duration // that is measured
	Changes  int           // made in it
	Size     int           // of each policy's text, in bytes
}

// Cost is what it came to.
type Cost struct {
	CPU      []float64 // of a core, by planner, the one that leads first
	Resident []int64   // bytes, likewise
	Sent     float64   // bytes a second, by all links to planners
	Heard    float64
	Took     []time.Duration // until a change was in force at all links, from when it was proposed
	Joined   time.Duration   // until all links were members
}

// side is one link with a proxy's side behind it.
type side struct {
	mu    sync.Mutex
	proxy *rollout.Proxy
	conn  net.Conn
}

func (s *side) flush(sent *atomic.Int64) error {
	var out []byte
	for _, m := range s.proxy.TakeMessages() {
		var err error
		if out, err = tier.Append(out, &tier.Frame{Rollout: &m}); err != nil {
			return err
		}
	}
	if len(out) == 0 {
		return nil
	}
	sent.Add(int64(len(out)))
	_, err := s.conn.Write(out)
	return err
}

// Measure measures it.
func (l Links) Measure(ctx context.Context) (c Cost, err error) {
	dir, err := os.MkdirTemp("", "havenlinks")
	if err != nil {
		return c, err
	}
	defer os.RemoveAll(dir)
	var planners []*Process
	defer func() {
		for _, p := range planners {
			p.Kill()
		}
	}()
	var all []*Process
	var addresses, named []string
	for i := range l.Planners {
		p, direct, err := newPlanner(i+1, dir)
		if err != nil {
			return c, err
		}
		defer direct.close()
		all = append(all, p)
		addresses, named = append(addresses, p.Address), append(named, fmt.Sprintf("%d=%s", i+1, p.Address))
	}
	for i, p := range all {
		arguments := plannerArguments(i+1, named, p.disk, l.Lease)
		p.cmd = func() *exec.Cmd { return exec.Command(l.Binary, arguments...) }
		if err := p.start(); err != nil {
			return c, err
		}
		planners = append(planners, p)
	}
	cl := &client.Client{Planners: addresses}
	var leader uint64
	for leader == 0 {
		if a, err := cl.Status(ctx, 0); err == nil && a.Leader == a.Planner {
			leader = a.Leader
		}
		if ctx.Err() != nil {
			return c, fmt.Errorf("no planner leads: %w", ctx.Err())
		}
		time.Sleep(20 * time.Millisecond)
	}
	leading := all[leader-1].listens.get() // the links have no relay: what they cost is the planners' alone
	slices.SortFunc(planners, func(a, b *Process) int {
		if a.Name == fmt.Sprint("planner", leader) {
			return -1
		}
		return 1
	})
	var sent, heard, closed atomic.Int64 // bytes, bytes, and links that a planner has closed: they don't come again here
	began := time.Now()
	var mu sync.Mutex
	under := map[rollout.Number]int{}
	done := make(chan struct{})
	defer close(done)
	for i := range l.Links {
		conn, err := net.DialTimeout("tcp", leading, 5*time.Second)
		if err != nil {
			return c, err
		}
		defer conn.Close()
		s := &side{conn: conn, proxy: rollout.NewProxy(rollout.Config{Lease: l.Lease}, fmt.Sprint("n", i), rand.Uint64()|1, func(rollout.Number, []byte) string { return "" })}
		go func() {
			r := bufio.NewReader(countReader{conn, &heard})
			for {
				f, err := tier.Read(r)
				if err != nil || f.Rollout == nil {
					closed.Add(1)
					return
				}
				s.mu.Lock()
				s.proxy.Receive(time.Since(began), *f.Rollout)
				switches := s.proxy.TakeSwitches()
				s.flush(&sent)
				s.mu.Unlock()
				mu.Lock()
				for _, x := range switches {
					under[x.Number]++
				}
				mu.Unlock()
			}
		}()
		go func() {
			every := l.Lease / 5
			time.Sleep(time.Duration(rand.Int64N(int64(every))))
			s.mu.Lock()
			s.proxy.Connected()
			s.flush(&sent)
			s.mu.Unlock()
			for t := time.NewTicker(every); ; {
				select {
				case <-done:
					t.Stop()
					return
				case <-t.C:
				}
				s.mu.Lock()
				s.proxy.RenewLease(time.Since(began))
				s.flush(&sent)
				s.mu.Unlock()
			}
		}()
	}
	at := func(n rollout.Number) int { mu.Lock(); defer mu.Unlock(); return under[n] }
	for at(0) < l.Links {
		if ctx.Err() != nil {
			return c, fmt.Errorf("%d of %d links are members, %d were closed: %w", at(0), l.Links, closed.Load(), ctx.Err())
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Joined = time.Since(began)
	sleep(ctx, time.Second) // what the joins stirred up is over
	before := make([]time.Duration, len(planners))
	for i, p := range planners {
		before[i], _ = procstat.Usage(p.run.Process.Pid)
	}
	from, s0, h0 := time.Now(), sent.Load(), heard.Load()
	for i := range l.Changes {
		sleep(ctx, time.Until(from.Add(l.For*time.Duration(i)/time.Duration(l.Changes))))
		start := time.Now()
		a, err := cl.Propose(ctx, tier.OperatorRequest{Action: tier.ActionPropose, Policy: make([]byte, l.Size), Comment: "measured", Nonce: rand.Uint64() | 1}, 5*time.Second)
		if err != nil || a.Error != "" {
			return c, errors.Join(err, errors.New("a change was refused"))
		}
		looked := time.Now()
		for n := a.State.LastNumber; at(n) < l.Links; time.Sleep(200 * time.Microsecond) {
			if ctx.Err() != nil {
				return c, fmt.Errorf("change %d is in force at %d of %d links, %d were closed: %w", n, at(n), l.Links, closed.Load(), ctx.Err())
			}
			if time.Since(looked) < time.Second {
				continue
			}
			looked = time.Now()
			x, err := cl.Status(ctx, 0)
			if err != nil || x.State == nil {
				continue
			}
			if i := slices.IndexFunc(x.State.Changes, func(c rollout.Change) bool { return c.Number == n && c.Outcome == rollout.Aborted }); i >= 0 {
				return c, fmt.Errorf("change %d was given up, %d links were closed: %s", n, closed.Load(), x.State.Changes[i].Reason)
			}
		}
		c.Took = append(c.Took, time.Since(start))
	}
	sleep(ctx, time.Until(from.Add(l.For)))
	took := time.Since(from)
	for i, p := range planners {
		cpu, resident := procstat.Usage(p.run.Process.Pid)
		c.CPU, c.Resident = append(c.CPU, (cpu-before[i]).Seconds()/took.Seconds()), append(c.Resident, resident)
	}
	c.Sent, c.Heard = float64(sent.Load()-s0)/took.Seconds(), float64(heard.Load()-h0)/took.Seconds()
	return c, ctx.Err()
}

type countReader struct {
	net.Conn
	n *atomic.Int64
}

func (c countReader) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}
