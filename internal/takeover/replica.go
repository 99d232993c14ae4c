package takeover

import (
	"slices"
	"time"
)

// record is one that is kept, for whomever.
type record struct {
	work         Work
	storedAt     time.Duration // when it was first held here
	deadline     time.Duration // when its client gives up
	owner        Member
	epoch        Epoch
	leaseEnd     time.Duration // nobody else gets it before
	ownerCount   int           // that it was held for here
	unreplicated bool          // its first owner may have sent it without enough keepers
	sent         bool          // an owner may have sent it, by its own word
	secondHand   bool          // it comes of another keeper or a claimant: when it began, and whether others have forgotten it, isn't known here
	result       *Result
	endedAt      time.Duration
}

// hear takes a message as a keeper, and answers it.
func (b *Registry) receiveAsReplica(now time.Duration, from Member, m Message) {
	key := m.Key
	if m.Work != nil {
		key = m.Work.Key
	}
	r := b.records[key]
	answer := func(x Message) {
		x.Key, x.Seq = key, m.Seq
		b.send(now, from, x)
	}
	other := func() {
		x := Message{Kind: NotOwner, Epoch: r.epoch, Owner: r.owner, Result: r.result, Expired: b.expired(now, r), Digest: r.work.Digest, Age: now - r.storedAt}
		answer(x)
	}
	grant := func(owners int) {
		r.owner = from
		r.leaseEnd = max(r.leaseEnd, now+b.config.Lease+b.config.ClockMargin)
		work := r.work
		work.TimeLeft = max(r.deadline-now, 0)
		answer(Message{Kind: Stored, Epoch: r.epoch, OwnerCount: owners, Age: now - r.storedAt, Work: &work, Unreplicated: r.unreplicated, Sent: r.sent, SecondHand: r.secondHand})
	}
	if r == nil && (m.Kind == Store || m.Kind == TakeOver || m.Kind == Transfer) && from != b.self && now-m.Echo > b.config.Retention/2 && !b.config.DisabledGuards.Has(NoAgeCheck) {
		// The fence against what comes once its record was forgotten: that is Keep behind its end at the earliest.
		answer(Message{Kind: ClockUnknown})
		return
	}
	switch m.Kind {
	case Store:
		switch {
		case m.Work == nil:
		case r == nil && len(b.records) >= b.config.MaxRecords:
			b.Counters.Full++
			answer(Message{Kind: Full})
		case r == nil:
			r = &record{work: *m.Work, storedAt: now, deadline: now + m.Work.TimeLeft, epoch: 1, ownerCount: 1, unreplicated: m.Unreplicated}
			b.records[key] = r
			grant(1)
		case r.result == nil && r.owner == from && r.epoch == 1 && r.work.Digest == m.Work.Digest:
			grant(1)
		default:
			other()
		}
	case TakeOver:
		switch {
		case m.Work == nil:
		case r == nil: // it never came here, and won't any more: Take finds the record
			r = &record{work: *m.Work, storedAt: now, deadline: now + m.Work.TimeLeft, epoch: m.Epoch, ownerCount: 1, unreplicated: m.Unreplicated, secondHand: true}
			b.records[key] = r
			grant(0)
		case r.result != nil || r.work.Digest != m.Work.Digest:
			other()
		case r.owner == from && r.epoch == m.Epoch:
			grant(r.ownerCount - 1)
		case m.Epoch <= r.epoch && !b.config.DisabledGuards.Has(NoEpochCheck), !b.expired(now, r) && !b.config.DisabledGuards.Has(NoPromiseCheck):
			other()
		default:
			r.epoch, r.leaseEnd = m.Epoch, 0
			r.ownerCount++
			grant(r.ownerCount - 1)
		}
	case Renew, MarkSent:
		switch {
		case r == nil:
			answer(Message{Kind: NotFound})
		case r.result != nil, (r.owner != from || r.epoch != m.Epoch) && !b.config.DisabledGuards.Has(NoEpochCheck): // the fence against an owner that has been followed by another
			other()
		default:
			if m.Kind == MarkSent {
				r.sent = true
				return
			}
			grant(r.ownerCount)
		}
	case Discard:
		if r != nil && r.owner == from && r.epoch == 1 && m.Epoch == 1 && r.result == nil && !r.sent {
			delete(b.records, key)
		}
	case Complete:
		if m.Result == nil {
			return
		}
		switch {
		case r == nil: // it never came here, but has ended: who asks again is to hear so
			r = &record{work: Work{Key: key, Digest: m.Digest}, storedAt: now, owner: from, epoch: m.Epoch, ownerCount: 1}
			b.records[key] = r
			fallthrough
		case r.result == nil && r.owner == from && r.epoch == m.Epoch, m.Result.Outcome == Served && (r.result == nil || r.result.Outcome != Served):
			// That it was applied stays true, whoever owns it by now.
			x := *m.Result
			r.result, r.endedAt = &x, now
		}
		if r != nil && r.result != nil {
			answer(Message{Kind: NotOwner, Epoch: r.epoch, Owner: r.owner, Result: r.result, Digest: r.work.Digest})
		}
	case Transfer:
		b.receiveTransfer(now, key, r, m)
	case Query:
		if r == nil {
			answer(Message{Kind: NotFound})
			return
		}
		other()
	}
}

func (b *Registry) expired(now time.Duration, r *record) bool {
	return r.result == nil && now >= r.leaseEnd
}

// watch looks after what is kept for others: what nobody owns any more is claimed, what has ended long ago forgotten.
func (b *Registry) checkRecords(now time.Duration) {
	for _, key := range b.dueRecords(now) {
		r := b.records[key]
		switch {
		case r.result != nil:
			if now-r.endedAt >= b.config.Retention || b.config.DisabledGuards.Has(NoRetention) {
				delete(b.records, key)
			}
		case b.tasks[key] != nil: // this proxy has it in hand already
		case now >= r.deadline+b.config.Retention: // nobody could be asked about it for as long
			delete(b.records, key)
		case b.expired(now, r):
			rank := 0
			if s := b.replicaSets(now, key); len(s) > 0 {
				rank = max(slices.Index(s[0].members, b.self), 0)
			}
			if now >= r.leaseEnd+time.Duration(rank)*b.config.Lease/4 { // not all at once
				b.takeOver(now, key, r.work, r.epoch, r.deadline, r.unreplicated, r.sent)
			}
		}
	}
}

// repair hands what is kept here to those who have become keepers of it, since a list of members that lacks one that was. Without, the loss of a
// second keeper within the time that a record is of use would lose it.
func (b *Registry) transferRecords(now time.Duration) {
	if len(b.past) == 0 {
		return
	}
	before := b.past[len(b.past)-1].members
	keys := make([]string, 0, len(b.records))
	for key := range b.records {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		r := b.records[key]
		was := selectReplicas(key, before, 2*b.config.Quorum-1)
		for _, m := range selectReplicas(key, b.members, 2*b.config.Quorum-1) {
			if slices.Contains(was, m) || m == b.self {
				continue
			}
			b.transfer(now, m, r)
		}
	}
}

// copy hands a record on.
func (b *Registry) transfer(now time.Duration, to Member, r *record) {
	work := r.work
	work.TimeLeft = max(r.deadline-now, 0)
	x := Message{Kind: Transfer, Work: &work, Epoch: r.epoch, Owner: r.owner, OwnerCount: r.ownerCount, Result: r.result, Unreplicated: r.unreplicated, Sent: r.sent}
	if r.result != nil {
		x.SinceEnd = now - r.endedAt
	}
	b.send(now, to, x)
}

// copied takes a record from another keeper. Its owner may hold a promise of others that is as long as any: the same is kept here.
func (b *Registry) receiveTransfer(now time.Duration, key string, r *record, m Message) {
	if m.Work == nil || m.SinceEnd >= b.config.Retention || len(b.records) >= b.config.MaxRecords && r == nil {
		return
	}
	switch {
	case r == nil:
		r = &record{work: *m.Work, storedAt: now, deadline: now + m.Work.TimeLeft, owner: m.Owner, epoch: m.Epoch, ownerCount: max(m.OwnerCount, 1), unreplicated: m.Unreplicated,
			sent: m.Sent, secondHand: true, leaseEnd: now + b.config.Lease + b.config.ClockMargin}
		b.records[key] = r
	case m.Epoch > r.epoch && r.result == nil:
		r.owner, r.epoch, r.ownerCount, r.leaseEnd = m.Owner, m.Epoch, max(r.ownerCount, m.OwnerCount), max(r.leaseEnd, now+b.config.Lease+b.config.ClockMargin)
	}
	r.unreplicated, r.sent = r.unreplicated || m.Unreplicated, r.sent || m.Sent
	if m.Result != nil && (r.result == nil || m.Result.Outcome == Served && r.result.Outcome != Served) {
		x := *m.Result
		r.result, r.endedAt = &x, now-m.SinceEnd
	}
}
