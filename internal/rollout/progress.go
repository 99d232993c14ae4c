package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Answer names what a change waits for from a member.
type Answer string

// The answers.
const (
	AnswerAgree Answer = "agree"
	AnswerHold  Answer = "hold"
)

// PendingAnswer is an answer that a change waits for.
type PendingAnswer struct {
	Name             string        `json:"name"` // of the member
	Answer           Answer        `json:"word"`
	Waited           time.Duration `json:"for"` // since it was first requested
	SinceLastMessage time.Duration `json:"cut"` // since the member's last message
}

// Progress describes how far the pending change is.
type Progress struct {
	Number         Number          `json:"number"`
	Members        int             `json:"members"`
	Agreed         int             `json:"-"`
	Held           int             `json:"-"`
	Age            time.Duration   `json:"for"` // since the change was proposed
	PendingAnswers []PendingAnswer `json:"waiting"`
}

// maxDescribed bounds the members that an abort's reason names.
const maxDescribed = 3

// Progress returns how far the pending change is; false if there is none.
func (l *Leader) Progress(now time.Duration) (progress Progress, ok bool) {
	change := l.state.Pending()
	if change == nil || change.Number != l.change.number {
		return Progress{}, false
	}
	progress = Progress{Number: change.Number, Members: len(l.state.Members), Age: now - l.change.began}
	for _, entry := range l.state.Members {
		member := l.members[entry.Member]
		if member == nil {
			continue
		}
		if member.agreed {
			progress.Agreed++
		}
		if l.open && member.heldRound == l.round {
			progress.Held++
		}
		if member.awaitedSince > 0 {
			progress.PendingAnswers = append(progress.PendingAnswers, member.pendingAnswer(now, entry.Name))
		}
	}
	return progress, true
}

func (m *memberState) pendingAnswer(now time.Duration, name string) PendingAnswer {
	answer := AnswerAgree
	if m.agreed {
		answer = AnswerHold
	}
	return PendingAnswer{Name: name, Answer: answer, Waited: now - m.awaitedSince, SinceLastMessage: now - m.lastHeard}
}

// describePending names the members that the change has waited for longest.
func (l *Leader) describePending(now time.Duration) string {
	progress, _ := l.Progress(now)
	waiting := progress.PendingAnswers
	if len(waiting) == 0 {
		return "the planners' log"
	}
	slices.SortFunc(waiting, func(a, b PendingAnswer) int { return int(b.Waited - a.Waited) })
	var names []string
	for _, w := range waiting[:min(len(waiting), maxDescribed)] {
		names = append(names, fmt.Sprintf("%s (to %s for %v, last heard %v ago)", w.Name, w.Answer, w.Waited.Round(time.Millisecond), w.SinceLastMessage.Round(time.Millisecond)))
	}
	text := strings.Join(names, ", ")
	if more := len(waiting) - len(names); more > 0 {
		text = fmt.Sprintf("%s and %d more", text, more)
	}
	return text
}
