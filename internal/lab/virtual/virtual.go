// Package virtual plays a fleet, its clients and its proxies on a virtual clock: the model's databases, the true
// internal/state with the true decisions behind it, and clients that ask by a schedule. Nothing runs beside it, so the
// same seed gives the same run, and a minute takes a fraction of a second. What it leaves out: sockets, their
// handshakes and the proxy's own work.
package virtual

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"havenproxy/internal/handover"
	"havenproxy/internal/lab/arrivals"
	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/levels"
	"havenproxy/internal/state"
	"havenproxy/logic"
)

// pushed is the time after an election in which the work sent to the new primary is counted.
const pushed = 2 * time.Second

// base is the virtual clock's start: far from zero, which stands for "long ago" in the router.
const base = 24 * time.Hour

// epoch is the wall clock's time when the virtual one is at zero.
const epoch = 1_700_000_000 * time.Second

// SinceBegin turns a wall clock's time into one since the run's beginning.
func SinceBegin(unix time.Duration) time.Duration { return unix - epoch - base }

// Config describes a run.
type Config struct {
	Fleet  fleet.Config
	Shares []float64 // of the classes
	Seed   uint64
	Rate   func(t time.Duration) float64 // requests a second, all groups together
	// Arrivals are the requests, in place of those that Rate, Shares and Sessions would give; nil = those.
	Arrivals arrivals.Source
	For      time.Duration
	Faults   []Fault
	Levels   *levels.Config // nil = off
	Tuning   logic.Tuning
	// Handover is what the proxy holds while a group has no primary.
	Handover handover.Config

	Before     time.Duration // a quiet time before the first request, in which proxies get to know their databases
	Proxies    int           // that share the traffic; 1
	Roam       float64       // part of the requests that don't come to their session's proxy
	ProxySeed  uint64        // of the proxies' own draws; 0 = Seed. Another one gives another run of the same day
	Sessions   int           // of a group; 300
	HotSession float64       // part of a group's requests that one session sends
	Retries    int           // further tries of a refused request
	RetryWait  time.Duration
	Honour     bool          // wait for the hint
	Way        time.Duration // one way between proxy and databases; 0.2 ms
	Jitter     time.Duration // added to it, on the mean, exponentially
	Loss       float64       // part of the messages that need a retransmission
	Cuts       []Cut
	Tune       func(*logic.Config) // what the platform tells the proxies, before they start
	Still      []Still             // the proxy's loop stands still
	At         []Action
	Clocked    bool // Result.InProxies and InTimers are wanted
	// Stopwatch is the clock by which Clocked measures; nil = the machine's.
	Stopwatch func() time.Duration
	Heat      bool // Result.Load is wanted
	Record    bool // the history of writes, for a checker; it needs Fleet.Audit
	Tier      Tier
	Observer  Observer // is told what crosses proxies' edges; nil = nobody is
	Watch     *Watch   // nil = nobody looks
}

// Fault is a fault with its time.
type Fault struct {
	At time.Duration
	fleet.Fault
}

// Cut is a time in which nothing passes between a proxy and some databases. Connections stay open, and silent.
type Cut struct {
	At, For time.Duration
	Proxy   int // -1 = all
	Group   int // -1 = all
	Member  int // within its group; -1 = all
	Zone    int // -1 = all
}

func (c *Cut) hits(m *fleet.Member) bool {
	return (c.Group < 0 || c.Group == m.Group) && (c.Member < 0 || c.Member == m.Place) && (c.Zone < 0 || c.Zone == m.Zone)
}

// Still is a time in which the proxy does nothing.
type Still struct{ At, For time.Duration }

// Action is something that a test does to the proxy at a time.
type Action struct {
	At time.Duration
	Do func(*state.Engine)
}

// Yard gives the fleet of the timber yards, with the shares of its classes.
func Yard(seed uint64) Config {
	return Config{Seed: seed, Fleet: fleet.Config{Seed: seed, Groups: 1, Members: 3, Zones: launch.Zones(), Classes: launch.Classes()},
		Shares: launch.Shares(), For: time.Minute}
}

// LogicConfig is what the router is told of a fleet.
func LogicConfig(f fleet.Config, seed uint64) logic.Config {
	c := logic.Config{Seed: seed, Proxies: 1, Tick: 5 * time.Millisecond, ListOnRequest: true, SessionTokens: true, LagCheck: logic.LagCheckWait,
		EnableProbes: true, EnableCancel: true, EnableRetryAfter: true, MaxAttempts: 6, MaxRetryAfter: 500 * time.Millisecond,
		ColdPeriod: 13 * time.Second, ColdShare: 0.18, OverloadMultiple: 2.5}
	for _, x := range f.Classes {
		c.Classes = append(c.Classes, x.Class)
	}
	return c
}

// Capacity is the requests a second that the warm fleet can just do.
func (c *Config) Capacity() float64 {
	cores := c.Fleet.Cores
	if cores == 0 {
		cores = 3
	}
	sum, work := 0.0, 0.0
	for i, x := range c.Fleet.Classes {
		sum += c.Shares[i]
		work += c.Shares[i] * (x.Work.From + x.Work.To).Seconds() / 2
	}
	return float64(c.Fleet.Groups*c.Fleet.Members*cores) / (work / sum)
}

// processStart is where the machine's clock counts from.
var processStart = time.Now()

// clock is the virtual clock.
type clock struct{ now time.Duration }

func (c *clock) Now() time.Duration  { return c.now }
func (c *clock) Unix() time.Duration { return c.now + epoch }

type world struct {
	cfg          Config
	clock        *clock
	fleet        *fleet.Fleet
	nodes        []*node
	net          *rand.Rand // the network's
	todo         state.Deadlines
	conns        [][]*conn // by database
	res          Result
	newest       map[int]int // a group's last election, in res.Switches
	open         int
	worth, asked float64
	ids          uint64
	after        map[uint64]time.Duration
	watched      [][]*request // by class, in the order of coming, and so of the time by which they must have an answer
	series       series
	tier         *tier
	codec        codec
	planner      *planner // nil = there is none
	stopped      bool     // the observer has ended the run
}

// at lets something happen at a time.
func (w *world) at(at time.Duration, do func()) { w.todo.Set(&state.Deadline{}, at, do) }

// carry brings a message from a proxy to a database or back. A connection loses none: what the network drops comes a
// retransmission later, and what a cut holds up comes behind its end.
func (w *world) carry(n *node, m int, do func()) {
	at := w.clock.now + w.cfg.Way
	if w.cfg.Jitter > 0 {
		at += time.Duration(w.net.ExpFloat64() * float64(w.cfg.Jitter))
	}
	for again := retransmit; w.cfg.Loss > 0 && w.net.Float64() < w.cfg.Loss; again *= 2 {
		at += again
	}
	if end := w.cutUntil(n, m, at); end > 0 {
		at = end + time.Duration(w.net.Int64N(int64(retransmit)))
	}
	w.at(at, do)
}

// retransmit is the least time after which TCP sends again what had no answer (Linux: TCP_RTO_MIN).
const retransmit = 200 * time.Millisecond

// cutUntil tells when the cut ends that lies between a proxy and a database at a time; 0 = there is none.
func (w *world) cutUntil(n *node, m int, at time.Duration) (end time.Duration) {
	for _, c := range w.cfg.Cuts {
		if at >= base+c.At && at < base+c.At+c.For && (c.Proxy < 0 || c.Proxy == n.i) && c.hits(w.fleet.Members()[m]) {
			end = max(end, base+c.At+c.For)
		}
	}
	return max(end, w.tier.partedUntil(at, n.zone, w.fleet.Members()[m].Zone))
}

// Play plays a run to its end, until every request has its answer.
func Play(cfg Config) *Result {
	if cfg.Sessions == 0 {
		cfg.Sessions = 300
	}
	if cfg.Way == 0 {
		cfg.Way = 200 * time.Microsecond
	}
	if cfg.ProxySeed == 0 {
		cfg.ProxySeed = cfg.Seed
	}
	w := &world{cfg: cfg, clock: &clock{base - cfg.Before}, net: rand.New(rand.NewPCG(cfg.Seed, 0x2e7)),
		after: map[uint64]time.Duration{}, newest: map[int]int{}, conns: make([][]*conn, cfg.Fleet.Groups*cfg.Fleet.Members),
		watched: make([][]*request, len(cfg.Fleet.Classes))}
	w.res.Classes = make([]ClassResult, len(cfg.Fleet.Classes))
	w.beginTier()
	w.beginPlanner()
	var err error
	w.fleet, err = fleet.New(cfg.Fleet, base-cfg.Before, fleet.Observer{
		Liveness: w.turned,
		Role:     w.elected,
		Listed: func() {
			w.at(w.clock.now+time.Millisecond, func() {
				for _, n := range w.nodes {
					n.proxy(n.news)
				}
			})
		},
		Log: func(at time.Duration, text string) {
			w.res.Events = append(w.res.Events, Event{at - base, text})
			if strings.HasSuffix(text, "pushed while cold") {
				w.res.Fell++
			}
		}})
	if err != nil {
		panic(err)
	}
	for i := range max(cfg.Proxies, 1) {
		n := &node{w: w, i: i, zone: i % max(len(cfg.Fleet.Zones), 1), conns: map[*conn]struct{}{}}
		n.front = w.front(n)
		if cfg.Levels != nil && i == 0 {
			for _, l := range cfg.Levels.Ladder {
				w.res.Ladder = append(w.res.Ladder, l.Name)
			}
		}
		w.nodes = append(w.nodes, n)
		if w.planner != nil {
			w.planner.join(n)
		}
		n.proxy(func() { n.front.Start(n, w.list(logic.ListCached)) })
	}
	w.series.begin(w)
	w.observe()
	w.look()
	w.schedule()
	w.watch()
	w.stops()
	for _, f := range cfg.Faults {
		w.at(base+f.At, func() { w.fleet.Inject(w.clock.now, f.Fault) })
	}
	first := w.nodes[0]
	for _, a := range cfg.At {
		w.at(base+a.At, func() { first.proxy(func() { a.Do(first.front) }) })
	}
	for _, s := range cfg.Still {
		w.at(base+s.At, func() { first.late = w.clock.now + s.For })
		w.at(base+s.At+s.For, func() {
			in := first.inbox
			first.inbox = nil
			for _, do := range in {
				do()
			}
			first.arm()
		})
	}
	w.run()
	w.res.Worth = w.worth / max(w.asked, 1)
	w.series.finish(w)
	w.res.Changes = first.front.LevelHistory()
	w.res.Levels = first.front.Levels()
	for _, n := range w.nodes {
		w.res.Links += n.front.Connections()
		addCounters(&w.res.Counters, &n.front.Counters)
		for _, x := range n.front.Switches() {
			if x.Phase != "ended" {
				w.res.Held += x.HeldRequests
			}
		}
	}
	w.res.Fleet = w.fleet
	w.countChanges()
	return &w.res
}

// front makes a proxy's inside.
func (w *world) front(n *node) *state.Engine {
	cfg := &w.cfg
	decide := LogicConfig(cfg.Fleet, cfg.ProxySeed+uint64(n.i)<<32+uint64(n.life)<<52)
	decide.Handover, decide.Tuning, decide.Proxies = cfg.Handover, cfg.Tuning, max(cfg.Proxies, 1)
	decide.MaxPeerReports = cfg.Tier.Peers
	if len(cfg.Tier.Splits) > 0 || cfg.Tier.Uneven > 0 || cfg.Observer != nil {
		decide.Zone = n.zone
	}
	if cfg.Tune != nil {
		cfg.Tune(&decide)
	}
	f, err := state.New(state.Config{Logic: decide, Zones: cfg.Fleet.Zones, IdleClose: 30 * time.Second,
		ConnectTimeout: 250 * time.Millisecond, MaxConnections: 1 << 20}, w.clock, n)
	if err != nil {
		panic(err)
	}
	if cfg.Levels != nil {
		f.ConfigureLevels(cfg.Levels)
	}
	if cfg.Tier.Peers > 0 {
		f.SetPeerSender(n)
	}
	w.shareChecks(n, f)
	return f
}

func (w *world) countChanges() {
	w.res.PerGroup = make([]int, w.cfg.Fleet.Groups)
	for i, c := range w.res.Changes {
		w.res.PerGroup[c.Group]++
		n := 0
		for _, d := range w.res.Changes[i:] {
			if d.Group == c.Group && d.At-c.At < time.Minute {
				n++
			}
		}
		w.res.Most = max(w.res.Most, n)
	}
}

// run carries out all that is due, in the order of time, until nobody waits for an answer any more.
func (w *world) run() {
	end := base + w.cfg.For
	for !w.stopped && (w.clock.now < end || w.open > 0) {
		next := time.Duration(math.MaxInt64)
		if at, ok := w.fleet.Next(); ok {
			next = at
		}
		if at, ok := w.todo.Next(); ok {
			next = min(next, at)
		}
		w.clock.now = max(w.clock.now, next)
		w.fleet.Advance(w.clock.now)
		w.todo.Run(w.clock.now)
		w.res.Steps++
	}
}
