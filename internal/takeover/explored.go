package takeover

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// What explorers of all states need: copies, and a text by which equal states are known as such.

// Clone gives a copy that shares nothing that changes.
func (b *Book) Clone() *Book {
	c := *b
	c.past, c.clocks, c.down = slices.Clone(b.past), maps.Clone(b.clocks), maps.Clone(b.down)
	c.out, c.orders = slices.Clone(b.out), slices.Clone(b.orders)
	c.kept, c.tasks = make(map[string]*record, len(b.kept)), make(map[string]*task, len(b.tasks))
	for k, r := range b.kept {
		x := *r
		c.kept[k] = &x
	}
	for k, t := range b.tasks {
		x := *t
		x.ids, x.heard, x.grants = slices.Clone(t.ids), maps.Clone(t.heard), maps.Clone(t.grants)
		x.from, x.renewed = maps.Clone(t.from), maps.Clone(t.renewed)
		c.tasks[k] = &x
	}
	return &c
}

// AppendState writes all that the book's further course hangs on; times count from now, and those that lie further back than far are alike.
func (b *Book) AppendState(dst []byte, now, far time.Duration) []byte {
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
	for _, k := range slices.Sorted(maps.Keys(b.kept)) {
		r := b.kept[k]
		dst = append(append(dst, 'k'), k...)
		n(uint64(r.owner), uint64(r.epoch), uint64(r.owners), r.work.Digest)
		flag(r.loose, r.sent, r.second)
		result(r.result)
		if at(r.from); r.result != nil {
			at(r.ended)
		} else {
			at(r.promised)
			at(r.deadline)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(b.tasks)) {
		t := b.tasks[k]
		dst = append(append(dst, 't'), k...)
		n(uint64(t.stage), uint64(t.epoch), t.seq, t.first, t.work.Digest, uint64(len(t.ids)))
		n(t.ids...)
		flag(t.told, t.loose, t.sent, t.run != nil)
		result(t.result)
		at(t.began)
		at(t.asked)
		at(t.deadline)
		for _, m := range slices.Sorted(maps.Keys(t.from)) {
			n(uint64(m))
			at(t.from[m])
		}
		for i := range uint64(len(t.at)) {
			if t.seq >= i && t.seq-i >= t.first {
				at(t.at[(t.seq-i)%uint64(len(t.at))])
			}
		}
		for _, m := range slices.Sorted(maps.Keys(t.heard)) {
			x := t.heard[m]
			n(uint64(m), uint64(x.Kind), uint64(x.Epoch), uint64(x.Owner), uint64(x.Owners))
			flag(x.Lapsed)
		}
		for _, m := range slices.Sorted(maps.Keys(t.grants)) {
			n(uint64(m))
			at(t.grants[m])
		}
	}
	return dst
}

// Deaf tells of a message that this proxy takes no notice of, now and ever: an answer to an ask of a stage that is over.
func (b *Book) Deaf(m Message) bool {
	switch m.Kind {
	case Held, Other, Unheard, Full:
		t := b.tasks[m.Key]
		return t == nil && m.Seq <= b.seq || t != nil && m.Seq < t.first
	}
	return false
}
