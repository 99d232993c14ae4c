package takeover

import (
	"maps"
	"slices"
	"time"
)

// takeoverStagger is the part of a lease by which each further replica waits before it takes a record over.
const takeoverStagger = 4

// checkRecords takes over the records whose owner's lease has expired, and drops those that ended long ago.
func (r *Registry) checkRecords(now time.Duration) {
	for _, key := range r.dueRecords(now) {
		rec := r.records[key]
		switch {
		case rec.result != nil:
			delete(r.records, key)
		case r.tasks[key] != nil: // this proxy is working on it already
		case now >= rec.deadline+r.config.Retention: // no takeover has succeeded for that long
			delete(r.records, key)
		case rec.expired(now) && now >= rec.leaseEnd+r.takeoverDelay(now, key):
			r.takeOver(now, key, takeoverStart{work: rec.work, epoch: rec.epoch, deadline: rec.deadline, unreplicated: rec.unreplicated, sent: rec.sent})
		}
	}
}

// takeoverDelay spreads the replicas' attempts, by their rank.
func (r *Registry) takeoverDelay(now time.Duration, key string) time.Duration {
	rank := 0
	if sets := r.replicaSets(now, key); len(sets) > 0 {
		rank = max(slices.Index(sets[0].members, r.self), 0)
	}
	return time.Duration(rank) * r.config.Lease / takeoverStagger
}

// dueRecords returns the keys of the records that checkRecords has to process, sorted so that the order is deterministic.
func (r *Registry) dueRecords(now time.Duration) []string {
	var keys []string
	for key, rec := range r.records {
		due := now >= min(rec.leaseEnd, rec.deadline+r.config.Retention)
		if rec.result != nil {
			due = now-rec.endedAt >= r.config.Retention || r.config.DisabledGuards.Has(NoRetention)
		}
		if due {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// transferRecords hands records on to the proxies that the new list of members selects as replicas and the one before did not. Otherwise a
// record would be lost with the next replica that leaves.
func (r *Registry) transferRecords(now time.Duration) {
	if len(r.past) == 0 {
		return
	}
	before := r.past[len(r.past)-1].members
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		former := selectReplicas(key, before, r.config.replicas())
		for _, member := range selectReplicas(key, r.members, r.config.replicas()) {
			if member != r.self && !slices.Contains(former, member) {
				r.transfer(now, member, r.records[key])
			}
		}
	}
}

func (r *Registry) transfer(now time.Duration, to Member, rec *record) {
	m := Message{Kind: Transfer, Work: rec.workLeft(now), Epoch: rec.epoch, Owner: rec.owner, OwnerCount: rec.ownerCount,
		Result: rec.result, Unreplicated: rec.unreplicated, Sent: rec.sent}
	if rec.result != nil {
		m.SinceEnd = now - rec.endedAt
	}
	r.send(now, to, m)
}

// receiveTransfer stores a record that another replica transfers. How long the owner's lease still lasts there is not known, so a full lease is
// assumed.
func (r *Registry) receiveTransfer(req *replicaRequest) {
	full := req.rec == nil && len(r.records) >= r.config.MaxRecords
	if req.Work == nil || req.SinceEnd >= r.config.Retention || full {
		return
	}
	leaseEnd := req.now + r.config.replicaLease()
	switch {
	case req.rec == nil:
		r.create(req, &record{work: *req.Work, deadline: req.now + req.Work.TimeLeft, owner: req.Owner, epoch: req.Epoch,
			ownerCount: req.OwnerCount, secondHand: true, leaseEnd: leaseEnd})
	case req.Epoch > req.rec.epoch && req.rec.result == nil:
		req.rec.owner, req.rec.epoch = req.Owner, req.Epoch
		req.rec.ownerCount = max(req.rec.ownerCount, req.OwnerCount)
		req.rec.leaseEnd = max(req.rec.leaseEnd, leaseEnd)
	}
	rec := req.rec
	rec.unreplicated = rec.unreplicated || req.Unreplicated
	rec.sent = rec.sent || req.Sent
	if req.Result != nil && (rec.result == nil || rec.supersedes(req.Result)) {
		rec.end(req.now-req.SinceEnd, *req.Result)
	}
}
