// Package virtual plays a fleet, its clients and its proxies on a virtual clock: the model's databases, the true
// internal/state with the true decisions behind it, and clients that ask by a schedule. Nothing runs beside it, so the
// same seed gives the same run, and a minute takes a fraction of a second. What it leaves out: sockets, their
// handshakes and the proxy's own work.
package virtual

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"havenproxy/internal/handover"
	"havenproxy/internal/lab/arrivals"
	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/history"
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
	Heat       bool // Result.Load is wanted
	Record     bool // the history of writes, for a checker; it needs Fleet.Audit
	Tier       Tier
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
	Do func(*state.Front)
}

// ClassResult is what became of a class.
type ClassResult struct {
	Offered, InAim, Late, Refused, Failed, Silent int
	Tries                                         int
}

// Result is the outcome of a run.
type Result struct {
	Classes   []ClassResult
	Worth     float64 // earned, as a part of what was asked for
	Changes   []state.LevelChange
	Ladder    []string           // the levels' names, the lowest first
	PerGroup  []int              // level changes
	Most      int                // of changes within any minute, of any group
	Fell      int                // databases that fell over while cold
	Levels    []state.GroupLevel // at the end
	Kept      int                // groups that the router keeps at the end
	Fleet     *fleet.Fleet
	Writes    []history.Write // with Config.Record
	Switches  []Election      // in their order
	Held      int             // requests held at the end
	BySession [2]ClassResult  // of the one that sends the most, and of the others
	Worst10   float64         // the worth in the worst 10 s
	Seconds   []Sample
	Latency   []*hdrhistogram.Histogram // by class, of what was served, in microseconds from when it came
	Load      [][]float64               // of each database in each second: its work, as a part of what its warm cores can do
	Counters  state.Counters            // of all proxies
	Steps     int                       // of the engine
	Links     int                       // connections to databases at the end
	// The true time that the proxies' decisions and state took, on this machine: for what came to them, and for what they do by
	// the clock. With Config.Clocked.
	InProxies, InTimers time.Duration
	InPeers             time.Duration // the same for what peers tell
	Events              []Event       // faults and what came of them

	// Of the tier: messages to peers with their bytes, as sent and as they came to each receiver; calls for the list; proxies that ended.
	Messages, MessageBytes, Delivered, DeliveredBytes uint64
	ListCalls                                         uint64
	Stopped                                           int
}

// Election is a database that became primary, with what followed.
type Election struct {
	At     time.Duration
	Group  int
	Member int
	First  time.Duration // until the first write was served by it; 0 = none was
	Push   float64       // work sent to it in its first 2 s, against what it could do then
}

// InAim is the part of a class that was answered in time.
func (r *Result) InAim(class int) float64 {
	return float64(r.Classes[class].InAim) / float64(max(r.Classes[class].Offered, 1))
}

// Yard gives the fleet of the timber yards, with the shares of its classes.
func Yard(seed uint64) Config {
	return Config{Seed: seed, Fleet: fleet.Config{Seed: seed, Groups: 1, Members: 3, Zones: launch.Zones(), Classes: launch.Classes()},
		Shares: launch.Shares(), For: time.Minute}
}

// LogicConfig is what the router is told of a fleet.
func LogicConfig(f fleet.Config, seed uint64) logic.Config {
	c := logic.Config{Seed: seed, Fronts: 1, Tick: 5 * time.Millisecond, Pull: true, Carried: true, Checks: logic.ChecksWait,
		MayProbe: true, MayCancel: true, MayComeBack: true, MaxAttempts: 6, MaxComeBack: 500 * time.Millisecond,
		Cold: 13 * time.Second, ColdShare: 0.18, FallMultiple: 2.5}
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
}

// node is one proxy.
type node struct {
	w     *world
	i     int
	zone  int
	front *state.Front
	life  int  // counts starts; what was under way in an earlier life is lost
	dead  bool // between two lives
	// leaving: it has been told to end and takes nothing new.
	leaving bool
	conns   map[*conn]struct{}
	late    time.Duration // it stands still until then
	inbox   []func()      // what waits for it
	watch   bool
	wake    state.Deadline // its own first deadline, among the world's
	armed   time.Duration
}

// at lets something happen at a time.
func (w *world) at(at time.Duration, do func()) { w.todo.Set(&state.Deadline{}, at, do) }

// proxy does something at the proxy, once it has the time.
func (n *node) proxy(do func()) {
	if n.dead {
		return
	}
	if n.w.clock.now < n.late {
		n.inbox = append(n.inbox, do)
		return
	}
	if n.w.cfg.Clocked {
		defer n.w.clocked(time.Now(), &n.w.res.InProxies)
	}
	do()
	n.arm()
}

// clocked adds the true time that something took.
func (w *world) clocked(began time.Time, to *time.Duration) { *to += time.Since(began) }

// arm sees to it that the proxy is looked at when its first deadline is due. So a step costs nothing for the proxies that it
// doesn't concern.
func (n *node) arm() {
	at, ok := n.front.Deadlines.Next()
	if !ok {
		return
	}
	if at = max(at, n.late); n.armed == 0 || at < n.armed {
		n.armed = at
		n.w.todo.Set(&n.wake, at, n.due)
	}
}

func (n *node) due() {
	n.armed = 0
	if n.dead {
		return
	}
	if n.w.cfg.Clocked {
		defer n.w.clocked(time.Now(), &n.w.res.InTimers)
	}
	if n.w.clock.now >= n.late {
		n.front.Deadlines.Run(n.w.clock.now)
	}
	n.arm()
}

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
		n.proxy(func() { n.front.Start(n, w.list(logic.ListCached)) })
	}
	w.series.begin(w)
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
		w.res.Links += n.front.Links()
		addCounters(&w.res.Counters, &n.front.Counters)
		for _, x := range n.front.Switches() {
			if x.Phase != "ended" {
				w.res.Held += x.Held
			}
		}
	}
	w.res.Fleet = w.fleet
	w.countChanges()
	return &w.res
}

// front makes a proxy's inside.
func (w *world) front(n *node) *state.Front {
	cfg := &w.cfg
	decide := LogicConfig(cfg.Fleet, cfg.ProxySeed+uint64(n.i)<<32+uint64(n.life)<<52)
	decide.Handover, decide.Tuning, decide.Fronts = cfg.Handover, cfg.Tuning, max(cfg.Proxies, 1)
	decide.PeerFacts = cfg.Tier.Peers
	if len(cfg.Tier.Splits) > 0 || cfg.Tier.Uneven > 0 {
		decide.Zone = n.zone
	}
	if cfg.Tune != nil {
		cfg.Tune(&decide)
	}
	f, err := state.New(state.Config{Logic: decide, Zones: cfg.Fleet.Zones, IdleClose: 30 * time.Second,
		ConnectTimeout: 250 * time.Millisecond, MaxLinks: 1 << 20}, w.clock, n)
	if err != nil {
		panic(err)
	}
	if cfg.Levels != nil {
		f.Reduce(cfg.Levels)
	}
	if cfg.Tier.Peers > 0 {
		f.Peers(n)
	}
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
	for w.clock.now < end || w.open > 0 {
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

// ---- Clients ----

func (w *world) schedule() {
	source := w.cfg.Arrivals
	if source == nil {
		source = arrivals.New(arrivals.Config{Seed: w.cfg.Seed, Rate: w.cfg.Rate, For: w.cfg.For, Shares: w.cfg.Shares, Groups: w.cfg.Fleet.Groups,
			Sessions: w.cfg.Sessions, HotSession: w.cfg.HotSession})
	}
	var slot state.Deadline // one is planned at a time
	var plan func()
	plan = func() {
		if in, more := source.Next(); more {
			w.todo.Set(&slot, base+in.At, func() {
				w.arrive(in)
				plan()
			})
		}
	}
	plan()
}

// elected notes a new primary.
func (w *world) elected(m int, r logic.Role) {
	if r == logic.RolePrimary {
		g := w.fleet.Members()[m].Group
		w.newest[g] = len(w.res.Switches)
		w.res.Switches = append(w.res.Switches, Election{At: w.clock.now - base, Group: g, Member: m})
	}
}

// election is that of a member which has just become primary.
func (w *world) election(m int) *Election {
	if i, ok := w.newest[w.fleet.Members()[m].Group]; ok && w.res.Switches[i].Member == m {
		return &w.res.Switches[i]
	}
	return nil
}

type request struct {
	w       *world
	n       *node
	class   int
	group   int
	session uint64
	hot     bool
	key     string
	due     time.Duration
	until   time.Duration
	tries   int
	over    bool
	id      logic.RequestID
	called  time.Duration // the try in hand
	inHand  bool          // a proxy has it
	served  int           // the database that answered last
	luck    float64       // its work, within its class's span: the same under every variant
}

func (w *world) arrive(in arrivals.Request) {
	class := in.Class
	r := &request{w: w, class: class, group: in.Group, due: w.clock.now, luck: in.Luck, hot: in.Session == 0}
	if w.cfg.Record && w.cfg.Fleet.Classes[class].Read == logic.Write {
		w.ids++
		r.key = strconv.FormatUint(w.ids, 10)
	}
	if r.n = w.living(w.home(in.Group, in.Session)); in.Roam < w.cfg.Roam {
		r.n = w.living(int(in.To) % len(w.nodes))
	}
	r.session = uint64(r.group)<<32 + uint64(in.Session)*0x9e3779b97f4a7c15 + 1
	c := &w.cfg.Fleet.Classes[class]
	r.until = r.due + c.Limit
	w.open++
	w.asked += c.Worth
	w.res.Classes[class].Offered++
	w.watched[class] = append(w.watched[class], r)
	r.try()
}

// watch finds requests whose answer never comes, a second after the end of their time.
func (w *world) watch() {
	for class, list := range w.watched {
		n := 0
		for ; n < len(list) && (list[n].over || w.clock.now >= list[n].until+time.Second); n++ {
			if r := list[n]; !r.over {
				r.record(history.Unanswered)
				r.end(&w.res.Classes[class].Silent, 0)
			}
			list[n] = nil
		}
		w.watched[class] = list[n:]
	}
	w.at(w.clock.now+100*time.Millisecond, w.watch)
}

func (r *request) try() {
	w := r.w
	w.res.Classes[r.class].Tries++
	r.tries++
	r.called, r.inHand = w.clock.now, true
	if r.n.dead { // refused a connection
		r.lost()
		return
	}
	r.n.proxy(func() {
		c := &w.cfg.Fleet.Classes[r.class]
		in := state.Request{Class: c.Name, Wait: r.until - w.clock.now, Session: r.session, Group: r.group, Command: command{r}, Caller: r}
		if at := w.after[r.session]; at > 0 && c.Read == logic.Session {
			in.After = int64((w.clock.Unix() - w.clock.now + at) / time.Millisecond)
		}
		if in.Wait <= 0 {
			r.Refused(0)
			return
		}
		r.id, _ = r.n.front.Take(in)
	})
}

// record notes the end of a try to write.
func (r *request) record(e history.End) {
	if r.key != "" {
		r.w.res.Writes = append(r.w.res.Writes, history.Write{Key: r.key, Group: r.group, Call: r.called, Return: r.w.clock.now, End: e})
	}
}

func (r *request) end(count *int, part float64) {
	if r.over {
		return
	}
	r.over = true
	*count++
	r.w.open--
	r.w.worth += part * r.w.cfg.Fleet.Classes[r.class].Worth
	r.w.series.end(r, part)
	b := &r.w.res.BySession[1]
	if r.hot {
		b = &r.w.res.BySession[0]
	}
	b.Offered++
	if part == 1 {
		b.InAim++
	}
}

// Served implements state.Caller.
func (r *request) Served([]byte) {
	k := &r.w.res.Classes[r.class]
	c := &r.w.cfg.Fleet.Classes[r.class]
	r.inHand = false
	r.record(history.Served)
	if c.Read == logic.Write {
		r.w.after[r.session] = r.w.clock.now
		if e := r.w.election(r.served); e != nil && e.First == 0 {
			e.First = r.w.clock.now - base - e.At
		}
	}
	if r.w.clock.now-r.due <= c.Aim {
		r.end(&k.InAim, 1)
		return
	}
	r.end(&k.Late, c.Late)
}

// Refused implements state.Caller.
func (r *request) Refused(comeBack time.Duration) {
	w := r.w
	r.inHand = false
	r.record(history.Refused)
	wait := w.cfg.RetryWait
	if w.cfg.Honour {
		wait = max(wait, comeBack)
	}
	if r.tries > w.cfg.Retries || w.clock.now+wait >= r.until {
		r.end(&w.res.Classes[r.class].Refused, 0)
		return
	}
	w.at(w.clock.now+max(wait, time.Millisecond), r.try)
}

// Failed implements state.Caller.
func (r *request) Failed() {
	r.inHand = false
	r.record(history.Failed)
	r.end(&r.w.res.Classes[r.class].Failed, 0)
}

// Unfit implements state.Caller.
func (r *request) Unfit([]byte) { r.Failed() }

type command struct{ r *request }

// AppendTo implements state.Command; nothing is written here.
func (command) AppendTo(dst []byte, _ time.Duration) []byte { return dst }

// ---- Databases, as the proxy sees them ----

type conn struct {
	w      *world
	n      *node
	m      int
	to     state.Listener
	up     bool
	closed bool
	ticket fleet.Ticket
	out    bool
}

// Open implements state.Opener. The address is the member's number.
func (n *node) Open(address string, _ int, to state.Listener) state.Conn {
	w, m := n.w, 0
	for _, d := range address {
		m = m*10 + int(d-'0')
	}
	c := &conn{w: w, n: n, m: m, to: to}
	w.conns[m] = append(w.conns[m], c)
	n.conns[c] = struct{}{}
	w.at(w.clock.now+3*w.cfg.Way, func() {
		switch {
		case c.closed || w.cutUntil(n, m, w.clock.now) > 0:
		case w.fleet.Liveness(m) == fleet.Down:
			n.proxy(c.refused)
		case w.fleet.Liveness(m) == fleet.Up:
			c.up = true
			n.proxy(func() {
				if !c.closed {
					c.to.Up()
				}
			})
		}
	})
	return c
}

// GivenUp implements state.Opener.
func (n *node) GivenUp() int { return 0 }

func (c *conn) down() {
	if !c.closed {
		c.Close()
		c.to.Down()
	}
}

func (c *conn) refused() {
	if !c.closed {
		c.Close()
		c.to.Refused()
	}
}

// turned ends connections to a database that died.
func (w *world) turned(m int, l fleet.Liveness) {
	if l != fleet.Down {
		return
	}
	for _, c := range w.conns[m] {
		w.carry(c.n, m, func() { c.n.proxy(c.down) })
	}
}

// Send implements state.Conn.
func (c *conn) Send(cmd state.Command, wait time.Duration) error {
	r := cmd.(command).r
	w := c.w
	until := w.clock.now + wait
	w.carry(c.n, c.m, func() {
		if c.closed {
			return
		}
		if e := w.election(c.m); e != nil && w.clock.now-base-e.At < pushed {
			e.Push += w.fleet.MeanWork(r.class) / (w.fleet.Capacity(c.m) * pushed.Seconds())
		}
		c.ticket = w.fleet.Submit(w.clock.now, c.m, fleet.Query{Class: r.class, Key: r.key, After: w.after[r.session], Deadline: until, Luck: r.luck}, func(p fleet.Reply) {
			w.carry(c.n, c.m, func() {
				c.n.proxy(func() {
					if !c.closed {
						r.served = c.m
						c.to.Reply(w.reply(p))
					}
				})
			})
		})
		c.out = true
	})
	return nil
}

func (w *world) reply(p fleet.Reply) state.Reply {
	out := state.Reply{Role: p.Role, Position: int64((w.clock.Unix() - w.clock.now + p.Position) / time.Millisecond)}
	out.Result = [...]logic.Result{fleet.Served: logic.OK, fleet.NotPrimary: logic.Miss, fleet.TooFarBack: logic.Miss,
		fleet.TurnedAway: logic.Full, fleet.Broken: logic.Failed}[p.Result]
	return out
}

// Probe implements state.Conn.
func (c *conn) Probe() error {
	w := c.w
	w.carry(c.n, c.m, func() {
		if c.closed {
			return
		}
		w.fleet.Probe(w.clock.now, c.m, func(r fleet.Report) {
			w.carry(c.n, c.m, func() {
				c.n.proxy(func() {
					if !c.closed {
						c.to.Reply(state.Reply{Result: logic.OK, Load: state.Load{Told: true, Role: r.Role, Queue: -1,
							Position: (w.clock.Unix() - w.clock.now + r.Position).Seconds()}})
					}
				})
			})
		})
	})
	return nil
}

// Quiet implements state.Conn.
func (c *conn) Quiet() bool { return !c.closed }

// Close implements state.Conn.
func (c *conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.n.conns, c)
	c.w.conns[c.m] = slices.DeleteFunc(c.w.conns[c.m], func(x *conn) bool { return x == c })
	if c.out {
		c.w.carry(c.n, c.m, func() { c.w.fleet.Withdraw(c.w.clock.now, c.ticket) })
	}
}

// ---- The list ----

func (w *world) list(kind logic.ListKind) state.List {
	entries, _, _ := w.fleet.List(w.clock.now)
	out := state.List{Kind: kind}
	for _, e := range entries {
		m := w.fleet.Members()[e.Member]
		x := state.Entry{Name: name(e.Member), Address: digits(e.Member), Zone: w.cfg.Fleet.Zones[m.Zone], Group: m.Group, State: e.State, Size: 1}
		if e.Started > 0 {
			x.Started = w.clock.Unix() - w.clock.now + e.Started
		}
		if e.State != logic.Gone {
			out.Entries = append(out.Entries, x)
		}
	}
	return out
}

func (n *node) news() {
	switch {
	case !n.watch:
	case n.w.tier.ListCalls > 0:
		n.call()
	default:
		n.front.Listed(n.w.list(logic.ListFull))
	}
}

// Watch implements state.Watcher.
func (n *node) Watch(on bool) {
	n.watch = on
	n.Fetch()
}

// Fetch implements state.Watcher.
func (n *node) Fetch() { n.call() }

func (n *node) call() {
	w := n.w
	w.listed(n, func(ok bool) {
		if _, _, up := w.fleet.List(w.clock.now); !ok || !up {
			n.proxy(func() { n.front.ListFailed(errDown) })
			return
		}
		n.proxy(func() { n.front.Listed(w.list(logic.ListFull)) })
	})
}
