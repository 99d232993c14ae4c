package takeover

import "time"

// record is what a replica stores of a write.
type record struct {
	work         Work
	storedAt     time.Duration // when it was first stored here
	deadline     time.Duration // of the client
	owner        Member
	epoch        Epoch
	leaseEnd     time.Duration // no other owner is accepted before
	ownerCount   int           // owners that it was stored for
	unreplicated bool          // its first owner may have sent it without a quorum
	sent         bool          // an owner has announced that it may have sent it
	secondHand   bool          // not received from its first owner: when it began, and whether others have dropped it, is unknown
	result       *Result       // nil = it has not ended
	endedAt      time.Duration
}

// replicaRequest is a request of another proxy, or of this one, for a record.
type replicaRequest struct {
	Message
	now  time.Duration
	from Member
	key  string
	rec  *record // nil = it is not stored here
}

// receiveAsReplica handles a request and answers it.
func (r *Registry) receiveAsReplica(now time.Duration, from Member, m Message) {
	key := m.Key
	if m.Work != nil {
		key = m.Work.Key
	}
	req := &replicaRequest{Message: m, now: now, from: from, key: key, rec: r.records[key]}
	if req.createsRecord() && from != r.self && now-m.Echo > r.config.Retention/2 && !r.config.DisabledGuards.Has(NoAgeCheck) {
		// Fence against a message from before the record was dropped, which is Retention after its end at the earliest.
		r.answerRequest(req, Message{Kind: ClockUnknown})
		return
	}
	switch m.Kind {
	case Store:
		r.receiveStore(req)
	case TakeOver:
		r.receiveTakeOver(req)
	case Renew, MarkSent:
		r.receiveRenew(req)
	case Discard:
		r.receiveDiscard(req)
	case Complete:
		r.receiveComplete(req)
	case Transfer:
		r.receiveTransfer(req)
	case Query:
		r.receiveQuery(req)
	}
}

// createsRecord reports whether the request may create a record.
func (req *replicaRequest) createsRecord() bool {
	return req.rec == nil && (req.Kind == Store || req.Kind == TakeOver || req.Kind == Transfer)
}

// fromOwner reports whether the record's present owner sent the request.
func (req *replicaRequest) fromOwner(epoch Epoch) bool {
	return req.rec.owner == req.from && req.rec.epoch == epoch
}

func (r *Registry) answerRequest(req *replicaRequest, answer Message) {
	answer.Key, answer.Seq = req.key, req.Seq
	r.send(req.now, req.from, answer)
}

// answerNotOwner answers with the present state of the record.
func (r *Registry) answerNotOwner(req *replicaRequest) {
	rec := req.rec
	r.answerRequest(req, Message{Kind: NotOwner, Epoch: rec.epoch, Owner: rec.owner, Result: rec.result,
		Expired: rec.expired(req.now), Digest: rec.work.Digest, Age: req.now - rec.storedAt})
}

// grantLease makes the sender the owner. ownerCount is sent with the answer.
func (r *Registry) grantLease(req *replicaRequest, ownerCount int) {
	rec := req.rec
	rec.owner = req.from
	rec.leaseEnd = max(rec.leaseEnd, req.now+r.config.replicaLease())
	r.answerRequest(req, Message{Kind: Stored, Epoch: rec.epoch, OwnerCount: ownerCount, Age: req.now - rec.storedAt,
		Work: rec.workLeft(req.now), Unreplicated: rec.unreplicated, Sent: rec.sent, SecondHand: rec.secondHand})
}

// workLeft returns the work with the time that is left to the client's deadline.
func (rec *record) workLeft(now time.Duration) *Work {
	work := rec.work
	work.TimeLeft = max(rec.deadline-now, 0)
	return &work
}

// expired reports whether the owner's lease has expired before the write ended.
func (rec *record) expired(now time.Duration) bool {
	return rec.result == nil && now >= rec.leaseEnd
}

// create stores a record.
func (r *Registry) create(req *replicaRequest, rec *record) {
	rec.storedAt, rec.ownerCount = req.now, max(rec.ownerCount, 1)
	r.records[req.key] = rec
	req.rec = rec
}

func (r *Registry) receiveStore(req *replicaRequest) {
	rec := req.rec
	switch {
	case req.Work == nil:
	case rec == nil && len(r.records) >= r.config.MaxRecords:
		r.Counters.Full++
		r.answerRequest(req, Message{Kind: Full})
	case rec == nil:
		r.create(req, &record{work: *req.Work, deadline: req.now + req.Work.TimeLeft, epoch: firstEpoch, unreplicated: req.Unreplicated})
		r.grantLease(req, 1)
	case rec.result == nil && req.fromOwner(firstEpoch) && rec.work.Digest == req.Work.Digest: // a duplicate
		r.grantLease(req, 1)
	default:
		r.answerNotOwner(req)
	}
}

func (r *Registry) receiveTakeOver(req *replicaRequest) {
	if req.Work == nil {
		return
	}
	rec := req.rec
	if rec == nil { // the record was not received before; a late Store will find this one
		r.create(req, &record{work: *req.Work, deadline: req.now + req.Work.TimeLeft, epoch: req.Epoch, unreplicated: req.Unreplicated, secondHand: true})
		r.grantLease(req, 0)
		return
	}
	disabled := r.config.DisabledGuards
	switch {
	case rec.result != nil || rec.work.Digest != req.Work.Digest:
		r.answerNotOwner(req)
	case req.fromOwner(req.Epoch): // a duplicate
		r.grantLease(req, rec.ownerCount-1)
	case req.Epoch <= rec.epoch && !disabled.Has(NoEpochCheck):
		r.answerNotOwner(req)
	case !rec.expired(req.now) && !disabled.Has(NoPromiseCheck):
		r.answerNotOwner(req)
	default:
		rec.epoch, rec.leaseEnd = req.Epoch, 0
		rec.ownerCount++
		r.grantLease(req, rec.ownerCount-1)
	}
}

// receiveRenew handles Renew and MarkSent, which only the owner may send.
func (r *Registry) receiveRenew(req *replicaRequest) {
	rec := req.rec
	switch {
	case rec == nil:
		r.answerRequest(req, Message{Kind: NotFound})
	case rec.result != nil:
		r.answerNotOwner(req)
	case !req.fromOwner(req.Epoch) && !r.config.DisabledGuards.Has(NoEpochCheck): // fence against a former owner
		r.answerNotOwner(req)
	case req.Kind == MarkSent:
		rec.sent = true
	default:
		r.grantLease(req, rec.ownerCount)
	}
}

func (r *Registry) receiveDiscard(req *replicaRequest) {
	rec := req.rec
	if rec != nil && req.Epoch == firstEpoch && req.fromOwner(firstEpoch) && rec.result == nil && !rec.sent {
		delete(r.records, req.key)
	}
}

func (r *Registry) receiveComplete(req *replicaRequest) {
	if req.Result == nil {
		return
	}
	created := req.rec == nil
	if created { // the record was not received before, but a client that retries has to learn the outcome
		r.create(req, &record{work: Work{Key: req.key, Digest: req.Digest}, owner: req.from, epoch: req.Epoch})
	}
	rec := req.rec
	if created || rec.result == nil && req.fromOwner(req.Epoch) || rec.supersedes(req.Result) {
		rec.end(req.now, *req.Result)
	}
	if rec.result != nil {
		r.answerRequest(req, Message{Kind: NotOwner, Epoch: rec.epoch, Owner: rec.owner, Result: rec.result, Digest: rec.work.Digest})
	}
}

// supersedes reports whether a result replaces the record's: that a write was applied stays true, whoever owns it.
func (rec *record) supersedes(result *Result) bool {
	return result.Outcome == Served && (rec.result == nil || rec.result.Outcome != Served)
}

func (rec *record) end(at time.Duration, result Result) {
	rec.result, rec.endedAt = &result, at
}

func (r *Registry) receiveQuery(req *replicaRequest) {
	if req.rec == nil {
		r.answerRequest(req, Message{Kind: NotFound})
		return
	}
	r.answerNotOwner(req)
}
