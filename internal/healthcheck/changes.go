package healthcheck

import (
	"slices"
	"time"

	"havenproxy/internal/subset"
)

// DatabaseVerdict is the verdict on one database.
type DatabaseVerdict struct {
	Database subset.DatabaseID
	Verdict  Verdict
}

// changes notes on which databases there is something new, so that not all verdicts have to be drawn all the time.
type changes struct {
	pending map[subset.DatabaseID]struct{}
	given   map[subset.DatabaseID]Verdict // as last returned by TakeChangedVerdicts
}

func newChanges() *changes {
	return &changes{pending: map[subset.DatabaseID]struct{}{}, given: map[subset.DatabaseID]Verdict{}}
}

// add notes that something has been received or observed about a database.
func (c *changes) add(id subset.DatabaseID) { c.pending[id] = struct{}{} }

// keep forgets all databases but these.
func (c *changes) keep(ids []subset.DatabaseID) {
	listed := make(map[subset.DatabaseID]struct{}, len(ids))
	for _, id := range ids {
		listed[id] = struct{}{}
	}
	for id := range c.pending {
		if _, ok := listed[id]; !ok {
			delete(c.pending, id)
		}
	}
	for id := range c.given {
		if _, ok := listed[id]; !ok {
			delete(c.given, id)
		}
	}
}

// differs tells whether two verdicts differ in what a router goes by.
func (v Verdict) differs(w Verdict) bool {
	v.Votes, v.Quorum, w.Votes, w.Quorum = 0, 0, 0, 0
	return v != w
}

// TakeChangedVerdicts gives the verdicts that have changed since the last call, by the databases' numbers. A database that somebody calls
// anything but alive is looked at each time, since votes settle and expire by time alone.
func (n *Node) TakeChangedVerdicts(now time.Duration) (changed []DatabaseVerdict) {
	for id := range n.changes.pending {
		verdict := n.Verdict(now, id)
		if verdict.differs(n.changes.given[id]) {
			n.changes.given[id] = verdict
			changed = append(changed, DatabaseVerdict{id, verdict})
		}
		if verdict.State == Serving && !n.view.ailing(id) {
			delete(n.changes.pending, id)
		}
	}
	slices.SortFunc(changed, func(x, y DatabaseVerdict) int { return int(x.Database) - int(y.Database) })
	return changed
}
