package handover

import (
	"math"
	"time"
)

const (
	restart = time.Second // how long a silence must have lasted for its member to have started anew meanwhile

	// Evidence counts by how much likelier it is if the member has started anew than if it has not, in natural logarithms.
	refusedDial = 3.5  // nothing listened there: about 30 to 1; a full backlog or a firewall refuses as well
	ended       = 3.0  // a connection from before ended with the silence, as all do when their process ends: about 20 to 1
	mute        = -3.4 // or it is there still, unheard though the way is free: a process that had ended would have reset it
	wentOn      = -1.4 // its log is at the present with the first word: a started one has to catch up, which may be quick

	certain  = 0.97 // of doubt: beyond, a restart is as good as told
	cleared  = 0.03 // and below, there was none
	leastOne = 0.1  // what is learned of restarts among silences moves the doubt at its beginning no further than this

	lateMost = 5 * time.Second // a list that works names a start within this, or
	lateTail = 0.03            // with this probability does not, as one that answers but stands still
	lateSeen = 4.0             // weight of that against the lags that were seen
	keptLags = 64
)

// suspicion is what is known of a member's last start. A start that the list names is certain. A member back from a long
// silence may have started in it, or the way to it was cut, or it hung, and it never stopped. That is doubted, by degrees:
// odds that evidence moves until one side has it, or the time is over in which a started one is cold.
type suspicion struct {
	bornAt  time.Duration // the start that was told; 0 = long ago
	silent  time.Duration // since when, of the last silence
	refused bool          // a dial was refused in it
	doubted bool
	since   time.Duration // the beginning of the first silence that the doubt is about: it may have started in any since
	back    time.Duration // the end of the last long one
	odds    float64       // of a start, as a logarithm, the list's silence aside
	broken  bool          // a connection ended in it
	heardOf bool          // a witness has told its end
	placed  bool          // its first position since then was held against the odds
	listed  time.Duration // up to when the list was known to work
}

func (s *suspicion) lost(now time.Duration) { s.silent, s.refused, s.broken = now, false, false }

// heard notes the end of a silence, and tells whether there is doubt about it. before is the probability of a start in a long
// silence without any evidence.
func (s *suspicion) heard(now time.Duration, before float64) bool {
	if now-s.silent <= restart && !s.refused {
		return false
	}
	odds := math.Log(before / (1 - before))
	if s.refused {
		odds += refusedDial
	}
	if s.broken {
		odds += ended
	}
	if !s.doubted {
		s.doubted, s.since, s.odds = true, s.silent, odds
	} else {
		s.odds = max(s.odds, odds)
	}
	s.back, s.placed, s.heardOf = now, false, s.broken
	return true
}

// lags are how late the list has named starts.
type lags struct{ seen []time.Duration }

func (l *lags) add(d time.Duration) {
	if l.seen = append(l.seen, max(d, 0)); len(l.seen) > keptLags {
		l.seen = l.seen[1:]
	}
}

// beyond gives the probability that a start is not named yet after a time: of those seen and of some that are evenly spread
// up to lateMost, with a tail for a list that stands still.
func (l *lags) beyond(d time.Duration) float64 {
	later := lateSeen * max(1-float64(d)/float64(lateMost), 0)
	for _, x := range l.seen {
		if x > d {
			later++
		}
	}
	return lateTail + (1-lateTail)*later/(lateSeen+float64(len(l.seen)))
}

// restarts counts how doubts ended.
type restarts struct{ were, not float64 }

// before is the probability of a start in a silence of which nothing else is known.
func (r *restarts) before() float64 {
	return min(max((r.were+1)/(r.were+r.not+2), leastOne), 1-leastOne)
}

// end ends a doubt; was tells what it was.
func (s *Member) end(was bool) {
	x, r := &s.suspect, &s.h.restarts
	if !x.doubted {
		return
	}
	if x.doubted = false; was {
		r.were++
	} else {
		r.not++
	}
}

// RestartProbability gives the probability that the member has started anew in the silences that the doubt is about.
func (s *Member) RestartProbability() float64 {
	x := &s.suspect
	if !x.doubted {
		return 0
	}
	odds := math.Exp(x.odds) * s.h.lags.beyond(max(x.listed-x.back, 0))
	return odds / (1 + odds)
}

// ColdSince tells since when a member is to be taken for a started one, where that is less than lasts ago, and how sure that is:
// 1 where the start was told or is beyond doubt, 0 where there was none.
func (s *Member) ColdSince(now, lasts time.Duration) (from time.Duration, sure float64) {
	x := &s.suspect
	if x.doubted && now-x.back >= lasts {
		x.doubted = false
	}
	if x.bornAt > 0 && now-x.bornAt < lasts {
		from, sure = x.bornAt, 1
	}
	if p := s.RestartProbability(); p >= cleared {
		if from = max(from, x.back); p > certain {
			p = 1
		}
		sure = max(sure, p)
	}
	return from, sure
}

// born notes a start that the list tells of. Where it lies in the last silence it ends the doubt: it has started, then.
func (s *Member) born(now, at time.Duration, late bool) {
	x := &s.suspect
	if x.bornAt = at; late {
		s.h.lags.add(now - at)
	}
	if x.doubted && at >= x.silent {
		s.end(true)
	}
}

// NoteRefusedDial notes a refused dial: nothing listened at the member's address, so its process has ended, or has not begun.
func (s *Member) NoteRefusedDial() {
	if s.Silent {
		s.suspect.refused = true
	}
}

// ConnectionEvidence is what became of a connection from before a silence.
type ConnectionEvidence uint8

// The kinds of testimony.
const (
	ConnectionAnswered     ConnectionEvidence = iota // on it, so its process never ended
	ConnectionEnded                                  // it was reset or closed: in the silence, or when it was used behind it
	ConnectionUnresponsive                           // neither, though the member answers on others
)

// NoteConnectionEvidence holds the end of a connection from before the silence, or that it is mute, against the doubt.
func (s *Member) NoteConnectionEvidence(what ConnectionEvidence) {
	x := &s.suspect
	switch {
	case what == ConnectionEnded && s.Silent:
		x.broken = true
	case x.heardOf || !x.doubted: // one witness a silence
	case what == ConnectionEnded:
		x.odds, x.heardOf = x.odds+ended, true
	case what == ConnectionUnresponsive:
		x.odds, x.heardOf = x.odds+mute, true
	}
}

// NoteAnswerOnConnection notes an answer on a connection that was up at a time. If that was before the first silence in doubt, the process
// never ended: it would have ended the connection. A start that was told is not in doubt, and stays.
func (s *Member) NoteAnswerOnConnection(opened time.Duration) {
	if x := &s.suspect; opened > 0 && opened < x.since {
		s.end(false)
	}
}

// NoteNoListedStart notes that the list works and has named no start since the doubt began: the longer so, the less the doubt.
func (s *Member) NoteNoListedStart(now time.Duration) {
	if x := &s.suspect; x.doubted {
		if x.listed = now; s.RestartProbability() < cleared {
			s.end(false)
		}
	}
}

// NotePosition holds the first position that a replica tells behind a silence against the doubt. One that is at the present went on,
// or has caught up already; one that stood still may have hung or started, and says nothing.
func (s *Member) NotePosition(now, position time.Duration) {
	x := &s.suspect
	if !x.doubted || x.placed || s.Role != Replica || position <= 0 {
		return
	}
	if x.placed = true; now-position < (x.back-x.since)/8 {
		x.odds += wentOn
	}
}
