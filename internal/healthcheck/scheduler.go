package healthcheck

import (
	"math/rand/v2"
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// scheduler determines which database is checked next. Checks are spaced evenly, so that the check rate is not exceeded in any second.
type scheduler struct {
	config        Config
	rng           *rand.Rand
	entries       map[subset.DatabaseID]*scheduledCheck
	sorted        []*scheduledCheck // by database ID, for reproducible runs
	assignedCount int
	usedCount     int
	wantedCount   int
	nextStart     time.Duration // earliest start of the next check
}

// maxRechecks is how many checks of a database that does not answer follow one another immediately: enough for the failures that lead to
// the report of its death, and for those within SettleTime.
const maxRechecks = 2 * FailureThreshold

// scheduledCheck is one database that may be checked.
type scheduledCheck struct {
	id       subset.DatabaseID
	assigned bool // checked on behalf of the tier
	used     bool // this proxy sends requests to it
	wanted   bool // its verdict requires local evidence
	running  bool
	failures int
	dueAt    time.Duration
}

func newScheduler(config Config, rng *rand.Rand) *scheduler {
	return &scheduler{config: config, rng: rng, entries: map[subset.DatabaseID]*scheduledCheck{}}
}

// setDatabases sets the databases that this proxy checks on behalf of the tier and those that it uses. The first check of a new one is due
// at a random time within the shortest interval, so that the proxies of a tier do not check in lockstep.
func (s *scheduler) setDatabases(now time.Duration, assigned, used []subset.DatabaseID) {
	entries := make(map[subset.DatabaseID]*scheduledCheck, len(assigned)+len(used))
	add := func(id subset.DatabaseID) *scheduledCheck {
		entry := entries[id]
		if entry == nil {
			if entry = s.entries[id]; entry == nil {
				entry = &scheduledCheck{id: id, dueAt: now + time.Duration(s.rng.Float64()*float64(MinCheckInterval))}
			}
			entry.assigned, entry.used = false, false
			entries[id] = entry
		}
		return entry
	}
	for _, id := range assigned {
		add(id).assigned = true
	}
	for _, id := range used {
		add(id).used = true
	}
	s.entries, s.assignedCount, s.usedCount = entries, len(assigned), len(used)
	s.sorted, s.wantedCount = s.sorted[:0], 0
	for _, entry := range entries {
		s.sorted = append(s.sorted, entry)
		if entry.wanted {
			s.wantedCount++
		}
	}
	slices.SortFunc(s.sorted, func(x, y *scheduledCheck) int { return int(x.id) - int(y.id) })
}

// take returns the databases whose checks start now.
func (s *scheduler) take(now time.Duration, mode Mode) (ids []subset.DatabaseID) {
	for s.rateAllows(now) {
		entry := s.mostUrgent(now, mode)
		if entry == nil {
			return ids
		}
		entry.running = true
		ids = append(ids, entry.id)
		s.nextStart = max(s.nextStart, now) + s.spacing()
	}
	return ids
}

// rateAllows reports whether the check rate allows a check to start now.
func (s *scheduler) rateAllows(now time.Duration) bool {
	return now >= s.nextStart || !s.config.enabled(guardRate)
}

// spacing returns the time between the starts of two checks.
func (s *scheduler) spacing() time.Duration {
	if s.config.Plan.ChecksPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / s.config.Plan.ChecksPerSecond)
}

// mostUrgent returns the database to check first among those that are due, or nil if none is.
func (s *scheduler) mostUrgent(now time.Duration, mode Mode) (best *scheduledCheck) {
	for _, entry := range s.sorted {
		if entry.running || now < entry.dueAt || !entry.appliesIn(mode) {
			continue
		}
		if best == nil || entry.moreUrgentThan(best) {
			best = entry
		}
	}
	return best
}

// appliesIn reports whether the database is checked in the given mode.
func (c *scheduledCheck) appliesIn(mode Mode) bool {
	switch mode {
	case ModePlanner:
		return c.assigned || c.used && c.wanted
	case ModePeers:
		return c.assigned || c.used
	}
	return c.used
}

// moreUrgentThan reports whether c is to be checked before other: databases that have just left a check unanswered come first, then assigned
// ones, then those that have been due longest.
func (c *scheduledCheck) moreUrgentThan(other *scheduledCheck) bool {
	if (c.failures > 0) != (other.failures > 0) {
		return c.failures > 0
	}
	if c.assigned != other.assigned {
		return c.assigned
	}
	return c.dueAt < other.dueAt
}

// complete processes the outcome of a check and schedules the next one.
func (s *scheduler) complete(now time.Duration, id subset.DatabaseID, mode Mode, answered bool) {
	entry := s.entries[id]
	if entry == nil {
		return
	}
	entry.running = false
	if !answered && entry.failures+1 < maxRechecks {
		entry.failures++
		entry.dueAt = now
		return
	}
	entry.failures = 0
	entry.dueAt = now + s.interval(entry, mode)
}

// interval returns the time until the next check, which exceeds MinCheckInterval if the check rate requires it.
func (s *scheduler) interval(entry *scheduledCheck, mode Mode) time.Duration {
	switch {
	case mode == ModeStandalone:
		return s.config.Plan.checkInterval(s.usedCount)
	case mode == ModePeers:
		return s.config.Plan.checkInterval(s.assignedCount + s.usedCount)
	case entry.assigned:
		return s.config.Plan.checkInterval(s.assignedCount)
	}
	return s.config.Plan.checkInterval(s.assignedCount + s.wantedCount)
}

// setWanted records whether the verdict on a database requires local evidence.
func (s *scheduler) setWanted(id subset.DatabaseID, wanted bool) {
	entry := s.entries[id]
	if entry == nil || entry.wanted == wanted {
		return
	}
	if entry.wanted = wanted; wanted {
		s.wantedCount++
	} else {
		s.wantedCount--
	}
}
