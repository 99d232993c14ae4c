package rollout

import (
	"slices"
	"time"
)

// renewal is a member's request for a lease. It is granted once the planner is confirmed as leader.
type renewal struct {
	member         Member
	seq            uint64
	link           Link
	membersVersion uint64 // that the member knows
	takesChanges   bool   // it takes what has changed since then
}

// receiveRenewal queues a request for a lease, or answers it where there are no leases and the request is a mere heartbeat.
func (l *Leader) receiveRenewal(link Link, member *memberState, m Message) {
	member.policyNumber = m.Number
	if m.Number < l.state.InForce || l.config.Lease == 0 {
		l.send(link, l.status(m.Member))
	}
	if l.config.Lease > 0 {
		l.queueRenewal(renewal{member: m.Member, seq: m.Seq, link: link, membersVersion: m.MembersVersion, takesChanges: m.AcceptsDelta})
	}
}

// queueRenewal keeps the latest request of each member for the next confirmation.
func (l *Leader) queueRenewal(r renewal) {
	for _, other := range l.confirming {
		if other.member == r.member && other.seq >= r.seq {
			return
		}
	}
	i := slices.IndexFunc(l.renewals, func(other renewal) bool { return other.member == r.member })
	switch {
	case i < 0:
		l.renewals = append(l.renewals, r)
	case l.renewals[i].seq < r.seq:
		l.renewals[i] = r
	}
	l.requestConfirmation()
}

// requestConfirmation starts a confirmation for the queued renewals, unless one is under way.
func (l *Leader) requestConfirmation() {
	if len(l.confirming) == 0 && len(l.renewals) > 0 {
		l.confirming, l.renewals = l.renewals, nil
		l.ready.Confirm = true
	}
}

// Confirmed tells that this planner led at some time after Ready.Confirm was returned. The leases that waited for it are granted.
func (l *Leader) Confirmed(now time.Duration) {
	for _, r := range l.confirming {
		member := l.members[r.member]
		if entry := l.state.Entry(r.member); member != nil && entry != nil && l.mayRenew(now, member) {
			l.answerRenewal(now, r, member, entry)
		}
	}
	l.confirming = nil
	l.requestConfirmation()
}

// answerRenewal grants a lease, after the list of members if the member has an address and knows another version.
func (l *Leader) answerRenewal(now time.Duration, r renewal, member *memberState, entry *MemberEntry) {
	length := l.leaseDuration(now)
	l.grantLease(now, member, length)
	granted := Message{Kind: Granted, Member: r.member, Seq: r.seq, Lease: length}
	if l.history != nil && entry.needsMembers() {
		// The log was confirmed after the request: the list is valid for the granted lease. It is sent only if all earlier lists are known,
		// or replicas that only an earlier list names would be missed.
		past, complete := l.history.Past(now)
		if complete {
			granted.MembersVersion = l.state.MembersVersion
			if r.membersVersion != granted.MembersVersion {
				l.send(r.link, l.membersFor(r, past))
			}
		}
	}
	l.send(r.link, granted)
}

// membersFor returns the message with the membership for a member: what has changed since the version that it knows, where that is known
// here, and all entries otherwise.
func (l *Leader) membersFor(r renewal, past []PastMembers) Message {
	m := Message{Kind: Members, Member: r.member, MembersVersion: l.state.MembersVersion, Members: l.state.Members, PastMembers: past}
	if !r.takesChanges {
		return m
	}
	if joined, left, ok := l.history.Since(r.membersVersion); ok {
		m.BaseVersion, m.Members, m.RemovedMembers = r.membersVersion, joined, left
	}
	return m
}

// leaseDuration returns the length of a lease that is granted now.
func (l *Leader) leaseDuration(now time.Duration) time.Duration {
	if l.change.number != 0 && l.state.Pending() != nil && now-l.change.began >= l.config.Lease/2 {
		return l.config.ShortLease
	}
	return l.config.Lease
}

// grantLease records a lease. A shorter one does not shorten a longer one that was granted before: the proxy may have received only that.
func (l *Leader) grantLease(now time.Duration, member *memberState, length time.Duration) {
	if l.config.DisabledGuards.Has(NoLeaseMaximum) {
		member.leaseEnd, member.expiry = 0, 0
	}
	member.leaseEnd = max(member.leaseEnd, now+length)
	if l.config.Lease > 0 {
		margin := time.Duration(float64(l.config.ClockMargin) * float64(length) / float64(l.config.Lease))
		member.expiry = max(member.expiry, now+length+margin)
	}
}

// mayRenew reports whether a member may get a further lease. One that owes an answer for too long may not, or a change would wait for it
// without end; nor may one that is leaving.
func (l *Leader) mayRenew(now time.Duration, member *memberState) bool {
	answers := member.awaitedSince == 0 || now-member.awaitedSince < l.config.AnswerTimeout
	stays := !member.leaving || l.config.DisabledGuards.Has(NoLeaveCheck)
	return answers && stays
}
