package rollout

import (
	"errors"
	"fmt"
	"time"
)

// ErrNotMember is returned for a name that no member of the tier has.
var ErrNotMember = errors.New("is no member")

// memberState is what the leader knows of a member.
type memberState struct {
	link         Link
	policyNumber Number // that the member serves under, as it last said
	lastHeard    time.Duration

	leaseEnd time.Duration // of the longest lease that was granted, by this planner's clock
	expiry   time.Duration // leaseEnd with the clock margin: the member admits nothing after it
	leaving  bool          // it gets no further lease: it said so, its lease has expired, or the operator expels it

	agreed       bool
	heldRound    Round
	awaitedSince time.Duration // since when it owes an answer; 0 = it owes none
	lastRequest  time.Duration // when the answer was last requested
}

// MemberInfo is what the leader reports of a member.
type MemberInfo struct {
	Name             string        `json:"name"`
	Member           Member        `json:"member"`
	Number           Number        `json:"number"` // of the policy that it serves under
	Linked           bool          `json:"linked"`
	SinceLastMessage time.Duration `json:"heard"`
	LeaseRemaining   time.Duration `json:"lease"`
}

// Members returns what is known of the members, in the order in which they joined.
func (l *Leader) Members(now time.Duration) []MemberInfo {
	var infos []MemberInfo
	for _, entry := range l.state.Members {
		info := MemberInfo{Name: entry.Name, Member: entry.Member}
		if member := l.members[entry.Member]; member != nil {
			info.Number = member.policyNumber
			info.Linked = member.link != 0
			info.SinceLastMessage = now - member.lastHeard
			info.LeaseRemaining = member.leaseEnd - now
		}
		infos = append(infos, info)
	}
	return infos
}

// receiveHello handles a connection that came up: a member that reconnects, a new member, or a second process with the name of a member.
func (l *Leader) receiveHello(now time.Duration, link Link, hello Message) {
	if hello.Lease != l.config.Lease { // the proxy would serve for longer than a change waits for it
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

// reconnect takes a member's new connection.
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

// welcomeOrDelay answers a proxy that has the name of a member: it is that member, or has to wait until that one has left.
func (l *Leader) welcomeOrDelay(now time.Duration, link Link, hello Message, entry MemberEntry) {
	member := l.members[entry.Member]
	if entry.Nonce == hello.Nonce && member != nil {
		l.linkUp(now, link, member, l.state.InForce)
		l.send(link, Message{Kind: Welcome, Member: entry.Member, Nonce: hello.Nonce, Number: l.state.InForce, Policy: l.policyText(l.state.InForce)})
		l.requestAnswer(now, entry.Member, member)
		return
	}
	l.joining[link] = hello
	// The reason stays the same while the name is taken: proxies log it once.
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
	member.link, member.lastHeard, member.policyNumber = link, now, number
}

// IsLinkOf reports whether link is the one over which a member was heard last.
func (l *Leader) IsLinkOf(member Member, link Link) bool {
	state := l.members[member]
	return state != nil && state.link == link
}

// Expel removes a member on the operator's word that it has ended for good. With leases it is removed once its lease has expired, so the
// word need not be true. Without leases it is removed at once, and goes on serving under its policy if it has not ended.
// The error wraps ErrNotMember if nobody has that name.
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
