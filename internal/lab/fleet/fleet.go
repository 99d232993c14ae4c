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

type entry struct {
	commit time.Duration
	work   time.Duration
	done   time.Duration // when this replica has applied it
}

type job struct {
	m      *Member
	life   int
	q      Query
	done   func(Reply)
	ends   time.Duration // when running
	left   time.Duration // of its work while the member hangs
	turn   int           // void events of an earlier turn
	over   bool
	cancel bool
}

// Ticket names a query under way; it may be withdrawn.
type Ticket struct{ j *job }

// logKept is how long the log of a group is kept for members that come back.
const logKept = 120 * time.Second

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

func without(list []*job, j *job) []*job {
	for i, x := range list {
		if x == j {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
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

// take admits a query: the checks that cost nothing come first, as in a database.
func (m *Member) take(j *job) {
	f, c := m.f, &m.f.cfg.Classes[j.q.Class]
	switch {
	case m.draining || j.q.Deadline > 0 && f.clock.Now >= j.q.Deadline:
		m.reply(j, TurnedAway, m.applied())
		return
	case f.clock.Now < m.errorsTill && f.rng.Float64() < m.errors:
		m.reply(j, Broken, m.applied())
		return
	case c.Read == logic.Write || c.Read == logic.Fresh:
		if m.role != logic.RolePrimary || m.g.primary != m {
			r := TooFarBack
			if c.Read == logic.Write {
				r = NotPrimary
			}
			m.reply(j, r, m.applied())
			return
		}
	case !m.sees(j):
		m.late = append(m.late, j)
		f.at(f.clock.Now+f.cfg.ReadWait, func() {
			if j.over || j.cancel || j.life != m.life || m.live != Up {
				return
			}
			m.late = without(m.late, j)
			if m.sees(j) {
				m.enter(j)
			} else {
				m.reply(j, TooFarBack, m.applied())
			}
		})
		return
	}
	m.enter(j)
}

// sees tells whether the data here is new enough for a read.
func (m *Member) sees(j *job) bool {
	switch c := &m.f.cfg.Classes[j.q.Class]; c.Read {
	case logic.Bounded:
		return m.applied() >= m.f.clock.Now-c.MaxAge
	case logic.Session:
		return m.applied() >= j.q.After
	}
	return true
}

func (m *Member) enter(j *job) {
	m.push(j)
	if m.live != Up {
		return
	}
	if len(m.running) >= m.f.cfg.Cores {
		if len(m.waiting) >= m.f.cfg.WaitingRoom {
			m.reply(j, TurnedAway, m.applied())
			return
		}
		m.waiting = append(m.waiting, j)
		return
	}
	m.run(j)
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

func (m *Member) run(j *job) {
	work := m.f.work(&j.q)
	m.worked += work
	m.running = append(m.running, j)
	j.ends = m.f.clock.Now + time.Duration(float64(work)/m.speed())
	m.schedule(j)
}

func (m *Member) schedule(j *job) {
	j.turn++
	turn := j.turn
	m.f.at(j.ends, func() {
		if j.life == m.life && j.turn == turn && m.live == Up {
			m.finish(j)
		}
	})
}

func (m *Member) finish(j *job) {
	m.running = without(m.running, j)
	c := &m.f.cfg.Classes[j.q.Class]
	switch {
	case c.Read == logic.Write && (m.g.primary != m || m.role != logic.RolePrimary):
		m.reply(j, Broken, m.applied()) // it was deposed meanwhile: the commit is fenced off
	case c.Read == logic.Write:
		m.commit(j)
	default:
		m.reply(j, Served, m.applied())
	}
	m.next()
}

// next starts what waits, once cores are free.
func (m *Member) next() {
	for m.live == Up && len(m.running) < m.f.cfg.Cores && len(m.waiting) > 0 {
		j := m.waiting[0]
		m.waiting = m.waiting[1:]
		if j.q.Deadline > 0 && m.f.clock.Now >= j.q.Deadline {
			m.reply(j, TurnedAway, m.applied())
			continue
		}
		m.run(j)
	}
}

// busy lets a core do something short that answers nobody: all that runs is put off by its part.
func (m *Member) busy(work time.Duration) {
	if len(m.running) < m.f.cfg.Cores {
		return
	}
	j := m.running[0]
	j.ends += time.Duration(float64(work) / m.speed())
	m.schedule(j)
}

// pushWindow is the grain in which the push on a cold database is looked at.
const pushWindow = 500 * time.Millisecond

// push counts the work sent to a cold database, which falls over when it is too much for too long.
func (m *Member) push(j *job) {
	if !m.cold() {
		m.pushedIn, m.pushFrom = 0, 0
		return
	}
	f := m.f
	if m.pushFrom == 0 || f.clock.Now-m.pushFrom >= pushWindow {
		limit := f.cfg.FallMultiple * m.speed() * float64(f.cfg.Cores) * pushWindow.Seconds()
		if m.pushFrom > 0 && f.clock.Now-m.pushFrom < 2*pushWindow && m.pushed.Seconds() > limit {
			m.pushedIn++
		} else {
			m.pushedIn = 0
		}
		m.pushFrom, m.pushed = f.clock.Now, 0
	}
	m.pushed += time.Duration(f.MeanWork(j.q.Class) * 1e9)
	if time.Duration(m.pushedIn)*pushWindow >= f.cfg.FallAfter {
		f.logf("database %d falls over: pushed while cold", m.ID)
		f.kill(m, 10*time.Second)
	}
}

// ---- The log ----

// commit applies a write at the primary. It is acknowledged when the first replica has it, so that no write that was
// acknowledged is lost in an election.
func (m *Member) commit(j *job) {
	f, g := m.f, m.g
	now := f.clock.Now
	if j.q.Key != "" {
		if at, ok := g.keys[j.q.Key]; ok && now-at < f.cfg.DedupWindow {
			if !j.over && !j.cancel && j.life == m.life {
				j.over = true
				j.done(Reply{Result: Served, Role: m.role, Position: at, Repeat: true})
			}
			return
		}
		g.keys[j.q.Key] = now
		f.at(now+f.cfg.DedupWindow, func() {
			if at, ok := g.keys[j.q.Key]; ok && f.clock.Now-at >= f.cfg.DedupWindow {
				delete(g.keys, j.q.Key)
			}
		})
		if f.cfg.Audit {
			g.applied[j.q.Key]++
		}
	}
	e := entry{commit: now, work: time.Duration(float64(f.work(&j.q)) * f.cfg.ApplyShare)}
	g.log = append(g.log, e)
	if len(g.log) > 1024 && g.log[512].commit < now-logKept {
		g.log = append(g.log[:0], g.log[512:]...)
	}
	ack := now
	first := true
	for _, r := range g.members {
		if r == m || r.live == Down {
			continue
		}
		arrives := now + f.draw(f.cfg.LogDelay)
		if f.clock.Now < r.lagTill {
			arrives += r.lag
		} else if first || arrives < ack {
			ack, first = arrives, false
		}
		r.receive(e, arrives)
	}
	life := m.life
	f.at(ack, func() {
		if m.life != life || j.over || j.cancel {
			return
		}
		answer := func() {
			if !j.over && !j.cancel {
				j.over = true
				j.done(Reply{Result: Served, Role: m.role, Position: now})
			}
		}
		if m.live == Hung { // it is applied, and the answer waits for the machine
			m.owed = append(m.owed, answer)
			return
		}
		answer()
	})
}

func (m *Member) receive(e entry, arrives time.Duration) {
	e.done = max(arrives, m.applyFree) + time.Duration(float64(e.work)/m.speed())
	m.applyFree = e.done
	m.pending = append(m.pending, e)
}

// applied brings the position up to now and gives it: all commits up to then can be seen here.
func (m *Member) applied() time.Duration {
	now, g := m.f.clock.Now, m.g
	if g.primary == m {
		m.position, g.beats = now, now
		return now
	}
	n := 0
	for ; n < len(m.pending) && m.pending[n].done <= now; n++ {
		m.position = max(m.position, m.pending[n].commit)
	}
	m.pending = append(m.pending[:0], m.pending[n:]...)
	beat := now - m.f.cfg.LogDelay.To // a primary without writes tells that it lives
	if now < m.lagTill {
		beat -= m.lag
	}
	if g.primary == nil || g.primary.live != Up {
		beat = min(beat, g.beats)
	}
	if len(m.pending) > 0 {
		beat = min(beat, m.pending[0].commit-1)
	}
	m.position = max(m.position, beat)
	return m.position
}

// catchUp hands a member that comes back what it has missed of the log.
func (m *Member) catchUp() {
	m.pending = m.pending[:0]
	m.applyFree = m.f.clock.Now
	for _, e := range m.g.log {
		if e.commit > m.position {
			m.receive(e, m.f.clock.Now)
		}
	}
}
