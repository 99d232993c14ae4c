package takeover

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// What explorers of all states need: copies, and a text by which equal states are known as such.

// Clone gives a copy that shares nothing that changes.
func (b *Registry) Clone() *Registry {
	c := *b
	c.past, c.clocks, c.unreachable = slices.Clone(b.past), maps.Clone(b.clocks), maps.Clone(b.unreachable)
	c.messages, c.actions = slices.Clone(b.messages), slices.Clone(b.actions)
	c.records, c.tasks = make(map[string]*record, len(b.records)), make(map[string]*task, len(b.tasks))
	for k, r := range b.records {
		x := *r
		c.records[k] = &x
	}
	for k, t := range b.tasks {
		x := *t
		x.requests, x.answers, x.grants = slices.Clone(t.requests), maps.Clone(t.answers), maps.Clone(t.grants)
		x.storedAt, x.resentSeq = maps.Clone(t.storedAt), maps.Clone(t.resentSeq)
		c.tasks[k] = &x
	}
	return &c
}

// AppendState writes all that the book's further course hangs on; times count from now, and those that lie further back than far are alike.
func (b *Registry) AppendState(dst []byte, now, far time.Duration) []byte {
	n := func(x ...uint64) {
		for _, v := range x {
			dst = binary.AppendUvarint(dst, v)
		}
	}
	at := func(t time.Duration) { dst = binary.AppendVarint(dst, int64(min(max(now-t, -far), far))) }
	flag := func(flags ...bool) {
		x := uint64(0)
		for i, f := range flags {
			if f {
				x |= 1 << i
			}
		}
		n(x)
	}
	result := func(r *Result) {
		if r == nil {
			n(0)
			return
		}
		n(uint64(r.Outcome) + 1)
	}
	n(uint64(b.self), b.seq)
	for _, m := range b.members {
		n(uint64(m))
	}
	for _, k := range slices.Sorted(maps.Keys(b.records)) {
		r := b.records[k]
		dst = append(append(dst, 'k'), k...)
		n(uint64(r.owner), uint64(r.epoch), uint64(r.ownerCount), r.work.Digest)
		flag(r.unreplicated, r.sent, r.secondHand)
		result(r.result)
		if at(r.storedAt); r.result != nil {
			at(r.endedAt)
		} else {
			at(r.leaseEnd)
			at(r.deadline)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(b.tasks)) {
		t := b.tasks[k]
		dst = append(append(dst, 't'), k...)
		n(uint64(t.stage), uint64(t.epoch), t.seq, t.firstSeq, t.work.Digest, uint64(len(t.requests)))
		n(t.requests...)
		flag(t.answered, t.unreplicated, t.sent, t.takenOver != nil)
		result(t.result)
		at(t.stageBegan)
		at(t.lastRequest)
		at(t.deadline)
		for _, m := range slices.Sorted(maps.Keys(t.storedAt)) {
			n(uint64(m))
			at(t.storedAt[m])
		}
		for i := range uint64(len(t.requestTimes)) {
			if t.seq >= i && t.seq-i >= t.firstSeq {
				at(t.requestTimes[(t.seq-i)%uint64(len(t.requestTimes))])
			}
		}
		for _, m := range slices.Sorted(maps.Keys(t.answers)) {
			x := t.answers[m]
			n(uint64(m), uint64(x.Kind), uint64(x.Epoch), uint64(x.Owner), uint64(x.OwnerCount))
			flag(x.Expired)
		}
		for _, m := range slices.Sorted(maps.Keys(t.grants)) {
			n(uint64(m))
			at(t.grants[m])
		}
	}
	return dst
}

// Deaf tells of a message that this proxy takes no notice of, now and ever: an answer to an ask of a stage that is over.
func (b *Registry) Ignores(m Message) bool {
	switch m.Kind {
	case Stored, NotOwner, NotFound, Full:
		t := b.tasks[m.Key]
		return t == nil && m.Seq <= b.seq || t != nil && m.Seq < t.firstSeq
	}
	return false
}
