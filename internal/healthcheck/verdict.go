package healthcheck

import (
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// tally counts the votes of the checkers of a database.
type tally struct {
	active                       int // checkers that are not silent
	deadVotes, suspectVotes      int // votes for Dead, and such votes of checkers that may be partitioned
	deadZones                    zoneSet
	lastDeadReport               time.Duration // time of the newest report of a death, including suspect ones
	selfIsChecker                bool          // this proxy is one of the checkers
	failingVotes, coldStartVotes int
	roleVotes                    [subset.Primary + 1]observationTimes
	positions                    []time.Duration
}

// zoneSet is a small set of zones that does not allocate.
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

// Verdict draws the conclusion about a database from all evidence.
func (v *View) Verdict(now time.Duration, id subset.DatabaseID, mode Mode) Verdict {
	database := v.databases[id]
	if database == nil {
		return Verdict{State: Unknown}
	}
	checkers := v.assignment.Checkers(id)
	var t tally
	v.countVotes(now, &t, database, checkers)
	quorum, zones := v.quorumSize(checkers)
	verdict := Verdict{Votes: t.deadVotes, Quorum: quorum, Failing: t.failingVotes >= quorum, ColdStart: t.coldStartVotes >= quorum,
		Position: t.quorumPosition(quorum)}
	verdict.Role, verdict.RoleObservedAt = t.quorumRole(quorum)
	verdict.State = v.state(now, database, &t, quorum, zones, mode)
	return verdict
}

// quorumSize returns how many checkers must report a database dead, and how many zones they must span.
func (v *View) quorumSize(checkers []subset.Proxy) (votes, zones int) {
	if !v.config.enabled(guardQuorum) {
		return 1, 1
	}
	var distinct zoneSet
	for _, p := range checkers {
		distinct.add(p.Zone)
	}
	votes = max(len(checkers)/2+1, 2)
	zones = min(votes, distinct.count)
	if !v.config.enabled(guardZones) {
		zones = 1
	}
	return votes, zones
}

// countVotes counts the votes of a database's checkers. A checker that has only just been assigned and has not reported yet is replaced by
// another proxy with a vote, such as a previous checker.
func (v *View) countVotes(now time.Duration, t *tally, database *evidence, checkers []subset.Proxy) {
	missing := 0
	for _, p := range checkers {
		c := v.checkers[p.ID]
		if c == nil || c.silent && v.config.enabled(guardSilence) {
			continue
		}
		t.active++
		t.selfIsChecker = t.selfIsChecker || p.ID == v.config.Self.ID
		if x := v.currentVote(now, database, p.ID); x != nil {
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
		if x := v.currentVote(now, database, origin); x != nil {
			v.countVote(now, t, c, x)
			missing--
		}
	}
}

// countVote counts one vote. A vote for Dead counts once SettleTime has passed, and separately if its checker may be partitioned.
func (v *View) countVote(now time.Duration, t *tally, c *checker, x *vote) {
	t.countReport(x.report)
	settled := now-x.deadSince >= SettleTime || !v.config.enabled(guardSettle)
	if x.report.Status != Dead || !settled {
		return
	}
	t.lastDeadReport = max(t.lastDeadReport, x.report.ObservedAt)
	v.countLosses(now) // iterates over all databases, so it runs only once a death has been reported
	if v.likelyPartitioned(c) {
		t.suspectVotes++
		return
	}
	t.deadVotes++
	t.deadZones.add(c.proxy.Zone)
}

// countReport counts the parts of a report other than a death.
func (t *tally) countReport(report Report) {
	switch report.Status {
	case Dead:
		return
	case Failing:
		t.failingVotes++
	case ColdStart:
		t.coldStartVotes++
	}
	t.roleVotes[report.Role].add(report.ObservedAt)
	if report.Position > 0 {
		t.positions = append(t.positions, report.Position)
	}
}

// quorumRole returns the role that a quorum last observed, and the latest time at or after which a quorum observed it.
func (t *tally) quorumRole(quorum int) (subset.Role, time.Duration) {
	for role := subset.Replica; role <= subset.Primary; role++ {
		if t.roleVotes[role].count >= quorum {
			return role, t.roleVotes[role].newest(quorum)
		}
	}
	return subset.RoleUnknown, 0
}

// observationTimes holds the times at which checkers last observed something. It does not allocate.
type observationTimes struct {
	times [maxVotes]time.Duration
	count int
}

func (s *observationTimes) add(at time.Duration) {
	if s.count < len(s.times) {
		s.times[s.count] = at
		s.count++
	}
}

// newest returns the latest time at or after which n checkers made the observation.
func (s *observationTimes) newest(n int) time.Duration {
	times := s.times[:s.count]
	slices.Sort(times)
	return times[len(times)-n]
}

// quorumPosition returns the position that a quorum has observed as reached, so that a single report that is too far ahead is outvoted.
func (t *tally) quorumPosition(quorum int) time.Duration {
	if len(t.positions) < quorum {
		return 0
	}
	slices.Sort(t.positions)
	return t.positions[len(t.positions)-quorum]
}

// state returns the state of a database. An answer to this proxy that is newer than the newest report of a death outranks these reports; local
// failures count as the vote of one more checker, in this proxy's zone.
func (v *View) state(now time.Duration, database *evidence, t *tally, quorum, zones int, mode Mode) State {
	locallyDead := database.localFailures >= FailureThreshold
	if mode == ModeStandalone {
		if locallyDead {
			return Ejected
		}
		return Serving
	}
	deadVotes := t.deadVotes
	if locallyDead && !t.selfIsChecker && now-database.lastLocalFailure <= LocalFailureTTL {
		deadVotes++
		t.deadZones.add(v.config.Self.Zone)
	}
	answeredSince := database.lastLocalSuccess > 0 && database.lastLocalSuccess >= t.lastDeadReport && v.config.enabled(guardLocalEvidence)
	switch {
	case deadVotes >= quorum && t.deadZones.count >= zones && !answeredSince:
		return Ejected
	case deadVotes+t.suspectVotes >= quorum && !answeredSince:
		return Suspect
	case t.active == 0:
		return Unknown
	}
	return Serving
}
