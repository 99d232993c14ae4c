package worksim

import (
	"slices"
	"time"

	"havenproxy/internal/takeover"
)

// fault lets a proxy end, stand still or be cut off, for a while.
func (s *simulation) fault() {
	s.After(time.Duration(s.rng.ExpFloat64()*float64(s.config.FaultInterval)), s.fault)
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if n.stopped || n.cut || n.registry == nil || s.config.MaxConcurrentFaults > 0 && s.faulty >= s.config.MaxConcurrentFaults {
		return
	}
	s.faulty++
	lasts := 50*time.Millisecond + time.Duration(s.rng.Int64N(int64(s.config.MaxFault)))
	s.After(max(lasts, s.config.MembershipTimeout)+s.config.FaultPause, func() { s.faulty-- })
	m, life := n.member, n.life
	expire := func() {
		s.After(s.config.MembershipTimeout, func() {
			if n.life != life || n.member != m || n.stopped || n.cut || n.registry == nil {
				s.remove(m)
			}
		})
	}
	switch s.rng.IntN(3) {
	case 0:
		n.registry = nil
		s.After(s.config.MembershipTimeout, func() { s.remove(m) })
		s.After(max(lasts, s.config.MembershipTimeout), func() { s.start(n); s.broadcastMembers() })
	case 1:
		n.stopped = true
		expire()
		s.After(lasts, func() { s.wake(n, m) })
	default:
		n.cut = true
		expire()
		s.After(lasts, func() { n.cut = false; s.wake(n, m) })
	}
}

// wake lets a proxy go on: what waits in its sockets is read first. One that was taken out of the tier joins anew.
func (s *simulation) wake(n *proxy, m takeover.Member) {
	n.stopped = false
	inbox := n.inbox
	n.inbox = nil
	for _, do := range inbox {
		if n.registry != nil {
			do()
			s.settle(n)
		}
	}
	if n.registry != nil && !slices.Contains(s.members, m) {
		s.next++
		n.member = s.next
		s.members = append(slices.Clone(s.members), n.member)
		s.broadcastMembers()
	}
}
