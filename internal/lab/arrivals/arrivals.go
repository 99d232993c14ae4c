// Package arrivals says what clients ask and when: by a rate that changes over time, or as a trace has it. The schedule waits
// for no answer (open loop), and the same seed gives the same one, to the model and to the load on sockets alike.
package arrivals

import (
	"math"
	"math/rand/v2"
	"time"

	"havenproxy/internal/trace"
)

// Request is what comes.
type Request struct {
	At      time.Duration // since the beginning
	Class   int
	Group   int
	Session int     // within its group; 0 = the one that sends the most, where there is one
	Roam    float64 // from 0 to 1: whether it comes to its session's proxy,
	To      uint32  // or to another
	Luck    float64 // above 0 and up to 1: its work within its class's span
}

// Source gives requests in the order of time, until there are none.
type Source interface {
	Next() (Request, bool)
}

// Config describes traffic by its course.
type Config struct {
	Seed       uint64
	Rate       func(t time.Duration) float64 // requests a second, all groups together
	For        time.Duration
	Shares     []float64 // of the classes
	Groups     int
	Sessions   int     // of a group
	HotSession float64 // part of a group's requests that one session sends
}

type synthetic struct {
	cfg Config
	rng *rand.Rand
	sum float64
	t   time.Duration
}

// New gives traffic whose gaps are exponential at the rate of the time (a Poisson process with a changing rate).
func New(cfg Config) Source {
	s := &synthetic{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x71c))}
	for _, x := range cfg.Shares {
		s.sum += x
	}
	return s
}

// longestGap is how far the rate is taken to stand still: beyond, a gap is drawn anew, which exponentials allow.
const longestGap = 20 * time.Millisecond

func (s *synthetic) Next() (Request, bool) {
	for s.t < s.cfg.For {
		rate := s.cfg.Rate(s.t)
		gap := longestGap + 1
		if rate > 0 {
			gap = time.Duration(math.Min(s.rng.ExpFloat64()/rate, 1) * 1e9)
		}
		if gap > longestGap {
			s.t += longestGap
			continue
		}
		if s.t += gap; s.t < s.cfg.For {
			return s.draw(), true
		}
	}
	return Request{}, false
}

// draw takes as many numbers for each request, so that those behind don't depend on it.
func (s *synthetic) draw() Request {
	r := Request{At: s.t, Group: s.rng.IntN(s.cfg.Groups)}
	x := s.rng.Float64() * s.sum
	for i, share := range s.cfg.Shares {
		if r.Class = i; x < share {
			break
		}
		x -= share
	}
	n, hot := 1+s.rng.IntN(max(s.cfg.Sessions, 1)), s.rng.Float64()
	if r.Session = n; hot < s.cfg.HotSession {
		r.Session = 0
	}
	r.Roam, r.To, r.Luck = s.rng.Float64(), s.rng.Uint32(), 1-s.rng.Float64()
	return r
}

// replay gives a trace's requests.
type replay struct {
	t     *trace.Trace
	i     int
	speed float64
	class []int // of ours, by the trace's; -1 = we don't have it
	group int
	known map[uint64]int
	rng   *rand.Rand
	until time.Duration
}

// Replay gives what a trace holds, so many times as fast. classes are the names of ours: records of others are left out, and
// told. Groups are folded into the fleet's number of them. The sample's gaps are not filled.
func Replay(t *trace.Trace, classes []string, groups int, speed float64, until time.Duration, seed uint64) (s Source, leftOut int) {
	r := &replay{t: t, speed: speed, group: groups, known: map[uint64]int{}, rng: rand.New(rand.NewPCG(seed, 0x2e91a)), until: until}
	for _, name := range t.Classes {
		at := -1
		for i, own := range classes {
			if own == name {
				at = i
			}
		}
		r.class = append(r.class, at)
	}
	for _, x := range t.Records {
		if r.class[x.Class] < 0 {
			leftOut++
		}
	}
	return r, leftOut
}

func (r *replay) Next() (Request, bool) {
	for r.i < len(r.t.Records) {
		x := r.t.Records[r.i]
		r.i++
		luck, roam, to := 1-r.rng.Float64(), r.rng.Float64(), r.rng.Uint32()
		class := r.class[x.Class]
		if class < 0 {
			continue
		}
		at := time.Duration(float64(x.At) / r.speed)
		if at >= r.until {
			break
		}
		n, ok := r.known[x.Session]
		if !ok {
			n = len(r.known) + 1
			r.known[x.Session] = n
		}
		return Request{At: at, Class: class, Group: x.Group % r.group, Session: n, Roam: roam, To: to, Luck: luck}, true
	}
	return Request{}, false
}
