package rollout

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// This file holds copies and encodings of the state for the exhaustive exploration in internal/lab/explore.

// Clone returns a copy that shares no mutable data with p. Policy switches that were not taken are dropped.
func (p *Proxy) Clone() *Proxy {
	c := *p
	c.messages, c.switches = slices.Clone(p.messages), nil
	return &c
}

// Clone returns a copy that works on another copy of the same state.
func (l *Leader) Clone(s *State) *Leader {
	c := *l
	c.state = s
	c.joining, c.inFlight = maps.Clone(l.joining), maps.Clone(l.inFlight)
	c.members = make(map[Member]*memberState, len(l.members))
	for id, member := range l.members {
		clone := *member
		c.members[id] = &clone
	}
	c.renewals, c.confirming = slices.Clone(l.renewals), slices.Clone(l.confirming)
	c.ready.Messages, c.ready.Commands = slices.Clone(l.ready.Messages), slices.Clone(l.ready.Commands)
	return &c
}

// appendAge appends now - t, clamped to ±limit, since times further back have the same effect.
func appendAge(dst []byte, now, t, limit time.Duration) []byte {
	return binary.AppendVarint(dst, int64(min(max(now-t, -limit), limit)))
}

func appendFlags(dst []byte, flags ...bool) []byte {
	b := byte(0)
	for i, f := range flags {
		if f {
			b |= 1 << i
		}
	}
	return append(dst, b)
}

func appendNumbers[T ~uint64](dst []byte, n ...T) []byte {
	for _, x := range n {
		dst = binary.AppendUvarint(dst, uint64(x))
	}
	return dst
}

// agesPerLease bounds the ages that AppendState distinguishes, in leases.
const agesPerLease = 3

// AppendState appends an encoding of all that the proxy's future behaviour depends on. Times are relative to now.
func (p *Proxy) AppendState(dst []byte, now time.Duration) []byte {
	limit := agesPerLease * p.config.Lease
	dst = appendNumbers(dst, uint64(p.member), uint64(p.number), uint64(p.stagedNumber), uint64(p.heldRound.Term), p.heldRound.Count, p.nonce, p.seq)
	dst = appendFlags(dst, p.hasLease)
	if p.hasLease {
		dst = appendAge(dst, now, p.leaseEnd, limit)
	}
	for i := range p.seq {
		if p.seq-i < maxRenewalsInFlight {
			dst = appendAge(dst, now, *p.renewalTime(p.seq - i), limit)
		}
	}
	return dst
}

// AppendState appends an encoding of the state.
func (s *State) AppendState(dst []byte) []byte {
	dst = appendNumbers(dst, uint64(s.InForce), uint64(s.LastNumber), uint64(s.LastMember), s.MembersVersion, uint64(s.ReleasedRound.Term), s.ReleasedRound.Count)
	for _, change := range s.Changes {
		dst = append(appendNumbers(dst, uint64(change.Number)), byte(change.Outcome))
	}
	for _, entry := range s.Members {
		dst = append(appendNumbers(append(dst, 's'), uint64(entry.Member), entry.Nonce), entry.Name...)
	}
	return dst
}

// AppendState appends an encoding of all that the leader's future behaviour depends on, besides the log's state.
func (l *Leader) AppendState(dst []byte, now time.Duration) []byte {
	limit := agesPerLease * (l.config.Lease + l.config.ClockMargin)
	dst = appendNumbers(dst, uint64(l.term), uint64(l.change.number), l.round.Count)
	dst = appendFlags(dst, l.Leading(), l.roundOpen, l.change.abortReason != "", l.lastRelease > 0, l.ready.Confirm)
	if l.change.number > 0 {
		dst = appendAge(dst, now, l.change.start, limit)
	}
	if l.roundOpen {
		dst = appendAge(dst, now, l.roundStart, limit)
	}
	if l.lastRelease > 0 {
		dst = appendAge(dst, now, l.lastRelease, limit)
	}
	for _, id := range slices.Sorted(maps.Keys(l.members)) {
		dst = l.members[id].appendState(append(dst, 's'), id, now, limit)
	}
	for _, link := range slices.Sorted(maps.Keys(l.joining)) {
		dst = appendNumbers(append(dst, 'n'), uint64(link), l.joining[link].Nonce)
	}
	for _, key := range slices.SortedFunc(maps.Keys(l.inFlight), submission.compare) {
		if now-l.inFlight[key] < l.config.AnswerTimeout {
			dst = appendAge(key.appendState(dst), now, l.inFlight[key], limit)
		}
	}
	for _, r := range append(slices.Clone(l.renewals), l.confirming...) {
		dst = appendNumbers(append(dst, 'a'), uint64(r.member), r.seq, uint64(r.link))
	}
	return dst
}

func (m *memberState) appendState(dst []byte, id Member, now, limit time.Duration) []byte {
	dst = appendNumbers(dst, uint64(id), uint64(m.link), uint64(m.policyNumber), uint64(m.heldRound.Term), m.heldRound.Count)
	dst = appendFlags(dst, m.agreed, m.leaving, m.awaitedSince > 0, m.lastRequest > 0)
	dst = appendAge(dst, now, m.expiry, limit)
	if m.awaitedSince > 0 {
		dst = appendAge(dst, now, m.awaitedSince, limit)
	}
	if m.lastRequest > 0 {
		dst = appendAge(dst, now, m.lastRequest, limit)
	}
	return dst
}

func (s submission) appendState(dst []byte) []byte {
	dst = append(append(dst, 'c', byte(s.kind)), s.name...)
	return appendNumbers(dst, uint64(s.member), uint64(s.round.Term), s.round.Count, s.version)
}

func (s submission) compare(other submission) int {
	return bytes.Compare(s.appendState(nil), other.appendState(nil))
}

// Confirming reports whether the leader waits for Confirmed.
func (l *Leader) Confirming() bool { return len(l.confirming) > 0 }
