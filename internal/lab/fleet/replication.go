package fleet

import (
	"time"
)

// Replication: what is committed at a primary reaches the replicas and is applied there.

type entry struct {
	commit time.Duration
	work   time.Duration
	done   time.Duration // when this replica has applied it
}

// logKept is how long the log of a group is kept for members that come back.
const logKept = 120 * time.Second

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
