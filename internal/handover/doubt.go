package handover

import "time"

// restart is how long a silence must have lasted for its member to have started anew meanwhile.
const restart = time.Second

// suspicion is what is known of a member's last start. A start that the list names is certain. A member back from a long
// silence may have started in it, or the way to it was cut and it never stopped: it is doubted until evidence ends that, or
// the time is over in which a started one is cold.
type suspicion struct {
	bornAt  time.Duration // the start that was told; 0 = long ago
	silent  time.Duration // since when, of the last silence
	doubted bool
	since   time.Duration // the beginning of the first silence that the doubt is about: it may have started in any since
	back    time.Duration // the end of the last long one
}

func (s *suspicion) lost(now time.Duration) { s.silent = now }

// heard notes the end of a silence, and tells whether it was long enough to doubt.
func (s *suspicion) heard(now time.Duration) bool {
	if now-s.silent <= restart {
		return false
	}
	if !s.doubted {
		s.doubted, s.since = true, s.silent
	}
	s.back = now
	return true
}

// Cold tells since when a member is to be taken for a started one, where that is less than lasts ago.
func (s *Seat) Cold(now, lasts time.Duration) (from time.Duration, cold bool) {
	x := &s.suspect
	if x.doubted && now-x.back >= lasts {
		x.doubted = false
	}
	if x.bornAt > 0 && now-x.bornAt < lasts {
		from, cold = x.bornAt, true
	}
	if x.doubted {
		from, cold = max(from, x.back), true
	}
	return from, cold
}

// Kept notes an answer on a connection that was up at a time. If that was before the first silence in doubt, the process
// never ended: it would have ended the connection. A start that was told is not in doubt, and stays.
func (s *Seat) Kept(opened time.Duration) {
	if x := &s.suspect; opened > 0 && opened < x.since {
		x.doubted = false
	}
}

// Unborn notes that the list, which names each start within late, works and has named none since the first silence in doubt.
func (s *Seat) Unborn(now, late time.Duration) {
	if x := &s.suspect; now-x.back >= late && x.bornAt <= x.since {
		x.doubted = false
	}
}
