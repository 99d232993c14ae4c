package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"havenproxy/internal/lab/clockwork"
	"havenproxy/logic"
)

// Fleet models replicated databases as events on a clock that its callers advance. It is not safe for concurrent use; times must
// not decrease from call to call.
type Fleet struct {
	cfg     Config
	rng     *rand.Rand
	obs     Observer
	clock   clockwork.Clock
	fates   map[[2]int]int // how often each was drawn
	members []*Member
	groups  []*group

	list      []Entry // as discovery shows it
	listGen   int64
	listStill time.Duration // changes are published from this time on
	listDown  time.Duration // discovery is unavailable before this time
}

// Member is one database.
type Member struct {
	ID    int
	Group int
	Place int // within the group
	Zone  int

	f          *Fleet
	g          *group
	live       Liveness
	life       int // counts starts; what was due in an earlier life is void
	role       logic.Role
	draining   bool
	started    time.Duration // 0 = long ago
	slow       float64
	slowTill   time.Duration
	errors     float64 // part of the requests that it answers with an error
	errorsTill time.Duration

	running []*job
	waiting []*job
	late    []*job   // reads that wait for the log
	owed    []func() // answers that a hang holds back

	position  time.Duration
	pending   []entry // of the log, not applied yet
	applyFree time.Duration
	lag       time.Duration
	lagTill   time.Duration

	worked   time.Duration // work of queries that it has begun, in time of a warm core
	pushFrom time.Duration // while cold: a window of work that came
	pushed   time.Duration
	pushedIn int // windows in a row with too much
	report   Report
	reportAt time.Duration
}

type group struct {
	id      int
	members []*Member
	primary *Member       // nil while there is none
	beats   time.Duration // up to then a primary has lived
	lostAt  time.Duration // when the primary was lost
	term    int
	log     []entry
	keys    map[string]time.Duration // when applied
	applied map[string]int           // with Audit
}

// New makes a fleet at a time; all are warm, the first member of each group is its primary.
func New(cfg Config, now time.Duration, obs Observer) (*Fleet, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	f := &Fleet{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0xf1ee7)), obs: obs, clock: clockwork.Clock{Now: now}, listGen: 1, fates: map[[2]int]int{}}
	for gi := range cfg.Groups {
		g := &group{id: gi, beats: now, keys: map[string]time.Duration{}, applied: map[string]int{}}
		for mi := range cfg.Members {
			m := &Member{ID: len(f.members), Group: gi, Place: mi, Zone: (gi + mi) % len(cfg.Zones), f: f, g: g, role: logic.RoleReplica,
				slow: 1, position: now}
			f.members, g.members = append(f.members, m), append(g.members, m)
			f.list = append(f.list, Entry{Member: m.ID, State: logic.Ready})
		}
		g.primary = g.members[0]
		g.primary.role = logic.RolePrimary
		f.groups = append(f.groups, g)
	}
	return f, nil
}

// ---- The clock ----

func (f *Fleet) at(at time.Duration, do func()) { f.clock.At(at, do) }

// Advance carries out all that is due up to now, in order.
func (f *Fleet) Advance(now time.Duration) {
	f.clock.Run(now)
	f.clock.Now = max(f.clock.Now, now)
}

// Next tells when the next event is due.
func (f *Fleet) Next() (time.Duration, bool) { return f.clock.Next() }

func (f *Fleet) draw(s Span) time.Duration {
	if s.To <= s.From {
		return s.From
	}
	return s.From + time.Duration(f.rng.Int64N(int64(s.To-s.From)))
}

// What befalls the fleet by chance. Each such draw has a source of its own, named by what it is for and how often that has
// been: the fate of a day is the same whatever traffic does, so that two variants can be compared on it.
const (
	fateDetection = iota + 1
	fateElection
	fateHandOver
	fateGone
	fateBack
)

func (f *Fleet) fate(s Span, what, who int) time.Duration {
	if s.To <= s.From {
		return s.From
	}
	key := [2]int{what, who}
	f.fates[key]++
	rng := rand.New(rand.NewPCG(f.cfg.Seed, uint64(what)<<56|uint64(who)<<24|uint64(f.fates[key])))
	return s.From + time.Duration(rng.Int64N(int64(s.To-s.From)))
}

func (f *Fleet) logf(format string, args ...any) {
	if f.obs.Log != nil {
		f.obs.Log(f.clock.Now, fmt.Sprintf(format, args...))
	}
}

// ---- What is asked of the fleet ----

// Members gives all databases; they are read only.
func (f *Fleet) Members() []*Member { return f.members }

// MeanWork is the mean work of a class, in seconds of one core.
func (f *Fleet) MeanWork(class int) float64 {
	w := f.cfg.Classes[class].Work
	return (w.From + w.To).Seconds() / 2
}

// Capacity is the work that a database can do now in a second, in seconds of a warm core.
func (f *Fleet) Capacity(member int) float64 {
	return f.members[member].speed() * float64(f.cfg.Cores)
}

// Cores is how many a database has.
func (f *Fleet) Cores() int { return f.cfg.Cores }

// Worked gives the work of all queries that a database has begun, in time of a warm core.
func (f *Fleet) Worked(member int) time.Duration { return f.members[member].worked }

// Liveness tells how a database's process looks.
func (f *Fleet) Liveness(member int) Liveness { return f.members[member].live }

// Applied tells how often a key's write was applied in a group; with Config.Audit only.
func (f *Fleet) Applied(group int, key string) int { return f.groups[group].applied[key] }

// Primary gives the member that is primary of a group, or -1.
func (f *Fleet) Primary(group int) int {
	if p := f.groups[group].primary; p != nil && p.live == Up {
		return p.ID
	}
	return -1
}

// Submit takes a query in at a database that is not Down. done is called once, at once or later, unless the query is
// withdrawn or the database dies, which ends its connections.
func (f *Fleet) Submit(now time.Duration, member int, q Query, done func(Reply)) Ticket {
	f.Advance(now)
	m := f.members[member]
	j := &job{m: m, life: m.life, q: q, done: done}
	if m.live == Down {
		j.over = true
		return Ticket{j}
	}
	if m.live == Hung {
		m.waiting = append(m.waiting, j)
		return Ticket{j}
	}
	m.take(j)
	return Ticket{j}
}

// Withdraw drops a query whose sender has gone: it leaves the waiting room; one that runs goes on, unheard.
func (f *Fleet) Withdraw(now time.Duration, t Ticket) {
	f.Advance(now)
	j := t.j
	if j == nil || j.over {
		return
	}
	j.cancel = true
	m := j.m
	m.waiting = without(m.waiting, j)
	m.late = without(m.late, j)
}

// Probe gives a database's report on itself to done: at once, or once a hang is over; never, if the database dies.
func (f *Fleet) Probe(now time.Duration, member int, done func(Report)) {
	f.Advance(now)
	m := f.members[member]
	switch m.live {
	case Down:
		return
	case Hung:
		m.owed = append(m.owed, func() { f.Probe(f.clock.Now, member, done) })
		return
	}
	if m.reportAt == 0 || now-m.reportAt >= f.cfg.ReportEvery {
		m.report, m.reportAt = Report{Role: m.role, Position: m.applied(), Inflight: len(m.running) + len(m.waiting)}, now
	}
	m.busy(f.cfg.ProbeWork)
	done(m.report)
}

// List returns the members as discovery shows them, the generation of that list, and whether discovery is available.
func (f *Fleet) List(now time.Duration) (entries []Entry, generation int64, ok bool) {
	f.Advance(now)
	return append([]Entry(nil), f.list...), f.listGen, now >= f.listDown
}

// ---- A database at work ----

func (m *Member) speed() float64 {
	s := 1.0
	if age := m.f.clock.Now - m.started; m.started > 0 && age < m.f.cfg.Cold {
		s = m.f.cfg.ColdShare + (1-m.f.cfg.ColdShare)*float64(age)/float64(m.f.cfg.Cold)
	}
	if m.f.clock.Now < m.slowTill {
		s /= m.slow
	}
	return s
}

func (m *Member) cold() bool { return m.started > 0 && m.f.clock.Now-m.started < m.f.cfg.Cold }

func (m *Member) reply(j *job, r Result, position time.Duration) {
	if j.over || j.life != m.life {
		return
	}
	j.over = true
	if !j.cancel {
		j.done(Reply{Result: r, Role: m.role, Position: position})
	}
}

// work is what a query takes of a warm core.
func (f *Fleet) work(q *Query) time.Duration {
	s := f.cfg.Classes[q.Class].Work
	if f.cfg.Classes[q.Class].Exponential {
		luck := q.Luck
		if luck <= 0 {
			luck = 1 - f.rng.Float64()
		}
		return time.Duration(-math.Log(luck) * float64(s.From+s.To) / 2)
	}
	if q.Luck > 0 {
		return s.From + time.Duration(q.Luck*float64(s.To-s.From))
	}
	return f.draw(s)
}

// ---- The log ----
