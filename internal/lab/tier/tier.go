// Package tier is the lab's bench for many processes of the program, some of which fail: planners and proxies as real processes, every link
// between them through a relay that can break it, clients that note what they see, and an auditor that judges the history.
package tier

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/standin"
	"havenproxy/internal/planner/client"
	"havenproxy/internal/wire/pg"
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

// Process is one of them.
type Process struct {
	Name    string
	Address string // where it is asked, through no relay
	Front   string // of a proxy: where clients ask it, through one
	disk    string // of a planner: its log's file
	file    string // of a proxy: the operator's
	cmd     func() *exec.Cmd
	mu      sync.Mutex // of run
	run     *exec.Cmd
	ended   chan struct{}
	out     io.Writer
	held    bool      // by a fault
	began   time.Time // of its last start
	copied  time.Time // when an older copy of its log was made
	aged    bool      // it runs with that
}

func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.run, p.began = p.cmd(), time.Now()
	p.run.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p.run.Stdout, p.run.Stderr = p.out, p.out
	if err := p.run.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	go func(c *exec.Cmd) { c.Wait(); close(ended) }(p.run)
	return nil
}

// Signal sends one to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.run.Process.Signal(s)
}

// Kill ends it at once, and Start starts it again.
func (p *Process) Kill() {
	p.run.Process.Kill()
	<-p.ended
}

// Start starts it again, with its disk as it is.
func (p *Process) Start() error { return p.start() }

// ErrEnded tells that a process ended while the tier began.
var ErrEnded = errors.New("ended by itself")

// Start starts planners and proxies and waits until all are members. Where another program takes one's port between the look and its listening,
// all are started once more, on others.
func Start(ctx context.Context, cfg Config) (b *Bench, err error) {
	for range 3 {
		if b, err = start(ctx, cfg); !errors.Is(err, ErrEnded) {
			break
		}
	}
	return b, err
}

func start(ctx context.Context, cfg Config) (b *Bench, err error) {
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
	for range cfg.Planners {
		address, err := launch.FreePort()
		if err != nil {
			return nil, err
		}
		b.Addresses = append(b.Addresses, address)
	}
	lease := []string{"--cut-off", "go on"}
	if cfg.Lease > 0 {
		lease = []string{"--lease", cfg.Lease.String()}
	}
	for i, address := range b.Addresses {
		var peers []string // as this one reaches them
		for k, to := range b.Addresses {
			if k != i {
				r, err := newRelay(to, cfg.Seed<<16+uint64(i)<<8+uint64(k), false)
				if err != nil {
					return nil, err
				}
				b.between[[2]int{i, k}] = r
				to = r.address()
			}
			peers = append(peers, fmt.Sprintf("%d=%s", k+1, to))
		}
		args := append([]string{"plan", "--id", strconv.Itoa(i + 1), "--planners", strings.Join(peers, ","), "--listen", address, "--log", filepath.Join(b.dir, fmt.Sprint("plan", i+1))}, lease...)
		disk := filepath.Join(b.dir, fmt.Sprint("plan", i+1))
		p := &Process{Name: fmt.Sprint("planner", i+1), Address: address, disk: disk, cmd: b.clocked(fmt.Sprint("planner", i+1), func() *exec.Cmd { return exec.Command(cfg.Binary, args...) }), out: cfg.Log}
		if err := p.start(); err != nil {
			return nil, err
		}
		b.Planners = append(b.Planners, p)
	}
	for i := range cfg.Proxies {
		if err := b.addProxy(i); err != nil {
			return nil, err
		}
	}
	if !cfg.Naive {
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
		err := b.Wait(begins, cfg.Proxies)
		cancel(nil)
		if <-watched; err != nil {
			return nil, errors.Join(err, b.ended())
		}
	}
	for _, p := range b.Proxies { // a member has its first lease a moment later
		for {
			if _, told, code, err := b.once(p); err == nil && told && code == "" {
				break
			}
			if err := errors.Join(ctx.Err(), b.ended()); err != nil {
				return nil, fmt.Errorf("%s takes no request: %w", p.Name, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	if err := b.ended(); err != nil { // a tier that lacks a planner would not bear the faults that it is to bear
		return nil, err
	}
	return b, nil
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

// clocked gives a process a clock of its own, the same at each start. The program has to be one built for the lab: another would not say that it goes
// by such a clock, and Start fails.
func (b *Bench) clocked(name string, cmd func() *exec.Cmd) func() *exec.Cmd {
	offset, rate := time.Duration(0), 1.0
	switch {
	case b.cfg.Clocks != nil:
		if offset, rate = b.cfg.Clocks(name); rate == 0 {
			rate = 1
		}
	case b.cfg.Skew > 0:
		rng := rand.New(rand.NewPCG(b.cfg.Seed, xxhash.Sum64String(name)))
		offset, rate = time.Duration((2*rng.Float64()-1)*float64(200*time.Millisecond)), 1+(2*rng.Float64()-1)*b.cfg.Skew
	default:
		return cmd
	}
	return func() *exec.Cmd {
		c := cmd()
		if c.Env == nil {
			c.Env = os.Environ()
		}
		c.Env = append(c.Env, fmt.Sprintf("HAVENLAB_CLOCK=%v %g", offset, rate))
		return c
	}
}

// ErrNoClock tells that the program can't be given a clock of its own.
var ErrNoClock = errors.New("the program was not built for the lab (go build -tags lab), so that its clock can't be set")

// hasClock tells whether a program can be given a clock of its own: such a one doesn't start with one that it can't read.
func hasClock(binary string) bool {
	c := exec.Command(binary, "--version")
	c.Env = append(os.Environ(), "HAVENLAB_CLOCK=?")
	out, err := c.CombinedOutput()
	return err != nil && strings.Contains(string(out), "HAVENLAB_CLOCK")
}

// Ended waits until a process has ended by itself, and gives its exit code; false = it lives on.
func (p *Process) Ended(ctx context.Context) (code int, ok bool) {
	select {
	case <-p.ended:
		return p.run.ProcessState.ExitCode(), true
	case <-ctx.Done():
		return 0, false
	}
}

// AddPlanner starts a planner that is to take another's place, on links of no relay.
func (b *Bench) AddPlanner(id int) (*Process, error) {
	address, err := launch.FreePort()
	if err != nil {
		return nil, err
	}
	all := []string{fmt.Sprintf("%d=%s", id, address)}
	for i, to := range b.Addresses {
		all = append(all, fmt.Sprintf("%d=%s", i+1, to))
	}
	disk := filepath.Join(b.dir, fmt.Sprint("plan", id))
	args := []string{"plan", "--id", strconv.Itoa(id), "--planners", strings.Join(all, ","), "--listen", address, "--log", disk, "--join"}
	if args = append(args, "--lease", b.cfg.Lease.String()); b.cfg.Lease == 0 {
		args = append(args[:len(args)-2], "--cut-off", "go on")
	}
	p := &Process{Name: fmt.Sprint("planner", id), Address: address, disk: disk, cmd: func() *exec.Cmd { return exec.Command(b.cfg.Binary, args...) }, out: b.cfg.Log}
	b.Planners = append(b.Planners, p)
	b.Addresses = append(b.Addresses, address)
	return p, p.start()
}

// Copy makes a backup of the planner's log, which Restore can put back. The planner must not run meanwhile.
func (p *Process) Copy() error { return copyFile(p.disk, p.disk+".old") }

// Lose removes the planner's log, as the loss of its disk would. The planner must not run meanwhile.
func (p *Process) Lose() error { return os.Remove(p.disk) }

// Restore overwrites the planner's log with the backup that Copy made. The planner must not run meanwhile.
func (p *Process) Restore() error { return copyFile(p.disk+".old", p.disk) }

func copyFile(from, to string) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, text, 0o600)
}

// once asks one thing on a connection of its own.
func (b *Bench) once(p *Process) (policy uint64, told bool, code string, err error) {
	conn, err := net.DialTimeout("tcp", p.Address, time.Second)
	if err != nil {
		return 0, false, "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * askFor))
	text := fmt.Sprintf("SELECT val FROM state WHERE uid = '01' /* id=%x,c=stok-bakis,d=%d,cluster=0 */", time.Now().UnixNano(), askFor.Milliseconds())
	if _, err := conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), text)); err != nil {
		return 0, false, "", err
	}
	return answer(bufio.NewReader(conn))
}

func (b *Bench) addProxy(i int) error {
	address, err := launch.FreePort()
	if err != nil {
		return err
	}
	front, err := newRelay(address, b.cfg.Seed<<24+uint64(i)<<8+0xff, true)
	if err != nil {
		return err
	}
	b.toProxies = append(b.toProxies, front)
	var databases []*relay
	through := func(to string) (string, error) {
		r, err := newRelay(to, b.cfg.Seed<<24+uint64(i)<<8+0x80+uint64(len(databases)), true)
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
	text, err := launch.Config(b.world, b.cfg.Fleet, launch.Options{Listen: address, MemoryMB: 192, Sockets: 512, Seed: b.cfg.Seed + uint64(i), Fronts: b.cfg.Proxies,
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
	for k, to := range b.Addresses {
		r, err := newRelay(to, b.cfg.Seed<<24+uint64(i)<<8+uint64(k), false)
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
	p := &Process{Name: fmt.Sprint("n", i), Address: address, Front: front.address(), file: operator, out: b.cfg.Log, cmd: b.clocked(fmt.Sprint("n", i), func() *exec.Cmd {
		c := exec.Command(b.cfg.Binary)
		c.Env = append(os.Environ(), "EDGE_CONFIG="+config, "HAVEN_OPERATOR="+operator)
		return c
	})}
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

// History gives what all clients have seen so far, and how many requests were refused or lost.
func (b *Bench) History() (seen []Seen, refused, lost int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.history), b.refused, b.lost
}

// Reasons tells how many requests were refused with which words.
func (b *Bench) Reasons() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.reasons)
}

// Ask lets clients ask all proxies until the context ends: one connection each, one request behind the other.
func (b *Bench) Ask(ctx context.Context, each int, pause time.Duration) (wait func()) {
	var all sync.WaitGroup
	for i, p := range b.Proxies {
		for k := range each {
			all.Add(1)
			go func() {
				defer all.Done()
				b.client(ctx, p, fmt.Sprintf("%d-%d", i, k), pause)
			}()
		}
	}
	return all.Wait
}

const askFor = 1500 * time.Millisecond

func (b *Bench) client(ctx context.Context, p *Process, name string, pause time.Duration) {
	var conn net.Conn
	var r *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", p.Front, time.Second); err != nil {
				conn = nil
				time.Sleep(20 * time.Millisecond)
				continue
			}
			r = bufio.NewReader(conn)
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			if _, err = conn.Write(pg.AppendStartup(nil, "client", "core")); err == nil {
				err = welcome(r)
			}
			if err != nil { // nobody is behind the relay, or it ends: nothing has been asked
				conn.Close()
				conn = nil
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		conn.SetDeadline(time.Now().Add(20 * time.Second)) // a proxy that stands still answers what waits in its socket once it wakes
		text := fmt.Sprintf("SELECT val FROM state WHERE uid = '%016x' /* id=%s-%d,c=stok-bakis,d=%d,cluster=0 */", n, name, n, askFor.Milliseconds())
		s := Seen{Proxy: p.Name, Taken: time.Since(b.began)}
		_, err := conn.Write(pg.AppendQuery(nil, text))
		told, code := false, ""
		if err == nil {
			s.Policy, told, code, err = answer(r)
		}
		s.Answered = time.Since(b.began)
		b.mu.Lock()
		switch {
		case err != nil:
			b.lost++
		case told:
			b.history = append(b.history, s)
		case code != "":
			b.refused++
			b.reasons[code]++
		}
		b.mu.Unlock()
		if err != nil {
			conn.Close()
			conn = nil
		}
		time.Sleep(pause)
	}
	if conn != nil {
		conn.Close()
	}
}

// welcome reads up to the end of a proxy's greeting.
func welcome(r *bufio.Reader) error {
	for {
		head, err := r.Peek(5)
		if err != nil {
			return err
		}
		n := int(head[1])<<24 | int(head[2])<<16 | int(head[3])<<8 | int(head[4])
		if n < 4 || n > 1<<20 {
			return fmt.Errorf("a message of %d bytes", n)
		}
		kind := head[0]
		if _, err := r.Discard(n + 1); err != nil || kind == 'Z' {
			return err
		}
	}
}

// reason gives an error's code and text.
func reason(fields []byte) string {
	code, text := "", ""
	for _, f := range bytes.Split(fields, []byte{0}) {
		switch {
		case len(f) > 1 && f[0] == 'C':
			code = string(f[1:])
		case len(f) > 1 && f[0] == 'M':
			text = string(f[1:])
		}
	}
	return code + ": " + text
}

// answer reads up to the end of the next answer that holds one: the welcome ends with ReadyForQuery too, and has no row and no error.
func answer(r *bufio.Reader) (policy uint64, told bool, code string, err error) {
	var body []byte
	for some := false; ; {
		head, err := r.Peek(5)
		if err != nil {
			return 0, false, "", err
		}
		n := int(head[1])<<24 | int(head[2])<<16 | int(head[3])<<8 | int(head[4])
		if n < 4 || n > 1<<20 {
			return 0, false, "", fmt.Errorf("a message of %d bytes", n)
		}
		body = append(body[:0], make([]byte, n+1)...)
		if _, err := io.ReadFull(r, body); err != nil {
			return 0, false, "", err
		}
		switch body[0] {
		case 'S':
			if name, value, ok := bytes.Cut(body[5:], []byte{0}); ok && string(name) == "policy" {
				policy, _ = strconv.ParseUint(string(bytes.TrimRight(value, "\x00")), 10, 64)
				told = true
			}
		case 'D':
			some = true
		case 'E':
			some, code = true, reason(body[5:])
		case 'Z':
			if some {
				return policy, told, code, nil
			}
		}
	}
}
