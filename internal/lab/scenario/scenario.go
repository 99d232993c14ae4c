// Package scenario reads what is played in the lab: a fleet, traffic over time, faults at times. One Starlark file
// serves both clocks: sockets in real time, and the model alone.
//
//	fleet(groups = 3, members = 3)
//	traffic(demand = 0.9, shape = sine(period = "10s", swing = 0.15), length = "60s")
//	fault("crash", at = "20s", group = 0, lasts = "10s")
//
// demand is a part of the fleet's capacity: of the work that its warm databases can do. Applying the log has a thread of
// its own and takes nothing of it.
package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"go.starlark.net/starlark"

	"havenproxy/internal/lab/arrivals"
	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/load"
	"havenproxy/internal/lab/virtual"
	"havenproxy/internal/operator/star"
	"havenproxy/internal/trace"
	"havenproxy/logic"
)

// Scenario is a file, read.
type Scenario struct {
	Name    string
	Fleet   fleet.Config
	Classes []load.Class
	Load    float64 // of the capacity, before the shape
	RPS     float64 // requests a second instead, if above zero
	Shape   Shape
	Length  time.Duration
	Sockets int
	// Sessions of each group; HotSession is the part of a group's requests that one of them sends.
	Sessions   int
	HotSession float64
	Retry      load.Retry
	Faults     []TimedFault
	Protocol   string // of clients and databases: one of load.Protocols
	Cores      int    // GOMAXPROCS of the proxy; 0 = the machine's

	// Recorded traffic in place of what Rate, shares and sessions would give; nil = those.
	Trace *trace.Trace
	Speed float64 // so many times as fast as it was

	// What the model alone plays; on sockets there are one proxy and the machine's own loopback.
	Proxies int
	Roam    float64       // part of the requests that don't come to their session's proxy
	Way     time.Duration // one way between proxies and databases; 0 = the model's default
	Jitter  time.Duration // added to it on the mean
	Loss    float64       // part of the messages that are sent once more
	Cuts    []Cut
	Tier    virtual.Tier // what lies between the proxies
	Prices  Prices
}

// Prices are what a deployment counts against what it earns: of one each, as a part of a mean request's worth.
type Prices struct {
	Probe      float64
	Connection float64
	List       float64 // a call for the list of databases
	Message    float64 // 256 bytes of a peer's message, for each that it comes to
}

// Cut is a time in which nothing passes between proxies and databases; -1 stands for all of a kind.
type Cut struct {
	At, For                    time.Duration
	Proxy, Group, Member, Zone int
}

// ModelOnly names what of the scenario sockets can't play; empty = nothing.
func (s *Scenario) ModelOnly() (what []string) {
	for name, is := range map[string]bool{"proxies": s.Proxies > 1, "tier()": s.Tier.Peers > 0 || s.Tier.Uneven > 0 || s.Tier.ListCalls > 0,
		"mute()": len(s.Tier.Mutes) > 0, "split()": len(s.Tier.Splits) > 0, "stop()": len(s.Tier.Stops) > 0, "way": s.Way > 0, "jitter": s.Jitter > 0, "loss": s.Loss > 0, "cut()": len(s.Cuts) > 0} {
		if is {
			what = append(what, name)
		}
	}
	slices.Sort(what)
	return what
}

// TimedFault is a fault with its time.
type TimedFault struct {
	At time.Duration
	fleet.Fault
}

// Shape is the course of the load over time, as a multiple.
type Shape interface {
	starlark.Value
	At(t time.Duration) float64
}

type shape struct {
	name string
	at   func(time.Duration) float64
}

func (s *shape) At(t time.Duration) float64 { return s.at(t) }
func (s *shape) String() string             { return s.name }
func (s *shape) Type() string               { return "shape" }
func (s *shape) Freeze()                    {}
func (s *shape) Truth() starlark.Bool       { return true }
func (s *shape) Hash() (uint32, error)      { return 0, fmt.Errorf("a shape is no key") }

// Read reads a file. The error tells all that is wrong with it.
func Read(path string) (*Scenario, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, src)
}

// Parse reads a scenario's text.
func Parse(name string, src []byte) (*Scenario, error) { return ParseWith(name, src, nil, nil) }

// ParseWith reads a scenario that may use further words; finish, if any, is called behind its end.
func ParseWith(name string, src []byte, words map[string]star.Func, finish func(*Scenario)) (*Scenario, error) {
	s := &Scenario{Name: name, Load: 0.6, Shape: &shape{"steady", func(time.Duration) float64 { return 1 }}, Length: 30 * time.Second,
		Sockets: 300, Sessions: 400, Fleet: fleet.Config{Groups: 3, Members: 3, Zones: launch.Zones()}}
	shares := launch.Shares()
	for i, c := range launch.Classes() {
		late := 0.0
		switch c.Read { // what the yards say an answer past its time is worth
		case logic.Fresh:
			late = 0.2
		case logic.Write:
			late = 0.3
		}
		s.Fleet.Classes = append(s.Fleet.Classes, c)
		s.Classes = append(s.Classes, load.Class{Class: c.Class, Share: shares[i], LateWorth: late})
	}
	all := map[string]star.Func{
		"fleet": s.fleet, "traffic": s.traffic, "fault": s.fault, "request_class": s.class, "proxy": s.proxy,
		"steady": func(c *star.Call) starlark.Value { return s.Shape },
		"sine":   sine, "square": square, "steps": steps, "ramp": ramp, "diurnal": diurnal, "bursts": bursts,
		"network": s.network, "cut": s.cut, "replay": s.replay,
		"tier": s.tier, "mute": s.mute, "split": s.split, "stop": s.stop, "prices": s.prices,
	}
	for word, do := range words {
		all[word] = do
	}
	err := star.Exec(name, src, all, func() {
		if finish != nil {
			finish(s)
		}
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(s.Faults, func(a, b TimedFault) int { return int(a.At - b.At) })
	return s, nil
}

const (
	day    = 24 * time.Hour
	minute = time.Minute
)

func (s *Scenario) fleet(c *star.Call) starlark.Value {
	f := &s.Fleet
	f.Groups = c.Int("groups", f.Groups, 1, 1000)
	f.Members = c.Int("members", f.Members, 1, 64)
	f.Cores = c.Int("cores", f.Cores, 1, 256)
	f.WaitingRoom = c.Int("waiting_room", f.WaitingRoom, 0, 1<<16)
	f.Cold = c.Duration("cold", f.Cold, 0, minute*10)
	f.ColdShare = c.Float("cold_share", f.ColdShare, 0.01, 1)
	f.Detection = spanArg(c, "detection", f.Detection)
	f.Election = spanArg(c, "election", f.Election)
	f.HandOver = spanArg(c, "hand_over", f.HandOver)
	f.ListDelay = spanArg(c, "list_delay", f.ListDelay)
	f.LogDelay = spanArg(c, "log_delay", f.LogDelay)
	f.ApplyShare = c.Float("apply_share", f.ApplyShare, 0.001, 10)
	return nil
}

// spanArg takes ["1s", "3s"] or "2s".
func spanArg(c *star.Call, name string, otherwise fleet.Span) fleet.Span {
	v := c.Value(name)
	if v == nil {
		return otherwise
	}
	if list, ok := v.(*starlark.List); ok && list.Len() == 2 {
		from, ok1 := c.ToDuration(name, list.Index(0))
		to, ok2 := c.ToDuration(name, list.Index(1))
		if ok1 && ok2 && (from < 0 || to < from) {
			c.Errorf(name, "%s runs from %v to %v", name, from, to)
		}
		return fleet.Span{From: from, To: to}
	}
	d, _ := c.ToDuration(name, v)
	return fleet.Span{From: d, To: d}
}

func (s *Scenario) traffic(c *star.Call) starlark.Value {
	s.Load = c.Float("demand", s.Load, 0.001, 100)
	s.RPS = c.Float("rps", s.RPS, 0.1, 1e6)
	s.Length = c.Duration("length", s.Length, 100*time.Millisecond, day)
	s.Sockets = c.Int("sockets", s.Sockets, 1, 20000)
	s.Sessions = c.Int("sessions", s.Sessions, 1, 1<<20)
	s.HotSession = c.Float("hot_session", s.HotSession, 0, 1)
	s.Protocol = c.Choice("protocol", load.Protocols[0], load.Protocols...)
	s.Retry.Most = c.Int("retries", s.Retry.Most, 0, 100)
	s.Retry.Honour = c.Bool("honour_hint", s.Retry.Honour)
	s.Retry.Wait = c.Duration("retry_wait", s.Retry.Wait, 0, minute)
	if v := c.Value("shape"); v != nil {
		if sh, ok := v.(Shape); ok {
			s.Shape = sh
		} else {
			c.Errorf("shape", "shape is %s, one of steady(), sine(), square(), steps(), ramp() was expected", v.Type())
		}
	}
	return nil
}

func (s *Scenario) proxy(c *star.Call) starlark.Value {
	s.Cores = c.Int("cores", s.Cores, 0, 1024)
	s.Proxies = c.Int("count", s.Proxies, 1, 10000)
	s.Roam = c.Float("roam", s.Roam, 0, 1)
	return nil
}

// replay takes a trace that lies in the scenario's folder or below it.
func (s *Scenario) replay(c *star.Call) starlark.Value {
	name := c.PositionalString("file")
	s.Speed = c.Float("speed", 1, 0.01, 1000)
	if name == "" {
		return nil
	}
	if !filepath.IsLocal(name) {
		c.Errorf("", "replay: %q, a file in the scenario's folder was expected", name)
		return nil
	}
	var err error
	if s.Trace, err = trace.Load(filepath.Join(filepath.Dir(s.Name), name)); err != nil {
		c.Errorf("", "replay: %v", err)
		return nil
	}
	if len(s.Trace.Records) == 0 {
		c.Errorf("", "replay: %s holds no requests", name)
	}
	return nil
}

// Arrivals gives what clients ask in one run. leftOut counts requests of a trace whose classes the scenario doesn't have.
func (s *Scenario) Arrivals(seed uint64) (source arrivals.Source, leftOut int) {
	var shares []float64
	var names []string
	for _, c := range s.Classes {
		shares, names = append(shares, c.Share), append(names, c.Name)
	}
	if s.Trace != nil {
		return arrivals.Replay(s.Trace, names, s.Fleet.Groups, s.Speed, s.Length, seed)
	}
	return arrivals.New(arrivals.Config{Seed: seed, Rate: s.Rate, For: s.Length, Shares: shares, Groups: s.Fleet.Groups, Sessions: s.Sessions,
		HotSession: s.HotSession}), 0
}

func (s *Scenario) network(c *star.Call) starlark.Value {
	s.Way = c.Duration("way", s.Way, time.Microsecond, minute)
	s.Jitter = c.Duration("jitter", s.Jitter, 0, minute)
	s.Loss = c.Float("loss", s.Loss, 0, 0.5)
	return nil
}

func (s *Scenario) cut(c *star.Call) starlark.Value {
	one := func(name string, most int) int {
		if !c.Has(name) {
			return -1
		}
		return c.Int(name, -1, 0, most)
	}
	s.Cuts = append(s.Cuts, Cut{At: c.Duration("at", 0, 0, day), For: c.Duration("lasts", 10*time.Second, time.Millisecond, day),
		Proxy: one("proxy", 9999), Group: one("group", s.Fleet.Groups-1), Member: one("member", s.Fleet.Members-1),
		Zone: one("zone", len(s.Fleet.Zones)-1)})
	return nil
}

func (s *Scenario) class(c *star.Call) starlark.Value {
	name := c.PositionalString("name")
	var names []string
	at := -1
	for i := range s.Classes {
		names = append(names, s.Classes[i].Name)
		if s.Classes[i].Name == name {
			at = i
		}
	}
	reads := []string{"any", "bounded", "session", "fresh", "write"}
	switch {
	case at < 0 && c.Has("reads"): // one of the scenario's own
		at = len(s.Classes)
		own := logic.Class{Name: name, Aim: 300 * time.Millisecond, Limit: 1200 * time.Millisecond, Worth: 1}
		switch own.Read = logic.Freshness(slices.Index(reads, c.Choice("reads", "any", reads...))); own.Read {
		case logic.Bounded:
			own.MaxAge = c.Duration("max_age", 300*time.Millisecond, time.Millisecond, minute)
		case logic.Write:
			own.Effect, own.Scope, own.DedupWindow = logic.Guarded, logic.ScopeCell, 3*time.Second
		}
		s.Classes = append(s.Classes, load.Class{Class: own})
		s.Fleet.Classes = append(s.Fleet.Classes, fleet.Class{Class: own, Work: fleet.Span{From: 40 * time.Millisecond, To: 70 * time.Millisecond}})
	case at < 0:
		if name != "" {
			c.Errorf("", "no class %q%s", name, star.Suggestion(name, names))
		}
		at = 0
	case c.Has("reads"):
		c.Errorf("reads", "class %q is there already: what it reads can't be changed", name)
		c.Value("reads")
	}
	l, f := &s.Classes[at], &s.Fleet.Classes[at]
	l.Share = c.Float("share", l.Share, 0, 1e6)
	l.Worth = c.Float("worth", l.Worth, 0, 1e6)
	l.LateWorth = c.Float("late_worth", l.LateWorth, 0, 1)
	l.Aim = c.Duration("aim", l.Aim, time.Millisecond, minute)
	l.Limit = c.Duration("limit", l.Limit, time.Millisecond, minute)
	f.Work = spanArg(c, "work", f.Work)
	f.Exponential = c.Bool("exponential", f.Exponential)
	l.Late = l.LateWorth
	if l.Limit < l.Aim {
		c.Errorf("", "%s: its limit %v is below its aim %v", name, l.Limit, l.Aim)
	}
	f.Class = l.Class
	return nil
}

func (s *Scenario) fault(c *star.Call) starlark.Value {
	kind := c.PositionalString("kind")
	var kinds []string
	for _, k := range fleet.Kinds {
		kinds = append(kinds, string(k))
	}
	if kind != "" && !slices.Contains(kinds, kind) {
		c.Errorf("", "no fault %q, one of %v was expected%s", kind, kinds, star.Suggestion(kind, kinds))
	}
	x := TimedFault{At: c.Duration("at", 0, 0, day)}
	x.Kind = fleet.Kind(kind)
	x.Group = c.Int("group", 0, 0, s.Fleet.Groups-1)
	x.Member = fleet.Primary
	if v := c.Value("member"); v != nil {
		if word, ok := starlark.AsString(v); ok {
			if word != "primary" {
				c.Errorf("member", "member is %q, a number or \"primary\" was expected", word)
			}
		} else {
			x.Member = c.Int("member", 0, 0, s.Fleet.Members-1)
		}
	}
	x.For = c.Duration("lasts", 10*time.Second, time.Millisecond, day)
	x.Factor = c.Float("factor", 6, 1, 1000)
	x.Share = c.Float("share", 0.5, 0, 1)
	x.Delay = c.Duration("delay", 2*time.Second, 0, minute)
	s.Faults = append(s.Faults, x)
	return nil
}

// ---- Shapes ----

func sine(c *star.Call) starlark.Value {
	period := c.Duration("period", 10*time.Second, 10*time.Millisecond, day)
	swing := c.Float("swing", 0.15, 0, 1)
	return &shape{"sine", func(t time.Duration) float64 {
		return 1 + swing*math.Sin(2*math.Pi*float64(t%period)/float64(period))
	}}
}

func square(c *star.Call) starlark.Value {
	period := c.Duration("period", 10*time.Second, 10*time.Millisecond, day)
	swing := c.Float("swing", 0.15, 0, 1)
	return &shape{"square", func(t time.Duration) float64 {
		if t%period < period/2 {
			return 1 + swing
		}
		return 1 - swing
	}}
}

func ramp(c *star.Call) starlark.Value {
	from, to := c.Float("start", 1, 0, 1000), c.Float("end", 1, 0, 1000)
	over := c.Duration("over", 30*time.Second, time.Millisecond, day)
	return &shape{"ramp", func(t time.Duration) float64 {
		return from + (to-from)*min(float64(t)/float64(over), 1)
	}}
}

// diurnal is a day's course: quiet at its ends, a peak at a part of it, as a bell over a floor.
func diurnal(c *star.Call) starlark.Value {
	period := c.Duration("period", day, 100*time.Millisecond, 7*day)
	peak := c.Float("peak", 0.4, 0, 1)
	width := c.Float("width", 0.15, 0.01, 1)
	floor := c.Float("floor", 0.2, 0, 1)
	return &shape{"diurnal", func(t time.Duration) float64 {
		x := float64(t%period)/float64(period) - peak
		x -= math.Round(x) // the day before and the one behind are near as well
		return floor + (1-floor)*math.Exp(-x*x/(2*width*width))
	}}
}

// bursts are times of heavy traffic that come by chance, as in a two-state Markov-modulated Poisson process (W. Fischer and
// K. Meier-Hellstern, "The Markov-modulated Poisson process cookbook", 1993): quiet ones last for `apart` on the mean, heavy ones
// for `length`, in which traffic is `times` as much as between them. The mean over all stays 1.
func bursts(c *star.Call) starlark.Value {
	apart := c.Duration("apart", 10*time.Second, 10*time.Millisecond, day)
	length := c.Duration("length", 2*time.Second, time.Millisecond, day)
	times := c.Float("times", 3, 1, 1000)
	seed := c.Int("seed", 1, 0, math.MaxInt32)
	quiet := (apart + length).Seconds() / (apart.Seconds() + times*length.Seconds())
	rng := rand.New(rand.NewPCG(uint64(seed), 0xb025))
	var turns []time.Duration // at which the state changes, quiet first
	var mu sync.Mutex         // several runs share the shape
	return &shape{"bursts", func(t time.Duration) float64 {
		mu.Lock()
		defer mu.Unlock()
		for len(turns) == 0 || turns[len(turns)-1] <= t {
			last, mean := time.Duration(0), apart
			if n := len(turns); n > 0 {
				if last = turns[n-1]; n%2 == 1 {
					mean = length
				}
			}
			turns = append(turns, last+time.Duration(rng.ExpFloat64()*float64(mean))+1)
		}
		if n, _ := slices.BinarySearch(turns, t+1); n%2 == 1 {
			return quiet * times
		}
		return quiet
	}}
}

// steps takes {"0s": 1, "10s": 3, "15s": 1}.
func steps(c *star.Call) starlark.Value {
	type step struct {
		at time.Duration
		x  float64
	}
	var list []step
	c.Dict("at", func(key string, v starlark.Value) {
		at, ok1 := c.ToDuration("at", starlark.String(key))
		x, ok2 := c.ToFloat("at", v, 0, 1000)
		if ok1 && ok2 {
			list = append(list, step{at, x})
		}
	})
	slices.SortFunc(list, func(a, b step) int { return int(a.at - b.at) })
	return &shape{"steps", func(t time.Duration) float64 {
		x := 1.0
		for _, s := range list {
			if t >= s.at {
				x = s.x
			}
		}
		return x
	}}
}

// Capacity is the requests a second that the fleet's warm databases can just do, all groups alike.
func (s *Scenario) Capacity() float64 {
	cores := s.Fleet.Cores
	if cores == 0 {
		cores = 3
	}
	sum, work := 0.0, 0.0
	for i, c := range s.Classes {
		w := (s.Fleet.Classes[i].Work.From + s.Fleet.Classes[i].Work.To).Seconds() / 2
		sum, work = sum+c.Share, work+c.Share*w
	}
	return float64(s.Fleet.Groups*s.Fleet.Members*cores) / (work / sum)
}

// Rate is the traffic at a time, in requests a second.
func (s *Scenario) Rate(t time.Duration) float64 {
	base := s.RPS
	if base == 0 {
		base = s.Load * s.Capacity()
	}
	return base * s.Shape.At(t)
}
