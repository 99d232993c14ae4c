// Package soak runs the real program for a while under a plan that is drawn from a seed: limits, hostile clients of several kinds, a crowd
// in some runs, and signals in series, while well-behaved clients go on using every connection that is open. It tells each request of
// theirs that was taken and got no answer in time, each life of the process that passed its memory limit, and each that ended by itself.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"havenproxy/internal/lab/hostile"
)

// Action is what happens to the process.
type Action uint8

// The actions.
const (
	Reload   Action = iota // SIGHUP
	Counters               // SIGUSR1
	Pause                  // SIGSTOP, and SIGCONT shortly after
	End                    // SIGTERM, and SIGKILL at the earliest that the operators allow; then it is started again
	Kill                   // SIGKILL at once; then it is started again
	actions
)

// String names the action.
func (a Action) String() string {
	return [actions]string{"SIGHUP", "SIGUSR1", "SIGSTOP", "SIGTERM", "SIGKILL"}[a]
}

// Step is an action after a while.
type Step struct {
	After time.Duration // since the step before
	Do    Action
}

// Plan is what a run plays.
type Plan struct {
	MemoryMB, Sockets int
	Kinds             []hostile.Kind
	Crowd             bool // hostile clients take all places, so that others may be turned away
	Steps             []Step
}

// String tells the plan in a line.
func (p *Plan) String() string {
	var steps []string
	for _, s := range p.Steps {
		steps = append(steps, fmt.Sprintf("%v +%.2f", s.Do, s.After.Seconds()))
	}
	return fmt.Sprintf("%d MB, %d descriptors, %v, crowd %v: %s", p.MemoryMB, p.Sockets, p.Kinds, p.Crowd, strings.Join(steps, ", "))
}

const (
	minKinds, maxKinds   = 2, 4
	minPause, maxPause   = 30 * time.Millisecond, 150 * time.Millisecond // a hold-up that the page allows
	seriesGap            = 60 * time.Millisecond                         // at most, between the signals of a series
	minSpell, spellRange = 700 * time.Millisecond, 1800 * time.Millisecond
)

// Draw makes the plan of a seed, whose steps take that long in all.
func Draw(seed uint64, length time.Duration) *Plan {
	rng := rand.New(rand.NewPCG(seed, 58))
	pick := func(values ...int) int { return values[rng.IntN(len(values))] }
	p := &Plan{MemoryMB: pick(32, 48, 64, 192), Sockets: pick(256, 512, 1024), Crowd: rng.IntN(3) == 0}
	kinds := hostile.Kinds()
	for want := minKinds + rng.IntN(maxKinds-minKinds+1); len(p.Kinds) < want; {
		kind := kinds[rng.IntN(len(kinds))]
		if p.Crowd || !hostile.FillsPlaces(kind) {
			p.Kinds = append(p.Kinds, kind)
		}
	}
	if p.Crowd {
		p.Kinds = append(p.Kinds, "crowd-silent")
	}
	for spent := time.Duration(0); spent < length; {
		spell := minSpell + time.Duration(rng.Int64N(int64(spellRange)))
		series := drawSeries(rng)
		series[0].After = spell
		p.Steps = append(p.Steps, series...)
		spent += spell
		if series[len(series)-1].Do == End {
			spent += killAfter
		}
	}
	return p
}

// drawSeries draws signals that come close together.
func drawSeries(rng *rand.Rand) (series []Step) {
	for range rng.IntN(4) {
		action := []Action{Reload, Reload, Counters, Pause}[rng.IntN(4)]
		series = append(series, Step{time.Duration(rng.Int64N(int64(seriesGap))), action})
	}
	last := []Action{End, Kill, Reload}[rng.IntN(3)]
	return append(series, Step{time.Duration(rng.Int64N(int64(seriesGap))), last})
}
