package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/load"
	"havenproxy/internal/lab/play"
	"havenproxy/internal/operator"
)

// Operator reads an operator's file for the experiment's scenario.
func (e *Experiment) Operator(path string) (*operator.File, error) {
	return operator.Read(path, levelClasses(e.Scenario))
}

// askedOnSockets tells whether sockets can answer a question.
func (q Question) askedOnSockets() bool {
	switch q.Name {
	case Worth, Worst, InAim, RefusedPart, P50, P99, Switches, LevelChanges:
		return true
	}
	return false
}

// OnSockets tells what speaks against playing so many pairs on sockets.
func (e *Experiment) OnSockets(pairs int) error {
	if pairs < 5 {
		return fmt.Errorf("%d pairs on sockets: at least 5 were expected", pairs)
	}
	for _, v := range e.Variants {
		if only := e.scenarioOf(v).ModelOnly(); len(only) > 0 {
			return fmt.Errorf("variant %q: sockets can't play %s", v.Name, strings.Join(only, ", "))
		}
	}
	for _, q := range e.Questions {
		if !q.askedOnSockets() {
			return fmt.Errorf("question %q: it is answered in the model alone", q.Key())
		}
	}
	return nil
}

// PlaySockets plays so many pairs against the real program on loopback, one run behind the other, each with its seed. The same
// seed gives the same schedule of requests and the same fate of the databases, as far as the machine's own time allows.
func (e *Experiment) PlaySockets(ctx context.Context, seed uint64, pairs int, o launch.Options) (*Outcome, error) {
	if err := e.OnSockets(pairs); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "havenlab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	own := *e
	own.Rule.Looks = []int{pairs}
	return own.play(ctx, seed, max(o.Together, 1), "sockets", func(ctx context.Context, v *Variant, seed uint64) (map[string]float64, error) {
		o := o
		if v.Binary != "" {
			o.Binary = filepath.Join(filepath.Dir(v.Binary), "havenproxy")
		}
		if v.Operator != "" {
			o.Operator = filepath.Join(dir, fmt.Sprintf("%x.star", v.Name))
			if err := os.WriteFile(o.Operator, []byte(v.Operator), 0o600); err != nil {
				return nil, err
			}
		}
		r, err := play.Play(ctx, e.scenarioOf(v), seed, o, nil)
		if err != nil {
			return nil, err
		}
		return socketFigures(r), nil
	}, nil)
}

func socketFigures(r *play.Run) map[string]float64 {
	switches := 0
	for _, e := range r.Events {
		if strings.Contains(e, "is primary after") {
			switches++
		}
	}
	out := map[string]float64{Worth: r.Load.Worth, Worst: r.Load.Worst10, Switches: float64(switches), LevelChanges: float64(r.Count("level changed"))}
	for i := range r.Load.Classes {
		c := &r.Load.Classes[i]
		out[InAim+" "+c.Name] = c.InAim
		out[RefusedPart+" "+c.Name] = float64(c.Outcomes[load.Names[load.Refused]]) / float64(max(c.Offered, 1))
		out[P50+" "+c.Name] = c.P50
		out[P99+" "+c.Name] = c.P99
	}
	return out
}
