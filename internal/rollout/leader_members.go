package rollout

import (
	"errors"
	"fmt"
	"time"
)

// ErrNotMember is returned for a name that belongs to no member of the tier.
var ErrNotMember = errors.New("is no member")

// memberState is the leader's volatile state of a member.
type memberState struct {
	link         Link
	policyNumber Number // that the member serves under, as of its last message
	lastMessage  time.Duration

	leaseEnd time.Duration // of the longest lease that was granted, by this planner's clock
	expiry   time.Duration // leaseEnd plus the clock margin: the member admits nothing after it
	leaving  bool          // no further lease is granted: the member is leaving, its lease has expired, or the operator expels it

	agreed       bool
	heldRound    Round
	awaitedSince time.Duration // since when an answer is outstanding; 0 = none is
	lastRequest  time.Duration // when the answer was last requested
}

// MemberInfo is the state of a member, for operators.
type MemberInfo struct {
	Name             string        `json:"name"`
	Member           Member        `json:"member"`
	Number           Number        `json:"number"` // of the policy that the member serves under
	Linked           bool          `json:"linked"`
	SinceLastMessage time.Duration `json:"heard"`
	LeaseRemaining   time.Duration `json:"lease"`
}

// Members returns the state of the members, in the order in which they joined.
func (l *Leader) Members(now time.Duration) []MemberInfo {
	var infos []MemberInfo
	for _, entry := range l.state.Members {
		info := MemberInfo{Name: entry.Name, Member: entry.Member}
		if member := l.members[entry.Member]; member != nil {
			info.Number = member.policyNumber
			info.Linked = member.link != 0
			info.SinceLastMessage = now - member.lastMessage
			info.LeaseRemaining = member.leaseEnd - now
		}
		infos = append(infos, info)
	}
	return infos
}

// receiveHello handles a new connection: of a member that reconnects, of a new member, or of a second process with a member's name.
func (l *Leader) receiveHello(now time.Duration, link Link, hello Message) {
	if hello.Lease != l.config.Lease { // the proxy might serve for longer than a change waits for it
		reason := fmt.Sprintf("%s goes by a lease of %v, the planners by %v", hello.Name, hello.Lease, l.config.Lease)
		l.send(link, Message{Kind: JoinDelayed, Nonce: hello.Nonce, Reason: reason})
		return
	}
	if hello.Member != 0 {
		l.reconnect(now, link, hello)
		return
	}
	for _, entry := range l.state.Members {
		if entry.Name == hello.Name {
			l.welcomeOrDelay(now, link, hello, entry)
			return
		}
	}
	l.joining[link] = hello
	l.submit(now, submission{kind: Join, name: hello.Name}, Command{Kind: Join, Name: hello.Name, Nonce: hello.Nonce, Address: hello.Address, Zone: hello.Zone})
}

// reconnect handles a member's new connection.
func (l *Leader) reconnect(now time.Duration, link Link, hello Message) {
	entry, member := l.state.Entry(hello.Member), l.members[hello.Member]
	if entry == nil || entry.Name != hello.Name || member == nil {
		l.send(link, Message{Kind: NotMember, Member: hello.Member})
		return
	}
	l.linkUp(now, link, member, hello.Number)
	l.send(link, l.status(hello.Member))
	l.requestAnswer(now, hello.Member, member)
}

// welcomeOrDelay answers a proxy that has the name of a member. It is welcomed if it is that member; otherwise it has to wait until the
// member has left.
func (l *Leader) welcomeOrDelay(now time.Duration, link Link, hello Message, entry MemberEntry) {
	member := l.members[entry.Member]
	if entry.Nonce == hello.Nonce && member != nil {
		l.linkUp(now, link, member, l.state.InForce)
		l.send(link, Message{Kind: Welcome, Member: entry.Member, Nonce: hello.Nonce, Number: l.state.InForce, Policy: l.policyText(l.state.InForce)})
		l.requestAnswer(now, entry.Member, member)
		return
	}
	l.joining[link] = hello
	// The reason must not change while the name is taken, since proxies log each new reason.
	reason := fmt.Sprintf("%s is a member already, as of an earlier start or by a second process of that name", hello.Name)
	left := time.Duration(0)
	if l.config.Lease > 0 && member != nil {
		reason += "; it goes once its lease has ended"
		left = max(member.expiry-now, 0)
	} else {
		reason += "; `havenproxy policy expel " + hello.Name + "` once that one is sure to have ended"
	}
	l.send(link, Message{Kind: JoinDelayed, Nonce: hello.Nonce, Reason: reason, Lease: left})
}

func (l *Leader) linkUp(now time.Duration, link Link, member *memberState, number Number) {
	delete(l.joining, link)
	member.link, member.lastMessage, member.policyNumber = link, now, number
}

// IsLinkOf reports whether a member's last message came over the link.
func (l *Leader) IsLinkOf(member Member, link Link) bool {
	state := l.members[member]
	return state != nil && state.link == link
}

// Expel removes a member whose process has ended for good according to the operator. With leases it is removed once its lease has
// expired, which is safe even if the operator is wrong. Without leases it is removed at once; if its process has not ended, it goes on
// serving under its policy. The error wraps ErrNotMember if no member has that name.
func (l *Leader) Expel(now time.Duration, name string) error {
	for _, entry := range l.state.Members {
		if entry.Name != name {
			continue
		}
		member := l.members[entry.Member]
		if l.config.Lease > 0 && member != nil && !l.config.DisabledGuards.Has(NoLeaveCheck) {
			member.leaving = true // expireMembers removes it
		} else {
			l.submitLeave(now, entry.Member)
		}
		return nil
	}
	return fmt.Errorf("%s %w", name, ErrNotMember)
}

// expireMembers removes the members whose lease has certainly expired.
func (l *Leader) expireMembers(now time.Duration) {
	if l.config.Lease == 0 {
		return
	}
	for _, entry := range l.state.Members {
		member := l.members[entry.Member]
		if member == nil || now <= member.expiry { // fence: after expiry the member admits nothing
			continue
		}
		member.leaving = true // no further lease, though it may request one before the Leave is applied
		l.submitLeave(now, entry.Member)
	}
}

func (l *Leader) memberName(member Member) string {
	if entry := l.state.Entry(member); entry != nil {
		return entry.Name
	}
	return "?"
}

func (l *Leader) policyText(number Number) []byte {
	if change := l.state.Change(number); change != nil {
		return change.Policy
	}
	return nil
}
