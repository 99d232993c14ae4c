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
	c.out, c.went, c.with = slices.Clone(p.out), nil, nil
	return &c
}

// Clone gives a copy before another copy of the same state.
func (l *Leader) Clone(s *State) *Leader {
	c := *l
	c.state = s
	c.seats, c.names, c.tried = make(map[Member]*place, len(l.seats)), maps.Clone(l.names), maps.Clone(l.tried)
	for m, s := range l.seats {
		x := *s
		c.seats[m] = &x
	}
	c.asks, c.confirming = slices.Clone(l.asks), slices.Clone(l.confirming)
	c.out, c.commit = slices.Clone(l.out), slices.Clone(l.commit)
	return &c
}

// ago gives a time as one that lies so far back; those beyond far are alike.
func ago(dst []byte, now, t, far time.Duration) []byte {
	return binary.AppendVarint(dst, int64(min(max(now-t, -far), far)))
}

func flag(dst []byte, flags ...bool) []byte {
	b := byte(0)
	for i, f := range flags {
		if f {
			b |= 1 << i
		}
	}
	return append(dst, b)
}

func number[T ~uint64](dst []byte, n ...T) []byte {
	for _, x := range n {
		dst = binary.AppendUvarint(dst, uint64(x))
	}
	return dst
}

// AppendState writes all that the proxy's further course hangs on; times count from now.
func (p *Proxy) AppendState(dst []byte, now time.Duration) []byte {
	far := 3 * p.cfg.Lease
	dst = number(dst, uint64(p.member), uint64(p.number), uint64(p.staged), uint64(p.held.Term), p.held.Count, p.nonce, p.seq)
	if dst = flag(dst, p.lease); p.lease {
		dst = ago(dst, now, p.until, far)
	}
	for i := range p.seq {
		if p.seq-i < asks {
			dst = ago(dst, now, p.asked[(p.seq-i)%asks], far)
		}
	}
	return dst
}

// AppendState writes the state.
func (s *State) AppendState(dst []byte) []byte {
	dst = number(dst, uint64(s.Force), uint64(s.Last), uint64(s.Joined), s.Version, uint64(s.Released.Term), s.Released.Count)
	for _, c := range s.Changes {
		dst = append(number(dst, uint64(c.Number)), byte(c.Outcome))
	}
	for _, x := range s.Seats {
		dst = append(number(append(dst, 's'), uint64(x.Member), x.Nonce), x.Name...)
	}
	return dst
}

// AppendState writes all that the leader's further course hangs on, but for the log's state.
func (l *Leader) AppendState(dst []byte, now time.Duration) []byte {
	far := 3 * (l.cfg.Lease + l.cfg.Margin)
	dst = number(dst, uint64(l.term), uint64(l.pending), l.round.Count)
	dst = flag(dst, l.since > 0, l.open, l.abort != "", l.closed > 0, l.confirm)
	if l.pending > 0 {
		dst = ago(dst, now, l.began, far)
	}
	if l.open {
		dst = ago(dst, now, l.opened, far)
	}
	if l.closed > 0 {
		dst = ago(dst, now, l.closed, far)
	}
	for _, m := range slices.Sorted(maps.Keys(l.seats)) {
		s := l.seats[m]
		dst = number(append(dst, 's'), uint64(m), uint64(s.link), uint64(s.number), uint64(s.held.Term), s.held.Count)
		dst = ago(flag(dst, s.agreed, s.left, s.owes > 0, s.asked > 0), now, s.ends, far)
		if s.owes > 0 {
			dst = ago(dst, now, s.owes, far)
		}
		if s.asked > 0 {
			dst = ago(dst, now, s.asked, far)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(l.names)) {
		dst = number(append(dst, 'n'), uint64(k), l.names[k].Nonce)
	}
	for _, k := range slices.SortedFunc(maps.Keys(l.tried), strings.Compare) {
		if now-l.tried[k] < l.cfg.Answer {
			dst = ago(append(dst, k...), now, l.tried[k], far)
		}
	}
	for _, a := range append(slices.Clone(l.asks), l.confirming...) {
		dst = number(append(dst, 'a'), uint64(a.member), a.seq, uint64(a.link))
	}
	return dst
}

// Confirming tells whether the leader waits to be confirmed.
func (l *Leader) Confirming() bool { return len(l.confirming) > 0 }
