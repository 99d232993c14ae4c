package rollout

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"time"
)

// What explorers of all states need: copies, and a text by which equal states are known as such.

// Clone gives a copy that shares nothing that changes.
func (p *Proxy) Clone() *Proxy {
	c := *p
	c.messages, c.went, c.with = slices.Clone(p.messages), nil, nil
	return &c
}

// Clone gives a copy before another copy of the same state.
func (l *Leader) Clone(s *State) *Leader {
	c := *l
	c.state = s
	c.members, c.joining, c.inFlight = make(map[Member]*memberState, len(l.members)), maps.Clone(l.joining), maps.Clone(l.inFlight)
	for m, s := range l.members {
		x := *s
		c.members[m] = &x
	}
	c.renewals, c.confirming = slices.Clone(l.renewals), slices.Clone(l.confirming)
	c.messages, c.commands = slices.Clone(l.messages), slices.Clone(l.commands)
	return &c
}

// ago gives a time as one that lies so far back; those beyond far are alike.
func appendAge(dst []byte, now, t, far time.Duration) []byte {
	return binary.AppendVarint(dst, int64(min(max(now-t, -far), far)))
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

// AppendState writes all that the proxy's further course hangs on; times count from now.
func (p *Proxy) AppendState(dst []byte, now time.Duration) []byte {
	far := 3 * p.config.Lease
	dst = appendNumbers(dst, uint64(p.member), uint64(p.number), uint64(p.staged), uint64(p.heldRound.Term), p.heldRound.Count, p.nonce, p.seq)
	if dst = appendFlags(dst, p.hasLease); p.hasLease {
		dst = appendAge(dst, now, p.leaseEnd, far)
	}
	for i := range p.seq {
		if p.seq-i < renewalsInFlight {
			dst = appendAge(dst, now, p.renewalTimes[(p.seq-i)%renewalsInFlight], far)
		}
	}
	return dst
}

// AppendState writes the state.
func (s *State) AppendState(dst []byte) []byte {
	dst = appendNumbers(dst, uint64(s.InForce), uint64(s.LastNumber), uint64(s.LastMember), s.MembersVersion, uint64(s.ReleasedRound.Term), s.ReleasedRound.Count)
	for _, c := range s.Changes {
		dst = append(appendNumbers(dst, uint64(c.Number)), byte(c.Outcome))
	}
	for _, x := range s.Members {
		dst = append(appendNumbers(append(dst, 's'), uint64(x.Member), x.Nonce), x.Name...)
	}
	return dst
}

// AppendState writes all that the leader's further course hangs on, but for the log's state.
func (l *Leader) AppendState(dst []byte, now time.Duration) []byte {
	far := 3 * (l.config.Lease + l.config.ClockMargin)
	dst = appendNumbers(dst, uint64(l.term), uint64(l.pending), l.round.Count)
	dst = appendFlags(dst, l.termBegan > 0, l.roundOpen, l.abortReason != "", l.roundClosed > 0, l.confirm)
	if l.pending > 0 {
		dst = appendAge(dst, now, l.changeBegan, far)
	}
	if l.roundOpen {
		dst = appendAge(dst, now, l.roundOpened, far)
	}
	if l.roundClosed > 0 {
		dst = appendAge(dst, now, l.roundClosed, far)
	}
	for _, m := range slices.Sorted(maps.Keys(l.members)) {
		s := l.members[m]
		dst = appendNumbers(append(dst, 's'), uint64(m), uint64(s.link), uint64(s.policyNumber), uint64(s.heldRound.Term), s.heldRound.Count)
		dst = appendAge(appendFlags(dst, s.agreed, s.leaving, s.awaitedSince > 0, s.lastRequest > 0), now, s.expiry, far)
		if s.awaitedSince > 0 {
			dst = appendAge(dst, now, s.awaitedSince, far)
		}
		if s.lastRequest > 0 {
			dst = appendAge(dst, now, s.lastRequest, far)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(l.joining)) {
		dst = appendNumbers(append(dst, 'n'), uint64(k), l.joining[k].Nonce)
	}
	for _, k := range slices.SortedFunc(maps.Keys(l.inFlight), strings.Compare) {
		if now-l.inFlight[k] < l.config.AnswerTimeout {
			dst = appendAge(append(dst, k...), now, l.inFlight[k], far)
		}
	}
	for _, a := range append(slices.Clone(l.renewals), l.confirming...) {
		dst = appendNumbers(append(dst, 'a'), uint64(a.member), a.seq, uint64(a.link))
	}
	return dst
}

// Confirming tells whether the leader waits to be confirmed.
func (l *Leader) Confirming() bool { return len(l.confirming) > 0 }
