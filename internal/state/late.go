package state

import (
	"log/slog"
	"time"
)

const (
	// lateAfter is how long behind its client's time an answer counts as late.
	lateAfter = 50 * time.Millisecond
	// lateLogEvery is the time between two log lines of late answers, at least.
	lateLogEvery = 100 * time.Millisecond
)

// lateAnswers paces the log lines of late answers.
type lateAnswers struct{ loggedAt time.Duration }

// noteLate counts a request whose answer comes late, and logs what became of it meanwhile.
func (f *Engine) noteLate(q *request) {
	now := f.clock.Now()
	if now-q.until < lateAfter {
		return
	}
	f.Counters.AnsweredLate++
	if f.late.loggedAt > 0 && now-f.late.loggedAt < lateLogEvery {
		return
	}
	f.late.loggedAt = now
	slog.Warn("request answered late", "id", q.name, "class", f.cfg.Logic.Classes[q.class].Name, "group", q.group, "late", now-q.until,
		"taken_before", now-q.since, "attempts", q.tries, "late_answers", f.Counters.AnsweredLate)
}
