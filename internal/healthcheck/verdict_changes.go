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

// changeTracker records which databases have new evidence, so that not all verdicts are recomputed on every call.
type changeTracker struct {
	pending  map[subset.DatabaseID]struct{}
	returned map[subset.DatabaseID]Verdict // as last returned by TakeChangedVerdicts
}

func newChangeTracker() *changeTracker {
	return &changeTracker{pending: map[subset.DatabaseID]struct{}{}, returned: map[subset.DatabaseID]Verdict{}}
}

// add records that something has been received or observed about a database.
func (c *changeTracker) add(id subset.DatabaseID) { c.pending[id] = struct{}{} }

// retain removes all databases except the given ones.
func (c *changeTracker) retain(ids []subset.DatabaseID) {
	listed := make(map[subset.DatabaseID]struct{}, len(ids))
	for _, id := range ids {
		listed[id] = struct{}{}
	}
	for id := range c.pending {
		if _, ok := listed[id]; !ok {
			delete(c.pending, id)
		}
	}
	for id := range c.returned {
		if _, ok := listed[id]; !ok {
			delete(c.returned, id)
		}
	}
}

// routingDiffers reports whether two verdicts differ in a field that routing depends on.
func (v Verdict) routingDiffers(w Verdict) bool {
	v.Votes, v.Quorum, w.Votes, w.Quorum = 0, 0, 0, 0
	return v != w
}

// TakeChangedVerdicts returns the verdicts that have changed since the last call, sorted by database. A database with any report other than
// Alive is evaluated on every call, because votes settle and expire with time alone.
func (n *Node) TakeChangedVerdicts(now time.Duration) (changed []DatabaseVerdict) {
	for id := range n.changes.pending {
		verdict := n.Verdict(now, id)
		if verdict.routingDiffers(n.changes.returned[id]) {
			n.changes.returned[id] = verdict
			changed = append(changed, DatabaseVerdict{id, verdict})
		}
		if verdict.State == Serving && !n.view.reportedUnhealthy(id) {
			delete(n.changes.pending, id)
		}
	}
	slices.SortFunc(changed, func(x, y DatabaseVerdict) int { return int(x.Database) - int(y.Database) })
	return changed
}
