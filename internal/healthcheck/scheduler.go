package healthcheck

import (
	"math/rand/v2"
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// scheduler says which database is checked next. Checks are spaced evenly, so that no second holds more than the budget.
type scheduler struct {
	config Config
	rng    *rand.Rand
	items  map[subset.DatabaseID]*scheduled
	order  []*scheduled // by ID, so that a run can be repeated
	duties int
	used   int
	wanted int
	next   time.Duration // no check before
}

// rechecks is how many checks of a database that doesn't answer follow one another at once: so many that those which lead to a report of
// its death, and those within SettleTime, do.
const rechecks = 2 * FailureThreshold

// scheduled is one database that may be checked.
type scheduled struct {
	id       subset.DatabaseID
	duty     bool // on behalf of the tier
	used     bool // this proxy sends requests to it
	wanted   bool // its verdict asks for own evidence
	running  bool
	failures int
	due      time.Duration
}

func newScheduler(config Config, rng *rand.Rand) *scheduler {
	return &scheduler{config: config, rng: rng, items: map[subset.DatabaseID]*scheduled{}}
}

// set tells which databases are duties, and which are used. A new one is due at a moment drawn from the interval, so that the proxies
// of a tier don't check in step.
func (s *scheduler) set(now time.Duration, duties, used []subset.DatabaseID) {
	items := make(map[subset.DatabaseID]*scheduled, len(duties)+len(used))
	add := func(id subset.DatabaseID) *scheduled {
		item := items[id]
		if item == nil {
			if item = s.items[id]; item == nil {
				item = &scheduled{id: id, due: now + time.Duration(s.rng.Float64()*float64(MinCheckInterval))}
			}
			item.duty, item.used = false, false
			items[id] = item
		}
		return item
	}
	for _, id := range duties {
		add(id).duty = true
	}
	for _, id := range used {
		add(id).used = true
	}
	s.items, s.duties, s.used = items, len(duties), len(used)
	s.order, s.wanted = s.order[:0], 0
	for _, item := range items {
		s.order = append(s.order, item)
		if item.wanted {
			s.wanted++
		}
	}
	slices.SortFunc(s.order, func(x, y *scheduled) int { return int(x.id) - int(y.id) })
}

// take gives the checks to be begun now.
func (s *scheduler) take(now time.Duration, step Mode) (ids []subset.DatabaseID) {
	for s.mayStart(now) {
		item := s.mostUrgent(now, step)
		if item == nil {
			return ids
		}
		item.running = true
		ids = append(ids, item.id)
		s.next = max(s.next, now) + s.spacing()
	}
	return ids
}

func (s *scheduler) mayStart(now time.Duration) bool {
	return now >= s.next || !s.config.has(guardPace)
}

// spacing is the time between the starts of two checks.
func (s *scheduler) spacing() time.Duration {
	if s.config.Plan.ChecksPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / s.config.Plan.ChecksPerSecond)
}

// mostUrgent gives the database to be checked first among those that are due.
func (s *scheduler) mostUrgent(now time.Duration, step Mode) (best *scheduled) {
	for _, item := range s.order {
		if item.running || now < item.due || !item.concerns(step) {
			continue
		}
		if best == nil || item.before(best) {
			best = item
		}
	}
	return best
}

// concerns tells whether an item is to be checked at all at a step.
func (x *scheduled) concerns(step Mode) bool {
	switch step {
	case ModePlanner:
		return x.duty || x.used && x.wanted
	case ModePeers:
		return x.duty || x.used
	}
	return x.used
}

// before orders items: those that just went unanswered, then duties, then by who waits longest.
func (x *scheduled) before(y *scheduled) bool {
	if (x.failures > 0) != (y.failures > 0) {
		return x.failures > 0
	}
	if x.duty != y.duty {
		return x.duty
	}
	return x.due < y.due
}

// done takes the outcome of a check that was begun at a moment.
func (s *scheduler) done(now time.Duration, id subset.DatabaseID, step Mode, answered bool) {
	item := s.items[id]
	if item == nil {
		return
	}
	item.running = false
	if !answered && item.failures+1 < rechecks {
		item.failures++
		item.due = now
		return
	}
	item.failures = 0
	item.due = now + s.interval(item, step)
}

// interval gives the time until the next check: longer where the budget doesn't allow for the shortest one.
func (s *scheduler) interval(item *scheduled, step Mode) time.Duration {
	switch {
	case step == ModeStandalone:
		return s.config.Plan.intervalFor(s.used)
	case step == ModePeers:
		return s.config.Plan.intervalFor(s.duties + s.used)
	case item.duty:
		return s.config.Plan.intervalFor(s.duties)
	}
	return s.config.Plan.intervalFor(s.duties + s.wanted)
}

// want tells whether a verdict asks for own evidence on a database.
func (s *scheduler) want(id subset.DatabaseID, wanted bool) {
	item := s.items[id]
	if item == nil || item.wanted == wanted {
		return
	}
	if item.wanted = wanted; wanted {
		s.wanted++
	} else {
		s.wanted--
	}
}
