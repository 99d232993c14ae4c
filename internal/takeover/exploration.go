package takeover

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Copies and encodings of the state for the exhaustive exploration in internal/lab/explore.

// Clone returns a copy that shares no mutable data with r.
func (r *Registry) Clone() *Registry {
	c := *r
	c.past, c.clocks, c.unreachable = slices.Clone(r.past), maps.Clone(r.clocks), maps.Clone(r.unreachable)
	c.ready.Messages, c.ready.Actions = slices.Clone(r.ready.Messages), slices.Clone(r.ready.Actions)
	c.records = make(map[string]*record, len(r.records))
	for key, rec := range r.records {
		clone := *rec
		c.records[key] = &clone
	}
	c.tasks = make(map[string]*task, len(r.tasks))
	for key, t := range r.tasks {
		c.tasks[key] = t.clone()
	}
	return &c
}

func (t *task) clone() *task {
	c := *t
	c.requests, c.answers, c.grants = slices.Clone(t.requests), maps.Clone(t.answers), maps.Clone(t.grants)
	c.storedAt, c.resentSeq = maps.Clone(t.storedAt), maps.Clone(t.resentSeq)
	return &c
}

// encoder appends values to a state's encoding. Times are relative to now; ages beyond limit are alike.
type encoder struct {
	dst        []byte
	now, limit time.Duration
}

func (e *encoder) numbers(values ...uint64) {
	for _, value := range values {
		e.dst = binary.AppendUvarint(e.dst, value)
	}
}

func (e *encoder) age(at time.Duration) {
	e.dst = binary.AppendVarint(e.dst, int64(min(max(e.now-at, -e.limit), e.limit)))
}

func (e *encoder) flags(flags ...bool) {
	bits := uint64(0)
	for i, flag := range flags {
		if flag {
			bits |= 1 << i
		}
	}
	e.numbers(bits)
}

func (e *encoder) result(result *Result) {
	if result == nil {
		e.numbers(0)
		return
	}
	e.numbers(uint64(result.Outcome) + 1)
}

// AppendState appends an encoding of all that the registry's future behaviour depends on. Times are relative to now; those that lie further
// back than limit are alike.
func (r *Registry) AppendState(dst []byte, now, limit time.Duration) []byte {
	e := &encoder{dst: dst, now: now, limit: limit}
	e.numbers(uint64(r.self), r.seq)
	for _, member := range r.members {
		e.numbers(uint64(member))
	}
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		e.dst = append(append(e.dst, 'k'), key...)
		e.record(r.records[key])
	}
	for _, key := range slices.Sorted(maps.Keys(r.tasks)) {
		e.dst = append(append(e.dst, 't'), key...)
		e.task(r.tasks[key])
		e.answers(r.tasks[key])
	}
	return e.dst
}

func (e *encoder) record(rec *record) {
	e.numbers(uint64(rec.owner), uint64(rec.epoch), uint64(rec.ownerCount), rec.work.Digest)
	e.flags(rec.unreplicated, rec.sent, rec.secondHand)
	e.result(rec.result)
	e.age(rec.storedAt)
	if rec.result != nil {
		e.age(rec.endedAt)
		return
	}
	e.age(rec.leaseEnd)
	e.age(rec.deadline)
}

func (e *encoder) task(t *task) {
	e.numbers(uint64(t.stage), uint64(t.epoch), t.seq, t.firstSeq, t.work.Digest, uint64(len(t.requests)))
	e.numbers(t.requests...)
	e.flags(t.answered, t.unreplicated, t.sent, t.takenOver != nil)
	e.result(t.result)
	e.age(t.stageBegan)
	e.age(t.lastRequest)
	e.age(t.deadline)
}

func (e *encoder) answers(t *task) {
	for _, member := range slices.Sorted(maps.Keys(t.storedAt)) {
		e.numbers(uint64(member))
		e.age(t.storedAt[member])
	}
	for i := range uint64(maxRequestsInFlight) {
		if t.seq >= i && t.seq-i >= t.firstSeq {
			e.age(*t.requestTime(t.seq - i))
		}
	}
	for _, member := range slices.Sorted(maps.Keys(t.answers)) {
		answer := t.answers[member]
		e.numbers(uint64(member), uint64(answer.Kind), uint64(answer.Epoch), uint64(answer.Owner), uint64(answer.OwnerCount))
		e.flags(answer.Expired)
	}
	for _, member := range slices.Sorted(maps.Keys(t.grants)) {
		e.numbers(uint64(member))
		e.age(t.grants[member])
	}
}

// Ignores reports whether a message has no effect now or later: an answer to a request of an earlier stage.
func (r *Registry) Ignores(m Message) bool {
	switch m.Kind {
	case Stored, NotOwner, NotFound, Full:
		t := r.tasks[m.Key]
		return t == nil && m.Seq <= r.seq || t != nil && m.Seq < t.firstSeq
	}
	return false
}
