// Package tier is the lab's bench for many processes of the program, some of which fail: planners and proxies as real processes, every link
// between them through a relay that can break it, clients that note what they see, and an auditor that judges the history.
package tier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/standin"
	"havenproxy/internal/planner/client"
)

// Config is a bench's.
type Config struct {
	Binary   string // the program
	Proxies  int
	Planners int
	Lease    time.Duration // 0 = proxies that are cut off go on
	Seed     uint64
	Fleet    fleet.Config
	Log      io.Writer                                                 // of all processes; nil = dropped
	Skew     float64                                                   // clocks are up to 200 ms off, and run at rates up to so much from true, drawn for each process; 0 = they agree
	Clocks   func(process string) (offset time.Duration, rate float64) // instead of that; rate 0 = true
	Naive    bool                                                      // no planners: a file beside each proxy, and SIGHUP to each
}

// Bench is a tier that runs.
type Bench struct {
	cfg       Config
	dir       string
	world     *standin.World
	began     time.Time
	Planners  []*Process
	Proxies   []*Process
	Addresses []string // of the planners, as the operator asks them
	config    string

	direct      []*relay          // where operators reach planners, and planners those that were added; faults leave them alone
	toPlanners  [][]*relay        // by proxy, on its links to each planner
	toDatabases [][]*relay        // by proxy, on its links to each database and to the list's service
	toProxies   []*relay          // on clients' links to each
	between     map[[2]int]*relay // on a planner's link to another

	mu       sync.Mutex
	downs    map[int]bool // planners that a fault holds, a minority
	away     map[int]bool // proxies whose machines can't be reached, without planners
	revision uint64       // the last that was spread
	history  []Seen
	refused  int
	reasons  map[string]int // of the refused, by what they were told
	lost     int
	aged     int // planners that ran with an older copy of their logs, and had the newer one back
}

// ErrEnded tells that a process ended while the tier began.
var ErrEnded = errors.New("ended by itself")

// Start starts planners and proxies and waits until all are members.
func Start(ctx context.Context, cfg Config) (b *Bench, err error) {
	if cfg.Log == nil {
		cfg.Log = io.Discard
	}
	b = &Bench{cfg: cfg, began: time.Now()}
	defer func(b *Bench) {
		if err != nil {
			b.Close()
		}
	}(b)
	if b.dir, err = os.MkdirTemp("", "haventier"); err != nil {
		return nil, err
	}
	if b.world, err = standin.New(cfg.Fleet, func(time.Duration, string) {}); err != nil {
		return nil, err
	}
	if (cfg.Skew > 0 || cfg.Clocks != nil) && !hasClock(cfg.Binary) {
		return nil, ErrNoClock
	}
	b.between, b.away = map[[2]int]*relay{}, map[int]bool{}
	b.downs, b.reasons = map[int]bool{}, map[string]int{}
	if cfg.Naive {
		cfg.Planners, b.cfg.Planners = 0, 0
	}
	if err := b.startPlanners(); err != nil {
		return nil, err
	}
	for i := range cfg.Proxies {
		if err := b.addProxy(i); err != nil {
			return nil, err
		}
	}
	if !cfg.Naive {
		if err := b.awaitMembers(ctx); err != nil {
			return nil, err
		}
	}
	if err := b.awaitServing(ctx); err != nil {
		return nil, err
	}
	if err := b.ended(); err != nil { // a tier that lacks a planner would not bear the faults that it is to bear
		return nil, err
	}
	return b, nil
}

// awaitMembers waits until all proxies are members, or a process ends.
func (b *Bench) awaitMembers(ctx context.Context) error {
	begins, cancel := context.WithCancelCause(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for begins.Err() == nil {
			if err := b.ended(); err != nil {
				cancel(err)
			}
			sleep(begins, 20*time.Millisecond)
		}
	}()
	err := b.Wait(begins, b.cfg.Proxies)
	cancel(nil)
	if <-watched; err != nil {
		return errors.Join(err, b.ended())
	}
	return nil
}

// awaitServing waits until all proxies serve: a member has its first lease a moment later.
func (b *Bench) awaitServing(ctx context.Context) error {
	for _, p := range b.Proxies {
		for {
			if _, told, code, err := b.once(p); err == nil && told && code == "" {
				break
			}
			if err := errors.Join(ctx.Err(), b.ended()); err != nil {
				return fmt.Errorf("%s takes no request: %w", p.Name, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// ended tells of a process that has ended, as none may while the tier begins.
func (b *Bench) ended() error {
	for _, p := range append(slices.Clone(b.Proxies), b.Planners...) {
		select {
		case <-p.ended:
			return fmt.Errorf("%s %w: exit code %d", p.Name, ErrEnded, p.run.ProcessState.ExitCode())
		default:
		}
	}
	return nil
}

func (b *Bench) addProxy(i int) error {
	p := &Process{Name: fmt.Sprint("n", i), out: b.cfg.Log}
	front, err := newRelay(&p.listens, b.cfg.Seed<<24+uint64(i)<<8+0xff, true)
	if err != nil {
		return err
	}
	b.toProxies = append(b.toProxies, front)
	var databases []*relay
	through := func(to string) (string, error) {
		r, err := newRelay(fixedTarget(to), b.cfg.Seed<<24+uint64(i)<<8+0x80+uint64(len(databases)), true)
		if err != nil {
			return "", err
		}
		databases = append(databases, r)
		return r.address(), nil
	}
	for k := range b.cfg.Fleet.Groups * b.cfg.Fleet.Members {
		if _, err := through(b.world.Address(k)); err != nil {
			return err
		}
	}
	alias := func(member int) string { return databases[member].address() }
	list, err := b.world.List(alias)
	if err == nil {
		list, err = through(list)
	}
	if err != nil {
		return err
	}
	b.toDatabases = append(b.toDatabases, databases)
	text, err := launch.Config(b.world, b.cfg.Fleet, launch.Options{Listen: anyPort, MemoryMB: 192, Sockets: 512, Seed: b.cfg.Seed + uint64(i), Fronts: b.cfg.Proxies,
		Known: true, Discovery: list, List: b.world.ListingAs(alias)})
	if err != nil {
		return err
	}
	config, operator := filepath.Join(b.dir, fmt.Sprintf("n%d.json", i)), filepath.Join(b.dir, fmt.Sprintf("n%d.star", i))
	if b.config == "" {
		b.config = config
	}
	leases := `cut_off = "go on"`
	if b.cfg.Lease > 0 {
		leases = fmt.Sprintf("lease = %q", b.cfg.Lease)
	}
	var relays []*relay
	var reached []string
	for k, planner := range b.Planners {
		r, err := newRelay(&planner.listens, b.cfg.Seed<<24+uint64(i)<<8+uint64(k), false)
		if err != nil {
			return err
		}
		relays, reached = append(relays, r), append(reached, r.address())
	}
	b.toPlanners = append(b.toPlanners, relays)
	planners := `"` + strings.Join(reached, `", "`) + `"`
	file := fmt.Sprintf("tier(name = \"n%d\", planners = [%s], tell_clients = True, %s)\n", i, planners, leases)
	if b.cfg.Naive {
		file = naiveFile(1)
	}
	if err = errors.Join(os.WriteFile(config, text, 0o600), os.WriteFile(operator, []byte(file), 0o600)); err != nil {
		return err
	}
	p.Front, p.file = front.address(), operator
	p.cmd = b.clocked(p.Name, func() *exec.Cmd {
		c := exec.Command(b.cfg.Binary)
		c.Env = append(os.Environ(), "EDGE_CONFIG="+config, "HAVEN_OPERATOR="+operator)
		return c
	})
	b.Proxies = append(b.Proxies, p)
	return p.start()
}

// Client gives an operator's.
func (b *Bench) Client() *client.Client { return &client.Client{Planners: b.Addresses} }

// Wait waits until so many proxies are members with a link.
func (b *Bench) Wait(ctx context.Context, n int) error {
	for c := b.Client(); ; {
		a, err := c.Status(ctx, 0)
		if err == nil {
			linked := 0
			for _, m := range a.Members {
				if m.Linked {
					linked++
				}
			}
			if linked >= n {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d members were expected: %w", n, errors.Join(ctx.Err(), err))
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// File writes an operator's file for a proposal.
func (b *Bench) File(name, text string) (string, error) {
	path := filepath.Join(b.dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// Configuration is a proxy's, whose classes a proposal takes.
func (b *Bench) Configuration() string { return b.config }

// Close ends all.
func (b *Bench) Close() {
	for _, p := range append(slices.Clone(b.Proxies), b.Planners...) {
		if p.run != nil && p.run.Process != nil {
			p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
	for _, r := range b.between {
		r.close()
	}
	for _, r := range b.direct {
		r.close()
	}
	for _, list := range append(slices.Clone(b.toPlanners), append(b.toDatabases, b.toProxies)...) {
		for _, r := range list {
			r.close()
		}
	}
	if b.world != nil {
		b.world.Close()
	}
	os.RemoveAll(b.dir)
}
