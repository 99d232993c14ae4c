package fleet

import (
	"time"

	"havenproxy/logic"
)

// A database's queue and its cores.

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

func without(list []*job, j *job) []*job {
	for i, x := range list {
		if x == j {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
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
