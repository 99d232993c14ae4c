package healthcheck

import (
	"cmp"
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// observer makes reports of the outcomes of a proxy's own checks: one for each change, and again from time to time for what is not
// alive.
type observer struct {
	config    Config
	databases map[subset.DatabaseID]*observed
}

// observed is what a checker has found out about a database.
type observed struct {
	failures int
	report   Report
	reported bool
}

func newObserver(config Config) *observer {
	return &observer{config: config, databases: map[subset.DatabaseID]*observed{}}
}

// setDuties forgets what this proxy doesn't check any more.
func (o *observer) setDuties(ids []subset.DatabaseID) {
	kept := make(map[subset.DatabaseID]*observed, len(ids))
	for _, id := range ids {
		if kept[id] = o.databases[id]; kept[id] == nil {
			kept[id] = &observed{}
		}
	}
	o.databases = kept
}

// observe takes the outcome of a check. It gives a report where there is something to tell.
func (o *observer) observe(now time.Duration, id subset.DatabaseID, seen Observation) (Report, bool) {
	d := o.databases[id]
	if d == nil {
		return Report{}, false
	}
	status, sure := o.status(d, seen)
	if !sure {
		return Report{}, false
	}
	role := seen.Role
	if role == subset.RoleUnknown {
		role = d.report.Role
	}
	changed := !d.reported || status != d.report.Status || role != d.report.Role
	refresh := status != Alive && now-d.report.ObservedAt >= RefreshInterval
	if !changed && !refresh {
		return Report{}, false
	}
	d.reported = true
	d.report = Report{Origin: o.config.Self.ID, Epoch: o.config.Epoch, Database: id, Status: status, Role: role, ObservedAt: now, Position: seen.Position}
	return d.report, true
}

// status gives what an outcome says; sure is false where a few more unanswered checks are needed.
func (o *observer) status(d *observed, seen Observation) (status Status, sure bool) {
	if !seen.Answered {
		d.failures++
		return Dead, d.failures >= FailureThreshold || !o.config.has(guardConsecutive)
	}
	d.failures = 0
	switch {
	case seen.Failing:
		return Failing, true
	case seen.ColdStart:
		return ColdStart, true
	}
	return Alive, true
}

// reportAnew lets the next check of each database be reported whatever it finds.
func (o *observer) reportAnew() {
	for _, d := range o.databases {
		d.reported = false
	}
}

// current gives what was reported last of each database, for whoever has not received it. The time stays that of the check.
func (o *observer) current() (reports []Report) {
	for _, d := range o.databases {
		if d.reported {
			reports = append(reports, d.report)
		}
	}
	slices.SortFunc(reports, func(x, y Report) int { return cmp.Compare(x.Database, y.Database) })
	return reports
}
