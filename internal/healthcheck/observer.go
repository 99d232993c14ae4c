package healthcheck

import (
	"cmp"
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// observer turns the outcomes of a proxy's checks into reports: one for each change, and repeated ones for databases that are not
// alive.
type observer struct {
	config    Config
	databases map[subset.DatabaseID]*checkHistory
}

// checkHistory is what this proxy has observed of one database.
type checkHistory struct {
	failures int
	report   Report
	reported bool
}

func newObserver(config Config) *observer {
	return &observer{config: config, databases: map[subset.DatabaseID]*checkHistory{}}
}

// setAssigned sets the databases that this proxy checks on behalf of the tier, and discards the history of all others.
func (o *observer) setAssigned(ids []subset.DatabaseID) {
	kept := make(map[subset.DatabaseID]*checkHistory, len(ids))
	for _, id := range ids {
		if kept[id] = o.databases[id]; kept[id] == nil {
			kept[id] = &checkHistory{}
		}
	}
	o.databases = kept
}

// observe processes the outcome of a check. It returns a report and true if there is something to report.
func (o *observer) observe(now time.Duration, id subset.DatabaseID, observation Observation) (Report, bool) {
	history := o.databases[id]
	if history == nil {
		return Report{}, false
	}
	status, conclusive := o.classify(history, observation)
	if !conclusive {
		return Report{}, false
	}
	role := observation.Role
	if role == subset.RoleUnknown {
		role = history.report.Role
	}
	changed := !history.reported || status != history.report.Status || role != history.report.Role
	refresh := status != Alive && now-history.report.ObservedAt >= RefreshInterval
	if !changed && !refresh {
		return Report{}, false
	}
	history.reported = true
	history.report = Report{Origin: o.config.Self.ID, Epoch: o.config.Epoch, Database: id, Status: status, Role: role, ObservedAt: now, Position: observation.Position}
	return history.report, true
}

// classify returns the status that an outcome shows. conclusive is false if more checks have to go unanswered before the database is
// reported dead.
func (o *observer) classify(history *checkHistory, observation Observation) (status Status, conclusive bool) {
	if !observation.Answered {
		history.failures++
		return Dead, history.failures >= FailureThreshold || !o.config.enabled(guardConsecutive)
	}
	history.failures = 0
	switch {
	case observation.Failing:
		return Failing, true
	case observation.ColdStart:
		return ColdStart, true
	}
	return Alive, true
}

// forceReports makes the next check of each database produce a report even if nothing has changed.
func (o *observer) forceReports() {
	for _, history := range o.databases {
		history.reported = false
	}
}

// lastReports returns the last report about each database, sorted by database, for a receiver that does not have them. Their times remain
// those of the checks.
func (o *observer) lastReports() (reports []Report) {
	for _, history := range o.databases {
		if history.reported {
			reports = append(reports, history.report)
		}
	}
	slices.SortFunc(reports, func(x, y Report) int { return cmp.Compare(x.Database, y.Database) })
	return reports
}
