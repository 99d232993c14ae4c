package handover

import (
	"math"
	"time"
)

const (
	minRestartSilence = time.Second // a member that was silent for no longer can't have restarted meanwhile

	// The weight of evidence is the logarithm of its likelihood ratio: its probability if the member has restarted, over that if it has not.
	dialRefusedLogOdds            = 3.5  // nothing listened at the address: about 30 to 1, as a full backlog or a firewall refuses too
	connectionEndedLogOdds        = 3.0  // an earlier connection ended with the silence, as all do when the process ends: about 20 to 1
	connectionUnresponsiveLogOdds = -3.4 // an earlier connection is still open but unanswered; a process that ended would have reset it
	upToDateLogOdds               = -1.4 // the first position is up to date; a restarted replica has to catch up, which may be quick

	certainProbability = 0.97 // a restart that is more probable counts as certain
	clearedProbability = 0.03 // a restart that is less probable is ruled out
	minRestartPrior    = 0.1  // the prior that is learned from past silences stays this far from 0 and 1

	maxListLag           = 5 * time.Second // prior: discovery lists a restart within this time, or
	staleListProbability = 0.03            // never, as a service that answers with outdated lists
	listLagPriorWeight   = 4.0             // weight of the prior against the observed lags
	maxLagSamples        = 64
)

// restartEvidence collects what is known of a member's last restart. One that discovery lists is certain. A member that returns from a long
// silence may have restarted, or it was unreachable or hung. The probability of a restart then follows the evidence, until it is nearly 0
// or 1, or until a restarted member would have warmed up.
type restartEvidence struct {
	startedAt         time.Duration // the start that discovery listed; 0 = long ago
	silentSince       time.Duration // the beginning of the last silence
	dialRefused       bool          // a dial was refused during it
	undecided         bool          // whether the member has restarted is not known
	firstSilence      time.Duration // the beginning of the first undecided silence: the member may have restarted at any time since
	silenceEnd        time.Duration // the end of the last long silence
	logOdds           float64       // of a restart, without the evidence of discovery
	connectionEnded   bool          // a connection ended during the silence
	connectionCounted bool          // logOdds contains the evidence of a connection
	positionCounted   bool          // logOdds contains the first position after the silence
	listHealthyAt     time.Duration // when discovery was last known to work
}

func (e *restartEvidence) beginSilence(now time.Duration) {
	e.silentSince, e.dialRefused, e.connectionEnded = now, false, false
}

// endSilence notes the end of a silence, and reports whether the member may have restarted during it. prior is the probability of a restart
// during a long silence without other evidence.
func (e *restartEvidence) endSilence(now time.Duration, prior float64) bool {
	if now-e.silentSince <= minRestartSilence && !e.dialRefused {
		return false
	}
	logOdds := math.Log(prior / (1 - prior))
	if e.dialRefused {
		logOdds += dialRefusedLogOdds
	}
	if e.connectionEnded {
		logOdds += connectionEndedLogOdds
	}
	if !e.undecided {
		e.undecided, e.firstSilence, e.logOdds = true, e.silentSince, logOdds
	} else {
		e.logOdds = max(e.logOdds, logOdds)
	}
	e.silenceEnd, e.positionCounted, e.connectionCounted = now, false, e.connectionEnded
	return true
}

// listLags holds the delays with which discovery has listed restarts.
type listLags struct{ samples []time.Duration }

func (l *listLags) add(lag time.Duration) {
	if l.samples = append(l.samples, max(lag, 0)); len(l.samples) > maxLagSamples {
		l.samples = l.samples[1:]
	}
}

// exceeds returns the probability that a restart is listed later than after the given time. The observed lags are mixed with a prior that is
// uniform up to maxListLag, and with a constant for a service whose lists are outdated.
func (l *listLags) exceeds(lag time.Duration) float64 {
	later := listLagPriorWeight * max(1-float64(lag)/float64(maxListLag), 0)
	for _, sample := range l.samples {
		if sample > lag {
			later++
		}
	}
	return staleListProbability + (1-staleListProbability)*later/(listLagPriorWeight+float64(len(l.samples)))
}

// silenceOutcomes counts long silences by whether the member had restarted.
type silenceOutcomes struct{ restarted, notRestarted float64 }

// prior returns the probability of a restart during a long silence of which nothing else is known.
func (o *silenceOutcomes) prior() float64 {
	return min(max((o.restarted+1)/(o.restarted+o.notRestarted+2), minRestartPrior), 1-minRestartPrior)
}

// decide ends the uncertainty about a restart and counts how it ended.
func (m *Member) decide(restarted bool) {
	evidence, outcomes := &m.restart, &m.tracker.silenceOutcomes
	if !evidence.undecided {
		return
	}
	if evidence.undecided = false; restarted {
		outcomes.restarted++
	} else {
		outcomes.notRestarted++
	}
}

// RestartProbability returns the probability that the member restarted during its recent silences; 0 if that is not in question.
func (m *Member) RestartProbability() float64 {
	evidence := &m.restart
	if !evidence.undecided {
		return 0
	}
	odds := math.Exp(evidence.logOdds) * m.tracker.listLags.exceeds(max(evidence.listHealthyAt-evidence.silenceEnd, 0))
	return odds / (1 + odds)
}

// ColdSince returns when the member has restarted, if that was less than warmup ago, and the probability that it has: 1 if discovery listed
// the restart or the evidence is conclusive, 0 if there was none.
func (m *Member) ColdSince(now, warmup time.Duration) (since time.Duration, probability float64) {
	evidence := &m.restart
	if evidence.undecided && now-evidence.silenceEnd >= warmup {
		evidence.undecided = false
	}
	if evidence.startedAt > 0 && now-evidence.startedAt < warmup {
		since, probability = evidence.startedAt, 1
	}
	if p := m.RestartProbability(); p >= clearedProbability {
		if since = max(since, evidence.silenceEnd); p > certainProbability {
			p = 1
		}
		probability = max(probability, p)
	}
	return since, probability
}

// noteListedStart records a start that discovery lists. One during the last silence proves that the member restarted.
func (m *Member) noteListedStart(now, startedAt time.Duration, isNews bool) {
	evidence := &m.restart
	if evidence.startedAt = startedAt; isNews {
		m.tracker.listLags.add(now - startedAt)
	}
	if evidence.undecided && startedAt >= evidence.silentSince {
		m.decide(true)
	}
}

// NoteRefusedDial records that a dial to the member was refused. Nothing listened at its address, so that its process has ended or has not
// started yet.
func (m *Member) NoteRefusedDial() {
	if m.Silent {
		m.restart.dialRefused = true
	}
}

// ConnectionEvidence is what became of a connection that was opened before a silence.
type ConnectionEvidence uint8

// The kinds of evidence.
const (
	ConnectionAnswered     ConnectionEvidence = iota // it still answers, so the process has not ended
	ConnectionEnded                                  // it was reset or closed, during the silence or when it was next used
	ConnectionUnresponsive                           // neither, though the member answers on other connections
)

// NoteConnectionEvidence records that a connection from before the silence has ended or does not respond. Only the first such connection
// of a silence counts.
func (m *Member) NoteConnectionEvidence(kind ConnectionEvidence) {
	evidence := &m.restart
	switch {
	case kind == ConnectionEnded && m.Silent:
		evidence.connectionEnded = true
	case evidence.connectionCounted || !evidence.undecided:
	case kind == ConnectionEnded:
		evidence.logOdds, evidence.connectionCounted = evidence.logOdds+connectionEndedLogOdds, true
	case kind == ConnectionUnresponsive:
		evidence.logOdds, evidence.connectionCounted = evidence.logOdds+connectionUnresponsiveLogOdds, true
	}
}

// NoteAnswerOnConnection records an answer on a connection that was opened at the given time, 0 if that is unknown. If it was opened before
// the first undecided silence, the member has not restarted, as that would have closed the connection. A start that discovery listed stands.
func (m *Member) NoteAnswerOnConnection(openedAt time.Duration) {
	if evidence := &m.restart; openedAt > 0 && openedAt < evidence.firstSilence {
		m.decide(false)
	}
}

// NoteNoListedStart records that discovery works and has listed no restart since the silence. The probability of a restart falls the longer
// this lasts.
func (m *Member) NoteNoListedStart(now time.Duration) {
	if evidence := &m.restart; evidence.undecided {
		if evidence.listHealthyAt = now; m.RestartProbability() < clearedProbability {
			m.decide(false)
		}
	}
}

// NotePosition counts the first position that a replica reports after a silence as evidence. If it is up to date, the replica went on, or
// has caught up already. One that lags is no evidence: the replica may have hung or restarted.
func (m *Member) NotePosition(now, position time.Duration) {
	evidence := &m.restart
	if !evidence.undecided || evidence.positionCounted || m.Role != Replica || position <= 0 {
		return
	}
	if evidence.positionCounted = true; now-position < (evidence.silenceEnd-evidence.firstSilence)/8 {
		evidence.logOdds += upToDateLogOdds
	}
}
