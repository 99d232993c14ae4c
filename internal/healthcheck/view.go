package healthcheck

import (
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// View combines the reports of all checkers with the proxy's local evidence.
type View struct {
	config     Config
	assignment *subset.Assignment
	filter     reportFilter
	checkers   map[subset.ProxyID]*checker
	zones      map[string]*losses
	databases  map[subset.DatabaseID]*evidence
	// generations counts how often the votes of an origin have been discarded. Votes of earlier generations do not count.
	generations     map[subset.ProxyID]uint32
	connectedAt     time.Duration // when the current connection to a planner was opened
	lastDigest      time.Duration // when the last digest arrived: reports received over this connection and not replaced since still hold then
	lossesStale     bool          // losses must be recounted
	lossesCountedAt time.Duration
}

// checker is the state of one proxy as a source of reports.
type checker struct {
	proxy  subset.Proxy
	silent bool
	losses losses
}

// losses counts the databases that a checker or a zone checks, and those of them that it reports dead.
type losses struct{ checked, dead int }

// isMassLoss reports whether the losses are so large that a network partition is more likely than that many deaths.
func (l losses) isMassLoss() bool {
	return l.dead >= MassLossMinDatabases && float64(l.dead) > MassLossShare*float64(l.checked)
}

// evidence is what is known about one database.
type evidence struct {
	votes            []vote        // one per origin
	localFailures    int           // this proxy's unanswered checks in a row
	lastLocalSuccess time.Duration // when it last answered this proxy
	lastLocalFailure time.Duration // when this proxy's last unanswered check ended
}

// vote is the newest report of an origin about a database.
type vote struct {
	report     Report
	generation uint32
	receivedAt time.Duration // when the report was last received, including repetitions
	deadSince  time.Duration // when the first of consecutive reports of a death was received
}

// handleRejected processes a report that was rejected. A repetition of the known report renews the vote. A report that is too old, but
// newer than the known one, shows that the known one no longer holds, so the vote is removed.
func (e *evidence) handleRejected(now time.Duration, i int, known *Report, r Report) {
	switch {
	case known == nil:
	case *known == r:
		e.votes[i].receivedAt = now
	case now-r.ObservedAt > ReportTTL && r.ObservedAt > known.ObservedAt && r.Epoch >= known.Epoch:
		e.votes = slices.Delete(e.votes, i, i+1)
	}
}

// maxVotes limits the votes kept per database. It exceeds the number of checkers before and after a change of the tier taken together.
const maxVotes = 16

// voteSlot returns the vote at index i, or a new one if i is negative. If maxVotes is reached, the new vote replaces the oldest.
func (e *evidence) voteSlot(i int) *vote {
	if i >= 0 {
		return &e.votes[i]
	}
	if len(e.votes) == maxVotes {
		oldest := 0
		for j := range e.votes {
			if e.votes[j].report.ObservedAt < e.votes[oldest].report.ObservedAt {
				oldest = j
			}
		}
		e.votes = slices.Delete(e.votes, oldest, oldest+1)
	}
	e.votes = append(e.votes, vote{})
	return &e.votes[len(e.votes)-1]
}

// lossRecountInterval is the interval at which losses are recounted even if nothing was received, because votes expire.
const lossRecountInterval = time.Second

// NewView returns a view without reports.
func NewView(config Config, assignment *subset.Assignment) *View {
	return &View{config: config, assignment: assignment, filter: newReportFilter(config.disabled),
		checkers: map[subset.ProxyID]*checker{}, zones: map[string]*losses{}, databases: map[subset.DatabaseID]*evidence{},
		generations: map[subset.ProxyID]uint32{}}
}

// SetTier sets the proxies whose reports count. Reports of other proxies are kept nevertheless, because proxies learn about changes of the
// tier at different times.
func (v *View) SetTier(proxies []subset.Proxy) {
	members := make(map[subset.ProxyID]*checker, len(proxies))
	for _, p := range proxies {
		if c := v.checkers[p.ID]; c != nil && c.proxy == p {
			members[p.ID] = c
			continue
		}
		members[p.ID] = &checker{proxy: p}
	}
	v.checkers, v.lossesStale = members, true
}

// SetDatabases sets the databases that reports may be about.
func (v *View) SetDatabases(ids []subset.DatabaseID) {
	listed := make(map[subset.DatabaseID]*evidence, len(ids))
	for _, id := range ids {
		if listed[id] = v.databases[id]; listed[id] == nil {
			listed[id] = &evidence{}
		}
	}
	v.databases, v.lossesStale = listed, true
}

// Receive processes a report, including this proxy's own ones. It returns whether the report was accepted as new.
func (v *View) Receive(now time.Duration, r Report) bool {
	database := v.databases[r.Database]
	if database == nil {
		v.filter.counters.UnknownDatabase++
		return false
	}
	i := slices.IndexFunc(database.votes, func(x vote) bool { return x.report.Origin == r.Origin })
	var known *Report
	if i >= 0 && database.votes[i].generation == v.generations[r.Origin] {
		known = &database.votes[i].report
	}
	ok, restarted := v.filter.accept(now, r, known)
	if !ok {
		database.handleRejected(now, i, known, r)
		return false
	}
	if restarted && v.config.enabled(guardEpoch) {
		v.forgetVotes(r.Origin)
		known = nil
	}
	x := database.voteSlot(i)
	if r.Status == Dead && (known == nil || x.report.Status != Dead) {
		x.deadSince = now
	}
	x.report, x.receivedAt, x.generation, v.lossesStale = r, now, v.generations[r.Origin], true
	return true
}

// SetSilent records whether a planner receives the heartbeats of a checker. The reports that a checker sent before it became silent are
// discarded and do not count after its return either: it then checks again and sends new reports.
func (v *View) SetSilent(id subset.ProxyID, silent bool) {
	c := v.checkers[id]
	if c == nil {
		return
	}
	c.silent = silent
	if silent && v.config.enabled(guardSilence) {
		v.forgetVotes(id)
	}
}

// PlannerLost marks all checkers as not silent, because without a planner no information about silent checkers arrives.
func (v *View) PlannerLost() {
	for _, c := range v.checkers {
		c.silent = false
	}
}

// Observe records the outcome of a check by this proxy, or that a request to the database was answered.
func (v *View) Observe(now time.Duration, id subset.DatabaseID, answered bool) {
	database := v.databases[id]
	switch {
	case database == nil:
	case answered:
		database.lastLocalSuccess, database.localFailures = now, 0
	default:
		database.lastLocalFailure = now
		database.localFailures++
	}
}

// reportedUnhealthy reports whether any vote on a database is other than Alive.
func (v *View) reportedUnhealthy(id subset.DatabaseID) bool {
	database := v.databases[id]
	return database != nil && slices.ContainsFunc(database.votes, func(x vote) bool { return x.report.Status != Alive })
}

// Counters returns the counts of accepted and rejected reports.
func (v *View) Counters() Counters { return v.filter.counters }

// forgetVotes discards all votes of an origin.
func (v *View) forgetVotes(id subset.ProxyID) {
	v.generations[id]++
	v.lossesStale = true
}

// PlannerConnected records a new connection to a planner, which has not confirmed any report yet.
func (v *View) PlannerConnected(now time.Duration) { v.connectedAt = now }

// DigestReceived records that a digest has arrived.
func (v *View) DigestReceived(now time.Duration) { v.lastDigest = now }

// currentVote returns a checker's vote on a database, or nil if it has none that counts.
func (v *View) currentVote(now time.Duration, database *evidence, id subset.ProxyID) *vote {
	i := slices.IndexFunc(database.votes, func(x vote) bool { return x.report.Origin == id })
	if i < 0 || database.votes[i].generation != v.generations[id] || v.voteExpired(now, &database.votes[i]) {
		return nil
	}
	return &database.votes[i]
}

// voteExpired reports whether a vote has not been renewed within ReportTTL. Votes for Alive never expire, since they are not renewed.
func (v *View) voteExpired(now time.Duration, x *vote) bool {
	renewed := x.report.ObservedAt
	if x.receivedAt >= v.connectedAt {
		renewed = max(renewed, v.lastDigest)
	}
	return x.report.Status != Alive && now-renewed > ReportTTL && v.config.enabled(guardAge)
}

// countLosses counts the checked and the dead databases of each checker and zone.
func (v *View) countLosses(now time.Duration) {
	if !v.lossesStale && now-v.lossesCountedAt < lossRecountInterval {
		return
	}
	v.lossesStale, v.lossesCountedAt = false, now
	clear(v.zones)
	for _, c := range v.checkers {
		c.losses = losses{}
	}
	for id, database := range v.databases {
		for _, p := range v.assignment.Checkers(id) {
			c := v.checkers[p.ID]
			if c == nil || c.silent {
				continue
			}
			zone := v.zones[p.Zone]
			if zone == nil {
				zone = &losses{}
				v.zones[p.Zone] = zone
			}
			c.losses.checked++
			zone.checked++
			if x := v.currentVote(now, database, p.ID); x != nil && x.report.Status == Dead {
				c.losses.dead++
				zone.dead++
			}
		}
	}
}

// likelyPartitioned reports whether a checker, or its whole zone, has lost so many databases at once that the fault is more likely on its
// side.
func (v *View) likelyPartitioned(c *checker) bool {
	if !v.config.enabled(guardMassLoss) {
		return false
	}
	zone := v.zones[c.proxy.Zone]
	return c.losses.isMassLoss() || c.proxy.Zone != "" && zone != nil && zone.isMassLoss()
}
