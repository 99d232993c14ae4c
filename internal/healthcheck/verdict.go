package healthcheck

import (
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// tally counts what the checkers of a database say of it.
type tally struct {
	heard         int // checkers that are not silent
	dead, doubted int // that call it dead, and that do so while they may be cut off themselves
	deadZones     zoneSet
	lastDeath     time.Duration // the newest time of a report of a death, doubted ones as well
	own           bool          // this proxy is one of the checkers
	failing, cold int
	roles         [subset.Primary + 1]sightings
	positions     []time.Duration
}

// zoneSet is a small set of zones that needs no memory of its own.
type zoneSet struct {
	zones [maxVotes + 1]string
	count int
}

func (s *zoneSet) add(zone string) {
	if s.count < len(s.zones) && !slices.Contains(s.zones[:s.count], zone) {
		s.zones[s.count] = zone
		s.count++
	}
}

// Verdict concludes from all evidence on a database.
func (v *View) Verdict(now time.Duration, id subset.DatabaseID, step Mode) Verdict {
	database := v.databases[id]
	if database == nil {
		return Verdict{State: Unknown}
	}
	checkers := v.assignment.Checkers(id)
	var t tally
	v.count(now, &t, database, checkers)
	quorum, zones := v.quorum(checkers)
	verdict := Verdict{Votes: t.dead, Quorum: quorum, Failing: t.failing >= quorum, ColdStart: t.cold >= quorum,
		Position: t.position(quorum)}
	verdict.Role, verdict.RoleObservedAt = t.role(quorum)
	verdict.State = v.state(now, database, &t, quorum, zones, step)
	return verdict
}

// quorum gives how many checkers must call a database dead, and in how many zones they must be.
func (v *View) quorum(checkers []subset.Proxy) (votes, zones int) {
	if !v.config.has(guardQuorum) {
		return 1, 1
	}
	var distinct zoneSet
	for _, p := range checkers {
		distinct.add(p.Zone)
	}
	votes = max(len(checkers)/2+1, 2)
	zones = min(votes, distinct.count)
	if !v.config.has(guardZones) {
		zones = 1
	}
	return votes, zones
}

// count goes through the votes of a database's checkers. For a checker that has not reported yet, since it has just become one, the
// vote of another proxy stands in, which was one before.
func (v *View) count(now time.Duration, t *tally, database *evidence, checkers []subset.Proxy) {
	missing := 0
	for _, p := range checkers {
		c := v.checkers[p.ID]
		if c == nil || c.silent && v.config.has(guardSilence) {
			continue
		}
		t.heard++
		t.own = t.own || p.ID == v.config.Self.ID
		if x := v.voteOf(now, database, p.ID); x != nil {
			v.countVote(now, t, c, x)
		} else {
			missing++
		}
	}
	for i := 0; i < len(database.votes) && missing > 0; i++ {
		origin := database.votes[i].report.Origin
		c := v.checkers[origin]
		assigned := slices.ContainsFunc(checkers, func(p subset.Proxy) bool { return p.ID == origin })
		if c == nil || c.silent || assigned {
			continue
		}
		if x := v.voteOf(now, database, origin); x != nil {
			v.countVote(now, t, c, x)
			missing--
		}
	}
}

func (v *View) countVote(now time.Duration, t *tally, c *checker, x *vote) {
	t.add(x.report)
	settled := now-x.deadSince >= SettleTime || !v.config.has(guardSettle)
	if x.report.Status != Dead || !settled {
		return
	}
	t.lastDeath = max(t.lastDeath, x.report.ObservedAt)
	v.countLosses(now) // all databases are gone through, so not before somebody calls one dead
	if v.cutOff(c) {
		t.doubted++
		return
	}
	t.dead++
	t.deadZones.add(c.proxy.Zone)
}

// add counts what a report says besides a death.
func (t *tally) add(r Report) {
	switch r.Status {
	case Dead:
		return
	case Failing:
		t.failing++
	case ColdStart:
		t.cold++
	}
	t.roles[r.Role].add(r.ObservedAt)
	if r.Position > 0 {
		t.positions = append(t.positions, r.Position)
	}
}

// role gives the role that a quorum has last seen, and the latest time at or behind which a quorum has.
func (t *tally) role(quorum int) (subset.Role, time.Duration) {
	for role := subset.Replica; role <= subset.Primary; role++ {
		if t.roles[role].count >= quorum {
			return role, t.roles[role].newest(quorum)
		}
	}
	return subset.RoleUnknown, 0
}

// sightings are the times at which checkers have last seen something. They need no memory of their own.
type sightings struct {
	times [maxVotes]time.Duration
	count int
}

func (s *sightings) add(at time.Duration) {
	if s.count < len(s.times) {
		s.times[s.count] = at
		s.count++
	}
}

// newest gives the latest time at or behind which n have seen it.
func (s *sightings) newest(n int) time.Duration {
	times := s.times[:s.count]
	slices.Sort(times)
	return times[len(times)-n]
}

// position gives the position that a quorum has seen reached or passed, so that a single one too far ahead is outvoted.
func (t *tally) position(quorum int) time.Duration {
	if len(t.positions) < quorum {
		return 0
	}
	slices.Sort(t.positions)
	return t.positions[len(t.positions)-quorum]
}

// state gives the conclusion. An own answer that is newer than the newest report of a death outranks it; an own failure counts as one
// checker's, of a zone of its own.
func (v *View) state(now time.Duration, database *evidence, t *tally, quorum, zones int, step Mode) State {
	ownDead := database.ownFailures >= FailureThreshold
	if step == ModeStandalone {
		if ownDead {
			return Ejected
		}
		return Serving
	}
	dead := t.dead
	if ownDead && !t.own && now-database.ownFailure <= LocalFailureTTL {
		dead++
		t.deadZones.add(v.config.Self.Zone)
	}
	answered := database.ownSuccess > 0 && database.ownSuccess >= t.lastDeath && v.config.has(guardOwnEvidence)
	switch {
	case dead >= quorum && t.deadZones.count >= zones && !answered:
		return Ejected
	case dead+t.doubted >= quorum && !answered:
		return Suspect
	case t.heard == 0:
		return Unknown
	}
	return Serving
}
