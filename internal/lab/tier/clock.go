package tier

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

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
