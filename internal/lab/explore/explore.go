// Package explore visits all reachable states of a model, breadth first, and returns the shortest trace to one that violates an invariant.
// States are compared by a 64-bit hash of their encoding (xxhash): with ten million of them the probability that any two share one is 3 in a
// million. It models packages rollout and takeover, which do no I/O.
package explore

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is a state of a model.
type State interface {
	// AppendTo appends an encoding of all that the further course depends on: equal encodings mean equal states.
	AppendTo(dst []byte) []byte
	// Next yields each state that may follow, with the step that leads to it.
	Next(yield func(step string, s State))
	// Broken returns the invariant that is violated; empty if none is.
	Broken() string
}

// Report is the result of an exploration.
type Report struct {
	States, Steps, Depth int
	Complete             bool     // all reachable states were visited
	Broken               string   // the invariant that is violated; empty if none is
	Trace                []string // the steps that lead there
}

type visited struct {
	previous uint64
	step     string
}

// All explores from a state, most states at most; 0 = all there are.
func All(start State, most int) Report {
	var text []byte
	hash := func(s State) uint64 {
		text = s.AppendTo(text[:0])
		return xxhash.Sum64(text)
	}
	first := hash(start)
	seen := map[uint64]visited{first: {}}
	r := Report{States: 1, Complete: true}
	way := func(h uint64) (w []string) {
		for ; h != first; h = seen[h].previous {
			w = append(w, seen[h].step)
		}
		slices.Reverse(w)
		return w
	}
	if r.Broken = start.Broken(); r.Broken != "" {
		return r
	}
	now, next := []State{start}, []State(nil)
	for ; len(now) > 0; now, next = next, now[:0] {
		for i, s := range now {
			now[i] = nil
			from := hash(s)
			s.Next(func(step string, n State) {
				r.Steps++
				if r.Broken != "" {
					return
				}
				h := hash(n)
				if _, ok := seen[h]; ok {
					return
				}
				if most > 0 && r.States >= most {
					r.Complete = false
					return
				}
				seen[h] = visited{from, step}
				r.States++
				if r.Broken = n.Broken(); r.Broken != "" {
					r.Trace = way(h)
					return
				}
				next = append(next, n)
			})
			if r.Broken != "" {
				return r
			}
		}
		if len(next) > 0 {
			r.Depth++
		}
	}
	return r
}

// Walk goes on at random from a state, seeds times for so many steps at most, and gives the shortest way among those that break a rule.
// It comes deeper than All, and proves nothing.
func Walk(start func() State, seeds, most int) (r Report) {
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(uint64(seed), 0x3a1c))
		s, way := start(), []string(nil)
		for len(way) < most && s.Broken() == "" && (r.Broken == "" || len(way) < len(r.Trace)) {
			var next State
			var step string
			n := 0
			s.Next(func(name string, x State) { // one of them, each as likely as another
				if n++; rng.IntN(n) == 0 {
					next, step = x, name
				}
			})
			if n == 0 {
				break
			}
			s, way = next, append(way, step)
			r.Steps++
		}
		r.Depth = max(r.Depth, len(way))
		if b := s.Broken(); b != "" && (r.Broken == "" || len(way) < len(r.Trace)) {
			r.Broken, r.Trace = b, way
		}
	}
	return r
}
