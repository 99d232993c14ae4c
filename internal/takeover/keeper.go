package takeover

import (
	"slices"
	"time"
)

// record is one that is kept, for whomever.
type record struct {
	work     Work
	from     time.Duration // when it was first held here
	deadline time.Duration // when its client gives up
	owner    Member
	epoch    Epoch
	promised time.Duration // nobody else gets it before
	owners   int           // that it was held for here
	loose    bool          // its first owner may have sent it without enough keepers
	sent     bool          // an owner may have sent it, by its own word
	second   bool          // it comes of another keeper or a claimant: when it began, and whether others have forgotten it, isn't known here
	result   *Result
	ended    time.Duration
}

// hear takes a message as a keeper, and answers it.
func (b *Book) hear(now time.Duration, from Member, m Message) {
	key := m.Key
	if m.Work != nil {
		key = m.Work.Key
	}
	r := b.kept[key]
	answer := func(x Message) {
		x.Key, x.Seq = key, m.Seq
		b.say(now, from, x)
	}
	other := func() {
		x := Message{Kind: Other, Epoch: r.epoch, Owner: r.owner, Result: r.result, Lapsed: b.lapsed(now, r), Digest: r.work.Digest, Age: now - r.from}
		answer(x)
	}
	grant := func(owners int) {
		r.owner = from
		r.promised = max(r.promised, now+b.cfg.Lease+b.cfg.Margin)
		work := r.work
		work.Left = max(r.deadline-now, 0)
		answer(Message{Kind: Held, Epoch: r.epoch, Owners: owners, Age: now - r.from, Work: &work, Loose: r.loose, Sent: r.sent, Second: r.second})
	}
	if r == nil && (m.Kind == Take || m.Kind == Claim || m.Kind == Copy) && from != b.self && now-m.Echo > b.cfg.Keep/2 && !b.cfg.Without.Has(NoAge) {
		// The fence against what comes once its record was forgotten: that is Keep behind its end at the earliest.
		answer(Message{Kind: Stale})
		return
	}
	switch m.Kind {
	case Take:
		switch {
		case m.Work == nil:
		case r == nil && len(b.kept) >= b.cfg.Most:
			b.Counters.Full++
			answer(Message{Kind: Full})
		case r == nil:
			r = &record{work: *m.Work, from: now, deadline: now + m.Work.Left, epoch: 1, owners: 1, loose: m.Loose}
			b.kept[key] = r
			grant(1)
		case r.result == nil && r.owner == from && r.epoch == 1 && r.work.Digest == m.Work.Digest:
			grant(1)
		default:
			other()
		}
	case Claim:
		switch {
		case m.Work == nil:
		case r == nil: // it never came here, and won't any more: Take finds the record
			r = &record{work: *m.Work, from: now, deadline: now + m.Work.Left, epoch: m.Epoch, owners: 1, loose: m.Loose, second: true}
			b.kept[key] = r
			grant(0)
		case r.result != nil || r.work.Digest != m.Work.Digest:
			other()
		case r.owner == from && r.epoch == m.Epoch:
			grant(r.owners - 1)
		case m.Epoch <= r.epoch && !b.cfg.Without.Has(NoEpochCheck), !b.lapsed(now, r) && !b.cfg.Without.Has(NoPromise):
			other()
		default:
			r.epoch, r.promised = m.Epoch, 0
			r.owners++
			grant(r.owners - 1)
		}
	case Renew, Sure:
		switch {
		case r == nil:
			answer(Message{Kind: Unheard})
		case r.result != nil, (r.owner != from || r.epoch != m.Epoch) && !b.cfg.Without.Has(NoEpochCheck): // the fence against an owner that has been followed by another
			other()
		default:
			if m.Kind == Sure {
				r.sent = true
				return
			}
			grant(r.owners)
		}
	case Drop:
		if r != nil && r.owner == from && r.epoch == 1 && m.Epoch == 1 && r.result == nil && !r.sent {
			delete(b.kept, key)
		}
	case End:
		if m.Result == nil {
			return
		}
		switch {
		case r == nil: // it never came here, but has ended: who asks again is to hear so
			r = &record{work: Work{Key: key, Digest: m.Digest}, from: now, owner: from, epoch: m.Epoch, owners: 1}
			b.kept[key] = r
			fallthrough
		case r.result == nil && r.owner == from && r.epoch == m.Epoch, m.Result.Outcome == Served && (r.result == nil || r.result.Outcome != Served):
			// That it was applied stays true, whoever owns it by now.
			x := *m.Result
			r.result, r.ended = &x, now
		}
		if r != nil && r.result != nil {
			answer(Message{Kind: Other, Epoch: r.epoch, Owner: r.owner, Result: r.result, Digest: r.work.Digest})
		}
	case Copy:
		b.copied(now, key, r, m)
	case Look:
		if r == nil {
			answer(Message{Kind: Unheard})
			return
		}
		other()
	}
}

func (b *Book) lapsed(now time.Duration, r *record) bool {
	return r.result == nil && now >= r.promised
}

// watch looks after what is kept for others: what nobody owns any more is claimed, what has ended long ago forgotten.
func (b *Book) watch(now time.Duration) {
	for _, key := range b.sorted(now) {
		r := b.kept[key]
		switch {
		case r.result != nil:
			if now-r.ended >= b.cfg.Keep || b.cfg.Without.Has(NoKeep) {
				delete(b.kept, key)
			}
		case b.tasks[key] != nil: // this proxy has it in hand already
		case now >= r.deadline+b.cfg.Keep: // nobody could be asked about it for as long
			delete(b.kept, key)
		case b.lapsed(now, r):
			rank := 0
			if s := b.sets(now, key); len(s) > 0 {
				rank = max(slices.Index(s[0].members, b.self), 0)
			}
			if now >= r.promised+time.Duration(rank)*b.cfg.Lease/4 { // not all at once
				b.claim(now, key, r.work, r.epoch, r.deadline, r.loose, r.sent)
			}
		}
	}
}

// repair hands what is kept here to those who have become keepers of it, since a list of members that lacks one that was. Without, the loss of a
// second keeper within the time that a record is of use would lose it.
func (b *Book) repair(now time.Duration) {
	if len(b.past) == 0 {
		return
	}
	before := b.past[len(b.past)-1].members
	keys := make([]string, 0, len(b.kept))
	for key := range b.kept {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		r := b.kept[key]
		was := keepers(key, before, 2*b.cfg.Copies-1)
		for _, m := range keepers(key, b.members, 2*b.cfg.Copies-1) {
			if slices.Contains(was, m) || m == b.self {
				continue
			}
			b.copy(now, m, r)
		}
	}
}

// copy hands a record on.
func (b *Book) copy(now time.Duration, to Member, r *record) {
	work := r.work
	work.Left = max(r.deadline-now, 0)
	x := Message{Kind: Copy, Work: &work, Epoch: r.epoch, Owner: r.owner, Owners: r.owners, Result: r.result, Loose: r.loose, Sent: r.sent}
	if r.result != nil {
		x.Since = now - r.ended
	}
	b.say(now, to, x)
}

// copied takes a record from another keeper. Its owner may hold a promise of others that is as long as any: the same is kept here.
func (b *Book) copied(now time.Duration, key string, r *record, m Message) {
	if m.Work == nil || m.Since >= b.cfg.Keep || len(b.kept) >= b.cfg.Most && r == nil {
		return
	}
	switch {
	case r == nil:
		r = &record{work: *m.Work, from: now, deadline: now + m.Work.Left, owner: m.Owner, epoch: m.Epoch, owners: max(m.Owners, 1), loose: m.Loose,
			sent: m.Sent, second: true, promised: now + b.cfg.Lease + b.cfg.Margin}
		b.kept[key] = r
	case m.Epoch > r.epoch && r.result == nil:
		r.owner, r.epoch, r.owners, r.promised = m.Owner, m.Epoch, max(r.owners, m.Owners), max(r.promised, now+b.cfg.Lease+b.cfg.Margin)
	}
	r.loose, r.sent = r.loose || m.Loose, r.sent || m.Sent
	if m.Result != nil && (r.result == nil || m.Result.Outcome == Served && r.result.Outcome != Served) {
		x := *m.Result
		r.result, r.ended = &x, now-m.Since
	}
}
