package tier

import (
	"cmp"
	"context"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"havenproxy/internal/lab/launch"
)

// Process is one of them.
type Process struct {
	Name    string
	Address string // of a planner: where it is reached, whatever port it has, through a relay that faults leave alone
	Front   string // of a proxy: where clients ask it, through one
	disk    string // of a planner: its log's file
	file    string // of a proxy: the operator's
	cmd     func() *exec.Cmd
	mu      sync.Mutex // of run
	run     *exec.Cmd
	ended   chan struct{}
	out     io.Writer
	held    bool      // by a fault
	listens target    // where it listens now
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
	report, err := launch.RequestReport(p.run)
	if err != nil {
		return err
	}
	if err := p.run.Start(); err != nil {
		report.Close()
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	go p.follow(p.run, report, ended)
	return nil
}

// follow lets relays lead to the address that a started process reports, and to none once it has ended: its port may be another's by then.
func (p *Process) follow(run *exec.Cmd, report *launch.Report, ended chan<- struct{}) {
	defer close(ended)
	if addresses, err := report.Read(); err == nil {
		p.listens.set(cmp.Or(addresses.Planner, addresses.PostgreSQL))
	}
	run.Wait()
	p.listens.set("")
}

// Signal sends one to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.run.Process.Signal(s)
}

// Kill ends it at once, and Start starts it again.
func (p *Process) Kill() {
	p.listens.set("")
	p.run.Process.Kill()
	<-p.ended
}

// Start starts it again, with its disk as it is.
func (p *Process) Start() error { return p.start() }

// Ended waits until a process has ended by itself, and gives its exit code; false = it lives on.
func (p *Process) Ended(ctx context.Context) (code int, ok bool) {
	select {
	case <-p.ended:
		return p.run.ProcessState.ExitCode(), true
	case <-ctx.Done():
		return 0, false
	}
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
