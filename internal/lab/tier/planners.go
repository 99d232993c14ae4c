package tier

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// anyPort lets a process choose a free port, which it reports at each start. What others know it by is a relay's address: that one is the
// bench's for as long as the bench runs, so that no other program can take it while the process is down.
const anyPort = "127.0.0.1:0"

// plannerArguments is a planner's command line. planners are all of them, as this one reaches them: ID=ADDRESS.
func plannerArguments(id int, planners []string, disk string, lease time.Duration) []string {
	arguments := []string{"plan", "--id", strconv.Itoa(id), "--planners", strings.Join(planners, ","), "--listen", anyPort, "--log", disk}
	if lease > 0 {
		return append(arguments, "--lease", lease.String())
	}
	return append(arguments, "--cut-off", "go on")
}

// newPlanner makes a planner's process, which has yet to get its command, and the relay by which it is reached.
func newPlanner(id int, dir string) (*Process, *relay, error) {
	p := &Process{Name: fmt.Sprint("planner", id), disk: filepath.Join(dir, fmt.Sprint("plan", id))}
	direct, err := newRelay(&p.listens, 0, true)
	if err != nil {
		return nil, nil, err
	}
	p.Address = direct.address()
	return p, direct, nil
}

// startPlanners starts all planners, with a relay on each link between two.
func (b *Bench) startPlanners() error {
	for i := range b.cfg.Planners {
		if _, err := b.newPlanner(i + 1); err != nil {
			return err
		}
	}
	for i, p := range b.Planners {
		peers, err := b.peersOf(i)
		if err != nil {
			return err
		}
		arguments := plannerArguments(i+1, peers, p.disk, b.cfg.Lease)
		p.cmd = b.clocked(p.Name, func() *exec.Cmd { return exec.Command(b.cfg.Binary, arguments...) })
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// newPlanner makes one of the bench's planners, which has yet to get its command.
func (b *Bench) newPlanner(id int) (*Process, error) {
	p, direct, err := newPlanner(id, b.dir)
	if err != nil {
		return nil, err
	}
	p.out = b.cfg.Log
	b.direct = append(b.direct, direct)
	b.Planners = append(b.Planners, p)
	b.Addresses = append(b.Addresses, p.Address)
	return p, nil
}

// peersOf gives all planners as planner i reaches them: the others by relays of its own.
func (b *Bench) peersOf(i int) (peers []string, err error) {
	for k, planner := range b.Planners {
		address := planner.Address
		if k != i {
			r, err := newRelay(&planner.listens, b.cfg.Seed<<16+uint64(i)<<8+uint64(k), false)
			if err != nil {
				return nil, err
			}
			b.between[[2]int{i, k}] = r
			address = r.address()
		}
		peers = append(peers, fmt.Sprintf("%d=%s", k+1, address))
	}
	return peers, nil
}

// AddPlanner starts a planner that is to take another's place, on links that no fault touches.
func (b *Bench) AddPlanner(id int) (*Process, error) {
	var others []string
	for i, to := range b.Addresses {
		others = append(others, fmt.Sprintf("%d=%s", i+1, to))
	}
	p, err := b.newPlanner(id)
	if err != nil {
		return nil, err
	}
	all := append([]string{fmt.Sprintf("%d=%s", id, p.Address)}, others...)
	arguments := append(plannerArguments(id, all, p.disk, b.cfg.Lease), "--join")
	p.cmd = func() *exec.Cmd { return exec.Command(b.cfg.Binary, arguments...) }
	return p, p.start()
}
