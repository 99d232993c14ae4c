package rollout

import (
	"fmt"
	"time"
)

// requestsPerAnswerTimeout is how often an answer that a member owes is requested within AnswerTimeout.
const requestsPerAnswerTimeout = 3

// Tick handles timeouts and advances the pending change. It must be called several times within each of AnswerTimeout and RoundTimeout.
func (l *Leader) Tick(now time.Duration) {
	if !l.Leading() {
		return
	}
	change := l.state.Pending()
	l.trackChange(now, change)
	l.expireMembers(now)
	if change == nil {
		return
	}
	if l.change.abortReason == "" && now-l.change.start >= l.config.ChangeTimeout {
		l.change.abortReason = fmt.Sprintf("not in force within %v: waiting for %s", l.config.ChangeTimeout, l.describePending(now))
	}
	if l.change.abortReason != "" {
		l.submit(now, submission{kind: Abort}, Command{Kind: Abort, Number: l.change.number, Round: l.round, Reason: l.change.abortReason})
		return
	}
	l.advanceRound(now, l.countAnswers(now))
}

// trackChange updates the leader's state if the pending change has ended in the log or another one has begun.
func (l *Leader) trackChange(now time.Duration, change *Change) {
	switch {
	case change == nil:
		l.change.number = 0
	case change.Number == l.change.number:
		return
	default:
		l.change.number, l.change.start, l.lastRelease = change.Number, now, 0
		if change.Number == l.change.inheritedNumber {
			l.change.start = l.change.inheritedStart
		}
	}
	l.change.abortReason, l.roundOpen = "", false
	for _, member := range l.members {
		member.agreed, member.awaitedSince, member.lastRequest = false, 0, 0
	}
}

// answerSummary summarises the members' answers to the pending change.
type answerSummary struct {
	allAgreed, allHeld bool
	anyOutstanding     bool // some member has not answered a request
}

// countAnswers visits all members and requests the answers that are missing.
func (l *Leader) countAnswers(now time.Duration) answerSummary {
	sum := answerSummary{allAgreed: true, allHeld: true}
	l.awaitedCount = 0
	l.membersVisited += uint64(len(l.state.Members))
	for _, entry := range l.state.Members {
		member := l.members[entry.Member]
		if member == nil {
			sum.allAgreed, sum.allHeld = false, false
			l.awaitedCount++
			continue
		}
		if member.lastRequest == 0 || now-member.lastRequest >= l.config.AnswerTimeout/requestsPerAnswerTimeout {
			l.requestAnswer(now, entry.Member, member)
		}
		if l.awaits(member) {
			l.awaitedCount++
		}
		sum.allAgreed = sum.allAgreed && member.agreed
		sum.allHeld = sum.allHeld && member.agreed && member.heldRound == l.round
		sum.anyOutstanding = sum.anyOutstanding || member.awaitedSince > 0
	}
	return sum
}

// advanceRound commits the change, releases a round that has timed out, or starts one.
func (l *Leader) advanceRound(now time.Duration, sum answerSummary) {
	switch {
	case l.roundOpen && sum.allHeld:
		version := l.state.MembersVersion
		l.submit(now, submission{kind: Commit, round: l.round, version: version},
			Command{Kind: Commit, Number: l.change.number, Round: l.round, MembersVersion: version})
	case l.roundOpen && now-l.roundStart >= l.config.RoundTimeout: // some member doesn't answer: the others resume serving
		l.roundOpen, l.lastRelease = false, now
		l.release()
	case !l.roundOpen && sum.allAgreed && !sum.anyOutstanding && (l.lastRelease == 0 || now-l.lastRelease >= l.config.RoundPause):
		l.startRound(now)
	}
}

// startRound begins a round and asks all members to hold.
func (l *Leader) startRound(now time.Duration) {
	l.round.Count++
	l.roundOpen, l.roundStart = true, now
	l.awaitedCount = len(l.state.Members)
	for _, entry := range l.state.Members {
		l.requestAnswer(now, entry.Member, l.members[entry.Member])
	}
	if len(l.state.Members) == 0 {
		l.Tick(now) // no answers are needed
	}
}

// awaits reports whether the change waits for an answer of a member.
func (l *Leader) awaits(member *memberState) bool {
	return !member.agreed || member.awaitedSince > 0 || l.roundOpen && member.heldRound != l.round
}

// requestAnswer requests the answer that the pending change lacks from a member, if any.
func (l *Leader) requestAnswer(now time.Duration, id Member, member *memberState) {
	change := l.state.Pending()
	if change == nil || change.Number != l.change.number {
		return
	}
	switch {
	case !member.agreed:
		l.send(member.link, Message{Kind: Offer, Member: id, Number: change.Number, Policy: change.Policy})
	case l.roundOpen && member.heldRound != l.round:
		l.send(member.link, Message{Kind: Hold, Member: id, Number: change.Number, Round: l.round})
	default:
		return
	}
	member.lastRequest = now
	if member.awaitedSince == 0 {
		member.awaitedSince = now
	}
}
