package fleet

import (
	"fmt"
	"time"

	"havenproxy/logic"
)

// ---- Primaries ----

// lose notes that a group's primary has gone; another takes over unless it comes back before it is given up.
func (f *Fleet) lose(g *group) {
	g.lostAt = f.clock.Now
	g.beats = f.clock.Now
	g.term++
	term := g.term
	f.at(f.clock.Now+f.fate(f.cfg.Detection, fateDetection, g.id), func() {
		if g.term != term {
			return
		}
		if p := g.primary; p != nil {
			p.become(logic.RoleReplica)
			g.primary = nil
		}
		f.logf("group %d has given its primary up", g.id)
		f.at(f.clock.Now+f.fate(f.cfg.Election, fateElection, g.id), func() { f.elect(g, term) })
	})
}

// elect makes the member with the newest log primary; it has all that was acknowledged.
func (f *Fleet) elect(g *group, term int) {
	if g.term != term || g.primary != nil {
		return
	}
	var best *Member
	for _, m := range g.members {
		if m.live == Up && !m.draining && (best == nil || m.newest() > best.newest()) {
			best = m
		}
	}
	if best == nil {
		f.at(f.clock.Now+500*time.Millisecond, func() { f.elect(g, term) })
		return
	}
	// What it has received and not applied yet comes first.
	ready := f.clock.Now
	if n := len(best.pending); n > 0 {
		ready = best.pending[n-1].done
	}
	f.at(ready, func() {
		switch {
		case g.term != term || g.primary != nil:
		case best.live != Up || best.draining:
			f.elect(g, term)
		default:
			best.applied()
			g.term++
			g.primary = best
			best.become(logic.RolePrimary)
			f.logf("group %d: database %d is primary after %v", g.id, best.ID, (f.clock.Now - g.lostAt).Round(time.Millisecond))
		}
	})
}

func (m *Member) newest() time.Duration {
	m.applied()
	if n := len(m.pending); n > 0 {
		return m.pending[n-1].commit
	}
	return m.position
}

func (m *Member) become(r logic.Role) {
	if m.role == r {
		return
	}
	m.role = r
	m.reportAt = 0
	if m.f.obs.Role != nil {
		m.f.obs.Role(m.ID, r)
	}
}

// ---- Faults ----

func (m *Member) turn(to Liveness) {
	m.live = to
	if m.f.obs.Liveness != nil {
		m.f.obs.Liveness(m.ID, to)
	}
}

// kill ends a process; it starts again, cold, after so long.
func (f *Fleet) kill(m *Member, down time.Duration) {
	if m.live == Down {
		return
	}
	m.applied()
	m.life++
	m.running, m.waiting, m.late, m.owed = nil, nil, nil, nil
	m.pushedIn, m.pushFrom = 0, 0
	f.tell(Entry{Member: m.ID, State: logic.Gone}, f.fate(f.cfg.ListDelay, fateGone, m.ID))
	was := m.g.primary == m
	m.turn(Down)
	if was {
		m.g.primary = nil
		m.become(logic.RoleReplica)
		f.lose(m.g)
	}
	life := m.life
	f.at(f.clock.Now+down, func() {
		if m.life == life && m.live == Down {
			f.start(m)
		}
	})
}

func (f *Fleet) start(m *Member) {
	m.life++
	m.started, m.draining = f.clock.Now, false
	m.catchUp()
	m.turn(Up)
	f.logf("database %d starts", m.ID)
	f.tell(Entry{Member: m.ID, State: logic.Ready, Started: f.clock.Now}, f.fate(f.cfg.ListDelay, fateBack, m.ID))
}

// tell lets the list learn of a change after a time.
func (f *Fleet) tell(e Entry, after time.Duration) {
	f.at(f.clock.Now+after, func() { f.publish(e) })
}

func (f *Fleet) publish(e Entry) {
	if f.clock.Now < f.listStill {
		f.at(f.listStill, func() { f.publish(e) })
		return
	}
	f.list[e.Member] = e
	f.listGen++
	if f.obs.Listed != nil {
		f.obs.Listed()
	}
}

// Inject lets a fault happen now.
func (f *Fleet) Inject(now time.Duration, x Fault) error {
	f.Advance(now)
	switch x.Kind {
	case StaleList:
		f.listStill = max(f.listStill, now+x.For)
		f.logf("the list stands still for %v", x.For)
		return nil
	case NoList:
		f.listDown = max(f.listDown, now+x.For)
		f.logf("the list's service is down for %v", x.For)
		f.at(f.listDown, func() {
			if f.obs.Listed != nil {
				f.obs.Listed()
			}
		})
		return nil
	}
	if x.Group < 0 || x.Group >= len(f.groups) || x.Member < Primary || x.Member >= len(f.groups[x.Group].members) {
		return fmt.Errorf("fleet: a fault for database %d of group %d, which there is not", x.Member, x.Group)
	}
	g := f.groups[x.Group]
	m := g.primary
	if x.Member >= 0 {
		m = g.members[x.Member]
	}
	if m == nil || m.live != Up {
		f.logf("%s in group %d: nobody to hit", x.Kind, x.Group)
		return nil
	}
	f.logf("%s of database %d, %s of group %d, for %v", x.Kind, m.ID, roleName(m.role), g.id, x.For)
	switch x.Kind {
	case Crash:
		f.kill(m, x.For)
	case Hang:
		f.hang(m, x.For)
	case Slow:
		m.slow, m.slowTill = max(x.Factor, 1), now+x.For
	case Errors:
		m.errors, m.errorsTill = x.Share, now+x.For
	case Lag:
		m.applied()
		m.lag, m.lagTill = x.Delay, now+x.For
	case Drain:
		f.drain(m, x.For)
	default:
		return fmt.Errorf("fleet: no fault of the kind %q", x.Kind)
	}
	return nil
}

func roleName(r logic.Role) string {
	if r == logic.RolePrimary {
		return "primary"
	}
	return "replica"
}

// hang freezes a process: what runs stands still, what comes waits, nothing is answered.
func (f *Fleet) hang(m *Member, long time.Duration) {
	m.applied()
	for _, j := range m.running {
		j.left = j.ends - f.clock.Now
		j.turn++
	}
	m.turn(Hung)
	if m.g.primary == m {
		f.lose(m.g)
	}
	life := m.life
	f.at(f.clock.Now+long, func() {
		if m.life == life && m.live == Hung {
			f.resume(m)
		}
	})
}

func (f *Fleet) resume(m *Member) {
	m.turn(Up)
	f.logf("database %d answers again", m.ID)
	if m.g.primary == m { // not given up yet: it stays primary
		m.g.term++
	} else {
		m.catchUp()
	}
	for _, j := range m.running {
		j.ends = f.clock.Now + j.left
		m.schedule(j)
	}
	waited, late, owed := m.waiting, m.late, m.owed
	m.waiting, m.late, m.owed = nil, nil, nil
	for _, answer := range owed {
		answer()
	}
	for _, j := range append(waited, late...) {
		if !j.over && !j.cancel {
			m.take(j)
		}
	}
}

// drain lets a database finish: the list tells it at once, a primary hands over first, then the process ends and
// starts again later.
func (f *Fleet) drain(m *Member, down time.Duration) {
	f.publish(Entry{Member: m.ID, State: logic.Draining, Started: m.started})
	m.draining = true
	end := func() {
		life := m.life
		f.at(f.clock.Now+2*time.Second, func() {
			if m.life == life {
				f.kill(m, down)
			}
		})
	}
	if g := m.g; g.primary == m {
		g.lostAt, g.beats = f.clock.Now, f.clock.Now
		g.term++
		term := g.term
		m.applied()
		f.at(f.clock.Now+f.fate(f.cfg.HandOver, fateHandOver, g.id), func() {
			if g.term == term {
				g.primary = nil
				m.become(logic.RoleReplica)
				f.elect(g, term)
			}
		})
	}
	end()
}
