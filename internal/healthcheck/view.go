package healthcheck

import (
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// View merges the reports of all checkers with the proxy's own evidence.
type View struct {
	config     Config
	assignment *subset.Assignment
	freshness  freshness
	checkers   map[subset.ProxyID]*checker
	zones      map[string]*losses
	databases  map[subset.DatabaseID]*evidence
	// generations counts how often the votes of an origin have been forgotten. Those of earlier generations don't count.
	generations map[subset.ProxyID]uint32
	attached    time.Duration // when the present link to a planner began
	confirmed   time.Duration // the last digest: what this link has told, and has not taken back, holds then
	dirty       bool          // losses have to be counted anew
	counted     time.Duration
}

// checker is what is known of one proxy as a source of reports.
type checker struct {
	proxy  subset.Proxy
	silent bool
	losses losses
}

// losses counts the databases that are checked from somewhere, and those that are called dead there.
type losses struct{ checked, dead int }

// mass tells of losses so large that a cut is likelier than as many deaths.
func (l losses) mass() bool {
	return l.dead >= MassLossMinDatabases && float64(l.dead) > MassLossShare*float64(l.checked)
}

// evidence is what is known of one database.
type evidence struct {
	votes       []vote        // one for each origin
	ownFailures int           // checks in a row that went unanswered here
	ownSuccess  time.Duration // the last own answer
	ownFailure  time.Duration // the last own check without one
}

// vote is the newest report of an origin on a database.
type vote struct {
	report     Report
	generation uint32
	received   time.Duration // last, a repeated one as well
	deadSince  time.Duration // when the first of its reports of a death in a row came
}

// repeated takes a report that was not accepted. One that is known already renews the vote. One that is too old, but newer than what is
// known, tells that the latter doesn't hold any more.
func (e *evidence) repeated(now time.Duration, i int, known *Report, r Report) {
	switch {
	case known == nil:
	case *known == r:
		e.votes[i].received = now
	case now-r.ObservedAt > ReportTTL && r.ObservedAt > known.ObservedAt && r.Epoch >= known.Epoch:
		e.votes = slices.Delete(e.votes, i, i+1)
	}
}

// maxVotes bounds the votes kept for a database: more than there are checkers before and after a change of the tier.
const maxVotes = 16

// vote gives the place of a vote, a new one where i is negative. The oldest makes room.
func (e *evidence) vote(i int) *vote {
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

// lossInterval is how often losses are counted anew though nothing was received: votes expire.
const lossInterval = time.Second

// NewView makes one that knows of no report.
func NewView(config Config, assignment *subset.Assignment) *View {
	return &View{config: config, assignment: assignment, freshness: newFreshness(config.disabled),
		checkers: map[subset.ProxyID]*checker{}, zones: map[string]*losses{}, databases: map[subset.DatabaseID]*evidence{},
		generations: map[subset.ProxyID]uint32{}}
}

// SetTier tells whose reports count. Those of others are kept all the same: proxies find out at different moments who is in the tier.
func (v *View) SetTier(proxies []subset.Proxy) {
	members := make(map[subset.ProxyID]*checker, len(proxies))
	for _, p := range proxies {
		if c := v.checkers[p.ID]; c != nil && c.proxy == p {
			members[p.ID] = c
			continue
		}
		members[p.ID] = &checker{proxy: p}
	}
	v.checkers, v.dirty = members, true
}

// SetDatabases tells what may be reported about.
func (v *View) SetDatabases(ids []subset.DatabaseID) {
	listed := make(map[subset.DatabaseID]*evidence, len(ids))
	for _, id := range ids {
		if listed[id] = v.databases[id]; listed[id] == nil {
			listed[id] = &evidence{}
		}
	}
	v.databases, v.dirty = listed, true
}

// Receive takes a report, its own proxy's as well. It tells whether the report was news that was accepted.
func (v *View) Receive(now time.Duration, r Report) bool {
	database := v.databases[r.Database]
	if database == nil {
		v.freshness.counters.UnknownDatabase++
		return false
	}
	i := slices.IndexFunc(database.votes, func(x vote) bool { return x.report.Origin == r.Origin })
	var known *Report
	if i >= 0 && database.votes[i].generation == v.generations[r.Origin] {
		known = &database.votes[i].report
	}
	ok, restarted := v.freshness.accept(now, r, known)
	if !ok {
		database.repeated(now, i, known, r)
		return false
	}
	if restarted && v.config.has(guardEpoch) {
		v.forgetVotes(r.Origin)
		known = nil
	}
	x := database.vote(i)
	if r.Status == Dead && (known == nil || x.report.Status != Dead) {
		x.deadSince = now
	}
	x.report, x.received, x.generation, v.dirty = r, now, v.generations[r.Origin], true
	return true
}

// SetSilent tells whether a planner receives a checker's heartbeats. What a checker reported before it fell silent doesn't count any more,
// also when it is back: it checks first, and reports anew.
func (v *View) SetSilent(id subset.ProxyID, silent bool) {
	c := v.checkers[id]
	if c == nil {
		return
	}
	c.silent = silent
	if silent && v.config.has(guardSilence) {
		v.forgetVotes(id)
	}
}

// PlannerLost forgets who is silent: nobody tells any more.
func (v *View) PlannerLost() {
	for _, c := range v.checkers {
		c.silent = false
	}
}

// RecordLocal takes the outcome of an own check, or an answer to a request.
func (v *View) RecordLocal(now time.Duration, id subset.DatabaseID, answered bool) {
	database := v.databases[id]
	switch {
	case database == nil:
	case answered:
		database.ownSuccess, database.ownFailures = now, 0
	default:
		database.ownFailure = now
		database.ownFailures++
	}
}

// ailing tells whether any vote on a database says anything but alive.
func (v *View) ailing(id subset.DatabaseID) bool {
	database := v.databases[id]
	return database != nil && slices.ContainsFunc(database.votes, func(x vote) bool { return x.report.Status != Alive })
}

// Counters gives what has been accepted and dropped.
func (v *View) Counters() Counters { return v.freshness.counters }

func (v *View) forgetVotes(id subset.ProxyID) {
	v.generations[id]++
	v.dirty = true
}

// PlannerConnected tells of a new link to a planner, which has confirmed nothing yet.
func (v *View) PlannerConnected(now time.Duration) { v.attached = now }

// DigestReceived tells of a digest.
func (v *View) DigestReceived(now time.Duration) { v.confirmed = now }

// voteOf gives a checker's vote on a database, where it has one that counts.
func (v *View) voteOf(now time.Duration, database *evidence, id subset.ProxyID) *vote {
	i := slices.IndexFunc(database.votes, func(x vote) bool { return x.report.Origin == id })
	if i < 0 || database.votes[i].generation != v.generations[id] || v.expired(now, &database.votes[i]) {
		return nil
	}
	return &database.votes[i]
}

// expired tells whether a vote has not been renewed for too long. That a database is alive is not renewed.
func (v *View) expired(now time.Duration, x *vote) bool {
	renewed := x.report.ObservedAt
	if x.received >= v.attached {
		renewed = max(renewed, v.confirmed)
	}
	return x.report.Status != Alive && now-renewed > ReportTTL && v.config.has(guardAge)
}

// countLosses counts for each checker and zone the databases that it checks and those that it has lost.
func (v *View) countLosses(now time.Duration) {
	if !v.dirty && now-v.counted < lossInterval {
		return
	}
	v.dirty, v.counted = false, now
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
			if x := v.voteOf(now, database, p.ID); x != nil && x.report.Status == Dead {
				c.losses.dead++
				zone.dead++
			}
		}
	}
}

// cutOff tells whether a checker, or its whole zone, has lost so many databases at once that the fault is likelier on its side.
func (v *View) cutOff(c *checker) bool {
	if !v.config.has(guardMassLoss) {
		return false
	}
	zone := v.zones[c.proxy.Zone]
	return c.losses.mass() || c.proxy.Zone != "" && zone != nil && zone.mass()
}
