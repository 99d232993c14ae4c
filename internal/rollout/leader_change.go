package rollout

import (
	"fmt"
	"time"
)

// requestsPerAnswerTimeout is how often an answer that a member owes is requested within AnswerTimeout.
const requestsPerAnswerTimeout = 3

// Tick does what is due by the clock. It must be called several times within each of AnswerTimeout and RoundTimeout.
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
	if l.change.abortReason == "" && now-l.change.began >= l.config.ChangeTimeout {
		l.change.abortReason = fmt.Sprintf("not in force within %v: waiting for %s", l.config.ChangeTimeout, l.describePending(now))
	}
	if l.change.abortReason != "" {
		l.submit(now, submission{kind: Abort}, Command{Kind: Abort, Number: l.change.number, Round: l.round, Reason: l.change.abortReason})
		return
	}
	l.advanceRound(now, l.countAnswers(now))
}

// trackChange follows the log: the pending change may have ended, or another one begun.
func (l *Leader) trackChange(now time.Duration, change *Change) {
	switch {
	case change == nil:
		l.change.number = 0
	case change.Number == l.change.number:
		return
	default:
		l.change.number, l.change.began, l.released = change.Number, now, 0
		if change.Number == l.change.knownNumber {
			l.change.began = l.change.knownSince
		}
	}
	l.change.abortReason, l.open = "", false
	for _, member := range l.members {
		member.agreed, member.awaitedSince, member.lastRequest = false, 0, 0
	}
}

// answers sums up what the members have answered to the pending change.
type answers struct {
	allAgreed, allHold bool
	owed               bool // some member owes an answer
}

// countAnswers visits all members and requests the answers that are missing.
func (l *Leader) countAnswers(now time.Duration) answers {
	sum := answers{allAgreed: true, allHold: true}
	l.incomplete = 0
	l.membersVisited += uint64(len(l.state.Members))
	for _, entry := range l.state.Members {
		member := l.members[entry.Member]
		if member == nil {
			sum.allAgreed, sum.allHold = false, false
			l.incomplete++
			continue
		}
		if member.lastRequest == 0 || now-member.lastRequest >= l.config.AnswerTimeout/requestsPerAnswerTimeout {
			l.requestAnswer(now, entry.Member, member)
		}
		if l.awaits(member) {
			l.incomplete++
		}
		sum.allAgreed = sum.allAgreed && member.agreed
		sum.allHold = sum.allHold && member.agreed && member.heldRound == l.round
		sum.owed = sum.owed || member.awaitedSince > 0
	}
	return sum
}

// advanceRound commits the change, releases a round that takes too long, or starts one.
func (l *Leader) advanceRound(now time.Duration, sum answers) {
	switch {
	case l.open && sum.allHold:
		version := l.state.MembersVersion
		l.submit(now, submission{kind: Commit, round: l.round, version: version},
			Command{Kind: Commit, Number: l.change.number, Round: l.round, MembersVersion: version})
	case l.open && now-l.opened >= l.config.RoundTimeout: // some member doesn't answer: the others serve on meanwhile
		l.open, l.released = false, now
		l.release()
	case !l.open && sum.allAgreed && !sum.owed && (l.released == 0 || now-l.released >= l.config.RoundPause):
		l.startRound(now)
	}
}

// startRound asks all members to hold.
func (l *Leader) startRound(now time.Duration) {
	l.round.Count++
	l.open, l.opened = true, now
	l.incomplete = len(l.state.Members)
	for _, entry := range l.state.Members {
		l.requestAnswer(now, entry.Member, l.members[entry.Member])
	}
	if len(l.state.Members) == 0 {
		l.Tick(now) // nobody has to answer
	}
}

// awaits reports whether the change waits for an answer of a member.
func (l *Leader) awaits(member *memberState) bool {
	return !member.agreed || member.awaitedSince > 0 || l.open && member.heldRound != l.round
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
	case l.open && member.heldRound != l.round:
		l.send(member.link, Message{Kind: Hold, Member: id, Number: change.Number, Round: l.round})
	default:
		return
	}
	member.lastRequest = now
	if member.awaitedSince == 0 {
		member.awaitedSince = now
	}
}
