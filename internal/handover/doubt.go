package handover

import "time"

// Suspicion is how likely it is that a member back from a silence has been started anew, and is cold. A cut in the network
// looks the same at first; what is heard since tells the two apart.
type Suspicion struct {
	since time.Duration // the silence's beginning
	back  time.Duration // its end
	doubt float64       // 0 = it never stopped; 1 = it may have
}

// A silence this long may have been a restart.
const restart = time.Second

func (s *Suspicion) lost(now time.Duration) { s.since, s.back = now, 0 }

func (s *Suspicion) heard(now time.Duration) {
	s.back = now
	if now-s.since > restart {
		s.doubt = 1
	}
}

func (s *Suspicion) born() { s.doubt = 1 }

// Suspect gives the doubt about a member.
func (s *Seat) Suspect() float64 { return s.suspect.doubt }

// Kept notes an answer on a connection that was up at a time: a process that had ended would have ended it. What was told as
// born since is another matter.
func (s *Seat) Kept(opened, born time.Duration) bool {
	x := &s.suspect
	if x.doubt == 0 || opened <= 0 || opened >= x.since || born > x.since || x.back == 0 {
		return false
	}
	x.doubt = 0
	return true
}

// Unborn notes that the list, which names each start within late, has named none since the silence.
func (s *Seat) Unborn(now, late, born time.Duration) bool {
	x := &s.suspect
	if x.doubt == 0 || x.back == 0 || born > x.since || now-x.back < late {
		return false
	}
	x.doubt = 0
	return true
}
