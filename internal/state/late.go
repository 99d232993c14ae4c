package state

import (
	"log/slog"
	"time"
)

const (
	// lateThreshold is how long after the end of its client's wait an answer counts as late.
	lateThreshold = 50 * time.Millisecond
	// lateLogInterval is the minimum interval between two log lines about late answers.
	lateLogInterval = 100 * time.Millisecond
)

// lateLog limits the rate of log lines about late answers.
type lateLog struct{ loggedAt time.Duration }

// checkLateness counts a request that is answered late, and logs its progress until then.
func (e *Engine) checkLateness(req *request) {
	now := e.clock.Now()
	if now-req.deadline < lateThreshold {
		return
	}
	e.Counters.AnsweredLate++
	if e.lateLog.loggedAt > 0 && now-e.lateLog.loggedAt < lateLogInterval {
		return
	}
	e.lateLog.loggedAt = now
	slog.Warn("request answered late", "id", req.name, "class", e.cfg.Logic.Classes[req.class].Name, "group", req.group, "late", now-req.deadline,
		"taken_before", now-req.receivedAt, "attempts", req.attempts, "late_answers", e.Counters.AnsweredLate)
}
